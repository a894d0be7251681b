#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "member/codec.h"
#include "route/link.h"
#include "route/router.h"

namespace
{

void
drop(struct brf_datagrams *, const struct sockaddr_in *, const void *, size_t)
{
}

/* A router over a membership that is fed by hand. */
struct bench {
	struct brf_clock_manual clock;
	struct brf_random_seeded random;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_datagrams_vt vt = { drop };
	struct brf_datagrams datagrams = { &vt };
	struct brf_members *members;
	struct brf_router *router;
	struct brf_gossip_codec *codec;
	std::map<uint64_t, struct brf_member> all;
	struct brf_message *answer;
	std::vector<struct brf_route_node *> open;

	bench()
	{
		struct brf_members_config c = {};

		brf_clock_manual_init(&clock, BRF_US_PER_S);
		brf_random_seeded_init(&random, 3);
		timers = brf_timers_new(&clock.clock);
		metrics = brf_metrics_new();
		c.timers = timers;
		c.random = &random.random;
		c.metrics = metrics;
		c.datagrams = &datagrams;
		c.period_us = BRF_US_PER_S;
		c.self = make(1, "a1", "a");
		members = brf_members_new(&c);
		codec = brf_gossip_codec_new(nullptr, 0);
		router =
		    brf_router_new(members, timers, &random.random, metrics);
		answer = brf_message_new();
		answer->status = 200;
	}
	~bench()
	{
		while (!open.empty())
			done(open.back());
		brf_router_free(router);
		brf_members_free(members);
		brf_gossip_codec_free(codec);
		brf_metrics_free(metrics);
		brf_timers_free(timers);
		brf_message_unref(answer);
	}
	bench(const bench &) = delete;
	bench &operator=(const bench &) = delete;

	struct brf_member
	make(uint64_t key, const char *zone, const char *region)
	{
		struct brf_member m = {};

		m.node.lo = key;
		m.addr.sin_family = AF_INET;
		m.addr.sin_port = htons((uint16_t)(1000 + key));
		brf_copy_name(m.zone, sizeof(m.zone), zone);
		brf_copy_name(m.region, sizeof(m.region), region);
		brf_copy_name(m.service, sizeof(m.service), "factors");
		m.slots = 10;
		m.state = BRF_MEMBER_READY;
		all[key] = m;
		return (m);
	}
	/* News of a member, from itself. */
	void
	tell(const struct brf_member &m, uint8_t state)
	{
		static struct brf_gossip g;
		unsigned char d[BRF_DATAGRAM_MAX];
		struct brf_gossip_version v = { ++all[m.node.lo].incarnation, 0,
			state };

		brf_gossip_begin(&g, BRF_GOSSIP_UPDATES);
		g.sender = m.node;
		g.version = v;
		ASSERT_TRUE(brf_gossip_add_full(&g, &m, &v));
		size_t len = brf_gossip_encode(codec, &g, d);
		brf_members_receive(members, &m.addr, d, len);
	}
	void
	add(uint64_t key, const char *zone, const char *region)
	{
		tell(make(key, zone, region), BRF_GOSSIP_READY);
	}
	struct brf_route_node *
	try_pick(uint32_t cls, enum brf_route_result *got = nullptr,
	    const std::vector<struct brf_id> &tried = {})
	{
		struct brf_route_request q = {};
		struct brf_route_node *n = nullptr;
		enum brf_route_result result;

		q.service = "factors";
		q.cls = cls;
		q.rank = cls * BRF_RANK_CLASS;
		q.bytes = 1000;
		q.cross_region = true;
		q.tried = tried.data();
		q.tried_count = tried.size();
		result = brf_router_pick(router, &q, &n);
		if (result == BRF_ROUTE_CHOSEN)
			open.push_back(n);
		if (got != nullptr)
			*got = result;
		return (n);
	}
	struct brf_route_node *
	pick(uint32_t cls = 0, enum brf_route_result want = BRF_ROUTE_CHOSEN,
	    const std::vector<struct brf_id> &tried = {})
	{
		enum brf_route_result got;
		auto *n = try_pick(cls, &got, tried);

		EXPECT_EQ(got, want);
		return (n);
	}
	void
	done(struct brf_route_node *n, enum brf_outcome outcome = BRF_ANSWERED,
	    enum brf_reason reason = BRF_R_NONE, uint64_t took = 1000,
	    struct brf_level level = { BRF_RANK_END, 0, 0, 10 })
	{
		struct brf_reply r = {};

		open.erase(std::find(open.begin(), open.end(), n));
		r.outcome = outcome;
		r.reason = reason;
		r.has_level = reason != BRF_R_CONNECTION_LOST;
		r.level = level;
		r.answer = outcome == BRF_ANSWERED ? answer : nullptr;
		brf_router_done(router, n, &r, took, 1000);
	}
	/* Picks and answers, counted by node. */
	std::map<uint64_t, int>
	count(int n)
	{
		std::map<uint64_t, int> by;

		for (int i = 0; i < n; i++) {
			auto *node = pick();
			if (node == nullptr)
				break;
			by[key(node)]++;
			done(node);
			clock.now += 100;
		}
		return (by);
	}
	static uint64_t
	key(const struct brf_route_node *n)
	{
		return (brf_route_node_member(n)->node.lo);
	}
};

} // namespace

TEST(router, near_rings_first_and_the_next_only_under_shortage)
{
	bench b;

	b.add(2, "a1", "a");
	b.add(3, "a2", "a");
	b.add(4, "b1", "b");
	auto near = b.count(100);
	EXPECT_EQ(near.count(3) + near.count(4), 0u);
	for (int i = 0; i < 20; i++)
		EXPECT_STREQ(brf_route_node_member(b.pick())->zone, "a1");
	for (int i = 0; i < 8; i++) /* the rest is kept for its own zone */
		EXPECT_STREQ(brf_route_node_member(b.pick())->zone, "a2");
	for (int i = 0; i < 8; i++)
		EXPECT_STREQ(brf_route_node_member(b.pick())->zone, "b1");
	/* no room anywhere: a surge stays where it began */
	for (int i = 0; i < 20; i++)
		EXPECT_STREQ(brf_route_node_member(b.pick())->zone, "a1");
}

TEST(router, level_of_a_full_node_sends_work_on)
{
	bench b;

	b.add(3, "a2", "a");
	b.done(b.pick(), BRF_ANSWERED, BRF_R_NONE, 1000,
	    { BRF_RANK_END, 10, 5, 10 });
	EXPECT_EQ(bench::key(b.pick()), 3u);
	b.clock.now += 2 * BRF_US_PER_S; /* the level has aged */
	EXPECT_EQ(bench::key(b.pick()), 1u);
}

TEST(router, sheds_at_the_source_until_the_level_has_aged)
{
	bench b;
	const struct brf_level level = { 2 * BRF_RANK_CLASS, 0, 0, 10 };

	b.done(b.pick(), BRF_NOT_RUN, BRF_R_OVERLOAD, 10, level);
	EXPECT_EQ(b.pick(3, BRF_ROUTE_SHED), nullptr);
	b.done(b.pick(1), BRF_NOT_RUN, BRF_R_OVERLOAD, 10, level);
	b.clock.now += BRF_US_PER_S;
	EXPECT_NE(b.pick(3), nullptr);
}

TEST(router, work_is_balanced)
{
	bench b;

	for (uint64_t k = 2; k <= 20; k++)
		b.add(k, "a1", "a");
	std::map<uint64_t, int> held;
	for (int i = 0; i < 120; i++)
		held[bench::key(b.pick())]++;
	EXPECT_EQ(held.size(), 20u);
	for (auto &h : held)
		EXPECT_LE(h.second, 10) << h.first;
}

TEST(router, a_slow_node_gets_less)
{
	bench b;
	std::map<uint64_t, int> by;

	b.add(2, "a1", "a");
	b.add(3, "a1", "a");
	for (int i = 0; i < 600; i++) {
		auto *n = b.pick();
		by[bench::key(n)]++;
		b.done(n, BRF_ANSWERED, BRF_R_NONE,
		    bench::key(n) == 2 ? 20000 : 1000);
		b.clock.now += 1000;
	}
	EXPECT_LT(by[2], by[3] / 4);
}

TEST(router, drain_and_departure_take_effect_at_once)
{
	const uint8_t states[] = { BRF_GOSSIP_DRAINING, BRF_GOSSIP_STARTING,
		BRF_GOSSIP_LEFT, BRF_GOSSIP_SUSPECT };

	for (uint8_t state : states) {
		bench b;
		b.add(2, "a1", "a");
		auto *held = b.pick(0, BRF_ROUTE_CHOSEN, { b.all[1].node });
		ASSERT_EQ(bench::key(held), 2u);
		b.tell(b.all[2], state);
		EXPECT_EQ(
		    bench::key(b.pick(0, BRF_ROUTE_CHOSEN, { b.all[1].node })),
		    1u);
		EXPECT_EQ(bench::key(held), 2u); /* still valid */
		b.done(held);
	}
}

TEST(router, suspects_serve_when_nobody_else_does)
{
	bench b;
	struct brf_member self = b.all[1];

	b.add(2, "a1", "a");
	self.state = BRF_MEMBER_DRAINING;
	brf_members_update_self(b.members, &self);
	b.tell(b.all[2], BRF_GOSSIP_SUSPECT);
	EXPECT_EQ(bench::key(b.pick()), 2u);
	b.tell(b.all[2], BRF_GOSSIP_LEFT);
	EXPECT_EQ(b.pick(0, BRF_ROUTE_NO_TARGET), nullptr);
}

TEST(router, a_word_of_draining_is_heeded_before_gossip)
{
	bench b;

	b.add(2, "a1", "a");
	auto *n = b.pick(0, BRF_ROUTE_CHOSEN, { b.all[1].node });
	b.done(n, BRF_NOT_RUN, BRF_R_DRAINING);
	EXPECT_EQ(
	    bench::key(b.pick(0, BRF_ROUTE_CHOSEN, { b.all[1].node })), 1u);
}

TEST(router, failing_nodes_are_ejected_down_to_a_floor_and_return)
{
	bench b;

	for (uint64_t k = 2; k <= 6; k++)
		b.add(k, "a1", "a");
	for (uint64_t bad = 2; bad <= 6; bad++) {
		std::vector<struct brf_id> others;
		for (auto &m : b.all) {
			if (m.first != bad)
				others.push_back(m.second.node);
		}
		for (int i = 0; i < 5; i++)
			b.done(b.pick(0, BRF_ROUTE_CHOSEN, others), BRF_UNKNOWN,
			    BRF_R_CONNECTION_LOST, 10);
	}
	struct brf_buf out = {};
	brf_router_explain(b.router, "factors", &out);
	size_t ejected = 0;
	for (const char *p = out.data; (p = strstr(p, "\"ejected\"")); p++)
		ejected++;
	brf_buf_free(&out);
	EXPECT_EQ(ejected, 3u); /* of six */
	b.clock.now += 40 * BRF_US_PER_S;
	b.count(400);
	EXPECT_EQ(b.count(400).size(), 6u);
}

TEST(router, a_returning_node_gets_one_attempt_at_once)
{
	bench b;

	b.add(2, "a1", "a");
	for (int i = 0; i < 5; i++)
		b.done(b.pick(0, BRF_ROUTE_CHOSEN, { b.all[1].node }),
		    BRF_UNKNOWN, BRF_R_CONNECTION_LOST, 10);
	EXPECT_EQ(b.count(50).count(2), 0u);
	b.clock.now += BRF_US_PER_S;
	int held = 0;
	for (int i = 0; i < 8; i++)
		held += bench::key(b.pick()) == 2;
	EXPECT_EQ(held, 1);
}

TEST(router, the_link_keeps_its_last_bytes_for_important_requests)
{
	bench b;
	struct brf_member self = b.all[1];
	int passed[BRF_CLASSES] = {};

	self.state = BRF_MEMBER_DRAINING;
	brf_members_update_self(b.members, &self);
	b.add(9, "b1", "b");
	brf_router_set_link(b.router, 1000);
	for (int cls = BRF_CLASSES - 1; cls >= 0; cls--) {
		for (int i = 0; i < 100; i++) {
			auto *n = b.try_pick((uint32_t)cls);
			if (n == nullptr)
				break;
			passed[cls]++;
			b.done(n);
		}
	}
	for (int cls = 0; cls < (int)BRF_CLASSES; cls++)
		EXPECT_GT(passed[cls], 5) << cls;
	EXPECT_EQ(b.pick(0, BRF_ROUTE_LINK_BUDGET), nullptr);
	b.clock.now += 10 * BRF_US_PER_S;
	EXPECT_NE(b.pick(0), nullptr);
	EXPECT_EQ(b.pick(3, BRF_ROUTE_LINK_BUDGET), nullptr);
}

RC_GTEST_PROP(router, the_link_never_carries_more_than_its_rate, ())
{
	const auto steps =
	    *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
		rc::gen::inRange(0, 200000), rc::gen::inRange(0, 20000)));
	struct brf_link l = {};
	double taken = 0, most = 0;
	uint64_t now = 5;

	brf_link_set_rate(&l, 100000, now);
	for (auto &s : steps) {
		now += (uint64_t)s.first;
		if (!brf_link_admits(&l, 0, now))
			continue;
		brf_link_take(&l, (size_t)s.second, now);
		taken += s.second;
		most = s.second > most ? s.second : most;
		RC_ASSERT(taken <=
			  100000 + most + 100000 * (double)(now - 5) / 1e6 + 1);
	}
}

TEST(router, explains_why_a_node_gets_no_work)
{
	bench b;
	struct brf_buf out = {};

	b.add(2, "a1", "a");
	b.tell(b.all[2], BRF_GOSSIP_DRAINING);
	brf_router_explain(b.router, "factors", &out);
	EXPECT_NE(strstr(out.data, "\"no_work\":\"draining\""), nullptr);
	EXPECT_NE(strstr(out.data, "\"no_work\":null"), nullptr);
	brf_buf_free(&out);
}

TEST(router, data_is_released_when_the_node_is_forgotten)
{
	static int released;
	bench b;

	released = 0;
	b.add(2, "a1", "a");
	auto *n = b.pick(0, BRF_ROUTE_CHOSEN, { b.all[1].node });
	brf_route_node_set_data(
	    n, &released, [](void *p) { (*static_cast<int *>(p))++; });
	b.tell(b.all[2], BRF_GOSSIP_LEFT);
	EXPECT_EQ(released, 0);
	b.done(n);
	EXPECT_EQ(released, 1);
}
