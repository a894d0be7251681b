#ifndef BRF_TIMER_H
#define BRF_TIMER_H

#include "base/clock.h"

/**
 * struct brf_timer - one subscription to the timer service.
 * @fire: called once when the time has come; may start the timer again
 * @arg: passed to @fire
 *
 * A zeroed struct is a stopped timer.  The other members are the service's.
 */
struct brf_timer {
	void (*fire)(struct brf_timer *timer, void *arg);
	void *arg;
	uint64_t at;
	size_t slot; /* place in the heap plus one; 0 when stopped */
};

#define BRF_TIMER_NONE UINT64_MAX

struct brf_timers;

BRF_BEGIN_DECLS

/**
 * brf_timers_new() - timer service over @clock, which must outlive it.
 */
struct brf_timers *brf_timers_new(struct brf_clock *clock);
void brf_timers_free(struct brf_timers *ts);

struct brf_clock *brf_timers_clock(struct brf_timers *ts);

/**
 * brf_timer_start() - fire @timer after @delay microseconds.
 *
 * A timer that is running is moved.
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
 * brf_timers_next() - when the next timer is due, clock time in microseconds.
 *
 * Return: BRF_TIMER_NONE when none is running.
 */
uint64_t brf_timers_next(const struct brf_timers *ts);

/**
 * brf_timers_run() - fire all timers that are due.
 */
void brf_timers_run(struct brf_timers *ts);

/**
 * brf_timers_on_change() - be told when brf_timers_next() has become earlier.
 */
void brf_timers_on_change(
    struct brf_timers *ts, void (*change)(void *arg), void *arg);

BRF_END_DECLS

#endif
