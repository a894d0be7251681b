#ifndef BRF_HOP_H
#define BRF_HOP_H

#include "base/outcome.h"
#include "flow/head.h"
#include "flow/pipe.h"

/**
 * DOC: One try of a request at one gate, as a stream in both directions.
 *
 * The seam between the node where a request begins and the gate beside a
 * target, which is on this node or behind a link.
 */

/**
 * struct brf_hop_request - what goes to the gate; the texts are the sender's
 * and stay valid while the hop is open.
 * @id: the caller's id of the request; empty for none
 * @target: the only target that may run it
 * @caller: service of the VM where the request began
 * @fields: block of fields
 * @deadline: clock time after which nobody waits
 * @max_wait_us: longest time that it may wait for a slot, microseconds
 * @length: of the body, with BRF_BODY_LENGTH
 * @rank: of the root request; 0 is the most important
 * @repeatable: it may run more than once
 * @nested: a running request needs it
 * @repeat: another target was sent it before
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
};

/**
 * struct brf_gate_load - how a gate stands, told with each end of a hop.
 * @running: requests at the target
 * @limit: of them at once
 * @waiting: requests in the gate's queue
 * @service_ms: usual time of a request at the target
 */
struct brf_gate_load {
	uint16_t running;
	uint16_t limit;
	uint16_t waiting;
	uint16_t service_ms;
};

/**
 * enum brf_hop_state - what is known of a hop.
 * @BRF_HOP_OPEN: nothing yet
 * @BRF_HOP_ANSWERED: the target's head is in @answer, its body comes in @down
 * @BRF_HOP_REFUSED: the target did not run it and never will
 * @BRF_HOP_FAILED: it may have run, and there will be no answer
 */
enum brf_hop_state {
	BRF_HOP_OPEN,
	BRF_HOP_ANSWERED,
	BRF_HOP_REFUSED,
	BRF_HOP_FAILED
};

struct brf_hop_backend;

/**
 * struct brf_hop - embedded by its sender; zeroed before it is filled.
 * @owner: posted when @state has changed
 * @up: body of the request; NULL for none.  The backend becomes its reader.
 * @state: from here on filled by the backend
 * @reason: why, unless BRF_HOP_ANSWERED
 * @arrived: the target has seen it, also when it refused
 * @marked: it met pressure, there or in the calls that it made
 * @nested_route: requests like it come from some services' VMs only
 * @has_load: @load is filled
 * @retry_after_ms: with BRF_HOP_REFUSED, when to come back; 0 for no word
 * @replacement: with BRF_R_NO_TARGET, the target that the gate has in place of
 *the one that was asked for, as brf_directory_hear() reads it; else empty
 * @down: body of the answer; its reader is @owner unless the sender sets
 *	another one when there is an answer
 * @impl: for the backend
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
	uint32_t retry_after_ms;
	struct brf_buf replacement;
	struct brf_answer_head answer;
	struct brf_pipe answer_body;
	struct brf_hop_backend *backend;
	void *impl;
};

/**
 * struct brf_hop_backend_vt - a gate, here or behind a link.
 * @send: begin @hop
 * @cancel: the sender has no more use for @hop, which is its own again when
 *	this returns; called for each hop that was sent, also when it has ended
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

/* Ends any use of @hop; frees what it holds. */
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
