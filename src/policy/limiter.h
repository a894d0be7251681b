#ifndef BRF_LIMITER_H
#define BRF_LIMITER_H

#include "base/base.h"

/**
 * DOC: Concurrency limit that adapts to measured latency.
 *
 * The limit equals the announced slots and goes down only on evidence that
 * attempts queue inside the target.  Latency is the geometric mean over a
 * window, on which long tails have little effect.  When it is over twice the
 * lowest known latency, the limiter tries a lower limit for one window.  After
 * 15 seconds of unbroken saturation it also does so when it has not seen the
 * target without load for a while.  The outcome decides:
 *
 * - Latency falls with the limit and the rate of answers stays: the attempts
 *   had been waiting for one another.  The lower limit stays; where no latency
 *   without load is known, a yet lower one is tried.
 * - Latency stays, or the rate of answers falls: something else made the target
 *   slow, such as its own outgoing calls.  The previous limit returns, and this
 *   latency counts as normal until a lower one is seen.
 *
 * In each window with latency under the bound the limit grows, so that it is
 * back at the slots a few windows after the cause has ended.  Related: TCP
 * Vegas (SIGCOMM 1994), whose single comparison can't tell the two cases apart.
 *
 * A cold target's limit is capped by a ramp from BRF_LIMITER_COLD_SHARE of the
 * slots to all of them.
 */

#define BRF_LIMITER_COLD_SHARE 0.1 /* at the start of the ramp */

/**
 * struct brf_limiter - state of the limit; start with brf_limiter_init().
 * @warmup_us: length of the ramp
 * @started: clock time at which the ramp began
 * @trial_start: clock time at which the last trial began
 * @next_trial: clock time from which saturation alone starts a trial
 * @window_start: clock time at which the window began
 * @limit: attempts allowed at once, before the ramp
 * @lowest: natural logarithm of the lowest known latency, microseconds
 * @last_mean: mean of the logarithms when a trial was last considered
 * @limit_before: limit to return to when a trial shows no effect
 * @mean_before: mean of the logarithms before the trial
 * @rate_before: answers per microsecond before the trial
 * @sum: sum of the logarithms of the latencies in the window
 * @slots: upper bound of the limit
 * @count: samples in the window
 * @skip: samples still to ignore, of attempts that began before the trial
 * @lowest_known: @lowest is valid
 * @trial: a trial is in progress
 * @search: the trial looks for the latency without load
 * @had_waiting: attempts waited during this window
 */
struct brf_limiter {
	uint64_t warmup_us;
	uint64_t started;
	uint64_t trial_start;
	uint64_t next_trial;
	uint64_t window_start;
	double limit;
	double lowest;
	double last_mean;
	double limit_before;
	double mean_before;
	double rate_before;
	double sum;
	uint32_t slots;
	uint32_t count;
	uint32_t skip;
	bool lowest_known;
	bool trial;
	bool search;
	bool had_waiting;
};

BRF_BEGIN_DECLS

/**
 * brf_limiter_init() - set up the limit of a target that starts at @now.
 * @slots: upper bound
 * @warmup_us: length of the ramp, microseconds; 0 for none
 * @now: clock time, microseconds
 */
void brf_limiter_init(
    struct brf_limiter *l, uint32_t slots, uint64_t warmup_us, uint64_t now);

/* Set new bounds; a ramp is not restarted. */
void brf_limiter_configure(
    struct brf_limiter *l, uint32_t slots, uint64_t warmup_us);

/**
 * brf_limiter_get() - attempts that may run at once at @now.
 *
 * Return: at least 1, or 0 where there are no slots.
 */
uint32_t brf_limiter_get(const struct brf_limiter *l, uint64_t now);

/**
 * brf_limiter_sample() - an attempt was answered after @took_us.
 * @saturated: attempts wait, so that the limit is in effect
 */
void brf_limiter_sample(
    struct brf_limiter *l, uint64_t took_us, bool saturated, uint64_t now);

BRF_END_DECLS

#endif
