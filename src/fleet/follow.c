#include <stdlib.h>

#include <xxhash.h>

#include "base/list.h"
#include "base/log.h"
#include "fleet/follow.h"

#define BACKOFF_FIRST_US (50 * BRF_US_PER_MS)
#define BACKOFF_MOST_US (BRF_US_PER_S)
#define BUCKETS 256u

/**
 * struct known_key - a key that the store has.
 * @revision: at which it was last changed; 0 when that was in an earlier epoch
 * @read: the full read in progress has returned it
 */
struct known_key {
	struct brf_list link;
	char *key;
	uint64_t revision;
	bool read;
};

/**
 * struct brf_store_mirror - see follow.h.
 * @buckets: hash table of struct known_key
 * @revision: last revision of the store that was applied
 * @last_answer_at: clock time of the store's last answer; 0 before the first
 * @silent_us: time between the last two answers
 * @last_change_at: clock time of the last change
 * @unreachable: the last call or watch failed
 */
struct brf_store_mirror {
	struct brf_store_mirror_config config;
	struct brf_store_observer observer;
	struct brf_store_call call;
	struct brf_store_watch watch;
	struct brf_timer timer;
	struct brf_backoff backoff;
	struct brf_list buckets[BUCKETS];
	uint64_t revision;
	uint64_t last_answer_at;
	uint64_t silent_us;
	uint64_t last_change_at;
	bool synced;
	bool unreachable;
};

static struct brf_list *
bucket_of(struct brf_store_mirror *m, const char *key)
{
	return (&m->buckets[XXH3_64bits(key, strlen(key)) % BUCKETS]);
}

static struct known_key *
find(const struct brf_store_mirror *m, const char *key)
{
	struct brf_list *l,
	    *bucket = bucket_of((struct brf_store_mirror *)m, key);
	struct known_key *k;

	brf_list_foreach (l, bucket) {
		k = brf_list_entry(l, struct known_key, link);
		if (strcmp(k->key, key) == 0)
			return (k);
	}
	return (NULL);
}

static void
known_key_free(struct known_key *k)
{
	brf_list_remove(&k->link);
	free(k->key);
	free(k);
}

static void
drop_key(struct brf_store_mirror *m, struct known_key *k, uint64_t revision)
{
	char *key = k->key;

	k->key = NULL;
	known_key_free(k);
	m->config.deleted(m->config.arg, key, revision);
	free(key);
}

static void
apply(struct brf_store_mirror *m, const struct brf_store_kv *kv)
{
	struct known_key *k = find(m, kv->key);

	if (k != NULL && kv->revision <= k->revision) {
		k->read = true;
		return;
	}
	if (kv->deleted) {
		if (k != NULL)
			drop_key(m, k, kv->revision);
		return;
	}
	if (k == NULL) {
		k = brf_calloc(1, sizeof(*k));
		k->key = brf_strdup(kv->key, strlen(kv->key));
		brf_list_append(bucket_of(m, kv->key), &k->link);
	}
	k->revision = kv->revision;
	k->read = true;
	m->config.set(m->config.arg, kv);
}

static void
mark_reachable(struct brf_store_mirror *m)
{
	uint64_t now = brf_now(brf_timers_clock(m->config.timers));

	m->backoff.failures = 0;
	m->silent_us = m->last_answer_at != 0 ? now - m->last_answer_at : 0;
	m->last_answer_at = now;
	if (m->unreachable)
		brf_log(BRF_LOG_INFO, "store_regained",
		    BRF_LS("prefix", m->config.prefix),
		    BRF_LU("revision", m->revision));
	m->unreachable = false;
}

static void
mark_unreachable(struct brf_store_mirror *m, const struct brf_error *err)
{
	if (!m->unreachable)
		brf_log(BRF_LOG_WARN, "store_lost",
		    BRF_LS("prefix", m->config.prefix),
		    BRF_LU("revision", m->revision), BRF_LE(err));
	m->unreachable = true;
}

/*
 * A change after a quiet period is received at once.  While changes continue,
 * the pause before the next poll doubles from the minimum to the maximum.
 */
static void
set_pause(struct brf_store_mirror *m)
{
	const struct brf_store_mirror_config *c = &m->config;
	uint64_t now = brf_now(brf_timers_clock(c->timers));
	uint64_t pause = m->watch.pause_us;

	if (pause == 0 || now - m->last_change_at > 2 * c->pause_max_us)
		pause = c->pause_min_us;
	else
		pause =
		    2 * pause < c->pause_max_us ? 2 * pause : c->pause_max_us;
	m->watch.pause_us = pause;
	m->last_change_at = now;
}

static void
watch_event(struct brf_store_watch *watch, const struct brf_store_event *event)
{
	struct brf_store_mirror *m =
	    brf_container_of(watch, struct brf_store_mirror, watch);
	size_t i;

	if (event->revision > m->revision)
		m->revision = event->revision;
	mark_reachable(m);
	if (event->count != 0)
		set_pause(m);
	for (i = 0; i < event->count; i++)
		apply(m, &event->kvs[i]);
}

static void
start_watch(struct brf_timer *timer, void *arg)
{
	struct brf_store_mirror *m = arg;

	(void)timer;
	m->watch.prefix = m->config.prefix;
	m->watch.from = m->revision + 1;
	brf_store_watch_start(m->config.store, &m->watch);
}

static void
clear_read(struct brf_store_mirror *m)
{
	struct brf_list *l;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		brf_list_foreach (l, &m->buckets[i])
			brf_list_entry(l, struct known_key, link)->read = false;
	}
}

/* Drops the keys that the full read did not return. */
static void
drop_unread_keys(struct brf_store_mirror *m, uint64_t revision)
{
	struct brf_list *l, *next;
	struct known_key *k;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		brf_list_foreach_safe (l, next, &m->buckets[i]) {
			k = brf_list_entry(l, struct known_key, link);
			if (!k->read && k->revision <= revision)
				drop_key(m, k, revision);
		}
	}
}

static void read_all(struct brf_timer *timer, void *arg);

static void
retry_later(struct brf_store_mirror *m,
    void (*callback)(struct brf_timer *timer, void *arg))
{
	m->timer.fire = callback;
	brf_timer_start(m->config.timers, &m->timer,
	    brf_backoff_next(&m->backoff, m->config.random));
}

static void
read_done(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_store_mirror *m =
	    brf_container_of(call, struct brf_store_mirror, call);
	size_t i;

	if (answer->outcome != BRF_STORE_DONE) {
		mark_unreachable(m, &answer->err);
		retry_later(m, read_all);
		return;
	}
	m->revision = answer->revision;
	mark_reachable(m);
	clear_read(m);
	for (i = 0; i < answer->count; i++)
		apply(m, &answer->kvs[i]);
	drop_unread_keys(m, answer->revision);
	m->synced = true;
	m->config.synced(m->config.arg);
	start_watch(&m->timer, m);
}

static void
read_all(struct brf_timer *timer, void *arg)
{
	struct brf_store_mirror *m = arg;

	(void)timer;
	m->call.request = (struct brf_store_request){
		.op = BRF_STORE_GET, .key = m->config.prefix, .prefix = true
	};
	m->call.done = read_done;
	brf_store_start(m->config.store, &m->call);
}

static void
on_restored(struct brf_store_observer *observer)
{
	struct brf_store_mirror *m =
	    brf_container_of(observer, struct brf_store_mirror, observer);
	struct brf_list *l;
	size_t i;

	brf_store_cancel(m->config.store, &m->call);
	brf_store_watch_stop(m->config.store, &m->watch);
	for (i = 0; i < BUCKETS; i++) {
		brf_list_foreach (l, &m->buckets[i])
			brf_list_entry(l, struct known_key, link)->revision = 0;
	}
	m->revision = 0;
	m->backoff.failures = 0;
	retry_later(m, read_all);
}

/* Whether the watch ended because the store can't be reached. */
static bool
is_outage(const struct brf_error *err)
{
	return (err->code != BRF_E_STORE_COMPACTED &&
		err->code != BRF_E_STORE_RESTORED &&
		err->code != BRF_E_RELAY_LOST);
}

static void
watch_ended(struct brf_store_watch *watch, const struct brf_error *err)
{
	struct brf_store_mirror *m =
	    brf_container_of(watch, struct brf_store_mirror, watch);

	if (is_outage(err))
		mark_unreachable(m, err);
	else
		brf_log(BRF_LOG_INFO, "watch_ended",
		    BRF_LS("prefix", m->config.prefix),
		    BRF_LU("revision", m->revision), BRF_LE(err));
	retry_later(m, read_all);
}

struct brf_store_mirror *
brf_store_mirror_new(const struct brf_store_mirror_config *config)
{
	struct brf_store_mirror *m = brf_calloc(1, sizeof(*m));
	size_t i;

	m->config = *config;
	m->backoff = (struct brf_backoff){ .initial_us = BACKOFF_FIRST_US,
		.max_us = BACKOFF_MOST_US };
	for (i = 0; i < BUCKETS; i++)
		brf_list_init(&m->buckets[i]);
	m->timer.arg = m;
	m->watch.event = watch_event;
	m->watch.ended = watch_ended;
	m->observer.restored = on_restored;
	brf_store_observe(config->store, &m->observer);
	read_all(&m->timer, m);
	return (m);
}

void
brf_store_mirror_free(struct brf_store_mirror *m)
{
	struct brf_list *l, *next;
	size_t i;

	if (m == NULL)
		return;
	brf_store_unobserve(&m->observer);
	brf_store_cancel(m->config.store, &m->call);
	brf_store_watch_stop(m->config.store, &m->watch);
	brf_timer_stop(m->config.timers, &m->timer);
	for (i = 0; i < BUCKETS; i++) {
		brf_list_foreach_safe (l, next, &m->buckets[i])
			known_key_free(
			    brf_list_entry(l, struct known_key, link));
	}
	free(m);
}

void
brf_store_mirror_bound_pause(struct brf_store_mirror *m, uint64_t max_us)
{
	m->config.pause_max_us = max_us;
	if (m->watch.pause_us > max_us)
		m->watch.pause_us = max_us;
}

bool
brf_store_mirror_synced(const struct brf_store_mirror *m)
{
	return (m->synced);
}

uint64_t
brf_store_mirror_last_answer_at(const struct brf_store_mirror *m)
{
	return (m->last_answer_at);
}

uint64_t
brf_store_mirror_silent_us(const struct brf_store_mirror *m)
{
	return (m->silent_us);
}
