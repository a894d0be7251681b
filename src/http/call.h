#ifndef BRF_HTTP_CALL_H
#define BRF_HTTP_CALL_H

#include "http/chunks.h"
#include "http/client.h"
#include "http/pool.h"

/**
 * DOC: One HTTP/1.1 call over libuv, parsed by libh2o; for src/http only.
 *
 * h2o 2.2's own http1client can't be used: it accepts a chunked answer that
 * ends between two chunks as complete, aborts the process by an assertion on
 * an invalid content-length, doesn't limit the size of a head, and doesn't
 * report whether any byte of the request was sent.  So this module uses only
 * h2o's parsers and manages connections itself.
 *
 * An answer is complete only when its framing proves it.  An answer with
 * neither content-length nor chunked coding is broken unless its status or the
 * method implies no body, since the end of a connection doesn't show whether
 * the body is complete (RFC 9112, section 6.3).  An answer with both, or with
 * two different lengths, is broken as well.
 *
 * A kept-alive connection that the peer has closed is discarded before reuse.
 * If the first write on a reused connection fails, the request is sent on
 * another one.  If the connection is lost later, the peer may have read the
 * request, and the call ends with BRF_RUN_LOST.
 */

/**
 * struct brf_http_call - one call; embedded in its owner's struct.
 * @done: called exactly once, possibly before brf_http_call_start() returns;
 *	the call may be freed in it
 * @chunk: called with each part of the body as it arrives; NULL collects the
 *	body in @answer
 * @body_max: limit of a collected body, bytes
 * @host: value of the "host" field, read by brf_http_call_start(); NULL for
 *	the pool's address
 * @fresh: use a new connection, whatever connections are idle
 * @opened_at: clock time when the connection was established on which the call
 *	was sent; 0 before that
 * @answer: status, fields and, without @chunk, body; valid in @done, also
 *	when the call failed
 * @conn: NULL while the call has no connection
 */
struct brf_http_call {
	void (*done)(struct brf_http_call *call, enum brf_run_end end);
	void (*chunk)(struct brf_http_call *call, const char *data, size_t len);
	size_t body_max;
	const char *host;
	bool fresh;
	uint64_t opened_at;
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
	uint64_t body_left; /* bytes to come, with a content-length */
	struct brf_chunks chunks;
	size_t parsed;	  /* length of an incomplete head when last parsed */
	unsigned interim; /* answers before the final one */
	bool reusable;	  /* the connection may be kept alive */
	bool sent;	  /* a byte of the request may have been sent */
	bool in_chunk;	  /* @chunk is running */
	bool cancelled;
};

BRF_BEGIN_DECLS

/**
 * brf_http_call_start() - send @request; a reference is taken.
 * @call: zeroed except for @done, @chunk, @body_max, @host and @fresh
 * @extra: @extra_count fields sent after the request's own
 */
void brf_http_call_start(struct brf_http_call *call, struct brf_http_pool *pool,
    struct brf_message *request, const struct brf_header *extra,
    size_t extra_count);

/**
 * brf_http_call_cancel() - close the connection of a call that has not ended.
 *
 * @done is called with BRF_RUN_NOT_STARTED if nothing was sent yet, else with
 * BRF_RUN_CANCELLED: at once, or after @chunk returns when called from it.
 */
void brf_http_call_cancel(struct brf_http_call *call);

/**
 * brf_http_call_input() - process bytes received for @call; used by the pool.
 * @in: all bytes not consumed yet; processed bytes are removed
 */
void brf_http_call_input(struct brf_http_call *call, struct brf_buf *in);

/**
 * brf_http_call_end() - end a call and call its @done; used by the pool.
 *
 * The connection is released first, so that a call started in @done can use
 * it.
 */
void brf_http_call_end(struct brf_http_call *call, enum brf_run_end how);

BRF_END_DECLS

#endif
