#ifndef BRF_RECORD_H
#define BRF_RECORD_H

#include "base/buf.h"
#include "base/error.h"
#include "bulrushford.h"

/**
 * DOC: Record marking (RFC 5531, section 11).
 *
 * A record is one or more fragments, each behind a word that holds its length
 * and, in the top bit, whether it is the last one.  The reader is fed with
 * bytes as they come and gives whole records; it does no input itself.
 */

#define BRF_RECORD_MARK_SIZE 4u /* bytes of a fragment's mark */

/* Bytes of RPC header, lengths, padding and names. */
#define BRF_RECORD_OVERHEAD (16u * 1024u)

/* Largest record, bytes: a message at all its bounds. */
#define BRF_RECORD_MAX                                        \
	(BRF_BODY_MAX + BRF_HEADER_BYTES_MAX + BRF_PATH_MAX + \
	    BRF_RECORD_OVERHEAD)

/**
 * struct brf_record_reader - joins fragments to records.
 * @in: bytes received; those before @pos are used up
 * @joined: fragments of a record whose last one has not come
 * @fragments: number of fragments in @joined
 * @taken: @joined was given out as a record and is to be emptied
 * @max_len: bytes of the largest record; 0 stands for BRF_RECORD_MAX
 *
 * A zeroed struct is ready for use.
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
 * struct brf_record - a whole record, inside its reader.
 */
struct brf_record {
	char *data;
	size_t len;
};

/**
 * enum brf_record_result - what brf_record_next() found.
 * @BRF_RECORD_COMPLETE: a record
 * @BRF_RECORD_INCOMPLETE: nothing until more bytes come
 * @BRF_RECORD_INVALID: framing is lost, no later byte has a meaning
 */
enum brf_record_result {
	BRF_RECORD_COMPLETE,
	BRF_RECORD_INCOMPLETE,
	BRF_RECORD_INVALID
};

BRF_BEGIN_DECLS

void brf_record_reader_free(struct brf_record_reader *r);

/**
 * brf_record_reserve() - where the next bytes may be written.
 * @size: filled with the room there
 *
 * Call brf_record_commit() with what was written.  Records given out before
 * are no longer valid.
 */
char *brf_record_reserve(struct brf_record_reader *r, size_t *size);
void brf_record_commit(struct brf_record_reader *r, size_t len);

/**
 * brf_record_feed() - copy bytes in; for those who have them already.
 */
void brf_record_feed(struct brf_record_reader *r, const void *data, size_t len);

/**
 * brf_record_next() - the next whole record.
 * @record: valid until the next call for @r
 *
 * With BRF_RECORD_INVALID, @err is BRF_E_TOO_LARGE for a record over
 * the bound and BRF_E_RPC_RECORD for an empty fragment that is not the
 * last, or for too many fragments.
 */
enum brf_record_result brf_record_next(struct brf_record_reader *r,
    struct brf_record *record, struct brf_error *err);

/**
 * brf_record_finish() - no more bytes will come.
 *
 * Return: false with BRF_E_RPC_RECORD when a record was cut.
 */
bool brf_record_finish(
    const struct brf_record_reader *r, struct brf_error *err);

/**
 * brf_record_begin_write() - make room for a record of at most @max_len bytes.
 *
 * The record is to be written behind out->len + BRF_RECORD_MARK_SIZE, then
 * brf_record_end_write() called with its length.
 */
char *brf_record_begin_write(struct brf_buf *out, size_t max_len);
void brf_record_end_write(struct brf_buf *out, size_t len);

BRF_END_DECLS

#endif
