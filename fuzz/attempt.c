#include <stdlib.h>

#include "wire/codec.h"

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What is accepted can be sent on, and is within its bounds. */
static void
check(const struct brf_attempt *a)
{
	size_t most = brf_attempt_max_size(a);
	char *out = brf_calloc(most, 1);
	XDR xdr;

	xdrmem_create(&xdr, out, (u_int)most, XDR_ENCODE);
	if (!brf_attempt_encode(&xdr, a, a->timeout_us))
		abort();
	if (a->retries > BRF_RETRIES_MAX || a->cls >= BRF_CLASSES)
		abort();
	free(out);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *copy = brf_calloc(size, 1);
	struct brf_attempt a;
	struct brf_error err;
	XDR xdr;

	if (size != 0)
		memcpy(copy, data, size);
	xdrmem_create(&xdr, copy, (u_int)size, XDR_DECODE);
	if (brf_attempt_decode(&xdr, &a, &err)) {
		check(&a);
		brf_message_unref(a.request);
	}
	free(copy);
	return (0);
}
