#ifndef BRF_CUTOFF_H
#define BRF_CUTOFF_H

#include "base/exchange.h"

/**
 * DOC: Cutoff rank of a target, for the level on its replies.
 *
 * Requests whose rank is at or above the cutoff are expected to be refused.
 * After DAGOR (SoCC 2018): in each period arrivals and refusals are counted by
 * rank, and the cutoff moves to the lowest step in which at least half of the
 * arrivals were refused.  DAGOR raises the cutoff step by step when the
 * pressure ends; here it is lifted as soon as a slot is free and nothing waits.
 *
 * Refusing a workspace that is above its share doesn't move the cutoff, which
 * would shed all workspaces of the class alike.
 */

#define BRF_CUTOFF_PERIOD_US (100 * BRF_US_PER_MS)
#define BRF_CUTOFF_STEPS 64u /* over all ranks */

/**
 * struct brf_cutoff - counts of the current period; start zeroed.
 * @started: clock time at which the period began
 * @arrivals: submitted attempts by step
 * @arrived: submitted attempts in total
 * @served: attempts that were granted a slot
 * @shed: attempts refused for lack of capacity, by step
 * @spare_slot: a slot was free while nothing waited
 * @active: @cutoff is in force; otherwise all ranks are served
 * @cutoff: lowest rank that is not served
 * @ratio: arrivals per served attempt in the last period, at least 1
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

/* Count a refusal for lack of capacity. */
void brf_cutoff_shed(struct brf_cutoff *c, uint32_t rank);

/* Uncount an arrival that was refused because its flow is over its share. */
void brf_cutoff_uncount(struct brf_cutoff *c, uint32_t rank);

/* Lift the cutoff: a slot is free and nothing waits. */
void brf_cutoff_lift(struct brf_cutoff *c);

/**
 * brf_cutoff_advance() - begin a new period when the current one is over.
 * @now: clock time, microseconds
 *
 * Return: whether a new period began.
 */
bool brf_cutoff_advance(struct brf_cutoff *c, uint64_t now);

/**
 * brf_cutoff_get() - the cutoff at @now.
 *
 * Return: the lowest rank that is not served; BRF_RANK_END when all ranks are
 * served, or when brf_cutoff_advance() has begun no period for a while.
 */
uint32_t brf_cutoff_get(const struct brf_cutoff *c, uint64_t now);

BRF_END_DECLS

#endif
