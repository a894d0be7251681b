#ifndef BRF_LONGEST_H
#define BRF_LONGEST_H

#include "base/base.h"

/**
 * DOC: Longest of recent durations, over one to two windows.
 */

#define BRF_LONGEST_WINDOW_US (60 * BRF_US_PER_S)

/**
 * struct brf_longest - start zeroed.
 * @since: clock time at which the present window began
 * @present_us: longest of the present window
 * @previous_us: longest of the window before
 */
struct brf_longest {
	uint64_t since;
	uint64_t present_us;
	uint64_t previous_us;
};

BRF_BEGIN_DECLS

void brf_longest_add(struct brf_longest *l, uint64_t duration_us, uint64_t now);

/* Return: microseconds; 0 when there was none of late. */
uint64_t brf_longest_get(struct brf_longest *l, uint64_t now);

BRF_END_DECLS

#endif
