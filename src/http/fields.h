#ifndef BRF_HTTP_FIELDS_H
#define BRF_HTTP_FIELDS_H

#include <h2o.h>

#include "base/message.h"

/**
 * DOC: HTTP fields between h2o and struct brf_message; for src/http only.
 */

BRF_BEGIN_DECLS

/**
 * brf_fields_take() - copy the end-to-end fields into @m.
 *
 * Leaves out hop-by-hop fields, and those that a "connection" field names
 * (RFC 9110, section 7.6.1).
 *
 * Return: false with the errors of brf_message_add_header().
 */
bool brf_fields_take(struct brf_message *m, const h2o_header_t *fields,
    size_t count, struct brf_error *err);

/**
 * brf_path_is_valid() - whether @path begins with a slash and is all visible
 * ASCII, so that it can stand in a request line.
 */
bool brf_path_is_valid(const char *path, size_t len);

/* Whether @method is a token of RFC 9110 that struct brf_message can hold. */
bool brf_method_is_valid(const char *method, size_t len);

/* Whether a field is one of the product's own ("brf-"). */
bool brf_field_is_internal(const char *name);

BRF_END_DECLS

#endif
