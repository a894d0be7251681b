#include "base/log.h"
#include "mesh/relay_impl.h"

/**
 * DOC: Whether a poll of the store still hears of changes.
 *
 * Problem: the connection of a poll can go silent alone.  A poll waits long, so
 * that calls to the store stay few, and what is answered on other connections
 * says nothing of it.
 *
 * A node that polls the store asks two others that poll it: the zone's other
 * relay, and a relay of another zone.  They tell when there is a change.  If
 * the poll does not tell it too, it is sent again, on a new connection.  What
 * is used is still received from the store itself.
 *
 * A node to which nobody replies polls with short waits.  Entries are polled
 * with long ones all the same, since hops and their replies tell changes of
 * them.
 */

/* Beyond the pause between polls; the poll's response may be on its way. */
#define RECHECK_US (100 * BRF_US_PER_MS)
/* From a failure to the next node that is asked. */
#define NEXT_US (500 * BRF_US_PER_MS)
/* Age of the newest proof of another node from which on waits are short, and
 * the time that nodes which start together have to find each other. */
#define CONFIRMED_US (2500 * BRF_US_PER_MS)
#define START_US (2 * CONFIRMED_US)
/* A poll that goes silent is noticed at its end, at most a second later. */
#define SHORT_WAIT_US (1500 * BRF_US_PER_MS)
/* Asked for to learn the revision of another node that lacks older changes. */
#define NO_CHANGES UINT64_MAX

static bool
is_of_targets(const struct brf_feed *f)
{
	return (strcmp(f->outer->prefix, BRF_ENTRY_PREFIX) == 0);
}

static bool
is_confirmed(const struct brf_feed *f)
{
	return (brf_mesh_relay_now(f->owner) < f->confirmed_until);
}

void
brf_relay_repoll(struct brf_feed *f, const char *why)
{
	struct brf_mesh_relay *r = f->owner;

	brf_log(BRF_LOG_INFO, "poll_sent_again",
	    BRF_LS("prefix", f->outer->prefix), BRF_LS("why", why),
	    BRF_LU("revision", f->revision),
	    BRF_LU("elsewhere", f->known_elsewhere));
	brf_store_watch_stop(r->config.origin, &f->inner);
	f->inner.from = f->revision + 1;
	f->inner.wait_us = brf_relay_poll_wait(f);
	brf_store_watch_start(r->config.origin, &f->inner);
}

uint64_t
brf_relay_poll_wait(const struct brf_feed *f)
{
	return (is_confirmed(f) || is_of_targets(f) ? 0 : SHORT_WAIT_US);
}

static void
recheck(struct brf_timer *timer, void *arg)
{
	struct brf_feed *f = arg;

	(void)timer;
	if (f->polling && f->revision < f->known_elsewhere)
		brf_relay_repoll(f, "it missed a change");
}

/* Another node has changes up to @revision. */
static void
learn_revision(struct brf_feed *f, uint64_t revision)
{
	if (revision <= f->revision || revision <= f->known_elsewhere)
		return;
	f->known_elsewhere = revision;
	if (!brf_timer_active(&f->recheck))
		brf_timer_start(f->owner->config.timers, &f->recheck,
		    f->inner.pause_us + RECHECK_US);
}

static void
ask(struct brf_witness *v)
{
	struct brf_feed *f = v->query.data;
	uint64_t age = brf_mesh_relay_now(f->owner) - v->proved_at;

	brf_query_ask(
	    &v->query, f->outer->prefix, v->after, age, BRF_RELAY_SILENT_US);
}

static void
take_reply(struct brf_witness *v, const struct brf_link_watch_reply *reply)
{
	struct brf_feed *f = v->query.data;
	uint64_t newest = 0, proved_at = brf_relay_proved_at(f->owner, reply);
	size_t i;

	for (i = 0; i < reply->event.count; i++) {
		if (reply->event.kvs[i].revision > newest)
			newest = reply->event.kvs[i].revision;
	}
	if (v->after == NO_CHANGES || reply->event.revision > v->after)
		v->after = reply->event.revision;
	if (proved_at > v->proved_at)
		v->proved_at = proved_at;
	if (proved_at + CONFIRMED_US > f->confirmed_until)
		f->confirmed_until = proved_at + CONFIRMED_US;
	learn_revision(f, newest);
}

static void
try_another(struct brf_witness *v)
{
	struct brf_feed *f = v->query.data;

	brf_query_close(&v->query);
	v->turn++;
	v->retry_at = brf_mesh_relay_now(f->owner) + NEXT_US;
}

static void
query_done(struct brf_query *query, enum brf_query_result result,
    const struct brf_link_watch_reply *reply)
{
	struct brf_witness *v =
	    brf_container_of(query, struct brf_witness, query);

	if (result == BRF_QUERY_FAILED) {
		try_another(v);
		return;
	}
	if (result == BRF_QUERY_COMPACTED)
		v->after = NO_CHANGES;
	else
		take_reply(v, reply);
	ask(v);
}

static void
open_witness(struct brf_witness *v, const struct brf_entry *entry)
{
	struct brf_feed *f = v->query.data;

	if (strcmp(v->query.relay, entry->node) == 0 ||
	    brf_mesh_relay_now(f->owner) < v->retry_at)
		return;
	if (!brf_query_open(&v->query, entry)) {
		try_another(v);
		return;
	}
	v->after = f->revision;
	v->proved_at = 0;
	ask(v);
}

static void
choose_witness(struct brf_witness *v, bool in_zone)
{
	struct brf_feed *f = v->query.data;
	const struct brf_entry *entry =
	    in_zone ? brf_relay_choose_partner(f->owner)
		    : brf_relay_choose_outside(f->owner, v->turn);

	if (entry != NULL)
		open_witness(v, entry);
	else
		brf_query_close(&v->query);
}

void
brf_relay_witness_init(struct brf_feed *f)
{
	size_t i;

	f->recheck = (struct brf_timer){ .fire = recheck, .arg = f };
	for (i = 0; i < BRF_RELAY_WITNESSES; i++) {
		brf_query_init(&f->witnesses[i].query, f->owner, query_done);
		f->witnesses[i].query.avoids = false;
		f->witnesses[i].query.data = f;
	}
}

void
brf_relay_witness_begin(struct brf_feed *f)
{
	f->confirmed_until = brf_mesh_relay_now(f->owner);
	if (brf_relay_choose_partner(f->owner) != NULL ||
	    brf_relay_choose_outside(f->owner, 0) != NULL)
		f->confirmed_until += START_US;
}

void
brf_relay_ask_witnesses(struct brf_feed *f)
{
	if (!f->polling)
		return;
	choose_witness(&f->witnesses[0], true);
	if (is_of_targets(f))
		return;
	choose_witness(&f->witnesses[1], false);
	if (f->inner.wait_us == 0 && !is_confirmed(f))
		brf_relay_repoll(f, "nobody confirms it");
}

void
brf_relay_witness_stop(struct brf_feed *f)
{
	size_t i;

	brf_timer_stop(f->owner->config.timers, &f->recheck);
	for (i = 0; i < BRF_RELAY_WITNESSES; i++)
		brf_query_close(&f->witnesses[i].query);
}
