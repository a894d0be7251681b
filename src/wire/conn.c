#include "base/tcp.h"
#include "wire/conn.h"

/* Bytes; a larger output buffer is freed when it has been written. */
#define KEPT_SIZE ((size_t)256 * 1024)

/* Bytes waiting to be written above which reading stops. */
#define OUT_HIGH_SIZE ((size_t)4 * 1024 * 1024)

/* Seconds without traffic after which TCP sends a keepalive probe. */
#define KEEPALIVE_IDLE_S 10

/* Milliseconds that sent data may stay unacknowledged. */
#define UNACKED_TIMEOUT_MS 5000u

void
brf_conn_set_init(struct brf_conn_set *set, uv_loop_t *loop,
    void (*fault)(struct brf_conn_set *set, const struct brf_error *err))
{
	set->loop = loop;
	set->fault = fault;
	brf_list_init(&set->conns);
	brf_list_init(&set->dirty);
}

void
brf_conn_init(struct brf_conn *conn, const struct brf_conn_vt *vt,
    struct brf_conn_set *set)
{
	conn->vt = vt;
	conn->set = set;
	uv_tcp_init(set->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->write.data = conn;
	brf_list_init(&conn->dirty);
	brf_list_init(&conn->link);
	brf_list_append(&set->conns, &conn->link);
	set->connections->value++;
}

static void
on_closed(uv_handle_t *handle)
{
	struct brf_conn *conn = handle->data;

	brf_list_remove(&conn->link);
	conn->set->connections->value--;
	brf_buf_free(&conn->out);
	brf_buf_free(&conn->writing);
	brf_record_reader_free(&conn->reader);
	conn->vt->release(conn);
}

static int
try_write(struct brf_conn *conn)
{
	uv_buf_t buf = uv_buf_init(conn->out.data, (unsigned int)conn->out.len);
	int n = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);

	if (n > 0)
		conn->accepted += (uint64_t)n;
	return (n == UV_EAGAIN ? 0 : n);
}

/* The progress of a pending uv_write() is known from its queue size only. */
static void
update_accepted(struct brf_conn *conn)
{
	if (!conn->write_pending)
		return;
	conn->accepted = conn->submitted - uv_stream_get_write_queue_size(
					       (uv_stream_t *)&conn->tcp);
}

void
brf_conn_close(struct brf_conn *conn, const struct brf_error *err)
{
	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->out.len != 0 && !conn->write_pending)
		try_write(conn);
	update_accepted(conn);
	brf_list_remove(&conn->dirty);
	if (err->code != BRF_E_CLOSED)
		conn->set->fault(conn->set, err);
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
	conn->vt->lost(conn, err);
}

void
brf_conn_schedule_write(struct brf_conn *conn)
{
	if (conn->closing || !brf_list_empty(&conn->dirty))
		return;
	brf_list_append(&conn->set->dirty, &conn->dirty);
}

static void
fail_system(struct brf_conn *conn, int status, const char *what)
{
	struct brf_error err;

	brf_error_set(&err, BRF_E_CLOSED, status, "%s", what);
	brf_conn_close(conn, &err);
}

static void
on_written(uv_write_t *req, int status)
{
	struct brf_conn *conn = req->data;

	if (conn->closing)
		return;
	if (status < 0) {
		fail_system(conn, status, "write");
		return;
	}
	conn->write_pending = false;
	conn->accepted = conn->submitted;
	brf_buf_clear(&conn->writing);
	if (conn->writing.cap > KEPT_SIZE)
		brf_buf_free(&conn->writing);
	brf_conn_schedule_write(conn);
}

/* The kernel has accepted @done bytes of @out; pass the rest to uv_write(). */
static void
write_rest(struct brf_conn *conn, size_t done)
{
	struct brf_buf empty = conn->writing;
	uv_buf_t buf;
	int rc;

	conn->writing = conn->out;
	conn->out = empty;
	conn->submitted += conn->writing.len;
	conn->write_pending = true;
	buf = uv_buf_init(conn->writing.data + done,
	    (unsigned int)(conn->writing.len - done));
	rc = uv_write(
	    &conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_written);
	if (rc < 0)
		fail_system(conn, rc, "write");
}

static void
process_records(struct brf_conn *conn)
{
	enum brf_record_result result = BRF_RECORD_INCOMPLETE;
	struct brf_error err = { .code = BRF_OK };
	struct brf_record record;

	while (!conn->closing) {
		result = brf_record_next(&conn->reader, &record, &err);
		if (result != BRF_RECORD_COMPLETE)
			break;
		if (!conn->vt->message(conn, &record, &err))
			result = BRF_RECORD_INVALID;
		if (result == BRF_RECORD_INVALID)
			break;
	}
	if (result == BRF_RECORD_INVALID)
		brf_conn_close(conn, &err);
}

static void
end_of_stream(struct brf_conn *conn, int status)
{
	struct brf_error err;

	if (brf_record_finish(&conn->reader, &err))
		brf_error_set(
		    &err, BRF_E_CLOSED, status == UV_EOF ? 0 : status, "read");
	brf_conn_close(conn, &err);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct brf_conn *conn = stream->data;

	if (conn->closing || n == 0)
		return;
	if (n < 0) {
		end_of_stream(conn, (int)n);
		return;
	}
	conn->received += (uint64_t)n;
	brf_record_feed(&conn->reader, buf->base, (size_t)n);
	process_records(conn);
}

static void
update_paused(struct brf_conn *conn)
{
	size_t waiting = conn->out.len + uv_stream_get_write_queue_size(
					     (uv_stream_t *)&conn->tcp);
	bool pause = conn->write_pending && waiting > OUT_HIGH_SIZE;

	if (pause == conn->paused)
		return;
	conn->paused = pause;
	if (pause)
		uv_read_stop((uv_stream_t *)&conn->tcp);
	else
		uv_read_start(
		    (uv_stream_t *)&conn->tcp, brf_tcp_alloc, on_read);
}

static void
flush(struct brf_conn *conn)
{
	int n;

	while (!conn->closing && !conn->write_pending) {
		conn->vt->fill(conn);
		if (conn->out.len == 0)
			break;
		n = try_write(conn);
		if (n < 0) {
			brf_buf_clear(&conn->out);
			fail_system(conn, n, "write");
			return;
		}
		if ((size_t)n < conn->out.len) {
			write_rest(conn, (size_t)n);
			break;
		}
		conn->submitted += conn->out.len;
		brf_buf_clear(&conn->out);
		if (conn->out.cap > KEPT_SIZE)
			brf_buf_free(&conn->out);
	}
	if (!conn->closing)
		update_paused(conn);
}

/*
 * TCP_USER_TIMEOUT (RFC 5482) detects a node that became unreachable without
 * closing the connection, by data it does not acknowledge.  The kernel of a
 * paused process still acknowledges data, until its buffers are full.
 */
static void
set_options(struct brf_conn *conn)
{
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_tcp_keepalive(&conn->tcp, 1, KEEPALIVE_IDLE_S);
	brf_tcp_bound_unacked(&conn->tcp, UNACKED_TIMEOUT_MS);
}

void
brf_conn_start(struct brf_conn *conn)
{
	set_options(conn);
	uv_read_start((uv_stream_t *)&conn->tcp, brf_tcp_alloc, on_read);
}

void
brf_conn_set_flush(struct brf_conn_set *set)
{
	struct brf_conn *conn;

	while (!brf_list_empty(&set->dirty)) {
		conn = brf_list_entry(set->dirty.next, struct brf_conn, dirty);
		brf_list_remove(&conn->dirty);
		flush(conn);
	}
}
