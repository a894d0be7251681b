#ifndef BRF_FOLLOW_H
#define BRF_FOLLOW_H

#include "base/backoff.h"
#include "base/timer.h"
#include "config/store.h"

/**
 * DOC: What the store has under a prefix, kept up to date.
 *
 * Reads all of it once, then watches from that revision on.  When a watch ends
 * for any reason all is read again: a store that forgets its history may take
 * up a watch at a place that it does not have any more, and never tell what
 * was lost.  Keys that are no longer there count as deleted.  What was learned
 * stays while the store can't be reached.
 */

struct brf_follow;

/**
 * struct brf_follow_config - what brf_follow_new() needs; outlives it.
 * @prefix: literal
 * @pause_first_us: after changes, before the store is polled again; doubled
 *	while changes go on, so that the calls of a node are bounded however
 *	many keys change
 * @pause_most_us: up to this
 * @set: a key has a new value
 * @gone: a key was deleted, or has lapsed with its lease
 * @synced: all that the store had was told; called after each reading
 */
struct brf_follow_config {
	struct brf_store *store;
	struct brf_timers *timers;
	struct brf_random *random;
	const char *prefix;
	uint64_t pause_first_us;
	uint64_t pause_most_us;
	void (*set)(void *arg, const struct brf_store_kv *kv);
	void (*gone)(void *arg, const char *key, uint64_t revision);
	void (*synced)(void *arg);
	void *arg;
};

BRF_BEGIN_DECLS

struct brf_follow *brf_follow_new(const struct brf_follow_config *config);
void brf_follow_free(struct brf_follow *f);

/* Whether all was read at least once. */
bool brf_follow_synced(const struct brf_follow *f);

/* Clock time of the store's last answer; 0 before the first. */
uint64_t brf_follow_heard_at(const struct brf_follow *f);

BRF_END_DECLS

#endif
