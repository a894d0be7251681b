#ifndef BRF_HTTP_FRAMING_H
#define BRF_HTTP_FRAMING_H

#include "http/parser.h"

/**
 * struct brf_http_framing - what the fields of a message say of its body.
 * @length: with @has_length, bytes
 */
struct brf_http_framing {
	bool chunked;
	bool has_length;
	uint64_t length;
};

BRF_BEGIN_DECLS

/**
 * brf_http_framing_parse() - read content-length and transfer-encoding.
 *
 * Return: false when they contradict each other or can't be read; both at
 * once are contradictory, since parties may choose differently (RFC 9112,
 * section 6.3).
 */
bool brf_http_framing_parse(
    struct brf_http_framing *f, const struct phr_header *fields, size_t count);

/**
 * brf_http_parse_number() - read decimal digits and nothing else.
 *
 * Return: false when @text is empty, holds another byte or is over 18 digits.
 */
bool brf_http_parse_number(const char *text, size_t len, uint64_t *value);

/* Reason phrase of a status; empty for one that is not known. */
const char *brf_http_reason_phrase(int status);

BRF_END_DECLS

#endif
