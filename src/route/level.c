#include "route/internal.h"

/* Used until the limit of a gate or the slots of its target are known. */
#define DEFAULT_CAPACITY 16.0

void
brf_level_update(
    struct brf_route_node *node, const struct brf_reply *reply, uint64_t now)
{
	if (!reply->has_level)
		return;
	brf_shed_update(&node->shed, &reply->level, now);
	node->level = reply->level;
	node->level_at = now;
	node->level_in_flight = node->in_flight;
}

/*
 * Weight of the last admission level, from 1 when it has just arrived down to
 * 0 at an age of BRF_SHED_LEVEL_MAX_AGE_US.
 */
static double
level_weight(const struct brf_route_node *node, uint64_t now)
{
	uint64_t age = now - node->level_at;

	if (node->level_at == 0 || age >= BRF_SHED_LEVEL_MAX_AGE_US)
		return (0);
	return (1.0 - (double)age / (double)BRF_SHED_LEVEL_MAX_AGE_US);
}

bool
brf_level_admits(const struct brf_route_node *node, uint32_t rank, uint64_t now)
{
	return (rank < brf_shed_cutoff(&node->shed, now));
}

double
brf_level_load(const struct brf_route_node *node, uint64_t now)
{
	double weight = level_weight(node, now);
	double at_gate = (double)node->level.in_flight + node->level.waiting;
	double sent_since = (double)node->in_flight - node->level_in_flight;
	double load = weight * (at_gate + sent_since);

	return (load > node->in_flight ? load : node->in_flight);
}

double
brf_level_capacity(const struct brf_route_node *node, uint64_t now)
{
	if (level_weight(node, now) > 0 && node->level.limit != 0)
		return (node->level.limit);
	return (
	    node->member.slots != 0 ? node->member.slots : DEFAULT_CAPACITY);
}
