#ifndef BRF_WHATIF_MODEL_H
#define BRF_WHATIF_MODEL_H

#include "base/base.h"

/**
 * DOC: Simulates a chain of two services under load, in virtual time.
 *
 * The simulation calls the real decision modules policy/throttle, balancer,
 * slot_queues and retry_after; callers and targets are models.  Requests of
 * three ranks begin at several nodes and run at an upper service.  Each of
 * them makes one nested call to a lower service, which has too few slots.  A
 * refused request is sent again once, after the time in Retry-After.
 *
 * In the baseline the queues serve in order of arrival and hold requests up
 * to their deadline, the throttle is off, and a refused request is sent again
 * at once.
 */

#define WHATIF_RANKS 3u

/**
 * struct whatif_config - parameters of one simulation.
 * @load: requests a second, as a multiple of the lower service's capacity
 * @burst: load in the middle third of the time; 0 for @load throughout
 * @seconds: virtual time in which requests arrive
 * @baseline: simulate the baseline instead of the decision modules
 * @seed: seed of the random arrivals and service times
 */
struct whatif_config {
	double load;
	double burst;
	double seconds;
	bool baseline;
	uint64_t seed;
};

/**
 * struct whatif_class - outcomes of the requests of one rank.
 * @offered: requests, each counted once however often it is sent
 * @good: answered within the objective, counted from the first attempt
 * @late: answered after the objective
 * @refused: given up after the last attempt was refused
 * @failed: failed after they had run in part, or open at the deadline
 * @p99_ms: 99th percentile of the time to the answer, milliseconds
 */
struct whatif_class {
	uint64_t offered;
	uint64_t good;
	uint64_t late;
	uint64_t refused;
	uint64_t failed;
	double p99_ms;
};

/**
 * struct whatif_result - outcome of one simulation.
 * @capacity: requests a second that the lower service can run
 * @good_share: good requests per request that could be served: the smaller
 *	of the number offered and the capacity
 * @wasted: share of slot time at the upper service for requests that failed
 */
struct whatif_result {
	struct whatif_class classes[WHATIF_RANKS];
	double capacity;
	double good_share;
	double wasted;
};

BRF_BEGIN_DECLS

/* Run one simulation and overwrite @result; the same @config gives the same. */
void whatif_run(
    const struct whatif_config *config, struct whatif_result *result);

BRF_END_DECLS

#endif
