#include "flow/chunks.h"

enum brf_chunks_result
brf_chunks_decode(struct phr_chunked_decoder *decoder, struct brf_buf *input,
    size_t available, size_t *len, size_t *used)
{
	ssize_t rest;

	*len = available;
	*used = available;
	rest = phr_decode_chunked(decoder, input->data, len);
	if (rest == -1)
		return (BRF_CHUNKS_INVALID);
	if (rest < 0)
		return (BRF_CHUNKS_INCOMPLETE);
	/* move the bytes after the body behind its decoded bytes */
	*used = available - (size_t)rest;
	memmove(input->data + *used, input->data + *len, (size_t)rest);
	return (BRF_CHUNKS_COMPLETE);
}
