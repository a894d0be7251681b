#include <math.h>

#include "policy/kinship.h"

#define TOLD_STEP 0.1	/* weight of one gate's word */
#define ALIKE_COUNT 50u /* requests that the share of alike ones looks at */
#define ALIKE_LEAST 10u /* before it is judged */
#define ALIKE_FROM 0.75 /* of the way from chance to all */
#define CALL_FROM 0.5	/* from which a route's requests are taken for calls */
#define VISITS_LEAST 8u /* before the calls of a route are reckoned with */
#define WEIGHT_LEAST 0.02 /* of a route of which no calls were seen */

void
brf_kinship_visit(struct brf_kinship *k, uint64_t caller)
{
	k->visits++;
	k->callers |= caller;
}

bool
brf_kinship_is_inner(const struct brf_kinship *k, uint64_t services)
{
	uint32_t count = (uint32_t)__builtin_popcountll(services);

	return (k->visits >= BRF_KINSHIP_SAMPLES * count &&
		(services & ~k->callers) != 0);
}

void
brf_kinship_told(struct brf_kinship *k, bool inner)
{
	k->inner += TOLD_STEP * ((inner ? 1.0 : 0.0) - k->inner);
}

void
brf_kinship_began(struct brf_kinship *k, uint32_t same, uint32_t near)
{
	double expected = (double)near * BRF_KINSHIP_SAME_US /
			  (BRF_KINSHIP_NEAR_US - BRF_KINSHIP_SAME_US);
	double step;

	if (k->begun < ALIKE_COUNT)
		k->begun++;
	step = 1.0 / k->begun;
	k->alike += step * ((same != 0 ? 1.0 : 0.0) - k->alike);
	k->chance += step * (1 - exp(-expected) - k->chance);
}

static bool
is_alike(const struct brf_kinship *k)
{
	return (k->begun >= ALIKE_LEAST &&
		k->alike > k->chance + ALIKE_FROM * (1 - k->chance));
}

bool
brf_kinship_is_call(const struct brf_kinship *k)
{
	return (k->inner > CALL_FROM || is_alike(k));
}

void
brf_kinship_compare(struct brf_kinship *k, uint64_t apart_us)
{
	if (apart_us < BRF_KINSHIP_SAME_US)
		k->same++;
	else if (apart_us < BRF_KINSHIP_NEAR_US)
		k->near++;
}

double
brf_kinship_weight(const struct brf_kinship *k)
{
	double chance = (double)k->near * BRF_KINSHIP_SAME_US /
			(BRF_KINSHIP_NEAR_US - BRF_KINSHIP_SAME_US);

	double seen = k->same > chance ? k->same - chance : 0;

	if (k->visits < VISITS_LEAST)
		return (WEIGHT_LEAST);
	return (seen / k->visits + WEIGHT_LEAST);
}
