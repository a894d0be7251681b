#include "http/fields.h"
#include "http/framing.h"

#define DIGITS_MAX 18u

bool
brf_http_parse_number(const char *text, size_t len, uint64_t *value)
{
	size_t i;

	*value = 0;
	for (i = 0; i < len; i++) {
		if (text[i] < '0' || text[i] > '9' || i == DIGITS_MAX)
			return (false);
		*value = *value * 10 + (uint64_t)(text[i] - '0');
	}
	return (i != 0);
}

static bool
parse_length(struct brf_http_framing *f, const struct phr_header *field)
{
	uint64_t length;

	if (!brf_http_parse_number(field->value, field->value_len, &length) ||
	    (f->has_length && f->length != length))
		return (false);
	f->has_length = true;
	f->length = length;
	return (true);
}

static bool
parse_coding(struct brf_http_framing *f, const struct phr_header *field)
{
	static const char chunked[] = "chunked";
	size_t len = sizeof(chunked) - 1;

	if (f->chunked || field->value_len != len ||
	    !brf_http_field_list_contains(
		field, 1, "transfer-encoding", chunked, len))
		return (false);
	f->chunked = true;
	return (true);
}

bool
brf_http_framing_parse(
    struct brf_http_framing *f, const struct phr_header *fields, size_t count)
{
	size_t i;

	*f = (struct brf_http_framing){ .chunked = false };
	for (i = 0; i < count; i++) {
		if (brf_http_field_is(&fields[i], "transfer-encoding") &&
		    !parse_coding(f, &fields[i]))
			return (false);
		if (brf_http_field_is(&fields[i], "content-length") &&
		    !parse_length(f, &fields[i]))
			return (false);
	}
	return (!(f->chunked && f->has_length));
}

const char *
brf_http_reason_phrase(int status)
{
	static const struct {
		int status;
		const char *text;
	} phrases[] = { { 200, "OK" }, { 201, "Created" }, { 202, "Accepted" },
		{ 204, "No Content" }, { 304, "Not Modified" },
		{ 400, "Bad Request" }, { 401, "Unauthorized" },
		{ 403, "Forbidden" }, { 404, "Not Found" },
		{ 405, "Method Not Allowed" }, { 408, "Request Timeout" },
		{ 409, "Conflict" }, { 413, "Content Too Large" },
		{ 414, "URI Too Long" }, { 421, "Misdirected Request" },
		{ 429, "Too Many Requests" },
		{ 431, "Request Header Fields Too Large" },
		{ 500, "Internal Server Error" }, { 501, "Not Implemented" },
		{ 502, "Bad Gateway" }, { 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" } };
	size_t i;

	for (i = 0; i < brf_nitems(phrases); i++) {
		if (phrases[i].status == status)
			return (phrases[i].text);
	}
	return (""); /* RFC 9112, section 4: the phrase is optional */
}
