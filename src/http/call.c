#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>

#include "bulrushford.h"
#include "http/call.h"
#include "http/fields.h"

/* Above any deadline of the layers above, which cancel on their own. */
#define IO_TIMEOUT_MS (BRF_TIMEOUT_MAX_MS + 10000u)

static void
name_authority(struct brf_call_pool *pool, const struct sockaddr *addr)
{
	const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)addr;
	const struct sockaddr_in *in = (const struct sockaddr_in *)addr;
	char ip[INET6_ADDRSTRLEN] = "";

	if (addr->sa_family == AF_INET6) {
		inet_ntop(AF_INET6, &in6->sin6_addr, ip, sizeof(ip));
		snprintf(pool->authority, sizeof(pool->authority), "[%s]:%u",
		    ip, ntohs(in6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &in->sin_addr, ip, sizeof(ip));
	snprintf(pool->authority, sizeof(pool->authority), "%s:%u", ip,
	    ntohs(in->sin_port));
}

struct brf_call_pool *
brf_call_pool_new(
    struct brf_http_loop *hl, const struct sockaddr *addr, uint64_t idle_ms)
{
	struct brf_call_pool *pool = brf_calloc(1, sizeof(*pool));
	struct sockaddr_storage copy;
	socklen_t len = addr->sa_family == AF_INET6
			    ? sizeof(struct sockaddr_in6)
			    : sizeof(struct sockaddr_in);

	pool->hl = hl;
	memcpy(&copy, addr, len);
	name_authority(pool, addr);
	h2o_socketpool_init_by_address(
	    &pool->sockets, (struct sockaddr *)&copy, len, 0, SIZE_MAX);
	h2o_socketpool_set_timeout(&pool->sockets, hl->loop, idle_ms);
	h2o_timeout_init(hl->loop, &pool->io_timeout, IO_TIMEOUT_MS);
	pool->ctx.loop = hl->loop;
	pool->ctx.io_timeout = &pool->io_timeout;
	return (pool);
}

void
brf_call_pool_free(struct brf_call_pool *pool)
{
	if (pool == NULL)
		return;
	h2o_socketpool_dispose(&pool->sockets);
	h2o_timeout_dispose(pool->hl->loop, &pool->io_timeout);
	brf_http_after_close(pool->hl, free, pool);
}

/* The owner may free the call in @done. */
static void
end(struct brf_call *call, enum brf_run_end how)
{
	struct brf_message *answer = call->answer, *request = call->request;

	call->client = NULL;
	brf_buf_free(&call->head);
	call->done(call, how);
	brf_message_unref(answer);
	brf_message_unref(request);
}

static enum brf_run_end
add_body(struct brf_call *call)
{
	h2o_buffer_t **input = &call->client->sock->input;
	size_t size = (*input)->size;

	if (size == 0)
		return (BRF_RUN_ANSWERED);
	if (call->chunk != NULL) {
		call->chunk(call, (*input)->bytes, size);
	} else {
		if (size > call->body_max - call->answer->body.len)
			return (BRF_RUN_TOO_LARGE);
		brf_buf_add(&call->answer->body, (*input)->bytes, size);
	}
	h2o_buffer_consume(input, size);
	return (BRF_RUN_ANSWERED);
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
	struct brf_call *call = client->data;
	enum brf_run_end how;

	if (errstr != NULL && errstr != h2o_http1client_error_is_eos) {
		end(call, BRF_RUN_BROKEN);
		return (-1);
	}
	call->in_chunk = call->chunk != NULL;
	how = add_body(call);
	call->in_chunk = false;
	if (call->cancelled) {
		end(call, BRF_RUN_CANCELLED);
		return (-1);
	}
	if (how != BRF_RUN_ANSWERED || errstr != NULL) {
		end(call, how);
		return (-1);
	}
	return (0);
}

struct framing {
	bool chunked;
	bool has_length;
	uint64_t length;
};

static bool
parse_length(h2o_iovec_t value, uint64_t *length)
{
	size_t i;

	*length = 0;
	for (i = 0; i < value.len; i++) {
		if (value.base[i] < '0' || value.base[i] > '9' || i == 18)
			return (false);
		*length = *length * 10 + (uint64_t)(value.base[i] - '0');
	}
	return (value.len != 0);
}

/* Return: false when the fields contradict each other. */
static bool
read_framing(const h2o_header_t *fields, size_t count, struct framing *f)
{
	uint64_t length;
	size_t i;

	*f = (struct framing){ .chunked = false };
	for (i = 0; i < count; i++) {
		if (h2o_memis(fields[i].name->base, fields[i].name->len,
			H2O_STRLIT("transfer-encoding"))) {
			if (f->chunked)
				return (false);
			f->chunked = true;
		}
		if (!h2o_memis(fields[i].name->base, fields[i].name->len,
			H2O_STRLIT("content-length")))
			continue;
		if (!parse_length(fields[i].value, &length) ||
		    (f->has_length && f->length != length))
			return (false);
		f->has_length = true;
		f->length = length;
	}
	return (!(f->chunked && f->has_length));
}

static bool
has_no_body(const struct brf_call *call, int status)
{
	return (status == 204 || status == 304 ||
		strcmp(call->request->method, "HEAD") == 0);
}

static enum brf_run_end
read_head(struct brf_call *call, int status, const h2o_header_t *fields,
    size_t count, bool eos)
{
	struct brf_error err = { .code = BRF_OK };
	struct framing f;

	if (status < 200 || status > 599 || !read_framing(fields, count, &f))
		return (BRF_RUN_BROKEN);
	if (!eos && !f.chunked && !f.has_length)
		return (BRF_RUN_BROKEN);
	if (eos && f.has_length && f.length != 0 && !has_no_body(call, status))
		return (BRF_RUN_BROKEN);
	if (f.has_length && !has_no_body(call, status) && call->chunk == NULL &&
	    f.length > call->body_max)
		return (BRF_RUN_TOO_LARGE);
	call->answer->status = status;
	if (!brf_fields_take(call->answer, fields, count, &err))
		return (err.code == BRF_E_TOO_LARGE ? BRF_RUN_TOO_LARGE
						    : BRF_RUN_BROKEN);
	if (f.has_length && !eos && call->chunk == NULL)
		brf_buf_reserve(&call->answer->body, f.length);
	return (BRF_RUN_ANSWERED);
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor_version,
    int status, h2o_iovec_t msg, h2o_header_t *fields, size_t count, int rlen)
{
	struct brf_call *call = client->data;
	bool eos = errstr == h2o_http1client_error_is_eos;
	enum brf_run_end how;

	if (errstr != NULL && !eos) {
		/* bytes that are no whole head: it began, and broke */
		end(call, client->sock->input->size != 0 ? BRF_RUN_BROKEN
							 : BRF_RUN_LOST);
		return (NULL);
	}
	how = read_head(call, status, fields, count, eos);
	if (how != BRF_RUN_ANSWERED || eos) {
		end(call, how);
		return (NULL);
	}
	return (on_body);
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **bufs,
    size_t *count, int *method_is_head)
{
	struct brf_call *call = client->data;
	int on = 1;

	if (errstr != NULL) {
		end(call, BRF_RUN_NOT_STARTED);
		return (NULL);
	}
	setsockopt(h2o_socket_get_fd(client->sock), IPPROTO_TCP, TCP_NODELAY,
	    &on, sizeof(on));
	call->sent = true;
	call->bufs[0] = h2o_iovec_init(call->head.data, call->head.len);
	call->bufs[1] =
	    h2o_iovec_init(call->request->body.data, call->request->body.len);
	*bufs = call->bufs;
	*count = call->request->body.len != 0 ? 2 : 1;
	*method_is_head = strcmp(call->request->method, "HEAD") == 0;
	return (on_head);
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
build_head(struct brf_call *call, const struct brf_header *extra, size_t count)
{
	const struct brf_message *m = call->request;
	struct brf_buf *b = &call->head;
	size_t i;

	brf_buf_reserve(b, m->header_bytes + strlen(m->path) + 1024);
	brf_buf_printf(b, "%s %s HTTP/1.1\r\nhost: %s\r\n", m->method, m->path,
	    call->pool->authority);
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
brf_call_start(struct brf_call *call, struct brf_call_pool *pool,
    struct brf_message *request, const struct brf_header *extra,
    size_t extra_count)
{
	call->pool = pool;
	call->request = brf_message_ref(request);
	call->answer = brf_message_new();
	build_head(call, extra, extra_count);
	h2o_http1client_connect_with_pool(
	    &call->client, call, &pool->ctx, &pool->sockets, on_connect);
}

void
brf_call_cancel(struct brf_call *call)
{
	if (call->cancelled)
		return;
	call->cancelled = true;
	if (call->in_chunk) /* on_body() ends it */
		return;
	h2o_http1client_cancel(call->client);
	end(call, call->sent ? BRF_RUN_CANCELLED : BRF_RUN_NOT_STARTED);
}
