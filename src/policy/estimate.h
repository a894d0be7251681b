#ifndef BRF_ESTIMATE_H
#define BRF_ESTIMATE_H

#include "base/base.h"

/**
 * DOC: Estimates of the time that an attempt takes at a target.
 *
 * Two estimates from the same samples: a moving average, and a low estimate
 * that falls fast and rises slowly and so stays near the lowest tenth.
 * Decisions that refuse work use the low estimate.  Without samples, both
 * halve every BRF_ESTIMATE_HALF_LIFE_US (or every two mean durations, when
 * that is longer), so that an estimate so high that nothing runs does not
 * outlive its cause.
 */

#define BRF_ESTIMATE_HALF_LIFE_US (250 * BRF_US_PER_MS)

/**
 * struct brf_estimate - start zeroed.
 * @mean: microseconds, at the last sample
 * @low: likewise
 * @sampled_at: clock time of the last sample; 0 when there was none
 */
struct brf_estimate {
	double mean;
	double low;
	uint64_t sampled_at;
};

BRF_BEGIN_DECLS

void brf_estimate_add(struct brf_estimate *e, uint64_t took_us, uint64_t now);

/* Microseconds; 0 without samples. */
double brf_estimate_mean(const struct brf_estimate *e, uint64_t now);
double brf_estimate_low(const struct brf_estimate *e, uint64_t now);

BRF_END_DECLS

#endif
