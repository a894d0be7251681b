#include <stdlib.h>

#include "base/backoff.h"
#include "base/list.h"
#include "base/log.h"
#include "fleet/register.h"

#define KEEP_US (BRF_REGISTER_TTL_S * BRF_US_PER_S / 4)
#define BACKOFF_FIRST_US (50 * BRF_US_PER_MS)
#define BACKOFF_MOST_US (800 * BRF_US_PER_MS)

/**
 * struct record - one target's entry.
 * @text: what the store shall have
 * @revision: of the entry in the store, as far as known; 0 when absent
 * @written: the store has @text, under the present lease
 * @doubt: a write may still be under way, so the revision has to be read
 */
struct record {
	struct brf_list link;
	char id[BRF_ENTRY_ID_MAX + 1];
	struct brf_buf text;
	uint64_t revision;
	bool written;
	bool doubt;
};

struct brf_register {
	struct brf_store *store;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_list records;
	struct brf_store_call call;
	struct brf_timer timer;
	struct brf_backoff backoff;
	struct record *under_way;
	struct brf_buf sent;
	char key[BRF_ENTRY_KEY_MAX];
	uint64_t lease;
	uint64_t kept;
	bool busy;
	bool ending;
};

static void step(struct brf_register *r);

static uint64_t
now(const struct brf_register *r)
{
	return (brf_now(brf_timers_clock(r->timers)));
}

static struct record *
find(const struct brf_register *r, const char *id)
{
	struct record *rec;
	struct brf_list *l;

	brf_list_foreach (l, &r->records) {
		rec = brf_list_entry(l, struct record, link);
		if (strcmp(rec->id, id) == 0)
			return (rec);
	}
	return (NULL);
}

static void
wake(struct brf_timer *timer, void *arg)
{
	(void)timer;
	step(arg);
}

static void
later(struct brf_register *r, uint64_t delay)
{
	brf_timer_start(r->timers, &r->timer, delay);
}

static void
back_off(struct brf_register *r, const struct brf_error *err)
{
	if (r->backoff.failures == 0)
		brf_log(BRF_LOG_WARN, "registration_delayed", BRF_LE(err));
	later(r, brf_backoff_next(&r->backoff, r->random));
}

static void
settled(struct brf_register *r)
{
	if (r->backoff.failures != 0)
		brf_log(BRF_LOG_INFO, "registration_resumed",
		    BRF_LU("failures", r->backoff.failures));
	r->backoff.failures = 0;
}

static void
lose_lease(struct brf_register *r)
{
	struct brf_list *l;

	if (r->lease != 0)
		brf_log(
		    BRF_LOG_WARN, "lease_lapsed", BRF_LU("lease", r->lease));
	r->lease = 0;
	brf_list_foreach (l, &r->records)
		brf_list_entry(l, struct record, link)->written = false;
}

static void
start(struct brf_register *r, void (*done)(struct brf_store_call *call,
				  const struct brf_store_response *answer))
{
	r->busy = true;
	r->call.done = done;
	brf_store_start(r->store, &r->call);
}

static struct brf_register *
ended(struct brf_store_call *call)
{
	struct brf_register *r =
	    brf_container_of(call, struct brf_register, call);

	r->busy = false;
	return (r);
}

static void
granted(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_register *r = ended(call);

	if (answer->outcome != BRF_STORE_DONE) {
		back_off(r, &answer->err);
		return;
	}
	settled(r);
	r->lease = answer->lease;
	r->kept = now(r);
	brf_log(BRF_LOG_INFO, "lease_granted", BRF_LU("lease", r->lease));
	step(r);
}

static void
kept(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_register *r = ended(call);

	if (answer->outcome != BRF_STORE_DONE) {
		back_off(r, &answer->err);
		return;
	}
	settled(r);
	if (answer->ttl_s == 0)
		lose_lease(r);
	else
		r->kept = now(r);
	step(r);
}

/* What the store has under the key of the entry that is under way. */
static void
learn(struct brf_register *r, struct record *rec,
    const struct brf_store_response *answer)
{
	size_t i;

	rec->revision = 0;
	rec->doubt = false;
	for (i = 0; i < answer->count; i++) {
		if (strcmp(answer->kvs[i].key, r->key) == 0 &&
		    !answer->kvs[i].deleted)
			rec->revision = answer->kvs[i].revision;
	}
}

static void
read_back(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_register *r = ended(call);
	struct record *rec = r->under_way;

	if (answer->outcome != BRF_STORE_DONE) {
		back_off(r, &answer->err);
		return;
	}
	settled(r);
	learn(r, rec, answer);
	step(r);
}

static void
put_refused(struct brf_register *r, const struct brf_store_response *answer)
{
	if (answer->err.code == BRF_E_NOT_FOUND) {
		lose_lease(r);
		step(r);
		return;
	}
	back_off(r, &answer->err);
}

static void
put_done(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_register *r = ended(call);
	struct record *rec = r->under_way;

	switch (answer->outcome) {
	case BRF_STORE_DONE:
		settled(r);
		rec->revision = answer->revision;
		rec->written =
		    rec->text.len == r->sent.len &&
		    memcmp(rec->text.data, r->sent.data, r->sent.len) == 0;
		brf_log(BRF_LOG_INFO, "entry_written",
		    BRF_LS("target", rec->id),
		    BRF_LU("revision", rec->revision));
		step(r);
		return;
	case BRF_STORE_CONFLICT:
		settled(r);
		learn(r, rec, answer);
		step(r);
		return;
	case BRF_STORE_REFUSED:
		put_refused(r, answer);
		return;
	case BRF_STORE_UNKNOWN:
		rec->doubt = true;
		back_off(r, &answer->err);
		return;
	}
}

static void
put(struct brf_register *r, struct record *rec)
{
	r->under_way = rec;
	brf_entry_key(rec->id, r->key);
	if (rec->doubt) {
		r->call.request =
		    (struct brf_store_request){ .op = BRF_STORE_GET,
			    .key = r->key };
		start(r, read_back);
		return;
	}
	brf_buf_clear(&r->sent);
	brf_buf_add(&r->sent, rec->text.data, rec->text.len);
	r->call.request = (struct brf_store_request){ .op = BRF_STORE_PUT,
		.key = r->key,
		.value = r->sent.data,
		.len = r->sent.len,
		.compare = true,
		.expect = rec->revision,
		.lease = r->lease };
	start(r, put_done);
}

static struct record *
first_unwritten(const struct brf_register *r)
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

/* Do the next thing that is due; only one call is under way at a time. */
static void
step(struct brf_register *r)
{
	struct record *rec = first_unwritten(r);
	uint64_t t = now(r);

	if (r->busy || r->ending)
		return;
	if (rec != NULL && r->lease == 0) {
		r->call.request =
		    (struct brf_store_request){ .op = BRF_STORE_LEASE_GRANT,
			    .ttl_s = BRF_REGISTER_TTL_S };
		start(r, granted);
	} else if (rec != NULL) {
		put(r, rec);
	} else if (r->lease != 0 && t >= r->kept + KEEP_US) {
		r->call.request =
		    (struct brf_store_request){ .op = BRF_STORE_LEASE_KEEPALIVE,
			    .lease = r->lease };
		start(r, kept);
	} else if (r->lease != 0) {
		later(r, r->kept + KEEP_US - t);
	}
}

struct brf_register *
brf_register_new(struct brf_store *store, struct brf_timers *timers,
    struct brf_random *random)
{
	struct brf_register *r = brf_calloc(1, sizeof(*r));

	r->store = store;
	r->timers = timers;
	r->random = random;
	brf_list_init(&r->records);
	r->backoff = (struct brf_backoff){ .first_us = BACKOFF_FIRST_US,
		.most_us = BACKOFF_MOST_US };
	r->timer.fire = wake;
	r->timer.arg = r;
	return (r);
}

void
brf_register_free(struct brf_register *r)
{
	struct brf_list *l;
	struct record *rec;

	if (r == NULL)
		return;
	brf_store_cancel(r->store, &r->call);
	brf_timer_stop(r->timers, &r->timer);
	while ((l = brf_list_pop(&r->records)) != NULL) {
		rec = brf_list_entry(l, struct record, link);
		brf_buf_free(&rec->text);
		free(rec);
	}
	brf_buf_free(&r->sent);
	free(r);
}

void
brf_register_set(struct brf_register *r, const struct brf_entry *entry)
{
	struct record *rec = find(r, entry->id);

	if (rec == NULL) {
		rec = brf_calloc(1, sizeof(*rec));
		brf_copy_name(rec->id, sizeof(rec->id), entry->id);
		brf_list_append(&r->records, &rec->link);
	}
	brf_buf_clear(&rec->text);
	brf_entry_write(entry, &rec->text);
	rec->written = false;
	step(r);
}

void
brf_register_missing(struct brf_register *r, const char *id)
{
	struct record *rec = find(r, id);

	if (rec == NULL || r->busy)
		return;
	rec->revision = 0;
	rec->written = false;
	step(r);
}

static void
ignore(struct brf_store_call *call, const struct brf_store_response *answer)
{
	(void)answer;
	ended(call);
}

void
brf_register_end(struct brf_register *r)
{
	if (r->ending)
		return;
	r->ending = true;
	brf_timer_stop(r->timers, &r->timer);
	if (r->busy)
		brf_store_cancel(r->store, &r->call);
	if (r->lease == 0)
		return;
	r->call.request = (struct brf_store_request){ .op = BRF_STORE_LEASE_REVOKE,
		.lease = r->lease };
	start(r, ignore);
}
