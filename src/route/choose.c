#include "route/internal.h"

/* Nodes examined in a locality before it counts as having no candidate. */
#define SAMPLES_MAX 8u

/* Fraction of a node's capacity that senders from other zones may fill; the
 * rest is left to its own zone. */
#define REMOTE_CAPACITY 0.8

/* Applied to the load of this node itself: its use saves a hop. */
#define SELF_WEIGHT 0.8

/* Older latencies and failures of a node do not affect its cost. */
#define LATENCY_MAX_AGE_US (5 * BRF_US_PER_S)
#define FAILURE_MAX_AGE_US (5 * BRF_US_PER_S)

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
has_spare_capacity(
    const struct brf_choice *c, const struct brf_route_node *node)
{
	double capacity = brf_level_capacity(node, c->now);

	if (node->locality != BRF_ROUTE_LOCALITY_ZONE)
		capacity *= REMOTE_CAPACITY;
	return (brf_level_load(node, c->now) < capacity);
}

static bool
is_candidate(struct brf_choice *c, const struct brf_route_node *node,
    enum brf_node_filter filter)
{
	if (node->draining_until > c->now)
		return (false);
	if (filter < BRF_FILTER_READY &&
	    (is_tried(c->request, node) ||
		brf_outlier_is_excluded(node, c->now)))
		return (false);
	if (!brf_level_admits(node, c->request->rank, c->now)) {
		c->refused = true;
		return (false);
	}
	return (
	    filter != BRF_FILTER_SPARE_CAPACITY || has_spare_capacity(c, node));
}

/* Expected wait at the node; a lower cost is better. */
static double
cost(const struct brf_choice *c, const struct brf_route_node *node)
{
	double latency = c->service->expected_us;
	double load = brf_level_load(node, c->now) + 1;

	if (node->latency_us > 0 &&
	    c->now - node->latency_at < LATENCY_MAX_AGE_US)
		latency = node->latency_us;
	if (node->is_self)
		load *= SELF_WEIGHT;
	if (c->now - node->outlier.failed_at < FAILURE_MAX_AGE_US)
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

/* For short lists: examines all nodes, then compares two random candidates. */
static struct brf_route_node *
choose_from_all(struct brf_choice *c, const struct brf_route_list *l,
    enum brf_node_filter filter)
{
	struct brf_route_node *candidates[SAMPLES_MAX];
	struct brf_random *random = c->router->random;
	size_t i, first, second, n = 0;

	for (i = 0; i < l->count; i++) {
		if (is_candidate(c, l->list[i], filter))
			candidates[n++] = l->list[i];
	}
	if (n < 2)
		return (n == 1 ? candidates[0] : NULL);
	first = brf_random_below(random, n);
	second = (first + 1 + brf_random_below(random, n - 1)) % n;
	return (better(c, candidates[first], candidates[second]));
}

/* For long lists: examines random nodes until two are candidates. */
static struct brf_route_node *
choose_by_sampling(struct brf_choice *c, const struct brf_route_list *l,
    enum brf_node_filter filter)
{
	struct brf_route_node *found[2] = { NULL, NULL }, *node;
	size_t samples, n = 0;

	for (samples = 0; samples < SAMPLES_MAX && n < 2; samples++) {
		node = l->list[brf_random_below(c->router->random, l->count)];
		if (node != found[0] && is_candidate(c, node, filter))
			found[n++] = node;
	}
	return (better(c, found[0], found[1]));
}

struct brf_route_node *
brf_choose(struct brf_choice *c, enum brf_route_locality locality,
    enum brf_node_filter filter)
{
	const struct brf_route_list *l = filter == BRF_FILTER_SUSPECT
					     ? &c->service->suspect[locality]
					     : &c->service->ready[locality];

	if (l->count == 0)
		return (NULL);
	if (l->count <= SAMPLES_MAX)
		return (choose_from_all(c, l, filter));
	return (choose_by_sampling(c, l, filter));
}
