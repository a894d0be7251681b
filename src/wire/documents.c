#include <stdlib.h>

#include "wire/documents.h"

#define ITEM_SIZE 256u /* bytes; upper bound of an item without its text */
#define UPDATES_SIZE (BRF_XDR_BODY + ITEM_SIZE) /* bytes; bound of a reply */

/**
 * struct update_list - result of the call, while it is collected.
 * @bytes: upper bound of the encoded size of the items
 */
struct update_list {
	brf_xdr_document items[BRF_DOCUMENT_UPDATES_MAX];
	size_t count;
	size_t bytes;
};

/* Copies @update, which is valid only during the call. */
static bool
add_update(const struct brf_document_update *update, void *arg)
{
	struct update_list *list = arg;
	brf_xdr_document *item = &list->items[list->count];
	size_t bytes = update->len + ITEM_SIZE;

	if (list->count == BRF_DOCUMENT_UPDATES_MAX ||
	    update->len > BRF_XDR_BODY || list->bytes + bytes > UPDATES_SIZE)
		return (false);
	item->service.service_len = (u_int)strlen(update->service);
	item->service.service_val =
	    brf_strdup(update->service, item->service.service_len);
	item->revision = update->revision;
	item->text.text_len = (u_int)update->len;
	item->text.text_val =
	    update->len != 0 ? brf_strdup(update->text, update->len) : NULL;
	list->bytes += bytes;
	list->count++;
	return (true);
}

static void
write_updates(struct brf_buf *out, uint32_t xid, struct update_list *list)
{
	brf_xdr_documents docs = {
		.newer.newer_len = (u_int)list->count,
		.newer.newer_val = list->items,
	};
	struct brf_rpc_writer w;

	brf_rpc_begin_reply(
	    &w, out, list->bytes + ITEM_SIZE, xid, BRF_RPC_SUCCESS);
	if (!brf_rpc_end(&w, xdr_brf_xdr_documents(&w.xdr, &docs)))
		brf_rpc_write_status(out, xid, BRF_RPC_SYSTEM_ERR);
}

static void
answer(struct brf_document_source *source,
    const struct brf_known_revision *known, size_t count, uint32_t xid,
    struct brf_buf *out)
{
	struct update_list *list = brf_calloc(1, sizeof(*list));
	size_t i;

	if (source != NULL)
		source->vt->newer(source, known, count, add_update, list);
	write_updates(out, xid, list);
	for (i = 0; i < list->count; i++) {
		free(list->items[i].service.service_val);
		free(list->items[i].text.text_val);
	}
	free(list);
}

static bool
convert_known(const brf_xdr_revisions *in, struct brf_known_revision *known)
{
	const brf_xdr_revision *r;
	u_int i;

	for (i = 0; i < in->known.known_len; i++) {
		r = &in->known.known_val[i];
		if (r->service.service_len == 0 ||
		    memchr(r->service.service_val, '\0',
			r->service.service_len) != NULL)
			return (false);
		known[i].service =
		    brf_strdup(r->service.service_val, r->service.service_len);
		known[i].revision = r->revision;
	}
	return (true);
}

bool
brf_documents_serve(struct brf_document_source *source, XDR *xdr,
    const struct brf_record *record, uint32_t xid, struct brf_buf *out,
    struct brf_error *err)
{
	brf_xdr_revisions in = { .known.known_len = 0 };
	struct brf_known_revision *known;
	size_t i, count = 0;
	bool ok =
	    xdr_brf_xdr_revisions(xdr, &in) && brf_rpc_at_end(xdr, record);

	if (ok)
		count = in.known.known_len;
	known = brf_calloc(count, sizeof(*known));
	ok = ok && convert_known(&in, known);
	if (ok)
		answer(source, known, count, xid, out);
	for (i = 0; i < count; i++)
		free((char *)known[i].service);
	free(known);
	xdr_free((xdrproc_t)xdr_brf_xdr_revisions, &in);
	if (ok)
		return (true);
	return (brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "revisions"));
}
