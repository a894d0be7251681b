#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/retry_after.h"

namespace
{

const uint64_t OBJECTIVE = 1500 * BRF_US_PER_MS;
const size_t CALLERS = 1000;

/* Delays given to callers that are refused at the same moment, sorted. */
std::vector<uint64_t>
delays(const struct brf_retry_after &when)
{
	struct brf_random_seeded source;
	std::vector<uint64_t> sorted;

	brf_random_seeded_init(&source, 1);
	for (size_t i = 0; i < CALLERS; i++)
		sorted.push_back(brf_retry_after_us(&when, &source.random));
	std::sort(sorted.begin(), sorted.end());
	return (sorted);
}

} // namespace

/* No tenth of the interval gets more than 1.5 times a tenth of the callers. */
TEST(retry_after, callers_refused_at_the_same_time_retry_spread_out)
{
	std::vector<uint64_t> sorted = delays({ OBJECTIVE, 0 });
	uint64_t width = (sorted.back() - sorted.front()) / 10;

	EXPECT_GE(sorted.back() - sorted.front(), OBJECTIVE / 6);
	for (size_t i = 0, j = 0; i < CALLERS; i++) {
		while (sorted[i] - sorted[j] > width)
			j++;
		EXPECT_LE(i - j + 1, CALLERS * 3 / 20);
	}
}

TEST(retry_after, a_retry_can_still_be_served_within_the_objective)
{
	for (uint64_t objective : { 200u, 300u, 1000u, 2000u })
		EXPECT_LE(delays({ objective * BRF_US_PER_MS, 0 }).back(),
		    objective * BRF_US_PER_MS / 2);
}

TEST(retry_after, no_caller_retries_before_a_stopping_process_exits)
{
	EXPECT_GT(
	    delays({ OBJECTIVE, 3 * BRF_US_PER_S }).front(), 3 * BRF_US_PER_S);
}

TEST(retry_after, no_caller_retries_before_a_limit_admits_it)
{
	std::vector<uint64_t> sorted =
	    delays({ OBJECTIVE, 0, 3 * BRF_US_PER_S });

	EXPECT_GT(sorted.front(), 3 * BRF_US_PER_S);
	EXPECT_LE(sorted.back(), 3 * BRF_US_PER_S + OBJECTIVE / 2);
}

TEST(retry_after, without_an_objective_a_default_delay_is_used)
{
	std::vector<uint64_t> sorted = delays({ 0, 0 });

	EXPECT_GE(sorted.front(), 100 * BRF_US_PER_MS);
	EXPECT_LE(sorted.back(), BRF_US_PER_S);
}
