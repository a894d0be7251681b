#ifndef BRF_WHATIF_MODEL_H
#define BRF_WHATIF_MODEL_H

#include "base/base.h"

/**
 * DOC: One chain of two services under a load, in virtual time.
 *
 * The decision modules as they are (policy/pace, place, lanes, retry_after)
 * between callers and targets that take some time.  Requests of three ranks
 * begin at some nodes and run at an upper service, whose targets make one call
 * each to a lower service that is short of slots.  A refused caller comes back
 * once, when it is told to.
 *
 * The baseline has queues in order of arrival up to the deadline, no pacing,
 * and callers that come back at once.
 */

#define WHATIF_RANKS 3u

/**
 * struct whatif_config - what is played.
 * @load: requests a second, as a multiple of what the lower service can do
 * @burst: load from a third to two thirds of the time; 0 for @load throughout
 * @seconds: of virtual time
 * @baseline: see above
 * @seed: of arrivals and times
 */
struct whatif_config {
	double load;
	double burst;
	double seconds;
	bool baseline;
	uint64_t seed;
};

/**
 * struct whatif_class - what callers of one rank got.
 * @asked: requests, each counted once
 * @good: answered within the objective, from the first try on
 * @late: answered later
 * @refused: given up after a refusal
 * @failed: begun and failed, or not ended by the deadline
 * @p99_ms: of those that were answered
 */
struct whatif_class {
	uint64_t asked;
	uint64_t good;
	uint64_t late;
	uint64_t refused;
	uint64_t failed;
	double p99_ms;
};

/**
 * struct whatif_result - at the end.
 * @capacity: requests a second that the lower service can do
 * @good_share: of what could be served at the load offered
 * @wasted: share of slot time at the upper service for requests that failed
 */
struct whatif_result {
	struct whatif_class classes[WHATIF_RANKS];
	double capacity;
	double good_share;
	double wasted;
};

BRF_BEGIN_DECLS

void whatif_play(
    const struct whatif_config *config, struct whatif_result *result);

BRF_END_DECLS

#endif
