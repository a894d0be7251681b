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
 * DOC: HTTP/1.1 towards callers, as streams.
 *
 * Bodies pass through pipes in both directions and are never held whole.
 * Requests behind one that is still running are read and given to the handler
 * within a bound, and answered in order; one that must not run ahead waits
 * until it is the first.  The caller's leaving is noticed all the while.
 *
 * What can't be a request is answered here: 400, 408, 413, 431 and 501.  Such
 * an answer is followed by a half-close, and what the caller still sends is
 * read and dropped for a bounded while, so that the answer arrives.
 */

/**
 * struct brf_flow_limits - bounds on what a caller may send; may change.
 * @head_bytes: of a request's head
 * @body_bytes: of its body
 * @head_us: for a head to come whole after its first byte, microseconds
 * @idle_us: without a request, or without a byte of a body, microseconds
 */
struct brf_flow_limits {
	uint64_t head_bytes;
	uint64_t body_bytes;
	uint64_t head_timeout_us;
	uint64_t idle_timeout_us;
};

/**
 * enum brf_flow_end - how a request ended.
 * @BRF_FLOW_SENT: the kernel has the whole answer
 * @BRF_FLOW_DISCONNECTED: the caller left before
 * @BRF_FLOW_ABORTED: the answer broke off, and so did the connection
 * @BRF_FLOW_REFUSED: its body broke a bound; the server has answered
 */
enum brf_flow_end {
	BRF_FLOW_SENT,
	BRF_FLOW_DISCONNECTED,
	BRF_FLOW_ABORTED,
	BRF_FLOW_REFUSED
};

struct brf_flow_conn;

/**
 * struct brf_flow_request - one request; the server's.
 * @head: as it was read
 * @body: comes in here; the handler sets its reader
 * @arrived: clock time at which the head was whole
 * @data: the handler's
 *
 * The other members are the server's.
 */
struct brf_flow_request {
	struct brf_request_head head;
	struct brf_pipe body;
	uint64_t arrived;
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
 * struct brf_flow_handler_vt - takes the requests of one listener.
 * @may_run_ahead: whether a request may be given to @request while others
 *	before it on the connection are not answered yet
 * @request: answer it now or later
 * @ended: the last word on a request that @request got; it and what it
 *	points to go when this returns
 * @refused: the server answered bytes that became no request; @bytes of them
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
 * struct brf_flow_server_config - what brf_flow_server_new() needs; all of it
 * outlives the server.
 * @name: in metrics
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
 * brf_flow_server_new() - listen at @addr; port 0 lets the kernel choose.
 * @port: filled with the port in use
 *
 * Return: NULL with BRF_E_BIND.
 */
struct brf_flow_server *brf_flow_server_new(
    const struct brf_flow_server_config *config, const struct sockaddr *addr,
    uint16_t *port, struct brf_error *err);

/**
 * brf_flow_answer() - begin the answer to @request.
 * @fields: block of fields, @fields_len bytes
 * @kind: BRF_BODY_NONE, or how much is known of the body's length
 * @length: with BRF_BODY_LENGTH
 * @body: the server becomes its reader; NULL with BRF_BODY_NONE.  It stays
 *	valid until @ended is called.
 */
void brf_flow_answer(struct brf_flow_request *request, int status,
    const char *fields, size_t fields_len, enum brf_body_kind kind,
    uint64_t length, struct brf_pipe *body);

/**
 * brf_flow_drain() - from now on each answer ends its connection.
 */
void brf_flow_drain(struct brf_flow_server *server);

/* Requests that are not answered whole. */
size_t brf_flow_open_requests(const struct brf_flow_server *server);

/**
 * brf_flow_server_close() - close all connections; run the loop until @closed
 * is called, then brf_flow_server_free().
 */
void brf_flow_server_close(
    struct brf_flow_server *server, void (*closed)(void *arg), void *arg);
void brf_flow_server_free(struct brf_flow_server *server);

BRF_END_DECLS

#endif
