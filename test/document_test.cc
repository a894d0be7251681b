#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "config/document.h"

namespace
{

using place_and_type = std::pair<std::string, enum brf_problem_type>;

struct parse_result {
	struct brf_document *document;
	std::set<place_and_type> problems;

	explicit parse_result(
	    const std::string &text, const char *service = nullptr)
	{
		struct brf_problems ps;

		document =
		    brf_document_parse(text.data(), text.size(), service, &ps);
		for (size_t i = 0; i < ps.count; i++) {
			problems.insert({ ps.list[i].place, ps.list[i].type });
			EXPECT_STRNE(ps.list[i].remedy, "");
		}
		brf_problems_free(&ps);
	}

	~parse_result()
	{
		brf_document_unref(document);
	}

	parse_result(const parse_result &) = delete;
	parse_result &operator=(const parse_result &) = delete;
};

std::string
with(const std::string &fields)
{
	return ("{\"schema\":1,\"service\":\"s\"" +
		(fields.empty() ? "" : "," + fields) + "}");
}

std::string
repeat(const std::string &s, size_t n)
{
	std::string out;

	while (n-- > 0)
		out += s;
	return (out);
}

std::string
workspaces(size_t n)
{
	std::string out;

	for (size_t i = 0; i < n; i++)
		out += (i ? ",\"w" : "\"w") + std::to_string(i) + "\":2";
	return (with("\"workspaces\":{" + out + "}"));
}

std::string
route(const std::string &fields)
{
	return (with("\"routes\":[{" + fields + "}]"));
}

} // namespace

TEST(document, invalid_documents_are_refused_with_place_and_type)
{
	const struct {
		const char *name;
		std::string text;
		const char *place;
		enum brf_problem_type type;
	} cases[] = {
		{ "empty", "", "line 1 column 0", BRF_PROBLEM_SYNTAX },
		{ "truncated", "{\"schema\":1", "line 1 column 11",
		    BRF_PROBLEM_SYNTAX },
		{ "two", with("") + "{}", "line 1 column 27",
		    BRF_PROBLEM_SYNTAX },
		{ "a list", "[]", "", BRF_PROBLEM_TYPE },
		{ "huge", with("\"edit\":\"" + std::string(300000, 'x') + "\""),
		    "", BRF_PROBLEM_TOO_LARGE },
		{ "deep", repeat("[", 100000), "", BRF_PROBLEM_TOO_LARGE },
		{ "deep objects", repeat("{\"a\":", 9) + "1" + repeat("}", 9),
		    "", BRF_PROBLEM_TOO_LARGE },
		{ "not UTF-8", with("\"edit\":\"\xff\xfe\""),
		    "line 1 column 34", BRF_PROBLEM_SYNTAX },
		{ "NUL", with("\"edit\":\"a\\u0000b\""), "line 1 column 43",
		    BRF_PROBLEM_SYNTAX },
		{ "duplicate key",
		    with("\"mode\":\"observe\",\"mode\":\"enforce\""),
		    "line 1 column 49", BRF_PROBLEM_DUPLICATE },
		{ "number overflow", with("\"cold_start_ms\":1e999"),
		    "line 1 column 47", BRF_PROBLEM_RANGE },
		{ "integer overflow",
		    with("\"cold_start_ms\":99999999999999999999"),
		    "line 1 column 62", BRF_PROBLEM_RANGE },
		{ "no schema", "{\"service\":\"s\"}", "/schema",
		    BRF_PROBLEM_MISSING },
		{ "no service", "{\"schema\":1}", "/service",
		    BRF_PROBLEM_MISSING },
		{ "other schema", "{\"schema\":2,\"service\":\"s\"}", "/schema",
		    BRF_PROBLEM_RANGE },
		{ "schema as text", "{\"schema\":\"1\",\"service\":\"s\"}",
		    "/schema", BRF_PROBLEM_TYPE },
		{ "other service", "{\"schema\":1,\"service\":\"t\"}",
		    "/service", BRF_PROBLEM_SERVICE },
		{ "service name", "{\"schema\":1,\"service\":\"s/../t\"}",
		    "/service", BRF_PROBLEM_RANGE },
		{ "unknown field", with("\"a/b~c\":1"), "/a~1b~0c",
		    BRF_PROBLEM_UNKNOWN_FIELD },
		{ "unknown in route",
		    route("\"method\":\"GET\",\"path\":\"/"
			  "\",\"class\":1,\"x\":1"),
		    "/routes/0/x", BRF_PROBLEM_UNKNOWN_FIELD },
		{ "mode", with("\"mode\":\"off\""), "/mode",
		    BRF_PROBLEM_RANGE },
		{ "mode as bool", with("\"mode\":true"), "/mode",
		    BRF_PROBLEM_TYPE },
		{ "ratio over the bound", with("\"retries\":{\"ratio\":0.51}"),
		    "/retries/ratio", BRF_PROBLEM_RANGE },
		{ "ratio below", with("\"retries\":{\"ratio\":-0.1}"),
		    "/retries/ratio", BRF_PROBLEM_RANGE },
		{ "retries as number", with("\"retries\":0.1"), "/retries",
		    BRF_PROBLEM_TYPE },
		{ "queue", with("\"queue\":{\"length\":4097}"), "/queue/length",
		    BRF_PROBLEM_RANGE },
		{ "queue as real", with("\"queue\":{\"length\":1.0}"),
		    "/queue/length", BRF_PROBLEM_TYPE },
		{ "cold start", with("\"cold_start_ms\":600001"),
		    "/cold_start_ms", BRF_PROBLEM_RANGE },
		{ "bool as number", with("\"cross_region\":1"), "/cross_region",
		    BRF_PROBLEM_TYPE },
		{ "null", with("\"shed_means_not_run\":null"),
		    "/shed_means_not_run", BRF_PROBLEM_TYPE },
		{ "class over",
		    route("\"method\":\"GET\",\"path\":\"/\",\"class\":4"),
		    "/routes/0/class", BRF_PROBLEM_RANGE },
		{ "class below",
		    route("\"method\":\"GET\",\"path\":\"/\",\"class\":-1"),
		    "/routes/0/class", BRF_PROBLEM_RANGE },
		{ "timeout over",
		    route("\"method\":\"GET\",\"path\":\"/\",\"class\":1,"
			  "\"timeout_ms\":300001"),
		    "/routes/0/timeout_ms", BRF_PROBLEM_RANGE },
		{ "timeout of zero",
		    route("\"method\":\"GET\",\"path\":\"/\",\"class\":1,"
			  "\"timeout_ms\":0"),
		    "/routes/0/timeout_ms", BRF_PROBLEM_RANGE },
		{ "method",
		    route("\"method\":\"get\",\"path\":\"/\",\"class\":1"),
		    "/routes/0/method", BRF_PROBLEM_RANGE },
		{ "long method",
		    route("\"method\":\"ABCDEFGHIJKLMNOP\",\"path\":\"/\","
			  "\"class\":1"),
		    "/routes/0/method", BRF_PROBLEM_RANGE },
		{ "path",
		    route("\"method\":\"GET\",\"path\":\"a\",\"class\":1"),
		    "/routes/0/path", BRF_PROBLEM_RANGE },
		{ "dot path",
		    route(
			"\"method\":\"GET\",\"path\":\"/a/../b\",\"class\":1"),
		    "/routes/0/path", BRF_PROBLEM_RANGE },
		{ "long path",
		    route("\"method\":\"GET\",\"path\":\"/" +
			  std::string(2048, 'a') + "\",\"class\":1"),
		    "/routes/0/path", BRF_PROBLEM_RANGE },
		{ "route without path", route("\"method\":\"GET\",\"class\":1"),
		    "/routes/0/path", BRF_PROBLEM_MISSING },
		{ "same route twice",
		    with("\"routes\":["
			 "{\"method\":\"GET\",\"path\":\"/\",\"class\":1},"
			 "{\"method\":\"GET\",\"path\":\"/\",\"class\":2}]"),
		    "/routes/1", BRF_PROBLEM_DUPLICATE },
		{ "many routes",
		    with("\"routes\":[0" + repeat(",0", 256) + "]"), "/routes",
		    BRF_PROBLEM_TOO_LARGE },
		{ "many workspaces", workspaces(1025), "/workspaces",
		    BRF_PROBLEM_TOO_LARGE },
		{ "weight", with("\"workspaces\":{\"w\":0}"), "/workspaces/w",
		    BRF_PROBLEM_RANGE },
		{ "workspace", with("\"workspaces\":{\"w w\":1}"),
		    "/workspaces/w w", BRF_PROBLEM_RANGE },
		{ "objective",
		    with("\"objectives\":[{\"class\":1,\"good\":1.0,"
			 "\"within_ms\":1}]"),
		    "/objectives/0/good", BRF_PROBLEM_RANGE },
		{ "class twice",
		    with("\"objectives\":["
			 "{\"class\":1,\"good\":0.9,\"within_ms\":1},"
			 "{\"class\":1,\"good\":0.8,\"within_ms\":1}]"),
		    "/objectives/1", BRF_PROBLEM_DUPLICATE },
	};

	for (const auto &c : cases) {
		parse_result v(c.text, "s");
		const std::set<place_and_type> want = { { c.place, c.type } };

		EXPECT_EQ(v.document, nullptr) << c.name;
		EXPECT_EQ(v.problems, want)
		    << c.name << ": "
		    << (v.problems.empty() ? "" : v.problems.begin()->first);
	}
}

TEST(document, all_problems_at_once)
{
	parse_result v("{\"schema\":1,\"mode\":7,\"extra\":1,\"queue\":{},"
		       "\"retries\":{\"ratio\":9},\"routes\":[{},3]}",
	    "s");
	const std::set<place_and_type> want = {
		{ "/service", BRF_PROBLEM_MISSING },
		{ "/mode", BRF_PROBLEM_TYPE },
		{ "/extra", BRF_PROBLEM_UNKNOWN_FIELD },
		{ "/queue/length", BRF_PROBLEM_MISSING },
		{ "/retries/ratio", BRF_PROBLEM_RANGE },
		{ "/routes/0/method", BRF_PROBLEM_MISSING },
		{ "/routes/0/path", BRF_PROBLEM_MISSING },
		{ "/routes/0/class", BRF_PROBLEM_MISSING },
		{ "/routes/1", BRF_PROBLEM_TYPE },
	};

	EXPECT_EQ(v.problems, want);
}

/* The parser rejects duplicate keys at once; the rest must be validated too. */
TEST(document, a_duplicate_key_does_not_hide_other_problems)
{
	parse_result v(with("\"mode\":\"x\",\"mode\":\"y\""));

	EXPECT_EQ(v.problems.size(), 2u);
	EXPECT_EQ(v.problems.count({ "/mode", BRF_PROBLEM_RANGE }), 1u);
}

TEST(document, problems_are_bounded)
{
	std::string fields = "\"f0\":0";

	for (int i = 1; i < 2000; i++)
		fields += ",\"f" + std::to_string(i) + "\":0";
	parse_result v(with(fields));
	EXPECT_EQ(v.problems.size(), 256u);
}

TEST(document, values_at_the_limits_are_accepted)
{
	const std::string good[] = {
		with(""),
		with("\"edit\":\"" + std::string(63, 'x') + "\""),
		with("\"retries\":{\"ratio\":0.5},\"queue\":{\"length\":4096}"),
		with("\"retries\":{\"ratio\":0},\"queue\":{\"length\":0}"),
		workspaces(1024),
		route("\"method\":\"*\",\"path\":\"/\",\"class\":3,"
		      "\"timeout_ms\":300000"),
	};

	for (const auto &text : good) {
		parse_result v(text, "s");
		EXPECT_NE(v.document, nullptr) << text.substr(0, 80);
	}
}

TEST(document, fields_are_read_with_their_units)
{
	parse_result v(
	    with("\"edit\":\"e1\",\"mode\":\"observe\","
		 "\"retries\":{\"ratio\":0.25},\"queue\":{\"length\":9},"
		 "\"cold_start_ms\":7,\"shed_means_not_run\":true,"
		 "\"cross_region\":false,"
		 "\"workspaces\":{\"b\":3,\"a\":9},"
		 "\"objectives\":[{\"class\":1,\"good\":0.9,"
		 "\"within_ms\":40}]"));
	const struct brf_document *d = v.document;

	ASSERT_NE(d, nullptr);
	EXPECT_STREQ(d->service, "s");
	EXPECT_STREQ(d->edit, "e1");
	EXPECT_FALSE(d->enforce);
	EXPECT_EQ(d->retry_ratio, 0.25);
	EXPECT_EQ(d->queue, 9u);
	EXPECT_EQ(d->warmup_us, 7000u);
	EXPECT_TRUE(d->shed_is_not_run);
	EXPECT_FALSE(d->cross_region);
	EXPECT_EQ(brf_document_weight(d, "a"), 9u);
	EXPECT_EQ(brf_document_weight(d, "b"), 3u);
	EXPECT_EQ(brf_document_weight(d, "c"), 1u);
	ASSERT_EQ(d->objective_count, 1u);
	EXPECT_EQ(d->objectives[0].cls, 1u);
	EXPECT_EQ(d->objectives[0].good, 0.9);
	EXPECT_EQ(d->objectives[0].within_us, 40000u);
}

TEST(document, the_longest_prefix_of_whole_segments_matches)
{
	parse_result v(with("\"routes\":["
			    "{\"method\":\"*\",\"path\":\"/a\",\"class\":3},"
			    "{\"method\":\"GET\",\"path\":\"/a/\",\"class\":1},"
			    "{\"method\":\"POST\",\"path\":\"/a\",\"class\":0},"
			    "{\"method\":\"PUT\",\"path\":\"/a\",\"class\":1,"
			    "\"idempotent\":true,\"timeout_ms\":5}]"));
	const struct {
		const char *method;
		const char *path;
		uint32_t cls;
		bool idempotent;
		uint64_t timeout_us;
	} cases[] = {
		{ "GET", "/a", 3, false, 10000000 },
		{ "GET", "/a/b", 1, true, 10000000 },
		{ "GET", "/a?x=/b", 3, false, 10000000 },
		{ "POST", "/a/b", 0, false, 10000000 },
		{ "PUT", "/a", 1, true, 5000 },
		{ "DELETE", "/a", 3, false, 10000000 },
		{ "GET", "/ab", 2, true, 10000000 },
		{ "HEAD", "/", 2, true, 10000000 },
		{ "POST", "/", 2, false, 10000000 },
		{ "GET", "*", 2, true, 10000000 },
		/* Targets may normalize these to another path, so no rule of
		 * the document applies. */
		{ "PUT", "/a/../b", 2, false, 10000000 },
		{ "PUT", "/a/%2e%2e/b", 2, false, 10000000 },
		{ "PUT", "/a//b", 2, false, 10000000 },
		{ "PUT", "/a/./b", 2, false, 10000000 },
	};

	ASSERT_NE(v.document, nullptr);
	for (const auto &c : cases) {
		const struct brf_route_rule *r =
		    brf_document_rule(v.document, c.method, c.path);

		EXPECT_EQ(r->cls, c.cls) << c.method << c.path;
		EXPECT_EQ(r->idempotent, c.idempotent) << c.method << c.path;
		EXPECT_EQ(r->timeout_us, c.timeout_us) << c.method << c.path;
	}
}

TEST(document, every_example_is_accepted)
{
	size_t found = 0;

	for (const auto &f :
	    std::filesystem::recursive_directory_iterator("examples")) {
		if (f.path().extension() != ".json")
			continue;
		std::ifstream in(f.path());
		std::string text{ std::istreambuf_iterator<char>(in), {} };
		parse_result v(text, f.path().stem().c_str());

		EXPECT_NE(v.document, nullptr) << f.path();
		for (const auto &p : v.problems)
			ADD_FAILURE() << f.path() << p.first;
		found++;
	}
	EXPECT_EQ(found, 8u);
}
