#include "policy/place.h"

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
static const double ring_penalty[BRF_PLACE_RINGS] = {
	[BRF_PLACE_SELF] = 0,
	[BRF_PLACE_ZONE] = 0,
	[BRF_PLACE_REGION] = 10e3,
	[BRF_PLACE_FAR] = 30e3,
};

const char *
brf_place_ring_name(enum brf_place_ring ring)
{
	static const char *const names[BRF_PLACE_RINGS] = {
		[BRF_PLACE_SELF] = "self",
		[BRF_PLACE_ZONE] = "zone",
		[BRF_PLACE_REGION] = "region",
		[BRF_PLACE_FAR] = "far",
	};

	return (names[ring]);
}

void
brf_place_target_init(
    struct brf_place_target *t, enum brf_place_ring ring, uint32_t slots)
{
	memset(t, 0, sizeof(*t));
	t->ring = ring;
	t->slots = slots;
	t->good = 1;
	t->usual_ms = SERVICE_MS;
}

/* Requests at the target, as far as one can know it here. */
static double
busy(const struct brf_place_target *t, uint64_t now)
{
	double known = t->open, told;

	if (t->load_at == 0 || now - t->load_at > LOAD_AGE_US)
		return (known);
	told = (double)t->load.running + t->load.waiting;
	if (t->open > t->open_then)
		told += t->open - t->open_then;
	return (told > known ? told : known);
}

double
brf_place_estimate(const struct brf_place_target *t, uint64_t now)
{
	double limit = t->slots, service = t->usual_ms, load, time;

	if (t->load_at != 0) {
		service = t->load.service_ms != 0 ? t->load.service_ms : 1;
		if (t->load.limit != 0)
			limit = t->load.limit;
	}
	if (t->warm_at > now)
		service *= COLD_FACTOR;
	load = (busy(t, now) + 1) / limit;
	time = service;
	/* a slot that is free anywhere near goes before a faster one that has
	 * to be waited for */
	if (load > FULL)
		time += FULL_US / BRF_US_PER_MS + service * (load - FULL);
	return (time * BRF_US_PER_MS /
		(t->good > GOOD_LEAST ? t->good : GOOD_LEAST));
}

static bool
takes_work(const struct brf_place_target *t, uint64_t now)
{
	return (!t->draining && t->leaving_until <= now);
}

/*
 * Who was ejected is tried with one request, which can be repeated; before
 * its time as well when there is nobody else to try.
 */
static bool
may_get(const struct brf_place_target *t,
    const struct brf_place_request *request, bool last, uint64_t now)
{
	if (!takes_work(t, now))
		return (false);
	if (t->streak < STREAK_MAX)
		return (true);
	return (!t->probing && request->repeatable &&
		(last || t->ejected_until <= now));
}

static double
cost(const struct brf_place_target *t, struct brf_random *random, uint64_t now)
{
	double c = brf_place_estimate(t, now) + ring_penalty[t->ring];

	if (t->silent || t->down)
		c += UNSURE_US;
	/* of equals a random one */
	return (c * (1 + 0.05 * brf_random_unit(random)));
}

/* Who was never heard is taken to be like the others. */
static void
set_usual(struct brf_place_target *const *targets, size_t count)
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
		targets[i]->usual_ms = usual;
}

/* The best of those that are near, or of those that are far. */
static size_t
choose(struct brf_place_target *const *targets, size_t count, bool far,
    bool last, const struct brf_place_request *request,
    struct brf_random *random, uint64_t now)
{
	size_t i, best = BRF_PLACE_NONE;
	double least = 0, c;

	for (i = 0; i < count; i++) {
		if ((targets[i]->ring == BRF_PLACE_FAR) != far ||
		    request->tried[i] ||
		    !may_get(targets[i], request, last, now))
			continue;
		c = cost(targets[i], random, now);
		if (best == BRF_PLACE_NONE || c < least) {
			best = i;
			least = c;
		}
	}
	return (best);
}

/* Whether a target in this region was tried that takes work: it has no room,
 * but there is one. */
static bool
was_near(struct brf_place_target *const *targets, size_t count,
    const struct brf_place_request *request, uint64_t now)
{
	const struct brf_place_target *t;
	size_t i;

	for (i = 0; i < count; i++) {
		t = targets[i];
		if (request->tried[i] && t->ring != BRF_PLACE_FAR &&
		    takes_work(t, now) && t->streak < STREAK_MAX)
			return (true);
	}
	return (false);
}

size_t
brf_place_choose(struct brf_place_target *const *targets, size_t count,
    const struct brf_place_request *request, struct brf_random *random,
    uint64_t now)
{
	bool may_go_far = !was_near(targets, count, request, now) ||
			  (!request->nested && request->rank == 0);
	size_t found = BRF_PLACE_NONE;
	int last;

	set_usual(targets, count);
	for (last = 0; last < 2 && found == BRF_PLACE_NONE; last++) {
		found =
		    choose(targets, count, false, last, request, random, now);
		if (found == BRF_PLACE_NONE && may_go_far)
			found = choose(
			    targets, count, true, last, request, random, now);
	}
	return (found);
}

void
brf_place_sent(struct brf_place_target *t, uint64_t now)
{
	(void)now;
	t->open++;
	if (t->streak >= STREAK_MAX)
		t->probing = true;
}

static void
eject(struct brf_place_target *t, uint64_t now)
{
	uint32_t times = t->streak - STREAK_MAX;
	uint64_t wait = EJECT_FIRST_US << (times < 4 ? times : 4);

	t->ejected_until = now + (wait < EJECT_MOST_US ? wait : EJECT_MOST_US);
}

static void
learn(struct brf_place_target *t, double good)
{
	t->good += GOOD_STEP * (good - t->good);
}

/* A word of the target itself. */
static void
heard(struct brf_place_target *t)
{
	t->streak = 0;
	t->ejected_until = 0;
}

void
brf_place_ended(struct brf_place_target *t, enum brf_place_end end,
    const struct brf_gate_load *load, uint64_t now)
{
	t->open--;
	t->probing = false;
	if (load != NULL) {
		t->load = *load;
		t->load_at = now;
		t->open_then = t->open;
	}
	switch (end) {
	case BRF_PLACE_GOOD:
		heard(t);
		learn(t, 1);
		break;
	case BRF_PLACE_FULL:
		heard(t);
		break;
	case BRF_PLACE_LEAVING:
		heard(t);
		t->leaving_until = now + LEAVING_US;
		break;
	case BRF_PLACE_SHED:
		heard(t);
		learn(t, 0);
		break;
	case BRF_PLACE_LOST:
		learn(t, 0);
		if (++t->streak >= STREAK_MAX)
			eject(t, now);
		break;
	case BRF_PLACE_NEUTRAL:
		break;
	}
}
