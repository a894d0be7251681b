#ifndef BRF_LANES_H
#define BRF_LANES_H

#include "base/list.h"
#include "base/outcome.h"
#include "base/timer.h"

/**
 * DOC: Who runs at a target, who waits and who is refused.
 *
 * Load it answers: a target with a stated number of slots, asked by requests
 * of several ranks, some of which are needed by requests that run elsewhere
 * already, for longer than its slots last.
 *
 * Order: by the rank of the root request; within a rank, what a running
 * request needs goes before what begins; then by arrival.  Each ticket says
 * how long it may wait.  One that would wait longer is refused when it comes,
 * while its caller still has time; one whose turn does not come after all is
 * refused when its patience ends.  A few slots stay free, since targets slow
 * down when nearly full.
 *
 * The wait of each ticket is told when it is granted: waits are the sign of
 * pressure that goes back to where requests begin, see policy/pace.h.
 */

#define BRF_LANE_RANKS 4u	/* higher ranks share the last one */
#define BRF_LANES_SHARE 0.94	/* of the slots that are used */
#define BRF_LANES_WAITING 4096u /* tickets that wait, at most */

/**
 * struct brf_lane_ticket - one request; embedded by its owner.
 * @rank: 0 is the most important
 * @nested: a running request needs it
 * @deadline: clock time after which nobody waits
 * @max_wait_us: longest time that it may wait, microseconds
 * @grant: called once when it may run; not from brf_lanes_submit()
 * @refuse: called once when it may not after all; not from there either
 * @waited_us: how long it waited, from the grant on
 */
struct brf_lane_ticket {
	uint32_t rank;
	bool nested;
	uint64_t deadline;
	uint64_t max_wait_us;
	void (*grant)(struct brf_lane_ticket *t);
	void (*refuse)(struct brf_lane_ticket *t, enum brf_reason reason);
	uint64_t waited_us;
	struct brf_list link;
	struct brf_timer timer;
	struct brf_lanes *lanes;
	uint64_t entered;
	enum {
		BRF_LANE_IDLE,
		BRF_LANE_WAITING,
		BRF_LANE_RUNNING
	} state;
};

enum brf_lanes_result {
	BRF_LANES_RUN,	 /* run it now; brf_lanes_finish() follows */
	BRF_LANES_WAIT,	 /* @grant or @refuse will be called */
	BRF_LANES_REFUSE /* refused for want of room */
};

struct brf_lanes;

BRF_BEGIN_DECLS

struct brf_lanes *brf_lanes_new(struct brf_timers *timers);

/* No ticket may be waiting or running. */
void brf_lanes_free(struct brf_lanes *lanes);

/* The target has so many slots; nothing that runs is touched. */
void brf_lanes_set_slots(struct brf_lanes *lanes, uint32_t slots);

enum brf_lanes_result brf_lanes_submit(
    struct brf_lanes *lanes, struct brf_lane_ticket *t);

/**
 * brf_lanes_withdraw() - a waiting ticket's sender has gone.
 *
 * Return: false when it does not wait.
 */
bool brf_lanes_withdraw(struct brf_lane_ticket *t);

/**
 * brf_lanes_finish() - a running ticket has ended.
 * @took_us: time at the target; 0 when that teaches nothing
 */
void brf_lanes_finish(struct brf_lane_ticket *t, uint64_t took_us);

/* Refuse all that wait. */
void brf_lanes_drain(struct brf_lanes *lanes, enum brf_reason reason);

uint32_t brf_lanes_limit(const struct brf_lanes *lanes);
uint32_t brf_lanes_running(const struct brf_lanes *lanes);
uint32_t brf_lanes_waiting(const struct brf_lanes *lanes);

/* Usual time at the target, microseconds; 0 before the first. */
uint64_t brf_lanes_service_us(const struct brf_lanes *lanes);

/* Time until what waits now is granted, microseconds. */
uint64_t brf_lanes_backlog_us(const struct brf_lanes *lanes);

BRF_END_DECLS

#endif
