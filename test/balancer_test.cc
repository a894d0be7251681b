#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/balancer.h"

namespace
{

class balancer : public ::testing::Test
{
      protected:
	std::vector<struct brf_balancer_target> targets;
	struct brf_random_seeded random;
	uint64_t now = 1000000;

	void
	SetUp() override
	{
		brf_random_seeded_init(&random, 7);
	}

	size_t
	add(enum brf_locality ring, uint32_t slots = 10)
	{
		targets.emplace_back();
		brf_balancer_target_init(&targets.back(), ring, slots);
		return (targets.size() - 1);
	}

	/* What @i's gate says of itself. */
	void
	tell(size_t i, uint16_t running, uint16_t service_ms,
	    enum brf_balancer_feedback end = BRF_FEEDBACK_ANSWERED,
	    uint16_t waiting = 0)
	{
		struct brf_gate_load load = { running,
			(uint16_t)targets[i].slots, waiting, service_ms };

		brf_balancer_hop_sent(&targets[i], now);
		brf_balancer_hop_ended(&targets[i], end, &load, now);
	}

	size_t
	choose(uint32_t rank = 2, bool nested = false,
	    std::vector<size_t> tried = {}, bool repeatable = true)
	{
		std::vector<struct brf_balancer_target *> list;
		bool was_tried[16] = { false };
		struct brf_balancer_request rq = { rank, nested, repeatable,
			was_tried };

		for (auto &t : targets)
			list.push_back(&t);
		for (size_t i : tried)
			was_tried[i] = true;
		return (brf_balancer_choose(
		    list.data(), list.size(), &rq, &random.random, now));
	}
};

TEST_F(balancer, nothing_comes_of_no_targets)
{
	EXPECT_EQ(choose(), BRF_BALANCER_NONE);
}

TEST_F(balancer, the_own_zone_goes_first_among_equals)
{
	size_t far = add(BRF_LOCALITY_FAR), region = add(BRF_LOCALITY_REGION);
	size_t zone = add(BRF_LOCALITY_ZONE);

	for (size_t i : { far, region, zone })
		tell(i, 1, 50);
	EXPECT_EQ(choose(), zone);
}

TEST_F(balancer, a_free_slot_goes_before_a_faster_target_without_one)
{
	size_t fast = add(BRF_LOCALITY_ZONE), slow = add(BRF_LOCALITY_REGION);

	tell(fast, 10, 20);
	tell(slow, 3, 80);
	EXPECT_EQ(choose(), slow);
	tell(fast, 5, 20);
	EXPECT_EQ(choose(), fast);
}

TEST_F(balancer, hops_sent_since_the_last_word_count)
{
	size_t a = add(BRF_LOCALITY_ZONE), b = add(BRF_LOCALITY_ZONE);

	tell(a, 0, 20);
	tell(b, 0, 25);
	for (int i = 0; i < 10; i++)
		brf_balancer_hop_sent(&targets[a], now);
	EXPECT_EQ(choose(), b);
}

TEST_F(balancer, a_target_that_warms_up_gets_less)
{
	size_t cold = add(BRF_LOCALITY_ZONE), warm = add(BRF_LOCALITY_ZONE);

	tell(cold, 0, 20);
	tell(warm, 0, 30);
	EXPECT_EQ(choose(), cold);
	targets[cold].warmup_end = now + 1;
	EXPECT_EQ(choose(), warm);
}

TEST_F(balancer, a_target_that_fails_part_of_its_hops_gets_less)
{
	size_t grey = add(BRF_LOCALITY_ZONE), sound = add(BRF_LOCALITY_ZONE);

	tell(sound, 0, 50);
	for (int i = 0; i < 40; i++)
		tell(grey, 0, 40,
		    i % 2 ? BRF_FEEDBACK_ANSWERED : BRF_FEEDBACK_TARGET_FAILED);
	EXPECT_EQ(choose(), sound);
	for (int i = 0; i < 200; i++)
		tell(grey, 0, 40);
	EXPECT_EQ(choose(), grey);
}

TEST_F(balancer, who_is_silent_three_times_gets_one_probe_after_a_while)
{
	size_t dead = add(BRF_LOCALITY_ZONE), other = add(BRF_LOCALITY_REGION);

	tell(dead, 0, 50);
	tell(other, 0, 500);
	for (int i = 0; i < 3; i++) {
		brf_balancer_hop_sent(&targets[dead], now);
		brf_balancer_hop_ended(
		    &targets[dead], BRF_FEEDBACK_UNREACHABLE, nullptr, now);
	}
	EXPECT_EQ(choose(), other);
	now += 500000;
	EXPECT_EQ(choose(2, false, {}, false), other) << "not repeatable";
	EXPECT_EQ(choose(), dead);
	brf_balancer_hop_sent(&targets[dead], now);
	EXPECT_EQ(choose(), other) << "one at a time";
	struct brf_gate_load load = { 0, 10, 0, 20 };
	brf_balancer_hop_ended(
	    &targets[dead], BRF_FEEDBACK_ANSWERED, &load, now);
	EXPECT_EQ(choose(), dead);
}

TEST_F(balancer, who_is_ejected_is_the_last_that_a_repeatable_request_tries)
{
	size_t dead = add(BRF_LOCALITY_ZONE), other = add(BRF_LOCALITY_REGION);

	tell(other, 0, 500);
	for (int i = 0; i < 3; i++) {
		brf_balancer_hop_sent(&targets[dead], now);
		brf_balancer_hop_ended(
		    &targets[dead], BRF_FEEDBACK_UNREACHABLE, nullptr, now);
	}
	EXPECT_EQ(choose(2, false, { other }), dead);
	EXPECT_EQ(choose(2, false, { other }, false), BRF_BALANCER_NONE);
	brf_balancer_hop_sent(&targets[dead], now);
	EXPECT_EQ(choose(2, false, { other }), BRF_BALANCER_NONE);
}

/* Among quick ones it would else look slow for as long as it gets nothing. */
TEST_F(balancer, who_was_never_heard_is_taken_to_be_like_the_others)
{
	size_t known = add(BRF_LOCALITY_ZONE), fresh = add(BRF_LOCALITY_ZONE);
	size_t got = 0;

	tell(known, 0, 2);
	for (int i = 0; i < 100; i++)
		got += choose() == fresh;
	EXPECT_GT(got, 20u);
	EXPECT_LT(got, 80u);
}

TEST_F(balancer, the_other_region_is_for_those_without_a_target_here)
{
	size_t far = add(BRF_LOCALITY_FAR), near = add(BRF_LOCALITY_REGION);

	tell(far, 0, 10);
	tell(near, 10, 100, BRF_FEEDBACK_NO_CAPACITY, 30);
	EXPECT_EQ(choose(2), near);
	EXPECT_EQ(choose(2, false, { near }), BRF_BALANCER_NONE);
	EXPECT_EQ(choose(0, true, { near }), BRF_BALANCER_NONE);
	EXPECT_EQ(choose(0, false, { near }), far);
	targets[near].draining = true;
	EXPECT_EQ(choose(2), far);
}

TEST_F(balancer, a_region_whose_targets_all_leave_sends_calls_to_the_other)
{
	size_t far = add(BRF_LOCALITY_FAR), zone = add(BRF_LOCALITY_ZONE);
	size_t region = add(BRF_LOCALITY_REGION);

	tell(far, 0, 10);
	tell(zone, 0, 10, BRF_FEEDBACK_DRAINING);
	EXPECT_EQ(choose(2, true, { zone }), region);
	tell(region, 0, 10, BRF_FEEDBACK_DRAINING);
	EXPECT_EQ(choose(2, true, { zone, region }), far);
	EXPECT_EQ(choose(2, true), far) << "asked again too soon";
	now += 3 * BRF_US_PER_S;
	EXPECT_EQ(choose(2, true), zone) << "it may be back";
}

TEST_F(balancer, a_region_that_is_only_full_keeps_its_calls)
{
	size_t far = add(BRF_LOCALITY_FAR), zone = add(BRF_LOCALITY_ZONE);

	tell(far, 0, 10);
	tell(zone, 10, 10, BRF_FEEDBACK_NO_CAPACITY, 5);
	EXPECT_EQ(choose(2, true, { zone }), BRF_BALANCER_NONE);
}

TEST_F(balancer, a_draining_target_gets_nothing)
{
	size_t a = add(BRF_LOCALITY_ZONE);

	targets[a].draining = true;
	EXPECT_EQ(choose(), BRF_BALANCER_NONE);
}

/*
 * Sixteen senders that know only what they were last told share four targets
 * of unlike speed; all slots get used before any sender has to wait.
 */
TEST_F(balancer, many_senders_fill_all_slots_before_one_waits)
{
	struct server {
		uint32_t running;
		double service;
	} servers[4] = { { 0, 20 }, { 0, 20 }, { 0, 60 }, { 0, 60 } };
	std::vector<std::vector<struct brf_balancer_target>> senders(16);
	size_t waited = 0;

	for (auto &s : senders) {
		for (int k = 0; k < 4; k++) {
			s.emplace_back();
			brf_balancer_target_init(
			    &s.back(), BRF_LOCALITY_REGION, 24);
		}
	}
	/* what each has told, it keeps to until it sends again */
	for (int i = 0; i < 90; i++) {
		auto &s = senders[brf_random_below(&random.random, 16)];
		std::vector<struct brf_balancer_target *> list;
		bool tried[4] = { false };
		struct brf_balancer_request rq = { 2, false, true, tried };

		for (int k = 0; k < 4; k++) {
			struct brf_gate_load load = {
				(uint16_t)std::min(24u, servers[k].running), 24,
				(uint16_t)(servers[k].running > 24
					       ? servers[k].running - 24
					       : 0),
				(uint16_t)servers[k].service
			};

			brf_balancer_hop_sent(&s[k], now);
			brf_balancer_hop_ended(
			    &s[k], BRF_FEEDBACK_ANSWERED, &load, now);
			list.push_back(&s[k]);
		}
		size_t n = brf_balancer_choose(
		    list.data(), 4, &rq, &random.random, now);

		ASSERT_NE(n, BRF_BALANCER_NONE);
		if (servers[n].running >= 24)
			waited++;
		servers[n].running++;
		now += 100;
	}
	EXPECT_EQ(waited, 0u);
}

} // namespace
