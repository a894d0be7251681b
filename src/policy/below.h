#ifndef BRF_BELOW_H
#define BRF_BELOW_H

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
 * about right then, and after some periods by steps that double, so that it is
 * gone within a second after pressure has.  A period lasts as long as an
 * attempt runs, since what a cut did is not seen earlier.
 */

/* Bounds of a period. */
#define BRF_BELOW_PERIOD_MIN_US (50 * BRF_US_PER_MS)
#define BRF_BELOW_PERIOD_MAX_US (250 * BRF_US_PER_MS)
#define BRF_BELOW_STEPS 64u /* over all ranks */

/**
 * struct brf_below - counts of the current period.
 * @took_us: moving average of how long attempts with outgoing calls run
 * @ran: attempts that made outgoing calls, by rank
 * @shed: those of them of which one was shed
 * @clean: periods without shedding in turn
 * @rise: ranks by which the cut rises next
 */
struct brf_below {
	uint64_t started;
	double took_us;
	uint32_t ran[BRF_BELOW_STEPS];
	uint32_t total;
	uint32_t shed;
	uint32_t clean;
	uint32_t rise;
	uint32_t cut;
};

BRF_BEGIN_DECLS

void brf_below_init(struct brf_below *b, uint64_t now);

/**
 * brf_below_learn() - an attempt has ended that had outgoing calls.
 * @shed: one of them was refused for want of capacity
 * @took_us: how long it ran
 */
void brf_below_learn(struct brf_below *b, uint32_t rank, bool shed,
    uint64_t took_us, uint64_t now);

/**
 * brf_below_cut() - ranks at or above it would be shed below; BRF_RANK_END
 * when all come through.
 */
uint32_t brf_below_cut(struct brf_below *b, uint64_t now);

BRF_END_DECLS

#endif
