#ifndef BRF_SWEEPER_H
#define BRF_SWEEPER_H

#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"

/**
 * DOC: Deletes the entries of departed targets from the store.
 *
 * Problem: the entry of a target that drains or has left hangs on no lease, so
 * that nothing but a call deletes it, and the node that wrote it usually ends
 * soon after.
 *
 * Every node deletes such an entry BRF_SWEEPER_KEEP_US after it has seen it.
 * Each waits for a further random time, which grows with the fleet, so that few
 * nodes have sent the call before the others see its effect.  The deletion is
 * conditional on the revision: an entry that was written since stays.
 */

/* Announcements from before a departure arrive some seconds late at most. */
#define BRF_SWEEPER_KEEP_US (120 * BRF_US_PER_S)
/* Further time for each target of the fleet, on average half of it. */
#define BRF_SWEEPER_SPREAD_US BRF_US_PER_S

struct brf_sweeper;

BRF_BEGIN_DECLS

/* All arguments must outlive the sweeper. */
struct brf_sweeper *brf_sweeper_new(struct brf_store *store,
    struct brf_timers *timers, struct brf_random *random);
void brf_sweeper_free(struct brf_sweeper *s);

/* Set the number of targets in the fleet, each of which has a node. */
void brf_sweeper_set_fleet(struct brf_sweeper *s, size_t targets);

/* The entry under @key, of a departed target, was seen at @revision. */
void brf_sweeper_add(struct brf_sweeper *s, const char *key, uint64_t revision);

/* The entry under @key is gone, or of a target that has not departed. */
void brf_sweeper_forget(struct brf_sweeper *s, const char *key);

BRF_END_DECLS

#endif
