#include <gtest/gtest.h>

#include <unistd.h>

#include <string>

#include "base/log.h"
#include "mesh/failure_log.h"

namespace
{

/* Captures the log while it exists. */
struct captured_log {
	int ends[2];

	captured_log()
	{
		if (pipe(ends) != 0)
			abort();
		brf_log_open(ends[1], BRF_LOG_INFO, "n");
	}

	~captured_log()
	{
		brf_log_open(STDERR_FILENO, BRF_LOG_INFO, nullptr);
		close(ends[0]);
		close(ends[1]);
	}

	std::string
	text()
	{
		std::string s(1 << 16, '\0');
		ssize_t n;

		if (write(ends[1], "", 1) != 1)
			abort();
		n = read(ends[0], s.data(), s.size());
		s.resize(n > 0 ? (size_t)n - 1 : 0);
		return (s);
	}
};

size_t
occurrences(const std::string &text, const std::string &what)
{
	size_t n = 0;

	for (size_t at = text.find(what); at != std::string::npos;
	     at = text.find(what, at + 1))
		n++;
	return (n);
}

struct failures {
	struct brf_failure_log pending = {};
	struct brf_trace trace = {};

	void
	fail(const std::string &id, enum brf_reason reason,
	    const char *target = nullptr)
	{
		struct brf_trace_end end = {};

		trace.count = target != nullptr;
		trace.hops[0].target = target;
		end.event = "request_failed";
		end.id = id.c_str();
		end.service = "s";
		end.status = 503;
		end.reason = reason;
		brf_failure_log_add(&pending, &end, &trace);
	}
};

} // namespace

TEST(failure_log, failures_with_the_same_cause_share_a_line)
{
	struct captured_log log;
	struct failures x;

	x.fail("a1", BRF_R_SHED_EARLY);
	x.fail("b1", BRF_R_OVERLOAD, "t-1");
	x.fail("a2", BRF_R_SHED_EARLY);
	x.fail("c1", BRF_R_OVERLOAD, "t-2");
	brf_failure_log_flush(&x.pending);
	brf_failure_log_flush(&x.pending);
	std::string text = log.text();
	EXPECT_EQ(occurrences(text, "\"event\":\"requests_failed\""), 3u);
	EXPECT_NE(
	    text.find("\"count\":2,\"requests\":\"a1 a2\""), std::string::npos)
	    << text;
	EXPECT_NE(text.find("\"target\":\"t-2\""), std::string::npos);
}

/*
 * No id is lost when there are more ids than fit in a line, or more groups
 * than BRF_FAILURE_GROUPS_MAX.
 */
TEST(failure_log, each_id_is_logged_exactly_once)
{
	const size_t kinds = BRF_FAILURE_GROUPS_MAX + 1;
	struct captured_log log;
	struct failures x;
	std::string text;

	for (int i = 0; i < 600; i++)
		x.fail("id" + std::to_string(1000 + i), BRF_R_OVERLOAD, "t");
	for (size_t i = 0; i < kinds; i++)
		x.fail("kind" + std::to_string(100 + i), BRF_R_NO_TARGET,
		    ("t" + std::to_string(i)).c_str());
	brf_failure_log_flush(&x.pending);
	text = log.text();
	for (int i = 0; i < 600; i++)
		EXPECT_EQ(
		    occurrences(text, "id" + std::to_string(1000 + i)), 1u);
	for (size_t i = 0; i < kinds; i++)
		EXPECT_EQ(
		    occurrences(text, "kind" + std::to_string(100 + i)), 1u);
}

TEST(failure_log, overlong_ids_do_not_overflow)
{
	struct captured_log log;
	struct failures x;

	x.fail(std::string(BRF_FAILURE_IDS_SIZE - 2, 'x'), BRF_R_OVERLOAD);
	x.fail(std::string(BRF_FAILURE_IDS_SIZE * 2, 'y'), BRF_R_OVERLOAD);
	x.fail("z", BRF_R_OVERLOAD);
	brf_failure_log_flush(&x.pending);
	std::string text = log.text();
	EXPECT_EQ(occurrences(text, "x\""), 1u);
	EXPECT_NE(text.find("\"requests\":\"z\""), std::string::npos) << text;
}
