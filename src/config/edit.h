#ifndef BRF_EDIT_H
#define BRF_EDIT_H

#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"

/**
 * DOC: Writes one document to the store by compare-and-swap.
 *
 * If the response to a write is lost, the key is read back; the stored value
 * contains the id of its edit.  The write is sent again only if the key is
 * still at the expected revision.  A delayed first copy of the write does no
 * harm then, because only one of the two can find the key at that revision.  If
 * the key holds another edit, the history of the key shows whether this edit
 * was stored before it.
 */

/**
 * struct brf_edit_config - arguments of brf_edit_start().
 * @store: must outlive the edit, as must @timers and @random
 * @service: service of the document; copied
 * @expect: revision that the edit replaces; 0 if the service has no
 *	document yet
 * @id: id of the edit, as contained in @value; copied
 * @value: signed document, @len bytes; copied
 * @deadline_us: time after which the edit is given up, microseconds from now
 */
struct brf_edit_config {
	struct brf_store *store;
	struct brf_timers *timers;
	struct brf_random *random;
	const char *service;
	uint64_t expect;
	const char *id;
	const char *value;
	size_t len;
	uint64_t deadline_us;
};

/**
 * struct brf_edit_result - result of an edit.
 * @outcome: final; BRF_STORE_UNKNOWN only if the deadline passed, the store has
 *	compacted the history needed, or the key is at a revision lower than
 *	the expected one
 * @err: the error, unless @outcome is BRF_STORE_DONE
 * @revision: with BRF_STORE_DONE the revision of the edit, with
 *	BRF_STORE_CONFLICT the current revision of the key
 * @value: with BRF_STORE_CONFLICT the current value, @len bytes, valid during
 *	the callback; NULL if the key does not exist
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
 * brf_edit_start() - start to write a document.
 * @done: called exactly once with @arg, after this function has returned,
 *	unless the edit is cancelled; the edit is freed afterwards
 *
 * Return: the edit, owned by itself; for brf_edit_cancel() only.
 */
struct brf_edit *brf_edit_start(const struct brf_edit_config *config,
    void (*done)(void *arg, const struct brf_edit_result *result), void *arg);

/* Free the edit without calling done; the write may still take effect. */
void brf_edit_cancel(struct brf_edit *edit);

BRF_END_DECLS

#endif
