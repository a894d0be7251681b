#include "flow/server_impl.h"
#include "http/framing.h"

void
brf_flow_answer(struct brf_flow_request *r, int status, const char *fields,
    size_t fields_len, enum brf_body_kind kind, uint64_t length,
    struct brf_pipe *body)
{
	struct brf_flow_conn *c = r->conn;

	r->answered = true;
	r->framing = kind;
	r->remaining = kind == BRF_BODY_LENGTH ? length : 0;
	r->answer = body;
	if (strcmp(r->head.method, "HEAD") == 0)
		r->framing = BRF_BODY_NONE;
	if (body != NULL)
		body->reader = &c->work;
	brf_buf_printf(&r->head_text, "HTTP/1.1 %d %s\r\n", status,
	    brf_http_reason_phrase(status));
	brf_buf_add(&r->head_text, fields, fields_len);
	if (kind == BRF_BODY_LENGTH)
		brf_buf_printf(&r->head_text, "content-length: %llu\r\n",
		    (unsigned long long)length);
	else if (kind == BRF_BODY_NONE && status >= 200 && status != 204 &&
		 status != 304)
		brf_buf_puts(&r->head_text, "content-length: 0\r\n");
	brf_task_post(c->server->config.tasks, &c->work);
}

void
brf_flow_answer_own(struct brf_flow_request *r, int status)
{
	r->head.keep_alive = false;
	brf_flow_answer(r, status, "", 0, BRF_BODY_NONE, 0, NULL);
}

/* The connection can't be reused while a part of the request's body is unread.
 * When draining, it is closed after the last request that was read. */
static bool
can_keep_alive(const struct brf_flow_request *r)
{
	const struct brf_flow_conn *c = r->conn;
	bool last = c->requests.prev == &r->link;

	return (r->head.keep_alive && r->body_read &&
		!(c->server->draining && last) &&
		!(r->head.http_1_0 && r->framing == BRF_BODY_CHUNKED));
}

static void
write_head(struct brf_flow_request *r)
{
	struct brf_buf *out = &r->conn->writer.out;

	r->head_written = true;
	/* HTTP/1.0 has no chunks; there the end of the connection ends the body
	 */
	if (r->framing == BRF_BODY_CLOSE)
		r->framing = BRF_BODY_CHUNKED;
	r->keep_alive = can_keep_alive(r);
	if (!r->keep_alive)
		r->conn->stop_parsing = true;
	brf_buf_add(out, r->head_text.data, r->head_text.len);
	if (r->framing == BRF_BODY_CHUNKED && !r->head.http_1_0)
		brf_buf_puts(out, "transfer-encoding: chunked\r\n");
	if (!r->keep_alive)
		brf_buf_puts(out, "connection: close\r\n");
	else if (r->head.http_1_0)
		brf_buf_puts(out, "connection: keep-alive\r\n");
	brf_buf_add(out, "\r\n", 2);
	brf_buf_free(&r->head_text);
}

static void
write_part(struct brf_flow_request *r, size_t len)
{
	struct brf_buf *out = &r->conn->writer.out;
	bool chunked = r->framing == BRF_BODY_CHUNKED && !r->head.http_1_0;

	if (chunked)
		brf_buf_printf(out, "%zx\r\n", len);
	brf_buf_add(out, brf_pipe_data(r->answer), len);
	if (chunked)
		brf_buf_add(out, "\r\n", 2);
	brf_pipe_consume(r->answer, len);
}

enum progress {
	PROGRESS_WAIT,
	PROGRESS_COMPLETE,
	PROGRESS_BROKEN
};

static enum progress
write_body(struct brf_flow_request *r)
{
	struct brf_writer *w = &r->conn->writer;
	size_t len;

	if (r->framing == BRF_BODY_NONE)
		return (PROGRESS_COMPLETE);
	len = brf_pipe_len(r->answer);
	if (r->framing == BRF_BODY_LENGTH && len > r->remaining)
		len = r->remaining;
	if (len != 0 && brf_writer_full(w))
		return (PROGRESS_WAIT);
	if (len != 0)
		write_part(r, len);
	if (r->framing == BRF_BODY_LENGTH) {
		r->remaining -= len;
		if (r->remaining == 0)
			return (PROGRESS_COMPLETE);
	}
	if (r->answer->state == BRF_PIPE_OPEN)
		return (PROGRESS_WAIT);
	if (r->answer->state == BRF_PIPE_BROKEN ||
	    r->framing == BRF_BODY_LENGTH)
		return (PROGRESS_BROKEN);
	if (!r->head.http_1_0)
		brf_buf_puts(&w->out, "0\r\n\r\n");
	return (PROGRESS_COMPLETE);
}

static void
on_shutdown(uv_shutdown_t *request, int status)
{
	(void)request; /* closed by the client's EOF or by the timer */
	(void)status;
}

/*
 * Closing a socket with unread input resets the connection, and the client may
 * lose the answer.  So shut down only the sending side, once all is written,
 * and wait for the client to close.  Requests that are left end with @end.
 */
static void
linger(struct brf_flow_conn *c, enum brf_flow_end end)
{
	c->state = BRF_FLOW_CONN_LINGER;
	c->last_progress = brf_now(brf_timers_clock(c->server->config.timers));
	c->head_begun = false;
	brf_buf_free(&c->input);
	while (!brf_list_empty(&c->requests))
		brf_flow_request_end(brf_list_entry(c->requests.prev,
					 struct brf_flow_request, link),
		    end);
}

/* Have the kernel reset the connection when it is closed. */
static void
reset_on_close(struct brf_flow_conn *c)
{
	uv_os_fd_t fd;
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/*
 * The body of the answer broke off.  The answers before it are still delivered.
 * With HTTP/1.0 the end of the connection may end the body: reset it, so that
 * the truncated answer doesn't look complete.
 */
static void
abort_answer(struct brf_flow_conn *c, struct brf_flow_request *r)
{
	bool reset = r->head.http_1_0;

	brf_flow_request_end(r, BRF_FLOW_BROKEN);
	if (!reset) {
		linger(c, BRF_FLOW_EARLIER_BROKEN);
		return;
	}
	brf_writer_flush(&c->writer);
	reset_on_close(c);
	brf_flow_conn_close(c, BRF_FLOW_EARLIER_BROKEN);
}

/* Return: false when the connection was closed. */
static bool
flush(struct brf_flow_conn *c)
{
	if (brf_writer_flush(&c->writer) != 0) {
		brf_flow_conn_close(c, BRF_FLOW_DISCONNECTED);
		return (false);
	}
	if (c->state == BRF_FLOW_CONN_LINGER && !c->sending_ended &&
	    brf_writer_pending(&c->writer) == 0) {
		c->sending_ended = true;
		uv_shutdown(&c->shutdown, (uv_stream_t *)&c->tcp, on_shutdown);
	}
	return (true);
}

bool
brf_flow_write_answers(struct brf_flow_conn *c)
{
	struct brf_flow_request *r;
	enum progress progress;
	bool keep_alive;

	while (
	    c->state == BRF_FLOW_CONN_OPEN && !brf_list_empty(&c->requests)) {
		r = brf_list_entry(
		    c->requests.next, struct brf_flow_request, link);
		if (!r->answered)
			break;
		if (!r->head_written)
			write_head(r);
		progress = write_body(r);
		if (progress == PROGRESS_WAIT)
			break;
		if (progress == PROGRESS_BROKEN) {
			abort_answer(c, r);
			break;
		}
		keep_alive = r->keep_alive;
		c->last_progress =
		    brf_now(brf_timers_clock(c->server->config.timers));
		brf_flow_request_end(r, BRF_FLOW_SENT);
		if (!flush(c))
			return (false);
		if (!keep_alive)
			linger(c, BRF_FLOW_BEHIND_CLOSE);
		else
			brf_flow_dispatch_first(c);
	}
	return (c->state == BRF_FLOW_CONN_CLOSING ? false : flush(c));
}
