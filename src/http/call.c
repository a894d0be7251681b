#include "bulrushford.h"
#include "http/call.h"
#include "http/fields.h"
#include "http/framing.h"

#define FIELDS_MAX 128 /* including hop-by-hop fields */

/*
 * The connection is released before @done is called, so that a call started in
 * @done can reuse it.  The owner may free the call in @done, so @answer and
 * @request are read before.
 */
void
brf_http_call_end(struct brf_http_call *call, enum brf_run_end end)
{
	struct brf_message *answer = call->answer, *request = call->request;
	struct brf_http_pool_conn *c = call->conn;

	call->conn = NULL;
	if (c != NULL)
		brf_http_pool_release(
		    c, end == BRF_RUN_ANSWERED && call->reusable);
	brf_buf_free(&call->head);
	call->done(call, end);
	brf_message_unref(answer);
	brf_message_unref(request);
}

/* Return: false when this ended the call. */
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
		brf_http_call_end(call, BRF_RUN_CANCELLED);
		return (false);
	}
	if (len > call->body_max - call->answer->body.len) {
		brf_http_call_end(call, BRF_RUN_TOO_LARGE);
		return (false);
	}
	brf_buf_add(&call->answer->body, data, len);
	return (true);
}

static void
read_length_body(struct brf_http_call *call, struct brf_buf *in)
{
	size_t len = in->len < call->body_left ? in->len : call->body_left;

	if (!add_body(call, in->data, len))
		return;
	brf_buf_consume(in, len);
	call->body_left -= len;
	if (call->body_left == 0)
		brf_http_call_end(call, BRF_RUN_ANSWERED);
}

static void
read_chunked_body(struct brf_http_call *call, struct brf_buf *in)
{
	size_t len, used;
	enum brf_chunks_result result =
	    brf_chunks_decode(&call->chunks, in, in->len, &len, &used);

	if (result == BRF_CHUNKS_INVALID) {
		brf_http_call_end(call, BRF_RUN_BROKEN);
		return;
	}
	if (!add_body(call, in->data, len))
		return;
	brf_buf_consume(in, used);
	if (result == BRF_CHUNKS_INCOMPLETE)
		return;
	if (in->len != 0)
		call->reusable = false; /* excess bytes after the answer */
	brf_buf_clear(in);
	brf_http_call_end(call, BRF_RUN_ANSWERED);
}

static bool
has_no_body(const struct brf_http_call *call, int status)
{
	return (status == 204 || status == 304 ||
		strcmp(call->request->method, "HEAD") == 0);
}

/* Return: BRF_RUN_ANSWERED to read the body next, else how the call ends. */
static enum brf_run_end
start_body(
    struct brf_http_call *call, int status, const struct brf_http_framing *f)
{
	if (has_no_body(call, status)) {
		call->state = BRF_HTTP_CALL_LENGTH;
		return (BRF_RUN_ANSWERED);
	}
	if (f->chunked) {
		call->state = BRF_HTTP_CALL_CHUNKED;
		brf_chunks_init(&call->chunks);
		return (BRF_RUN_ANSWERED);
	}
	if (!f->has_length)
		return (BRF_RUN_BROKEN);
	call->state = BRF_HTTP_CALL_LENGTH;
	call->body_left = f->length;
	if (call->chunk != NULL)
		return (BRF_RUN_ANSWERED);
	if (f->length > call->body_max)
		return (BRF_RUN_TOO_LARGE);
	brf_buf_reserve(&call->answer->body, f->length);
	return (BRF_RUN_ANSWERED);
}

static enum brf_run_end
process_head(struct brf_http_call *call, int minor_version, int status,
    const struct phr_header *fields, size_t count)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_http_framing f;

	if (status < 200 || status > 599 ||
	    !brf_http_framing_parse(&f, fields, count))
		return (BRF_RUN_BROKEN);
	call->answer->status = status;
	call->reusable =
	    minor_version >= 1 && !brf_http_field_list_contains(
				      fields, count, "connection", "close", 5);
	if (!brf_http_fields_copy(call->answer, fields, count, &err))
		return (err.code == BRF_E_TOO_LARGE ? BRF_RUN_TOO_LARGE
						    : BRF_RUN_BROKEN);
	return (start_body(call, status, &f));
}

static bool
is_interim(int status)
{
	return (status >= 100 && status <= 199 && status != 101);
}

/* Return: whether a head was complete and the call continues. */
static bool
read_head(struct brf_http_call *call, struct brf_buf *in)
{
	struct phr_header fields[FIELDS_MAX];
	size_t count = FIELDS_MAX, msg_len;
	int minor_version, status, len;
	enum brf_run_end end = BRF_RUN_ANSWERED;
	const char *msg;

	len = phr_parse_response(in->data, in->len, &minor_version, &status,
	    &msg, &msg_len, fields, &count, call->parsed);
	call->parsed = in->len;
	if (len == -2 && in->len <= BRF_HTTP_ANSWER_HEAD_MAX)
		return (false);
	if (len == -2 || (len >= 0 && is_interim(status) &&
			     ++call->interim > BRF_HTTP_SKIPPED_MAX))
		end = BRF_RUN_TOO_LARGE;
	else if (len == -1)
		end = BRF_RUN_BROKEN;
	else if (!is_interim(status))
		end = process_head(call, minor_version, status, fields, count);
	if (end != BRF_RUN_ANSWERED) {
		brf_http_call_end(call, end);
		return (false);
	}
	brf_buf_consume(in, (size_t)len);
	call->parsed = 0;
	return (true);
}

void
brf_http_call_input(struct brf_http_call *call, struct brf_buf *in)
{
	/* interim (1xx) answers may precede the final one */
	while (call->state == BRF_HTTP_CALL_HEAD) {
		if (in->len == 0 || !read_head(call, in))
			return;
	}
	if (call->state == BRF_HTTP_CALL_LENGTH)
		read_length_body(call, in);
	else if (in->len != 0)
		read_chunked_body(call, in);
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
	    call->host != NULL ? call->host
			       : brf_http_pool_authority(call->pool));
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
	if (!brf_http_pool_send(call))
		brf_http_call_end(call, BRF_RUN_NOT_STARTED);
}

void
brf_http_call_cancel(struct brf_http_call *call)
{
	if (call->cancelled)
		return;
	call->cancelled = true;
	if (call->in_chunk) /* add_body() ends the call */
		return;
	brf_http_call_end(
	    call, call->sent ? BRF_RUN_CANCELLED : BRF_RUN_NOT_STARTED);
}
