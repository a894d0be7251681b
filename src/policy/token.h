#ifndef BRF_TOKEN_H
#define BRF_TOKEN_H

#include "base/error.h"
#include "base/random.h"

/**
 * DOC: Request tokens, which make it safe to send a request again.
 *
 * A token names the one node that may run the request and the incarnation of
 * that node, has a unique id, and expires at a time on that node's own
 * monotonic clock.  Only the named node checks the expiry; no wall-clock time
 * and no other clock is involved.
 *
 * Service and workspace are not in the text, but the MAC (HMAC-SHA256 with the
 * fleet key, RFC 2104) covers them, so that a token is valid for one of each.
 * See docs/at-most-once.md.
 *
 * Text: "t1." and lower-case hex of node (16 bytes), incarnation (8), expiry
 * (8), id (16) and MAC (32): BRF_TOKEN_LEN characters, safe in an HTTP field.
 */

#define BRF_TOKEN_LEN 163u
#define BRF_TOKEN_SIZE (BRF_TOKEN_LEN + 1)

/* Lifetime of a token; fixed, so that a later token never expires earlier. */
#define BRF_TOKEN_LIFETIME_US (600 * BRF_US_PER_S)

/* Least length of the fleet key, bytes. */
#define BRF_TOKEN_KEY_MIN 16u

/**
 * struct brf_token - content of a token.
 * @node: the node that may run the request
 * @incarnation: incarnation of that node
 * @expires: time on that node's clock, microseconds
 * @id: unique id of the token
 */
struct brf_token {
	struct brf_id node;
	uint64_t incarnation;
	uint64_t expires;
	struct brf_id id;
};

/**
 * struct brf_token_scope - service and workspace that a token is valid for.
 */
struct brf_token_scope {
	const char *service;
	const char *workspace;
};

/**
 * enum brf_token_verdict - result of brf_token_parse() and brf_token_check().
 * @BRF_TOKEN_VALID: no fault found; whether the token was used before is for
 *	the ledger to tell
 * @BRF_TOKEN_MALFORMED: the text is not a token
 * @BRF_TOKEN_FORGED: wrong MAC, service or workspace
 * @BRF_TOKEN_ELSEWHERE: another node is named
 * @BRF_TOKEN_RESTARTED: another incarnation of this node is named
 * @BRF_TOKEN_EXPIRED: the token has expired
 */
enum brf_token_verdict {
	BRF_TOKEN_VALID,
	BRF_TOKEN_MALFORMED,
	BRF_TOKEN_FORGED,
	BRF_TOKEN_ELSEWHERE,
	BRF_TOKEN_RESTARTED,
	BRF_TOKEN_EXPIRED
};

struct brf_token_key;

BRF_BEGIN_DECLS

/**
 * brf_token_key_new() - prepare the fleet key for minting and parsing.
 * @key: @len bytes, which are copied
 *
 * Return: to be freed with brf_token_key_free(); NULL with BRF_E_KEY when the
 * key is shorter than BRF_TOKEN_KEY_MIN or HMAC-SHA256 is not available.
 */
struct brf_token_key *brf_token_key_new(
    const void *key, size_t len, struct brf_error *err);
void brf_token_key_free(struct brf_token_key *k);

/**
 * brf_token_mint() - create a token that lets the calling node run a request.
 * @node: the calling node
 * @incarnation: its incarnation
 * @now: time on its clock
 * @out: filled with the text and a NUL
 */
void brf_token_mint(struct brf_token_key *k, struct brf_id node,
    uint64_t incarnation, const struct brf_token_scope *scope, uint64_t now,
    struct brf_random *random, char out[BRF_TOKEN_SIZE]);

/**
 * brf_token_parse() - parse @text and check its MAC; works on any node.
 * @scope: service and workspace of the request
 * @token: filled when the result is BRF_TOKEN_VALID
 *
 * Return: BRF_TOKEN_VALID, BRF_TOKEN_MALFORMED or BRF_TOKEN_FORGED.
 */
enum brf_token_verdict brf_token_parse(struct brf_token_key *k,
    const char *text, const struct brf_token_scope *scope,
    struct brf_token *token);

/**
 * brf_token_check() - check whether @token lets the calling node run a request.
 * @node: the calling node
 * @incarnation: its incarnation
 * @now: time on its clock
 *
 * A token that expires later than any that the node can have minted counts as
 * expired.
 *
 * Return: any verdict but BRF_TOKEN_MALFORMED and BRF_TOKEN_FORGED.
 */
enum brf_token_verdict brf_token_check(const struct brf_token *token,
    struct brf_id node, uint64_t incarnation, uint64_t now);

/* Return: name of @verdict; "invalid" for an unknown one. */
const char *brf_token_verdict_name(enum brf_token_verdict verdict);

BRF_END_DECLS

#endif
