#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <unistd.h>

#include <cstdlib>
#include <string>

#include "config/envelope.h"
#include "config/keys.h"

namespace
{

const std::string old_key = "old:000102030405060708090a0b0c0d0e0f";
const std::string new_key = "new:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff";

struct ring {
	struct brf_keyring *r;

	explicit ring(const std::string &text)
	    : r(brf_keyring_parse(text.data(), text.size(), nullptr))
	{
	}

	explicit ring(struct brf_keyring *of) : r(of)
	{
	}

	~ring()
	{
		brf_keyring_free(r);
	}

	ring(const ring &) = delete;
	ring &operator=(const ring &) = delete;
};

std::string
mint(const ring &keys, const char *workspace)
{
	struct brf_buf out = {};
	std::string token;

	if (brf_workspace_token_mint(keys.r, workspace, &out, nullptr))
		token = out.data;
	brf_buf_free(&out);
	return (token);
}

bool
opens(const ring &keys, const char *service, const std::string &value)
{
	struct brf_envelope e;
	struct brf_error err = {};
	bool ok = brf_envelope_open(
	    keys.r, service, value.data(), value.size(), &e, &err);

	EXPECT_TRUE(ok || err.code != BRF_OK);
	brf_envelope_free(&e);
	return (ok);
}

std::string
seal(const ring &keys, const char *service, const char *text)
{
	struct brf_buf out = {};

	EXPECT_TRUE(brf_envelope_seal(keys.r, service, "e1", text,
	    text != nullptr ? strlen(text) : 0, &out, nullptr));
	std::string value(out.data, out.len);
	brf_buf_free(&out);
	return (value);
}

} // namespace

/* Errors must not leak key material into logs. */
TEST(keys, errors_of_invalid_rings_never_contain_key_bytes)
{
	const std::string cases[] = {
		"",
		"nocolon",
		":000102030405060708090a0b0c0d0e0f",
		"a.b:000102030405060708090a0b0c0d0e0f",
		"toolongforanidtoolong:000102030405060708090a0b0c0d0e0f",
		"a:",
		"a:000102030405060708090a0b0c0d0e",
		"a:000102030405060708090a0b0c0d0e0f0",
		"a:000102030405060708090a0b0c0d0e0g",
		"a:" + std::string(130, '0'),
		old_key + ",",
		old_key + "," + old_key,
		"a" + old_key + ",b" + old_key + ",c" + old_key + ",d" +
		    old_key + ",e" + old_key,
	};

	for (const auto &text : cases) {
		struct brf_error err = {};

		EXPECT_EQ(
		    brf_keyring_parse(text.data(), text.size(), &err), nullptr)
		    << text;
		EXPECT_EQ(err.code, BRF_E_KEY) << text;
		EXPECT_EQ(
		    std::string(err.detail).find("0001"), std::string::npos);
	}
}

TEST(keys, token_has_the_published_form)
{
	ring keys(old_key);

	/* Reference value:
	 * printf 'brf-workspace-v1\0acme\0' | openssl dgst -sha256 -mac HMAC
	 *     -macopt hexkey:000102030405060708090a0b0c0d0e0f */
	EXPECT_EQ(mint(keys, "acme"),
	    "acme.old."
	    "d320d178f8850e12e32be97d9494a5f2b624595d984284d2a56a1354b4b74c6e");
}

TEST(keys, tokens_are_verified)
{
	ring keys(old_key), both(new_key + "," + old_key), next(new_key);
	const std::string token = mint(keys, "team.a");
	const struct {
		const char *name;
		const ring &keys;
		std::string token;
		bool want;
	} cases[] = {
		{ "own", keys, token, true },
		{ "while rotated", both, token, true },
		{ "after rotation", next, token, false },
		{ "newest key mints", next, mint(both, "team.a"), true },
		{ "other workspace", keys, "team.b" + token.substr(6), false },
		{ "truncated", keys, token.substr(0, token.size() - 1), false },
		{ "longer", keys, token + "0", false },
		{ "changed", keys,
		    token.substr(0, token.size() - 1) +
			(token.back() == '0' ? "1" : "0"),
		    false },
		{ "empty", keys, "", false },
		{ "dots", keys, "..", false },
		{ "one dot", keys, "a.b", false },
		{ "no workspace", keys, token.substr(6), false },
	};

	for (const auto &c : cases) {
		char workspace[BRF_NAME_MAX + 1];
		struct brf_error err = {};

		EXPECT_EQ(brf_workspace_token_check(
			      c.keys.r, c.token.c_str(), workspace, &err),
		    c.want)
		    << c.name;
		EXPECT_STREQ(workspace, c.want ? "team.a" : "") << c.name;
		EXPECT_EQ(err.code, c.want ? BRF_OK : BRF_E_AUTH) << c.name;
	}
}

RC_GTEST_PROP(keys, arbitrary_text_is_no_valid_token, (const std::string &text))
{
	ring keys(old_key);
	char workspace[BRF_NAME_MAX + 1];

	RC_ASSERT(!brf_workspace_token_check(
	    keys.r, text.c_str(), workspace, nullptr));
	RC_ASSERT(workspace[0] == '\0');
}

TEST(keys, a_service_key_authenticates_only_its_own_documents)
{
	ring master(old_key), rotated(new_key + "," + old_key);
	ring a(brf_keyring_derive(master.r, "a"));
	ring b(brf_keyring_derive(master.r, "b"));
	ring late(brf_keyring_derive(rotated.r, "a"));
	const std::string value = seal(a, "a", "{\"schema\":1}");
	std::string altered = value;

	altered.replace(altered.find("schema"), 6, "schemb");
	EXPECT_TRUE(opens(a, "a", value));
	EXPECT_TRUE(opens(late, "a", value));
	EXPECT_FALSE(opens(b, "a", value));
	EXPECT_FALSE(opens(b, "b", value));
	EXPECT_FALSE(opens(a, "b", value));
	EXPECT_FALSE(opens(a, "a", altered));
	EXPECT_FALSE(opens(a, "a", seal(b, "a", "{}")));
	EXPECT_FALSE(opens(master, "a", value));
}

/* Turning a deletion into an empty document, or the reverse, must break the
 * MAC.
 */
TEST(keys, a_deletion_is_authenticated_too)
{
	ring a(old_key);
	std::string value = seal(a, "a", nullptr);
	std::string text = seal(a, "a", "");

	EXPECT_TRUE(opens(a, "a", value));
	value.replace(value.find("true"), 4, "false");
	EXPECT_FALSE(opens(a, "a", value));
	text.replace(text.find("false"), 5, "true");
	EXPECT_FALSE(opens(a, "a", text));
}

TEST(keys, a_written_ring_is_parsed_unchanged)
{
	ring both(new_key + "," + old_key);
	struct brf_buf out = {};

	brf_keyring_write(both.r, &out);
	EXPECT_EQ(std::string(out.data), new_key + "," + old_key);
	brf_secret_free(&out);
}

TEST(keys, secrets_come_from_a_descriptor_or_the_environment)
{
	struct brf_buf out = {};
	struct brf_error err = {};
	int fds[2];

	ASSERT_EQ(pipe(fds), 0);
	ASSERT_EQ(write(fds[1], "from fd\n", 8), 8);
	close(fds[1]);
	setenv("BRF_TEST_SECRET", "from env", 1);
	ASSERT_TRUE(brf_secret_read("BRF_TEST_SECRET", fds[0], &out, &err));
	EXPECT_STREQ(out.data, "from fd");
	brf_secret_free(&out);
	ASSERT_TRUE(brf_secret_read("BRF_TEST_SECRET", -1, &out, &err));
	EXPECT_STREQ(out.data, "from env");
	brf_secret_free(&out);
	EXPECT_EQ(getenv("BRF_TEST_SECRET"), nullptr);
	EXPECT_FALSE(brf_secret_read("BRF_TEST_SECRET", -1, &out, &err));
	EXPECT_EQ(err.code, BRF_E_SETTING_MISSING);
	close(fds[0]);
}
