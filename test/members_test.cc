#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <memory>
#include <vector>

#include "gossip_fake.h"

namespace
{

constexpr uint64_t second = BRF_US_PER_S;

/* A network of @n nodes that are all up and have the same view. */
struct fleet {
	struct fake_net net;

	explicit fleet(size_t n)
	{
		const char *seed = getenv("BRF_SEED");

		fake_net_init(
		    &net, n, seed != nullptr ? strtoull(seed, nullptr, 10) : 1);
		for (size_t i = 0; i < n; i++)
			fake_node_start(&net, i);
		EXPECT_LE(fake_run_until(&net, fake_converged, 20 * second),
		    20 * second);
	}
	~fleet()
	{
		fake_net_free(&net);
	}
	fleet(const fleet &) = delete;
	fleet &operator=(const fleet &) = delete;

	struct brf_id
	id(size_t index)
	{
		return (brf_members_self(net.nodes[index].members)->node);
	}
	size_t
	settle(uint64_t limit)
	{
		return (fake_run_until(&net, fake_converged, limit));
	}
	/* Partitions zone 0 from the other zones; @one_way cuts only the
	 * datagrams from zone 0. */
	void
	split(bool one_way)
	{
		for (size_t i = 0; i < net.count; i++)
			net.nodes[i].group = i % (size_t)net.zones == 0;
		net.faults.cut[1][0] = true;
		net.faults.cut[0][1] = !one_way;
	}
	void
	heal()
	{
		memset(net.faults.cut, 0, sizeof(net.faults.cut));
	}
	/* Sets a node's state.  Return: microseconds until all see it, at least
	 * @limit if they don't by then. */
	uint64_t
	spread(size_t index, enum brf_member_state state, uint64_t limit)
	{
		struct brf_member m =
		    *brf_members_self(net.nodes[index].members);
		uint64_t began = net.clock.now;

		m.state = state;
		brf_members_update_self(net.nodes[index].members, &m);
		while (fake_count_seeing(&net, m.node, state) !=
			   fake_up_count(&net) &&
		       net.clock.now - began < limit)
			fake_net_run(&net, 50 * BRF_US_PER_MS);
		return (net.clock.now - began);
	}
	double
	counter(const char *name, const char *labels = "")
	{
		return (
		    brf_metrics_counter(net.metrics, name, "", labels)->value);
	}
};

/* Counts how often a member that drains or left is seen as ready again. */
struct return_watcher {
	struct brf_members_watcher watcher;
	struct brf_id left;
	bool gone;
	size_t returned;
};

void
watch_return(struct brf_members_watcher *w, const struct brf_member *before,
    const struct brf_member *after)
{
	auto *n = brf_container_of(w, struct return_watcher, watcher);

	(void)before;
	if (after == nullptr || !brf_id_equal(after->node, n->left))
		return;
	if (after->state == BRF_MEMBER_DRAINING ||
	    after->state == BRF_MEMBER_GONE)
		n->gone = true;
	else if (n->gone && after->state == BRF_MEMBER_READY)
		n->returned++;
}

/* Drains node @index and lets it leave.  Return: times that nodes saw it as
 * ready after they had seen it draining or gone. */
size_t
returns_after_leaving(struct fleet &f, size_t index)
{
	std::vector<struct return_watcher> watchers(f.net.count);
	size_t returned = 0;

	for (size_t i = 0; i < f.net.count; i++) {
		watchers[i].left = f.id(index);
		watchers[i].watcher.changed = watch_return;
		brf_members_watch(f.net.nodes[i].members, &watchers[i].watcher);
	}
	EXPECT_LE(f.spread(index, BRF_MEMBER_DRAINING, 3 * second), 3 * second);
	fake_net_run(&f.net, second);
	brf_members_leave(f.net.nodes[index].members);
	fake_net_run(&f.net, second);
	brf_members_unwatch(&watchers[index].watcher);
	fake_node_stop(&f.net, index);
	fake_net_run(&f.net, 10 * second);
	for (auto &w : watchers) {
		if (!brf_list_empty(&w.watcher.link))
			brf_members_unwatch(&w.watcher);
		returned += w.returned;
	}
	return (returned);
}

/* Injected fault: an update that a node left turns into one that it is ready
 * at a higher incarnation. */
void
inject_ready(struct fake_net *net, struct brf_gossip *g)
{
	(void)net;
	for (uint32_t i = 0; i < g->brief_count; i++) {
		if (g->briefs[i].version.state != BRF_GOSSIP_LEFT)
			continue;
		g->briefs[i].version.state = BRF_GOSSIP_READY;
		g->briefs[i].version.incarnation++;
	}
}

/* Injected fault: updates that a node drains are changed to ready. */
void
inject_loss_of_draining(struct fake_net *net, struct brf_gossip *g)
{
	(void)net;
	for (uint32_t i = 0; i < g->brief_count; i++) {
		if (g->briefs[i].version.state == BRF_GOSSIP_DRAINING)
			g->briefs[i].version.state = BRF_GOSSIP_READY;
	}
	if (g->version.state == BRF_GOSSIP_DRAINING)
		g->version.state = BRF_GOSSIP_READY;
}

/* Adopts each newer digest, as a node does after fetching the documents. */
struct adopter {
	struct brf_members_watcher watcher;
	struct brf_members *members;
};

void
adopt(struct brf_members_watcher *w, const struct brf_member *before,
    const struct brf_member *after)
{
	auto *a = brf_container_of(w, struct adopter, watcher);
	struct brf_member m = *brf_members_self(a->members);

	if (before == nullptr || after == nullptr ||
	    after->docs_digest == before->docs_digest ||
	    after->docs_digest <= m.docs_digest)
		return;
	m.docs_digest = after->docs_digest;
	brf_members_update_self(a->members, &m);
}

const struct {
	const char *name;
	struct fake_faults faults;
} networks[] = {
	{ "clean", { 0, 0, 500, 0, {} } },
	{ "loss", { 0.2, 0, 500, 1000, {} } },
	{ "duplicates", { 0, 0.5, 500, 1000, {} } },
	{ "reordering", { 0, 0, 500, 150000, {} } },
	{ "all", { 0.1, 0.2, 12000, 100000, {} } },
};

} // namespace

TEST(members, updates_reach_all_nodes_within_bounds)
{
	for (auto &n : networks) {
		SCOPED_TRACE(n.name);
		fleet f(40);
		f.net.faults = n.faults;
		EXPECT_LE(
		    f.spread(5, BRF_MEMBER_DRAINING, 3 * second), 3 * second);
		EXPECT_LE(
		    f.spread(5, BRF_MEMBER_READY, 3 * second), 3 * second);
		struct brf_id old = f.id(7);
		brf_members_leave(f.net.nodes[7].members);
		fake_net_run(&f.net, 3 * second);
		EXPECT_EQ(fake_count_seeing(&f.net, old, BRF_MEMBER_GONE), 40u);
		fake_node_stop(&f.net, 7);
		fake_node_start(&f.net, 7);
		fake_net_run(&f.net, 3 * second);
		EXPECT_GE(
		    fake_count_seeing(&f.net, f.id(7), BRF_MEMBER_READY), 38u);
	}
}

TEST(members, no_false_failure_persists)
{
	for (auto &n : networks) {
		SCOPED_TRACE(n.name);
		fleet f(24);
		f.net.faults = n.faults;
		fake_net_run(&f.net, 60 * second);
		f.net.faults = networks[0].faults;
		EXPECT_LE(f.settle(10 * second), 10 * second);
	}
}

TEST(members, a_crashed_node_is_declared_failed_and_stays_failed)
{
	fleet f(24);
	struct brf_id dead = f.id(3);

	fake_node_stop(&f.net, 3);
	fake_net_run(&f.net, 12 * second);
	EXPECT_EQ(fake_count_seeing(&f.net, dead, BRF_MEMBER_GONE), 23u);
	fake_net_run(&f.net, 30 * second);
	EXPECT_EQ(fake_count_seeing(&f.net, dead, BRF_MEMBER_GONE), 23u);
	EXPECT_TRUE(fake_converged(&f.net));
}

TEST(members, a_paused_node_suspects_nobody_and_rejoins)
{
	fleet f(24);
	struct brf_id paused = f.id(4);

	f.net.nodes[4].paused = true;
	fake_net_run(&f.net, 30 * second);
	EXPECT_EQ(fake_count_seeing(&f.net, paused, BRF_MEMBER_GONE), 23u);
	double before = f.counter("brf_member_suspicions_total");
	fake_node_resume(&f.net, 4);
	EXPECT_LE(f.settle(5 * second), 5 * second);
	EXPECT_EQ(f.counter("brf_member_suspicions_total"), before);
	EXPECT_TRUE(brf_id_equal(paused, f.id(4)));
}

TEST(members, a_pause_does_not_count_towards_a_suspicion_timeout)
{
	fleet f(24);
	struct brf_id slow = f.id(9);
	struct return_watcher seen = {};

	f.net.nodes[9].paused = true;
	while (fake_state_at(&f.net, 4, slow) != BRF_MEMBER_SUSPECT)
		fake_net_run(&f.net, 10 * BRF_US_PER_MS);
	f.net.nodes[4].paused = true;
	fake_node_resume(&f.net, 9);
	fake_net_run(&f.net, 30 * second);
	seen.left = slow;
	seen.watcher.changed = watch_return;
	brf_members_watch(f.net.nodes[4].members, &seen.watcher);
	fake_node_resume(&f.net, 4);
	fake_net_run(&f.net, 5 * second);
	EXPECT_FALSE(seen.gone);
	EXPECT_TRUE(fake_converged(&f.net));
	brf_members_unwatch(&seen.watcher);
}

TEST(members, pausing_all_nodes_causes_no_suspicions)
{
	fleet f(24);
	double before = f.counter("brf_member_suspicions_total");

	for (size_t i = 0; i < 24; i++)
		f.net.nodes[i].paused = true;
	fake_net_run(&f.net, 60 * second);
	for (size_t i = 0; i < 24; i++)
		fake_node_resume(&f.net, i);
	fake_net_run(&f.net, 10 * second);
	EXPECT_EQ(f.counter("brf_member_suspicions_total"), before);
	EXPECT_TRUE(fake_converged(&f.net));
}

TEST(members, nodes_reconnect_after_a_partition)
{
	const struct {
		const char *name;
		bool one_way;
		bool replace_near;
		bool replace_far;
	} cases[] = {
		{ "cut", false, false, false },
		{ "one way", true, false, false },
		{ "near side replaced", false, true, false },
		{ "far side replaced", false, false, true },
		{ "both sides replaced", false, true, true },
	};

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		fleet f(32);
		f.split(c.one_way);
		fake_net_run(&f.net, 15 * second);
		for (size_t i = 0; i < 32; i++) {
			bool near = i % 4 == 0;
			if (!(near ? c.replace_near : c.replace_far))
				continue;
			fake_node_stop(&f.net, i);
			fake_net_run(&f.net, 500 * BRF_US_PER_MS);
			fake_node_start(&f.net, i);
		}
		fake_net_run(&f.net, 15 * second);
		for (size_t i = 0; i < 32 && !c.one_way; i++)
			EXPECT_EQ(brf_members_count(f.net.nodes[i].members),
			    i % 4 == 0 ? 8u : 24u);
		f.heal();
		EXPECT_LE(f.settle(5 * second), 5 * second);
	}
}

TEST(members, a_partition_causes_no_lasting_suspicions_within_a_side)
{
	for (bool one_way : { false, true }) {
		SCOPED_TRACE(one_way);
		fleet f(32);
		size_t suspicions = 0;

		f.split(one_way);
		for (int step = 0; step < 300; step++) {
			fake_net_run(&f.net, second / 10);
			for (size_t i = 0; i < 32; i += 4) {
				for (size_t j = 0; j < 32; j += 4)
					suspicions +=
					    fake_state_at(&f.net, i, f.id(j)) !=
					    BRF_MEMBER_READY;
			}
		}
		/* of 19200 observations; a refutation takes some steps */
		EXPECT_LE(suspicions, one_way ? 200u : 0u);
	}
}

TEST(members, an_isolated_node_suspects_late_and_is_not_believed)
{
	fleet f(24);
	size_t suspicions = 0, gone = 0;

	f.net.nodes[4].group = 1;
	f.net.faults.cut[0][1] = f.net.faults.cut[1][0] = true;
	fake_net_run(&f.net, 3 * second);
	for (size_t i = 0; i < 24; i++)
		EXPECT_EQ(fake_state_at(&f.net, 4, f.id(i)), BRF_MEMBER_READY);
	fake_net_run(&f.net, 60 * second);
	EXPECT_EQ(brf_members_count(f.net.nodes[4].members), 1u);
	f.heal();
	for (int step = 0; step < 100; step++) {
		fake_net_run(&f.net, second / 20);
		for (size_t i = 0; i < 24; i++) {
			for (size_t j = 0; j < 24; j++) {
				if (i == 4 || j == 4)
					continue;
				auto state = fake_state_at(&f.net, i, f.id(j));
				gone += state == BRF_MEMBER_GONE;
				suspicions += state == BRF_MEMBER_SUSPECT;
			}
		}
	}
	EXPECT_EQ(gone, 0u);
	/* of 50600 observations; one or two members that refute */
	EXPECT_LE(suspicions, 60u);
	EXPECT_TRUE(fake_converged(&f.net));
}

TEST(members, a_restarted_node_replaces_its_former_id)
{
	fleet f(16);

	for (int turn = 0; turn < 3; turn++) {
		struct brf_id old = f.id(9);
		fake_node_stop(&f.net, 9);
		fake_node_start(&f.net, 9);
		for (int step = 0; step < 60; step++) {
			fake_net_run(&f.net, second / 20);
			for (size_t i = 0; i < 16; i++)
				EXPECT_TRUE(fake_state_at(&f.net, i, f.id(9)) ==
						BRF_MEMBER_GONE ||
					    fake_state_at(&f.net, i, old) ==
						BRF_MEMBER_GONE);
		}
		EXPECT_EQ(fake_count_seeing(&f.net, old, BRF_MEMBER_GONE), 16u);
		EXPECT_EQ(
		    fake_count_seeing(&f.net, f.id(9), BRF_MEMBER_READY), 16u);
	}
	EXPECT_TRUE(fake_converged(&f.net));
}

TEST(members, a_member_that_left_is_not_ready_again)
{
	for (auto &n : networks) {
		SCOPED_TRACE(n.name);
		fleet f(24);
		f.net.faults = n.faults;
		EXPECT_EQ(returns_after_leaving(f, 6), 0u);
	}
}

TEST(members, replayed_old_datagrams_are_ignored)
{
	fleet f(12);
	std::vector<std::vector<unsigned char>> old;
	struct brf_list *l;

	f.spread(2, BRF_MEMBER_DRAINING, 3 * second);
	f.spread(2, BRF_MEMBER_READY, 0);
	brf_list_foreach (l, &f.net.in_flight) {
		auto *x = brf_list_entry(l, struct fake_datagram, link);
		old.emplace_back(x->data, x->data + x->len);
	}
	ASSERT_GE(old.size(), 3u);
	fake_net_run(&f.net, 3 * second);
	f.spread(2, BRF_MEMBER_DRAINING, 3 * second);
	struct sockaddr_in from = fake_address(2);
	for (size_t i = 0; i < 12; i++) {
		for (auto &d : old)
			brf_members_receive(
			    f.net.nodes[i].members, &from, d.data(), d.size());
	}
	EXPECT_EQ(fake_count_seeing(&f.net, f.id(2), BRF_MEMBER_DRAINING), 12u);
	fake_net_run(&f.net, 5 * second);
	EXPECT_TRUE(fake_converged(&f.net));
}

TEST(members, malformed_and_unauthenticated_datagrams_are_refused)
{
	const char *bad = "error=\"datagram_invalid\"";
	const char *forged = "error=\"authentication_failed\"";
	const char *name = "brf_datagrams_refused_total";
	fleet f(2);
	struct sockaddr_in from = fake_address(1);
	unsigned char d[BRF_DATAGRAM_MAX];
	struct brf_gossip g;

	brf_gossip_begin(&g, BRF_GOSSIP_PING);
	g.sender.lo = 77;
	size_t len = brf_gossip_encode(f.net.codec, &g, d);
	ASSERT_EQ(len, g.size);
	for (size_t i = 0; i < len; i++) {
		d[i] ^= 1;
		brf_members_receive(f.net.nodes[0].members, &from, d, len);
		d[i] ^= 1;
	}
	EXPECT_EQ(f.counter(name, forged), (double)len);
	brf_members_receive(f.net.nodes[0].members, &from, d, 3);
	brf_members_receive(f.net.nodes[0].members, &from, d, sizeof(d) + 1);
	g.briefs[0] = { 5, { 1, 0, BRF_GOSSIP_STATE_COUNT } };
	g.brief_count = 1;
	ASSERT_EQ(brf_gossip_encode(f.net.codec, &g, d), 0u);
	g.briefs[0].version.state = BRF_GOSSIP_LEFT;
	len = brf_gossip_encode(f.net.codec, &g, d);
	EXPECT_TRUE(brf_gossip_decode(f.net.codec, d, len, &g, nullptr));
	EXPECT_EQ(f.counter(name, bad), 2.0);
}

TEST(members, claims_about_another_member)
{
	const struct {
		const char *name;
		bool sender_left;
		uint8_t claim;
		enum brf_member_state want;
	} cases[] = {
		{ "failed, about a member not suspect here", false,
		    BRF_GOSSIP_FAILED, BRF_MEMBER_SUSPECT },
		{ "left, from a member", false, BRF_GOSSIP_LEFT,
		    BRF_MEMBER_GONE },
		{ "left, from a member that is gone", true, BRF_GOSSIP_LEFT,
		    BRF_MEMBER_READY },
	};
	static struct brf_gossip g;
	unsigned char d[BRF_DATAGRAM_MAX];
	struct sockaddr_in from = fake_address(1);

	for (auto &c : cases) {
		SCOPED_TRACE(c.name);
		fleet f(4);
		if (c.sender_left)
			brf_members_leave(f.net.nodes[1].members);
		fake_net_run(&f.net, second);
		struct brf_id about = f.id(2);
		brf_gossip_begin(&g, BRF_GOSSIP_UPDATES);
		g.sender = f.id(1);
		g.briefs[0] = { about.lo, { 0, 0, c.claim } };
		g.brief_count = 1;
		size_t len = brf_gossip_encode(f.net.codec, &g, d);
		brf_members_receive(f.net.nodes[0].members, &from, d, len);
		EXPECT_EQ(fake_state_at(&f.net, 0, about), c.want);
	}
}

TEST(members, names_with_other_characters_are_refused)
{
	struct brf_gossip_codec *c = brf_gossip_codec_new(nullptr, 0);
	static struct brf_gossip g;
	unsigned char d[BRF_DATAGRAM_MAX];
	struct brf_member m = {};
	struct brf_gossip_version v = {};

	for (const char *name : { "ok-1.x_y", "a b", "a\"", "a\n" }) {
		brf_copy_name(m.service, sizeof(m.service), name);
		brf_gossip_begin(&g, BRF_GOSSIP_UPDATES);
		ASSERT_TRUE(brf_gossip_add_full(&g, &m, &v));
		EXPECT_EQ(brf_gossip_encode(c, &g, d) != 0,
		    strcmp(name, "ok-1.x_y") == 0);
	}
	brf_gossip_codec_free(c);
}

RC_GTEST_PROP(members, codec_round_trip, ())
{
	struct brf_gossip_codec *c = brf_gossip_codec_new(nullptr, 0);
	auto g = std::make_unique<struct brf_gossip>();
	auto back = std::make_unique<struct brf_gossip>();
	auto items = *rc::gen::container<std::vector<std::pair<uint64_t, int>>>(
	    rc::gen::pair(rc::gen::arbitrary<uint64_t>(),
		rc::gen::inRange(0, (int)BRF_GOSSIP_STATE_COUNT)));
	unsigned char d[BRF_DATAGRAM_MAX];
	struct brf_member m = {};
	size_t len;

	brf_gossip_begin(g.get(), BRF_GOSSIP_SYNC);
	for (auto &i : items) {
		struct brf_gossip_version v = { i.first &
						    BRF_GOSSIP_INCARNATION_MAX,
			(uint8_t)i.first, (uint8_t)i.second };
		struct brf_gossip_brief b = { ~i.first, v };
		struct brf_gossip_docs docs = { i.first, 7, ~i.first };
		snprintf(m.zone, sizeof(m.zone), "z%d", i.second);
		m.node = { i.first, i.first / 2 };
		brf_gossip_add_full(g.get(), &m, &v);
		brf_gossip_add_brief(g.get(), &b);
		brf_gossip_add_docs(g.get(), &docs);
	}
	len = brf_gossip_encode(c, g.get(), d);
	RC_ASSERT(len == g->size);
	RC_ASSERT(len <= BRF_DATAGRAM_MAX);
	RC_ASSERT(brf_gossip_decode(c, d, len, back.get(), nullptr));
	RC_ASSERT(back->brief_count == g->brief_count);
	RC_ASSERT(back->full_count == g->full_count);
	for (uint32_t i = 0; i < g->brief_count; i++) {
		RC_ASSERT(back->briefs[i].key == g->briefs[i].key);
		RC_ASSERT(back->briefs[i].version.incarnation ==
			  g->briefs[i].version.incarnation);
	}
	for (uint32_t i = 0; i < g->full_count; i++)
		RC_ASSERT(strcmp(back->fulls[i].member.zone,
			      g->fulls[i].member.zone) == 0);
	brf_gossip_codec_free(c);
}

TEST(members, document_digests_reach_all)
{
	for (auto &n : networks) {
		SCOPED_TRACE(n.name);
		fleet f(40);
		std::vector<struct adopter> all(40);
		f.net.faults = n.faults;
		for (size_t i = 0; i < 40; i++) {
			all[i].members = f.net.nodes[i].members;
			all[i].watcher.changed = adopt;
			brf_members_watch(all[i].members, &all[i].watcher);
		}
		struct brf_member m = *brf_members_self(all[3].members);
		uint64_t incarnation = m.incarnation;
		m.docs_digest = 99;
		brf_members_update_self(all[3].members, &m);
		fake_net_run(&f.net, n.faults.loss > 0 ? 3 * second : second);
		for (auto &a : all)
			EXPECT_EQ(
			    brf_members_self(a.members)->docs_digest, 99u);
		if (n.faults.loss == 0) { /* with loss it may have to refute */
			EXPECT_EQ(brf_members_self(all[3].members)->incarnation,
			    incarnation);
		}
	}
}

TEST(members, the_first_update_with_a_digest_is_gossiped)
{
	fleet f(40);
	struct brf_member m = *brf_members_self(f.net.nodes[3].members);
	size_t know = 0;

	m.docs_digest = 99;
	brf_members_update_self(f.net.nodes[3].members, &m);
	fake_net_run(&f.net, second);
	for (size_t i = 0; i < 40; i++)
		know += brf_members_find(f.net.nodes[i].members, m.node)
			    ->docs_digest == 99;
	EXPECT_GE(know, 38u); /* others get it from headers */
}

/* Mean of the bytes that a node sends in the next @us microseconds. */
static double
mean_sent(struct fleet &f, uint64_t us)
{
	double before = 0, after = 0;

	for (size_t i = 0; i < f.net.count; i++)
		before += (double)f.net.nodes[i].sent_bytes;
	fake_net_run(&f.net, us);
	for (size_t i = 0; i < f.net.count; i++)
		after += (double)f.net.nodes[i].sent_bytes;
	return ((after - before) / (double)f.net.count);
}

TEST(members, cost_per_node_is_bounded)
{
	const double datagram = 28 + 72 + 16; /* with one brief update */

	for (size_t n : { 16, 128 }) {
		SCOPED_TRACE(n);
		fleet f(n);
		fake_net_run(&f.net, 20 * second);
		double quiet = mean_sent(f, 10 * second) / 10;
		EXPECT_LT(quiet, 300);
		f.spread(5, BRF_MEMBER_DRAINING, 0);
		double change = mean_sent(f, 5 * second) - 5 * quiet;
		EXPECT_LT(change, datagram * (log2((double)n) + 5));
	}
}

/* Guards the checks above: each must fail for the fault it is to detect. */
TEST(members, injected_faults_are_detected)
{
	fleet silent(24);
	silent.net.mutate = inject_loss_of_draining;
	EXPECT_GT(
	    silent.spread(5, BRF_MEMBER_DRAINING, 3 * second), 3 * second - 1);

	fleet ready(24);
	ready.net.mutate = inject_ready;
	EXPECT_GT(returns_after_leaving(ready, 6), 0u);
}
