#ifndef BRF_CUTOFF_H
#define BRF_CUTOFF_H

#include "base/exchange.h"

/**
 * DOC: Which ranks a target can serve, for the level on its replies.
 *
 * After DAGOR (SoCC 2018): in each period arrivals and refusals are counted by
 * rank, and the cut goes to the lowest step of which most were refused.  Unlike
 * there the cut is not raised step by step when pressure ends: one moment with
 * a free slot and nothing waiting ends it.
 *
 * A refusal of a workspace above its share doesn't move the cut, which would
 * shed all workspaces of the class alike.
 */

#define BRF_CUTOFF_PERIOD_US (100 * BRF_US_PER_MS)
#define BRF_CUTOFF_STEPS 64u /* over all ranks */

/**
 * struct brf_cutoff - counts of the current period; start zeroed.
 * @ratio: arrivals per served attempt of the last period, at least 1
 */
struct brf_cutoff {
	uint64_t started;
	uint32_t arrivals[BRF_CUTOFF_STEPS];
	uint32_t arrived;
	uint32_t served;
	uint32_t shed[BRF_CUTOFF_STEPS];
	bool spare_slot;
	bool active;
	uint32_t cutoff;
	double ratio;
};

BRF_BEGIN_DECLS

void brf_cutoff_arrival(struct brf_cutoff *c, uint32_t rank);
void brf_cutoff_served(struct brf_cutoff *c);

/* A refusal for lack of capacity. */
void brf_cutoff_shed(struct brf_cutoff *c, uint32_t rank);

/* A refusal of what is above its share. */
void brf_cutoff_uncount(struct brf_cutoff *c, uint32_t rank);

/* A slot is free and nothing waits. */
void brf_cutoff_lift(struct brf_cutoff *c);

/**
 * brf_cutoff_advance() - begin a new period when it is time.
 *
 * Return: whether one began.
 */
bool brf_cutoff_advance(struct brf_cutoff *c, uint64_t now);

/**
 * brf_cutoff_get() - ranks at or above it are not served; BRF_RANK_END when all
 * are, or when nothing was counted lately.
 */
uint32_t brf_cutoff_get(const struct brf_cutoff *c, uint64_t now);

BRF_END_DECLS

#endif
