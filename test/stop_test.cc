#include <gtest/gtest.h>

#include <functional>

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
		bool begins;
	} cases[] = {
		{ { 3 * s, 5 * s, s, false }, false },
		{ { 3 * s, 3 * s, s, false }, true },
		{ { 3 * s, 3 * s + 1, s, false }, false },
		{ { 0, 1, 0, false }, false },
		{ { 3 * s, 5 * s, s, true }, true },
		{ { s, 5 * s, s + 1, true }, false },
		{ { s, s, 2 * s, true }, true },
	};

	for (const auto &c : cases)
		EXPECT_EQ(brf_stop_may_begin(&c.rq), c.begins)
		    << c.rq.until_exit_us << " " << c.rq.until_deadline_us;
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
