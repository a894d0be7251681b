#ifndef BRF_RPC_H
#define BRF_RPC_H

#include "wire/proto.h"
#include "wire/record.h"

/**
 * DOC: RPC message headers (RFC 5531, section 9) over XDR memory streams.
 *
 * Credentials and verifiers are ignored when read and empty when written,
 * because the handshake authenticates the connection; see handshake.h.
 */

#define BRF_RPC_HEADER_MAX 64u /* bytes; largest header written here */

/**
 * enum brf_rpc_status - status of an RPC reply.
 *
 * The first six have the values of accept_stat in RFC 5531.
 */
enum brf_rpc_status {
	BRF_RPC_SUCCESS,
	BRF_RPC_PROG_UNAVAIL,
	BRF_RPC_PROG_MISMATCH,
	BRF_RPC_PROC_UNAVAIL,
	BRF_RPC_GARBAGE_ARGS,
	BRF_RPC_SYSTEM_ERR,
	BRF_RPC_VERSION_MISMATCH, /* denied: not RPC version 2 */
	BRF_RPC_AUTH_ERROR	  /* denied: not authenticated */
};

/**
 * struct brf_rpc_header - decoded header of an RPC message.
 * @is_call: whether the message is a call, otherwise a reply
 * @rpc_version: set in a call, like @program, @version and @procedure
 * @status: set in a reply
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
 * struct brf_rpc_writer - an RPC message being written to a buffer.
 * @xdr: stream to which the caller encodes the argument or result
 * @out: the buffer; unchanged until brf_rpc_end()
 */
struct brf_rpc_writer {
	XDR xdr;
	struct brf_buf *out;
};

BRF_BEGIN_DECLS

/**
 * brf_rpc_read() - decode the header of the message in @record.
 * @xdr: opened; positioned at the argument or result afterwards
 *
 * The header of a call with another RPC version is read up to rpc_version only.
 *
 * Return: false with BRF_E_RPC_HEADER.
 */
bool brf_rpc_read(XDR *xdr, const struct brf_record *record,
    struct brf_rpc_header *header, struct brf_error *err);

/**
 * brf_rpc_begin_call() - begin a record in @out and write the header of a call.
 * @max_size: upper bound of the argument's encoded size, bytes
 */
void brf_rpc_begin_call(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, uint32_t procedure);

/* The same for another RPC program; all of this system have version 1. */
void brf_rpc_begin_program_call(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, uint32_t program, uint32_t procedure);

/**
 * brf_rpc_begin_reply() - begin a record in @out and write the header of a
 * reply.
 * @max_size: upper bound of the result's encoded size, bytes
 */
void brf_rpc_begin_reply(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, enum brf_rpc_status status);

/**
 * brf_rpc_end() - finish the record and append it to the buffer.
 * @ok: whether the argument or result was encoded; false discards the record
 *
 * Return: @ok
 */
bool brf_rpc_end(struct brf_rpc_writer *w, bool ok);

/**
 * brf_rpc_write_status() - write a complete reply without a result.
 */
void brf_rpc_write_status(
    struct brf_buf *out, uint32_t xid, enum brf_rpc_status status);

/**
 * brf_rpc_at_end() - whether @xdr has read all of the record.
 */
bool brf_rpc_at_end(XDR *xdr, const struct brf_record *record);

BRF_END_DECLS

#endif
