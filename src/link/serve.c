#include <stdlib.h>

#include "base/log.h"
#include "link/impl.h"

/**
 * struct served_hop - a hop received from another node.
 * @up: the body of the request
 * @text: storage of all texts of the request, each NUL-terminated
 * @replied: the head of the answer, or a refusal or failure, is written
 */
struct served_hop {
	struct brf_link_stream s;
	struct brf_hop hop;
	struct brf_pipe request_body;
	struct brf_buf text;
	bool replied;
};

static struct brf_link_conn *
conn_of(struct brf_conn *conn)
{
	return (brf_container_of(conn, struct brf_link_conn, conn));
}

static struct served_hop *
served_of(struct brf_link_stream *s)
{
	return (brf_container_of(s, struct served_hop, s));
}

static void
served_free(struct served_hop *sv)
{
	struct brf_link_conn *lc = sv->s.lc;

	brf_hop_release(&sv->hop);
	brf_list_remove(&sv->s.link);
	brf_task_cancel(&sv->s.work);
	brf_pipe_free(&sv->request_body);
	brf_buf_free(&sv->text);
	lc->open_streams--;
	brf_links_of(lc)->served--;
	free(sv);
}

static void
write_reply(struct served_hop *sv)
{
	struct brf_hop *hop = &sv->hop;
	struct brf_link_reply r = {
		.state = hop->state,
		.reason = hop->reason,
		.arrived = hop->arrived,
		.marked = hop->marked,
		.nested_route = hop->nested_route,
		.retry_after_ms = hop->retry_after_ms,
		.replacement = { hop->replacement.data, hop->replacement.len },
		.load = hop->load,
		.report = hop->report,
	};

	if (hop->state == BRF_HOP_ANSWERED) {
		r.status = (uint32_t)hop->answer.status;
		r.body = hop->answer.body;
		r.length = hop->answer.length;
		r.fields.data = hop->answer.fields.data;
		r.fields.len = hop->answer.fields.len;
		r.part = brf_link_peek_part(&sv->s.out, &r.end);
		r.end = r.end && hop->answer_body.state != BRF_PIPE_BROKEN;
	}
	brf_link_reply_put(&sv->s.lc->conn.out, sv->s.xid, &r);
	if (hop->state == BRF_HOP_ANSWERED)
		brf_link_consume_part(&sv->s.out, r.part.len, r.end);
	else
		sv->s.out.done = true;
	sv->replied = true;
	brf_conn_schedule_write(&sv->s.lc->conn);
}

static void
stream_work(struct brf_task *task)
{
	struct served_hop *sv =
	    served_of(brf_container_of(task, struct brf_link_stream, work));

	if (!sv->replied && sv->hop.state != BRF_HOP_OPEN)
		write_reply(sv);
	if (sv->replied)
		brf_link_send_body(&sv->s);
	if (sv->hop.request_body != NULL)
		brf_link_update_window(&sv->s);
	if (sv->replied && sv->s.out.done)
		served_free(sv);
}

static const char *
copy_text(struct brf_buf *b, const struct brf_link_text *t)
{
	size_t offset = b->len;

	brf_buf_add(b, t->data, t->len);
	brf_buf_add(b, "", 1);
	return (b->data + offset);
}

/* @caller is copied, since a waiting request keeps the one that it began with
 * while the peer may announce another. */
static void
fill_request(struct served_hop *sv, const struct brf_link_send *send,
    const char *caller, uint64_t now)
{
	struct brf_hop_request *rq = &sv->hop.request;
	struct brf_buf *b = &sv->text;

	/* one reservation: the texts must not move while they are added */
	brf_buf_reserve(b, send->id.len + send->target.len + send->method.len +
			       send->path.len + send->host.len +
			       send->fields.len + strlen(caller) + 7);
	rq->id = copy_text(b, &send->id);
	rq->target = copy_text(b, &send->target);
	rq->method = copy_text(b, &send->method);
	rq->path = copy_text(b, &send->path);
	rq->host = copy_text(b, &send->host);
	rq->fields = copy_text(b, &send->fields);
	rq->caller = b->data + b->len;
	brf_buf_add(b, caller, strlen(caller) + 1);
	rq->fields_len = send->fields.len;
	rq->deadline = now + send->timeout_us;
	rq->max_wait_us = send->max_wait_us;
	rq->length = send->length;
	rq->body = send->body;
	rq->rank = send->rank;
	rq->repeatable = send->repeatable;
	rq->nested = send->nested;
	rq->repeat = send->repeat;
	rq->rate_limit = send->rate_limit;
	rq->born = send->born;
}

static bool
handle_send(struct brf_link_conn *lc, uint32_t xid, XDR *xdr,
    const struct brf_record *record, const char *caller, struct brf_error *err)
{
	struct brf_links *links = brf_links_of(lc);
	struct brf_link_send send;
	struct served_hop *sv;

	if (!brf_link_send_get(xdr, record, &send, err))
		return (false);
	if (brf_link_find_stream(lc, xid) != NULL)
		return (brf_error_set(
		    err, BRF_E_RPC_ARGUMENT, 0, "stream is open already"));
	sv = brf_calloc(1, sizeof(*sv));
	sv->s.xid = xid;
	brf_link_add_stream(lc, &sv->s);
	links->served++;
	links->hops_received->value++;
	brf_task_init(&sv->s.work, stream_work);
	fill_request(sv, &send, caller, brf_links_now(links));
	sv->hop.owner = &sv->s.work;
	brf_pipe_init(&sv->request_body, links->config.tasks);
	sv->s.in.pipe = &sv->request_body;
	sv->s.in.granted = BRF_LINK_WINDOW;
	if (send.body != BRF_BODY_NONE) {
		sv->request_body.writer = &sv->s.work;
		sv->hop.request_body = &sv->request_body;
		brf_link_receive_part(&sv->s, &send.part, send.end, false, err);
	}
	brf_hop_send(links->config.gate, &sv->hop);
	sv->s.out.pipe = &sv->hop.answer_body;
	sv->s.out.window = BRF_LINK_WINDOW;
	return (true);
}

/**
 * struct served_conn - an accepted connection.
 * @service: service of the VM at the other end, the caller of its hops
 * @known: HELLO was received, so @service is set
 */
struct served_conn {
	struct brf_link_conn lc;
	char service[BRF_HEAD_ID_MAX];
	bool known;
};

static struct served_conn *
served_conn_of(struct brf_link_conn *lc)
{
	return (brf_container_of(lc, struct served_conn, lc));
}

static bool
handle_hello(struct served_conn *sc, const struct brf_record *record,
    struct brf_error *err)
{
	struct brf_rpc_header header;
	struct brf_link_hello hello;
	XDR xdr;

	if (!brf_rpc_read(&xdr, record, &header, err) ||
	    !brf_link_hello_get(&xdr, record, &hello, err))
		return (false);
	memcpy(sc->service, hello.service.data, hello.service.len);
	sc->service[hello.service.len] = '\0';
	sc->known = true;
	return (true);
}

static bool
handle_stream_call(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	struct brf_link_stream *s = brf_link_find_stream(lc, header->xid);
	struct brf_link_data data;
	struct brf_link_window_update window;

	switch (header->procedure) {
	case BRF_LINK_DATA:
		if (!brf_link_data_get(xdr, record, &data, err))
			return (false);
		return (s == NULL || brf_link_receive_part(s, &data.part,
					 data.end, data.broken, err));
	case BRF_LINK_WINDOW_UPDATE:
		if (!brf_link_window_update_get(xdr, record, &window, err))
			return (false);
		if (s != NULL) {
			s->out.window += window.bytes;
			brf_task_post(brf_links_of(lc)->config.tasks, &s->work);
		}
		return (true);
	case BRF_LINK_CANCEL:
		if (s != NULL)
			served_free(served_of(s));
		return (true);
	default:
		brf_rpc_write_status(
		    &lc->conn.out, header->xid, BRF_RPC_PROC_UNAVAIL);
		brf_conn_schedule_write(&lc->conn);
		return (true);
	}
}

/* The hop ends without a load report, which its gate would have to fill. */
static void
fail_hop(struct served_hop *sv)
{
	struct brf_link_data broken = {
		.stream = sv->s.xid,
		.part = { .data = "", .len = 0 },
		.broken = true,
	};

	brf_hop_release(&sv->hop);
	if (sv->replied) {
		brf_link_data_put(&sv->s.lc->conn.out, &broken);
		brf_conn_schedule_write(&sv->s.lc->conn);
	} else {
		sv->hop.state = BRF_HOP_FAILED;
		sv->hop.reason = BRF_R_CONNECTION_LOST;
		sv->hop.arrived = true;
		memset(&sv->hop.load, 0, sizeof(sv->hop.load));
		memset(&sv->hop.report, 0, sizeof(sv->hop.report));
		write_reply(sv);
	}
	served_free(sv);
}

/*
 * A message of one hop was malformed.  Records delimit the messages, so that
 * the other hops of the connection can go on.  A request that was not taken
 * gets a reply of its own, behind the one of the open hop with its xid.
 */
static void
fail_stream(struct brf_link_conn *lc, const struct brf_rpc_header *header,
    const struct brf_error *err)
{
	struct brf_link_stream *s = brf_link_find_stream(lc, header->xid);

	lc->conn.set->fault(lc->conn.set, err);
	if (s != NULL)
		fail_hop(served_of(s));
	if (header->procedure != BRF_LINK_SEND)
		return;
	brf_rpc_write_status(&lc->conn.out, header->xid, BRF_RPC_GARBAGE_ARGS);
	brf_conn_schedule_write(&lc->conn);
}

static bool
on_message(struct brf_conn *conn, const struct brf_record *record,
    struct brf_error *err)
{
	struct brf_link_conn *lc = conn_of(conn);
	struct served_conn *sc = served_conn_of(lc);
	struct brf_rpc_header header;
	bool known, taken;
	XDR xdr;

	if (!brf_rpc_read(&xdr, record, &header, err))
		return (false);
	if (header.is_call && header.procedure == BRF_LINK_HELLO &&
	    !handle_hello(sc, record, err))
		return (false);
	if (!brf_link_conn_handle_common(
		lc, &header, &xdr, record, &known, err))
		return (false);
	if (known || !header.is_call)
		return (true);
	if (!sc->known)
		return (
		    brf_error_set(err, BRF_E_AUTH, 0, "HELLO must come first"));
	if (header.procedure == BRF_LINK_WATCH)
		return (
		    brf_link_watch_serve(lc, header.xid, &xdr, record, err));
	if (header.procedure == BRF_LINK_NOTE)
		return (brf_link_note_serve(lc, header.xid, &xdr, record, err));
	if (header.procedure == BRF_LINK_SEND)
		taken =
		    handle_send(lc, header.xid, &xdr, record, sc->service, err);
	else
		taken = handle_stream_call(lc, &header, &xdr, record, err);
	if (!taken)
		fail_stream(lc, &header, err);
	return (true);
}

static void
on_fill(struct brf_conn *conn)
{
	(void)conn;
}

/* The answers can't be delivered any more, so the hops are cancelled. */
static void
on_lost(struct brf_conn *conn, const struct brf_error *err)
{
	struct brf_link_conn *lc = conn_of(conn);
	struct brf_list *l;
	size_t i;

	if (lc->open_streams != 0)
		brf_log(BRF_LOG_INFO, "caller_link_lost", BRF_LE(err),
		    BRF_LU("open", lc->open_streams));
	brf_link_watchers_lost(lc);
	for (i = 0; i < BRF_LINK_BUCKETS; i++) {
		while ((l = brf_list_pop(&lc->streams[i])) != NULL)
			served_free(served_of(
			    brf_list_entry(l, struct brf_link_stream, link)));
	}
}

static void
on_release(struct brf_conn *conn)
{
	struct brf_links *links =
	    brf_container_of(conn->set, struct brf_links, set);

	free(served_conn_of(conn_of(conn)));
	brf_links_check_closed(links);
}

static const struct brf_conn_vt served_vt = {
	.message = on_message,
	.fill = on_fill,
	.lost = on_lost,
	.release = on_release,
};

void
brf_link_accept(struct brf_links *links, uv_stream_t *listener)
{
	struct served_conn *sc = brf_calloc(1, sizeof(*sc));
	struct brf_error err;

	brf_link_conn_init(&sc->lc, links, &served_vt);
	sc->lc.connected = true;
	if (uv_accept(listener, (uv_stream_t *)&sc->lc.conn.tcp) != 0) {
		brf_error_set(&err, BRF_E_CLOSED, 0, "accept");
		brf_conn_close(&sc->lc.conn, &err);
		return;
	}
	brf_conn_start(&sc->lc.conn);
}
