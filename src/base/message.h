#ifndef BRF_MESSAGE_H
#define BRF_MESSAGE_H

#include "base/buf.h"
#include "base/error.h"

/**
 * struct brf_header - one HTTP field; names are lower case.
 *
 * Both strings are NUL-ended copies inside the message that owns them.
 */
struct brf_header {
	const char *name;
	const char *value;
};

/**
 * struct brf_message - a whole HTTP request or answer, shared by reference.
 * @refs: references held; see brf_message_ref()
 * @method: of a request, upper case; empty for an answer
 * @path: of a request, with query; empty for an answer
 * @status: of an answer, 100 to 599; 0 for a request
 * @headers: @header_count fields; hop-by-hop fields were removed
 * @body: bytes, at most BRF_BODY_MAX
 * @store: copies of fields, as long as there is room; the rest is allocated
 *	one by one
 */
struct brf_message {
	unsigned refs;
	char method[16];
	char *path;
	int status;
	struct brf_header headers[64];
	size_t header_count;
	size_t header_bytes;
	struct brf_buf body;
	size_t store_used;
	char store[1024];
};

BRF_BEGIN_DECLS

/**
 * brf_message_new() - an empty message with one reference.
 */
struct brf_message *brf_message_new(void);

struct brf_message *brf_message_ref(struct brf_message *m);

/* Frees the message with its last reference; NULL is allowed. */
void brf_message_unref(struct brf_message *m);

/**
 * brf_message_set_path() - copy @len bytes of path.
 *
 * Return: false with BRF_E_TOO_LARGE when longer than BRF_PATH_MAX.
 */
bool brf_message_set_path(
    struct brf_message *m, const char *path, size_t len, struct brf_error *err);

/**
 * brf_message_add_header() - copy a field, its name made lower case.
 *
 * Return: false with BRF_E_TOO_LARGE over BRF_HEADERS_MAX or
 * BRF_HEADER_BYTES_MAX, with BRF_E_HEADERS when the name is empty or holds a
 * character that RFC 9110 does not allow, or the value a CR, LF or NUL.
 */
bool brf_message_add_header(struct brf_message *m, const char *name,
    size_t name_len, const char *value, size_t value_len,
    struct brf_error *err);

/**
 * brf_message_strip() - remove all fields whose name begins with @prefix.
 */
void brf_message_strip(struct brf_message *m, const char *prefix);

/**
 * brf_message_header() - value of the first field @name (lower case), or NULL.
 */
const char *brf_message_header(const struct brf_message *m, const char *name);

/**
 * brf_header_is_hop_by_hop() - whether a field speaks of one connection only
 * (RFC 9110, section 7.6.1) or of the body's length, which each hop states
 * anew.  @name is lower case.
 */
bool brf_header_is_hop_by_hop(const char *name);

/**
 * brf_message_checksum() - XXH3 over method, path, status, fields and body.
 */
uint64_t brf_message_checksum(const struct brf_message *m);

BRF_END_DECLS

#endif
