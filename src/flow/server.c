#include <stdlib.h>

#include <arpa/inet.h>

#include "flow/server_impl.h"

#define LISTEN_BACKLOG 1024

static const char *const end_names[BRF_FLOW_END_COUNT] = {
	[BRF_FLOW_SENT] = "sent",
	[BRF_FLOW_DISCONNECTED] = "disconnected",
	[BRF_FLOW_REFUSED] = "refused",
	[BRF_FLOW_BROKEN] = "broken",
	[BRF_FLOW_EARLIER_BROKEN] = "earlier_broken",
	[BRF_FLOW_BEHIND_CLOSE] = "behind_close",
	[BRF_FLOW_ABORTED] = "aborted",
};

static void
make_metrics(struct brf_flow_server *server)
{
	struct brf_metrics *m = server->config.metrics;
	char labels[64];
	int end;

	snprintf(labels, sizeof(labels), "server=\"%s\"", server->config.name);
	server->requests = brf_metrics_counter(m, "brf_http_requests_total",
	    "Requests taken by a handler.", labels);
	server->refused = brf_metrics_counter(m, "brf_http_refused_total",
	    "Requests refused for their form or size.", labels);
	server->connections = brf_metrics_gauge(
	    m, "brf_http_connections", "Open connections of callers.", labels);
	for (end = BRF_FLOW_BROKEN; end < BRF_FLOW_END_COUNT; end++) {
		snprintf(labels, sizeof(labels), "server=\"%s\",why=\"%s\"",
		    server->config.name, end_names[end]);
		server->unanswered[end] = brf_metrics_counter(m,
		    "brf_http_unanswered_total",
		    "Requests taken by a handler whose connection was closed "
		    "without a complete answer.",
		    labels);
	}
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct brf_flow_server *server = listener->data;

	if (status == 0)
		brf_flow_conn_accept(server, listener);
}

static uint16_t
bound_port(const uv_tcp_t *tcp)
{
	struct sockaddr_storage addr = { .ss_family = AF_UNSPEC };
	int len = sizeof(addr);

	uv_tcp_getsockname(tcp, (struct sockaddr *)&addr, &len);
	/* sockaddr_in and sockaddr_in6 have the port at the same offset */
	return (ntohs(((struct sockaddr_in *)&addr)->sin_port));
}

static void
free_failed(uv_handle_t *listener)
{
	free(listener->data);
}

struct brf_flow_server *
brf_flow_server_new(const struct brf_flow_server_config *config,
    const struct sockaddr *addr, uint16_t *port, struct brf_error *err)
{
	struct brf_flow_server *server = brf_calloc(1, sizeof(*server));
	int rc;

	server->config = *config;
	brf_list_init(&server->conns);
	uv_tcp_init(config->loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
		    on_connection);
	if (rc != 0) {
		uv_close((uv_handle_t *)&server->listener, free_failed);
		brf_error_set(err, BRF_E_BIND, rc, "%s", config->name);
		return (NULL);
	}
	server->listening = true;
	*port = bound_port(&server->listener);
	make_metrics(server);
	return (server);
}

void
brf_flow_drain(struct brf_flow_server *server)
{
	server->draining = true;
}

size_t
brf_flow_open_requests(const struct brf_flow_server *server)
{
	return (server->open);
}

size_t
brf_flow_unsent(const struct brf_flow_server *server)
{
	struct brf_list *l;
	size_t count = 0;

	brf_list_foreach (l, &server->conns)
		count += brf_writer_pending(
			     &brf_list_entry(l, struct brf_flow_conn, link)
				  ->writer) != 0;
	return (count);
}

void
brf_flow_check_closed(struct brf_flow_server *server)
{
	void (*closed)(void *arg) = server->closed;

	if (!server->closing || !server->listener_closed ||
	    server->conn_count != 0 || closed == NULL)
		return;
	server->closed = NULL;
	closed(server->closed_arg);
}

static void
on_listener_closed(uv_handle_t *handle)
{
	struct brf_flow_server *server = handle->data;

	server->listener_closed = true;
	brf_flow_check_closed(server);
}

void
brf_flow_server_close(
    struct brf_flow_server *server, void (*closed)(void *arg), void *arg)
{
	struct brf_list *l, *next;

	server->closing = true;
	server->closed = closed;
	server->closed_arg = arg;
	if (server->listening)
		uv_close((uv_handle_t *)&server->listener, on_listener_closed);
	server->listening = false;
	brf_list_foreach_safe (l, next, &server->conns)
		brf_flow_conn_close(
		    brf_list_entry(l, struct brf_flow_conn, link),
		    BRF_FLOW_ABORTED);
}

void
brf_flow_server_free(struct brf_flow_server *server)
{
	free(server);
}
