#ifndef BRF_BALANCER_H
#define BRF_BALANCER_H

#include "base/random.h"
#include "flow/hop.h"

/**
 * DOC: Load balancing: choice of the target for a hop.
 *
 * Problem: a service's targets differ in speed, some are warming up, some fail
 * a part of their requests, zones differ in distance and price, and many nodes
 * choose at the same time from load reports of different age.
 *
 * For each candidate the time until its answer is estimated: its service time
 * plus the queueing time, with a penalty for having to wait at all, divided by
 * the target's success rate.  Another zone adds a small penalty.  The link to
 * the other region is narrow and billed.  The other region is used by requests
 * for which no target in this region exists or accepts work, and by the most
 * important root requests when those targets have no free slots.
 *
 * A target may limit the requests that it takes from all nodes.  While others
 * of its service have room, it is chosen only when a permit of its limit is
 * expected to be at hand; else by how long the request would wait for one.
 *
 * A target is known only by the answers of its hops: one that has just joined
 * would get none while a faster one has free slots.  So a share of the hops
 * goes to a target of this zone that has never reported.
 *
 * A target whose hops fail in a row is ejected.  What ends this must not depend
 * on the kind of requests that its service gets: after some time any request
 * may be the probe.  A request that is not idempotent is lost with a target
 * that takes it and does not answer, so it waits longer where other targets or
 * idempotent requests can spare it that.
 */

/**
 * enum brf_locality - distance class of a target, seen from this node.
 */
enum brf_locality {
	BRF_LOCALITY_SELF,   /* this node's own target, on the same VM */
	BRF_LOCALITY_ZONE,   /* same availability zone */
	BRF_LOCALITY_REGION, /* same region, another zone */
	BRF_LOCALITY_FAR,    /* another region */
	BRF_LOCALITY_COUNT
};

/* Candidates considered for one hop. */
#define BRF_BALANCER_TARGETS_MAX 128u

/**
 * struct brf_balancer_target - what this node knows of one target.
 * @locality: distance class; also its name in logs and metrics
 * @slots: requests that the target runs at once
 * @warmup_end: clock time at which its warm-up ends
 * @in_flight: hops that this node has sent to it and that have not ended
 * @load: last load that its gate reported
 * @load_at: clock time at which @load was received; 0 for never
 * @assumed_ms: service time assumed while @load_at is 0: mean of the other
 *	candidates
 * @in_flight_at_load: @in_flight at @load_at
 * @success_rate: exponentially weighted moving average over hops, 0 to 1
 * @consecutive_failures: hops in a row that ended with
 *	BRF_FEEDBACK_UNREACHABLE or BRF_FEEDBACK_LOST
 * @unanswered: one of these ended with BRF_FEEDBACK_LOST
 * @ejected_until: clock time before which an ejected target is used only when
 *	no other candidate is left; 0 when it is not ejected
 * @ejected_us: duration of this ejection, microseconds
 * @drain_backoff_until: clock time before which it gets no hops, since its gate
 *	refused one as draining
 * @probing: the one hop that tests an ejected target is in flight
 * @rate_limit: requests a second that it takes from all nodes; 0 for no limit
 * @permit_at: clock time at which @rate_limit is expected to admit a request
 *	of this node
 * @leaving: it said in an answer that it leaves
 * @draining: its directory entry says that it accepts no new work
 * @silent: nothing is received from its node
 * @down: its node is not reachable
 */
struct brf_balancer_target {
	enum brf_locality locality;
	uint32_t slots;
	uint64_t warmup_end;
	uint32_t in_flight;
	struct brf_gate_load load;
	uint64_t load_at;
	double assumed_ms;
	uint32_t in_flight_at_load;
	double success_rate;
	uint32_t consecutive_failures;
	bool unanswered;
	uint64_t ejected_until;
	uint64_t ejected_us;
	uint64_t drain_backoff_until;
	double rate_limit;
	uint64_t permit_at;
	bool probing;
	bool leaving;
	bool draining;
	bool silent;
	bool down;
};

/**
 * struct brf_balancer_request - the request that a target is chosen for.
 * @rank: 0 is the most important
 * @nested: it is a call made by a running request
 * @repeatable: it may run more than once
 * @tried: for each candidate, whether this request was sent to it before
 * @max_wait_us: longest time that it may wait at a gate, microseconds
 */
struct brf_balancer_request {
	uint32_t rank;
	bool nested;
	bool repeatable;
	const bool *tried;
	uint64_t max_wait_us;
};

#define BRF_BALANCER_NONE SIZE_MAX

BRF_BEGIN_DECLS

/* Return: "self", "zone", "region" or "far". */
const char *brf_locality_name(enum brf_locality locality);

void brf_balancer_target_init(
    struct brf_balancer_target *t, enum brf_locality locality, uint32_t slots);

/* Forget what an earlier incarnation of @t did, except for open hops. */
void brf_balancer_new_incarnation(struct brf_balancer_target *t);

/**
 * brf_balancer_announced() - the node of @t has announced it again, which ends
 * an ejection that began because nothing reached the target.
 */
void brf_balancer_announced(struct brf_balancer_target *t);

/* Whether hops to @t have failed in a row. */
bool brf_balancer_is_ejected(const struct brf_balancer_target *t);

/**
 * brf_balancer_choose() - choose a target for the next hop of @request.
 * @targets: @count candidates, at most BRF_BALANCER_TARGETS_MAX
 *
 * Also updates @assumed_ms of the candidates.
 *
 * Return: index in @targets; BRF_BALANCER_NONE when no candidate is eligible.
 */
size_t brf_balancer_choose(struct brf_balancer_target *const *targets,
    size_t count, const struct brf_balancer_request *request,
    struct brf_random *random, uint64_t now);

/**
 * brf_balancer_has_unlimited() - whether a target without a rate limit, other
 * than @except, could take @request as well.
 */
bool brf_balancer_has_unlimited(struct brf_balancer_target *const *targets,
    size_t count, const struct brf_balancer_request *request, size_t except,
    uint64_t now);

/* Apply what the gate of @t reported of its statements. */
void brf_balancer_report(struct brf_balancer_target *t,
    const struct brf_target_report *report, uint64_t now);

/* Report that a hop was sent to @t. */
void brf_balancer_hop_sent(struct brf_balancer_target *t, uint64_t now);

/**
 * enum brf_balancer_feedback - what the end of a hop says about its target.
 * @BRF_FEEDBACK_ANSWERED: the target answered
 * @BRF_FEEDBACK_NO_CAPACITY: the gate refused the hop for lack of capacity
 * @BRF_FEEDBACK_RATE_LIMIT: the gate refused the hop for the target's limit,
 *	which is no fault of it
 * @BRF_FEEDBACK_DRAINING: refused because the target accepts no new work
 * @BRF_FEEDBACK_TARGET_FAILED: the target itself refused or failed the request
 * @BRF_FEEDBACK_UNREACHABLE: nothing reached the target, which says nothing of
 *	how it serves
 * @BRF_FEEDBACK_LOST: no response of a target that may have run the request
 * @BRF_FEEDBACK_NONE: nothing, since the sender cancelled the hop, or the gate
 *	refused it for its deadline alone
 */
enum brf_balancer_feedback {
	BRF_FEEDBACK_ANSWERED,
	BRF_FEEDBACK_NO_CAPACITY,
	BRF_FEEDBACK_RATE_LIMIT,
	BRF_FEEDBACK_DRAINING,
	BRF_FEEDBACK_TARGET_FAILED,
	BRF_FEEDBACK_UNREACHABLE,
	BRF_FEEDBACK_LOST,
	BRF_FEEDBACK_NONE
};

/**
 * brf_balancer_hop_ended() - report the end of a hop to @t.
 * @load: load that the gate reported with it, which is copied; NULL for none
 */
void brf_balancer_hop_ended(struct brf_balancer_target *t,
    enum brf_balancer_feedback feedback, const struct brf_gate_load *load,
    uint64_t now);

/**
 * brf_balancer_estimate_us() - estimated time until @t would answer a request.
 *
 * Return: microseconds, without the penalties for distance and link state.
 */
double brf_balancer_estimate_us(
    const struct brf_balancer_target *t, uint64_t now);

BRF_END_DECLS

#endif
