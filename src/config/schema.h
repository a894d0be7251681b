#ifndef BRF_SCHEMA_H
#define BRF_SCHEMA_H

#include <jansson.h>

#include "config/document.h"

/**
 * DOC: Reading JSON into structs by tables.
 *
 * A table names the fields of a JSON object; each has a reader that checks
 * one value and stores it at an offset.  Reading goes on after a problem, so
 * that all of them are found in one pass.
 */

/* Problems kept of one document; further ones are left out. */
#define BRF_PROBLEMS_MAX 256u

/**
 * struct brf_reader - state of one pass.
 * @place: JSON pointer of the value being read
 */
struct brf_reader {
	struct brf_problems *problems;
	struct brf_buf location;
};

struct brf_field;

typedef void brf_field_fn(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out);

/**
 * struct brf_schema - fields of one kind of object.
 */
struct brf_schema {
	const struct brf_field *fields;
	size_t count;
};

/**
 * struct brf_field - one field of an object.
 * @read: checks the value and stores it
 * @required: its absence is a problem
 * @offset: of the member in the struct that is filled
 * @min: least value, of numbers
 * @max: greatest value of numbers, most bytes of strings, most items of lists
 * @schema: of an object, or of each item of a list
 * @item_size: bytes of an item of a list
 * @count_offset: of the list's length
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

void brf_reader_problem(struct brf_reader *r, enum brf_problem_type type,
    const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/* Step into the member @name, or into item @index when @name is NULL. */
size_t brf_reader_enter(struct brf_reader *r, const char *name, size_t index);
/* Step out again; @mark is what brf_reader_enter() returned. */
void brf_reader_leave(struct brf_reader *r, size_t mark);

/* Check the object @value against @schema and fill the struct @out. */
void brf_read_fields(struct brf_reader *r, const struct brf_schema *schema,
    const json_t *value, void *out);

/* Readers for the tables; the comment names the member's C type. */
brf_field_fn brf_read_u32;    /* uint32_t */
brf_field_fn brf_read_ms;     /* uint64_t, stored as microseconds */
brf_field_fn brf_read_ratio;  /* double */
brf_field_fn brf_read_bool;   /* bool */
brf_field_fn brf_read_name;   /* char[BRF_NAME_MAX + 1] */
brf_field_fn brf_read_object; /* members of the same struct */
brf_field_fn brf_read_list;   /* pointer to items, and their number */

BRF_END_DECLS

#endif
