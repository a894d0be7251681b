#include <stdlib.h>

#include <arpa/inet.h>

#include "base/log.h"
#include "link/impl.h"

#define BACKLOG 1024

static void
on_fault(struct brf_conn_set *set, const struct brf_error *err)
{
	struct brf_links *links = brf_container_of(set, struct brf_links, set);
	char labels[64];

	snprintf(
	    labels, sizeof(labels), "error=\"%s\"", brf_error_name(err->code));
	brf_metrics_counter(links->config.metrics, "brf_link_errors_total",
	    "Failures that other nodes caused on links.", labels)
	    ->value++;
	brf_log(BRF_LOG_WARN, "link_fault", BRF_LE(err));
}

struct brf_links *
brf_links_new(const struct brf_links_config *config)
{
	struct brf_links *links = brf_calloc(1, sizeof(*links));
	struct brf_metrics *m = config->metrics;

	links->config = *config;
	brf_conn_set_init(&links->set, config->loop, on_fault);
	brf_list_init(&links->links);
	links->set.connections = brf_metrics_gauge(
	    m, "brf_link_connections", "Connections between nodes.", "");
	links->hops_sent = brf_metrics_counter(
	    m, "brf_link_sent_total", "Hops sent to other nodes.", "");
	links->hops_received = brf_metrics_counter(
	    m, "brf_link_taken_total", "Hops taken from other nodes.", "");
	links->silences = brf_metrics_counter(m, "brf_link_silences_total",
	    "Times that a node with open hops fell silent.", "");
	return (links);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	if (status == 0)
		brf_link_accept(listener->data, listener);
}

static int
bound_port(const uv_tcp_t *tcp, uint16_t *port)
{
	struct sockaddr_in addr;
	int rc, len = sizeof(addr);

	rc = uv_tcp_getsockname(tcp, (struct sockaddr *)&addr, &len);
	if (rc == 0)
		*port = ntohs(addr.sin_port);
	return (rc);
}

bool
brf_links_listen(struct brf_links *links, const struct sockaddr *addr,
    uint16_t *port, struct brf_error *err)
{
	int rc;

	uv_tcp_init(links->config.loop, &links->listener);
	links->listener.data = links;
	links->listening = true;
	links->listener_open = true;
	rc = uv_tcp_bind(&links->listener, addr, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&links->listener, BACKLOG, on_connection);
	if (rc == 0)
		rc = bound_port(&links->listener, port);
	if (rc == 0)
		return (true);
	brf_links_stop(links);
	return (brf_error_set(err, BRF_E_BIND, rc, "links"));
}

static struct brf_link *
find_link(const struct brf_links *links, const struct sockaddr_in *addr)
{
	struct brf_link *link;
	struct brf_list *l;

	brf_list_foreach (l, &links->links) {
		link = brf_list_entry(l, struct brf_link, member);
		if (link->addr.sin_port == addr->sin_port &&
		    link->addr.sin_addr.s_addr == addr->sin_addr.s_addr)
			return (link);
	}
	return (NULL);
}

static void
format_link_name(struct brf_link *link)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &link->addr.sin_addr, ip, sizeof(ip));
	snprintf(link->name, sizeof(link->name), "%s:%u", ip,
	    ntohs(link->addr.sin_port));
}

struct brf_link *
brf_links_get(struct brf_links *links, const struct sockaddr_in *addr)
{
	struct brf_link *link = find_link(links, addr);

	if (link != NULL) {
		link->refs++;
		return (link);
	}
	link = brf_calloc(1, sizeof(*link));
	link->backend.vt = &brf_link_backend_vt;
	link->links = links;
	link->addr = *addr;
	link->refs = 1;
	format_link_name(link);
	brf_list_init(&link->queue);
	brf_list_init(&link->watches);
	brf_list_init(&link->notes);
	brf_list_append(&links->links, &link->member);
	return (link);
}

struct brf_hop_backend *
brf_link_backend(struct brf_link *link)
{
	return (&link->backend);
}

enum brf_link_health
brf_link_health(const struct brf_link *link)
{
	if (link->lc != NULL)
		return (link->lc->silent ? BRF_LINK_SILENT : BRF_LINK_UP);
	if (brf_links_now(link->links) < link->down_until)
		return (BRF_LINK_DOWN);
	return (BRF_LINK_IDLE);
}

void
brf_link_release(struct brf_link *link)
{
	link->refs--;
	brf_link_end_if_unused(link);
}

void
brf_link_end_if_unused(struct brf_link *link)
{
	struct brf_link_conn *lc = link->lc;
	struct brf_error err;

	if (link->refs != 0 || !brf_list_empty(&link->queue))
		return;
	if (lc != NULL && lc->open_streams == 0) {
		brf_error_set(&err, BRF_E_CLOSED, 0, "no longer in use");
		brf_conn_close(&lc->conn, &err); /* calls this again */
	} else if (lc == NULL && link->hops == 0)
		brf_link_free(link);
}

void
brf_link_free(struct brf_link *link)
{
	brf_list_remove(&link->member);
	free(link);
}

void
brf_links_flush(struct brf_links *links)
{
	brf_conn_set_flush(&links->set);
}

size_t
brf_links_served(const struct brf_links *links)
{
	return (links->served);
}

void
brf_links_check_closed(struct brf_links *links)
{
	void (*closed)(void *arg) = links->closed;

	if (!links->closing || links->listener_open ||
	    !brf_list_empty(&links->set.conns) || closed == NULL)
		return;
	links->closed = NULL;
	closed(links->closed_arg);
}

static void
on_listener_closed(uv_handle_t *handle)
{
	struct brf_links *links = handle->data;

	links->listener_open = false;
	brf_links_check_closed(links);
}

void
brf_links_stop(struct brf_links *links)
{
	if (!links->listening)
		return;
	links->listening = false;
	uv_close((uv_handle_t *)&links->listener, on_listener_closed);
}

void
brf_links_close(struct brf_links *links, void (*closed)(void *arg), void *arg)
{
	struct brf_list *l, *next;
	struct brf_error err;

	links->closing = true;
	links->closed = closed;
	links->closed_arg = arg;
	brf_links_stop(links);
	brf_error_set(&err, BRF_E_CLOSED, 0, "stopping");
	brf_list_foreach_safe (l, next, &links->set.conns)
		brf_conn_close(brf_list_entry(l, struct brf_conn, link), &err);
	brf_links_check_closed(links);
}

void
brf_links_free(struct brf_links *links)
{
	struct brf_list *l;

	if (links == NULL)
		return;
	while ((l = brf_list_pop(&links->links)) != NULL)
		brf_link_free(brf_list_entry(l, struct brf_link, member));
	free(links);
}
