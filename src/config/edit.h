#ifndef BRF_EDIT_H
#define BRF_EDIT_H

#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"

/**
 * DOC: Writing one document under compare-and-swap.
 *
 * A write whose answer was lost is resolved by reading back: the stored value
 * carries the id of its edit.  It is sent again only when the key is found at
 * the expected revision still, and a late first copy does no harm then, since
 * only one of both can meet that revision.  When another edit is found, the
 * key's history tells whether ours came before it.
 */

/**
 * struct brf_edit_config - what is to be written.
 * @service: whose document
 * @expect: revision that it replaces; 0 for none
 * @id: of the edit, as sealed in @value
 * @value: sealed document, @len bytes; copied
 * @deadline_us: give up after this, microseconds
 */
struct brf_edit_config {
	struct brf_store *store;
	struct brf_timers *timers;
	struct brf_random *random;
	const char *service;
	uint64_t expected_revision;
	const char *id;
	const char *value;
	size_t len;
	uint64_t deadline_us;
};

/**
 * struct brf_edit_result - how it ended.
 * @outcome: final; BRF_STORE_UNKNOWN only when the deadline passed, or when
 *	the store no longer keeps the history that would tell
 * @err: why, unless BRF_STORE_DONE
 * @revision: with BRF_STORE_DONE that of the edit, with BRF_STORE_CONFLICT
 *	that of the key now
 * @value: with BRF_STORE_CONFLICT the value now, @len bytes; NULL for none
 */
struct brf_edit_result {
	enum brf_store_outcome outcome;
	struct brf_error err;
	uint64_t revision;
	const char *value;
	size_t len;
};

struct brf_edit;

BRF_BEGIN_DECLS

/**
 * brf_edit_start() - write.
 * @done: called exactly once, not before the function returns; the edit is
 *	freed after it
 */
struct brf_edit *brf_edit_start(const struct brf_edit_config *config,
    void (*done)(void *arg, const struct brf_edit_result *result), void *arg);

/* No callback follows; the write may still take effect. */
void brf_edit_cancel(struct brf_edit *edit);

BRF_END_DECLS

#endif
