#include "policy/split.h"

#define CYCLE_MAX 1000u /* requests that the start is drawn from */

static bool
is_for(const struct brf_split *s, const uint32_t *weights, size_t count)
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

/* Begin anywhere in the cycle, so that what a node gives before it has gone
 * through it once has the right shares on average. */
static void
begin(struct brf_split *s, const uint32_t *weights, size_t count,
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
	if (!is_for(s, weights, count))
		begin(s, weights, count, random);
	return (next(s));
}
