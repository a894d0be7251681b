#ifndef BRF_HTTP_SERVER_IMPL_H
#define BRF_HTTP_SERVER_IMPL_H

#include <h2o.h>

#include "http/linger.h"
#include "http/loop.h"
#include "http/server.h"
#include "http/watch.h"

/**
 * DOC: Interface between server.c, which manages connections, and request.c,
 * which reads and answers requests.
 */

/* h2o uses this as the host when a request has none. */
#define BRF_HTTP_NO_HOST "host.invalid"

/**
 * struct brf_http_conn - one connection of a client.
 * @sock: h2o's view of @tcp; NULL once it is closed
 * @watch: detects that the client closed the connection
 * @link: in the server's @conns
 * @requests: requests that the handler has not answered yet
 * @h2: the last request used HTTP/2
 * @disconnected: the client closed its side of the connection
 * @linger_fd: copy of the descriptor for a lingering close; -1 for none
 */
struct brf_http_conn {
	uv_tcp_t tcp;
	struct brf_http_watch watch;
	struct brf_http_server *server;
	h2o_socket_t *sock;
	struct brf_list link;
	struct brf_list requests;
	bool h2;
	bool disconnected;
	int linger_fd;
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
	size_t writing; /* answers that the kernel has not taken */
	struct brf_http_lingers lingers;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	void (*closed)(void *arg);
	void *closed_arg;
	struct brf_metric *requests;
	struct brf_metric *refused;
	struct brf_metric *disconnected;
	struct brf_metric *connections;
};

BRF_BEGIN_DECLS

/* Shut down the socket; h2o then sees the end of the stream. */
void brf_http_conn_shutdown(struct brf_http_conn *c);

/* The next answer may be the last: prepare a lingering close, since h2o closes
 * its descriptor without notice. */
void brf_http_conn_prepare_linger(struct brf_http_conn *c);

/* Register the server's handler for all requests to @host. */
void brf_http_requests_register(
    struct brf_http_server *server, h2o_hostconf_t *host);

/*
 * The client of @c disconnected: end its HTTP/1 requests and tell the handler
 * in the next loop iteration.
 */
void brf_http_conn_disconnected(struct brf_http_conn *c);

BRF_END_DECLS

#endif
