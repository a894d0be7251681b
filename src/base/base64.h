#ifndef BRF_BASE64_H
#define BRF_BASE64_H

#include "base/base.h"

BRF_BEGIN_DECLS

/**
 * brf_base64_encode() - standard base64 with padding (RFC 4648, section 4).
 *
 * Return: text to be given to free().
 */
char *brf_base64_encode(const void *data, size_t len);

/**
 * brf_base64_decode() - the reverse.
 * @len: filled with the number of bytes
 *
 * Return: bytes and a NUL, to be given to free(); NULL when @text is no
 * base64.
 */
char *brf_base64_decode(const char *text, size_t *len);

BRF_END_DECLS

#endif
