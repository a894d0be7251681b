#include "wire/rpc.h"

static bool
read_words(XDR *xdr, uint32_t *words, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!xdr_u_int(xdr, &words[i]))
			return (false);
	}
	return (true);
}

static bool
skip_auth(XDR *xdr)
{
	char body[MAX_AUTH_BYTES];
	uint32_t words[2]; /* flavor, length */

	if (!read_words(xdr, words, 2) || words[1] > MAX_AUTH_BYTES)
		return (false);
	return (xdr_opaque(xdr, body, words[1]));
}

static bool
read_call(XDR *xdr, struct brf_rpc_header *header)
{
	uint32_t words[3];

	if (!xdr_u_int(xdr, &header->rpc_version))
		return (false);
	if (header->rpc_version != RPC_MSG_VERSION)
		return (true);
	if (!read_words(xdr, words, 3))
		return (false);
	header->program = words[0];
	header->version = words[1];
	header->procedure = words[2];
	return (skip_auth(xdr) && skip_auth(xdr));
}

static bool
read_accepted(XDR *xdr, struct brf_rpc_header *header)
{
	uint32_t stat, range[2];

	if (!skip_auth(xdr) || !xdr_u_int(xdr, &stat) || stat > SYSTEM_ERR)
		return (false);
	header->status = (enum brf_rpc_status)stat;
	if (stat == PROG_MISMATCH)
		return (read_words(xdr, range, 2));
	return (true);
}

static bool
read_denied(XDR *xdr, struct brf_rpc_header *header)
{
	uint32_t stat, range[2], why;

	if (!xdr_u_int(xdr, &stat))
		return (false);
	if (stat == RPC_MISMATCH) {
		header->status = BRF_RPC_VERSION_MISMATCH;
		return (read_words(xdr, range, 2));
	}
	header->status = BRF_RPC_AUTH_ERROR;
	return (stat == AUTH_ERROR && xdr_u_int(xdr, &why));
}

static bool
read_reply(XDR *xdr, struct brf_rpc_header *header)
{
	uint32_t stat;

	if (!xdr_u_int(xdr, &stat) || stat > MSG_DENIED)
		return (false);
	if (stat == MSG_ACCEPTED)
		return (read_accepted(xdr, header));
	return (read_denied(xdr, header));
}

bool
brf_rpc_read(XDR *xdr, const struct brf_record *record,
    struct brf_rpc_header *header, struct brf_error *err)
{
	uint32_t words[2]; /* xid, message type */
	bool ok;

	memset(header, 0, sizeof(*header));
	xdrmem_create(xdr, record->data, (u_int)record->len, XDR_DECODE);
	if (!read_words(xdr, words, 2) || words[1] > REPLY)
		return (brf_error_set(
		    err, BRF_E_RPC_HEADER, 0, "xid or message type"));
	header->xid = words[0];
	header->is_call = words[1] == CALL;
	ok = header->is_call ? read_call(xdr, header) : read_reply(xdr, header);
	if (!ok)
		return (brf_error_set(err, BRF_E_RPC_HEADER, 0, "%s",
		    header->is_call ? "call" : "reply"));
	return (true);
}

static void
write_words(XDR *xdr, const uint32_t *words, size_t n)
{
	uint32_t word;
	size_t i;

	for (i = 0; i < n; i++) {
		word = words[i];
		xdr_u_int(xdr, &word);
	}
}

static void
begin(struct brf_rpc_writer *w, struct brf_buf *out, size_t max_size)
{
	char *data;

	max_size += BRF_RPC_HEADER_MAX;
	data = brf_record_begin_write(out, max_size);
	w->out = out;
	xdrmem_create(&w->xdr, data, (u_int)max_size, XDR_ENCODE);
}

void
brf_rpc_begin_call(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, uint32_t procedure)
{
	brf_rpc_begin_program_call(
	    w, out, max_size, xid, BRF_PEER_PROGRAM, procedure);
}

void
brf_rpc_begin_program_call(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, uint32_t program, uint32_t procedure)
{
	const uint32_t words[] = { xid, CALL, RPC_MSG_VERSION, program,
		BRF_PEER_VERSION, procedure, AUTH_NONE, 0, AUTH_NONE, 0 };

	begin(w, out, max_size);
	write_words(&w->xdr, words, brf_nitems(words));
}

void
brf_rpc_begin_reply(struct brf_rpc_writer *w, struct brf_buf *out,
    size_t max_size, uint32_t xid, enum brf_rpc_status status)
{
	const uint32_t accepted[] = { xid, REPLY, MSG_ACCEPTED, AUTH_NONE, 0,
		status };
	const uint32_t range[] = { BRF_PEER_VERSION, BRF_PEER_VERSION };
	const uint32_t mismatch[] = { xid, REPLY, MSG_DENIED, RPC_MISMATCH,
		RPC_MSG_VERSION, RPC_MSG_VERSION };
	const uint32_t denied[] = { xid, REPLY, MSG_DENIED, AUTH_ERROR,
		AUTH_TOOWEAK };

	begin(w, out, max_size);
	if (status == BRF_RPC_VERSION_MISMATCH)
		write_words(&w->xdr, mismatch, brf_nitems(mismatch));
	else if (status == BRF_RPC_AUTH_ERROR)
		write_words(&w->xdr, denied, brf_nitems(denied));
	else
		write_words(&w->xdr, accepted, brf_nitems(accepted));
	if (status == BRF_RPC_PROG_MISMATCH)
		write_words(&w->xdr, range, brf_nitems(range));
}

bool
brf_rpc_end(struct brf_rpc_writer *w, bool ok)
{
	if (ok)
		brf_record_end_write(w->out, xdr_getpos(&w->xdr));
	return (ok);
}

void
brf_rpc_write_status(
    struct brf_buf *out, uint32_t xid, enum brf_rpc_status status)
{
	struct brf_rpc_writer w;

	brf_rpc_begin_reply(&w, out, 0, xid, status);
	brf_rpc_end(&w, true);
}

bool
brf_rpc_at_end(XDR *xdr, const struct brf_record *record)
{
	return (xdr_getpos(xdr) == record->len);
}
