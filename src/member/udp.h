#ifndef BRF_UDP_H
#define BRF_UDP_H

#include <uv.h>

#include "member/members.h"

/**
 * DOC: UDP transport of the membership protocol.
 */

struct brf_udp;

BRF_BEGIN_DECLS

/**
 * brf_udp_new() - create and bind a UDP socket.
 * @addr: address to bind; port 0 lets the kernel choose
 * @bound: filled with the bound address
 *
 * Return: a socket to be closed by brf_udp_close(); NULL with BRF_E_BIND.
 */
struct brf_udp *brf_udp_new(uv_loop_t *loop, struct brf_metrics *metrics,
    const struct sockaddr_in *addr, struct sockaddr_in *bound,
    struct brf_error *err);

/* The sender for brf_members_config.datagrams; owned by @u. */
struct brf_datagrams *brf_udp_datagrams(struct brf_udp *u);

/**
 * brf_udp_start() - pass received datagrams to @members, beginning with those
 * that the socket has queued since it was bound.
 * @members: not owned, outlives the socket
 *
 * Return: false with BRF_E_BIND.
 */
bool brf_udp_start(
    struct brf_udp *u, struct brf_members *members, struct brf_error *err);

/**
 * brf_udp_close() - close the socket; datagrams sent from now on are dropped
 * and counted.
 * @closed: called from the loop once the socket is closed; brf_udp_free() may
 *	be called then
 */
void brf_udp_close(struct brf_udp *u, void (*closed)(void *arg), void *arg);
void brf_udp_free(struct brf_udp *u);

BRF_END_DECLS

#endif
