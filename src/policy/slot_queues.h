#ifndef BRF_SLOT_QUEUES_H
#define BRF_SLOT_QUEUES_H

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

#define BRF_SLOT_RANKS 4u	/* higher ranks share the last one */
#define BRF_SLOT_SHARE 0.94	/* of the slots that are used */
#define BRF_SLOT_WAITING_MAX 4096u /* tickets that wait, at most */

/**
 * struct brf_slot_ticket - one request; embedded by its owner.
 * @rank: 0 is the most important
 * @nested: a running request needs it
 * @deadline: clock time after which nobody waits
 * @patience_us: longest time that it may wait, microseconds
 * @grant: called once when it may run; not from brf_slot_queues_submit()
 * @refuse: called once when it may not after all; not from there either
 * @waited_us: how long it waited, from the grant on
 */
struct brf_slot_ticket {
	uint32_t rank;
	bool nested;
	uint64_t deadline;
	uint64_t patience_us;
	void (*grant)(struct brf_slot_ticket *t);
	void (*refuse)(struct brf_slot_ticket *t, enum brf_reason reason);
	uint64_t waited_us;
	struct brf_list link;
	struct brf_timer timer;
	struct brf_slot_queues *queues;
	uint64_t submitted_at;
	enum {
		BRF_SLOT_IDLE,
		BRF_SLOT_WAITING,
		BRF_SLOT_RUNNING
	} state;
};

enum brf_slot_result {
	BRF_SLOT_RUN,	 /* run it now; brf_slot_queues_finish() follows */
	BRF_SLOT_WAIT,	 /* @grant or @refuse will be called */
	BRF_SLOT_REFUSE /* refused for want of room */
};

struct brf_slot_queues;

BRF_BEGIN_DECLS

struct brf_slot_queues *brf_slot_queues_new(struct brf_timers *timers);

/* No ticket may be waiting or running. */
void brf_slot_queues_free(struct brf_slot_queues *lanes);

/* The target has so many slots; nothing that runs is touched. */
void brf_slot_queues_set_slots(struct brf_slot_queues *lanes, uint32_t slots);

enum brf_slot_result brf_slot_queues_submit(
    struct brf_slot_queues *lanes, struct brf_slot_ticket *t);

/**
 * brf_slot_queues_withdraw() - a waiting ticket's sender has gone.
 *
 * Return: false when it does not wait.
 */
bool brf_slot_queues_withdraw(struct brf_slot_ticket *t);

/**
 * brf_slot_queues_finish() - a running ticket has ended.
 * @took_us: time at the target; 0 when that teaches nothing
 */
void brf_slot_queues_finish(struct brf_slot_ticket *t, uint64_t took_us);

/* Refuse all that wait. */
void brf_slot_queues_drain(struct brf_slot_queues *lanes, enum brf_reason reason);

uint32_t brf_slot_queues_limit(const struct brf_slot_queues *lanes);
uint32_t brf_slot_queues_running(const struct brf_slot_queues *lanes);
uint32_t brf_slot_queues_waiting(const struct brf_slot_queues *lanes);

/* Usual time at the target, microseconds; 0 before the first. */
uint64_t brf_slot_queues_service_us(const struct brf_slot_queues *lanes);

/* Time until what waits now is granted, microseconds. */
uint64_t brf_slot_queues_backlog_us(const struct brf_slot_queues *lanes);

BRF_END_DECLS

#endif
