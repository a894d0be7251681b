#include <math.h>

#include "policy/limiter.h"

/*
 * Samples and time that a window needs before the limit may go up (GROW),
 * before a latency is learned from it (LEARN), and before the limit may go
 * down (CUT).  Short attempts end first, so that a small window says too
 * little about latency.
 */
#define GROW_SAMPLES 32u
#define GROW_WINDOW_US (20 * BRF_US_PER_MS)
#define LEARN_SAMPLES 100u
#define CUT_SAMPLES 300u
/* Longest window. */
#define WINDOW_MAX_US BRF_US_PER_S

/* Latency over the lowest known one, as a factor. */
#define GROW_BELOW 1.5
#define CUT_ABOVE 2.0

/* Factors on the limit. */
#define GROW_FAST 1.25
#define GROW_SLOW 1.05
#define TRIAL_CUT 0.7
#define SEARCH_CUT 0.8
/* Latency that changes by a smaller factor between windows is steady. */
#define STEADY 1.15
/* The rate of answers can't grow by this factor from a lower limit alone. */
#define SEARCH_RATE_MAX 1.25
/* No trial lowers latency to this share: the cause of high latency has gone. */
#define TRIAL_GONE 0.4
/* A trial without a result is aborted after this time. */
#define TRIAL_MAX_US (3 * BRF_US_PER_S)
/* Longest saturation without a trial: this, or so many lengths of the last one
 * when that is longer. */
#define TRIAL_EVERY_US (15 * BRF_US_PER_S)
#define TRIAL_EVERY_LENGTHS 50u
/* No search is needed for so long after latency without load was seen. */
#define UNLOADED_KNOWN_US (300 * BRF_US_PER_S)

static void
begin_window(struct brf_limiter *l, uint64_t now)
{
	l->window_start = now;
	l->count = 0;
	l->sum = 0;
	l->had_waiting = false;
}

static void
set_limit(struct brf_limiter *l, double limit)
{
	l->limit = limit;
	if (l->limit > l->slots)
		l->limit = l->slots;
	if (l->limit < 1)
		l->limit = 1;
}

void
brf_limiter_init(
    struct brf_limiter *l, uint32_t slots, uint64_t warmup_us, uint64_t now)
{
	*l = (struct brf_limiter){
		.slots = slots,
		.warmup_us = warmup_us,
		.started = now,
	};
	l->next_trial = now + TRIAL_EVERY_US;
	set_limit(l, slots);
	begin_window(l, now);
}

void
brf_limiter_configure(struct brf_limiter *l, uint32_t slots, uint64_t warmup_us)
{
	bool at_bound = l->limit >= l->slots;

	l->slots = slots;
	l->warmup_us = warmup_us;
	set_limit(l, at_bound ? slots : l->limit);
}

uint32_t
brf_limiter_get(const struct brf_limiter *l, uint64_t now)
{
	uint64_t age = now > l->started ? now - l->started : 0;
	double ramp, limit = l->limit;

	if (l->slots == 0)
		return (0);
	if (age < l->warmup_us) {
		ramp = (double)age / (double)l->warmup_us;
		ramp = BRF_LIMITER_COLD_SHARE +
		       (1 - BRF_LIMITER_COLD_SHARE) * ramp;
		if (limit > ramp * l->slots)
			limit = ramp * l->slots;
	}
	return (limit > 1 ? (uint32_t)limit : 1);
}

/* Answers per microsecond in this window. */
static double
rate_of(const struct brf_limiter *l, uint64_t now)
{
	uint64_t age = now > l->window_start ? now - l->window_start : 1;

	return ((double)l->count / (double)age);
}

/* Attempts that already run were slowed by the previous limit: skip them. */
static void
begin_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	l->trial = true;
	l->limit_before = l->limit;
	l->mean_before = mean;
	l->rate_before = rate_of(l, now);
	l->trial_start = now;
	l->skip = (uint32_t)l->limit;
	set_limit(l, l->limit * (l->search ? SEARCH_CUT : TRIAL_CUT));
	begin_window(l, now);
}

static void
schedule_trial(struct brf_limiter *l, uint64_t now)
{
	uint64_t pause = TRIAL_EVERY_LENGTHS * (now - l->trial_start);

	l->next_trial = now + (pause > TRIAL_EVERY_US ? pause : TRIAL_EVERY_US);
}

static void
undo_trial(struct brf_limiter *l, uint64_t now)
{
	l->trial = false;
	l->skip = 0;
	set_limit(l, l->limit_before);
	begin_window(l, now);
	schedule_trial(l, now);
}

static void
set_lowest(struct brf_limiter *l, double mean)
{
	l->lowest = mean;
	l->lowest_known = true;
}

static void
abort_trial(struct brf_limiter *l, uint64_t now)
{
	if (l->count >= GROW_SAMPLES)
		set_lowest(l, l->sum / l->count);
	undo_trial(l, now);
}

/*
 * A trial shows an effect when latency fell by at least half as much as the
 * limit, and the rate of answers by less.  In a search, an effect leads to the
 * next trial at once, until there is none.
 */
static void
end_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	double rate = rate_of(l, now) / l->rate_before;
	double half = (1 + (l->search ? SEARCH_CUT : TRIAL_CUT)) / 2;
	bool effect = mean < l->mean_before + log(half) && rate > half &&
		      (!l->search || rate < SEARCH_RATE_MAX);

	if (!effect || l->limit <= 1) {
		set_lowest(l, mean);
		undo_trial(l, now);
		return;
	}
	if (l->search) {
		set_lowest(l, mean);
		begin_trial(l, mean, now);
		return;
	}
	l->trial = false;
	begin_window(l, now);
}

static void
postpone_search(struct brf_limiter *l, uint64_t at)
{
	if (l->next_trial < at)
		l->next_trial = at;
}

/* Move by half of the way at most, so that one lucky window doesn't decide. */
static void
learn_lowest(struct brf_limiter *l, double mean, uint64_t now)
{
	double weight = (double)l->count / CUT_SAMPLES / 2;

	if (l->count < LEARN_SAMPLES)
		return;
	if (!l->lowest_known)
		l->lowest = mean;
	else if (mean < l->lowest)
		l->lowest += (mean - l->lowest) * (weight < 0.5 ? weight : 0.5);
	l->lowest_known = true;
	if (!l->had_waiting)
		postpone_search(l, now + UNLOADED_KNOWN_US);
}

/* A trial would prove nothing while latency changes by itself. */
static void
consider_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	bool steady = fabs(mean - l->last_mean) < log(STEADY);

	l->last_mean = mean;
	if (!steady) {
		begin_window(l, now);
		return;
	}
	l->search = now >= l->next_trial;
	begin_trial(l, mean, now);
}

static void
check_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	if (mean < l->mean_before + log(TRIAL_GONE))
		undo_trial(l, now);
	else if (l->count >= CUT_SAMPLES)
		end_trial(l, mean, now);
}

static void
evaluate_window(struct brf_limiter *l, bool saturated, uint64_t now)
{
	double mean = l->sum / l->count;
	bool full = l->count >= CUT_SAMPLES;
	bool low = l->lowest_known && mean < l->lowest + log(GROW_BELOW);
	bool high = l->lowest_known && mean > l->lowest + log(CUT_ABOVE);

	if (full && saturated && l->limit > 1 &&
	    (high || now >= l->next_trial)) {
		consider_trial(l, mean, now);
		return;
	}
	if (!full && (!low || l->limit >= l->slots))
		return;
	learn_lowest(l, mean, now);
	if (!high)
		set_limit(l, l->limit * (low ? GROW_FAST : GROW_SLOW));
	begin_window(l, now);
}

/* The window has too few samples to evaluate: raise the limit. */
static void
end_sparse_window(struct brf_limiter *l, uint64_t now)
{
	if (l->count > 0)
		learn_lowest(l, l->sum / l->count, now);
	set_limit(l, l->limit * GROW_FAST);
	begin_window(l, now);
}

void
brf_limiter_sample(
    struct brf_limiter *l, uint64_t took_us, bool saturated, uint64_t now)
{
	if (!saturated)
		postpone_search(l, now + TRIAL_EVERY_US);
	if (l->trial && (!saturated || now >= l->trial_start + TRIAL_MAX_US))
		abort_trial(l, now);
	if (l->skip > 0) {
		if (--l->skip == 0)
			begin_window(l, now);
		return;
	}
	if (!l->trial && now > l->window_start + WINDOW_MAX_US)
		end_sparse_window(l, now);
	l->had_waiting = l->had_waiting || saturated;
	l->sum += log((double)took_us + 1);
	l->count++;
	if (l->count < GROW_SAMPLES || now < l->window_start + GROW_WINDOW_US)
		return;
	if (l->trial)
		check_trial(l, l->sum / l->count, now);
	else
		evaluate_window(l, saturated, now);
}
