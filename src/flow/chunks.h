#ifndef BRF_CHUNKS_H
#define BRF_CHUNKS_H

#include "base/buf.h"
#include "http/parser.h"

/**
 * enum brf_chunks_result - what the bytes are.
 * @BRF_CHUNKS_COMPLETE: the body ends in them
 */
enum brf_chunks_result {
	BRF_CHUNKS_INCOMPLETE,
	BRF_CHUNKS_COMPLETE,
	BRF_CHUNKS_INVALID
};

BRF_BEGIN_DECLS

/**
 * brf_chunks_decode() - decode the first @available bytes of @input in place.
 * @len: filled with the decoded bytes that @input begins with now
 * @used: filled with the bytes to be consumed, these included; what follows
 *	the body stands behind them
 */
enum brf_chunks_result brf_chunks_decode(struct phr_chunked_decoder *decoder,
    struct brf_buf *input, size_t available, size_t *len, size_t *used);

BRF_END_DECLS

#endif
