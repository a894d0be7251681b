#ifndef BRF_ESTIMATE_H
#define BRF_ESTIMATE_H

#include "base/base.h"

/**
 * DOC: How long an attempt takes at a target.
 *
 * Two figures from the same samples: a mean, and a low one that falls fast
 * and rises slowly, near the lowest tenth.  Decisions that refuse work use the
 * low one.  Both halve for each BRF_ESTIMATE_HALF_LIFE_US (or two mean durations,
 * when that is longer) without a sample, so that an estimate under which
 * nothing runs does not outlive its cause.
 */

#define BRF_ESTIMATE_HALF_LIFE_US (250 * BRF_US_PER_MS)

struct brf_estimate {
	double mean;
	double low;
	uint64_t sampled_at; /* clock time of the last sample; 0 for none */
};

BRF_BEGIN_DECLS

void brf_estimate_add(struct brf_estimate *e, uint64_t took_us, uint64_t now);

/* Microseconds; 0 while nothing is known. */
double brf_estimate_mean(const struct brf_estimate *e, uint64_t now);
double brf_estimate_low(const struct brf_estimate *e, uint64_t now);

BRF_END_DECLS

#endif
