#ifndef BRF_HEX_H
#define BRF_HEX_H

#include "base/base.h"

BRF_BEGIN_DECLS

/**
 * brf_hex_digit() - value of a lower-case hex digit; -1 for any other byte.
 */
int brf_hex_digit(char c);

/**
 * brf_hex_read() - read @n bytes from 2 * @n lower-case hex digits.
 *
 * Return: whether all of them were digits.
 */
bool brf_hex_read(const char *text, unsigned char *bytes, size_t n);

/**
 * brf_hex_write() - write 2 * @n digits; no NUL follows them.
 */
void brf_hex_write(const unsigned char *bytes, size_t n, char *out);

BRF_END_DECLS

#endif
