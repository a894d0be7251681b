#include "base/backoff.h"

uint64_t
brf_backoff_next(struct brf_backoff *b, struct brf_random *random)
{
	uint64_t bound = b->initial_us;
	unsigned i;

	for (i = 0; i < b->failures && bound < b->max_us; i++)
		bound *= 2;
	if (bound > b->max_us)
		bound = b->max_us;
	b->failures++;
	return (bound / 2 + brf_random_below(random, bound / 2 + 1));
}
