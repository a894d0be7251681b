#include "policy/repeat.h"

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

double
brf_repeat_left(struct brf_repeat_budget *b, uint64_t now)
{
	uint64_t firsts = 0, repeats = 0;
	size_t i;

	turn(b, now);
	for (i = 0; i < BRF_REPEAT_STEPS; i++) {
		firsts += b->firsts[i];
		repeats += b->repeats[i];
	}
	return (b->ratio * (double)firsts - (double)repeats);
}

bool
brf_repeat_take(struct brf_repeat_budget *b, uint64_t now)
{
	if (brf_repeat_left(b, now) < 1)
		return (false);
	b->repeats[b->step % BRF_REPEAT_STEPS]++;
	return (true);
}
