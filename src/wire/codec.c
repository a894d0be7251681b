#include <ctype.h>
#include <stdlib.h>

#include "wire/codec.h"

#define FIXED_SIZE 1024u /* bytes; bound of numbers, names and the token */
#define HEADER_SIZE 16u	 /* bytes; two lengths and padding of a header */
#define STATUS_FIRST 100u
#define STATUS_LAST 599u

_Static_assert(
    BRF_XDR_BODY == BRF_BODY_MAX, "proto.x must have the same bound");
_Static_assert(
    BRF_XDR_FIELDS == BRF_HEADERS_MAX, "proto.x must have the same bound");
_Static_assert(
    BRF_XDR_PATH == BRF_PATH_MAX, "proto.x must have the same bound");
_Static_assert(
    BRF_XDR_NAME == BRF_NAME_MAX, "proto.x must have the same bound");
_Static_assert(BRF_XDR_TOKEN + 1 == sizeof(((struct brf_attempt *)0)->token),
    "proto.x must have the same bound");
_Static_assert(BRF_XDR_METHOD + 1 == sizeof(((struct brf_message *)0)->method),
    "proto.x must have the same bound");

struct brf_id
brf_id_from_xdr(const brf_xdr_id *id)
{
	return ((struct brf_id){ .hi = id->hi, .lo = id->lo });
}

brf_xdr_id
brf_id_to_xdr(struct brf_id id)
{
	return ((brf_xdr_id){ .hi = id.hi, .lo = id.lo });
}

static size_t
message_size(const struct brf_message *m)
{
	return (strlen(m->path) + m->header_bytes +
		m->header_count * HEADER_SIZE + m->body.len);
}

/* XDR's encoders take non-const pointers, although they only read. */
static void
borrow_text(u_int *len, char **val, const char *s)
{
	*len = (u_int)strlen(s);
	*val = (char *)s;
}

static void
borrow_message(
    brf_xdr_message *out, brf_xdr_header *fields, const struct brf_message *m)
{
	size_t i;

	for (i = 0; i < m->header_count; i++) {
		borrow_text(&fields[i].name.name_len, &fields[i].name.name_val,
		    m->headers[i].name);
		borrow_text(&fields[i].value.value_len,
		    &fields[i].value.value_val, m->headers[i].value);
	}
	borrow_text(
	    &out->method.method_len, &out->method.method_val, m->method);
	borrow_text(&out->path.path_len, &out->path.path_val, m->path);
	out->status = (u_int)m->status;
	out->headers.headers_len = (u_int)m->header_count;
	out->headers.headers_val = fields;
	out->body.body_len = (u_int)m->body.len;
	out->body.body_val = m->body.data;
	out->checksum = brf_message_checksum(m);
}

size_t
brf_attempt_max_size(const struct brf_attempt *a)
{
	return (FIXED_SIZE + message_size(a->request));
}

bool
brf_attempt_encode(XDR *xdr, const struct brf_attempt *a, uint64_t timeout_us)
{
	const uint64_t most = BRF_TIMEOUT_MAX_MS * BRF_US_PER_MS;
	brf_xdr_header fields[BRF_XDR_FIELDS];
	brf_xdr_attempt x = {
		.root = brf_id_to_xdr(a->root),
		.id = brf_id_to_xdr(a->id),
		.timeout_us = timeout_us < most ? timeout_us : most,
		.depth = a->depth,
		.cls = a->cls,
		.retries = a->retries,
		.resend = a->resend,
	};

	borrow_text(&x.service.service_len, &x.service.service_val, a->service);
	borrow_text(&x.workspace.workspace_len, &x.workspace.workspace_val,
	    a->workspace);
	borrow_text(&x.token.token_len, &x.token.token_val, a->token);
	borrow_message(&x.request, fields, a->request);
	return (xdr_brf_xdr_attempt(xdr, &x));
}

static bool
copy_text(char *dst, size_t size, u_int len, const char *src)
{
	if (len >= size)
		return (false);
	if (len != 0 && memchr(src, '\0', len) != NULL)
		return (false);
	if (len != 0)
		memcpy(dst, src, len);
	dst[len] = '\0';
	return (true);
}

static bool
is_method(const char *s)
{
	for (; *s != '\0'; s++) {
		if (!isalnum((unsigned char)*s) && *s != '-' && *s != '_')
			return (false);
	}
	return (true);
}

/* Rejects control characters and spaces, which would end a request line. */
static bool
is_path(const char *s, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if ((unsigned char)s[i] <= ' ' || s[i] == 0x7f)
			return (false);
	}
	return (true);
}

/* The XDR decoder uses malloc(), too, so the body is moved without a copy. */
static void
move_body(struct brf_buf *body, brf_xdr_message *in)
{
	size_t len = in->body.body_len;

	if (len == 0)
		return;
	body->data = brf_realloc(in->body.body_val, len + 1);
	body->data[len] = '\0';
	body->len = len;
	body->cap = len + 1;
	in->body.body_val = NULL;
	in->body.body_len = 0;
}

static bool
copy_headers(
    struct brf_message *m, const brf_xdr_message *in, struct brf_error *err)
{
	const brf_xdr_header *h;
	u_int i;

	for (i = 0; i < in->headers.headers_len; i++) {
		h = &in->headers.headers_val[i];
		if (!brf_message_add_header(m, h->name.name_val,
			h->name.name_len, h->value.value_val,
			h->value.value_len, err))
			return (false);
	}
	return (true);
}

static bool
fill_message(struct brf_message *m, brf_xdr_message *in, struct brf_error *err)
{
	if (!copy_text(m->method, sizeof(m->method), in->method.method_len,
		in->method.method_val) ||
	    !is_method(m->method))
		return (brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "method"));
	if (!is_path(in->path.path_val, in->path.path_len))
		return (brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "path"));
	if (in->path.path_len != 0 &&
	    !brf_message_set_path(m, in->path.path_val, in->path.path_len, err))
		return (false);
	m->status = (int)in->status;
	if (!copy_headers(m, in, err))
		return (false);
	move_body(&m->body, in);
	if (brf_message_checksum(m) != in->checksum)
		return (brf_error_set(err, BRF_E_CHECKSUM, 0,
		    "message of %zu bytes", message_size(m)));
	return (true);
}

static struct brf_message *
convert_message(brf_xdr_message *in, struct brf_error *err)
{
	struct brf_message *m = brf_message_new();

	if (fill_message(m, in, err))
		return (m);
	brf_message_unref(m);
	return (NULL);
}

static bool
check_attempt(const brf_xdr_attempt *x, struct brf_error *err)
{
	const char *what = NULL;

	if (x->timeout_us > BRF_TIMEOUT_MAX_MS * BRF_US_PER_MS)
		what = "timeout";
	else if (x->depth > BRF_DEPTH_MAX)
		what = "depth";
	else if (x->cls >= BRF_CLASSES)
		what = "class";
	else if (x->retries > BRF_RETRIES_MAX)
		what = "retries";
	else if (x->request.status != 0)
		what = "request with a status";
	else if (x->request.method.method_len == 0)
		what = "request without a method";
	else if (x->request.path.path_len == 0)
		what = "request without a path";
	if (what != NULL)
		return (brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "%s", what));
	return (true);
}

static bool
convert_attempt(
    struct brf_attempt *a, brf_xdr_attempt *x, struct brf_error *err)
{
	if (!check_attempt(x, err))
		return (false);
	a->root = brf_id_from_xdr(&x->root);
	a->id = brf_id_from_xdr(&x->id);
	a->timeout_us = x->timeout_us;
	a->depth = x->depth;
	a->cls = x->cls;
	a->retries = x->retries;
	a->resend = x->resend;
	if (!copy_text(a->service, sizeof(a->service), x->service.service_len,
		x->service.service_val) ||
	    !copy_text(a->workspace, sizeof(a->workspace),
		x->workspace.workspace_len, x->workspace.workspace_val) ||
	    !copy_text(a->token, sizeof(a->token), x->token.token_len,
		x->token.token_val))
		return (brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "name"));
	a->request = convert_message(&x->request, err);
	return (a->request != NULL);
}

bool
brf_attempt_decode(XDR *xdr, struct brf_attempt *a, struct brf_error *err)
{
	brf_xdr_attempt x = { 0 };
	bool ok = false;

	memset(a, 0, sizeof(*a));
	if (!xdr_brf_xdr_attempt(xdr, &x))
		brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "attempt");
	else
		ok = convert_attempt(a, &x, err);
	xdr_free((xdrproc_t)xdr_brf_xdr_attempt, &x);
	return (ok);
}

size_t
brf_reply_max_size(const struct brf_reply *r)
{
	return (FIXED_SIZE + (r->answer != NULL ? message_size(r->answer) : 0));
}

bool
brf_reply_encode(XDR *xdr, struct brf_id id, const struct brf_reply *r)
{
	brf_xdr_header fields[BRF_XDR_FIELDS];
	brf_xdr_message answer;
	brf_xdr_level level = {
		.cut = r->level.cut,
		.in_flight = r->level.in_flight,
		.waiting = r->level.waiting,
		.limit = r->level.limit,
	};
	brf_xdr_reply x = {
		.id = brf_id_to_xdr(id),
		.outcome = r->outcome,
		.reason = r->reason,
		.retry_after_ms = r->retry_after_ms,
		.retries = r->retries,
		.level = r->has_level ? &level : NULL,
		.useful_us = r->useful_us,
		.wasted_us = r->wasted_us,
	};

	if (r->answer != NULL) {
		borrow_message(&answer, fields, r->answer);
		x.answer = &answer;
	}
	return (xdr_brf_xdr_reply(xdr, &x));
}

static bool
check_reply(const brf_xdr_reply *x, struct brf_error *err)
{
	const brf_xdr_message *m = x->answer;
	const char *what = NULL;

	if (x->outcome > BRF_UNKNOWN)
		what = "outcome";
	else if (x->reason >= BRF_REASON_COUNT)
		what = "reason";
	else if (x->retries > BRF_RETRIES_MAX)
		what = "retries";
	else if (x->level != NULL && x->level->cut > BRF_RANK_END)
		what = "level";
	else if ((x->outcome == BRF_ANSWERED) != (m != NULL) ||
		 (x->outcome == BRF_ANSWERED) != (x->reason == BRF_R_NONE))
		what = "outcome contradicts answer or reason";
	else if (m != NULL &&
		 (m->status < STATUS_FIRST || m->status > STATUS_LAST))
		what = "status";
	else if (m != NULL && m->method.method_len + m->path.path_len != 0)
		what = "answer with method or path";
	if (what != NULL)
		return (brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "%s", what));
	return (true);
}

static void
copy_level(struct brf_reply *r, const brf_xdr_level *level)
{
	if (level == NULL)
		return;
	r->has_level = true;
	r->level.cut = level->cut;
	r->level.in_flight = level->in_flight;
	r->level.waiting = level->waiting;
	r->level.limit = level->limit;
}

static bool
convert_reply(struct brf_reply *r, brf_xdr_reply *x, struct brf_id id,
    struct brf_error *err)
{
	if (!brf_id_equal(brf_id_from_xdr(&x->id), id))
		return (brf_error_set(err, BRF_E_RPC_UNMATCHED, 0,
		    "reply has the id of another attempt"));
	if (!check_reply(x, err))
		return (false);
	r->outcome = (enum brf_outcome)x->outcome;
	r->reason = (enum brf_reason)x->reason;
	r->retry_after_ms = x->retry_after_ms;
	r->retries = x->retries;
	r->useful_us = x->useful_us;
	r->wasted_us = x->wasted_us;
	copy_level(r, x->level);
	if (x->answer == NULL)
		return (true);
	r->answer = convert_message(x->answer, err);
	return (r->answer != NULL);
}

bool
brf_reply_decode(
    XDR *xdr, struct brf_id id, struct brf_reply *r, struct brf_error *err)
{
	brf_xdr_reply x = { 0 };
	bool ok = false;

	memset(r, 0, sizeof(*r));
	if (!xdr_brf_xdr_reply(xdr, &x))
		brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "reply");
	else
		ok = convert_reply(r, &x, id, err);
	xdr_free((xdrproc_t)xdr_brf_xdr_reply, &x);
	return (ok);
}
