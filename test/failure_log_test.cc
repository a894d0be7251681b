#include <gtest/gtest.h>

#include <unistd.h>

#include <string>

#include "base/log.h"
#include "mesh/failure_log.h"

namespace
{

/* Lines that were logged since it was made. */
struct captured {
	int ends[2];

	captured()
	{
		if (pipe(ends) != 0)
			abort();
		brf_log_open(ends[1], BRF_LOG_INFO, "n");
	}

	~captured()
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

struct digested {
	struct brf_failure_log d = {};
	struct brf_trace trail = {};

	void
	fail(const std::string &id, enum brf_reason reason,
	    const char *target = nullptr)
	{
		struct brf_trace_end end = {};

		trail.count = target != nullptr;
		trail.hops[0].target = target;
		end.event = "request_failed";
		end.id = id.c_str();
		end.service = "s";
		end.status = 503;
		end.reason = reason;
		brf_failure_log_add(&d, &end, &trail);
	}
};

} // namespace

TEST(failure_log, failures_that_are_alike_share_a_line)
{
	struct captured log;
	struct digested x;

	x.fail("a1", BRF_R_SHED_EARLY);
	x.fail("b1", BRF_R_OVERLOAD, "t-1");
	x.fail("a2", BRF_R_SHED_EARLY);
	x.fail("c1", BRF_R_OVERLOAD, "t-2");
	brf_failure_log_flush(&x.d);
	brf_failure_log_flush(&x.d);
	std::string text = log.text();
	EXPECT_EQ(occurrences(text, "\"event\":\"requests_failed\""), 3u);
	EXPECT_NE(
	    text.find("\"count\":2,\"requests\":\"a1 a2\""), std::string::npos)
	    << text;
	EXPECT_NE(text.find("\"target\":\"t-2\""), std::string::npos);
}

/* Nothing is forgotten when there are more ids than a line takes, or more
 * kinds of failures than are kept. */
TEST(failure_log, each_id_is_written_once_however_many_there_are)
{
	const size_t kinds = BRF_FAILURE_GROUPS_MAX + 1;
	struct captured log;
	struct digested x;
	std::string text;

	for (int i = 0; i < 600; i++)
		x.fail("id" + std::to_string(1000 + i), BRF_R_OVERLOAD, "t");
	for (size_t i = 0; i < kinds; i++)
		x.fail("kind" + std::to_string(100 + i), BRF_R_NO_TARGET,
		    ("t" + std::to_string(i)).c_str());
	brf_failure_log_flush(&x.d);
	text = log.text();
	for (int i = 0; i < 600; i++)
		EXPECT_EQ(
		    occurrences(text, "id" + std::to_string(1000 + i)), 1u);
	for (size_t i = 0; i < kinds; i++)
		EXPECT_EQ(
		    occurrences(text, "kind" + std::to_string(100 + i)), 1u);
}

TEST(failure_log, an_id_of_any_length_does_no_harm)
{
	struct captured log;
	struct digested x;

	x.fail(std::string(BRF_FAILURE_IDS_SIZE - 2, 'x'), BRF_R_OVERLOAD);
	x.fail(std::string(BRF_FAILURE_IDS_SIZE * 2, 'y'), BRF_R_OVERLOAD);
	x.fail("z", BRF_R_OVERLOAD);
	brf_failure_log_flush(&x.d);
	std::string text = log.text();
	EXPECT_EQ(occurrences(text, "x\""), 1u);
	EXPECT_NE(text.find("\"requests\":\"z\""), std::string::npos) << text;
}
