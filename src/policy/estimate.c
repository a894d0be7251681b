#include "policy/estimate.h"

/* Weight of a sample in the mean; in the low estimate, below and above it. */
#define MEAN_GAIN (1.0 / 16)
#define LOW_FALL (1.0 / 4)
#define LOW_RISE (1.0 / 64)
#define HALVINGS_MAX 40u /* an estimate halved more often counts as 0 */

/* @value without samples until @now. */
static double
decayed(const struct brf_estimate *e, double value, uint64_t now)
{
	uint64_t half_life = (uint64_t)(2 * e->mean);
	uint64_t halvings;

	if (half_life < BRF_ESTIMATE_HALF_LIFE_US)
		half_life = BRF_ESTIMATE_HALF_LIFE_US;
	halvings = now > e->sampled_at ? (now - e->sampled_at) / half_life : 0;
	if (halvings > HALVINGS_MAX)
		return (0);
	return (value / (double)(1ull << halvings));
}

void
brf_estimate_add(struct brf_estimate *e, uint64_t took_us, uint64_t now)
{
	double took = (double)took_us;

	if (e->sampled_at == 0) {
		e->mean = took;
		e->low = took;
	}
	e->mean += (took - e->mean) * MEAN_GAIN;
	e->low += (took - e->low) * (took < e->low ? LOW_FALL : LOW_RISE);
	e->sampled_at = now > 0 ? now : 1;
}

double
brf_estimate_mean(const struct brf_estimate *e, uint64_t now)
{
	return (decayed(e, e->mean, now));
}

double
brf_estimate_low(const struct brf_estimate *e, uint64_t now)
{
	return (decayed(e, e->low, now));
}
