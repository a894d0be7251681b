#include <gtest/gtest.h>

#include <functional>

#include "policy/answer_watch.h"

namespace
{

const uint64_t MAX_WAIT = 100 * BRF_US_PER_MS;
const uint64_t MAX_UNREAD = 60 * BRF_US_PER_S;
const uint64_t DEADLINE = 7 * BRF_US_PER_S;

/* Bytes that were written and read at a time after the deadline. */
struct progress {
	uint64_t written, read;
};

/* Time from the deadline to the first verdict, or to an hour without one. */
struct ending {
	enum brf_answer_verdict verdict;
	uint64_t after_us;
};

struct ending
watch(bool renewed, const std::function<struct progress(uint64_t)> &at,
    uint64_t interval = BRF_ANSWER_CHECK_US)
{
	struct brf_answer_watch w = { MAX_WAIT, MAX_UNREAD, renewed };
	struct progress p = at(0);
	enum brf_answer_verdict v = BRF_ANSWER_GOES_ON;
	uint64_t t = 0;

	brf_answer_watch_start(&w, DEADLINE, p.written, p.read);
	while (v == BRF_ANSWER_GOES_ON && t < 3600 * BRF_US_PER_S) {
		t += interval;
		p = at(t);
		v = brf_answer_watch_check(&w, DEADLINE + t, p.written, p.read);
	}
	return { v, t };
}

} // namespace

TEST(answer_watch, a_source_that_owes_the_rest_is_overdue)
{
	for (bool renewed : { false, true }) {
		struct ending e = watch(renewed, [](uint64_t) {
			return (progress{ 500, 500 });
		});

		EXPECT_EQ(e.verdict, BRF_ANSWER_OVERDUE);
		EXPECT_EQ(e.after_us, MAX_WAIT);
	}
}

TEST(answer_watch, a_source_that_sends_byte_by_byte_is_overdue)
{
	auto bytes = [](uint64_t t) {
		return (progress{ t / BRF_US_PER_MS, t / BRF_US_PER_MS });
	};

	EXPECT_EQ(watch(false, bytes).after_us, MAX_WAIT);
	EXPECT_EQ(watch(true, bytes).verdict, BRF_ANSWER_GOES_ON);
}

TEST(answer_watch, a_slow_reader_gets_all_that_came)
{
	struct ending e = watch(false, [](uint64_t t) {
		return (progress{ 1000000, t / BRF_US_PER_S });
	});

	EXPECT_EQ(e.verdict, BRF_ANSWER_GOES_ON);
}

TEST(answer_watch, an_answer_that_nobody_reads_ends)
{
	struct ending e = watch(false, [](uint64_t) {
		return (progress{ 1000000, 1000 });
	});

	EXPECT_EQ(e.verdict, BRF_ANSWER_UNREAD);
	EXPECT_EQ(e.after_us, MAX_UNREAD);
}

/* The source may have sent the rest while this process could not read it. */
TEST(answer_watch, one_late_sample_is_no_reason_to_end)
{
	struct ending e = watch(
	    false,
	    [](uint64_t) {
		    return (progress{ 500, 500 });
	    },
	    10 * BRF_US_PER_S);

	EXPECT_EQ(e.verdict, BRF_ANSWER_OVERDUE);
	EXPECT_EQ(e.after_us, 20 * BRF_US_PER_S);
}
