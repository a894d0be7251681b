#include <math.h>
#include <stdlib.h>

#include "policy/slot_queues.h"

#define SERVICE_STEP 0.05 /* weight of one sample in the average */
#define QUEUES (2 * BRF_SLOT_RANKS)

/**
 * struct brf_slot_queues - see slot_queues.h.
 * @queues: waiting tickets by queue_of(), each queue in order of arrival; the
 *	queue with the lowest index is served first
 * @counts: length of each queue
 * @limit: tickets that may run at once
 * @service_us: exponentially weighted moving average of the time at the target
 * @granting: grant_waiting() is on the stack
 * @rate: rate limit of the target
 * @permit_timer: fires when the next waiting ticket has its permit
 */
struct brf_slot_queues {
	struct brf_timers *timers;
	struct brf_list queues[QUEUES];
	uint32_t counts[QUEUES];
	uint32_t waiting;
	uint32_t running;
	uint32_t limit;
	double service_us;
	bool granting;
	struct brf_rate_limit rate;
	struct brf_timer permit_timer;
};

static uint64_t
now_of(const struct brf_slot_queues *queues)
{
	return (brf_now(brf_timers_clock(queues->timers)));
}

static size_t
queue_of(const struct brf_slot_ticket *t)
{
	uint32_t rank = t->rank < BRF_SLOT_RANKS ? t->rank : BRF_SLOT_RANKS - 1;

	return (2 * rank + (t->nested ? 0 : 1));
}

static void permit_due(struct brf_timer *timer, void *arg);

struct brf_slot_queues *
brf_slot_queues_new(struct brf_timers *timers)
{
	struct brf_slot_queues *queues = brf_calloc(1, sizeof(*queues));
	size_t i;

	queues->timers = timers;
	queues->permit_timer.fire = permit_due;
	queues->permit_timer.arg = queues;
	for (i = 0; i < QUEUES; i++)
		brf_list_init(&queues->queues[i]);
	return (queues);
}

void
brf_slot_queues_free(struct brf_slot_queues *queues)
{
	brf_timer_stop(queues->timers, &queues->permit_timer);
	free(queues);
}

static void
stop_waiting(struct brf_slot_ticket *t)
{
	struct brf_slot_queues *queues = t->queues;

	brf_list_remove(&t->link);
	brf_timer_stop(queues->timers, &t->timer);
	queues->counts[queue_of(t)]--;
	queues->waiting--;
	t->state = BRF_SLOT_IDLE;
}

static void
run(struct brf_slot_ticket *t)
{
	struct brf_slot_queues *queues = t->queues;

	t->state = BRF_SLOT_RUNNING;
	t->waited_us = now_of(queues) - t->submitted_at;
	queues->running++;
}

static struct brf_slot_ticket *
next_waiting(const struct brf_slot_queues *queues)
{
	size_t i;

	for (i = 0; i < QUEUES; i++) {
		if (!brf_list_empty(&queues->queues[i]))
			return (brf_list_entry(queues->queues[i].next,
			    struct brf_slot_ticket, link));
	}
	return (NULL);
}

/* Start the timer for the next permit, if a ticket waits for nothing else. */
static void
await_permit(struct brf_slot_queues *queues)
{
	if (queues->rate.rate == 0 || queues->waiting == 0 ||
	    queues->running >= queues->limit)
		brf_timer_stop(queues->timers, &queues->permit_timer);
	else
		brf_timer_start(queues->timers, &queues->permit_timer,
		    brf_rate_limit_wait_us(&queues->rate, 1, now_of(queues)));
}

/* @grant may submit or finish tickets; the outermost call grants the rest. */
static void
grant_waiting(struct brf_slot_queues *queues)
{
	struct brf_slot_ticket *t;

	if (queues->granting)
		return;
	queues->granting = true;
	while (queues->running < queues->limit &&
	       (t = next_waiting(queues)) != NULL &&
	       brf_rate_limit_take(&queues->rate, now_of(queues))) {
		stop_waiting(t);
		run(t);
		t->grant(t);
	}
	queues->granting = false;
	await_permit(queues);
}

static void
permit_due(struct brf_timer *timer, void *arg)
{
	(void)timer;
	grant_waiting(arg);
}

void
brf_slot_queues_set_rate(struct brf_slot_queues *queues, double rate)
{
	brf_rate_limit_set(&queues->rate, rate, now_of(queues));
	grant_waiting(queues);
}

static uint32_t
limit_for(uint32_t slots)
{
	uint32_t limit = (uint32_t)floor(slots * BRF_SLOT_SHARE);

	return (limit != 0 || slots == 0 ? limit : 1);
}

void
brf_slot_queues_set_slots(struct brf_slot_queues *queues, uint32_t slots)
{
	queues->limit = limit_for(slots);
	grant_waiting(queues);
}

static void
max_wait_over(struct brf_timer *timer, void *arg)
{
	struct brf_slot_ticket *t = arg;

	(void)timer;
	stop_waiting(t);
	t->refuse(t, t->rate_limited ? BRF_R_RATE_LIMIT : BRF_R_EXPIRED);
}

/* A ticket added to @queue now, and those that are served before it. */
static double
turns(const struct brf_slot_queues *queues, size_t queue)
{
	double ahead = 1;
	size_t i;

	for (i = 0; i <= queue; i++)
		ahead += queues->counts[i];
	return (ahead);
}

/* Expected wait of a ticket added to @queue now for a slot, microseconds. */
static double
slot_wait(const struct brf_slot_queues *queues, size_t queue)
{
	return (queues->limit != 0
		    ? turns(queues, queue) * queues->service_us / queues->limit
		    : 0);
}

/* Its expected wait for a permit, microseconds. */
static double
permit_wait(const struct brf_slot_queues *queues, size_t queue)
{
	return ((double)brf_rate_limit_wait_us(
	    &queues->rate, turns(queues, queue), now_of(queues)));
}

static double
expected_wait(const struct brf_slot_queues *queues, size_t queue)
{
	double slot = slot_wait(queues, queue);
	double permit = permit_wait(queues, queue);

	return (slot > permit ? slot : permit);
}

/* Longest wait that @t allows and that leaves time to meet its deadline. */
static uint64_t
max_wait(const struct brf_slot_queues *queues, const struct brf_slot_ticket *t)
{
	uint64_t now = now_of(queues), need = (uint64_t)queues->service_us;
	uint64_t left = t->deadline > now ? t->deadline - now : 0;

	left = left > need ? left - need : 0;
	return (left < t->max_wait_us ? left : t->max_wait_us);
}

static enum brf_slot_result
wait_for_slot(struct brf_slot_queues *queues, struct brf_slot_ticket *t)
{
	size_t queue = queue_of(t);
	uint64_t longest = max_wait(queues, t);

	t->rate_limited = permit_wait(queues, queue) > slot_wait(queues, queue);
	if (queues->limit == 0 || queues->waiting >= BRF_SLOT_WAITING_MAX ||
	    expected_wait(queues, queue) > (double)longest)
		return (BRF_SLOT_REFUSE);
	t->state = BRF_SLOT_WAITING;
	t->timer.fire = max_wait_over;
	t->timer.arg = t;
	brf_list_append(&queues->queues[queue], &t->link);
	queues->counts[queue]++;
	queues->waiting++;
	brf_timer_start(queues->timers, &t->timer, longest);
	await_permit(queues);
	return (BRF_SLOT_WAIT);
}

enum brf_slot_result
brf_slot_queues_submit(
    struct brf_slot_queues *queues, struct brf_slot_ticket *t)
{
	brf_list_init(&t->link);
	t->queues = queues;
	t->state = BRF_SLOT_IDLE;
	t->submitted_at = now_of(queues);
	t->rate_limited = false;
	if (queues->running >= queues->limit || queues->waiting != 0 ||
	    !brf_rate_limit_take(&queues->rate, t->submitted_at))
		return (wait_for_slot(queues, t));
	run(t);
	return (BRF_SLOT_RUN);
}

bool
brf_slot_queues_withdraw(struct brf_slot_ticket *t)
{
	if (t->state != BRF_SLOT_WAITING)
		return (false);
	stop_waiting(t);
	return (true);
}

void
brf_slot_queues_finish(struct brf_slot_ticket *t, uint64_t took_us)
{
	struct brf_slot_queues *queues = t->queues;

	if (t->state != BRF_SLOT_RUNNING)
		return;
	t->state = BRF_SLOT_IDLE;
	queues->running--;
	if (took_us != 0 && queues->service_us == 0)
		queues->service_us = (double)took_us;
	else if (took_us != 0)
		queues->service_us +=
		    SERVICE_STEP * ((double)took_us - queues->service_us);
	grant_waiting(queues);
}

void
brf_slot_queues_drain(struct brf_slot_queues *queues, enum brf_reason reason)
{
	struct brf_slot_ticket *t;

	while ((t = next_waiting(queues)) != NULL) {
		stop_waiting(t);
		t->refuse(t, reason);
	}
}

uint32_t
brf_slot_queues_limit(const struct brf_slot_queues *queues)
{
	return (queues->limit);
}

uint32_t
brf_slot_queues_running(const struct brf_slot_queues *queues)
{
	return (queues->running);
}

uint32_t
brf_slot_queues_waiting(const struct brf_slot_queues *queues)
{
	return (queues->waiting);
}

uint64_t
brf_slot_queues_service_us(const struct brf_slot_queues *queues)
{
	return ((uint64_t)queues->service_us);
}

uint64_t
brf_slot_queues_backlog_us(const struct brf_slot_queues *queues)
{
	return ((uint64_t)expected_wait(queues, QUEUES - 1));
}

uint64_t
brf_slot_queues_permit_wait_us(const struct brf_slot_queues *queues)
{
	return ((uint64_t)permit_wait(queues, QUEUES - 1));
}

uint64_t
brf_slot_queues_promise_us(struct brf_slot_queues *queues)
{
	return (brf_rate_limit_promise_us(
	    &queues->rate, queues->waiting, now_of(queues)));
}
