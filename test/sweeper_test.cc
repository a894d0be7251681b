#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "fleet/sweeper.h"
#include "store_fake.h"

namespace
{

const char *const key = "bulrushford/targets/t-1";

class sweeper : public ::testing::Test
{
      protected:
	struct brf_clock_manual clock;
	struct brf_timers *timers;
	struct brf_random_seeded random;
	struct fake_store store;
	struct brf_sweeper *s;

	void
	SetUp() override
	{
		brf_clock_manual_init(&clock, 1000000);
		timers = brf_timers_new(&clock.clock);
		brf_random_seeded_init(&random, 5);
		store.epoch = 1;
		brf_store_learn_epoch(&store.store, 1);
		s = brf_sweeper_new(&store.store, timers, &random.random);
	}

	void
	TearDown() override
	{
		brf_sweeper_free(s);
		brf_timers_free(timers);
	}

	void
	advance(uint64_t us)
	{
		clock.now += us;
		brf_timers_run(timers);
	}

	/* All that one node does with one entry takes less than this. */
	void
	wait_for_call()
	{
		for (int i = 0; i < 10 && store.waiting.empty(); i++)
			advance(BRF_SWEEPER_KEEP_US / 2);
	}
};

TEST_F(sweeper, deletes_an_entry_after_some_time)
{
	brf_sweeper_add(s, key, store.put(key, "left"));
	advance(BRF_SWEEPER_KEEP_US - 1);
	EXPECT_TRUE(store.waiting.empty());
	wait_for_call();
	ASSERT_EQ(store.waiting.size(), 1u);
	store.process_next_call(DELIVER);
	EXPECT_EQ(store.value(key), "");
	wait_for_call();
	EXPECT_TRUE(store.waiting.empty());
}

/* A target may start again under its id. */
TEST_F(sweeper, leaves_what_was_written_since)
{
	brf_sweeper_add(s, key, store.put(key, "left"));
	wait_for_call();
	store.put(key, "ready");
	store.process_next_call(DELIVER);
	EXPECT_EQ(store.value(key), "ready");
	wait_for_call();
	EXPECT_TRUE(store.waiting.empty()) << "another revision is not ours";
}

TEST_F(sweeper, leaves_a_target_that_is_back)
{
	brf_sweeper_add(s, key, store.put(key, "left"));
	brf_sweeper_forget(s, key);
	wait_for_call();
	EXPECT_TRUE(store.waiting.empty());
}

TEST_F(sweeper, a_later_departure_begins_its_own_time)
{
	brf_sweeper_add(s, key, store.put(key, "draining"));
	advance(BRF_SWEEPER_KEEP_US / 2);
	brf_sweeper_add(s, key, store.put(key, "left"));
	advance(BRF_SWEEPER_KEEP_US - 1);
	EXPECT_TRUE(store.waiting.empty());
	wait_for_call();
	store.process_next_call(DELIVER);
	EXPECT_EQ(store.value(key), "");
}

TEST_F(sweeper, repeats_a_call_whose_outcome_is_unknown)
{
	for (auto d :
	    { LOSE_REQUEST, NOT_SENT, LOSE_RESPONSE, DELAY, DELIVER }) {
		brf_sweeper_add(s, key, store.put(key, "left"));
		wait_for_call();
		store.process_next_call(d);
		wait_for_call();
		store.run_late();
		while (!store.waiting.empty())
			store.process_next_call(DELIVER);
		EXPECT_EQ(store.value(key), "") << d;
	}
}

/* Revisions of before mean other changes. */
TEST_F(sweeper, forgets_all_when_the_store_is_restored)
{
	uint64_t revision = store.put(key, "left");

	brf_sweeper_add(s, key, revision);
	store.restore(revision);
	store.learn_epoch();
	wait_for_call();
	EXPECT_TRUE(store.waiting.empty());
	brf_sweeper_add(s, key, revision);
	wait_for_call();
	store.process_next_call(DELIVER);
	EXPECT_EQ(store.value(key), "");
}

/* Each call is paid for, and all nodes know of each entry. */
TEST_F(sweeper, few_nodes_of_a_large_fleet_call)
{
	const size_t nodes = 500;
	const uint64_t heard_us = 2 * BRF_US_PER_S; /* of a deletion */
	std::vector<struct brf_sweeper *> fleet;
	uint64_t revision = store.put(key, "left"), deleted_at = 0;
	size_t calls = 0;

	for (size_t i = 0; i < nodes; i++) {
		fleet.push_back(
		    brf_sweeper_new(&store.store, timers, &random.random));
		brf_sweeper_set_fleet(fleet.back(), nodes);
		brf_sweeper_add(fleet.back(), key, revision);
	}
	while (deleted_at == 0 || clock.now < deleted_at + heard_us) {
		advance(10 * BRF_US_PER_MS);
		for (; !store.waiting.empty(); calls++)
			store.process_next_call(DELIVER);
		if (deleted_at == 0 && store.value(key).empty())
			deleted_at = clock.now;
	}
	EXPECT_LE(calls, 10u);
	EXPECT_LE(deleted_at, BRF_SWEEPER_KEEP_US + 20 * BRF_US_PER_S);
	for (struct brf_sweeper *other : fleet)
		brf_sweeper_free(other);
}

} // namespace
