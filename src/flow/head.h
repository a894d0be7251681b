#ifndef BRF_HEAD_H
#define BRF_HEAD_H

#include "base/buf.h"

/**
 * DOC: Heads of HTTP/1.1 messages that go through the node as a stream.
 *
 * Fields that concern both ends travel as one block of text, each as
 * "name: value" and CRLF.  The block is checked once where it comes in, so
 * that everything behind may copy it: it holds no hop-by-hop field, no folded
 * line, no bare CR or LF, and none of the fields that the system sets itself.
 */

/**
 * struct brf_field_names - what callers and targets call the fields that the
 * node has to know; lower case.
 * @id: names one try of a caller; an answer repeats it
 * @timeout: milliseconds that the sender waits
 * @target: the only target that may run the request
 * @caller: service of the VM where the request began
 * @seal: a target's mark on its answers
 * @not_run: on an answer: the target did not run the request
 * @instance: on an answer: the target that gave it
 */
struct brf_field_names {
	const char *id;
	const char *timeout;
	const char *target;
	const char *caller;
	const char *seal;
	const char *not_run;
	const char *instance;
};

/**
 * enum brf_body_kind - how the end of a body is told.
 * @BRF_BODY_CLOSE: by the end of the connection; answers only
 */
enum brf_body_kind {
	BRF_BODY_NONE,
	BRF_BODY_LENGTH,
	BRF_BODY_CHUNKED,
	BRF_BODY_CLOSE
};

#define BRF_HEAD_ID_MAX 511u	 /* bytes of a request id; calls add to it */
#define BRF_HEAD_HOST_MAX 255u	 /* bytes of a host, RFC 1035 */
#define BRF_HEAD_METHOD_SIZE 16u /* bytes of a method with its NUL */

/**
 * struct brf_request_head - head of a request.
 * @path: with query
 * @host: as it was sent
 * @fields: the block of fields
 * @id: value of the id field; empty when there is none
 * @timeout_ms: with @has_timeout
 * @length: with BRF_BODY_LENGTH
 * @keep: the caller keeps the connection
 * @expects_continue: the caller waits for 100 before it sends the body
 * @http_1_0: the caller speaks HTTP/1.0 and knows no chunks
 */
struct brf_request_head {
	char method[BRF_HEAD_METHOD_SIZE];
	struct brf_buf path;
	char host[BRF_HEAD_HOST_MAX + 1];
	struct brf_buf fields;
	char id[BRF_HEAD_ID_MAX + 1];
	uint64_t timeout_ms;
	uint64_t length;
	enum brf_body_kind body;
	bool has_timeout;
	bool keep_alive;
	bool expects_continue;
	bool http_1_0;
};

/**
 * struct brf_answer_head - head of an answer.
 * @id: value of the id field; empty when there is none
 * @keep: the target keeps the connection
 * @keep_s: for how long, seconds; 0 when it doesn't say
 * @sealed: it has the target's mark
 * @not_run: it says that the request was not run
 * @encoded: its body is in a coding that nobody asked for
 */
struct brf_answer_head {
	int status;
	struct brf_buf fields;
	char id[BRF_HEAD_ID_MAX + 1];
	uint64_t length;
	enum brf_body_kind body;
	uint32_t keep_alive_s;
	bool keep_alive;
	bool sealed;
	bool not_run;
	bool encoded;
};

/**
 * enum brf_head_result - what was found.
 * @BRF_HEAD_INCOMPLETE: it goes on
 * @BRF_HEAD_INVALID: it is no HTTP/1, or says two things at once
 * @BRF_HEAD_UNSUPPORTED_CODING: a transfer coding other than chunked
 */
enum brf_head_result {
	BRF_HEAD_COMPLETE,
	BRF_HEAD_INCOMPLETE,
	BRF_HEAD_INVALID,
	BRF_HEAD_UNSUPPORTED_CODING
};

BRF_BEGIN_DECLS

/**
 * brf_request_head_parse() - read a head at the start of @data.
 * @seen: bytes that were there at the last try; 0 at first
 * @h: zeroed; filled with BRF_HEAD_COMPLETE, to be given to
 *	brf_request_head_free() in any case
 * @used: bytes of the head
 */
enum brf_head_result brf_request_head_parse(struct brf_request_head *h,
    const char *data, size_t len, size_t last_len,
    const struct brf_field_names *names, size_t *used);
void brf_request_head_free(struct brf_request_head *h);

/**
 * brf_answer_head_parse() - as brf_request_head_parse().
 * @to_head: the answer is to a HEAD request and has no body
 */
enum brf_head_result brf_answer_head_parse(struct brf_answer_head *h,
    const char *data, size_t len, size_t last_len, bool to_head,
    const struct brf_field_names *names, size_t *used);
void brf_answer_head_free(struct brf_answer_head *h);

/* Append "name: value" and CRLF. */
void brf_field_put(struct brf_buf *b, const char *name, const char *value);

BRF_END_DECLS

#endif
