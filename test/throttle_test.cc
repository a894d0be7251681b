#include <gtest/gtest.h>

#include <cmath>
#include <deque>

#include "policy/kinship.h"
#include "policy/throttle.h"
#include "policy/retry_window.h"
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
		struct brf_throttle *pace;
	};
	struct brf_throttle nodes[8];
	struct brf_congestion_marker marker = {};
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
			brf_throttle_init(&p, now);
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
			struct brf_throttle *p =
			    &nodes[brf_random_below(&random.random, 8)];

			level -= capacity * (double)step / 1e6;
			if (level < 0)
				level = 0;
			while (!open.empty() && open.front().at <= now) {
				brf_throttle_request_ended(open.front().pace,
				    open.front().marked, 500000, now);
				open.pop_front();
			}
			asked++;
			if (!brf_throttle_admit(p, &random.random, now))
				continue;
			begun++;
			level += 1;
			open.push_back({ now + 500000,
			    brf_congestion_mark(&marker, 2,
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
	EXPECT_GE(r.share(), BRF_THROTTLE_SHARE_MIN);
	EXPECT_GT(r.begun, 0u);
}

TEST(pace, a_failed_request_takes_over_the_mark_of_a_failed_call)
{
	struct brf_pending_marks owed = {};
	uint64_t t = 1000000;

	EXPECT_FALSE(brf_pending_marks_take(&owed, true, t));
	brf_pending_marks_add(&owed, t);
	EXPECT_FALSE(brf_pending_marks_take(&owed, false, t + 1000));
	EXPECT_TRUE(brf_pending_marks_take(&owed, true, t + 1000));
	EXPECT_FALSE(brf_pending_marks_take(&owed, true, t + 1000)) << "taken twice";
	brf_pending_marks_add(&owed, t);
	EXPECT_TRUE(brf_pending_marks_take(&owed, false, t + 60000))
	    << "a request that bears the failure of its call";
	brf_pending_marks_add(&owed, t);
	EXPECT_FALSE(brf_pending_marks_take(&owed, true, t + BRF_US_PER_S));
	for (unsigned i = 0; i < 3 * BRF_PENDING_MARKS_MAX; i++)
		brf_pending_marks_add(&owed, t);
	for (unsigned i = 0; i < BRF_PENDING_MARKS_MAX; i++)
		EXPECT_TRUE(brf_pending_marks_take(&owed, true, t));
	EXPECT_FALSE(brf_pending_marks_take(&owed, true, t));
}

/*
 * A service of many running requests whose calls fail for pressure, one of
 * three calls, and end the requests that made them: of these, most bear the
 * mark, and next to none of the others.
 */
TEST(pace, marks_of_failed_calls_reach_the_requests_that_fail)
{
	struct brf_pending_marks owed = {};
	struct brf_random_seeded random;
	unsigned failed = 0, marked = 0, wrong = 0, well = 0;
	uint64_t t = 1000000;

	brf_random_seeded_init(&random, 5);
	for (unsigned i = 0; i < 20000; i++) {
		bool fails = brf_random_unit(&random.random) < 0.33;

		t += 1000;
		if (!fails) {
			well++;
			wrong += brf_pending_marks_take(&owed, false, t);
			continue;
		}
		failed++;
		brf_pending_marks_add(&owed, t);
		t += 500; /* until the target has answered */
		marked += brf_pending_marks_take(&owed, true, t);
	}
	EXPECT_GT(marked, 0.95 * failed);
	EXPECT_LT(wrong, 0.01 * well);
}

TEST(pace, marks_grow_with_the_wait_and_fall_with_importance)
{
	size_t marks[4] = {}, longer = 0;
	struct brf_congestion_marker m = {}, other = {};

	for (int i = 0; i < 1000; i++) {
		for (uint32_t rank = 0; rank < 4; rank++)
			marks[rank] += brf_congestion_mark(&m, rank, 20000);
		longer += brf_congestion_mark(&other, 0, 40000);
		EXPECT_FALSE(brf_congestion_mark(&other, 1, 0));
	}
	EXPECT_LT(marks[0], marks[1]);
	EXPECT_LT(marks[1], marks[2]);
	EXPECT_NEAR((double)longer, 2.0 * (double)marks[0], 2);
	EXPECT_NEAR((double)marks[2] + (double)marks[3], 2 * 333, 2);
}

TEST(kinship, a_route_that_some_services_never_send_is_of_calls)
{
	struct brf_kinship calls = {}, begins = {};
	struct brf_random_seeded random;
	const uint64_t all = 0xf;

	brf_random_seeded_init(&random, 2);
	for (size_t i = 0; i < 32; i++) {
		EXPECT_FALSE(brf_kinship_is_inner(&calls, all)) << i;
		brf_kinship_visit(&calls, 1u << i % 2);
		brf_kinship_visit(
		    &begins, 1u << brf_random_below(&random.random, 4));
	}
	EXPECT_TRUE(brf_kinship_is_inner(&calls, all));
	EXPECT_FALSE(brf_kinship_is_inner(&begins, all));
}

TEST(kinship, what_gates_say_is_taken_up_after_a_few_words)
{
	struct brf_kinship k = {};

	EXPECT_FALSE(brf_kinship_is_call(&k));
	for (int i = 0; i < 10; i++)
		brf_kinship_told(&k, true);
	EXPECT_TRUE(brf_kinship_is_call(&k));
	brf_kinship_told(&k, false);
	EXPECT_TRUE(brf_kinship_is_call(&k));
	for (int i = 0; i < 10; i++)
		brf_kinship_told(&k, false);
	EXPECT_FALSE(brf_kinship_is_call(&k));
}

/* All services may send a call. */
TEST(kinship, a_route_that_ends_together_with_running_requests_is_of_calls)
{
	struct brf_kinship calls = {}, begins = {};
	struct brf_random_seeded random;

	brf_random_seeded_init(&random, 6);
	for (int i = 0; i < 200; i++) {
		brf_kinship_began(&calls, 1, 0);
		/* with many running, some end together by chance */
		brf_kinship_began(&begins,
		    brf_random_below(&random.random, 5) == 0,
		    brf_random_below(&random.random, 3));
		EXPECT_FALSE(brf_kinship_is_call(&begins));
	}
	EXPECT_TRUE(brf_kinship_is_call(&calls));
}

/*
 * So many run that most requests end together with one of them by chance;
 * calls still end together with their own, and what begins is told apart.
 */
TEST(kinship, requests_that_begin_beside_very_many_running_are_no_calls)
{
	const uint64_t spread = 600 * BRF_US_PER_MS;
	struct brf_kinship calls = {}, begins = {};
	struct brf_random_seeded random;
	unsigned together = 0;

	brf_random_seeded_init(&random, 8);
	for (int i = 0; i < 5000; i++) {
		uint32_t same = 0, near = 0;

		for (int running = 0; running < 200; running++) {
			uint64_t apart =
			    brf_random_below(&random.random, spread / 2);

			same += apart < BRF_KINSHIP_SAME_US;
			near += apart >= BRF_KINSHIP_SAME_US &&
				apart < BRF_KINSHIP_NEAR_US;
		}
		together += same != 0;
		brf_kinship_began(&begins, same, near);
		brf_kinship_began(&calls, same + 1, near);
		ASSERT_FALSE(brf_kinship_is_call(&begins)) << i;
		ASSERT_TRUE(i < 200 || brf_kinship_is_call(&calls)) << i;
	}
	EXPECT_GT(together, 3000u);
}

/*
 * One route's requests make calls, another's make none.  Both end at random
 * times, and each call ends with its parent.
 */
TEST(kinship, calls_alike_by_chance_do_not_weigh)
{
	struct brf_kinship parent = {}, stranger = {};
	struct brf_random_seeded random;

	brf_random_seeded_init(&random, 5);
	for (int i = 0; i < 4000; i++) {
		brf_kinship_visit(&parent, 1);
		brf_kinship_visit(&stranger, 1);
		brf_kinship_compare(&parent, 0);
		brf_kinship_compare(
		    &stranger, brf_random_below(&random.random, 100000));
	}
	EXPECT_GT(brf_kinship_weight(&parent), 0.95);
	EXPECT_LT(brf_kinship_weight(&stranger), 0.06);
}

TEST(kinship, a_route_without_calls_seen_weighs_a_little)
{
	struct brf_kinship fresh = {}, capped = {};

	for (int i = 0; i < 1000; i++)
		brf_kinship_visit(&capped, 1);
	EXPECT_GT(brf_kinship_weight(&fresh), 0);
	EXPECT_GT(brf_kinship_weight(&capped), 0);
	EXPECT_LT(brf_kinship_weight(&capped), 0.1);
}

TEST(repeat, nobody_repeats_more_than_his_share_in_any_window)
{
	struct brf_random_seeded random;
	struct brf_retry_window b;
	std::deque<uint64_t> firsts, repeats;
	const uint64_t window = 10000000;
	uint64_t now = 5000000;

	brf_random_seeded_init(&random, 11);
	brf_retry_window_init(&b, 0.1, window);
	for (int i = 0; i < 20000; i++) {
		/* bursts and pauses */
		now += brf_random_below(
		    &random.random, i % 1000 < 500 ? 2000 : 60000);
		if (brf_random_below(&random.random, 2)) {
			brf_retry_window_count_first(&b, now);
			firsts.push_back(now);
		} else if (brf_retry_window_take(&b, false, now)) {
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
	struct brf_retry_window b;
	size_t nested = 0, begin = 0;

	brf_retry_window_init(&b, 0.1, 10000000);
	for (int i = 0; i < 1000; i++)
		brf_retry_window_count_first(&b, 1000000);
	while (brf_retry_window_take(&b, true, 1000000))
		nested++;
	while (brf_retry_window_take(&b, false, 1000000))
		begin++;
	EXPECT_EQ(nested, 50u);
	EXPECT_EQ(begin, 50u);
}

TEST(repeat, calls_of_repeated_requests_count)
{
	struct brf_retry_window b;

	brf_retry_window_init(&b, 0.1, 10000000);
	for (int i = 0; i < 100; i++)
		brf_retry_window_count_first(&b, 1000000);
	for (int i = 0; i < 10; i++)
		brf_retry_window_count_forced(&b, 1000000);
	EXPECT_FALSE(brf_retry_window_take(&b, false, 1000000));
	EXPECT_TRUE(brf_retry_window_left(&b, 30000000) <= 0);
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
