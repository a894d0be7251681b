#ifndef BRF_HEAD_H
#define BRF_HEAD_H

#include "base/buf.h"
#include "policy/self_report.h"

/**
 * DOC: Heads of HTTP/1.1 messages that a node forwards.
 *
 * End-to-end fields are forwarded as one block of text, each as "name: value"
 * and CRLF.  The block is validated once, when the head is parsed, and copied
 * unchecked from then on: it contains no hop-by-hop field, no folded line, no
 * bare CR or LF, and none of the request fields that the system sets itself.
 */

/**
 * struct brf_field_names - names of the header fields that the node reads or
 * sets; lower case.
 * @id: identifies one attempt of a caller; the answer repeats it
 * @timeout: how long the sender waits, milliseconds
 * @target: the only target that may run the request
 * @caller: service of the VM where the request began
 * @seal: present on each answer that the target itself has sent
 * @not_run: on an answer: the target did not run the request
 * @instance: on an answer: the target that sent it
 * @rate_limit: on an answer: requests a second that the target takes from all
 *	nodes together
 * @leaving: on an answer: "1" when the target leaves
 */
struct brf_field_names {
	const char *id;
	const char *timeout;
	const char *target;
	const char *caller;
	const char *seal;
	const char *not_run;
	const char *instance;
	const char *rate_limit;
	const char *leaving;
};

/**
 * enum brf_body_kind - how a body is delimited.
 * @BRF_BODY_NONE: there is no body
 * @BRF_BODY_LENGTH: by its length
 * @BRF_BODY_CHUNKED: by the chunked transfer coding
 * @BRF_BODY_CLOSE: by the end of the connection; answers only
 */
enum brf_body_kind {
	BRF_BODY_NONE,
	BRF_BODY_LENGTH,
	BRF_BODY_CHUNKED,
	BRF_BODY_CLOSE
};

#define BRF_HEAD_ID_MAX 511u	 /* bytes of a request id; calls append to it */
#define BRF_HEAD_HOST_MAX 255u	 /* bytes of a host name, RFC 1035 */
#define BRF_HEAD_METHOD_SIZE 16u /* bytes of a method, with its NUL */

/**
 * struct brf_request_head - head of a request.
 * @path: path and query
 * @host: authority of an absolute request target, else the host field
 * @fields: block of end-to-end fields
 * @id: value of the id field; empty when absent
 * @timeout_ms: value of the timeout field; valid with @has_timeout
 * @length: bytes of the body; valid with BRF_BODY_LENGTH
 * @keep_alive: the caller wants to reuse the connection
 * @expects_continue: the caller waits for 100 Continue before it sends the body
 * @http_1_0: the caller uses HTTP/1.0, which has no chunked coding
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
 * @fields: block of end-to-end fields
 * @id: value of the id field; empty when absent
 * @length: bytes of the body; valid with BRF_BODY_LENGTH
 * @keep_alive_s: how long the target keeps an idle connection open, seconds;
 *	0 when the answer doesn't state it
 * @keep_alive: the connection can be reused
 * @sealed: the seal field is present
 * @not_run: the not_run field is present
 * @encoded: the content-encoding field is present, though the request asked
 *	for no coding
 * @statement: what the target says of itself; its @authentic is not set
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
	struct brf_self_statement statement;
};

/**
 * enum brf_head_result - result of parsing a head.
 * @BRF_HEAD_COMPLETE: the head was parsed
 * @BRF_HEAD_INCOMPLETE: more bytes are needed
 * @BRF_HEAD_INVALID: not HTTP/1, or fields that contradict each other
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
 * brf_request_head_parse() - parse the head at the start of @data.
 * @h: zeroed by the caller; valid with BRF_HEAD_COMPLETE.  Whatever the result,
 *	the caller releases it by brf_request_head_free().
 * @last_len: value of @len at the previous attempt on the same head; 0 at the
 *	first
 * @used: filled with the bytes of the head, with BRF_HEAD_COMPLETE
 */
enum brf_head_result brf_request_head_parse(struct brf_request_head *h,
    const char *data, size_t len, size_t last_len,
    const struct brf_field_names *names, size_t *used);
void brf_request_head_free(struct brf_request_head *h);

/**
 * brf_answer_head_parse() - parse the head of an answer, with the rules of
 * brf_request_head_parse().
 * @to_head: the request's method was HEAD, so the answer has no body
 *
 * Never returns BRF_HEAD_UNSUPPORTED_CODING.
 */
enum brf_head_result brf_answer_head_parse(struct brf_answer_head *h,
    const char *data, size_t len, size_t last_len, bool to_head,
    const struct brf_field_names *names, size_t *used);
void brf_answer_head_free(struct brf_answer_head *h);

/* Append "name: value" and CRLF. */
void brf_field_put(struct brf_buf *b, const char *name, const char *value);

BRF_END_DECLS

#endif
