#include <stdlib.h>

#include "base/base.h"

void *
brf_calloc(size_t n, size_t size)
{
	void *p = calloc(n != 0 ? n : 1, size != 0 ? size : 1);

	if (p == NULL)
		abort();
	return (p);
}

void *
brf_realloc(void *p, size_t size)
{
	void *q = realloc(p, size != 0 ? size : 1);

	if (q == NULL)
		abort();
	return (q);
}

char *
brf_strdup(const char *s, size_t len)
{
	char *p = brf_calloc(len + 1, 1);

	memcpy(p, s, len);
	return (p);
}

void
brf_copy_name(char *dst, size_t size, const char *src)
{
	size_t len = strnlen(src, size - 1);

	memcpy(dst, src, len);
	dst[len] = '\0';
}
