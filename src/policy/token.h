#ifndef BRF_TOKEN_H
#define BRF_TOKEN_H

#include "base/error.h"
#include "base/random.h"

/**
 * DOC: Request tokens, which make it safe to send a request again.
 *
 * A token names the one node that may run the request and that node's
 * incarnation, has a unique id, and ends at a time on that node's own
 * monotonic clock.  Service and workspace are not in the text but under the
 * MAC (HMAC-SHA256 with the fleet key, RFC 2104), so that a token is good for
 * one of each.  Only the named node judges the end; no time of day and no
 * other clock matters.  See docs/at-most-once.md.
 *
 * Text: "t1." and lower-case hex of node (16 bytes), incarnation (8), end (8),
 * id (16) and MAC (32): BRF_TOKEN_LEN characters, safe in an HTTP field.
 */

#define BRF_TOKEN_LEN 163u
#define BRF_TOKEN_SIZE (BRF_TOKEN_LEN + 1)

/* Life of a token; fixed, so that a later token never ends earlier. */
#define BRF_TOKEN_LIFETIME_US (600 * BRF_US_PER_S)

/* HMAC keys shorter than this are refused, bytes. */
#define BRF_TOKEN_KEY_MIN 16u

/**
 * struct brf_token - what a token says.
 * @node: the node that may run the request
 * @incarnation: of that node's process
 * @expires: on that node's clock, microseconds
 * @id: unique
 */
struct brf_token {
	struct brf_id node;
	uint64_t incarnation;
	uint64_t expires;
	struct brf_id id;
};

/**
 * struct brf_token_scope - what the token is good for.
 */
struct brf_token_scope {
	const char *service;
	const char *workspace;
};

/**
 * enum brf_token_verdict - what brf_token_check() says.
 * @BRF_TOKEN_VALID: it is for this node, and not used up as far as it tells
 * @BRF_TOKEN_MALFORMED: it is no token
 * @BRF_TOKEN_FORGED: wrong MAC, service or workspace
 * @BRF_TOKEN_ELSEWHERE: another node is named
 * @BRF_TOKEN_RESTARTED: an earlier life of this node is named
 * @BRF_TOKEN_EXPIRED: its time is over
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
 * brf_token_key_new() - @len bytes of fleet key.
 *
 * Return: NULL with BRF_E_KEY when it is too short.
 */
struct brf_token_key *brf_token_key_new(
    const void *key, size_t len, struct brf_error *err);
void brf_token_key_free(struct brf_token_key *k);

/**
 * brf_token_mint() - a token for the node @node itself.
 * @now: on that node's clock
 * @out: filled with the text and a NUL
 */
void brf_token_mint(struct brf_token_key *k, struct brf_id node,
    uint64_t incarnation, const struct brf_token_scope *scope, uint64_t now,
    struct brf_random *random, char out[BRF_TOKEN_SIZE]);

/**
 * brf_token_parse() - read @text and check its MAC, on any node.
 *
 * Return: BRF_TOKEN_VALID, BRF_TOKEN_MALFORMED or BRF_TOKEN_FORGED; @token is
 * filled with the first.
 */
enum brf_token_verdict brf_token_parse(struct brf_token_key *k,
    const char *text, const struct brf_token_scope *scope,
    struct brf_token *token);

/**
 * brf_token_check() - whether the node @node may run on @token.
 * @now: on its own clock
 *
 * An end further away than any token that it could have made is taken as
 * expired.
 */
enum brf_token_verdict brf_token_check(const struct brf_token *token,
    struct brf_id node, uint64_t incarnation, uint64_t now);

const char *brf_token_verdict_name(enum brf_token_verdict verdict);

BRF_END_DECLS

#endif
