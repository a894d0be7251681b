#include "route/link_budget.h"

#define BURST_S 1.0	    /* of the rate, seconds */
#define BURST_LEAST 65536.0 /* bytes */
#define DEBT_MOST_S 10.0    /* of the rate, seconds; paid back at most */

static void
refill(struct brf_link_budget *l, uint64_t now)
{
	double since = (double)(now - l->refilled_at) / (double)BRF_US_PER_S;

	l->refilled_at = now;
	l->tokens += since * l->rate;
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
	if (l->burst < BURST_LEAST)
		l->burst = BURST_LEAST;
	if (fresh || l->tokens > l->burst)
		l->tokens = l->burst;
}

bool
brf_link_budget_admits(struct brf_link_budget *l, uint32_t cls, uint64_t now)
{
	double kept = l->burst * cls / BRF_CLASSES;

	refill(l, now);
	return (l->tokens > kept);
}

void
brf_link_budget_take(struct brf_link_budget *l, size_t bytes, uint64_t now)
{
	double least = -DEBT_MOST_S * l->rate - l->burst;

	refill(l, now);
	l->tokens -= (double)bytes;
	if (l->tokens < least)
		l->tokens = least;
}
