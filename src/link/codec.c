#include "bulrushford.h"
#include "config/store_codec.h"
#include "link/codec.h"

#define XDR_UNIT 4u    /* bytes; XDR pads to a multiple of it */
#define FIXED_MAX 128u /* bytes of all but the texts of any message */

/* Bits in the first word of SEND, of DATA and of the reply to SEND. */
#define F_REPEATABLE 0x1u
#define F_NESTED 0x2u
#define F_REPEAT 0x4u
#define F_END 0x8u
#define F_BROKEN 0x40u
#define F_ARRIVED 0x80u
#define F_MARKED 0x100u
#define F_INNER 0x200u
#define F_LIMITED 0x400u /* reply */
#define F_LEAVING 0x800u /* reply */
#define F_HEARD 0x1000u	 /* reply */
#define F_SEND_LIMITED 0x10000u
#define BODY_SHIFT 4
#define BODY_MASK 0x3u
#define RANK_SHIFT 8
#define RANK_MASK 0xffu
#define STATUS_SHIFT 16
#define STATE_MASK 0x3u

#define RATE_UNIT 1e6 /* rates are sent in millionths of a request a second */

static bool
malformed(struct brf_error *err, const char *what)
{
	return (
	    brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "malformed %s", what));
}

static void
put_u32(XDR *xdr, uint32_t v)
{
	xdr_u_int(xdr, &v);
}

static void
put_u64(XDR *xdr, uint64_t v)
{
	put_u32(xdr, (uint32_t)(v >> 32));
	put_u32(xdr, (uint32_t)v);
}

static void
put_rate(XDR *xdr, double rate)
{
	put_u64(xdr, (uint64_t)(brf_rate_limit_clamp(rate) * RATE_UNIT));
}

static void
put_text(XDR *xdr, const struct brf_link_text *t)
{
	put_u32(xdr, (uint32_t)t->len);
	xdr_opaque(xdr, (char *)t->data, (u_int)t->len);
}

static bool
get_u32(XDR *xdr, uint32_t *v)
{
	return (xdr_u_int(xdr, v));
}

static bool
get_u64(XDR *xdr, uint64_t *v)
{
	uint32_t high, low;

	if (!get_u32(xdr, &high) || !get_u32(xdr, &low))
		return (false);
	*v = (uint64_t)high << 32 | low;
	return (true);
}

static bool
get_rate(XDR *xdr, double *rate)
{
	uint64_t units;

	if (!get_u64(xdr, &units))
		return (false);
	*rate = brf_rate_limit_clamp((double)units / RATE_UNIT);
	return (true);
}

static bool
get_text(XDR *xdr, const struct brf_record *record, struct brf_link_text *t,
    size_t max_len)
{
	size_t offset, padded;
	uint32_t len;

	if (!get_u32(xdr, &len) || len > max_len)
		return (false);
	offset = xdr_getpos(xdr);
	padded = ((size_t)len + XDR_UNIT - 1) / XDR_UNIT * XDR_UNIT;
	if (padded > record->len - offset)
		return (false);
	t->data = record->data + offset;
	t->len = len;
	return (xdr_setpos(xdr, (u_int)(offset + padded)));
}

/*
 * Whether @t has neither spaces nor control characters, which could end a
 * line of an HTTP head early.
 */
static bool
is_visible(const struct brf_link_text *t)
{
	size_t i;

	for (i = 0; i < t->len; i++) {
		if ((unsigned char)t->data[i] <= ' ' || t->data[i] == 0x7f)
			return (false);
	}
	return (true);
}

/*
 * Whether @t consists of non-empty lines that each end in CR LF, without NUL,
 * bare CR or bare LF.
 */
static bool
is_field_block(const struct brf_link_text *t)
{
	size_t i, line_len = 0;

	for (i = 0; i < t->len; i++) {
		if (t->data[i] == '\0' || t->data[i] == '\n')
			return (false);
		if (t->data[i] != '\r') {
			line_len++;
			continue;
		}
		if (line_len == 0 || i + 1 == t->len || t->data[i + 1] != '\n')
			return (false);
		i++;
		line_len = 0;
	}
	return (line_len == 0);
}

void
brf_link_hello_put(struct brf_buf *out, uint32_t xid, bool reply,
    const struct brf_link_hello *hello)
{
	size_t max_len = FIXED_MAX + hello->node.len + hello->service.len;
	struct brf_rpc_writer w;

	if (reply)
		brf_rpc_begin_reply(&w, out, max_len, xid, BRF_RPC_SUCCESS);
	else
		brf_rpc_begin_program_call(
		    &w, out, max_len, xid, BRF_LINK_PROGRAM, BRF_LINK_HELLO);
	put_text(&w.xdr, &hello->node);
	put_text(&w.xdr, &hello->service);
	put_u64(&w.xdr, hello->revision);
	brf_rpc_end(&w, true);
}

bool
brf_link_hello_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_hello *hello, struct brf_error *err)
{
	if (!get_text(xdr, record, &hello->node, BRF_NAME_MAX) ||
	    !get_text(xdr, record, &hello->service, BRF_NAME_MAX) ||
	    !is_visible(&hello->service) || !get_u64(xdr, &hello->revision) ||
	    !brf_rpc_at_end(xdr, record))
		return (malformed(err, "hello"));
	return (true);
}

static uint32_t
send_flags(const struct brf_link_send *s)
{
	return ((s->repeatable ? F_REPEATABLE : 0) |
		(s->nested ? F_NESTED : 0) | (s->repeat ? F_REPEAT : 0) |
		(s->rate_limit != 0 ? F_SEND_LIMITED : 0) |
		(s->end ? F_END : 0) | (uint32_t)s->body << BODY_SHIFT |
		s->rank << RANK_SHIFT);
}

void
brf_link_send_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_send *s)
{
	size_t max_len = FIXED_MAX + s->id.len + s->target.len + s->method.len +
			 s->path.len + s->host.len + s->fields.len +
			 s->part.len;
	struct brf_rpc_writer w;

	brf_rpc_begin_program_call(
	    &w, out, max_len, xid, BRF_LINK_PROGRAM, BRF_LINK_SEND);
	put_u32(&w.xdr, send_flags(s));
	put_u32(&w.xdr, s->timeout_us);
	put_u32(&w.xdr, s->max_wait_us);
	if (s->body == BRF_BODY_LENGTH && !s->end)
		put_u64(&w.xdr, s->length);
	if (s->rate_limit != 0) {
		put_rate(&w.xdr, s->rate_limit);
		put_u64(&w.xdr, s->born);
	}
	put_text(&w.xdr, &s->id);
	put_text(&w.xdr, &s->target);
	put_text(&w.xdr, &s->method);
	put_text(&w.xdr, &s->path);
	put_text(&w.xdr, &s->host);
	put_text(&w.xdr, &s->fields);
	put_text(&w.xdr, &s->part);
	brf_rpc_end(&w, true);
}

static bool
get_send_texts(
    XDR *xdr, const struct brf_record *record, struct brf_link_send *s)
{
	return (get_text(xdr, record, &s->id, BRF_HEAD_ID_MAX) &&
		get_text(xdr, record, &s->target, BRF_HEAD_ID_MAX) &&
		get_text(xdr, record, &s->method, BRF_HEAD_METHOD_SIZE - 1) &&
		get_text(xdr, record, &s->path, BRF_LINK_TEXT_MAX) &&
		get_text(xdr, record, &s->host, BRF_HEAD_HOST_MAX) &&
		get_text(xdr, record, &s->fields, BRF_LINK_TEXT_MAX) &&
		get_text(xdr, record, &s->part, BRF_LINK_PART_MAX));
}

bool
brf_link_send_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_send *s, struct brf_error *err)
{
	uint32_t flags = 0;

	if (!get_u32(xdr, &flags) || !get_u32(xdr, &s->timeout_us) ||
	    !get_u32(xdr, &s->max_wait_us))
		return (malformed(err, "send"));
	s->repeatable = (flags & F_REPEATABLE) != 0;
	s->nested = (flags & F_NESTED) != 0;
	s->repeat = (flags & F_REPEAT) != 0;
	s->end = (flags & F_END) != 0;
	s->body = (enum brf_body_kind)(flags >> BODY_SHIFT & BODY_MASK);
	s->rank = flags >> RANK_SHIFT & RANK_MASK;
	s->length = 0;
	s->rate_limit = 0;
	s->born = 0;
	if (s->body == BRF_BODY_CLOSE ||
	    (s->body == BRF_BODY_LENGTH && !s->end &&
		!get_u64(xdr, &s->length)) ||
	    ((flags & F_SEND_LIMITED) != 0 &&
		(!get_rate(xdr, &s->rate_limit) || !get_u64(xdr, &s->born))) ||
	    !get_send_texts(xdr, record, s) || !brf_rpc_at_end(xdr, record))
		return (malformed(err, "send"));
	if (s->method.len == 0 || s->path.len == 0 || !is_visible(&s->id) ||
	    !is_visible(&s->target) || !is_visible(&s->method) ||
	    !is_visible(&s->path) || !is_visible(&s->host) ||
	    !is_field_block(&s->fields))
		return (malformed(err, "send: invalid character"));
	if (s->end)
		s->length = s->part.len;
	return (true);
}

static void
put_load(XDR *xdr, const struct brf_gate_load *load)
{
	put_u32(xdr, (uint32_t)load->running << 16 | load->limit);
	put_u32(xdr, (uint32_t)load->waiting << 16 | load->service_ms);
}

static bool
get_load(XDR *xdr, struct brf_gate_load *load)
{
	uint32_t a, b;

	if (!get_u32(xdr, &a) || !get_u32(xdr, &b))
		return (false);
	load->running = (uint16_t)(a >> 16);
	load->limit = (uint16_t)a;
	load->waiting = (uint16_t)(b >> 16);
	load->service_ms = (uint16_t)b;
	return (true);
}

static uint32_t
report_flags(const struct brf_target_report *report)
{
	return ((report->self.rate_limit != 0 ? F_LIMITED : 0) |
		(report->self.leaving ? F_LEAVING : 0) |
		(report->self.heard ? F_HEARD : 0));
}

static void
put_report(XDR *xdr, const struct brf_target_report *report)
{
	uint32_t flags = report_flags(report);

	if ((flags & (F_LIMITED | F_LEAVING)) != 0)
		put_u64(xdr, report->born);
	if ((flags & F_LIMITED) == 0)
		return;
	put_rate(xdr, report->self.rate_limit);
	put_u64(xdr, report->permit_wait_us);
}

static bool
get_report(XDR *xdr, uint32_t flags, struct brf_target_report *report)
{
	report->self.leaving = (flags & F_LEAVING) != 0;
	report->self.heard = (flags & F_HEARD) != 0;
	if ((flags & (F_LEAVING | F_LIMITED)) != 0 &&
	    !get_u64(xdr, &report->born))
		return (false);
	return ((flags & F_LIMITED) == 0 ||
		(get_rate(xdr, &report->self.rate_limit) &&
		    get_u64(xdr, &report->permit_wait_us)));
}

void
brf_link_reply_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_reply *r)
{
	bool answered = r->state == BRF_HOP_ANSWERED;
	size_t max_len =
	    FIXED_MAX + r->fields.len + r->part.len + r->replacement.len;
	struct brf_rpc_writer w;

	brf_rpc_begin_reply(&w, out, max_len, xid, BRF_RPC_SUCCESS);
	put_u32(&w.xdr,
	    (uint32_t)r->state | (r->end ? F_END : 0) |
		(r->arrived ? F_ARRIVED : 0) | (r->marked ? F_MARKED : 0) |
		(r->nested_route ? F_INNER : 0) | report_flags(&r->report) |
		(uint32_t)r->body << BODY_SHIFT | r->status << STATUS_SHIFT);
	put_load(&w.xdr, &r->load);
	put_report(&w.xdr, &r->report);
	if (!answered) {
		put_u32(&w.xdr, (uint32_t)r->reason);
		put_u32(&w.xdr, r->retry_after_ms);
		if (r->reason == BRF_R_NO_TARGET)
			put_text(&w.xdr, &r->replacement);
	} else {
		if (r->body == BRF_BODY_LENGTH && !r->end)
			put_u64(&w.xdr, r->length);
		put_text(&w.xdr, &r->fields);
		put_text(&w.xdr, &r->part);
	}
	brf_rpc_end(&w, true);
}

static bool
get_answer(XDR *xdr, const struct brf_record *record, struct brf_link_reply *r)
{
	if (r->body == BRF_BODY_LENGTH && !r->end && !get_u64(xdr, &r->length))
		return (false);
	if (!get_text(xdr, record, &r->fields, BRF_LINK_TEXT_MAX) ||
	    !get_text(xdr, record, &r->part, BRF_LINK_PART_MAX) ||
	    !is_field_block(&r->fields) || r->status < 200 || r->status > 599)
		return (false);
	if (r->end)
		r->length = r->part.len;
	return (true);
}

static bool
get_refusal(XDR *xdr, const struct brf_record *record, struct brf_link_reply *r)
{
	uint32_t reason;

	if (!get_u32(xdr, &reason) || reason >= BRF_REASON_COUNT ||
	    !get_u32(xdr, &r->retry_after_ms))
		return (false);
	r->reason = (enum brf_reason)reason;
	return (r->reason != BRF_R_NO_TARGET ||
		get_text(xdr, record, &r->replacement, BRF_LINK_TEXT_MAX));
}

bool
brf_link_reply_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_reply *r, struct brf_error *err)
{
	uint32_t flags;
	bool ok;

	memset(r, 0, sizeof(*r));
	if (!get_u32(xdr, &flags) || !get_load(xdr, &r->load) ||
	    !get_report(xdr, flags, &r->report))
		return (malformed(err, "reply"));
	r->state = (enum brf_hop_state)(flags & STATE_MASK);
	r->end = (flags & F_END) != 0;
	r->arrived = (flags & F_ARRIVED) != 0;
	r->marked = (flags & F_MARKED) != 0;
	r->nested_route = (flags & F_INNER) != 0;
	r->body = (enum brf_body_kind)(flags >> BODY_SHIFT & BODY_MASK);
	r->status = flags >> STATUS_SHIFT;
	if (r->state == BRF_HOP_OPEN)
		return (malformed(err, "reply: state"));
	ok = r->state == BRF_HOP_ANSWERED ? get_answer(xdr, record, r)
					  : get_refusal(xdr, record, r);
	if (!ok || !brf_rpc_at_end(xdr, record))
		return (malformed(err, "reply"));
	return (true);
}

static void
begin_call(struct brf_rpc_writer *w, struct brf_buf *out, size_t args_len,
    uint32_t xid, enum brf_link_procedure procedure)
{
	brf_rpc_begin_program_call(
	    w, out, FIXED_MAX + args_len, xid, BRF_LINK_PROGRAM, procedure);
}

void
brf_link_data_put(struct brf_buf *out, const struct brf_link_data *d)
{
	struct brf_rpc_writer w;

	begin_call(&w, out, d->part.len, d->stream, BRF_LINK_DATA);
	put_u32(&w.xdr, (d->end ? F_END : 0) | (d->broken ? F_BROKEN : 0));
	put_text(&w.xdr, &d->part);
	brf_rpc_end(&w, true);
}

bool
brf_link_data_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_data *d, struct brf_error *err)
{
	uint32_t flags;

	if (!get_u32(xdr, &flags) ||
	    !get_text(xdr, record, &d->part, BRF_LINK_PART_MAX) ||
	    !brf_rpc_at_end(xdr, record))
		return (malformed(err, "data"));
	d->end = (flags & F_END) != 0;
	d->broken = (flags & F_BROKEN) != 0;
	return (true);
}

void
brf_link_window_update_put(
    struct brf_buf *out, const struct brf_link_window_update *window)
{
	struct brf_rpc_writer w;

	begin_call(&w, out, 0, window->stream, BRF_LINK_WINDOW_UPDATE);
	put_u32(&w.xdr, window->bytes);
	brf_rpc_end(&w, true);
}

bool
brf_link_window_update_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_window_update *window, struct brf_error *err)
{
	if (!get_u32(xdr, &window->bytes) || !brf_rpc_at_end(xdr, record))
		return (malformed(err, "room"));
	return (true);
}

void
brf_link_cancel_put(struct brf_buf *out, uint32_t stream)
{
	struct brf_rpc_writer w;

	begin_call(&w, out, 0, stream, BRF_LINK_CANCEL);
	brf_rpc_end(&w, true);
}

void
brf_link_revision_put(struct brf_buf *out, uint32_t xid,
    enum brf_link_procedure procedure, uint64_t revision)
{
	struct brf_rpc_writer w;

	begin_call(&w, out, 0, xid, procedure);
	put_u64(&w.xdr, revision);
	brf_rpc_end(&w, true);
}

bool
brf_link_revision_get(XDR *xdr, const struct brf_record *record,
    uint64_t *revision, struct brf_error *err)
{
	if (!get_u64(xdr, revision) || !brf_rpc_at_end(xdr, record))
		return (malformed(err, "revision"));
	return (true);
}

void
brf_link_table_put(struct brf_buf *out, uint32_t xid, uint64_t revision,
    const struct brf_link_text *text)
{
	struct brf_rpc_writer w;

	brf_rpc_begin_reply(
	    &w, out, FIXED_MAX + text->len, xid, BRF_RPC_SUCCESS);
	put_u64(&w.xdr, revision);
	put_text(&w.xdr, text);
	brf_rpc_end(&w, true);
}

bool
brf_link_table_get(XDR *xdr, const struct brf_record *record,
    uint64_t *revision, struct brf_link_text *text, struct brf_error *err)
{
	if (!get_u64(xdr, revision) ||
	    !get_text(xdr, record, text, BRF_BODY_MAX) ||
	    !brf_rpc_at_end(xdr, record))
		return (malformed(err, "table"));
	return (true);
}

void
brf_link_empty_call_put(
    struct brf_buf *out, uint32_t xid, enum brf_link_procedure procedure)
{
	struct brf_rpc_writer w;

	begin_call(&w, out, 0, xid, procedure);
	brf_rpc_end(&w, true);
}

void
brf_link_targets_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_text *text)
{
	struct brf_rpc_writer w;

	brf_rpc_begin_reply(
	    &w, out, FIXED_MAX + text->len, xid, BRF_RPC_SUCCESS);
	put_text(&w.xdr, text);
	brf_rpc_end(&w, true);
}

bool
brf_link_targets_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_text *text, struct brf_error *err)
{
	if (!get_text(xdr, record, text, BRF_BODY_MAX) ||
	    !brf_rpc_at_end(xdr, record))
		return (malformed(err, "targets"));
	return (true);
}

void
brf_link_watch_call_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_watch_call *call)
{
	struct brf_rpc_writer w;

	begin_call(&w, out, call->prefix.len, xid, BRF_LINK_WATCH);
	put_text(&w.xdr, &call->prefix);
	put_u64(&w.xdr, call->epoch);
	put_u64(&w.xdr, call->after);
	put_u64(&w.xdr, call->age_us);
	brf_rpc_end(&w, true);
}

bool
brf_link_watch_call_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_watch_call *call, struct brf_error *err)
{
	if (!get_text(xdr, record, &call->prefix, BRF_LINK_PREFIX_MAX) ||
	    !get_u64(xdr, &call->epoch) || !get_u64(xdr, &call->after) ||
	    !get_u64(xdr, &call->age_us) || !brf_rpc_at_end(xdr, record))
		return (malformed(err, "watch"));
	return (true);
}

static size_t
changes_size(const struct brf_store_event *event)
{
	size_t i, size = 0;

	for (i = 0; i < event->count; i++)
		size +=
		    FIXED_MAX + strlen(event->kvs[i].key) + event->kvs[i].len;
	return (size);
}

static void
put_change(XDR *xdr, const struct brf_store_kv *kv)
{
	struct brf_link_text key = { kv->key, strlen(kv->key) };
	struct brf_link_text value = { kv->len != 0 ? kv->value : "", kv->len };

	put_text(xdr, &key);
	put_text(xdr, &value);
	put_u64(xdr, kv->revision);
	put_u32(xdr, kv->deleted);
}

void
brf_link_watch_reply_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_watch_reply *reply)
{
	const struct brf_store_event *event = &reply->event;
	struct brf_rpc_writer w;
	size_t i;

	brf_rpc_begin_reply(
	    &w, out, FIXED_MAX + changes_size(event), xid, BRF_RPC_SUCCESS);
	put_u32(&w.xdr, reply->status);
	put_u64(&w.xdr, reply->epoch);
	put_u64(&w.xdr, reply->age_us);
	put_u64(&w.xdr, event->revision);
	put_u32(&w.xdr, (uint32_t)event->count);
	for (i = 0; i < event->count; i++)
		put_change(&w.xdr, &event->kvs[i]);
	brf_rpc_end(&w, true);
}

static bool
get_change(XDR *xdr, const struct brf_record *record, struct brf_store_kv *kv)
{
	struct brf_link_text key, value;
	uint32_t deleted;

	if (!get_text(xdr, record, &key, BRF_LINK_TEXT_MAX) ||
	    memchr(key.data, '\0', key.len) != NULL ||
	    !get_text(xdr, record, &value, BRF_BODY_MAX) ||
	    !get_u64(xdr, &kv->revision) || !get_u32(xdr, &deleted))
		return (false);
	kv->key = brf_strdup(key.data, key.len);
	kv->value = brf_strdup(value.data, value.len);
	kv->len = value.len;
	kv->deleted = deleted != 0;
	return (true);
}

static bool
get_changes(XDR *xdr, const struct brf_record *record, uint32_t count,
    struct brf_store_event *event)
{
	event->kvs = brf_calloc(count, sizeof(*event->kvs));
	while (event->count < count) {
		if (!get_change(xdr, record, &event->kvs[event->count]))
			return (false);
		event->count++;
	}
	return (brf_rpc_at_end(xdr, record));
}

bool
brf_link_watch_reply_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_watch_reply *reply, struct brf_error *err)
{
	uint32_t status, count;

	memset(reply, 0, sizeof(*reply));
	if (!get_u32(xdr, &status) || status >= BRF_LINK_WATCH_STATUS_COUNT ||
	    !get_u64(xdr, &reply->epoch) || !get_u64(xdr, &reply->age_us) ||
	    !get_u64(xdr, &reply->event.revision) || !get_u32(xdr, &count) ||
	    count > BRF_LINK_CHANGES_MAX)
		return (malformed(err, "watch reply"));
	reply->status = (enum brf_link_watch_status)status;
	if (get_changes(xdr, record, count, &reply->event))
		return (true);
	brf_store_event_free(&reply->event);
	return (malformed(err, "watch reply"));
}

void
brf_link_note_put(
    struct brf_buf *out, uint32_t xid, const struct brf_link_text *text)
{
	struct brf_rpc_writer w;

	begin_call(&w, out, text->len, xid, BRF_LINK_NOTE);
	put_text(&w.xdr, text);
	brf_rpc_end(&w, true);
}

bool
brf_link_note_get(XDR *xdr, const struct brf_record *record,
    struct brf_link_text *text, struct brf_error *err)
{
	if (!get_text(xdr, record, text, BRF_LINK_NOTE_MAX) ||
	    !brf_rpc_at_end(xdr, record))
		return (malformed(err, "note"));
	return (true);
}

void
brf_link_note_result_put(
    struct brf_buf *out, uint32_t xid, enum brf_link_note_result result)
{
	struct brf_rpc_writer w;

	brf_rpc_begin_reply(&w, out, FIXED_MAX, xid, BRF_RPC_SUCCESS);
	put_u64(&w.xdr, result);
	brf_rpc_end(&w, true);
}

bool
brf_link_note_result_get(XDR *xdr, const struct brf_record *record,
    enum brf_link_note_result *result, struct brf_error *err)
{
	uint64_t value;

	if (!get_u64(xdr, &value) || !brf_rpc_at_end(xdr, record) ||
	    value < BRF_LINK_NOTE_REFUSED || value > BRF_LINK_NOTE_RECORDED)
		return (malformed(err, "result of a note"));
	*result = (enum brf_link_note_result)value;
	return (true);
}
