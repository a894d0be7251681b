#include <strings.h>

#include "flow/head.h"
#include "http/fields.h"
#include "http/framing.h"

#define FIELDS_MAX 128 /* of one message, hop-by-hop ones included */

/* Fields that the system sets itself, whatever a caller sent. */
static bool
is_own(const struct phr_header *f, const struct brf_field_names *names)
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
copy_value(const struct phr_header *f, char *out, size_t most)
{
	if (f->value_len > most)
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

/* Return: false when a field can't be passed on as it is. */
static bool
put_block(struct brf_buf *b, const struct phr_header *fields, size_t count,
    const struct brf_field_names *own)
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
		    (own != NULL && is_own(f, own)) ||
		    (named && is_named_by_connection(fields, count, f)))
			continue;
		brf_buf_add(b, f->name, f->name_len);
		brf_buf_add(b, ": ", 2);
		brf_buf_add(b, f->value, f->value_len);
		brf_buf_add(b, "\r\n", 2);
	}
	return (true);
}

/* Return: the field when there is exactly one, else NULL; @several tells. */
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
		    !brf_http_field_list_contains(&fields[i], 1, "transfer-encoding",
			"chunked", strlen("chunked")))
			return (true);
	}
	return (false);
}

static bool
take_target(struct brf_request_head *h, const char *path, size_t len)
{
	static const char scheme[] = "http://";
	size_t skip = sizeof(scheme) - 1, host;
	const char *slash;

	/* RFC 9112, section 3.2.2: its authority goes before the host field */
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
take_host(
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
take_own(struct brf_request_head *h, const struct phr_header *fields,
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
take_connection(
    struct brf_request_head *h, const struct phr_header *fields, size_t count)
{
	bool close = brf_http_field_list_contains(
	    fields, count, "connection", "close", strlen("close"));
	bool keep = brf_http_field_list_contains(
	    fields, count, "connection", "keep-alive", strlen("keep-alive"));

	h->keep = !close && (!h->http_1_0 || keep);
	h->expects_continue =
	    !h->http_1_0 && brf_http_field_list_contains(fields, count, "expect",
				"100-continue", strlen("100-continue"));
}

static enum brf_head_result
fill_request(struct brf_request_head *h, const struct phr_header *fields,
    size_t count, const struct brf_field_names *names)
{
	struct brf_http_framing framing;

	if (has_coding(fields, count))
		return (BRF_HEAD_CODING);
	if (!brf_http_framing_parse(&framing, fields, count) ||
	    (framing.chunked && h->http_1_0) || !take_host(h, fields, count) ||
	    !take_own(h, fields, count, names) ||
	    !put_block(&h->fields, fields, count, names))
		return (BRF_HEAD_BAD);
	take_connection(h, fields, count);
	h->length = framing.length;
	if (framing.chunked)
		h->body = BRF_BODY_CHUNKED;
	else
		h->body = framing.has_length ? BRF_BODY_LENGTH : BRF_BODY_NONE;
	return (BRF_HEAD_WHOLE);
}

enum brf_head_result
brf_request_head_parse(struct brf_request_head *h, const char *data, size_t len,
    size_t seen, const struct brf_field_names *names, size_t *used)
{
	struct phr_header fields[FIELDS_MAX];
	size_t count = FIELDS_MAX, method_len, path_len;
	const char *method, *path;
	int minor_version, n;

	n = phr_parse_request(data, len, &method, &method_len, &path, &path_len,
	    &minor_version, fields, &count, seen);
	if (n == -2)
		return (BRF_HEAD_MORE);
	if (n < 0 || !brf_http_method_is_valid(method, method_len))
		return (BRF_HEAD_BAD);
	memcpy(h->method, method, method_len);
	h->method[method_len] = '\0';
	h->http_1_0 = minor_version == 0;
	*used = (size_t)n;
	if (!take_target(h, path, path_len))
		return (BRF_HEAD_BAD);
	return (fill_request(h, fields, count, names));
}

void
brf_request_head_free(struct brf_request_head *h)
{
	brf_buf_free(&h->path);
	brf_buf_free(&h->fields);
}

/* The seconds in "timeout=N" of a keep-alive field; 0 for no word. */
static uint32_t
kept_seconds(const struct phr_header *fields, size_t count)
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
take_answer_id(struct brf_answer_head *h, const struct phr_header *fields,
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
    size_t seen, bool to_head, const struct brf_field_names *names,
    size_t *used)
{
	struct phr_header fields[FIELDS_MAX];
	size_t count = FIELDS_MAX, msg_len;
	struct brf_http_framing framing;
	int minor_version, n;
	const char *msg;

	n = phr_parse_response(data, len, &minor_version, &h->status, &msg,
	    &msg_len, fields, &count, seen);
	if (n == -2)
		return (BRF_HEAD_MORE);
	if (n < 0 || h->status < 100 || h->status > 599 ||
	    !brf_http_framing_parse(&framing, fields, count) ||
	    !take_answer_id(h, fields, count, names) ||
	    !put_block(&h->fields, fields, count, NULL))
		return (BRF_HEAD_BAD);
	*used = (size_t)n;
	h->length = framing.length;
	h->body = answer_body(h, to_head, &framing);
	h->keep = minor_version >= 1 && h->body != BRF_BODY_CLOSE &&
		  !brf_http_field_list_contains(
		      fields, count, "connection", "close", strlen("close"));
	h->keep_s = kept_seconds(fields, count);
	h->sealed = has_field(fields, count, names->seal);
	h->not_run = has_field(fields, count, names->not_run);
	h->encoded = has_field(fields, count, "content-encoding");
	return (BRF_HEAD_WHOLE);
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
