#include "policy/throttle.h"

/* A round with at most this share of marked requests counts as unmarked. */
#define MARKED_SHARE_LOW 0.02

/* @share is multiplied by 1 - DECREASE * share of marked requests. */
#define DECREASE 0.15

/* Added per round; doubles with each unmarked round up to INCREASE_MAX. */
#define INCREASE_INITIAL 0.04
#define INCREASE_MAX 0.08

/* A pending mark is left to failed requests for this long. */
#define PENDING_WAIT_US (50 * BRF_US_PER_MS)
#define PENDING_LIFETIME_US (500 * BRF_US_PER_MS)

/* Weight of one request in the average duration. */
#define DURATION_WEIGHT 0.1

/* Wait from which every request is marked, microseconds, by rank. */
static const double full_mark_us[BRF_CONGESTION_MARK_RANKS] = { 300e3, 150e3,
	60e3 };

bool
brf_congestion_mark(
    struct brf_congestion_marker *m, uint32_t rank, uint64_t waited_us)
{
	size_t i = rank < BRF_CONGESTION_MARK_RANKS
		       ? rank
		       : BRF_CONGESTION_MARK_RANKS - 1;
	double mark = (double)waited_us / full_mark_us[i];

	m->carry[i] += mark < 1 ? mark : 1;
	if (m->carry[i] < 1)
		return (false);
	m->carry[i] -= 1;
	return (true);
}

void
brf_pending_marks_add(struct brf_pending_marks *p, uint64_t now)
{
	p->at[(p->first + p->count) % BRF_PENDING_MARKS_MAX] = now;
	if (p->count < BRF_PENDING_MARKS_MAX)
		p->count++;
	else
		p->first = (p->first + 1) % BRF_PENDING_MARKS_MAX;
}

bool
brf_pending_marks_take(struct brf_pending_marks *p, bool failed, uint64_t now)
{
	while (p->count != 0 && now - p->at[p->first] > PENDING_LIFETIME_US) {
		p->first = (p->first + 1) % BRF_PENDING_MARKS_MAX;
		p->count--;
	}
	if (p->count == 0 ||
	    (!failed && now - p->at[p->first] < PENDING_WAIT_US))
		return (false);
	p->first = (p->first + 1) % BRF_PENDING_MARKS_MAX;
	p->count--;
	return (true);
}

void
brf_throttle_init(struct brf_throttle *t, uint64_t now)
{
	memset(t, 0, sizeof(*t));
	t->admit_share = 1;
	t->increase = INCREASE_INITIAL;
	t->round_start = now;
}

static uint64_t
round_us(const struct brf_throttle *t)
{
	if (t->duration_us < BRF_THROTTLE_ROUND_MIN_US)
		return (BRF_THROTTLE_ROUND_MIN_US);
	if (t->duration_us > BRF_THROTTLE_ROUND_MAX_US)
		return (BRF_THROTTLE_ROUND_MAX_US);
	return ((uint64_t)t->duration_us);
}

/*
 * A round is as long as a request takes, so that the marks of requests admitted
 * in the previous round have arrived when it ends.
 */
static void
update_round(struct brf_throttle *t, uint64_t now)
{
	double marked_share = 0;

	if (now < t->round_start + round_us(t))
		return;
	if (t->ended != 0)
		marked_share = (double)t->marked / t->ended;
	if (marked_share > MARKED_SHARE_LOW) {
		t->admit_share *= 1 - DECREASE * marked_share;
		t->admit_share += INCREASE_INITIAL * (1 - marked_share);
		t->increase = INCREASE_INITIAL;
	} else {
		t->admit_share += t->increase;
		t->increase = t->increase * 2 < INCREASE_MAX ? t->increase * 2
							     : INCREASE_MAX;
	}
	if (t->admit_share < BRF_THROTTLE_SHARE_MIN)
		t->admit_share = BRF_THROTTLE_SHARE_MIN;
	if (t->admit_share > 1)
		t->admit_share = 1;
	t->round_start = now;
	t->ended = 0;
	t->marked = 0;
}

bool
brf_throttle_admit(
    struct brf_throttle *t, struct brf_random *random, uint64_t now)
{
	update_round(t, now);
	return (
	    t->admit_share >= 1 || brf_random_unit(random) < t->admit_share);
}

void
brf_throttle_request_ended(
    struct brf_throttle *t, bool marked, uint64_t duration_us, uint64_t now)
{
	t->duration_us +=
	    DURATION_WEIGHT * ((double)duration_us - t->duration_us);
	t->ended++;
	if (marked)
		t->marked++;
	update_round(t, now);
}
