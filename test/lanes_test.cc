#include <gtest/gtest.h>

#include <vector>

#include "policy/lanes.h"

namespace
{

struct job {
	struct brf_lane_ticket t = {};
	bool granted = false;
	bool refused = false;
	enum brf_reason reason = BRF_R_NONE;
};

void
on_grant(struct brf_lane_ticket *t)
{
	brf_container_of(t, struct job, t)->granted = true;
}

void
on_refuse(struct brf_lane_ticket *t, enum brf_reason reason)
{
	struct job *j = brf_container_of(t, struct job, t);

	j->refused = true;
	j->reason = reason;
}

class lanes : public ::testing::Test
{
      protected:
	struct brf_clock_manual clock;
	struct brf_timers *timers = nullptr;
	struct brf_lanes *l = nullptr;
	std::vector<struct job *> jobs;

	void
	SetUp() override
	{
		brf_clock_manual_init(&clock, 1000000);
		timers = brf_timers_new(&clock.clock);
		l = brf_lanes_new(timers);
		brf_lanes_set_slots(l, 4); /* three are used */
	}

	void
	TearDown() override
	{
		for (auto *j : jobs) {
			brf_lanes_withdraw(&j->t);
			brf_lanes_finish(&j->t, 0);
			delete j;
		}
		brf_lanes_free(l);
		brf_timers_free(timers);
	}

	struct job *
	submit(uint32_t rank, bool nested, enum brf_lanes_result want,
	    uint64_t patience = 10000000)
	{
		auto *j = new struct job;

		j->t.rank = rank;
		j->t.nested = nested;
		j->t.deadline = clock.now + 10000000;
		j->t.max_wait_us = patience;
		j->t.grant = on_grant;
		j->t.refuse = on_refuse;
		jobs.push_back(j);
		EXPECT_EQ(brf_lanes_submit(l, &j->t), want);
		return (j);
	}

	void
	advance(uint64_t us)
	{
		clock.now += us;
		brf_timers_run(timers);
	}

	/* Fill all slots; each run is known to take @took_us. */
	std::vector<struct job *>
	fill(uint64_t took_us)
	{
		std::vector<struct job *> running;
		struct job *first = submit(0, false, BRF_LANES_RUN);

		brf_lanes_finish(&first->t, took_us);
		for (int i = 0; i < 3; i++)
			running.push_back(submit(0, false, BRF_LANES_RUN));
		return (running);
	}
};

TEST_F(lanes, some_slots_stay_free)
{
	EXPECT_EQ(brf_lanes_limit(l), 3u);
	brf_lanes_set_slots(l, 26);
	EXPECT_EQ(brf_lanes_limit(l), 24u);
	brf_lanes_set_slots(l, 1);
	EXPECT_EQ(brf_lanes_limit(l), 1u);
}

TEST_F(lanes, rank_goes_first_then_what_runs_already_then_arrival)
{
	auto running = fill(1000);
	struct job *low = submit(2, false, BRF_LANES_WAIT);
	struct job *low_call = submit(2, true, BRF_LANES_WAIT);
	struct job *high = submit(0, false, BRF_LANES_WAIT);
	struct job *high_call = submit(0, true, BRF_LANES_WAIT);
	struct job *high_later = submit(0, false, BRF_LANES_WAIT);
	std::vector<struct job *> order = { high_call, high, high_later,
		low_call, low };

	for (size_t i = 0; i < order.size(); i++) {
		struct job *done = i < 3 ? running[i] : order[i - 3];

		brf_lanes_finish(&done->t, 1000);
		for (size_t k = 0; k < order.size(); k++)
			EXPECT_EQ(order[k]->granted, k <= i) << i << " " << k;
	}
}

TEST_F(lanes, who_would_wait_too_long_is_refused_on_arrival)
{
	fill(90000);
	/* one run of 90 ms by three slots: 30 ms for each that is ahead */
	submit(1, false, BRF_LANES_WAIT, 65000);
	submit(1, false, BRF_LANES_WAIT, 65000);
	submit(1, false, BRF_LANES_REFUSE, 65000);
	submit(1, true, BRF_LANES_WAIT, 65000); /* goes before those */
	submit(0, false, BRF_LANES_WAIT, 65000);
}

TEST_F(lanes, patience_ends_a_wait_that_was_longer_than_expected)
{
	auto running = fill(1000);
	struct job *j = submit(1, false, BRF_LANES_WAIT, 50000);

	advance(49000);
	EXPECT_FALSE(j->refused);
	advance(2000);
	EXPECT_TRUE(j->refused);
	EXPECT_EQ(j->reason, BRF_R_EXPIRED);
	brf_lanes_finish(&running[0]->t, 1000);
	EXPECT_FALSE(j->granted);
}

TEST_F(lanes, nobody_waits_past_what_his_deadline_leaves)
{
	fill(100000);
	auto *j = new struct job;

	jobs.push_back(j);
	j->t.deadline = clock.now + 90000; /* less than one run */
	j->t.max_wait_us = UINT64_MAX;
	j->t.nested = true;
	j->t.grant = on_grant;
	j->t.refuse = on_refuse;
	EXPECT_EQ(brf_lanes_submit(l, &j->t), BRF_LANES_REFUSE);
}

TEST_F(lanes, the_wait_is_told)
{
	auto running = fill(1000);
	struct job *j = submit(1, false, BRF_LANES_WAIT);

	advance(7000);
	brf_lanes_finish(&running[0]->t, 1000);
	EXPECT_TRUE(j->granted);
	EXPECT_EQ(j->t.waited_us, 7000u);
}

TEST_F(lanes, draining_refuses_all_that_wait)
{
	fill(1000);
	struct job *a = submit(1, false, BRF_LANES_WAIT);
	struct job *b = submit(0, true, BRF_LANES_WAIT);

	brf_lanes_drain(l, BRF_R_DRAINING);
	EXPECT_TRUE(a->refused && b->refused);
	EXPECT_EQ(a->reason, BRF_R_DRAINING);
	EXPECT_EQ(brf_lanes_waiting(l), 0u);
	EXPECT_EQ(brf_lanes_running(l), 3u);
}

TEST_F(lanes, a_sender_that_goes_leaves_its_place)
{
	auto running = fill(1000);
	struct job *a = submit(1, false, BRF_LANES_WAIT);
	struct job *b = submit(1, false, BRF_LANES_WAIT);

	EXPECT_TRUE(brf_lanes_withdraw(&a->t));
	EXPECT_FALSE(brf_lanes_withdraw(&a->t));
	brf_lanes_finish(&running[0]->t, 1000);
	EXPECT_FALSE(a->granted);
	EXPECT_TRUE(b->granted);
}

} // namespace
