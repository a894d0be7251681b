#include <stdlib.h>

#include "wire/codec.h"

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check(struct brf_id id, const struct brf_reply *r)
{
	size_t most = brf_reply_max_size(r);
	char *out = brf_calloc(most, 1);
	XDR xdr;

	xdrmem_create(&xdr, out, (u_int)most, XDR_ENCODE);
	if (!brf_reply_encode(&xdr, id, r))
		abort();
	if ((r->outcome == BRF_ANSWERED) != (r->answer != NULL))
		abort();
	free(out);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *copy = brf_calloc(size, 1);
	struct brf_id id = { .hi = 0 };
	struct brf_reply r;
	struct brf_error err;
	XDR xdr;

	if (size != 0)
		memcpy(copy, data, size);
	xdrmem_create(&xdr, copy, (u_int)size, XDR_DECODE);
	if (brf_reply_decode(&xdr, id, &r, &err)) {
		check(id, &r);
		brf_message_unref(r.answer);
	}
	free(copy);
	return (0);
}
