#include <stdlib.h>

#include "base/backoff.h"
#include "base/list.h"
#include "base/log.h"
#include "fleet/register.h"

/* A lease is renewed three times within its time to live. */
#define RENEW_US (BRF_REGISTRATION_TTL_S * BRF_US_PER_S / 3)
#define BACKOFF_FIRST_US (50 * BRF_US_PER_MS)
#define BACKOFF_MOST_US (800 * BRF_US_PER_MS)

/**
 * struct record - the entry of one target.
 * @entry: to be written
 * @revision: last known revision of the entry in the store; 0 when absent
 * @seen: revision at which a mirror last saw it changed or deleted
 * @seen_missing: it was deleted at @seen
 * @written: the store has @entry under the current lease
 * @uncertain: a write has an unknown outcome, so the revision has to be read
 */
struct record {
	struct brf_list link;
	struct brf_entry entry;
	uint64_t revision;
	uint64_t seen;
	bool seen_missing;
	bool written;
	bool uncertain;
};

/**
 * struct brf_registration - see register.h.
 * @current: record that the call in progress reads or writes; NULL for none
 * @sent: value that it writes
 * @sent_is_last: @current was not set again since it was sent
 * @key: key that it reads or writes
 * @lease: 0 for none
 * @sent_at: clock time at which the last call was started
 * @renewed: clock time at which the lease was asked for or last renewed
 * @probing: see brf_registration_probe()
 * @busy: @call is in progress
 */
struct brf_registration {
	struct brf_store *store;
	struct brf_store_observer observer;
	struct brf_registration_listener listener;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_list records;
	struct brf_store_call call;
	struct brf_timer timer;
	struct brf_backoff backoff;
	struct record *current;
	struct brf_buf sent;
	bool sent_is_last;
	char key[BRF_ENTRY_KEY_MAX];
	uint64_t lease;
	uint64_t sent_at;
	uint64_t renewed;
	bool probing;
	bool busy;
	bool ending;
};

static void start_next_call(struct brf_registration *r);

static uint64_t
now(const struct brf_registration *r)
{
	return (brf_now(brf_timers_clock(r->timers)));
}

static struct record *
find_record(const struct brf_registration *r, const char *id)
{
	struct record *rec;
	struct brf_list *l;

	brf_list_foreach (l, &r->records) {
		rec = brf_list_entry(l, struct record, link);
		if (strcmp(rec->entry.id, id) == 0)
			return (rec);
	}
	return (NULL);
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	(void)timer;
	start_next_call(arg);
}

static void
start_timer(struct brf_registration *r, uint64_t delay)
{
	brf_timer_start(r->timers, &r->timer, delay);
}

static void
back_off(struct brf_registration *r, const struct brf_error *err)
{
	if (r->backoff.failures == 0)
		brf_log(BRF_LOG_WARN, "registration_delayed", BRF_LE(err));
	start_timer(r, brf_backoff_next(&r->backoff, r->random));
}

static void
reset_backoff(struct brf_registration *r)
{
	if (r->backoff.failures != 0)
		brf_log(BRF_LOG_INFO, "registration_resumed",
		    BRF_LU("failures", r->backoff.failures));
	r->backoff.failures = 0;
}

/* Whether the entry has to outlive this process and all leases. */
static bool
is_departure(const struct record *rec)
{
	return (rec->entry.announced != BRF_TARGET_READY);
}

static uint64_t
lease_of(const struct brf_registration *r, const struct record *rec)
{
	return (is_departure(rec) ? 0 : r->lease);
}

static void
lose_lease(struct brf_registration *r)
{
	struct record *rec;
	struct brf_list *l;

	if (r->lease != 0)
		brf_log(
		    BRF_LOG_WARN, "lease_lapsed", BRF_LU("lease", r->lease));
	r->lease = 0;
	brf_list_foreach (l, &r->records) {
		rec = brf_list_entry(l, struct record, link);
		if (!is_departure(rec))
			rec->written = false;
	}
}

static void
start_call(struct brf_registration *r, struct record *rec,
    void (*done)(
	struct brf_store_call *call, const struct brf_store_response *answer))
{
	r->busy = true;
	r->sent_at = now(r);
	r->current = rec;
	r->call.request.epoch = brf_store_epoch(r->store);
	r->call.done = done;
	brf_store_start(r->store, &r->call);
}

static struct brf_registration *
call_ended(struct brf_store_call *call)
{
	struct brf_registration *r =
	    brf_container_of(call, struct brf_registration, call);

	r->busy = false;
	return (r);
}

static void
lease_granted(
    struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_registration *r = call_ended(call);

	if (answer->outcome != BRF_STORE_DONE) {
		back_off(r, &answer->err);
		return;
	}
	reset_backoff(r);
	r->lease = answer->lease;
	r->renewed = r->sent_at;
	brf_log(BRF_LOG_INFO, "lease_granted", BRF_LU("lease", r->lease));
	start_next_call(r);
}

static void
renewed(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_registration *r = call_ended(call);

	if (answer->outcome != BRF_STORE_DONE) {
		back_off(r, &answer->err);
		return;
	}
	reset_backoff(r);
	if (answer->ttl_s == 0)
		lose_lease(r);
	else
		r->renewed = r->sent_at;
	start_next_call(r);
}

/* Compare the entry in the store with the one to be written. */
static void
check_found(struct brf_registration *r, const struct record *rec,
    const struct brf_store_kv *kv)
{
	struct brf_entry found;
	struct brf_error err;

	if (!brf_entry_read(&found, kv->key, kv->value, kv->len, &err)) {
		brf_log(BRF_LOG_WARN, "entry_unreadable", BRF_LE(&err),
		    BRF_LU("revision", kv->revision));
		return;
	}
	if (brf_entry_supersedes(&found, &rec->entry) &&
	    r->listener.superseded != NULL)
		r->listener.superseded(r->listener.arg, &found);
}

/* Takes over the revision that the store has under the current key. */
static void
update_revision(struct brf_registration *r, struct record *rec,
    const struct brf_store_response *answer)
{
	const struct brf_store_kv *kv;
	size_t i;

	rec->revision = 0;
	rec->uncertain = false;
	for (i = 0; i < answer->count; i++) {
		kv = &answer->kvs[i];
		if (strcmp(kv->key, r->key) != 0 || kv->deleted)
			continue;
		rec->revision = kv->revision;
		check_found(r, rec, kv);
	}
}

static void
read_back(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_registration *r = call_ended(call);
	struct record *rec = r->current;

	if (answer->outcome != BRF_STORE_DONE) {
		back_off(r, &answer->err);
		return;
	}
	reset_backoff(r);
	update_revision(r, rec, answer);
	start_next_call(r);
}

/* Whether a mirror has seen a later change of the entry than the last write. */
static void
check_seen(struct record *rec)
{
	if (rec->seen <= rec->revision)
		return;
	rec->revision = rec->seen_missing ? 0 : rec->seen;
	rec->uncertain = !rec->seen_missing;
	rec->seen = 0;
	rec->written = false;
}

static void
write_refused(
    struct brf_registration *r, const struct brf_store_response *answer)
{
	if (answer->err.code == BRF_E_NOT_FOUND) {
		lose_lease(r);
		start_next_call(r);
		return;
	}
	back_off(r, &answer->err);
}

static void
write_done(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_registration *r = call_ended(call);
	struct record *rec = r->current;

	switch (answer->outcome) {
	case BRF_STORE_DONE:
		reset_backoff(r);
		rec->revision = answer->revision;
		rec->written = r->sent_is_last;
		check_seen(rec);
		brf_log(BRF_LOG_INFO, "entry_written",
		    BRF_LS("target", rec->entry.id),
		    BRF_LU("revision", rec->revision),
		    BRF_LU("epoch", rec->entry.epoch));
		if (rec->written && r->listener.written != NULL)
			r->listener.written(r->listener.arg, rec->entry.id);
		start_next_call(r);
		return;
	case BRF_STORE_CONFLICT:
		reset_backoff(r);
		update_revision(r, rec, answer);
		start_next_call(r);
		return;
	case BRF_STORE_REFUSED:
		write_refused(r, answer);
		return;
	case BRF_STORE_UNKNOWN:
		rec->uncertain = true;
		back_off(r, &answer->err);
		return;
	}
}

static void
write_record(struct brf_registration *r, struct record *rec)
{
	brf_entry_key(rec->entry.id, r->key);
	if (rec->uncertain) {
		r->call.request =
		    (struct brf_store_request){ .op = BRF_STORE_GET,
			    .key = r->key };
		start_call(r, rec, read_back);
		return;
	}
	brf_buf_clear(&r->sent);
	rec->entry.epoch = brf_store_epoch(r->store);
	brf_entry_write(&rec->entry, &r->sent);
	r->sent_is_last = true;
	r->call.request = (struct brf_store_request){ .op = BRF_STORE_PUT,
		.key = r->key,
		.value = r->sent.data,
		.len = r->sent.len,
		.compare = true,
		.expect = rec->revision,
		.lease = lease_of(r, rec) };
	start_call(r, rec, write_done);
}

static struct record *
first_unwritten(const struct brf_registration *r)
{
	struct record *rec;
	struct brf_list *l;

	brf_list_foreach (l, &r->records) {
		rec = brf_list_entry(l, struct record, link);
		if (!rec->written)
			return (rec);
	}
	return (NULL);
}

static uint64_t
renewal_due_at(const struct brf_registration *r)
{
	return (
	    r->renewed + (r->probing ? BRF_REGISTRATION_PROBE_US : RENEW_US));
}

static bool
needs_lease(const struct brf_registration *r, const struct record *rec)
{
	return (r->lease == 0 &&
		(r->probing || (rec != NULL && !is_departure(rec))));
}

/* Starts the next call that is due; at most one is in progress at a time. */
static void
start_next_call(struct brf_registration *r)
{
	struct record *rec = first_unwritten(r);

	if (r->busy || r->ending)
		return;
	if (needs_lease(r, rec)) {
		r->call.request =
		    (struct brf_store_request){ .op = BRF_STORE_LEASE_GRANT,
			    .ttl_s = BRF_REGISTRATION_TTL_S };
		start_call(r, NULL, lease_granted);
	} else if (rec != NULL) {
		write_record(r, rec);
	} else if (r->lease != 0 && now(r) >= renewal_due_at(r)) {
		r->call.request =
		    (struct brf_store_request){ .op = BRF_STORE_LEASE_KEEPALIVE,
			    .lease = r->lease };
		start_call(r, NULL, renewed);
	} else if (r->lease != 0) {
		start_timer(r, renewal_due_at(r) - now(r));
	}
}

void
brf_registration_probe(struct brf_registration *r, bool probing)
{
	if (r->probing == probing)
		return;
	r->probing = probing;
	if (r->backoff.failures == 0)
		start_next_call(r);
}

/* What was written is lost, or has lost its lease. */
static void
on_restored(struct brf_store_observer *observer)
{
	struct brf_registration *r =
	    brf_container_of(observer, struct brf_registration, observer);
	struct record *rec;
	struct brf_list *l;

	if (r->ending)
		return;
	if (r->busy)
		brf_store_cancel(r->store, &r->call);
	r->busy = false;
	lose_lease(r);
	brf_list_foreach (l, &r->records) {
		rec = brf_list_entry(l, struct record, link);
		rec->written = false;
		rec->revision = 0;
		rec->seen = 0;
		rec->uncertain = false;
	}
	r->backoff.failures = 0;
	start_next_call(r);
}

struct brf_registration *
brf_registration_new(struct brf_store *store, struct brf_timers *timers,
    struct brf_random *random)
{
	struct brf_registration *r = brf_calloc(1, sizeof(*r));

	r->store = store;
	r->timers = timers;
	r->random = random;
	brf_list_init(&r->records);
	r->backoff = (struct brf_backoff){ .initial_us = BACKOFF_FIRST_US,
		.max_us = BACKOFF_MOST_US };
	r->timer.fire = on_timer;
	r->timer.arg = r;
	r->observer.restored = on_restored;
	brf_store_observe(store, &r->observer);
	return (r);
}

void
brf_registration_free(struct brf_registration *r)
{
	struct brf_list *l;
	struct record *rec;

	if (r == NULL)
		return;
	brf_store_unobserve(&r->observer);
	brf_store_cancel(r->store, &r->call);
	brf_timer_stop(r->timers, &r->timer);
	while ((l = brf_list_pop(&r->records)) != NULL) {
		rec = brf_list_entry(l, struct record, link);
		free(rec);
	}
	brf_buf_free(&r->sent);
	free(r);
}

void
brf_registration_listen(struct brf_registration *r,
    const struct brf_registration_listener *listener)
{
	r->listener = *listener;
}

bool
brf_registration_is_pending(const struct brf_registration *r, const char *id)
{
	const struct record *rec = find_record(r, id);

	return (rec != NULL && !rec->written);
}

const struct brf_entry *
brf_registration_entry(const struct brf_registration *r, const char *id)
{
	const struct record *rec = find_record(r, id);

	return (rec != NULL ? &rec->entry : NULL);
}

void
brf_registration_set(struct brf_registration *r, const struct brf_entry *entry)
{
	struct record *rec = find_record(r, entry->id);

	if (rec == NULL) {
		rec = brf_calloc(1, sizeof(*rec));
		brf_list_append(&r->records, &rec->link);
	}
	rec->entry = *entry;
	rec->written = false;
	if (rec == r->current)
		r->sent_is_last = false;
	start_next_call(r);
}

void
brf_registration_entry_seen(
    struct brf_registration *r, const char *id, uint64_t revision, bool missing)
{
	struct record *rec = find_record(r, id);

	if (rec == NULL || revision <= rec->seen)
		return;
	rec->seen = revision;
	rec->seen_missing = missing;
	/* what was seen may be the write in progress */
	if (r->busy && r->current == rec)
		return;
	check_seen(rec);
	start_next_call(r);
}

static void
revoked(struct brf_store_call *call, const struct brf_store_response *answer)
{
	(void)answer;
	call_ended(call);
}

void
brf_registration_end(struct brf_registration *r)
{
	if (r->ending)
		return;
	r->ending = true;
	brf_timer_stop(r->timers, &r->timer);
	if (r->busy)
		brf_store_cancel(r->store, &r->call);
	if (r->lease == 0)
		return;
	r->call.request =
	    (struct brf_store_request){ .op = BRF_STORE_LEASE_REVOKE,
		    .lease = r->lease };
	start_call(r, NULL, revoked);
}
