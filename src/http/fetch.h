#ifndef BRF_FETCH_H
#define BRF_FETCH_H

#include <sys/socket.h>

#include "base/message.h"
#include "base/timer.h"

/**
 * DOC: Outgoing HTTP/1.1 calls for the store's client and bulrushctl.
 *
 * Whole answers within a bound, or the body as it comes for long answers
 * such as the watches of the etcd JSON gateway.
 */

struct brf_http_loop;
struct brf_fetch;

/**
 * struct brf_fetch_answer - what came back.
 * @status: HTTP status; 0 when the call failed before a head was read
 * @body: whole body; NULL when the call failed, and with a chunk callback
 * @body_len: bytes of @body
 * @message: the answer's fields; NULL when @status is 0
 */
struct brf_fetch_answer {
	int status;
	const struct brf_message *message;
	const char *body;
	size_t body_len;
};

/**
 * typedef brf_fetch_done_cb - the call has ended; called exactly once, never
 * before brf_fetch_start() returns, and not after brf_fetch_cancel().
 * @err: NULL on success (any status), else BRF_E_CONNECT (nothing was sent),
 *	BRF_E_TIMEOUT, BRF_E_CLOSED (the answer was lost; the call may have
 *	taken effect), BRF_E_HTTP (broken answer; likewise), BRF_E_TOO_LARGE or
 *	BRF_E_HEADERS (the path or a field can't be sent; nothing was)
 * @answer: never NULL; valid during the call
 */
typedef void (*brf_fetch_done_cb)(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer);

/**
 * typedef brf_fetch_chunk_cb - bytes of the body, in order; may hold a part
 * of a JSON line or several.  The call may be cancelled from it.
 * @status: HTTP status of the answer
 */
typedef void (*brf_fetch_chunk_cb)(
    void *arg, int status, const char *data, size_t len);

/**
 * struct brf_fetch_call - one call; copied by brf_fetch_start().
 * @addr: address of the server, AF_INET or AF_INET6
 * @method: such as "POST"
 * @path: with query
 * @host: value of the "host" field; NULL for @addr
 * @headers: @header_count fields besides host and content-length; may be NULL
 * @body: @body_len bytes; may be NULL
 * @timeout_us: bound of the whole call, connecting included; with @chunk the
 *	longest silence instead.  0 for none.
 * @body_max: largest whole answer, bytes; 0 for BRF_BODY_MAX
 * @chunk: NULL for a whole answer; else gets the body as it comes
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
	brf_fetch_chunk_cb chunk;
	brf_fetch_done_cb done;
	void *arg;
};

BRF_BEGIN_DECLS

/**
 * brf_fetch_start() - make a call.
 *
 * Return: a handle for brf_fetch_cancel(), valid until @done is called.
 */
struct brf_fetch *brf_fetch_start(
    struct brf_http_loop *hl, const struct brf_fetch_call *call);

/**
 * brf_fetch_cancel() - close the connection; no callback follows.
 */
void brf_fetch_cancel(struct brf_fetch *fetch);

BRF_END_DECLS

#endif
