#include <gtest/gtest.h>

#include "standin/brf-whatif/model.h"

namespace
{

struct whatif_result
play(double load, bool baseline = false, double burst = 0)
{
	struct whatif_config config = { load, burst, 20, baseline, 7 };
	struct whatif_result result;

	whatif_play(&config, &result);
	return (result);
}

double
good(const struct whatif_class &c)
{
	return ((double)c.good / (double)c.asked);
}

} // namespace

TEST(whatif, each_request_ends_once)
{
	for (double load : { 0.5, 1.0, 3.0 }) {
		for (bool baseline : { false, true }) {
			struct whatif_result r = play(load, baseline);

			for (const auto &c : r.classes)
				EXPECT_EQ(c.asked,
				    c.good + c.late + c.refused + c.failed);
		}
	}
}

/* Pressure that is none costs callers: pace is for what can't be served. */
TEST(whatif, what_can_be_served_is_not_refused)
{
	for (double load : { 0.5, 0.75, 0.9 }) {
		struct whatif_result r = play(load);

		for (const auto &c : r.classes)
			EXPECT_GE(good(c), 0.97) << load;
	}
}

TEST(whatif, overload_costs_little_of_what_could_be_served)
{
	for (double load : { 1.25, 1.5, 2.0, 3.0, 4.0 }) {
		struct whatif_result r = play(load);

		EXPECT_GE(r.good_share, 0.9) << load;
		EXPECT_LE(r.wasted, 0.15) << load;
	}
}

TEST(whatif, the_most_important_are_the_last_to_lose)
{
	for (double load : { 1.25, 1.5, 2.0, 3.0 }) {
		struct whatif_result r = play(load);

		EXPECT_GE(good(r.classes[0]), 0.95) << load;
		EXPECT_GE(good(r.classes[0]) + 0.02, good(r.classes[1]));
		EXPECT_GE(good(r.classes[1]) + 0.02, good(r.classes[2]));
	}
}

/* The model tells: what the decisions are there for happens without them. */
TEST(whatif, the_baseline_collapses_beyond_what_can_be_served)
{
	EXPECT_GE(play(0.75, true).good_share, 0.97);
	EXPECT_LE(play(1.25, true).good_share, 0.3);
}

TEST(whatif, a_burst_is_over_when_it_is_over)
{
	struct whatif_result decided = play(0.75, false, 3);
	struct whatif_result baseline = play(0.75, true, 3);

	EXPECT_GE(good(decided.classes[0]), 0.95);
	EXPECT_GE(decided.good_share, 2 * baseline.good_share);
}
