#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/retry_after.h"

namespace
{

const uint64_t OBJECTIVE = 1500 * BRF_US_PER_MS;
const size_t CALLERS = 1000;

/* When callers that are refused at the same moment come back, in order. */
std::vector<uint64_t>
returns(const struct brf_retry_after &when)
{
	struct brf_random_seeded source;
	std::vector<uint64_t> times;

	brf_random_seeded_init(&source, 1);
	for (size_t i = 0; i < CALLERS; i++)
		times.push_back(brf_retry_after_us(&when, &source.random));
	std::sort(times.begin(), times.end());
	return (times);
}

} // namespace

/* A tenth of the spread gets a tenth of the callers, within half as much. */
TEST(retry_after, callers_refused_at_once_come_back_spread_out)
{
	std::vector<uint64_t> times = returns({ OBJECTIVE, 0 });
	uint64_t width = (times.back() - times.front()) / 10;

	EXPECT_GE(times.back() - times.front(), OBJECTIVE / 6);
	for (size_t i = 0, j = 0; i < CALLERS; i++) {
		while (times[i] - times[j] > width)
			j++;
		EXPECT_LE(i - j + 1, CALLERS * 3 / 20);
	}
}

TEST(retry_after, who_comes_back_can_still_be_served_in_time)
{
	for (uint64_t objective : { 200u, 300u, 1000u, 2000u })
		EXPECT_LE(returns({ objective * BRF_US_PER_MS, 0 }).back(),
		    objective * BRF_US_PER_MS / 2);
}

TEST(retry_after, nobody_comes_back_to_a_process_that_stops)
{
	EXPECT_GT(
	    returns({ OBJECTIVE, 3 * BRF_US_PER_S }).front(), 3 * BRF_US_PER_S);
}

TEST(retry_after, without_a_route_there_is_a_time_all_the_same)
{
	std::vector<uint64_t> times = returns({ 0, 0 });

	EXPECT_GE(times.front(), 100 * BRF_US_PER_MS);
	EXPECT_LE(times.back(), BRF_US_PER_S);
}
