#ifndef BRF_FLOW_TARGET_H
#define BRF_FLOW_TARGET_H

#include <sys/socket.h>

#include <uv.h>

#include "base/error.h"
#include "base/metrics.h"
#include "base/timer.h"
#include "flow/head.h"
#include "flow/pipe.h"

/**
 * DOC: HTTP/1.1 towards one target, as streams.
 *
 * Connections are kept and reused, the last used first.  An answer that names
 * another request's id is one that was given up before, or was given twice: it
 * is read to its end and dropped.  Bytes that come while nothing is asked end
 * their connection.
 */

/**
 * enum brf_flow_run_state - how far a run is.
 * @BRF_FLOW_RUN_WAITING: no byte has left
 * @BRF_FLOW_RUN_SENT: a byte may have left
 * @BRF_FLOW_RUN_ANSWERED: there is a head of an answer; its body comes in
 *	the pipe
 * @BRF_FLOW_RUN_FAILED: there will be no answer
 */
enum brf_flow_run_state {
	BRF_FLOW_RUN_WAITING,
	BRF_FLOW_RUN_SENT,
	BRF_FLOW_RUN_ANSWERED,
	BRF_FLOW_RUN_FAILED
};

struct brf_flow_target_conn;

/**
 * struct brf_flow_run - one request on a target; embedded by its owner, and
 * zeroed before it is filled.
 * @owner: posted when @state changes, and when an answer has ended
 * @head: request line and fields, up to the blank line
 * @body: of the request; NULL when there is none.  The target becomes its
 *	reader.
 * @framing: of the body; BRF_BODY_CHUNKED has it sent in chunks
 * @id: the request's id; empty for none
 * @to_head: the method is HEAD
 * @unique: it must not meet a connection that may be stale
 * @not_started: with BRF_FLOW_RUN_FAILED: no byte has left
 * @broken: with BRF_FLOW_RUN_FAILED: what came was no answer
 * @answer: with BRF_FLOW_RUN_ANSWERED
 * @out: the owner's; gets the body of the answer, and is broken when that is
 *	not whole
 * @sent_at: clock time when the head left
 * @reused: it went over a kept connection
 */
struct brf_flow_run {
	struct brf_task *owner;
	struct brf_buf head;
	struct brf_pipe *body;
	enum brf_body_kind framing;
	const char *id;
	bool to_head;
	bool avoid_stale;
	enum brf_flow_run_state state;
	bool not_sent;
	bool invalid_answer;
	bool reused;
	struct brf_answer_head answer;
	struct brf_pipe *out;
	uint64_t sent_at;
	struct brf_flow_target_conn *conn;
};

/**
 * struct brf_flow_target_config - what brf_flow_target_new() needs; all of it
 * outlives the target.
 * @connections: most of them at once
 */
struct brf_flow_target_config {
	uv_loop_t *loop;
	struct brf_tasks *tasks;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	const struct brf_field_names *names;
	uint32_t max_connections;
};

struct brf_flow_target;

BRF_BEGIN_DECLS

struct brf_flow_target *brf_flow_target_new(
    const struct brf_flow_target_config *config, const struct sockaddr *addr);

/* Another bound on connections. */
void brf_flow_target_set_max_connections(
    struct brf_flow_target *t, uint32_t connections);

/**
 * brf_flow_target_run() - send @run's request.
 */
void brf_flow_target_run(struct brf_flow_target *t, struct brf_flow_run *run);

/**
 * brf_flow_run_cancel() - close the connection of a run that is open, which is
 * the target's word to stop.  The run is its owner's again.
 */
void brf_flow_run_cancel(struct brf_flow_run *run);

/* Frees what a run holds but @out; it must not be open. */
void brf_flow_run_free(struct brf_flow_run *run);

/* Close kept connections: the process behind them is another one now. */
void brf_flow_target_close_idle(struct brf_flow_target *t);

/**
 * brf_flow_target_close() - close all connections; run the loop until @closed
 * is called, then brf_flow_target_free().
 */
void brf_flow_target_close(
    struct brf_flow_target *t, void (*closed)(void *arg), void *arg);
void brf_flow_target_free(struct brf_flow_target *t);

BRF_END_DECLS

#endif
