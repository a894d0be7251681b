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
discard(
    struct brf_datagrams *, const struct sockaddr_in *, const void *, size_t)
{
}

/* A router over a member table that the test fills through gossip. */
struct router_fixture {
	struct brf_clock_manual clock;
	struct brf_random_seeded random;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_datagrams_vt vt = { discard };
	struct brf_datagrams datagrams = { &vt };
	struct brf_members *members;
	struct brf_router *router;
	struct brf_gossip_codec *codec;
	std::map<uint64_t, struct brf_member> members_by_key;
	struct brf_message *answer;
	std::vector<struct brf_route_node *> open_attempts;

	router_fixture()
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
	~router_fixture()
	{
		while (!open_attempts.empty())
			done(open_attempts.back());
		brf_router_free(router);
		brf_members_free(members);
		brf_gossip_codec_free(codec);
		brf_metrics_free(metrics);
		brf_timers_free(timers);
		brf_message_unref(answer);
	}
	router_fixture(const router_fixture &) = delete;
	router_fixture &operator=(const router_fixture &) = delete;

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
		members_by_key[key] = m;
		return (m);
	}
	/* Receives gossip about @m, sent by @m itself. */
	void
	receive_gossip(const struct brf_member &m, uint8_t state)
	{
		static struct brf_gossip g;
		unsigned char d[BRF_DATAGRAM_MAX];
		struct brf_gossip_version v = {
			++members_by_key[m.node.lo].incarnation, 0, state
		};

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
		receive_gossip(make(key, zone, region), BRF_GOSSIP_READY);
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
			open_attempts.push_back(n);
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
	    enum brf_reason reason = BRF_R_NONE, uint64_t duration_us = 1000,
	    struct brf_level level = { BRF_RANK_END, 0, 0, 10 })
	{
		struct brf_reply r = {};

		open_attempts.erase(
		    std::find(open_attempts.begin(), open_attempts.end(), n));
		r.outcome = outcome;
		r.reason = reason;
		r.has_level = reason != BRF_R_CONNECTION_LOST;
		r.level = level;
		r.answer = outcome == BRF_ANSWERED ? answer : nullptr;
		brf_router_done(router, n, &r, duration_us, 1000);
	}
	/* Runs @n attempts in turn; returns how many each node got. */
	std::map<uint64_t, int>
	count(int n)
	{
		std::map<uint64_t, int> count_by_node;

		for (int i = 0; i < n; i++) {
			auto *node = pick();
			if (node == nullptr)
				break;
			count_by_node[key(node)]++;
			done(node);
			clock.now += 100;
		}
		return (count_by_node);
	}
	static uint64_t
	key(const struct brf_route_node *n)
	{
		return (brf_route_node_member(n)->node.lo);
	}
};

} // namespace

TEST(router, prefers_near_localities_and_spills_over_when_they_are_full)
{
	router_fixture b;

	b.add(2, "a1", "a");
	b.add(3, "a2", "a");
	b.add(4, "b1", "b");
	auto near = b.count(100);
	EXPECT_EQ(near.count(3) + near.count(4), 0u);
	for (int i = 0; i < 20; i++)
		EXPECT_STREQ(brf_route_node_member(b.pick())->zone, "a1");
	for (int i = 0; i < 8; i++) /* the rest is left to its own zone */
		EXPECT_STREQ(brf_route_node_member(b.pick())->zone, "a2");
	for (int i = 0; i < 8; i++)
		EXPECT_STREQ(brf_route_node_member(b.pick())->zone, "b1");
	/* no free capacity anywhere: the surge stays in its own zone */
	for (int i = 0; i < 20; i++)
		EXPECT_STREQ(brf_route_node_member(b.pick())->zone, "a1");
}

TEST(router, admission_level_of_a_full_node_diverts_requests)
{
	router_fixture b;

	b.add(3, "a2", "a");
	b.done(b.pick(), BRF_ANSWERED, BRF_R_NONE, 1000,
	    { BRF_RANK_END, 10, 5, 10 });
	EXPECT_EQ(router_fixture::key(b.pick()), 3u);
	b.clock.now += 2 * BRF_US_PER_S; /* the level has expired */
	EXPECT_EQ(router_fixture::key(b.pick()), 1u);
}

TEST(router, sheds_at_the_sender_until_the_level_expires)
{
	router_fixture b;
	const struct brf_level level = { 2 * BRF_RANK_CLASS, 0, 0, 10 };

	b.done(b.pick(), BRF_NOT_RUN, BRF_R_OVERLOAD, 10, level);
	EXPECT_EQ(b.pick(3, BRF_ROUTE_SHED), nullptr);
	b.done(b.pick(1), BRF_NOT_RUN, BRF_R_OVERLOAD, 10, level);
	b.clock.now += BRF_US_PER_S;
	EXPECT_NE(b.pick(3), nullptr);
}

TEST(router, balances_requests_across_nodes)
{
	router_fixture b;

	for (uint64_t k = 2; k <= 20; k++)
		b.add(k, "a1", "a");
	std::map<uint64_t, int> picked;
	for (int i = 0; i < 120; i++)
		picked[router_fixture::key(b.pick())]++;
	EXPECT_EQ(picked.size(), 20u);
	for (auto &h : picked)
		EXPECT_LE(h.second, 10) << h.first;
}

TEST(router, a_slow_node_gets_fewer_requests)
{
	router_fixture b;
	std::map<uint64_t, int> count_by_node;

	b.add(2, "a1", "a");
	b.add(3, "a1", "a");
	for (int i = 0; i < 600; i++) {
		auto *n = b.pick();
		count_by_node[router_fixture::key(n)]++;
		b.done(n, BRF_ANSWERED, BRF_R_NONE,
		    router_fixture::key(n) == 2 ? 20000 : 1000);
		b.clock.now += 1000;
	}
	EXPECT_LT(count_by_node[2], count_by_node[3] / 4);
}

TEST(router, non_ready_states_take_effect_at_once)
{
	const uint8_t states[] = { BRF_GOSSIP_DRAINING, BRF_GOSSIP_STARTING,
		BRF_GOSSIP_LEFT, BRF_GOSSIP_SUSPECT };

	for (uint8_t state : states) {
		router_fixture b;
		b.add(2, "a1", "a");
		auto *picked =
		    b.pick(0, BRF_ROUTE_CHOSEN, { b.members_by_key[1].node });
		ASSERT_EQ(router_fixture::key(picked), 2u);
		b.receive_gossip(b.members_by_key[2], state);
		EXPECT_EQ(router_fixture::key(b.pick(0, BRF_ROUTE_CHOSEN,
			      { b.members_by_key[1].node })),
		    1u);
		EXPECT_EQ(router_fixture::key(picked), 2u); /* still valid */
		b.done(picked);
	}
}

TEST(router, suspect_nodes_are_used_when_no_other_is_ready)
{
	router_fixture b;
	struct brf_member self = b.members_by_key[1];

	b.add(2, "a1", "a");
	self.state = BRF_MEMBER_DRAINING;
	brf_members_update_self(b.members, &self);
	b.receive_gossip(b.members_by_key[2], BRF_GOSSIP_SUSPECT);
	EXPECT_EQ(router_fixture::key(b.pick()), 2u);
	b.receive_gossip(b.members_by_key[2], BRF_GOSSIP_LEFT);
	EXPECT_EQ(b.pick(0, BRF_ROUTE_NO_TARGET), nullptr);
}

TEST(router, a_draining_reply_takes_effect_before_gossip)
{
	router_fixture b;

	b.add(2, "a1", "a");
	auto *n = b.pick(0, BRF_ROUTE_CHOSEN, { b.members_by_key[1].node });
	b.done(n, BRF_NOT_RUN, BRF_R_DRAINING);
	EXPECT_EQ(router_fixture::key(b.pick(
		      0, BRF_ROUTE_CHOSEN, { b.members_by_key[1].node })),
	    1u);
}

TEST(router, at_most_half_of_the_nodes_are_ejected_and_they_return)
{
	router_fixture b;

	for (uint64_t k = 2; k <= 6; k++)
		b.add(k, "a1", "a");
	for (uint64_t bad = 2; bad <= 6; bad++) {
		std::vector<struct brf_id> others;
		for (auto &m : b.members_by_key) {
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

TEST(router, a_node_on_probation_gets_one_attempt_at_a_time)
{
	router_fixture b;

	b.add(2, "a1", "a");
	for (int i = 0; i < 5; i++)
		b.done(
		    b.pick(0, BRF_ROUTE_CHOSEN, { b.members_by_key[1].node }),
		    BRF_UNKNOWN, BRF_R_CONNECTION_LOST, 10);
	EXPECT_EQ(b.count(50).count(2), 0u);
	b.clock.now += BRF_US_PER_S;
	int picked = 0;
	for (int i = 0; i < 8; i++)
		picked += router_fixture::key(b.pick()) == 2;
	EXPECT_EQ(picked, 1);
}

TEST(router, the_link_budget_is_reserved_for_important_classes)
{
	router_fixture b;
	struct brf_member self = b.members_by_key[1];
	int passed[BRF_CLASSES] = {};

	self.state = BRF_MEMBER_DRAINING;
	brf_members_update_self(b.members, &self);
	b.add(9, "b1", "b");
	brf_router_set_link_rate(b.router, 1000);
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

RC_GTEST_PROP(router, the_link_budget_limits_bytes_to_rate_and_burst, ())
{
	const auto steps =
	    *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
		rc::gen::inRange(0, 200000), rc::gen::inRange(0, 20000)));
	struct brf_link_budget l = {};
	double total = 0, max_request = 0;
	uint64_t now = 5;

	brf_link_budget_set_rate(&l, 100000, now);
	for (auto &s : steps) {
		now += (uint64_t)s.first;
		if (!brf_link_budget_admits(&l, 0, now))
			continue;
		brf_link_budget_take(&l, (size_t)s.second, now);
		total += s.second;
		max_request = s.second > max_request ? s.second : max_request;
		RC_ASSERT(total <= 100000 + max_request +
				       100000 * (double)(now - 5) / 1e6 + 1);
	}
}

TEST(router, explains_why_a_node_gets_no_requests)
{
	router_fixture b;
	struct brf_buf out = {};

	b.add(2, "a1", "a");
	b.receive_gossip(b.members_by_key[2], BRF_GOSSIP_DRAINING);
	brf_router_explain(b.router, "factors", &out);
	EXPECT_NE(strstr(out.data, "\"no_work\":\"draining\""), nullptr);
	EXPECT_NE(strstr(out.data, "\"no_work\":null"), nullptr);
	brf_buf_free(&out);
}

TEST(router, data_is_released_when_the_node_is_freed)
{
	static int released;
	router_fixture b;

	released = 0;
	b.add(2, "a1", "a");
	auto *n = b.pick(0, BRF_ROUTE_CHOSEN, { b.members_by_key[1].node });
	brf_route_node_set_data(
	    n, &released, [](void *p) { (*static_cast<int *>(p))++; });
	b.receive_gossip(b.members_by_key[2], BRF_GOSSIP_LEFT);
	EXPECT_EQ(released, 0);
	b.done(n);
	EXPECT_EQ(released, 1);
}
