#include <stdlib.h>

#include "wire/rpc.h"

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The first byte tells in what pieces the rest is fed. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct brf_record_reader r = { .max_len = 4096 };
	struct brf_rpc_header header;
	struct brf_record record;
	struct brf_error err;
	size_t pos, n, piece;
	XDR xdr;

	if (size == 0)
		return (0);
	piece = data[0] + (size_t)1;
	for (pos = 1; pos < size; pos += n) {
		n = size - pos < piece ? size - pos : piece;
		brf_record_feed(&r, data + pos, n);
		while (
		    brf_record_next(&r, &record, &err) == BRF_RECORD_COMPLETE) {
			if (record.len > r.max_len)
				abort();
			brf_rpc_read(&xdr, &record, &header, &err);
		}
	}
	brf_record_finish(&r, &err);
	brf_record_reader_free(&r);
	return (0);
}
