#include <stdlib.h>

#include "base/backoff.h"
#include "base/list.h"
#include "base/log.h"
#include "fleet/crash_writer.h"

#define BACKOFF_FIRST_US (50 * BRF_US_PER_MS)
#define BACKOFF_MOST_US (800 * BRF_US_PER_MS)
#define RECORDS_MAX 256u /* remembered; the oldest is dropped */
#define TTL_US (BRF_CRASH_RECORD_TTL_S * BRF_US_PER_S)

/**
 * struct record - what was put under one key.
 * @put_at: clock time
 * @written: the store has @value
 */
struct record {
	struct brf_list link;
	char key[BRF_CRASH_KEY_MAX];
	struct brf_buf value;
	uint64_t put_at;
	bool written;
};

/**
 * struct brf_crash_writer - see crash_writer.h.
 * @records: list of struct record, oldest first, @count of them
 * @sent: record that the call in progress writes; NULL when it was put again or
 *	dropped since
 * @lease: granted for the next write; 0 for none
 * @busy: @call is in progress
 */
struct brf_crash_writer {
	struct brf_store *store;
	struct brf_store_observer observer;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_list records;
	size_t count;
	struct brf_store_call call;
	struct brf_timer timer;
	struct brf_backoff backoff;
	struct record *sent;
	uint64_t lease;
	bool busy;
};

static void start_next_call(struct brf_crash_writer *w);

static uint64_t
now(const struct brf_crash_writer *w)
{
	return (brf_now(brf_timers_clock(w->timers)));
}

/* @r is in no list any more. */
static void
free_record(struct brf_crash_writer *w, struct record *r)
{
	if (w->sent == r)
		w->sent = NULL;
	brf_buf_free(&r->value);
	free(r);
	w->count--;
}

static void
drop_expired(struct brf_crash_writer *w)
{
	struct brf_list *l;
	struct record *r;

	while ((l = brf_list_pop(&w->records)) != NULL) {
		r = brf_list_entry(l, struct record, link);
		if (w->count <= RECORDS_MAX && r->put_at + TTL_US > now(w)) {
			brf_list_prepend(&w->records, l);
			return;
		}
		free_record(w, r);
	}
}

static struct record *
find_record(const struct brf_crash_writer *w, const char *key)
{
	struct brf_list *l;
	struct record *r;

	brf_list_foreach (l, &w->records) {
		r = brf_list_entry(l, struct record, link);
		if (strcmp(r->key, key) == 0)
			return (r);
	}
	return (NULL);
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	(void)timer;
	start_next_call(arg);
}

static struct brf_crash_writer *
call_ended(struct brf_store_call *call)
{
	struct brf_crash_writer *w =
	    brf_container_of(call, struct brf_crash_writer, call);

	w->busy = false;
	return (w);
}

static void
back_off(struct brf_crash_writer *w, const struct brf_error *err)
{
	if (w->backoff.failures == 0)
		brf_log(BRF_LOG_WARN, "crash_record_delayed", BRF_LE(err));
	brf_timer_start(
	    w->timers, &w->timer, brf_backoff_next(&w->backoff, w->random));
}

static void
lease_granted(
    struct brf_store_call *call, const struct brf_store_response *response)
{
	struct brf_crash_writer *w = call_ended(call);

	if (response->outcome != BRF_STORE_DONE) {
		back_off(w, &response->err);
		return;
	}
	w->lease = response->lease;
	start_next_call(w);
}

static void
put_done(struct brf_store_call *call, const struct brf_store_response *response)
{
	struct brf_crash_writer *w = call_ended(call);

	w->lease = 0;
	if (response->outcome != BRF_STORE_DONE) {
		back_off(w, &response->err);
		return;
	}
	w->backoff.failures = 0;
	if (w->sent != NULL) {
		w->sent->written = true;
		brf_log(BRF_LOG_INFO, "crash_record_written",
		    BRF_LS("key", w->sent->key),
		    BRF_LU("revision", response->revision),
		    BRF_LU("after_ms",
			(now(w) - w->sent->put_at) / BRF_US_PER_MS));
	}
	start_next_call(w);
}

static struct record *
first_unwritten(const struct brf_crash_writer *w)
{
	struct brf_list *l;
	struct record *r;

	brf_list_foreach (l, &w->records) {
		r = brf_list_entry(l, struct record, link);
		if (!r->written)
			return (r);
	}
	return (NULL);
}

static void
start_call(
    struct brf_crash_writer *w, void (*done)(struct brf_store_call *call,
				    const struct brf_store_response *response))
{
	w->busy = true;
	w->call.request.epoch = brf_store_epoch(w->store);
	w->call.done = done;
	brf_store_start(w->store, &w->call);
}

/* At most one call is in progress at a time. */
static void
start_next_call(struct brf_crash_writer *w)
{
	struct record *r;

	if (w->busy)
		return;
	drop_expired(w);
	r = first_unwritten(w);
	if (r == NULL)
		return;
	if (w->lease == 0) {
		w->call.request =
		    (struct brf_store_request){ .op = BRF_STORE_LEASE_GRANT,
			    .ttl_s = BRF_CRASH_RECORD_TTL_S };
		start_call(w, lease_granted);
		return;
	}
	w->sent = r;
	w->call.request = (struct brf_store_request){ .op = BRF_STORE_PUT,
		.key = r->key,
		.value = r->value.data,
		.len = r->value.len,
		.lease = w->lease };
	start_call(w, put_done);
}

/* What was written is lost, and so is its lease. */
static void
on_restored(struct brf_store_observer *observer)
{
	struct brf_crash_writer *w =
	    brf_container_of(observer, struct brf_crash_writer, observer);
	struct brf_list *l;

	if (w->busy)
		brf_store_cancel(w->store, &w->call);
	w->busy = false;
	w->lease = 0;
	w->backoff.failures = 0;
	brf_list_foreach (l, &w->records)
		brf_list_entry(l, struct record, link)->written = false;
	start_next_call(w);
}

struct brf_crash_writer *
brf_crash_writer_new(struct brf_store *store, struct brf_timers *timers,
    struct brf_random *random)
{
	struct brf_crash_writer *w = brf_calloc(1, sizeof(*w));

	w->store = store;
	w->timers = timers;
	w->random = random;
	brf_list_init(&w->records);
	w->backoff = (struct brf_backoff){ .initial_us = BACKOFF_FIRST_US,
		.max_us = BACKOFF_MOST_US };
	w->timer.fire = on_timer;
	w->timer.arg = w;
	w->observer.restored = on_restored;
	brf_store_observe(store, &w->observer);
	return (w);
}

void
brf_crash_writer_free(struct brf_crash_writer *w)
{
	struct brf_list *l;

	if (w == NULL)
		return;
	brf_store_unobserve(&w->observer);
	brf_store_cancel(w->store, &w->call);
	brf_timer_stop(w->timers, &w->timer);
	while ((l = brf_list_pop(&w->records)) != NULL)
		free_record(w, brf_list_entry(l, struct record, link));
	free(w);
}

void
brf_crash_writer_put(
    struct brf_crash_writer *w, const char *key, const struct brf_buf *value)
{
	struct record *r = find_record(w, key);

	if (r == NULL) {
		r = brf_calloc(1, sizeof(*r));
		brf_copy_name(r->key, sizeof(r->key), key);
		w->count++;
	} else
		brf_list_remove(&r->link);
	brf_list_append(&w->records, &r->link);
	if (w->sent == r)
		w->sent = NULL;
	brf_buf_clear(&r->value);
	brf_buf_add(&r->value, value->data, value->len);
	r->put_at = now(w);
	r->written = false;
	if (w->backoff.failures == 0)
		start_next_call(w);
}

void
brf_crash_writer_deleted(struct brf_crash_writer *w, const char *key)
{
	struct record *r = find_record(w, key);

	if (r == NULL || !r->written)
		return;
	r->written = false;
	start_next_call(w);
}
