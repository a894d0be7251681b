#ifndef BRF_FETCH_H
#define BRF_FETCH_H

#include <sys/socket.h>

#include "base/message.h"
#include "base/timer.h"

/**
 * DOC: Outgoing HTTP/1.1 calls for the store's client and bulrushctl.
 *
 * An answer is delivered whole, within a size limit, or in parts as it arrives,
 * which suits long answers such as the watches of the etcd JSON gateway.
 */

struct brf_http_loop;
struct brf_fetch;

/**
 * struct brf_fetch_answer - result of a call.
 * @status: HTTP status; 0 when the call failed before a head was read
 * @message: the answer's fields; NULL when @status is 0
 * @body: complete body; NULL when the call failed or has a chunk callback
 * @body_len: bytes in @body
 * @opened_at: clock time when the connection was established; 0 when the call
 *	was not sent
 */
struct brf_fetch_answer {
	int status;
	const struct brf_message *message;
	const char *body;
	size_t body_len;
	uint64_t opened_at;
};

/**
 * typedef brf_fetch_done_cb - the call has ended; called exactly once, never
 * before brf_fetch_start() returns, and not after brf_fetch_cancel().
 * @err: NULL on success (any status), else BRF_E_CONNECT (nothing was sent),
 *	BRF_E_TIMEOUT, BRF_E_CLOSED (the answer was lost), BRF_E_HTTP (broken
 *	answer), BRF_E_TOO_LARGE (answer over the limits), or BRF_E_HEADERS (the
 *	path or a field is invalid, nothing was sent).  The call may have taken
 *	effect unless nothing was sent.
 * @answer: never NULL; valid during the callback
 */
typedef void (*brf_fetch_done_cb)(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer);

/**
 * typedef brf_fetch_chunk_cb - called with each part of the body, in order; a
 * part may hold a piece of a JSON line or several lines.  brf_fetch_cancel()
 * may be called from it.
 * @status: HTTP status of the answer
 */
typedef void (*brf_fetch_chunk_cb)(
    void *arg, int status, const char *data, size_t len);

/**
 * struct brf_fetch_call - one call; copied by brf_fetch_start().
 * @addr: address of the server, AF_INET or AF_INET6
 * @method: such as "POST"
 * @path: path with query
 * @host: value of the "host" field; NULL for @addr
 * @headers: @header_count fields besides host and content-length; may be NULL
 * @body: @body_len bytes; may be NULL
 * @timeout_us: maximum duration of the whole call, connecting included; with
 *	@chunk the maximum time without received data instead.  Microseconds,
 *	0 for no limit.
 * @body_max: limit of a body without @chunk, bytes; 0 for BRF_BODY_MAX
 * @fresh: use a new connection; idle ones may have gone silent
 * @chunk: called with parts of the body as they arrive; NULL for the complete
 *	body in @done
 * @done: see brf_fetch_done_cb
 * @arg: passed to the callbacks
 */
struct brf_fetch_call {
	const struct sockaddr *addr;
	const char *method;
	const char *path;
	const char *host;
	const struct brf_header *headers;
	size_t header_count;
	const char *body;
	size_t body_len;
	uint64_t timeout_us;
	size_t body_max;
	bool fresh;
	brf_fetch_chunk_cb chunk;
	brf_fetch_done_cb done;
	void *arg;
};

BRF_BEGIN_DECLS

/**
 * brf_fetch_start() - start a call.
 *
 * Return: a handle for brf_fetch_cancel(), valid until @done is called.
 */
struct brf_fetch *brf_fetch_start(
    struct brf_http_loop *hl, const struct brf_fetch_call *call);

/**
 * brf_fetch_cancel() - close the connection of a call; no callback follows
 * and the handle becomes invalid.
 */
void brf_fetch_cancel(struct brf_fetch *fetch);

/* Return: clock time when the connection of an open call was established; 0
 * before the call is sent. */
uint64_t brf_fetch_opened_at(const struct brf_fetch *fetch);

BRF_END_DECLS

#endif
