#ifndef BRF_FLOW_SERVER_IMPL_H
#define BRF_FLOW_SERVER_IMPL_H

#include "http/chunks.h"
#include "flow/server.h"
#include "flow/writer.h"

/**
 * DOC: Declarations shared by the server's files: server.c listens and closes,
 * server_conn.c reads requests, server_answer.c writes answers.
 */

/**
 * enum brf_flow_conn_state - state of a connection.
 * @BRF_FLOW_CONN_OPEN: requests are read and answered
 * @BRF_FLOW_CONN_LINGER: the last answer was passed to the writer; once it is
 *	written, the sending side is shut down; input is discarded
 * @BRF_FLOW_CONN_CLOSING: waiting for the socket's close callback
 */
enum brf_flow_conn_state {
	BRF_FLOW_CONN_OPEN,
	BRF_FLOW_CONN_LINGER,
	BRF_FLOW_CONN_CLOSING
};

/**
 * struct brf_flow_conn - one connection of a client.
 * @number: counted from 1 for each server
 * @requests: in order of arrival; removed once completely answered
 * @count: length of @requests
 * @input: bytes received but not yet used
 * @last_len: length of @input at the previous attempt to parse a head
 * @body_remaining: bytes still to be read of a body with BRF_BODY_LENGTH
 * @body_bytes: decoded bytes so far of a body with BRF_BODY_CHUNKED
 * @last_progress: clock time from which @timer counts
 * @stop_parsing: no further request is parsed
 * @head_begun: @input starts with an incomplete head
 * @paused: reading from the socket is stopped
 * @idle_checked: the idle time is over, and input was looked for since
 * @sending_ended: the sending side was shut down
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
	uint64_t number;
	size_t count;
	struct brf_buf input;
	size_t last_len;
	struct brf_chunks chunks;
	uint64_t body_remaining;
	uint64_t body_bytes;
	uint64_t last_progress;
	enum brf_flow_conn_state state;
	bool stop_parsing;
	bool head_begun;
	bool paused;
	bool idle_checked;
	bool sending_ended;
};

struct brf_flow_server {
	struct brf_flow_server_config config;
	uv_tcp_t listener;
	struct brf_list conns;
	size_t conn_count;
	uint64_t conn_number;
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
	struct brf_metric *unanswered[BRF_FLOW_END_COUNT];
};

/* server.c */
void brf_flow_check_closed(struct brf_flow_server *server);

/* server_conn.c */
void brf_flow_conn_accept(
    struct brf_flow_server *server, uv_stream_t *listener);

/* Close immediately; open requests end with @end. */
void brf_flow_conn_close(struct brf_flow_conn *c, enum brf_flow_end end);

/* Remove @r from its connection, call the handler's ended(), and free @r. */
void brf_flow_request_end(struct brf_flow_request *r, enum brf_flow_end end);

/* Dispatch the first request if it had to wait for earlier answers. */
void brf_flow_dispatch_first(struct brf_flow_conn *c);

/* server_answer.c */
/**
 * brf_flow_write_answers() - write as much of the answers, in order, as the
 * writer takes.
 *
 * Return: false if the connection was closed.
 */
bool brf_flow_write_answers(struct brf_flow_conn *c);

/* Answer @r without a body and close the connection afterwards. */
void brf_flow_answer_own(struct brf_flow_request *r, int status);

#endif
