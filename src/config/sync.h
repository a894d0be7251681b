#ifndef BRF_SYNC_H
#define BRF_SYNC_H

#include "base/metrics.h"
#include "base/random.h"
#include "base/timer.h"
#include "config/docs.h"
#include "config/keys.h"
#include "config/store.h"

/**
 * DOC: Synchronizes the documents in force at this node with the store.
 *
 * Only nodes selected by should_follow call the store.  A selected node reads
 * all documents once and then watches for changes after that revision.  A
 * watch can stop delivering events without ending, so the node also asks about
 * every two seconds for the latest revision of any document; if the watch has
 * not delivered it, the node reads all documents again.  Each failure is
 * followed by a backoff with jitter.
 *
 * A document in force is never replaced by an older revision (see
 * config/docs.h).  If the revision of the store itself decreases, this is
 * counted and logged.
 */

enum brf_sync_state {
	BRF_SYNC_IDLE,	  /* not selected */
	BRF_SYNC_READING, /* reading all documents, or about to */
	BRF_SYNC_WATCHING,
	BRF_SYNC_WAITING /* backing off after a failure */
};

/**
 * struct brf_sync_config - arguments of brf_sync_new().
 *
 * All pointers must stay valid until brf_sync_free().
 *
 * @docs: receives the documents
 * @keys: the operators' master key ring; NULL accepts documents without
 *	checking their MAC
 * @should_follow: whether this node is selected to follow the store; called
 *	with @arg once a second and after brf_sync_review()
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
 * struct brf_sync_status - state of the synchronization.
 * @revision: last known revision of the store
 * @last_response_us: clock time of the store's last response or event,
 *	microseconds; 0 for never
 * @behind: number of documents in force here that the store, when all
 *	documents were last read, held at a lower revision, with a different
 *	text at the same revision, or not at all
 * @refused: number of stored values rejected because their MAC or their
 *	content was invalid
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

/* Return: idle until brf_sync_start(); freed by brf_sync_free(). */
struct brf_sync *brf_sync_new(const struct brf_sync_config *config);
void brf_sync_free(struct brf_sync *sync);

void brf_sync_start(struct brf_sync *sync);

/* The answer of should_follow may have changed. */
void brf_sync_review(struct brf_sync *sync);

void brf_sync_status(
    const struct brf_sync *sync, struct brf_sync_status *status);

/* Return: "idle", "reading", "watching" or "waiting". */
const char *brf_sync_state_name(enum brf_sync_state state);

BRF_END_DECLS

#endif
