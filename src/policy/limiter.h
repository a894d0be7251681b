#ifndef BRF_LIMITER_H
#define BRF_LIMITER_H

#include "base/base.h"

/**
 * DOC: Concurrency limit that adapts to measured latency.
 *
 * The limit stands at the announced slots and goes down only on evidence that
 * the target queues inside itself.  Latency is the geometric mean of a window,
 * which long tails hardly move.  When it is over twice the lowest known, the
 * limiter tries a lower limit for one window; so it does after 15 seconds of
 * unbroken saturation where it has not lately seen the target unloaded:
 *
 * - latency falls along and as many answers come: the attempts had been
 *   waiting for one another; the lower limit stays, and where no unloaded
 *   latency is known a yet lower one is tried;
 * - latency stays, or answers get fewer: something else made the target slow,
 * such as its own outgoing calls; the former limit returns, and this latency
 * counts as normal until a lower one is seen.
 *
 * Whenever latency is under the bound the limit grows in each window, so that
 * it is back at the slots some windows after the cause has gone.  Related:
 * TCP Vegas (SIGCOMM 1994), whose single comparison can't tell the two apart.
 *
 * A cold target's limit is capped by a ramp from BRF_LIMITER_COLD_SHARE of the slots
 * to all of them.
 */

#define BRF_LIMITER_COLD_SHARE 0.1 /* share of the slots at the start of a ramp */

/**
 * struct brf_limiter - state of the limit; start with brf_limiter_init().
 * @limit: attempts allowed at once, before the ramp
 * @lowest: natural logarithm of the lowest known latency, microseconds
 * @last: mean of the logarithms when a trial was last considered
 * @search: the trial looks for the unloaded latency
 * @former: limit to return to when a trial shows no effect
 * @before: mean of the logarithms before the trial
 * @before_rate: answers per microsecond before the trial
 * @loaded: attempts waited during this window
 * @skip: samples to pass over, from attempts that began before the trial
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
 * brf_limiter_init() - a limit for a target that starts at @now.
 * @slots: upper bound
 * @warmup_us: length of the ramp; 0 for none
 */
void brf_limiter_init(
    struct brf_limiter *l, uint32_t slots, uint64_t warmup_us, uint64_t now);

/* New bounds; the ramp is not begun again. */
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
 * @saturated: others wait, so that the limit is in effect
 */
void brf_limiter_sample(
    struct brf_limiter *l, uint64_t took_us, bool saturated, uint64_t now);

BRF_END_DECLS

#endif
