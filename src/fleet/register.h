#ifndef BRF_REGISTER_H
#define BRF_REGISTER_H

#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"
#include "fleet/entry.h"

/**
 * DOC: Registers this node's targets in the store.
 *
 * Keeps the entries in the store equal to those last set, under one lease of
 * this process.  Each write is conditional on the revision that it replaces: a
 * write whose answer was lost and that takes effect seconds later can't undo a
 * newer one.  When the lease has lapsed, a new one is granted and all entries
 * are written again.
 */

#define BRF_REGISTRATION_TTL_S \
	8u /* time to live of an entry whose node failed */

struct brf_registration;

BRF_BEGIN_DECLS

/**
 * brf_registration_new() - create a registration without entries.
 *
 * All arguments must outlive it.
 */
struct brf_registration *brf_registration_new(struct brf_store *store,
    struct brf_timers *timers, struct brf_random *random);
void brf_registration_free(struct brf_registration *r);

/* Write @entry, which is copied, under its id; retried until it succeeds. */
void brf_registration_set(
    struct brf_registration *r, const struct brf_entry *entry);

/**
 * brf_registration_entry_missing() - write the entry of @id again, as the
 * store was seen without it.  Ignored while a store call is in progress.
 */
void brf_registration_entry_missing(struct brf_registration *r, const char *id);

/**
 * brf_registration_end() - revoke the lease, and so delete the entries, before
 * the process ends.
 *
 * Not retried: when the store can't be reached, the entries lapse.
 */
void brf_registration_end(struct brf_registration *r);

BRF_END_DECLS

#endif
