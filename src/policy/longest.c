#include "policy/longest.h"

static void
advance(struct brf_longest *l, uint64_t now)
{
	if (now < l->since + BRF_LONGEST_WINDOW_US)
		return;
	l->previous_us =
	    now < l->since + 2 * BRF_LONGEST_WINDOW_US ? l->present_us : 0;
	l->present_us = 0;
	l->since = now;
}

void
brf_longest_add(struct brf_longest *l, uint64_t duration_us, uint64_t now)
{
	advance(l, now);
	if (duration_us > l->present_us)
		l->present_us = duration_us;
}

uint64_t
brf_longest_get(struct brf_longest *l, uint64_t now)
{
	advance(l, now);
	return (
	    l->present_us > l->previous_us ? l->present_us : l->previous_us);
}
