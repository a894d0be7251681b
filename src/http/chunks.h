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
 * enum brf_chunk_part - what the next byte of a chunked body belongs to (RFC
 * 9112, section 7.1).
 * @BRF_CHUNK_SIZE: digits of a size
 * @BRF_CHUNK_BLANK: blanks before an extension
 * @BRF_CHUNK_EXTENSION: an extension, which is ignored
 * @BRF_CHUNK_SIZE_LF: end of the line of a size
 * @BRF_CHUNK_DATA: data of a chunk
 * @BRF_CHUNK_DATA_CR: CR behind the data
 * @BRF_CHUNK_DATA_LF: LF behind the data
 * @BRF_CHUNK_TRAILER_LINE: start of a line behind the last chunk
 * @BRF_CHUNK_TRAILER: rest of such a line, which is ignored
 * @BRF_CHUNK_LAST_LF: LF of the empty line that ends the body, if it is one
 * @BRF_CHUNK_END: nothing; the body has ended
 */
enum brf_chunk_part {
	BRF_CHUNK_SIZE,
	BRF_CHUNK_BLANK,
	BRF_CHUNK_EXTENSION,
	BRF_CHUNK_SIZE_LF,
	BRF_CHUNK_DATA,
	BRF_CHUNK_DATA_CR,
	BRF_CHUNK_DATA_LF,
	BRF_CHUNK_TRAILER_LINE,
	BRF_CHUNK_TRAILER,
	BRF_CHUNK_LAST_LF,
	BRF_CHUNK_END
};

/**
 * struct brf_chunks - decoder of one chunked body; start with
 * brf_chunks_init().
 * @part: of the framing that is checked before @decoder reads it
 * @left: bytes of the chunk's data that are still to come
 * @metadata: bytes of sizes, extensions and the trailer read since the last
 *	part that held a byte of the body
 */
struct brf_chunks {
	struct phr_chunked_decoder decoder;
	enum brf_chunk_part part;
	uint64_t left;
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
 * A line ends with CRLF; only fields of the trailer, which are left out, may
 *end with LF alone (RFC 9112, section 2.2).
 *
 * Return: BRF_CHUNKS_INVALID also when parts without a byte of the body add up
 * to more than BRF_CHUNKS_METADATA_MAX bytes of metadata.
 */
enum brf_chunks_result brf_chunks_decode(struct brf_chunks *chunks,
    struct brf_buf *input, size_t available, size_t *len, size_t *used);

BRF_END_DECLS

#endif
