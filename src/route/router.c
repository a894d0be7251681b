#include <stdlib.h>

#include "route/internal.h"

/* Default rate of the link between regions: 30 Mbit/s per region. */
#define LINK_BYTES_PER_S 3750000u

#define LATENCY_GAIN 0.1 /* weight of a new value in the moving averages */

/* How long a reply that reports draining keeps requests away. */
#define DRAINING_US BRF_US_PER_S

/* How long the retry delay of a gate that refused is used. */
#define RETRY_AFTER_MAX_AGE_US (2 * BRF_US_PER_S)
#define RETRY_AFTER_MIN_MS 100u
#define RETRY_AFTER_NO_TARGET_MS 1000u

static void
update_link_share(struct brf_router *r)
{
	size_t nodes = r->region_members != 0 ? r->region_members : 1;

	brf_link_budget_set_rate(&r->link,
	    (double)r->link_bytes_per_s / (double)nodes, brf_now(r->clock));
}

static bool
in_region(const struct brf_router *r, const struct brf_member *m)
{
	return (m != NULL && m->state != BRF_MEMBER_GONE &&
		strcmp(m->region, brf_members_self(r->members)->region) == 0);
}

static void
on_change(struct brf_members_watcher *w, const struct brf_member *before,
    const struct brf_member *after)
{
	struct brf_router *r = brf_container_of(w, struct brf_router, watcher);
	bool was = in_region(r, before), is = in_region(r, after);

	if (was != is) {
		r->region_members += is ? 1 : -1;
		update_link_share(r);
	}
	if (after != NULL && after->state != BRF_MEMBER_GONE)
		brf_index_update(r, after);
	else if (before != NULL)
		brf_index_remove(r, before->node);
}

static bool
add_member(const struct brf_member *member, void *arg)
{
	struct brf_router *r = arg;

	on_change(&r->watcher, NULL, member);
	return (true);
}

static void
init_metrics(struct brf_router *r, struct brf_metrics *to)
{
	static const char *const localities[] = { "ring=\"zone\"",
		"ring=\"region\"", "ring=\"other\"" };
	static const char refused[] = "Choices that found no node.";
	struct brf_route_metrics *m = &r->metrics;
	size_t i;

	for (i = 0; i < BRF_ROUTE_LOCALITY_COUNT; i++)
		m->picks[i] = brf_metrics_counter(to, "brf_route_picks_total",
		    "Nodes chosen, by distance.", localities[i]);
	m->shed = brf_metrics_counter(
	    to, "brf_route_refused_total", refused, "reason=\"shed_early\"");
	m->no_target = brf_metrics_counter(
	    to, "brf_route_refused_total", refused, "reason=\"no_target\"");
	m->link_budget = brf_metrics_counter(
	    to, "brf_route_refused_total", refused, "reason=\"link_budget\"");
	m->ejections = brf_metrics_counter(to, "brf_route_ejections_total",
	    "Nodes ejected for consecutive failures.", "");
}

struct brf_router *
brf_router_new(struct brf_members *members, struct brf_timers *timers,
    struct brf_random *random, struct brf_metrics *metrics)
{
	struct brf_router *r = brf_calloc(1, sizeof(*r));

	r->members = members;
	r->clock = brf_timers_clock(timers);
	r->random = random;
	r->link_bytes_per_s = LINK_BYTES_PER_S;
	init_metrics(r, metrics);
	update_link_share(r);
	r->watcher.changed = on_change;
	brf_members_watch(members, &r->watcher);
	brf_members_each(members, add_member, r);
	return (r);
}

void
brf_router_free(struct brf_router *r)
{
	if (r == NULL)
		return;
	brf_members_unwatch(&r->watcher);
	brf_index_clear(r);
	free(r);
}

void
brf_router_set_link_rate(struct brf_router *r, uint64_t bytes_per_s)
{
	r->link_bytes_per_s = bytes_per_s;
	update_link_share(r);
}

void
brf_router_count_link_bytes(struct brf_router *r, size_t bytes)
{
	brf_link_budget_take(&r->link, bytes, brf_now(r->clock));
}

/*
 * Filters in order of preference; each is tried in all localities, nearest
 * first, until a node is found.  A more distant locality takes over only while
 * it has free capacity; when no node has any, a load surge stays in the zone
 * where it began.
 */
static const enum brf_node_filter filters[] = { BRF_FILTER_SPARE_CAPACITY,
	BRF_FILTER_UNTRIED, BRF_FILTER_READY, BRF_FILTER_SUSPECT };

static struct brf_route_node *
find_node(struct brf_choice *c, size_t localities)
{
	struct brf_route_node *node;
	size_t filter, locality;

	for (filter = 0; filter < brf_nitems(filters); filter++) {
		if (filters[filter] == BRF_FILTER_SUSPECT && c->refused)
			break;
		for (locality = 0; locality < localities; locality++) {
			node = brf_choose(c, (enum brf_route_locality)locality,
			    filters[filter]);
			if (node != NULL)
				return (node);
		}
	}
	return (NULL);
}

static enum brf_route_result
refuse(struct brf_router *r, const struct brf_choice *c, bool no_link_budget)
{
	if (c->refused) {
		r->metrics.shed->value++;
		return (BRF_ROUTE_SHED);
	}
	if (no_link_budget) {
		r->metrics.link_budget->value++;
		return (BRF_ROUTE_LINK_BUDGET);
	}
	r->metrics.no_target->value++;
	return (BRF_ROUTE_NO_TARGET);
}

static void
start_attempt(struct brf_choice *c, struct brf_route_node *node)
{
	struct brf_router *r = c->router;

	node->in_flight++;
	r->metrics.picks[node->locality]->value++;
	if (node->locality == BRF_ROUTE_LOCALITY_OTHER_REGION)
		brf_link_budget_take(&r->link, c->request->bytes, c->now);
}

/* A pinned request goes to its node in any state but gone. */
static struct brf_route_node *
find_pinned(const struct brf_route_service *service, struct brf_id id)
{
	struct brf_route_node *node;
	struct brf_list *l;

	brf_list_foreach (l, &service->nodes) {
		node = brf_list_entry(l, struct brf_route_node, link);
		if (brf_id_equal(node->member.node, id) &&
		    node->member.state != BRF_MEMBER_GONE)
			return (node);
	}
	return (NULL);
}

enum brf_route_result
brf_router_pick(struct brf_router *r, const struct brf_route_request *request,
    struct brf_route_node **chosen)
{
	struct brf_choice c = { .router = r,
		.request = request,
		.service = brf_index_find_service(r, request->service),
		.now = brf_now(r->clock) };
	size_t localities = BRF_ROUTE_LOCALITY_OTHER_REGION;
	bool has_other_region, no_link_budget = false;

	if (c.service == NULL)
		return (refuse(r, &c, false));
	has_other_region =
	    request->cross_region &&
	    c.service->ready[BRF_ROUTE_LOCALITY_OTHER_REGION].count +
		    c.service->suspect[BRF_ROUTE_LOCALITY_OTHER_REGION].count !=
		0;
	if (has_other_region &&
	    brf_link_budget_admits(&r->link, request->cls, c.now))
		localities = BRF_ROUTE_LOCALITY_COUNT;
	else
		no_link_budget = has_other_region;
	if (brf_id_is_zero(request->pinned_node))
		*chosen = find_node(&c, localities);
	else
		*chosen = find_pinned(c.service, request->pinned_node);
	if (*chosen == NULL)
		return (refuse(r, &c, no_link_budget));
	start_attempt(&c, *chosen);
	return (BRF_ROUTE_CHOSEN);
}

static void
update_average(double *value, double sample)
{
	*value =
	    *value > 0 ? *value + LATENCY_GAIN * (sample - *value) : sample;
}

static void
learn_from_reply(struct brf_router *r, struct brf_route_node *node,
    const struct brf_reply *reply, uint64_t duration_us)
{
	struct brf_route_service *s = node->service;
	uint64_t now = brf_now(r->clock);

	brf_level_update(node, reply, now);
	brf_outlier_update(r, node, reply, duration_us);
	if (brf_reply_is_useful(reply)) {
		update_average(&node->latency_us, (double)duration_us);
		node->latency_at = now;
		if (s != NULL)
			update_average(&s->expected_us, (double)duration_us);
	}
	if (reply->reason == BRF_R_DRAINING)
		node->draining_until = now + DRAINING_US;
	if (s != NULL && reply->outcome == BRF_NOT_RUN &&
	    reply->retry_after_ms != 0) {
		s->retry_after_ms = reply->retry_after_ms;
		s->retry_after_at = now;
	}
}

void
brf_router_done(struct brf_router *r, struct brf_route_node *node,
    const struct brf_reply *reply, uint64_t duration_us, size_t bytes)
{
	node->in_flight--;
	if (node->locality == BRF_ROUTE_LOCALITY_OTHER_REGION)
		brf_router_count_link_bytes(r, bytes);
	learn_from_reply(r, node, reply, duration_us);
	brf_index_release(node);
}

const struct brf_member *
brf_route_node_member(const struct brf_route_node *node)
{
	return (&node->member);
}

void
brf_route_node_set_data(
    struct brf_route_node *node, void *data, void (*release)(void *data))
{
	node->data = data;
	node->release = release;
}

void *
brf_route_node_data(const struct brf_route_node *node)
{
	return (node->data);
}

uint64_t
brf_router_expected_us(const struct brf_router *r, const char *service)
{
	const struct brf_route_service *s = brf_index_find_service(r, service);

	return (s != NULL ? (uint64_t)s->expected_us : 0);
}

static size_t
ready_nodes(const struct brf_route_service *s)
{
	size_t locality, n = 0;

	for (locality = 0; locality < BRF_ROUTE_LOCALITY_COUNT; locality++)
		n += s->ready[locality].count;
	return (n);
}

uint32_t
brf_router_retry_after_ms(const struct brf_router *r, const char *service)
{
	const struct brf_route_service *s = brf_index_find_service(r, service);
	uint64_t now = brf_now(r->clock);

	if (s == NULL || ready_nodes(s) == 0)
		return (RETRY_AFTER_NO_TARGET_MS);
	if (now - s->retry_after_at > RETRY_AFTER_MAX_AGE_US ||
	    s->retry_after_ms < RETRY_AFTER_MIN_MS)
		return (RETRY_AFTER_MIN_MS);
	return (s->retry_after_ms);
}
