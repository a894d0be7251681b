#include <gtest/gtest.h>

#include <cstring>

#include "policy/self_report.h"

namespace
{

struct brf_self_statement
statement(enum brf_limit_field limit, double rate, bool leaving = false,
    bool authentic = true, uint64_t asked_at = 20)
{
	struct brf_self_statement s = { limit, rate, leaving, authentic,
		asked_at };

	return (s);
}

bool
parse(const char *text, double *rate)
{
	return (brf_rate_limit_parse(text, strlen(text), rate));
}

TEST(self_report, a_limit_is_a_decimal_number)
{
	double rate;

	EXPECT_TRUE(parse("15", &rate));
	EXPECT_EQ(rate, 15);
	EXPECT_TRUE(parse("0.2", &rate));
	EXPECT_EQ(rate, 0.2);
	EXPECT_TRUE(parse(".5", &rate));
	EXPECT_EQ(rate, 0.5);
	for (const char *text :
	    { "", ".", "-1", "+1", "1e3", "nan", "inf", "0x10", "1.2.3", "1,5",
		" 1", "1 ", "many", "111111111111111111111111111111111111" })
		EXPECT_FALSE(parse(text, &rate)) << text;
}

TEST(self_report, a_limit_holds_while_answers_state_it)
{
	struct brf_self_report r = {};
	struct brf_self_statement s = statement(BRF_LIMIT_STATED, 15);

	EXPECT_TRUE(brf_self_report_update(&r, &s, 10));
	EXPECT_EQ(r.rate_limit, 15);
	EXPECT_FALSE(brf_self_report_update(&r, &s, 10));
	s = statement(BRF_LIMIT_STATED, 40);
	EXPECT_TRUE(brf_self_report_update(&r, &s, 10));
	EXPECT_EQ(r.rate_limit, 40);
	s = statement(BRF_LIMIT_ABSENT, 0);
	EXPECT_TRUE(brf_self_report_update(&r, &s, 10));
	EXPECT_EQ(r.rate_limit, 0);
}

TEST(self_report, only_an_answer_of_the_target_ends_a_limit)
{
	struct brf_self_report r = { 15, 10, false, true };
	struct brf_self_statement s =
	    statement(BRF_LIMIT_ABSENT, 0, false, false);

	EXPECT_FALSE(brf_self_report_update(&r, &s, 10));
	s = statement(BRF_LIMIT_MALFORMED, 0);
	EXPECT_FALSE(brf_self_report_update(&r, &s, 10));
	EXPECT_EQ(r.rate_limit, 15);
}

TEST(self_report, an_answer_to_an_earlier_request_ends_no_limit)
{
	struct brf_self_report r = { 15, 10, false, true };
	struct brf_self_statement s =
	    statement(BRF_LIMIT_ABSENT, 0, false, true, 9);

	EXPECT_FALSE(brf_self_report_update(&r, &s, 11));
	s.asked_at = 12;
	EXPECT_TRUE(brf_self_report_update(&r, &s, 13));
}

TEST(self_report, a_senders_limit_is_taken_when_none_was_stated)
{
	struct brf_self_report r = {};
	struct brf_self_statement s = statement(BRF_LIMIT_ABSENT, 0);

	EXPECT_FALSE(brf_self_report_adopt(&r, 0, 10));
	EXPECT_TRUE(brf_self_report_adopt(&r, 15, 10));
	EXPECT_FALSE(brf_self_report_adopt(&r, 40, 11));
	EXPECT_EQ(r.rate_limit, 15);
	EXPECT_TRUE(brf_self_report_update(&r, &s, 21));
	EXPECT_FALSE(brf_self_report_adopt(&r, 15, 22));
}

TEST(self_report, a_limit_of_none_still_lets_the_target_be_asked)
{
	struct brf_self_report r = {};
	struct brf_self_statement s = statement(BRF_LIMIT_STATED, 0);

	brf_self_report_update(&r, &s, 10);
	EXPECT_EQ(r.rate_limit, BRF_RATE_LIMIT_MIN);
}

TEST(self_report, an_answer_written_before_does_not_undo_leaving)
{
	struct brf_self_report r = {};
	struct brf_self_statement s = statement(BRF_LIMIT_ABSENT, 0, true);

	EXPECT_TRUE(brf_self_report_update(&r, &s, 10));
	s = statement(BRF_LIMIT_ABSENT, 0, false);
	EXPECT_FALSE(brf_self_report_update(&r, &s, 10));
	EXPECT_TRUE(r.leaving);
}

} // namespace
