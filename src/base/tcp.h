#ifndef BRF_TCP_H
#define BRF_TCP_H

#include <netinet/in.h>

#include <uv.h>

#include "base/base.h"

/**
 * DOC: What all connections of a process share.
 */

#define BRF_TCP_READ 65536u /* bytes asked of the kernel at once */

BRF_BEGIN_DECLS

/**
 * brf_tcp_alloc() - uv_alloc_cb with one buffer of BRF_TCP_READ bytes for all
 * connections; each read uses it up before the next.
 */
void brf_tcp_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf);

/**
 * brf_tcp_bound_unacked() - give the connection up when what was sent stays
 * unacknowledged for @ms milliseconds (TCP_USER_TIMEOUT, RFC 5482).
 */
void brf_tcp_bound_unacked(const uv_tcp_t *tcp, unsigned ms);

/**
 * brf_tcp_parse() - read ADDRESS:PORT with an IPv4 address; port 0 is one.
 */
bool brf_tcp_parse(const char *text, struct sockaddr_in *addr);

BRF_END_DECLS

#endif
