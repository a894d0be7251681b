#ifndef BRF_RECORD_H
#define BRF_RECORD_H

#include "base/buf.h"
#include "base/error.h"
#include "bulrushford.h"

/**
 * DOC: Record marking (RFC 5531, section 11).
 *
 * A record is a sequence of fragments.  Each follows a 32-bit record mark: the
 * top bit is set for the last fragment, the other bits are the length.  The
 * reader is an incremental parser, which returns complete records from the
 * bytes passed to it and does no I/O.
 */

#define BRF_RECORD_MARK_SIZE 4u /* bytes of a record mark */

/* Bytes reserved for the RPC header, lengths, padding and names. */
#define BRF_RECORD_OVERHEAD (16u * 1024u)

/* Largest record, bytes: that of a message with every part at its bound. */
#define BRF_RECORD_MAX                                        \
	(BRF_BODY_MAX + BRF_HEADER_BYTES_MAX + BRF_PATH_MAX + \
	    BRF_RECORD_OVERHEAD)

/**
 * struct brf_record_reader - assembles records from fragments.
 * @in: received bytes; those before @pos have been consumed
 * @assembled: fragments of a record whose last fragment has not arrived
 * @fragments: number of fragments in @assembled
 * @returned: @assembled was returned as a record and has to be cleared
 * @max_len: length of the largest record, bytes; 0 stands for BRF_RECORD_MAX
 *
 * Initialise it with zeros.
 */
struct brf_record_reader {
	struct brf_buf in;
	size_t pos;
	struct brf_buf assembled;
	size_t fragments;
	bool returned;
	size_t max_len;
};

/**
 * struct brf_record - a complete record, in the memory of its reader.
 */
struct brf_record {
	char *data;
	size_t len;
};

/**
 * enum brf_record_result - result of brf_record_next().
 * @BRF_RECORD_COMPLETE: a record is returned
 * @BRF_RECORD_INCOMPLETE: more bytes are needed
 * @BRF_RECORD_INVALID: the framing is invalid, so later bytes can't be parsed
 */
enum brf_record_result {
	BRF_RECORD_COMPLETE,
	BRF_RECORD_INCOMPLETE,
	BRF_RECORD_INVALID
};

BRF_BEGIN_DECLS

/* Free the reader's buffers; it can be used again afterwards. */
void brf_record_reader_free(struct brf_record_reader *r);

/**
 * brf_record_reserve() - get memory to read the next bytes into.
 * @size: filled with its size
 *
 * Call brf_record_commit() with the number of bytes written there.  Records
 * returned before become invalid.
 */
char *brf_record_reserve(struct brf_record_reader *r, size_t *size);
void brf_record_commit(struct brf_record_reader *r, size_t len);

/**
 * brf_record_feed() - append a copy of received bytes.
 *
 * Records returned before become invalid.
 */
void brf_record_feed(struct brf_record_reader *r, const void *data, size_t len);

/**
 * brf_record_next() - get the next complete record.
 * @record: filled; valid until the next call for @r
 *
 * With BRF_RECORD_INVALID, @err is BRF_E_TOO_LARGE when the record exceeds
 * max_len, and BRF_E_RPC_RECORD when a fragment other than the last is empty or
 * there are too many fragments.
 */
enum brf_record_result brf_record_next(struct brf_record_reader *r,
    struct brf_record *record, struct brf_error *err);

/**
 * brf_record_finish() - check that the stream does not end inside a record.
 *
 * Return: false with BRF_E_RPC_RECORD when it does.
 */
bool brf_record_finish(
    const struct brf_record_reader *r, struct brf_error *err);

/**
 * brf_record_begin_write() - reserve memory for a record in @out.
 * @max_len: upper bound of the record's length, bytes
 *
 * Return: where to write the record, BRF_RECORD_MARK_SIZE bytes behind the
 * content of @out.
 */
char *brf_record_begin_write(struct brf_buf *out, size_t max_len);

/**
 * brf_record_end_write() - write the mark and append the record to @out.
 * @len: length of the record, bytes
 */
void brf_record_end_write(struct brf_buf *out, size_t len);

BRF_END_DECLS

#endif
