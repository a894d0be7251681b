#include <stdlib.h>

#include "base/backoff.h"
#include "base/log.h"
#include "config/envelope.h"
#include "config/sync.h"

#define FOLLOW_INTERVAL_US 1000000u /* between two calls of should_follow */
/* Upper bounds of the random delay before the documents are read.  Nodes often
 * start together, and each is selected until it knows the others; few take
 * over from nodes that are lost. */
#define START_DELAY_US 1000000u
#define TAKE_OVER_DELAY_US 100000u
#define STARTING_US 5000000u	 /* time from the start with the longer delay */
#define CHECK_MIN_US 1500000u	 /* between two checks for a silent watch */
#define CHECK_JITTER_US 1000000u /* upper bound of the random addition */
#define BACKOFF_FIRST_US 500000u
#define BACKOFF_MOST_US 3000000u

static const char *const state_names[] = { "idle", "reading", "watching",
	"waiting" };

/**
 * struct brf_sync - state of the synchronization.
 * @read: reads all documents
 * @check: reads the latest revision of any document, to detect a silent watch
 * @reading: @read is open
 * @checking: @check is open
 * @watching: @watch is open
 * @started_at: clock time of brf_sync_start()
 * @follow_timer: calls should_follow
 * @read_timer: starts @read, at first or after a backoff
 * @check_timer: starts @check
 * @latest_revision: highest revision of a document in the last read of all
 *	documents and the events after it
 * @revision: last known revision of the store
 * @read_floor: @revision when @read was sent
 * @check_floor: @revision when @check was sent
 * @last_response_us: clock time of the last response or event
 */
struct brf_sync {
	struct brf_sync_config config;
	enum brf_sync_state state;
	struct brf_store_call read;
	struct brf_store_call check;
	struct brf_store_watch watch;
	bool reading;
	bool checking;
	bool watching;
	uint64_t started_at;
	struct brf_timer follow_timer;
	struct brf_timer read_timer;
	struct brf_timer check_timer;
	struct brf_backoff backoff;
	struct brf_backoff check_backoff;
	uint64_t latest_revision;
	uint64_t revision;
	uint64_t read_floor;
	uint64_t check_floor;
	uint64_t last_response_us;
	size_t behind;
	struct brf_metric *refused;
	struct brf_metric *went_back;
	struct brf_metric *silent;
	struct brf_metric *readings;
	struct brf_metric *behind_gauge;
};

static void read_all(struct brf_timer *timer, void *arg);

const char *
brf_sync_state_name(enum brf_sync_state state)
{
	if ((unsigned)state >= brf_nitems(state_names))
		return ("invalid");
	return (state_names[state]);
}

/* Update the known revision of the store from a response.  @floor is the
 * revision known when the request was sent; a lower one in the response means
 * that the store has lost changes. */
static void
record_response(struct brf_sync *s, uint64_t floor, uint64_t revision)
{
	s->last_response_us = brf_now(brf_timers_clock(s->config.timers));
	if (revision < floor) {
		s->went_back->value++;
		brf_log(BRF_LOG_WARN, "store_went_back",
		    BRF_LU("revision", revision), BRF_LU("was", floor));
	}
	if (revision < floor || revision > s->revision)
		s->revision = revision;
}

/* Update the known revision of the store from a watch event, which may be older
 * than a response received before it. */
static void
record_event(struct brf_sync *s, uint64_t revision)
{
	s->last_response_us = brf_now(brf_timers_clock(s->config.timers));
	if (revision > s->revision)
		s->revision = revision;
}

static void
stop_calls(struct brf_sync *s)
{
	if (s->reading)
		brf_store_cancel(s->config.store, &s->read);
	if (s->checking)
		brf_store_cancel(s->config.store, &s->check);
	if (s->watching)
		brf_store_watch_stop(s->config.store, &s->watch);
	s->reading = false;
	s->checking = false;
	s->watching = false;
	brf_timer_stop(s->config.timers, &s->read_timer);
	brf_timer_stop(s->config.timers, &s->check_timer);
}

static void
back_off(struct brf_sync *s, const struct brf_error *err)
{
	brf_log(BRF_LOG_WARN, "store_failed", BRF_LE(err));
	stop_calls(s);
	s->state = BRF_SYNC_WAITING;
	brf_timer_start(s->config.timers, &s->read_timer,
	    brf_backoff_next(&s->backoff, s->config.random));
}

static void
report_refused(
    struct brf_sync *s, const char *service, const struct brf_error *err)
{
	s->refused->value++;
	brf_log(BRF_LOG_WARN, "document_refused", BRF_LS("service", service),
	    BRF_LE(err));
}

static bool
open_envelope(struct brf_sync *s, const char *service,
    const struct brf_store_kv *kv, struct brf_envelope *envelope,
    struct brf_error *err)
{
	struct brf_keyring *ring = NULL;
	bool ok;

	if (s->config.keys != NULL)
		ring = brf_keyring_derive(s->config.keys, service);
	ok =
	    brf_envelope_open(ring, service, kv->value, kv->len, envelope, err);
	brf_keyring_free(ring);
	return (ok);
}

/* Verify and apply one document read from the store. */
static enum brf_docs_result
apply_key(struct brf_sync *s, const struct brf_store_kv *kv)
{
	const char *service = kv->key + strlen(BRF_DOC_PREFIX);
	struct brf_error err = { .code = BRF_OK };
	enum brf_docs_result result;
	struct brf_envelope envelope;

	if (kv->revision > s->latest_revision)
		s->latest_revision = kv->revision;
	if (kv->deleted) {
		brf_error_set(&err, BRF_E_AUTH, 0,
		    "key deleted without a signed deletion");
		report_refused(s, service, &err);
		return (BRF_DOCS_INVALID);
	}
	if (!open_envelope(s, service, kv, &envelope, &err)) {
		report_refused(s, service, &err);
		return (BRF_DOCS_INVALID);
	}
	result = brf_docs_apply(
	    s->config.docs, service, kv->revision, envelope.text, envelope.len);
	brf_envelope_free(&envelope);
	if (result == BRF_DOCS_INVALID) {
		brf_error_set(&err, BRF_E_DOCUMENT, 0, "revision %llu",
		    (unsigned long long)kv->revision);
		report_refused(s, service, &err);
	}
	return (result);
}

static bool
is_document(const struct brf_store_kv *kv)
{
	return (strncmp(kv->key, BRF_DOC_PREFIX, strlen(BRF_DOC_PREFIX)) == 0);
}

/**
 * struct comparison - documents in force compared with a read of the store.
 * @response: the read of all documents
 * @behind: documents that the store lacks or holds at a lower revision
 */
struct comparison {
	const struct brf_store_response *response;
	size_t behind;
};

static void
compare_one(const char *service, uint64_t revision, const char *text,
    size_t len, void *arg)
{
	struct comparison *c = arg;
	const struct brf_store_kv *kv;
	size_t i;

	for (i = 0; i < c->response->count; i++) {
		kv = &c->response->kvs[i];
		if (is_document(kv) &&
		    strcmp(kv->key + strlen(BRF_DOC_PREFIX), service) == 0 &&
		    kv->revision >= revision)
			return;
	}
	c->behind++;
	brf_log(BRF_LOG_WARN, "store_behind", BRF_LS("service", service),
	    BRF_LU("revision", revision));
}

static void
watch_event(struct brf_store_watch *watch, const struct brf_store_event *event)
{
	struct brf_sync *s = brf_container_of(watch, struct brf_sync, watch);
	size_t i;

	s->backoff.failures = 0;
	record_event(s, event->revision);
	for (i = 0; i < event->count; i++) {
		if (is_document(&event->kvs[i]))
			apply_key(s, &event->kvs[i]);
	}
}

static void
watch_ended(struct brf_store_watch *watch, const struct brf_error *err)
{
	struct brf_sync *s = brf_container_of(watch, struct brf_sync, watch);

	s->watching = false;
	back_off(s, err);
}

static void
schedule_check(struct brf_sync *s)
{
	brf_timer_start(s->config.timers, &s->check_timer,
	    CHECK_MIN_US + brf_random_below(s->config.random, CHECK_JITTER_US));
}

static void
check_done(
    struct brf_store_call *call, const struct brf_store_response *response)
{
	struct brf_sync *s = brf_container_of(call, struct brf_sync, check);
	uint64_t latest_revision =
	    response->count != 0 ? response->kvs[0].revision : 0;

	s->checking = false;
	if (response->outcome != BRF_STORE_DONE) {
		brf_timer_start(s->config.timers, &s->check_timer,
		    brf_backoff_next(&s->check_backoff, s->config.random));
		return;
	}
	s->check_backoff.failures = 0;
	record_response(s, s->check_floor, response->revision);
	if (latest_revision == s->latest_revision) {
		schedule_check(s);
		return;
	}
	s->silent->value++;
	brf_log(BRF_LOG_WARN, "store_watch_silent",
	    BRF_LU("newest", latest_revision),
	    BRF_LU("had", s->latest_revision));
	stop_calls(s);
	read_all(NULL, s);
}

static void
check_latest_revision(struct brf_timer *timer, void *arg)
{
	struct brf_sync *s = arg;

	s->check.request = (struct brf_store_request){ .op = BRF_STORE_GET,
		.key = BRF_DOC_PREFIX,
		.prefix = true,
		.latest_only = true };
	s->check_floor = s->revision;
	s->check.done = check_done;
	s->checking = true;
	brf_store_start(s->config.store, &s->check);
}

static void
apply_all(struct brf_sync *s, const struct brf_store_response *response)
{
	struct comparison c = { .response = response };
	size_t i;

	s->latest_revision = 0;
	brf_docs_each(s->config.docs, compare_one, &c);
	for (i = 0; i < response->count; i++) {
		if (is_document(&response->kvs[i]) &&
		    apply_key(s, &response->kvs[i]) == BRF_DOCS_DIFFERS)
			c.behind++;
	}
	s->behind = c.behind;
	s->behind_gauge->value = (double)c.behind;
}

static void
read_done(
    struct brf_store_call *call, const struct brf_store_response *response)
{
	struct brf_sync *s = brf_container_of(call, struct brf_sync, read);

	s->reading = false;
	if (response->outcome != BRF_STORE_DONE) {
		back_off(s, &response->err);
		return;
	}
	record_response(s, s->read_floor, response->revision);
	apply_all(s, response);
	s->state = BRF_SYNC_WATCHING;
	s->watch.prefix = BRF_DOC_PREFIX;
	s->watch.from = response->revision + 1;
	s->watch.event = watch_event;
	s->watch.ended = watch_ended;
	s->watching = true;
	brf_store_watch_start(s->config.store, &s->watch);
	schedule_check(s);
}

static void
read_all(struct brf_timer *timer, void *arg)
{
	struct brf_sync *s = arg;

	s->state = BRF_SYNC_READING;
	s->readings->value++;
	s->read.request = (struct brf_store_request){
		.op = BRF_STORE_GET, .key = BRF_DOC_PREFIX, .prefix = true
	};
	s->read_floor = s->revision;
	s->read.done = read_done;
	s->reading = true;
	brf_store_start(s->config.store, &s->read);
}

static void
update_following(struct brf_timer *timer, void *arg)
{
	struct brf_sync *s = arg;
	bool selected = s->config.should_follow(s->config.arg);
	bool starting = brf_now(brf_timers_clock(s->config.timers)) <
			s->started_at + STARTING_US;

	brf_timer_start(s->config.timers, timer, FOLLOW_INTERVAL_US);
	if (selected && s->state == BRF_SYNC_IDLE) {
		s->state = BRF_SYNC_READING;
		brf_timer_start(s->config.timers, &s->read_timer,
		    brf_random_below(s->config.random,
			starting ? START_DELAY_US : TAKE_OVER_DELAY_US));
	} else if (!selected && s->state != BRF_SYNC_IDLE) {
		stop_calls(s);
		s->state = BRF_SYNC_IDLE;
	}
}

static void
register_metrics(struct brf_sync *s)
{
	struct brf_metrics *m = s->config.metrics;

	s->refused = brf_metrics_counter(m, "brf_documents_refused_total",
	    "Stored documents that were not taken.", "");
	s->went_back = brf_metrics_counter(m, "brf_store_went_back_total",
	    "Times the store told a lower revision than before.", "");
	s->silent = brf_metrics_counter(m, "brf_store_watch_silent_total",
	    "Watches that were found silent.", "");
	s->readings = brf_metrics_counter(m, "brf_store_readings_total",
	    "Readings of all documents from the store.", "");
	s->behind_gauge = brf_metrics_gauge(m, "brf_store_behind_documents",
	    "Documents in force here that the store has not, or older.", "");
}

struct brf_sync *
brf_sync_new(const struct brf_sync_config *config)
{
	struct brf_sync *s = brf_calloc(1, sizeof(*s));

	s->config = *config;
	s->follow_timer =
	    (struct brf_timer){ .fire = update_following, .arg = s };
	s->read_timer = (struct brf_timer){ .fire = read_all, .arg = s };
	s->check_timer =
	    (struct brf_timer){ .fire = check_latest_revision, .arg = s };
	s->backoff = (struct brf_backoff){ .initial_us = BACKOFF_FIRST_US,
		.max_us = BACKOFF_MOST_US };
	s->check_backoff = s->backoff;
	s->check_backoff.initial_us = CHECK_MIN_US;
	register_metrics(s);
	return (s);
}

void
brf_sync_free(struct brf_sync *sync)
{
	if (sync == NULL)
		return;
	stop_calls(sync);
	brf_timer_stop(sync->config.timers, &sync->follow_timer);
	free(sync);
}

void
brf_sync_start(struct brf_sync *sync)
{
	sync->started_at = brf_now(brf_timers_clock(sync->config.timers));
	brf_timer_start(sync->config.timers, &sync->follow_timer, 0);
}

void
brf_sync_review(struct brf_sync *sync)
{
	if (brf_timer_active(&sync->follow_timer))
		brf_timer_start(sync->config.timers, &sync->follow_timer, 0);
}

void
brf_sync_status(const struct brf_sync *sync, struct brf_sync_status *status)
{
	*status = (struct brf_sync_status){ .state = sync->state,
		.revision = sync->revision,
		.last_response_us = sync->last_response_us,
		.behind = sync->behind,
		.refused = (uint64_t)sync->refused->value };
}
