#ifndef BRF_TIMER_H
#define BRF_TIMER_H

#include "base/clock.h"

/**
 * struct brf_timer - a one-shot timer; embedded by its user.
 * @fire: called once when the timer expires; may start it again
 * @arg: passed to @fire
 *
 * A zeroed struct is a stopped timer.  The other members are private to
 * struct brf_timers.
 */
struct brf_timer {
	void (*fire)(struct brf_timer *timer, void *arg);
	void *arg;
	uint64_t at;
	size_t slot; /* index in the heap plus one; 0 when stopped */
};

#define BRF_TIMER_NONE UINT64_MAX

struct brf_timers;

BRF_BEGIN_DECLS

/**
 * brf_timers_new() - create a set of timers on @clock, which must outlive it.
 */
struct brf_timers *brf_timers_new(struct brf_clock *clock);
void brf_timers_free(struct brf_timers *ts);

struct brf_clock *brf_timers_clock(struct brf_timers *ts);

/**
 * brf_timer_start() - fire @timer once after @delay microseconds.  A timer that
 * is running gets the new time.
 */
void brf_timer_start(
    struct brf_timers *ts, struct brf_timer *timer, uint64_t delay);
void brf_timer_stop(struct brf_timers *ts, struct brf_timer *timer);

static inline bool
brf_timer_active(const struct brf_timer *timer)
{
	return (timer->slot != 0);
}

/**
 * brf_timers_next() - time of the next timer.
 *
 * Return: clock time, microseconds; BRF_TIMER_NONE when no timer is running.
 */
uint64_t brf_timers_next(const struct brf_timers *ts);

/**
 * brf_timers_run() - fire the timers that are due, in order of time.  At most
 * as many callbacks run as timers were running at the start.
 */
void brf_timers_run(struct brf_timers *ts);

/**
 * brf_timers_on_change() - have @change called with @arg whenever
 * brf_timers_next() has become earlier.
 */
void brf_timers_on_change(
    struct brf_timers *ts, void (*change)(void *arg), void *arg);

BRF_END_DECLS

#endif
