#ifndef BRF_HTTP_SERVER_IMPL_H
#define BRF_HTTP_SERVER_IMPL_H

#include <h2o.h>

#include "http/loop.h"
#include "http/server.h"
#include "http/watch.h"

/**
 * DOC: What server.c, which keeps connections, and request.c, which reads and
 * answers requests, share.
 */

/* What h2o fills in for an absent host. */
#define BRF_HTTP_NO_HOST "host.invalid"

/**
 * struct brf_http_conn - one connection of a caller.
 * @sock: h2o's view of @tcp; NULL once it is closed
 * @watch: tells the end of the caller's stream
 * @h2: requests came by HTTP/2
 * @gone: the caller closed its side
 * @requests: requests that are with the handler
 */
struct brf_http_conn {
	uv_tcp_t tcp;
	struct brf_http_watch watch;
	struct brf_http_server *server;
	h2o_socket_t *sock;
	struct brf_list link;
	struct brf_list requests;
	bool h2;
	bool gone;
};

struct brf_http_server {
	struct brf_http_loop *hl;
	struct brf_http_handler *handler;
	uv_tcp_t listener;
	bool listening;
	bool stopping;
	bool disposed;
	struct brf_list conns;
	size_t conn_count;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	void (*closed)(void *arg);
	void *closed_arg;
	struct brf_metric *requests;
	struct brf_metric *refused;
	struct brf_metric *gone;
	struct brf_metric *connections;
};

BRF_BEGIN_DECLS

/* End a connection without h2o's help; h2o sees the end of its stream. */
void brf_http_conn_shutdown(struct brf_http_conn *c);

/* Have h2o pass the requests of @host to the server's handler. */
void brf_http_requests_register(
    struct brf_http_server *server, h2o_hostconf_t *host);

/* The caller of @c has gone: end its HTTP/1 requests, tell the handler. */
void brf_http_conn_disconnected(struct brf_http_conn *c);

BRF_END_DECLS

#endif
