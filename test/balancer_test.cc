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
	add(enum brf_locality locality, uint32_t slots = 10)
	{
		targets.emplace_back();
		brf_balancer_target_init(&targets.back(), locality, slots);
		return (targets.size() - 1);
	}

	/* A hop to target @i ends with this load report of its gate. */
	void
	report(size_t i, uint16_t running, uint16_t service_ms,
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
	    std::vector<size_t> tried = {}, bool repeatable = true,
	    uint64_t max_wait_us = 0)
	{
		std::vector<struct brf_balancer_target *> list;
		bool was_tried[16] = { false };
		struct brf_balancer_request rq = { rank, nested, repeatable,
			was_tried, max_wait_us };

		for (auto &t : targets)
			list.push_back(&t);
		for (size_t i : tried)
			was_tried[i] = true;
		return (brf_balancer_choose(
		    list.data(), list.size(), &rq, &random.random, now));
	}
};

TEST_F(balancer, without_targets_none_is_chosen)
{
	EXPECT_EQ(choose(), BRF_BALANCER_NONE);
}

TEST_F(balancer, this_zone_is_preferred_among_equals)
{
	size_t far = add(BRF_LOCALITY_FAR), region = add(BRF_LOCALITY_REGION);
	size_t zone = add(BRF_LOCALITY_ZONE);

	for (size_t i : { far, region, zone })
		report(i, 1, 50);
	EXPECT_EQ(choose(), zone);
}

TEST_F(balancer, a_free_slot_is_preferred_to_a_faster_target_without_one)
{
	size_t fast = add(BRF_LOCALITY_ZONE), slow = add(BRF_LOCALITY_REGION);

	report(fast, 10, 20);
	report(slow, 3, 80);
	EXPECT_EQ(choose(), slow);
	report(fast, 5, 20);
	EXPECT_EQ(choose(), fast);
}

TEST_F(balancer, hops_sent_since_the_last_report_count)
{
	size_t a = add(BRF_LOCALITY_ZONE), b = add(BRF_LOCALITY_ZONE);

	report(a, 0, 20);
	report(b, 0, 25);
	for (int i = 0; i < 10; i++)
		brf_balancer_hop_sent(&targets[a], now);
	EXPECT_EQ(choose(), b);
}

TEST_F(balancer, a_target_that_warms_up_gets_fewer_hops)
{
	size_t cold = add(BRF_LOCALITY_ZONE), warm = add(BRF_LOCALITY_ZONE);

	report(cold, 0, 20);
	report(warm, 0, 30);
	EXPECT_EQ(choose(), cold);
	targets[cold].warmup_end = now + 1;
	EXPECT_EQ(choose(), warm);
}

TEST_F(balancer, a_target_that_fails_part_of_its_hops_gets_fewer)
{
	size_t failing = add(BRF_LOCALITY_ZONE),
	       healthy = add(BRF_LOCALITY_ZONE);

	report(healthy, 0, 50);
	for (int i = 0; i < 40; i++)
		report(failing, 0, 40,
		    i % 2 ? BRF_FEEDBACK_ANSWERED : BRF_FEEDBACK_TARGET_FAILED);
	EXPECT_EQ(choose(), healthy);
	for (int i = 0; i < 200; i++)
		report(failing, 0, 40);
	EXPECT_EQ(choose(), failing);
}

TEST_F(balancer, an_ejected_target_gets_one_probe_after_its_ejection_time)
{
	size_t dead = add(BRF_LOCALITY_ZONE), other = add(BRF_LOCALITY_REGION);

	report(dead, 0, 50);
	report(other, 0, 500);
	for (int i = 0; i < 3; i++) {
		brf_balancer_hop_sent(&targets[dead], now);
		brf_balancer_hop_ended(
		    &targets[dead], BRF_FEEDBACK_LOST, nullptr, now);
	}
	EXPECT_EQ(choose(), other);
	now += 500000;
	EXPECT_EQ(choose(2, false, {}, false), other) << "not repeatable";
	EXPECT_EQ(choose(), dead);
	brf_balancer_hop_sent(&targets[dead], now);
	EXPECT_EQ(choose(), other) << "only one probe at a time";
	struct brf_gate_load load = { 0, 10, 0, 20 };
	brf_balancer_hop_ended(
	    &targets[dead], BRF_FEEDBACK_ANSWERED, &load, now);
	EXPECT_EQ(choose(), dead);
}

TEST_F(balancer, an_ejected_target_is_the_last_resort_of_repeatable_requests)
{
	size_t dead = add(BRF_LOCALITY_ZONE), other = add(BRF_LOCALITY_REGION);

	report(other, 0, 500);
	for (int i = 0; i < 3; i++) {
		brf_balancer_hop_sent(&targets[dead], now);
		brf_balancer_hop_ended(
		    &targets[dead], BRF_FEEDBACK_LOST, nullptr, now);
	}
	EXPECT_EQ(choose(2, false, { other }), dead);
	EXPECT_EQ(choose(2, false, { other }, false), BRF_BALANCER_NONE);
	brf_balancer_hop_sent(&targets[dead], now);
	EXPECT_EQ(choose(2, false, { other }), BRF_BALANCER_NONE);
}

/*
 * Guards against ejections that only a kind of request ends which the service
 * need not get: each such service was refused for good.
 */
class ejection : public balancer
{
      protected:
	const std::vector<size_t> none;

	void
	fail(size_t i, enum brf_balancer_feedback end, int times = 3)
	{
		for (int k = 0; k < times; k++) {
			brf_balancer_hop_sent(&targets[i], now);
			brf_balancer_hop_ended(&targets[i], end, nullptr, now);
		}
	}

	size_t
	choose_unsafe()
	{
		return (choose(2, false, none, false));
	}

	/* Time until @i is chosen for an unsafe request, milliseconds. */
	uint64_t
	waited_ms(size_t i)
	{
		uint64_t start = now;

		while (choose_unsafe() != i && now - start < BRF_US_PER_S * 60)
			now += 10 * BRF_US_PER_MS;
		return ((now - start) / BRF_US_PER_MS);
	}
};

TEST_F(ejection, of_the_only_target_ends_for_unsafe_requests)
{
	size_t only = add(BRF_LOCALITY_ZONE);

	fail(only, BRF_FEEDBACK_LOST);
	EXPECT_EQ(choose_unsafe(), BRF_BALANCER_NONE);
	EXPECT_EQ(waited_ms(only), 500u);
	brf_balancer_hop_sent(&targets[only], now);
	EXPECT_EQ(choose_unsafe(), BRF_BALANCER_NONE) << "one probe at a time";
	brf_balancer_hop_ended(
	    &targets[only], BRF_FEEDBACK_ANSWERED, nullptr, now);
	EXPECT_EQ(choose_unsafe(), only);
	EXPECT_FALSE(brf_balancer_is_ejected(&targets[only]));
}

TEST_F(ejection, a_target_beside_others_is_back_within_10_s)
{
	size_t lost = add(BRF_LOCALITY_ZONE), other = add(BRF_LOCALITY_REGION);

	report(lost, 0, 20);
	fail(lost, BRF_FEEDBACK_LOST, 20);
	report(other, 10, 800, BRF_FEEDBACK_NO_CAPACITY, 10);
	EXPECT_EQ(choose_unsafe(), other);
	EXPECT_GT(waited_ms(lost), 4000u) << "repeatable requests go first";
	EXPECT_LE(now, 11 * BRF_US_PER_S);
}

TEST_F(ejection, a_repeatable_request_is_the_probe_where_there_is_one)
{
	size_t lost = add(BRF_LOCALITY_ZONE), other = add(BRF_LOCALITY_REGION);

	report(lost, 0, 20);
	report(other, 0, 500);
	fail(lost, BRF_FEEDBACK_LOST);
	now += 500 * BRF_US_PER_MS;
	EXPECT_EQ(choose_unsafe(), other);
	EXPECT_EQ(choose(), lost);
	brf_balancer_hop_sent(&targets[lost], now);
	now += BRF_US_PER_S;
	EXPECT_EQ(choose_unsafe(), other);
}

TEST_F(ejection, without_a_request_lost_any_request_is_the_probe_at_once)
{
	size_t only = add(BRF_LOCALITY_ZONE);

	fail(only, BRF_FEEDBACK_UNREACHABLE, 20);
	EXPECT_EQ(targets[only].success_rate, 1) << "it was never asked";
	EXPECT_EQ(choose_unsafe(), only);
	brf_balancer_hop_sent(&targets[only], now);
	EXPECT_EQ(choose_unsafe(), BRF_BALANCER_NONE);
	brf_balancer_hop_ended(&targets[only], BRF_FEEDBACK_LOST, nullptr, now);
	EXPECT_EQ(choose_unsafe(), BRF_BALANCER_NONE);
	EXPECT_EQ(waited_ms(only), 4000u);
}

TEST_F(ejection, ends_with_an_entry_only_where_nothing_reached_the_target)
{
	size_t unreached = add(BRF_LOCALITY_ZONE),
	       lost = add(BRF_LOCALITY_ZONE);

	fail(unreached, BRF_FEEDBACK_UNREACHABLE);
	fail(lost, BRF_FEEDBACK_UNREACHABLE, 2);
	fail(lost, BRF_FEEDBACK_LOST, 1);
	for (auto &t : targets)
		brf_balancer_announced(&t);
	EXPECT_FALSE(brf_balancer_is_ejected(&targets[unreached]));
	EXPECT_TRUE(brf_balancer_is_ejected(&targets[lost]));
}

TEST_F(ejection, of_an_earlier_incarnation_is_forgotten)
{
	size_t t = add(BRF_LOCALITY_ZONE);

	report(t, 9, 900);
	fail(t, BRF_FEEDBACK_LOST, 20);
	brf_balancer_hop_sent(&targets[t], now);
	brf_balancer_new_incarnation(&targets[t]);
	EXPECT_EQ(choose_unsafe(), t);
	EXPECT_EQ(targets[t].success_rate, 1);
	EXPECT_EQ(targets[t].in_flight, 1u) << "the hop is still open";
}

/*
 * Guards against a new target beside fast ones that looks slow by its default
 * service time, and so never gets a hop which would correct that.
 */
TEST_F(balancer, a_target_without_a_report_is_assumed_to_be_like_the_others)
{
	size_t known = add(BRF_LOCALITY_ZONE), unknown = add(BRF_LOCALITY_ZONE);
	size_t chosen = 0;

	report(known, 0, 2);
	for (int i = 0; i < 100; i++)
		chosen += choose() == unknown;
	EXPECT_GT(chosen, 20u);
	EXPECT_LT(chosen, 80u);
}

/* Where the only target that had reported started again, one that had just
 * joined was assumed to be slower than those that were there before. */
TEST_F(balancer, targets_without_a_report_are_assumed_to_be_alike)
{
	size_t reporting = add(BRF_LOCALITY_ZONE);
	size_t silent = add(BRF_LOCALITY_ZONE);

	report(reporting, 0, 1);
	choose();
	brf_balancer_new_incarnation(&targets[reporting]);
	size_t joined = add(BRF_LOCALITY_ZONE);
	choose();
	for (size_t i : { reporting, silent })
		EXPECT_EQ(brf_balancer_estimate_us(&targets[i], now),
		    brf_balancer_estimate_us(&targets[joined], now));
}

TEST_F(balancer, the_other_region_is_used_without_a_target_in_this_one)
{
	size_t far = add(BRF_LOCALITY_FAR), near = add(BRF_LOCALITY_REGION);

	report(far, 0, 10);
	report(near, 10, 100, BRF_FEEDBACK_NO_CAPACITY, 30);
	EXPECT_EQ(choose(2), near);
	EXPECT_EQ(choose(2, false, { near }), BRF_BALANCER_NONE);
	EXPECT_EQ(choose(0, true, { near }), BRF_BALANCER_NONE);
	EXPECT_EQ(choose(0, false, { near }), far);
	targets[near].draining = true;
	EXPECT_EQ(choose(2), far);
}

TEST_F(balancer, when_all_targets_of_a_region_drain_calls_go_to_the_other)
{
	size_t far = add(BRF_LOCALITY_FAR), zone = add(BRF_LOCALITY_ZONE);
	size_t region = add(BRF_LOCALITY_REGION);

	report(far, 0, 10);
	report(zone, 0, 10, BRF_FEEDBACK_DRAINING);
	EXPECT_EQ(choose(2, true, { zone }), region);
	report(region, 0, 10, BRF_FEEDBACK_DRAINING);
	EXPECT_EQ(choose(2, true, { zone, region }), far);
	EXPECT_EQ(choose(2, true), far)
	    << "a draining target was tried again too soon";
	now += 3 * BRF_US_PER_S;
	EXPECT_EQ(choose(2, true), zone) << "the backoff is over";
}

TEST_F(balancer, calls_stay_in_a_region_that_is_only_full)
{
	size_t far = add(BRF_LOCALITY_FAR), zone = add(BRF_LOCALITY_ZONE);

	report(far, 0, 10);
	report(zone, 10, 10, BRF_FEEDBACK_NO_CAPACITY, 5);
	EXPECT_EQ(choose(2, true, { zone }), BRF_BALANCER_NONE);
}

TEST_F(balancer, a_draining_target_gets_no_hops)
{
	size_t a = add(BRF_LOCALITY_ZONE);

	targets[a].draining = true;
	EXPECT_EQ(choose(), BRF_BALANCER_NONE);
}

/*
 * Sixteen senders choose among four targets of different speed by the loads
 * last reported to them.  All slots are used before any request has to wait.
 */
TEST_F(balancer, many_senders_fill_all_slots_before_a_request_waits)
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
	/* A sender receives new reports only when it sends. */
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

class limited_balancer : public balancer
{
      protected:
	void
	limit(size_t i, double rate, uint64_t wait_us)
	{
		struct brf_target_report r = { 0, { rate, now, false, true },
			wait_us };

		report(i, 0, 20);
		brf_balancer_report(&targets[i], &r, now);
	}

	size_t
	choose_with_wait(uint64_t max_wait_us, std::vector<size_t> tried = {})
	{
		return (choose(2, false, tried, true, max_wait_us));
	}
};

TEST_F(limited_balancer, a_used_up_limit_sends_the_load_to_others)
{
	size_t limited = add(BRF_LOCALITY_ZONE);
	size_t free_one = add(BRF_LOCALITY_FAR);

	report(free_one, 9, 200);
	limit(limited, 10, 100000);
	EXPECT_EQ(choose_with_wait(500000), free_one);
	now += 100000;
	report(free_one, 9, 200);
	EXPECT_EQ(choose_with_wait(500000), limited);
}

TEST_F(limited_balancer, a_hop_uses_the_permit_that_this_node_knows_of)
{
	size_t limited = add(BRF_LOCALITY_ZONE);
	size_t other = add(BRF_LOCALITY_ZONE);

	report(other, 9, 200);
	limit(limited, 10, 0);
	EXPECT_EQ(choose_with_wait(0), limited);
	brf_balancer_hop_sent(&targets[limited], now);
	EXPECT_EQ(choose_with_wait(0), other);
}

TEST_F(limited_balancer, with_limits_everywhere_the_shortest_wait_is_chosen)
{
	size_t longer = add(BRF_LOCALITY_ZONE);
	size_t shorter = add(BRF_LOCALITY_ZONE);

	limit(longer, 10, 300000);
	limit(shorter, 10, 100000);
	EXPECT_EQ(choose_with_wait(500000), shorter);
	EXPECT_EQ(choose_with_wait(500000, { shorter }), longer);
	EXPECT_EQ(choose_with_wait(50000), BRF_BALANCER_NONE);
}

TEST_F(limited_balancer, a_limit_is_no_fault)
{
	size_t limited = add(BRF_LOCALITY_ZONE);

	for (int i = 0; i < 20; i++)
		report(limited, 0, 20, BRF_FEEDBACK_RATE_LIMIT);
	EXPECT_EQ(targets[limited].success_rate, 1);
	EXPECT_EQ(targets[limited].consecutive_failures, 0u);
	EXPECT_EQ(choose_with_wait(0), limited);
}

TEST_F(limited_balancer, a_target_that_leaves_gets_nothing)
{
	size_t i = add(BRF_LOCALITY_ZONE);
	struct brf_target_report r = { 0, { 0, 0, true, true }, 0 };

	report(i, 0, 20);
	brf_balancer_report(&targets[i], &r, now);
	r.self.leaving = false;
	brf_balancer_report(&targets[i], &r, now);
	EXPECT_EQ(choose(), BRF_BALANCER_NONE);
}

} // namespace

/* The load: all targets have free slots, so that no request is driven to one
 * that is not known. */
TEST_F(balancer, a_target_that_joins_gets_work_though_others_are_free)
{
	add(BRF_LOCALITY_ZONE, 100);
	size_t slow = add(BRF_LOCALITY_ZONE, 100);
	size_t joined = BRF_BALANCER_NONE;
	std::vector<int> hops(3);

	report(0, 5, 100);
	report(slow, 5, 400);
	for (int i = 0; i < 2000; i++) {
		now += 5000;
		if (i == 1000)
			joined = add(BRF_LOCALITY_ZONE, 100);
		size_t chosen = choose();
		hops[chosen]++;
		report(chosen, 5,
		    chosen == joined ? 50
		    : chosen == slow ? 400
				     : 100);
	}
	EXPECT_GT(hops[joined], 700) << "it is the fastest of them";
	EXPECT_EQ(hops[slow], 0) << "it is known";
}

TEST_F(balancer, a_target_of_another_zone_is_not_tested)
{
	add(BRF_LOCALITY_ZONE, 100);
	size_t region = add(BRF_LOCALITY_REGION, 100);
	int hops = 0;

	report(0, 5, 100);
	for (int i = 0; i < 2000; i++) {
		now += 5000;
		size_t chosen = choose();
		hops += chosen == region;
		report(chosen, 5, 100);
	}
	EXPECT_EQ(hops, 0);
}

TEST_F(balancer, nothing_is_tested_that_warms_up_leaves_or_is_not_reached)
{
	add(BRF_LOCALITY_ZONE, 100);
	size_t cold = add(BRF_LOCALITY_ZONE), draining = add(BRF_LOCALITY_ZONE),
	       silent = add(BRF_LOCALITY_ZONE), far = add(BRF_LOCALITY_FAR);

	targets[cold].warmup_end = UINT64_MAX;
	targets[draining].draining = true;
	targets[silent].silent = true;
	for (int i = 0; i < 500; i++) {
		now += 5000;
		size_t chosen = choose();
		ASSERT_NE(chosen, cold);
		ASSERT_NE(chosen, draining);
		ASSERT_NE(chosen, silent);
		ASSERT_NE(chosen, far);
		report(chosen, 5, 20);
	}
}
