#include "route/internal.h"

/**
 * DOC: Outlier detection, from this node's own attempts.
 *
 * FAILURES_TO_EJECT consecutive failures eject a node for EJECT_FIRST_US.  The
 * duration doubles each time the node fails again after its return.  At least
 * half of a service's ready nodes in this region, and half of those in the
 * other one, stay in use: many failures at once have a cause that ejection
 * does not remove.
 */

#define FAILURES_TO_EJECT 5u
#define EJECT_FIRST_US BRF_US_PER_S
#define EJECT_DOUBLINGS_MAX 5u
/* Time without ejection after which the next one is short again. */
#define EJECTIONS_RESET_US (30 * BRF_US_PER_S)
#define HTTP_SERVER_ERROR 500

bool
brf_reply_is_useful(const struct brf_reply *reply)
{
	return (reply->outcome == BRF_ANSWERED && reply->answer != NULL &&
		reply->answer->status < HTTP_SERVER_ERROR);
}

static bool
is_failure(const struct brf_route_service *s, const struct brf_reply *reply,
    uint64_t duration_us)
{
	double expected = s != NULL ? s->expected_us : 0;

	switch (reply->reason) {
	case BRF_R_CONNECTION_LOST:
	case BRF_R_TARGET_LOST:
	case BRF_R_TARGET_DOWN:
	case BRF_R_NOT_SENT:
	case BRF_R_BROKEN_ANSWER:
		return (true);
	case BRF_R_TIMEOUT:
		/* a short timeout set by the caller is no fault of the node */
		return (expected > 0 && (double)duration_us > 2 * expected);
	default:
		/* fast errors lower the load and so attract more requests */
		return (reply->outcome == BRF_ANSWERED &&
			!brf_reply_is_useful(reply) &&
			(double)duration_us < expected);
	}
}

static bool
is_ejected_or_on_probation(const struct brf_route_node *node, uint64_t now)
{
	return (node->outlier.ejected_until > now || node->outlier.probation);
}

bool
brf_outlier_is_excluded(const struct brf_route_node *node, uint64_t now)
{
	const struct brf_outlier *o = &node->outlier;

	return (
	    o->ejected_until > now || (o->probation && node->in_flight != 0));
}

/* Whether one more node may be ejected on @node's side of the region link. */
static bool
may_eject(const struct brf_route_node *node, uint64_t now)
{
	const struct brf_route_service *s = node->service;
	bool other_region = node->locality == BRF_ROUTE_LOCALITY_OTHER_REGION;
	size_t locality, i, ready = 0, ejected = 0;

	for (locality = 0; locality < BRF_ROUTE_LOCALITY_COUNT; locality++) {
		if ((locality == BRF_ROUTE_LOCALITY_OTHER_REGION) !=
		    other_region)
			continue;
		ready += s->ready[locality].count;
		for (i = 0; i < s->ready[locality].count; i++)
			ejected += is_ejected_or_on_probation(
			    s->ready[locality].list[i], now);
	}
	return (is_ejected_or_on_probation(node, now) ||
		(ejected + 1) * 2 <= ready);
}

static void
eject(struct brf_router *r, struct brf_route_node *node, uint64_t now)
{
	struct brf_outlier *o = &node->outlier;
	uint32_t doublings;

	if (o->ejected_until != 0 &&
	    now > o->ejected_until + EJECTIONS_RESET_US)
		o->ejections = 0;
	doublings = o->ejections < EJECT_DOUBLINGS_MAX ? o->ejections
						       : EJECT_DOUBLINGS_MAX;
	o->ejections++;
	o->failures = 0;
	o->ejected_until = now + (EJECT_FIRST_US << doublings);
	o->probation = true;
	r->metrics.ejections->value++;
}

void
brf_outlier_update(struct brf_router *r, struct brf_route_node *node,
    const struct brf_reply *reply, uint64_t duration_us)
{
	struct brf_outlier *o = &node->outlier;
	uint64_t now = brf_now(r->clock);
	bool was_probe = o->probation && o->ejected_until <= now;

	if (brf_reply_is_useful(reply)) {
		o->failures = 0;
		o->probation = o->probation && !was_probe;
		return;
	}
	if (!is_failure(node->service, reply, duration_us))
		return;
	o->failures++;
	o->failed_at = now;
	if (o->ejected_until > now ||
	    (o->failures < FAILURES_TO_EJECT && !was_probe))
		return;
	if (node->service != NULL && may_eject(node, now))
		eject(r, node, now);
}
