#include <math.h>
#include <stdlib.h>

#include "policy/lanes.h"

#define SERVICE_STEP 0.05 /* weight of one run in the usual time */
#define LANES (2 * BRF_LANE_RANKS)

/**
 * struct brf_lanes - see lanes.h.
 * @lanes: waiting tickets in order of arrival; a lower lane goes first
 */
struct brf_lanes {
	struct brf_timers *timers;
	struct brf_list lanes[LANES];
	uint32_t counts[LANES];
	uint32_t waiting;
	uint32_t running;
	uint32_t limit;
	double service_us;
	bool pumping;
};

static uint64_t
now_of(const struct brf_lanes *lanes)
{
	return (brf_now(brf_timers_clock(lanes->timers)));
}

static size_t
lane_of(const struct brf_lane_ticket *t)
{
	uint32_t rank = t->rank < BRF_LANE_RANKS ? t->rank : BRF_LANE_RANKS - 1;

	return (2 * rank + (t->nested ? 0 : 1));
}

struct brf_lanes *
brf_lanes_new(struct brf_timers *timers)
{
	struct brf_lanes *lanes = brf_calloc(1, sizeof(*lanes));
	size_t i;

	lanes->timers = timers;
	for (i = 0; i < LANES; i++)
		brf_list_init(&lanes->lanes[i]);
	return (lanes);
}

void
brf_lanes_free(struct brf_lanes *lanes)
{
	free(lanes);
}

static void
leave(struct brf_lane_ticket *t)
{
	struct brf_lanes *lanes = t->lanes;

	brf_list_remove(&t->link);
	brf_timer_stop(lanes->timers, &t->timer);
	lanes->counts[lane_of(t)]--;
	lanes->waiting--;
	t->state = BRF_LANE_IDLE;
}

static void
run(struct brf_lane_ticket *t)
{
	struct brf_lanes *lanes = t->lanes;

	t->state = BRF_LANE_RUNNING;
	t->waited_us = now_of(lanes) - t->entered;
	lanes->running++;
}

static struct brf_lane_ticket *
first(const struct brf_lanes *lanes)
{
	size_t i;

	for (i = 0; i < LANES; i++) {
		if (!brf_list_empty(&lanes->lanes[i]))
			return (brf_list_entry(lanes->lanes[i].next,
			    struct brf_lane_ticket, link));
	}
	return (NULL);
}

/* Callbacks may submit and finish; the outer call goes on with the rest. */
static void
pump(struct brf_lanes *lanes)
{
	struct brf_lane_ticket *t;

	if (lanes->pumping)
		return;
	lanes->pumping = true;
	while (lanes->running < lanes->limit && (t = first(lanes)) != NULL) {
		leave(t);
		run(t);
		t->grant(t);
	}
	lanes->pumping = false;
}

static uint32_t
share_of(uint32_t slots)
{
	uint32_t limit = (uint32_t)floor(slots * BRF_LANES_SHARE);

	return (limit != 0 || slots == 0 ? limit : 1);
}

void
brf_lanes_set_slots(struct brf_lanes *lanes, uint32_t slots)
{
	lanes->limit = share_of(slots);
	pump(lanes);
}

static void
patience_over(struct brf_timer *timer, void *arg)
{
	struct brf_lane_ticket *t = arg;

	(void)timer;
	leave(t);
	t->refuse(t, BRF_R_EXPIRED);
}

/* Time until a ticket of this lane that comes now would be granted. */
static double
wait_of(const struct brf_lanes *lanes, size_t lane)
{
	double ahead = 1;
	size_t i;

	for (i = 0; i <= lane; i++)
		ahead += lanes->counts[i];
	return (
	    lanes->limit != 0 ? ahead * lanes->service_us / lanes->limit : 0);
}

/* How long it can wait and still be served before its deadline. */
static uint64_t
patience_of(const struct brf_lanes *lanes, const struct brf_lane_ticket *t)
{
	uint64_t now = now_of(lanes), need = (uint64_t)lanes->service_us;
	uint64_t left = t->deadline > now ? t->deadline - now : 0;

	left = left > need ? left - need : 0;
	return (left < t->max_wait_us ? left : t->max_wait_us);
}

static enum brf_lanes_result
wait_for_slot(struct brf_lanes *lanes, struct brf_lane_ticket *t)
{
	size_t lane = lane_of(t);
	uint64_t patience = patience_of(lanes, t);

	if (lanes->limit == 0 || lanes->waiting >= BRF_LANES_WAITING ||
	    wait_of(lanes, lane) > (double)patience)
		return (BRF_LANES_REFUSE);
	t->state = BRF_LANE_WAITING;
	t->timer.fire = patience_over;
	t->timer.arg = t;
	brf_list_append(&lanes->lanes[lane], &t->link);
	lanes->counts[lane]++;
	lanes->waiting++;
	brf_timer_start(lanes->timers, &t->timer, patience);
	return (BRF_LANES_WAIT);
}

enum brf_lanes_result
brf_lanes_submit(struct brf_lanes *lanes, struct brf_lane_ticket *t)
{
	brf_list_init(&t->link);
	t->lanes = lanes;
	t->state = BRF_LANE_IDLE;
	t->entered = now_of(lanes);
	if (lanes->running >= lanes->limit || lanes->waiting != 0)
		return (wait_for_slot(lanes, t));
	run(t);
	return (BRF_LANES_RUN);
}

bool
brf_lanes_withdraw(struct brf_lane_ticket *t)
{
	if (t->state != BRF_LANE_WAITING)
		return (false);
	leave(t);
	return (true);
}

void
brf_lanes_finish(struct brf_lane_ticket *t, uint64_t took_us)
{
	struct brf_lanes *lanes = t->lanes;

	if (t->state != BRF_LANE_RUNNING)
		return;
	t->state = BRF_LANE_IDLE;
	lanes->running--;
	if (took_us != 0 && lanes->service_us == 0)
		lanes->service_us = (double)took_us;
	else if (took_us != 0)
		lanes->service_us +=
		    SERVICE_STEP * ((double)took_us - lanes->service_us);
	pump(lanes);
}

void
brf_lanes_drain(struct brf_lanes *lanes, enum brf_reason reason)
{
	struct brf_lane_ticket *t;

	while ((t = first(lanes)) != NULL) {
		leave(t);
		t->refuse(t, reason);
	}
}

uint32_t
brf_lanes_limit(const struct brf_lanes *lanes)
{
	return (lanes->limit);
}

uint32_t
brf_lanes_running(const struct brf_lanes *lanes)
{
	return (lanes->running);
}

uint32_t
brf_lanes_waiting(const struct brf_lanes *lanes)
{
	return (lanes->waiting);
}

uint64_t
brf_lanes_service_us(const struct brf_lanes *lanes)
{
	return ((uint64_t)lanes->service_us);
}

uint64_t
brf_lanes_backlog_us(const struct brf_lanes *lanes)
{
	return ((uint64_t)wait_of(lanes, LANES - 1));
}
