#include <math.h>

#include "policy/limiter.h"

/*
 * Samples and time that a window needs before the limit may go up, latency may
 * be learned from it, and the limit may go down.  The first to end are the
 * short ones, so that a small window shows too little.
 */
#define GROW_SAMPLES 32u
#define GROW_WINDOW_US (20 * BRF_US_PER_MS)
#define LEARN_SAMPLES 100u
#define CUT_SAMPLES 300u
/* A window does not grow older. */
#define WINDOW_MAX_US BRF_US_PER_S

/* Latency over the lowest, as a factor. */
#define GROW_BELOW 1.5
#define CUT_ABOVE 2.0

/* Factors on the limit. */
#define GROW_FAST 1.25
#define GROW_SLOW 1.05
#define TRIAL_CUT 0.7
#define SEARCH_CUT 0.8
/* Change from one window to the next under which latency counts as steady. */
#define STEADY 1.15
/* A lower limit alone does not bring so many more answers. */
#define SEARCH_RATE_MAX 1.25
/* No trial explains a fall to this share: the cause of high latency is gone. */
#define TRIAL_GONE 0.4
/* A trial that has no result by then is given up. */
#define TRIAL_MAX_US (3 * BRF_US_PER_S)
/* Saturation without a trial, at most: this, and so many times the last one. */
#define TRIAL_EVERY_US (15 * BRF_US_PER_S)
#define TRIAL_EVERY_LENGTHS 50u
/* How long latency without load, once seen, makes a search needless. */
#define UNLOADED_KNOWN_US (300 * BRF_US_PER_S)

static void
open_window(struct brf_limiter *l, uint64_t now)
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
	open_window(l, now);
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
		ramp = BRF_LIMITER_COLD_SHARE + (1 - BRF_LIMITER_COLD_SHARE) * ramp;
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

/* What runs at the change is still marked by the former limit: skip it. */
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
	open_window(l, now);
}

static void
plan_trial(struct brf_limiter *l, uint64_t now)
{
	uint64_t pause = TRIAL_EVERY_LENGTHS * (now - l->trial_start);

	l->next_trial = now + (pause > TRIAL_EVERY_US ? pause : TRIAL_EVERY_US);
}

static void
restore(struct brf_limiter *l, uint64_t now)
{
	l->trial = false;
	l->skip = 0;
	set_limit(l, l->limit_before);
	open_window(l, now);
	plan_trial(l, now);
}

static void
set_lowest(struct brf_limiter *l, double mean)
{
	l->lowest = mean;
	l->lowest_known = true;
}

static void
give_up_trial(struct brf_limiter *l, uint64_t now)
{
	if (l->count >= GROW_SAMPLES)
		set_lowest(l, l->sum / l->count);
	restore(l, now);
}

/*
 * A trial shows an effect when latency falls by half as much as the limit, or
 * more, and the rate of answers by less.  Where no unloaded latency is known,
 * an effect asks for the next trial at once, down to where there is none.
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
		restore(l, now);
		return;
	}
	if (l->search) {
		set_lowest(l, mean);
		begin_trial(l, mean, now);
		return;
	}
	l->trial = false;
	open_window(l, now);
}

static void
push_search(struct brf_limiter *l, uint64_t at)
{
	if (l->next_trial < at)
		l->next_trial = at;
}

/* By half of the way at most, so that one lucky window is not the measure. */
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
		push_search(l, now + UNLOADED_KNOWN_US);
}

/* While latency changes by itself, a trial shows nothing. */
static void
consider_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	bool steady = fabs(mean - l->last_mean) < log(STEADY);

	l->last_mean = mean;
	if (!steady) {
		open_window(l, now);
		return;
	}
	l->search = now >= l->next_trial;
	begin_trial(l, mean, now);
}

static void
judge_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	if (mean < l->mean_before + log(TRIAL_GONE))
		restore(l, now);
	else if (l->count >= CUT_SAMPLES)
		end_trial(l, mean, now);
}

static void
judge(struct brf_limiter *l, bool saturated, uint64_t now)
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
	open_window(l, now);
}

/* Too little came to judge by: the limit rises. */
static void
end_window(struct brf_limiter *l, uint64_t now)
{
	if (l->count > 0)
		learn_lowest(l, l->sum / l->count, now);
	set_limit(l, l->limit * GROW_FAST);
	open_window(l, now);
}

void
brf_limiter_sample(
    struct brf_limiter *l, uint64_t took_us, bool saturated, uint64_t now)
{
	if (!saturated)
		push_search(l, now + TRIAL_EVERY_US);
	if (l->trial && (!saturated || now >= l->trial_start + TRIAL_MAX_US))
		give_up_trial(l, now);
	if (l->skip > 0) {
		if (--l->skip == 0)
			open_window(l, now);
		return;
	}
	if (!l->trial && now > l->window_start + WINDOW_MAX_US)
		end_window(l, now);
	l->had_waiting = l->had_waiting || saturated;
	l->sum += log((double)took_us + 1);
	l->count++;
	if (l->count < GROW_SAMPLES || now < l->window_start + GROW_WINDOW_US)
		return;
	if (l->trial)
		judge_trial(l, l->sum / l->count, now);
	else
		judge(l, saturated, now);
}
