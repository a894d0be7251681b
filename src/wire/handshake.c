#include <endian.h>
#include <stdlib.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "wire/handshake.h"

#define LABEL_SIZE 16

/**
 * struct proof_text - input of a MAC.
 * @identities: of caller and callee: node id and incarnation, network order
 */
struct proof_text {
	char label[LABEL_SIZE];
	unsigned char nonces[2][BRF_XDR_NONCE];
	uint64_t identities[2][3];
};

_Static_assert(sizeof(struct proof_text) ==
		   LABEL_SIZE + 2ul * BRF_XDR_NONCE + 6 * sizeof(uint64_t),
    "the MAC must not cover padding");

static const char *const labels[] = {
	[BRF_HANDSHAKE_CALLER] = "brf caller",
	[BRF_HANDSHAKE_CALLEE] = "brf callee",
};

void
brf_handshake_nonce(
    struct brf_random *random, unsigned char nonce[BRF_XDR_NONCE])
{
	uint64_t words[BRF_XDR_NONCE / sizeof(uint64_t)];
	size_t i;

	for (i = 0; i < brf_nitems(words); i++)
		words[i] = brf_random_next(random);
	memcpy(nonce, words, BRF_XDR_NONCE);
}

static void
encode_identity(uint64_t out[3], const struct brf_peer_identity *identity)
{
	out[0] = htobe64(identity->node.hi);
	out[1] = htobe64(identity->node.lo);
	out[2] = htobe64(identity->incarnation);
}

void
brf_handshake_mac(const struct brf_handshake *h, enum brf_handshake_side side,
    const unsigned char *key, size_t key_len, unsigned char mac[BRF_XDR_MAC])
{
	struct proof_text text = { .label = { 0 } };
	unsigned int len = BRF_XDR_MAC;

	brf_copy_name(text.label, sizeof(text.label), labels[side]);
	memcpy(text.nonces[0], h->caller_nonce, BRF_XDR_NONCE);
	memcpy(text.nonces[1], h->callee_nonce, BRF_XDR_NONCE);
	encode_identity(text.identities[0], &h->caller);
	encode_identity(text.identities[1], &h->callee);
	if (HMAC(EVP_sha256(), key, (int)key_len, (unsigned char *)&text,
		sizeof(text), mac, &len) == NULL)
		abort();
}

bool
brf_handshake_check(const struct brf_handshake *h, enum brf_handshake_side side,
    const unsigned char *key, size_t key_len, const void *mac)
{
	unsigned char want[BRF_XDR_MAC];

	brf_handshake_mac(h, side, key, key_len, want);
	return (CRYPTO_memcmp(want, mac, sizeof(want)) == 0);
}
