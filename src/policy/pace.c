#include "policy/pace.h"

#define MARKS_CLEAN 0.02 /* share of marks that counts as next to none */
#define CUT 0.15
#define RISE_FIRST 0.04 /* in a round, and after the first without marks */
#define RISE_MOST 0.08	/* after many of those */
#define OWED_WAIT_US (50 * BRF_US_PER_MS) /* for the failure of the request */
#define OWED_LIFE_US (500 * BRF_US_PER_MS)
#define TOOK_STEP 0.1 /* weight of one request in the usual time */

/* Waits at which each request is marked, microseconds, by rank. */
static const double mark_us[BRF_PACE_RANKS] = { 300e3, 150e3, 60e3 };

bool
brf_pace_mark(struct brf_pace_marker *m, uint32_t rank, uint64_t waited_us)
{
	size_t i = rank < BRF_PACE_RANKS ? rank : BRF_PACE_RANKS - 1;
	double part = (double)waited_us / mark_us[i];

	m->owed[i] += part < 1 ? part : 1;
	if (m->owed[i] < 1)
		return (false);
	m->owed[i] -= 1;
	return (true);
}

void
brf_pace_owe(struct brf_pace_owed *o, uint64_t now)
{
	o->at[(o->first + o->count) % BRF_PACE_OWED_MAX] = now;
	if (o->count < BRF_PACE_OWED_MAX)
		o->count++;
	else
		o->first = (o->first + 1) % BRF_PACE_OWED_MAX;
}

bool
brf_pace_pay(struct brf_pace_owed *o, bool failed, uint64_t now)
{
	while (o->count != 0 && now - o->at[o->first] > OWED_LIFE_US) {
		o->first = (o->first + 1) % BRF_PACE_OWED_MAX;
		o->count--;
	}
	if (o->count == 0 || (!failed && now - o->at[o->first] < OWED_WAIT_US))
		return (false);
	o->first = (o->first + 1) % BRF_PACE_OWED_MAX;
	o->count--;
	return (true);
}

void
brf_pace_init(struct brf_pace *p, uint64_t now)
{
	memset(p, 0, sizeof(*p));
	p->share = 1;
	p->rise = RISE_FIRST;
	p->round = now;
}

static uint64_t
round_us(const struct brf_pace *p)
{
	if (p->took_us < BRF_PACE_ROUND_MIN_US)
		return (BRF_PACE_ROUND_MIN_US);
	if (p->took_us > BRF_PACE_ROUND_MAX_US)
		return (BRF_PACE_ROUND_MAX_US);
	return ((uint64_t)p->took_us);
}

/* What was begun in the last round has shown its marks by now. */
static void
turn(struct brf_pace *p, uint64_t now)
{
	double marks = 0;

	if (now < p->round + round_us(p))
		return;
	if (p->ended != 0)
		marks = (double)p->marked / p->ended;
	if (marks > MARKS_CLEAN) {
		p->share *= 1 - CUT * marks;
		p->share += RISE_FIRST * (1 - marks);
		p->rise = RISE_FIRST;
	} else {
		p->share += p->rise;
		p->rise = p->rise * 2 < RISE_MOST ? p->rise * 2 : RISE_MOST;
	}
	if (p->share < BRF_PACE_LEAST)
		p->share = BRF_PACE_LEAST;
	if (p->share > 1)
		p->share = 1;
	p->round = now;
	p->ended = 0;
	p->marked = 0;
}

bool
brf_pace_admit(struct brf_pace *p, struct brf_random *random, uint64_t now)
{
	turn(p, now);
	return (p->share >= 1 || brf_random_unit(random) < p->share);
}

void
brf_pace_ended(struct brf_pace *p, bool marked, uint64_t took_us, uint64_t now)
{
	p->took_us += TOOK_STEP * ((double)took_us - p->took_us);
	p->ended++;
	if (marked)
		p->marked++;
	turn(p, now);
}
