#include <math.h>
#include <stdlib.h>

#include "policy/slot_queues.h"

#define SERVICE_STEP 0.05 /* weight of one run in the usual time */
#define LANES (2 * BRF_SLOT_RANKS)

/**
 * struct brf_slot_queues - see queues.h.
 * @queues: waiting tickets in order of arrival; a lower lane goes first
 */
struct brf_slot_queues {
	struct brf_timers *timers;
	struct brf_list queues[LANES];
	uint32_t counts[LANES];
	uint32_t waiting;
	uint32_t running;
	uint32_t limit;
	double service_us;
	bool pumping;
};

static uint64_t
now_of(const struct brf_slot_queues *queues)
{
	return (brf_now(brf_timers_clock(queues->timers)));
}

static size_t
lane_of(const struct brf_slot_ticket *t)
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
	for (i = 0; i < LANES; i++)
		brf_list_init(&queues->queues[i]);
	return (queues);
}

void
brf_slot_queues_free(struct brf_slot_queues *queues)
{
	free(queues);
}

static void
leave(struct brf_slot_ticket *t)
{
	struct brf_slot_queues *queues = t->queues;

	brf_list_remove(&t->link);
	brf_timer_stop(queues->timers, &t->timer);
	queues->counts[lane_of(t)]--;
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
first(const struct brf_slot_queues *queues)
{
	size_t i;

	for (i = 0; i < LANES; i++) {
		if (!brf_list_empty(&queues->queues[i]))
			return (brf_list_entry(queues->queues[i].next,
			    struct brf_slot_ticket, link));
	}
	return (NULL);
}

/* Callbacks may submit and finish; the outer call goes on with the rest. */
static void
pump(struct brf_slot_queues *queues)
{
	struct brf_slot_ticket *t;

	if (queues->pumping)
		return;
	queues->pumping = true;
	while (queues->running < queues->limit && (t = first(queues)) != NULL) {
		leave(t);
		run(t);
		t->grant(t);
	}
	queues->pumping = false;
}

static uint32_t
share_of(uint32_t slots)
{
	uint32_t limit = (uint32_t)floor(slots * BRF_SLOT_SHARE);

	return (limit != 0 || slots == 0 ? limit : 1);
}

void
brf_slot_queues_set_slots(struct brf_slot_queues *queues, uint32_t slots)
{
	queues->limit = share_of(slots);
	pump(queues);
}

static void
patience_over(struct brf_timer *timer, void *arg)
{
	struct brf_slot_ticket *t = arg;

	(void)timer;
	leave(t);
	t->refuse(t, BRF_R_EXPIRED);
}

/* Time until a ticket of this lane that comes now would be granted. */
static double
wait_of(const struct brf_slot_queues *queues, size_t lane)
{
	double ahead = 1;
	size_t i;

	for (i = 0; i <= lane; i++)
		ahead += queues->counts[i];
	return (
	    queues->limit != 0 ? ahead * queues->service_us / queues->limit : 0);
}

/* How long it can wait and still be served before its deadline. */
static uint64_t
patience_of(const struct brf_slot_queues *queues, const struct brf_slot_ticket *t)
{
	uint64_t now = now_of(queues), need = (uint64_t)queues->service_us;
	uint64_t left = t->deadline > now ? t->deadline - now : 0;

	left = left > need ? left - need : 0;
	return (left < t->patience_us ? left : t->patience_us);
}

static enum brf_slot_result
wait_for_slot(struct brf_slot_queues *queues, struct brf_slot_ticket *t)
{
	size_t lane = lane_of(t);
	uint64_t patience = patience_of(queues, t);

	if (queues->limit == 0 || queues->waiting >= BRF_SLOT_WAITING_MAX ||
	    wait_of(queues, lane) > (double)patience)
		return (BRF_SLOT_REFUSE);
	t->state = BRF_SLOT_WAITING;
	t->timer.fire = patience_over;
	t->timer.arg = t;
	brf_list_append(&queues->queues[lane], &t->link);
	queues->counts[lane]++;
	queues->waiting++;
	brf_timer_start(queues->timers, &t->timer, patience);
	return (BRF_SLOT_WAIT);
}

enum brf_slot_result
brf_slot_queues_submit(struct brf_slot_queues *queues, struct brf_slot_ticket *t)
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
	leave(t);
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
	pump(queues);
}

void
brf_slot_queues_drain(struct brf_slot_queues *queues, enum brf_reason reason)
{
	struct brf_slot_ticket *t;

	while ((t = first(queues)) != NULL) {
		leave(t);
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
	return ((uint64_t)wait_of(queues, LANES - 1));
}
