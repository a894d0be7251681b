#include <ctype.h>
#include <strings.h>

#include "http/fields.h"

bool
brf_http_field_is(const struct phr_header *field, const char *name)
{
	return (field->name != NULL && field->name_len == strlen(name) &&
		strncasecmp(field->name, name, field->name_len) == 0);
}

/* Whether the comma list @value holds @word. */
static bool
list_holds(const char *value, size_t value_len, const char *word, size_t len)
{
	const char *p = value, *end = value + value_len, *stop, *tail;

	while (p < end) {
		stop = memchr(p, ',', (size_t)(end - p));
		if (stop == NULL)
			stop = end;
		while (p < stop && (*p == ' ' || *p == '\t'))
			p++;
		tail = stop;
		while (tail > p && (tail[-1] == ' ' || tail[-1] == '\t'))
			tail--;
		if ((size_t)(tail - p) == len && strncasecmp(p, word, len) == 0)
			return (true);
		p = stop + 1;
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
		    list_holds(fields[i].value, fields[i].value_len, word, len))
			return (true);
	}
	return (false);
}

bool
brf_http_field_is_hop_by_hop(const struct phr_header *field)
{
	char name[32]; /* longer than any of them */
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
	bool named = false;
	size_t i;

	for (i = 0; i < count; i++)
		named = named || brf_http_field_is(&fields[i], "connection");
	for (i = 0; i < count; i++) {
		f = &fields[i];
		if (f->name == NULL)
			return (brf_error_set(
			    err, BRF_E_HEADERS, 0, "folded field"));
		if (brf_http_field_is_hop_by_hop(f))
			continue;
		if (named && brf_http_field_list_contains(fields, count, "connection",
				 f->name, f->name_len))
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
