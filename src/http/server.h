#ifndef BRF_SERVER_H
#define BRF_SERVER_H

#include <sys/socket.h>

#include <uv.h>

#include "base/message.h"
#include "base/metrics.h"
#include "base/timer.h"

/**
 * DOC: HTTP/1.1 and HTTP/2 server, by h2o on libuv.
 *
 * Reads whole requests within the bounds of bulrushford.h, refuses others
 * with a typed answer, and reports when the caller has gone, on HTTP/1 too
 * while its request is in progress.
 *
 * Two refusals are h2o's own, and carry no field of ours: bytes that are no
 * HTTP/1 head get a plain 400, and an HTTP/2 body over the bound has its
 * stream reset with REFUSED_STREAM, which says as well that nothing was run.
 */

struct brf_http_request;

/**
 * struct brf_http_handler - takes the requests of one listener.
 *
 * Embed it in the first member of the handler's own struct.
 */
struct brf_http_handler {
	const struct brf_http_handler_vt *vt;
};

/**
 * struct brf_http_handler_vt - behaviour of a handler.
 * @handle: a whole request is there; brf_http_respond() or brf_http_abort()
 *	must follow once, now or later
 * @gone: the caller went away before it was answered; the request is freed
 *	after the call, and must not be used again
 */
struct brf_http_handler_vt {
	void (*handle)(
	    struct brf_http_handler *handler, struct brf_http_request *request);
	void (*disconnected)(
	    struct brf_http_handler *handler, struct brf_http_request *request);
};

struct brf_http_loop;
struct brf_http_server;

BRF_BEGIN_DECLS

/**
 * brf_http_loop_new() - what servers and clients of a process share.
 *
 * brf_http_loop_free() closes handles of @loop: run it until none is left,
 * before its memory goes.  Servers, targets and calls must be gone before.
 */
struct brf_http_loop *brf_http_loop_new(
    uv_loop_t *loop, struct brf_timers *timers, struct brf_metrics *metrics);
void brf_http_loop_free(struct brf_http_loop *hl);

/**
 * brf_http_server_new() - listen on @addr; port 0 lets the kernel choose.
 * @name: label of its counters: "entry", "egress", "admin"
 * @port: filled with the port in use
 */
struct brf_http_server *brf_http_server_new(struct brf_http_loop *hl,
    const char *name, const struct sockaddr *addr,
    struct brf_http_handler *handler, uint16_t *port, struct brf_error *err);

/**
 * brf_http_server_stop() - graceful stop: no new connections, "connection:
 * close" on answers that are due, GOAWAY on HTTP/2, idle connections closed.
 */
void brf_http_server_stop(struct brf_http_server *server);

/* Connections that are still open. */
size_t brf_http_server_connections(const struct brf_http_server *server);

/**
 * brf_http_server_close() - close the listener and all connections; run the
 * loop until @closed is called, then brf_http_server_free().
 */
void brf_http_server_close(
    struct brf_http_server *server, void (*closed)(void *arg), void *arg);
void brf_http_server_free(struct brf_http_server *server);

/**
 * brf_http_request_message() - method, path, fields and body; owned by the
 * request, reference it to keep it.  Fields are as the caller sent them,
 * less hop-by-hop ones; "host" is kept by brf_http_request_host().
 */
struct brf_message *brf_http_request_message(
    const struct brf_http_request *request);

/* Host or :authority, without the port; empty when absent. */
const char *brf_http_request_host(const struct brf_http_request *request);

/* A pointer of the handler's own, NULL at first. */
void brf_http_request_set_data(struct brf_http_request *request, void *data);
void *brf_http_request_data(const struct brf_http_request *request);

/**
 * brf_http_respond() - send a whole answer with a content-length.
 * @answer: status, fields and body; the server takes a reference
 * @extra: @extra_count more fields; copied
 *
 * The request is freed; must not be used again.
 */
void brf_http_respond(struct brf_http_request *request,
    struct brf_message *answer, const struct brf_header *extra,
    size_t extra_count);

/**
 * brf_respond_json() - brf_http_respond() with a JSON body.
 * @text: taken over, and emptied
 */
void brf_respond_json(
    struct brf_http_request *request, int status, struct brf_buf *text);

/**
 * brf_respond_metrics() - brf_http_respond() with all of @metrics, in
 * Prometheus' text format.
 */
void brf_respond_metrics(
    struct brf_http_request *request, const struct brf_metrics *metrics);

/**
 * brf_respond_status() - brf_http_respond() without a body.
 */
void brf_respond_status(struct brf_http_request *request, int status);

/**
 * brf_http_abort() - close the connection (HTTP/1) or reset the stream
 * (HTTP/2), so that the caller can't take what it has for a whole answer.
 */
void brf_http_abort(struct brf_http_request *request);

BRF_END_DECLS

#endif
