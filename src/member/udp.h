#ifndef BRF_UDP_H
#define BRF_UDP_H

#include <uv.h>

#include "member/members.h"

/**
 * DOC: Datagrams of the membership protocol over a UDP socket.
 */

struct brf_udp;

BRF_BEGIN_DECLS

/**
 * brf_udp_new() - bind a socket.
 * @addr: address to bind; port 0 lets the kernel choose
 * @bound: filled with the address in use
 *
 * Return: NULL with BRF_E_BIND.
 */
struct brf_udp *brf_udp_new(uv_loop_t *loop, struct brf_metrics *metrics,
    const struct sockaddr_in *addr, struct sockaddr_in *bound,
    struct brf_error *err);

/* What brf_members_config.datagrams takes; owned by @u. */
struct brf_datagrams *brf_udp_datagrams(struct brf_udp *u);

/* Begin to receive for @members; bytes that wait in the socket come first. */
bool brf_udp_start(
    struct brf_udp *u, struct brf_members *members, struct brf_error *err);

/**
 * brf_udp_close() - close the socket; what is sent from now on is dropped.
 * @closed: called from the loop when this is done; brf_udp_free() follows
 */
void brf_udp_close(struct brf_udp *u, void (*closed)(void *arg), void *arg);
void brf_udp_free(struct brf_udp *u);

BRF_END_DECLS

#endif
