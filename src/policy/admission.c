#include <stdlib.h>

#include <xxhash.h>

#include "policy/admission.h"
#include "policy/cut.h"
#include "policy/estimate.h"
#include "policy/limiter.h"
#include "policy/queue.h"

/* Time between looks at what waits. */
#define TICK_US (5 * BRF_US_PER_MS)

/* Longest wait: this, or so many mean service times when that is longer. */
#define WAIT_MAX_US (120 * BRF_US_PER_MS)
#define WAIT_MAX_SERVICES 1
/* Likewise as a factor, for a workspace whose turn comes. */
#define WAIT_UNDER_SHARE 4

/* With a free slot, one in so many runs that is expected to end too late. */
#define LATE_PROBE 8u

#define RETRY_AFTER_MIN_MS 20.0
#define RETRY_AFTER_MAX_MS 10000.0
#define RETRY_AFTER_DRAINING_MS 1000u

enum ticket_state {
	TICKET_IDLE,
	TICKET_WAITING,
	TICKET_DOOMED, /* refused, its callback is still to come */
	TICKET_RUNNING
};

struct brf_admission {
	struct brf_timers *timers;
	struct brf_admission_config config;
	struct brf_limiter limiter;
	struct brf_estimate service;
	struct brf_cut cut;
	struct brf_queue *queue;
	struct brf_list doomed;
	struct brf_timer tick;
	struct brf_timer deliver;
	uint32_t in_flight;
	uint32_t late;
	bool pumping;
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

static uint64_t
later(uint64_t now, double us)
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

/* Time until @t would be granted, at most, microseconds. */
static double
expected_wait(
    const struct brf_admission *a, const struct brf_ticket *t, uint64_t now)
{
	uint32_t limit = limit_of(a, now);
	double turns = brf_queue_ahead(a->queue, t) + 1.0;

	if (limit == 0)
		return (0);
	return (turns * brf_estimate_mean(&a->service, now) / limit);
}

static double
longest_wait(const struct brf_admission *a, uint64_t now)
{
	double services =
	    WAIT_MAX_SERVICES * brf_estimate_mean(&a->service, now);

	return (services > WAIT_MAX_US ? services : WAIT_MAX_US);
}

static void
count_refusal(
    struct brf_admission *a, struct brf_ticket *t, enum brf_reason reason)
{
	a->stats.refused[brf_ticket_class(t)]++;
	a->stats.reasons[reason]++;
}

/* Tell the cut of @t, which waits and is refused for lack of capacity. */
static void
count_pressure(
    struct brf_admission *a, struct brf_ticket *t, enum brf_reason reason)
{
	if (a->draining != BRF_R_NONE)
		return;
	if (reason == BRF_R_WORKSPACE_SHARE || brf_queue_over_share(a->queue, t))
		brf_cut_discount(&a->cut, t->rank);
	else
		brf_cut_shed(&a->cut, t->rank);
}

static void
note_refusal(
    struct brf_admission *a, struct brf_ticket *t, enum brf_reason reason)
{
	if (!t->noted)
		a->stats.would_refuse[reason]++;
	t->noted = true;
}

/* The callback comes from a timer, so that no caller is entered again. */
static void
doom(struct brf_admission *a, struct brf_ticket *t, enum brf_reason reason)
{
	count_pressure(a, t, reason);
	brf_queue_remove(a->queue, t);
	count_refusal(a, t, reason);
	t->state = TICKET_DOOMED;
	t->reason = reason;
	brf_list_append(&a->doomed, &t->link);
	if (!brf_timer_active(&a->deliver))
		brf_timer_start(a->timers, &a->deliver, 0);
}

static enum brf_reason
overload_reason(const struct brf_admission *a, const struct brf_ticket *t)
{
	if (brf_queue_over_share(a->queue, t))
		return (BRF_R_WORKSPACE_SHARE);
	return (BRF_R_OVERLOAD);
}

/* Refuse @t, or only count it in observe mode while its time is not up. */
static bool
doom_unless_observing(struct brf_admission *a, struct brf_ticket *t,
    enum brf_reason reason, uint64_t now)
{
	if (a->config.observe && now < t->deadline) {
		note_refusal(a, t, reason);
		return (false);
	}
	doom(a, t, reason);
	return (true);
}

/* Whether @t can't be served in time any more. */
static bool
expired(const struct brf_admission *a, const struct brf_ticket *t, uint64_t now)
{
	double need = brf_estimate_low(&a->service, now);

	return (later(now, need) >= t->deadline && t->deadline != UINT64_MAX);
}

static void
run(struct brf_admission *a, struct brf_ticket *t, uint64_t now)
{
	t->state = TICKET_RUNNING;
	t->since = now;
	t->outside_us = 0;
	a->in_flight++;
	a->stats.granted[brf_ticket_class(t)]++;
	brf_cut_served(&a->cut);
}

static void
grant_next(struct brf_admission *a, uint64_t now)
{
	struct brf_ticket *t = brf_queue_next(a->queue);

	if (expired(a, t, now) &&
	    doom_unless_observing(a, t, BRF_R_EXPIRED, now))
		return;
	brf_queue_take(a->queue, t);
	run(a, t, now);
	t->grant(t);
}

/* Callbacks may finish and submit; the outer call goes on with the rest. */
static void
pump(struct brf_admission *a)
{
	uint64_t now = now_of(a);

	if (a->pumping)
		return;
	a->pumping = true;
	while (a->in_flight < limit_of(a, now) && brf_queue_count(a->queue) > 0)
		grant_next(a, now);
	a->pumping = false;
	if (a->in_flight < limit_of(a, now))
		brf_cut_slack(&a->cut);
}

static void
deliver(struct brf_timer *timer, void *arg)
{
	struct brf_admission *a = arg;
	struct brf_list batch;
	struct brf_ticket *t;

	(void)timer;
	brf_list_append(&a->doomed, &batch);
	brf_list_remove(&a->doomed);
	while (!brf_list_empty(&batch)) {
		t = brf_list_entry(batch.next, struct brf_ticket, link);
		brf_list_remove(&t->link);
		t->state = TICKET_IDLE;
		t->refuse(t, t->reason);
	}
}

static void
review(struct brf_admission *a, struct brf_ticket *t, uint64_t now)
{
	double longest = longest_wait(a, now);

	if (brf_queue_under_share(a->queue, t))
		longest *= WAIT_UNDER_SHARE;
	if (expired(a, t, now))
		doom_unless_observing(a, t, BRF_R_EXPIRED, now);
	else if (now > later(t->since, longest))
		doom_unless_observing(a, t, overload_reason(a, t), now);
}

static void
tick(struct brf_timer *timer, void *arg)
{
	struct brf_admission *a = arg;
	struct brf_list *l, *tmp, *ages = brf_queue_ages(a->queue);
	uint64_t now = now_of(a);

	if (brf_cut_turn(&a->cut, now))
		brf_queue_sample(a->queue);
	brf_list_foreach_safe (l, tmp, ages)
		review(a, brf_list_entry(l, struct brf_ticket, age), now);
	pump(a);
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
	brf_list_init(&a->doomed);
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
watch_queue(struct brf_admission *a, uint64_t delay)
{
	if (brf_queue_count(a->queue) == 0)
		return;
	if (brf_timer_active(&a->tick) && delay != 0)
		return;
	brf_timer_start(a->timers, &a->tick, delay);
}

static uint32_t
queue_bound(const struct brf_admission *a)
{
	return (a->config.observe ? BRF_OBSERVE_QUEUE : a->config.queue);
}

void
brf_admission_configure(
    struct brf_admission *a, const struct brf_admission_config *config)
{
	struct brf_ticket *t;

	a->config = *config;
	brf_limiter_configure(&a->limiter, config->slots, config->warmup_us);
	while (brf_queue_count(a->queue) > queue_bound(a)) {
		t = brf_queue_worst(a->queue);
		doom(a, t, overload_reason(a, t));
	}
	watch_queue(a, 0);
}

void
brf_admission_set_weight(
    struct brf_admission *a, const char *workspace, uint32_t weight)
{
	brf_queue_set_weight(a->queue, workspace, weight);
}

/* Why @t can't run though a slot is free, or BRF_R_NONE. */
static enum brf_reason
objection(struct brf_admission *a, const struct brf_ticket *t, uint64_t now)
{
	if (t->deadline <= now)
		return (BRF_R_DEADLINE);
	if (!expired(a, t, now))
		return (BRF_R_NONE);
	if (++a->late < LATE_PROBE)
		return (BRF_R_DEADLINE);
	a->late = 0;
	return (BRF_R_NONE);
}

static enum brf_admission_result
refuse_now(struct brf_admission *a, struct brf_ticket *t,
    enum brf_reason reason, enum brf_reason *out)
{
	count_refusal(a, t, reason);
	t->state = TICKET_IDLE;
	*out = reason;
	return (BRF_ADMISSION_REFUSE);
}

static enum brf_admission_result
submit_to_slot(struct brf_admission *a, struct brf_ticket *t, uint64_t now,
    enum brf_reason *out)
{
	enum brf_reason why = objection(a, t, now);

	if (why != BRF_R_NONE && (!a->config.observe || t->deadline <= now))
		return (refuse_now(a, t, why, out));
	if (why != BRF_R_NONE)
		note_refusal(a, t, why);
	run(a, t, now);
	return (BRF_ADMISSION_RUN);
}

/* Why @t, which is in the queue now, shall not stay there, or BRF_R_NONE. */
static enum brf_reason
unfit_to_wait(struct brf_admission *a, const struct brf_ticket *t, uint64_t now)
{
	double need = expected_wait(a, t, now);

	if (t->deadline == UINT64_MAX)
		return (BRF_R_NONE);
	need += brf_estimate_low(&a->service, now);
	return (later(now, need) >= t->deadline ? BRF_R_DEADLINE : BRF_R_NONE);
}

/* Shed one when the queue is over its bound; true when it was @t itself. */
static bool
shed_one(struct brf_admission *a, struct brf_ticket *t, enum brf_reason *out)
{
	struct brf_ticket *worst;
	enum brf_reason why;

	if (brf_queue_count(a->queue) <= a->config.queue)
		return (false);
	worst = brf_queue_worst(a->queue);
	why = overload_reason(a, worst);
	if (a->config.observe)
		note_refusal(a, worst, why);
	if (brf_queue_count(a->queue) <= queue_bound(a))
		return (false);
	if (worst != t) {
		doom(a, worst, why);
		return (false);
	}
	*out = why;
	return (true);
}

static enum brf_admission_result
submit_to_queue(struct brf_admission *a, struct brf_ticket *t, uint64_t now,
    enum brf_reason *out)
{
	enum brf_reason why;

	brf_queue_push(a->queue, t);
	t->state = TICKET_WAITING;
	why = unfit_to_wait(a, t, now);
	if (why != BRF_R_NONE && a->config.observe && now < t->deadline) {
		note_refusal(a, t, why);
		why = BRF_R_NONE;
	}
	if (why != BRF_R_NONE || shed_one(a, t, &why)) {
		count_pressure(a, t, why);
		brf_queue_remove(a->queue, t);
		return (refuse_now(a, t, why, out));
	}
	watch_queue(a, a->in_flight < limit_of(a, now) ? 0 : TICK_US);
	return (BRF_ADMISSION_WAIT);
}

enum brf_admission_result
brf_admission_submit(
    struct brf_admission *a, struct brf_ticket *t, enum brf_reason *reason)
{
	uint64_t now = now_of(a);

	brf_list_init(&t->link);
	brf_list_init(&t->age);
	t->flow = NULL;
	t->noted = false;
	t->since = now;
	if (brf_cut_turn(&a->cut, now))
		brf_queue_sample(a->queue);
	a->stats.submitted[brf_ticket_class(t)]++;
	if (a->draining != BRF_R_NONE)
		return (refuse_now(a, t, a->draining, reason));
	brf_cut_arrival(&a->cut, t->rank);
	if (brf_queue_count(a->queue) == 0 && a->in_flight < limit_of(a, now))
		return (submit_to_slot(a, t, now, reason));
	return (submit_to_queue(a, t, now, reason));
}

bool
brf_admission_withdraw(struct brf_admission *a, struct brf_ticket *t)
{
	switch (t->state) {
	case TICKET_WAITING:
		brf_queue_remove(a->queue, t);
		a->stats.withdrawn++;
		break;
	case TICKET_DOOMED:
		brf_list_remove(&t->link);
		break;
	default:
		return (false);
	}
	t->state = TICKET_IDLE;
	return (true);
}

void
brf_admission_finish(struct brf_admission *a, struct brf_ticket *t, bool useful)
{
	uint64_t now = now_of(a), took = now - t->since, inside = took;
	bool saturated = brf_queue_count(a->queue) > 0;

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
	pump(a);
}

void
brf_admission_drain(struct brf_admission *a, enum brf_reason reason)
{
	struct brf_ticket *t;

	a->draining = reason;
	if (reason == BRF_R_NONE)
		return;
	while ((t = brf_queue_next(a->queue)) != NULL)
		doom(a, t, reason);
}

void
brf_admission_level(const struct brf_admission *a, struct brf_level *level)
{
	uint64_t now = now_of(a);

	level->cut =
	    a->config.observe ? BRF_RANK_END : brf_cut_get(&a->cut, now);
	level->in_flight = a->in_flight;
	level->waiting = brf_queue_count(a->queue);
	level->limit = limit_of(a, now);
}

const struct brf_admission_stats *
brf_admission_stats(const struct brf_admission *a)
{
	return (&a->stats);
}

/* What waits must be served first, and others were told to come then too. */
uint32_t
brf_admission_retry_after_ms(const struct brf_admission *a)
{
	uint64_t now = now_of(a);
	uint32_t limit = limit_of(a, now);
	double ms = brf_estimate_mean(&a->service, now) / BRF_US_PER_MS;

	if (a->draining != BRF_R_NONE || limit == 0)
		return (RETRY_AFTER_DRAINING_MS);
	ms *= (double)brf_queue_count(a->queue) / limit;
	if (a->cut.ratio > 1)
		ms *= a->cut.ratio;
	if (ms < RETRY_AFTER_MIN_MS)
		ms = RETRY_AFTER_MIN_MS;
	if (ms > RETRY_AFTER_MAX_MS)
		ms = RETRY_AFTER_MAX_MS;
	return ((uint32_t)ms);
}
