#ifndef BRF_THROTTLE_H
#define BRF_THROTTLE_H

#include "base/random.h"

/**
 * DOC: How many of a route's requests begin.
 *
 * Load it answers: more requests than the services behind a route can finish.
 * A request that fails deep in its tree of calls has cost slots on the way, so
 * that pressure deep down has to be met where requests begin.
 *
 * A gate marks requests in proportion to how long they waited for a slot, and
 * what it refused; a mark goes up with the answers to where the root request
 * began.  There the share of requests that begin is lowered by the share of
 * marks, and raised by the rest, in rounds as long as a request takes (after
 * DCTCP, SIGCOMM 2010, and ECN, RFC 3168).  Marks that grow with the wait keep
 * the share still where a fixed bound has it swing.  Less important requests
 * are marked at shorter waits, so that they give way first, and a route whose
 * tree does not reach what is pressed gets no marks.
 */

#define BRF_CONGESTION_MARK_RANKS 3u /* higher ranks share the last one */
#define BRF_THROTTLE_SHARE_MIN                                 \
	0.02 /* share that always begins, to see what is there \
	      */
#define BRF_THROTTLE_ROUND_MIN_US (100 * BRF_US_PER_MS)
#define BRF_THROTTLE_ROUND_MAX_US (500 * BRF_US_PER_MS)

/**
 * struct brf_throttle - of one route; start with brf_throttle_init().
 * @share: of requests that begin
 * @increase: added to it after a round with next to no marks
 * @duration_us: usual time of a request
 * @ended: requests that ended in this round
 * @marked: of them
 */
struct brf_throttle {
	double share;
	double increase;
	double duration_us;
	uint64_t round_start;
	uint32_t ended;
	uint32_t marked;
};

BRF_BEGIN_DECLS

void brf_throttle_init(struct brf_throttle *p, uint64_t now);

/* Whether a request that has come may begin. */
bool brf_throttle_admit(
    struct brf_throttle *p, struct brf_random *random, uint64_t now);

/**
 * brf_throttle_request_ended() - a request that began has ended.
 * @marked: it met pressure
 */
void brf_throttle_request_ended(
    struct brf_throttle *p, bool marked, uint64_t duration_us, uint64_t now);

/**
 * struct brf_congestion_marker - a gate's; a zeroed struct is ready.
 * @carry: marks that are due, by rank; below 1
 */
struct brf_congestion_marker {
	double carry[BRF_CONGESTION_MARK_RANKS];
};

/**
 * brf_congestion_mark() - whether a request is marked that has waited for its
 * slot.
 * @rank: 0 is the most important
 */
bool brf_congestion_mark(
    struct brf_congestion_marker *m, uint32_t rank, uint64_t waited_us);

/**
 * struct brf_pending_marks - marks of calls that failed, whose request isn't
 * known for sure; a zeroed struct is ready.
 *
 * Load it answers: calls that end at a time of their own name no parent, so
 * that their marks went to any running request, and were lost with those that
 * ended for the failure of another call.  A request whose call has failed
 * mostly fails at once, too; that is how it is found.
 * @at: clock times of the marks, the oldest at @first
 */
#define BRF_PENDING_MARKS_MAX 64u
struct brf_pending_marks {
	uint64_t at[BRF_PENDING_MARKS_MAX];
	uint32_t first;
	uint32_t count;
};

/* A call has failed under pressure.  Without room the oldest is forgotten. */
void brf_pending_marks_add(struct brf_pending_marks *o, uint64_t now);

/**
 * brf_pending_marks_take() - a request ends that may have made such a call.
 * @failed: its target has failed it
 *
 * Return: whether it takes the mark over.  One that was answered well takes
 * only a mark for which no failed one came.
 */
bool brf_pending_marks_take(
    struct brf_pending_marks *o, bool failed, uint64_t now);

BRF_END_DECLS

#endif
