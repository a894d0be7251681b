#include <stdlib.h>

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include "base/hex.h"
#include "policy/token.h"

#define PREFIX "t1."
#define PREFIX_LEN 3u
#define WORD_LEN 16u /* hex digits of 64 bits */
#define WORDS 6u
#define BODY_LEN (PREFIX_LEN + WORDS * WORD_LEN)
#define MAC_SIZE 32u

/**
 * struct brf_token_key - MAC context with the key set, reused for each token.
 */
struct brf_token_key {
	EVP_MAC *mac;
	EVP_MAC_CTX *ctx;
};

static const char *const verdict_names[] = {
	[BRF_TOKEN_VALID] = "valid",
	[BRF_TOKEN_MALFORMED] = "malformed",
	[BRF_TOKEN_FORGED] = "forged",
	[BRF_TOKEN_ELSEWHERE] = "elsewhere",
	[BRF_TOKEN_RESTARTED] = "restarted",
	[BRF_TOKEN_EXPIRED] = "expired",
};

struct brf_token_key *
brf_token_key_new(const void *key, size_t len, struct brf_error *err)
{
	struct brf_token_key *k;
	char digest[] = "SHA256";
	OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string(
		    OSSL_MAC_PARAM_DIGEST, digest, 0),
		OSSL_PARAM_construct_end(),
	};

	if (len < BRF_TOKEN_KEY_MIN) {
		brf_error_set(err, BRF_E_KEY, 0,
		    "key has %zu bytes, at least %u needed", len,
		    BRF_TOKEN_KEY_MIN);
		return (NULL);
	}
	k = brf_calloc(1, sizeof(*k));
	k->mac = EVP_MAC_fetch(NULL, "HMAC", NULL);
	k->ctx = EVP_MAC_CTX_new(k->mac);
	if (k->ctx == NULL || EVP_MAC_init(k->ctx, key, len, params) != 1) {
		brf_token_key_free(k);
		brf_error_set(err, BRF_E_KEY, 0, "HMAC-SHA256 not available");
		return (NULL);
	}
	return (k);
}

void
brf_token_key_free(struct brf_token_key *k)
{
	if (k == NULL)
		return;
	EVP_MAC_CTX_free(k->ctx);
	EVP_MAC_free(k->mac);
	free(k);
}

/* The MAC covers the NUL of both names, which keeps them separate. */
static void
compute_mac(struct brf_token_key *k, const char *body,
    const struct brf_token_scope *scope, unsigned char mac[MAC_SIZE])
{
	const unsigned char *service = (const unsigned char *)scope->service;
	const unsigned char *workspace =
	    (const unsigned char *)scope->workspace;
	size_t len;

	if (EVP_MAC_init(k->ctx, NULL, 0, NULL) != 1 ||
	    EVP_MAC_update(k->ctx, (const unsigned char *)body, BODY_LEN) !=
		1 ||
	    EVP_MAC_update(k->ctx, service, strlen(scope->service) + 1) != 1 ||
	    EVP_MAC_update(k->ctx, workspace, strlen(scope->workspace) + 1) !=
		1 ||
	    EVP_MAC_final(k->ctx, mac, &len, MAC_SIZE) != 1 || len != MAC_SIZE)
		abort();
}

static void
put_word(char *out, uint64_t word)
{
	unsigned char bytes[8];
	size_t i;

	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (unsigned char)(word >> (56 - 8 * i));
	brf_hex_write(bytes, sizeof(bytes), out);
}

static bool
get_word(const char *s, uint64_t *word)
{
	unsigned char bytes[8];
	size_t i;

	if (!brf_hex_read(s, bytes, sizeof(bytes)))
		return (false);
	*word = 0;
	for (i = 0; i < sizeof(bytes); i++)
		*word = *word << 8 | bytes[i];
	return (true);
}

static void
write_body(const struct brf_token *t, char *out)
{
	uint64_t words[WORDS] = { t->node.hi, t->node.lo, t->incarnation,
		t->expires, t->id.hi, t->id.lo };
	size_t i;

	memcpy(out, PREFIX, sizeof(PREFIX));
	for (i = 0; i < WORDS; i++)
		put_word(out + PREFIX_LEN + i * WORD_LEN, words[i]);
}

void
brf_token_mint(struct brf_token_key *k, struct brf_id node,
    uint64_t incarnation, const struct brf_token_scope *scope, uint64_t now,
    struct brf_random *random, char out[BRF_TOKEN_SIZE])
{
	struct brf_token token = {
		.node = node,
		.incarnation = incarnation,
		.expires = now + BRF_TOKEN_LIFETIME_US,
		.id = brf_id_new(random),
	};
	unsigned char mac[MAC_SIZE];

	write_body(&token, out);
	compute_mac(k, out, scope, mac);
	brf_hex_write(mac, MAC_SIZE, out + BODY_LEN);
	out[BRF_TOKEN_LEN] = '\0';
}

static bool
read_body(const char *text, struct brf_token *t)
{
	uint64_t words[WORDS];
	size_t i;

	if (strnlen(text, BRF_TOKEN_SIZE) != BRF_TOKEN_LEN ||
	    memcmp(text, PREFIX, PREFIX_LEN) != 0)
		return (false);
	for (i = 0; i < WORDS; i++) {
		if (!get_word(text + PREFIX_LEN + i * WORD_LEN, &words[i]))
			return (false);
	}
	*t = (struct brf_token){
		.node = { .hi = words[0], .lo = words[1] },
		.incarnation = words[2],
		.expires = words[3],
		.id = { .hi = words[4], .lo = words[5] },
	};
	return (true);
}

enum brf_token_verdict
brf_token_parse(struct brf_token_key *k, const char *text,
    const struct brf_token_scope *scope, struct brf_token *token)
{
	unsigned char mac[MAC_SIZE], claimed[MAC_SIZE];

	if (!read_body(text, token) ||
	    !brf_hex_read(text + BODY_LEN, claimed, MAC_SIZE))
		return (BRF_TOKEN_MALFORMED);
	compute_mac(k, text, scope, mac);
	if (CRYPTO_memcmp(mac, claimed, MAC_SIZE) != 0)
		return (BRF_TOKEN_FORGED);
	return (BRF_TOKEN_VALID);
}

enum brf_token_verdict
brf_token_check(const struct brf_token *token, struct brf_id node,
    uint64_t incarnation, uint64_t now)
{
	if (!brf_id_equal(token->node, node))
		return (BRF_TOKEN_ELSEWHERE);
	if (token->incarnation != incarnation)
		return (BRF_TOKEN_RESTARTED);
	if (token->expires <= now ||
	    token->expires - now > BRF_TOKEN_LIFETIME_US)
		return (BRF_TOKEN_EXPIRED);
	return (BRF_TOKEN_VALID);
}

const char *
brf_token_verdict_name(enum brf_token_verdict verdict)
{
	if ((unsigned)verdict >= brf_nitems(verdict_names))
		return ("invalid");
	return (verdict_names[verdict]);
}
