#ifndef BRF_CTL_STORED_H
#define BRF_CTL_STORED_H

#include "config/document.h"
#include "config/envelope.h"
#include "ctl/ctl.h"

/**
 * struct brf_ctl_stored - a document as the store has it.
 * @revision: 0 when there is none
 * @store_revision: the store's own
 * @value: what the key holds
 */
struct brf_ctl_stored {
	uint64_t revision;
	uint64_t store_revision;
	struct brf_buf value;
	struct brf_envelope envelope;
};

BRF_BEGIN_DECLS

/* Whether @service can be a service's name. */
bool brf_ctl_check_service(const char *service, struct brf_error *err);

/**
 * brf_ctl_read_stored() - read the document of @service.
 * @at: past revision; 0 for now
 * @out: filled; give it to brf_ctl_stored_free()
 *
 * A value that is no document of ours fails with BRF_E_JSON, @out being filled
 * but for its envelope.
 */
bool brf_ctl_read_stored(struct brf_ctl *ctl, const char *service, uint64_t at,
    struct brf_ctl_stored *out, struct brf_error *err);
void brf_ctl_stored_free(struct brf_ctl_stored *stored);

/* The whole of a file, "-" for standard input; reading stops beyond @most
 * bytes. */
bool brf_ctl_read_file(
    const char *path, size_t most, struct brf_buf *out, struct brf_error *err);

/**
 * brf_ctl_check_document() - check a document and print its problems.
 * @service: NULL for any
 */
bool brf_ctl_check_document(const struct brf_ctl *ctl,
    const struct brf_buf *text, const char *service, const char *path);

BRF_END_DECLS

#endif
