#ifndef BRF_CTL_TABLE_H
#define BRF_CTL_TABLE_H

#include <jansson.h>

#include "base/buf.h"

/**
 * DOC: JSON for people: aligned tables and lists of fields.
 */

BRF_BEGIN_DECLS

/**
 * brf_render_json() - write @json as text.
 * @columns: names of the columns of a list of objects, ended by NULL; NULL
 *	for the fields of the first object
 *
 * An object becomes a line for each field, fields of inner objects with their
 * path; a list of objects becomes a table.  Control characters are left out.
 */
void brf_render_json(
    const json_t *json, const char *const *columns, struct brf_buf *out);

BRF_END_DECLS

#endif
