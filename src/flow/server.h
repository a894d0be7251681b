#ifndef BRF_FLOW_SERVER_H
#define BRF_FLOW_SERVER_H

#include <sys/socket.h>

#include <uv.h>

#include "base/error.h"
#include "base/metrics.h"
#include "base/timer.h"
#include "flow/head.h"
#include "flow/pipe.h"

/**
 * DOC: HTTP/1.1 server with streamed bodies.
 *
 * Bodies pass through pipes in both directions and are never buffered whole.
 * A bounded number of pipelined requests is dispatched to the handler at once;
 * answers are written in order.  A request that must not run ahead waits until
 * it is the first of its connection.  None is dispatched behind an answer that
 * announces the end of the connection, nor ahead of an answer that has begun
 * and is not complete: if that breaks off, the connection can only be closed.
 * A disconnect of the client is noticed at any time.
 *
 * Malformed, too large and too slow requests are answered by the server itself:
 * 400, 408, 413, 431 and 501.  After such an answer the server shuts down its
 * sending side and discards input for a limited time: closing at once could
 * reset the connection before the client has read the answer.
 */

/**
 * struct brf_flow_limits - limits on requests; may change at run time.
 * @head_bytes: maximum size of a request's head
 * @body_bytes: maximum size of a request's body
 * @head_timeout_us: from the first byte of a head to its last, microseconds
 * @idle_timeout_us: between requests, and between reads of a body,
 *	microseconds
 */
struct brf_flow_limits {
	uint64_t head_bytes;
	uint64_t body_bytes;
	uint64_t head_timeout_us;
	uint64_t idle_timeout_us;
};

/**
 * enum brf_flow_end - how a request ended.
 * @BRF_FLOW_SENT: the whole answer was passed to the writer
 * @BRF_FLOW_DISCONNECTED: the client disconnected before
 * @BRF_FLOW_REFUSED: the body was malformed, too large or too slow, and the
 *	server has answered
 * @BRF_FLOW_BROKEN: the body of the answer broke off
 * @BRF_FLOW_EARLIER_BROKEN: the body of an earlier answer on the connection
 *	broke off
 * @BRF_FLOW_BEHIND_CLOSE: an earlier answer was the connection's last
 * @BRF_FLOW_ABORTED: the server closed the connection for another reason
 *
 * From BRF_FLOW_BROKEN on, the connection was closed without a complete answer.
 */
enum brf_flow_end {
	BRF_FLOW_SENT,
	BRF_FLOW_DISCONNECTED,
	BRF_FLOW_REFUSED,
	BRF_FLOW_BROKEN,
	BRF_FLOW_EARLIER_BROKEN,
	BRF_FLOW_BEHIND_CLOSE,
	BRF_FLOW_ABORTED
};
#define BRF_FLOW_END_COUNT (BRF_FLOW_ABORTED + 1)

struct brf_flow_conn;

/**
 * struct brf_flow_request - one request; owned by the server.
 * @head: parsed head
 * @body: filled while the body is received; the handler sets its reader
 * @arrived: clock time when the head was complete, microseconds
 * @connection: number of the connection, counted from 1 for each server
 * @data: for the handler
 *
 * The other members are private to the server.
 */
struct brf_flow_request {
	struct brf_request_head head;
	struct brf_pipe body;
	uint64_t arrived;
	uint64_t connection;
	void *data;
	struct brf_flow_conn *conn;
	struct brf_list link;
	struct brf_buf head_text;
	struct brf_pipe *answer;
	uint64_t remaining;
	enum brf_body_kind framing;
	bool body_read;
	bool dispatched;
	bool answered;
	bool head_written;
	bool keep_alive;
};

struct brf_flow_handler;

/**
 * struct brf_flow_handler_vt - handler of the requests of one listener.
 * @may_run_ahead: whether to pass the request to @request while earlier ones of
 *	its connection are unanswered
 * @request: handle a request; brf_flow_answer() may be called now or later
 * @ended: called once for each request that was passed to @request; the server
 *	frees the request when this returns
 * @refused: the server itself has answered a request with @status
 */
struct brf_flow_handler_vt {
	bool (*may_run_ahead)(struct brf_flow_handler *handler,
	    const struct brf_flow_request *request);
	void (*request)(
	    struct brf_flow_handler *handler, struct brf_flow_request *request);
	void (*ended)(struct brf_flow_handler *handler,
	    struct brf_flow_request *request, enum brf_flow_end end);
	void (*refused)(struct brf_flow_handler *handler, int status);
};

struct brf_flow_handler {
	const struct brf_flow_handler_vt *vt;
};

/**
 * struct brf_flow_server_config - parameters of brf_flow_server_new().  All
 * pointers must outlive the server.
 * @name: value of the metrics' label "server"
 */
struct brf_flow_server_config {
	uv_loop_t *loop;
	struct brf_tasks *tasks;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	const struct brf_field_names *names;
	const struct brf_flow_limits *limits;
	struct brf_flow_handler *handler;
	const char *name;
};

struct brf_flow_server;

BRF_BEGIN_DECLS

/**
 * brf_flow_server_new() - listen at @addr; with port 0 the kernel chooses one.
 * @port: filled with the port in use
 *
 * Return: the server, or NULL with BRF_E_BIND.
 */
struct brf_flow_server *brf_flow_server_new(
    const struct brf_flow_server_config *config, const struct sockaddr *addr,
    uint16_t *port, struct brf_error *err);

/**
 * brf_flow_answer() - start the answer to @request; call once per request.
 * @fields: block of fields, @fields_len bytes; copied
 * @kind: how the body is delimited; with BRF_BODY_CHUNKED and BRF_BODY_CLOSE it
 *	is sent in chunks, to an HTTP/1.0 client until the connection's end
 * @length: bytes of the body, with BRF_BODY_LENGTH
 * @body: the server becomes its reader; NULL with BRF_BODY_NONE.  The handler
 *	keeps it valid until its ended() is called.
 */
void brf_flow_answer(struct brf_flow_request *request, int status,
    const char *fields, size_t fields_len, enum brf_body_kind kind,
    uint64_t length, struct brf_pipe *body);

/**
 * brf_flow_is_followed() - whether later requests of the connection run.
 *
 * If the body of @request's answer breaks off after its head was sent, they
 * end without an answer.
 */
bool brf_flow_is_followed(const struct brf_flow_request *request);

/**
 * brf_flow_drain() - from now on, close each connection after the answer to
 * the last request read from it.
 */
void brf_flow_drain(struct brf_flow_server *server);

/* Number of requests whose answers are not complete. */
size_t brf_flow_open_requests(const struct brf_flow_server *server);

/* Number of connections with bytes of answers that the kernel has not
 * accepted. */
size_t brf_flow_unsent(const struct brf_flow_server *server);

/**
 * brf_flow_server_close() - stop listening and close all connections.
 *
 * Run the loop until @closed is called, then call brf_flow_server_free().
 */
void brf_flow_server_close(
    struct brf_flow_server *server, void (*closed)(void *arg), void *arg);
void brf_flow_server_free(struct brf_flow_server *server);

BRF_END_DECLS

#endif
