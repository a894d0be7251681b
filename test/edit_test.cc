#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "config/edit.h"
#include "config/envelope.h"
#include "store_fake.h"

namespace
{

const std::string ring_text = "k:000102030405060708090a0b0c0d0e0f";
const std::string key = BRF_DOC_PREFIX "s";

std::string
sealed(const std::string &id)
{
	struct brf_keyring *ring =
	    brf_keyring_parse(ring_text.data(), ring_text.size(), nullptr);
	struct brf_buf out = {};

	brf_envelope_seal(ring, "s", id.c_str(), "{}", 2, &out, nullptr);
	std::string value(out.data, out.len);
	brf_buf_free(&out);
	brf_keyring_free(ring);
	return (value);
}

struct editor {
	std::string id;
	std::string value;
	bool ended = false;
	enum brf_store_outcome outcome = BRF_STORE_UNKNOWN;
	uint64_t revision = 0;
	std::string newer;
	struct brf_edit *edit = nullptr;
};

void
ended(void *arg, const struct brf_edit_result *result)
{
	auto *e = static_cast<struct editor *>(arg);

	e->ended = true;
	e->outcome = result->outcome;
	e->revision = result->revision;
	if (result->value != nullptr)
		e->newer.assign(result->value, result->len);
}

struct fixture {
	struct brf_clock_manual clock;
	struct brf_random_seeded random;
	struct brf_timers *timers;
	fake_store store;

	explicit fixture(uint64_t seed = 1)
	{
		brf_clock_manual_init(&clock, 1000);
		brf_random_seeded_init(&random, seed);
		timers = brf_timers_new(&clock.clock);
	}

	~fixture()
	{
		brf_timers_free(timers);
	}

	void
	start(editor &e, const std::string &id, uint64_t expect,
	    uint64_t deadline_us = 3600 * BRF_US_PER_S)
	{
		struct brf_edit_config config = {};

		e.id = id;
		e.value = sealed(id);
		config.store = &store.store;
		config.timers = timers;
		config.random = &random.random;
		config.service = "s";
		config.expect = expect;
		config.id = e.id.c_str();
		config.value = e.value.data();
		config.len = e.value.size();
		config.deadline_us = deadline_us;
		e.edit = brf_edit_start(&config, ended, &e);
	}

	void
	advance(uint64_t us)
	{
		clock.now += us;
		brf_timers_run(timers);
	}

	size_t
	times_stored(const editor &e) const
	{
		size_t n = 0;

		for (const auto &c : store.log)
			n += c.value == e.value;
		return (n);
	}
};

/* Whether the reported outcome agrees with the contents of the store. */
bool
outcome_is_true(const fixture &w, const editor &e)
{
	size_t n = w.times_stored(e);

	if (n > 1)
		return (false);
	if (e.outcome == BRF_STORE_DONE)
		return (n == 1);
	return (e.outcome == BRF_STORE_UNKNOWN || n == 0);
}

void
run_deliveries(
    fixture &w, std::vector<editor> &es, const std::vector<int> &deliveries)
{
	for (int f : deliveries) {
		w.store.process_next_call((enum delivery)(f % DELIVERIES));
		if (f >= DELIVERIES)
			w.store.run_late();
		w.advance((uint64_t)(f + 1) * 400000);
	}
	for (int i = 0; i < 200; i++) {
		w.store.process_next_call(DELIVER);
		w.advance(2000000);
	}
	w.store.run_late();
	(void)es;
}

} // namespace

/* Three concurrent edits of the same revision under random faults: exactly one
 * is stored, once, and every reported outcome is true. */
RC_GTEST_PROP(edit, is_stored_at_most_once_and_reported_correctly, ())
{
	fixture w;
	auto deliveries = *rc::gen::container<std::vector<int>>(
	    rc::gen::inRange(0, 2 * (int)DELIVERIES));
	std::vector<editor> es(3);
	uint64_t first = w.store.put(key, sealed("before"));
	size_t done = 0;

	for (size_t i = 0; i < es.size(); i++)
		w.start(es[i], "edit" + std::to_string(i), first);
	run_deliveries(w, es, deliveries);
	for (const editor &e : es) {
		RC_ASSERT(e.ended);
		RC_ASSERT(e.outcome != BRF_STORE_UNKNOWN);
		RC_ASSERT(outcome_is_true(w, e));
		done += e.outcome == BRF_STORE_DONE;
	}
	RC_ASSERT(done == 1u);
}

/* Guards the oracle of the property test: it must detect a double write. */
TEST(edit, the_oracle_catches_a_store_without_compare)
{
	fixture w;
	std::vector<editor> es(2);
	uint64_t first = w.store.put(key, sealed("before"));

	w.store.ignores_compare = true;
	w.start(es[0], "a", first);
	/* The delayed first copy is stored after the second one. */
	run_deliveries(w, es, { DELAY, DELIVER, DELIVER });
	EXPECT_EQ(w.times_stored(es[0]), 2u);
	EXPECT_FALSE(outcome_is_true(w, es[0]));
}

TEST(edit, faults_in_a_table)
{
	const struct {
		const char *name;
		std::vector<delivery> deliveries;
		bool overwritten; /* by another edit, after the first call */
		bool compacted;	  /* after that, the history is compacted */
		uint64_t expect;
		enum brf_store_outcome want;
		size_t stored;
	} cases[] = {
		{ "plain", { DELIVER }, false, false, 2, BRF_STORE_DONE, 1 },
		{ "wrong revision", { DELIVER }, false, false, 1,
		    BRF_STORE_CONFLICT, 0 },
		{ "request lost", { LOSE_REQUEST }, false, false, 2,
		    BRF_STORE_DONE, 1 },
		{ "response lost", { LOSE_RESPONSE }, false, false, 2,
		    BRF_STORE_DONE, 1 },
		{ "response lost, reads too",
		    { LOSE_RESPONSE, LOSE_RESPONSE, NOT_SENT, LOSE_REQUEST },
		    false, false, 2, BRF_STORE_DONE, 1 },
		{ "responses lost twice",
		    { LOSE_REQUEST, DELIVER, LOSE_RESPONSE }, false, false, 2,
		    BRF_STORE_DONE, 1 },
		{ "response lost, then overwritten", { LOSE_RESPONSE }, true,
		    false, 2, BRF_STORE_DONE, 1 },
		{ "request lost, then another edit", { LOSE_REQUEST }, true,
		    false, 2, BRF_STORE_CONFLICT, 0 },
		{ "response lost, history compacted", { LOSE_RESPONSE }, true,
		    true, 2, BRF_STORE_UNKNOWN, 1 },
		{ "not sent", { NOT_SENT, NOT_SENT }, false, false, 2,
		    BRF_STORE_DONE, 1 },
	};

	for (const auto &c : cases) {
		fixture w;
		editor e;
		bool first = true;

		w.store.put(key, sealed("before"));
		w.start(e, "mine", c.expect);
		for (delivery f : c.deliveries) {
			w.store.process_next_call(f);
			if (first && c.overwritten)
				w.store.put(key, sealed("other"));
			if (first && c.compacted)
				w.store.compacted = w.store.revision;
			first = false;
			w.advance(3000000);
		}
		for (int i = 0; i < 20; i++) {
			w.store.process_next_call(DELIVER);
			w.advance(3000000);
		}
		EXPECT_TRUE(e.ended) << c.name;
		EXPECT_EQ(e.outcome, c.want) << c.name;
		EXPECT_EQ(w.times_stored(e), c.stored) << c.name;
		if (c.want == BRF_STORE_CONFLICT) {
			EXPECT_EQ(e.revision, w.store.revision) << c.name;
			EXPECT_EQ(e.newer, w.store.log.back().value) << c.name;
		}
	}
}

/* At the deadline the outcome is REFUSED only if no write was sent. */
TEST(edit, gives_up_at_its_deadline)
{
	const struct {
		delivery every_call;
		enum brf_store_outcome want;
	} cases[] = {
		{ NOT_SENT, BRF_STORE_REFUSED },
		{ LOSE_REQUEST, BRF_STORE_UNKNOWN },
		{ LOSE_RESPONSE, BRF_STORE_UNKNOWN },
	};

	for (const auto &c : cases) {
		fixture w;
		editor e;

		w.start(e, "mine", 0, 5 * BRF_US_PER_S);
		for (int i = 0; i < 600 && !e.ended; i++) {
			w.store.process_next_call(c.every_call);
			w.advance(10000);
		}
		EXPECT_TRUE(e.ended);
		EXPECT_EQ(e.outcome, c.want);
		EXPECT_TRUE(outcome_is_true(w, e));
		EXPECT_TRUE(w.store.waiting.empty());
	}
}
