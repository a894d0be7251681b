#include "policy/balancer.h"

/* Service time assumed when no candidate has reported one. */
#define SERVICE_MS 50.0

/* Age from which a reported load is ignored. */
#define LOAD_AGE_US BRF_US_PER_S

/* Factor on the service time of a target that warms up. */
#define COLD_FACTOR 2.0

/* Weight of one hop in the success rate, and lowest rate used in estimates. */
#define SUCCESS_WEIGHT 0.05
#define SUCCESS_RATE_MIN 0.05

/* Consecutive failures from which a target is ejected, and for how long: the
 * time doubles with each further failure up to EJECT_MAX_US. */
#define FAILURES_MAX 3u
#define EJECT_FIRST_US (500 * BRF_US_PER_MS)
#define EJECT_MAX_US (4 * BRF_US_PER_S)

/* Time without hops for a target that refused one as draining. */
#define DRAIN_BACKOFF_US (2 * BRF_US_PER_S)

/* Share of slots in use from which a request is expected to wait, and the
 * penalty for that, microseconds. */
#define FULL 0.95
#define FULL_US 100e3

/* Share of the hops that test a target that has never reported. */
#define EXPLORE_SHARE 0.25

/* Penalty for a silent or broken link, microseconds. */
#define LINK_DOUBT_US 1e6

/* Penalties for distance, microseconds of estimated time. */
static const double locality_penalty[BRF_LOCALITY_COUNT] = {
	[BRF_LOCALITY_SELF] = 0,
	[BRF_LOCALITY_ZONE] = 0,
	[BRF_LOCALITY_REGION] = 10e3,
	[BRF_LOCALITY_FAR] = 30e3,
};

const char *
brf_locality_name(enum brf_locality locality)
{
	static const char *const names[BRF_LOCALITY_COUNT] = {
		[BRF_LOCALITY_SELF] = "self",
		[BRF_LOCALITY_ZONE] = "zone",
		[BRF_LOCALITY_REGION] = "region",
		[BRF_LOCALITY_FAR] = "far",
	};

	return (names[locality]);
}

void
brf_balancer_target_init(
    struct brf_balancer_target *t, enum brf_locality locality, uint32_t slots)
{
	memset(t, 0, sizeof(*t));
	t->locality = locality;
	t->slots = slots;
	t->success_rate = 1;
	t->assumed_ms = SERVICE_MS;
}

static void
clear_failures(struct brf_balancer_target *t)
{
	t->consecutive_failures = 0;
	t->unanswered = false;
	t->ejected_until = 0;
}

void
brf_balancer_new_incarnation(struct brf_balancer_target *t)
{
	clear_failures(t);
	t->probing = false;
	t->success_rate = 1;
	t->load_at = 0;
}

void
brf_balancer_announced(struct brf_balancer_target *t)
{
	if (!t->unanswered)
		clear_failures(t);
}

bool
brf_balancer_is_ejected(const struct brf_balancer_target *t)
{
	return (t->consecutive_failures >= FAILURES_MAX);
}

/*
 * Requests running or waiting at the target: as last reported, plus the hops
 * sent since; without a recent report, the hops in flight from this node.
 */
static double
requests_at(const struct brf_balancer_target *t, uint64_t now)
{
	double known = t->in_flight, reported;

	if (t->load_at == 0 || now - t->load_at > LOAD_AGE_US)
		return (known);
	reported = (double)t->load.running + t->load.waiting;
	if (t->in_flight > t->in_flight_at_load)
		reported += t->in_flight - t->in_flight_at_load;
	return (reported > known ? reported : known);
}

double
brf_balancer_estimate_us(const struct brf_balancer_target *t, uint64_t now)
{
	double limit = t->slots, service = t->assumed_ms, load, time;

	if (t->load_at != 0) {
		service = t->load.service_ms != 0 ? t->load.service_ms : 1;
		if (t->load.limit != 0)
			limit = t->load.limit;
	}
	if (t->warmup_end > now)
		service *= COLD_FACTOR;
	load = (requests_at(t, now) + 1) / limit;
	time = service;
	/* A free slot nearby is preferred to a faster target where the request
	 * has to wait. */
	if (load > FULL)
		time += FULL_US / BRF_US_PER_MS + service * (load - FULL);
	return (time * BRF_US_PER_MS /
		(t->success_rate > SUCCESS_RATE_MIN ? t->success_rate
						    : SUCCESS_RATE_MIN));
}

static bool
accepts_work(const struct brf_balancer_target *t, uint64_t now)
{
	return (!t->draining && !t->leaving && t->drain_backoff_until <= now);
}

/* Expected wait of a request for a permit of the target's rate limit. */
static uint64_t
permit_wait_us(const struct brf_balancer_target *t, uint64_t now)
{
	return (t->permit_at > now ? t->permit_at - now : 0);
}

/**
 * enum stage - which targets are considered, from the first choice to the last.
 * @STAGE_READY: those whose rate limit has a permit, or that have no limit
 * @STAGE_LIMITED: also those for whose permit the request can wait
 * @STAGE_EJECTED: also ejected ones before their time
 */
enum stage {
	STAGE_READY,
	STAGE_LIMITED,
	STAGE_EJECTED,
	STAGE_COUNT
};

/*
 * An ejected target gets one request at a time as a probe: once its ejection
 * time is over, or earlier when no other candidate is left.  A request that
 * must not be repeated may be lost at a target that has not answered: it waits
 * for the ejection time without another candidate, else as long again.
 */
static bool
may_probe(const struct brf_balancer_target *t,
    const struct brf_balancer_request *request, enum stage stage, uint64_t now)
{
	if (t->probing)
		return (false);
	if (request->repeatable || !t->unanswered)
		return (stage == STAGE_EJECTED || t->ejected_until <= now);
	return (
	    t->ejected_until + (stage == STAGE_EJECTED ? 0 : t->ejected_us) <=
	    now);
}

static bool
is_eligible(const struct brf_balancer_target *t,
    const struct brf_balancer_request *request, enum stage stage, uint64_t now)
{
	uint64_t max_wait = stage == STAGE_READY ? 0 : request->max_wait_us;

	if (!accepts_work(t, now) || permit_wait_us(t, now) > max_wait)
		return (false);
	return (
	    !brf_balancer_is_ejected(t) || may_probe(t, request, stage, now));
}

static double
cost(const struct brf_balancer_target *t, struct brf_random *random,
    uint64_t now)
{
	double c = brf_balancer_estimate_us(t, now) +
		   (double)permit_wait_us(t, now) +
		   locality_penalty[t->locality];

	if (t->silent || t->down)
		c += LINK_DOUBT_US;
	/* Choose among equals at random. */
	return (c * (1 + 0.05 * brf_random_unit(random)));
}

/* Assume the mean service time for targets that have not reported theirs, so
 * that they compete on equal terms. */
static void
set_assumed_ms(struct brf_balancer_target *const *targets, size_t count)
{
	double sum = 0, mean = SERVICE_MS;
	size_t i, reporting = 0;

	for (i = 0; i < count; i++) {
		if (targets[i]->load_at == 0)
			continue;
		sum += targets[i]->load.service_ms;
		reporting++;
	}
	if (reporting == count)
		return;
	if (reporting != 0)
		mean = sum / (double)reporting;
	if (mean < 1)
		mean = 1;
	for (i = 0; i < count; i++)
		targets[i]->assumed_ms = mean;
}

/* The candidate of lowest cost, in the other region with @far, else in this. */
static size_t
choose(struct brf_balancer_target *const *targets, size_t count, bool far,
    enum stage stage, const struct brf_balancer_request *request,
    struct brf_random *random, uint64_t now)
{
	size_t i, best = BRF_BALANCER_NONE;
	double least = 0, c;

	for (i = 0; i < count; i++) {
		if ((targets[i]->locality == BRF_LOCALITY_FAR) != far ||
		    request->tried[i] ||
		    !is_eligible(targets[i], request, stage, now))
			continue;
		c = cost(targets[i], random, now);
		if (best == BRF_BALANCER_NONE || c < least) {
			best = i;
			least = c;
		}
	}
	return (best);
}

/* Traffic between zones is billed, and the nodes of its own zone test each
 * target. */
static bool
is_unexplored(const struct brf_balancer_target *t, uint64_t now)
{
	return (t->locality <= BRF_LOCALITY_ZONE && t->load_at == 0 &&
		t->in_flight == 0 && t->warmup_end <= now && !t->silent &&
		!t->down && t->consecutive_failures == 0);
}

/* One of the targets that have never reported, for a share of the requests. */
static size_t
explore(struct brf_balancer_target *const *targets, size_t count,
    const struct brf_balancer_request *request, struct brf_random *random,
    uint64_t now)
{
	size_t i, found = 0, chosen = BRF_BALANCER_NONE;

	if (brf_random_unit(random) >= EXPLORE_SHARE)
		return (BRF_BALANCER_NONE);
	for (i = 0; i < count; i++) {
		if (request->tried[i] || !accepts_work(targets[i], now) ||
		    !is_unexplored(targets[i], now))
			continue;
		/* each of those found is chosen with the same probability */
		if (brf_random_unit(random) * (double)++found < 1)
			chosen = i;
	}
	return (chosen);
}

/*
 * Whether the request has tried a target in this region that accepts work, is
 * not ejected and does not limit itself, so that the region is only short of
 * capacity.
 */
static bool
tried_in_region(struct brf_balancer_target *const *targets, size_t count,
    const struct brf_balancer_request *request, uint64_t now)
{
	const struct brf_balancer_target *t;
	size_t i;

	for (i = 0; i < count; i++) {
		t = targets[i];
		if (request->tried[i] && t->locality != BRF_LOCALITY_FAR &&
		    accepts_work(t, now) && permit_wait_us(t, now) == 0 &&
		    !brf_balancer_is_ejected(t))
			return (true);
	}
	return (false);
}

size_t
brf_balancer_choose(struct brf_balancer_target *const *targets, size_t count,
    const struct brf_balancer_request *request, struct brf_random *random,
    uint64_t now)
{
	bool may_go_far = !tried_in_region(targets, count, request, now) ||
			  (!request->nested && request->rank == 0);
	size_t chosen = explore(targets, count, request, random, now);
	int stage;

	set_assumed_ms(targets, count);
	for (stage = STAGE_READY;
	     stage < STAGE_COUNT && chosen == BRF_BALANCER_NONE; stage++) {
		chosen = choose(targets, count, false, (enum stage)stage,
		    request, random, now);
		if (chosen == BRF_BALANCER_NONE && may_go_far)
			chosen = choose(targets, count, true, (enum stage)stage,
			    request, random, now);
	}
	return (chosen);
}

bool
brf_balancer_has_unlimited(struct brf_balancer_target *const *targets,
    size_t count, const struct brf_balancer_request *request, size_t except,
    uint64_t now)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (i != except && !request->tried[i] &&
		    targets[i]->rate_limit == 0 && !targets[i]->down &&
		    is_eligible(targets[i], request, STAGE_READY, now))
			return (true);
	}
	return (false);
}

void
brf_balancer_report(struct brf_balancer_target *t,
    const struct brf_target_report *report, uint64_t now)
{
	t->leaving = t->leaving || report->self.leaving;
	t->rate_limit = report->self.rate_limit;
	t->permit_at = t->rate_limit != 0 ? now + report->permit_wait_us : 0;
}

void
brf_balancer_hop_sent(struct brf_balancer_target *t, uint64_t now)
{
	if (t->rate_limit != 0)
		t->permit_at = now + permit_wait_us(t, now) +
			       (uint64_t)(BRF_US_PER_S / t->rate_limit);
	t->in_flight++;
	if (brf_balancer_is_ejected(t))
		t->probing = true;
}

static void
eject(struct brf_balancer_target *t, uint64_t now)
{
	uint32_t times = t->consecutive_failures - FAILURES_MAX;
	uint64_t wait = EJECT_FIRST_US << (times < 4 ? times : 4);

	t->ejected_us = wait < EJECT_MAX_US ? wait : EJECT_MAX_US;
	t->ejected_until = now + t->ejected_us;
}

static void
add_failure(struct brf_balancer_target *t, uint64_t now)
{
	t->consecutive_failures++;
	if (brf_balancer_is_ejected(t))
		eject(t, now);
}

static void
update_success_rate(struct brf_balancer_target *t, double success_rate)
{
	t->success_rate += SUCCESS_WEIGHT * (success_rate - t->success_rate);
}

void
brf_balancer_hop_ended(struct brf_balancer_target *t,
    enum brf_balancer_feedback feedback, const struct brf_gate_load *load,
    uint64_t now)
{
	t->in_flight--;
	t->probing = false;
	if (load != NULL) {
		t->load = *load;
		t->load_at = now;
		t->in_flight_at_load = t->in_flight;
	}
	switch (feedback) {
	case BRF_FEEDBACK_ANSWERED:
		clear_failures(t);
		update_success_rate(t, 1);
		break;
	case BRF_FEEDBACK_NO_CAPACITY:
	case BRF_FEEDBACK_RATE_LIMIT:
		clear_failures(t);
		break;
	case BRF_FEEDBACK_DRAINING:
		clear_failures(t);
		t->drain_backoff_until = now + DRAIN_BACKOFF_US;
		break;
	case BRF_FEEDBACK_TARGET_FAILED:
		clear_failures(t);
		update_success_rate(t, 0);
		break;
	case BRF_FEEDBACK_UNREACHABLE:
		add_failure(t, now);
		break;
	case BRF_FEEDBACK_LOST:
		t->unanswered = true;
		update_success_rate(t, 0);
		add_failure(t, now);
		break;
	case BRF_FEEDBACK_NONE:
		break;
	}
}
