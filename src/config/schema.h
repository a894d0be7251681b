#ifndef BRF_SCHEMA_H
#define BRF_SCHEMA_H

#include <jansson.h>

#include "config/document.h"

/**
 * DOC: Table-driven validation of JSON and its conversion to C structs.
 *
 * A table lists the fields of a JSON object.  Each field has a reader function,
 * which validates one value and stores it at an offset.  Reading continues
 * after a problem, so that one pass reports all of them.
 */

/* Maximum number of problems reported per document; further ones are dropped.
 */
#define BRF_PROBLEMS_MAX 256u

/**
 * struct brf_reader - state of the reading of one document.
 * @problems: receives the problems; owned by the caller
 * @place: JSON pointer (RFC 6901) of the value being read
 */
struct brf_reader {
	struct brf_problems *problems;
	struct brf_buf place;
};

struct brf_field;

/* Validate @value and store it in the struct @out, or report a problem. */
typedef void brf_field_fn(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out);

/**
 * struct brf_schema - the @count fields of a type of object.
 */
struct brf_schema {
	const struct brf_field *fields;
	size_t count;
};

/**
 * struct brf_field - one field of an object.
 * @name: name in the JSON object
 * @read: validates the value and stores it
 * @required: a missing field is a problem
 * @offset: offset of the struct member that receives the value
 * @min: minimum of a number
 * @max: maximum of a number, or maximum length of a string (bytes) or a list
 *	(items)
 * @schema: schema of an object, or of each item of a list
 * @item_size: size of a list item, bytes
 * @count_offset: offset of the struct member that receives the length of a list
 */
struct brf_field {
	const char *name;
	brf_field_fn *read;
	bool required;
	size_t offset;
	double min;
	double max;
	const struct brf_schema *schema;
	size_t item_size;
	size_t count_offset;
};

BRF_BEGIN_DECLS

/* Report a problem at the current place; @fmt gives the remedy. */
void brf_reader_problem(struct brf_reader *r, enum brf_problem_type type,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/*
 * Descend into the member @name, or into item @index when @name is NULL.
 *
 * Return: value to pass to brf_reader_leave().
 */
size_t brf_reader_enter(struct brf_reader *r, const char *name, size_t index);
/* Return to the parent; @parent_len is the value from brf_reader_enter(). */
void brf_reader_leave(struct brf_reader *r, size_t parent_len);

/* Validate the object @value against @schema and fill the struct @out. */
void brf_read_fields(struct brf_reader *r, const struct brf_schema *schema,
    const json_t *value, void *out);

/* Reader functions for the tables, each with the C type of the member. */
brf_field_fn brf_read_u32;    /* uint32_t */
brf_field_fn brf_read_ms;     /* uint64_t, stored as microseconds */
brf_field_fn brf_read_ratio;  /* double */
brf_field_fn brf_read_bool;   /* bool */
brf_field_fn brf_read_name;   /* char[BRF_NAME_MAX + 1] */
brf_field_fn brf_read_object; /* members of the same struct */
brf_field_fn
    brf_read_list; /* pointer to an allocated array, and its size_t length */

BRF_END_DECLS

#endif
