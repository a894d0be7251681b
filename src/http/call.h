#ifndef BRF_HTTP_CALL_H
#define BRF_HTTP_CALL_H

#include "http/client.h"
#include "http/parser.h"
#include "http/pool.h"

/**
 * DOC: One HTTP/1.1 call over libuv, parsed by libh2o; for src/http only.
 *
 * h2o 2.2's own http1client does not fit: it takes a chunked answer that ends
 * between two chunks for whole, ends the process by an assertion on an
 * invalid content-length, bounds no head, and can't tell whether a byte of the
 * request has left.  So connections are kept here, and only h2o's parsers are
 * used.
 *
 * An answer is whole when its own framing proves it; one with neither
 * content-length nor chunked coding is broken unless its status or method has
 * no body, since the end of a connection proves nothing (RFC 9112, section
 * 6.3).  Both at once, or two lengths that differ, are broken as well.
 *
 * A kept-alive connection that its peer has closed is dropped before reuse.
 * When writing the first byte fails, the request goes to another connection;
 * when the connection is lost later, nothing proves that the peer did not
 * read the request: BRF_RUN_LOST.
 */

/**
 * struct brf_http_call - one call; embedded by its owner.
 * @done: called exactly once, possibly before brf_http_call_start() returns;
 *	the call may be freed in it
 * @chunk: gets the body as it comes; NULL collects it in @answer
 * @body_max: largest whole body, bytes
 * @host: value of the "host" field, read by brf_http_call_start(); NULL for
 *	the pool's address
 * @answer: status, fields and, without @chunk, body; valid in @done, also
 *	when the call failed
 */
struct brf_http_call {
	void (*done)(struct brf_http_call *call, enum brf_run_end end);
	void (*chunk)(struct brf_http_call *call, const char *data, size_t len);
	size_t body_max;
	const char *host;
	struct brf_message *answer;
	struct brf_http_pool *pool;
	struct brf_http_pool_conn *conn;
	struct brf_message *request;
	struct brf_buf head;
	enum {
		BRF_HTTP_CALL_HEAD,
		BRF_HTTP_CALL_LENGTH,
		BRF_HTTP_CALL_CHUNKED
	} state;
	uint64_t missing; /* bytes of the body, with a content-length */
	struct phr_chunked_decoder decoder;
	size_t parsed; /* bytes that an incomplete head had at the last try */
	bool keep;     /* the connection can be used again */
	bool sent;     /* a byte of the request may have left */
	bool in_chunk;
	bool cancelled;
};

BRF_BEGIN_DECLS

/**
 * brf_http_call_start() - send @request; a reference is taken.
 * @call: zeroed but for @done, @chunk, @body_max and @host
 * @extra: @extra_count fields more than the request's own
 */
void brf_http_call_start(struct brf_http_call *call, struct brf_http_pool *pool,
    struct brf_message *request, const struct brf_header *extra,
    size_t extra_count);

/**
 * brf_http_call_cancel() - close the connection of a call that has not ended.
 *
 * @done follows with BRF_RUN_NOT_STARTED when nothing was sent yet, else with
 * BRF_RUN_CANCELLED: at once, or when @chunk has returned.
 */
void brf_http_call_cancel(struct brf_http_call *call);

/**
 * brf_http_call_input() - read what the pool has received for @call.
 * @in: all bytes that are not consumed yet
 */
void brf_http_call_input(struct brf_http_call *call, struct brf_buf *in);

/* The connection is given back first, so that a call started in @done can
 * have it. */
void brf_http_call_end(struct brf_http_call *call, enum brf_run_end how);

BRF_END_DECLS

#endif
