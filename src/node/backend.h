#ifndef BRF_NODE_BACKEND_H
#define BRF_NODE_BACKEND_H

#include "member/members.h"
#include "wire/peer.h"

BRF_BEGIN_DECLS

/**
 * brf_member_backend() - the backend that forwards attempts to @member.
 *
 * Return: owned by @peers, valid as brf_peers_backend() says.
 */
struct brf_backend *brf_member_backend(
    struct brf_peers *peers, const struct brf_member *member);

BRF_END_DECLS

#endif
