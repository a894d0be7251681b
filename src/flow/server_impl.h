#ifndef BRF_FLOW_SERVER_IMPL_H
#define BRF_FLOW_SERVER_IMPL_H

#include "flow/server.h"
#include "flow/writer.h"
#include "http/parser.h"

/**
 * DOC: What the files of the server share: server.c listens and stops,
 * server_conn.c reads requests, server_answer.c writes answers.
 */

/**
 * enum brf_flow_conn_state - life of a connection.
 * @BRF_FLOW_CONN_OPEN: requests come, answers go
 * @BRF_FLOW_CONN_LINGER: the last answer is out, and the sending side closed
 * @BRF_FLOW_CONN_CLOSING: the socket is being closed
 */
enum brf_flow_conn_state {
	BRF_FLOW_CONN_OPEN,
	BRF_FLOW_CONN_LINGER,
	BRF_FLOW_CONN_CLOSING
};

/**
 * struct brf_flow_conn - one connection of a caller.
 * @requests: not answered whole, in order
 * @count: of them
 * @input: received and not used
 * @seen: bytes of @input at the last try to read a head
 * @body_remaining: bytes of the body that is being read, with a length
 * @body_bytes: of it so far
 * @since: clock time of the last progress, for the timer
 * @no_more: no further request is read
 * @head_begun: a part of a head is in @input
 */
struct brf_flow_conn {
	uv_tcp_t tcp;
	uv_shutdown_t shutdown;
	struct brf_flow_server *server;
	struct brf_writer writer;
	struct brf_task work;
	struct brf_timer timer;
	struct brf_list link;
	struct brf_list requests;
	size_t count;
	struct brf_buf input;
	size_t last_len;
	struct phr_chunked_decoder decoder;
	uint64_t body_remaining;
	uint64_t body_bytes;
	uint64_t last_progress;
	enum brf_flow_conn_state state;
	bool stop_parsing;
	bool head_begun;
	bool paused;
};

struct brf_flow_server {
	struct brf_flow_server_config config;
	uv_tcp_t listener;
	struct brf_list conns;
	size_t conn_count;
	size_t open;
	bool listening;
	bool listener_closed;
	bool draining;
	bool closing;
	void (*closed)(void *arg);
	void *closed_arg;
	struct brf_metric *connections;
	struct brf_metric *requests;
	struct brf_metric *refused;
};

/* server.c */
void brf_flow_check_closed(struct brf_flow_server *server);

/* server_conn.c */
void brf_flow_conn_accept(
    struct brf_flow_server *server, uv_stream_t *listener);

/* Close at once; open requests end as @end. */
void brf_flow_conn_close(struct brf_flow_conn *c, enum brf_flow_end end);

/* Take @r out of its connection and tell its handler. */
void brf_flow_request_end(struct brf_flow_request *r, enum brf_flow_end end);

/* Hand the first request to the handler if it had to wait for that. */
void brf_flow_dispatch_first(struct brf_flow_conn *c);

/* server_answer.c */
/**
 * brf_flow_write_answers() - write what can be written, in order.
 *
 * Return: false when the connection was closed.
 */
bool brf_flow_write_answers(struct brf_flow_conn *c);

/* An answer of the server's own, without a body; ends the connection. */
void brf_flow_answer_own(struct brf_flow_request *r, int status);

#endif
