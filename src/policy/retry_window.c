#include "policy/retry_window.h"

#define NESTED_KEPT 0.5 /* of the budget, for requests that begin */

void
brf_retry_window_init(
    struct brf_retry_window *b, double ratio, uint64_t window_us)
{
	memset(b, 0, sizeof(*b));
	b->ratio = ratio;
	b->bucket_us = window_us / BRF_RETRY_WINDOW_BUCKETS;
	if (b->bucket_us == 0)
		b->bucket_us = 1;
}

/* Empty the parts that time has passed over. */
static void
turn(struct brf_retry_window *b, uint64_t now)
{
	uint64_t bucket = now / b->bucket_us, n = bucket - b->bucket;

	if (bucket <= b->bucket)
		return;
	if (n > BRF_RETRY_WINDOW_BUCKETS)
		n = BRF_RETRY_WINDOW_BUCKETS;
	for (; n > 0; n--) {
		b->first_attempts[(bucket - n + 1) % BRF_RETRY_WINDOW_BUCKETS] =
		    0;
		b->retries[(bucket - n + 1) % BRF_RETRY_WINDOW_BUCKETS] = 0;
	}
	b->bucket = bucket;
}

void
brf_retry_window_count_first(struct brf_retry_window *b, uint64_t now)
{
	turn(b, now);
	b->first_attempts[b->bucket % BRF_RETRY_WINDOW_BUCKETS]++;
}

void
brf_retry_window_count_forced(struct brf_retry_window *b, uint64_t now)
{
	turn(b, now);
	b->retries[b->bucket % BRF_RETRY_WINDOW_BUCKETS]++;
}

static uint64_t
sum(const uint32_t counts[BRF_RETRY_WINDOW_BUCKETS])
{
	uint64_t all = 0;
	size_t i;

	for (i = 0; i < BRF_RETRY_WINDOW_BUCKETS; i++)
		all += counts[i];
	return (all);
}

/* Repeats that a window may have. */
static double
budget(struct brf_retry_window *b, uint64_t now)
{
	turn(b, now);
	return (b->ratio * (double)sum(b->first_attempts));
}

double
brf_retry_window_left(struct brf_retry_window *b, uint64_t now)
{
	return (budget(b, now) - (double)sum(b->retries));
}

bool
brf_retry_window_take(struct brf_retry_window *b, bool nested, uint64_t now)
{
	double kept = nested ? NESTED_KEPT * budget(b, now) : 0;

	if (brf_retry_window_left(b, now) < 1 + kept)
		return (false);
	b->retries[b->bucket % BRF_RETRY_WINDOW_BUCKETS]++;
	return (true);
}
