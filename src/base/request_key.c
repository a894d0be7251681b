#include <inttypes.h>
#include <stdlib.h>

#include <xxhash.h>

#include "base/request_key.h"

uint64_t
brf_request_head_hash(const char *method, const char *host, const char *path)
{
	uint64_t seed = XXH3_64bits(method, strlen(method));

	seed = XXH3_64bits_withSeed(host, strlen(host), seed);
	return (XXH3_64bits_withSeed(path, strlen(path), seed));
}

void
brf_body_hash_add(struct brf_body_hash *h, const void *data, size_t len)
{
	if (len > BRF_BODY_HASHED_MAX - h->len)
		len = BRF_BODY_HASHED_MAX - h->len;
	if (len == 0)
		return;
	if (h->state == NULL) {
		h->state = XXH3_createState();
		if (h->state == NULL)
			abort();
		XXH3_64bits_reset(h->state);
	}
	XXH3_64bits_update(h->state, data, len);
	h->len += len;
}

uint64_t
brf_body_hash_value(const struct brf_body_hash *h)
{
	uint64_t value;

	if (h->len == 0)
		return (0);
	value = XXH3_64bits_digest(h->state);
	return (value != 0 ? value : 1);
}

void
brf_body_hash_free(struct brf_body_hash *h)
{
	XXH3_freeState(h->state);
	h->state = NULL;
	h->len = 0;
}

void
brf_request_key_write(
    const struct brf_request_key *key, char out[BRF_REQUEST_KEY_TEXT])
{
	snprintf(out, BRF_REQUEST_KEY_TEXT, "%016" PRIx64 "%016" PRIx64,
	    key->head, key->body);
}

static bool
read_hex(const char *text, uint64_t *out)
{
	size_t i;

	*out = 0;
	for (i = 0; i < 16; i++) {
		if (text[i] >= '0' && text[i] <= '9')
			*out = *out << 4 | (uint64_t)(text[i] - '0');
		else if (text[i] >= 'a' && text[i] <= 'f')
			*out = *out << 4 | (uint64_t)(text[i] - 'a' + 10);
		else
			return (false);
	}
	return (true);
}

bool
brf_request_key_read(struct brf_request_key *key, const char *text)
{
	return (strlen(text) == BRF_REQUEST_KEY_TEXT - 1 &&
		read_hex(text, &key->head) && read_hex(text + 16, &key->body));
}
