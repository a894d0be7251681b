#include <stdlib.h>

#include "config/store_codec.h"
#include "link/impl.h"

/* xids of watches lie between those of streams and the fixed ones. */
#define XID_WATCH_FIRST 0xf0000000u
#define XID_WATCH_COUNT 0x0f000000u

void
brf_link_watches_send(struct brf_link *link)
{
	struct brf_link_watch *w;
	struct brf_list *l;

	brf_list_foreach (l, &link->watches) {
		w = brf_list_entry(l, struct brf_link_watch, link);
		if (w->sent)
			continue;
		w->sent = true;
		brf_link_watch_call_put(&link->lc->conn.out, w->xid, &w->call);
		brf_conn_schedule_write(&link->lc->conn);
	}
}

bool
brf_link_watch_start(struct brf_link *link, struct brf_link_watch *w)
{
	if (!brf_link_dial(link))
		return (false);
	w->xid = XID_WATCH_FIRST + link->next_watch_xid++ % XID_WATCH_COUNT;
	w->sent = false;
	brf_list_append(&link->watches, &w->link);
	if (link->lc != NULL && link->lc->connected)
		brf_link_watches_send(link);
	return (true);
}

void
brf_link_watch_cancel(struct brf_link_watch *w)
{
	if (w->link.next != NULL)
		brf_list_remove(&w->link);
}

void
brf_link_watches_lost(struct brf_link *link)
{
	struct brf_link_watch *w;
	struct brf_list *l, lost;

	brf_list_init(&lost);
	brf_list_move(&lost, &link->watches);
	while ((l = brf_list_pop(&lost)) != NULL) {
		w = brf_list_entry(l, struct brf_link_watch, link);
		w->done(w, NULL);
	}
}

static struct brf_link_watch *
find_watch(const struct brf_link *link, uint32_t xid)
{
	struct brf_link_watch *w;
	struct brf_list *l;

	brf_list_foreach (l, &link->watches) {
		w = brf_list_entry(l, struct brf_link_watch, link);
		if (w->sent && w->xid == xid)
			return (w);
	}
	return (NULL);
}

bool
brf_link_watch_handle_reply(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, bool *handled, struct brf_error *err)
{
	struct brf_link_watch_reply reply;
	struct brf_link_watch *w = NULL;

	*handled = !header->is_call && header->xid >= XID_WATCH_FIRST &&
		   header->xid - XID_WATCH_FIRST < XID_WATCH_COUNT;
	if (*handled && lc->link != NULL)
		w = find_watch(lc->link, header->xid);
	if (w == NULL)
		return (true); /* cancelled */
	if (header->status != BRF_RPC_SUCCESS) {
		brf_list_remove(&w->link);
		w->done(w, NULL);
		return (true);
	}
	if (!brf_link_watch_reply_get(xdr, record, &reply, err))
		return (false);
	brf_list_remove(&w->link);
	w->done(w, &reply);
	brf_store_event_free(&reply.event);
	return (true);
}

static void
watcher_free(struct brf_link_watcher *watcher)
{
	brf_list_remove(&watcher->link);
	brf_list_remove(&watcher->conn_link);
	free(watcher);
}

void
brf_link_watcher_reply(
    struct brf_link_watcher *watcher, const struct brf_link_watch_reply *reply)
{
	struct brf_conn *conn = &watcher->lc->conn;

	brf_link_watch_reply_put(&conn->out, watcher->xid, reply);
	brf_conn_schedule_write(conn);
	watcher_free(watcher);
}

bool
brf_link_watch_serve(struct brf_link_conn *lc, uint32_t xid, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	struct brf_link_watch_handler *handler =
	    brf_links_of(lc)->config.watches;
	struct brf_link_watch_call call;
	struct brf_link_watcher *watcher;

	if (!brf_link_watch_call_get(xdr, record, &call, err))
		return (false);
	if (handler == NULL) {
		brf_rpc_write_status(&lc->conn.out, xid, BRF_RPC_PROC_UNAVAIL);
		brf_conn_schedule_write(&lc->conn);
		return (true);
	}
	watcher = brf_calloc(1, sizeof(*watcher));
	brf_list_init(&watcher->link);
	memcpy(watcher->prefix, call.prefix.data, call.prefix.len);
	watcher->epoch = call.epoch;
	watcher->after = call.after;
	watcher->age_us = call.age_us;
	watcher->lc = lc;
	watcher->xid = xid;
	brf_list_append(&lc->watchers, &watcher->conn_link);
	handler->vt->start(handler, watcher);
	return (true);
}

void
brf_link_watchers_lost(struct brf_link_conn *lc)
{
	struct brf_link_watch_handler *handler =
	    brf_links_of(lc)->config.watches;
	struct brf_link_watcher *watcher;
	struct brf_list *l;

	while ((l = brf_list_pop(&lc->watchers)) != NULL) {
		watcher = brf_list_entry(l, struct brf_link_watcher, conn_link);
		handler->vt->gone(handler, watcher);
		watcher_free(watcher);
	}
}
