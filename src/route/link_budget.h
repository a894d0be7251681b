#ifndef BRF_LINK_BUDGET_H
#define BRF_LINK_BUDGET_H

#include "base/base.h"
#include "bulrushford.h"

/**
 * struct brf_link_budget - byte budget of this node on the link between
 * regions.
 * @rate: bytes per second
 * @burst: bytes that may pass at once
 * @tokens: bytes left; below 0 what was taken too much is paid back first
 * @at: clock time to which @tokens is counted
 *
 * A token bucket.  The part of the bucket that a class leaves to the more
 * important ones grows with its number; class 0 may take all of it.
 */
struct brf_link_budget {
	double rate;
	double burst;
	double tokens;
	uint64_t refilled_at;
};

BRF_BEGIN_DECLS

/* A new rate keeps what was taken too much. */
void brf_link_budget_set_rate(
    struct brf_link_budget *l, double rate, uint64_t now);

/* Whether a request of class @cls may cross now. */
bool brf_link_budget_admits(
    struct brf_link_budget *l, uint32_t cls, uint64_t now);

void brf_link_budget_take(
    struct brf_link_budget *l, size_t bytes, uint64_t now);

BRF_END_DECLS

#endif
