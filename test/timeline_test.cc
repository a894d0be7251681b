#include <gtest/gtest.h>

#include <string>

#include "ctl/timeline.h"

namespace
{

/* Request r1 entered at node a and was answered with status 500 by the target
 * of node b.  Its nested call c1 was refused by the gate at node c. */
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
    /* same serial, from an earlier incarnation of b */
    "{\"time\":\"2026-12-04T09:00:00.000Z\",\"level\":\"info\",\"node\":\"b\","
    "\"event\":\"request_failed\",\"request\":\"old\",\"nested\":1,"
    "\"parent\":7,\"status\":503,\"reason\":\"draining\"}\n"
    "not JSON\n"
    "{\"torn\":\n";

struct request_trace {
	struct brf_timeline *t = brf_timeline_new();
	std::string out;

	explicit request_trace(const std::string &text)
	{
		brf_timeline_read(t, text.data(), text.size());
	}

	~request_trace()
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

TEST(timeline, cause_is_reported_at_the_deepest_failed_call)
{
	struct request_trace trace(logs);

	EXPECT_EQ(trace.write("r1"), 5u);
	EXPECT_NE(trace.find("cause: c1: hop_refused at c, reason "
			     "expired_waiting"),
	    std::string::npos)
	    << trace.out;
	EXPECT_NE(trace.find("37 of 37 slots"), std::string::npos);
	/* r1 failed only because c1 did */
	EXPECT_EQ(trace.find("cause: r1"), std::string::npos) << trace.out;
	EXPECT_EQ(trace.find("old"), std::string::npos);
	EXPECT_LT(
	    trace.find("hop_answered at b"), trace.find("hop_refused at c"));
}

TEST(timeline, request_that_was_not_sent_has_its_own_cause)
{
	struct request_trace trace(
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"request_failed\",\"request\":\"r\",\"status\":503,"
	    "\"reason\":\"shed_early\",\"hops\":0,\"share\":0.25}\n");

	EXPECT_EQ(trace.write("r"), 1u);
	EXPECT_NE(
	    trace.find("reason shed_early, status 503"), std::string::npos);
	EXPECT_NE(trace.find("begins 0.25"), std::string::npos) << trace.out;
	EXPECT_EQ(trace.write("other"), 0u);
}

TEST(timeline, late_answer_is_traced_to_the_slow_hop)
{
	struct request_trace trace(
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"request_late\",\"request\":\"r\",\"status\":200,"
	    "\"reason\":\"none\",\"hops\":1,\"took_ms\":775}\n"
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"request_sent\",\"request\":\"r\",\"target\":\"t-b\","
	    "\"outcome\":\"answered\",\"took_ms\":770,\"estimate_ms\":120,"
	    "\"running\":37,\"limit\":37,\"waiting\":5,\"service_ms\":300}\n");

	trace.write("r");
	EXPECT_NE(
	    trace.find("cause: r: request_sent to t-b from a, answered after "
		       "770 ms (120 ms estimated); its gate told 37 of 37"),
	    std::string::npos)
	    << trace.out;
}

TEST(timeline, a_request_cut_by_an_earlier_answer_names_that_answer)
{
	struct request_trace trace(
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"request_failed\",\"request\":\"first\","
	    "\"connection\":7,\"status\":0,\"reason\":\"broken_answer\"}\n"
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"request_failed\",\"request\":\"second\","
	    "\"connection\":7,\"status\":0,\"reason\":\"earlier_broken\"}\n"
	    /* same connection number, from an earlier incarnation of a */
	    "{\"time\":\"2026-12-04T09:00:00.000Z\",\"node\":\"a\","
	    "\"event\":\"request_failed\",\"request\":\"old\","
	    "\"connection\":7,\"status\":0,\"reason\":\"broken_answer\"}\n");

	EXPECT_EQ(trace.write("second"), 1u);
	EXPECT_NE(trace.find("cause: second: the answer to first, earlier on "
			     "connection 7 of a, broke off"),
	    std::string::npos)
	    << trace.out;
}

TEST(timeline, request_is_found_in_a_summary_line)
{
	struct request_trace trace(
	    "{\"time\":\"2026-12-04T10:00:00.900Z\",\"node\":\"a\","
	    "\"event\":\"requests_failed\",\"status\":503,"
	    "\"reason\":\"shed_early\",\"share\":0.25,\"count\":3,"
	    "\"requests\":\"r1 r r2\"}\n");

	EXPECT_EQ(trace.write("r"), 1u);
	EXPECT_NE(
	    trace.find("cause: r: requests_failed at a, reason shed_early"),
	    std::string::npos)
	    << trace.out;
	EXPECT_EQ(trace.find("r2"), std::string::npos);
}

/* Node b logged no hop of request r, so the calls that r made can't be told
 * from others at b; all calls that failed at b meanwhile are counted. */
TEST(timeline, concurrent_failures_at_the_target_are_counted)
{
	struct request_trace trace(
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

	trace.write("r");
	EXPECT_NE(trace.find("calls made at b that failed meanwhile: 2 to s, "
			     "target_shed, such as c1\n"),
	    std::string::npos)
	    << trace.out;
	EXPECT_EQ(trace.find("draining"), std::string::npos);
}

TEST(timeline, only_root_requests_are_listed_as_failed)
{
	struct request_trace trace(logs);
	struct brf_buf b = {};

	brf_timeline_failed(trace.t, &b);
	EXPECT_STREQ(b.data, "r1 request_failed status=500 reason=none\n");
	brf_buf_free(&b);
}
