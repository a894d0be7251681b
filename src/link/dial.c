#include <stdlib.h>

#include "base/log.h"
#include "link/impl.h"

#define CONNECT_TIMEOUT_US (400 * BRF_US_PER_MS)
#define BACKOFF_FIRST_US (100 * BRF_US_PER_MS) /* after one failure */
#define BACKOFF_MAX_US BRF_US_PER_S /* doubled per failure up to this */
#define XID_PING 0xfffffffcu
#define XID_STREAMS_END 0xf0000000u /* xids of streams are smaller */

/**
 * struct sent_hop - the sending side of a hop.
 * @link: the link it was sent on
 * @hop: owned by its sender; hop->impl points back here
 * @offset: position of the request's first byte in the bytes written to the
 * connection; tells after a loss whether the kernel accepted any of them
 */
struct sent_hop {
	struct brf_link_stream s;
	struct brf_link *link;
	struct brf_hop *hop;
	uint64_t offset;
};

static struct sent_hop *
sent_of(struct brf_link_stream *s)
{
	return (brf_container_of(s, struct sent_hop, s));
}

static struct brf_link_conn *
conn_of(struct brf_conn *conn)
{
	return (brf_container_of(conn, struct brf_link_conn, conn));
}

/* Free the stream and detach it from the hop, which its sender owns. */
static void
sent_free(struct sent_hop *sh)
{
	if (sh->s.lc != NULL)
		sh->s.lc->open_streams--;
	brf_list_remove(&sh->s.link);
	brf_task_cancel(&sh->s.work);
	if (sh->s.out.pipe != NULL)
		sh->s.out.pipe->reader = NULL;
	sh->hop->answer_body.writer = NULL;
	sh->hop->impl = NULL;
	free(sh);
}

static void
end_hop(struct sent_hop *sh, enum brf_hop_state state, enum brf_reason reason)
{
	struct brf_hop *hop = sh->hop;
	struct brf_links *links = sh->link->links;

	sent_free(sh);
	if (hop->state == BRF_HOP_ANSWERED) {
		hop->reason = reason;
		brf_pipe_break(&hop->answer_body);
		return;
	}
	hop->state = state;
	hop->reason = reason;
	brf_task_post(links->config.tasks, hop->owner);
}

static bool
stream_finished(const struct sent_hop *sh)
{
	return (sh->hop->state == BRF_HOP_ANSWERED && sh->s.in.done);
}

static void
stream_work(struct brf_task *task)
{
	struct brf_link_stream *s =
	    brf_container_of(task, struct brf_link_stream, work);

	if (s->lc == NULL)
		return; /* not written yet */
	brf_link_send_body(s);
	brf_link_update_window(s);
}

static struct brf_link_text
text_of(const char *s)
{
	return ((struct brf_link_text){ .data = s, .len = strlen(s) });
}

static uint32_t
time_left(const struct brf_links *links, const struct brf_hop_request *rq)
{
	uint64_t t = brf_links_now(links);

	if (rq->deadline <= t)
		return (0);
	return (rq->deadline - t < UINT32_MAX ? (uint32_t)(rq->deadline - t)
					      : UINT32_MAX);
}

static void
write_send(struct brf_link_conn *lc, struct sent_hop *sh)
{
	const struct brf_hop_request *rq = &sh->hop->request;
	struct brf_link_send send = {
		.timeout_us = time_left(brf_links_of(lc), rq),
		.max_wait_us = rq->max_wait_us < UINT32_MAX
				   ? (uint32_t)rq->max_wait_us
				   : UINT32_MAX,
		.rank = rq->rank,
		.body = rq->body,
		.repeatable = rq->repeatable,
		.nested = rq->nested,
		.repeat = rq->repeat,
		.length = rq->length,
		.id = text_of(rq->id),
		.target = text_of(rq->target),
		.method = text_of(rq->method),
		.path = text_of(rq->path),
		.host = text_of(rq->host),
		.fields = { .data = rq->fields, .len = rq->fields_len },
		.rate_limit = rq->rate_limit,
		.born = rq->born,
	};

	send.part = brf_link_peek_part(&sh->s.out, &send.end);
	sh->offset = lc->conn.submitted + lc->conn.out.len;
	sh->s.xid = lc->next_xid++ % XID_STREAMS_END;
	brf_link_send_put(&lc->conn.out, sh->s.xid, &send);
	brf_link_consume_part(&sh->s.out, send.part.len, send.end);
	brf_list_remove(&sh->s.link);
	brf_link_add_stream(lc, &sh->s);
	brf_links_of(lc)->hops_sent->value++;
	brf_link_send_body(&sh->s); /* bytes already in the pipe post no task */
}

static void
start_silence_timer(struct brf_link_conn *lc)
{
	if (lc->open_streams != 0 && !brf_timer_active(&lc->timer))
		brf_timer_start(brf_links_of(lc)->config.timers, &lc->timer,
		    BRF_LINK_PING_US);
}

static void
on_fill(struct brf_conn *conn)
{
	struct brf_link_conn *lc = conn_of(conn);
	struct brf_link *link = lc->link;

	if (!lc->connected || link == NULL)
		return;
	if (lc->open_streams == 0)
		lc->received_at = brf_links_now(link->links);
	while (
	    !brf_list_empty(&link->queue) && conn->out.len < BRF_LINK_BATCH_MAX)
		write_send(lc, sent_of(brf_list_entry(link->queue.next,
				   struct brf_link_stream, link)));
	start_silence_timer(lc);
}

static void
start_answer(struct sent_hop *sh, const struct brf_link_reply *r)
{
	struct brf_hop *hop = sh->hop;

	hop->state = BRF_HOP_ANSWERED;
	hop->arrived = true;
	hop->answer.status = (int)r->status;
	hop->answer.body = r->body;
	hop->answer.length = r->length;
	brf_buf_add(&hop->answer.fields, r->fields.data, r->fields.len);
	hop->answer_body.reader = hop->owner;
}

static bool
handle_reply(struct brf_link_conn *lc, struct brf_link_stream *s, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	struct sent_hop *sh = sent_of(s);
	struct brf_hop *hop = sh->hop;
	struct brf_link_reply r;

	if (hop->state != BRF_HOP_OPEN)
		return (brf_error_set(
		    err, BRF_E_RPC_UNMATCHED, 0, "second reply to one call"));
	if (!brf_link_reply_get(xdr, record, &r, err))
		return (false);
	hop->load = r.load;
	hop->report = r.report;
	hop->has_load = r.load.limit != 0; /* see fail_hop() in serve.c */
	hop->arrived = r.arrived;
	hop->marked = r.marked;
	hop->nested_route = r.nested_route;
	hop->retry_after_ms = r.retry_after_ms;
	if (r.state != BRF_HOP_ANSWERED) {
		brf_buf_add(
		    &hop->replacement, r.replacement.data, r.replacement.len);
		end_hop(sh, r.state, r.reason);
		return (true);
	}
	start_answer(sh, &r);
	if (!brf_link_receive_part(s, &r.part, r.end, false, err))
		return (false);
	brf_task_post(brf_links_of(lc)->config.tasks, hop->owner);
	if (stream_finished(sh))
		sent_free(sh);
	return (true);
}

static bool
handle_data(struct brf_link_stream *s, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	struct sent_hop *sh = sent_of(s);
	struct brf_link_data data;

	if (!brf_link_data_get(xdr, record, &data, err))
		return (false);
	if (sh->hop->state != BRF_HOP_ANSWERED)
		return (brf_error_set(err, BRF_E_RPC_UNMATCHED, 0,
		    "answer body before its head"));
	if (!brf_link_receive_part(s, &data.part, data.end, data.broken, err))
		return (false);
	if (stream_finished(sh))
		sent_free(sh);
	return (true);
}

static bool
handle_window_update(struct brf_link_stream *s, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	struct brf_link_window_update window;

	if (!brf_link_window_update_get(xdr, record, &window, err))
		return (false);
	s->out.window += window.bytes;
	brf_link_send_body(s);
	return (true);
}

/*
 * End the hop whose message was malformed.  Records delimit the messages, so
 * that the other hops of the connection can go on.
 */
static void
fail_stream(struct brf_link_stream *s, const struct brf_error *err)
{
	struct brf_link_conn *lc = s->lc;

	lc->conn.set->fault(lc->conn.set, err);
	brf_link_cancel_put(&lc->conn.out, s->xid);
	brf_conn_schedule_write(&lc->conn);
	end_hop(sent_of(s), BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER);
}

static bool
handle_stream_message(struct brf_link_conn *lc, struct brf_link_stream *s,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	if (!header->is_call)
		return (handle_reply(lc, s, xdr, record, err));
	if (header->procedure == BRF_LINK_DATA)
		return (handle_data(s, xdr, record, err));
	if (header->procedure == BRF_LINK_WINDOW_UPDATE)
		return (handle_window_update(s, xdr, record, err));
	return (brf_error_set(
	    err, BRF_E_RPC_PROCEDURE, 0, "procedure %u", header->procedure));
}

static void
log_link_up(struct brf_link_conn *lc)
{
	struct brf_link *link = lc->link;

	lc->logged_up = true;
	brf_log(BRF_LOG_INFO, "link_up", BRF_LS("peer", link->name),
	    BRF_LU("failures", link->failures));
	link->failures = 0;
}

static bool
on_message(struct brf_conn *conn, const struct brf_record *record,
    struct brf_error *err)
{
	struct brf_link_conn *lc = conn_of(conn);
	struct brf_rpc_header header;
	struct brf_link_stream *s;
	bool handled;
	XDR xdr;

	lc->received_at = brf_links_now(brf_links_of(lc));
	lc->pinged_at = 0;
	lc->silent = false;
	if (lc->link != NULL && !lc->logged_up)
		log_link_up(lc);
	if (!brf_rpc_read(&xdr, record, &header, err) ||
	    !brf_link_conn_handle_common(
		lc, &header, &xdr, record, &handled, err))
		return (false);
	if (handled || header.xid == XID_PING)
		return (true);
	if (!brf_link_watch_handle_reply(
		lc, &header, &xdr, record, &handled, err))
		return (false);
	if (!handled && !brf_link_note_handle_reply(
			    lc, &header, &xdr, record, &handled, err))
		return (false);
	if (handled)
		return (true);
	s = brf_link_find_stream(lc, header.xid);
	if (s == NULL)
		return (true); /* the hop was cancelled */
	if (!header.is_call && header.status != BRF_RPC_SUCCESS) {
		end_hop(sent_of(s), BRF_HOP_REFUSED, BRF_R_NOT_SENT);
		return (true);
	}
	if (!handle_stream_message(lc, s, &header, &xdr, record, err))
		fail_stream(s, err);
	return (true);
}

static void
end_queue(struct brf_link *link)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&link->queue)) != NULL)
		end_hop(
		    sent_of(brf_list_entry(l, struct brf_link_stream, link)),
		    BRF_HOP_REFUSED, BRF_R_NOT_SENT);
}

static void
end_streams(struct brf_link_conn *lc)
{
	struct sent_hop *sh;
	struct brf_list *l;
	size_t i;

	for (i = 0; i < BRF_LINK_BUCKETS; i++) {
		while ((l = brf_list_pop(&lc->streams[i])) != NULL) {
			sh = sent_of(
			    brf_list_entry(l, struct brf_link_stream, link));
			if (sh->offset >= lc->conn.accepted)
				end_hop(sh, BRF_HOP_REFUSED, BRF_R_NOT_SENT);
			else
				end_hop(
				    sh, BRF_HOP_FAILED, BRF_R_CONNECTION_LOST);
		}
	}
}

static void
back_off(struct brf_link *link)
{
	uint64_t backoff = BACKOFF_FIRST_US
			   << (link->failures < 4 ? link->failures : 4);

	link->failures++;
	link->down_until =
	    brf_links_now(link->links) +
	    (backoff < BACKOFF_MAX_US ? backoff : BACKOFF_MAX_US);
}

static void
on_lost(struct brf_conn *conn, const struct brf_error *err)
{
	struct brf_link_conn *lc = conn_of(conn);
	struct brf_links *links = brf_links_of(lc);
	struct brf_link *link = lc->link;

	brf_timer_stop(links->config.timers, &lc->timer);
	lc->link = NULL;
	end_streams(lc);
	if (link == NULL)
		return;
	link->lc = NULL;
	if (link->refs != 0)
		back_off(link);
	if (!links->closing)
		brf_log(BRF_LOG_INFO, "link_lost", BRF_LS("peer", link->name),
		    BRF_LE(err), BRF_LU("failures", link->failures));
	end_queue(link);
	link->refs++; /* the callbacks may release the last reference */
	brf_link_watches_lost(link);
	brf_link_notes_lost(link);
	link->refs--;
	brf_link_end_if_unused(link);
}

static void
on_release(struct brf_conn *conn)
{
	struct brf_links *links =
	    brf_container_of(conn->set, struct brf_links, set);

	free(conn_of(conn));
	brf_links_check_closed(links);
}

const struct brf_conn_vt brf_link_dialed_vt = {
	.message = on_message,
	.fill = on_fill,
	.lost = on_lost,
	.release = on_release,
};

static void
close_conn(struct brf_link_conn *lc, const char *reason)
{
	struct brf_error err;

	brf_error_set(&err, BRF_E_CLOSED, 0, "%s", reason);
	brf_conn_close(&lc->conn, &err);
}

static void
check_silence(struct brf_timer *timer, void *arg)
{
	struct brf_link_conn *lc = arg;
	struct brf_links *links = brf_links_of(lc);
	uint64_t silence = brf_links_now(links) - lc->received_at;

	(void)timer;
	if (!lc->connected) {
		close_conn(lc, "connecting timed out");
		return;
	}
	/* hops avoid a silent node, so that none would detect its end */
	if (lc->open_streams == 0 && !lc->silent) {
		if (lc->link != NULL)
			brf_link_end_if_unused(lc->link);
		return;
	}
	if (silence >= BRF_LINK_DEAD_US) {
		close_conn(lc, "silent");
		return;
	}
	if (silence >= BRF_LINK_SILENT_US && !lc->silent) {
		lc->silent = true;
		links->silences->value++;
		brf_log(BRF_LOG_INFO, "link_silent",
		    BRF_LS("peer", lc->link != NULL ? lc->link->name : ""),
		    BRF_LU("open", lc->open_streams),
		    BRF_LU("silent_ms", silence / BRF_US_PER_MS));
	}
	if (silence >= BRF_LINK_PING_US && lc->pinged_at == 0) {
		lc->pinged_at = brf_links_now(links);
		brf_link_empty_call_put(&lc->conn.out, XID_PING, BRF_LINK_NULL);
		brf_conn_schedule_write(&lc->conn);
	}
	brf_timer_start(links->config.timers, &lc->timer,
	    silence < BRF_LINK_PING_US ? BRF_LINK_PING_US - silence
				       : BRF_LINK_PING_US);
}

static void
on_connect(uv_connect_t *request, int status)
{
	struct brf_link_conn *lc = request->data;

	if (lc->conn.closing)
		return;
	if (status < 0) {
		close_conn(lc, uv_strerror(status));
		return;
	}
	brf_timer_stop(brf_links_of(lc)->config.timers, &lc->timer);
	lc->connected = true;
	lc->received_at = brf_links_now(brf_links_of(lc));
	brf_conn_start(&lc->conn);
	brf_link_conn_send_hello(lc, 0, false);
	if (lc->link != NULL) {
		brf_link_watches_send(lc->link);
		brf_link_notes_send(lc->link);
	}
}

static void
dial(struct brf_link *link)
{
	struct brf_links *links = link->links;
	struct brf_link_conn *lc = brf_calloc(1, sizeof(*lc));
	int rc;

	lc->link = link;
	link->lc = lc;
	lc->timer.fire = check_silence;
	lc->timer.arg = lc;
	lc->connect.data = lc;
	brf_link_conn_init(lc, links, &brf_link_dialed_vt);
	brf_timer_start(links->config.timers, &lc->timer, CONNECT_TIMEOUT_US);
	rc = uv_tcp_connect(&lc->connect, &lc->conn.tcp,
	    (const struct sockaddr *)&link->addr, on_connect);
	if (rc != 0)
		close_conn(lc, uv_strerror(rc));
}

bool
brf_link_dial(struct brf_link *link)
{
	struct brf_links *links = link->links;

	if (link->lc == NULL &&
	    (brf_links_now(links) < link->down_until || links->closing))
		return (false);
	if (link->lc == NULL)
		dial(link);
	return (link->lc != NULL);
}

static void
link_send(struct brf_hop_backend *backend, struct brf_hop *hop)
{
	struct brf_link *link =
	    brf_container_of(backend, struct brf_link, backend);
	struct brf_links *links = link->links;
	struct sent_hop *sh = brf_calloc(1, sizeof(*sh));

	link->hops++;
	sh->link = link;
	sh->hop = hop;
	hop->impl = sh;
	brf_task_init(&sh->s.work, stream_work);
	brf_pipe_init(&hop->answer_body, links->config.tasks);
	hop->answer_body.writer = &sh->s.work;
	sh->s.in.pipe = &hop->answer_body;
	sh->s.in.granted = BRF_LINK_WINDOW;
	sh->s.out.pipe = hop->request_body;
	sh->s.out.window = BRF_LINK_WINDOW;
	if (hop->request_body != NULL)
		hop->request_body->reader = &sh->s.work;
	brf_list_append(&link->queue, &sh->s.link);
	if (!brf_link_dial(link)) {
		end_queue(link);
		return;
	}
	if (link->lc != NULL && link->lc->connected)
		brf_conn_schedule_write(&link->lc->conn);
}

static void
cancel_stream(struct sent_hop *sh)
{
	struct brf_link_conn *lc = sh->s.lc;

	if (lc != NULL && !lc->conn.closing) {
		brf_link_cancel_put(&lc->conn.out, sh->s.xid);
		brf_conn_schedule_write(&lc->conn);
	}
	sent_free(sh);
}

static void
link_cancel(struct brf_hop_backend *backend, struct brf_hop *hop)
{
	struct brf_link *link =
	    brf_container_of(backend, struct brf_link, backend);
	struct sent_hop *sh = hop->impl;

	if (sh != NULL)
		cancel_stream(sh);
	link->hops--;
	brf_link_end_if_unused(link);
}

const struct brf_hop_backend_vt brf_link_backend_vt = {
	.send = link_send,
	.cancel = link_cancel,
};
