#include <math.h>

#include "policy/limiter.h"

/* Samples and time that a window needs before the limit may go up or down. */
#define GROW_SAMPLES 32u
#define GROW_WINDOW_US (20 * BRF_US_PER_MS)
#define CUT_SAMPLES 200u

/* Latency over the lowest, as a factor. */
#define GROW_BELOW 1.5
#define CUT_ABOVE 2.0

/* Factors on the limit. */
#define GROW_FAST 1.25
#define GROW_SLOW 1.05
#define TRIAL_CUT 0.7
/* Latency must fall to this share for a trial to show an effect. */
#define TRIAL_EFFECT 0.85
/* A trial that has no result by then is given up. */
#define TRIAL_MAX_US (2 * BRF_US_PER_S)

static void
open_window(struct brf_limiter *l, uint64_t start)
{
	l->window_start = start;
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

/* Samples count once those that began before the change are mostly gone. */
static void
begin_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	l->trial = true;
	l->former = l->limit;
	l->before = mean;
	l->trial_end = now + TRIAL_MAX_US + 2 * (uint64_t)exp(mean);
	set_limit(l, l->limit * TRIAL_CUT);
	open_window(l, now + (uint64_t)exp(mean));
}

static void
abandon_trial(struct brf_limiter *l, uint64_t now)
{
	l->trial = false;
	set_limit(l, l->former);
	open_window(l, now);
}

static void
end_trial(struct brf_limiter *l, double mean, uint64_t now)
{
	bool effect = mean < l->before + log(TRIAL_EFFECT);

	l->trial = false;
	if (!effect) {
		set_limit(l, l->former);
		l->lowest = mean;
	}
	open_window(l, now);
}

/* Half way at a time, so that one lucky window is not the measure. */
static void
learn_lowest(struct brf_limiter *l, double mean)
{
	if (!l->known)
		l->lowest = mean;
	else if (mean < l->lowest)
		l->lowest += (mean - l->lowest) / 2;
	l->known = true;
}

static void
judge(struct brf_limiter *l, bool saturated, uint64_t now)
{
	double mean = l->sum / l->count;

	if (l->trial) {
		if (l->count >= CUT_SAMPLES)
			end_trial(l, mean, now);
		return;
	}
	if (mean < l->lowest + log(GROW_BELOW)) {
		learn_lowest(l, mean);
		set_limit(l, l->limit * GROW_FAST);
		open_window(l, now);
		return;
	}
	if (l->count < CUT_SAMPLES)
		return;
	learn_lowest(l, mean);
	if (saturated && l->limit > 1 && mean > l->lowest + log(CUT_ABOVE)) {
		begin_trial(l, mean, now);
		return;
	}
	set_limit(l, l->limit * GROW_SLOW);
	open_window(l, now);
}

void
brf_limiter_sample(
    struct brf_limiter *l, uint64_t took_us, bool saturated, uint64_t now)
{
	if (l->trial && (!saturated || now >= l->trial_end))
		abandon_trial(l, now);
	if (now < l->window_start)
		return;
	l->sum += log((double)took_us + 1);
	l->count++;
	if (l->count < GROW_SAMPLES || now - l->window_start < GROW_WINDOW_US)
		return;
	judge(l, saturated, now);
}
