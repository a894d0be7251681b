#include <math.h>

#include "policy/nesting.h"

#define REPORT_STEP 0.1	     /* weight of one report in the average */
#define SHARE_LENGTH 50u     /* requests over which shares are averaged */
#define SHARE_MIN_STARTS 10u /* requests before shares are compared */
/* Position of the bound for nested calls between chance and all requests. */
#define SHARE_BOUND 0.75
#define REPORT_BOUND 0.5 /* nested calls above this average of reports */
#define ARRIVALS_MIN 8u	 /* requests before their calls are estimated */
#define CALLS_MIN 0.02	 /* calls per request where none were seen */

void
brf_nesting_add_arrival(struct brf_nesting *n, uint64_t caller)
{
	n->arrivals++;
	n->callers |= caller;
}

bool
brf_nesting_by_callers(const struct brf_nesting *n, uint64_t services)
{
	uint32_t count = (uint32_t)__builtin_popcountll(services);

	return (n->arrivals >= BRF_NESTING_SAMPLES * count &&
		(services & ~n->callers) != 0);
}

void
brf_nesting_add_report(struct brf_nesting *n, bool nested)
{
	n->nested += REPORT_STEP * ((nested ? 1.0 : 0.0) - n->nested);
}

void
brf_nesting_add_start(struct brf_nesting *n, uint32_t same, uint32_t near)
{
	double by_chance = (double)near * BRF_NESTING_SAME_US /
			   (BRF_NESTING_NEAR_US - BRF_NESTING_SAME_US);
	double step;

	if (n->starts < SHARE_LENGTH)
		n->starts++;
	step = 1.0 / n->starts;
	n->same_share += step * ((same != 0 ? 1.0 : 0.0) - n->same_share);
	n->chance_share += step * (1 - exp(-by_chance) - n->chance_share);
}

static bool
has_same_deadlines(const struct brf_nesting *n)
{
	return (n->starts >= SHARE_MIN_STARTS &&
		n->same_share >
		    n->chance_share + SHARE_BOUND * (1 - n->chance_share));
}

bool
brf_nesting_is_nested(const struct brf_nesting *n)
{
	return (n->nested > REPORT_BOUND || has_same_deadlines(n));
}

void
brf_nesting_add_call(struct brf_nesting *n, uint64_t apart_us)
{
	if (apart_us < BRF_NESTING_SAME_US)
		n->same++;
	else if (apart_us < BRF_NESTING_NEAR_US)
		n->near++;
}

double
brf_nesting_calls_per_request(const struct brf_nesting *n)
{
	double by_chance = (double)n->near * BRF_NESTING_SAME_US /
			   (BRF_NESTING_NEAR_US - BRF_NESTING_SAME_US);

	double seen = n->same > by_chance ? n->same - by_chance : 0;

	if (n->arrivals < ARRIVALS_MIN)
		return (CALLS_MIN);
	return (seen / n->arrivals + CALLS_MIN);
}
