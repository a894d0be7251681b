#include <errno.h>
#include <stdlib.h>

#include <arpa/inet.h>

#include "http/call.h"

#define READ_MIN 8192u	 /* least free buffer space per read, bytes */
#define READ_MAX 262144u /* limit of the space reserved for a known length */
#define KEEP_MAX 65536u	 /* larger buffers of idle connections are freed */

/**
 * struct brf_http_pool - connections to one address.
 * @idle: idle connections, the oldest first, so that it is the one in use and
 *	others expire
 * @close_expired: closes connections that are idle for @idle_us
 */
struct brf_http_pool {
	struct brf_http_loop *hl;
	struct sockaddr_storage addr;
	char authority[64];
	struct brf_list idle;
	uint64_t idle_us;
	struct brf_timer close_expired;
};

/**
 * struct brf_http_pool_conn - one connection.
 * @call: NULL while the connection is idle, and once it is closed
 * @link: in the pool's @idle while the connection is idle
 * @input: received bytes that are not consumed yet
 * @opened_at: clock time when it was established
 * @idle_since: time when it became idle, microseconds
 * @writing: part of the request waits for space in the socket buffer
 */
struct brf_http_pool_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct brf_http_pool *pool;
	struct brf_http_call *call;
	struct brf_list link;
	struct brf_buf input;
	uint64_t opened_at;
	uint64_t idle_since;
	bool writing;
};

static void
free_conn(uv_handle_t *handle)
{
	struct brf_http_pool_conn *c =
	    brf_container_of(handle, struct brf_http_pool_conn, tcp);

	brf_buf_free(&c->input);
	free(c);
}

static void
close_conn(struct brf_http_pool_conn *c)
{
	c->call = NULL;
	brf_list_remove(&c->link);
	uv_close((uv_handle_t *)&c->tcp, free_conn);
}

static void
close_expired(struct brf_timer *timer, void *arg)
{
	struct brf_http_pool *pool = arg;
	uint64_t now = brf_now(brf_timers_clock(pool->hl->timers));
	uint64_t left, wait = BRF_TIMER_NONE;
	struct brf_list *l, *next;
	struct brf_http_pool_conn *c;

	brf_list_foreach_safe (l, next, &pool->idle) {
		c = brf_list_entry(l, struct brf_http_pool_conn, link);
		if (now - c->idle_since >= pool->idle_us) {
			close_conn(c);
			continue;
		}
		left = pool->idle_us - (now - c->idle_since);
		if (left < wait)
			wait = left;
	}
	if (wait != BRF_TIMER_NONE)
		brf_timer_start(pool->hl->timers, timer, wait);
}

static void
add_idle(struct brf_http_pool *pool, struct brf_http_pool_conn *c)
{
	struct brf_list *l;

	brf_list_foreach (l, &pool->idle) {
		if (brf_list_entry(l, struct brf_http_pool_conn, link)
			->opened_at > c->opened_at)
			break;
	}
	brf_list_append(l, &c->link); /* before @l */
}

static void
make_idle(struct brf_http_pool_conn *c)
{
	struct brf_http_pool *pool = c->pool;

	if (c->input.cap > KEEP_MAX)
		brf_buf_free(&c->input);
	c->call = NULL;
	c->idle_since = brf_now(brf_timers_clock(pool->hl->timers));
	add_idle(pool, c);
	if (!brf_timer_active(&pool->close_expired))
		brf_timer_start(
		    pool->hl->timers, &pool->close_expired, pool->idle_us);
}

void
brf_http_pool_release(struct brf_http_pool_conn *c, bool reusable)
{
	if (reusable && !c->writing && c->input.len == 0)
		make_idle(c);
	else
		close_conn(c);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct brf_http_pool_conn *c = handle->data;
	size_t space = READ_MIN;

	if (c->call != NULL && c->call->body_left > space)
		space = c->call->body_left < READ_MAX ? c->call->body_left
						      : READ_MAX;
	brf_buf_reserve(&c->input, space);
	buf->base = c->input.data + c->input.len;
	buf->len = c->input.cap - c->input.len - 1;
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct brf_http_pool_conn *c = stream->data;
	struct brf_http_call *call = c->call;

	if (n == 0)
		return;
	if (call == NULL) { /* a close or unexpected data while idle */
		close_conn(c);
		return;
	}
	if (n < 0) {
		brf_http_call_end(
		    call, call->state != BRF_HTTP_CALL_HEAD || c->input.len != 0
			      ? BRF_RUN_BROKEN
			      : BRF_RUN_LOST);
		return;
	}
	c->input.len += (size_t)n;
	c->input.data[c->input.len] = '\0';
	brf_http_call_input(call, &c->input);
}

static void
on_written(uv_write_t *write, int status)
{
	struct brf_http_pool_conn *c =
	    brf_container_of(write, struct brf_http_pool_conn, write);

	c->writing = false; /* on_read() reports errors too */
}

/* Skip the first @n bytes of @bufs. */
static unsigned
skip_written(uv_buf_t *bufs, unsigned count, size_t n)
{
	while (count > 0 && n >= bufs[0].len) {
		n -= bufs[0].len;
		count--;
		memmove(bufs, bufs + 1, count * sizeof(*bufs));
	}
	if (count > 0) {
		bufs[0].base += n;
		bufs[0].len -= n;
	}
	return (count);
}

/*
 * Part of the request was sent and the rest can't be.  After the shutdown
 * on_read() sees the end of the stream and ends the call.
 */
static void
shutdown_conn(struct brf_http_pool_conn *c)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

/* Return: false when nothing could be sent. */
static bool
send_request(struct brf_http_call *call, struct brf_http_pool_conn *c)
{
	struct brf_buf *body = &call->request->body;
	uv_buf_t bufs[2] = { uv_buf_init(
				 call->head.data, (unsigned)call->head.len),
		uv_buf_init(body->data, (unsigned)body->len) };
	unsigned count = body->len != 0 ? 2 : 1;
	int n;

	n = uv_try_write((uv_stream_t *)&c->tcp, bufs, count);
	if (n < 0 && n != UV_EAGAIN)
		return (false);
	call->sent = true;
	call->opened_at = c->opened_at;
	count = skip_written(bufs, count, n > 0 ? (size_t)n : 0);
	if (count == 0)
		return (true);
	c->writing = true;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, bufs, count,
		on_written) != 0)
		shutdown_conn(c);
	return (true);
}

static void
on_connect(uv_connect_t *connect, int status)
{
	struct brf_http_pool_conn *c =
	    brf_container_of(connect, struct brf_http_pool_conn, connect);
	struct brf_http_call *call = c->call;

	if (call == NULL)
		return;
	c->opened_at = brf_now(brf_timers_clock(c->pool->hl->timers));
	uv_tcp_nodelay(&c->tcp, 1);
	if (status != 0 ||
	    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read) != 0 ||
	    !send_request(call, c))
		brf_http_call_end(call, BRF_RUN_NOT_STARTED);
}

static bool
open_conn(struct brf_http_call *call)
{
	struct brf_http_pool *pool = call->pool;
	struct brf_http_pool_conn *c = brf_calloc(1, sizeof(*c));

	c->pool = pool;
	c->call = call;
	c->tcp.data = c;
	brf_list_init(&c->link);
	call->conn = c;
	return (uv_tcp_init(pool->hl->loop, &c->tcp) == 0 &&
		uv_tcp_connect(&c->connect, &c->tcp,
		    (const struct sockaddr *)&pool->addr, on_connect) == 0);
}

/* Whether the socket has neither unread bytes nor the peer's close. */
static bool
is_usable(const struct brf_http_pool_conn *c)
{
	uv_os_fd_t fd;
	char byte;

	return (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0 &&
		recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == -1 &&
		(errno == EAGAIN || errno == EWOULDBLOCK));
}

/* Return: whether the request was sent on an idle connection. */
static bool
reuse_conn(struct brf_http_call *call)
{
	struct brf_http_pool *pool = call->pool;
	struct brf_http_pool_conn *c;

	while (!brf_list_empty(&pool->idle)) {
		c = brf_list_entry(
		    pool->idle.next, struct brf_http_pool_conn, link);
		brf_list_remove(&c->link);
		c->call = call;
		call->conn = c;
		if (is_usable(c) && send_request(call, c))
			return (true);
		call->conn = NULL;
		close_conn(c);
	}
	return (false);
}

bool
brf_http_pool_send(struct brf_http_call *call)
{
	return ((!call->fresh && reuse_conn(call)) || open_conn(call));
}

static void
format_authority(struct brf_http_pool *pool)
{
	const struct sockaddr_in6 *in6 =
	    (const struct sockaddr_in6 *)&pool->addr;
	const struct sockaddr_in *in = (const struct sockaddr_in *)&pool->addr;
	char ip[INET6_ADDRSTRLEN] = "";

	if (pool->addr.ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &in6->sin6_addr, ip, sizeof(ip));
		snprintf(pool->authority, sizeof(pool->authority), "[%s]:%u",
		    ip, ntohs(in6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &in->sin_addr, ip, sizeof(ip));
	snprintf(pool->authority, sizeof(pool->authority), "%s:%u", ip,
	    ntohs(in->sin_port));
}

struct brf_http_pool *
brf_http_pool_new(
    struct brf_http_loop *hl, const struct sockaddr *addr, uint64_t idle_us)
{
	struct brf_http_pool *pool = brf_calloc(1, sizeof(*pool));

	pool->hl = hl;
	pool->idle_us = idle_us;
	memcpy(&pool->addr, addr,
	    addr->sa_family == AF_INET6 ? sizeof(struct sockaddr_in6)
					: sizeof(struct sockaddr_in));
	format_authority(pool);
	brf_list_init(&pool->idle);
	pool->close_expired =
	    (struct brf_timer){ .fire = close_expired, .arg = pool };
	return (pool);
}

void
brf_http_pool_free(struct brf_http_pool *pool)
{
	if (pool == NULL)
		return;
	while (!brf_list_empty(&pool->idle))
		close_conn(brf_list_entry(
		    pool->idle.next, struct brf_http_pool_conn, link));
	brf_timer_stop(pool->hl->timers, &pool->close_expired);
	free(pool);
}

const char *
brf_http_pool_authority(const struct brf_http_pool *pool)
{
	return (pool->authority);
}
