#include "http/chunks.h"

void
brf_chunks_init(struct brf_chunks *chunks)
{
	memset(chunks, 0, sizeof(*chunks));
	chunks->decoder.consume_trailer = 1;
}

/* Count the metadata of a part; return false when it is too much. */
static bool
count_metadata(struct brf_chunks *chunks, size_t available, size_t len)
{
	chunks->metadata = len == 0 ? chunks->metadata + available : 0;
	return (chunks->metadata <= BRF_CHUNKS_METADATA_MAX);
}

enum brf_chunks_result
brf_chunks_decode(struct brf_chunks *chunks, struct brf_buf *input,
    size_t available, size_t *len, size_t *used)
{
	ssize_t rest;

	*len = available;
	*used = available;
	rest = phr_decode_chunked(&chunks->decoder, input->data, len);
	if (rest == -1)
		return (BRF_CHUNKS_INVALID);
	if (rest < 0)
		return (count_metadata(chunks, available, *len)
			    ? BRF_CHUNKS_INCOMPLETE
			    : BRF_CHUNKS_INVALID);
	/* move the bytes after the body behind its decoded bytes */
	*used = available - (size_t)rest;
	memmove(input->data + *used, input->data + *len, (size_t)rest);
	return (BRF_CHUNKS_COMPLETE);
}
