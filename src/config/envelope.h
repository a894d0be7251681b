#ifndef BRF_ENVELOPE_H
#define BRF_ENVELOPE_H

#include "config/keys.h"
#include "config/document.h"

/**
 * DOC: A document as the store holds it.
 *
 * The store's key is BRF_DOC_PREFIX and the service; the value is JSON:
 * {"document": text, "deleted": bool, "edit": id, "mac": text}.  The MAC, by
 * the service's operator key (see brf_keyring_derive()), has the purpose
 * "brf-document-v1", the names service, edit and "document" or "deleted", and
 * the text as data.
 */

#define BRF_DOC_PREFIX "/brf/v1/doc/"

/* Bytes of a value; a text is longer by its escapes. */
#define BRF_ENVELOPE_BYTES_MAX 786432u

/**
 * struct brf_envelope - what was read.
 * @edit: id of the edit, hex
 * @text: @len bytes; NULL when deleted
 */
struct brf_envelope {
	char edit[BRF_NAME_MAX + 1];
	char *text;
	size_t len;
};

BRF_BEGIN_DECLS

/**
 * brf_envelope_seal() - write the value for the store.
 * @ring: the service's own
 * @text: NULL for a deletion
 *
 * Return: false with BRF_E_TOO_LARGE or, when @text is not UTF-8, BRF_E_JSON.
 */
bool brf_envelope_seal(const struct brf_keyring *ring, const char *service,
    const char *edit, const char *text, size_t len, struct brf_buf *out,
    struct brf_error *err);

/**
 * brf_envelope_open() - read a value of the store and prove it.
 * @ring: the service's own; NULL reads without proof, for display
 * @out: filled; give it to brf_envelope_free()
 *
 * Return: false with BRF_E_JSON, BRF_E_TOO_LARGE or BRF_E_AUTH.
 */
bool brf_envelope_open(const struct brf_keyring *ring, const char *service,
    const char *value, size_t len, struct brf_envelope *out,
    struct brf_error *err);
void brf_envelope_free(struct brf_envelope *envelope);

BRF_END_DECLS

#endif
