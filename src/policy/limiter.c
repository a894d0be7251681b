#include <math.h>

#include "policy/limiter.h"

/* Samples and time that a window needs before the limit may go up or down. */
#define GROW_SAMPLES 32u
#define GROW_WINDOW_US (20 * BRF_US_PER_MS)
#define CUT_SAMPLES 200u
/* Too few samples by then: the limit rises, for want of evidence. */
#define WINDOW_MAX_US BRF_US_PER_S

/* Latency over the lowest, as a factor. */
#define GROW_BELOW 1.5
#define CUT_ABOVE 2.0

/* Factors on the limit. */
#define GROW_FAST 1.25
#define GROW_SLOW 1.05
#define TRIAL_CUT 0.7
/* Rise from one window to the next under which latency counts as steady. */
#define STEADY 1.15
/* Latency must fall to this share for a trial to show an effect. */
#define TRIAL_EFFECT 0.85
/* No trial explains a fall to this share: the cause of high latency is gone. */
#define TRIAL_GONE 0.4
/* A trial that has no result by then is given up. */
#define TRIAL_MAX_US (2 * BRF_US_PER_S)
/* Saturation without a trial, at most: this, and so many times the last one. */
#define TRIAL_EVERY_US (30 * BRF_US_PER_S)
#define TRIAL_EVERY_LENGTHS 50u

static void
open_window(struct brf_limiter *l, uint64_t now)
{
	l->window_start = now;
	l->count = 0;
	l->sum = 0;
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
		ramp = BRF_LIMITER_COLD + (1 - BRF_LIMITER_COLD) * ramp;
		if (limit > ramp * l->slots)
			limit = ramp * l->slots;
	}
	return (limit > 1 ? (uint32_t)limit : 1);
}

/* What runs at the change is still marked by the former limit: skip it. */
static void
begin_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	l->trial = true;
	l->former = l->limit;
	l->before = mean;
	l->trial_start = now;
	l->skip = (uint32_t)l->limit;
	set_limit(l, l->limit * TRIAL_CUT);
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
	set_limit(l, l->former);
	open_window(l, now);
	plan_trial(l, now);
}

static void
give_up_trial(struct brf_limiter *l, uint64_t now)
{
	if (l->count >= GROW_SAMPLES)
		l->lowest = l->sum / l->count;
	restore(l, now);
}

/*
 * Where no unloaded latency is known, an effect asks for the next trial at
 * once, down to where there is none.
 */
static void
end_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	bool effect = mean < l->before + log(TRIAL_EFFECT);

	if (!effect || l->limit <= 1) {
		l->lowest = mean;
		restore(l, now);
		return;
	}
	if (l->search) {
		l->lowest = mean;
		begin_trial(l, mean, now);
		return;
	}
	l->trial = false;
	open_window(l, now);
}

/* By half of the way at most, so that one lucky window is not the measure. */
static void
learn_lowest(struct brf_limiter *l, double mean)
{
	double weight = (double)l->count / CUT_SAMPLES / 2;

	if (!l->known)
		l->lowest = mean;
	else if (mean < l->lowest)
		l->lowest += (mean - l->lowest) * (weight < 0.5 ? weight : 0.5);
	l->known = true;
}

/* While latency still rises, a trial would seem to have no effect. */
static void
consider_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	bool steady = mean < l->last + log(STEADY);

	l->last = mean;
	if (!steady) {
		open_window(l, now);
		return;
	}
	l->search = now >= l->next_trial;
	begin_trial(l, mean, now);
}

static void
judge(struct brf_limiter *l, bool saturated, uint64_t now)
{
	double mean = l->sum / l->count;
	bool low, high;

	if (!l->known)
		learn_lowest(l, mean);
	low = mean < l->lowest + log(GROW_BELOW);
	high = mean > l->lowest + log(CUT_ABOVE);
	if (l->trial) {
		if (mean < l->before + log(TRIAL_GONE))
			restore(l, now);
		else if (l->count >= CUT_SAMPLES)
			end_trial(l, mean, now);
		return;
	}
	if (l->count >= CUT_SAMPLES && saturated && l->limit > 1 &&
	    (high || now >= l->next_trial)) {
		consider_trial(l, mean, now);
		return;
	}
	if (l->count < CUT_SAMPLES && (!low || l->limit >= l->slots))
		return;
	learn_lowest(l, mean);
	if (!high)
		set_limit(l, l->limit * (low ? GROW_FAST : GROW_SLOW));
	open_window(l, now);
}

void
brf_limiter_sample(
    struct brf_limiter *l, uint64_t took_us, bool saturated, uint64_t now)
{
	if (!saturated)
		l->next_trial = now + TRIAL_EVERY_US;
	if (l->trial && (!saturated || now >= l->trial_start + TRIAL_MAX_US))
		give_up_trial(l, now);
	if (l->skip > 0) {
		l->skip--;
		return;
	}
	if (!l->trial && now > l->window_start + WINDOW_MAX_US) {
		set_limit(l, l->limit * GROW_FAST);
		open_window(l, now);
	}
	l->sum += log((double)took_us + 1);
	l->count++;
	if (l->count < GROW_SAMPLES || now < l->window_start + GROW_WINDOW_US)
		return;
	judge(l, saturated, now);
}
