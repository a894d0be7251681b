#include <stdlib.h>

#include "ctl/diff.h"

#define LINES_MAX 2000u

struct line {
	const char *text;
	size_t len;
};

struct lines {
	struct line *list;
	size_t count;
};

static struct lines
split_lines(const char *text, size_t len)
{
	struct lines lines = { 0 };
	const char *end = text + len, *next;
	size_t n = 1, i;

	for (i = 0; i < len; i++)
		n += text[i] == '\n';
	lines.list = brf_calloc(n, sizeof(*lines.list));
	while (text < end) {
		next = memchr(text, '\n', (size_t)(end - text));
		if (next == NULL)
			next = end;
		lines.list[lines.count++] =
		    (struct line){ text, (size_t)(next - text) };
		text = next + 1;
	}
	return (lines);
}

static bool
lines_equal(const struct line *a, const struct line *b)
{
	return (a->len == b->len && memcmp(a->text, b->text, a->len) == 0);
}

static void
put_line(struct brf_buf *out, char prefix, const struct line *line)
{
	brf_buf_putc(out, prefix);
	brf_buf_add(out, line->text, line->len);
	brf_buf_putc(out, '\n');
}

/*
 * Compute the lengths of longest common subsequences.
 * @table: rows of b->count + 1; row i, column j gets the length for the lines
 *	of @a from i and those of @b from j; zeroed by the caller
 */
static void
compute_lcs_lengths(
    const struct lines *a, const struct lines *b, uint16_t *table)
{
	size_t width = b->count + 1, i, j;
	uint16_t *cell;

	for (i = a->count; i-- > 0;) {
		for (j = b->count; j-- > 0;) {
			cell = &table[i * width + j];
			if (lines_equal(&a->list[i], &b->list[j]))
				*cell = cell[width + 1] + 1;
			else
				*cell = cell[width] > cell[1] ? cell[width]
							      : cell[1];
		}
	}
}

static bool
write_lines(const struct lines *a, const struct lines *b, const uint16_t *table,
    struct brf_buf *out)
{
	size_t width = b->count + 1, i = 0, j = 0;
	bool differs = false;

	while (i < a->count || j < b->count) {
		if (i < a->count && j < b->count &&
		    lines_equal(&a->list[i], &b->list[j])) {
			put_line(out, ' ', &a->list[i++]);
			j++;
			continue;
		}
		differs = true;
		if (j == b->count ||
		    (i < a->count &&
			table[(i + 1) * width + j] >= table[i * width + j + 1]))
			put_line(out, '-', &a->list[i++]);
		else
			put_line(out, '+', &b->list[j++]);
	}
	return (differs);
}

bool
brf_diff(const char *from, size_t from_len, const char *to, size_t to_len,
    struct brf_buf *out)
{
	struct lines a = split_lines(from, from_len),
		     b = split_lines(to, to_len);
	uint16_t *table;
	bool differs, too_long;
	size_t i;

	too_long = a.count > LINES_MAX || b.count > LINES_MAX;
	if (too_long) {
		for (i = 0; i < a.count; i++)
			put_line(out, '-', &a.list[i]);
		for (i = 0; i < b.count; i++)
			put_line(out, '+', &b.list[i]);
		differs = from_len != to_len || memcmp(from, to, from_len) != 0;
	} else {
		table =
		    brf_calloc((a.count + 1) * (b.count + 1), sizeof(*table));
		compute_lcs_lengths(&a, &b, table);
		differs = write_lines(&a, &b, table, out);
		free(table);
	}
	free(a.list);
	free(b.list);
	return (differs);
}
