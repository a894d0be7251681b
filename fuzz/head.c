#include <stdlib.h>

#include "flow/head.h"

/* libFuzzer's name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const struct brf_field_names names = {
	.id = "id",
	.timeout = "timeout",
	.target = "target",
	.caller = "caller",
	.seal = "seal",
	.not_run = "not-run",
	.instance = "instance",
	.rate_limit = "rate-limit",
	.leaving = "leaving",
};

/* What is passed on must begin no other field or message. */
static void
check_fields(const struct brf_buf *fields)
{
	size_t i;

	for (i = 0; i < fields->len; i++) {
		if (fields->data[i] == '\0')
			abort();
		if (fields->data[i] == '\n' &&
		    (i == 0 || fields->data[i - 1] != '\r'))
			abort();
		if (fields->data[i] == '\r' &&
		    (i + 1 == fields->len || fields->data[i + 1] != '\n'))
			abort();
		if (i >= 3 && memcmp(fields->data + i - 3, "\r\n\r\n", 4) == 0)
			abort();
	}
}

static void
read_request(const char *data, size_t size, size_t step)
{
	enum brf_head_result whole, part = BRF_HEAD_INCOMPLETE;
	struct brf_request_head h = { .timeout_ms = 0 };
	struct brf_request_head again = { .timeout_ms = 0 };
	size_t used = 0, used_again = 0, seen = 0, len;

	whole = brf_request_head_parse(&h, data, size, 0, &names, &used);
	if (whole == BRF_HEAD_COMPLETE) {
		if (used == 0 || used > size)
			abort();
		check_fields(&h.fields);
	}
	for (len = step; part == BRF_HEAD_INCOMPLETE && len <= size;
	     len += step) {
		part = brf_request_head_parse(
		    &again, data, len, seen, &names, &used_again);
		seen = len;
	}
	if (whole == BRF_HEAD_COMPLETE && part == BRF_HEAD_COMPLETE &&
	    (used != used_again || h.body != again.body ||
		h.length != again.length))
		abort();
	brf_request_head_free(&h);
	brf_request_head_free(&again);
}

static void
read_answer(const char *data, size_t size, bool to_head)
{
	struct brf_answer_head h = { .status = 0 };
	size_t used = 0;

	if (brf_answer_head_parse(&h, data, size, 0, to_head, &names, &used) ==
	    BRF_HEAD_COMPLETE) {
		if (used == 0 || used > size || h.status < 100 ||
		    h.status > 599)
			abort();
		check_fields(&h.fields);
	}
	brf_answer_head_free(&h);
}

/* The first byte tells in what pieces the request comes. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data + 1;

	if (size < 2)
		return (0);
	read_request(text, size - 1, data[0] + (size_t)1);
	read_answer(text, size - 1, (data[0] & 1) != 0);
	return (0);
}
