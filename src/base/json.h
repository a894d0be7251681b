#ifndef BRF_JSON_H
#define BRF_JSON_H

#include <jansson.h>

#include "base/base.h"

/**
 * DOC: Members of JSON objects as numbers.
 */

BRF_BEGIN_DECLS

/**
 * brf_json_count() - read an integer from 0 to @most.
 * @object: NULL or another type has no members
 *
 * Return: false when there is none, or another value.
 */
bool brf_json_count(
    const json_t *object, const char *name, uint64_t most, uint64_t *out);

/**
 * brf_json_seconds() - read a number of seconds that is not negative.
 * @us: filled, microseconds
 *
 * Return: false when there is none, or another value.
 */
bool brf_json_seconds(const json_t *object, const char *name, uint64_t *us);

BRF_END_DECLS

#endif
