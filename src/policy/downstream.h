#ifndef BRF_DOWNSTREAM_H
#define BRF_DOWNSTREAM_H

#include "base/exchange.h"

/**
 * DOC: Which ranks the services below a target can serve.
 *
 * A request that runs here, calls on, and is shed there, was run for nothing.
 * So a gate learns from the outgoing calls of its own target which ranks come
 * through, and sheds the others before they cost a slot; its level tells the
 * same to the nodes above.  A rank orders requests alike at every depth, so
 * that one cut serves all of them.
 *
 * In each period the cut is lowered to let through the share that was not
 * shed below.  Without shedding it rises, by small steps at first, since it is
 * about right then, and after some periods by growing steps, so that it is
 * gone within a second after pressure has.  A period lasts as long as an
 * attempt runs, since what a cut did is not seen earlier.
 */

/* Bounds of a period. */
#define BRF_DOWNSTREAM_PERIOD_MIN_US (50 * BRF_US_PER_MS)
#define BRF_DOWNSTREAM_PERIOD_MAX_US (80 * BRF_US_PER_MS)
#define BRF_DOWNSTREAM_BUCKETS 64u /* over all ranks */

/**
 * struct brf_downstream - counts of the current period.
 * @duration_us: moving average of how long attempts with outgoing calls run
 * @attempts: attempts that made outgoing calls, by rank
 * @shed: those of them of which one was shed
 * @clean_periods: periods without shedding in turn
 * @increase: ranks by which the cut rises next
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
 * brf_downstream_record() - an attempt has ended that had outgoing calls.
 * @shed: one of them was refused for want of capacity
 * @duration_us: how long it ran
 */
void brf_downstream_record(struct brf_downstream *d, uint32_t rank, bool shed,
    uint64_t duration_us, uint64_t now);

/**
 * brf_downstream_cutoff() - ranks at or above it would be shed below;
 * BRF_RANK_END when all come through.
 */
uint32_t brf_downstream_cutoff(struct brf_downstream *d, uint64_t now);

BRF_END_DECLS

#endif
