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

#define BRF_REGISTRATION_TTL_S 8u /* life of an entry whose node has gone */

struct brf_registration;

BRF_BEGIN_DECLS

/**
 * brf_registration_new() - all arguments outlive it.
 */
struct brf_registration *brf_registration_new(struct brf_store *store,
    struct brf_timers *timers, struct brf_random *random);
void brf_registration_free(struct brf_registration *r);

/* Have the entry of @entry->id be as @entry says. */
void brf_registration_set(
    struct brf_registration *r, const struct brf_entry *entry);

/**
 * brf_registration_entry_missing() - the store was seen without the entry of
 * @id.
 */
void brf_registration_entry_missing(struct brf_registration *r, const char *id);

/**
 * brf_registration_end() - the process stops: end the lease, and the entries
 * with it, when the store can be reached.
 */
void brf_registration_end(struct brf_registration *r);

BRF_END_DECLS

#endif
