#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <vector>

#include "policy/retry.h"
#include "policy/shed.h"

namespace
{

/* Operations on an allotment, which a test can replace by faulty ones. */
struct allotment_ops {
	uint32_t (*split)(struct brf_allotment *from);
	void (*give_back)(
	    struct brf_allotment *to, uint32_t given, uint32_t returned);
};

const struct allotment_ops real_ops = { brf_allotment_split,
	brf_allotment_return };

uint32_t
faulty_split(struct brf_allotment *from)
{
	return (from->left); /* fault: copied, not moved */
}

void
faulty_return(struct brf_allotment *to, uint32_t given, uint32_t returned)
{
	(void)given;
	to->left += returned; /* fault: the number in the reply is trusted */
}

/*
 * A random call tree.  Each request makes up to three calls, also to services
 * upstream of it.  Calls end in any way; replies are lost or report false
 * numbers.
 */
struct call_tree {
	const struct allotment_ops *ops;
	struct brf_random *random;
	struct brf_retry_budget budget;
	uint32_t extras;

	bool
	one_in(uint32_t n)
	{
		return (brf_random_below(random, n) == 0);
	}

	/* Returns whether another attempt follows. */
	bool
	attempt(struct brf_allotment *a, uint32_t depth, uint32_t number)
	{
		struct brf_reply reply = {};
		struct brf_retry_case c = {};
		uint32_t given = ops->split(a);
		struct brf_allotment child;
		uint64_t delay = 0;

		brf_allotment_init(&child, one_in(8) ? UINT32_MAX : given);
		if (child.left > given)
			child.left = given;
		request(&child, depth + 1);
		/* Only a claim above what was sent can be recognized as false.
		 */
		if (!one_in(3))
			ops->give_back(a, given,
			    child.left == given && one_in(4) ? UINT32_MAX / 2
							     : child.left);
		reply.outcome = (enum brf_outcome)brf_random_below(random, 3);
		reply.reason = BRF_R_OVERLOAD;
		c.reply = &reply;
		c.idempotent = !one_in(3);
		c.attempts = number;
		c.left_us = BRF_US_PER_S;
		if (brf_retry_decide(&c, a, &budget, random, &delay) !=
		    BRF_RETRY_YES)
			return (false);
		extras++;
		return (extras < 1000);
	}

	void
	request(struct brf_allotment *a, uint32_t depth)
	{
		uint64_t calls = depth > 4 ? 0 : brf_random_below(random, 4);

		while (calls-- > 0) {
			uint32_t number = 1;
			while (attempt(a, depth, number))
				number++;
		}
	}
};

/* The extra attempts in the whole tree of one root request are bounded. */
bool
tree_is_bounded(const struct allotment_ops *ops, uint64_t seed)
{
	struct brf_random_seeded random;
	struct call_tree tree = { ops, &random.random, {}, 0 };
	struct brf_allotment root;

	brf_random_seeded_init(&random, seed);
	brf_retry_budget_init(&tree.budget, 1);
	tree.budget.tokens = tree.budget.cap = 1e9;
	brf_allotment_init(&root, BRF_RETRIES_MAX);
	while (tree.attempt(&root, 0, 1))
		continue;
	return (tree.extras <= BRF_RETRIES_MAX);
}

} // namespace

RC_GTEST_PROP(retry, bound_holds_over_whole_call_trees, (uint64_t seed))
{
	RC_ASSERT(tree_is_bounded(&real_ops, seed));
}

TEST(retry, planted_faults_break_the_bound)
{
	const struct allotment_ops faulty[] = {
		{ faulty_split, brf_allotment_return },
		{ brf_allotment_split, faulty_return },
	};

	for (auto &ops : faulty) {
		uint64_t seed = 0;
		while (seed < 1000 && tree_is_bounded(&ops, seed))
			seed++;
		EXPECT_LT(seed, 1000u);
	}
}

TEST(retry, allotment_takes_back_no_more_than_was_sent)
{
	struct brf_allotment a;

	brf_allotment_init(&a, UINT32_MAX);
	EXPECT_EQ(a.left, BRF_RETRIES_MAX);
	EXPECT_EQ(brf_allotment_split(&a), BRF_RETRIES_MAX / 2);
	brf_allotment_return(&a, 1, UINT32_MAX);
	EXPECT_EQ(a.left, BRF_RETRIES_MAX);
	brf_allotment_return(&a, UINT32_MAX, UINT32_MAX);
	EXPECT_EQ(a.left, BRF_RETRIES_MAX);
	while (brf_allotment_spend(&a))
		continue;
	EXPECT_EQ(a.left, 0u);
	EXPECT_EQ(brf_allotment_split(&a), 0u);
}

TEST(retry, decision_table)
{
	const uint64_t S = BRF_US_PER_S;
	const auto YES = BRF_RETRY_YES, UNSAFE = BRF_RETRY_UNSAFE;
	const auto POINTLESS = BRF_RETRY_POINTLESS, LATE = BRF_RETRY_NO_TIME;
	const auto NO_BUDGET = BRF_RETRY_NO_BUDGET;
	struct {
		int outcome, reason; /* also invalid values from a peer */
		bool idempotent;
		uint64_t left_us, expected_us;
		uint32_t allotment;
		double tokens;
		enum brf_retry_verdict want;
	} cases[] = {
		{ BRF_NOT_RUN, BRF_R_OVERLOAD, 0, S, 0, 1, 1, YES },
		{ BRF_NOT_RUN, BRF_R_DRAINING, 0, S, 0, 1, 1, YES },
		{ BRF_UNKNOWN, BRF_R_TARGET_LOST, 1, S, 0, 1, 1, YES },
		{ BRF_UNKNOWN, BRF_R_TARGET_LOST, 0, S, 0, 1, 1, UNSAFE },
		{ 77, BRF_R_OVERLOAD, 0, S, 0, 1, 1, UNSAFE },
		{ BRF_NOT_RUN, 7777, 1, S, 0, 1, 1, POINTLESS },
		{ BRF_ANSWERED, BRF_R_NONE, 1, S, 0, 1, 1, BRF_RETRY_ANSWERED },
		{ BRF_NOT_RUN, BRF_R_MALFORMED, 1, S, 0, 1, 1, POINTLESS },
		{ BRF_NOT_RUN, BRF_R_WORKSPACE_SHARE, 1, S, 0, 1, 1,
		    POINTLESS },
		{ BRF_NOT_RUN, BRF_R_SHED_EARLY, 1, S, 0, 1, 1, POINTLESS },
		{ BRF_UNKNOWN, BRF_R_DUPLICATE, 1, S, 0, 1, 1, POINTLESS },
		{ BRF_NOT_RUN, BRF_R_OVERLOAD, 1, S, S, 1, 1, LATE },
		{ BRF_NOT_RUN, BRF_R_OVERLOAD, 1, 0, 0, 1, 1, LATE },
		{ BRF_NOT_RUN, BRF_R_OVERLOAD, 1, S, UINT64_MAX, 1, 1, LATE },
		{ BRF_NOT_RUN, BRF_R_OVERLOAD, 1, S, 0, 0, 1,
		    BRF_RETRY_NO_ALLOTMENT },
		{ BRF_NOT_RUN, BRF_R_OVERLOAD, 1, S, 0, 1, 0.5, NO_BUDGET },
		{ BRF_NOT_RUN, BRF_R_OVERLOAD, 1, S, 0, 1, NAN, NO_BUDGET },
	};

	for (auto &c : cases) {
		struct brf_random_seeded random;
		struct brf_reply reply = {};
		struct brf_retry_case rc = { &reply, c.idempotent, 1, c.left_us,
			c.expected_us };
		struct brf_allotment a = { c.allotment };
		struct brf_retry_budget b = { c.tokens, 0.1, 10 };
		uint64_t delay = 0;

		brf_random_seeded_init(&random, 1);
		memcpy(&reply.outcome, &c.outcome, sizeof(int));
		memcpy(&reply.reason, &c.reason, sizeof(int));
		EXPECT_EQ(brf_retry_decide(&rc, &a, &b, &random.random, &delay),
		    c.want)
		    << c.outcome << " " << c.reason << " "
		    << brf_retry_verdict_name(c.want);
		EXPECT_EQ(
		    a.left, c.allotment - (c.want == BRF_RETRY_YES ? 1 : 0));
	}
}

RC_GTEST_PROP(retry, delay_leaves_time_for_the_attempt,
    (uint64_t seed, uint16_t slack, uint32_t expected, uint32_t attempts))
{
	uint64_t needed = expected > 1000 ? expected : 1000;
	uint64_t left = needed + 1 + slack;
	struct brf_random_seeded random;
	struct brf_reply reply = {};
	struct brf_retry_case c = { &reply, true, attempts, left, expected };
	struct brf_allotment a = { 1 };
	struct brf_retry_budget b = { 1, 0.1, 10 };
	uint64_t delay = 0;

	brf_random_seeded_init(&random, seed);
	reply.outcome = BRF_NOT_RUN;
	reply.reason = BRF_R_OVERLOAD;
	RC_ASSERT(brf_retry_decide(&c, &a, &b, &random.random, &delay) ==
		  BRF_RETRY_YES);
	RC_ASSERT(delay + expected <= left);
	RC_ASSERT(delay <= BRF_RETRY_DELAY_MAX_US);
}

RC_GTEST_PROP(retry, budget_is_a_share_of_successes, (uint16_t successes))
{
	struct brf_random_seeded random;
	struct brf_reply reply = {};
	struct brf_retry_case c = { &reply, true, 1, BRF_US_PER_S, 0 };
	struct brf_retry_budget b;
	struct brf_allotment a = { 0 };
	double spent = 0, first;
	uint64_t delay;

	brf_random_seeded_init(&random, 1);
	brf_retry_budget_init(&b, 0.1);
	first = b.tokens;
	reply.outcome = BRF_NOT_RUN;
	reply.reason = BRF_R_OVERLOAD;
	for (uint32_t i = 0; i < successes; i++) {
		brf_retry_budget_success(&b);
		for (a.left = 2; brf_retry_decide(&c, &a, &b, &random.random,
				     &delay) == BRF_RETRY_YES;)
			spent++;
	}
	RC_ASSERT(spent <= first + 0.1 * successes + 1e-6);
	brf_retry_budget_init(&b, NAN);
	RC_ASSERT(b.tokens == 0);
}

TEST(shed, level_expires_and_is_probed)
{
	struct brf_shed s = {};
	struct brf_level level = { 1024, 0, 0, 0 };
	const uint64_t now = 7 * BRF_US_PER_S;
	uint32_t passed = 0;

	EXPECT_EQ(brf_shed_check(&s, BRF_RANK_END - 1, now), BRF_SHED_ADMIT);
	brf_shed_update(&s, &level, now);
	EXPECT_EQ(brf_shed_check(&s, 1023, now), BRF_SHED_ADMIT);
	for (uint32_t i = 0; i < 10 * BRF_SHED_PROBE; i++)
		passed += brf_shed_check(&s, 1024, now) != BRF_SHED_REFUSE;
	EXPECT_EQ(passed, 10u);
	EXPECT_GT(
	    brf_shed_cutoff(&s, now + BRF_SHED_LEVEL_MAX_AGE_US / 2), 2000u);
	EXPECT_EQ(
	    brf_shed_cutoff(&s, now + BRF_SHED_LEVEL_MAX_AGE_US), BRF_RANK_END);
	EXPECT_EQ(brf_shed_cutoff(&s, now + 9 * BRF_SHED_LEVEL_MAX_AGE_US),
	    BRF_RANK_END);
	level.cut = 0;
	brf_shed_update(&s, &level, now - 1);
	EXPECT_EQ(brf_shed_cutoff(&s, now), 1024u)
	    << "an older level is ignored";
	level.cut = UINT32_MAX;
	brf_shed_update(&s, &level, now);
	EXPECT_EQ(brf_shed_cutoff(&s, now), BRF_RANK_END);
}
