#ifndef BRF_HTTP_POOL_H
#define BRF_HTTP_POOL_H

#include <sys/socket.h>

#include "http/loop.h"

/**
 * DOC: Connections to one address, kept while unused; for src/http only.
 */

struct brf_http_call;
struct brf_http_pool;
struct brf_http_pool_conn;

BRF_BEGIN_DECLS

/**
 * brf_http_pool_new() - connections to @addr.
 * @idle_us: unused connections are closed after this, microseconds
 *
 * Return: to be given to brf_http_pool_free() when no call is open.
 */
struct brf_http_pool *brf_http_pool_new(
    struct brf_http_loop *hl, const struct sockaddr *addr, uint64_t idle_us);
void brf_http_pool_free(struct brf_http_pool *pool);

/* Address and port as in a "host" field. */
const char *brf_http_pool_authority(const struct brf_http_pool *pool);

/**
 * brf_http_pool_send() - send a call's head and body on a connection that is
 * unused, or on a new one; then pass on what comes in.
 *
 * Return: false when there is no connection to be had.
 */
bool brf_http_pool_send(struct brf_http_call *call);

/**
 * brf_http_pool_release() - give back a connection.
 * @keep: the answer was whole, and both sides keep the connection
 */
void brf_http_pool_release(struct brf_http_pool_conn *conn, bool keep);

BRF_END_DECLS

#endif
