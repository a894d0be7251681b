#include <ctype.h>
#include <strings.h>

#include "http/fields.h"

/* Whether the comma list @value holds @name, which is in lower case. */
static bool
list_names(h2o_iovec_t value, const char *name, size_t len)
{
	const char *p = value.base, *end = value.base + value.len, *stop, *tail;

	while (p < end) {
		stop = memchr(p, ',', (size_t)(end - p));
		if (stop == NULL)
			stop = end;
		while (p < stop && (*p == ' ' || *p == '\t'))
			p++;
		tail = stop;
		while (tail > p && (tail[-1] == ' ' || tail[-1] == '\t'))
			tail--;
		if ((size_t)(tail - p) == len && strncasecmp(p, name, len) == 0)
			return (true);
		p = stop + 1;
	}
	return (false);
}

static bool
is_connection(const h2o_header_t *field)
{
	return (h2o_memis(
	    field->name->base, field->name->len, H2O_STRLIT("connection")));
}

static bool
connection_names(
    const h2o_header_t *fields, size_t count, const char *name, size_t len)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (is_connection(&fields[i]) &&
		    list_names(fields[i].value, name, len))
			return (true);
	}
	return (false);
}

static bool
is_hop_by_hop(const h2o_header_t *field)
{
	char name[32]; /* longer than any of them */
	size_t i, len = field->name->len;

	if (len >= sizeof(name))
		return (false);
	for (i = 0; i < len; i++)
		name[i] = (char)tolower((unsigned char)field->name->base[i]);
	name[len] = '\0';
	return (brf_header_is_hop_by_hop(name));
}

bool
brf_fields_take(struct brf_message *m, const h2o_header_t *fields, size_t count,
    struct brf_error *err)
{
	const h2o_header_t *f;
	bool named = false;
	size_t i;

	for (i = 0; i < count; i++)
		named = named || is_connection(&fields[i]);
	for (i = 0; i < count; i++) {
		f = &fields[i];
		if (is_hop_by_hop(f))
			continue;
		if (named && connection_names(
				 fields, count, f->name->base, f->name->len))
			continue;
		if (!brf_message_add_header(m, f->name->base, f->name->len,
			f->value.base, f->value.len, err))
			return (false);
	}
	return (true);
}

bool
brf_path_is_valid(const char *path, size_t len)
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
brf_method_is_valid(const char *method, size_t len)
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
brf_field_is_internal(const char *name)
{
	return (strncmp(name, "brf-", 4) == 0);
}
