#include <ctype.h>

#include "base/hex.h"
#include "http/chunks.h"

/**
 * DOC: picohttpparser takes any byte behind the digits of a size for the start
 * of an extension, and a bare LF for the end of a line, where another recipient
 * may read another body.  So the framing is checked before it is decoded.
 */

void
brf_chunks_init(struct brf_chunks *chunks)
{
	memset(chunks, 0, sizeof(*chunks));
	chunks->decoder.consume_trailer = 1;
}

/* The decoder checks the number of digits. */
static bool
check_size(struct brf_chunks *chunks, unsigned char c)
{
	int digit = brf_hex_digit((char)tolower(c));

	if (digit >= 0 && chunks->part == BRF_CHUNK_SIZE)
		chunks->left = chunks->left * 16 + (uint64_t)digit;
	else if (c == ' ' || c == '\t')
		chunks->part = BRF_CHUNK_BLANK;
	else if (c == ';')
		chunks->part = BRF_CHUNK_EXTENSION;
	else if (c == '\r' && chunks->part == BRF_CHUNK_SIZE)
		chunks->part = BRF_CHUNK_SIZE_LF;
	else
		return (false);
	return (true);
}

static bool
check_extension(struct brf_chunks *chunks, unsigned char c)
{
	if (c == '\r')
		chunks->part = BRF_CHUNK_SIZE_LF;
	return (c == '\r' || c == '\t' || !iscntrl(c));
}

static void
follow_trailer(struct brf_chunks *chunks, unsigned char c)
{
	bool first = chunks->part == BRF_CHUNK_TRAILER_LINE;

	if (chunks->part == BRF_CHUNK_LAST_LF && c == '\n')
		chunks->part = BRF_CHUNK_END;
	else if (first && c == '\r')
		chunks->part = BRF_CHUNK_LAST_LF;
	else
		chunks->part =
		    c == '\n' ? BRF_CHUNK_TRAILER_LINE : BRF_CHUNK_TRAILER;
}

static bool
expect(struct brf_chunks *chunks, unsigned char c, unsigned char expected,
    enum brf_chunk_part next)
{
	chunks->part = next;
	return (c == expected);
}

static bool
check_byte(struct brf_chunks *chunks, unsigned char c)
{
	switch (chunks->part) {
	case BRF_CHUNK_SIZE:
	case BRF_CHUNK_BLANK:
		return (check_size(chunks, c));
	case BRF_CHUNK_EXTENSION:
		return (check_extension(chunks, c));
	case BRF_CHUNK_SIZE_LF:
		return (expect(chunks, c, '\n',
		    chunks->left != 0 ? BRF_CHUNK_DATA
				      : BRF_CHUNK_TRAILER_LINE));
	case BRF_CHUNK_DATA_CR:
		return (expect(chunks, c, '\r', BRF_CHUNK_DATA_LF));
	case BRF_CHUNK_DATA_LF:
		return (expect(chunks, c, '\n', BRF_CHUNK_SIZE));
	case BRF_CHUNK_DATA:
	case BRF_CHUNK_END:
		return (false);
	case BRF_CHUNK_TRAILER_LINE:
	case BRF_CHUNK_TRAILER:
	case BRF_CHUNK_LAST_LF:
		follow_trailer(chunks, c);
	}
	return (true);
}

/* Return: number of bytes of the chunk's data among the next @len bytes. */
static size_t
skip_data(struct brf_chunks *chunks, size_t len)
{
	size_t skipped = len < chunks->left ? len : chunks->left;

	chunks->left -= skipped;
	if (chunks->left == 0)
		chunks->part = BRF_CHUNK_DATA_CR;
	return (skipped);
}

/* Set @used to the number of bytes up to the end of the body. */
static bool
check_framing(
    struct brf_chunks *chunks, const char *data, size_t len, size_t *used)
{
	size_t i = 0;

	while (i < len && chunks->part != BRF_CHUNK_END) {
		if (chunks->part == BRF_CHUNK_DATA)
			i += skip_data(chunks, len - i);
		else if (!check_byte(chunks, (unsigned char)data[i++]))
			return (false);
	}
	*used = i;
	return (true);
}

/* Count the metadata of a part; return false when it is too much. */
static bool
count_metadata(struct brf_chunks *chunks, size_t available, size_t len)
{
	chunks->metadata = len == 0 ? chunks->metadata + available : 0;
	return (chunks->metadata <= BRF_CHUNKS_METADATA_MAX);
}

/* Whether the decoder sees the end of the body where the check does. */
static bool
agree(const struct brf_chunks *chunks, ssize_t rest, size_t checked_rest)
{
	if (chunks->part != BRF_CHUNK_END)
		return (rest == -2);
	return (rest >= 0 && (size_t)rest == checked_rest);
}

enum brf_chunks_result
brf_chunks_decode(struct brf_chunks *chunks, struct brf_buf *input,
    size_t available, size_t *len, size_t *used)
{
	ssize_t rest;

	*len = available;
	if (!check_framing(chunks, input->data, available, used))
		return (BRF_CHUNKS_INVALID);
	rest = phr_decode_chunked(&chunks->decoder, input->data, len);
	if (!agree(chunks, rest, available - *used))
		return (BRF_CHUNKS_INVALID);
	if (rest < 0)
		return (count_metadata(chunks, available, *len)
			    ? BRF_CHUNKS_INCOMPLETE
			    : BRF_CHUNKS_INVALID);
	/* move the bytes after the body behind its decoded bytes */
	memmove(input->data + *used, input->data + *len, (size_t)rest);
	return (BRF_CHUNKS_COMPLETE);
}
