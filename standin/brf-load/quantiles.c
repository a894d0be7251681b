#include "load.h"

/* Below 2 * LOAD_STEPS a bucket is a microsecond; above, each power of two has
 * LOAD_STEPS buckets. */
static size_t
bucket_of(uint64_t us)
{
	unsigned shift;

	if (us < 2 * LOAD_STEPS)
		return (us);
	shift = 63 - (unsigned)__builtin_clzll(us) - 6;
	if (shift >= LOAD_BUCKETS / LOAD_STEPS - 1)
		return (LOAD_BUCKETS - 1);
	return ((size_t)shift * LOAD_STEPS + (us >> shift));
}

static uint64_t
bucket_end(size_t i)
{
	unsigned shift;

	if (i < 2 * LOAD_STEPS)
		return (i);
	shift = (unsigned)(i / LOAD_STEPS - 1);
	return (((uint64_t)(i % LOAD_STEPS + LOAD_STEPS + 1) << shift) - 1);
}

void
load_quantiles_add(struct load_quantiles *q, uint64_t us)
{
	q->buckets[bucket_of(us)]++;
	q->count++;
	if (us > q->most)
		q->most = us;
}

double
load_quantiles_ms(const struct load_quantiles *q, double share)
{
	uint64_t seen = 0, us;
	size_t i;

	if (q->count == 0)
		return (0);
	for (i = 0; i < LOAD_BUCKETS - 1; i++) {
		seen += q->buckets[i];
		if ((double)seen >= share * (double)q->count)
			break;
	}
	us = bucket_end(i);
	return ((double)(us < q->most ? us : q->most) / BRF_US_PER_MS);
}
