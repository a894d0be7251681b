#ifndef BRF_ADMISSION_H
#define BRF_ADMISSION_H

#include "base/exchange.h"
#include "base/list.h"
#include "base/timer.h"

/**
 * DOC: Admission controller of a node's own target.
 *
 * Decides what runs, what waits and what is refused, from what this node has
 * itself seen: attempts in flight, waiting times, service times.  It knows
 * nothing of sockets; the gate feeds it and runs what it grants.
 */

/**
 * struct brf_admission_ticket - one attempt at the admission controller; embedded by
 * the gate.
 * @cls: 0 is the most important
 * @rank: brf_rank() of the attempt
 * @workspace: whose share it counts against
 * @deadline: clock time after which it must not begin; UINT64_MAX for none
 * @grant: called once when it may run; not from brf_admission_submit()
 * @refuse: called once when it may not after all, with the reason; not from
 *	brf_admission_submit() either
 * @outside_us: filled by the gate before brf_admission_finish(): how much of
 *	its time the target waited for its own outgoing calls; 0 when not known
 *
 * The other members are the controller's.
 */
struct brf_admission_ticket {
	uint32_t cls;
	uint32_t rank;
	const char *workspace;
	uint64_t deadline;
	void (*grant)(struct brf_admission_ticket *ticket);
	void (*refuse)(struct brf_admission_ticket *ticket, enum brf_reason reason);
	uint64_t outside_us;
	struct brf_list link;
	struct brf_list age;
	struct brf_flow *flow;
	uint64_t since; /* clock time of submission, then of the grant */
	int state;
	bool noted; /* counted as a refusal that observe mode would make */
	enum brf_reason reason;
};

enum brf_admission_result {
	BRF_ADMISSION_RUN,   /* run it now; brf_admission_finish() follows */
	BRF_ADMISSION_WAIT,  /* @grant or @refuse will be called */
	BRF_ADMISSION_REFUSE /* refused; *reason says why */
};

/**
 * struct brf_admission_config - bounds from announcement and document.
 * @slots: most attempts that the target runs at once
 * @queue: most attempts that wait, over all classes
 * @warmup_us: time over which a cold target's limit rises to @slots; 0: none
 * @observe: count what would be refused, and let it run or wait all the same;
 *	@slots, the tickets' own deadlines and BRF_OBSERVE_QUEUE still bound
 */
struct brf_admission_config {
	uint32_t slots;
	uint32_t queue;
	uint64_t warmup_us;
	bool observe;
};

#define BRF_OBSERVE_QUEUE 16384u /* most that wait in observe mode */

/**
 * struct brf_admission_stats - counts since the start.
 * @submitted: tickets that came, by class
 * @granted: tickets that were let run, by class
 * @refused: tickets that were not, by class
 * @withdrawn: tickets whose sender went while they waited
 * @reasons: refusals by reason
 * @would_refuse: in observe mode: refusals that were not made, by reason; a
 *	ticket counts once
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
 * brf_rank() - the order in which requests are shed, the same at every depth.
 * @cls: the request's class
 * @root: id of its root request
 *
 * Return: @cls * BRF_RANK_CLASS plus a stable hash of @root below
 * BRF_RANK_CLASS; lower ranks are shed last (after DAGOR, SoCC 2018).
 */
uint32_t brf_rank(uint32_t cls, struct brf_id root);

struct brf_admission *brf_admission_new(
    struct brf_timers *timers, const struct brf_admission_config *config);
/* Tickets that still wait are let go without a callback. */
void brf_admission_free(struct brf_admission *a);

/* New bounds take effect at once; nothing that runs is touched. */
void brf_admission_configure(
    struct brf_admission *a, const struct brf_admission_config *config);

/**
 * brf_admission_set_weight() - share of a workspace; 1 where none was set.
 * @weight: 0 takes a share back that was set
 */
void brf_admission_set_weight(
    struct brf_admission *a, const char *workspace, uint32_t weight);

/**
 * brf_admission_submit() - ask for a place for @ticket.
 * @reason: filled with BRF_ADMISSION_REFUSE
 */
enum brf_admission_result brf_admission_submit(struct brf_admission *a,
    struct brf_admission_ticket *ticket, enum brf_reason *reason);

/**
 * brf_admission_withdraw() - a waiting ticket's sender has gone.
 *
 * Return: false when it is not waiting (it was granted or refused).
 */
bool brf_admission_withdraw(struct brf_admission *a, struct brf_admission_ticket *ticket);

/**
 * brf_admission_finish() - a granted ticket has ended.
 * @useful: the target answered in time; only these teach the limit
 */
void brf_admission_finish(
    struct brf_admission *a, struct brf_admission_ticket *ticket, bool useful);

/**
 * brf_admission_drain() - refuse all that wait, and all that come, with
 * @reason; BRF_R_NONE admits again.
 */
void brf_admission_drain(struct brf_admission *a, enum brf_reason reason);

void brf_admission_level(
    const struct brf_admission *a, struct brf_level *level);

/* Valid as long as @a; read it when metrics are written. */
const struct brf_admission_stats *brf_admission_stats(
    const struct brf_admission *a);

/* When asking again makes sense, milliseconds, without jitter. */
uint32_t brf_admission_retry_after_ms(const struct brf_admission *a);

BRF_END_DECLS

#endif
