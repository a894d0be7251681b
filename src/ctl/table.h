#ifndef BRF_CTL_TABLE_H
#define BRF_CTL_TABLE_H

#include <jansson.h>

#include "base/buf.h"

/**
 * DOC: Formats JSON as aligned tables and lists of fields.
 */

BRF_BEGIN_DECLS

/**
 * brf_render_json() - write @json as text.
 * @columns: members to show of a list of objects, ended by NULL; NULL to show
 *	the members of the first object
 *
 * An object is written as one line for each member; members of an inner object
 * have their path as name.  A list of objects is written as a table.  Control
 * characters are removed.
 */
void brf_render_json(
    const json_t *json, const char *const *columns, struct brf_buf *out);

BRF_END_DECLS

#endif
