#include "policy/split.h"

static bool
is_for(const struct brf_split *s, const uint32_t *weights, size_t count)
{
	return (s->count == count &&
		memcmp(s->weights, weights, count * sizeof(*weights)) == 0);
}

static void
begin(struct brf_split *s, const uint32_t *weights, size_t count,
    struct brf_random *random)
{
	size_t i;

	memset(s, 0, sizeof(*s));
	s->count = count;
	memcpy(s->weights, weights, count * sizeof(*weights));
	for (i = 0; i < count; i++)
		s->credit[i] =
		    (int64_t)brf_random_below(random, (uint64_t)weights[i] + 1);
}

size_t
brf_split_next(struct brf_split *s, const uint32_t *weights, size_t count,
    struct brf_random *random)
{
	size_t i, best = 0;
	int64_t sum = 0;

	if (count > BRF_SPLIT_MAX)
		count = BRF_SPLIT_MAX;
	if (!is_for(s, weights, count))
		begin(s, weights, count, random);
	for (i = 0; i < count; i++) {
		s->credit[i] += weights[i];
		sum += weights[i];
		if (weights[best] == 0 ||
		    (weights[i] != 0 && s->credit[i] > s->credit[best]))
			best = i;
	}
	s->credit[best] -= sum;
	return (best);
}
