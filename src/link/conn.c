#include "base/log.h"
#include "link/impl.h"

/* Fixed xids of the calls outside streams; see XID_PING in dial.c. */
#define XID_HELLO 0xffffffffu
#define XID_TABLE 0xfffffffeu
#define XID_REVISION 0xfffffffdu
#define XID_TARGETS 0xfffffffbu

void
brf_link_conn_init(struct brf_link_conn *lc, struct brf_links *links,
    const struct brf_conn_vt *vt)
{
	size_t i;

	for (i = 0; i < BRF_LINK_BUCKETS; i++)
		brf_list_init(&lc->streams[i]);
	brf_list_init(&lc->watchers);
	lc->received_at = brf_links_now(links);
	brf_conn_init(&lc->conn, vt, &links->set);
}

/* The revision of this node's table in force; 0 for none. */
static uint64_t
revision(const struct brf_links *links)
{
	struct brf_link_table_handler *news = links->config.news;

	return (news != NULL ? news->vt->revision(news) : 0);
}

static struct brf_link_text
text_of(const char *s)
{
	return ((struct brf_link_text){ .data = s, .len = strlen(s) });
}

void
brf_link_conn_send_hello(struct brf_link_conn *lc, uint32_t xid, bool reply)
{
	const struct brf_links *links = brf_links_of(lc);
	struct brf_link_hello hello = {
		.node = text_of(links->config.node),
		.service = text_of(links->config.service),
		.revision = revision(links),
	};

	brf_link_hello_put(
	    &lc->conn.out, reply ? xid : XID_HELLO, reply, &hello);
	brf_conn_schedule_write(&lc->conn);
}

void
brf_link_conn_check_revision(struct brf_link_conn *lc, uint64_t peer_revision)
{
	uint64_t own = revision(brf_links_of(lc));

	if (peer_revision <= own || lc->table_requested)
		return;
	lc->table_requested = true;
	brf_link_revision_put(&lc->conn.out, XID_TABLE, BRF_LINK_TABLE, own);
	brf_conn_schedule_write(&lc->conn);
}

void
brf_link_conn_request_targets(struct brf_link_conn *lc)
{
	struct brf_link_targets_handler *hints = brf_links_of(lc)->config.hints;

	if (hints == NULL || lc->targets_requested || !hints->vt->wanted(hints))
		return;
	lc->targets_requested = true;
	brf_link_empty_call_put(&lc->conn.out, XID_TARGETS, BRF_LINK_TARGETS);
	brf_conn_schedule_write(&lc->conn);
}

static void
reply_targets(struct brf_link_conn *lc, uint32_t xid)
{
	struct brf_link_targets_handler *hints = brf_links_of(lc)->config.hints;
	struct brf_buf known = { .data = NULL };
	struct brf_link_text text;

	if (hints != NULL)
		hints->vt->write(hints, &known);
	text.data = known.len != 0 ? known.data : "";
	text.len = known.len;
	brf_link_targets_put(&lc->conn.out, xid, &text);
	brf_conn_schedule_write(&lc->conn);
	brf_buf_free(&known);
}

static bool
handle_targets_reply(struct brf_link_conn *lc, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	struct brf_link_targets_handler *hints = brf_links_of(lc)->config.hints;
	struct brf_link_text text;

	lc->targets_requested = false;
	if (!brf_link_targets_get(xdr, record, &text, err))
		return (false);
	if (hints != NULL && hints->vt->wanted(hints))
		hints->vt->got(hints, text.data, text.len);
	return (true);
}

static void
reply_table(struct brf_link_conn *lc, uint32_t xid, uint64_t peer_revision)
{
	struct brf_link_table_handler *news = brf_links_of(lc)->config.news;
	struct brf_link_text text = { .data = "", .len = 0 };
	uint64_t own = revision(brf_links_of(lc));

	if (own <= peer_revision ||
	    !news->vt->text(news, &text.data, &text.len))
		own = 0;
	brf_link_table_put(&lc->conn.out, xid, own, &text);
	brf_conn_schedule_write(&lc->conn);
}

static bool
handle_table_reply(struct brf_link_conn *lc, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	struct brf_link_table_handler *news = brf_links_of(lc)->config.news;
	struct brf_link_text text;
	uint64_t peer_revision;

	lc->table_requested = false;
	if (!brf_link_table_get(xdr, record, &peer_revision, &text, err))
		return (false);
	if (peer_revision > revision(brf_links_of(lc)))
		news->vt->got(news, peer_revision, text.data, text.len);
	return (true);
}

static bool
handle_common_call(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, bool *handled, struct brf_error *err)
{
	struct brf_link_hello hello;
	uint64_t peer_revision;

	switch (header->procedure) {
	case BRF_LINK_NULL:
		brf_rpc_write_status(
		    &lc->conn.out, header->xid, BRF_RPC_SUCCESS);
		brf_conn_schedule_write(&lc->conn);
		return (true);
	case BRF_LINK_HELLO:
		if (!brf_link_hello_get(xdr, record, &hello, err))
			return (false);
		brf_link_conn_send_hello(lc, header->xid, true);
		brf_link_conn_check_revision(lc, hello.revision);
		brf_link_conn_request_targets(lc);
		return (true);
	case BRF_LINK_REVISION:
		if (!brf_link_revision_get(xdr, record, &peer_revision, err))
			return (false);
		brf_link_conn_check_revision(lc, peer_revision);
		return (true);
	case BRF_LINK_TABLE:
		if (!brf_link_revision_get(xdr, record, &peer_revision, err))
			return (false);
		reply_table(lc, header->xid, peer_revision);
		return (true);
	case BRF_LINK_TARGETS:
		reply_targets(lc, header->xid);
		return (true);
	default:
		*handled = false;
		return (true);
	}
}

bool
brf_link_conn_handle_common(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, bool *handled, struct brf_error *err)
{
	struct brf_link_hello hello;

	*handled = true;
	if (header->is_call) {
		if (header->rpc_version != RPC_MSG_VERSION ||
		    header->program != BRF_LINK_PROGRAM)
			return (brf_error_set(err, BRF_E_RPC_VERSION, 0,
			    "program %x", header->program));
		return (
		    handle_common_call(lc, header, xdr, record, handled, err));
	}
	if (header->xid != XID_HELLO && header->xid != XID_TABLE &&
	    header->xid != XID_TARGETS) {
		*handled = false;
		return (true);
	}
	if (header->status != BRF_RPC_SUCCESS)
		return (brf_error_set(
		    err, BRF_E_RPC_DENIED, 0, "status %d", header->status));
	if (header->xid == XID_TABLE)
		return (handle_table_reply(lc, xdr, record, err));
	if (header->xid == XID_TARGETS)
		return (handle_targets_reply(lc, xdr, record, err));
	if (!brf_link_hello_get(xdr, record, &hello, err))
		return (false);
	brf_link_conn_check_revision(lc, hello.revision);
	brf_link_conn_request_targets(lc);
	return (true);
}

struct brf_link_stream *
brf_link_find_stream(const struct brf_link_conn *lc, uint32_t xid)
{
	const struct brf_list *bucket = &lc->streams[xid % BRF_LINK_BUCKETS];
	struct brf_link_stream *s;
	struct brf_list *l;

	brf_list_foreach (l, bucket) {
		s = brf_list_entry(l, struct brf_link_stream, link);
		if (s->xid == xid)
			return (s);
	}
	return (NULL);
}

void
brf_link_add_stream(struct brf_link_conn *lc, struct brf_link_stream *s)
{
	s->lc = lc;
	brf_list_append(&lc->streams[s->xid % BRF_LINK_BUCKETS], &s->link);
	lc->open_streams++;
}

void
brf_links_announce_table(struct brf_links *links)
{
	uint64_t own = revision(links);
	struct brf_link_conn *lc;
	struct brf_list *l;

	brf_list_foreach (l, &links->set.conns) {
		lc = brf_list_entry(l, struct brf_link_conn, conn.link);
		if (lc->conn.closing || !lc->connected)
			continue;
		brf_link_revision_put(
		    &lc->conn.out, XID_REVISION, BRF_LINK_REVISION, own);
		brf_conn_schedule_write(&lc->conn);
	}
}

void
brf_links_request_targets(struct brf_links *links)
{
	struct brf_link_conn *lc;
	struct brf_list *l;

	brf_list_foreach (l, &links->set.conns) {
		lc = brf_list_entry(l, struct brf_link_conn, conn.link);
		if (!lc->conn.closing && lc->connected)
			brf_link_conn_request_targets(lc);
	}
}

void
brf_links_announce_service(struct brf_links *links)
{
	struct brf_link_conn *lc;
	struct brf_list *l;

	brf_list_foreach (l, &links->set.conns) {
		lc = brf_list_entry(l, struct brf_link_conn, conn.link);
		if (!lc->conn.closing && lc->connected && lc->link != NULL)
			brf_link_conn_send_hello(lc, 0, false);
	}
}
