#ifndef BRF_ADMISSION_H
#define BRF_ADMISSION_H

#include "base/exchange.h"
#include "base/list.h"
#include "base/timer.h"
#include "policy/rate_limit.h"

/**
 * DOC: Admission controller of a node's own target.
 *
 * Decides which attempts run, wait or are refused, from this node's own
 * measurements: attempts in flight, waiting times, service times.  It does no
 * I/O; the gate submits tickets and runs the attempts of those granted.
 */

/**
 * struct brf_admission_ticket - an attempt's request to run at the target;
 * embedded by the gate.
 * @cls: 0 is the most important
 * @rank: brf_rank() of the attempt
 * @workspace: whose share it counts against; NULL for none
 * @deadline: clock time after which it must not begin, microseconds;
 *	UINT64_MAX for none
 * @grant: called once when it may run; never from brf_admission_submit()
 * @refuse: called once, with the reason, when it is refused after having
 *	waited; never from brf_admission_submit()
 * @outside_us: filled by the gate before brf_admission_finish(): how much of
 *	its time the target waited for its own outgoing calls, microseconds; 0
 *	when not known
 * @link: in a bucket of the queue, or in the list of refused tickets
 * @age: in the list of all waiting tickets
 * @flow: flow in which it waits; else NULL
 * @since: clock time of submission, then of the grant, microseconds
 * @state: see admission.c
 * @noted: counted in brf_admission_stats.would_refuse
 * @reason: of the refusal that @refuse will report
 *
 * The members after @outside_us are private to the controller.
 */
struct brf_admission_ticket {
	uint32_t cls;
	uint32_t rank;
	const char *workspace;
	uint64_t deadline;
	void (*grant)(struct brf_admission_ticket *ticket);
	void (*refuse)(
	    struct brf_admission_ticket *ticket, enum brf_reason reason);
	uint64_t outside_us;
	struct brf_list link;
	struct brf_list age;
	struct brf_flow *flow;
	uint64_t since;
	int state;
	bool noted;
	enum brf_reason reason;
};

enum brf_admission_result {
	BRF_ADMISSION_RUN,   /* granted; brf_admission_finish() must follow */
	BRF_ADMISSION_WAIT,  /* @grant or @refuse will be called */
	BRF_ADMISSION_REFUSE /* refused; *reason says why */
};

/**
 * struct brf_admission_config - bounds from announcement and document.
 * @slots: attempts that the target runs at once at most
 * @queue: attempts that wait at most, over all classes
 * @warmup_us: time over which a cold target's limit rises to @slots,
 *	microseconds; 0 for no ramp
 * @observe: only count refusals, and let the attempts run or wait; @slots, the
 *	tickets' deadlines and BRF_OBSERVE_QUEUE still apply
 */
struct brf_admission_config {
	uint32_t slots;
	uint32_t queue;
	uint64_t warmup_us;
	bool observe;
};

#define BRF_OBSERVE_QUEUE 16384u /* waiting attempts in observe mode */

/**
 * struct brf_admission_stats - counts since the start.
 * @submitted: submitted tickets, by class
 * @granted: granted tickets, by class
 * @refused: refused tickets, by class
 * @withdrawn: tickets withdrawn while they waited
 * @reasons: refusals, by reason
 * @would_refuse: refusals that were not made because of observe mode, by
 *	reason; a ticket counts once
 * @useful_us: slot time of attempts that were answered in time
 * @wasted_us: slot time of all others
 */
struct brf_admission_stats {
	uint64_t submitted[BRF_CLASSES];
	uint64_t granted[BRF_CLASSES];
	uint64_t refused[BRF_CLASSES];
	uint64_t withdrawn;
	uint64_t reasons[BRF_REASON_COUNT];
	uint64_t would_refuse[BRF_REASON_COUNT];
	uint64_t useful_us;
	uint64_t wasted_us;
};

struct brf_admission;

BRF_BEGIN_DECLS

/**
 * brf_rank() - rank by which requests are shed, the same at every depth of the
 * call graph.
 * @cls: the request's class
 * @root: id of its root request
 *
 * Return: @cls * BRF_RANK_CLASS plus a stable hash of @root below
 * BRF_RANK_CLASS; lower ranks are shed last (after DAGOR, SoCC 2018).
 */
uint32_t brf_rank(uint32_t cls, struct brf_id root);

/* @timers must outlive the controller; @config is copied. */
struct brf_admission *brf_admission_new(
    struct brf_timers *timers, const struct brf_admission_config *config);

/* Tickets that wait, or whose refusal is pending, get no callback; they remain
 * their owners'. */
void brf_admission_free(struct brf_admission *a);

/* Set new bounds, in force at once; running attempts are not affected. */
void brf_admission_configure(
    struct brf_admission *a, const struct brf_admission_config *config);

/**
 * brf_admission_set_weight() - set the weight of a workspace; 1 unless set.
 * @weight: see brf_queue_set_weight(); 0 resets it
 */
void brf_admission_set_weight(
    struct brf_admission *a, const char *workspace, uint32_t weight);

/**
 * brf_admission_set_rate() - set the rate limit that the target has stated.
 * @rate: requests a second; 0 for no limit
 *
 * Attempts beyond it wait or are refused as for slots, also in observe mode.
 */
void brf_admission_set_rate(struct brf_admission *a, double rate);

/**
 * brf_admission_submit() - ask to run @ticket.
 * @ticket: stays valid until it was refused, withdrawn or finished
 * @reason: set only with BRF_ADMISSION_REFUSE
 */
enum brf_admission_result brf_admission_submit(struct brf_admission *a,
    struct brf_admission_ticket *ticket, enum brf_reason *reason);

/**
 * brf_admission_withdraw() - take back a waiting ticket.
 *
 * No callback follows, not even that of a refusal already decided.
 *
 * Return: false when @ticket is not waiting (it was granted or refused).
 */
bool brf_admission_withdraw(
    struct brf_admission *a, struct brf_admission_ticket *ticket);

/**
 * brf_admission_finish() - free the slot of a granted ticket.
 * @useful: the target answered in time; only then is the duration used for the
 *	limit and the estimates
 *
 * May call @grant of waiting tickets.
 */
void brf_admission_finish(
    struct brf_admission *a, struct brf_admission_ticket *ticket, bool useful);

/**
 * brf_admission_drain() - refuse all waiting and all later tickets with
 * @reason; BRF_R_NONE admits again.
 */
void brf_admission_drain(struct brf_admission *a, enum brf_reason reason);

/* Fill @level with the current admission level. */
void brf_admission_level(
    const struct brf_admission *a, struct brf_level *level);

/* The counts, for metrics; owned by @a. */
const struct brf_admission_stats *brf_admission_stats(
    const struct brf_admission *a);

/* Time after which a retry makes sense, milliseconds, without jitter. */
uint32_t brf_admission_retry_after_ms(const struct brf_admission *a);

BRF_END_DECLS

#endif
