#ifndef BRF_BALANCER_H
#define BRF_BALANCER_H

#include "base/random.h"
#include "flow/hop.h"

/**
 * DOC: Which of a service's targets a hop goes to.
 *
 * Load it answers: targets of unlike speed, some warming up, some failing part
 * of what they get, in zones that differ in distance and price, while many
 * nodes choose at once from what each of them saw last.
 *
 * Each candidate gets an estimate of the time until its answer: its usual
 * time, and what waits there with a penalty for having to wait at all, divided
 * by the share of its hops that came back. Another zone adds a small penalty.
 * The other region, whose link is narrow and billed, is for requests that find
 * no target in this one, or none that takes work, and for the most important
 * ones that find no room.
 */

/**
 * enum brf_locality - distance to a target.
 */
enum brf_locality {
	BRF_LOCALITY_SELF,   /* beside this node */
	BRF_LOCALITY_ZONE,   /* in this zone */
	BRF_LOCALITY_REGION, /* in this region */
	BRF_LOCALITY_FAR,    /* in another region */
	BRF_LOCALITY_COUNT
};

#define BRF_BALANCER_TARGETS_MAX 128u /* candidates looked at for one hop */

/**
 * struct brf_balancer_target - what a node knows of one target.
 * @ring: its distance
 * @slots: requests that it runs at once
 * @warmup_end: clock time when its warm-up ends
 * @in_flight: hops from here that have not ended
 * @load: its gate's last word
 * @load_at: clock time of that; 0 for none
 * @assumed_ms: time of the other candidates, taken for its own until then
 * @in_flight_at_load: @in_flight at that time
 * @success_rate: share of hops that ended well, fading
 * @consecutive_failures: hops in a row that failed without a word of the target
 * @ejected_until: clock time before which it gets nothing
 * @drain_backoff_until: clock time before which it gets nothing, as its gate
 *said that it takes no new work
 * @probing: a hop that is to show whether it is back
 * @draining: it says that it takes no new work
 * @silent: nothing comes back from its node
 * @down: its node can't be reached
 */
struct brf_balancer_target {
	enum brf_locality ring;
	uint32_t slots;
	uint64_t warmup_end;
	uint32_t in_flight;
	struct brf_gate_load load;
	uint64_t load_at;
	double assumed_ms;
	uint32_t in_flight_at_load;
	double success_rate;
	uint32_t consecutive_failures;
	uint64_t ejected_until;
	uint64_t drain_backoff_until;
	bool probing;
	bool draining;
	bool silent;
	bool down;
};

/**
 * struct brf_balancer_request - what a choice is made for.
 * @rank: 0 is the most important
 * @tried: candidates that this request has been at, by index
 */
struct brf_balancer_request {
	uint32_t rank;
	bool nested;
	bool repeatable;
	const bool *tried;
};

#define BRF_BALANCER_NONE SIZE_MAX

BRF_BEGIN_DECLS

/* "self", "zone", "region" or "far". */
const char *brf_locality_name(enum brf_locality ring);

void brf_balancer_target_init(
    struct brf_balancer_target *t, enum brf_locality ring, uint32_t slots);

/**
 * brf_balancer_choose() - choose among @count candidates.
 *
 * Return: index; BRF_BALANCER_NONE when none may get it.
 */
size_t brf_balancer_choose(struct brf_balancer_target *const *targets,
    size_t count, const struct brf_balancer_request *request,
    struct brf_random *random, uint64_t now);

/* A hop goes to @t. */
void brf_balancer_hop_sent(struct brf_balancer_target *t, uint64_t now);

/**
 * enum brf_balancer_feedback - how a hop ended, as far as it tells of its
 * target.
 * @BRF_FEEDBACK_ANSWERED: answered
 * @BRF_FEEDBACK_NO_CAPACITY: refused for want of room
 * @BRF_FEEDBACK_DRAINING: refused because the target takes no new work
 * @BRF_FEEDBACK_TARGET_FAILED: the target itself refused or failed it
 * @BRF_FEEDBACK_UNREACHABLE: no word came, or the way there is broken
 * @BRF_FEEDBACK_NONE: its sender gave it up
 */
enum brf_balancer_feedback {
	BRF_FEEDBACK_ANSWERED,
	BRF_FEEDBACK_NO_CAPACITY,
	BRF_FEEDBACK_DRAINING,
	BRF_FEEDBACK_TARGET_FAILED,
	BRF_FEEDBACK_UNREACHABLE,
	BRF_FEEDBACK_NONE
};

void brf_balancer_hop_ended(struct brf_balancer_target *t,
    enum brf_balancer_feedback end, const struct brf_gate_load *load,
    uint64_t now);

/* Estimate behind a choice, microseconds, without the distance. */
double brf_balancer_estimate_us(
    const struct brf_balancer_target *t, uint64_t now);

BRF_END_DECLS

#endif
