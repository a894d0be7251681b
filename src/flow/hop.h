#ifndef BRF_HOP_H
#define BRF_HOP_H

#include "base/outcome.h"
#include "flow/head.h"
#include "flow/pipe.h"

/**
 * DOC: One hop: a request forwarded to one gate, with both bodies as streams.
 *
 * The interface between the node where a request begins (the sender) and the
 * gate beside a target (the backend), which is on the same node or reached
 * over a link.
 */

/**
 * struct brf_hop_request - the request as it is sent to the gate.  The sender
 * owns the texts and keeps them valid while the hop is open.
 * @id: the caller's id of the request; empty for none
 * @target: the only target that may run the request
 * @caller: service of the VM where the request began
 * @path: path and query
 * @fields: block of end-to-end fields, @fields_len bytes
 * @deadline: clock time after which the caller no longer waits, microseconds
 * @max_wait_us: maximum wait for a slot, microseconds
 * @length: bytes of the body, with BRF_BODY_LENGTH
 * @rank: rank of the root request; 0 is the most important
 * @repeatable: the request is idempotent and may run more than once
 * @nested: the request is a nested call of a running request
 * @repeat: a retry: the request was sent to another target before
 * @born: incarnation of @target, see struct brf_entry
 * @rate_limit: limit that this incarnation stated to the sender, requests a
 *	second; 0 for none
 */
struct brf_hop_request {
	const char *id;
	const char *target;
	const char *caller;
	const char *method;
	const char *path;
	const char *host;
	const char *fields;
	size_t fields_len;
	uint64_t deadline;
	uint64_t max_wait_us;
	uint64_t length;
	enum brf_body_kind body;
	uint32_t rank;
	bool repeatable;
	bool nested;
	bool repeat;
	uint64_t born;
	double rate_limit;
};

/**
 * struct brf_target_report - what a gate knows of its target's statements,
 * reported along with its load.
 * @born: incarnation of the target, see struct brf_entry
 * @self: its statements
 * @permit_wait_us: time until a further request finds a permit of the rate
 *	limit, microseconds; 0 without a limit
 */
struct brf_target_report {
	uint64_t born;
	struct brf_self_report self;
	uint64_t permit_wait_us;
};

/**
 * struct brf_gate_load - load of a gate, reported whenever a hop's state
 * changes.
 * @running: requests running at the target
 * @limit: maximum number of running requests
 * @waiting: requests in the gate's queue
 * @service_ms: moving average of the time a request runs, milliseconds
 */
struct brf_gate_load {
	uint16_t running;
	uint16_t limit;
	uint16_t waiting;
	uint16_t service_ms;
};

/**
 * enum brf_hop_state - state of a hop.
 * @BRF_HOP_OPEN: the gate has not replied yet
 * @BRF_HOP_ANSWERED: @answer is filled; the body follows in @answer_body
 * @BRF_HOP_REFUSED: the target did not run the request and never will
 * @BRF_HOP_FAILED: the target may have run the request, but there will be no
 *	answer
 */
enum brf_hop_state {
	BRF_HOP_OPEN,
	BRF_HOP_ANSWERED,
	BRF_HOP_REFUSED,
	BRF_HOP_FAILED
};

struct brf_hop_backend;

/**
 * struct brf_hop - embedded by its sender, which zeroes it before filling it.
 * @owner: posted when @state has changed
 * @request_body: NULL for none.  The backend becomes its reader.
 * @state: this member and the following ones are filled by the backend
 * @reason: cause of BRF_HOP_REFUSED or BRF_HOP_FAILED, or why @answer_body is
 *	broken, where that is known
 * @arrived: the request reached the target, even if the target refused it
 * @marked: congestion mark: the gate, or a gate that served one of the
 *	request's nested calls, is under pressure
 * @nested_route: some services never send requests of this route to the gate,
 *	so its requests are taken for nested calls
 * @has_load: @load and @report are filled
 * @retry_after_ms: with BRF_HOP_REFUSED, time until a retry makes sense; 0 when
 *	unknown
 * @replacement: with BRF_R_NO_TARGET, directory entry of the target that the
 *	gate serves now, as brf_directory_import() reads it; empty for none
 * @answer_body: read by @owner, unless the sender sets another reader once the
 *	hop is answered
 * @impl: private to the backend
 */
struct brf_hop {
	struct brf_hop_request request;
	struct brf_task *owner;
	struct brf_pipe *request_body;
	enum brf_hop_state state;
	enum brf_reason reason;
	bool arrived;
	bool marked;
	bool nested_route;
	bool has_load;
	struct brf_gate_load load;
	struct brf_target_report report;
	uint32_t retry_after_ms;
	struct brf_buf replacement;
	struct brf_answer_head answer;
	struct brf_pipe answer_body;
	struct brf_hop_backend *backend;
	void *impl;
};

/**
 * struct brf_hop_backend_vt - a gate, local or behind a link.
 * @send: start @hop
 * @cancel: the sender is done with @hop.  Called once for each hop that was
 *	sent, even after its end; the backend doesn't touch @hop afterwards.
 */
struct brf_hop_backend_vt {
	void (*send)(struct brf_hop_backend *backend, struct brf_hop *hop);
	void (*cancel)(struct brf_hop_backend *backend, struct brf_hop *hop);
};

struct brf_hop_backend {
	const struct brf_hop_backend_vt *vt;
};

static inline void
brf_hop_send(struct brf_hop_backend *backend, struct brf_hop *hop)
{
	hop->backend = backend;
	backend->vt->send(backend, hop);
}

/* Cancel @hop if it was sent, and free its answer. */
static inline void
brf_hop_release(struct brf_hop *hop)
{
	if (hop->backend != NULL)
		hop->backend->vt->cancel(hop->backend, hop);
	hop->backend = NULL;
	brf_answer_head_free(&hop->answer);
	brf_buf_free(&hop->replacement);
	brf_pipe_free(&hop->answer_body);
}

#endif
