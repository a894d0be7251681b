#ifndef BRF_FLOW_TARGET_H
#define BRF_FLOW_TARGET_H

#include <sys/socket.h>

#include <uv.h>

#include "base/error.h"
#include "base/metrics.h"
#include "base/request_key.h"
#include "base/timer.h"
#include "flow/head.h"
#include "flow/pipe.h"

/**
 * DOC: HTTP/1.1 client of one target, with streamed bodies.
 *
 * Connections are reused, the most recently used one first.  An answer with
 * another request's id belongs to a cancelled request or is a duplicate: it is
 * read to its end and discarded.  Unsolicited bytes on an idle connection close
 * the connection.
 */

/**
 * enum brf_flow_run_state - progress of a run.
 * @BRF_FLOW_RUN_WAITING: no byte was sent
 * @BRF_FLOW_RUN_SENT: some bytes may have been sent
 * @BRF_FLOW_RUN_ANSWERED: the head of the answer was received; its body follows
 *	in the pipe
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
 * struct brf_flow_run - one request sent to a target; embedded by its owner,
 * which zeroes it before filling it.
 * @owner: posted when @state changes and when the answer has ended
 * @head: request line and fields, with the blank line
 * @body: body of the request; NULL for none.  The target becomes its reader.
 * @framing: how @body is sent: in chunks with BRF_BODY_CHUNKED, else as it is
 * @id: id of the request; empty for none
 * @to_head: the method is HEAD
 * @avoid_stale: use no connection that has been idle for long, since the target
 *	may close it meanwhile and the request must not be sent twice
 * @not_sent: with BRF_FLOW_RUN_FAILED: no byte was sent
 * @invalid_answer: with BRF_FLOW_RUN_FAILED: the bytes received were not a
 *	valid answer
 * @disconnected: the target closed or reset the connection before the answer
 *	was complete
 * @reused: the request was sent on a reused connection
 * @answer: head of the answer, with BRF_FLOW_RUN_ANSWERED
 * @out: the owner's pipe for the body of the answer; broken if the body is
 *	truncated
 * @sent_at: clock time when the head was sent, microseconds
 * @body_hash: of the part of @body that was sent; freed by
 *	brf_flow_run_free()
 * @body_sent: @body was sent completely
 * @conn: private to the target
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
	bool disconnected;
	bool reused;
	struct brf_answer_head answer;
	struct brf_pipe *out;
	uint64_t sent_at;
	struct brf_body_hash body_hash;
	bool body_sent;
	struct brf_flow_target_conn *conn;
};

/**
 * struct brf_flow_target_config - parameters of brf_flow_target_new().  All
 * pointers must outlive the target.
 * @max_connections: maximum number of open connections
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

/* Create a client for the IPv4 address @addr; connects when a run needs it. */
struct brf_flow_target *brf_flow_target_new(
    const struct brf_flow_target_config *config, const struct sockaddr *addr);

/* Change the limit; open connections beyond it stay open. */
void brf_flow_target_set_max_connections(
    struct brf_flow_target *t, uint32_t max_connections);

/**
 * brf_flow_target_run() - start @run on an idle or a new connection.
 *
 * If there is neither, @run fails with @not_sent.  The owner learns the result
 * by its task, never from within this call.
 */
void brf_flow_target_run(struct brf_flow_target *t, struct brf_flow_run *run);

/**
 * brf_flow_run_cancel() - end a run; does nothing to one that has ended.
 *
 * Closes the connection of an open run, which tells the target to stop.  The
 * target doesn't touch @run or its pipes afterwards.
 */
void brf_flow_run_cancel(struct brf_flow_run *run);

/* Free the heads of a run, which must not be open; @out remains. */
void brf_flow_run_free(struct brf_flow_run *run);

/* Whether a connection is open that the target has not closed. */
bool brf_flow_target_is_connected(const struct brf_flow_target *t);

/* Close idle connections, for a target that was replaced by a new process. */
void brf_flow_target_close_idle(struct brf_flow_target *t);

/**
 * brf_flow_target_close() - fail open runs and close all connections.
 *
 * Run the loop until @closed is called, then call brf_flow_target_free().
 */
void brf_flow_target_close(
    struct brf_flow_target *t, void (*closed)(void *arg), void *arg);
void brf_flow_target_free(struct brf_flow_target *t);

BRF_END_DECLS

#endif
