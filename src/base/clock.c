#include <time.h>

#include "base/clock.h"

#define NS_PER_US 1000ull

static uint64_t
system_now(struct brf_clock *clock)
{
	struct timespec ts;

	(void)clock;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ((uint64_t)ts.tv_sec * BRF_US_PER_S +
		(uint64_t)ts.tv_nsec / NS_PER_US);
}

static uint64_t
manual_now(struct brf_clock *clock)
{
	return (brf_container_of(clock, struct brf_clock_manual, clock)->now);
}

static const struct brf_clock_vt system_vt = { .now = system_now };
static const struct brf_clock_vt manual_vt = { .now = manual_now };

struct brf_clock *
brf_clock_system(void)
{
	static struct brf_clock clock = { .vt = &system_vt };

	return (&clock);
}

void
brf_clock_manual_init(struct brf_clock_manual *m, uint64_t now)
{
	m->clock.vt = &manual_vt;
	m->now = now;
}
