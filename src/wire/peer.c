#include <stdlib.h>

#include "base/log.h"
#include "wire/client.h"
#include "wire/peers.h"

#define BACKLOG 256

static void
on_prepare(uv_prepare_t *prepare)
{
	struct brf_peers *peers = prepare->data;

	brf_conn_set_flush(&peers->set);
}

static void
on_fault(struct brf_conn_set *set, const struct brf_error *err)
{
	brf_peers_report_fault(
	    brf_container_of(set, struct brf_peers, set), err);
}

struct brf_peers *
brf_peers_new(const struct brf_peers_config *config)
{
	struct brf_peers *peers = brf_calloc(1, sizeof(*peers));

	peers->config = *config;
	brf_conn_set_init(&peers->set, config->loop, on_fault);
	brf_list_init(&peers->backends);
	peers->set.connections = brf_metrics_gauge(config->metrics,
	    "brf_peer_connections", "Connections between nodes.", "");
	peers->calls_sent = brf_metrics_counter(config->metrics,
	    "brf_peer_calls_sent_total", "Calls to other nodes.", "");
	peers->calls_received = brf_metrics_counter(config->metrics,
	    "brf_peer_calls_received_total", "Calls from other nodes.", "");
	uv_prepare_init(config->loop, &peers->prepare);
	peers->prepare.data = peers;
	uv_prepare_start(&peers->prepare, on_prepare);
	uv_unref((uv_handle_t *)&peers->prepare);
	peers->handles = 1;
	return (peers);
}

void
brf_peers_report_fault(struct brf_peers *peers, const struct brf_error *err)
{
	char labels[64];

	snprintf(
	    labels, sizeof(labels), "error=\"%s\"", brf_error_name(err->code));
	brf_metrics_counter(peers->config.metrics, "brf_peer_errors_total",
	    "Failures on connections between nodes.", labels)
	    ->value++;
	brf_log(BRF_LOG_WARN, "peer_fault", BRF_LE(err));
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct brf_peers *peers = listener->data;
	struct brf_error err;

	if (status < 0) {
		brf_error_set(&err, BRF_E_SYSTEM, status, "accept");
		brf_peers_report_fault(peers, &err);
		return;
	}
	brf_server_accept(peers, listener);
}

static int
bound_port(const uv_tcp_t *tcp, uint16_t *port)
{
	struct sockaddr_storage addr;
	int rc, len = sizeof(addr);

	rc = uv_tcp_getsockname(tcp, (struct sockaddr *)&addr, &len);
	if (rc < 0)
		return (rc);
	/* sin_port and sin6_port have the same offset. */
	*port = ntohs(((struct sockaddr_in *)&addr)->sin_port);
	return (0);
}

static void
on_handle_closed(uv_handle_t *handle)
{
	struct brf_peers *peers = handle->data;

	peers->handles--;
	brf_peers_check_closed(peers);
}

bool
brf_peers_listen(struct brf_peers *peers, const struct sockaddr *addr,
    uint16_t *port, struct brf_error *err)
{
	int rc;

	uv_tcp_init(peers->config.loop, &peers->listener);
	peers->listener.data = peers;
	peers->handles++;
	peers->listening = true;
	rc = uv_tcp_bind(&peers->listener, addr, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&peers->listener, BACKLOG, on_connection);
	if (rc == 0)
		rc = bound_port(&peers->listener, port);
	if (rc == 0)
		return (true);
	brf_peers_stop(peers);
	return (brf_error_set(
	    err, BRF_E_BIND, rc, "listener for calls between nodes"));
}

size_t
brf_peers_open_calls(const struct brf_peers *peers)
{
	return (peers->open_calls);
}

void
brf_peers_stop(struct brf_peers *peers)
{
	if (!peers->listening)
		return;
	peers->listening = false;
	uv_close((uv_handle_t *)&peers->listener, on_handle_closed);
}

void
brf_peers_check_closed(struct brf_peers *peers)
{
	void (*closed)(void *arg) = peers->closed;

	if (!peers->closing || peers->handles != 0 || peers->open_calls != 0 ||
	    !brf_list_empty(&peers->set.conns) || closed == NULL)
		return;
	peers->closed = NULL;
	closed(peers->closed_arg);
}

/*
 * A callback may retry a call that ends here.  brf_peer_call_open() fails it
 * then, so that no connection is opened.
 */
static void
close_connections(struct brf_peers *peers)
{
	struct brf_list *l, *tmp;
	struct brf_error err;

	brf_error_set(&err, BRF_E_CLOSED, 0, "stopping");
	brf_list_foreach_safe (l, tmp, &peers->set.conns)
		brf_conn_close(brf_list_entry(l, struct brf_conn, link), &err);
}

void
brf_peers_close(struct brf_peers *peers, void (*closed)(void *arg), void *arg)
{
	peers->closing = true;
	peers->closed = closed;
	peers->closed_arg = arg;
	brf_peers_stop(peers);
	close_connections(peers);
	uv_close((uv_handle_t *)&peers->prepare, on_handle_closed);
}

void
brf_peers_free(struct brf_peers *peers)
{
	if (peers == NULL)
		return;
	brf_client_free_backends(peers);
	free(peers);
}
