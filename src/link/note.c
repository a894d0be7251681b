#include "link/impl.h"

/* xids of notes follow those of watches, see watch.c. */
#define XID_NOTE_FIRST 0xff000000u
#define XID_NOTE_COUNT 0x00f00000u

void
brf_link_notes_send(struct brf_link *link)
{
	struct brf_link_note *n;
	struct brf_list *l;

	brf_list_foreach (l, &link->notes) {
		n = brf_list_entry(l, struct brf_link_note, link);
		if (n->sent)
			continue;
		n->sent = true;
		brf_link_note_put(&link->lc->conn.out, n->xid, &n->text);
		brf_conn_schedule_write(&link->lc->conn);
	}
}

bool
brf_link_note_send(struct brf_link *link, struct brf_link_note *n)
{
	if (!brf_link_dial(link))
		return (false);
	n->xid = XID_NOTE_FIRST + link->next_note_xid++ % XID_NOTE_COUNT;
	n->sent = false;
	brf_list_append(&link->notes, &n->link);
	if (link->lc != NULL && link->lc->connected)
		brf_link_notes_send(link);
	return (true);
}

void
brf_link_note_cancel(struct brf_link_note *n)
{
	if (n->link.next != NULL)
		brf_list_remove(&n->link);
}

void
brf_link_notes_lost(struct brf_link *link)
{
	struct brf_link_note *n;
	struct brf_list *l, lost;

	brf_list_init(&lost);
	brf_list_move(&lost, &link->notes);
	while ((l = brf_list_pop(&lost)) != NULL) {
		n = brf_list_entry(l, struct brf_link_note, link);
		n->done(n, BRF_LINK_NOTE_LOST);
	}
}

static struct brf_link_note *
find_note(const struct brf_link *link, uint32_t xid)
{
	struct brf_link_note *n;
	struct brf_list *l;

	brf_list_foreach (l, &link->notes) {
		n = brf_list_entry(l, struct brf_link_note, link);
		if (n->sent && n->xid == xid)
			return (n);
	}
	return (NULL);
}

bool
brf_link_note_handle_reply(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, bool *handled, struct brf_error *err)
{
	enum brf_link_note_result result = BRF_LINK_NOTE_LOST;
	struct brf_link_note *n = NULL;

	*handled = !header->is_call && header->xid >= XID_NOTE_FIRST &&
		   header->xid - XID_NOTE_FIRST < XID_NOTE_COUNT;
	if (*handled && lc->link != NULL)
		n = find_note(lc->link, header->xid);
	if (n == NULL)
		return (true); /* cancelled */
	if (header->status == BRF_RPC_SUCCESS &&
	    !brf_link_note_result_get(xdr, record, &result, err))
		return (false);
	brf_list_remove(&n->link);
	n->done(n, result);
	return (true);
}

bool
brf_link_note_serve(struct brf_link_conn *lc, uint32_t xid, XDR *xdr,
    const struct brf_record *record, struct brf_error *err)
{
	struct brf_link_note_handler *handler = brf_links_of(lc)->config.notes;
	struct brf_link_text text;

	if (!brf_link_note_get(xdr, record, &text, err))
		return (false);
	if (handler == NULL)
		brf_rpc_write_status(&lc->conn.out, xid, BRF_RPC_PROC_UNAVAIL);
	else
		brf_link_note_result_put(&lc->conn.out, xid,
		    handler->vt->got(handler, text.data, text.len));
	brf_conn_schedule_write(&lc->conn);
	return (true);
}
