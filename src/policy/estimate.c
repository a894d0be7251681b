#include "policy/estimate.h"

#define MEAN_GAIN (1.0 / 16)
#define LOW_FALL (1.0 / 4)
#define LOW_RISE (1.0 / 64)
#define HALVINGS_MAX 40u

static double
faded(const struct brf_estimate *e, double value, uint64_t now)
{
	uint64_t half = (uint64_t)(2 * e->mean);
	uint64_t halvings;

	if (half < BRF_ESTIMATE_HALF_LIFE_US)
		half = BRF_ESTIMATE_HALF_LIFE_US;
	halvings = now > e->sampled_at ? (now - e->sampled_at) / half : 0;
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
	return (faded(e, e->mean, now));
}

double
brf_estimate_low(const struct brf_estimate *e, uint64_t now)
{
	return (faded(e, e->low, now));
}
