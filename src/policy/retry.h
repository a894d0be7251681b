#ifndef BRF_RETRY_H
#define BRF_RETRY_H

#include "base/clock.h"
#include "base/exchange.h"

#define BRF_RETRY_DELAY_US (4 * BRF_US_PER_MS)	     /* before the first */
#define BRF_RETRY_DELAY_MAX_US (500 * BRF_US_PER_MS) /* before any */

/**
 * DOC: How often a request may be tried again.
 *
 * Two bounds hold together.  The hard one is a number of extra attempts that
 * the root request gets (BRF_RETRIES_MAX) and that is conserved in the whole
 * call tree: a share that goes down with an attempt is taken from the sender,
 * and what is left of it comes back with the reply.  A node that lies about
 * what it used gets no more back than went down.  The soft one is a budget
 * per callee service, a fraction of its recent successes.
 */

/**
 * struct brf_allotment - extra attempts held by one request of a node.
 *
 * For a caller's request it starts with BRF_RETRIES_MAX; for a target's
 * outgoing calls all share the one of the inbound attempt.
 */
struct brf_allotment {
	uint32_t left;
};

/**
 * struct brf_retry_budget - adaptive budget of one callee service.
 */
struct brf_retry_budget {
	double tokens;
	double ratio; /* extra attempts per success */
	double cap;
};

/**
 * enum brf_retry_verdict - what brf_retry_decide() says.
 */
enum brf_retry_verdict {
	BRF_RETRY_YES,
	BRF_RETRY_ANSWERED,  /* there is an answer */
	BRF_RETRY_UNSAFE,    /* it may have run, and is not idempotent */
	BRF_RETRY_POINTLESS, /* the same end is certain */
	BRF_RETRY_NO_ALLOTMENT,
	BRF_RETRY_NO_BUDGET,
	BRF_RETRY_NO_TIME
};

/**
 * struct brf_retry_case - what is known when an attempt has ended.
 * @reply: how it ended
 * @idempotent: by the callee's document
 * @attempts: attempts made so far, at least 1
 * @left_us: time left
 * @expected_us: usual duration of an answer; 0 when not known
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
 * brf_allotment_init() - start with what an attempt brought.
 * @claimed: as the sender says; more than BRF_RETRIES_MAX is not accepted
 */
void brf_allotment_init(struct brf_allotment *a, uint32_t claimed);

/**
 * brf_allotment_split() - take a share of @from for an attempt that goes down.
 *
 * Return: the share, at most half, rounded down, so that the sender keeps
 * some for itself; it is subtracted from @from.
 */
uint32_t brf_allotment_split(struct brf_allotment *from);

/**
 * brf_allotment_return() - take back what came with a reply.
 * @given: what went down with that attempt; more is not accepted
 *
 * Call it once at most for each split: a reply that comes a second time, or
 * after its attempt was written off, brings nothing back.
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
 * brf_retry_budget_init() - @ratio of successes, between 0 and 1.
 */
void brf_retry_budget_init(struct brf_retry_budget *b, double ratio);
void brf_retry_budget_success(struct brf_retry_budget *b);

/**
 * brf_retry_decide() - whether to try again; spends from both when it says
 * BRF_RETRY_YES, and from neither otherwise.
 * @delay_us: filled with BRF_RETRY_YES: wait this long first, with jitter
 */
enum brf_retry_verdict brf_retry_decide(const struct brf_retry_case *c,
    struct brf_allotment *allotment, struct brf_retry_budget *budget,
    struct brf_random *random, uint64_t *delay_us);

/**
 * brf_retry_verdict_name() - stable name for logs and metrics.
 */
const char *brf_retry_verdict_name(enum brf_retry_verdict verdict);

BRF_END_DECLS

#endif
