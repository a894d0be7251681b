#ifndef BRF_CLOCK_H
#define BRF_CLOCK_H

#include "base/base.h"

struct brf_clock;

struct brf_clock_vt {
	uint64_t (*now)(struct brf_clock *clock);
};

/**
 * struct brf_clock - source of monotonic time, microseconds.
 *
 * The origin is arbitrary: only differences are meaningful.  The time of day,
 * which may jump, is only used by the logger, which gets it from the system.
 */
struct brf_clock {
	const struct brf_clock_vt *vt;
};

static inline uint64_t
brf_now(struct brf_clock *clock)
{
	return (clock->vt->now(clock));
}

/**
 * struct brf_clock_manual - clock whose time is set by hand, for tests.
 * @now: current time, microseconds
 */
struct brf_clock_manual {
	struct brf_clock clock;
	uint64_t now;
};

BRF_BEGIN_DECLS

/**
 * brf_clock_system() - the system's monotonic clock; never freed.
 */
struct brf_clock *brf_clock_system(void);

void brf_clock_manual_init(struct brf_clock_manual *m, uint64_t now);

BRF_END_DECLS

#endif
