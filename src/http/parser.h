#ifndef BRF_HTTP_PARSER_H
#define BRF_HTTP_PARSER_H

#include "base/base.h"

/**
 * DOC: The HTTP/1 parser that libh2o carries and exports.
 *
 * libh2o-dev installs no header for it, so its interface is declared here;
 * the names are the library's.
 */

struct phr_header {
	const char *name; /* NULL for a folded line */
	size_t name_len;
	const char *value;
	size_t value_len;
};

/**
 * struct phr_chunked_decoder - state of a chunked body; zeroed at first.
 * @consume_trailer: set it to have the trailer section read as well
 */
struct phr_chunked_decoder {
	size_t bytes_left_in_chunk;
	char consume_trailer;
	char _hex_count;
	char _state;
};

BRF_BEGIN_DECLS

/**
 * phr_parse_request() - read the head of a request; see phr_parse_response().
 */
int phr_parse_request(const char *buf, size_t len, const char **method,
    size_t *method_len, const char **path, size_t *path_len, int *minor_version,
    struct phr_header *headers, size_t *count, size_t last_len);

/**
 * phr_parse_response() - read the head of an answer.
 * @count: room in @headers; becomes the number of fields
 * @last_len: bytes that were there at the last try; 0 at first
 *
 * Return: bytes of the head, -1 when it is no HTTP, -2 when it goes on.
 */
int phr_parse_response(const char *buf, size_t len, int *minor_version,
    int *status, const char **msg, size_t *msg_len, struct phr_header *headers,
    size_t *count, size_t last_len);

/**
 * phr_decode_chunked() - decode a part of a body in place.
 * @len: bytes in @buf; becomes the number of decoded ones
 *
 * Return: bytes after the body's end, -1 when it is broken, -2 when it goes
 * on.
 */
ssize_t phr_decode_chunked(
    struct phr_chunked_decoder *decoder, char *buf, size_t *len);

BRF_END_DECLS

#endif
