#ifndef BRF_HTTP_CALL_H
#define BRF_HTTP_CALL_H

#include <h2o.h>

#include "http/client.h"
#include "http/loop.h"

/**
 * DOC: One HTTP/1.1 call by h2o's client; for src/http only.
 *
 * h2o sends, reads and reuses connections.  What it doesn't check is checked
 * here: an answer is whole only when its own framing proves it, so one with
 * neither content-length nor chunked coding is broken unless its status or
 * method has no body (RFC 9112, section 6.3).  Both at once, or two lengths
 * that differ, are broken as well.
 *
 * A kept-alive connection is tested for the peer's close just before reuse.
 * When it is lost later than that, it can't be proved that the peer did not
 * read the request: BRF_RUN_LOST.
 */

struct brf_call_pool {
	struct brf_http_loop *hl;
	h2o_socketpool_t sockets;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t ctx;
	char authority[64]; /* value of "host" */
};

/**
 * struct brf_call - one call; embedded by its owner.
 * @done: called exactly once, possibly before brf_call_start() returns; the
 *	call may be freed in it.  It runs inside h2o: a call that is started in
 *	it opens a new connection, as the old one is not back in the pool yet
 * @chunk: gets the body as it comes; NULL collects it in @answer
 * @body_max: largest whole body, bytes
 * @answer: status, fields and, without @chunk, body; valid in @done
 */
struct brf_call {
	struct brf_call_pool *pool;
	void (*done)(struct brf_call *call, enum brf_run_end end);
	void (*chunk)(struct brf_call *call, const char *data, size_t len);
	size_t body_max;
	struct brf_message *answer;
	h2o_http1client_t *client;
	struct brf_message *request;
	struct brf_buf head;
	h2o_iovec_t bufs[2];
	bool sent;
	bool in_chunk;
	bool cancelled;
};

BRF_BEGIN_DECLS

/**
 * brf_call_pool_new() - connections to @addr.
 * @idle_ms: unused connections are closed after this, milliseconds
 *
 * Return: to be given to brf_call_pool_free() when no call is open.
 */
struct brf_call_pool *brf_call_pool_new(
    struct brf_http_loop *hl, const struct sockaddr *addr, uint64_t idle_ms);
void brf_call_pool_free(struct brf_call_pool *pool);

/**
 * brf_call_start() - send @request; a reference is taken.
 * @call: zeroed but for @done, @chunk and @body_max
 * @extra: @extra_count fields more than the request's own
 */
void brf_call_start(struct brf_call *call, struct brf_call_pool *pool,
    struct brf_message *request, const struct brf_header *extra,
    size_t extra_count);

/**
 * brf_call_cancel() - close the connection of a call that has not ended.
 *
 * @done follows with BRF_RUN_NOT_STARTED when nothing was sent yet, else with
 * BRF_RUN_CANCELLED: at once, or when @chunk has returned.
 */
void brf_call_cancel(struct brf_call *call);

BRF_END_DECLS

#endif
