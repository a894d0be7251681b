#ifndef BRF_PACE_H
#define BRF_PACE_H

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

#define BRF_PACE_RANKS 3u /* higher ranks share the last one */
#define BRF_PACE_LEAST                                         \
	0.02 /* share that always begins, to see what is there \
	      */
#define BRF_PACE_ROUND_MIN_US (100 * BRF_US_PER_MS)
#define BRF_PACE_ROUND_MAX_US (500 * BRF_US_PER_MS)

/**
 * struct brf_pace - of one route; start with brf_pace_init().
 * @share: of requests that begin
 * @rise: added to it after a round with next to no marks
 * @took_us: usual time of a request
 * @ended: requests that ended in this round
 * @marked: of them
 */
struct brf_pace {
	double share;
	double rise;
	double took_us;
	uint64_t round;
	uint32_t ended;
	uint32_t marked;
};

BRF_BEGIN_DECLS

void brf_pace_init(struct brf_pace *p, uint64_t now);

/* Whether a request that has come may begin. */
bool brf_pace_admit(
    struct brf_pace *p, struct brf_random *random, uint64_t now);

/**
 * brf_pace_ended() - a request that began has ended.
 * @marked: it met pressure
 */
void brf_pace_ended(
    struct brf_pace *p, bool marked, uint64_t took_us, uint64_t now);

/**
 * struct brf_pace_marker - a gate's; a zeroed struct is ready.
 * @owed: marks that are due, by rank; below 1
 */
struct brf_pace_marker {
	double owed[BRF_PACE_RANKS];
};

/**
 * brf_pace_mark() - whether a request is marked that has waited for its slot.
 * @rank: 0 is the most important
 */
bool brf_pace_mark(
    struct brf_pace_marker *m, uint32_t rank, uint64_t waited_us);

/**
 * struct brf_pace_owed - marks of calls that failed, whose request isn't known
 * for sure; a zeroed struct is ready.
 *
 * Load it answers: calls that end at a time of their own name no parent, so
 * that their marks went to any running request, and were lost with those that
 * ended for the failure of another call.  A request whose call has failed
 * mostly fails at once, too; that is how it is found.
 * @at: clock times of the marks, the oldest at @first
 */
#define BRF_PACE_OWED_MAX 64u
struct brf_pace_owed {
	uint64_t at[BRF_PACE_OWED_MAX];
	uint32_t first;
	uint32_t count;
};

/* A call has failed under pressure.  Without room the oldest is forgotten. */
void brf_pace_owe(struct brf_pace_owed *o, uint64_t now);

/**
 * brf_pace_pay() - a request ends that may have made such a call.
 * @failed: its target has failed it
 *
 * Return: whether it takes the mark over.  One that was answered well takes
 * only a mark for which no failed one came.
 */
bool brf_pace_pay(struct brf_pace_owed *o, bool failed, uint64_t now);

BRF_END_DECLS

#endif
