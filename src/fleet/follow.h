#ifndef BRF_FOLLOW_H
#define BRF_FOLLOW_H

#include "base/backoff.h"
#include "base/timer.h"
#include "config/store.h"

/**
 * DOC: Mirrors the keys under a prefix of the store.
 *
 * Reads all keys, then watches from the revision of that read.  When a watch
 * ends for any reason, all keys are read again: a store that compacts its
 * history may accept a watch from a revision that it no longer has, and never
 * report the changes in between.  Keys that the read does not return count as
 * deleted.  Known keys are kept while the store can't be reached.
 *
 * When the store was restored from an older copy, all keys are read again, and
 * each is reported whatever its revision; keys that the copy does not have
 * count as deleted.
 */

struct brf_store_mirror;

/**
 * struct brf_store_mirror_config - arguments of brf_store_mirror_new().
 * @prefix: outlives the mirror, as do @store, @timers and @random
 * @pause_min_us: pause after a change before the store is polled again,
 *	microseconds; doubled while changes continue, so that a node's calls
 *	are bounded however many keys change
 * @pause_max_us: upper bound of the pause
 * @set: a key is new or has a new value; @kv is valid during the call
 * @deleted: a key was deleted, or lapsed with its lease
 * @synced: called after each full read, when all its changes were reported
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

/* Start to read the store; @config is copied. */
struct brf_store_mirror *brf_store_mirror_new(
    const struct brf_store_mirror_config *config);
void brf_store_mirror_free(struct brf_store_mirror *m);

/* Change the upper bound of the pause; within @set, also of the next one. */
void brf_store_mirror_bound_pause(struct brf_store_mirror *m, uint64_t max_us);

/* Whether all keys were read at least once. */
bool brf_store_mirror_synced(const struct brf_store_mirror *m);

/* Clock time of the store's last answer; 0 before the first. */
uint64_t brf_store_mirror_last_answer_at(const struct brf_store_mirror *m);

/* Time between the last answer and the one before, microseconds; 0 for none. */
uint64_t brf_store_mirror_silent_us(const struct brf_store_mirror *m);

BRF_END_DECLS

#endif
