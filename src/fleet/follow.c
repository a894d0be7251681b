#include <stdlib.h>

#include <xxhash.h>

#include "base/list.h"
#include "base/log.h"
#include "fleet/follow.h"

#define BACKOFF_FIRST_US (50 * BRF_US_PER_MS)
#define BACKOFF_MOST_US (BRF_US_PER_S)
#define BUCKETS 256u

/**
 * struct known - a key that is there.
 * @read: it was in the reading that is being taken in
 */
struct known {
	struct brf_list link;
	char *key;
	uint64_t revision;
	bool read;
};

struct brf_follow {
	struct brf_follow_config config;
	struct brf_store_call call;
	struct brf_store_watch watch;
	struct brf_timer timer;
	struct brf_backoff backoff;
	struct brf_list buckets[BUCKETS];
	uint64_t revision;
	uint64_t heard_at;
	uint64_t changed_at;
	bool synced;
	bool lost;
};

static struct brf_list *
bucket_of(struct brf_follow *f, const char *key)
{
	return (&f->buckets[XXH3_64bits(key, strlen(key)) % BUCKETS]);
}

static struct known *
find(const struct brf_follow *f, const char *key)
{
	struct brf_list *l, *bucket = bucket_of((struct brf_follow *)f, key);
	struct known *k;

	brf_list_foreach (l, bucket) {
		k = brf_list_entry(l, struct known, link);
		if (strcmp(k->key, key) == 0)
			return (k);
	}
	return (NULL);
}

static void
known_free(struct known *k)
{
	brf_list_remove(&k->link);
	free(k->key);
	free(k);
}

static void
drop(struct brf_follow *f, struct known *k, uint64_t revision)
{
	char *key = k->key;

	k->key = NULL;
	known_free(k);
	f->config.gone(f->config.arg, key, revision);
	free(key);
}

static void
take(struct brf_follow *f, const struct brf_store_kv *kv)
{
	struct known *k = find(f, kv->key);

	if (k != NULL && kv->revision <= k->revision) {
		k->read = true;
		return;
	}
	if (kv->deleted) {
		if (k != NULL)
			drop(f, k, kv->revision);
		return;
	}
	if (k == NULL) {
		k = brf_calloc(1, sizeof(*k));
		k->key = brf_strdup(kv->key, strlen(kv->key));
		brf_list_append(bucket_of(f, kv->key), &k->link);
	}
	k->revision = kv->revision;
	k->read = true;
	f->config.set(f->config.arg, kv);
}

static void
heard(struct brf_follow *f)
{
	f->backoff.failures = 0;
	f->heard_at = brf_now(brf_timers_clock(f->config.timers));
	if (f->lost)
		brf_log(BRF_LOG_INFO, "store_regained",
		    BRF_LS("prefix", f->config.prefix),
		    BRF_LU("revision", f->revision));
	f->lost = false;
}

static void
lose(struct brf_follow *f, const struct brf_error *err)
{
	if (!f->lost)
		brf_log(BRF_LOG_WARN, "store_lost",
		    BRF_LS("prefix", f->config.prefix),
		    BRF_LU("revision", f->revision), BRF_LE(err));
	f->lost = true;
}

/* Changes that come alone are heard at once, the first of many soon. */
static void
set_pause(struct brf_follow *f)
{
	const struct brf_follow_config *c = &f->config;
	uint64_t now = brf_now(brf_timers_clock(c->timers));
	uint64_t pause = f->watch.pause_us;

	if (pause == 0 || now - f->changed_at > 2 * c->pause_most_us)
		pause = c->pause_first_us;
	else
		pause =
		    2 * pause < c->pause_most_us ? 2 * pause : c->pause_most_us;
	f->watch.pause_us = pause;
	f->changed_at = now;
}

static void
watch_event(struct brf_store_watch *watch, const struct brf_store_event *event)
{
	struct brf_follow *f =
	    brf_container_of(watch, struct brf_follow, watch);
	size_t i;

	if (event->revision > f->revision)
		f->revision = event->revision;
	heard(f);
	if (event->count != 0)
		set_pause(f);
	for (i = 0; i < event->count; i++)
		take(f, &event->kvs[i]);
}

static void
start_watch(struct brf_timer *timer, void *arg)
{
	struct brf_follow *f = arg;

	(void)timer;
	f->watch.prefix = f->config.prefix;
	f->watch.from = f->revision + 1;
	brf_store_watch_start(f->config.store, &f->watch);
}

static void
clear_read(struct brf_follow *f)
{
	struct brf_list *l;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		brf_list_foreach (l, &f->buckets[i])
			brf_list_entry(l, struct known, link)->read = false;
	}
}

/* What the reading did not have is gone. */
static void
drop_unread(struct brf_follow *f, uint64_t revision)
{
	struct brf_list *l, *next;
	struct known *k;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		brf_list_foreach_safe (l, next, &f->buckets[i]) {
			k = brf_list_entry(l, struct known, link);
			if (!k->read && k->revision <= revision)
				drop(f, k, revision);
		}
	}
}

static void read_all(struct brf_timer *timer, void *arg);

static void
later(struct brf_follow *f, void (*what)(struct brf_timer *timer, void *arg))
{
	f->timer.fire = what;
	brf_timer_start(f->config.timers, &f->timer,
	    brf_backoff_next(&f->backoff, f->config.random));
}

static void
reading_done(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_follow *f = brf_container_of(call, struct brf_follow, call);
	size_t i;

	if (answer->outcome != BRF_STORE_DONE) {
		lose(f, &answer->err);
		later(f, read_all);
		return;
	}
	f->revision = answer->revision;
	heard(f);
	clear_read(f);
	for (i = 0; i < answer->count; i++)
		take(f, &answer->kvs[i]);
	drop_unread(f, answer->revision);
	f->synced = true;
	f->config.synced(f->config.arg);
	start_watch(&f->timer, f);
}

static void
read_all(struct brf_timer *timer, void *arg)
{
	struct brf_follow *f = arg;

	(void)timer;
	f->call.request = (struct brf_store_request){
		.op = BRF_STORE_GET, .key = f->config.prefix, .prefix = true
	};
	f->call.done = reading_done;
	brf_store_start(f->config.store, &f->call);
}

static void
watch_ended(struct brf_store_watch *watch, const struct brf_error *err)
{
	struct brf_follow *f =
	    brf_container_of(watch, struct brf_follow, watch);

	lose(f, err);
	later(f, read_all);
}

struct brf_follow *
brf_follow_new(const struct brf_follow_config *config)
{
	struct brf_follow *f = brf_calloc(1, sizeof(*f));
	size_t i;

	f->config = *config;
	f->backoff = (struct brf_backoff){ .first_us = BACKOFF_FIRST_US,
		.most_us = BACKOFF_MOST_US };
	for (i = 0; i < BUCKETS; i++)
		brf_list_init(&f->buckets[i]);
	f->timer.arg = f;
	f->watch.event = watch_event;
	f->watch.ended = watch_ended;
	read_all(&f->timer, f);
	return (f);
}

void
brf_follow_free(struct brf_follow *f)
{
	struct brf_list *l, *next;
	size_t i;

	if (f == NULL)
		return;
	brf_store_cancel(f->config.store, &f->call);
	brf_store_watch_stop(f->config.store, &f->watch);
	brf_timer_stop(f->config.timers, &f->timer);
	for (i = 0; i < BUCKETS; i++) {
		brf_list_foreach_safe (l, next, &f->buckets[i])
			known_free(brf_list_entry(l, struct known, link));
	}
	free(f);
}

bool
brf_follow_synced(const struct brf_follow *f)
{
	return (f->synced);
}

uint64_t
brf_follow_heard_at(const struct brf_follow *f)
{
	return (f->heard_at);
}
