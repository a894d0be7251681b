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
	brf_mesh_peer_ended(
	    peer, BRF_FEEDBACK_ANSWERED, nullptr, peer->balancer.load_at);
	brf_mesh_peer_unref(peer);
	brf_links_close(other.links, on_closed, &closed);
	EXPECT_TRUE(bench.until([&] { return (closed == 1); }));
	brf_links_free(other.links);
	close();
	brf_mesh_services_finish(&services);
}

INSTANTIATE_TEST_SUITE_P(mesh_services, services_change, ::testing::Bool());
