#ifndef BRF_BACKOFF_H
#define BRF_BACKOFF_H

#include "base/random.h"

/**
 * struct brf_backoff - exponential backoff with jitter.
 * @initial_us: upper bound of the first delay, microseconds
 * @max_us: upper bound of all delays, microseconds
 * @failures: consecutive failures; the owner resets it to 0 after a success
 */
struct brf_backoff {
	uint64_t initial_us;
	uint64_t max_us;
	unsigned failures;
};

BRF_BEGIN_DECLS

/**
 * brf_backoff_next() - count a failure and get the delay before the next try.
 *
 * Return: delay in microseconds, uniformly distributed in the upper half of a
 * bound that doubles with each consecutive failure.
 */
uint64_t brf_backoff_next(struct brf_backoff *b, struct brf_random *random);

BRF_END_DECLS

#endif
