#ifndef BRF_RETRY_AFTER_H
#define BRF_RETRY_AFTER_H

#include "base/random.h"

/**
 * DOC: Delay after which a refused caller is asked to retry.
 *
 * Problem: callers that are refused at the same moment would all retry at the
 * same moment.  Their retries are spread evenly over a part of the objective,
 * early enough that a request served then still meets it.  Where all targets
 * limit their rate, they begin when the limits admit another request.
 */

/**
 * struct brf_retry_after - input of brf_retry_after_us().
 * @objective_us: latency objective of the request's route; 0 for none
 * @until_exit_us: time until this process exits; 0 when it is not stopping
 * @until_permit_us: time until a target's rate limit admits another request; 0
 *	when a target has no limit
 * @not_before_us: time until the request may be tried again, when it is refused
 *	for itself; 0 otherwise
 */
struct brf_retry_after {
	uint64_t objective_us;
	uint64_t until_exit_us;
	uint64_t until_permit_us;
	uint64_t not_before_us;
};

BRF_BEGIN_DECLS

/* Return: time the caller has to wait, microseconds. */
uint64_t brf_retry_after_us(
    const struct brf_retry_after *when, struct brf_random *random);

BRF_END_DECLS

#endif
