#ifndef BRF_CHUNKS_H
#define BRF_CHUNKS_H

#include "base/buf.h"
#include "http/parser.h"

/**
 * enum brf_chunks_result - result of decoding a part of a chunked body.
 * @BRF_CHUNKS_INCOMPLETE: the body continues
 * @BRF_CHUNKS_COMPLETE: the last chunk and the trailer were decoded
 * @BRF_CHUNKS_INVALID: the chunk framing is malformed
 */
enum brf_chunks_result {
	BRF_CHUNKS_INCOMPLETE,
	BRF_CHUNKS_COMPLETE,
	BRF_CHUNKS_INVALID
};

BRF_BEGIN_DECLS

/**
 * brf_chunks_decode() - decode the first @available bytes of @input in place.
 * @decoder: zeroed before the first part, with consume_trailer set
 * @len: filled with the number of decoded bytes, now at the start of @input
 * @used: filled with the number of bytes to consume from @input, decoded ones
 *	included; bytes after the end of the body follow them
 */
enum brf_chunks_result brf_chunks_decode(struct phr_chunked_decoder *decoder,
    struct brf_buf *input, size_t available, size_t *len, size_t *used);

BRF_END_DECLS

#endif
