#include "route/internal.h"

/* Nodes looked at in a ring before it counts as one without a fitting one. */
#define LOOKS_MAX 8u

/* A ring that is not one's own keeps this part of its room for its own. */
#define SPILL_ROOM 0.8

/* Staying on this node saves a hop. */
#define OWN_WEIGHT 0.8

#define LATENCY_AGE_US (5 * BRF_US_PER_S)
#define FAILED_AGE_US (5 * BRF_US_PER_S)

static bool
is_tried(const struct brf_route_request *q, const struct brf_route_node *node)
{
	size_t i;

	for (i = 0; i < q->tried_count; i++) {
		if (brf_id_equal(q->tried[i], node->member.node))
			return (true);
	}
	return (false);
}

static bool
has_room(const struct brf_choice *c, const struct brf_route_node *node)
{
	double room = brf_level_capacity(node, c->now);

	if (node->locality != BRF_ROUTE_LOCALITY_ZONE)
		room *= SPILL_ROOM;
	return (brf_level_load(node, c->now) < room);
}

static bool
fits(struct brf_choice *c, const struct brf_route_node *node,
    enum brf_node_filter kind)
{
	if (node->draining_until > c->now)
		return (false);
	if (kind < BRF_FILTER_READY &&
	    (is_tried(c->request, node) ||
		brf_outlier_is_excluded(node, c->now)))
		return (false);
	if (!brf_level_admits(node, c->request->rank, c->now)) {
		c->refused = true;
		return (false);
	}
	return (kind != BRF_FILTER_SPARE_CAPACITY || has_room(c, node));
}

/* Lower is better: the wait to be expected there. */
static double
cost(const struct brf_choice *c, const struct brf_route_node *node)
{
	double latency = c->service->expected_us;
	double load = brf_level_load(node, c->now) + 1;

	if (node->latency_us > 0 && c->now - node->latency_at < LATENCY_AGE_US)
		latency = node->latency_us;
	if (node->is_self)
		load *= OWN_WEIGHT;
	if (c->now - node->outlier.failed_at < FAILED_AGE_US)
		load *= 1 + node->outlier.failures;
	return (load / brf_level_capacity(node, c->now) * (latency + 1));
}

static struct brf_route_node *
better(const struct brf_choice *c, struct brf_route_node *a,
    struct brf_route_node *b)
{
	if (a == NULL || b == NULL)
		return (a != NULL ? a : b);
	return (cost(c, a) <= cost(c, b) ? a : b);
}

/* A small ring is looked at as a whole. */
static struct brf_route_node *
two_of_all(struct brf_choice *c, const struct brf_route_list *l,
    enum brf_node_filter kind)
{
	struct brf_route_node *fit[LOOKS_MAX];
	struct brf_random *random = c->router->random;
	size_t i, first, second, n = 0;

	for (i = 0; i < l->count; i++) {
		if (fits(c, l->list[i], kind))
			fit[n++] = l->list[i];
	}
	if (n < 2)
		return (n == 1 ? fit[0] : NULL);
	first = brf_random_below(random, n);
	second = (first + 1 + brf_random_below(random, n - 1)) % n;
	return (better(c, fit[first], fit[second]));
}

static struct brf_route_node *
two_at_random(struct brf_choice *c, const struct brf_route_list *l,
    enum brf_node_filter kind)
{
	struct brf_route_node *found[2] = { NULL, NULL }, *node;
	size_t looks, n = 0;

	for (looks = 0; looks < LOOKS_MAX && n < 2; looks++) {
		node = l->list[brf_random_below(c->router->random, l->count)];
		if (node != found[0] && fits(c, node, kind))
			found[n++] = node;
	}
	return (better(c, found[0], found[1]));
}

struct brf_route_node *
brf_choose(struct brf_choice *c, enum brf_route_locality ring,
    enum brf_node_filter kind)
{
	const struct brf_route_list *l = kind == BRF_FILTER_SUSPECT
					     ? &c->service->suspect[ring]
					     : &c->service->ready[ring];

	if (l->count == 0)
		return (NULL);
	if (l->count <= LOOKS_MAX)
		return (two_of_all(c, l, kind));
	return (two_at_random(c, l, kind));
}
