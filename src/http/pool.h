#ifndef BRF_HTTP_POOL_H
#define BRF_HTTP_POOL_H

#include <sys/socket.h>

#include "http/loop.h"

/**
 * DOC: Connection pool for one address; idle connections are kept for reuse.
 * For src/http only.
 */

struct brf_http_call;
struct brf_http_pool;
struct brf_http_pool_conn;

BRF_BEGIN_DECLS

/**
 * brf_http_pool_new() - create a pool for @addr, which is copied.
 * @idle_us: close connections that are idle for this long, microseconds
 *
 * Return: the pool; free it by brf_http_pool_free() when no call is open.
 */
struct brf_http_pool *brf_http_pool_new(
    struct brf_http_loop *hl, const struct sockaddr *addr, uint64_t idle_us);
void brf_http_pool_free(struct brf_http_pool *pool);

/* Return: address and port in the form of a "host" field. */
const char *brf_http_pool_authority(const struct brf_http_pool *pool);

/**
 * brf_http_pool_send() - send a call's head and body on an idle connection or
 * a new one, and pass received bytes to brf_http_call_input().
 *
 * Return: false when no connection can be opened.
 */
bool brf_http_pool_send(struct brf_http_call *call);

/**
 * brf_http_pool_release() - return a connection to the pool.
 * @reusable: the answer was complete and both sides keep the connection alive;
 *	otherwise it is closed
 */
void brf_http_pool_release(struct brf_http_pool_conn *conn, bool reusable);

BRF_END_DECLS

#endif
