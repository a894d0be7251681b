#ifndef BRF_BACKOFF_H
#define BRF_BACKOFF_H

#include "base/random.h"

/**
 * struct brf_backoff - exponential backoff with jitter.
 * @initial_us: bound of the first delay, microseconds
 * @max_us: bound that no delay exceeds
 * @failures: in a row; 0 after a success
 */
struct brf_backoff {
	uint64_t initial_us;
	uint64_t max_us;
	unsigned failures;
};

BRF_BEGIN_DECLS

/**
 * brf_backoff_next() - note a failure.
 *
 * Return: microseconds to wait, uniform in the upper half of a bound that
 * doubles with each failure in a row.
 */
uint64_t brf_backoff_next(struct brf_backoff *b, struct brf_random *random);

BRF_END_DECLS

#endif
