#include <stdlib.h>

#include "base/tcp.h"
#include "flow/target.h"
#include "flow/writer.h"
#include "http/chunks.h"
#include "http/framing.h"

#define INPUT_MAX 65536u	    /* unused bytes; reading pauses above */
#define CONNECT_US BRF_US_PER_S	    /* timeout of connecting */
#define IDLE_US (8 * BRF_US_PER_S)  /* idle time if the target states none */
#define IDLE_MARGIN_US BRF_US_PER_S /* close this long before the target */
#define FRESH_US (BRF_US_PER_S / 2) /* maximum idle time with avoid_stale */
#define UNACKED_MS 2000u /* milliseconds until unacknowledged data fails */

/**
 * enum read_state - what is read next from a connection.
 */
enum read_state {
	READ_HEAD,
	READ_LENGTH,
	READ_CHUNKED,
	READ_CLOSE
};

/**
 * struct brf_flow_target_conn - one connection.
 * @run: NULL while the connection is idle
 * @last_len: length of @input at the previous attempt to parse a head
 * @remaining: bytes of the answer's body still to be read, with READ_LENGTH
 * @expires_at: clock time when an idle connection is closed
 * @keep_alive_s: from the head of the answer
 * @skipped: answers read before the run's own: interim ones, and those to
 *	other requests
 * @discard: the answer being read belongs to another request
 * @body_sent: the request's body was passed to @writer completely
 * @stop_sending: the target accepts no more of the request's body
 * @paused: reading from the socket is stopped
 * @peer_closed: reading has ended, by EOF or an error
 * @error: first error of the connection, a libuv code; 0 for none.  The socket
 *	reports it only once, either to a read or to a write.
 */
struct brf_flow_target_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct brf_flow_target *target;
	struct brf_flow_run *run;
	struct brf_writer writer;
	struct brf_task work;
	struct brf_timer timer;
	struct brf_list link;
	struct brf_buf input;
	size_t last_len;
	struct brf_chunks chunks;
	uint64_t remaining;
	enum read_state read_state;
	uint64_t idle_since;
	uint64_t expires_at;
	uint32_t keep_alive_s;
	uint32_t skipped;
	bool keep_alive;
	bool connected;
	bool discard;
	bool body_sent;
	bool stop_sending;
	bool paused;
	bool peer_closed;
	bool closing;
	int error;
};

struct brf_flow_target {
	struct brf_flow_target_config config;
	struct sockaddr_storage addr;
	struct brf_list conns;
	struct brf_list idle;
	size_t count;
	struct brf_timer sweep;
	bool closing;
	void (*closed)(void *arg);
	void *closed_arg;
	struct brf_metric *opened;
	struct brf_metric *dropped;
};

static uint64_t
now(const struct brf_flow_target *t)
{
	return (brf_now(brf_timers_clock(t->config.timers)));
}

static void
check_closed(struct brf_flow_target *t)
{
	void (*closed)(void *arg) = t->closed;

	if (!t->closing || t->count != 0 || closed == NULL)
		return;
	t->closed = NULL;
	closed(t->closed_arg);
}

static void
on_closed(uv_handle_t *handle)
{
	struct brf_flow_target_conn *c = handle->data;
	struct brf_flow_target *t = c->target;

	brf_buf_free(&c->input);
	brf_writer_free(&c->writer);
	free(c);
	t->count--;
	check_closed(t);
}

static void
conn_close(struct brf_flow_target_conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	if (c->run != NULL)
		c->run->conn = NULL;
	c->run = NULL;
	brf_task_cancel(&c->work);
	brf_timer_stop(c->target->config.timers, &c->timer);
	brf_list_remove(&c->link);
	uv_close((uv_handle_t *)&c->tcp, on_closed);
}

static void
post_owner(struct brf_flow_run *run, const struct brf_flow_target *t)
{
	brf_task_post(t->config.tasks, run->owner);
}

/* End the open run, if any, without a complete answer. */
static void
fail_run(struct brf_flow_target_conn *c, bool invalid_answer)
{
	struct brf_flow_run *run = c->run;

	if (run == NULL)
		return;
	c->run = NULL;
	run->conn = NULL;
	run->disconnected = c->peer_closed;
	if (run->body != NULL)
		run->body->reader = NULL;
	run->out->writer = NULL;
	if (run->state == BRF_FLOW_RUN_ANSWERED) {
		brf_pipe_break(run->out);
		post_owner(run, c->target);
		return;
	}
	run->not_sent = run->state == BRF_FLOW_RUN_WAITING;
	run->invalid_answer = invalid_answer;
	run->state = BRF_FLOW_RUN_FAILED;
	post_owner(run, c->target);
}

static void
fail_conn(struct brf_flow_target_conn *c, bool invalid_answer)
{
	fail_run(c, invalid_answer);
	conn_close(c);
}

static void
sweep(struct brf_timer *timer, void *arg)
{
	struct brf_flow_target *t = arg;
	struct brf_flow_target_conn *c;
	struct brf_list *l, *next;
	uint64_t at = now(t), soonest = UINT64_MAX;

	brf_list_foreach_safe (l, next, &t->idle) {
		c = brf_list_entry(l, struct brf_flow_target_conn, link);
		if (c->expires_at <= at)
			conn_close(c);
		else if (c->expires_at < soonest)
			soonest = c->expires_at;
	}
	if (soonest != UINT64_MAX)
		brf_timer_start(t->config.timers, timer, soonest - at);
}

static void
make_idle(struct brf_flow_target_conn *c)
{
	struct brf_flow_target *t = c->target;
	uint64_t lifetime = IDLE_US;

	if (c->keep_alive_s != 0)
		lifetime = c->keep_alive_s * BRF_US_PER_S > 2 * IDLE_MARGIN_US
			       ? c->keep_alive_s * BRF_US_PER_S - IDLE_MARGIN_US
			       : c->keep_alive_s * BRF_US_PER_S / 2;
	c->idle_since = now(t);
	c->expires_at = c->idle_since + lifetime;
	brf_list_remove(&c->link);
	brf_list_prepend(&t->idle, &c->link);
	if (!brf_timer_active(&t->sweep))
		brf_timer_start(t->config.timers, &t->sweep, lifetime);
}

/* End the run whose answer is complete; keep the connection if possible. */
static void
finish_run(struct brf_flow_target_conn *c)
{
	struct brf_flow_run *run = c->run;

	c->run = NULL;
	run->conn = NULL;
	if (run->body != NULL)
		run->body->reader = NULL;
	run->out->writer = NULL;
	brf_pipe_end(run->out);
	post_owner(run, c->target);
	if (c->keep_alive && c->body_sent && c->input.len == 0 &&
	    !c->peer_closed && !c->writer.busy && c->writer.out.len == 0)
		make_idle(c);
	else
		conn_close(c);
}

static void
begin_reading(struct brf_flow_target_conn *c, const struct brf_answer_head *h)
{
	static const enum read_state readings[] = {
		[BRF_BODY_NONE] = READ_LENGTH,
		[BRF_BODY_LENGTH] = READ_LENGTH,
		[BRF_BODY_CHUNKED] = READ_CHUNKED,
		[BRF_BODY_CLOSE] = READ_CLOSE,
	};

	c->read_state = readings[h->body];
	c->remaining = h->body == BRF_BODY_LENGTH ? h->length : 0;
	brf_chunks_init(&c->chunks);
}

static bool
answers_run(const struct brf_flow_run *run, const struct brf_answer_head *h)
{
	return (h->status >= 200 &&
		(h->id[0] == '\0' || strcmp(h->id, run->id) == 0));
}

/*
 * Skip an interim response (RFC 9110, section 15.2) or an answer to another
 * request.  Behind one that lasts until the connection is closed, none can
 * follow.
 *
 * Return: false when the connection was closed.
 */
static bool
skip_answer(struct brf_flow_target_conn *c, const struct brf_answer_head *h)
{
	c->discard = h->status >= 200;
	if (c->discard) {
		c->target->dropped->value++;
		begin_reading(c, h);
	}
	if (++c->skipped <= BRF_HTTP_SKIPPED_MAX && h->body != BRF_BODY_CLOSE)
		return (true);
	fail_conn(c, true);
	return (false);
}

static void
take_answer(struct brf_flow_target_conn *c, const struct brf_answer_head *h)
{
	struct brf_flow_run *run = c->run;

	begin_reading(c, h);
	c->keep_alive = h->keep_alive;
	c->keep_alive_s = h->keep_alive_s;
	run->answer = *h;
	run->state = BRF_FLOW_RUN_ANSWERED;
	post_owner(run, c->target);
}

/* Return: whether input was consumed. */
static bool
read_head(struct brf_flow_target_conn *c)
{
	struct brf_answer_head h = { .status = 0 };
	enum brf_head_result result;
	size_t used = 0;
	bool open;

	result = brf_answer_head_parse(&h, c->input.data, c->input.len,
	    c->last_len, c->run->to_head, c->target->config.names, &used);
	c->last_len = c->input.len;
	if (result != BRF_HEAD_COMPLETE || used > BRF_HTTP_ANSWER_HEAD_MAX) {
		brf_answer_head_free(&h);
		if (result != BRF_HEAD_INCOMPLETE ||
		    c->input.len >= BRF_HTTP_ANSWER_HEAD_MAX)
			fail_conn(c, true);
		return (false);
	}
	c->last_len = 0;
	brf_buf_consume(&c->input, used);
	if (answers_run(c->run, &h)) {
		take_answer(c, &h);
		return (true);
	}
	open = skip_answer(c, &h);
	brf_answer_head_free(&h);
	return (open);
}

static size_t
space(struct brf_flow_target_conn *c)
{
	return (c->discard ? c->input.len : brf_pipe_space(c->run->out));
}

static void
store_body(struct brf_flow_target_conn *c, const char *data, size_t len)
{
	if (!c->discard)
		brf_pipe_write(c->run->out, data, len);
}

/* The answer that is being read is complete. */
static void
end_answer(struct brf_flow_target_conn *c)
{
	c->read_state = READ_HEAD;
	if (c->discard)
		c->discard = false;
	else
		finish_run(c);
}

static bool
read_length(struct brf_flow_target_conn *c)
{
	size_t len = space(c);

	if (len > c->input.len)
		len = c->input.len;
	if (len > c->remaining)
		len = c->remaining;
	if (len == 0 && c->remaining != 0)
		return (false);
	store_body(c, c->input.data, len);
	brf_buf_consume(&c->input, len);
	c->remaining -= len;
	if (c->remaining == 0)
		end_answer(c);
	return (true);
}

static bool
read_chunked(struct brf_flow_target_conn *c)
{
	size_t available = space(c), len, used;
	enum brf_chunks_result result;

	if (available > c->input.len)
		available = c->input.len;
	if (available == 0)
		return (false);
	result =
	    brf_chunks_decode(&c->chunks, &c->input, available, &len, &used);
	if (result == BRF_CHUNKS_INVALID) {
		fail_conn(c, true);
		return (false);
	}
	store_body(c, c->input.data, len);
	brf_buf_consume(&c->input, used);
	if (result == BRF_CHUNKS_COMPLETE)
		end_answer(c);
	return (true);
}

static bool
read_until_close(struct brf_flow_target_conn *c)
{
	size_t len = space(c);

	if (len > c->input.len)
		len = c->input.len;
	if (len == 0)
		return (false);
	store_body(c, c->input.data, len);
	brf_buf_consume(&c->input, len);
	return (true);
}

/* Return: whether to call again. */
static bool
read_step(struct brf_flow_target_conn *c)
{
	if (c->closing)
		return (false);
	if (c->run == NULL) {
		if (c->input.len != 0)
			conn_close(c); /* unsolicited bytes */
		return (false);
	}
	switch (c->read_state) {
	case READ_HEAD:
		return (c->input.len != 0 && read_head(c));
	case READ_LENGTH:
		return (read_length(c));
	case READ_CHUNKED:
		return (read_chunked(c));
	case READ_CLOSE:
		return (read_until_close(c));
	}
	return (false);
}

/*
 * Whether the target's bytes broke off.  The kernel reports EPIPE for a reset
 * that follows the target's FIN, and thus the end of the answer.
 */
static bool
was_cut(const struct brf_flow_target_conn *c)
{
	return (c->error != 0 && c->error != UV_EPIPE);
}

/* The target has closed the connection and all input was read. */
static void
handle_end(struct brf_flow_target_conn *c)
{
	bool complete =
	    c->read_state == READ_CLOSE && !c->discard && !was_cut(c);

	if (c->run != NULL && c->input.len != 0 &&
	    brf_pipe_len(c->run->out) != 0)
		return; /* wait until the reader has consumed some of it */
	if (complete && c->run != NULL)
		finish_run(c);
	else
		fail_conn(c, c->read_state != READ_HEAD || c->input.len != 0);
}

/*
 * Add what the pipe holds of the request's body to the output.  The bytes stay
 * in the pipe until commit_body().
 *
 * Return: their number
 */
static size_t
add_body(struct brf_flow_target_conn *c)
{
	const struct brf_pipe *body = c->run->body;
	struct brf_buf *out = &c->writer.out;
	bool chunked = c->run->framing == BRF_BODY_CHUNKED;
	size_t len = brf_pipe_len(body);

	if (len != 0 && chunked)
		brf_buf_printf(out, "%zx\r\n", len);
	if (len != 0)
		brf_buf_add(out, brf_pipe_data(body), len);
	if (len != 0 && chunked)
		brf_buf_add(out, "\r\n", 2);
	if (chunked && body->state == BRF_PIPE_ENDED)
		brf_buf_puts(out, "0\r\n\r\n");
	return (len);
}

/* The @len bytes of add_body() belong to this connection alone from now on. */
static void
commit_body(struct brf_flow_target_conn *c, size_t len)
{
	struct brf_flow_run *run = c->run;

	if (len != 0) {
		brf_body_hash_add(
		    &run->body_hash, brf_pipe_data(run->body), len);
		brf_pipe_consume(run->body, len);
	}
	c->body_sent = brf_pipe_finished(run->body);
	run->body_sent = c->body_sent;
}

static void
send_body(struct brf_flow_target_conn *c)
{
	if (c->body_sent || c->stop_sending || brf_writer_full(&c->writer))
		return;
	commit_body(c, add_body(c));
}

static void
note_error(struct brf_flow_target_conn *c, int error)
{
	if (c->error == 0)
		c->error = error;
}

/* A target may close the connection after an early answer, so a failed write
 * ends only the sending; the answer is still read. */
static void
stop_sending(struct brf_flow_target_conn *c, int error)
{
	note_error(c, error);
	c->stop_sending = true;
	brf_buf_free(&c->writer.out);
}

static void
flush(struct brf_flow_target_conn *c)
{
	int error = c->stop_sending ? 0 : brf_writer_flush(&c->writer);

	if (error != 0)
		stop_sending(c, error);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

static void
set_reading(struct brf_flow_target_conn *c)
{
	bool pause = c->input.len >= INPUT_MAX && !c->peer_closed;

	if (c->peer_closed || pause == c->paused)
		return;
	c->paused = pause;
	if (pause)
		uv_read_stop((uv_stream_t *)&c->tcp);
	else
		uv_read_start((uv_stream_t *)&c->tcp, brf_tcp_alloc, on_read);
}

static void
work(struct brf_task *task)
{
	struct brf_flow_target_conn *c =
	    brf_container_of(task, struct brf_flow_target_conn, work);

	if (!c->connected)
		return;
	while (read_step(c))
		;
	if (!c->closing && c->peer_closed)
		handle_end(c);
	if (c->closing)
		return;
	if (c->run != NULL) {
		if (c->run->body != NULL)
			send_body(c);
		flush(c);
	}
	set_reading(c); /* idle connections are read, too */
}

/*
 * libuv reports EOF for a reset that arrives together with the last bytes; the
 * socket's pending error tells them apart.  Asking for it clears it.
 *
 * Return: a libuv code; 0 for none
 */
static int
take_pending_error(const struct brf_flow_target_conn *c)
{
	socklen_t len = sizeof(int);
	uv_os_fd_t fd;
	int error = 0;

	if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		return (UV_UNKNOWN);
	return (-error);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct brf_flow_target_conn *c = stream->data;

	if (c->closing || n == 0)
		return;
	if (n > 0) {
		brf_buf_add(&c->input, buf->base, (size_t)n);
		set_reading(c); /* libuv may read again before the task runs */
	} else {
		c->peer_closed = true;
		note_error(c, n != UV_EOF ? (int)n : take_pending_error(c));
		uv_read_stop(stream);
	}
	brf_task_post(c->target->config.tasks, &c->work);
}

static void
on_drained(struct brf_writer *w, int status)
{
	struct brf_flow_target_conn *c =
	    brf_container_of(w, struct brf_flow_target_conn, writer);

	if (status < 0)
		stop_sending(c, status);
	brf_task_post(c->target->config.tasks, &c->work);
}

/*
 * Send the head and the first part of the body in one write.
 *
 * Return: false if the connection took no byte of them.  Then the run is as it
 * was before, and may begin on another connection; the caller closes @c.
 */
static bool
send_head(struct brf_flow_target_conn *c, struct brf_flow_run *run)
{
	size_t len = 0;

	brf_buf_add(&c->writer.out, run->head.data, run->head.len);
	if (run->body != NULL)
		len = add_body(c);
	if (brf_writer_flush(&c->writer) != 0)
		return (false);
	if (run->body != NULL) {
		run->body->reader = &c->work;
		commit_body(c, len);
	}
	run->state = BRF_FLOW_RUN_SENT;
	run->sent_at = now(c->target);
	post_owner(run, c->target);
	return (true);
}

/* Without keepalive probes, a vanished target is noticed only when the
 * connection is used: then unacknowledged data fails it. */
static void
set_options(struct brf_flow_target_conn *c)
{
	uv_tcp_nodelay(&c->tcp, 1);
	brf_tcp_bound_unacked(&c->tcp, UNACKED_MS);
}

static void
on_connect(uv_connect_t *request, int status)
{
	struct brf_flow_target_conn *c = request->data;

	if (c->closing)
		return;
	brf_timer_stop(c->target->config.timers, &c->timer);
	if (status < 0 || c->run == NULL) {
		fail_conn(c, false);
		return;
	}
	c->connected = true;
	set_options(c);
	uv_read_start((uv_stream_t *)&c->tcp, brf_tcp_alloc, on_read);
	if (!send_head(c, c->run))
		fail_conn(c, false);
}

static void
connect_timed_out(struct brf_timer *timer, void *arg)
{
	(void)timer;
	fail_conn(arg, false);
}

static void
assign(struct brf_flow_target_conn *c, struct brf_flow_run *run)
{
	c->run = run;
	run->conn = c;
	run->out->writer = &c->work;
	c->read_state = READ_HEAD;
	c->last_len = 0;
	c->skipped = 0;
	c->keep_alive = false;
	c->body_sent = run->body == NULL;
}

/* Undo assign() for a run that the connection has sent nothing of. */
static void
unassign(struct brf_flow_target_conn *c)
{
	c->run->conn = NULL;
	c->run->out->writer = NULL;
	c->run = NULL;
}

static void
open_conn(struct brf_flow_target *t, struct brf_flow_run *run)
{
	struct brf_flow_target_conn *c = brf_calloc(1, sizeof(*c));

	c->target = t;
	brf_task_init(&c->work, work);
	c->timer.fire = connect_timed_out;
	c->timer.arg = c;
	uv_tcp_init(t->config.loop, &c->tcp);
	c->tcp.data = c;
	c->connect.data = c;
	brf_writer_init(&c->writer, (uv_stream_t *)&c->tcp, on_drained);
	brf_list_append(&t->conns, &c->link);
	t->count++;
	t->opened->value++;
	assign(c, run);
	brf_timer_start(t->config.timers, &c->timer, CONNECT_US);
	if (uv_tcp_connect(&c->connect, &c->tcp,
		(const struct sockaddr *)&t->addr, on_connect) != 0)
		fail_conn(c, false);
}

static bool
reuse(struct brf_flow_target *t, struct brf_flow_run *run)
{
	struct brf_flow_target_conn *c;
	uint64_t at = now(t);

	while (!brf_list_empty(&t->idle)) {
		c = brf_list_entry(
		    t->idle.next, struct brf_flow_target_conn, link);
		if (run->avoid_stale && at - c->idle_since > FRESH_US)
			return (false);
		if (c->expires_at <= at || c->input.len != 0 ||
		    c->peer_closed) {
			conn_close(c);
			continue;
		}
		assign(c, run);
		brf_list_remove(&c->link);
		brf_list_append(&t->conns, &c->link);
		run->reused = true;
		if (send_head(c, run))
			return (true);
		unassign(c);
		conn_close(c);
		run->reused = false;
	}
	return (false);
}

static void
fail_unsent(struct brf_flow_target *t, struct brf_flow_run *run)
{
	run->state = BRF_FLOW_RUN_FAILED;
	run->not_sent = true;
	post_owner(run, t);
}

void
brf_flow_target_run(struct brf_flow_target *t, struct brf_flow_run *run)
{
	run->state = BRF_FLOW_RUN_WAITING;
	if (t->closing) {
		fail_unsent(t, run);
		return;
	}
	if (reuse(t, run))
		return;
	if (t->count >= t->config.max_connections)
		fail_unsent(t, run);
	else
		open_conn(t, run);
}

void
brf_flow_run_cancel(struct brf_flow_run *run)
{
	struct brf_flow_target_conn *c = run->conn;

	if (run->body != NULL)
		run->body->reader = NULL;
	run->conn = NULL;
	if (c == NULL)
		return;
	run->out->writer = NULL;
	c->run = NULL;
	conn_close(c);
}

void
brf_flow_run_free(struct brf_flow_run *run)
{
	brf_buf_free(&run->head);
	brf_answer_head_free(&run->answer);
	brf_body_hash_free(&run->body_hash);
}

struct brf_flow_target *
brf_flow_target_new(
    const struct brf_flow_target_config *config, const struct sockaddr *addr)
{
	struct brf_flow_target *t = brf_calloc(1, sizeof(*t));

	t->config = *config;
	memcpy(&t->addr, addr, sizeof(struct sockaddr_in));
	brf_list_init(&t->conns);
	brf_list_init(&t->idle);
	t->sweep.fire = sweep;
	t->sweep.arg = t;
	t->opened = brf_metrics_counter(config->metrics,
	    "brf_target_connections_opened_total",
	    "Connections opened to the target.", "");
	t->dropped = brf_metrics_counter(config->metrics,
	    "brf_target_answers_dropped_total",
	    "Answers that named another request.", "");
	return (t);
}

void
brf_flow_target_set_max_connections(
    struct brf_flow_target *t, uint32_t max_connections)
{
	t->config.max_connections = max_connections;
}

static void
close_list(struct brf_list *conns)
{
	struct brf_flow_target_conn *c;

	while (!brf_list_empty(conns)) {
		c = brf_list_entry(
		    conns->next, struct brf_flow_target_conn, link);
		fail_conn(c, false);
	}
}

static bool
any_connected(const struct brf_list *conns)
{
	const struct brf_flow_target_conn *c;
	struct brf_list *l;

	brf_list_foreach (l, conns) {
		c = brf_list_entry(l, struct brf_flow_target_conn, link);
		if (c->connected && !c->peer_closed)
			return (true);
	}
	return (false);
}

bool
brf_flow_target_is_connected(const struct brf_flow_target *t)
{
	return (any_connected(&t->conns) || any_connected(&t->idle));
}

void
brf_flow_target_close_idle(struct brf_flow_target *t)
{
	close_list(&t->idle);
}

void
brf_flow_target_close(
    struct brf_flow_target *t, void (*closed)(void *arg), void *arg)
{
	t->closing = true;
	t->closed = closed;
	t->closed_arg = arg;
	brf_timer_stop(t->config.timers, &t->sweep);
	close_list(&t->idle);
	close_list(&t->conns);
	check_closed(t);
}

void
brf_flow_target_free(struct brf_flow_target *t)
{
	free(t);
}
