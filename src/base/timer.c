#include <stdlib.h>

#include "base/timer.h"

struct brf_timers {
	struct brf_clock *clock;
	struct brf_timer **heap;
	size_t count;
	size_t cap;
	void (*change)(void *arg);
	void *change_arg;
};

struct brf_timers *
brf_timers_new(struct brf_clock *clock)
{
	struct brf_timers *ts = brf_calloc(1, sizeof(*ts));

	ts->clock = clock;
	return (ts);
}

void
brf_timers_free(struct brf_timers *ts)
{
	if (ts == NULL)
		return;
	free(ts->heap);
	free(ts);
}

struct brf_clock *
brf_timers_clock(struct brf_timers *ts)
{
	return (ts->clock);
}

static void
place(struct brf_timers *ts, size_t i, struct brf_timer *timer)
{
	ts->heap[i] = timer;
	timer->slot = i + 1;
}

static void
sift_up(struct brf_timers *ts, size_t i)
{
	struct brf_timer *timer = ts->heap[i];
	size_t parent;

	while (i > 0) {
		parent = (i - 1) / 2;
		if (ts->heap[parent]->at <= timer->at)
			break;
		place(ts, i, ts->heap[parent]);
		i = parent;
	}
	place(ts, i, timer);
}

static void
sift_down(struct brf_timers *ts, size_t i)
{
	struct brf_timer *timer = ts->heap[i];
	size_t child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= ts->count)
			break;
		if (child + 1 < ts->count &&
		    ts->heap[child + 1]->at < ts->heap[child]->at)
			child++;
		if (timer->at <= ts->heap[child]->at)
			break;
		place(ts, i, ts->heap[child]);
		i = child;
	}
	place(ts, i, timer);
}

void
brf_timer_stop(struct brf_timers *ts, struct brf_timer *timer)
{
	struct brf_timer *last;
	size_t i;

	if (timer->slot == 0)
		return;
	i = timer->slot - 1;
	timer->slot = 0;
	last = ts->heap[--ts->count];
	if (last == timer)
		return;
	place(ts, i, last);
	sift_up(ts, i);
	sift_down(ts, last->slot - 1);
}

void
brf_timer_start(struct brf_timers *ts, struct brf_timer *timer, uint64_t delay)
{
	uint64_t now = brf_now(ts->clock);
	uint64_t before = brf_timers_next(ts);

	brf_timer_stop(ts, timer);
	timer->at = delay < UINT64_MAX - now ? now + delay : UINT64_MAX - 1;
	if (ts->count == ts->cap) {
		ts->cap = ts->cap != 0 ? ts->cap * 2 : 64;
		ts->heap =
		    brf_realloc(ts->heap, ts->cap * sizeof(struct brf_timer *));
	}
	ts->heap[ts->count] = timer;
	sift_up(ts, ts->count++);
	if (timer->at < before && ts->change != NULL)
		ts->change(ts->change_arg);
}

uint64_t
brf_timers_next(const struct brf_timers *ts)
{
	return (ts->count != 0 ? ts->heap[0]->at : BRF_TIMER_NONE);
}

/*
 * A timer whose callback starts it again with a delay of 0 is due at once.  The
 * number of callbacks is bounded by the number of timers at the start, so that
 * such a timer can't keep this function from returning.
 */
void
brf_timers_run(struct brf_timers *ts)
{
	uint64_t now = brf_now(ts->clock);
	size_t remaining = ts->count;
	struct brf_timer *timer;

	while (remaining-- > 0 && ts->count != 0 && ts->heap[0]->at <= now) {
		timer = ts->heap[0];
		brf_timer_stop(ts, timer);
		timer->fire(timer, timer->arg);
	}
}

void
brf_timers_on_change(
    struct brf_timers *ts, void (*change)(void *arg), void *arg)
{
	ts->change = change;
	ts->change_arg = arg;
}
