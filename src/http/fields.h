#ifndef BRF_HTTP_FIELDS_H
#define BRF_HTTP_FIELDS_H

#include "base/message.h"
#include "http/parser.h"

/**
 * DOC: Helpers for parsed HTTP fields, and for copying them to messages.
 */

BRF_BEGIN_DECLS

/* Whether the field is named @name (lower case); names ignore case. */
bool brf_http_field_is(const struct phr_header *field, const char *name);

/* Whether the field applies to a single connection only. */
bool brf_http_field_is_hop_by_hop(const struct phr_header *field);

/**
 * brf_http_field_list_contains() - whether a field named @list, a
 * comma-separated list, contains @word (@len bytes, case ignored).
 */
bool brf_http_field_list_contains(const struct phr_header *fields, size_t count,
    const char *list, const char *word, size_t len);

/**
 * brf_http_fields_copy() - copy the end-to-end fields to @m.
 *
 * Leaves out hop-by-hop fields and those listed in a "connection" field
 * (RFC 9110, section 7.6.1).
 *
 * Return: false with an error of brf_message_add_header(), or with
 * BRF_E_HEADERS for a folded line.
 */
bool brf_http_fields_copy(struct brf_message *m,
    const struct phr_header *fields, size_t count, struct brf_error *err);

/**
 * brf_http_path_is_valid() - whether @path begins with a slash and consists of
 * visible ASCII characters, so that it is valid in a request line.
 */
bool brf_http_path_is_valid(const char *path, size_t len);

/* Whether @method is an RFC 9110 token and fits in struct brf_message. */
bool brf_http_method_is_valid(const char *method, size_t len);

/* Whether the name has the prefix "brf-" of this system's own fields. */
bool brf_http_field_is_internal(const char *name);

BRF_END_DECLS

#endif
