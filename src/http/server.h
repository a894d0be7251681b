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
 * The server passes complete requests within the limits of bulrushford.h to
 * a handler, and refuses others with a status, BRF_H_OUTCOME and BRF_H_REASON.
 * It reports a client that disconnects while its request is in progress, on
 * HTTP/1 as well as on HTTP/2.
 *
 * h2o itself makes two refusals without these fields: bytes that are not an
 * HTTP/1 head get a plain 400, and an HTTP/2 stream whose body is over the
 * limit is reset with REFUSED_STREAM, by which the client also knows that the
 * request was not run.
 */

struct brf_http_request;

/**
 * struct brf_http_handler - receives the requests of one listener.
 *
 * Embed it as the first member of the handler's own struct.
 */
struct brf_http_handler {
	const struct brf_http_handler_vt *vt;
};

/**
 * struct brf_http_handler_vt - callbacks of a handler.
 * @handle: called with each complete request; the handler must end it by one
 *	call of brf_http_respond() or brf_http_abort(), now or later
 * @disconnected: the client disconnected before the request was answered; the
 *	server frees the request when the callback returns
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
 * brf_http_loop_new() - create the state that all HTTP servers and clients
 * of a process share.
 * @loop, @timers, @metrics: must outlive the result
 *
 * Free all servers, targets and calls before brf_http_loop_free().  It only
 * starts to close its handles: run @loop until none is left before freeing
 * @loop.
 */
struct brf_http_loop *brf_http_loop_new(
    uv_loop_t *loop, struct brf_timers *timers, struct brf_metrics *metrics);
void brf_http_loop_free(struct brf_http_loop *hl);

/**
 * brf_http_server_new() - listen on @addr; with port 0 the kernel chooses one.
 * @name: "server" label of its metrics: "entry", "egress", "admin"
 * @handler: receives the requests; must outlive the server
 * @port: set to the port in use
 *
 * Return: NULL with BRF_E_BIND when the address can't be bound.
 */
struct brf_http_server *brf_http_server_new(struct brf_http_loop *hl,
    const char *name, const struct sockaddr *addr,
    struct brf_http_handler *handler, uint16_t *port, struct brf_error *err);

/**
 * brf_http_server_stop() - begin a graceful stop: accept no new connections,
 * close idle ones, add "connection: close" to pending HTTP/1 answers and send
 * GOAWAY on HTTP/2.  Requests in progress go on.
 */
void brf_http_server_stop(struct brf_http_server *server);

/* Return: number of open connections. */
size_t brf_http_server_connections(const struct brf_http_server *server);

/* Return: number of answers that their clients may not have received. */
size_t brf_http_server_unsent(const struct brf_http_server *server);

/**
 * brf_http_server_close() - close the listener and all connections; requests in
 * progress are reported as disconnected.  Run the loop until @closed is called,
 * then call brf_http_server_free().
 */
void brf_http_server_close(
    struct brf_http_server *server, void (*closed)(void *arg), void *arg);
void brf_http_server_free(struct brf_http_server *server);

/**
 * brf_http_request_message() - method, path, fields and body.  The request owns
 * the message; take a reference to keep it.  Fields are as the client sent
 * them, without hop-by-hop ones; see brf_http_request_host() for "host".
 */
struct brf_message *brf_http_request_message(
    const struct brf_http_request *request);

/* Return: Host or :authority in lower case without the port; "" if absent. */
const char *brf_http_request_host(const struct brf_http_request *request);

/* Pointer for the handler's use; NULL at first. */
void brf_http_request_set_data(struct brf_http_request *request, void *data);
void *brf_http_request_data(const struct brf_http_request *request);

/**
 * brf_http_respond() - send a complete answer with a content-length.
 * @answer: status, fields and body; the server takes a reference.  Hop-by-hop
 *	fields, "date" and "brf-" fields in it are left out.
 * @extra: @extra_count additional fields; copied
 *
 * Frees the request.
 */
void brf_http_respond(struct brf_http_request *request,
    struct brf_message *answer, const struct brf_header *extra,
    size_t extra_count);

/**
 * brf_respond_json() - brf_http_respond() with a JSON body.
 * @text: the body; moved out, so that it is empty afterwards
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
 * (HTTP/2), so that the client can't take what it received for a complete
 * answer.  Frees the request.
 */
void brf_http_abort(struct brf_http_request *request);

BRF_END_DECLS

#endif
