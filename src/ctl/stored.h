#ifndef BRF_CTL_STORED_H
#define BRF_CTL_STORED_H

#include "config/document.h"
#include "config/envelope.h"
#include "ctl/ctl.h"

/**
 * struct brf_ctl_stored - a service's document as stored.
 * @revision: revision of the last edit; 0 if the store has no such key
 * @store_revision: revision of the whole store
 * @value: the stored bytes
 * @envelope: the parsed @value; not authenticated
 */
struct brf_ctl_stored {
	uint64_t revision;
	uint64_t store_revision;
	struct brf_buf value;
	struct brf_envelope envelope;
};

BRF_BEGIN_DECLS

/* Return: false with BRF_E_SETTING_INVALID if @service is no valid name. */
bool brf_ctl_check_service(const char *service, struct brf_error *err);

/**
 * brf_ctl_read_stored() - read the document of @service.
 * @at: past revision of the store; 0 for the latest
 * @out: filled, to be freed with brf_ctl_stored_free() on failure as well
 *
 * If the stored value is not a valid envelope, the call fails with BRF_E_JSON
 * and @out is filled except for its envelope.
 */
bool brf_ctl_read_stored(struct brf_ctl *ctl, const char *service, uint64_t at,
    struct brf_ctl_stored *out, struct brf_error *err);
void brf_ctl_stored_free(struct brf_ctl_stored *stored);

/**
 * brf_ctl_read_file() - append a file to @out.
 * @path: "-" for standard input
 * @max_len: in bytes; reading stops once @out has more
 *
 * Return: false with @err if the file can't be read.  A file longer than
 * @max_len is no error here; the caller has to check the length.
 */
bool brf_ctl_read_file(const char *path, size_t max_len, struct brf_buf *out,
    struct brf_error *err);

/**
 * brf_ctl_check_document() - validate a document and print its problems.
 * @service: that the document must be for; NULL for any
 * @path: printed before each problem
 *
 * Return: whether the document is valid.
 */
bool brf_ctl_check_document(const struct brf_ctl *ctl,
    const struct brf_buf *text, const char *service, const char *path);

BRF_END_DECLS

#endif
