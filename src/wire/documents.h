#ifndef BRF_DOCUMENTS_H
#define BRF_DOCUMENTS_H

#include "wire/peer.h"
#include "wire/rpc.h"

/**
 * DOC: The callee's side of BRF_PEER_DOCUMENTS.
 */

BRF_BEGIN_DECLS

/**
 * brf_documents_serve() - decode the question, ask @source, write the reply.
 * @source: NULL has nothing newer
 * @xdr: stands at the argument, inside @record
 * @out: where the reply goes; untouched on failure
 *
 * Return: false with BRF_E_RPC_ARGUMENT when the question is malformed.
 */
bool brf_documents_serve(struct brf_document_source *source, XDR *xdr,
    const struct brf_record *record, uint32_t xid, struct brf_buf *out,
    struct brf_error *err);

BRF_END_DECLS

#endif
