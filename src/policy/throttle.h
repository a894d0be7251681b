#ifndef BRF_THROTTLE_H
#define BRF_THROTTLE_H

#include "base/random.h"

/**
 * DOC: Adaptive throttling of a route's requests at the node where they begin.
 *
 * Problem: more requests arrive than the services behind a route can finish.
 * A request that fails deep in its call tree has already used slots at every
 * level above, so overload anywhere in the tree has to be met where requests
 * begin.
 *
 * A gate sets a congestion mark on a part of its requests that grows with the
 * time they waited for a slot, and on requests that it refuses for lack of
 * capacity.  Marks are reported with the answers up to the node where the root
 * request began.  There the share of requests that is admitted is lowered in
 * proportion to the share of marked ones and raised in proportion to the rest.
 * This happens once per round, and a round is about as long as a request takes
 * (after DCTCP, SIGCOMM 2010, and ECN, RFC 3168).
 *
 * Marks that grow with the wait keep the admitted share steady, where a fixed
 * threshold makes it oscillate.  Less important requests are marked at shorter
 * waits, so that they are throttled first.  A route whose call tree does not
 * include an overloaded service gets no marks.
 */

/* Ranks with a threshold of their own; higher ones use that of the last. */
#define BRF_CONGESTION_MARK_RANKS 3u

/* Share that is always admitted, to probe whether there is capacity again. */
#define BRF_THROTTLE_SHARE_MIN 0.02

/* Bounds of the length of a round. */
#define BRF_THROTTLE_ROUND_MIN_US (100 * BRF_US_PER_MS)
#define BRF_THROTTLE_ROUND_MAX_US (500 * BRF_US_PER_MS)

/**
 * struct brf_throttle - state of one route; set up by brf_throttle_init().
 * @admit_share: share of requests that is admitted, BRF_THROTTLE_SHARE_MIN to 1
 * @increase: added to @admit_share by the next round with almost no marks
 * @duration_us: exponentially weighted moving average of request durations
 * @round_start: clock time at which the current round began
 * @ended: requests that ended in this round
 * @marked: how many of @ended had a congestion mark
 */
struct brf_throttle {
	double admit_share;
	double increase;
	double duration_us;
	uint64_t round_start;
	uint32_t ended;
	uint32_t marked;
};

BRF_BEGIN_DECLS

void brf_throttle_init(struct brf_throttle *t, uint64_t now);

/* Return: whether a request that has arrived may begin. */
bool brf_throttle_admit(
    struct brf_throttle *t, struct brf_random *random, uint64_t now);

/**
 * brf_throttle_request_ended() - report the end of an admitted request.
 * @marked: a gate set a congestion mark on it or on one of its calls
 * @duration_us: from its arrival to its end
 */
void brf_throttle_request_ended(
    struct brf_throttle *t, bool marked, uint64_t duration_us, uint64_t now);

/**
 * struct brf_congestion_marker - state of one gate; a zeroed struct is ready.
 * @carry: fraction of a mark that is carried over, by rank; below 1
 */
struct brf_congestion_marker {
	double carry[BRF_CONGESTION_MARK_RANKS];
};

/**
 * brf_congestion_mark() - decide whether to mark a request that gets its slot.
 * @rank: 0 is the most important
 * @waited_us: how long it waited for the slot
 *
 * Return: whether the request gets a congestion mark.
 */
bool brf_congestion_mark(
    struct brf_congestion_marker *m, uint32_t rank, uint64_t waited_us);

#define BRF_PENDING_MARKS_MAX 64u

/**
 * struct brf_pending_marks - marks of failed calls whose parent request is not
 * known for certain; a zeroed struct is ready.
 *
 * Calls do not name their parent, and the parent of a call with a deadline of
 * its own can only be guessed.  When such marks went to any running request,
 * they were lost whenever that request was ended by the failure of another
 * call.  A request whose call has failed mostly fails right afterwards, and
 * this is how it is found.
 * @at: clock times of the marks, a ring buffer
 * @first: index of the oldest mark in @at
 * @count: marks in @at
 */
struct brf_pending_marks {
	uint64_t at[BRF_PENDING_MARKS_MAX];
	uint32_t first;
	uint32_t count;
};

/**
 * brf_pending_marks_add() - add the mark of a call that failed from overload.
 *
 * When all BRF_PENDING_MARKS_MAX entries are in use, the oldest is dropped.
 */
void brf_pending_marks_add(struct brf_pending_marks *p, uint64_t now);

/**
 * brf_pending_marks_take() - look for a mark for a request that ends here.
 * @failed: the target answered the request with a failure
 *
 * A request that succeeded takes only a mark that no failed request took in
 * the first 50 ms.
 *
 * Return: whether a mark was removed, which the request then has to report.
 */
bool brf_pending_marks_take(
    struct brf_pending_marks *p, bool failed, uint64_t now);

BRF_END_DECLS

#endif
