#ifndef BRF_LINK_CODEC_H
#define BRF_LINK_CODEC_H

#include "config/store.h"
#include "flow/hop.h"
#include "wire/rpc.h"

/**
 * DOC: Encoding of the messages on a link: ONC RPC calls and replies with
 * arguments in XDR (RFC 4506).
 *
 * All procedures belong to BRF_LINK_PROGRAM, version 1.  A SEND opens a
 * stream, which its xid identifies: DATA, WINDOW_UPDATE and CANCEL are calls
 * with the xid of their stream.
 *
 *	NULL		no arguments; empty reply, used as a ping
 *	HELLO		struct brf_link_hello; the reply is another
 *	SEND		struct brf_link_send; the reply is struct
 *			brf_link_reply
 *	DATA		struct brf_link_data, a part of a body; no reply
 *	WINDOW_UPDATE	struct brf_link_window_update; no reply
 *	CANCEL		no arguments; no reply
 *	REVISION	unsigned hyper, revision of the caller's table; no
 *			reply
 *	TABLE		unsigned hyper, revision of the caller's table; the
 *			reply is unsigned hyper and opaque: revision and text
 *			of a newer table, or 0 and nothing
 *	TARGETS		no arguments; the reply is opaque: the targets that
 *			the callee knows
 *	WATCH		struct brf_link_watch_call; the reply, which may be
 *			delayed, is struct brf_link_watch_reply
 *
 *	NOTE		opaque, a text for the callee; the reply is enum
 *			brf_link_note_result
 *
 * Procedure 9 was a WATCH without ages; it is unknown now.
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
	BRF_LINK_TARGETS,
	BRF_LINK_WATCH = 10,
	BRF_LINK_NOTE = 11
};

#define BRF_LINK_PART_MAX 16384u   /* bytes of a body in one message */
#define BRF_LINK_TEXT_MAX 524288u  /* bytes of any other text of a hop */
#define BRF_LINK_PREFIX_MAX 127u   /* bytes of a watched prefix */
#define BRF_LINK_CHANGES_MAX 4096u /* changes in one reply to WATCH */
#define BRF_LINK_NOTE_MAX 4096u	   /* bytes of a note */

/**
 * enum brf_link_note_result - what the other node did with a note.
 * @BRF_LINK_NOTE_LOST: nothing, or it is not known; never sent
 * @BRF_LINK_NOTE_REFUSED: it can't use the note
 * @BRF_LINK_NOTE_KEPT: it keeps the note in its memory
 * @BRF_LINK_NOTE_RECORDED: the store has what the note says
 */
enum brf_link_note_result {
	BRF_LINK_NOTE_LOST,
	BRF_LINK_NOTE_REFUSED,
	BRF_LINK_NOTE_KEPT,
	BRF_LINK_NOTE_RECORDED
};

/**
 * struct brf_link_text - bytes that it does not own, without a NUL at
 * the end.
 */
struct brf_link_text {
	const char *data;
	size_t len;
};

/**
 * struct brf_link_hello - identity of the sending node.
 * @node: its name
 * @service: service of the target on its VM
 * @revision: of its routing table; 0 for none
 */
struct brf_link_hello {
	struct brf_link_text node;
	struct brf_link_text service;
	uint64_t revision;
};

/**
 * struct brf_link_send - the request of a hop.
 * @timeout_us: time left until the deadline; a duration, because the clocks of
 * nodes differ
 * @max_wait_us: maximum wait for a slot
 * @end: @part is the whole body
 * @length: bytes of the whole body; on the wire only with BRF_BODY_LENGTH and
 * without @end
 * @fields: header fields as lines that end in CR LF
 * @part: the first part of the body
 * @rate_limit, @born: as in struct brf_hop_request; on the wire only with a
 *	limit
 */
struct brf_link_send {
	uint32_t timeout_us;
	uint32_t max_wait_us;
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
	double rate_limit;
	uint64_t born;
};

/**
 * struct brf_link_reply - refusal or failure of a hop, or the head of its
 * answer.
 * @arrived, @marked, @inner: as in struct brf_hop
 * @reason, @retry_after_ms: unless the state is BRF_HOP_ANSWERED
 * @replacement: as in struct brf_hop; only with BRF_R_NO_TARGET
 * @report: as in struct brf_hop, without @stated_at; on the wire only when the
 *	target has a limit or leaves
 * @status, @body, @end, @length, @fields, @part: only with BRF_HOP_ANSWERED; as
 * in struct brf_link_send
 */
struct brf_link_reply {
	enum brf_hop_state state;
	enum brf_reason reason;
	bool arrived;
	bool marked;
	bool nested_route;
	uint32_t retry_after_ms;
	struct brf_link_text replacement;
	struct brf_gate_load load;
	struct brf_target_report report;
	uint32_t status;
	enum brf_body_kind body;
	bool end;
	uint64_t length;
	struct brf_link_text fields;
	struct brf_link_text part;
};

/**
 * struct brf_link_data - a part of a body.
 * @stream: xid of the stream
 * @end: it is the last part
 * @broken: the body is aborted; no more parts follow
 */
struct brf_link_data {
	uint32_t stream;
	bool end;
	bool broken;
	struct brf_link_text part;
};

/**
 * struct brf_link_window_update - the receiver of a body takes more of it.
 * @stream: xid of the stream
 * @bytes: added to the window
 */
struct brf_link_window_update {
	uint32_t stream;
	uint32_t bytes;
};

/**
 * struct brf_link_watch_call - asks a node that watches the store for changes.
 * @prefix: of the keys
 * @epoch: epoch of the store in which @after is valid
 * @after: only changes of later revisions are wanted; 0 for all current keys
 * @age_us: time since the caller was last known to have all changes,
 *	microseconds
 */
struct brf_link_watch_call {
	struct brf_link_text prefix;
	uint64_t epoch;
	uint64_t after;
	uint64_t age_us;
};

/**
 * enum brf_link_watch_status - result of a WATCH.
 * @BRF_LINK_WATCH_OK: the reply has all changes up to its revision, or all keys
 * @BRF_LINK_WATCH_COMPACTED: the node does not have the changes from there on
 * @BRF_LINK_WATCH_UNAVAILABLE: the node does not watch the store itself, or
 *	does not reach it
 */
enum brf_link_watch_status {
	BRF_LINK_WATCH_OK,
	BRF_LINK_WATCH_COMPACTED,
	BRF_LINK_WATCH_UNAVAILABLE,
	BRF_LINK_WATCH_STATUS_COUNT
};

/**
 * struct brf_link_watch_reply - result of a WATCH.
 * @epoch: of the store, as the node knows it
 * @age_us: time since the node was last known to have all changes,
 *	microseconds
 * @event: empty unless the status is BRF_LINK_WATCH_OK
 */
struct brf_link_watch_reply {
	enum brf_link_watch_status status;
	uint64_t epoch;
	uint64_t age_us;
	struct brf_store_event event;
};

BRF_BEGIN_DECLS

/*
 * Each _put() appends a whole record to @out.  Each _get() decodes a record
 * whose RPC header was already read from @xdr, and returns false with
 * BRF_E_RPC_ARGUMENT when the record is malformed.  Decoded texts point into
 * the record.
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
    struct brf_buf *out, const struct brf_link_window_update *window);
bool brf_link_window_update_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_window_update *window, struct brf_error *err);

void brf_link_cancel_put(struct brf_buf *out, uint32_t stream);

/* The call of BRF_LINK_REVISION or BRF_LINK_TABLE; both take a revision. */
void brf_link_revision_put(struct brf_buf *out, uint32_t xid,
    enum brf_link_procedure procedure, uint64_t revision);
bool brf_link_revision_get(XDR *xdr, const struct brf_record *record,
    uint64_t *revision, struct brf_error *err);

/* The reply to BRF_LINK_TABLE. */
void brf_link_table_put(struct brf_buf *out, uint32_t xid, uint64_t revision,
    const struct brf_link_text *text);
bool brf_link_table_get(XDR *xdr, const struct brf_record *record,
    uint64_t *revision, struct brf_link_text *text, struct brf_error *err);

/* A call without arguments: BRF_LINK_NULL or BRF_LINK_TARGETS. */
void brf_link_empty_call_put(
    struct brf_buf *out, uint32_t xid, enum brf_link_procedure procedure);

/* The reply to BRF_LINK_TARGETS. */
void brf_link_targets_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_text *text);
bool brf_link_targets_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_text *text, struct brf_error *err);

void brf_link_watch_call_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_watch_call *call);
bool brf_link_watch_call_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_watch_call *call, struct brf_error *err);

void brf_link_watch_reply_put(struct brf_buf *out, uint32_t xid,
    const struct brf_link_watch_reply *reply);

/* After success give @reply->event to brf_store_event_free(). */
bool brf_link_watch_reply_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_watch_reply *reply, struct brf_error *err);

void brf_link_note_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_text *text);
bool brf_link_note_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_text *text, struct brf_error *err);

/* The reply to BRF_LINK_NOTE. */
void brf_link_note_result_put(
    struct brf_buf *out, uint32_t xid, enum brf_link_note_result result);
bool brf_link_note_result_get(XDR *xdr, const struct brf_record *record,
    enum brf_link_note_result *result, struct brf_error *err);

BRF_END_DECLS

#endif
