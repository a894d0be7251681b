#ifndef BRF_REGISTER_H
#define BRF_REGISTER_H

#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"
#include "fleet/entry.h"

/**
 * DOC: This node's targets in the store.
 *
 * Keeps the store's entries equal to what was last asked for, under one lease
 * of this process.  Each write names the revision that it takes the place of:
 * one whose answer was lost, and which takes effect seconds later, then can't
 * undo a later one.  A lease that has lapsed is replaced, and all entries are
 * written again.
 */

#define BRF_REGISTER_TTL_S 8u /* life of an entry whose node has gone */

struct brf_register;

BRF_BEGIN_DECLS

/**
 * brf_register_new() - all arguments outlive it.
 */
struct brf_register *brf_register_new(struct brf_store *store,
    struct brf_timers *timers, struct brf_random *random);
void brf_register_free(struct brf_register *r);

/* Have the entry of @entry->id be as @entry says. */
void brf_register_set(struct brf_register *r, const struct brf_entry *entry);

/**
 * brf_register_missing() - the store was seen without the entry of @id.
 */
void brf_register_missing(struct brf_register *r, const char *id);

/**
 * brf_register_end() - the process stops: end the lease, and the entries with
 * it, when the store can be reached.
 */
void brf_register_end(struct brf_register *r);

BRF_END_DECLS

#endif
