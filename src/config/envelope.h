#ifndef BRF_ENVELOPE_H
#define BRF_ENVELOPE_H

#include "config/keys.h"
#include "config/document.h"

/**
 * DOC: Stored form of a document, authenticated by a MAC.
 *
 * The key in the store is BRF_DOC_PREFIX followed by the service.  The value is
 * JSON: {"document": text, "deleted": bool, "edit": id, "mac": text}.  The MAC
 * is made with the operator key of the service (see brf_keyring_derive()).  Its
 * purpose is "brf-document-v1", its names are the service, the edit, and
 * "document" or "deleted", and its data is the text.
 */

#define BRF_DOC_PREFIX "/brf/v1/doc/"

/* Maximum length of a value.  It exceeds BRF_DOCUMENT_BYTES_MAX because JSON
 * escapes lengthen the text. */
#define BRF_ENVELOPE_BYTES_MAX 786432u

/**
 * struct brf_envelope - contents of a stored value.
 * @edit: id of the edit
 * @text: JSON of the document, @len bytes; NULL for a deletion
 */
struct brf_envelope {
	char edit[BRF_NAME_MAX + 1];
	char *text;
	size_t len;
};

BRF_BEGIN_DECLS

/**
 * brf_envelope_seal() - append the signed value for the store to @out.
 * @ring: key ring of the service
 * @edit: id of the edit
 * @text: document of @len bytes; NULL for a deletion
 *
 * Return: false with BRF_E_TOO_LARGE or, when @text is not UTF-8, BRF_E_JSON.
 */
bool brf_envelope_seal(const struct brf_keyring *ring, const char *service,
    const char *edit, const char *text, size_t len, struct brf_buf *out,
    struct brf_error *err);

/**
 * brf_envelope_open() - decode a stored value and verify its MAC.
 * @ring: key ring of the service; NULL skips the verification, for display
 * @value: @len bytes, not trusted
 * @out: filled; to be freed by brf_envelope_free()
 *
 * Return: false with BRF_E_JSON, BRF_E_TOO_LARGE or BRF_E_AUTH.
 */
bool brf_envelope_open(const struct brf_keyring *ring, const char *service,
    const char *value, size_t len, struct brf_envelope *out,
    struct brf_error *err);
void brf_envelope_free(struct brf_envelope *envelope);

BRF_END_DECLS

#endif
