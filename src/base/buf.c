#include <stdarg.h>
#include <stdlib.h>

#include "base/buf.h"

#define BUF_FIRST 64

void
brf_buf_free(struct brf_buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

void
brf_buf_clear(struct brf_buf *b)
{
	b->len = 0;
	if (b->data != NULL)
		b->data[0] = '\0';
}

void
brf_buf_reserve(struct brf_buf *b, size_t more)
{
	size_t cap = b->cap != 0 ? b->cap : BUF_FIRST;

	if (more >= SIZE_MAX / 2 - b->len)
		abort();
	while (cap < b->len + more + 1)
		cap *= 2;
	if (cap == b->cap)
		return;
	b->data = brf_realloc(b->data, cap);
	b->data[b->len] = '\0';
	b->cap = cap;
}

void
brf_buf_add(struct brf_buf *b, const void *data, size_t len)
{
	brf_buf_reserve(b, len);
	if (len != 0)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

void
brf_buf_puts(struct brf_buf *b, const char *s)
{
	brf_buf_add(b, s, strlen(s));
}

void
brf_buf_putc(struct brf_buf *b, char c)
{
	brf_buf_add(b, &c, 1);
}

void
brf_buf_printf(struct brf_buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	brf_buf_reserve(b, (size_t)n);
	va_start(ap, fmt);
	vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
}

void
brf_buf_put_json(struct brf_buf *b, const char *s, size_t len)
{
	unsigned char c;
	size_t i;

	for (i = 0; i < len; i++) {
		c = (unsigned char)s[i];
		if (c == '"' || c == '\\')
			brf_buf_printf(b, "\\%c", c);
		else if (c < 0x20 || c >= 0x7f)
			brf_buf_printf(b, "\\u%04x", c);
		else
			brf_buf_putc(b, (char)c);
	}
}

void
brf_buf_consume(struct brf_buf *b, size_t n)
{
	if (n >= b->len) {
		brf_buf_clear(b);
		return;
	}
	memmove(b->data, b->data + n, b->len - n + 1);
	b->len -= n;
}
