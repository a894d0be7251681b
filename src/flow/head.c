#include <strings.h>

#include "flow/head.h"
#include "http/fields.h"
#include "http/framing.h"

#define FIELDS_MAX 128 /* per message, including hop-by-hop fields */

/* Fields that the system sets itself; a caller's values are dropped. */
static bool
is_reserved(const struct phr_header *f, const struct brf_field_names *names)
{
	return (brf_http_field_is(f, names->timeout) ||
		brf_http_field_is(f, names->target) ||
		brf_http_field_is(f, names->caller));
}

static bool
value_is_clean(const struct phr_header *f)
{
	size_t i;

	for (i = 0; i < f->value_len; i++) {
		if (f->value[i] == '\0' || f->value[i] == '\r' ||
		    f->value[i] == '\n')
			return (false);
	}
	return (true);
}

static bool
copy_value(const struct phr_header *f, char *out, size_t max_len)
{
	if (f->value_len > max_len)
		return (false);
	memcpy(out, f->value, f->value_len);
	out[f->value_len] = '\0';
	return (true);
}

static bool
is_named_by_connection(
    const struct phr_header *fields, size_t count, const struct phr_header *f)
{
	return (brf_http_field_list_contains(
	    fields, count, "connection", f->name, f->name_len));
}

/*
 * Append the fields to be forwarded.
 * @reserved: names of fields to leave out; NULL for none
 *
 * Return: false if a field is folded or has a NUL, CR or LF in its value.
 */
static bool
put_block(struct brf_buf *b, const struct phr_header *fields, size_t count,
    const struct brf_field_names *reserved)
{
	const struct phr_header *f;
	bool named = false;
	size_t i;

	for (i = 0; i < count; i++)
		named = named || brf_http_field_is(&fields[i], "connection");
	for (i = 0; i < count; i++) {
		f = &fields[i];
		if (f->name == NULL || !value_is_clean(f))
			return (false);
		if (brf_http_field_is_hop_by_hop(f) ||
		    (reserved != NULL && is_reserved(f, reserved)) ||
		    (named && is_named_by_connection(fields, count, f)))
			continue;
		brf_buf_add(b, f->name, f->name_len);
		brf_buf_add(b, ": ", 2);
		brf_buf_add(b, f->value, f->value_len);
		brf_buf_add(b, "\r\n", 2);
	}
	return (true);
}

/* Return: the last field @name, or NULL.  Sets @several if there are more. */
static const struct phr_header *
single(const struct phr_header *fields, size_t count, const char *name,
    bool *several)
{
	const struct phr_header *found = NULL;
	size_t i;

	for (i = 0; i < count; i++) {
		if (!brf_http_field_is(&fields[i], name))
			continue;
		*several = *several || found != NULL;
		found = &fields[i];
	}
	return (found);
}

static bool
has_coding(const struct phr_header *fields, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (brf_http_field_is(&fields[i], "transfer-encoding") &&
		    !brf_http_field_list_contains(&fields[i], 1,
			"transfer-encoding", "chunked", strlen("chunked")))
			return (true);
	}
	return (false);
}

static bool
read_target(struct brf_request_head *h, const char *path, size_t len)
{
	static const char scheme[] = "http://";
	size_t skip = sizeof(scheme) - 1, host;
	const char *slash;

	/* RFC 9112, section 3.2.2: the authority overrides the host field */
	if (len > skip && strncasecmp(path, scheme, skip) == 0) {
		slash = memchr(path + skip, '/', len - skip);
		host =
		    slash != NULL ? (size_t)(slash - path) - skip : len - skip;
		if (host == 0 || host > BRF_HEAD_HOST_MAX)
			return (false);
		memcpy(h->host, path + skip, host);
		h->host[host] = '\0';
		path = slash != NULL ? slash : "/";
		len = slash != NULL ? len - skip - host : 1;
	}
	if (!brf_http_path_is_valid(path, len))
		return (false);
	brf_buf_add(&h->path, path, len);
	return (true);
}

static bool
host_is_clean(const char *host)
{
	for (; *host != '\0'; host++) {
		if (*host <= ' ' || *host > '~' || *host == '/' || *host == '@')
			return (false);
	}
	return (true);
}

static bool
read_host(
    struct brf_request_head *h, const struct phr_header *fields, size_t count)
{
	bool several = false, absolute = h->host[0] != '\0';
	const struct phr_header *f = single(fields, count, "host", &several);

	if (several || (f == NULL && !h->http_1_0))
		return (false);
	if (f != NULL && !absolute &&
	    !copy_value(f, h->host, BRF_HEAD_HOST_MAX))
		return (false);
	return (host_is_clean(h->host));
}

static bool
read_control_fields(struct brf_request_head *h, const struct phr_header *fields,
    size_t count, const struct brf_field_names *names)
{
	bool several = false;
	const struct phr_header *id =
	    single(fields, count, names->id, &several);
	const struct phr_header *timeout =
	    single(fields, count, names->timeout, &several);

	if (several || (id != NULL && !copy_value(id, h->id, BRF_HEAD_ID_MAX)))
		return (false);
	h->has_timeout = timeout != NULL;
	return (timeout == NULL || brf_http_parse_number(timeout->value,
				       timeout->value_len, &h->timeout_ms));
}

static void
read_connection(
    struct brf_request_head *h, const struct phr_header *fields, size_t count)
{
	bool close = brf_http_field_list_contains(
	    fields, count, "connection", "close", strlen("close"));
	bool keep_alive = brf_http_field_list_contains(
	    fields, count, "connection", "keep-alive", strlen("keep-alive"));

	h->keep_alive = !close && (!h->http_1_0 || keep_alive);
	h->expects_continue =
	    !h->http_1_0 &&
	    brf_http_field_list_contains(fields, count, "expect",
		"100-continue", strlen("100-continue"));
}

static enum brf_head_result
fill_request(struct brf_request_head *h, const struct phr_header *fields,
    size_t count, const struct brf_field_names *names)
{
	struct brf_http_framing framing;

	if (has_coding(fields, count))
		return (BRF_HEAD_UNSUPPORTED_CODING);
	if (!brf_http_framing_parse(&framing, fields, count) ||
	    (framing.chunked && h->http_1_0) || !read_host(h, fields, count) ||
	    !read_control_fields(h, fields, count, names) ||
	    !put_block(&h->fields, fields, count, names))
		return (BRF_HEAD_INVALID);
	read_connection(h, fields, count);
	h->length = framing.length;
	if (framing.chunked)
		h->body = BRF_BODY_CHUNKED;
	else
		h->body = framing.has_length ? BRF_BODY_LENGTH : BRF_BODY_NONE;
	return (BRF_HEAD_COMPLETE);
}

enum brf_head_result
brf_request_head_parse(struct brf_request_head *h, const char *data, size_t len,
    size_t last_len, const struct brf_field_names *names, size_t *used)
{
	struct phr_header fields[FIELDS_MAX];
	size_t count = FIELDS_MAX, method_len, path_len;
	const char *method, *path;
	int minor_version, n;

	n = phr_parse_request(data, len, &method, &method_len, &path, &path_len,
	    &minor_version, fields, &count, last_len);
	if (n == -2)
		return (BRF_HEAD_INCOMPLETE);
	if (n < 0 || !brf_http_method_is_valid(method, method_len))
		return (BRF_HEAD_INVALID);
	memcpy(h->method, method, method_len);
	h->method[method_len] = '\0';
	h->http_1_0 = minor_version == 0;
	*used = (size_t)n;
	if (!read_target(h, path, path_len))
		return (BRF_HEAD_INVALID);
	return (fill_request(h, fields, count, names));
}

void
brf_request_head_free(struct brf_request_head *h)
{
	brf_buf_free(&h->path);
	brf_buf_free(&h->fields);
}

/* The seconds in "timeout=N" of a keep-alive field; 0 if not stated. */
static uint32_t
keep_alive_seconds(const struct phr_header *fields, size_t count)
{
	static const char key[] = "timeout=";
	size_t len = sizeof(key) - 1, digits;
	bool several = false;
	const struct phr_header *f =
	    single(fields, count, "keep-alive", &several);
	uint64_t seconds;
	const char *p;

	if (f == NULL)
		return (0);
	p = memmem(f->value, f->value_len, key, len);
	if (p == NULL)
		return (0);
	p += len;
	for (digits = 0; p + digits < f->value + f->value_len; digits++) {
		if (p[digits] < '0' || p[digits] > '9')
			break;
	}
	if (!brf_http_parse_number(p, digits, &seconds) || seconds > UINT32_MAX)
		return (0);
	return ((uint32_t)seconds);
}

static bool
read_answer_id(struct brf_answer_head *h, const struct phr_header *fields,
    size_t count, const struct brf_field_names *names)
{
	bool several = false;
	const struct phr_header *id =
	    single(fields, count, names->id, &several);

	return (
	    !several && (id == NULL || copy_value(id, h->id, BRF_HEAD_ID_MAX)));
}

static bool
has_field(const struct phr_header *fields, size_t count, const char *name)
{
	bool several = false;

	return (single(fields, count, name, &several) != NULL);
}

static void
read_statement(struct brf_self_statement *s, const struct phr_header *fields,
    size_t count, const struct brf_field_names *names)
{
	bool several = false;
	const struct phr_header *limit =
	    single(fields, count, names->rate_limit, &several);
	const struct phr_header *leaving;

	if (limit == NULL)
		s->limit = BRF_LIMIT_ABSENT;
	else if (!several && brf_rate_limit_parse(limit->value,
				 limit->value_len, &s->rate_limit))
		s->limit = BRF_LIMIT_STATED;
	else
		s->limit = BRF_LIMIT_MALFORMED;
	leaving = single(fields, count, names->leaving, &several);
	s->leaving = leaving != NULL && leaving->value_len == 1 &&
		     leaving->value[0] == '1';
}

static enum brf_body_kind
answer_body(const struct brf_answer_head *h, bool to_head,
    const struct brf_http_framing *framing)
{
	if (to_head || h->status < 200 || h->status == 204 || h->status == 304)
		return (BRF_BODY_NONE);
	if (framing->chunked)
		return (BRF_BODY_CHUNKED);
	return (framing->has_length ? BRF_BODY_LENGTH : BRF_BODY_CLOSE);
}

enum brf_head_result
brf_answer_head_parse(struct brf_answer_head *h, const char *data, size_t len,
    size_t last_len, bool to_head, const struct brf_field_names *names,
    size_t *used)
{
	struct phr_header fields[FIELDS_MAX];
	size_t count = FIELDS_MAX, msg_len;
	struct brf_http_framing framing;
	int minor_version, n;
	const char *msg;

	n = phr_parse_response(data, len, &minor_version, &h->status, &msg,
	    &msg_len, fields, &count, last_len);
	if (n == -2)
		return (BRF_HEAD_INCOMPLETE);
	if (n < 0 || h->status < 100 || h->status > 599 ||
	    !brf_http_framing_parse(&framing, fields, count) ||
	    !read_answer_id(h, fields, count, names) ||
	    !put_block(&h->fields, fields, count, NULL))
		return (BRF_HEAD_INVALID);
	*used = (size_t)n;
	h->length = framing.length;
	h->body = answer_body(h, to_head, &framing);
	h->keep_alive = minor_version >= 1 && h->body != BRF_BODY_CLOSE &&
			!brf_http_field_list_contains(fields, count,
			    "connection", "close", strlen("close"));
	h->keep_alive_s = keep_alive_seconds(fields, count);
	h->sealed = has_field(fields, count, names->seal);
	h->not_run = has_field(fields, count, names->not_run);
	h->encoded = has_field(fields, count, "content-encoding");
	read_statement(&h->statement, fields, count, names);
	return (BRF_HEAD_COMPLETE);
}

void
brf_answer_head_free(struct brf_answer_head *h)
{
	brf_buf_free(&h->fields);
}

void
brf_field_put(struct brf_buf *b, const char *name, const char *value)
{
	brf_buf_puts(b, name);
	brf_buf_add(b, ": ", 2);
	brf_buf_puts(b, value);
	brf_buf_add(b, "\r\n", 2);
}
