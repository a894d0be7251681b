#include <arpa/inet.h>

#include "wire/record.h"

#define LAST_FRAGMENT 0x80000000u

/* Bytes to reserve for a read. */
#define READ_SIZE ((size_t)64 * 1024)

/* Bytes; an empty buffer that is larger is freed. */
#define KEPT_SIZE ((size_t)256 * 1024)

#define FRAGMENTS_MAX 4096u /* of one record */

void
brf_record_reader_free(struct brf_record_reader *r)
{
	brf_buf_free(&r->in);
	brf_buf_free(&r->assembled);
	memset(r, 0, sizeof(*r));
}

static void
discard_consumed(struct brf_record_reader *r)
{
	if (r->pos == 0)
		return;
	brf_buf_consume(&r->in, r->pos);
	r->pos = 0;
	if (r->in.len == 0 && r->in.cap > KEPT_SIZE)
		brf_buf_free(&r->in);
}

char *
brf_record_reserve(struct brf_record_reader *r, size_t *size)
{
	discard_consumed(r);
	if (r->in.cap < r->in.len + READ_SIZE / 4)
		brf_buf_reserve(&r->in, READ_SIZE - 1);
	*size = r->in.cap - r->in.len - 1;
	return (r->in.data + r->in.len);
}

void
brf_record_commit(struct brf_record_reader *r, size_t len)
{
	r->in.len += len;
	r->in.data[r->in.len] = '\0';
}

void
brf_record_feed(struct brf_record_reader *r, const void *data, size_t len)
{
	discard_consumed(r);
	brf_buf_add(&r->in, data, len);
}

static uint32_t
read_mark(const char *data)
{
	uint32_t word;

	memcpy(&word, data, sizeof(word));
	return (ntohl(word));
}

static bool
check_fragment(const struct brf_record_reader *r, size_t len, bool last,
    struct brf_error *err)
{
	size_t max_len = r->max_len != 0 ? r->max_len : BRF_RECORD_MAX;

	if (r->assembled.len > max_len || len > max_len - r->assembled.len)
		return (brf_error_set(err, BRF_E_TOO_LARGE, 0,
		    "record of %zu bytes or more", r->assembled.len + len));
	if (len == 0 && !last)
		return (
		    brf_error_set(err, BRF_E_RPC_RECORD, 0, "empty fragment"));
	if (r->fragments == FRAGMENTS_MAX)
		return (brf_error_set(err, BRF_E_RPC_RECORD, 0,
		    "more than %u fragments", FRAGMENTS_MAX));
	return (true);
}

static void
return_assembled(struct brf_record_reader *r, struct brf_record *record)
{
	record->data = r->assembled.data;
	record->len = r->assembled.len;
	r->returned = true;
}

static void
clear_assembled(struct brf_record_reader *r)
{
	if (!r->returned)
		return;
	r->returned = false;
	r->fragments = 0;
	brf_buf_clear(&r->assembled);
	if (r->assembled.cap > KEPT_SIZE)
		brf_buf_free(&r->assembled);
}

enum brf_record_result
brf_record_next(struct brf_record_reader *r, struct brf_record *record,
    struct brf_error *err)
{
	size_t have, len;
	char *data;
	bool last;

	clear_assembled(r);
	for (;;) {
		have = r->in.len - r->pos;
		if (have < BRF_RECORD_MARK_SIZE)
			return (BRF_RECORD_INCOMPLETE);
		data = r->in.data + r->pos + BRF_RECORD_MARK_SIZE;
		len = read_mark(r->in.data + r->pos) & ~LAST_FRAGMENT;
		last = read_mark(r->in.data + r->pos) & LAST_FRAGMENT;
		if (!check_fragment(r, len, last, err))
			return (BRF_RECORD_INVALID);
		if (have - BRF_RECORD_MARK_SIZE < len)
			return (BRF_RECORD_INCOMPLETE);
		r->pos += BRF_RECORD_MARK_SIZE + len;
		if (last && r->fragments == 0) {
			record->data = data;
			record->len = len;
			return (BRF_RECORD_COMPLETE);
		}
		brf_buf_add(&r->assembled, data, len);
		r->fragments++;
		if (!last)
			continue;
		return_assembled(r, record);
		return (BRF_RECORD_COMPLETE);
	}
}

bool
brf_record_finish(const struct brf_record_reader *r, struct brf_error *err)
{
	if (r->in.len == r->pos && (r->fragments == 0 || r->returned))
		return (true);
	return (brf_error_set(err, BRF_E_RPC_RECORD, 0,
	    "stream ended inside a record, "
	    "%zu bytes after %zu whole fragments",
	    r->in.len - r->pos, r->fragments));
}

char *
brf_record_begin_write(struct brf_buf *out, size_t max_len)
{
	brf_buf_reserve(out, BRF_RECORD_MARK_SIZE + max_len);
	return (out->data + out->len + BRF_RECORD_MARK_SIZE);
}

void
brf_record_end_write(struct brf_buf *out, size_t len)
{
	uint32_t word = htonl((uint32_t)len | LAST_FRAGMENT);

	memcpy(out->data + out->len, &word, sizeof(word));
	out->len += BRF_RECORD_MARK_SIZE + len;
	out->data[out->len] = '\0';
}
