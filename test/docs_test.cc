#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "config/docs.h"

namespace
{

struct edit {
	std::string service;
	uint64_t revision;
	bool deleted;
};

std::string
text_of(const edit &e)
{
	if (e.revision % 11 == 0)
		return ("{\"schema\":1,\"service\":\"other\"}");
	return ("{\"schema\":1,\"service\":\"" + e.service +
		"\",\"queue\":{\"length\":" + std::to_string(e.revision) +
		"}}");
}

/* How a node applies an edit; a faulty variant tests the oracle. */
using apply_fn = enum brf_docs_result (*)(struct brf_docs *, const edit &);

enum brf_docs_result
apply(struct brf_docs *docs, const edit &e)
{
	std::string text = text_of(e);

	return (brf_docs_apply(docs, e.service.c_str(), e.revision,
	    e.deleted ? nullptr : text.data(), e.deleted ? 0 : text.size()));
}

/* Faulty variant: applies every edit under a new revision, so that the last one
 * received wins. */
enum brf_docs_result
apply_last_wins(struct brf_docs *docs, const edit &e)
{
	static uint64_t next = 1000000;
	std::string text = text_of(e);

	return (brf_docs_apply(docs, e.service.c_str(), next++,
	    e.deleted ? nullptr : text.data(), e.deleted ? 0 : text.size()));
}

bool
is_valid(const edit &e)
{
	return (e.deleted || e.revision % 11 != 0);
}

uint32_t
queue_of(const edit &e)
{
	return (e.deleted ? 128 : (uint32_t)e.revision);
}

/* Return: whether the document in force was always that of the highest valid
 * revision received so far. */
bool
highest_always_in_force(
    const std::vector<edit> &edits, apply_fn fn, uint64_t *digest)
{
	struct brf_docs *docs = brf_docs_new();
	std::map<std::string, edit> newest;
	bool ok = true;

	for (const edit &e : edits) {
		fn(docs, e);
		auto at = newest.find(e.service);
		if (is_valid(e) &&
		    (at == newest.end() || at->second.revision < e.revision))
			newest[e.service] = e;
		at = newest.find(e.service);
		struct brf_document *d = brf_docs_get(docs, e.service.c_str());
		ok =
		    ok && d->queue ==
			      (at == newest.end() ? 128 : queue_of(at->second));
	}
	*digest = brf_docs_digest(docs);
	brf_docs_free(docs);
	return (ok);
}

/* Edits with unique revisions, as in the store. */
std::vector<edit>
random_edits()
{
	auto kinds =
	    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
	std::vector<edit> edits;
	uint64_t revision = 1;

	for (int k : kinds)
		edits.push_back(
		    { std::string(1, (char)('a' + k % 3)), revision++, k > 9 });
	return (edits);
}

/* Return: the edits in random order, some of them twice. */
std::vector<edit>
reordered_and_repeated(const std::vector<edit> &edits)
{
	auto twice = edits;

	for (const edit &e : edits) {
		if (*rc::gen::arbitrary<bool>())
			twice.push_back(e);
	}
	for (size_t i = twice.size(); i > 1; i--)
		std::swap(twice[i - 1], twice[*rc::gen::inRange<size_t>(0, i)]);
	return (twice);
}

struct recording_watcher {
	struct brf_docs_watcher watcher;
	std::vector<std::string> notified;
};

void
record_change(struct brf_docs_watcher *w, const char *service)
{
	brf_container_of(w, struct recording_watcher, watcher)
	    ->notified.push_back(service);
}

} // namespace

RC_GTEST_PROP(docs, any_order_and_replay_end_at_the_highest_revision, ())
{
	auto edits = random_edits();
	uint64_t digest = 0, other = 0;

	RC_ASSERT(highest_always_in_force(edits, apply, &digest));
	RC_ASSERT(highest_always_in_force(
	    reordered_and_repeated(edits), apply, &other));
	RC_ASSERT(digest == other);
}

TEST(docs, the_oracle_catches_a_variant_that_goes_back)
{
	std::vector<edit> edits = { { "a", 2, false }, { "a", 1, false } };
	uint64_t digest;

	EXPECT_FALSE(highest_always_in_force(edits, apply_last_wins, &digest));
	EXPECT_TRUE(highest_always_in_force(edits, apply, &digest));
}

TEST(docs, results_of_apply)
{
	const std::string good = text_of({ "s", 5, false });
	const std::string other = text_of({ "s", 6, false });
	const struct {
		const char *name;
		const char *service;
		uint64_t revision;
		const std::string *text;
		enum brf_docs_result want;
	} steps[] = {
		{ "first", "s", 5, &good, BRF_DOCS_APPLIED },
		{ "again", "s", 5, &good, BRF_DOCS_SAME },
		{ "older", "s", 4, &other, BRF_DOCS_OLDER },
		{ "older deletion", "s", 4, nullptr, BRF_DOCS_OLDER },
		{ "same revision, other text", "s", 5, &other,
		    BRF_DOCS_DIFFERS },
		{ "same revision deleted", "s", 5, nullptr, BRF_DOCS_DIFFERS },
		{ "text of another service", "t", 9, &good, BRF_DOCS_INVALID },
		{ "no revision", "t", 0, nullptr, BRF_DOCS_INVALID },
		{ "invalid name", "a b", 7, nullptr, BRF_DOCS_INVALID },
		{ "deletion", "s", 6, nullptr, BRF_DOCS_APPLIED },
		{ "replay after deletion", "s", 5, &good, BRF_DOCS_OLDER },
		{ "again after deletion", "s", 8, &good, BRF_DOCS_APPLIED },
	};
	struct brf_docs *docs = brf_docs_new();
	struct recording_watcher c = {};

	c.watcher.changed = record_change;
	brf_docs_watch(docs, &c.watcher);
	for (const auto &s : steps) {
		size_t notified = c.notified.size();
		uint64_t digest = brf_docs_digest(docs);
		auto got = brf_docs_apply(docs, s.service, s.revision,
		    s.text ? s.text->data() : nullptr,
		    s.text ? s.text->size() : 0);

		EXPECT_EQ(got, s.want) << s.name;
		EXPECT_EQ(
		    c.notified.size(), notified + (s.want == BRF_DOCS_APPLIED))
		    << s.name;
		EXPECT_EQ(
		    brf_docs_digest(docs) != digest, s.want == BRF_DOCS_APPLIED)
		    << s.name;
	}
	EXPECT_EQ(brf_docs_get(docs, "s")->revision, 8u);
	brf_docs_unwatch(&c.watcher);
	brf_docs_free(docs);
}

TEST(docs, a_reference_outlives_the_change)
{
	const std::string text = text_of({ "s", 5, false });
	struct brf_docs *docs = brf_docs_new();
	struct brf_document *d;

	brf_docs_apply(docs, "s", 1, text.data(), text.size());
	d = brf_document_ref(brf_docs_get(docs, "s"));
	brf_docs_apply(docs, "s", 2, nullptr, 0);
	EXPECT_EQ(d->revision, 1u);
	EXPECT_EQ(d->queue, 5u);
	EXPECT_EQ(brf_docs_get(docs, "s")->queue, 128u);
	brf_document_unref(d);
	brf_docs_free(docs);
}

TEST(docs, services_are_bounded)
{
	struct brf_docs *docs = brf_docs_new();
	std::string last = "s" + std::to_string(BRF_DOCS_MAX);

	for (unsigned i = 0; i < BRF_DOCS_MAX; i++)
		ASSERT_EQ(brf_docs_apply(docs,
			      ("s" + std::to_string(i)).c_str(), 1, nullptr, 0),
		    BRF_DOCS_APPLIED);
	EXPECT_EQ(brf_docs_apply(docs, last.c_str(), 1, nullptr, 0),
	    BRF_DOCS_INVALID);
	EXPECT_EQ(brf_docs_apply(docs, "s0", 2, nullptr, 0), BRF_DOCS_APPLIED);
	brf_docs_free(docs);
}
