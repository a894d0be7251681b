#include <gtest/gtest.h>

#include "standin/brf-whatif/model.h"

namespace
{

struct whatif_result
run(double load, bool baseline = false, double burst = 0)
{
	struct whatif_config config = { load, burst, 20, baseline, 7 };
	struct whatif_result result;

	whatif_run(&config, &result);
	return (result);
}

double
good(const struct whatif_class &c)
{
	return ((double)c.good / (double)c.offered);
}

} // namespace

TEST(whatif, each_request_ends_once)
{
	for (double load : { 0.5, 1.0, 3.0 }) {
		for (bool baseline : { false, true }) {
			struct whatif_result r = run(load, baseline);

			for (const auto &c : r.classes)
				EXPECT_EQ(c.offered,
				    c.good + c.late + c.refused + c.failed);
		}
	}
}

/*
 * A false congestion signal would make the throttle refuse requests below the
 * capacity.
 */
TEST(whatif, requests_within_the_capacity_are_not_refused)
{
	for (double load : { 0.5, 0.75, 0.9 }) {
		struct whatif_result r = run(load);

		for (const auto &c : r.classes)
			EXPECT_GE(good(c), 0.97) << load;
	}
}

TEST(whatif, goodput_stays_near_the_capacity_under_overload)
{
	for (double load : { 1.25, 1.5, 2.0, 3.0, 4.0 }) {
		struct whatif_result r = run(load);

		EXPECT_GE(r.good_share, 0.9) << load;
		EXPECT_LE(r.wasted, 0.15) << load;
	}
}

TEST(whatif, the_most_important_rank_loses_least)
{
	for (double load : { 1.25, 1.5, 2.0, 3.0 }) {
		struct whatif_result r = run(load);

		EXPECT_GE(good(r.classes[0]), 0.95) << load;
		EXPECT_GE(good(r.classes[0]) + 0.02, good(r.classes[1]));
		EXPECT_GE(good(r.classes[1]) + 0.02, good(r.classes[2]));
	}
}

/* Checks the model: without the decision modules overload must collapse it. */
TEST(whatif, the_baseline_collapses_above_the_capacity)
{
	EXPECT_GE(run(0.75, true).good_share, 0.97);
	EXPECT_LE(run(1.25, true).good_share, 0.3);
}

TEST(whatif, goodput_is_kept_during_a_burst)
{
	struct whatif_result decided = run(0.75, false, 3);
	struct whatif_result baseline = run(0.75, true, 3);

	EXPECT_GE(good(decided.classes[0]), 0.95);
	EXPECT_GE(decided.good_share, 2 * baseline.good_share);
}
