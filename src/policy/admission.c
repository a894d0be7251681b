#include <stdlib.h>

#include <xxhash.h>

#include "policy/admission.h"
#include "policy/cutoff.h"
#include "policy/estimate.h"
#include "policy/limiter.h"
#include "policy/queue.h"

/* Time between checks of the waiting tickets. */
#define TICK_US (5 * BRF_US_PER_MS)

/* Longest wait: this, or so many mean service times when that is longer. */
#define WAIT_MAX_US (120 * BRF_US_PER_MS)
#define WAIT_MAX_SERVICES 1
/* Factor on the longest wait where a workspace is under its share. */
#define WAIT_UNDER_SHARE 4

/* Of tickets that find a free slot but are expected to end too late, one in so
 * many runs, to show whether the estimate still holds. */
#define LATE_PROBE 8u

#define RETRY_AFTER_MIN_MS 20.0
#define RETRY_AFTER_MAX_MS 10000.0
#define RETRY_AFTER_DRAINING_MS 1000u

enum ticket_state {
	TICKET_IDLE,
	TICKET_WAITING,
	TICKET_REFUSED, /* refused, callback pending */
	TICKET_RUNNING
};

/**
 * struct brf_admission - see admission.h.
 * @rate: rate limit of the target
 * @service: time that attempts take at the target
 * @cut: cutoff rank for the level on replies
 * @refusals: refused tickets whose callback is pending
 * @tick: checks the waiting tickets; active while any wait
 * @deliver: calls back the tickets in @refusals
 * @late_refused: refusals since the last probe, see LATE_PROBE
 * @granting: grant_waiting() is on the stack
 * @draining: reason with which all tickets are refused, or BRF_R_NONE
 */
struct brf_admission {
	struct brf_timers *timers;
	struct brf_admission_config config;
	struct brf_limiter limiter;
	struct brf_rate_limit rate;
	struct brf_estimate service;
	struct brf_cutoff cut;
	struct brf_queue *queue;
	struct brf_list refusals;
	struct brf_timer tick;
	struct brf_timer deliver;
	uint32_t in_flight;
	uint32_t late_refused;
	bool granting;
	enum brf_reason draining;
	struct brf_admission_stats stats;
};

uint32_t
brf_rank(uint32_t cls, struct brf_id root)
{
	uint64_t hash = XXH3_64bits(&root, sizeof(root));

	if (cls >= BRF_CLASSES)
		cls = BRF_CLASSES - 1;
	return (cls * BRF_RANK_CLASS + (uint32_t)(hash % BRF_RANK_CLASS));
}

static uint64_t
now_of(const struct brf_admission *a)
{
	return (brf_now(brf_timers_clock(a->timers)));
}

/* @now plus @us, at most UINT64_MAX. */
static uint64_t
add_us(uint64_t now, double us)
{
	if (us >= (double)(UINT64_MAX - now))
		return (UINT64_MAX);
	return (now + (uint64_t)us);
}

static uint32_t
limit_of(const struct brf_admission *a, uint64_t now)
{
	if (a->config.observe)
		return (a->config.slots);
	return (brf_limiter_get(&a->limiter, now));
}

/* Upper bound of the wait of @t, which is in the queue, microseconds. */
static double
expected_wait(const struct brf_admission *a,
    const struct brf_admission_ticket *t, uint64_t now)
{
	uint32_t limit = limit_of(a, now);
	double turns = brf_queue_ahead(a->queue, t) + 1.0;
	double permit = (double)brf_rate_limit_wait_us(&a->rate, turns, now);
	double slot;

	if (limit == 0)
		return (0);
	slot = turns * brf_estimate_mean(&a->service, now) / limit;
	return (slot > permit ? slot : permit);
}

static double
longest_wait(const struct brf_admission *a, uint64_t now)
{
	double services =
	    WAIT_MAX_SERVICES * brf_estimate_mean(&a->service, now);

	return (services > WAIT_MAX_US ? services : WAIT_MAX_US);
}

static void
count_refusal(struct brf_admission *a, struct brf_admission_ticket *t,
    enum brf_reason reason)
{
	a->stats.refused[brf_queue_class(t)]++;
	a->stats.reasons[reason]++;
}

/*
 * Count @t, which is in the queue and refused for lack of capacity, for the
 * cutoff rank.  Refusals of a flow over its share don't lower it.
 */
static void
count_for_cutoff(struct brf_admission *a, struct brf_admission_ticket *t,
    enum brf_reason reason)
{
	if (a->draining != BRF_R_NONE)
		return;
	if (reason == BRF_R_WORKSPACE_SHARE ||
	    brf_queue_over_share(a->queue, t))
		brf_cutoff_uncount(&a->cut, t->rank);
	else
		brf_cutoff_shed(&a->cut, t->rank);
}

static void
count_would_refuse(struct brf_admission *a, struct brf_admission_ticket *t,
    enum brf_reason reason)
{
	if (!t->noted)
		a->stats.would_refuse[reason]++;
	t->noted = true;
}

/* @refuse is called from a timer, so that callers are not re-entered. */
static void
refuse_waiting(struct brf_admission *a, struct brf_admission_ticket *t,
    enum brf_reason reason)
{
	count_for_cutoff(a, t, reason);
	brf_queue_remove(a->queue, t);
	count_refusal(a, t, reason);
	t->state = TICKET_REFUSED;
	t->reason = reason;
	brf_list_append(&a->refusals, &t->link);
	if (!brf_timer_active(&a->deliver))
		brf_timer_start(a->timers, &a->deliver, 0);
}

static enum brf_reason
overload_reason(
    const struct brf_admission *a, const struct brf_admission_ticket *t)
{
	if (brf_queue_over_share(a->queue, t))
		return (BRF_R_WORKSPACE_SHARE);
	return (BRF_R_OVERLOAD);
}

/*
 * Refuse @t; in observe mode, only count that until its deadline.
 *
 * Return: whether it was refused.
 */
static bool
refuse_unless_observing(struct brf_admission *a, struct brf_admission_ticket *t,
    enum brf_reason reason, uint64_t now)
{
	if (a->config.observe && now < t->deadline) {
		count_would_refuse(a, t, reason);
		return (false);
	}
	refuse_waiting(a, t, reason);
	return (true);
}

/* Whether @t can't be answered before its deadline any more. */
static bool
expired(const struct brf_admission *a, const struct brf_admission_ticket *t,
    uint64_t now)
{
	double need = brf_estimate_low(&a->service, now);

	return (add_us(now, need) >= t->deadline && t->deadline != UINT64_MAX);
}

static void
run(struct brf_admission *a, struct brf_admission_ticket *t, uint64_t now)
{
	t->state = TICKET_RUNNING;
	t->since = now;
	t->outside_us = 0;
	a->in_flight++;
	a->stats.granted[brf_queue_class(t)]++;
	brf_cutoff_served(&a->cut);
}

static void
grant_next(struct brf_admission *a, uint64_t now)
{
	struct brf_admission_ticket *t = brf_queue_next(a->queue);

	if (expired(a, t, now) &&
	    refuse_unless_observing(a, t, BRF_R_EXPIRED, now)) {
		brf_rate_limit_give_back(&a->rate);
		return;
	}
	brf_queue_take(a->queue, t);
	run(a, t, now);
	t->grant(t);
}

/* @grant may submit or finish tickets; the outermost call grants the rest. */
static void
grant_waiting(struct brf_admission *a)
{
	uint64_t now = now_of(a);

	if (a->granting)
		return;
	a->granting = true;
	while (a->in_flight < limit_of(a, now) &&
	       brf_queue_count(a->queue) > 0 &&
	       brf_rate_limit_take(&a->rate, now))
		grant_next(a, now);
	a->granting = false;
	if (a->in_flight < limit_of(a, now) && brf_queue_count(a->queue) == 0)
		brf_cutoff_lift(&a->cut);
}

static void
deliver(struct brf_timer *timer, void *arg)
{
	struct brf_admission *a = arg;
	struct brf_list batch;
	struct brf_admission_ticket *t;

	(void)timer;
	/* take over the list: @refuse may cause further refusals */
	brf_list_append(&a->refusals, &batch);
	brf_list_remove(&a->refusals);
	while (!brf_list_empty(&batch)) {
		t = brf_list_entry(
		    batch.next, struct brf_admission_ticket, link);
		brf_list_remove(&t->link);
		t->state = TICKET_IDLE;
		t->refuse(t, t->reason);
	}
}

static void
check_waiting(
    struct brf_admission *a, struct brf_admission_ticket *t, uint64_t now)
{
	double longest = longest_wait(a, now);

	if (brf_queue_under_share(a->queue, t))
		longest *= WAIT_UNDER_SHARE;
	if (expired(a, t, now))
		refuse_unless_observing(a, t, BRF_R_EXPIRED, now);
	else if (now > add_us(t->since, longest))
		refuse_unless_observing(a, t, overload_reason(a, t), now);
}

static void
tick(struct brf_timer *timer, void *arg)
{
	struct brf_admission *a = arg;
	struct brf_list *l, *tmp, *by_age = brf_queue_by_age(a->queue);
	uint64_t now = now_of(a);

	if (brf_cutoff_advance(&a->cut, now))
		brf_queue_sample(a->queue);
	brf_list_foreach_safe (l, tmp, by_age)
		check_waiting(a,
		    brf_list_entry(l, struct brf_admission_ticket, age), now);
	grant_waiting(a);
	if (brf_queue_count(a->queue) > 0)
		brf_timer_start(a->timers, timer, TICK_US);
}

struct brf_admission *
brf_admission_new(
    struct brf_timers *timers, const struct brf_admission_config *config)
{
	struct brf_admission *a = brf_calloc(1, sizeof(*a));

	a->timers = timers;
	a->config = *config;
	a->queue = brf_queue_new();
	a->tick = (struct brf_timer){ .fire = tick, .arg = a };
	a->deliver = (struct brf_timer){ .fire = deliver, .arg = a };
	a->draining = BRF_R_NONE;
	brf_list_init(&a->refusals);
	brf_limiter_init(
	    &a->limiter, config->slots, config->warmup_us, now_of(a));
	return (a);
}

void
brf_admission_free(struct brf_admission *a)
{
	if (a == NULL)
		return;
	brf_timer_stop(a->timers, &a->tick);
	brf_timer_stop(a->timers, &a->deliver);
	brf_queue_free(a->queue);
	free(a);
}

static void
start_tick(struct brf_admission *a, uint64_t delay)
{
	if (brf_queue_count(a->queue) == 0)
		return;
	if (brf_timer_active(&a->tick) && delay != 0)
		return;
	brf_timer_start(a->timers, &a->tick, delay);
}

static uint32_t
queue_max(const struct brf_admission *a)
{
	return (a->config.observe ? BRF_OBSERVE_QUEUE : a->config.queue);
}

void
brf_admission_configure(
    struct brf_admission *a, const struct brf_admission_config *config)
{
	struct brf_admission_ticket *t;

	a->config = *config;
	brf_limiter_configure(&a->limiter, config->slots, config->warmup_us);
	while (brf_queue_count(a->queue) > queue_max(a)) {
		t = brf_queue_worst(a->queue);
		refuse_waiting(a, t, overload_reason(a, t));
	}
	start_tick(a, 0);
}

void
brf_admission_set_weight(
    struct brf_admission *a, const char *workspace, uint32_t weight)
{
	brf_queue_set_weight(a->queue, workspace, weight);
}

/* Why @t must not take a free slot, or BRF_R_NONE. */
static enum brf_reason
slot_refusal(
    struct brf_admission *a, const struct brf_admission_ticket *t, uint64_t now)
{
	if (t->deadline <= now)
		return (BRF_R_DEADLINE);
	if (!expired(a, t, now))
		return (BRF_R_NONE);
	if (++a->late_refused < LATE_PROBE)
		return (BRF_R_DEADLINE);
	a->late_refused = 0;
	return (BRF_R_NONE);
}

static enum brf_admission_result
refuse_now(struct brf_admission *a, struct brf_admission_ticket *t,
    enum brf_reason reason, enum brf_reason *out)
{
	count_refusal(a, t, reason);
	t->state = TICKET_IDLE;
	*out = reason;
	return (BRF_ADMISSION_REFUSE);
}

static enum brf_admission_result
submit_to_slot(struct brf_admission *a, struct brf_admission_ticket *t,
    uint64_t now, enum brf_reason *out)
{
	enum brf_reason why = slot_refusal(a, t, now);

	if (why != BRF_R_NONE && (!a->config.observe || t->deadline <= now)) {
		brf_rate_limit_give_back(&a->rate);
		return (refuse_now(a, t, why, out));
	}
	if (why != BRF_R_NONE)
		count_would_refuse(a, t, why);
	run(a, t, now);
	return (BRF_ADMISSION_RUN);
}

/* Why @t must not stay in the queue, where it is already, or BRF_R_NONE. */
static enum brf_reason
queue_refusal(
    struct brf_admission *a, const struct brf_admission_ticket *t, uint64_t now)
{
	double need = expected_wait(a, t, now);

	if (t->deadline == UINT64_MAX)
		return (BRF_R_NONE);
	need += brf_estimate_low(&a->service, now);
	return (add_us(now, need) >= t->deadline ? BRF_R_DEADLINE : BRF_R_NONE);
}

/*
 * Shed one ticket when the queue is over its bound.
 *
 * Return: whether that is @t, which is left in the queue for the caller.
 */
static bool
shed_one(struct brf_admission *a, struct brf_admission_ticket *t,
    enum brf_reason *out)
{
	struct brf_admission_ticket *worst;
	enum brf_reason why;

	if (brf_queue_count(a->queue) <= a->config.queue)
		return (false);
	worst = brf_queue_worst(a->queue);
	why = overload_reason(a, worst);
	if (a->config.observe)
		count_would_refuse(a, worst, why);
	if (brf_queue_count(a->queue) <= queue_max(a))
		return (false);
	if (worst != t) {
		refuse_waiting(a, worst, why);
		return (false);
	}
	*out = why;
	return (true);
}

static enum brf_admission_result
submit_to_queue(struct brf_admission *a, struct brf_admission_ticket *t,
    uint64_t now, enum brf_reason *out)
{
	enum brf_reason why;

	brf_queue_push(a->queue, t);
	t->state = TICKET_WAITING;
	why = queue_refusal(a, t, now);
	if (why != BRF_R_NONE && a->config.observe && now < t->deadline) {
		count_would_refuse(a, t, why);
		why = BRF_R_NONE;
	}
	if (why != BRF_R_NONE || shed_one(a, t, &why)) {
		count_for_cutoff(a, t, why);
		brf_queue_remove(a->queue, t);
		return (refuse_now(a, t, why, out));
	}
	start_tick(a, a->in_flight < limit_of(a, now) ? 0 : TICK_US);
	return (BRF_ADMISSION_WAIT);
}

enum brf_admission_result
brf_admission_submit(struct brf_admission *a, struct brf_admission_ticket *t,
    enum brf_reason *reason)
{
	uint64_t now = now_of(a);

	brf_list_init(&t->link);
	brf_list_init(&t->age);
	t->flow = NULL;
	t->noted = false;
	t->since = now;
	if (brf_cutoff_advance(&a->cut, now))
		brf_queue_sample(a->queue);
	a->stats.submitted[brf_queue_class(t)]++;
	if (a->draining != BRF_R_NONE)
		return (refuse_now(a, t, a->draining, reason));
	brf_cutoff_arrival(&a->cut, t->rank);
	if (brf_queue_count(a->queue) == 0 && a->in_flight < limit_of(a, now) &&
	    brf_rate_limit_take(&a->rate, now))
		return (submit_to_slot(a, t, now, reason));
	return (submit_to_queue(a, t, now, reason));
}

bool
brf_admission_withdraw(struct brf_admission *a, struct brf_admission_ticket *t)
{
	switch (t->state) {
	case TICKET_WAITING:
		brf_queue_remove(a->queue, t);
		a->stats.withdrawn++;
		break;
	case TICKET_REFUSED:
		brf_list_remove(&t->link);
		break;
	default:
		return (false);
	}
	t->state = TICKET_IDLE;
	return (true);
}

void
brf_admission_finish(
    struct brf_admission *a, struct brf_admission_ticket *t, bool useful)
{
	uint64_t now = now_of(a), took = now - t->since, inside = took;
	bool saturated =
	    brf_queue_count(a->queue) > 0 && a->in_flight >= limit_of(a, now);

	if (t->state != TICKET_RUNNING)
		return;
	t->state = TICKET_IDLE;
	a->in_flight--;
	if (useful) {
		a->stats.useful_us += took;
		inside -= t->outside_us < took ? t->outside_us : took;
		brf_estimate_add(&a->service, took, now);
		brf_limiter_sample(&a->limiter, inside, saturated, now);
	} else {
		a->stats.wasted_us += took;
	}
	grant_waiting(a);
}

void
brf_admission_set_rate(struct brf_admission *a, double rate)
{
	brf_rate_limit_set(&a->rate, rate, now_of(a));
	start_tick(a, 0);
}

/*
 * Attempts that may run at once, and that have a permit now; at least 1, since
 * senders take 0 for a limit that they don't know.
 */
static uint32_t
usable_limit(const struct brf_admission *a, uint64_t now)
{
	uint32_t limit = limit_of(a, now);
	uint32_t usable = a->in_flight != 0 ? a->in_flight : 1;

	if (brf_rate_limit_wait_us(&a->rate, 1, now) == 0)
		return (limit);
	return (usable < limit ? usable : limit);
}

void
brf_admission_drain(struct brf_admission *a, enum brf_reason reason)
{
	struct brf_admission_ticket *t;

	a->draining = reason;
	if (reason == BRF_R_NONE)
		return;
	while ((t = brf_queue_next(a->queue)) != NULL)
		refuse_waiting(a, t, reason);
}

void
brf_admission_level(const struct brf_admission *a, struct brf_level *level)
{
	uint64_t now = now_of(a);

	level->cut =
	    a->config.observe ? BRF_RANK_END : brf_cutoff_get(&a->cut, now);
	level->in_flight = a->in_flight;
	level->waiting = brf_queue_count(a->queue);
	level->limit = usable_limit(a, now);
}

const struct brf_admission_stats *
brf_admission_stats(const struct brf_admission *a)
{
	return (&a->stats);
}

/*
 * The time to serve the waiting tickets, times the overload: other callers were
 * told to retry at that time as well.
 */
uint32_t
brf_admission_retry_after_ms(const struct brf_admission *a)
{
	uint64_t now = now_of(a);
	uint32_t limit = limit_of(a, now);
	double ms = brf_estimate_mean(&a->service, now) / BRF_US_PER_MS;
	double permit_ms;

	if (a->draining != BRF_R_NONE || limit == 0)
		return (RETRY_AFTER_DRAINING_MS);
	ms *= (double)brf_queue_count(a->queue) / limit;
	permit_ms = (double)brf_rate_limit_wait_us(
			&a->rate, brf_queue_count(a->queue) + 1.0, now) /
		    BRF_US_PER_MS;
	if (ms < permit_ms)
		ms = permit_ms;
	if (a->cut.ratio > 1)
		ms *= a->cut.ratio;
	if (ms < RETRY_AFTER_MIN_MS)
		ms = RETRY_AFTER_MIN_MS;
	if (ms > RETRY_AFTER_MAX_MS)
		ms = RETRY_AFTER_MAX_MS;
	return ((uint32_t)ms);
}
