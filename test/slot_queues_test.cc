#include <gtest/gtest.h>

#include <vector>

#include "policy/slot_queues.h"

namespace
{

struct job {
	struct brf_slot_ticket t = {};
	bool granted = false;
	bool refused = false;
	enum brf_reason reason = BRF_R_NONE;
};

void
on_grant(struct brf_slot_ticket *t)
{
	brf_container_of(t, struct job, t)->granted = true;
}

void
on_refuse(struct brf_slot_ticket *t, enum brf_reason reason)
{
	struct job *j = brf_container_of(t, struct job, t);

	j->refused = true;
	j->reason = reason;
}

class slot_queues : public ::testing::Test
{
      protected:
	struct brf_clock_manual clock;
	struct brf_timers *timers = nullptr;
	struct brf_slot_queues *queues = nullptr;
	std::vector<struct job *> jobs;

	void
	SetUp() override
	{
		brf_clock_manual_init(&clock, 1000000);
		timers = brf_timers_new(&clock.clock);
		queues = brf_slot_queues_new(timers);
		brf_slot_queues_set_slots(queues, 4); /* three are granted */
	}

	void
	TearDown() override
	{
		for (auto *j : jobs) {
			brf_slot_queues_withdraw(&j->t);
			brf_slot_queues_finish(&j->t, 0);
			delete j;
		}
		brf_slot_queues_free(queues);
		brf_timers_free(timers);
	}

	struct job *
	submit(uint32_t rank, bool nested, enum brf_slot_result want,
	    uint64_t max_wait = 10000000)
	{
		auto *j = new struct job;

		j->t.rank = rank;
		j->t.nested = nested;
		j->t.deadline = clock.now + 10000000;
		j->t.max_wait_us = max_wait;
		j->t.grant = on_grant;
		j->t.refuse = on_refuse;
		jobs.push_back(j);
		EXPECT_EQ(brf_slot_queues_submit(queues, &j->t), want);
		return (j);
	}

	void
	advance(uint64_t us)
	{
		clock.now += us;
		brf_timers_run(timers);
	}

	/* Occupy all slots, with an average service time of @took_us. */
	std::vector<struct job *>
	fill(uint64_t took_us)
	{
		std::vector<struct job *> running;
		struct job *first = submit(0, false, BRF_SLOT_RUN);

		brf_slot_queues_finish(&first->t, took_us);
		for (int i = 0; i < 3; i++)
			running.push_back(submit(0, false, BRF_SLOT_RUN));
		return (running);
	}
};

TEST_F(slot_queues, a_few_slots_are_never_granted)
{
	EXPECT_EQ(brf_slot_queues_limit(queues), 3u);
	brf_slot_queues_set_slots(queues, 26);
	EXPECT_EQ(brf_slot_queues_limit(queues), 24u);
	brf_slot_queues_set_slots(queues, 1);
	EXPECT_EQ(brf_slot_queues_limit(queues), 1u);
}

TEST_F(slot_queues, order_is_by_rank_then_nested_calls_then_arrival)
{
	auto running = fill(1000);
	struct job *low = submit(2, false, BRF_SLOT_WAIT);
	struct job *low_call = submit(2, true, BRF_SLOT_WAIT);
	struct job *high = submit(0, false, BRF_SLOT_WAIT);
	struct job *high_call = submit(0, true, BRF_SLOT_WAIT);
	struct job *high_later = submit(0, false, BRF_SLOT_WAIT);
	std::vector<struct job *> order = { high_call, high, high_later,
		low_call, low };

	for (size_t i = 0; i < order.size(); i++) {
		struct job *done = i < 3 ? running[i] : order[i - 3];

		brf_slot_queues_finish(&done->t, 1000);
		for (size_t k = 0; k < order.size(); k++)
			EXPECT_EQ(order[k]->granted, k <= i) << i << " " << k;
	}
}

TEST_F(slot_queues, too_long_an_expected_wait_is_refused_at_submission)
{
	fill(90000);
	/* 90 ms by three slots: 30 ms for each ticket up to its own */
	submit(1, false, BRF_SLOT_WAIT, 65000);
	submit(1, false, BRF_SLOT_WAIT, 65000);
	submit(1, false, BRF_SLOT_REFUSE, 65000);
	submit(1, true, BRF_SLOT_WAIT, 65000); /* goes before them */
	submit(0, false, BRF_SLOT_WAIT, 65000);
}

TEST_F(slot_queues, wait_longer_than_expected_ends_at_the_maximum)
{
	auto running = fill(1000);
	struct job *j = submit(1, false, BRF_SLOT_WAIT, 50000);

	advance(49000);
	EXPECT_FALSE(j->refused);
	advance(2000);
	EXPECT_TRUE(j->refused);
	EXPECT_EQ(j->reason, BRF_R_EXPIRED);
	brf_slot_queues_finish(&running[0]->t, 1000);
	EXPECT_FALSE(j->granted);
}

TEST_F(slot_queues, deadline_too_close_for_the_wait_is_refused)
{
	fill(100000);
	auto *j = new struct job;

	jobs.push_back(j);
	j->t.deadline = clock.now + 90000; /* less than the service time */
	j->t.max_wait_us = UINT64_MAX;
	j->t.nested = true;
	j->t.grant = on_grant;
	j->t.refuse = on_refuse;
	EXPECT_EQ(brf_slot_queues_submit(queues, &j->t), BRF_SLOT_REFUSE);
}

TEST_F(slot_queues, grant_reports_the_wait)
{
	auto running = fill(1000);
	struct job *j = submit(1, false, BRF_SLOT_WAIT);

	advance(7000);
	brf_slot_queues_finish(&running[0]->t, 1000);
	EXPECT_TRUE(j->granted);
	EXPECT_EQ(j->t.waited_us, 7000u);
}

TEST_F(slot_queues, draining_refuses_all_waiting_tickets)
{
	fill(1000);
	struct job *a = submit(1, false, BRF_SLOT_WAIT);
	struct job *b = submit(0, true, BRF_SLOT_WAIT);

	brf_slot_queues_drain(queues, BRF_R_DRAINING);
	EXPECT_TRUE(a->refused && b->refused);
	EXPECT_EQ(a->reason, BRF_R_DRAINING);
	EXPECT_EQ(brf_slot_queues_waiting(queues), 0u);
	EXPECT_EQ(brf_slot_queues_running(queues), 3u);
}

TEST_F(slot_queues, withdrawn_ticket_gives_up_its_place)
{
	auto running = fill(1000);
	struct job *a = submit(1, false, BRF_SLOT_WAIT);
	struct job *b = submit(1, false, BRF_SLOT_WAIT);

	EXPECT_TRUE(brf_slot_queues_withdraw(&a->t));
	EXPECT_FALSE(brf_slot_queues_withdraw(&a->t));
	brf_slot_queues_finish(&running[0]->t, 1000);
	EXPECT_FALSE(a->granted);
	EXPECT_TRUE(b->granted);
}

TEST_F(slot_queues, a_rate_limit_grants_by_rank_as_permits_come)
{
	struct job *low, *high, *call;

	brf_slot_queues_set_rate(queues, 10);
	low = submit(2, false, BRF_SLOT_WAIT);
	high = submit(0, false, BRF_SLOT_WAIT);
	call = submit(0, true, BRF_SLOT_WAIT);
	EXPECT_TRUE(low->t.rate_limited);
	EXPECT_EQ(brf_slot_queues_permit_wait_us(queues), 400000u);
	advance(100000);
	EXPECT_TRUE(call->granted);
	EXPECT_FALSE(high->granted);
	advance(100000);
	EXPECT_TRUE(high->granted);
	EXPECT_FALSE(low->granted);
	EXPECT_EQ(high->t.waited_us, 200000u);
	advance(100000);
	EXPECT_TRUE(low->granted);
}

TEST_F(slot_queues, what_cannot_get_its_permit_in_time_is_refused_at_once)
{
	brf_slot_queues_set_rate(queues, 10);
	submit(1, false, BRF_SLOT_WAIT, 150000);
	struct job *late = submit(1, false, BRF_SLOT_REFUSE, 150000);
	struct job *important = submit(0, false, BRF_SLOT_WAIT, 150000);
	struct job *first = jobs.front();

	EXPECT_TRUE(late->t.rate_limited);
	advance(150000);
	EXPECT_TRUE(important->granted);
	EXPECT_TRUE(first->refused);
	EXPECT_EQ(first->reason, BRF_R_RATE_LIMIT);
}

TEST_F(slot_queues, a_wait_for_a_slot_is_not_one_for_a_permit)
{
	fill(90000);
	brf_slot_queues_set_rate(queues, 1000);
	advance(BRF_US_PER_S);
	EXPECT_FALSE(submit(0, false, BRF_SLOT_WAIT)->t.rate_limited);
}

TEST_F(slot_queues, waiting_tickets_run_when_the_rate_limit_ends)
{
	struct job *j;

	brf_slot_queues_set_rate(queues, 0.2);
	j = submit(0, false, BRF_SLOT_WAIT);
	brf_slot_queues_set_rate(queues, 0);
	EXPECT_TRUE(j->granted);
	submit(0, false, BRF_SLOT_RUN);
}

} // namespace
