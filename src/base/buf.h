#ifndef BRF_BUF_H
#define BRF_BUF_H

#include "base/base.h"

/**
 * struct brf_buf - growable bytes.
 * @data: the bytes; always followed by a NUL that @len does not count
 * @len: bytes in use
 * @cap: bytes allocated
 *
 * A zeroed struct is an empty buffer.
 */
struct brf_buf {
	char *data;
	size_t len;
	size_t cap;
};

BRF_BEGIN_DECLS

void brf_buf_free(struct brf_buf *b);

/* Keeps the memory for the next use. */
void brf_buf_clear(struct brf_buf *b);

/* Make room for @more bytes and a NUL behind @len. */
void brf_buf_reserve(struct brf_buf *b, size_t more);

void brf_buf_add(struct brf_buf *b, const void *data, size_t len);
void brf_buf_puts(struct brf_buf *b, const char *s);
void brf_buf_putc(struct brf_buf *b, char c);
void brf_buf_printf(struct brf_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Append @s as the inside of a JSON string; bytes that are not ASCII text
 * are written as \u00XX, so that the line stays valid whatever came in. */
void brf_buf_put_json(struct brf_buf *b, const char *s, size_t len);

/* Remove the first @n bytes. */
void brf_buf_consume(struct brf_buf *b, size_t n);

BRF_END_DECLS

#endif
