#include <math.h>

#include "policy/rate_limit.h"

#define BURST_S 0.25 /* permits that are kept, in seconds of the rate */
#define PROMISE_MAX_US (2 * BRF_US_PER_S)

static double
burst(double rate)
{
	return (rate * BURST_S > 1 ? rate * BURST_S : 1);
}

static double
permits_at(const struct brf_rate_limit *l, uint64_t now)
{
	double elapsed_s = (double)(now - l->updated_at) / BRF_US_PER_S;
	double permits = l->permits + elapsed_s * l->rate;

	return (permits < burst(l->rate) ? permits : burst(l->rate));
}

void
brf_rate_limit_set(struct brf_rate_limit *l, double rate, uint64_t now)
{
	l->permits = l->rate != 0 ? permits_at(l, now) : 0;
	if (l->permits > burst(rate))
		l->permits = burst(rate);
	if (l->rate == 0)
		l->promised_until = 0;
	l->rate = rate;
	l->updated_at = now;
}

bool
brf_rate_limit_take(struct brf_rate_limit *l, uint64_t now)
{
	if (l->rate == 0)
		return (true);
	l->permits = permits_at(l, now);
	l->updated_at = now;
	if (l->permits < 1)
		return (false);
	l->permits -= 1;
	return (true);
}

void
brf_rate_limit_give_back(struct brf_rate_limit *l)
{
	if (l->rate != 0)
		l->permits += 1;
}

uint64_t
brf_rate_limit_wait_us(
    const struct brf_rate_limit *l, double permits, uint64_t now)
{
	double missing;

	if (l->rate == 0)
		return (0);
	missing = permits - permits_at(l, now);
	if (missing <= 0)
		return (0);
	return ((uint64_t)ceil(missing / l->rate * BRF_US_PER_S));
}

uint64_t
brf_rate_limit_promise_us(
    struct brf_rate_limit *l, uint32_t waiting, uint64_t now)
{
	uint64_t first, latest = now + PROMISE_MAX_US;

	if (l->rate == 0)
		return (0);
	first = now + brf_rate_limit_wait_us(l, waiting + 1.0, now);
	if (l->promised_until < first)
		l->promised_until = first;
	else
		l->promised_until += (uint64_t)(BRF_US_PER_S / l->rate);
	if (latest < first)
		latest = first;
	if (l->promised_until > latest)
		l->promised_until = latest;
	return (l->promised_until - now);
}
