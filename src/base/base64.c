#include <stdlib.h>

#include <openssl/evp.h>

#include "base/base64.h"

char *
brf_base64_encode(const void *data, size_t len)
{
	char *text = brf_calloc(4 * (len / 3 + 1) + 1, 1);

	EVP_EncodeBlock((unsigned char *)text, data, (int)len);
	return (text);
}

char *
brf_base64_decode(const char *text, size_t *len)
{
	size_t n = strlen(text);
	unsigned char *out;
	int got;

	if (n % 4 != 0 || n > INT32_MAX)
		return (NULL);
	out = brf_calloc(n / 4 * 3 + 1, 1);
	got = EVP_DecodeBlock(out, (const unsigned char *)text, (int)n);
	if (got < 0) {
		free(out);
		return (NULL);
	}
	/* padding is decoded as zeros */
	if (n != 0 && text[n - 1] == '=')
		got--;
	if (n != 0 && text[n - 2] == '=')
		got--;
	*len = (size_t)got;
	out[got] = '\0';
	return ((char *)out);
}
