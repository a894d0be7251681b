#include "policy/retry_window.h"

/* Share of the budget that nested calls leave to root requests. */
#define ROOT_RESERVE 0.5

void
brf_retry_window_init(
    struct brf_retry_window *w, double ratio, uint64_t window_us)
{
	memset(w, 0, sizeof(*w));
	w->ratio = ratio;
	w->bucket_us = window_us / BRF_RETRY_WINDOW_BUCKETS;
	if (w->bucket_us == 0)
		w->bucket_us = 1;
}

/* Clear the buckets that have left the window. */
static void
advance(struct brf_retry_window *w, uint64_t now)
{
	uint64_t bucket = now / w->bucket_us, n = bucket - w->bucket;

	if (bucket <= w->bucket)
		return;
	if (n > BRF_RETRY_WINDOW_BUCKETS)
		n = BRF_RETRY_WINDOW_BUCKETS;
	for (; n > 0; n--) {
		w->first_attempts[(bucket - n + 1) % BRF_RETRY_WINDOW_BUCKETS] =
		    0;
		w->retries[(bucket - n + 1) % BRF_RETRY_WINDOW_BUCKETS] = 0;
	}
	w->bucket = bucket;
}

void
brf_retry_window_count_first(struct brf_retry_window *w, uint64_t now)
{
	advance(w, now);
	w->first_attempts[w->bucket % BRF_RETRY_WINDOW_BUCKETS]++;
}

void
brf_retry_window_count_forced(struct brf_retry_window *w, uint64_t now)
{
	advance(w, now);
	w->retries[w->bucket % BRF_RETRY_WINDOW_BUCKETS]++;
}

static uint64_t
sum(const uint32_t counts[BRF_RETRY_WINDOW_BUCKETS])
{
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < BRF_RETRY_WINDOW_BUCKETS; i++)
		total += counts[i];
	return (total);
}

/* Retries allowed in the window that ends now. */
static double
budget(struct brf_retry_window *w, uint64_t now)
{
	advance(w, now);
	return (w->ratio * (double)sum(w->first_attempts));
}

double
brf_retry_window_left(struct brf_retry_window *w, uint64_t now)
{
	return (budget(w, now) - (double)sum(w->retries));
}

bool
brf_retry_window_take(struct brf_retry_window *w, bool nested, uint64_t now)
{
	double reserve = nested ? ROOT_RESERVE * budget(w, now) : 0;

	if (brf_retry_window_left(w, now) < 1 + reserve)
		return (false);
	w->retries[w->bucket % BRF_RETRY_WINDOW_BUCKETS]++;
	return (true);
}
