#include "policy/retry_after.h"

/* The delay is random between this share of the objective and twice as much. */
#define OBJECTIVE_SHARE 0.2
#define DELAY_MIN_US (50 * BRF_US_PER_MS)
#define DELAY_DEFAULT_US (500 * BRF_US_PER_MS) /* without an objective */

uint64_t
brf_retry_after_us(
    const struct brf_retry_after *when, struct brf_random *random)
{
	uint64_t base = DELAY_DEFAULT_US;

	if (when->objective_us != 0)
		base = (uint64_t)((double)when->objective_us * OBJECTIVE_SHARE);
	if (base < DELAY_MIN_US)
		base = DELAY_MIN_US;
	return (when->until_exit_us + when->until_permit_us +
		when->not_before_us + base +
		brf_random_below(random, base + 1));
}
