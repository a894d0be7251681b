#include "policy/retry.h"

/* Cap of the budget, in successes; it covers a burst of failures. */
#define BUDGET_SUCCESSES 200.0
#define BUDGET_CAP_MIN 10.0
#define RATIO_MAX 1.0

/* Least time that an attempt is expected to take, microseconds. */
#define ATTEMPT_MIN_US 1000ull
#define DOUBLINGS_MAX 16u

/**
 * enum advice - what the reason of a failed attempt says about another one.
 * @ADVICE_POINTLESS: it would end in the same way; the default in the table
 * @ADVICE_BACKOFF: the callee is short of capacity, wait first
 * @ADVICE_AT_ONCE: another target is likely to run it now
 */
enum advice {
	ADVICE_POINTLESS,
	ADVICE_BACKOFF,
	ADVICE_AT_ONCE
};

static const enum advice advice_by_reason[BRF_REASON_COUNT] = {
	[BRF_R_NONE] = ADVICE_BACKOFF,
	[BRF_R_OVERLOAD] = ADVICE_BACKOFF,
	[BRF_R_DEADLINE] = ADVICE_BACKOFF,
	[BRF_R_EXPIRED] = ADVICE_BACKOFF,
	[BRF_R_DRAINING] = ADVICE_AT_ONCE,
	[BRF_R_NO_TARGET] = ADVICE_BACKOFF,
	[BRF_R_NOT_SENT] = ADVICE_AT_ONCE,
	[BRF_R_TARGET_SHED] = ADVICE_BACKOFF,
	[BRF_R_TARGET_DOWN] = ADVICE_AT_ONCE,
	[BRF_R_CONNECTION_LOST] = ADVICE_AT_ONCE,
	[BRF_R_TARGET_LOST] = ADVICE_AT_ONCE,
	[BRF_R_BROKEN_ANSWER] = ADVICE_AT_ONCE,
	[BRF_R_TIMEOUT] = ADVICE_BACKOFF,
};

static const char *const verdict_names[] = {
	[BRF_RETRY_YES] = "yes",
	[BRF_RETRY_ANSWERED] = "answered",
	[BRF_RETRY_UNSAFE] = "unsafe",
	[BRF_RETRY_POINTLESS] = "pointless",
	[BRF_RETRY_NO_ALLOTMENT] = "no_allotment",
	[BRF_RETRY_NO_BUDGET] = "no_budget",
	[BRF_RETRY_NO_TIME] = "no_time",
};

void
brf_allotment_init(struct brf_allotment *a, uint32_t claimed)
{
	a->left = claimed < BRF_RETRIES_MAX ? claimed : BRF_RETRIES_MAX;
}

uint32_t
brf_allotment_split(struct brf_allotment *from)
{
	uint32_t share = from->left / 2;

	from->left -= share;
	return (share);
}

void
brf_allotment_return(
    struct brf_allotment *to, uint32_t given, uint32_t returned)
{
	uint32_t accepted = returned < given ? returned : given;
	uint32_t missing =
	    to->left < BRF_RETRIES_MAX ? BRF_RETRIES_MAX - to->left : 0;

	to->left += accepted < missing ? accepted : missing;
}

bool
brf_allotment_spend(struct brf_allotment *a)
{
	if (a->left == 0)
		return (false);
	a->left--;
	return (true);
}

/* The first comparison is false for NaN, which therefore becomes 0. */
void
brf_retry_budget_init(struct brf_retry_budget *b, double ratio)
{
	b->ratio = ratio > 0 ? ratio : 0;
	if (b->ratio > RATIO_MAX)
		b->ratio = RATIO_MAX;
	b->cap = b->ratio * BUDGET_SUCCESSES;
	if (b->cap < BUDGET_CAP_MIN && b->ratio > 0)
		b->cap = BUDGET_CAP_MIN;
	b->tokens = b->cap;
}

void
brf_retry_budget_success(struct brf_retry_budget *b)
{
	b->tokens += b->ratio;
	if (b->tokens > b->cap)
		b->tokens = b->cap;
}

static enum advice
advice_for(const struct brf_reply *reply)
{
	if ((unsigned)reply->reason >= BRF_REASON_COUNT)
		return (ADVICE_POINTLESS);
	return (advice_by_reason[reply->reason]);
}

static uint64_t
full_delay(enum advice advice, uint32_t attempts)
{
	uint32_t doublings = attempts > 0 ? attempts - 1 : 0;
	uint64_t delay;

	if (advice == ADVICE_AT_ONCE)
		return (0);
	if (doublings > DOUBLINGS_MAX)
		doublings = DOUBLINGS_MAX;
	delay = BRF_RETRY_DELAY_US << doublings;
	return (
	    delay < BRF_RETRY_DELAY_MAX_US ? delay : BRF_RETRY_DELAY_MAX_US);
}

/* A random delay between half and all of the lower of @full and @max. */
static uint64_t
jittered(uint64_t full, uint64_t max, struct brf_random *random)
{
	uint64_t limit = full < max ? full : max;

	if (limit < 2)
		return (limit);
	return (limit / 2 + brf_random_below(random, limit / 2 + 1));
}

enum brf_retry_verdict
brf_retry_decide(const struct brf_retry_case *c,
    struct brf_allotment *allotment, struct brf_retry_budget *budget,
    struct brf_random *random, uint64_t *delay_us)
{
	enum advice advice = advice_for(c->reply);
	uint64_t needed_us =
	    c->expected_us > ATTEMPT_MIN_US ? c->expected_us : ATTEMPT_MIN_US;

	if (c->reply->outcome == BRF_ANSWERED)
		return (BRF_RETRY_ANSWERED);
	if (c->reply->outcome != BRF_NOT_RUN && !c->idempotent)
		return (BRF_RETRY_UNSAFE);
	if (advice == ADVICE_POINTLESS)
		return (BRF_RETRY_POINTLESS);
	if (c->left_us <= needed_us)
		return (BRF_RETRY_NO_TIME);
	if (allotment->left == 0)
		return (BRF_RETRY_NO_ALLOTMENT);
	if (!(budget->tokens >= 1.0))
		return (BRF_RETRY_NO_BUDGET);
	budget->tokens -= 1.0;
	brf_allotment_spend(allotment);
	*delay_us = jittered(
	    full_delay(advice, c->attempts), c->left_us - needed_us, random);
	return (BRF_RETRY_YES);
}

const char *
brf_retry_verdict_name(enum brf_retry_verdict verdict)
{
	if ((unsigned)verdict >= brf_nitems(verdict_names))
		return ("invalid");
	return (verdict_names[verdict]);
}
