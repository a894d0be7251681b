#include <errno.h>
#include <stdlib.h>

#include <arpa/inet.h>

#include "bulrushford.h"
#include "http/call.h"
#include "http/fields.h"

#define FIELDS_MAX 128	 /* hop-by-hop ones included */
#define HEAD_MAX 65536u	 /* bytes of an answer's head before it is parsed */
#define READ_MIN 8192u	 /* bytes of room for each read */
#define READ_MAX 262144u /* likewise */
#define KEEP_MAX 65536u	 /* larger buffers of idle connections are freed */

/**
 * struct brf_http_pool - connections to one address.
 * @idle: unused ones, the last used first
 * @sweep: closes those that are unused for @idle_us
 */
struct brf_http_pool {
	struct brf_http_loop *hl;
	struct sockaddr_storage addr;
	char authority[64];
	struct brf_list idle;
	uint64_t idle_us;
	struct brf_timer sweep;
};

/**
 * struct call_conn - one connection.
 * @call: NULL while it is unused, and once it is closed
 * @writing: a part of the request waits for room in the socket
 */
struct call_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct brf_http_pool *pool;
	struct brf_http_call *call;
	struct brf_list link;
	struct brf_buf input;
	uint64_t idle_since;
	bool writing;
};

static void
free_conn(uv_handle_t *handle)
{
	struct call_conn *c = brf_container_of(handle, struct call_conn, tcp);

	brf_buf_free(&c->input);
	free(c);
}

static void
close_conn(struct call_conn *c)
{
	c->call = NULL;
	brf_list_remove(&c->link);
	uv_close((uv_handle_t *)&c->tcp, free_conn);
}

static void
sweep(struct brf_timer *timer, void *arg)
{
	struct brf_http_pool *pool = arg;
	uint64_t now = brf_now(brf_timers_clock(pool->hl->timers));
	struct call_conn *c;

	while (!brf_list_empty(&pool->idle)) {
		c = brf_list_entry(pool->idle.prev, struct call_conn, link);
		if (now - c->idle_since < pool->idle_us) {
			brf_timer_start(pool->hl->timers, timer,
			    pool->idle_us - (now - c->idle_since));
			return;
		}
		close_conn(c);
	}
}

static void
keep_conn(struct call_conn *c)
{
	struct brf_http_pool *pool = c->pool;

	if (c->input.cap > KEEP_MAX)
		brf_buf_free(&c->input);
	c->call = NULL;
	c->idle_since = brf_now(brf_timers_clock(pool->hl->timers));
	brf_list_prepend(&pool->idle, &c->link);
	if (!brf_timer_active(&pool->sweep))
		brf_timer_start(pool->hl->timers, &pool->sweep, pool->idle_us);
}

/*
 * The connection goes first, so that a call which the owner starts in @done
 * finds it in the pool.  The owner may free the call in @done.
 */
static void
end(struct brf_http_call *call, enum brf_run_end how)
{
	struct brf_message *answer = call->answer, *request = call->request;
	struct call_conn *c = call->conn;

	call->conn = NULL;
	if (c != NULL && how == BRF_RUN_ANSWERED && call->keep && !c->writing &&
	    c->input.len == 0)
		keep_conn(c);
	else if (c != NULL)
		close_conn(c);
	brf_buf_free(&call->head);
	call->done(call, how);
	brf_message_unref(answer);
	brf_message_unref(request);
}

/* Return: false when the call has ended in it. */
static bool
add_body(struct brf_http_call *call, const char *data, size_t len)
{
	if (len == 0)
		return (true);
	if (call->chunk != NULL) {
		call->in_chunk = true;
		call->chunk(call, data, len);
		call->in_chunk = false;
		if (!call->cancelled)
			return (true);
		end(call, BRF_RUN_CANCELLED);
		return (false);
	}
	if (len > call->body_max - call->answer->body.len) {
		end(call, BRF_RUN_TOO_LARGE);
		return (false);
	}
	brf_buf_add(&call->answer->body, data, len);
	return (true);
}

static void
read_length_body(struct brf_http_call *call, struct brf_buf *in)
{
	size_t len = in->len < call->missing ? in->len : call->missing;

	if (!add_body(call, in->data, len))
		return;
	brf_buf_consume(in, len);
	call->missing -= len;
	if (call->missing == 0)
		end(call, BRF_RUN_ANSWERED);
}

static void
read_chunked_body(struct brf_http_call *call, struct brf_buf *in)
{
	size_t len = in->len;
	ssize_t rest = phr_decode_chunked(&call->decoder, in->data, &len);

	if (rest == -1) {
		end(call, BRF_RUN_BROKEN);
		return;
	}
	if (!add_body(call, in->data, len))
		return;
	brf_buf_clear(in);
	if (rest == -2)
		return;
	if (rest != 0)
		call->keep = false; /* bytes that belong to no call */
	end(call, BRF_RUN_ANSWERED);
}

struct framing {
	bool chunked;
	bool has_length;
	uint64_t length;
};

static bool
parse_length(const struct phr_header *field, uint64_t *length)
{
	size_t i;

	*length = 0;
	for (i = 0; i < field->value_len; i++) {
		if (field->value[i] < '0' || field->value[i] > '9' || i == 18)
			return (false);
		*length = *length * 10 + (uint64_t)(field->value[i] - '0');
	}
	return (i != 0);
}

/* Return: false when the fields contradict each other. */
static bool
read_framing(const struct phr_header *fields, size_t count, struct framing *f)
{
	uint64_t length;
	size_t i;

	*f = (struct framing){ .chunked = false };
	for (i = 0; i < count; i++) {
		if (brf_http_field_is(&fields[i], "transfer-encoding")) {
			if (f->chunked ||
			    !brf_http_fields_name(&fields[i], 1,
				"transfer-encoding", "chunked", 7) ||
			    fields[i].value_len != 7)
				return (false);
			f->chunked = true;
		}
		if (!brf_http_field_is(&fields[i], "content-length"))
			continue;
		if (!parse_length(&fields[i], &length) ||
		    (f->has_length && f->length != length))
			return (false);
		f->has_length = true;
		f->length = length;
	}
	return (!(f->chunked && f->has_length));
}

static bool
has_no_body(const struct brf_http_call *call, int status)
{
	return (status == 204 || status == 304 ||
		strcmp(call->request->method, "HEAD") == 0);
}

/* Choose how the body is read; BRF_RUN_ANSWERED lets it go on. */
static enum brf_run_end
begin_body(struct brf_http_call *call, int status, const struct framing *f)
{
	if (has_no_body(call, status)) {
		call->state = BRF_HTTP_CALL_LENGTH;
		return (BRF_RUN_ANSWERED);
	}
	if (f->chunked) {
		call->state = BRF_HTTP_CALL_CHUNKED;
		call->decoder.consume_trailer = 1;
		return (BRF_RUN_ANSWERED);
	}
	if (!f->has_length)
		return (BRF_RUN_BROKEN);
	call->state = BRF_HTTP_CALL_LENGTH;
	call->missing = f->length;
	if (call->chunk != NULL)
		return (BRF_RUN_ANSWERED);
	if (f->length > call->body_max)
		return (BRF_RUN_TOO_LARGE);
	brf_buf_reserve(&call->answer->body, f->length);
	return (BRF_RUN_ANSWERED);
}

static enum brf_run_end
take_head(struct brf_http_call *call, int minor_version, int status,
    const struct phr_header *fields, size_t count)
{
	struct brf_error err = { .code = BRF_OK };
	struct framing f;

	if (status < 200 || status > 599 || !read_framing(fields, count, &f))
		return (BRF_RUN_BROKEN);
	call->answer->status = status;
	call->keep = minor_version >= 1 && !brf_http_fields_name(fields, count,
					       "connection", "close", 5);
	if (!brf_http_fields_take(call->answer, fields, count, &err))
		return (err.code == BRF_E_TOO_LARGE ? BRF_RUN_TOO_LARGE
						    : BRF_RUN_BROKEN);
	return (begin_body(call, status, &f));
}

/* Return: whether the head was there and the call goes on. */
static bool
read_head(struct brf_http_call *call, struct brf_buf *in)
{
	struct phr_header fields[FIELDS_MAX];
	size_t count = FIELDS_MAX, msg_len;
	int minor_version, status, len;
	enum brf_run_end how = BRF_RUN_ANSWERED;
	const char *msg;

	len = phr_parse_response(in->data, in->len, &minor_version, &status,
	    &msg, &msg_len, fields, &count, call->parsed);
	call->parsed = in->len;
	if (len == -2 && in->len <= HEAD_MAX)
		return (false);
	if (len == -2)
		how = BRF_RUN_TOO_LARGE;
	else if (len == -1)
		how = BRF_RUN_BROKEN;
	else if (status < 100 || status > 199 || status == 101)
		how = take_head(call, minor_version, status, fields, count);
	if (how != BRF_RUN_ANSWERED) {
		end(call, how);
		return (false);
	}
	brf_buf_consume(in, (size_t)len);
	call->parsed = 0;
	return (true);
}

static void
read_answer(struct brf_http_call *call, struct brf_buf *in)
{
	while (
	    call->state == BRF_HTTP_CALL_HEAD) { /* interim ones may precede */
		if (in->len == 0 || !read_head(call, in))
			return;
	}
	if (call->state == BRF_HTTP_CALL_LENGTH)
		read_length_body(call, in);
	else if (in->len != 0)
		read_chunked_body(call, in);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct call_conn *c = handle->data;
	size_t room = READ_MIN;

	if (c->call != NULL && c->call->missing > room)
		room =
		    c->call->missing < READ_MAX ? c->call->missing : READ_MAX;
	brf_buf_reserve(&c->input, room);
	buf->base = c->input.data + c->input.len;
	buf->len = c->input.cap - c->input.len - 1;
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct call_conn *c = stream->data;
	struct brf_http_call *call = c->call;

	if (n == 0)
		return;
	if (call == NULL) { /* closed, or bytes that belong to no call */
		close_conn(c);
		return;
	}
	if (n < 0) {
		end(call, call->state != BRF_HTTP_CALL_HEAD || c->input.len != 0
			      ? BRF_RUN_BROKEN
			      : BRF_RUN_LOST);
		return;
	}
	c->input.len += (size_t)n;
	c->input.data[c->input.len] = '\0';
	read_answer(call, &c->input);
}

static void
on_written(uv_write_t *write, int status)
{
	struct call_conn *c = brf_container_of(write, struct call_conn, write);

	c->writing = false; /* an error shows in on_read() as well */
}

/* Skip the first @n bytes of @bufs. */
static unsigned
skip(uv_buf_t *bufs, unsigned count, size_t n)
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

/* A part of the request is out and the rest can't follow: have it lost. */
static void
break_conn(struct call_conn *c)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

/* Return: false when nothing could be sent. */
static bool
send_request(struct brf_http_call *call, struct call_conn *c)
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
	count = skip(bufs, count, n > 0 ? (size_t)n : 0);
	if (count == 0)
		return (true);
	c->writing = true;
	if (uv_write(&c->write, (uv_stream_t *)&c->tcp, bufs, count,
		on_written) != 0)
		break_conn(c);
	return (true);
}

static void
on_connect(uv_connect_t *connect, int status)
{
	struct call_conn *c =
	    brf_container_of(connect, struct call_conn, connect);
	struct brf_http_call *call = c->call;

	if (call == NULL)
		return;
	uv_tcp_nodelay(&c->tcp, 1);
	if (status != 0 ||
	    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read) != 0 ||
	    !send_request(call, c))
		end(call, BRF_RUN_NOT_STARTED);
}

static bool
open_conn(struct brf_http_call *call)
{
	struct brf_http_pool *pool = call->pool;
	struct call_conn *c = brf_calloc(1, sizeof(*c));

	c->pool = pool;
	c->call = call;
	c->tcp.data = c;
	brf_list_init(&c->link);
	call->conn = c;
	return (uv_tcp_init(pool->hl->loop, &c->tcp) == 0 &&
		uv_tcp_connect(&c->connect, &c->tcp,
		    (const struct sockaddr *)&pool->addr, on_connect) == 0);
}

/* Whether neither bytes nor the peer's close wait in the socket. */
static bool
is_quiet(const struct call_conn *c)
{
	uv_os_fd_t fd;
	char byte;

	return (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0 &&
		recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == -1 &&
		(errno == EAGAIN || errno == EWOULDBLOCK));
}

/* Return: whether the request went out on a connection that was unused. */
static bool
reuse_conn(struct brf_http_call *call)
{
	struct brf_http_pool *pool = call->pool;
	struct call_conn *c;

	while (!brf_list_empty(&pool->idle)) {
		c = brf_list_entry(pool->idle.next, struct call_conn, link);
		brf_list_remove(&c->link);
		c->call = call;
		call->conn = c;
		if (is_quiet(c) && send_request(call, c))
			return (true);
		call->conn = NULL;
		close_conn(c);
	}
	return (false);
}

static void
put_field(struct brf_buf *b, const struct brf_header *field)
{
	brf_buf_puts(b, field->name);
	brf_buf_add(b, ": ", 2);
	brf_buf_puts(b, field->value);
	brf_buf_add(b, "\r\n", 2);
}

static bool
wants_length(const struct brf_message *m)
{
	return (m->body.len != 0 || strcmp(m->method, "POST") == 0 ||
		strcmp(m->method, "PUT") == 0 ||
		strcmp(m->method, "PATCH") == 0);
}

static void
build_head(
    struct brf_http_call *call, const struct brf_header *extra, size_t count)
{
	const struct brf_message *m = call->request;
	struct brf_buf *b = &call->head;
	size_t i;

	brf_buf_reserve(b, m->header_bytes + strlen(m->path) + 1024);
	brf_buf_printf(b, "%s %s HTTP/1.1\r\nhost: %s\r\n", m->method, m->path,
	    call->host != NULL ? call->host : call->pool->authority);
	for (i = 0; i < m->header_count; i++) {
		if (!brf_header_is_hop_by_hop(m->headers[i].name))
			put_field(b, &m->headers[i]);
	}
	for (i = 0; i < count; i++)
		put_field(b, &extra[i]);
	if (wants_length(m))
		brf_buf_printf(b, "content-length: %zu\r\n", m->body.len);
	brf_buf_add(b, "\r\n", 2);
}

void
brf_http_call_start(struct brf_http_call *call, struct brf_http_pool *pool,
    struct brf_message *request, const struct brf_header *extra,
    size_t extra_count)
{
	call->pool = pool;
	call->request = brf_message_ref(request);
	call->answer = brf_message_new();
	build_head(call, extra, extra_count);
	if (!reuse_conn(call) && !open_conn(call))
		end(call, BRF_RUN_NOT_STARTED);
}

void
brf_http_call_cancel(struct brf_http_call *call)
{
	if (call->cancelled)
		return;
	call->cancelled = true;
	if (call->in_chunk) /* add_body() ends it */
		return;
	end(call, call->sent ? BRF_RUN_CANCELLED : BRF_RUN_NOT_STARTED);
}

static void
name_authority(struct brf_http_pool *pool)
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
	name_authority(pool);
	brf_list_init(&pool->idle);
	pool->sweep = (struct brf_timer){ .fire = sweep, .arg = pool };
	return (pool);
}

void
brf_http_pool_free(struct brf_http_pool *pool)
{
	if (pool == NULL)
		return;
	while (!brf_list_empty(&pool->idle))
		close_conn(
		    brf_list_entry(pool->idle.next, struct call_conn, link));
	brf_timer_stop(pool->hl->timers, &pool->sweep);
	free(pool);
}

const char *
brf_http_pool_authority(const struct brf_http_pool *pool)
{
	return (pool->authority);
}
