#include "policy/retry_after.h"

#define SHARE 0.2 /* of the objective, and up to as much again */
#define LEAST_US (50 * BRF_US_PER_MS)
#define PRESET_US (500 * BRF_US_PER_MS) /* without an objective */

uint64_t
brf_retry_after_us(
    const struct brf_retry_after *when, struct brf_random *random)
{
	uint64_t base = PRESET_US;

	if (when->objective_us != 0)
		base = (uint64_t)((double)when->objective_us * SHARE);
	if (base < LEAST_US)
		base = LEAST_US;
	return (
	    when->until_exit_us + base + brf_random_below(random, base + 1));
}
