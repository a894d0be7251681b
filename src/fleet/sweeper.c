#include <stdlib.h>

#include "base/backoff.h"
#include "base/list.h"
#include "base/log.h"
#include "fleet/entry.h"
#include "fleet/sweeper.h"

#define BACKOFF_FIRST_US BRF_US_PER_S
#define BACKOFF_MOST_US (60 * BRF_US_PER_S)

/**
 * struct item - an entry to be deleted.
 * @revision: at which it was seen
 * @due: clock time of the next step
 * @spread: the random part of the wait is in @due
 */
struct item {
	struct brf_list link;
	char key[BRF_ENTRY_KEY_MAX];
	uint64_t revision;
	uint64_t due;
	bool spread;
};

/**
 * struct brf_sweeper - see sweeper.h.
 * @items: list of struct item
 * @fleet: number of targets
 * @current: item that the call in progress deletes; NULL for none, or when it
 *	was forgotten or seen again since
 * @busy: @call is in progress
 */
struct brf_sweeper {
	struct brf_store *store;
	struct brf_store_observer observer;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_list items;
	size_t fleet;
	struct brf_store_call call;
	struct brf_timer timer;
	struct brf_backoff backoff;
	struct item *current;
	bool busy;
};

static void step(struct brf_sweeper *s);

static uint64_t
now(const struct brf_sweeper *s)
{
	return (brf_now(brf_timers_clock(s->timers)));
}

static void
item_free(struct brf_sweeper *s, struct item *item)
{
	if (s->current == item)
		s->current = NULL;
	brf_list_remove(&item->link);
	free(item);
}

static struct item *
find_item(const struct brf_sweeper *s, const char *key)
{
	struct item *item;
	struct brf_list *l;

	brf_list_foreach (l, &s->items) {
		item = brf_list_entry(l, struct item, link);
		if (strcmp(item->key, key) == 0)
			return (item);
	}
	return (NULL);
}

static struct item *
first_due(const struct brf_sweeper *s)
{
	struct item *item, *first = NULL;
	struct brf_list *l;

	brf_list_foreach (l, &s->items) {
		item = brf_list_entry(l, struct item, link);
		if (first == NULL || item->due < first->due)
			first = item;
	}
	return (first);
}

static void
deleted(struct brf_store_call *call, const struct brf_store_response *response)
{
	struct brf_sweeper *s =
	    brf_container_of(call, struct brf_sweeper, call);
	struct item *item = s->current;

	s->busy = false;
	s->current = NULL;
	if (response->outcome == BRF_STORE_DONE ||
	    response->outcome == BRF_STORE_CONFLICT) {
		s->backoff.failures = 0;
		if (item != NULL)
			item_free(s, item);
	} else if (item != NULL) {
		if (s->backoff.failures == 0)
			brf_log(BRF_LOG_WARN, "sweep_delayed",
			    BRF_LS("key", item->key), BRF_LE(&response->err));
		item->due = now(s) + brf_backoff_next(&s->backoff, s->random);
	}
	step(s);
}

static void
delete_entry(struct brf_sweeper *s, struct item *item)
{
	brf_log(BRF_LOG_INFO, "departure_swept", BRF_LS("key", item->key),
	    BRF_LU("revision", item->revision));
	s->busy = true;
	s->current = item;
	s->call.request = (struct brf_store_request){ .op = BRF_STORE_DELETE,
		.key = item->key,
		.compare = true,
		.expect = item->revision,
		.epoch = brf_store_epoch(s->store) };
	s->call.done = deleted;
	brf_store_start(s->store, &s->call);
}

/* Do what is due; at most one call is in progress at a time. */
static void
step(struct brf_sweeper *s)
{
	struct item *item;

	while (!s->busy && (item = first_due(s)) != NULL) {
		if (item->due > now(s)) {
			brf_timer_start(
			    s->timers, &s->timer, item->due - now(s));
			return;
		}
		if (item->spread) {
			delete_entry(s, item);
			return;
		}
		item->spread = true;
		item->due =
		    now(s) + brf_random_below(s->random,
				 (s->fleet + 1) * BRF_SWEEPER_SPREAD_US);
	}
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	(void)timer;
	step(arg);
}

static void
forget_all(struct brf_sweeper *s)
{
	struct item *item;

	while ((item = first_due(s)) != NULL)
		item_free(s, item);
}

/* The mirror of the store reports all entries again, at other revisions. */
static void
on_restored(struct brf_store_observer *observer)
{
	struct brf_sweeper *s =
	    brf_container_of(observer, struct brf_sweeper, observer);

	if (s->busy)
		brf_store_cancel(s->store, &s->call);
	s->busy = false;
	forget_all(s);
}

struct brf_sweeper *
brf_sweeper_new(struct brf_store *store, struct brf_timers *timers,
    struct brf_random *random)
{
	struct brf_sweeper *s = brf_calloc(1, sizeof(*s));

	s->store = store;
	s->timers = timers;
	s->random = random;
	brf_list_init(&s->items);
	s->backoff = (struct brf_backoff){ .initial_us = BACKOFF_FIRST_US,
		.max_us = BACKOFF_MOST_US };
	s->timer.fire = on_timer;
	s->timer.arg = s;
	s->observer.restored = on_restored;
	brf_store_observe(store, &s->observer);
	return (s);
}

void
brf_sweeper_free(struct brf_sweeper *s)
{
	if (s == NULL)
		return;
	brf_store_unobserve(&s->observer);
	if (s->busy)
		brf_store_cancel(s->store, &s->call);
	brf_timer_stop(s->timers, &s->timer);
	forget_all(s);
	free(s);
}

void
brf_sweeper_set_fleet(struct brf_sweeper *s, size_t targets)
{
	s->fleet = targets;
}

void
brf_sweeper_add(struct brf_sweeper *s, const char *key, uint64_t revision)
{
	struct item *item = find_item(s, key);

	if (item != NULL && item->revision == revision)
		return;
	if (item != NULL)
		item_free(s, item);
	item = brf_calloc(1, sizeof(*item));
	brf_copy_name(item->key, sizeof(item->key), key);
	item->revision = revision;
	item->due = now(s) + BRF_SWEEPER_KEEP_US;
	brf_list_append(&s->items, &item->link);
	step(s);
}

void
brf_sweeper_forget(struct brf_sweeper *s, const char *key)
{
	struct item *item = find_item(s, key);

	if (item != NULL)
		item_free(s, item);
}
