#ifndef BRF_DOWNSTREAM_H
#define BRF_DOWNSTREAM_H

#include "base/exchange.h"

/**
 * DOC: Rank cutoff derived from what downstream services shed.
 *
 * Problem: an attempt that runs at this target, makes a call and has that call
 * shed was run for nothing.
 *
 * A gate observes the outgoing calls of its own target to learn which ranks
 * the downstream services admit, and sheds the other ranks before they occupy
 * a slot.  The level that it reports upstream includes this cutoff.  One
 * cutoff serves all downstream services, since a rank orders requests in the
 * same way at every depth of the call tree.
 *
 * A period in which calls were shed lowers the cutoff so far that it would
 * have admitted only the share of attempts without a shed call.  A period
 * without shedding raises it: in small steps at first, when the cutoff is
 * about right, and in growing steps after some periods, so that it is gone
 * within a second after the overload has ended.  A period lasts as long as an
 * attempt runs, since the effect of a new cutoff is not visible earlier.
 */

/* Bounds of the length of a period. */
#define BRF_DOWNSTREAM_PERIOD_MIN_US (50 * BRF_US_PER_MS)
#define BRF_DOWNSTREAM_PERIOD_MAX_US (80 * BRF_US_PER_MS)

/* Histogram buckets that cover all ranks. */
#define BRF_DOWNSTREAM_BUCKETS 64u

/**
 * struct brf_downstream - state of one gate; set up by brf_downstream_init().
 * @period_start: clock time at which the current period began
 * @duration_us: exponentially weighted moving average of the durations of
 *	attempts that made outgoing calls
 * @attempts: attempts of this period that made outgoing calls, a histogram
 *	by rank
 * @total: sum of @attempts
 * @shed: how many of them had a call that was shed
 * @clean_periods: periods in a row without shedding
 * @increase: ranks by which the cutoff is raised next
 * @cutoff: see brf_downstream_cutoff()
 */
struct brf_downstream {
	uint64_t period_start;
	double duration_us;
	uint32_t attempts[BRF_DOWNSTREAM_BUCKETS];
	uint32_t total;
	uint32_t shed;
	uint32_t clean_periods;
	uint32_t increase;
	uint32_t cutoff;
};

BRF_BEGIN_DECLS

void brf_downstream_init(struct brf_downstream *d, uint64_t now);

/**
 * brf_downstream_record() - report the end of an attempt that made outgoing
 * calls.
 * @shed: one of its calls was refused for lack of capacity
 * @duration_us: how long it ran
 */
void brf_downstream_record(struct brf_downstream *d, uint32_t rank, bool shed,
    uint64_t duration_us, uint64_t now);

/**
 * brf_downstream_cutoff() - the cutoff that applies now.
 *
 * Return: the rank from which on attempts would be shed downstream;
 * BRF_RANK_END when all ranks are admitted.
 */
uint32_t brf_downstream_cutoff(struct brf_downstream *d, uint64_t now);

BRF_END_DECLS

#endif
