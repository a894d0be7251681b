#ifndef BRF_REQUEST_KEY_H
#define BRF_REQUEST_KEY_H

#include "base/base.h"

/**
 * DOC: Identity of a request beyond its id, by which it is recognised when it
 * comes again: method, host, path with query, and the beginning of the body.
 *
 * The hashes are not secret, so that a caller can make two requests of its own
 * collide.  Keys of different callers are never compared.
 */

#define BRF_BODY_HASHED_MAX 65536u /* bytes of a body that its hash covers */
#define BRF_REQUEST_KEY_TEXT 33u   /* hexadecimal digits and a NUL */

/**
 * struct brf_request_key - identity of a request of one caller.
 * @head: hash of method, host and path
 * @body: hash of the body; 0 for none
 */
struct brf_request_key {
	uint64_t head;
	uint64_t body;
};

struct XXH3_state_s;

/**
 * struct brf_body_hash - hash of a body that arrives in parts; zeroed before
 * first use.
 * @len: bytes added, at most BRF_BODY_HASHED_MAX
 */
struct brf_body_hash {
	struct XXH3_state_s *state;
	size_t len;
};

BRF_BEGIN_DECLS

uint64_t brf_request_head_hash(
    const char *method, const char *host, const char *path);

void brf_body_hash_add(struct brf_body_hash *h, const void *data, size_t len);

/* Return: the hash of what was added; 0 for nothing. */
uint64_t brf_body_hash_value(const struct brf_body_hash *h);
void brf_body_hash_free(struct brf_body_hash *h);

static inline bool
brf_request_key_equal(
    const struct brf_request_key *a, const struct brf_request_key *b)
{
	return (a->head == b->head && a->body == b->body);
}

void brf_request_key_write(
    const struct brf_request_key *key, char out[BRF_REQUEST_KEY_TEXT]);

/* Return: false unless @text is what brf_request_key_write() makes. */
bool brf_request_key_read(struct brf_request_key *key, const char *text);

BRF_END_DECLS

#endif
