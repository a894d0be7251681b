#include "route/internal.h"

/**
 * DOC: Nodes that do worse than others, from this node's own attempts.
 *
 * Some consecutive failures eject a node for a short time, which doubles when
 * they go on after its return.  At least half of a service's ready nodes on
 * one side of the link stay in, since many failures at once point to a cause
 * that ejecting does not mend.
 */

#define FAILURES_TO_EJECT 5u
#define EJECT_FIRST_US BRF_US_PER_S
#define EJECT_DOUBLINGS_MAX 5u
#define FORGIVE_US (30 * BRF_US_PER_S) /* without ejection */
#define HTTP_SERVER_ERROR 500

bool
brf_reply_is_useful(const struct brf_reply *reply)
{
	return (reply->outcome == BRF_ANSWERED && reply->answer != NULL &&
		reply->answer->status < HTTP_SERVER_ERROR);
}

static bool
is_failure(const struct brf_route_service *s, const struct brf_reply *reply,
    uint64_t took_us)
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
		/* a caller's own short time-out says nothing of the node */
		return (expected > 0 && (double)took_us > 2 * expected);
	default:
		/* errors that come faster than work is done attract more */
		return (reply->outcome == BRF_ANSWERED &&
			!brf_reply_is_useful(reply) &&
			(double)took_us < expected);
	}
}

static bool
is_held_out(const struct brf_route_node *node, uint64_t now)
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

/* Whether one more may be ejected on @node's side of the link. */
static bool
may_eject(const struct brf_route_node *node, uint64_t now)
{
	const struct brf_route_service *s = node->service;
	bool far = node->locality == BRF_ROUTE_LOCALITY_OTHER_REGION;
	size_t ring, i, ready = 0, out = 0;

	for (ring = 0; ring < BRF_ROUTE_LOCALITY_COUNT; ring++) {
		if ((ring == BRF_ROUTE_LOCALITY_OTHER_REGION) != far)
			continue;
		ready += s->ready[ring].count;
		for (i = 0; i < s->ready[ring].count; i++)
			out += is_held_out(s->ready[ring].list[i], now);
	}
	return (is_held_out(node, now) || (out + 1) * 2 <= ready);
}

static void
eject(struct brf_router *r, struct brf_route_node *node, uint64_t now)
{
	struct brf_outlier *o = &node->outlier;
	uint32_t doublings;

	if (o->ejected_until != 0 && now > o->ejected_until + FORGIVE_US)
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
    const struct brf_reply *reply, uint64_t took_us)
{
	struct brf_outlier *o = &node->outlier;
	uint64_t now = brf_now(r->clock);
	bool probed = o->probation && o->ejected_until <= now;

	if (brf_reply_is_useful(reply)) {
		o->failures = 0;
		o->probation = o->probation && !probed;
		return;
	}
	if (!is_failure(node->service, reply, took_us))
		return;
	o->failures++;
	o->failed_at = now;
	if (o->ejected_until > now ||
	    (o->failures < FAILURES_TO_EJECT && !probed))
		return;
	if (node->service != NULL && may_eject(node, now))
		eject(r, node, now);
}
