#ifndef BRF_DOCUMENTS_H
#define BRF_DOCUMENTS_H

#include "wire/peer.h"
#include "wire/rpc.h"

/**
 * DOC: Callee side of BRF_PEER_DOCUMENTS.
 */

BRF_BEGIN_DECLS

/**
 * brf_documents_serve() - decode the request, query @source, write the reply.
 * @source: NULL stands for a source without documents
 * @xdr: positioned at the argument, inside @record
 * @xid: of the call
 * @out: the reply is appended; unchanged on failure
 *
 * Return: false with BRF_E_RPC_ARGUMENT when the argument is malformed.
 */
bool brf_documents_serve(struct brf_document_source *source, XDR *xdr,
    const struct brf_record *record, uint32_t xid, struct brf_buf *out,
    struct brf_error *err);

BRF_END_DECLS

#endif
