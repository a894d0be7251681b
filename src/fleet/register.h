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
 * newer one.  When the lease has lapsed, or the store was restored from an
 * older copy, a new lease is granted and all entries are written again, each
 * with the epoch in which it was written.
 *
 * That a target drains or has left must outlive this process, and a store that
 * ends leases early.  Such an entry is written without a lease, and deleted by
 * fleet/sweeper.h.  An entry
 * that is found in the store is read before it is replaced: when it tells more
 * of the incarnation than the one to be written, the listener is told.
 */

#define BRF_REGISTRATION_TTL_S \
	9u /* time to live of an entry whose node failed */

/* Time between renewals while probing. */
#define BRF_REGISTRATION_PROBE_US BRF_US_PER_S

struct brf_registration;

/**
 * struct brf_registration_listener - callbacks about entries; may call
 * brf_registration_set().
 * @written: the store has the entry of @id as it was last set
 * @superseded: the store has @found, of another writer, which supersedes the
 *	entry that was set
 */
struct brf_registration_listener {
	void (*written)(void *arg, const char *id);
	void (*superseded)(void *arg, const struct brf_entry *found);
	void *arg;
};

BRF_BEGIN_DECLS

/**
 * brf_registration_new() - create a registration without entries.
 *
 * All arguments must outlive it.
 */
struct brf_registration *brf_registration_new(struct brf_store *store,
    struct brf_timers *timers, struct brf_random *random);
void brf_registration_free(struct brf_registration *r);

/* @listener is copied. */
void brf_registration_listen(struct brf_registration *r,
    const struct brf_registration_listener *listener);

/* Whether the store does not have the entry of @id as it was last set. */
bool brf_registration_is_pending(
    const struct brf_registration *r, const char *id);

/* Return: what was set last for @id; NULL for nothing. */
const struct brf_entry *brf_registration_entry(
    const struct brf_registration *r, const char *id);

/* Write @entry, which is copied, under its id; retried until it succeeds. */
void brf_registration_set(
    struct brf_registration *r, const struct brf_entry *entry);

/**
 * brf_registration_probe() - while @probing, hold a lease and renew it each
 * BRF_REGISTRATION_PROBE_US: the responses show that the store is in reach.
 */
void brf_registration_probe(struct brf_registration *r, bool probing);

/**
 * brf_registration_entry_seen() - compare the entry of @id that a mirror has
 * read from the store with the one that was written last, and write it again if
 * it was changed since.
 * @revision: at which the entry was changed or deleted
 * @missing: the store does not have the entry
 */
void brf_registration_entry_seen(struct brf_registration *r, const char *id,
    uint64_t revision, bool missing);

/**
 * brf_registration_end() - revoke the lease, and so delete the entries of
 * targets that are ready, before the process ends.
 *
 * Not retried: when the store can't be reached, the entries lapse.
 */
void brf_registration_end(struct brf_registration *r);

BRF_END_DECLS

#endif
