#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "policy/rate_limit.h"

namespace
{

constexpr uint64_t SECOND = BRF_US_PER_S;
constexpr uint64_t WINDOW_US = 4 * SECOND;
constexpr uint64_t START = 1000 * SECOND;

/* The most of @times, in order, within any WINDOW_US. */
size_t
most_in_window(const std::vector<uint64_t> &times)
{
	size_t first = 0, most = 0;

	for (size_t last = 0; last < times.size(); last++) {
		while (times[first] + WINDOW_US < times[last])
			first++;
		most = std::max(most, last - first + 1);
	}
	return (most);
}

double
allowed(double rate)
{
	return (1.5 * rate * 4 + 5);
}

struct plan {
	double rate;
	uint64_t forget_every; /* 0 for never */
	bool empty_when_new;
};

/* A gate that is offered a request every @step_us, and that forgets. */
std::vector<uint64_t>
play(const struct plan &plan, uint64_t step_us, uint64_t end_us)
{
	struct brf_rate_limit l = {};
	std::vector<uint64_t> taken;
	uint64_t forget_at = START + plan.forget_every;

	brf_rate_limit_set(&l, plan.rate, START);
	for (uint64_t t = START; t < START + end_us; t += step_us) {
		if (plan.forget_every != 0 && t >= forget_at) {
			l = {};
			brf_rate_limit_set(&l, plan.rate, t);
			if (!plan.empty_when_new)
				l.permits = plan.rate;
			forget_at = t + plan.forget_every;
		}
		if (brf_rate_limit_take(&l, t))
			taken.push_back(t);
	}
	return (taken);
}

TEST(rate_limit, without_a_limit_all_pass)
{
	struct brf_rate_limit l = {};

	for (int i = 0; i < 1000; i++)
		EXPECT_TRUE(brf_rate_limit_take(&l, START));
	EXPECT_EQ(brf_rate_limit_wait_us(&l, 100, START), 0u);
	EXPECT_EQ(brf_rate_limit_promise_us(&l, 100, START), 0u);
}

TEST(rate_limit, no_window_has_more_than_is_allowed_and_the_rate_is_used)
{
	for (double rate : { 0.2, 0.7, 1.0, 3.3, 15.0, 46.2, 1000.0 }) {
		auto taken = play({ rate, 0, true }, 500, 40 * SECOND);

		EXPECT_LE(most_in_window(taken), allowed(rate)) << rate;
		EXPECT_GE(taken.size(), 0.8 * rate * 40 - 1) << rate;
	}
}

RC_GTEST_PROP(rate_limit, gates_that_forget_stay_within_one_limit, ())
{
	double rate = *rc::gen::inRange(1, 2000) / 10.0;
	uint64_t every = *rc::gen::inRange(300, 5000) * BRF_US_PER_MS;
	auto taken = play({ rate, every, true }, 2000, 12 * SECOND);

	RC_ASSERT(most_in_window(taken) <= allowed(rate));
}

TEST(rate_limit, the_check_finds_gates_that_begin_with_permits)
{
	auto taken =
	    play({ 15, 300 * BRF_US_PER_MS, false }, 2000, 12 * SECOND);

	EXPECT_GT(most_in_window(taken), allowed(15));
}

TEST(rate_limit, idle_time_is_kept_for_a_quarter_of_a_second)
{
	struct brf_rate_limit l = {};
	int taken = 0;

	brf_rate_limit_set(&l, 40, START);
	while (brf_rate_limit_take(&l, START + 100 * SECOND))
		taken++;
	EXPECT_EQ(taken, 10);
}

TEST(rate_limit, a_lower_rate_drops_the_permits_of_the_higher)
{
	struct brf_rate_limit l = {};

	brf_rate_limit_set(&l, 400, START);
	brf_rate_limit_set(&l, 2, START + SECOND);
	EXPECT_TRUE(brf_rate_limit_take(&l, START + SECOND));
	EXPECT_FALSE(brf_rate_limit_take(&l, START + SECOND));
	EXPECT_EQ(brf_rate_limit_wait_us(&l, 1, START + SECOND), SECOND / 2);
}

TEST(rate_limit, refused_senders_are_told_times_one_permit_apart)
{
	struct brf_rate_limit l = {};

	brf_rate_limit_set(&l, 10, START);
	EXPECT_EQ(brf_rate_limit_promise_us(&l, 1, START), SECOND / 5);
	EXPECT_EQ(brf_rate_limit_promise_us(&l, 1, START), SECOND * 3 / 10);
	EXPECT_EQ(brf_rate_limit_promise_us(&l, 1, START), SECOND * 4 / 10);
	for (int i = 0; i < 100; i++)
		brf_rate_limit_promise_us(&l, 1, START);
	EXPECT_LE(brf_rate_limit_promise_us(&l, 1, START), 2 * SECOND);
	brf_rate_limit_set(&l, 0.2, START);
	EXPECT_EQ(brf_rate_limit_promise_us(&l, 0, START), 5 * SECOND);
}

} // namespace
