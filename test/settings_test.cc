#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "node/announce.h"
#include "node/settings.h"

namespace
{

#define FLEET_KEY "000102030405060708090a0b0c0d0e0f"

/* Reads @flags and the settings that are required. */
bool
read(std::vector<std::string> flags, struct brf_settings *out,
    struct brf_error *err, const char *fleet_key = FLEET_KEY)
{
	std::vector<char *> argv;
	bool done = false;

	flags.insert(flags.begin(), { "bulrushfordd", "--address=10.0.0.1",
					"--zone=perth-a", "--region=perth" });
	for (auto &f : flags)
		argv.push_back(f.data());
	argv.push_back(nullptr);
	if (fleet_key != nullptr)
		setenv("BRF_FLEET_KEY", fleet_key, 1);
	else
		unsetenv("BRF_FLEET_KEY");
	return (
	    brf_settings_read(out, (int)flags.size(), argv.data(), &done, err));
}

} // namespace

TEST(settings, errors_name_the_setting)
{
	struct {
		const char *flag;
		enum brf_errc want;
		const char *named;
	} cases[] = {
		{ "--address=here", BRF_E_SETTING_UNKNOWN, "" },
		{ "--entry-port=70000", BRF_E_SETTING_INVALID,
		    "BRF_ENTRY_PORT" },
		{ "--entry-port=-1", BRF_E_SETTING_INVALID, "BRF_ENTRY_PORT" },
		{ "--entry-port=12x", BRF_E_SETTING_INVALID, "BRF_ENTRY_PORT" },
		{ "--seeds=10.0.0.2", BRF_E_SETTING_INVALID, "BRF_SEEDS" },
		{ "--seeds=10.0.0.2:0", BRF_E_SETTING_INVALID, "BRF_SEEDS" },
		{ "--seeds=host:1", BRF_E_SETTING_INVALID, "BRF_SEEDS" },
		{ "--store=1.2.3.4:1,1.2.3.4:2,1.2.3.4:3,1.2.3.4:4,1.2.3.4:5",
		    BRF_E_SETTING_INVALID, "BRF_STORE" },
		{ "--log-level=loud", BRF_E_SETTING_INVALID, "BRF_LOG_LEVEL" },
		{ "--drain-limit-ms=99999999999", BRF_E_SETTING_INVALID,
		    "BRF_DRAIN_LIMIT_MS" },
		{ "--workspace-required=maybe", BRF_E_SETTING_INVALID,
		    "BRF_WORKSPACE_REQUIRED" },
		{ "--no-such-flag", BRF_E_SETTING_UNKNOWN, "--no-such-flag" },
	};

	for (auto &c : cases) {
		struct brf_settings s;
		struct brf_error err = {};
		EXPECT_FALSE(read({ c.flag }, &s, &err)) << c.flag;
		EXPECT_EQ(err.code, c.want) << c.flag;
		EXPECT_NE(
		    std::string(err.detail).find(c.named), std::string::npos)
		    << err.detail;
	}
}

TEST(settings, flag_overrides_environment_and_default)
{
	struct brf_settings s;
	struct brf_error err = {};

	ASSERT_TRUE(read({}, &s, &err)) << err.detail;
	EXPECT_EQ(s.admin_port, 8483);
	setenv("BRF_ADMIN_PORT", "1000", 1);
	ASSERT_TRUE(read({}, &s, &err)) << err.detail;
	EXPECT_EQ(s.admin_port, 1000);
	ASSERT_TRUE(read({ "--admin-port=2000" }, &s, &err)) << err.detail;
	EXPECT_EQ(s.admin_port, 2000);
	unsetenv("BRF_ADMIN_PORT");
}

TEST(settings, fleet_key_is_validated_and_removed_from_the_environment)
{
	struct brf_settings s;
	struct brf_error err = {};

	EXPECT_FALSE(read({}, &s, &err, nullptr));
	EXPECT_EQ(err.code, BRF_E_SETTING_MISSING);
	for (const char *bad : { "00", "zz0102030405060708090a0b0c0d0e0f",
		 "000102030405060708090a0b0c0d0e0f1" }) {
		EXPECT_FALSE(read({}, &s, &err, bad)) << bad;
		EXPECT_EQ(err.code, BRF_E_SETTING_INVALID) << bad;
		EXPECT_EQ(std::string(err.detail).find(bad), std::string::npos);
	}
	ASSERT_TRUE(read({}, &s, &err));
	EXPECT_EQ(s.fleet_key_len, 16u);
	EXPECT_EQ(s.fleet_key[15], 0x0f);
	EXPECT_EQ(getenv("BRF_FLEET_KEY"), nullptr);
}

TEST(announcement, fields_are_validated)
{
	struct {
		const char *text;
		const char *named; /* NULL: accepted */
	} cases[] = {
		{ R"({"service":"a","port":1,"slots":1,"connections":1})",
		    nullptr },
		{ R"({"service":"a","port":1,"slots":1,"connections":1,)"
		  R"("cold":true,"heartbeat_ms":2000})",
		    nullptr },
		{ "", "not JSON" },
		{ "[]", "service" },
		{ R"({"service":"A b","port":1,"slots":1,"connections":1})",
		    "service" },
		{ R"({"service":"a","port":0,"slots":1,"connections":1})",
		    "port" },
		{ R"({"service":"a","port":65536,"slots":1,"connections":1})",
		    "port" },
		{ R"({"service":"a","port":1,"slots":0,"connections":1})",
		    "slots" },
		{ R"({"service":"a","port":1,"slots":"9","connections":1})",
		    "slots" },
		{ R"({"service":"a","port":1,"slots":1})", "connections" },
		{ R"({"service":"a","port":1,"slots":1,"connections":1,)"
		  R"("cold":1})",
		    "cold" },
		{ R"({"service":"a","service":"b","port":1,"slots":1})",
		    "not JSON" },
	};

	for (auto &c : cases) {
		struct brf_announcement parsed;
		struct brf_error err = {};
		uint64_t heartbeat;
		bool ok = brf_announce_parse(
		    c.text, strlen(c.text), &parsed, &heartbeat, &err);
		EXPECT_EQ(ok, c.named == nullptr) << c.text;
		if (c.named == nullptr)
			continue;
		EXPECT_EQ(err.code, BRF_E_ANNOUNCE) << c.text;
		EXPECT_NE(
		    std::string(err.detail).find(c.named), std::string::npos)
		    << err.detail;
	}
}
