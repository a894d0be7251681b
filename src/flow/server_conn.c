#include <stdlib.h>

#include "base/tcp.h"
#include "flow/server_impl.h"

#define INPUT_MAX 65536u  /* unused bytes; reading pauses above */
#define PIPELINE_MAX 16u  /* open requests per connection */
#define KEEPALIVE_S 15	  /* seconds of silence before keepalive probes */
#define UNACKED_MS 30000u /* milliseconds until unacknowledged data fails */
#define IDLE_CHECK_US BRF_US_PER_MS /* for one more read */
/* For a client to close, once the kernel has accepted the last answer. */
#define LINGER_US BRF_US_PER_S

static uint64_t
now(const struct brf_flow_conn *c)
{
	return (brf_now(brf_timers_clock(c->server->config.timers)));
}

static struct brf_flow_request *
first_request(const struct brf_flow_conn *c)
{
	if (brf_list_empty(&c->requests))
		return (NULL);
	return (
	    brf_list_entry(c->requests.next, struct brf_flow_request, link));
}

static struct brf_flow_request *
last_request(const struct brf_flow_conn *c)
{
	if (brf_list_empty(&c->requests))
		return (NULL);
	return (
	    brf_list_entry(c->requests.prev, struct brf_flow_request, link));
}

void
brf_flow_request_end(struct brf_flow_request *r, enum brf_flow_end end)
{
	struct brf_flow_conn *c = r->conn;
	struct brf_flow_handler *handler = c->server->config.handler;

	brf_list_remove(&r->link);
	c->count--;
	c->server->open--;
	if (r->dispatched && end >= BRF_FLOW_BROKEN)
		c->server->unanswered[end]->value++;
	if (r->dispatched)
		handler->vt->ended(handler, r, end);
	brf_request_head_free(&r->head);
	brf_pipe_free(&r->body);
	brf_buf_free(&r->head_text);
	free(r);
}

static void
on_closed(uv_handle_t *handle)
{
	struct brf_flow_conn *c = handle->data;
	struct brf_flow_server *server = c->server;

	brf_list_remove(&c->link);
	brf_buf_free(&c->input);
	brf_writer_free(&c->writer);
	free(c);
	server->conn_count--;
	server->connections->value--;
	brf_flow_check_closed(server);
}

void
brf_flow_conn_close(struct brf_flow_conn *c, enum brf_flow_end end)
{
	struct brf_list *l;

	if (c->state == BRF_FLOW_CONN_CLOSING)
		return;
	c->state = BRF_FLOW_CONN_CLOSING;
	brf_task_cancel(&c->work);
	brf_timer_stop(c->server->config.timers, &c->timer);
	while ((l = brf_list_pop(&c->requests)) != NULL)
		brf_flow_request_end(
		    brf_list_entry(l, struct brf_flow_request, link), end);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
dispatch(struct brf_flow_request *r)
{
	struct brf_flow_handler *handler = r->conn->server->config.handler;

	r->dispatched = true;
	r->conn->server->requests->value++;
	handler->vt->request(handler, r);
}

void
brf_flow_dispatch_first(struct brf_flow_conn *c)
{
	struct brf_flow_request *r = first_request(c);

	if (r != NULL && !r->dispatched && !r->answered)
		dispatch(r);
}

static struct brf_flow_request *
request_new(struct brf_flow_conn *c)
{
	struct brf_flow_request *r = brf_calloc(1, sizeof(*r));

	r->conn = c;
	r->connection = c->number;
	r->arrived = now(c);
	brf_pipe_init(&r->body, c->server->config.tasks);
	r->body.writer = &c->work;
	brf_list_append(&c->requests, &r->link);
	c->count++;
	c->server->open++;
	return (r);
}

/* Answer @r with an error; further input is discarded. */
static void
refuse(struct brf_flow_request *r, int status)
{
	struct brf_flow_conn *c = r->conn;
	struct brf_flow_handler *handler = c->server->config.handler;

	c->server->refused->value++;
	c->stop_parsing = true;
	r->body_read = true;
	brf_flow_answer_own(r, status);
	handler->vt->refused(handler, status);
}

/*
 * Refuse a request because of its body, after it may have been dispatched.  If
 * it was answered early, that answer is the connection's last.
 */
static void
refuse_body(struct brf_flow_request *r, int status)
{
	struct brf_flow_handler *handler = r->conn->server->config.handler;

	if (r->answered) {
		r->conn->stop_parsing = true;
		r->head.keep_alive = false;
		r->body_read = true;
		brf_pipe_break(&r->body);
		return;
	}
	if (r->dispatched)
		handler->vt->ended(handler, r, BRF_FLOW_REFUSED);
	r->dispatched = false;
	refuse(r, status);
}

static void
begin_body(struct brf_flow_request *r)
{
	struct brf_flow_conn *c = r->conn;

	c->body_bytes = 0;
	c->body_remaining = r->head.length;
	brf_chunks_init(&c->chunks);
	if (r->head.body == BRF_BODY_NONE ||
	    (r->head.body == BRF_BODY_LENGTH && r->head.length == 0)) {
		r->body_read = true;
		brf_pipe_end(&r->body);
	}
}

/*
 * Whether the connection may have to be closed after the answer to @r: its body
 * may break off, or, of an HTTP/1.0 request, need the end of the connection.
 */
static bool
may_close(const struct brf_flow_request *r)
{
	return (
	    r->head.http_1_0 || (r->answered && r->framing != BRF_BODY_NONE &&
				    r->answer->state != BRF_PIPE_ENDED));
}

/* Whether @r, the last request, may be dispatched while earlier ones are
 * unanswered. */
static bool
can_run_ahead(const struct brf_flow_conn *c, const struct brf_flow_request *r)
{
	struct brf_flow_handler *handler = c->server->config.handler;
	struct brf_list *l;

	for (l = r->link.prev; l != &c->requests; l = l->prev) {
		if (may_close(brf_list_entry(l, struct brf_flow_request, link)))
			return (false);
	}
	return (handler->vt->may_run_ahead(handler, r));
}

bool
brf_flow_is_followed(const struct brf_flow_request *r)
{
	const struct brf_list *next = r->link.next;

	return (
	    next != &r->conn->requests &&
	    brf_list_entry(next, struct brf_flow_request, link)->dispatched);
}

static void
accept_request(struct brf_flow_conn *c, struct brf_flow_request *r)
{
	if (!r->head.keep_alive)
		c->stop_parsing = true;
	if (r->head.length > c->server->config.limits->body_bytes) {
		refuse(r, 413);
		return;
	}
	begin_body(r);
	if (r->head.expects_continue && !r->body_read && first_request(c) == r)
		brf_buf_puts(&c->writer.out, "HTTP/1.1 100 Continue\r\n\r\n");
	if (first_request(c) == r || can_run_ahead(c, r))
		dispatch(r);
}

/* Return: whether input was consumed. */
static bool
read_head(struct brf_flow_conn *c)
{
	const struct brf_flow_server_config *config = &c->server->config;
	struct brf_request_head head = { .body = BRF_BODY_NONE };
	enum brf_head_result result;
	struct brf_flow_request *r;
	size_t used = 0;

	if (!c->head_begun) {
		c->head_begun = true;
		c->last_progress = now(c);
	}
	result = brf_request_head_parse(&head, c->input.data, c->input.len,
	    c->last_len, config->names, &used);
	c->last_len = c->input.len;
	if (result == BRF_HEAD_INCOMPLETE &&
	    c->input.len <= config->limits->head_bytes) {
		brf_request_head_free(&head);
		return (false);
	}
	c->last_len = 0;
	c->head_begun = false;
	c->last_progress = now(c);
	r = request_new(c);
	r->head = head;
	if (result == BRF_HEAD_INCOMPLETE || used > config->limits->head_bytes)
		refuse(r, 431);
	else if (result == BRF_HEAD_UNSUPPORTED_CODING)
		refuse(r, 501);
	else if (result == BRF_HEAD_INVALID)
		refuse(r, 400);
	else {
		brf_buf_consume(&c->input, used);
		accept_request(c, r);
	}
	return (true);
}

static bool
body_too_large(const struct brf_flow_conn *c)
{
	return (c->body_bytes > c->server->config.limits->body_bytes);
}

static void
end_body(struct brf_flow_request *r)
{
	r->body_read = true;
	brf_pipe_end(&r->body);
}

static bool
read_length_body(struct brf_flow_conn *c, struct brf_flow_request *r)
{
	size_t len = brf_pipe_space(&r->body);

	if (len > c->input.len)
		len = c->input.len;
	if (len > c->body_remaining)
		len = c->body_remaining;
	if (len == 0)
		return (false);
	brf_pipe_write(&r->body, c->input.data, len);
	brf_buf_consume(&c->input, len);
	c->body_remaining -= len;
	if (c->body_remaining == 0)
		end_body(r);
	return (true);
}

static bool
read_chunked_body(struct brf_flow_conn *c, struct brf_flow_request *r)
{
	size_t available = brf_pipe_space(&r->body), len, used;
	enum brf_chunks_result result;

	if (available > c->input.len)
		available = c->input.len;
	if (available == 0)
		return (false);
	result =
	    brf_chunks_decode(&c->chunks, &c->input, available, &len, &used);
	c->body_bytes += result == BRF_CHUNKS_INVALID ? 0 : len;
	if (result == BRF_CHUNKS_INVALID || body_too_large(c)) {
		refuse_body(r, result == BRF_CHUNKS_INVALID ? 400 : 413);
		return (true);
	}
	brf_pipe_write(&r->body, c->input.data, len);
	brf_buf_consume(&c->input, used);
	if (result == BRF_CHUNKS_COMPLETE)
		end_body(r);
	return (true);
}

static bool
read_body(struct brf_flow_conn *c, struct brf_flow_request *r)
{
	bool read;

	if (c->input.len == 0)
		return (false);
	if (r->head.body == BRF_BODY_LENGTH)
		read = read_length_body(c, r);
	else
		read = read_chunked_body(c, r);
	if (read)
		c->last_progress = now(c);
	return (read);
}

/* Return: whether input was consumed. */
static bool
read_input(struct brf_flow_conn *c)
{
	struct brf_flow_request *last = last_request(c);

	if (c->state != BRF_FLOW_CONN_OPEN)
		return (false);
	if (last != NULL && !last->body_read)
		return (read_body(c, last));
	if (c->stop_parsing || c->input.len == 0 || c->count >= PIPELINE_MAX ||
	    (last != NULL && !last->dispatched))
		return (false);
	return (read_head(c));
}

static void set_reading(struct brf_flow_conn *c);

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct brf_flow_conn *c = stream->data;

	if (c->state == BRF_FLOW_CONN_CLOSING || n == 0)
		return;
	if (n < 0) {
		brf_flow_conn_close(c, BRF_FLOW_DISCONNECTED);
		return;
	}
	if (c->state == BRF_FLOW_CONN_LINGER)
		return;
	c->idle_checked = false;
	brf_buf_add(&c->input, buf->base, (size_t)n);
	brf_task_post(c->server->config.tasks, &c->work);
	set_reading(c); /* libuv may read again before the task runs */
}

static void
set_reading(struct brf_flow_conn *c)
{
	bool pause =
	    c->state == BRF_FLOW_CONN_OPEN && c->input.len >= INPUT_MAX;

	if (pause == c->paused)
		return;
	c->paused = pause;
	if (pause)
		uv_read_stop((uv_stream_t *)&c->tcp);
	else
		uv_read_start((uv_stream_t *)&c->tcp, brf_tcp_alloc, on_read);
}

/* Maximum duration of the connection's current state; 0 for no limit. */
static uint64_t
timeout_us(const struct brf_flow_conn *c)
{
	const struct brf_flow_limits *limits = c->server->config.limits;
	struct brf_flow_request *last = last_request(c);

	if (c->state == BRF_FLOW_CONN_LINGER)
		return (LINGER_US);
	if (c->head_begun)
		return (limits->head_timeout_us);
	if (last == NULL || !last->body_read)
		return (limits->idle_timeout_us);
	return (0);
}

static void
arm_timer(struct brf_flow_conn *c)
{
	struct brf_timers *timers = c->server->config.timers;
	uint64_t wait = timeout_us(c), t = now(c), at = c->last_progress + wait;

	if (wait == 0)
		brf_timer_stop(timers, &c->timer);
	else if (!brf_timer_active(&c->timer) || c->timer.at > at)
		brf_timer_start(timers, &c->timer, at > t ? at - t : 0);
}

static void
timed_out(struct brf_timer *timer, void *arg)
{
	struct brf_flow_conn *c = arg;
	struct brf_flow_request *last = last_request(c);
	uint64_t wait = timeout_us(c);

	if (wait == 0)
		return;
	if (c->state == BRF_FLOW_CONN_LINGER &&
	    brf_writer_pending(&c->writer) != 0)
		c->last_progress = now(c);
	if (now(c) < c->last_progress + wait) {
		arm_timer(c);
		return;
	}
	if (c->state == BRF_FLOW_CONN_OPEN && last == NULL && !c->head_begun &&
	    !c->idle_checked) {
		/* a request may have come while the process was late */
		c->idle_checked = true;
		brf_timer_start(c->server->config.timers, timer, IDLE_CHECK_US);
		return;
	}
	if (c->state == BRF_FLOW_CONN_OPEN && c->head_begun)
		refuse(request_new(c), 408);
	else if (c->state == BRF_FLOW_CONN_OPEN && last != NULL &&
		 !last->body_read)
		/* a handler may have begun to run it: 408 would deny that */
		refuse_body(last, last->dispatched ? 504 : 408);
	else {
		brf_flow_conn_close(c, BRF_FLOW_ABORTED);
		return;
	}
	c->head_begun = false;
	brf_task_post(c->server->config.tasks, &c->work);
}

/* Dispatch the last request if it had to wait for earlier answers and need not
 * any more. */
static void
dispatch_waiting(struct brf_flow_conn *c)
{
	struct brf_flow_request *r = last_request(c);

	if (r != NULL && !r->dispatched && !r->answered && can_run_ahead(c, r))
		dispatch(r);
}

static void
work(struct brf_task *task)
{
	struct brf_flow_conn *c =
	    brf_container_of(task, struct brf_flow_conn, work);

	dispatch_waiting(c);
	while (read_input(c))
		;
	if (!brf_flow_write_answers(c))
		return;
	if (c->state == BRF_FLOW_CONN_OPEN && c->count < PIPELINE_MAX &&
	    read_input(c))
		brf_task_post(c->server->config.tasks, task);
	set_reading(c);
	arm_timer(c);
}

static void
on_drained(struct brf_writer *w, int status)
{
	struct brf_flow_conn *c =
	    brf_container_of(w, struct brf_flow_conn, writer);

	if (status < 0)
		brf_flow_conn_close(c, BRF_FLOW_DISCONNECTED);
	else
		brf_task_post(c->server->config.tasks, &c->work);
}

/* A client that vanishes or doesn't read must not hold a request forever. */
static void
set_options(struct brf_flow_conn *c)
{
	uv_tcp_nodelay(&c->tcp, 1);
	uv_tcp_keepalive(&c->tcp, 1, KEEPALIVE_S);
	brf_tcp_bound_unacked(&c->tcp, UNACKED_MS);
}

void
brf_flow_conn_accept(struct brf_flow_server *server, uv_stream_t *listener)
{
	struct brf_flow_conn *c = brf_calloc(1, sizeof(*c));

	c->server = server;
	c->number = ++server->conn_number;
	brf_list_init(&c->requests);
	brf_task_init(&c->work, work);
	c->timer.fire = timed_out;
	c->timer.arg = c;
	uv_tcp_init(server->config.loop, &c->tcp);
	c->tcp.data = c;
	brf_writer_init(&c->writer, (uv_stream_t *)&c->tcp, on_drained);
	brf_list_append(&server->conns, &c->link);
	server->conn_count++;
	server->connections->value++;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 ||
	    uv_read_start((uv_stream_t *)&c->tcp, brf_tcp_alloc, on_read) !=
		0) {
		brf_flow_conn_close(c, BRF_FLOW_DISCONNECTED);
		return;
	}
	set_options(c);
	c->last_progress = now(c);
	arm_timer(c);
}
