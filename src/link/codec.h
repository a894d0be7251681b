#ifndef BRF_LINK_CODEC_H
#define BRF_LINK_CODEC_H

#include "flow/hop.h"
#include "wire/rpc.h"

/**
 * DOC: What goes over a link, as ONC RPC calls and XDR (RFC 4506).
 *
 * All procedures are of BRF_LINK_PROGRAM, version 1.  A stream is named by the
 * xid of the BRF_LINK_SEND that began it, which DATA, ROOM and CANCEL bear as
 * their own.
 *
 *	NULL		nothing; replied with nothing, as a sign of life
 *	HELLO		struct brf_link_hello; replied with the same
 *	SEND		struct brf_link_send; replied with struct brf_link_reply
 *	DATA		struct brf_link_data, a part of a body; no reply
 *	ROOM		struct brf_link_window_update, a wider window; no reply
 *	CANCEL		nothing; no reply
 *	REVISION	unsigned hyper, of the sender's table; no reply
 *	TABLE		unsigned hyper, what the sender has; replied with
 *			unsigned hyper and opaque: a newer one, or 0 and nothing
 *	TARGETS		nothing; replied with opaque: the targets that the
 *			other end knows
 */

#define BRF_LINK_PROGRAM 0x20b1d002u

enum brf_link_procedure {
	BRF_LINK_NULL,
	BRF_LINK_HELLO,
	BRF_LINK_SEND,
	BRF_LINK_DATA,
	BRF_LINK_WINDOW_UPDATE,
	BRF_LINK_CANCEL,
	BRF_LINK_REVISION,
	BRF_LINK_TABLE,
	BRF_LINK_TARGETS
};

#define BRF_LINK_PART_MAX 16384u  /* bytes of a body in one message */
#define BRF_LINK_TEXT_MAX 524288u /* bytes of any other text */

/**
 * struct brf_link_text - bytes inside a record.
 */
struct brf_link_text {
	const char *data;
	size_t len;
};

/**
 * struct brf_link_hello - who is at the other end.
 * @revision: of its routing table; 0 for none
 */
struct brf_link_hello {
	struct brf_link_text node;
	struct brf_link_text service;
	uint64_t revision;
};

/**
 * struct brf_link_send - the request of a hop.
 * @timeout_us: time left; a duration, since clocks differ
 * @patience_us: longest wait for a slot
 * @length: of the whole body, with BRF_BODY_LENGTH and without @end
 * @end: @part is the whole body
 * @part: its beginning
 */
struct brf_link_send {
	uint32_t timeout_us;
	uint32_t patience_us;
	uint32_t rank;
	enum brf_body_kind body;
	bool repeatable;
	bool nested;
	bool repeat;
	bool end;
	uint64_t length;
	struct brf_link_text id;
	struct brf_link_text target;
	struct brf_link_text method;
	struct brf_link_text path;
	struct brf_link_text host;
	struct brf_link_text fields;
	struct brf_link_text part;
};

/**
 * struct brf_link_reply - how a hop ended, or the beginning of its answer.
 * @instead: with BRF_R_NO_TARGET
 * @status, @body, @end, @length, @fields, @part: with BRF_HOP_ANSWERED
 */
struct brf_link_reply {
	enum brf_hop_state state;
	enum brf_reason reason;
	bool arrived;
	bool marked;
	bool inner;
	uint32_t retry_after_ms;
	struct brf_link_text instead;
	struct brf_gate_load load;
	uint32_t status;
	enum brf_body_kind body;
	bool end;
	uint64_t length;
	struct brf_link_text fields;
	struct brf_link_text part;
};

/**
 * struct brf_link_data - a part of a body.
 * @end: the last one
 * @broken: the rest will never come
 */
struct brf_link_data {
	uint32_t stream;
	bool end;
	bool broken;
	struct brf_link_text part;
};

struct brf_link_window_update {
	uint32_t stream;
	uint32_t bytes;
};

BRF_BEGIN_DECLS

/*
 * Each _put() writes a whole record; each _get() reads one whose header is
 * read, and returns false with BRF_E_RPC_ARGUMENT when it is not as it should
 * be.  Texts point into the record.
 */
void brf_link_hello_put(struct brf_buf *out, uint32_t xid, bool reply,
    const struct brf_link_hello *hello);
bool brf_link_hello_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_hello *hello, struct brf_error *err);

void brf_link_send_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_send *send);
bool brf_link_send_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_send *send, struct brf_error *err);

void brf_link_reply_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_reply *reply);
bool brf_link_reply_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_reply *reply, struct brf_error *err);

void brf_link_data_put(struct brf_buf *out, const struct brf_link_data *data);
bool brf_link_data_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_data *data, struct brf_error *err);

void brf_link_window_update_put(
    struct brf_buf *out, const struct brf_link_window_update *room);
bool brf_link_window_update_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_window_update *room, struct brf_error *err);

void brf_link_cancel_put(struct brf_buf *out, uint32_t stream);

/* BRF_LINK_REVISION, or BRF_LINK_TABLE as a question. */
void brf_link_revision_put(struct brf_buf *out, uint32_t xid,
    enum brf_link_procedure procedure, uint64_t revision);
bool brf_link_revision_get(XDR *xdr, const struct brf_record *record,
    uint64_t *revision, struct brf_error *err);

void brf_link_table_put(struct brf_buf *out, uint32_t xid, uint64_t revision,
    const struct brf_link_text *text);
bool brf_link_table_get(XDR *xdr, const struct brf_record *record,
    uint64_t *revision, struct brf_link_text *text, struct brf_error *err);

/* BRF_LINK_NULL or BRF_LINK_TARGETS: a question without arguments. */
void brf_link_empty_call_put(
    struct brf_buf *out, uint32_t xid, enum brf_link_procedure procedure);

void brf_link_targets_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_text *text);
bool brf_link_targets_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_text *text, struct brf_error *err);

BRF_END_DECLS

#endif
