#include <stdarg.h>
#include <stdlib.h>

#include "config/name.h"
#include "config/schema.h"

static void *
member(void *out, const struct brf_field *field)
{
	return ((char *)out + field->offset);
}

void
brf_reader_problem(
    struct brf_reader *r, enum brf_problem_type type, const char *fmt, ...)
{
	struct brf_problems *ps = r->problems;
	struct brf_problem *p;
	va_list ap;

	if (ps->count == BRF_PROBLEMS_MAX)
		return;
	ps->list = brf_realloc(ps->list, (ps->count + 1) * sizeof(*ps->list));
	p = &ps->list[ps->count++];
	memset(p, 0, sizeof(*p));
	p->type = type;
	brf_copy_name(p->place, sizeof(p->place),
	    r->place.data != NULL ? r->place.data : "");
	va_start(ap, fmt);
	vsnprintf(p->remedy, sizeof(p->remedy), fmt, ap);
	va_end(ap);
}

/* RFC 6901, section 3: '~' and '/' are escaped. */
static void
put_escaped(struct brf_buf *b, const char *name)
{
	for (; *name != '\0'; name++) {
		if (*name == '~')
			brf_buf_puts(b, "~0");
		else if (*name == '/')
			brf_buf_puts(b, "~1");
		else
			brf_buf_putc(b, *name);
	}
}

size_t
brf_reader_enter(struct brf_reader *r, const char *name, size_t index)
{
	size_t parent_len = r->place.len;

	brf_buf_putc(&r->place, '/');
	if (name != NULL)
		put_escaped(&r->place, name);
	else
		brf_buf_printf(&r->place, "%zu", index);
	return (parent_len);
}

void
brf_reader_leave(struct brf_reader *r, size_t parent_len)
{
	r->place.len = parent_len;
	r->place.data[parent_len] = '\0';
}

static const struct brf_field *
find_field(const struct brf_schema *schema, const char *name)
{
	size_t i;

	for (i = 0; i < schema->count; i++) {
		if (strcmp(schema->fields[i].name, name) == 0)
			return (&schema->fields[i]);
	}
	return (NULL);
}

static void
report_missing(
    struct brf_reader *r, const struct brf_schema *schema, const json_t *value)
{
	const struct brf_field *f;
	size_t i, parent_len;

	for (i = 0; i < schema->count; i++) {
		f = &schema->fields[i];
		if (!f->required || json_object_get(value, f->name) != NULL)
			continue;
		parent_len = brf_reader_enter(r, f->name, 0);
		brf_reader_problem(
		    r, BRF_PROBLEM_MISSING, "add the field \"%s\"", f->name);
		brf_reader_leave(r, parent_len);
	}
}

void
brf_read_fields(struct brf_reader *r, const struct brf_schema *schema,
    const json_t *value, void *out)
{
	const struct brf_field *f;
	const char *name;
	json_t *item;
	size_t parent_len;

	if (!json_is_object(value)) {
		brf_reader_problem(r, BRF_PROBLEM_TYPE, "write an object");
		return;
	}
	json_object_foreach ((json_t *)value, name, item) {
		parent_len = brf_reader_enter(r, name, 0);
		f = find_field(schema, name);
		if (f != NULL)
			f->read(r, f, item, out);
		else
			brf_reader_problem(r, BRF_PROBLEM_UNKNOWN_FIELD,
			    "remove this field or correct its name");
		brf_reader_leave(r, parent_len);
	}
	report_missing(r, schema, value);
}

/* Return: whether @value is an integer within the bounds of the field. */
static bool
check_integer(
    struct brf_reader *r, const struct brf_field *field, const json_t *value)
{
	double number = (double)json_integer_value(value);
	enum brf_problem_type type = BRF_PROBLEM_TYPE;

	if (json_is_integer(value)) {
		if (number >= field->min && number <= field->max)
			return (true);
		type = BRF_PROBLEM_RANGE;
	}
	brf_reader_problem(r, type, "write an integer from %.0f to %.0f",
	    field->min, field->max);
	return (false);
}

void
brf_read_u32(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	if (check_integer(r, field, value))
		*(uint32_t *)member(out, field) =
		    (uint32_t)json_integer_value(value);
}

void
brf_read_ms(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	if (check_integer(r, field, value))
		*(uint64_t *)member(out, field) =
		    (uint64_t)json_integer_value(value) * BRF_US_PER_MS;
}

void
brf_read_ratio(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	double number = json_number_value(value);
	enum brf_problem_type type = BRF_PROBLEM_TYPE;

	if (json_is_number(value)) {
		if (number >= field->min && number <= field->max) {
			*(double *)member(out, field) = number;
			return;
		}
		type = BRF_PROBLEM_RANGE;
	}
	brf_reader_problem(r, type, "write a number from %.6g to %.6g",
	    field->min, field->max);
}

void
brf_read_bool(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	if (json_is_boolean(value))
		*(bool *)member(out, field) = json_is_true(value);
	else
		brf_reader_problem(r, BRF_PROBLEM_TYPE, "write true or false");
}

void
brf_read_name(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	enum brf_problem_type type = BRF_PROBLEM_TYPE;

	if (json_is_string(value)) {
		if (brf_name_valid(
			json_string_value(value), json_string_length(value))) {
			brf_copy_name(member(out, field), BRF_NAME_MAX + 1,
			    json_string_value(value));
			return;
		}
		type = BRF_PROBLEM_RANGE;
	}
	brf_reader_problem(r, type,
	    "write a string of 1 to %u letters, digits, '.', '_' or '-'",
	    BRF_NAME_MAX);
}

void
brf_read_object(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	brf_read_fields(r, field->schema, value, out);
}

void
brf_read_list(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	size_t *count = (size_t *)(void *)((char *)out + field->count_offset);
	void **items = member(out, field);
	size_t i, parent_len, n = json_array_size(value);

	if (!json_is_array(value)) {
		brf_reader_problem(r, BRF_PROBLEM_TYPE, "write a list");
		return;
	}
	if ((double)n > field->max) {
		brf_reader_problem(r, BRF_PROBLEM_TOO_LARGE,
		    "write at most %.0f items", field->max);
		return;
	}
	*items = brf_calloc(n, field->item_size);
	*count = n;
	for (i = 0; i < n; i++) {
		parent_len = brf_reader_enter(r, NULL, i);
		brf_read_fields(r, field->schema, json_array_get(value, i),
		    (char *)*items + i * field->item_size);
		brf_reader_leave(r, parent_len);
	}
}
