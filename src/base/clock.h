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
 * Only differences mean anything.  No decision uses the time of day, which
 * may jump; the logger asks the system for it on its own.
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
 * struct brf_clock_manual - clock that moves only when told to, for tests.
 */
struct brf_clock_manual {
	struct brf_clock clock;
	uint64_t now;
};

BRF_BEGIN_DECLS

/**
 * brf_clock_system() - the clock of the machine; lives as long as the process.
 */
struct brf_clock *brf_clock_system(void);

void brf_clock_manual_init(struct brf_clock_manual *m, uint64_t now);

BRF_END_DECLS

#endif
