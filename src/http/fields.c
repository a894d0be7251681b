#include <ctype.h>
#include <strings.h>

#include "http/fields.h"

bool
brf_http_field_is(const struct phr_header *field, const char *name)
{
	return (field->name != NULL && field->name_len == strlen(name) &&
		strncasecmp(field->name, name, field->name_len) == 0);
}

/* Whether the comma-separated list @value contains @word. */
static bool
list_contains(const char *value, size_t value_len, const char *word, size_t len)
{
	const char *p = value, *end = value + value_len, *item_end,
		   *trimmed_end;

	while (p < end) {
		item_end = memchr(p, ',', (size_t)(end - p));
		if (item_end == NULL)
			item_end = end;
		while (p < item_end && (*p == ' ' || *p == '\t'))
			p++;
		trimmed_end = item_end;
		while (trimmed_end > p &&
		       (trimmed_end[-1] == ' ' || trimmed_end[-1] == '\t'))
			trimmed_end--;
		if ((size_t)(trimmed_end - p) == len &&
		    strncasecmp(p, word, len) == 0)
			return (true);
		p = item_end + 1;
	}
	return (false);
}

bool
brf_http_field_list_contains(const struct phr_header *fields, size_t count,
    const char *list, const char *word, size_t len)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (brf_http_field_is(&fields[i], list) &&
		    list_contains(
			fields[i].value, fields[i].value_len, word, len))
			return (true);
	}
	return (false);
}

bool
brf_http_field_is_hop_by_hop(const struct phr_header *field)
{
	char name[32]; /* longer than any hop-by-hop field's name */
	size_t i;

	if (field->name_len >= sizeof(name))
		return (false);
	for (i = 0; i < field->name_len; i++)
		name[i] = (char)tolower((unsigned char)field->name[i]);
	name[i] = '\0';
	return (brf_header_is_hop_by_hop(name));
}

bool
brf_http_fields_copy(struct brf_message *m, const struct phr_header *fields,
    size_t count, struct brf_error *err)
{
	const struct phr_header *f;
	bool has_connection = false;
	size_t i;

	for (i = 0; i < count; i++)
		has_connection = has_connection ||
				 brf_http_field_is(&fields[i], "connection");
	for (i = 0; i < count; i++) {
		f = &fields[i];
		if (f->name == NULL)
			return (brf_error_set(
			    err, BRF_E_HEADERS, 0, "folded field"));
		if (brf_http_field_is_hop_by_hop(f))
			continue;
		if (has_connection &&
		    brf_http_field_list_contains(
			fields, count, "connection", f->name, f->name_len))
			continue;
		if (!brf_message_add_header(
			m, f->name, f->name_len, f->value, f->value_len, err))
			return (false);
	}
	return (true);
}

bool
brf_http_path_is_valid(const char *path, size_t len)
{
	size_t i;

	if (len == 0 || path[0] != '/')
		return (false);
	for (i = 0; i < len; i++) {
		if (path[i] <= ' ' || path[i] > '~')
			return (false);
	}
	return (true);
}

bool
brf_http_method_is_valid(const char *method, size_t len)
{
	size_t i;

	if (len == 0 || len >= sizeof(((struct brf_message *)0)->method))
		return (false);
	for (i = 0; i < len; i++) {
		if (!isalnum((unsigned char)method[i]) &&
		    (method[i] == '\0' ||
			strchr("!#$%&'*+-.^_`|~", method[i]) == NULL))
			return (false);
	}
	return (true);
}

bool
brf_http_field_is_internal(const char *name)
{
	return (strncmp(name, "brf-", 4) == 0);
}
