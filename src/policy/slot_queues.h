#ifndef BRF_SLOT_QUEUES_H
#define BRF_SLOT_QUEUES_H

#include "base/list.h"
#include "base/outcome.h"
#include "base/timer.h"
#include "policy/rate_limit.h"

/**
 * DOC: Priority queues for the slots of one target.
 *
 * Problem: over long periods a target gets more requests than its slots can
 * run.  The requests have different ranks, and some are nested calls on which
 * requests depend that already run elsewhere.
 *
 * Slots are granted by the rank of the root request; within a rank, nested
 * calls go before root requests; then in order of arrival.  Each ticket states
 * its maximum wait.  A ticket whose expected wait is longer is refused at
 * submission, while its caller still has time; one that is not granted within
 * its maximum wait is refused then.  A few slots are never granted, since
 * targets slow down when nearly full.
 *
 * A target may limit its rate, see policy/rate_limit.h.  A ticket then needs a
 * permit beside its slot, in the same order.
 *
 * A granted ticket reports how long it waited.  Long waits are the sign of
 * pressure that is sent back to where root requests begin, see
 * policy/throttle.h.
 */

#define BRF_SLOT_RANKS 4u	   /* higher ranks share the last one */
#define BRF_SLOT_SHARE 0.94	   /* share of the slots that is granted */
#define BRF_SLOT_WAITING_MAX 4096u /* waiting tickets at most */

/**
 * struct brf_slot_ticket - a request's claim to a slot; embedded by its owner.
 * @rank: 0 is the most important
 * @nested: nested call, which a running request depends on
 * @deadline: clock time after which it no longer waits, microseconds
 * @max_wait_us: longest time that it may wait, microseconds
 * @grant: called once when it gets a slot, never from
 *	brf_slot_queues_submit()
 * @refuse: called once when it is refused after having waited, never from
 *	brf_slot_queues_submit(); the ticket is the owner's again
 * @waited_us: how long it waited, microseconds; valid once it is granted
 * @rate_limited: it had to wait, or was refused, for the target's rate limit
 *	rather than for a slot
 *
 * The owner sets the members up to @refuse before it submits the ticket, and
 * keeps it until it was refused, withdrawn or finished.  The other members
 * are private.
 */
struct brf_slot_ticket {
	uint32_t rank;
	bool nested;
	uint64_t deadline;
	uint64_t max_wait_us;
	void (*grant)(struct brf_slot_ticket *t);
	void (*refuse)(struct brf_slot_ticket *t, enum brf_reason reason);
	uint64_t waited_us;
	bool rate_limited;
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
	BRF_SLOT_RUN,	/* granted; brf_slot_queues_finish() must follow */
	BRF_SLOT_WAIT,	/* @grant or @refuse will be called */
	BRF_SLOT_REFUSE /* no slots, a full queue, or too long a wait */
};

struct brf_slot_queues;

BRF_BEGIN_DECLS

/* @timers must outlive the queues. */
struct brf_slot_queues *brf_slot_queues_new(struct brf_timers *timers);

/* No ticket may be waiting or running. */
void brf_slot_queues_free(struct brf_slot_queues *queues);

/**
 * brf_slot_queues_set_slots() - set the number of slots of the target.
 *
 * Running tickets are not affected; waiting ones may be granted at once.
 */
void brf_slot_queues_set_slots(struct brf_slot_queues *queues, uint32_t slots);

/**
 * brf_slot_queues_set_rate() - set the rate limit of the target.
 * @rate: requests a second; 0 for no limit
 */
void brf_slot_queues_set_rate(struct brf_slot_queues *queues, double rate);

enum brf_slot_result brf_slot_queues_submit(
    struct brf_slot_queues *queues, struct brf_slot_ticket *t);

/**
 * brf_slot_queues_withdraw() - take a waiting ticket out of its queue.
 *
 * No callback follows.
 *
 * Return: false when the ticket is not waiting.
 */
bool brf_slot_queues_withdraw(struct brf_slot_ticket *t);

/**
 * brf_slot_queues_finish() - give back the slot of a running ticket.
 * @took_us: time at the target, microseconds; 0 to leave the average as it is
 *
 * May call @grant of waiting tickets.  Does nothing for a ticket that is not
 * running.
 */
void brf_slot_queues_finish(struct brf_slot_ticket *t, uint64_t took_us);

/* Refuse all waiting tickets. */
void brf_slot_queues_drain(
    struct brf_slot_queues *queues, enum brf_reason reason);

/* Tickets that may run at once. */
uint32_t brf_slot_queues_limit(const struct brf_slot_queues *queues);
uint32_t brf_slot_queues_running(const struct brf_slot_queues *queues);
uint32_t brf_slot_queues_waiting(const struct brf_slot_queues *queues);

/* Average time at the target, microseconds; 0 before the first finish. */
uint64_t brf_slot_queues_service_us(const struct brf_slot_queues *queues);

/* Expected wait of a new ticket behind all waiting ones, microseconds. */
uint64_t brf_slot_queues_backlog_us(const struct brf_slot_queues *queues);

/* Expected wait of such a ticket for the rate limit, microseconds; 0 without
 * one. */
uint64_t brf_slot_queues_permit_wait_us(const struct brf_slot_queues *queues);

/* Time after which a sender that was refused for the rate limit may ask again,
 * see brf_rate_limit_promise_us(). */
uint64_t brf_slot_queues_promise_us(struct brf_slot_queues *queues);

BRF_END_DECLS

#endif
