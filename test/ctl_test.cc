#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/burn.h"
#include "ctl/ctl.h"
#include "ctl/diff.h"
#include "ctl/table.h"

namespace
{

std::string
diff(const std::string &from, const std::string &to, bool *differs)
{
	struct brf_buf out = {};

	*differs =
	    brf_diff(from.data(), from.size(), to.data(), to.size(), &out);
	std::string text(out.data != nullptr ? out.data : "", out.len);
	brf_buf_free(&out);
	return (text);
}

/* Restore one text from a diff: the lines with @prefix and the common ones. */
std::string
text_of_side(const std::string &lines, char prefix)
{
	std::istringstream in(lines);
	std::string line, out;

	while (std::getline(in, line)) {
		if (line[0] == prefix || line[0] == ' ')
			out += line.substr(1) + "\n";
	}
	return (out);
}

std::string
random_text()
{
	std::string out;
	auto lines =
	    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));

	for (int line : lines)
		out += std::string((size_t)line, 'x') + "\n";
	return (out);
}

std::string
render(const char *text)
{
	json_error_t e;
	json_t *json = json_loads(text, JSON_DECODE_ANY, &e);
	struct brf_buf out = {};

	brf_render_json(json, nullptr, &out);
	std::string s(out.data);
	brf_buf_free(&out);
	json_decref(json);
	return (s);
}

} // namespace

RC_GTEST_PROP(ctl, diff_contains_both_texts, ())
{
	std::string from = random_text(), to = random_text();
	bool differs;
	std::string lines = diff(from, to, &differs);

	RC_ASSERT(differs == (from != to));
	RC_ASSERT(text_of_side(lines, '-') == from);
	RC_ASSERT(text_of_side(lines, '+') == to);
}

TEST(ctl, diff_keeps_common_lines)
{
	bool differs;

	EXPECT_EQ(diff("a\nb\nc\n", "a\nx\nc\n", &differs), " a\n-b\n+x\n c\n");
}

TEST(ctl, json_is_rendered_as_text)
{
	EXPECT_EQ(render("[{\"a\":1,\"bb\":\"x\\u001b[1m\"},"
			 "{\"a\":100,\"bb\":null}]"),
	    "a    bb\n1    x[1m\n100  -\n");
	EXPECT_EQ(render("[]"), "none\n");
	EXPECT_EQ(render("{\"n\":1.5,\"o\":{\"p\":true},\"l\":[{\"q\":2}]}"),
	    "n                     1.5\n"
	    "o.p                   yes\n"
	    "\nl:\nq\n2\n");
}

TEST(ctl, commands_are_found_by_name)
{
	const char *argv[] = { "config", "put", "s", "f" };
	const char *unknown[] = { "config", "puts" };
	int words = 0;

	ASSERT_NE(brf_ctl_find_command(argv, 4, &words), nullptr);
	EXPECT_EQ(words, 2);
	EXPECT_STREQ(brf_ctl_find_command(argv, 4, &words)->name, "config put");
	EXPECT_EQ(brf_ctl_find_command(unknown, 2, &words), nullptr);
	EXPECT_EQ(brf_ctl_find_command(argv, 1, &words), nullptr);
}

TEST(ctl, addresses_are_parsed)
{
	const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{ "127.0.0.1:80", true },
		{ "localhost:1", true },
		{ "[::1]:65535", true },
		{ "127.0.0.1", false },
		{ "127.0.0.1:", false },
		{ "127.0.0.1:0", false },
		{ "127.0.0.1:65536", false },
		{ "127.0.0.1:8x", false },
		{ ":80", false },
		{ "a.example:80", false },
		{ "", false },
	};

	for (const auto &c : cases) {
		struct sockaddr_storage addr;
		struct brf_error err = {};

		EXPECT_EQ(brf_ctl_parse_address(c.text, &addr, &err), c.valid)
		    << c.text;
		EXPECT_EQ(err.code, c.valid ? BRF_OK : BRF_E_ADDRESS);
	}
}

TEST(ctl, burn_counts_are_summed_over_nodes)
{
	const char *node =
	    "[{\"service\":\"s\",\"class\":0,\"window_s\":300,"
	    "\"objective\":0.99,\"within_ms\":5,\"total\":100,\"good\":98,"
	    "\"late\":2},"
	    "{\"service\":\"s\",\"class\":0,\"window_s\":3600,"
	    "\"objective\":0.99,\"total\":0,\"good\":0}]";
	json_error_t e;
	json_t *list = json_loads(node, 0, &e), *sum = json_array();
	struct brf_buf page = {};

	brf_burn_add(sum, list);
	brf_burn_add(sum, list);
	brf_burn_compute_rates(sum);
	ASSERT_EQ(json_array_size(sum), 2u);
	json_t *first = json_array_get(sum, 0);
	EXPECT_EQ(json_integer_value(json_object_get(first, "total")), 200);
	EXPECT_EQ(json_integer_value(json_object_get(first, "late")), 4);
	EXPECT_NEAR(json_real_value(json_object_get(first, "burn")), 2.0, 1e-9);
	EXPECT_TRUE(
	    json_is_null(json_object_get(json_array_get(sum, 1), "burn")));
	EXPECT_EQ(json_integer_value(
		      json_object_get(json_array_get(list, 0), "total")),
	    100);
	brf_burn_write_html(sum, 2, 3, &page);
	EXPECT_NE(strstr(page.data, "From 2 of 3 nodes"), nullptr);
	EXPECT_NE(strstr(page.data, "<td>200<td>196<td>0"), nullptr);
	brf_buf_free(&page);
	json_decref(list);
	json_decref(sum);
}
