#include <stdlib.h>

#include "member/udp.h"

#define HEADER_BYTES 28u /* IPv4 and UDP headers */

/* Receive buffer in bytes, holds the burst of replies to a joining node. */
#define SOCKET_BUFFER (512 * 1024)

struct brf_udp {
	struct brf_datagrams datagrams;
	uv_udp_t handle;
	struct brf_members *members;
	struct brf_metric *sent;
	struct brf_metric *received;
	struct brf_metric *dropped;
	void (*closed)(void *arg);
	void *closed_arg;
	char data[BRF_DATAGRAM_MAX + 1]; /* 1 more to detect longer ones */
};

/* Never blocks: a datagram that the socket does not accept at once is dropped,
 * as the network might do. */
static void
udp_send(struct brf_datagrams *d, const struct sockaddr_in *to,
    const void *data, size_t len)
{
	struct brf_udp *u = brf_container_of(d, struct brf_udp, datagrams);
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned)len);

	/* libuv would open a new socket for a handle that is closing */
	if (uv_is_closing((uv_handle_t *)&u->handle) ||
	    uv_udp_try_send(&u->handle, &buf, 1, (const struct sockaddr *)to) <
		0) {
		u->dropped->value++;
		return;
	}
	u->sent->value += (double)(len + HEADER_BYTES);
}

static const struct brf_datagrams_vt udp_vt = { .send = udp_send };

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct brf_udp *u = handle->data;

	(void)suggested;
	*buf = uv_buf_init(u->data, sizeof(u->data));
}

static void
on_receive(uv_udp_t *handle, ssize_t len, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned flags)
{
	struct brf_udp *u = handle->data;
	const struct sockaddr_in *in = (const struct sockaddr_in *)from;

	(void)flags;
	if (len < 0 || from == NULL || from->sa_family != AF_INET)
		return;
	u->received->value += (double)len + HEADER_BYTES;
	brf_members_receive(u->members, in, buf->base, (size_t)len);
}

static void
init_metrics(struct brf_udp *u, struct brf_metrics *metrics)
{
	static const char help[] =
	    "Bytes of control traffic, IP and UDP headers included.";

	u->datagrams.vt = &udp_vt;
	u->sent = brf_metrics_counter(metrics, "brf_control_bytes_total", help,
	    "channel=\"gossip\",direction=\"sent\"");
	u->received = brf_metrics_counter(metrics, "brf_control_bytes_total",
	    help, "channel=\"gossip\",direction=\"received\"");
	u->dropped = brf_metrics_counter(metrics, "brf_datagrams_unsent_total",
	    "Datagrams the socket refused.", "");
}

static void
on_closed(uv_handle_t *handle)
{
	struct brf_udp *u = handle->data;

	u->closed(u->closed_arg);
}

void
brf_udp_free(struct brf_udp *u)
{
	free(u);
}

static void
free_unbound(void *arg)
{
	brf_udp_free(arg);
}

void
brf_udp_close(struct brf_udp *u, void (*closed)(void *arg), void *arg)
{
	u->closed = closed;
	u->closed_arg = arg;
	uv_close((uv_handle_t *)&u->handle, on_closed);
}

static int
bind_socket(struct brf_udp *u, const struct sockaddr_in *addr,
    struct sockaddr_in *bound)
{
	int len = sizeof(*bound), size = SOCKET_BUFFER, rc;

	rc = uv_udp_bind(&u->handle, (const struct sockaddr *)addr, 0);
	if (rc != 0)
		return (rc);
	(void)uv_recv_buffer_size((uv_handle_t *)&u->handle, &size);
	return (uv_udp_getsockname(&u->handle, (struct sockaddr *)bound, &len));
}

struct brf_udp *
brf_udp_new(uv_loop_t *loop, struct brf_metrics *metrics,
    const struct sockaddr_in *addr, struct sockaddr_in *bound,
    struct brf_error *err)
{
	struct brf_udp *u = brf_calloc(1, sizeof(*u));
	int rc;

	rc = uv_udp_init(loop, &u->handle);
	if (rc != 0) {
		free(u);
		brf_error_set(err, BRF_E_BIND, rc, "create gossip socket");
		return (NULL);
	}
	u->handle.data = u;
	rc = bind_socket(u, addr, bound);
	if (rc != 0) {
		brf_udp_close(u, free_unbound, u);
		brf_error_set(err, BRF_E_BIND, rc, "bind gossip port %u",
		    ntohs(addr->sin_port));
		return (NULL);
	}
	init_metrics(u, metrics);
	return (u);
}

struct brf_datagrams *
brf_udp_datagrams(struct brf_udp *u)
{
	return (&u->datagrams);
}

bool
brf_udp_start(
    struct brf_udp *u, struct brf_members *members, struct brf_error *err)
{
	int rc;

	u->members = members;
	rc = uv_udp_recv_start(&u->handle, on_alloc, on_receive);
	if (rc != 0)
		return (brf_error_set(
		    err, BRF_E_BIND, rc, "receive on gossip socket"));
	return (true);
}
