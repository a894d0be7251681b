#ifndef BRF_RPC_H
#define BRF_RPC_H

#include "wire/proto.h"
#include "wire/record.h"

/**
 * DOC: RPC message headers (RFC 5531, section 9) over XDR memory streams.
 *
 * Credentials and verifiers are skipped when read and empty when written: the
 * connection is authenticated as a whole, see handshake.h.
 */

#define BRF_RPC_HEADER_MAX 64u /* bytes of a header written here */

/**
 * enum brf_rpc_status - how a call was answered.
 */
enum brf_rpc_status {
	BRF_RPC_SUCCESS,
	BRF_RPC_PROG_UNAVAIL,
	BRF_RPC_PROG_MISMATCH,
	BRF_RPC_PROC_UNAVAIL,
	BRF_RPC_GARBAGE_ARGS,
	BRF_RPC_SYSTEM_ERR,
	BRF_RPC_VERSION_MISMATCH, /* denied: not RPC version 2 */
	BRF_RPC_AUTH_ERROR	  /* denied: the caller has not proved itself */
};

/**
 * struct brf_rpc_header - what was read of a message's header.
 * @is_call: else it is a reply
 * @rpc_version: of a call, as all up to @procedure
 * @status: of a reply
 */
struct brf_rpc_header {
	uint32_t xid;
	bool is_call;
	uint32_t rpc_version;
	uint32_t program;
	uint32_t version;
	uint32_t procedure;
	enum brf_rpc_status status;
};

/**
 * struct brf_rpc_writer - a message on its way into a buffer.
 * @xdr: the argument or result is to be encoded here
 */
struct brf_rpc_writer {
	XDR xdr;
	struct brf_buf *out;
};

BRF_BEGIN_DECLS

/**
 * brf_rpc_read() - open @record and read its header.
 * @xdr: stands at the argument or result afterwards
 *
 * A call of another RPC version ends behind rpc_version.
 *
 * Return: false with BRF_E_RPC_HEADER.
 */
bool brf_rpc_read(XDR *xdr, const struct brf_record *record,
    struct brf_rpc_header *header, struct brf_error *err);

/**
 * brf_rpc_begin_call() - write the header of a call as a new record.
 * @max_size: bytes that the argument may take
 */
void brf_rpc_begin_call(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, uint32_t procedure);

/* The same for another program of the product's own; all are version 1. */
void brf_rpc_begin_program_call(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, uint32_t program, uint32_t procedure);
void brf_rpc_begin_reply(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, enum brf_rpc_status status);

/**
 * brf_rpc_end() - close the record.
 * @ok: false takes the record back
 *
 * Return: @ok
 */
bool brf_rpc_end(struct brf_rpc_writer *w, bool ok);

/**
 * brf_rpc_write_status() - a whole reply without a result.
 */
void brf_rpc_write_status(
    struct brf_buf *out, uint32_t xid, enum brf_rpc_status status);

/**
 * brf_rpc_at_end() - whether all of the record was read.
 */
bool brf_rpc_at_end(XDR *xdr, const struct brf_record *record);

BRF_END_DECLS

#endif
