#include <math.h>

#include "policy/throttle.h"

#define SLACK 4.0 /* requests above the margin that never count */

static void
fade(struct brf_throttle *t, uint64_t now)
{
	double factor;

	if (now <= t->at)
		return;
	factor = exp2(-(double)(now - t->at) / (double)BRF_THROTTLE_HALF_US);
	t->asked *= factor;
	t->served *= factor;
	t->at = now;
}

double
brf_throttle_refusing(struct brf_throttle *t, double margin, uint64_t now)
{
	double over;

	fade(t, now);
	over = t->asked - margin * t->served - SLACK;
	return (over > 0 ? over / (t->asked + 1) : 0);
}

bool
brf_throttle_admit(struct brf_throttle *t, double margin,
    struct brf_random *random, uint64_t now)
{
	double share = brf_throttle_refusing(t, margin, now);

	t->asked += 1;
	return (share <= 0 || brf_random_unit(random) >= share);
}

void
brf_throttle_served(struct brf_throttle *t, uint64_t now)
{
	fade(t, now);
	t->served += 1;
}

void
brf_throttle_forget(struct brf_throttle *t, uint64_t now)
{
	fade(t, now);
	t->asked = t->asked > 1 ? t->asked - 1 : 0;
}
