#include <gtest/gtest.h>

#include <cmath>
#include <deque>

#include "policy/nesting.h"
#include "policy/throttle.h"
#include "policy/retry_window.h"
#include "policy/split.h"

namespace
{

/*
 * Eight nodes send one route's requests to a service that serves a fixed number
 * a second.  Each request ends half a second after it began, and reports its
 * congestion mark then.
 */
struct route {
	struct ended {
		uint64_t at;
		bool marked;
		struct brf_throttle *throttle;
	};
	struct brf_throttle nodes[8];
	struct brf_congestion_marker marker = {};
	struct brf_random_seeded random;
	std::deque<struct ended> open;
	double backlog = 0; /* requests begun and not yet served */
	uint64_t now = 1000000;
	size_t offered = 0;
	size_t begun = 0;

	route()
	{
		brf_random_seeded_init(&random, 3);
		for (auto &p : nodes)
			brf_throttle_init(&p, now);
	}

	/* Offer @per_s requests a second for @seconds to a service that serves
	 * @capacity a second. */
	void
	offer(double per_s, double capacity, double seconds)
	{
		uint64_t end = now + (uint64_t)(seconds * 1e6);
		auto step = (uint64_t)(1e6 / per_s);

		offered = 0;
		begun = 0;
		for (; now < end; now += step) {
			struct brf_throttle *p =
			    &nodes[brf_random_below(&random.random, 8)];

			backlog -= capacity * (double)step / 1e6;
			if (backlog < 0)
				backlog = 0;
			while (!open.empty() && open.front().at <= now) {
				brf_throttle_request_ended(
				    open.front().throttle, open.front().marked,
				    500000, now);
				open.pop_front();
			}
			offered++;
			if (!brf_throttle_admit(p, &random.random, now))
				continue;
			begun++;
			backlog += 1;
			open.push_back({ now + 500000,
			    brf_congestion_mark(&marker, 2,
				(uint64_t)((backlog - 1) / capacity * 1e6)),
			    p });
		}
	}

	double
	admit_share() const
	{
		double sum = 0;

		for (const auto &p : nodes)
			sum += p.admit_share / 8;
		return (sum);
	}
};

TEST(throttle, all_requests_begin_while_there_are_no_marks)
{
	struct route r;

	r.offer(600, 6000, 10);
	EXPECT_DOUBLE_EQ(r.admit_share(), 1);
	EXPECT_EQ(r.begun, r.offered);
}

TEST(throttle, about_as_many_begin_as_can_be_served)
{
	struct route r;

	r.offer(1200, 600, 10); /* until the share is stable */
	r.offer(1200, 600, 30);
	EXPECT_GT((double)r.begun / 30, 0.85 * 600);
	EXPECT_LT((double)r.begun / 30, 1.05 * 600);
}

TEST(throttle, all_requests_begin_again_soon_after_an_overload)
{
	struct route r;

	r.offer(1200, 600, 20);
	EXPECT_LT(r.admit_share(), 0.7);
	r.offer(300, 600, 6);
	EXPECT_DOUBLE_EQ(r.admit_share(), 1);
}

TEST(throttle, some_requests_always_begin)
{
	struct route r;

	r.offer(100, 0.001, 30);
	EXPECT_GE(r.admit_share(), BRF_THROTTLE_SHARE_MIN);
	EXPECT_GT(r.begun, 0u);
}

TEST(throttle, a_failed_request_takes_the_mark_of_a_failed_call)
{
	struct brf_pending_marks pending = {};
	uint64_t t = 1000000;

	EXPECT_FALSE(brf_pending_marks_take(&pending, true, t));
	brf_pending_marks_add(&pending, t);
	EXPECT_FALSE(brf_pending_marks_take(&pending, false, t + 1000));
	EXPECT_TRUE(brf_pending_marks_take(&pending, true, t + 1000));
	EXPECT_FALSE(brf_pending_marks_take(&pending, true, t + 1000))
	    << "the mark was taken twice";
	brf_pending_marks_add(&pending, t);
	EXPECT_TRUE(brf_pending_marks_take(&pending, false, t + 60000))
	    << "a request that succeeds although its call failed";
	brf_pending_marks_add(&pending, t);
	EXPECT_FALSE(brf_pending_marks_take(&pending, true, t + BRF_US_PER_S));
	for (unsigned i = 0; i < 3 * BRF_PENDING_MARKS_MAX; i++)
		brf_pending_marks_add(&pending, t);
	for (unsigned i = 0; i < BRF_PENDING_MARKS_MAX; i++)
		EXPECT_TRUE(brf_pending_marks_take(&pending, true, t));
	EXPECT_FALSE(brf_pending_marks_take(&pending, true, t));
}

/*
 * A third of the requests fail because their call failed from overload.  Nearly
 * all of these take a mark, and almost none of the others.
 */
TEST(throttle, marks_of_failed_calls_reach_the_requests_that_fail)
{
	struct brf_pending_marks pending = {};
	struct brf_random_seeded random;
	unsigned failed = 0, marked = 0, wrong = 0, well = 0;
	uint64_t t = 1000000;

	brf_random_seeded_init(&random, 5);
	for (unsigned i = 0; i < 20000; i++) {
		bool fails = brf_random_unit(&random.random) < 0.33;

		t += 1000;
		if (!fails) {
			well++;
			wrong += brf_pending_marks_take(&pending, false, t);
			continue;
		}
		failed++;
		brf_pending_marks_add(&pending, t);
		t += 500; /* the target fails the request */
		marked += brf_pending_marks_take(&pending, true, t);
	}
	EXPECT_GT(marked, 0.95 * failed);
	EXPECT_LT(wrong, 0.01 * well);
}

TEST(throttle, longer_waits_and_less_important_ranks_get_more_marks)
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

TEST(nesting, a_route_that_some_services_never_send_carries_calls)
{
	struct brf_nesting calls = {}, begins = {};
	struct brf_random_seeded random;
	const uint64_t all = 0xf;

	brf_random_seeded_init(&random, 2);
	for (size_t i = 0; i < 32; i++) {
		EXPECT_FALSE(brf_nesting_by_callers(&calls, all)) << i;
		brf_nesting_add_arrival(&calls, 1u << i % 2);
		brf_nesting_add_arrival(
		    &begins, 1u << brf_random_below(&random.random, 4));
	}
	EXPECT_TRUE(brf_nesting_by_callers(&calls, all));
	EXPECT_FALSE(brf_nesting_by_callers(&begins, all));
}

TEST(nesting, several_reports_of_a_gate_change_the_classification)
{
	struct brf_nesting k = {};

	EXPECT_FALSE(brf_nesting_is_nested(&k));
	for (int i = 0; i < 10; i++)
		brf_nesting_add_report(&k, true);
	EXPECT_TRUE(brf_nesting_is_nested(&k));
	brf_nesting_add_report(&k, false);
	EXPECT_TRUE(brf_nesting_is_nested(&k));
	for (int i = 0; i < 10; i++)
		brf_nesting_add_report(&k, false);
	EXPECT_FALSE(brf_nesting_is_nested(&k));
}

/*
 * Guards against a route of calls that is not recognized because VMs of all
 * services send it: its deadlines equal those of running requests.
 */
TEST(nesting, a_route_with_deadlines_of_running_requests_carries_calls)
{
	struct brf_nesting calls = {}, begins = {};
	struct brf_random_seeded random;

	brf_random_seeded_init(&random, 6);
	for (int i = 0; i < 200; i++) {
		brf_nesting_add_start(&calls, 1, 0);
		/* With many running, some deadlines are equal by chance. */
		brf_nesting_add_start(&begins,
		    brf_random_below(&random.random, 5) == 0,
		    brf_random_below(&random.random, 3));
		EXPECT_FALSE(brf_nesting_is_nested(&begins));
	}
	EXPECT_TRUE(brf_nesting_is_nested(&calls));
}

/*
 * So many requests run that most new ones have the deadline of one of them by
 * chance.  Root requests are still told from calls, which also have the
 * deadline of their own parent.
 */
TEST(nesting, root_requests_beside_very_many_running_are_not_calls)
{
	const uint64_t spread = 600 * BRF_US_PER_MS;
	struct brf_nesting calls = {}, begins = {};
	struct brf_random_seeded random;
	unsigned equal_deadlines = 0;

	brf_random_seeded_init(&random, 8);
	for (int i = 0; i < 5000; i++) {
		uint32_t same = 0, near = 0;

		for (int running = 0; running < 200; running++) {
			uint64_t apart =
			    brf_random_below(&random.random, spread / 2);

			same += apart < BRF_NESTING_SAME_US;
			near += apart >= BRF_NESTING_SAME_US &&
				apart < BRF_NESTING_NEAR_US;
		}
		equal_deadlines += same != 0;
		brf_nesting_add_start(&begins, same, near);
		brf_nesting_add_start(&calls, same + 1, near);
		ASSERT_FALSE(brf_nesting_is_nested(&begins)) << i;
		ASSERT_TRUE(i < 200 || brf_nesting_is_nested(&calls)) << i;
	}
	EXPECT_GT(equal_deadlines, 3000u);
}

/*
 * Requests of one route make calls, those of the other make none.  Deadlines of
 * both are random, and each call has the deadline of its parent.
 */
TEST(nesting, equal_deadlines_by_chance_add_no_weight)
{
	struct brf_nesting parent = {}, unrelated = {};
	struct brf_random_seeded random;

	brf_random_seeded_init(&random, 5);
	for (int i = 0; i < 4000; i++) {
		brf_nesting_add_arrival(&parent, 1);
		brf_nesting_add_arrival(&unrelated, 1);
		brf_nesting_add_call(&parent, 0);
		brf_nesting_add_call(
		    &unrelated, brf_random_below(&random.random, 100000));
	}
	EXPECT_GT(brf_nesting_calls_per_request(&parent), 0.95);
	EXPECT_LT(brf_nesting_calls_per_request(&unrelated), 0.06);
}

TEST(nesting, a_route_without_observed_calls_has_a_small_weight)
{
	struct brf_nesting fresh = {}, capped = {};

	for (int i = 0; i < 1000; i++)
		brf_nesting_add_arrival(&capped, 1);
	EXPECT_GT(brf_nesting_calls_per_request(&fresh), 0);
	EXPECT_GT(brf_nesting_calls_per_request(&capped), 0);
	EXPECT_LT(brf_nesting_calls_per_request(&capped), 0.1);
}

TEST(retry_window, retries_stay_below_the_ratio_in_any_window)
{
	struct brf_random_seeded random;
	struct brf_retry_window w;
	std::deque<uint64_t> first_attempts, retries;
	const uint64_t window = 10000000;
	uint64_t now = 5000000;

	brf_random_seeded_init(&random, 11);
	brf_retry_window_init(&w, 0.1, window);
	for (int i = 0; i < 20000; i++) {
		/* Bursts alternate with slow phases. */
		now += brf_random_below(
		    &random.random, i % 1000 < 500 ? 2000 : 60000);
		if (brf_random_below(&random.random, 2)) {
			brf_retry_window_count_first(&w, now);
			first_attempts.push_back(now);
		} else if (brf_retry_window_take(&w, false, now)) {
			retries.push_back(now);
		}
		while (!first_attempts.empty() &&
		       first_attempts.front() + window < now)
			first_attempts.pop_front();
		while (!retries.empty() && retries.front() + window < now)
			retries.pop_front();
		/* The oldest bucket leaves the window as a whole. */
		ASSERT_LE((double)retries.size(),
		    0.1 * ((double)first_attempts.size()) +
			0.1 * 0.1 * ((double)first_attempts.size()) + 3);
	}
	EXPECT_FALSE(retries.empty());
}

TEST(retry_window, half_is_reserved_for_root_requests)
{
	struct brf_retry_window w;
	size_t nested = 0, root = 0;

	brf_retry_window_init(&w, 0.1, 10000000);
	for (int i = 0; i < 1000; i++)
		brf_retry_window_count_first(&w, 1000000);
	while (brf_retry_window_take(&w, true, 1000000))
		nested++;
	while (brf_retry_window_take(&w, false, 1000000))
		root++;
	EXPECT_EQ(nested, 50u);
	EXPECT_EQ(root, 50u);
}

TEST(retry_window, calls_of_retried_requests_use_the_budget)
{
	struct brf_retry_window w;

	brf_retry_window_init(&w, 0.1, 10000000);
	for (int i = 0; i < 100; i++)
		brf_retry_window_count_first(&w, 1000000);
	for (int i = 0; i < 10; i++)
		brf_retry_window_count_forced(&w, 1000000);
	EXPECT_FALSE(brf_retry_window_take(&w, false, 1000000));
	EXPECT_TRUE(brf_retry_window_left(&w, 30000000) <= 0);
}

TEST(split, many_small_senders_together_keep_the_weights)
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

TEST(split, new_weights_apply_at_once)
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
