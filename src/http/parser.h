#ifndef BRF_HTTP_PARSER_H
#define BRF_HTTP_PARSER_H

#include "base/base.h"

/**
 * DOC: Interface of picohttpparser, the HTTP/1 parser that libh2o includes and
 * exports.
 *
 * libh2o-dev installs no header for it, so it is declared here under the
 * library's names.
 */

struct phr_header {
	const char *name; /* NULL for a folded line */
	size_t name_len;
	const char *value;
	size_t value_len;
};

/**
 * struct phr_chunked_decoder - decoder of a chunked body; zero before use.
 * @consume_trailer: 1 to read the trailer section as well
 */
struct phr_chunked_decoder {
	size_t bytes_left_in_chunk;
	char consume_trailer;
	char _hex_count;
	char _state;
};

BRF_BEGIN_DECLS

/**
 * phr_parse_request() - parse the head of a request; see phr_parse_response().
 */
int phr_parse_request(const char *buf, size_t len, const char **method,
    size_t *method_len, const char **path, size_t *path_len, int *minor_version,
    struct phr_header *headers, size_t *count, size_t last_len);

/**
 * phr_parse_response() - parse the head of an answer.
 * @count: capacity of @headers; set to the number of fields
 * @last_len: value of @len at the previous call for this head; 0 at first
 *
 * Return: length of the head in bytes, -1 when it is invalid, -2 when it is
 * incomplete.
 */
int phr_parse_response(const char *buf, size_t len, int *minor_version,
    int *status, const char **msg, size_t *msg_len, struct phr_header *headers,
    size_t *count, size_t last_len);

/**
 * phr_decode_chunked() - decode a part of a body in place.
 * @len: bytes in @buf; set to the number of decoded bytes
 *
 * Return: number of bytes after the end of the body, -1 when it is invalid, -2
 * when it is incomplete.
 */
ssize_t phr_decode_chunked(
    struct phr_chunked_decoder *decoder, char *buf, size_t *len);

BRF_END_DECLS

#endif
