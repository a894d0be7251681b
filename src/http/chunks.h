#ifndef BRF_CHUNKS_H
#define BRF_CHUNKS_H

#include "base/buf.h"
#include "http/parser.h"

/**
 * enum brf_chunks_result - result of decoding a part of a chunked body.
 * @BRF_CHUNKS_INCOMPLETE: the body continues
 * @BRF_CHUNKS_COMPLETE: the last chunk and the trailer were decoded
 * @BRF_CHUNKS_INVALID: the chunk framing is malformed or too long
 */
enum brf_chunks_result {
	BRF_CHUNKS_INCOMPLETE,
	BRF_CHUNKS_COMPLETE,
	BRF_CHUNKS_INVALID
};

#define BRF_CHUNKS_METADATA_MAX 65536u /* bytes between two bytes of a body */

/**
 * struct brf_chunks - decoder of one chunked body; start with
 * brf_chunks_init().
 * @metadata: bytes of sizes, extensions and the trailer read since the last
 *	part that held a byte of the body
 */
struct brf_chunks {
	struct phr_chunked_decoder decoder;
	size_t metadata;
};

BRF_BEGIN_DECLS

void brf_chunks_init(struct brf_chunks *chunks);

/**
 * brf_chunks_decode() - decode the first @available bytes of @input in place.
 * @len: filled with the number of decoded bytes, now at the start of @input
 * @used: filled with the number of bytes to consume from @input, decoded ones
 *	included; bytes after the end of the body follow them
 *
 * Return: BRF_CHUNKS_INVALID also when parts without a byte of the body add up
 * to more than BRF_CHUNKS_METADATA_MAX bytes of metadata.
 */
enum brf_chunks_result brf_chunks_decode(struct brf_chunks *chunks,
    struct brf_buf *input, size_t available, size_t *len, size_t *used);

BRF_END_DECLS

#endif
