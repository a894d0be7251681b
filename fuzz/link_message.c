#include <stdlib.h>

#include "config/store_codec.h"
#include "link/codec.h"

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check_text(const struct brf_record *record, const struct brf_link_text *text)
{
	if (text->len != 0 &&
	    (text->data < record->data ||
		text->data + text->len > record->data + record->len))
		abort();
}

static void
read_call(enum brf_link_procedure procedure, XDR *xdr,
    const struct brf_record *record)
{
	struct brf_error err;
	struct brf_link_hello hello;
	struct brf_link_send send;
	struct brf_link_data part;
	struct brf_link_window_update room;
	struct brf_link_watch_call watch;
	uint64_t revision;

	switch (procedure) {
	case BRF_LINK_HELLO:
		if (brf_link_hello_get(xdr, record, &hello, &err))
			check_text(record, &hello.service);
		break;
	case BRF_LINK_SEND:
		if (!brf_link_send_get(xdr, record, &send, &err))
			break;
		check_text(record, &send.id);
		check_text(record, &send.path);
		check_text(record, &send.fields);
		check_text(record, &send.part);
		break;
	case BRF_LINK_DATA:
		if (brf_link_data_get(xdr, record, &part, &err))
			check_text(record, &part.part);
		break;
	case BRF_LINK_WINDOW_UPDATE:
		brf_link_window_update_get(xdr, record, &room, &err);
		break;
	case BRF_LINK_WATCH:
		if (brf_link_watch_call_get(xdr, record, &watch, &err))
			check_text(record, &watch.prefix);
		break;
	case BRF_LINK_REVISION:
	case BRF_LINK_TABLE:
		brf_link_revision_get(xdr, record, &revision, &err);
		break;
	default:
		break;
	}
}

static void
read_reply(
    enum brf_link_procedure to, XDR *xdr, const struct brf_record *record)
{
	struct brf_error err;
	struct brf_link_reply reply;
	struct brf_link_watch_reply watch_reply;
	struct brf_link_text text;
	uint64_t revision;

	if (to == BRF_LINK_TABLE &&
	    brf_link_table_get(xdr, record, &revision, &text, &err))
		check_text(record, &text);
	if (to == BRF_LINK_TARGETS &&
	    brf_link_targets_get(xdr, record, &text, &err))
		check_text(record, &text);
	if (to == BRF_LINK_SEND &&
	    brf_link_reply_get(xdr, record, &reply, &err)) {
		check_text(record, &reply.fields);
		check_text(record, &reply.part);
	}
	if (to == BRF_LINK_WATCH &&
	    brf_link_watch_reply_get(xdr, record, &watch_reply, &err))
		brf_store_event_free(&watch_reply.event);
}

/* The first byte tells what replies are to. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const enum brf_link_procedure asked[] = { BRF_LINK_SEND,
		BRF_LINK_TABLE, BRF_LINK_TARGETS, BRF_LINK_WATCH };
	struct brf_record_reader r = { .max_len = 65536 };
	struct brf_rpc_header header;
	struct brf_record record;
	struct brf_error err;
	XDR xdr;

	if (size == 0)
		return (0);
	brf_record_feed(&r, data + 1, size - 1);
	while (brf_record_next(&r, &record, &err) == BRF_RECORD_COMPLETE) {
		if (!brf_rpc_read(&xdr, &record, &header, &err))
			break;
		if (header.is_call)
			read_call(header.procedure, &xdr, &record);
		else if (header.status == BRF_RPC_SUCCESS)
			read_reply(asked[data[0] % 4], &xdr, &record);
	}
	brf_record_reader_free(&r);
	return (0);
}
