#include "route/link.h"

#define BURST_S 1.0	  /* size of the bucket, seconds at the rate */
#define BURST_MIN 65536.0 /* bytes */
#define DEBT_MAX_S 10.0	  /* limit of an overdraft, seconds at the rate */

static void
refill(struct brf_link_budget *l, uint64_t now)
{
	double elapsed = (double)(now - l->refilled_at) / (double)BRF_US_PER_S;

	l->refilled_at = now;
	l->tokens += elapsed * l->rate;
	if (l->tokens > l->burst)
		l->tokens = l->burst;
}

void
brf_link_budget_set_rate(struct brf_link_budget *l, double rate, uint64_t now)
{
	bool fresh = l->burst == 0;

	refill(l, now);
	l->rate = rate;
	l->burst = rate * BURST_S;
	if (l->burst < BURST_MIN)
		l->burst = BURST_MIN;
	if (fresh || l->tokens > l->burst)
		l->tokens = l->burst;
}

bool
brf_link_budget_admits(struct brf_link_budget *l, uint32_t cls, uint64_t now)
{
	double reserved = l->burst * cls / BRF_CLASSES;

	refill(l, now);
	return (l->tokens > reserved);
}

void
brf_link_budget_take(struct brf_link_budget *l, size_t bytes, uint64_t now)
{
	double min_tokens = -DEBT_MAX_S * l->rate - l->burst;

	refill(l, now);
	l->tokens -= (double)bytes;
	if (l->tokens < min_tokens)
		l->tokens = min_tokens;
}
