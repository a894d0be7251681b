#ifndef BRF_HTTP_FIELDS_H
#define BRF_HTTP_FIELDS_H

#include "base/message.h"
#include "http/parser.h"

/**
 * DOC: HTTP fields as they are parsed, and as messages hold them.
 */

BRF_BEGIN_DECLS

/* Whether the field's name is @name, which is in lower case. */
bool brf_http_field_is(const struct phr_header *field, const char *name);

/* Whether the field speaks of one connection only. */
bool brf_http_field_is_hop_by_hop(const struct phr_header *field);

/**
 * brf_http_field_list_contains() - whether a comma list in a field @list holds @word.
 */
bool brf_http_field_list_contains(const struct phr_header *fields, size_t count,
    const char *list, const char *word, size_t len);

/**
 * brf_http_fields_copy() - copy the end-to-end fields into @m.
 *
 * Leaves out hop-by-hop fields, and those that a "connection" field names
 * (RFC 9110, section 7.6.1).
 *
 * Return: false with the errors of brf_message_add_header(); a folded line is
 * BRF_E_HEADERS.
 */
bool brf_http_fields_copy(struct brf_message *m,
    const struct phr_header *fields, size_t count, struct brf_error *err);

/**
 * brf_http_path_is_valid() - whether @path begins with a slash and is all
 * visible ASCII, so that it can stand in a request line.
 */
bool brf_http_path_is_valid(const char *path, size_t len);

/* Whether @method is a token of RFC 9110 that struct brf_message can hold. */
bool brf_http_method_is_valid(const char *method, size_t len);

/* Whether a field is one of the product's own ("brf-"). */
bool brf_http_field_is_internal(const char *name);

BRF_END_DECLS

#endif
