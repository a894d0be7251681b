#ifndef BRF_RETRY_H
#define BRF_RETRY_H

#include "base/clock.h"
#include "base/exchange.h"

/* Full delay before the first retry, and the most that it grows to. */
#define BRF_RETRY_DELAY_US (4 * BRF_US_PER_MS)
#define BRF_RETRY_DELAY_MAX_US (500 * BRF_US_PER_MS)

/**
 * DOC: Limits on retries.
 *
 * Two limits apply together.  The hard limit is a number of extra attempts,
 * BRF_RETRIES_MAX per root request, which is conserved in the whole call tree:
 * each attempt carries a share that is subtracted from its sender's, and the
 * unused part of it comes back with the reply.  A node that reports a false
 * number gets no more back than was sent.  The soft limit is a budget per
 * callee service, a fraction of its recent successes.
 */

/**
 * struct brf_allotment - extra attempts that a request may still use.
 *
 * A caller's request starts with BRF_RETRIES_MAX.  All outgoing calls of a
 * target share the allotment of the inbound attempt.
 */
struct brf_allotment {
	uint32_t left;
};

/**
 * struct brf_retry_budget - token bucket for retries at one callee service.
 * @tokens: extra attempts that may be made now
 * @ratio: tokens added per success, 0 to 1
 * @cap: most tokens that are kept
 */
struct brf_retry_budget {
	double tokens;
	double ratio;
	double cap;
};

/**
 * enum brf_retry_verdict - result of brf_retry_decide().
 * @BRF_RETRY_YES: try again
 * @BRF_RETRY_ANSWERED: the attempt was answered
 * @BRF_RETRY_UNSAFE: the attempt may have run and is not idempotent
 * @BRF_RETRY_POINTLESS: another attempt would end in the same way
 * @BRF_RETRY_NO_ALLOTMENT: no extra attempts left for the root request
 * @BRF_RETRY_NO_BUDGET: no tokens left for the callee service
 * @BRF_RETRY_NO_TIME: less time left than an attempt needs
 */
enum brf_retry_verdict {
	BRF_RETRY_YES,
	BRF_RETRY_ANSWERED,
	BRF_RETRY_UNSAFE,
	BRF_RETRY_POINTLESS,
	BRF_RETRY_NO_ALLOTMENT,
	BRF_RETRY_NO_BUDGET,
	BRF_RETRY_NO_TIME
};

/**
 * struct brf_retry_case - an attempt that has ended.
 * @reply: how it ended
 * @idempotent: whether the callee's document declares the call idempotent
 * @attempts: attempts made so far, at least 1
 * @left_us: time until the deadline of the call
 * @expected_us: expected duration of another attempt; 0 when not known
 */
struct brf_retry_case {
	const struct brf_reply *reply;
	bool idempotent;
	uint32_t attempts;
	uint64_t left_us;
	uint64_t expected_us;
};

BRF_BEGIN_DECLS

/**
 * brf_allotment_init() - start with the number that an attempt carries.
 * @claimed: number given by the sender; reduced to BRF_RETRIES_MAX if larger
 */
void brf_allotment_init(struct brf_allotment *a, uint32_t claimed);

/**
 * brf_allotment_split() - take a share of @from for an attempt to be sent.
 *
 * Return: half of @from, rounded down so that the sender keeps some for itself;
 * it is subtracted from @from.
 */
uint32_t brf_allotment_split(struct brf_allotment *from);

/**
 * brf_allotment_return() - add the unused extra attempts that a reply carries.
 * @given: share that was sent with the attempt
 * @returned: number in the reply; reduced to @given if larger
 *
 * Must be called at most once for each split: not for a duplicate reply, nor
 * for one that arrives after its attempt was given up.
 */
void brf_allotment_return(
    struct brf_allotment *to, uint32_t given, uint32_t returned);

/**
 * brf_allotment_spend() - use one extra attempt.
 *
 * Return: false when none is left.
 */
bool brf_allotment_spend(struct brf_allotment *a);

/**
 * brf_retry_budget_init() - start with a full budget.
 * @ratio: extra attempts per success, 0 to 1; other values are clamped, NaN to
 * 0
 */
void brf_retry_budget_init(struct brf_retry_budget *b, double ratio);

/* Report a success of the callee service. */
void brf_retry_budget_success(struct brf_retry_budget *b);

/**
 * brf_retry_decide() - decide whether to make another attempt.
 * @delay_us: with BRF_RETRY_YES, set to the time to wait before it, which
 *	includes jitter
 *
 * Uses one extra attempt of @allotment and one token of @budget with
 * BRF_RETRY_YES, and nothing otherwise.
 */
enum brf_retry_verdict brf_retry_decide(const struct brf_retry_case *c,
    struct brf_allotment *allotment, struct brf_retry_budget *budget,
    struct brf_random *random, uint64_t *delay_us);

/**
 * brf_retry_verdict_name() - name for logs and metrics; does not change.
 */
const char *brf_retry_verdict_name(enum brf_retry_verdict verdict);

BRF_END_DECLS

#endif
