#ifndef BRF_HANDSHAKE_H
#define BRF_HANDSHAKE_H

#include "wire/peer.h"
#include "wire/proto.h"

/**
 * DOC: Mutual proof of the fleet key when a connection opens.
 *
 * Caller and callee each choose a nonce.  Each proves that it has the key by an
 * HMAC-SHA256 over its side's label, both nonces, and both identities (node id
 * and incarnation), in network order, the caller's first.  The labels differ,
 * so that a proof can't be reflected to its sender as the other side's.
 */

enum brf_handshake_side {
	BRF_HANDSHAKE_CALLER,
	BRF_HANDSHAKE_CALLEE
};

struct brf_handshake {
	struct brf_peer_identity caller;
	struct brf_peer_identity callee;
	unsigned char caller_nonce[BRF_XDR_NONCE];
	unsigned char callee_nonce[BRF_XDR_NONCE];
};

BRF_BEGIN_DECLS

/**
 * brf_handshake_nonce() - fill @nonce from @random.
 */
void brf_handshake_nonce(
    struct brf_random *random, unsigned char nonce[BRF_XDR_NONCE]);

/**
 * brf_handshake_mac() - compute the proof of @side.
 * @key: fleet key, @key_len bytes
 * @mac: filled
 */
void brf_handshake_mac(const struct brf_handshake *h,
    enum brf_handshake_side side, const unsigned char *key, size_t key_len,
    unsigned char mac[BRF_XDR_MAC]);

/**
 * brf_handshake_check() - verify the proof of @side in constant time.
 * @key: fleet key, @key_len bytes
 * @mac: BRF_XDR_MAC bytes
 *
 * Return: whether @mac is the proof of @side.
 */
bool brf_handshake_check(const struct brf_handshake *h,
    enum brf_handshake_side side, const unsigned char *key, size_t key_len,
    const void *mac);

BRF_END_DECLS

#endif
