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

struct brf_slot_queues *
brf_slot_queues_new(struct brf_timers *timers)
{
	struct brf_slot_queues *queues = brf_calloc(1, sizeof(*queues));
	size_t i;

	queues->timers = timers;
	for (i = 0; i < QUEUES; i++)
		brf_list_init(&queues->queues[i]);
	return (queues);
}

void
brf_slot_queues_free(struct brf_slot_queues *queues)
{
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

/* @grant may submit or finish tickets; the outermost call grants the rest. */
static void
grant_waiting(struct brf_slot_queues *queues)
{
	struct brf_slot_ticket *t;

	if (queues->granting)
		return;
	queues->granting = true;
	while (queues->running < queues->limit &&
	       (t = next_waiting(queues)) != NULL) {
		stop_waiting(t);
		run(t);
		t->grant(t);
	}
	queues->granting = false;
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
	t->refuse(t, BRF_R_EXPIRED);
}

/* Expected wait of a ticket added to @queue now, microseconds. */
static double
expected_wait(const struct brf_slot_queues *queues, size_t queue)
{
	double ahead = 1;
	size_t i;

	for (i = 0; i <= queue; i++)
		ahead += queues->counts[i];
	return (queues->limit != 0 ? ahead * queues->service_us / queues->limit
				   : 0);
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
	if (queues->running >= queues->limit || queues->waiting != 0)
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
