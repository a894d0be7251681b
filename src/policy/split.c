#include "policy/split.h"

/* Most requests that the random start skips. */
#define CYCLE_MAX 1000u

static bool
has_weights(const struct brf_split *s, const uint32_t *weights, size_t count)
{
	return (s->count == count &&
		memcmp(s->weights, weights, count * sizeof(*weights)) == 0);
}

static size_t
next(struct brf_split *s)
{
	size_t i, best = 0;
	int64_t sum = 0;

	for (i = 0; i < s->count; i++) {
		s->credit[i] += s->weights[i];
		sum += s->weights[i];
		if (s->weights[best] == 0 ||
		    (s->weights[i] != 0 && s->credit[i] > s->credit[best]))
			best = i;
	}
	s->credit[best] -= sum;
	return (best);
}

/*
 * Start at a random point of the cycle, so that a node which sends less than
 * one cycle keeps the weights on average.
 */
static void
start(struct brf_split *s, const uint32_t *weights, size_t count,
    struct brf_random *random)
{
	uint64_t cycle = 0, skip;
	size_t i;

	memset(s, 0, sizeof(*s));
	s->count = count;
	memcpy(s->weights, weights, count * sizeof(*weights));
	for (i = 0; i < count; i++)
		cycle += weights[i];
	if (cycle > CYCLE_MAX)
		cycle = CYCLE_MAX;
	for (skip = brf_random_below(random, cycle + 1); skip > 0; skip--)
		next(s);
}

size_t
brf_split_next(struct brf_split *s, const uint32_t *weights, size_t count,
    struct brf_random *random)
{
	if (count > BRF_SPLIT_MAX)
		count = BRF_SPLIT_MAX;
	if (!has_weights(s, weights, count))
		start(s, weights, count, random);
	return (next(s));
}
