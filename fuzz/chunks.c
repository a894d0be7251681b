#include <ctype.h>
#include <stdlib.h>

#include "http/chunks.h"

/**
 * DOC: The decoder of chunked bodies, which is given the input in pieces whose
 * size the first byte tells.
 *
 * It fails unless the input is decoded as a complete body exactly if it is
 * framed as RFC 9112, section 7.1, says, to the same bytes and the same end.
 */

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A body that is read by the grammar, from @at on. */
struct text {
	const char *data;
	size_t size;
	size_t at;
};

static char
peek(const struct text *t)
{
	if (t->at == t->size)
		return ('\0');
	return (t->data[t->at]);
}

static bool
read_crlf(struct text *t)
{
	bool found =
	    t->size - t->at >= 2 && memcmp(t->data + t->at, "\r\n", 2) == 0;

	t->at += found ? 2 : 0;
	return (found);
}

static bool
read_size_line(struct text *t, size_t *size)
{
	size_t start = t->at;
	char digits[17] = "", c;

	while (isxdigit((unsigned char)peek(t)))
		t->at++;
	if (t->at == start || t->at - start > 16)
		return (false);
	memcpy(digits, t->data + start, t->at - start);
	*size = strtoull(digits, NULL, 16);
	if (read_crlf(t))
		return (true);
	while (peek(t) == ' ' || peek(t) == '\t')
		t->at++;
	if (peek(t) != ';')
		return (false);
	while ((c = peek(t)) == '\t' || !iscntrl((unsigned char)c))
		t->at++;
	return (read_crlf(t));
}

/* The fields are not read; each line ends with LF, the last one is CRLF. */
static bool
read_trailer(struct text *t)
{
	while (!read_crlf(t)) {
		while (peek(t) == '\r')
			t->at++;
		if (peek(t) == '\n')
			return (false);
		while (t->at < t->size && peek(t) != '\n')
			t->at++;
		if (t->at == t->size)
			return (false);
		t->at++;
	}
	return (true);
}

static bool
read_body(struct text *t, struct brf_buf *body)
{
	size_t size;

	for (;;) {
		if (!read_size_line(t, &size))
			return (false);
		if (size == 0)
			return (read_trailer(t));
		if (size > t->size - t->at)
			return (false);
		brf_buf_add(body, t->data + t->at, size);
		t->at += size;
		if (!read_crlf(t))
			return (false);
	}
}

/* Return: whether the body is complete; sets @end to its length in @data. */
static bool
decode(const char *data, size_t size, size_t step, struct brf_buf *body,
    size_t *end)
{
	enum brf_chunks_result result = BRF_CHUNKS_INCOMPLETE;
	struct brf_chunks chunks;
	struct brf_buf input = { .len = 0 };
	size_t at = 0, part, len, used;

	brf_chunks_init(&chunks);
	while (result == BRF_CHUNKS_INCOMPLETE && at < size) {
		part = step < size - at ? step : size - at;
		brf_buf_add(&input, data + at, part);
		at += part;
		result =
		    brf_chunks_decode(&chunks, &input, input.len, &len, &used);
		if (result == BRF_CHUNKS_INVALID)
			break;
		brf_buf_add(body, input.data, len);
		brf_buf_consume(&input, used);
	}
	*end = at - input.len;
	brf_buf_free(&input);
	return (result == BRF_CHUNKS_COMPLETE);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct brf_buf got = { .len = 0 }, expected = { .len = 0 };
	struct text t = { .data = (const char *)data + 1 };
	size_t end;
	bool complete;

	if (size < 2)
		return (0);
	t.size = size - 1;
	complete = decode(t.data, t.size, data[0] + (size_t)1, &got, &end);
	if (read_body(&t, &expected) != complete)
		abort();
	if (complete && (end != t.at || got.len != expected.len ||
			    (got.len != 0 &&
				memcmp(got.data, expected.data, got.len) != 0)))
		abort();
	brf_buf_free(&got);
	brf_buf_free(&expected);
	return (0);
}
