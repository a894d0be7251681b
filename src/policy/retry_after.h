#ifndef BRF_RETRY_AFTER_H
#define BRF_RETRY_AFTER_H

#include "base/random.h"

/**
 * DOC: When a refused caller is told to come back.
 *
 * Load it answers: many callers that are refused at the same moment, and would
 * come back at the same moment.  Their returns are spread evenly over a part
 * of the objective, early enough that a request served then is still in time.
 */

/**
 * struct brf_retry_after - what the answer depends on; microseconds.
 * @objective_us: of the request's route; 0 when it has none
 * @until_exit_us: until this process has ended; 0 when it does not stop
 */
struct brf_retry_after {
	uint64_t objective_us;
	uint64_t until_exit_us;
};

BRF_BEGIN_DECLS

/* Return: the time to wait, microseconds. */
uint64_t brf_retry_after_us(
    const struct brf_retry_after *when, struct brf_random *random);

BRF_END_DECLS

#endif
