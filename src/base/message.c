#include <ctype.h>
#include <stdlib.h>

#include <xxhash.h>

#include "base/message.h"
#include "bulrushford.h"

_Static_assert(
    brf_nitems(((struct brf_message *)0)->headers) == BRF_HEADERS_MAX,
    "the array holds what the bound allows");

static const char *const hop_by_hop[] = { "connection", "content-length",
	"expect", "host", "http2-settings", "keep-alive", "proxy-authenticate",
	"proxy-authorization", "proxy-connection", "te", "trailer",
	"transfer-encoding", "upgrade" };

/*
 * A message is too large for the allocator's cache of small blocks, and each
 * call needs some, so a few are kept.  Not under AddressSanitizer, from which
 * this would hide the use of a message that is gone.
 */
#ifndef __has_feature
#define __has_feature(x) 0
#endif
#if defined(__SANITIZE_ADDRESS__) || __has_feature(address_sanitizer)
#define SPARE_MAX 0u
#else
#define SPARE_MAX 64u
#endif

static struct {
	struct brf_message *list[SPARE_MAX + 1];
	size_t count;
} spare;

struct brf_message *
brf_message_new(void)
{
	struct brf_message *m;

	if (spare.count > 0)
		m = spare.list[--spare.count];
	else
		m = brf_calloc(1, sizeof(*m));
	m->refs = 1;
	m->path = brf_strdup("", 0);
	return (m);
}

/* Make a message as good as new.  Its body goes, since others may put their
 * own buffer in its place. */
static void
keep_spare(struct brf_message *m)
{
	memset(m->method, 0, sizeof(m->method));
	m->path = NULL;
	m->status = 0;
	m->header_count = 0;
	m->header_bytes = 0;
	m->store_used = 0;
	brf_buf_free(&m->body);
	spare.list[spare.count++] = m;
}

/* Memory for the copy of a field. */
static char *
take_store(struct brf_message *m, size_t size)
{
	char *p = m->store + m->store_used;

	if (size > sizeof(m->store) - m->store_used)
		return (brf_calloc(size, 1));
	m->store_used += size;
	return (p);
}

static void
give_store(struct brf_message *m, const char *p)
{
	if (p < m->store || p >= m->store + sizeof(m->store))
		free((char *)p);
}

struct brf_message *
brf_message_ref(struct brf_message *m)
{
	m->refs++;
	return (m);
}

void
brf_message_unref(struct brf_message *m)
{
	size_t i;

	if (m == NULL || --m->refs > 0)
		return;
	for (i = 0; i < m->header_count; i++)
		give_store(m, m->headers[i].name); /* the value follows it */
	free(m->path);
	if (spare.count != SPARE_MAX) {
		keep_spare(m);
		return;
	}
	brf_buf_free(&m->body);
	free(m);
}

bool
brf_message_set_path(
    struct brf_message *m, const char *path, size_t len, struct brf_error *err)
{
	if (len > BRF_PATH_MAX)
		return (brf_error_set(
		    err, BRF_E_TOO_LARGE, 0, "path of %zu bytes", len));
	free(m->path);
	m->path = brf_strdup(path, len);
	return (true);
}

/* tchar of RFC 9110, section 5.6.2 */
static bool
is_token(const char *s, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (s[i] == '\0')
			return (false);
		if (!isalnum((unsigned char)s[i]) &&
		    strchr("!#$%&'*+-.^_`|~", s[i]) == NULL)
			return (false);
	}
	return (len != 0);
}

static bool
is_field_value(const char *s, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (s[i] == '\r' || s[i] == '\n' || s[i] == '\0')
			return (false);
	}
	return (true);
}

bool
brf_message_add_header(struct brf_message *m, const char *name, size_t name_len,
    const char *value, size_t value_len, struct brf_error *err)
{
	size_t i, bytes = name_len + value_len;
	char *copy;

	if (!is_token(name, name_len) || !is_field_value(value, value_len))
		return (brf_error_set(
		    err, BRF_E_HEADERS, 0, "field %zu", m->header_count));
	if (m->header_count == BRF_HEADERS_MAX ||
	    bytes > BRF_HEADER_BYTES_MAX - m->header_bytes)
		return (brf_error_set(err, BRF_E_TOO_LARGE, 0,
		    "more than %u fields or %u bytes of them", BRF_HEADERS_MAX,
		    BRF_HEADER_BYTES_MAX));
	copy = take_store(m, bytes + 2);
	copy[name_len] = '\0';
	copy[bytes + 1] = '\0';
	for (i = 0; i < name_len; i++)
		copy[i] = (char)tolower((unsigned char)name[i]);
	if (value_len != 0)
		memcpy(copy + name_len + 1, value, value_len);
	m->headers[m->header_count].name = copy;
	m->headers[m->header_count].value = copy + name_len + 1;
	m->header_count++;
	m->header_bytes += bytes;
	return (true);
}

void
brf_message_strip(struct brf_message *m, const char *prefix)
{
	size_t i, kept = 0, len = strlen(prefix);

	for (i = 0; i < m->header_count; i++) {
		if (strncmp(m->headers[i].name, prefix, len) != 0) {
			m->headers[kept++] = m->headers[i];
			continue;
		}
		m->header_bytes -=
		    strlen(m->headers[i].name) + strlen(m->headers[i].value);
		give_store(m, m->headers[i].name);
	}
	m->header_count = kept;
}

const char *
brf_message_header(const struct brf_message *m, const char *name)
{
	size_t i;

	for (i = 0; i < m->header_count; i++) {
		if (strcmp(m->headers[i].name, name) == 0)
			return (m->headers[i].value);
	}
	return (NULL);
}

bool
brf_header_is_hop_by_hop(const char *name)
{
	size_t i;

	for (i = 0; i < brf_nitems(hop_by_hop); i++) {
		if (strcmp(name, hop_by_hop[i]) == 0)
			return (true);
	}
	return (false);
}

/* The NUL goes in as well, so that neighbouring strings can't be shifted. */
static void
hash_string(XXH3_state_t *state, const char *s)
{
	XXH3_64bits_update(state, s, strlen(s) + 1);
}

uint64_t
brf_message_checksum(const struct brf_message *m)
{
	uint64_t numbers[3] = { (uint64_t)m->status, m->header_count,
		m->body.len };
	static XXH3_state_t *state;
	uint64_t sum;
	size_t i;

	/* One for the life of the process. */
	if (state == NULL && (state = XXH3_createState()) == NULL)
		abort();
	XXH3_64bits_reset(state);
	XXH3_64bits_update(state, numbers, sizeof(numbers));
	hash_string(state, m->method);
	hash_string(state, m->path);
	for (i = 0; i < m->header_count; i++) {
		hash_string(state, m->headers[i].name);
		hash_string(state, m->headers[i].value);
	}
	if (m->body.len != 0)
		XXH3_64bits_update(state, m->body.data, m->body.len);
	sum = XXH3_64bits_digest(state);
	return (sum);
}
