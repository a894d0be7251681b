#include <gtest/gtest.h>

#include <cmath>
#include <deque>

#include "policy/kinship.h"
#include "policy/pace.h"
#include "policy/repeat.h"
#include "policy/split.h"

namespace
{

/*
 * Some nodes send one route's requests to a service of @capacity a second, and
 * hear of their waits there half a second after they began.
 */
struct route {
	struct ended {
		uint64_t at;
		bool marked;
		struct brf_pace *pace;
	};
	struct brf_pace nodes[8];
	struct brf_pace_marker marker = {};
	struct brf_random_seeded random;
	std::deque<struct ended> open;
	double level = 0; /* requests begun and not served, at the service */
	uint64_t now = 1000000;
	size_t asked = 0;
	size_t begun = 0;

	route()
	{
		brf_random_seeded_init(&random, 3);
		for (auto &p : nodes)
			brf_pace_init(&p, now);
	}

	/* Offer @per_s requests a second for @seconds. */
	void
	play(double per_s, double capacity, double seconds)
	{
		uint64_t end = now + (uint64_t)(seconds * 1e6);
		auto step = (uint64_t)(1e6 / per_s);

		asked = 0;
		begun = 0;
		for (; now < end; now += step) {
			struct brf_pace *p =
			    &nodes[brf_random_below(&random.random, 8)];

			level -= capacity * (double)step / 1e6;
			if (level < 0)
				level = 0;
			while (!open.empty() && open.front().at <= now) {
				brf_pace_ended(open.front().pace,
				    open.front().marked, 500000, now);
				open.pop_front();
			}
			asked++;
			if (!brf_pace_admit(p, &random.random, now))
				continue;
			begun++;
			level += 1;
			open.push_back({ now + 500000,
			    brf_pace_mark(&marker, 2,
				(uint64_t)((level - 1) / capacity * 1e6)),
			    p });
		}
	}

	double
	share() const
	{
		double sum = 0;

		for (const auto &p : nodes)
			sum += p.share / 8;
		return (sum);
	}
};

TEST(pace, all_begins_while_there_are_no_marks)
{
	struct route r;

	r.play(600, 6000, 10);
	EXPECT_DOUBLE_EQ(r.share(), 1);
	EXPECT_EQ(r.begun, r.asked);
}

TEST(pace, about_what_can_be_served_begins)
{
	struct route r;

	r.play(1200, 600, 10); /* settles */
	r.play(1200, 600, 30);
	EXPECT_GT((double)r.begun / 30, 0.85 * 600);
	EXPECT_LT((double)r.begun / 30, 1.05 * 600);
}

TEST(pace, all_begins_again_soon_after_pressure_has_passed)
{
	struct route r;

	r.play(1200, 600, 20);
	EXPECT_LT(r.share(), 0.7);
	r.play(300, 600, 6);
	EXPECT_DOUBLE_EQ(r.share(), 1);
}

TEST(pace, some_always_begin)
{
	struct route r;

	r.play(100, 0.001, 30);
	EXPECT_GE(r.share(), BRF_PACE_LEAST);
	EXPECT_GT(r.begun, 0u);
}

TEST(pace, marks_grow_with_the_wait_and_fall_with_importance)
{
	size_t marks[4] = {}, longer = 0;
	struct brf_pace_marker m = {}, other = {};

	for (int i = 0; i < 1000; i++) {
		for (uint32_t rank = 0; rank < 4; rank++)
			marks[rank] += brf_pace_mark(&m, rank, 20000);
		longer += brf_pace_mark(&other, 0, 40000);
		EXPECT_FALSE(brf_pace_mark(&other, 1, 0));
	}
	EXPECT_LT(marks[0], marks[1]);
	EXPECT_LT(marks[1], marks[2]);
	EXPECT_NEAR((double)longer, 2.0 * (double)marks[0], 2);
	EXPECT_NEAR((double)marks[2] + (double)marks[3], 2 * 333, 2);
}

TEST(kinship, a_route_of_calls_is_told_by_deadlines_alone)
{
	struct brf_kinship calls = {}, begins = {};
	size_t wrong = 0;

	for (int i = 0; i < 1000; i++) {
		struct brf_flow_origin fresh = {}, other = {};

		/* 9 of 10 calls match; 1 of 25 others does by chance */
		if (!brf_kinship_judge(&calls, &fresh, i % 10 != 0) && i > 30)
			wrong++;
		if (brf_kinship_judge(&begins, &other, i % 25 == 0))
			wrong++;
	}
	EXPECT_EQ(wrong, 0u);
}

/* Calls whose own time is shorter than their parent's match seldom. */
TEST(kinship, a_targets_connection_is_known_by_a_few_matches)
{
	struct brf_kinship k = {};
	struct brf_flow_origin target = {}, caller = {};
	size_t missed = 0, taken = 0;

	for (int i = 0; i < 200; i++) {
		if (!brf_kinship_judge(&k, &target, i % 4 == 0) && i > 8)
			missed++;
		if (brf_kinship_judge(&k, &caller, i % 25 == 7))
			taken++;
	}
	EXPECT_EQ(missed, 0u);
	EXPECT_EQ(taken, 0u);
}

TEST(repeat, nobody_repeats_more_than_his_share_in_any_window)
{
	struct brf_random_seeded random;
	struct brf_repeat_budget b;
	std::deque<uint64_t> firsts, repeats;
	const uint64_t window = 10000000;
	uint64_t now = 5000000;

	brf_random_seeded_init(&random, 11);
	brf_repeat_budget_init(&b, 0.1, window);
	for (int i = 0; i < 20000; i++) {
		/* bursts and pauses */
		now += brf_random_below(
		    &random.random, i % 1000 < 500 ? 2000 : 60000);
		if (brf_random_below(&random.random, 2)) {
			brf_repeat_first(&b, now);
			firsts.push_back(now);
		} else if (brf_repeat_take(&b, false, now)) {
			repeats.push_back(now);
		}
		while (!firsts.empty() && firsts.front() + window < now)
			firsts.pop_front();
		while (!repeats.empty() && repeats.front() + window < now)
			repeats.pop_front();
		/* a part of the window is counted whole at its old end */
		ASSERT_LE((double)repeats.size(),
		    0.1 * ((double)firsts.size()) +
			0.1 * 0.1 * ((double)firsts.size()) + 3);
	}
	EXPECT_FALSE(repeats.empty());
}

TEST(repeat, a_part_is_kept_for_requests_that_begin)
{
	struct brf_repeat_budget b;
	size_t nested = 0, begin = 0;

	brf_repeat_budget_init(&b, 0.1, 10000000);
	for (int i = 0; i < 1000; i++)
		brf_repeat_first(&b, 1000000);
	while (brf_repeat_take(&b, true, 1000000))
		nested++;
	while (brf_repeat_take(&b, false, 1000000))
		begin++;
	EXPECT_EQ(nested, 50u);
	EXPECT_EQ(begin, 50u);
}

TEST(repeat, calls_of_repeated_requests_count)
{
	struct brf_repeat_budget b;

	brf_repeat_budget_init(&b, 0.1, 10000000);
	for (int i = 0; i < 100; i++)
		brf_repeat_first(&b, 1000000);
	for (int i = 0; i < 10; i++)
		brf_repeat_forced(&b, 1000000);
	EXPECT_FALSE(brf_repeat_take(&b, false, 1000000));
	EXPECT_TRUE(brf_repeat_left(&b, 30000000) <= 0);
}

TEST(split, parts_keep_their_weights_over_many_small_senders)
{
	const uint32_t weights[] = { 70, 20, 10, 0 };
	size_t got[4] = {};

	for (uint64_t sender = 0; sender < 100; sender++) {
		struct brf_random_seeded random;
		struct brf_split s = {};

		brf_random_seeded_init(&random, sender);
		for (int i = 0; i < 7; i++)
			got[brf_split_next(&s, weights, 4, &random.random)]++;
	}
	EXPECT_NEAR((double)got[0] / 700, 0.7, 0.03);
	EXPECT_NEAR((double)got[1] / 700, 0.2, 0.03);
	EXPECT_NEAR((double)got[2] / 700, 0.1, 0.03);
	EXPECT_EQ(got[3], 0u);
}

TEST(split, new_weights_hold_at_once)
{
	const uint32_t before[] = { 100, 0 }, after[] = { 0, 100 };
	struct brf_random_seeded random;
	struct brf_split s = {};

	brf_random_seeded_init(&random, 1);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(brf_split_next(&s, before, 2, &random.random), 0u);
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(brf_split_next(&s, after, 2, &random.random), 1u);
}

} // namespace
