#include "policy/kinship.h"

#define STEP 0.02      /* weight of one request in a route's share */
#define ROUTE_FROM 0.3 /* share from which a route's requests are calls */
#define CALLS_LEAST 2u /* matches that make a connection a target's */
#define CONN_FROM 0.2  /* share of matches that it must have, too */

static bool
is_targets(const struct brf_flow_origin *origin)
{
	return (origin->calls >= CALLS_LEAST &&
		origin->calls > CONN_FROM * origin->requests);
}

bool
brf_kinship_judge(
    struct brf_kinship *k, struct brf_flow_origin *origin, bool matched)
{
	origin->requests++;
	if (matched)
		origin->calls++;
	k->share += STEP * ((matched ? 1.0 : 0.0) - k->share);
	return (is_targets(origin) || k->share > ROUTE_FROM);
}
