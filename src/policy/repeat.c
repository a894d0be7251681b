#include "policy/repeat.h"

#define NESTED_KEPT 0.5 /* of the budget, for requests that begin */

void
brf_repeat_budget_init(
    struct brf_repeat_budget *b, double ratio, uint64_t window_us)
{
	memset(b, 0, sizeof(*b));
	b->ratio = ratio;
	b->step_us = window_us / BRF_REPEAT_STEPS;
	if (b->step_us == 0)
		b->step_us = 1;
}

/* Empty the parts that time has passed over. */
static void
turn(struct brf_repeat_budget *b, uint64_t now)
{
	uint64_t step = now / b->step_us, n = step - b->step;

	if (step <= b->step)
		return;
	if (n > BRF_REPEAT_STEPS)
		n = BRF_REPEAT_STEPS;
	for (; n > 0; n--) {
		b->firsts[(step - n + 1) % BRF_REPEAT_STEPS] = 0;
		b->repeats[(step - n + 1) % BRF_REPEAT_STEPS] = 0;
	}
	b->step = step;
}

void
brf_repeat_first(struct brf_repeat_budget *b, uint64_t now)
{
	turn(b, now);
	b->firsts[b->step % BRF_REPEAT_STEPS]++;
}

void
brf_repeat_forced(struct brf_repeat_budget *b, uint64_t now)
{
	turn(b, now);
	b->repeats[b->step % BRF_REPEAT_STEPS]++;
}

static uint64_t
sum(const uint32_t counts[BRF_REPEAT_STEPS])
{
	uint64_t all = 0;
	size_t i;

	for (i = 0; i < BRF_REPEAT_STEPS; i++)
		all += counts[i];
	return (all);
}

/* Repeats that a window may have. */
static double
budget(struct brf_repeat_budget *b, uint64_t now)
{
	turn(b, now);
	return (b->ratio * (double)sum(b->firsts));
}

double
brf_repeat_left(struct brf_repeat_budget *b, uint64_t now)
{
	return (budget(b, now) - (double)sum(b->repeats));
}

bool
brf_repeat_take(struct brf_repeat_budget *b, bool nested, uint64_t now)
{
	double kept = nested ? NESTED_KEPT * budget(b, now) : 0;

	if (brf_repeat_left(b, now) < 1 + kept)
		return (false);
	b->repeats[b->step % BRF_REPEAT_STEPS]++;
	return (true);
}
