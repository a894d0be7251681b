#include <gtest/gtest.h>

#include <string>

#include "ctl/timeline.h"

namespace
{

/* Node a took the request; its target's gate is at b, and the call that it
 * made from there was refused at c. */
const char logs[] =
    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"level\":\"info\",\"node\":\"a\","
    "\"event\":\"request_failed\",\"request\":\"r1\",\"nested\":0,"
    "\"parent\":0,\"status\":500,\"reason\":\"none\",\"took_ms\":800}\n"
    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"level\":\"info\",\"node\":\"a\","
    "\"event\":\"request_sent\",\"request\":\"r1\",\"target\":\"t-b\","
    "\"took_ms\":800}\n"
    "10.5 collector {\"time\":\"2026-12-04T10:00:00.899Z\","
    "\"level\":\"info\",\"node\":\"b\",\"event\":\"hop_answered\","
    "\"request\":\"r1\",\"serial\":7,\"status\":500,\"reason\":\"none\","
    "\"waited_ms\":0,\"ran_ms\":790}\n"
    "{\"time\":\"2026-12-04T10:00:00.800Z\",\"level\":\"info\",\"node\":\"b\","
    "\"event\":\"request_failed\",\"request\":\"c1\",\"nested\":1,"
    "\"parent\":7,\"status\":503,\"reason\":\"overload\",\"took_ms\":150}\n"
    "{\"time\":\"2026-12-04T10:00:00.799Z\",\"level\":\"info\",\"node\":\"c\","
    "\"event\":\"hop_refused\",\"request\":\"c1\",\"serial\":3,\"status\":0,"
    "\"reason\":\"expired_waiting\",\"waited_ms\":150,\"patience_ms\":150,"
    "\"running\":37,\"limit\":37,\"waiting\":12}\n"
    /* the same serial, of an earlier life of b */
    "{\"time\":\"2026-12-04T09:00:00.000Z\",\"level\":\"info\",\"node\":\"b\","
    "\"event\":\"request_failed\",\"request\":\"old\",\"nested\":1,"
    "\"parent\":7,\"status\":503,\"reason\":\"draining\"}\n"
    "not JSON\n"
    "{\"torn\":\n";

struct joined {
	struct brf_timeline *t = brf_timeline_new();
	std::string out;

	explicit joined(const std::string &text)
	{
		brf_timeline_read(t, text.data(), text.size());
	}

	~joined()
	{
		brf_timeline_free(t);
	}

	size_t
	write(const char *id)
	{
		struct brf_buf b = {};
		size_t steps = brf_timeline_write(t, id, &b);

		out.assign(b.len != 0 ? b.data : "", b.len);
		brf_buf_free(&b);
		return (steps);
	}

	size_t
	find(const char *what)
	{
		return (out.find(what));
	}
};

} // namespace

TEST(timeline, a_request_is_followed_down_to_what_failed)
{
	struct joined j(logs);

	EXPECT_EQ(j.write("r1"), 5u);
	EXPECT_NE(j.find("cause: c1: hop_refused at c, reason "
			 "expired_waiting"),
	    std::string::npos)
	    << j.out;
	EXPECT_NE(j.find("37 of 37 slots"), std::string::npos);
	/* what merely passed the failure on is no cause */
	EXPECT_EQ(j.find("cause: r1"), std::string::npos) << j.out;
	EXPECT_EQ(j.find("old"), std::string::npos);
	EXPECT_LT(j.find("hop_answered at b"), j.find("hop_refused at c"));
}

TEST(timeline, what_was_never_sent_tells_its_own_cause)
{
	struct joined j(
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"request_failed\",\"request\":\"r\",\"status\":503,"
	    "\"reason\":\"shed_early\",\"hops\":0,\"share\":0.25}\n");

	EXPECT_EQ(j.write("r"), 1u);
	EXPECT_NE(j.find("reason shed_early, status 503"), std::string::npos);
	EXPECT_NE(j.find("begins 0.25"), std::string::npos) << j.out;
	EXPECT_EQ(j.write("other"), 0u);
}

TEST(timeline, a_late_answer_is_led_to_the_hop_that_took_long)
{
	struct joined j(
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"request_late\",\"request\":\"r\",\"status\":200,"
	    "\"reason\":\"none\",\"hops\":1,\"took_ms\":775}\n"
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"request_sent\",\"request\":\"r\",\"target\":\"t-b\","
	    "\"outcome\":\"answered\",\"took_ms\":770,\"estimate_ms\":120,"
	    "\"running\":37,\"limit\":37,\"waiting\":5,\"service_ms\":300}\n");

	j.write("r");
	EXPECT_NE(j.find("cause: r: request_sent to t-b from a, answered after "
			 "770 ms (120 ms estimated); its gate told 37 of 37"),
	    std::string::npos)
	    << j.out;
}

TEST(timeline, a_request_is_found_among_many_on_a_line)
{
	struct joined j("{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
			"\"event\":\"requests_failed\",\"status\":503,"
			"\"reason\":\"shed_early\",\"share\":0.25,\"count\":3,"
			"\"requests\":\"r1 r r2\"}\n");

	EXPECT_EQ(j.write("r"), 1u);
	EXPECT_NE(j.find("cause: r: requests_failed at a, reason shed_early"),
	    std::string::npos)
	    << j.out;
	EXPECT_EQ(j.find("r2"), std::string::npos);
}

/* A target's failure whose calls can't be told apart from others'. */
TEST(timeline, calls_that_failed_meanwhile_are_summed_up)
{
	struct joined j(
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"requests_failed\",\"status\":500,"
	    "\"reason\":\"none\",\"target\":\"t-b\",\"requests\":\"r\"}\n"
	    "{\"time\":\"2026-12-04T09:00:00.000Z\",\"node\":\"a\","
	    "\"event\":\"target_known\",\"target\":\"t-b\",\"peer\":\"b\"}\n"
	    "{\"time\":\"2026-12-04T10:00:00.500Z\",\"node\":\"b\","
	    "\"event\":\"requests_failed\",\"status\":503,\"nested\":1,"
	    "\"service\":\"s\",\"reason\":\"target_shed\","
	    "\"requests\":\"c1 c2\"}\n"
	    "{\"time\":\"2026-12-04T10:00:00.500Z\",\"node\":\"c\","
	    "\"event\":\"request_failed\",\"status\":503,\"nested\":1,"
	    "\"service\":\"s\",\"reason\":\"draining\",\"request\":\"c3\"}\n");

	j.write("r");
	EXPECT_NE(j.find("calls made at b that failed meanwhile: 2 to s, "
			 "target_shed, such as c1\n"),
	    std::string::npos)
	    << j.out;
	EXPECT_EQ(j.find("draining"), std::string::npos);
}

TEST(timeline, failed_requests_are_those_that_callers_sent)
{
	struct joined j(logs);
	struct brf_buf b = {};

	brf_timeline_failed(j.t, &b);
	EXPECT_STREQ(b.data, "r1 request_failed status=500 reason=none\n");
	brf_buf_free(&b);
}
