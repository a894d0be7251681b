#ifndef BRF_LEDGER_H
#define BRF_LEDGER_H

#include "base/clock.h"
#include "base/exchange.h"
#include "base/list.h"
#include "policy/token.h"

/**
 * DOC: Record of the non-idempotent work at a node's own target.
 *
 * Two bounded tables hold attempts by id and request tokens by id.  An entry
 * is running, refused or done.  A running entry is kept.  Any other is kept
 * until no copy can arrive any more: for an attempt, its timeout plus
 * BRF_LEDGER_GRACE_US; for a token, until it expires.  No entry is dropped
 * earlier to free space: when a table is full, new work is refused.
 *
 * A refusal is final for a token: no later copy of the request runs, so that
 * its sender may use another token.
 *
 * See docs/at-most-once.md for the cases and the argument.
 */

/* Longest time from when a sender gives up until its last byte arrives. */
#define BRF_LEDGER_GRACE_US (30 * BRF_US_PER_S)

/* Largest answer that is kept for retries of its request, bytes. */
#define BRF_LEDGER_ANSWER_MAX 16384u

/**
 * struct brf_ledger_config - capacity of a ledger.
 * @attempts: most entries for attempts
 * @tokens: most entries for tokens
 * @answer_bytes: most bytes of all kept answers together
 */
struct brf_ledger_config {
	uint32_t attempts;
	uint32_t tokens;
	size_t answer_bytes;
};

/**
 * struct brf_ledger_request - an attempt that has arrived.
 * @attempt: id of the attempt
 * @timeout_us: timeout of the attempt
 * @token: its request token, parsed and valid for this node; NULL for none
 * @checksum: checksum of the request, see brf_message_checksum()
 */
struct brf_ledger_request {
	struct brf_id attempt;
	uint64_t timeout_us;
	const struct brf_token *token;
	uint64_t checksum;
};

/**
 * struct brf_ledger_stats - usage and counters.
 * @attempts: entries for attempts in use
 * @tokens: entries for tokens in use
 * @answer_bytes: bytes of all kept answers
 * @refused_full: requests refused because a table was full
 * @duplicates: requests that were not run since they had an entry already
 */
struct brf_ledger_stats {
	uint32_t attempts;
	uint32_t tokens;
	size_t answer_bytes;
	uint64_t refused_full;
	uint64_t duplicates;
};

struct brf_ledger;

BRF_BEGIN_DECLS

/**
 * brf_ledger_new() - create an empty ledger.
 * @clock: clock by which this node's tokens are minted; must outlive the
 *	ledger
 *
 * Return: never NULL; to be freed with brf_ledger_free().
 */
struct brf_ledger *brf_ledger_new(
    struct brf_clock *clock, const struct brf_ledger_config *config);
void brf_ledger_free(struct brf_ledger *l);

/**
 * brf_ledger_begin() - add @request, unless it is a duplicate.
 * @reply: filled when the result is false; an answer in it is owned by the
 *	ledger and valid until the next call on the ledger
 *
 * Return: true when the request may go on, and brf_ledger_refuse() or
 * brf_ledger_done() must follow; false when it must not run here.
 */
bool brf_ledger_begin(struct brf_ledger *l,
    const struct brf_ledger_request *request, struct brf_reply *reply);

/**
 * brf_ledger_refuse() - refuse an attempt that has not begun at the target.
 * @reason: reason reported to duplicates of @attempt
 *
 * An attempt that has not arrived is recorded too, so that a cancel which
 * overtakes it stays in force.  Its token is not known then and may have been
 * used by another attempt.
 *
 * Return: true when BRF_NOT_RUN may be reported for the request; false when
 * the attempt is done, has not arrived, or could not be recorded.
 */
bool brf_ledger_refuse(
    struct brf_ledger *l, struct brf_id attempt, enum brf_reason reason);

/**
 * brf_ledger_done() - record the end of an attempt that ran at the target.
 * @answer: complete answer, or NULL for none; the ledger takes a reference
 *	when it keeps the answer
 */
void brf_ledger_done(
    struct brf_ledger *l, struct brf_id attempt, struct brf_message *answer);

void brf_ledger_stats(const struct brf_ledger *l, struct brf_ledger_stats *s);

/**
 * brf_token_refusal() - set the reply to a request whose token is rejected.
 * @verdict: why it is rejected; not BRF_TOKEN_VALID
 * @reply: filled
 *
 * A request with a malformed token has never run anywhere: BRF_NOT_RUN.  With
 * the other verdicts an earlier copy may have run, even with a wrong MAC,
 * under another workspace: BRF_UNKNOWN.
 */
void brf_token_refusal(enum brf_token_verdict verdict, struct brf_reply *reply);

BRF_END_DECLS

#endif
