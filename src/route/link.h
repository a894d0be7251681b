#ifndef BRF_ROUTE_LINK_H
#define BRF_ROUTE_LINK_H

#include "base/base.h"
#include "bulrushford.h"

/**
 * struct brf_link_budget - this node's byte budget on the link between
 * regions.
 * @rate: bytes per second
 * @burst: size of the bucket, bytes
 * @tokens: bytes left; negative after an overdraft, which new tokens repay
 *	first
 * @refilled_at: clock time up to which tokens were added
 *
 * A token bucket.  Each class leaves a part of the bucket to more important
 * classes; the part grows with the class number.  Class 0 may use all of it.
 */
struct brf_link_budget {
	double rate;
	double burst;
	double tokens;
	uint64_t refilled_at;
};

BRF_BEGIN_DECLS

/* Set the rate, in bytes per second; an overdraft stays to be repaid. */
void brf_link_budget_set_rate(
    struct brf_link_budget *l, double rate, uint64_t now);

/* Whether a request of class @cls may cross the link now. */
bool brf_link_budget_admits(
    struct brf_link_budget *l, uint32_t cls, uint64_t now);

/* Charge @bytes; the balance may become negative, down to a limit. */
void brf_link_budget_take(
    struct brf_link_budget *l, size_t bytes, uint64_t now);

BRF_END_DECLS

#endif
