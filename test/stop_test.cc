#include <gtest/gtest.h>

#include <functional>

#include "policy/longest.h"
#include "policy/stop.h"

namespace
{

const uint64_t GRACE = 6 * BRF_US_PER_S;

/*
 * Run a shutdown with a check every 50 ms; @open returns the number of open
 * requests at a time since the signal.  Returns when the process exits, and in
 * @refused when the target stops getting work; microseconds since the signal.
 */
uint64_t
run_shutdown(uint64_t grace, const std::function<size_t(uint64_t)> &open,
    uint64_t *refused)
{
	struct brf_stop s;

	brf_stop_init(&s, grace);
	*refused = UINT64_MAX;
	for (uint64_t t = 0;; t += 50 * BRF_US_PER_MS) {
		switch (brf_stop_check(&s, t, open(t))) {
		case BRF_STOP_REFUSE:
			EXPECT_EQ(*refused, UINT64_MAX) << "returned twice";
			*refused = t;
			break;
		case BRF_STOP_END:
			return (t);
		case BRF_STOP_TELL:
		case BRF_STOP_WAIT:
			break;
		}
	}
}

} // namespace

/* What begins late in the grace period is cut when the process exits. */
TEST(stop, a_request_begins_only_if_it_ends_before_the_exit)
{
	const uint64_t s = BRF_US_PER_S;
	const struct {
		struct brf_stop_request rq;
		enum brf_stop_verdict verdict;
	} cases[] = {
		{ { 3 * s, 5 * s, s, true, false }, BRF_STOP_KEEP },
		{ { 3 * s, 3 * s, s, false, false }, BRF_STOP_BEGIN },
		{ { 3 * s, 3 * s + 1, s, false, false }, BRF_STOP_KEEP },
		{ { 0, 1, 0, true, false }, BRF_STOP_KEEP },
		{ { 3 * s, 5 * s, s, true, true }, BRF_STOP_LIMIT },
		{ { 3 * s, 5 * s, s, false, true }, BRF_STOP_KEEP },
		{ { s, 5 * s, s + 1, true, true }, BRF_STOP_KEEP },
		{ { s, s, 2 * s, false, true }, BRF_STOP_BEGIN },
	};

	for (const auto &c : cases)
		EXPECT_EQ(brf_stop_judge(&c.rq), c.verdict)
		    << c.rq.until_end_us << " " << c.rq.until_deadline_us;
}

/* A deadline that a late request gets lies before the answer to what is open,
 * and that before the exit. */
TEST(stop, open_requests_are_answered_before_the_exit)
{
	for (uint64_t grace : { 700000u, 1000000u, 6000000u, 10000000u }) {
		struct brf_stop s;

		brf_stop_init(&s, grace);
		EXPECT_LT(s.work_us, s.tell_us);
		EXPECT_LT(s.tell_us, s.max_us);
		EXPECT_EQ(brf_stop_check(&s, s.refuse_us, 1), BRF_STOP_REFUSE);
		EXPECT_EQ(brf_stop_check(&s, s.tell_us - 1, 1), BRF_STOP_WAIT);
		EXPECT_EQ(brf_stop_check(&s, s.tell_us, 1), BRF_STOP_TELL);
		EXPECT_EQ(brf_stop_check(&s, s.tell_us + 1, 1), BRF_STOP_WAIT);
		EXPECT_EQ(brf_stop_check(&s, s.max_us, 1), BRF_STOP_END);
	}
}

TEST(longest, of_the_present_and_the_previous_window)
{
	const uint64_t w = BRF_LONGEST_WINDOW_US;
	struct brf_longest l = {};

	EXPECT_EQ(brf_longest_get(&l, 5 * w), 0u);
	brf_longest_add(&l, 70, 5 * w);
	brf_longest_add(&l, 30, 5 * w + 1);
	EXPECT_EQ(brf_longest_get(&l, 5 * w + 2), 70u);
	brf_longest_add(&l, 20, 6 * w);
	EXPECT_EQ(brf_longest_get(&l, 7 * w - 1), 70u);
	EXPECT_EQ(brf_longest_get(&l, 7 * w), 20u);
	EXPECT_EQ(brf_longest_get(&l, 9 * w), 0u);
}

TEST(stop, target_gets_work_until_callers_stop_sending)
{
	uint64_t refused, ended;

	ended = run_shutdown(
	    GRACE, [](uint64_t t) { return (t < 2300000); }, &refused);
	EXPECT_EQ(refused, 2200 * BRF_US_PER_MS);
	EXPECT_EQ(ended, 2500 * BRF_US_PER_MS);
}

TEST(stop, running_requests_are_finished)
{
	uint64_t refused, ended;

	ended = run_shutdown(
	    GRACE, [](uint64_t t) { return (t < 4000000); }, &refused);
	EXPECT_GE(ended, 4000000u);
	EXPECT_LE(ended, 4300000u);
}

TEST(stop, process_exits_within_the_grace_period)
{
	uint64_t refused;

	for (uint64_t grace :
	    { 700000u, 1000000u, 3000000u, 6000000u, 60000000u }) {
		EXPECT_LT(run_shutdown(
			      grace, [](uint64_t) { return (1); }, &refused),
		    grace);
		EXPECT_LT(refused, grace)
		    << "no refusal before the process exits";
	}
}
