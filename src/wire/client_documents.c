#include <stdlib.h>

#include "wire/client.h"
#include "wire/codec.h"

#define REVISION_SIZE 80u /* bytes; upper bound of an encoded revision */

/**
 * struct documents_call - a call of BRF_PEER_DOCUMENTS.
 * @known: @count revisions; owns the service names
 */
struct documents_call {
	struct brf_peer_call call;
	brf_xdr_revision *known;
	size_t count;
	brf_documents_fn done;
	void *arg;
};

static struct documents_call *
documents_call(const struct brf_peer_call *call)
{
	return (brf_container_of(call, struct documents_call, call));
}

static void
free_call(struct documents_call *dc)
{
	size_t i;

	for (i = 0; i < dc->count; i++)
		free(dc->known[i].service.service_val);
	free(dc->known);
	free(dc);
}

static size_t
documents_max_size(const struct brf_peer_call *call)
{
	return (REVISION_SIZE * (documents_call(call)->count + 1));
}

static bool
documents_encode(const struct brf_peer_call *call, XDR *xdr)
{
	struct documents_call *dc = documents_call(call);
	brf_xdr_revisions x = {
		.known.known_len = (u_int)dc->count,
		.known.known_val = dc->known,
	};

	return (xdr_brf_xdr_revisions(xdr, &x));
}

static void
end_documents(struct brf_peer_call *call,
    const struct brf_document_update *updates, size_t count,
    const struct brf_error *err)
{
	struct documents_call *dc = documents_call(call);
	struct brf_peer_backend *peer = call->peer;

	brf_peer_call_detach(call);
	dc->done(dc->arg, updates, count, err);
	free_call(dc);
	brf_peer_backend_unref(peer);
}

static void
documents_on_fail(struct brf_peer_call *call, enum brf_outcome outcome,
    enum brf_reason reason)
{
	struct brf_error err;

	(void)outcome;
	brf_error_set(&err,
	    reason == BRF_R_TIMEOUT || reason == BRF_R_EXPIRED ? BRF_E_TIMEOUT
							       : BRF_E_CLOSED,
	    0, "documents: %s", brf_reason_name(reason));
	end_documents(call, NULL, 0, &err);
}

static bool
convert_updates(struct brf_document_update *updates,
    char (*names)[BRF_NAME_MAX + 1], const brf_xdr_documents *in)
{
	const brf_xdr_document *d;
	u_int i;

	for (i = 0; i < in->newer.newer_len; i++) {
		d = &in->newer.newer_val[i];
		if (d->service.service_len == 0 ||
		    memchr(d->service.service_val, '\0',
			d->service.service_len) != NULL)
			return (false);
		memcpy(
		    names[i], d->service.service_val, d->service.service_len);
		updates[i].service = names[i];
		updates[i].revision = d->revision;
		updates[i].text = d->text.text_val;
		updates[i].len = d->text.text_len;
	}
	return (true);
}

static void
documents_on_reply(
    struct brf_peer_call *call, XDR *xdr, const struct brf_record *record)
{
	char names[BRF_DOCUMENT_UPDATES_MAX][BRF_NAME_MAX + 1] = { { 0 } };
	struct brf_document_update updates[BRF_DOCUMENT_UPDATES_MAX];
	brf_xdr_documents in = { .newer.newer_len = 0 };
	struct brf_error err;

	if (xdr_brf_xdr_documents(xdr, &in) && brf_rpc_at_end(xdr, record) &&
	    convert_updates(updates, names, &in)) {
		end_documents(call, updates, in.newer.newer_len, NULL);
	} else {
		brf_error_set(&err, BRF_E_RPC_ARGUMENT, 0, "documents");
		brf_peers_report_fault(call->peer->peers, &err);
		end_documents(call, NULL, 0, &err);
	}
	xdr_free((xdrproc_t)xdr_brf_xdr_documents, &in);
}

static const struct brf_peer_call_vt documents_vt = {
	.procedure = BRF_PEER_DOCUMENTS,
	.max_size = documents_max_size,
	.encode = documents_encode,
	.on_reply = documents_on_reply,
	.on_fail = documents_on_fail,
};

void
brf_peers_fetch_documents(struct brf_peers *peers, struct brf_backend *backend,
    const struct brf_known_revision *known, size_t count, brf_documents_fn done,
    void *arg)
{
	struct brf_peer_backend *peer =
	    brf_container_of(backend, struct brf_peer_backend, backend);
	struct documents_call *dc = brf_calloc(1, sizeof(*dc));
	brf_xdr_revision *r;
	size_t i;

	(void)peers;
	dc->call.vt = &documents_vt;
	dc->count =
	    count < BRF_KNOWN_REVISIONS_MAX ? count : BRF_KNOWN_REVISIONS_MAX;
	dc->known = brf_calloc(dc->count, sizeof(*dc->known));
	dc->done = done;
	dc->arg = arg;
	for (i = 0; i < dc->count; i++) {
		r = &dc->known[i];
		r->service.service_len = (u_int)strlen(known[i].service);
		r->service.service_val =
		    brf_strdup(known[i].service, r->service.service_len);
		r->revision = known[i].revision;
	}
	brf_peer_call_open(&dc->call, peer, BRF_PEER_DOCUMENTS_TIMEOUT_US);
}
