#ifndef BRF_HTTP_FRAMING_H
#define BRF_HTTP_FRAMING_H

#include "http/parser.h"

#define BRF_HTTP_ANSWER_HEAD_MAX 65536u /* bytes of an answer's head */
/* Most answers before a request's own: interim ones, and copies of others'. */
#define BRF_HTTP_SKIPPED_MAX 32u

/**
 * struct brf_http_framing - body framing declared by a message's fields.
 * @length: content-length in bytes; set with @has_length
 */
struct brf_http_framing {
	bool chunked;
	bool has_length;
	uint64_t length;
};

BRF_BEGIN_DECLS

/**
 * brf_http_framing_parse() - parse content-length and transfer-encoding.
 *
 * Return: false when they are invalid or contradict each other.  Both at once
 * are a contradiction, since another recipient may choose the other one (RFC
 * 9112, section 6.3).
 */
bool brf_http_framing_parse(
    struct brf_http_framing *f, const struct phr_header *fields, size_t count);

/**
 * brf_http_parse_number() - parse an unsigned decimal number.
 *
 * Return: false when @text is empty, longer than 18 digits or contains any
 * other byte.
 */
bool brf_http_parse_number(const char *text, size_t len, uint64_t *value);

/* Return: reason phrase of @status; "" if unknown. */
const char *brf_http_reason_phrase(int status);

BRF_END_DECLS

#endif
