#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "fleet/directory.h"
#include "fleet/follow.h"
#include "fleet/local.h"
#include "fleet/register.h"
#include "fleet/sweeper.h"
#include "store_fake.h"

namespace
{

/* Virtual time and a store in memory. */
struct fleet_fixture {
	struct brf_clock_manual clock;
	struct brf_timers *timers;
	struct brf_random_seeded random;
	struct fake_store store;

	fleet_fixture()
	{
		brf_clock_manual_init(&clock, 1000000);
		timers = brf_timers_new(&clock.clock);
		brf_random_seeded_init(&random, 5);
	}

	~fleet_fixture()
	{
		brf_timers_free(timers);
	}

	void
	advance(uint64_t us)
	{
		clock.now += us;
		brf_timers_run(timers);
	}

	/* Delivers all calls and events while 6 s of virtual time pass. */
	void
	settle()
	{
		for (int i = 0; i < 60; i++) {
			while (!store.waiting.empty())
				store.process_next_call(DELIVER);
			store.deliver_watch_events();
			advance(100000);
		}
	}
};

/* Values of the mirrored keys, as reported by the callbacks. */
struct mirror_copy {
	std::map<std::string, std::string> values;
	std::map<std::string, uint64_t> revisions;
	int synced = 0;
	bool revision_decreased = false; /* within an epoch */
	const struct brf_store *store = nullptr;
	uint64_t epoch = 0;

	static void
	set(void *arg, const struct brf_store_kv *kv)
	{
		auto *c = static_cast<struct mirror_copy *>(arg);

		if (brf_store_epoch(c->store) != c->epoch)
			c->revisions.clear();
		c->epoch = brf_store_epoch(c->store);
		if (kv->revision <= c->revisions[kv->key])
			c->revision_decreased = true;
		c->revisions[kv->key] = kv->revision;
		c->values[kv->key].assign(kv->value, kv->len);
	}

	static void
	gone(void *arg, const char *key, uint64_t revision)
	{
		(void)revision;
		static_cast<struct mirror_copy *>(arg)->values.erase(key);
	}

	static void
	on_synced(void *arg)
	{
		static_cast<struct mirror_copy *>(arg)->synced++;
	}
};

struct brf_store_mirror *
store_mirror(struct fleet_fixture &b, struct mirror_copy &c)
{
	struct brf_store_mirror_config config = { &b.store.store, b.timers,
		&b.random.random, "p/", 250000, 2000000, mirror_copy::set,
		mirror_copy::gone, mirror_copy::on_synced, &c };

	c.store = &b.store.store;
	return (brf_store_mirror_new(&config));
}

TEST(store_mirror, reads_once_and_receives_changes)
{
	struct fleet_fixture b;
	struct mirror_copy c;

	b.store.put("p/a", "1");
	b.store.put("q/a", "other");
	struct brf_store_mirror *f = store_mirror(b, c);

	b.settle();
	EXPECT_EQ(
	    c.values, (std::map<std::string, std::string>{ { "p/a", "1" } }));
	b.store.put("p/b", "2");
	b.store.remove("p/a");
	b.settle();
	EXPECT_EQ(
	    c.values, (std::map<std::string, std::string>{ { "p/b", "2" } }));
	EXPECT_EQ(b.store.reads, 1u);
	brf_store_mirror_free(f);
}

/*
 * Guards against changes lost between two watches: the store compacts its
 * history while no watch is open, and a new watch does not report them.
 */
TEST(store_mirror, reads_all_keys_again_after_a_watch_ends)
{
	struct fleet_fixture b;
	struct mirror_copy c;

	b.store.put("p/a", "1");
	b.store.put("p/b", "1");
	struct brf_store_mirror *f = store_mirror(b, c);

	b.settle();
	b.store.silent = true; /* for all watches from now on */
	b.store.put("p/a", "2");
	b.store.remove("p/b");
	b.store.break_watches(BRF_E_CLOSED);
	b.settle();
	EXPECT_EQ(
	    c.values, (std::map<std::string, std::string>{ { "p/a", "2" } }));
	brf_store_mirror_free(f);
}

/*
 * Guards against a poll for each change: each poll is a store call that is
 * billed, and a starting fleet changes a key every few milliseconds.
 */
TEST(store_mirror, pause_doubles_while_changes_continue)
{
	struct fleet_fixture b;
	struct mirror_copy c;
	struct brf_store_mirror *f = store_mirror(b, c);
	std::vector<uint64_t> pauses;

	b.settle();
	for (int i = 0; i < 6; i++) {
		b.store.put("p/a", std::to_string(i));
		b.store.deliver_watch_events();
		pauses.push_back(b.store.watches.front().watch->pause_us);
		b.advance(pauses.back());
	}
	EXPECT_EQ(pauses, (std::vector<uint64_t>{ 250000, 500000, 1000000,
			      2000000, 2000000, 2000000 }));
	b.advance(5000000);
	b.store.put("p/a", "alone");
	b.store.deliver_watch_events();
	EXPECT_EQ(b.store.watches.front().watch->pause_us, 250000u);
	brf_store_mirror_free(f);
}

/*
 * A store that was restored from an older copy gives out revisions again, so
 * that neither a lower revision nor an equal one tells that a key is unchanged.
 */
TEST(store_mirror, takes_a_restored_store_whatever_its_revisions)
{
	struct fleet_fixture b;
	struct mirror_copy c;

	b.store.epoch = 1;
	b.store.put("p/a", "old");
	b.store.put("p/b", "1");
	uint64_t copy = b.store.revision;
	b.store.put("p/b", "2");
	b.store.put("p/c", "lost");
	struct brf_store_mirror *f = store_mirror(b, c);

	b.settle();
	b.store.restore(copy);
	b.store.put("p/a", "new"); /* at the revision that p/b had */
	b.store.break_watches(BRF_E_CLOSED);
	b.settle();
	EXPECT_EQ(c.values, (std::map<std::string, std::string>{
				{ "p/a", "new" }, { "p/b", "1" } }));
	brf_store_mirror_free(f);
}

/* Planted: a store that does not tell its epoch. */
TEST(store_mirror, a_restore_that_is_not_told_would_be_noticed)
{
	struct fleet_fixture b;
	struct mirror_copy c;

	b.store.put("p/a", "old");
	uint64_t copy = b.store.revision;
	b.store.put("p/a", "lost");
	struct brf_store_mirror *f = store_mirror(b, c);

	b.settle();
	b.store.restore(copy);
	b.store.break_watches(BRF_E_CLOSED);
	b.settle();
	EXPECT_EQ(c.values["p/a"], "lost");
	EXPECT_EQ(b.store.value("p/a"), "old");
	brf_store_mirror_free(f);
}

TEST(store_mirror, keeps_known_keys_while_the_store_is_unreachable)
{
	struct fleet_fixture b;
	struct mirror_copy c;

	b.store.put("p/a", "1");
	struct brf_store_mirror *f = store_mirror(b, c);

	b.settle();
	b.store.break_watches(BRF_E_CLOSED);
	for (int i = 0; i < 40; i++) {
		b.advance(500000);
		b.store.process_next_call(NOT_SENT);
	}
	EXPECT_EQ(c.values.count("p/a"), 1u);
	b.store.put("p/a", "2");
	b.settle();
	EXPECT_EQ(c.values["p/a"], "2");
	brf_store_mirror_free(f);
}

RC_GTEST_PROP(
    store_mirror, converges_to_the_store_and_revisions_never_decrease, ())
{
	struct fleet_fixture b;
	struct mirror_copy c;
	struct brf_store_mirror *f = store_mirror(b, c);
	auto steps =
	    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 11));
	uint64_t copy = b.store.revision;

	b.store.epoch = 1;

	for (int s : steps) {
		std::string key = std::string("p/") + (char)('a' + s % 3);

		switch (s) {
		case 0:
		case 1:
		case 2:
			b.store.put(key, std::to_string(b.store.revision));
			break;
		case 3:
			if (!b.store.value(key).empty())
				b.store.remove(key);
			break;
		case 4:
			b.store.process_next_call(*rc::gen::element(
			    DELIVER, LOSE_REQUEST, LOSE_RESPONSE, NOT_SENT));
			break;
		case 5:
			b.store.deliver_watch_events();
			break;
		case 6:
			b.store.break_watches(*rc::gen::element(
			    BRF_E_CLOSED, BRF_E_STORE_COMPACTED));
			break;
		case 7:
			b.store.silent = !b.store.silent;
			break;
		case 8:
			copy = b.store.revision;
			break;
		case 9:
			b.store.restore(std::min(copy, b.store.revision));
			break;
		default:
			b.advance(200000);
		}
	}
	b.store.break_watches(BRF_E_CLOSED);
	b.store.silent = false;
	b.settle();
	std::map<std::string, std::string> want;
	for (const char *key : { "p/a", "p/b", "p/c" })
		if (!b.store.value(key).empty())
			want[key] = b.store.value(key);
	RC_ASSERT(c.values == want);
	RC_ASSERT(!c.revision_decreased);
	brf_store_mirror_free(f);
}

struct brf_entry
entry(const char *id, enum brf_target_state state = BRF_TARGET_READY)
{
	struct brf_entry e = {};

	brf_copy_name(e.id, sizeof(e.id), id);
	brf_copy_name(e.service, sizeof(e.service), "s");
	brf_copy_name(e.zone, sizeof(e.zone), "z");
	brf_copy_name(e.region, sizeof(e.region), "r");
	e.gate.sin_family = AF_INET;
	e.gate.sin_port = htons(7);
	e.gate.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	e.slots = 5;
	e.state = state;
	return (e);
}

std::string
text(const struct brf_entry &e)
{
	struct brf_buf b = {};
	std::string s;

	brf_entry_write(&e, &b);
	s.assign(b.data, b.len);
	brf_buf_free(&b);
	return (s);
}

const std::string key = std::string(BRF_ENTRY_PREFIX) + "t-1";

TEST(registration, writes_under_a_lease_and_renews_it)
{
	struct fleet_fixture b;
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry e = entry("t-1");

	brf_registration_set(r, &e);
	b.settle();
	EXPECT_EQ(b.store.value(key), text(e));
	EXPECT_EQ(b.store.leases.size(), 1u);
	brf_registration_end(r);
	b.settle();
	EXPECT_EQ(b.store.value(key), "");
	brf_registration_free(r);
}

/* The response to a renewal shows that the store is in reach. */
TEST(registration, renews_its_lease_each_second_while_it_probes)
{
	struct fleet_fixture b;
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);

	brf_registration_probe(r, true);
	b.settle();
	EXPECT_EQ(b.store.leases.size(), 1u) << "also without an entry";
	b.store.process_next_call(DELIVER);
	b.clock.now += BRF_REGISTRATION_PROBE_US;
	brf_timers_run(b.timers);
	ASSERT_EQ(b.store.waiting.size(), 1u);
	EXPECT_EQ(
	    b.store.waiting.front().request.op, BRF_STORE_LEASE_KEEPALIVE);
	b.store.process_next_call(DELIVER);
	brf_registration_probe(r, false);
	b.clock.now += BRF_REGISTRATION_PROBE_US;
	brf_timers_run(b.timers);
	EXPECT_EQ(b.store.waiting.size(), 0u);
	brf_registration_free(r);
}

TEST(registration, replaces_a_lapsed_lease_and_writes_the_entry_again)
{
	struct fleet_fixture b;
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry e = entry("t-1");

	brf_registration_set(r, &e);
	b.settle();
	b.store.lapse(b.store.granted);
	EXPECT_EQ(b.store.value(key), "");
	uint64_t since = b.clock.now;
	while (b.store.value(key).empty() && b.clock.now < since + 10000000) {
		while (!b.store.waiting.empty())
			b.store.process_next_call(DELIVER);
		b.advance(50000);
	}
	EXPECT_EQ(b.store.value(key), text(e));
	EXPECT_LE(b.clock.now - since, 2100000u);
	brf_registration_free(r);
}

/* The first write takes effect after the second one. */
TEST(registration, a_delayed_write_does_not_undo_a_newer_one)
{
	struct fleet_fixture b;
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry ready = entry("t-1");
	struct brf_entry left = entry("t-1", BRF_TARGET_LEFT);

	brf_registration_set(r, &ready);
	b.store.process_next_call(DELIVER); /* lease grant */
	b.store.process_next_call(DELAY);   /* write of the entry */
	brf_registration_set(r, &left);
	b.settle();
	EXPECT_EQ(b.store.value(key), text(left));
	b.store.run_late();
	b.settle();
	EXPECT_EQ(b.store.value(key), text(left));
	brf_registration_free(r);
}

/* An entry that was lost with the store's newest data is back in 2 s after the
 * restore is noticed, and the lease of the earlier epoch is never used. */
TEST(registration, writes_again_after_the_store_was_restored)
{
	struct fleet_fixture b;
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry e = entry("t-1");

	b.store.epoch = 1;
	uint64_t copy = b.store.revision;
	brf_registration_set(r, &e);
	b.settle();
	e.epoch = 1;
	EXPECT_EQ(b.store.value(key), text(e));
	b.store.restore(copy);
	/* another node's lease has the id of the lost one */
	b.store.leases.push_back(++b.store.granted);
	uint64_t since = b.clock.now;
	while (b.store.value(key).empty() && b.clock.now < since + 10000000) {
		while (!b.store.waiting.empty())
			b.store.process_next_call(DELIVER);
		b.advance(50000);
	}
	e.epoch = 2;
	EXPECT_EQ(b.store.value(key), text(e));
	EXPECT_EQ(b.store.get(key, b.store.revision)->lease, 2u);
	EXPECT_LE(b.clock.now - since, 2100000u);
	brf_registration_free(r);
}

/* A write that was under way when the store was restored takes effect, with
 * the old text and another node's lease. */
TEST(registration, corrects_an_entry_that_an_earlier_write_has_changed)
{
	struct fleet_fixture b;
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry left = entry("t-1", BRF_TARGET_LEFT);

	brf_registration_set(r, &left);
	b.settle();
	uint64_t changed =
	    b.store.put(key, text(entry("t-1")), b.store.granted);
	brf_registration_entry_seen(r, "t-1", changed, false);
	b.settle();
	EXPECT_EQ(b.store.value(key), text(left));
	uint64_t written = b.store.get(key, b.store.revision)->revision;
	brf_registration_entry_seen(r, "t-1", written, false);
	b.settle();
	EXPECT_EQ(b.store.get(key, b.store.revision)->revision, written)
	    << "its own write needs no correction";
	brf_registration_free(r);
}

/* Entries of which a listener was told. */
struct listened {
	std::vector<std::string> written;
	std::vector<enum brf_target_state> superseded;
	struct brf_registration_listener listener = { on_written, on_superseded,
		this };

	static void
	on_written(void *arg, const char *id)
	{
		static_cast<listened *>(arg)->written.push_back(id);
	}

	static void
	on_superseded(void *arg, const struct brf_entry *found)
	{
		static_cast<listened *>(arg)->superseded.push_back(
		    found->announced);
	}
};

struct brf_entry
announced(enum brf_target_state state, uint64_t born = 7)
{
	struct brf_entry e = entry("t-1", state);

	e.announced = state;
	e.born = born;
	return (e);
}

/* A target in @state whose entry was written as ready before. */
struct departure {
	struct fleet_fixture b;
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry gone;
	uint64_t lease; /* of the entry as ready */

	explicit departure(enum brf_target_state state) : gone(announced(state))
	{
		struct brf_entry ready = announced(BRF_TARGET_READY);

		brf_registration_set(r, &ready);
		b.settle();
		lease = b.store.get(key, b.store.revision)->lease;
		brf_registration_set(r, &gone);
		EXPECT_TRUE(brf_registration_is_pending(r, "t-1"));
		b.settle();
		EXPECT_FALSE(brf_registration_is_pending(r, "t-1"));
	}

	~departure()
	{
		brf_registration_free(r);
	}
};

/* The process that wrote it is gone, and its lease with it. */
TEST(registration, a_departure_outlives_the_lease_of_its_process)
{
	for (auto state : { BRF_TARGET_DRAINING, BRF_TARGET_LEFT }) {
		struct departure d(state);
		auto &store = d.b.store;

		EXPECT_NE(store.get(key, store.revision)->lease, d.lease);
		brf_registration_end(d.r);
		d.b.settle();
		EXPECT_EQ(store.value(key), text(d.gone));
	}
}

/* The store may end leases early: a late announcement was believed then. */
TEST(registration, a_departure_outlives_all_leases)
{
	for (auto state : { BRF_TARGET_DRAINING, BRF_TARGET_LEFT }) {
		struct departure d(state);
		auto &store = d.b.store;

		while (!store.leases.empty())
			store.lapse(store.leases.back());
		EXPECT_EQ(store.value(key), text(d.gone));
	}
}

/* A late announcement must not replace what was acknowledged before. */
TEST(registration, an_entry_of_an_earlier_process_is_read_before_it_is_replaced)
{
	const struct {
		struct brf_entry found, set;
		bool told;
	} cases[] = {
		{ announced(BRF_TARGET_LEFT), announced(BRF_TARGET_READY),
		    true },
		{ announced(BRF_TARGET_DRAINING), announced(BRF_TARGET_READY),
		    true },
		{ announced(BRF_TARGET_LEFT, 8), announced(BRF_TARGET_READY),
		    true },
		{ announced(BRF_TARGET_LEFT), announced(BRF_TARGET_READY, 8),
		    false },
		{ announced(BRF_TARGET_READY), announced(BRF_TARGET_READY),
		    false },
		{ announced(BRF_TARGET_DRAINING), announced(BRF_TARGET_LEFT),
		    false },
	};

	for (const auto &c : cases) {
		struct fleet_fixture b;
		struct listened told;
		struct brf_registration *r = brf_registration_new(
		    &b.store.store, b.timers, &b.random.random);

		b.store.put(key, text(c.found));
		brf_registration_listen(r, &told.listener);
		brf_registration_set(r, &c.set);
		while (told.written.empty() && told.superseded.empty()) {
			b.store.process_next_call(DELIVER);
			b.advance(1000);
		}
		EXPECT_EQ(told.superseded.size(), c.told ? 1u : 0u);
		EXPECT_EQ(told.written.size(), c.told ? 0u : 1u);
		brf_registration_free(r);
	}
}

RC_GTEST_PROP(registration, converges_to_the_last_entry_set, ())
{
	struct fleet_fixture b;
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry last = entry("t-1");
	auto steps =
	    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
	uint64_t copy = b.store.revision;
	const fake_store::change *seen;

	b.store.epoch = 1;
	brf_registration_set(r, &last);
	for (int s : steps) {
		switch (s) {
		case 0:
			last.slots++;
			brf_registration_set(r, &last);
			break;
		case 1:
		case 2:
			b.store.process_next_call(*rc::gen::element(DELIVER,
			    LOSE_REQUEST, LOSE_RESPONSE, DELAY, NOT_SENT));
			break;
		case 3:
			b.store.run_late();
			break;
		case 4:
			if (b.store.granted != 0)
				b.store.lapse(b.store.granted);
			break;
		case 5:
			copy = b.store.revision;
			break;
		case 6:
			b.store.restore(std::min(copy, b.store.revision));
			break;
		default:
			b.advance(300000);
		}
	}
	b.settle();
	b.store.run_late();
	seen = b.store.get(key, b.store.revision);
	brf_registration_entry_seen(r, "t-1", seen->revision, seen->deleted);
	b.settle();
	last.epoch = b.store.epoch;
	RC_ASSERT(b.store.value(key) == text(last));
	RC_ASSERT(b.store.has_lease(b.store.get(key, b.store.revision)->lease));
	brf_registration_free(r);
}

struct brf_target_announcement
announcement(const char *id, uint64_t born, uint64_t sequence,
    enum brf_target_state state = BRF_TARGET_READY)
{
	struct brf_target_announcement n = {};

	brf_copy_name(n.id, sizeof(n.id), id);
	n.born = born;
	n.sequence = sequence;
	n.state = state;
	n.slots = 1;
	return (n);
}

TEST(local_target, orders_announcements)
{
	struct {
		const char *what;
		struct brf_target_announcement n;
		enum brf_announce_result want;
	} cases[] = {
		{ "first", announcement("a", 10, 1), BRF_ANNOUNCE_REPLACED },
		{ "next", announcement("a", 10, 2), BRF_ANNOUNCE_UPDATED },
		{ "again", announcement("a", 10, 2), BRF_ANNOUNCE_STALE },
		{ "late", announcement("a", 10, 1), BRF_ANNOUNCE_STALE },
		{ "drains", announcement("a", 10, 3, BRF_TARGET_DRAINING),
		    BRF_ANNOUNCE_UPDATED },
		{ "late, before the drain", announcement("a", 10, 2),
		    BRF_ANNOUNCE_STALE },
		{ "same id, new incarnation", announcement("a", 20, 1),
		    BRF_ANNOUNCE_REPLACED },
		{ "previous incarnation", announcement("a", 10, 9),
		    BRF_ANNOUNCE_STALE },
		{ "new target", announcement("b", 30, 1),
		    BRF_ANNOUNCE_REPLACED },
		{ "previous target", announcement("a", 20, 9),
		    BRF_ANNOUNCE_STALE },
		{ "older target, not yet known", announcement("c", 25, 9),
		    BRF_ANNOUNCE_STALE },
	};
	struct brf_local_target l = {};

	for (const auto &c : cases)
		EXPECT_EQ(brf_local_target_announce(&l, &c.n, 0), c.want)
		    << c.what;
	EXPECT_STREQ(l.current.id, "b");
}

/* What an earlier process of the node has acknowledged holds for this one. */
TEST(local_target, adopts_what_an_earlier_process_was_told)
{
	const struct brf_incarnation first = { "a", 10 };

	for (auto state : { BRF_TARGET_DRAINING, BRF_TARGET_LEFT }) {
		struct brf_local_target l = {};
		struct brf_target_announcement n = announcement("a", 10, 5);

		EXPECT_FALSE(brf_local_target_adopt(&l, &first, state));
		l = {};
		brf_local_target_announce(&l, &n, 0);
		EXPECT_TRUE(brf_local_target_adopt(&l, &first, state));
		EXPECT_EQ(l.current.state, state);
		EXPECT_FALSE(brf_local_target_adopt(&l, &first, state));
		n = announcement("a", 10, 6);
		brf_local_target_announce(&l, &n, 0);
		EXPECT_EQ(l.current.state, state);
		n = announcement("a", 11, 1);
		EXPECT_EQ(brf_local_target_announce(&l, &n, 0),
		    BRF_ANNOUNCE_REPLACED);
		EXPECT_EQ(l.current.state, BRF_TARGET_READY);
		EXPECT_FALSE(brf_local_target_adopt(&l, &first, state));
	}
}

/* Another node may tell of a departure before the target's late announcement
 * from before it arrives. */
TEST(local_target, adopts_a_departure_before_any_announcement)
{
	const struct brf_incarnation first = { "a", 10 };
	struct brf_target_announcement n = announcement("a", 10, 5);
	struct brf_local_target l = {};

	brf_local_target_adopt(&l, &first, BRF_TARGET_DRAINING);
	brf_local_target_announce(&l, &n, 0);
	EXPECT_EQ(l.current.state, BRF_TARGET_DRAINING);
	l = {};
	brf_local_target_adopt(&l, &first, BRF_TARGET_DRAINING);
	brf_local_target_adopt(&l, &first, BRF_TARGET_LEFT);
	EXPECT_EQ(brf_local_target_announce(&l, &n, 0), BRF_ANNOUNCE_STALE);
	n = announcement("a", 11, 1);
	EXPECT_EQ(brf_local_target_announce(&l, &n, 0), BRF_ANNOUNCE_REPLACED);
	EXPECT_EQ(l.current.state, BRF_TARGET_READY);
}

/* Its id may be used again by an incarnation that starts later. */
TEST(local_target, an_unknown_target_that_left_bars_no_later_incarnation)
{
	struct brf_local_target l = {};
	struct brf_target_announcement n = announcement("x", 10, 5);

	brf_local_target_leave(&l, "x", 1000);
	EXPECT_EQ(brf_local_target_announce(&l, &n, 0), BRF_ANNOUNCE_STALE);
	n = announcement("x", 1001, 1);
	EXPECT_EQ(brf_local_target_announce(&l, &n, 0), BRF_ANNOUNCE_REPLACED);
}

TEST(local_target, a_left_incarnation_stays_gone_and_a_new_one_replaces_it)
{
	struct brf_local_target l = {};
	struct brf_target_announcement n = announcement("a", 10, 5);

	brf_local_target_announce(&l, &n, 0);
	EXPECT_EQ(brf_local_target_leave(&l, "x", 1000)->born, 1000u);
	EXPECT_EQ(brf_local_target_leave(&l, "a", 1000)->born, 10u);
	EXPECT_EQ(l.current.state, BRF_TARGET_LEFT);
	n = announcement("a", 10, 6);
	EXPECT_EQ(brf_local_target_announce(&l, &n, 0), BRF_ANNOUNCE_STALE);
	n = announcement("a", 11, 1);
	EXPECT_EQ(brf_local_target_announce(&l, &n, 0), BRF_ANNOUNCE_REPLACED);
}

/* An upstream that the clock of its start puts before the one that crashed was
 * never heard, and its drain was acknowledged and not heeded. */
TEST(local_target, an_earlier_start_time_replaces_one_that_is_silent)
{
	struct brf_local_target l = {};
	auto announce = [&l](uint64_t born, uint64_t sequence, uint64_t at,
			    enum brf_target_state state = BRF_TARGET_READY,
			    const char *id = "a") {
		struct brf_target_announcement n =
		    announcement(id, born, sequence, state);
		auto result = brf_local_target_announce(&l, &n, at * 1000);

		EXPECT_TRUE(result == BRF_ANNOUNCE_STALE ||
			    brf_local_target_heeds(&l, &n));
		return (result);
	};
	struct brf_target_announcement drain =
	    announcement("a", 10, 9, BRF_TARGET_DRAINING);

	announce(20, 7, 0);
	EXPECT_EQ(announce(10, 1, 200), BRF_ANNOUNCE_STALE);
	EXPECT_EQ(announce(10, 2, 1700), BRF_ANNOUNCE_STALE);
	EXPECT_FALSE(brf_local_target_heeds(&l, &drain));
	EXPECT_EQ(announce(10, 2, 3300), BRF_ANNOUNCE_STALE); /* again */
	EXPECT_EQ(announce(10, 3, 3300), BRF_ANNOUNCE_REPLACED);
	EXPECT_EQ(l.current.born, 21u);
	EXPECT_EQ(announce(10, 4, 4700), BRF_ANNOUNCE_UPDATED);
	EXPECT_EQ(announce(20, 8, 4800), BRF_ANNOUNCE_STALE); /* late */
	EXPECT_EQ(
	    announce(10, 5, 6000, BRF_TARGET_DRAINING), BRF_ANNOUNCE_UPDATED);
	EXPECT_EQ(announce(10, 6, 7500), BRF_ANNOUNCE_UPDATED);
	EXPECT_EQ(l.current.state, BRF_TARGET_DRAINING);
	EXPECT_EQ(announce(30, 1, 8000), BRF_ANNOUNCE_REPLACED);

	/* displaced by an announcement that no target sent */
	EXPECT_EQ(announce(99, 1, 9000, BRF_TARGET_READY, "foreign"),
	    BRF_ANNOUNCE_REPLACED);
	for (uint64_t i = 2; i <= 3; i++)
		EXPECT_EQ(announce(30, i, 9000 + i * 500), BRF_ANNOUNCE_STALE);
	EXPECT_EQ(announce(30, 4, 13000), BRF_ANNOUNCE_REPLACED);
}

/* What is late must not replace a target that runs, nor bring back one that
 * has left. */
TEST(local_target, late_announcements_replace_no_other)
{
	for (bool has_left : { false, true }) {
		struct brf_local_target l = {};
		struct brf_target_announcement n = announcement("a", 10, 1);

		brf_local_target_announce(&l, &n, 0);
		if (has_left)
			brf_local_target_leave(&l, "a", 1000);
		for (uint64_t i = 1; i < 20; i++) {
			n = announcement("a", 20, i);
			if (!has_left)
				brf_local_target_announce(
				    &l, &n, i * BRF_US_PER_S);
			n = announcement("a", 10, i + 1);
			EXPECT_EQ(
			    brf_local_target_announce(&l, &n, i * BRF_US_PER_S),
			    BRF_ANNOUNCE_STALE);
		}
	}
}

/* Records which targets the directory has and whether they have lapsed. */
struct recorder {
	struct brf_directory_watcher w;
	std::map<std::string, bool> lapsed;
	std::map<std::string, enum brf_target_state> states = {};
	/* of the targets, as their own node has both */
	struct brf_registration *registration = nullptr;

	static void
	changed(struct brf_directory_watcher *w, struct brf_directory_target *t,
	    bool is_new)
	{
		(void)is_new;
		auto *r = reinterpret_cast<struct recorder *>(w);

		r->lapsed[t->entry.id] = t->lapsed;
		r->states[t->entry.id] = t->entry.state;
		if (r->registration != nullptr)
			brf_registration_entry_seen(r->registration,
			    t->entry.id, t->revision, t->lapsed);
	}

	static void
	gone(struct brf_directory_watcher *w, struct brf_directory_target *t)
	{
		reinterpret_cast<struct recorder *>(w)->lapsed.erase(
		    t->entry.id);
	}
};

TEST(directory, keeps_lapsed_targets_for_a_while_and_removes_left_ones)
{
	struct fleet_fixture b;
	struct recorder s = { { recorder::changed, recorder::gone }, {} };
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);

	b.store.put(key, text(entry("t-1")));
	b.store.put(std::string(BRF_ENTRY_PREFIX) + "t-2", text(entry("t-2")));
	b.store.put(std::string(BRF_ENTRY_PREFIX) + "t-3", "{broken");
	b.settle();
	EXPECT_EQ(s.lapsed, (std::map<std::string, bool>{
				{ "t-1", false }, { "t-2", false } }));
	b.store.remove(key);
	b.store.put(std::string(BRF_ENTRY_PREFIX) + "t-2",
	    text(entry("t-2", BRF_TARGET_LEFT)));
	b.settle();
	EXPECT_EQ(s.lapsed, (std::map<std::string, bool>{ { "t-1", true } }));
	b.store.put(key, text(entry("t-1")));
	b.settle();
	EXPECT_EQ(s.lapsed, (std::map<std::string, bool>{ { "t-1", false } }));
	b.store.remove(key);
	for (int i = 0; i < 5; i++)
		b.settle();
	EXPECT_TRUE(s.lapsed.empty());
	brf_directory_free(d);
}

/* Such entries hang on no lease, and would be there for good. */
TEST(directory, has_the_entries_of_departed_targets_deleted)
{
	const std::string prefix = BRF_ENTRY_PREFIX;
	struct fleet_fixture b;
	struct recorder s = { { recorder::changed, recorder::gone }, {} };
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);
	struct brf_sweeper *sweeper =
	    brf_sweeper_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry stopping = entry("t-4", BRF_TARGET_DRAINING);

	brf_directory_sweep(d, sweeper);
	b.store.put(key, text(announced(BRF_TARGET_LEFT)));
	b.store.put(prefix + "t-2", text(announced(BRF_TARGET_DRAINING)));
	b.store.put(prefix + "t-3", text(entry("t-3")));
	b.store.put(prefix + "t-4", text(stopping));
	for (int i = 0; i < 25; i++)
		b.settle();
	EXPECT_EQ(b.store.value(key), "");
	EXPECT_EQ(b.store.value(prefix + "t-2"), "");
	EXPECT_NE(b.store.value(prefix + "t-3"), "");
	EXPECT_NE(b.store.value(prefix + "t-4"), "") << "its node stops";
	brf_directory_free(d);
	brf_sweeper_free(sweeper);
}

/* Records beside the targets' entries, as they were received. */
struct record_receiver {
	struct brf_directory_records records;
	std::map<std::string, std::string> values = {};
	std::vector<std::string> deleted = {};

	static void
	set(struct brf_directory_records *records,
	    const struct brf_store_kv *kv)
	{
		reinterpret_cast<struct record_receiver *>(records)
		    ->values[kv->key]
		    .assign(kv->value, kv->len);
	}

	static void
	on_deleted(struct brf_directory_records *records, const char *key)
	{
		reinterpret_cast<struct record_receiver *>(records)
		    ->deleted.push_back(key);
	}

	static void
	append(struct brf_directory_records *records, struct brf_buf *out)
	{
		auto *r = reinterpret_cast<struct record_receiver *>(records);

		for (const auto &[key, value] : r->values)
			brf_buf_puts(out, (key + " " + value + "\n").c_str());
	}
};

const struct brf_directory_records_vt receiver_vt = { record_receiver::set,
	record_receiver::on_deleted, record_receiver::append };

TEST(directory, passes_records_on_and_tells_them_to_a_node_that_starts)
{
	const std::string crash = std::string(BRF_ENTRY_PREFIX) + "ended/t.1";
	struct fleet_fixture b, other;
	struct recorder s = { { recorder::changed, recorder::gone }, {} };
	struct record_receiver r = { { &receiver_vt } }, r2 = r;
	struct brf_buf text_of = {};
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);
	struct brf_directory *d2 = brf_directory_new(
	    &other.store.store, other.timers, &other.random.random, &s.w);

	brf_directory_receive_records(d, &r.records);
	brf_directory_receive_records(d2, &r2.records);
	b.store.put(crash, "{}");
	b.settle();
	EXPECT_EQ(r.values[crash], "{}");
	EXPECT_TRUE(s.lapsed.empty());

	brf_directory_export(d, &text_of);
	brf_directory_import(d2, text_of.data, text_of.len);
	EXPECT_EQ(r2.values[crash], "{}");

	b.store.remove(crash);
	b.settle();
	EXPECT_EQ(r.deleted, std::vector<std::string>({ crash }));
	brf_buf_free(&text_of);
	brf_directory_free(d);
	brf_directory_free(d2);
}

/* Targets that change all the time, as after crashes. */
TEST(directory, pauses_are_shorter_while_crashes_are_known)
{
	struct fleet_fixture b;
	struct recorder s = { { recorder::changed, recorder::gone }, {} };
	struct record_receiver r = { { &receiver_vt } };
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);
	uint64_t n = 0;
	auto pause = [&] {
		struct brf_entry e = entry("t-1");

		for (int i = 0; i < 8; i++) {
			e.born = ++n;
			b.store.put(key, text(e));
			b.store.deliver_watch_events();
			b.advance(BRF_US_PER_S);
		}
		return (b.store.watches.front().watch->pause_us);
	};

	brf_directory_receive_records(d, &r.records);
	b.settle();
	EXPECT_EQ(pause(), 2 * BRF_US_PER_S);
	b.store.put(std::string(BRF_ENTRY_PREFIX) + "ended/t.1", "{}");
	b.store.deliver_watch_events();
	EXPECT_EQ(b.store.watches.front().watch->pause_us, BRF_US_PER_S);
	EXPECT_EQ(pause(), BRF_US_PER_S);
	b.advance(600 * BRF_US_PER_S);
	pause();
	EXPECT_EQ(pause(), 2 * BRF_US_PER_S);
	brf_directory_free(d);
}

std::string
text_of_epoch(const char *id, uint64_t epoch, enum brf_target_state state,
    uint64_t later = 0)
{
	struct brf_entry e = entry(id, state);

	e.epoch = epoch;
	e.born += later;
	return (text(e));
}

/*
 * The copy that the store comes back from lists t-1, which has left, and t-2 as
 * ready, which drains; t-3 is lost.
 */
TEST(directory, a_restored_store_brings_back_no_target_that_has_left)
{
	struct fleet_fixture b;
	struct recorder s = { { recorder::changed, recorder::gone }, {} };
	std::string prefix = BRF_ENTRY_PREFIX;
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);

	b.store.epoch = 1;
	b.store.put(key, text_of_epoch("t-1", 1, BRF_TARGET_READY));
	b.store.put(prefix + "t-2", text_of_epoch("t-2", 1, BRF_TARGET_READY));
	uint64_t copy = b.store.revision;
	b.store.put(prefix + "t-3", text_of_epoch("t-3", 1, BRF_TARGET_READY));
	b.store.put(
	    prefix + "t-2", text_of_epoch("t-2", 1, BRF_TARGET_DRAINING));
	b.store.put(key, text_of_epoch("t-1", 1, BRF_TARGET_LEFT));
	b.settle();
	b.store.restore(copy);
	b.store.break_watches(BRF_E_CLOSED);
	b.settle();
	EXPECT_EQ(s.lapsed,
	    (std::map<std::string, bool>{ { "t-2", true }, { "t-3", true } }))
	    << "known targets stay in use until their nodes write again";
	EXPECT_EQ(s.states.at("t-2"), BRF_TARGET_DRAINING);
	b.store.put(prefix + "t-3", text_of_epoch("t-3", 2, BRF_TARGET_READY));
	b.settle();
	EXPECT_FALSE(s.lapsed.at("t-3"));
	for (int i = 0; i < 5; i++)
		b.settle();
	EXPECT_EQ(s.lapsed, (std::map<std::string, bool>{ { "t-3", false } }));
	b.store.put(key, text_of_epoch("t-1", 2, BRF_TARGET_READY));
	b.settle();
	EXPECT_EQ(s.lapsed.count("t-1"), 0u) << "this incarnation has left";
	b.store.put(key, text_of_epoch("t-1", 2, BRF_TARGET_READY, 1));
	b.settle();
	EXPECT_FALSE(s.lapsed.at("t-1")) << "a later one is registered";
	brf_directory_free(d);
}

/* Another process of the node, which knows less, writes the entry again. */
TEST(directory, an_incarnation_only_moves_forward)
{
	struct fleet_fixture b;
	struct recorder s = { { recorder::changed, recorder::gone }, {} };
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);

	b.store.put(key, text(announced(BRF_TARGET_READY)));
	b.settle();
	b.store.put(key, text(announced(BRF_TARGET_DRAINING)));
	b.settle();
	b.store.put(key, text(announced(BRF_TARGET_READY)));
	b.settle();
	EXPECT_EQ(s.states.at("t-1"), BRF_TARGET_DRAINING);
	b.store.put(key, text(announced(BRF_TARGET_LEFT)));
	b.settle();
	b.store.put(key, text(announced(BRF_TARGET_READY)));
	b.settle();
	EXPECT_EQ(s.lapsed.count("t-1"), 0u);
	b.store.put(key, text(announced(BRF_TARGET_READY, 8)));
	b.settle();
	EXPECT_EQ(s.states.at("t-1"), BRF_TARGET_READY);
	brf_directory_free(d);
}

/* Its node was away for so long that it was removed. */
TEST(directory, a_lapsed_target_may_come_back)
{
	struct fleet_fixture b;
	struct recorder s = { { recorder::changed, recorder::gone }, {} };
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);

	b.store.put(key, text(announced(BRF_TARGET_READY)));
	b.settle();
	b.store.remove(key);
	for (int i = 0; i < 5; i++)
		b.settle();
	EXPECT_EQ(s.lapsed.count("t-1"), 0u);
	b.store.put(key, text(announced(BRF_TARGET_READY)));
	b.settle();
	EXPECT_EQ(s.states.at("t-1"), BRF_TARGET_READY);
	brf_directory_free(d);
}

/*
 * Model: the last state that the target's node has set.  The node registers it
 * in a store that loses calls, delays them and is restored, and reads it back
 * through its directory.
 */
RC_GTEST_PROP(directory, a_target_known_to_have_left_never_returns, ())
{
	struct fleet_fixture b;
	struct recorder s = { { recorder::changed, recorder::gone }, {} };
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);
	struct brf_registration *r =
	    brf_registration_new(&b.store.store, b.timers, &b.random.random);
	struct brf_entry last = entry("t-1");
	auto steps =
	    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
	uint64_t copy = b.store.revision;
	bool was_known = false, has_left = false;

	b.store.epoch = 1;
	s.registration = r;
	brf_registration_set(r, &last);
	for (int step : steps) {
		switch (step) {
		case 0:
			if (last.state != BRF_TARGET_LEFT)
				last.state =
				    (enum brf_target_state)(last.state + 1);
			brf_registration_set(r, &last);
			break;
		case 1:
		case 2:
		case 3:
			b.store.process_next_call(*rc::gen::element(DELIVER,
			    DELIVER, LOSE_REQUEST, LOSE_RESPONSE, DELAY));
			break;
		case 4:
			b.store.run_late();
			break;
		case 5:
			copy = b.store.revision;
			break;
		case 6:
			b.store.restore(std::min(copy, b.store.revision));
			break;
		case 7:
		case 8:
			b.store.deliver_watch_events();
			break;
		default:
			b.advance(300000);
		}
		was_known = was_known || s.lapsed.count("t-1") != 0;
		if (was_known && last.state == BRF_TARGET_LEFT &&
		    s.lapsed.count("t-1") == 0)
			has_left = true;
		if (has_left)
			RC_ASSERT(s.lapsed.count("t-1") == 0u);
	}
	b.settle();
	b.store.run_late();
	b.settle();
	if (last.state == BRF_TARGET_LEFT) {
		RC_ASSERT(s.lapsed.count("t-1") == 0u);
	} else {
		RC_ASSERT(s.lapsed.at("t-1") == false);
		RC_ASSERT(s.states.at("t-1") == last.state);
	}
	brf_registration_free(r);
	brf_directory_free(d);
}

TEST(directory, imported_targets_stay_until_the_store_fails_to_confirm_them)
{
	struct fleet_fixture b, peer;
	struct recorder s = { { recorder::changed, recorder::gone }, {} },
			t = s;
	struct brf_directory *d =
	    brf_directory_new(&b.store.store, b.timers, &b.random.random, &s.w);
	struct brf_directory *peer_directory = brf_directory_new(
	    &peer.store.store, peer.timers, &peer.random.random, &t.w);
	struct brf_buf exported = {};
	std::string invalid = "x\n\n" + key + " {broken\n" +
			      std::string(300, 'k') + " {}\n" + key;

	b.store.put(key, text(entry("t-1")));
	b.store.put(std::string(BRF_ENTRY_PREFIX) + "t-2", text(entry("t-2")));
	b.settle();
	brf_directory_export(d, &exported);
	brf_directory_import(peer_directory, invalid.data(), invalid.size());
	EXPECT_TRUE(t.lapsed.empty());
	brf_directory_import(peer_directory, exported.data, exported.len);
	brf_directory_import(peer_directory, exported.data, exported.len);
	EXPECT_EQ(t.lapsed,
	    (std::map<std::string, bool>{ { "t-1", true }, { "t-2", true } }));
	EXPECT_FALSE(brf_directory_synced(peer_directory));
	peer.store.put(key, text(entry("t-1")));
	peer.settle();
	EXPECT_TRUE(brf_directory_synced(peer_directory));
	EXPECT_FALSE(t.lapsed.at("t-1"));
	for (int i = 0; i < 5; i++)
		peer.settle();
	EXPECT_EQ(t.lapsed, (std::map<std::string, bool>{ { "t-1", false } }))
	    << "the store has only t-1";
	brf_buf_free(&exported);
	brf_directory_free(peer_directory);
	brf_directory_free(d);
}

TEST(entry, written_entries_parse_to_the_same_entry)
{
	struct brf_entry e = entry("t-1", BRF_TARGET_DRAINING), back;
	struct brf_error err;
	std::string s = text(e);

	ASSERT_TRUE(
	    brf_entry_read(&back, key.c_str(), s.data(), s.size(), &err));
	EXPECT_EQ(text(back), s);
	EXPECT_STREQ(back.id, "t-1");
}

TEST(entry, rejects_invalid_entries)
{
	const char *texts[] = { "", "null", "[]", "{}", "{\"service\":1}",
		"\xff\xfe", "{\"service\":\"s\"}" };
	struct brf_entry e;
	struct brf_error err;
	std::string good = text(entry("t-1"));

	for (const char *t : texts)
		EXPECT_FALSE(
		    brf_entry_read(&e, key.c_str(), t, strlen(t), &err))
		    << t;
	for (const char *k :
	    { "bulrushford/targets/", "other/t-1", "bulrushford/targets/a/b" })
		EXPECT_FALSE(
		    brf_entry_read(&e, k, good.data(), good.size(), &err))
		    << k;
	for (auto from : { "\"slots\":5", "\"state\":\"ready\"",
		 "\"gate\":\"127.0.0.1:7\"" }) {
		std::string bad = good;

		bad.replace(bad.find(from), strlen(from), "\"x\":0");
		EXPECT_FALSE(brf_entry_read(
		    &e, key.c_str(), bad.data(), bad.size(), &err))
		    << from;
	}
}

} // namespace
