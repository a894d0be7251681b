#include <stdlib.h>

#include "base/log.h"
#include "mesh/relay_impl.h"

static struct brf_mesh_relay *
relay_of(struct brf_store *store)
{
	return (brf_container_of(store, struct brf_mesh_relay, store));
}

static void
count_feeds(struct brf_mesh_relay *r)
{
	bool polling = false;
	struct brf_list *l;
	struct brf_feed *f;

	r->direct->value = 0;
	r->relayed->value = 0;
	brf_list_foreach (l, &r->feeds) {
		f = brf_list_entry(l, struct brf_feed, member);
		polling |= f->polling;
		if (f->direct)
			r->direct->value++;
		else
			r->relayed->value++;
	}
	if (polling != r->polling && r->config.watching != NULL)
		r->config.watching(r->config.arg, polling);
	r->polling = polling;
}

struct brf_feed *
brf_relay_find_feed(const struct brf_mesh_relay *r, const char *prefix)
{
	struct brf_list *l;
	struct brf_feed *f;

	brf_list_foreach (l, &r->feeds) {
		f = brf_list_entry(l, struct brf_feed, member);
		if (strcmp(f->outer->prefix, prefix) == 0)
			return (f);
	}
	return (NULL);
}

static void
stop_polling(struct brf_feed *f)
{
	struct brf_mesh_relay *r = f->owner;

	if (f->polling)
		brf_store_watch_stop(r->config.origin, &f->inner);
	f->polling = false;
	f->direct = false;
	brf_timer_stop(r->config.timers, &f->first_poll);
	brf_relay_witness_stop(f);
}

static void
close_queries(struct brf_feed *f)
{
	size_t i;

	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++)
		brf_query_close(&f->queries[i]);
}

static bool
has_open_query(const struct brf_feed *f)
{
	size_t i;

	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		if (brf_query_is_open(&f->queries[i]))
			return (true);
	}
	return (false);
}

static void
stop_sources(struct brf_feed *f)
{
	stop_polling(f);
	close_queries(f);
	brf_timer_stop(f->owner->config.timers, &f->expiry);
}

/* Let the nodes that wait for changes wait on: the owner will read all keys and
 * watch again. */
static void
hold_watchers(const struct brf_feed *f)
{
	struct brf_link_watcher *w;
	struct brf_list *l;

	brf_list_foreach (l, &f->owner->watchers) {
		w = brf_list_entry(l, struct brf_link_watcher, link);
		if (strcmp(w->prefix, f->outer->prefix) == 0)
			w->asked_at = brf_mesh_relay_now(f->owner);
	}
}

static void
feed_free(struct brf_feed *f)
{
	struct brf_mesh_relay *r = f->owner;

	if (f->direct)
		hold_watchers(f);
	stop_sources(f);
	brf_list_remove(&f->member);
	brf_watch_log_finish(&f->log);
	free(f);
	count_feeds(r);
}

/* Free the feed now, or after the owner's callback that is running. */
static void
feed_stop(struct brf_feed *f)
{
	f->outer->impl = NULL;
	if (!f->in_event) {
		feed_free(f);
		return;
	}
	stop_sources(f);
	f->stopped = true;
}

static void
feed_end(struct brf_feed *f, const struct brf_error *err)
{
	struct brf_store_watch *outer = f->outer;

	feed_stop(f);
	outer->ended(outer, err);
}

/* Return: false when the owner has stopped the watch. */
static bool
deliver(struct brf_feed *f, const struct brf_store_event *event)
{
	if (event->revision > f->revision)
		f->revision = event->revision;
	f->in_event = true;
	f->outer->event(f->outer, event);
	f->in_event = false;
	if (!f->stopped)
		return (true);
	feed_free(f);
	return (false);
}

static void review(struct brf_feed *f);

static void
on_direct_event(
    struct brf_store_watch *inner, const struct brf_store_event *event)
{
	struct brf_feed *f = brf_container_of(inner, struct brf_feed, inner);

	brf_watch_log_add(&f->log, event);
	f->proved_at = brf_mesh_relay_now(f->owner);
	f->source[0] = '\0';
	brf_relay_serve_proof(f->owner, f);
	if (!deliver(f, event))
		return;
	f->inner.pause_us = f->outer->pause_us;
	f->inner.wait_us = brf_relay_poll_wait(f);
	review(f);
}

static void
on_direct_confirmed(struct brf_store_watch *inner, uint64_t at)
{
	struct brf_feed *f = brf_container_of(inner, struct brf_feed, inner);

	if (at <= f->proved_at)
		return;
	f->proved_at = at;
	brf_relay_serve_proof(f->owner, f);
}

static void
on_direct_end(struct brf_store_watch *inner, const struct brf_error *err)
{
	struct brf_feed *f = brf_container_of(inner, struct brf_feed, inner);

	f->polling = false;
	brf_relay_witness_stop(f);
	feed_end(f, err);
}

/* Longest age of a proof with which @f goes on. */
static uint64_t
proof_max(const struct brf_feed *f)
{
	return (BRF_RELAY_PROOF_MAX_US + 2 * f->owner->store.state->latency_us);
}

/* Time until the proof is that old. */
static uint64_t
proof_left(const struct brf_feed *f)
{
	uint64_t limit = proof_max(f), age = brf_feed_age(f);

	return (age < limit ? limit - age : 0);
}

static void
start_polling(struct brf_timer *timer, void *arg)
{
	struct brf_feed *f = arg;

	(void)timer;
	f->polling = true;
	brf_timer_start(f->owner->config.timers, &f->expiry, proof_max(f));
	f->inner.prefix = f->outer->prefix;
	f->inner.from = f->revision + 1;
	f->inner.pause_us = f->outer->pause_us;
	brf_relay_witness_begin(f);
	f->inner.wait_us = brf_relay_poll_wait(f);
	f->inner.event = on_direct_event;
	f->inner.confirmed = on_direct_confirmed;
	f->inner.ended = on_direct_end;
	brf_store_watch_start(f->owner->config.origin, &f->inner);
	count_feeds(f->owner);
}

static void
leave_store(struct brf_feed *f)
{
	stop_polling(f);
	count_feeds(f->owner);
}

static void
start_direct(struct brf_feed *f, uint64_t delay_us)
{
	stop_sources(f);
	f->direct = true;
	brf_timer_start(f->owner->config.timers, &f->first_poll, delay_us);
	count_feeds(f->owner);
}

/* Read everything again, so that nothing is missed between two sources. */
static void
read_again(struct brf_feed *f, const char *why)
{
	struct brf_error err;

	brf_error_set(&err, BRF_E_RELAY_LOST, 0, "%s", why);
	feed_end(f, &err);
}

static void
ask(struct brf_feed *f, struct brf_query *query)
{
	brf_query_ask(query, f->outer->prefix, f->revision, brf_feed_age(f),
	    BRF_RELAY_SILENT_US);
}

static bool
is_source(const struct brf_relay_sources *sources, const char *relay)
{
	size_t i;

	for (i = 0; i < sources->count; i++) {
		if (strcmp(sources->entries[i]->node, relay) == 0)
			return (true);
	}
	return (false);
}

/* Return: the query to @relay, or a closed one. */
static struct brf_query *
find_query(struct brf_feed *f, const char *relay)
{
	struct brf_query *closed = NULL;
	size_t i;

	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		if (!brf_query_is_open(&f->queries[i]))
			closed = &f->queries[i];
		else if (strcmp(f->queries[i].relay, relay) == 0)
			return (&f->queries[i]);
	}
	return (closed);
}

static void
open_query(struct brf_feed *f, const struct brf_entry *entry)
{
	struct brf_query *query = find_query(f, entry->node);

	if (query == NULL || brf_query_is_open(query) ||
	    !brf_query_open(query, entry))
		return;
	brf_log(BRF_LOG_INFO, "relay_chosen", BRF_LS("relay", entry->node),
	    BRF_LS("prefix", f->outer->prefix),
	    BRF_LU("revision", f->revision));
	ask(f, query);
}

/* Ask all of the relays, and no others.  A poll of the store goes on until one
 * has replied. */
static void
use_relays(struct brf_feed *f, const struct brf_relay_sources *sources)
{
	size_t i;

	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		if (!is_source(sources, f->queries[i].relay))
			brf_query_close(&f->queries[i]);
	}
	for (i = 0; i < sources->count; i++)
		open_query(f, sources->entries[i]);
	if (!has_open_query(f) && !f->direct) {
		read_again(f, "no relay");
	} else if (has_open_query(f) && f->direct && !f->polling) {
		/* It ended unheeded when a node that starts waits for its first
		 * poll, see on_expiry(). */
		if (!brf_timer_active(&f->expiry))
			brf_timer_start(
			    f->owner->config.timers, &f->expiry, proof_max(f));
		leave_store(f);
	}
}

/* Whether other nodes rely on this one; they find another relay first. */
static bool
is_relied_on(const struct brf_feed *f)
{
	return (f->asked_at != 0 && brf_mesh_relay_now(f->owner) <
					f->asked_at + BRF_RELAY_SILENT_US);
}

/* Take the next changes from the sources that are due; may end the feed. */
static void
review(struct brf_feed *f)
{
	struct brf_relay_sources sources;

	switch (brf_relay_choose(f->owner, f->queries, &sources)) {
	case BRF_RELAY_SAME:
		break;
	case BRF_RELAY_STORE:
		if (!f->direct)
			read_again(f, "no relay");
		else
			close_queries(f);
		break;
	case BRF_RELAY_RELAYS:
		if (!f->direct || !is_relied_on(f))
			use_relays(f, &sources);
		break;
	}
}

/* Return: false when the owner has stopped the watch. */
static bool
take_reply(struct brf_feed *f, const struct brf_query *query,
    const struct brf_link_watch_reply *reply)
{
	struct brf_store_event event = reply->event;
	uint64_t proved_at = brf_relay_proved_at(f->owner, reply);

	if (proved_at > f->proved_at)
		f->proved_at = proved_at;
	if (!f->relayed)
		brf_watch_log_finish(&f->log);
	f->relayed = true;
	if (event.revision <= f->revision)
		event.count = 0; /* the other relay has told them */
	else
		brf_copy_name(f->source, sizeof(f->source), query->relay);
	return (deliver(f, &event));
}

/* Whether the relay may take the place of the store.  One that lacks changes
 * may: all keys are read from it first. */
static bool
may_take_over(const struct brf_feed *f, enum brf_query_result result,
    const struct brf_link_watch_reply *reply)
{
	if (result == BRF_QUERY_FAILED || is_relied_on(f))
		return (false);
	return (result == BRF_QUERY_COMPACTED || reply->age_us < proof_max(f));
}

static void
query_done(struct brf_query *query, enum brf_query_result result,
    const struct brf_link_watch_reply *reply)
{
	struct brf_feed *f = query->data;

	if (f->direct && !may_take_over(f, result, reply)) {
		brf_query_close(query);
		return;
	}
	if (result == BRF_QUERY_OK) {
		if (f->direct)
			leave_store(f);
		if (!take_reply(f, query, reply))
			return;
		ask(f, query);
		review(f);
		return;
	}
	if (result == BRF_QUERY_COMPACTED) {
		brf_copy_name(f->owner->read_from, sizeof(f->owner->read_from),
		    query->relay);
		read_again(f, "changes are missing");
		return;
	}
	brf_query_close(query);
	if (has_open_query(f))
		return;
	if (f->relayed)
		read_again(f, "no relay");
	else
		start_direct(f, 0);
}

/* The youngest proof is too old: whichever sources there are, they are lost. */
static void
expire(struct brf_feed *f)
{
	struct brf_mesh_relay *r = f->owner;
	struct brf_error err;
	size_t i;

	r->expired->value++;
	brf_log(BRF_LOG_WARN, "proof_expired",
	    BRF_LS("prefix", f->outer->prefix), BRF_LS("relay", f->source),
	    BRF_LS("asked", f->direct ? "store" : "relays"),
	    BRF_LU("age_ms", brf_feed_age(f) / BRF_US_PER_MS),
	    BRF_LU("epoch", brf_store_epoch(&r->store)),
	    BRF_LU("revision", f->revision));
	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		if (brf_query_is_open(&f->queries[i]))
			brf_relay_avoid(r, f->queries[i].relay);
	}
	brf_error_set(&err, f->direct ? BRF_E_TIMEOUT : BRF_E_RELAY_LOST, 0,
	    "no proof of being current");
	feed_end(f, &err);
}

static void
on_expiry(struct brf_timer *timer, void *arg)
{
	struct brf_feed *f = arg;
	uint64_t left = proof_left(f);

	if (f->direct && !f->polling)
		return; /* the first poll starts the timer again */
	if (left != 0) {
		f->expiring = false;
		brf_timer_start(f->owner->config.timers, timer, left);
	} else if (!f->expiring) {
		f->expiring = true;
		brf_timer_start(
		    f->owner->config.timers, timer, BRF_RELAY_GRACE_US);
	} else {
		expire(f);
	}
}

/* The store's client ends the watches that are on the store itself. */
static void
on_restored(struct brf_store_observer *observer)
{
	struct brf_mesh_relay *r =
	    brf_container_of(observer, struct brf_mesh_relay, observer);
	struct brf_list *l, *next;
	struct brf_error err;
	struct brf_feed *f;

	brf_relay_reads_restored(r);
	brf_relay_serve(r);
	brf_error_set(&err, BRF_E_STORE_RESTORED, 0,
	    "the store was restored from an older copy");
	brf_list_foreach_safe (l, next, &r->feeds) {
		f = brf_list_entry(l, struct brf_feed, member);
		if (!f->polling)
			feed_end(f, &err);
	}
}

static void
on_tick(struct brf_timer *timer, void *arg)
{
	struct brf_mesh_relay *r = arg;
	struct brf_list *l, *next;
	struct brf_feed *f;

	brf_timer_start(r->config.timers, timer, BRF_RELAY_TICK_US);
	brf_relay_serve(r);
	brf_list_foreach_safe (l, next, &r->feeds) {
		f = brf_list_entry(l, struct brf_feed, member);
		if (!f->direct)
			continue;
		brf_relay_ask_witnesses(f);
		review(f);
	}
}

/* Time until the first poll of @prefix. */
static uint64_t
first_poll_delay(const struct brf_mesh_relay *r, const char *prefix)
{
	uint64_t from = r->started_at + (strcmp(prefix, BRF_ENTRY_PREFIX) == 0
						? BRF_RELAY_TARGETS_DELAY_US
						: BRF_RELAY_OTHERS_DELAY_US);
	uint64_t now = brf_mesh_relay_now(r);

	return (now < from ? from - now : 0);
}

static struct brf_feed *
feed_new(struct brf_mesh_relay *r, struct brf_store_watch *outer)
{
	struct brf_feed *f = brf_calloc(1, sizeof(*f));
	size_t i;

	f->owner = r;
	f->outer = outer;
	f->revision = outer->from != 0 ? outer->from - 1 : 0;
	f->first_poll = (struct brf_timer){ .fire = start_polling, .arg = f };
	f->expiry = (struct brf_timer){ .fire = on_expiry, .arg = f };
	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		brf_query_init(&f->queries[i], r, query_done);
		f->queries[i].data = f;
	}
	brf_relay_witness_init(f);
	f->proved_at =
	    brf_relay_take_read(r, outer->prefix, f->revision, &f->log);
	outer->impl = f;
	brf_list_append(&r->feeds, &f->member);
	return (f);
}

static void
watch_start(struct brf_store *store, struct brf_store_watch *outer)
{
	struct brf_mesh_relay *r = relay_of(store);
	struct brf_feed *f = feed_new(r, outer);

	start_direct(f, first_poll_delay(r, outer->prefix));
	brf_timer_start(r->config.timers, &f->expiry, proof_left(f));
	review(f);
}

static void
watch_stop(struct brf_store *store, struct brf_store_watch *outer)
{
	(void)store;
	if (outer->impl != NULL)
		feed_stop(outer->impl);
}

static void
call_start(struct brf_store *store, struct brf_store_call *call)
{
	struct brf_mesh_relay *r = relay_of(store);

	if (!brf_relay_read_start(r, call))
		brf_store_start(r->config.origin, call);
}

static void
call_cancel(struct brf_store *store, struct brf_store_call *call)
{
	struct brf_mesh_relay *r = relay_of(store);

	if (!brf_relay_read_cancel(r, call))
		brf_store_cancel(r->config.origin, call);
}

static const struct brf_store_vt relay_vt = {
	.start = call_start,
	.cancel = call_cancel,
	.watch_start = watch_start,
	.watch_stop = watch_stop,
};

static void
add_metrics(struct brf_mesh_relay *r, struct brf_metrics *m)
{
	const char *name = "brf_store_watches";
	const char *help = "Open watches of the store, by their source.";

	r->direct = brf_metrics_gauge(m, name, help, "source=\"store\"");
	r->relayed = brf_metrics_gauge(m, name, help, "source=\"relay\"");
	r->served = brf_metrics_counter(m, "brf_store_watches_served_total",
	    "Replies to watches of other nodes.", "");
	r->expired = brf_metrics_counter(m, "brf_store_proofs_expired_total",
	    "Watches that ended as their proof of being current was too old.",
	    "");
}

struct brf_mesh_relay *
brf_mesh_relay_new(const struct brf_mesh_relay_config *config)
{
	struct brf_mesh_relay *r = brf_calloc(1, sizeof(*r));

	r->store.vt = &relay_vt;
	r->store.state = config->origin->state;
	r->handler.vt = &brf_relay_handler_vt;
	r->config = *config;
	brf_list_init(&r->feeds);
	brf_list_init(&r->reads);
	brf_list_init(&r->read_logs);
	brf_list_init(&r->watchers);
	add_metrics(r, config->metrics);
	r->observer.restored = on_restored;
	brf_store_observe(&r->store, &r->observer);
	r->started_at = brf_mesh_relay_now(r);
	r->tick = (struct brf_timer){ .fire = on_tick, .arg = r };
	brf_timer_start(config->timers, &r->tick, BRF_RELAY_TICK_US);
	return (r);
}

void
brf_mesh_relay_free(struct brf_mesh_relay *r)
{
	if (r == NULL)
		return;
	brf_relay_reads_free(r);
	brf_store_unobserve(&r->observer);
	brf_timer_stop(r->config.timers, &r->tick);
	free(r);
}

struct brf_store *
brf_mesh_relay_store(struct brf_mesh_relay *r)
{
	return (&r->store);
}

const char *
brf_mesh_relay_source(const struct brf_mesh_relay *r, const char *prefix)
{
	const struct brf_feed *f = brf_relay_find_feed(r, prefix);

	return (f != NULL ? f->source : "");
}

uint64_t
brf_mesh_relay_proof_age(const struct brf_mesh_relay *r, const char *prefix)
{
	const struct brf_feed *f = brf_relay_find_feed(r, prefix);

	return (f != NULL ? brf_feed_age(f) : UINT64_MAX);
}

struct brf_link_watch_handler *
brf_mesh_relay_handler(struct brf_mesh_relay *r)
{
	return (&r->handler);
}

void
brf_mesh_relay_connect(struct brf_mesh_relay *r, struct brf_links *links,
    const struct brf_directory *directory)
{
	r->links = links;
	r->directory = directory;
}
