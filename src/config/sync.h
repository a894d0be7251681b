#ifndef BRF_SYNC_H
#define BRF_SYNC_H

#include "base/metrics.h"
#include "base/random.h"
#include "base/timer.h"
#include "config/docs.h"
#include "config/keys.h"
#include "config/store.h"

/**
 * DOC: Following the store's documents.
 *
 * A chosen node reads all documents once, then watches from there.  A watch
 * can go silent without ending, so the node also asks every two seconds for
 * the one revision that is newest; if the watch has not brought it, all is
 * read again.  Every failure is followed by a backoff with jitter.  Nodes that
 * are not chosen make no call at all.
 *
 * What is in force never goes back (see config/docs.h); a store that has, is
 * counted and logged.
 */

enum brf_sync_state {
	BRF_SYNC_IDLE,	  /* not chosen */
	BRF_SYNC_READING, /* reads all documents, or is about to */
	BRF_SYNC_WATCHING,
	BRF_SYNC_WAITING /* after a failure */
};

/**
 * struct brf_sync_config - what brf_sync_new() needs.
 * @keys: the operators' master ring, which must outlive the sync; NULL
 *	accepts documents without proof
 * @should_follow: whether this node is one of the chosen; asked every second
 */
struct brf_sync_config {
	struct brf_store *store;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_docs *docs;
	const struct brf_keyring *keys;
	bool (*should_follow)(void *arg);
	void *arg;
};

/**
 * struct brf_sync_status - for the node's status.
 * @revision: the store's own, as last heard
 * @heard: clock time when the store last answered; 0 for never
 * @behind: documents that are in force here and that the store has, at the
 *	last reading of all, at a lower revision, with another text under the
 *	same revision, or not at all
 * @refused: stored values that were not taken: no proof, or not valid
 */
struct brf_sync_status {
	enum brf_sync_state state;
	uint64_t revision;
	uint64_t last_response_us;
	size_t behind;
	uint64_t refused;
};

struct brf_sync;

BRF_BEGIN_DECLS

struct brf_sync *brf_sync_new(const struct brf_sync_config *config);
void brf_sync_free(struct brf_sync *sync);

void brf_sync_start(struct brf_sync *sync);

void brf_sync_status(
    const struct brf_sync *sync, struct brf_sync_status *status);

/* "idle", "reading", "watching" or "waiting". */
const char *brf_sync_state_name(enum brf_sync_state state);

BRF_END_DECLS

#endif
