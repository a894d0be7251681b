#ifndef BRF_STORE_MIRROR_H
#define BRF_STORE_MIRROR_H

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

struct brf_store_mirror;

/**
 * struct brf_store_mirror_config - what brf_store_mirror_new() needs; outlives
 *it.
 * @prefix: literal
 * @pause_first_us: after changes, before the store is polled again; doubled
 *	while changes go on, so that the calls of a node are bounded however
 *	many keys change
 * @pause_most_us: up to this
 * @set: a key has a new value
 * @gone: a key was deleted, or has lapsed with its lease
 * @synced: all that the store had was told; called after each reading
 */
struct brf_store_mirror_config {
	struct brf_store *store;
	struct brf_timers *timers;
	struct brf_random *random;
	const char *prefix;
	uint64_t pause_min_us;
	uint64_t pause_max_us;
	void (*set)(void *arg, const struct brf_store_kv *kv);
	void (*deleted)(void *arg, const char *key, uint64_t revision);
	void (*synced)(void *arg);
	void *arg;
};

BRF_BEGIN_DECLS

struct brf_store_mirror *brf_store_mirror_new(
    const struct brf_store_mirror_config *config);
void brf_store_mirror_free(struct brf_store_mirror *f);

/* Whether all was read at least once. */
bool brf_store_mirror_synced(const struct brf_store_mirror *f);

/* Clock time of the store's last answer; 0 before the first. */
uint64_t brf_store_mirror_last_answer_at(const struct brf_store_mirror *f);

BRF_END_DECLS

#endif
