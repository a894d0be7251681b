#include "policy/balancer.h"

#define SERVICE_MS 50.0		 /* taken where no target was ever heard */
#define LOAD_AGE_US BRF_US_PER_S /* life of a gate's word on its load */
#define COLD_FACTOR 2.0 /* a target that warms up takes so much longer */
#define GOOD_STEP 0.05	/* weight of one hop in the share of good ones */
#define GOOD_LEAST 0.05 /* lowest share that is reckoned with */
#define STREAK_MAX 3u	/* failures in a row before it gets nothing */
#define EJECT_FIRST_US (500 * BRF_US_PER_MS)
#define EJECT_MOST_US (4 * BRF_US_PER_S)
#define LEAVING_US (2 * BRF_US_PER_S) /* until one that left is asked again */
#define FULL 0.95     /* share of slots in use from which there is no room */
#define FULL_US 100e3 /* penalty of a target without room, microseconds */
#define UNSURE_US 1e6 /* penalty where the way there is in doubt */

/* Penalties of distance, microseconds of estimated time. */
static const double ring_penalty[BRF_LOCALITY_COUNT] = {
	[BRF_LOCALITY_SELF] = 0,
	[BRF_LOCALITY_ZONE] = 0,
	[BRF_LOCALITY_REGION] = 10e3,
	[BRF_LOCALITY_FAR] = 30e3,
};

const char *
brf_locality_name(enum brf_locality ring)
{
	static const char *const names[BRF_LOCALITY_COUNT] = {
		[BRF_LOCALITY_SELF] = "self",
		[BRF_LOCALITY_ZONE] = "zone",
		[BRF_LOCALITY_REGION] = "region",
		[BRF_LOCALITY_FAR] = "far",
	};

	return (names[ring]);
}

void
brf_balancer_target_init(
    struct brf_balancer_target *t, enum brf_locality ring, uint32_t slots)
{
	memset(t, 0, sizeof(*t));
	t->ring = ring;
	t->slots = slots;
	t->success_rate = 1;
	t->assumed_ms = SERVICE_MS;
}

/* Requests at the target, as far as one can know it here. */
static double
busy(const struct brf_balancer_target *t, uint64_t now)
{
	double known = t->in_flight, told;

	if (t->load_at == 0 || now - t->load_at > LOAD_AGE_US)
		return (known);
	told = (double)t->load.running + t->load.waiting;
	if (t->in_flight > t->in_flight_at_load)
		told += t->in_flight - t->in_flight_at_load;
	return (told > known ? told : known);
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
	load = (busy(t, now) + 1) / limit;
	time = service;
	/* a slot that is free anywhere near goes before a faster one that has
	 * to be waited for */
	if (load > FULL)
		time += FULL_US / BRF_US_PER_MS + service * (load - FULL);
	return (time * BRF_US_PER_MS /
		(t->success_rate > GOOD_LEAST ? t->success_rate : GOOD_LEAST));
}

static bool
takes_work(const struct brf_balancer_target *t, uint64_t now)
{
	return (!t->draining && t->drain_backoff_until <= now);
}

/*
 * Who was ejected is tried with one request, which can be repeated; before
 * its time as well when there is nobody else to try.
 */
static bool
may_get(const struct brf_balancer_target *t,
    const struct brf_balancer_request *request, bool last, uint64_t now)
{
	if (!takes_work(t, now))
		return (false);
	if (t->consecutive_failures < STREAK_MAX)
		return (true);
	return (!t->probing && request->repeatable &&
		(last || t->ejected_until <= now));
}

static double
cost(const struct brf_balancer_target *t, struct brf_random *random,
    uint64_t now)
{
	double c = brf_balancer_estimate_us(t, now) + ring_penalty[t->ring];

	if (t->silent || t->down)
		c += UNSURE_US;
	/* of equals a random one */
	return (c * (1 + 0.05 * brf_random_unit(random)));
}

/* Who was never heard is taken to be like the others. */
static void
set_usual(struct brf_balancer_target *const *targets, size_t count)
{
	double sum = 0, usual;
	size_t i, heard = 0;

	for (i = 0; i < count; i++) {
		if (targets[i]->load_at == 0)
			continue;
		sum += targets[i]->load.service_ms;
		heard++;
	}
	if (heard == 0 || heard == count)
		return;
	usual = sum / (double)heard;
	if (usual < 1)
		usual = 1;
	for (i = 0; i < count; i++)
		targets[i]->assumed_ms = usual;
}

/* The best of those that are near, or of those that are far. */
static size_t
choose(struct brf_balancer_target *const *targets, size_t count, bool far,
    bool last, const struct brf_balancer_request *request,
    struct brf_random *random, uint64_t now)
{
	size_t i, best = BRF_BALANCER_NONE;
	double least = 0, c;

	for (i = 0; i < count; i++) {
		if ((targets[i]->ring == BRF_LOCALITY_FAR) != far ||
		    request->tried[i] ||
		    !may_get(targets[i], request, last, now))
			continue;
		c = cost(targets[i], random, now);
		if (best == BRF_BALANCER_NONE || c < least) {
			best = i;
			least = c;
		}
	}
	return (best);
}

/* Whether a target in this region was tried that takes work: it has no room,
 * but there is one. */
static bool
was_near(struct brf_balancer_target *const *targets, size_t count,
    const struct brf_balancer_request *request, uint64_t now)
{
	const struct brf_balancer_target *t;
	size_t i;

	for (i = 0; i < count; i++) {
		t = targets[i];
		if (request->tried[i] && t->ring != BRF_LOCALITY_FAR &&
		    takes_work(t, now) && t->consecutive_failures < STREAK_MAX)
			return (true);
	}
	return (false);
}

size_t
brf_balancer_choose(struct brf_balancer_target *const *targets, size_t count,
    const struct brf_balancer_request *request, struct brf_random *random,
    uint64_t now)
{
	bool may_go_far = !was_near(targets, count, request, now) ||
			  (!request->nested && request->rank == 0);
	size_t found = BRF_BALANCER_NONE;
	int last;

	set_usual(targets, count);
	for (last = 0; last < 2 && found == BRF_BALANCER_NONE; last++) {
		found =
		    choose(targets, count, false, last, request, random, now);
		if (found == BRF_BALANCER_NONE && may_go_far)
			found = choose(
			    targets, count, true, last, request, random, now);
	}
	return (found);
}

void
brf_balancer_hop_sent(struct brf_balancer_target *t, uint64_t now)
{
	(void)now;
	t->in_flight++;
	if (t->consecutive_failures >= STREAK_MAX)
		t->probing = true;
}

static void
eject(struct brf_balancer_target *t, uint64_t now)
{
	uint32_t times = t->consecutive_failures - STREAK_MAX;
	uint64_t wait = EJECT_FIRST_US << (times < 4 ? times : 4);

	t->ejected_until = now + (wait < EJECT_MOST_US ? wait : EJECT_MOST_US);
}

static void
learn(struct brf_balancer_target *t, double success_rate)
{
	t->success_rate += GOOD_STEP * (success_rate - t->success_rate);
}

/* A word of the target itself. */
static void
heard(struct brf_balancer_target *t)
{
	t->consecutive_failures = 0;
	t->ejected_until = 0;
}

void
brf_balancer_hop_ended(struct brf_balancer_target *t,
    enum brf_balancer_feedback end, const struct brf_gate_load *load,
    uint64_t now)
{
	t->in_flight--;
	t->probing = false;
	if (load != NULL) {
		t->load = *load;
		t->load_at = now;
		t->in_flight_at_load = t->in_flight;
	}
	switch (end) {
	case BRF_FEEDBACK_ANSWERED:
		heard(t);
		learn(t, 1);
		break;
	case BRF_FEEDBACK_NO_CAPACITY:
		heard(t);
		break;
	case BRF_FEEDBACK_DRAINING:
		heard(t);
		t->drain_backoff_until = now + LEAVING_US;
		break;
	case BRF_FEEDBACK_TARGET_FAILED:
		heard(t);
		learn(t, 0);
		break;
	case BRF_FEEDBACK_UNREACHABLE:
		learn(t, 0);
		if (++t->consecutive_failures >= STREAK_MAX)
			eject(t, now);
		break;
	case BRF_FEEDBACK_NONE:
		break;
	}
}
