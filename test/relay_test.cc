#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>

#include "fleet/register.h"
#include "fleet/watch_log.h"
#include "link_fake.h"
#include "mesh/relay.h"
#include "policy/relay.h"
#include "store_fake.h"

namespace
{

const std::string prefix = BRF_ENTRY_PREFIX;
const std::string table_key = "tables/current";

bool
usable_unless(void *arg, const void *data)
{
	return (arg != data);
}

/* The relays chosen among the names; the data of each is its name. */
struct brf_relay_ranking
rank(const std::vector<std::string> &names)
{
	struct brf_relay_ranking r = {};

	for (const std::string &name : names)
		brf_relay_rank(&r, name.c_str(), name.c_str());
	return (r);
}

std::set<std::string>
relays_of(const struct brf_relay_ranking &r)
{
	std::set<std::string> relays;

	for (const struct brf_relay_candidate &c : r.best)
		if (c.name != nullptr)
			relays.insert(c.name);
	return (relays);
}

std::vector<std::string>
some_names(size_t count)
{
	std::vector<std::string> names;

	for (size_t i = 0; i < count; i++)
		names.push_back("node-" + std::to_string(i));
	return (names);
}

std::map<std::string, std::string>
values_of(const struct brf_store_event &event)
{
	std::map<std::string, std::string> values;

	for (size_t i = 0; i < event.count; i++)
		values[event.kvs[i].key] =
		    event.kvs[i].deleted
			? "deleted"
			: std::string(event.kvs[i].value, event.kvs[i].len);
	return (values);
}

/* The texts outlive the event. */
struct brf_store_event
event_of(struct brf_store_kv *kv, const char *key, const char *value,
    uint64_t revision, bool deleted = false)
{
	*kv = {};
	kv->key = const_cast<char *>(key);
	kv->value = const_cast<char *>(value);
	kv->len = strlen(value);
	kv->revision = revision;
	kv->deleted = deleted;
	return (brf_store_event{ revision, kv, 1 });
}

} // namespace

/* Nodes choose without talking to each other, and hear of nodes in any order.
 */
RC_GTEST_PROP(relay, the_choice_depends_on_the_set_of_nodes_alone, ())
{
	size_t count = *rc::gen::inRange<size_t>(0, 40);
	std::vector<std::string> names = some_names(count), shuffled = names;
	std::set<std::string> relays = relays_of(rank(names));

	for (size_t i = 1; i < count; i++)
		std::swap(
		    shuffled[i], shuffled[*rc::gen::inRange<size_t>(0, i + 1)]);
	RC_ASSERT(relays_of(rank(shuffled)) == relays);
	RC_ASSERT(rank(shuffled).members == rank(names).members);
	RC_ASSERT(
	    relays.size() == std::min<size_t>(count, BRF_RELAYS_PER_ZONE));
	for (const std::string &left : names) {
		std::vector<std::string> others = names;

		others.erase(std::find(others.begin(), others.end(), left));
		if (relays.count(left) == 0)
			RC_ASSERT(relays_of(rank(others)) == relays);
	}
}

TEST(relay, each_relay_gets_its_share_and_none_relies_on_another)
{
	std::vector<std::string> names = some_names(150);
	struct brf_relay_ranking r = rank(names);
	std::map<const void *, int> asked;

	for (const std::string &name : names) {
		const void *relay =
		    brf_relay_pick(&r, name.c_str(), usable_unless, nullptr);

		EXPECT_EQ(relay == nullptr, relays_of(r).count(name) == 1);
		if (relay != nullptr)
			asked[relay]++;
	}
	ASSERT_EQ(asked.size(), BRF_RELAYS_PER_ZONE);
	for (const auto &a : asked)
		EXPECT_GT(a.second, 40);
}

TEST(relay, the_other_relay_is_asked_when_one_is_lost)
{
	std::vector<std::string> names = some_names(10);
	struct brf_relay_ranking r = rank(names);
	std::string self;

	for (const std::string &name : names)
		if (relays_of(r).count(name) == 0)
			self = name;
	const void *first =
	    brf_relay_pick(&r, self.c_str(), usable_unless, nullptr);
	const void *second = brf_relay_pick(
	    &r, self.c_str(), usable_unless, const_cast<void *>(first));
	EXPECT_NE(first, nullptr);
	EXPECT_NE(second, nullptr);
	EXPECT_NE(first, second);
}

TEST(watch_log, holds_the_keys_and_the_changes_since_it_began)
{
	struct brf_watch_log log;
	struct brf_store_response read = {};
	struct brf_store_event event;
	struct brf_store_kv kv;

	brf_watch_log_init(&log, 0);
	read.revision = 10;
	brf_watch_log_read(&log, &read);
	event = event_of(&kv, "a", "1", 11);
	brf_watch_log_add(&log, &event);
	event = event_of(&kv, "b", "2", 13);
	brf_watch_log_add(&log, &event);
	event = event_of(&kv, "a", "", 14, true);
	brf_watch_log_add(&log, &event);
	EXPECT_FALSE(brf_watch_log_since(&log, 9, &event));
	EXPECT_TRUE(brf_watch_log_has_news(&log, 9)) << "that it lacks them";
	ASSERT_TRUE(brf_watch_log_since(&log, 11, &event));
	EXPECT_EQ(event.revision, 14u);
	EXPECT_EQ(values_of(event), (std::map<std::string, std::string>{
					{ "a", "deleted" }, { "b", "2" } }));
	free(event.kvs);
	ASSERT_TRUE(brf_watch_log_since(&log, 0, &event));
	EXPECT_EQ(values_of(event),
	    (std::map<std::string, std::string>{ { "b", "2" } }));
	free(event.kvs);
	EXPECT_FALSE(brf_watch_log_has_news(&log, 14));
	brf_watch_log_finish(&log);
}

TEST(watch_log, is_bounded_and_knows_what_it_has_dropped)
{
	struct brf_watch_log log;
	struct brf_store_event event;
	struct brf_store_kv kv;
	std::string value(BRF_WATCH_LOG_BYTES_MAX / 4, 'x');

	brf_watch_log_init(&log, 1);
	for (uint64_t revision = 2; revision < 12; revision++) {
		event = event_of(&kv, "a", value.c_str(), revision);
		brf_watch_log_add(&log, &event);
		EXPECT_LE(log.bytes, BRF_WATCH_LOG_BYTES_MAX);
	}
	EXPECT_FALSE(brf_watch_log_since(&log, 1, &event));
	EXPECT_FALSE(brf_watch_log_since(&log, 0, &event)) << "never read";
	ASSERT_TRUE(brf_watch_log_since(&log, log.first, &event));
	EXPECT_EQ(event.count, log.count);
	free(event.kvs);
	brf_watch_log_finish(&log);
}

namespace
{

/* Passes watches on to the handler @inner, but none while it is @mute, as a
 * frozen node. */
struct mutable_handler {
	struct brf_link_watch_handler handler;
	struct brf_link_watch_handler *inner = nullptr;
	bool mute = false;
	bool reads_only = false; /* mute after it has replied to a read */

	static void
	start(struct brf_link_watch_handler *h, struct brf_link_watcher *w)
	{
		auto *m = reinterpret_cast<mutable_handler *>(h);

		if (!m->mute && (!m->reads_only || w->after == 0))
			m->inner->vt->start(m->inner, w);
	}

	static void
	gone(struct brf_link_watch_handler *h, struct brf_link_watcher *w)
	{
		auto *m = reinterpret_cast<mutable_handler *>(h);

		m->inner->vt->gone(m->inner, w);
	}

	mutable_handler()
	{
		static const struct brf_link_watch_handler_vt vt = { start,
			gone };

		handler.vt = &vt;
	}
};

struct target_recorder {
	struct brf_directory_watcher w;
	std::set<std::string> known;

	static void
	changed(struct brf_directory_watcher *w, struct brf_directory_target *t,
	    bool)
	{
		reinterpret_cast<target_recorder *>(w)->known.insert(
		    t->entry.id);
	}

	static void
	removed(struct brf_directory_watcher *w, struct brf_directory_target *t)
	{
		reinterpret_cast<target_recorder *>(w)->known.erase(
		    t->entry.id);
	}
};

/* A node with a copy of the store of its own, which it reaches while
 * @reaches_store.  All copies get the same writes. */
struct relay_node {
	std::string name;
	std::string zone;
	struct fake_store origin;
	bool reaches_store = true;
	uint64_t probed_at = 0;
	struct brf_random_seeded random;
	struct brf_mesh_relay *relay;
	struct mutable_handler handler;
	struct linked_node linked;
	target_recorder targets = {
		{ target_recorder::changed, target_recorder::removed }, {}
	};
	struct brf_directory *directory;
	struct brf_store_mirror *tables = nullptr;
	std::string table;

	static void
	set_table(void *arg, const struct brf_store_kv *kv)
	{
		((struct relay_node *)arg)->table.assign(kv->value, kv->len);
	}

	static void
	ignore_deletion(void *, const char *, uint64_t)
	{
	}

	static void
	ignore_sync(void *)
	{
	}

	void
	follow_tables(struct brf_timers *timers)
	{
		struct brf_store_mirror_config config = {};

		config.store = brf_mesh_relay_store(relay);
		config.timers = timers;
		config.random = &random.random;
		config.prefix = "tables/";
		config.pause_min_us = 40 * BRF_US_PER_MS;
		config.pause_max_us = config.pause_min_us;
		config.set = set_table;
		config.deleted = ignore_deletion;
		config.synced = ignore_sync;
		config.arg = this;
		tables = brf_store_mirror_new(&config);
	}

	static struct brf_mesh_relay *
	make(struct relay_node *node, struct brf_timers *timers,
	    struct flow_bench &bench)
	{
		struct brf_mesh_relay_config config = {};

		node->origin.epoch = 1;
		node->origin.polled = true;
		config.origin = &node->origin.store;
		config.timers = timers;
		config.metrics = bench.metrics;
		config.node = node->name.c_str();
		config.zone = node->zone.c_str();
		return (brf_mesh_relay_new(&config));
	}

	relay_node(const std::string &name, struct flow_bench &bench,
	    struct brf_timers *timers, bool is_mute,
	    const std::string &zone = "z")
	    : name(name), zone(zone), relay(make(this, timers, bench)),
	      linked(bench, this->name.c_str(), "s", &handler.handler)
	{
		handler.inner = brf_mesh_relay_handler(relay);
		handler.mute = is_mute;
		brf_random_seeded_init(&random, 3);
		directory = brf_directory_new(brf_mesh_relay_store(relay),
		    timers, &random.random, &targets.w);
		brf_mesh_relay_connect(relay, linked.links, directory);
	}

	void
	serve(uint64_t now)
	{
		if (!reaches_store)
			return;
		while (!origin.waiting.empty())
			origin.process_next_call(DELIVER);
		origin.deliver_watch_events();
		if (now >= probed_at + BRF_REGISTRATION_PROBE_US) {
			probed_at = now;
			origin.confirm_watches(now);
		}
	}

	bool
	watches_store() const
	{
		return (!origin.watches.empty());
	}

	std::string
	entry() const
	{
		struct brf_entry e = {};
		struct brf_buf text = {};
		std::string s;

		brf_copy_name(e.service, sizeof(e.service), "s");
		brf_copy_name(e.zone, sizeof(e.zone), zone.c_str());
		brf_copy_name(e.region, sizeof(e.region), "r");
		brf_copy_name(e.node, sizeof(e.node), name.c_str());
		e.gate = linked.addr;
		e.slots = 5;
		brf_entry_write(&e, &text);
		s.assign(text.data, text.len);
		brf_buf_free(&text);
		return (s);
	}
};

/* Nodes of one zone.  The parts that are tested run in virtual time; the links
 * between them are real. */
struct relay_zone : public testing::Test {
	struct flow_bench bench;
	struct brf_clock_manual clock;
	struct brf_timers *timers;
	std::vector<std::unique_ptr<relay_node>> nodes;

	relay_zone()
	{
		brf_clock_manual_init(&clock, 1000000);
		timers = brf_timers_new(&clock.clock);
		bench.scheduler.after_tasks = flush;
		bench.scheduler.arg = this;
	}

	~relay_zone() override
	{
		while (!nodes.empty())
			end_first([](const relay_node &) { return (true); });
		bench.scheduler.after_tasks = nullptr;
		brf_timers_free(timers);
	}

	/* End the first node that @matches. */
	template <typename F>
	void
	end_first(F matches)
	{
		int closed = 0;
		auto it = std::find_if(nodes.begin(), nodes.end(),
		    [&](const auto &n) { return (matches(*n)); });
		relay_node &n = **it;

		brf_links_close(n.linked.links, on_closed, &closed);
		EXPECT_TRUE(bench.until([&] { return (closed == 1); }));
		brf_mesh_relay_connect(n.relay, nullptr, nullptr);
		brf_store_mirror_free(n.tables);
		brf_directory_free(n.directory);
		brf_mesh_relay_free(n.relay);
		brf_links_free(n.linked.links);
		nodes.erase(it);
	}

	static void
	flush(void *arg)
	{
		for (auto &n : ((struct relay_zone *)arg)->nodes)
			brf_links_flush(n->linked.links);
	}

	static void
	on_closed(void *arg)
	{
		++*(int *)arg;
	}

	/* Start nodes; those that @is_mute names do not reply to others. */
	void
	start(size_t count, const std::set<std::string> &is_mute = {})
	{
		for (const std::string &name : some_names(count))
			nodes.emplace_back(new relay_node(
			    name, bench, timers, is_mute.count(name) != 0));
		for (auto &n : nodes)
			put("t-" + n->name, n->entry());
	}

	void
	put(const std::string &id, const std::string &text)
	{
		for (auto &n : nodes)
			n->origin.put(prefix + id, text);
	}

	/* Add a target whose node is in another zone. */
	void
	put_far(const std::string &id)
	{
		std::string text = nodes[0]->entry();

		text.replace(text.find("\"zone\":\"z\""), 10, "\"zone\":\"y\"");
		put(id, text);
	}

	void
	advance(unsigned ms)
	{
		for (unsigned passed = 0; passed < ms; passed += 100) {
			clock.now += 100 * BRF_US_PER_MS;
			brf_timers_run(timers);
			for (auto &n : nodes)
				n->serve(clock.now);
			bench.turns(40);
		}
	}

	bool
	all_know(const std::string &id) const
	{
		for (const auto &n : nodes)
			if (n->targets.known.count(id) == 0)
				return (false);
		return (true);
	}

	std::set<std::string>
	watching() const
	{
		std::set<std::string> names;

		for (const auto &n : nodes)
			if (n->watches_store())
				names.insert(n->name);
		return (names);
	}
};

} // namespace

/* The load: each change in the store costs one poll for each node that watches
 * it. */
TEST_F(relay_zone, only_the_relays_watch_the_store)
{
	start(6);
	advance(8000);
	std::set<std::string> relays = relays_of(rank(some_names(6)));
	EXPECT_EQ(watching(), relays);
	std::map<std::string, uint64_t> reads;
	for (const auto &n : nodes)
		reads[n->name] = n->origin.reads;
	for (const auto &n : nodes)
		EXPECT_LE(brf_mesh_relay_proof_age(n->relay, prefix.c_str()),
		    BRF_RELAY_PROOF_MAX_US)
		    << n->name << " hears that nothing has changed";
	put_far("t-far");
	advance(3000);
	EXPECT_TRUE(all_know("t-far"));
	EXPECT_EQ(watching(), relays);
	for (const auto &n : nodes)
		EXPECT_EQ(n->origin.reads, reads[n->name]) << n->name;
}

TEST_F(relay_zone, changes_arrive_when_a_relay_is_frozen)
{
	std::set<std::string> relays = relays_of(rank(some_names(6)));

	start(6, { *relays.begin() });
	advance(8000);
	put_far("t-far");
	advance(3000);
	EXPECT_TRUE(all_know("t-far"));
	EXPECT_LT(watching().size(), 6u) << "the other relay serves";
}

TEST_F(relay_zone, changes_arrive_when_the_relays_have_ended)
{
	std::set<std::string> relays = relays_of(rank(some_names(6)));

	start(6);
	advance(8000);
	for (size_t i = 0; i < BRF_RELAYS_PER_ZONE; i++)
		end_first([&](const relay_node &n) {
			return (relays.count(n.name) != 0);
		});
	put_far("t-far");
	advance(3000);
	EXPECT_EQ(nodes.size(), 4u);
	EXPECT_TRUE(all_know("t-far"));
}

/* A relay that the store does not answer must not hold back the others. */
TEST_F(relay_zone, a_relay_that_is_cut_off_from_the_store_is_left)
{
	std::set<std::string> relays = relays_of(rank(some_names(6)));

	start(6);
	advance(8000);
	for (auto &n : nodes)
		n->reaches_store = relays.count(n->name) == 0;
	put_far("t-far");
	advance(6000);
	for (const auto &n : nodes) {
		size_t knows = n->targets.known.count("t-far");

		EXPECT_EQ(knows, n->reaches_store) << n->name;
	}
}

/* Only the relays hear from the store that it was restored. */
TEST_F(relay_zone, a_restore_is_passed_on)
{
	std::set<std::string> relays = relays_of(rank(some_names(6)));

	start(6);
	advance(8000);
	uint64_t copy = nodes[0]->origin.revision;
	put_far("t-lost");
	advance(3000);
	EXPECT_TRUE(all_know("t-lost"));
	for (auto &n : nodes) {
		n->origin.restore(copy);
		if (relays.count(n->name) != 0)
			n->origin.learn_epoch();
		else
			n->origin.epoch = 1; /* not heard of yet */
	}
	put_far("t-new");
	for (auto &n : nodes)
		n->reaches_store = relays.count(n->name) != 0;
	advance(3000);
	EXPECT_TRUE(all_know("t-new"));
	for (const auto &n : nodes)
		EXPECT_EQ(brf_store_epoch(&n->origin.store), 2u) << n->name;
}

/* A node that starts in a running zone reads the store once. */
TEST_F(relay_zone, a_node_that_joins_does_not_watch_the_store)
{
	std::vector<std::string> names = some_names(6);
	std::set<std::string> relays = relays_of(rank(names));

	for (names.push_back("late"); relays_of(rank(names)) != relays;)
		names.back() += "r"; /* a name that makes it no relay */
	start(6);
	advance(8000);
	nodes.emplace_back(new relay_node(names.back(), bench, timers, false));
	for (const auto &c : nodes[0]->origin.log)
		nodes.back()->origin.put(c.key, c.value);
	advance(1000);
	EXPECT_EQ(nodes.back()->origin.reads, 1u);
	EXPECT_EQ(nodes.back()->origin.opened, 0u);
	put("t-late", nodes.back()->entry());
	put_far("t-far");
	advance(3000);
	EXPECT_TRUE(all_know("t-far"));
	EXPECT_EQ(nodes.back()->origin.opened, 0u);
}

namespace
{

/* The promise: a change is known within this time of its acknowledgement to
 * each node that is not disturbed itself. */
const unsigned in_force_ms = 2000;

const std::set<std::string> &
relays_of_six()
{
	static const std::set<std::string> relays =
	    relays_of(rank(some_names(6)));

	return (relays);
}

bool
is_relay(const relay_node &n)
{
	return (relays_of_six().count(n.name) != 0);
}

void
freeze(relay_node &n)
{
	n.reaches_store = false;
	n.handler.mute = true;
}

void
cut_off(relay_node &n)
{
	n.reaches_store = false;
}

/* Its open watches hear nothing more; other calls are answered. */
void
silence_watches(relay_node &n)
{
	n.origin.silence_open_watches();
}

/* Its watches end, as the store has dropped its history. */
void
end_watches(relay_node &n)
{
	n.origin.break_watches(BRF_E_STORE_COMPACTED);
}

} // namespace

/* Six nodes of a zone, of which two are relays. */
struct relays_lost : public relay_zone {
	relays_lost()
	{
		start(6);
		for (auto &n : nodes)
			n->follow_tables(timers);
		advance(8000);
	}

	/* Changes now have to be known in time, by nodes that are well. */
	void
	expect_in_force()
	{
		put_far("t-far");
		for (auto &n : nodes)
			n->origin.put(table_key, "new");
		advance(in_force_ms);
		for (const auto &n : nodes) {
			if (!n->reaches_store)
				continue;
			EXPECT_EQ(n->table, "new") << n->name;
			EXPECT_EQ(n->targets.known.count("t-far"), 1u)
			    << n->name;
		}
	}

	/* Disturb both relays, @wait_ms before a change. */
	void
	expect_in_force(void (*disturb)(relay_node &), unsigned wait_ms)
	{
		for (auto &n : nodes) {
			if (is_relay(*n))
				disturb(*n);
		}
		advance(wait_ms);
		expect_in_force();
	}
};

TEST_F(relays_lost, frozen_at_the_change)
{
	expect_in_force(freeze, 100);
}

TEST_F(relays_lost, frozen_before_the_change)
{
	expect_in_force(freeze, 1000);
}

TEST_F(relays_lost, cut_off_from_the_store_at_the_change)
{
	expect_in_force(cut_off, 100);
}

TEST_F(relays_lost, cut_off_from_the_store_before_the_change)
{
	expect_in_force(cut_off, 1000);
}

TEST_F(relays_lost, with_watches_that_hear_nothing)
{
	expect_in_force(silence_watches, 100);
}

TEST_F(relays_lost, with_watches_that_have_ended)
{
	expect_in_force(end_watches, 100);
}

TEST_F(relays_lost, one_cut_off_and_then_the_other_frozen)
{
	auto second = std::find_if(nodes.rbegin(), nodes.rend(),
	    [](const auto &n) { return (is_relay(*n)); });

	for (auto &n : nodes) {
		if (is_relay(*n) && n != *second)
			cut_off(*n);
	}
	advance(1000);
	freeze(**second);
	expect_in_force();
}

/* What a node reads from a relay is as old as the relay's proof. */
TEST_F(relays_lost, after_a_node_has_read_all_keys_from_them)
{
	advance(200);
	for (auto &n : nodes) {
		n->reaches_store = !is_relay(*n);
		n->origin.put(table_key, "new");
	}
	advance(900);
	for (auto &n : nodes) {
		n->handler.reads_only = is_relay(*n);
		if (is_relay(*n))
			continue;
		brf_store_mirror_free(n->tables);
		n->follow_tables(timers);
	}
	advance(in_force_ms - 900);
	for (const auto &n : nodes) {
		if (!n->reaches_store)
			continue;
		EXPECT_EQ(n->table, "new") << n->name;
	}
}

namespace
{

/* Watches of one zone's relays go silent alone; a node of another zone is well.
 */
struct relays_silent : public relay_zone {
	void
	start_zones(size_t count)
	{
		start(count);
		nodes.emplace_back(
		    new relay_node("far", bench, timers, false, "y"));
		for (size_t i = 0; i < count; i++)
			nodes.back()->origin.put(
			    prefix + "t-" + nodes[i]->name, nodes[i]->entry());
		put("t-far", nodes.back()->entry());
		for (auto &n : nodes)
			n->follow_tables(timers);
		advance(8000);
	}

	void
	silence(const std::string &zone)
	{
		for (auto &n : nodes) {
			if (n->zone == zone)
				n->origin.silence_open_watches(true);
		}
	}

	void
	expect_in_force()
	{
		for (auto &n : nodes)
			n->origin.put(table_key, "new");
		advance(in_force_ms);
		for (const auto &n : nodes)
			EXPECT_EQ(n->table, "new") << n->name;
	}
};

} // namespace

/* Both relays of a zone were late by 11 s. */
TEST_F(relays_silent, both_of_a_zone)
{
	start_zones(6);
	silence("z");
	expect_in_force();
}

/* The only node of a zone has no other relay there. */
TEST_F(relays_silent, the_only_node_of_a_zone)
{
	start_zones(2);
	silence("y");
	expect_in_force();
}

TEST_F(relays_silent, three_times_in_series)
{
	start_zones(2);
	for (int i = 0; i < 3; i++) {
		silence("z");
		advance(1200);
	}
	expect_in_force();
}

/* A change is told once by the store, not again for the witnesses. */
TEST_F(relays_silent, polls_that_hear_are_not_sent_again)
{
	start_zones(2);
	std::map<std::string, uint64_t> opened;
	for (const auto &n : nodes)
		opened[n->name] = n->origin.opened;
	for (int i = 0; i < 5; i++) {
		for (auto &n : nodes)
			n->origin.put(table_key, std::to_string(i));
		advance(1000);
	}
	for (const auto &n : nodes)
		EXPECT_EQ(n->origin.opened, opened[n->name]) << n->name;
}

/* Nobody can tell a node that is alone, so that its poll has to end soon. */
TEST_F(relay_zone, a_node_that_is_alone_polls_with_short_waits)
{
	start(1);
	nodes[0]->follow_tables(timers);
	advance(8000);
	bool found = false;
	for (const auto &w : nodes[0]->origin.watches) {
		if (w.prefix != "tables/")
			continue;
		found = true;
		EXPECT_GT(w.watch->wait_us, 0u);
		EXPECT_LT(w.watch->wait_us, 2 * BRF_US_PER_S);
	}
	EXPECT_TRUE(found);
}

/* Calls on older connections still confirm them. */
TEST_F(relays_lost, one_whose_watches_alone_hear_nothing)
{
	auto one = std::find_if(nodes.begin(), nodes.end(),
	    [](const auto &n) { return (is_relay(*n)); });

	(*one)->origin.silence_open_watches(true);
	expect_in_force();
}

TEST_F(relays_lost, polls_of_the_store_end_soon_after_the_relays_are_back)
{
	for (auto &n : nodes)
		n->reaches_store = !is_relay(*n);
	advance(4000);
	EXPECT_EQ(watching().size(), nodes.size() - relays_of_six().size());
	for (auto &n : nodes)
		n->reaches_store = true;
	advance(5000);
	EXPECT_EQ(watching(), relays_of_six());
}

TEST_F(relays_lost, a_poll_of_the_store_goes_on_while_they_are_tried)
{
	std::map<std::string, uint64_t> opened;

	for (auto &n : nodes)
		n->reaches_store = !is_relay(*n);
	advance(4000);
	for (const auto &n : nodes)
		opened[n->name] = n->origin.opened;
	advance(20000);
	for (const auto &n : nodes) {
		if (!n->reaches_store)
			continue;
		EXPECT_EQ(n->origin.opened, opened[n->name]) << n->name;
	}
}
