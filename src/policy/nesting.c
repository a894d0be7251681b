#include <math.h>

#include "policy/nesting.h"

#define TOLD_STEP 0.1	/* weight of one gate's word */
#define ALIKE_COUNT 50u /* requests that the share of alike ones looks at */
#define ALIKE_LEAST 10u /* before it is judged */
#define ALIKE_FROM 0.75 /* of the way from chance to all */
#define CALL_FROM 0.5	/* from which a route's requests are taken for calls */
#define VISITS_LEAST 8u /* before the calls of a route are reckoned with */
#define WEIGHT_LEAST 0.02 /* of a route of which no calls were seen */

void
brf_nesting_add_arrival(struct brf_nesting *k, uint64_t caller)
{
	k->arrivals++;
	k->callers |= caller;
}

bool
brf_nesting_by_callers(const struct brf_nesting *k, uint64_t services)
{
	uint32_t count = (uint32_t)__builtin_popcountll(services);

	return (k->arrivals >= BRF_NESTING_SAMPLES * count &&
		(services & ~k->callers) != 0);
}

void
brf_nesting_add_report(struct brf_nesting *k, bool nested)
{
	k->nested += TOLD_STEP * ((nested ? 1.0 : 0.0) - k->nested);
}

void
brf_nesting_add_start(struct brf_nesting *k, uint32_t same, uint32_t near)
{
	double expected = (double)near * BRF_NESTING_SAME_US /
			  (BRF_NESTING_NEAR_US - BRF_NESTING_SAME_US);
	double step;

	if (k->starts < ALIKE_COUNT)
		k->starts++;
	step = 1.0 / k->starts;
	k->same_share += step * ((same != 0 ? 1.0 : 0.0) - k->same_share);
	k->chance_share += step * (1 - exp(-expected) - k->chance_share);
}

static bool
is_alike(const struct brf_nesting *k)
{
	return (k->starts >= ALIKE_LEAST &&
		k->same_share > k->chance_share + ALIKE_FROM * (1 - k->chance_share));
}

bool
brf_nesting_is_nested(const struct brf_nesting *k)
{
	return (k->nested > CALL_FROM || is_alike(k));
}

void
brf_nesting_add_call(struct brf_nesting *k, uint64_t apart_us)
{
	if (apart_us < BRF_NESTING_SAME_US)
		k->same++;
	else if (apart_us < BRF_NESTING_NEAR_US)
		k->near++;
}

double
brf_nesting_calls_per_request(const struct brf_nesting *k)
{
	double chance = (double)k->near * BRF_NESTING_SAME_US /
			(BRF_NESTING_NEAR_US - BRF_NESTING_SAME_US);

	double seen = k->same > chance ? k->same - chance : 0;

	if (k->arrivals < VISITS_LEAST)
		return (WEIGHT_LEAST);
	return (seen / k->arrivals + WEIGHT_LEAST);
}
