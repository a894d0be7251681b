#include <ctype.h>
#include <stdlib.h>

#include "ctl/table.h"

#define COLUMNS_MAX 24
#define COLUMN_GAP 2 /* spaces between columns */
#define PATH_BYTES 128

struct columns {
	const char *names[COLUMNS_MAX];
	size_t widths[COLUMNS_MAX];
	size_t count;
};

static void
put_printable(struct brf_buf *b, const char *s)
{
	for (; *s != '\0'; s++) {
		if (!iscntrl((unsigned char)*s))
			brf_buf_putc(b, *s);
	}
}

static void
put_real(struct brf_buf *b, double value)
{
	brf_buf_printf(b, "%.6g", value);
}

/* Write a value; an inner list or object is written as its number of members.
 */
static void
put_value(struct brf_buf *b, const json_t *value)
{
	switch (value != NULL ? json_typeof(value) : JSON_NULL) {
	case JSON_STRING:
		put_printable(b, json_string_value(value));
		break;
	case JSON_INTEGER:
		brf_buf_printf(b, "%lld", (long long)json_integer_value(value));
		break;
	case JSON_REAL:
		put_real(b, json_real_value(value));
		break;
	case JSON_TRUE:
		brf_buf_puts(b, "yes");
		break;
	case JSON_FALSE:
		brf_buf_puts(b, "no");
		break;
	case JSON_ARRAY:
		brf_buf_printf(b, "%zu items", json_array_size(value));
		break;
	case JSON_OBJECT:
		brf_buf_printf(b, "%zu fields", json_object_size(value));
		break;
	case JSON_NULL:
		brf_buf_putc(b, '-');
		break;
	}
}

static void
put_padded(struct brf_buf *out, const struct brf_buf *cell, size_t width)
{
	size_t i;

	brf_buf_add(out, cell->data, cell->len);
	for (i = cell->len; i < width + COLUMN_GAP; i++)
		brf_buf_putc(out, ' ');
}

static void
end_line(struct brf_buf *out)
{
	while (out->len > 0 && out->data[out->len - 1] == ' ')
		out->data[--out->len] = '\0';
	brf_buf_putc(out, '\n');
}

static void
choose_columns(
    const json_t *list, const char *const *names, struct columns *columns)
{
	const char *name;
	json_t *value;

	columns->count = 0;
	while (names != NULL && *names != NULL && columns->count < COLUMNS_MAX)
		columns->names[columns->count++] = *names++;
	if (names != NULL)
		return;
	json_object_foreach (json_array_get(list, 0), name, value) {
		if (columns->count < COLUMNS_MAX)
			columns->names[columns->count++] = name;
	}
}

static void
measure_columns(const json_t *list, struct columns *columns)
{
	struct brf_buf cell = { 0 };
	size_t i, c;

	for (c = 0; c < columns->count; c++) {
		columns->widths[c] = strlen(columns->names[c]);
		for (i = 0; i < json_array_size(list); i++) {
			brf_buf_clear(&cell);
			put_value(
			    &cell, json_object_get(json_array_get(list, i),
				       columns->names[c]));
			if (cell.len > columns->widths[c])
				columns->widths[c] = cell.len;
		}
	}
	brf_buf_free(&cell);
}

/* Write a row, or the column names if @row is NULL. */
static void
put_row(struct brf_buf *out, const struct columns *columns, const json_t *row)
{
	struct brf_buf cell = { 0 };
	size_t c;

	for (c = 0; c < columns->count; c++) {
		brf_buf_clear(&cell);
		if (row == NULL)
			brf_buf_puts(&cell, columns->names[c]);
		else
			put_value(
			    &cell, json_object_get(row, columns->names[c]));
		put_padded(out, &cell, columns->widths[c]);
	}
	end_line(out);
	brf_buf_free(&cell);
}

static void
put_table(const json_t *list, const char *const *names, struct brf_buf *out)
{
	struct columns columns;
	size_t i;

	choose_columns(list, names, &columns);
	measure_columns(list, &columns);
	put_row(out, &columns, NULL);
	for (i = 0; i < json_array_size(list); i++)
		put_row(out, &columns, json_array_get(list, i));
}

static bool
is_table(const json_t *value)
{
	return (json_is_object(json_array_get(value, 0)));
}

/* Expands inner objects one level deep, which suffices for all pages; deeper
 * ones are written as their number of members. */
static void
put_field(struct brf_buf *out, const char *path, const json_t *value)
{
	char inner_path[PATH_BYTES];
	struct brf_buf cell = { 0 };
	const char *name;
	json_t *inner;

	if (json_is_object(value) && strchr(path, '.') == NULL) {
		json_object_foreach ((json_t *)value, name, inner) {
			snprintf(inner_path, sizeof(inner_path), "%s.%s", path,
			    name);
			put_field(out, inner_path, inner);
		}
		return;
	}
	put_printable(&cell, path);
	put_padded(out, &cell, 20);
	brf_buf_free(&cell);
	put_value(out, value);
	brf_buf_putc(out, '\n');
}

static void
put_fields(const json_t *object, struct brf_buf *out)
{
	const char *name;
	json_t *value;

	json_object_foreach ((json_t *)object, name, value) {
		if (!is_table(value))
			put_field(out, name, value);
	}
	json_object_foreach ((json_t *)object, name, value) {
		if (!is_table(value))
			continue;
		brf_buf_printf(out, "\n%s:\n", name);
		put_table(value, NULL, out);
	}
}

void
brf_render_json(
    const json_t *json, const char *const *columns, struct brf_buf *out)
{
	if (json_is_object(json)) {
		put_fields(json, out);
	} else if (is_table(json)) {
		put_table(json, columns, out);
	} else if (json_is_array(json) && json_array_size(json) == 0) {
		brf_buf_puts(out, "none\n");
	} else {
		put_value(out, json);
		brf_buf_putc(out, '\n');
	}
}
