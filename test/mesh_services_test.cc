#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "link_fake.h"
#include "mesh/services.h"

/* If two services shared a bit, nested calls would be taken for root requests,
 * since a gate tells them apart by the services that send them. */
TEST(mesh_services, each_service_has_a_bit_of_its_own)
{
	struct brf_mesh_services_config config = {};
	struct brf_mesh_services s;
	uint64_t all = 0;

	brf_mesh_services_init(&s, &config);
	for (int i = 0; i < 64; i++) {
		const std::string name = "service-" + std::to_string(i);
		uint64_t bit = brf_mesh_service_get(&s, name.c_str())->bit;

		EXPECT_EQ(all & bit, 0u) << i;
		EXPECT_EQ(brf_mesh_service_bit(&s, name.c_str()), bit);
		all |= bit;
	}
	EXPECT_EQ(brf_mesh_service_bit(&s, "unknown"), 0u);
	brf_mesh_services_finish(&s);
}

/* What a target said binds this node until the incarnation ends. */
class services_report : public ::testing::Test
{
      protected:
	struct brf_clock_manual clock;
	struct brf_mesh_services_config config = {};
	struct brf_mesh_services services;
	struct brf_random_seeded random;
	std::unique_ptr<struct brf_directory_target> target;

	void
	SetUp() override
	{
		brf_clock_manual_init(&clock, 1000000);
		brf_random_seeded_init(&random, 1);
		config.timers = brf_timers_new(&clock.clock);
		config.zone = config.region = "z";
		config.retry_budget_window_us = BRF_US_PER_S;
		brf_mesh_services_init(&services, &config);
		services.own_target_seen =
		    [](void *, const struct brf_directory_target *) {};
		appear(5);
	}

	void
	TearDown() override
	{
		if (target != nullptr)
			lapse();
		brf_mesh_services_finish(&services);
		brf_timers_free(config.timers);
	}

	/* The entry has the address of this node, which needs no link. */
	void
	appear(uint64_t born)
	{
		bool is_new = target == nullptr;

		if (is_new)
			target.reset(new struct brf_directory_target());
		brf_copy_name(
		    target->entry.id, sizeof(target->entry.id), "t-1");
		brf_copy_name(
		    target->entry.service, sizeof(target->entry.service), "s");
		target->entry.slots = 4;
		target->entry.born = born;
		services.watcher.changed(
		    &services.watcher, target.get(), is_new);
	}

	void
	lapse()
	{
		services.watcher.removed(&services.watcher, target.get());
		target.reset();
	}

	struct brf_mesh_peer *
	peer()
	{
		return (static_cast<struct brf_mesh_peer *>(target->data));
	}

	void
	say(struct brf_mesh_peer *p, uint64_t born, double limit, bool leaving,
	    bool heard = true)
	{
		struct brf_target_report r = { born,
			{ limit, clock.now, leaving, heard }, 0 };

		brf_mesh_peer_reported(p, &r, clock.now);
	}

	bool
	is_chosen()
	{
		struct brf_balancer_request request = {};
		struct brf_mesh_peer *p = brf_mesh_service_choose(
		    brf_mesh_service_get(&services, "s"), &request, nullptr, 0,
		    &random.random, clock.now);

		if (p != nullptr)
			brf_mesh_peer_unref(p);
		return (p != nullptr);
	}
};

/* A target that crashes and starts again under its id is a new one. */
TEST_F(services_report, a_new_incarnation_is_not_ejected_for_an_earlier_one)
{
	auto lose = [&](uint64_t born) {
		brf_balancer_hop_sent(&peer()->balancer, clock.now);
		brf_mesh_peer_ended(
		    peer(), born, BRF_FEEDBACK_LOST, nullptr, clock.now);
	};

	for (int i = 0; i < 3; i++)
		lose(5);
	EXPECT_FALSE(is_chosen());
	EXPECT_EQ(brf_mesh_services_count_ejected(&services), 1u);
	appear(5);
	EXPECT_FALSE(is_chosen()) << "the same incarnation";
	appear(6);
	EXPECT_TRUE(is_chosen());
	for (int i = 0; i < 3; i++)
		lose(5);
	EXPECT_TRUE(is_chosen()) << "hops of the earlier one end late";
	EXPECT_EQ(brf_mesh_services_count_ejected(&services), 0u);
}

TEST_F(services_report, a_target_that_left_stays_gone_when_its_entry_returns)
{
	EXPECT_TRUE(is_chosen());
	say(peer(), 5, 0, true);
	EXPECT_FALSE(is_chosen());
	lapse();
	appear(5);
	EXPECT_FALSE(is_chosen());
	appear(6);
	EXPECT_TRUE(is_chosen());
}

TEST_F(services_report, an_entry_of_the_past_does_not_undo_leaving)
{
	appear(6);
	say(peer(), 6, 0, true);
	appear(5);
	appear(6);
	EXPECT_FALSE(is_chosen());
}

TEST_F(services_report, a_word_of_an_incarnation_may_come_before_its_entry)
{
	say(peer(), 6, 0, true);
	EXPECT_TRUE(is_chosen());
	appear(6);
	EXPECT_FALSE(is_chosen());
}

TEST_F(services_report, a_word_may_come_by_a_hop_that_outlived_the_entry)
{
	struct brf_mesh_peer *before = peer();

	before->refs++;
	lapse();
	appear(5);
	EXPECT_TRUE(is_chosen());
	say(before, 5, 0, true);
	EXPECT_FALSE(is_chosen());
	brf_mesh_peer_unref(before);
}

TEST_F(services_report, a_late_word_of_an_old_incarnation_changes_nothing)
{
	appear(6);
	say(peer(), 5, 2, true);
	EXPECT_TRUE(is_chosen());
	EXPECT_EQ(peer()->report.rate_limit, 0);
}

TEST_F(services_report, a_limit_is_kept_for_a_gate_that_forgets)
{
	say(peer(), 5, 2, false);
	EXPECT_EQ(peer()->report.rate_limit, 2);
	say(peer(), 0, 0, false, false); /* a gate that has heard nothing */
	EXPECT_EQ(peer()->report.rate_limit, 2);
	lapse();
	appear(5);
	EXPECT_EQ(peer()->report.rate_limit, 2);
	say(peer(), 0, 0, false);
	EXPECT_EQ(peer()->report.rate_limit, 0);
}

TEST_F(services_report, statements_are_remembered_within_bounds)
{
	struct brf_report_memory m;
	struct brf_self_report r = { 0, 0, true, true };
	const uint64_t many = 2 * BRF_REPORT_MEMORY_MAX;

	brf_report_memory_init(&m);
	for (uint64_t i = 0; i < many; i++)
		brf_report_memory_put(&m, "t", i, &r, 1);
	EXPECT_EQ(m.count, BRF_REPORT_MEMORY_MAX);
	EXPECT_FALSE(brf_report_memory_take(&m, "t", 0, &r, 1));
	EXPECT_TRUE(brf_report_memory_take(&m, "t", many - 1, &r, 1));
	EXPECT_FALSE(brf_report_memory_take(
	    &m, "t", many - 2, &r, 2 + BRF_REPORT_MEMORY_US));
	brf_report_memory_put(&m, "t", many, &r, 2 + BRF_REPORT_MEMORY_US);
	EXPECT_EQ(m.count, 1u);
	brf_report_memory_finish(&m);
}

/* The directory frees a target while a hop to it is open. */
class services_change : public two_nodes,
			public ::testing::WithParamInterface<bool>
{
      protected:
	struct brf_mesh_services_config config = {};
	struct brf_mesh_services services;
	struct brf_random_seeded random;
	std::unique_ptr<struct brf_directory_target> target;

	void
	SetUp() override
	{
		brf_random_seeded_init(&random, 1);
		config.timers = bench.scheduler.timers;
		config.links = a.links;
		config.self = a.addr;
		config.zone = config.region = "z";
		config.retry_budget_window_us = BRF_US_PER_S;
		brf_mesh_services_init(&services, &config);
		target.reset(new struct brf_directory_target());
		brf_copy_name(
		    target->entry.id, sizeof(target->entry.id), "t-1");
		brf_copy_name(
		    target->entry.service, sizeof(target->entry.service), "s");
		target->entry.gate = b.addr;
		target->entry.slots = 4;
		services.watcher.changed(&services.watcher, target.get(), true);
	}

	struct brf_mesh_peer *
	choose()
	{
		struct brf_balancer_request request = {};

		return (brf_mesh_service_choose(
		    brf_mesh_service_get(&services, "s"), &request, nullptr, 0,
		    &random.random, brf_now(&bench.scheduler.clock)));
	}

	/* With the parameter, the target's node has moved before. */
	void
	drop_target(struct linked_node &other)
	{
		if (GetParam()) {
			target->entry.gate = other.addr;
			services.watcher.changed(
			    &services.watcher, target.get(), false);
		}
		services.watcher.removed(&services.watcher, target.get());
		target.reset();
	}
};

TEST_P(services_change, a_hop_outlives_its_target)
{
	struct linked_node other(bench, "c", "service-c");
	struct brf_mesh_peer *peer = choose();
	int closed = 0;

	ASSERT_NE(peer, nullptr);
	{
		struct outgoing_hop s(bench);
		struct brf_hop *hop;

		s.hop.request.target = peer->id;
		brf_hop_send(brf_link_backend(peer->link), &s.hop);
		hop = arrived();
		ASSERT_NE(hop, nullptr);
		drop_target(other);
		EXPECT_EQ(peer->link, nullptr);
		EXPECT_EQ(peer->target, nullptr);
		EXPECT_EQ(choose(), nullptr);
		bench.turns(20);
		EXPECT_STREQ(s.hop.request.target, "t-1");
		b.gate.answer(hop, 200, "");
		brf_pipe_write(&hop->answer_body, "late", 4);
		brf_pipe_end(&hop->answer_body);
		EXPECT_TRUE(
		    bench.until([&] { return (s.received_body == "late"); }));
		EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
	}
	brf_mesh_peer_ended(peer, peer->born, BRF_FEEDBACK_ANSWERED, nullptr,
	    peer->balancer.load_at);
	brf_mesh_peer_unref(peer);
	brf_links_close(other.links, on_closed, &closed);
	EXPECT_TRUE(bench.until([&] { return (closed == 1); }));
	brf_links_free(other.links);
	close();
	brf_mesh_services_finish(&services);
}

INSTANTIATE_TEST_SUITE_P(mesh_services, services_change, ::testing::Bool());
