#ifndef BRF_LEDGER_H
#define BRF_LEDGER_H

#include "base/clock.h"
#include "base/exchange.h"
#include "base/list.h"
#include "policy/token.h"

/**
 * DOC: What a node remembers of non-idempotent work at its own target.
 *
 * Two bounded tables: attempts by id, and request tokens by id.  An entry is
 * running, refused or done.  Running ones stay; the others stay until no copy
 * can arrive any more: an attempt for its time limit and
 * BRF_LEDGER_GRACE_US, a token until its own end.  Nothing is forgotten
 * earlier to make room: a full table turns new work away.  A refusal is final
 * for a token: no later copy runs, so that its sender may use another one.
 *
 * See docs/at-most-once.md for the cases and the argument.
 */

/* Longest time from a sender's giving up to the arrival of its last byte. */
#define BRF_LEDGER_GRACE_US (30 * BRF_US_PER_S)

/* Longest answer that is kept for a request that is sent again, bytes. */
#define BRF_LEDGER_ANSWER_MAX 16384u

/**
 * struct brf_ledger_config - bounds.
 * @attempts: entries for attempts
 * @tokens: entries for tokens
 * @answer_bytes: bytes of all kept answers
 */
struct brf_ledger_config {
	uint32_t attempts;
	uint32_t tokens;
	size_t answer_bytes;
};

/**
 * struct brf_ledger_request - an attempt that has arrived.
 * @attempt: its id
 * @timeout_us: its time limit
 * @token: parsed and valid for this node, or NULL
 * @checksum: of the request, see brf_message_checksum()
 */
struct brf_ledger_request {
	struct brf_id attempt;
	uint64_t timeout_us;
	const struct brf_token *token;
	uint64_t checksum;
};

/**
 * struct brf_ledger_stats - gauges and counts.
 * @refused_full: requests turned away for want of room
 * @duplicates: requests answered from memory
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
 * brf_ledger_new() - empty memory; @clock must outlive it, and be the one that
 * tokens of this node are minted by.
 */
struct brf_ledger *brf_ledger_new(
    struct brf_clock *clock, const struct brf_ledger_config *config);
void brf_ledger_free(struct brf_ledger *l);

/**
 * brf_ledger_begin() - remember @request, unless it was here before.
 * @reply: filled when it may not go on; an answer in it stays the ledger's
 *	and is valid until its next call
 *
 * Return: true when it may go on: brf_ledger_refuse() or brf_ledger_done()
 * must follow.
 */
bool brf_ledger_begin(struct brf_ledger *l,
    const struct brf_ledger_request *request, struct brf_reply *reply);

/**
 * brf_ledger_refuse() - @attempt has not begun at the target, and shall not.
 *
 * An attempt that never arrived is remembered too, so that a cancel which
 * overtakes it holds; but its token is not known yet, and may have been used
 * by another attempt.
 *
 * Return: whether BRF_NOT_RUN may be said of its request; false when it is
 * done, never arrived, or could not be remembered.
 */
bool brf_ledger_refuse(
    struct brf_ledger *l, struct brf_id attempt, enum brf_reason reason);

/**
 * brf_ledger_done() - @attempt was begun at the target, and has ended.
 * @answer: whole answer, or NULL when there is none; a reference is taken
 *	where it is kept
 */
void brf_ledger_done(
    struct brf_ledger *l, struct brf_id attempt, struct brf_message *answer);

void brf_ledger_stats(const struct brf_ledger *l, struct brf_ledger_stats *s);

/**
 * brf_token_refusal() - how a request ends whose token this node can't use.
 *
 * With BRF_TOKEN_MALFORMED it never ran anywhere; with the others an earlier
 * copy may have, for one with a wrong MAC under another workspace's name.
 */
void brf_token_refusal(enum brf_token_verdict verdict, struct brf_reply *reply);

BRF_END_DECLS

#endif
