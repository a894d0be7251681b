#include "policy/kinship.h"

#define TOLD_STEP 0.1	/* weight of one gate's word */
#define ALIKE_STEP 0.05 /* weight of one request */
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
brf_kinship_began(struct brf_kinship *k, bool together)
{
	k->alike += ALIKE_STEP * ((together ? 1.0 : 0.0) - k->alike);
}

bool
brf_kinship_is_call(const struct brf_kinship *k)
{
	return (k->inner > CALL_FROM || k->alike > CALL_FROM);
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
