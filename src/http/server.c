#include <fcntl.h>
#include <stdlib.h>

#include "base/tcp.h"
#include "bulrushford.h"
#include "http/server_impl.h"

/**
 * DOC: Detection of client disconnects.
 *
 * h2o 2.2 doesn't read an HTTP/1 connection while a request is in progress, so
 * watch.h detects the end of the client's stream.  Reading ahead would detect
 * it as well, but h2o keeps pointers into its input buffer, and the pipelined
 * bytes would need a limit; peeking on a timer is late, or costs system calls
 * while nothing happens.  The watch costs one system call per connection and
 * none per request.
 *
 * A client that closes only its sending side counts as disconnected: TCP can't
 * tell it from a full close, HTTP doesn't need half-closed clients, and RFC
 * 9112, section 9.5, asks to respond to a received close promptly.
 *
 * On HTTP/2 h2o keeps reading, and frees the memory pool of a request when the
 * stream or the connection ends; the destructor of struct pool_entry in
 * request.c reports that.
 */

#define LISTEN_BACKLOG 1024
#define REQUEST_TIMEOUT_MS 30000 /* to receive a request; idle time */
#define WRITE_TIMEOUT_MS 30000u	 /* for a client to acknowledge data */
#define KEEPALIVE_S 15		 /* idle time before keep-alive probes */

void
brf_http_conn_shutdown(struct brf_http_conn *c)
{
	if (c->sock != NULL)
		shutdown(h2o_socket_get_fd(c->sock), SHUT_RDWR);
}

void
brf_http_conn_prepare_linger(struct brf_http_conn *c)
{
	int fd;

	if (c->sock == NULL || c->linger_fd != -1)
		return;
	fd = h2o_socket_get_fd(c->sock);
	c->linger_fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (c->linger_fd != -1)
		brf_http_watch_stop(c->server->hl, fd);
}

static void server_try_dispose(struct brf_http_server *server);
static void linger_ended(struct brf_http_lingers *lingers);

static void
conn_closed(uv_handle_t *handle)
{
	struct brf_http_conn *c =
	    brf_container_of(handle, struct brf_http_conn, tcp);
	struct brf_http_server *server = c->server;

	brf_list_remove(&c->link);
	free(c);
	server->conn_count--;
	server->connections->value--;
	server_try_dispose(server);
}

/* Called by h2o when it closes its socket. */
static void
conn_sock_closed(void *arg)
{
	struct brf_http_conn *c = arg;

	c->sock = NULL;
	if (c->linger_fd != -1)
		brf_http_linger_start(&c->server->lingers, c->linger_fd);
}

static void
on_peer_closed(struct brf_http_watch *watch)
{
	struct brf_http_conn *c =
	    brf_container_of(watch, struct brf_http_conn, watch);

	c->disconnected = true;
	brf_http_conn_disconnected(c);
}

static bool
accept_conn(struct brf_http_conn *c, uv_stream_t *listener)
{
	uv_os_fd_t fd;

	return (uv_accept(listener, (uv_stream_t *)&c->tcp) == 0 &&
		uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0 &&
		brf_http_watch_start(c->server->hl, &c->watch, fd));
}

/* Bound how long a client that vanished or doesn't read can hold a request. */
static void
set_socket_options(struct brf_http_conn *c)
{
	uv_tcp_nodelay(&c->tcp, 1);
	uv_tcp_keepalive(&c->tcp, 1, KEEPALIVE_S);
	brf_tcp_bound_unacked(&c->tcp, WRITE_TIMEOUT_MS);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct brf_http_server *server = listener->data;
	struct brf_http_conn *c;

	if (status != 0)
		return;
	c = brf_calloc(1, sizeof(*c));
	c->server = server;
	c->linger_fd = -1;
	c->watch.on_peer_close = on_peer_closed;
	brf_list_init(&c->requests);
	uv_tcp_init(server->hl->loop, &c->tcp);
	brf_list_append(&server->conns, &c->link);
	server->conn_count++;
	server->connections->value++;
	if (!accept_conn(c, listener)) {
		uv_close((uv_handle_t *)&c->tcp, conn_closed);
		return;
	}
	set_socket_options(c);
	c->sock = h2o_uv_socket_create((uv_stream_t *)&c->tcp, conn_closed);
	c->sock->on_close.cb = conn_sock_closed;
	c->sock->on_close.data = c;
	h2o_accept(&server->accept, c->sock);
}

static void
configure_h2o(struct brf_http_server *server)
{
	h2o_hostconf_t *host;

	h2o_config_init(&server->config);
	server->config.server_name = h2o_iovec_init(NULL, 0);
	server->config.max_request_entity_size = BRF_BODY_MAX;
	server->config.http1.req_timeout = REQUEST_TIMEOUT_MS;
	server->config.http2.idle_timeout = REQUEST_TIMEOUT_MS;
	host = h2o_config_register_host(&server->config,
	    h2o_iovec_init(H2O_STRLIT(BRF_HTTP_NO_HOST)), 65535);
	brf_http_requests_register(server, host);
	h2o_context_init(&server->ctx, server->hl->loop, &server->config);
	server->accept.ctx = &server->ctx;
	server->accept.hosts = server->config.hosts;
}

static void
make_metrics(struct brf_http_server *server, const char *name)
{
	struct brf_metrics *m = server->hl->metrics;
	char labels[64];

	snprintf(labels, sizeof(labels), "server=\"%s\"", name);
	server->requests = brf_metrics_counter(m, "brf_http_requests_total",
	    "Requests taken by a handler.", labels);
	server->refused = brf_metrics_counter(m, "brf_http_refused_total",
	    "Requests refused for their form or size.", labels);
	server->disconnected =
	    brf_metrics_counter(m, "brf_http_disconnects_total",
		"Requests whose caller went away before the answer.", labels);
	server->connections = brf_metrics_gauge(
	    m, "brf_http_connections", "Open connections of callers.", labels);
}

static int
start_listening(struct brf_http_server *server, const struct sockaddr *addr)
{
	int rc = uv_tcp_bind(&server->listener, addr, 0);

	if (rc != 0)
		return (rc);
	return (uv_listen(
	    (uv_stream_t *)&server->listener, LISTEN_BACKLOG, on_connection));
}

static uint16_t
listener_port(const struct brf_http_server *server)
{
	struct sockaddr_storage addr = { .ss_family = AF_UNSPEC };
	int len = sizeof(addr);

	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&addr, &len);
	if (addr.ss_family == AF_INET6)
		return (ntohs(((struct sockaddr_in6 *)&addr)->sin6_port));
	return (ntohs(((struct sockaddr_in *)&addr)->sin_port));
}

static void
free_failed(uv_handle_t *listener)
{
	free(listener->data);
}

struct brf_http_server *
brf_http_server_new(struct brf_http_loop *hl, const char *name,
    const struct sockaddr *addr, struct brf_http_handler *handler,
    uint16_t *port, struct brf_error *err)
{
	struct brf_http_server *server = brf_calloc(1, sizeof(*server));
	int rc;

	server->hl = hl;
	server->handler = handler;
	brf_list_init(&server->conns);
	brf_http_lingers_init(&server->lingers, hl, linger_ended);
	uv_tcp_init(hl->loop, &server->listener);
	server->listener.data = server;
	rc = start_listening(server, addr);
	if (rc != 0) {
		uv_close((uv_handle_t *)&server->listener, free_failed);
		brf_error_set(
		    err, BRF_E_BIND, rc, "%s: %s", name, uv_strerror(rc));
		return (NULL);
	}
	server->listening = true;
	*port = listener_port(server);
	make_metrics(server, name);
	configure_h2o(server);
	return (server);
}

/* Whether an HTTP/1 connection has received no byte of a request. */
static bool
is_idle(const struct brf_http_conn *c)
{
	char byte;

	return (brf_list_empty(&c->requests) && c->sock != NULL &&
		c->sock->input->size == 0 &&
		recv(h2o_socket_get_fd(c->sock), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) < 0);
}

void
brf_http_server_stop(struct brf_http_server *server)
{
	struct brf_list *l, *next;
	struct brf_http_conn *c;

	if (server->stopping)
		return;
	server->stopping = true;
	if (server->listening)
		uv_close((uv_handle_t *)&server->listener, NULL);
	server->listening = false;
	h2o_context_request_shutdown(&server->ctx);
	brf_list_foreach_safe (l, next, &server->conns) {
		c = brf_list_entry(l, struct brf_http_conn, link);
		if (!c->h2 && is_idle(c))
			brf_http_conn_shutdown(c);
	}
}

size_t
brf_http_server_connections(const struct brf_http_server *server)
{
	return (server->conn_count);
}

size_t
brf_http_server_unsent(const struct brf_http_server *server)
{
	return (server->writing + server->lingers.count);
}

static void
linger_ended(struct brf_http_lingers *lingers)
{
	server_try_dispose(
	    brf_container_of(lingers, struct brf_http_server, lingers));
}

static void
server_closed(void *arg)
{
	struct brf_http_server *server = arg;

	h2o_config_dispose(&server->config);
	server->closed(server->closed_arg);
}

static void
server_try_dispose(struct brf_http_server *server)
{
	if (server->closed == NULL || server->conn_count != 0 ||
	    server->lingers.count != 0 || server->disposed)
		return;
	server->disposed = true;
	/* h2o leaves this timer running, and asserts that none is */
	if (h2o_timeout_is_linked(
		&server->ctx.http2._graceful_shutdown_timeout))
		h2o_timeout_unlink(
		    &server->ctx.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&server->ctx);
	brf_http_after_close(server->hl, server_closed, server);
}

void
brf_http_server_close(
    struct brf_http_server *server, void (*closed)(void *arg), void *arg)
{
	struct brf_list *l, *next;
	struct brf_http_conn *c;

	server->closed = closed;
	server->closed_arg = arg;
	server->stopping = true;
	if (server->listening)
		uv_close((uv_handle_t *)&server->listener, NULL);
	server->listening = false;
	brf_list_foreach_safe (l, next, &server->conns) {
		c = brf_list_entry(l, struct brf_http_conn, link);
		brf_http_conn_shutdown(c);
	}
	brf_http_lingers_close(&server->lingers);
	server_try_dispose(server);
}

void
brf_http_server_free(struct brf_http_server *server)
{
	free(server);
}
