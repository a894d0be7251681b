#include <stdlib.h>

#include "wire/documents.h"

#define ITEM_SIZE 256u /* bytes of an item but for its text, at most */
#define NEWS_SIZE (BRF_XDR_BODY + ITEM_SIZE) /* bytes of an answer, at most */

/**
 * struct news_list - the answer as it grows.
 */
struct news_list {
	brf_xdr_document items[BRF_DOCUMENT_UPDATES_MAX];
	size_t count;
	size_t bytes;
};

/* The source need not keep what it emits, so it is copied. */
static bool
emit(const struct brf_document_update *news, void *arg)
{
	struct news_list *list = arg;
	brf_xdr_document *item = &list->items[list->count];
	size_t bytes = news->len + ITEM_SIZE;

	if (list->count == BRF_DOCUMENT_UPDATES_MAX || news->len > BRF_XDR_BODY ||
	    list->bytes + bytes > NEWS_SIZE)
		return (false);
	item->service.service_len = (u_int)strlen(news->service);
	item->service.service_val =
	    brf_strdup(news->service, item->service.service_len);
	item->revision = news->revision;
	item->text.text_len = (u_int)news->len;
	item->text.text_val =
	    news->len != 0 ? brf_strdup(news->text, news->len) : NULL;
	list->bytes += bytes;
	list->count++;
	return (true);
}

static void
write_news(struct brf_buf *out, uint32_t xid, struct news_list *list)
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
	struct news_list *list = brf_calloc(1, sizeof(*list));
	size_t i;

	if (source != NULL)
		source->vt->newer(source, known, count, emit, list);
	write_news(out, xid, list);
	for (i = 0; i < list->count; i++) {
		free(list->items[i].service.service_val);
		free(list->items[i].text.text_val);
	}
	free(list);
}

static bool
fill_known(const brf_xdr_revisions *in, struct brf_known_revision *known)
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
	ok = ok && fill_known(&in, known);
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
