#include "policy/throttle.h"

#define MARKS_CLEAN 0.02 /* share of marks that counts as next to none */
#define CUT 0.15
#define RISE_FIRST 0.04 /* in a round, and after the first without marks */
#define RISE_MOST 0.08	/* after many of those */
#define OWED_WAIT_US (50 * BRF_US_PER_MS) /* for the failure of the request */
#define OWED_LIFE_US (500 * BRF_US_PER_MS)
#define TOOK_STEP 0.1 /* weight of one request in the usual time */

/* Waits at which each request is marked, microseconds, by rank. */
static const double mark_us[BRF_CONGESTION_MARK_RANKS] = { 300e3, 150e3, 60e3 };

bool
brf_congestion_mark(
    struct brf_congestion_marker *m, uint32_t rank, uint64_t waited_us)
{
	size_t i = rank < BRF_CONGESTION_MARK_RANKS
		       ? rank
		       : BRF_CONGESTION_MARK_RANKS - 1;
	double part = (double)waited_us / mark_us[i];

	m->carry[i] += part < 1 ? part : 1;
	if (m->carry[i] < 1)
		return (false);
	m->carry[i] -= 1;
	return (true);
}

void
brf_pending_marks_add(struct brf_pending_marks *o, uint64_t now)
{
	o->at[(o->first + o->count) % BRF_PENDING_MARKS_MAX] = now;
	if (o->count < BRF_PENDING_MARKS_MAX)
		o->count++;
	else
		o->first = (o->first + 1) % BRF_PENDING_MARKS_MAX;
}

bool
brf_pending_marks_take(struct brf_pending_marks *o, bool failed, uint64_t now)
{
	while (o->count != 0 && now - o->at[o->first] > OWED_LIFE_US) {
		o->first = (o->first + 1) % BRF_PENDING_MARKS_MAX;
		o->count--;
	}
	if (o->count == 0 || (!failed && now - o->at[o->first] < OWED_WAIT_US))
		return (false);
	o->first = (o->first + 1) % BRF_PENDING_MARKS_MAX;
	o->count--;
	return (true);
}

void
brf_throttle_init(struct brf_throttle *p, uint64_t now)
{
	memset(p, 0, sizeof(*p));
	p->share = 1;
	p->increase = RISE_FIRST;
	p->round_start = now;
}

static uint64_t
round_us(const struct brf_throttle *p)
{
	if (p->duration_us < BRF_THROTTLE_ROUND_MIN_US)
		return (BRF_THROTTLE_ROUND_MIN_US);
	if (p->duration_us > BRF_THROTTLE_ROUND_MAX_US)
		return (BRF_THROTTLE_ROUND_MAX_US);
	return ((uint64_t)p->duration_us);
}

/* What was begun in the last round has shown its marks by now. */
static void
turn(struct brf_throttle *p, uint64_t now)
{
	double marks = 0;

	if (now < p->round_start + round_us(p))
		return;
	if (p->ended != 0)
		marks = (double)p->marked / p->ended;
	if (marks > MARKS_CLEAN) {
		p->share *= 1 - CUT * marks;
		p->share += RISE_FIRST * (1 - marks);
		p->increase = RISE_FIRST;
	} else {
		p->share += p->increase;
		p->increase =
		    p->increase * 2 < RISE_MOST ? p->increase * 2 : RISE_MOST;
	}
	if (p->share < BRF_THROTTLE_SHARE_MIN)
		p->share = BRF_THROTTLE_SHARE_MIN;
	if (p->share > 1)
		p->share = 1;
	p->round_start = now;
	p->ended = 0;
	p->marked = 0;
}

bool
brf_throttle_admit(
    struct brf_throttle *p, struct brf_random *random, uint64_t now)
{
	turn(p, now);
	return (p->share >= 1 || brf_random_unit(random) < p->share);
}

void
brf_throttle_request_ended(
    struct brf_throttle *p, bool marked, uint64_t duration_us, uint64_t now)
{
	p->duration_us += TOOK_STEP * ((double)duration_us - p->duration_us);
	p->ended++;
	if (marked)
		p->marked++;
	turn(p, now);
}
