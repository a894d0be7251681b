#include "base/hex.h"

int
brf_hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return (c - '0');
	if (c >= 'a' && c <= 'f')
		return (c - 'a' + 10);
	return (-1);
}

bool
brf_hex_read(const char *text, unsigned char *bytes, size_t n)
{
	int high, low;
	size_t i;

	for (i = 0; i < n; i++) {
		high = brf_hex_digit(text[2 * i]);
		low = brf_hex_digit(text[2 * i + 1]);
		if (high < 0 || low < 0)
			return (false);
		bytes[i] = (unsigned char)(high << 4 | low);
	}
	return (true);
}

void
brf_hex_write(const unsigned char *bytes, size_t n, char *out)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < n; i++) {
		out[2 * i] = digits[bytes[i] >> 4];
		out[2 * i + 1] = digits[bytes[i] & 15];
	}
}
