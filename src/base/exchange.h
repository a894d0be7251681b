#ifndef BRF_EXCHANGE_H
#define BRF_EXCHANGE_H

#include "base/message.h"
#include "base/outcome.h"
#include "base/random.h"
#include "bulrushford.h"

/**
 * struct brf_attempt - what travels with one attempt of a request.
 * @root: the caller's request at the top of the call tree
 * @id: this attempt; no two attempts ever share one
 * @timeout_us: time left, microseconds; a duration, since clocks differ
 * @depth: calls above this one; 0 below the caller itself
 * @cls: 0 (most important) to BRF_CLASSES - 1, as the caller's side knows
 *	it; the callee's document decides, a higher number here lowers it
 * @retries: extra attempts that the tree below may still make; they are
 *	moved here from the sender, not copied
 * @resend: this is not the first attempt of its request
 * @service: the callee
 * @workspace: proved name of the workspace; empty when none was proved
 * @token: request token of a non-idempotent request; empty for none
 * @request: content; the exchange holds a reference while it is open
 */
struct brf_attempt {
	struct brf_id root;
	struct brf_id id;
	uint64_t timeout_us;
	uint32_t depth;
	uint32_t cls;
	uint32_t retries;
	bool resend;
	char service[BRF_NAME_MAX + 1];
	char workspace[BRF_NAME_MAX + 1];
	char token[192];
	struct brf_message *request;
};

/**
 * struct brf_level - how much a gate admits now, carried on each reply.
 * @cut: requests whose rank (see brf_rank()) is at or above this are shed;
 *	BRF_RANK_END admits all
 * @in_flight: attempts running at the gate's target
 * @waiting: attempts waiting in its queue
 * @limit: attempts it now lets run at once
 */
struct brf_level {
	uint32_t cut;
	uint32_t in_flight;
	uint32_t waiting;
	uint32_t limit;
};

/* A class takes BRF_RANK_CLASS ranks; inside it the root's hash decides. */
#define BRF_RANK_CLASS 1024u
#define BRF_RANK_END (BRF_CLASSES * BRF_RANK_CLASS)

/**
 * struct brf_reply - how an attempt ended.
 * @outcome: what is proved of this attempt alone
 * @reason: why; BRF_R_NONE with BRF_ANSWERED
 * @retry_after_ms: when asking this gate again makes sense; 0 for no word
 * @retries: unused extra attempts that come back
 * @level: the gate's admission level; valid when @has_level
 * @useful_us: slot time of this attempt and of all calls below it, as far as
 *	their answers were of use to the one above, microseconds
 * @wasted_us: slot time of the rest: work that came to nothing
 * @answer: with BRF_ANSWERED, whole; else NULL.  The receiver of the reply
 *	takes a reference when it keeps it beyond the callback.
 */
struct brf_reply {
	enum brf_outcome outcome;
	enum brf_reason reason;
	uint32_t retry_after_ms;
	uint32_t retries;
	bool has_level;
	struct brf_level level;
	uint64_t useful_us;
	uint64_t wasted_us;
	struct brf_message *answer;
};

/**
 * struct brf_exchange - one attempt that is open; embedded by its sender.
 * @attempt: filled by the sender before send
 * @done: called exactly once, possibly before send returns; the exchange is
 *	the sender's again from then on, and may be freed in the callback
 * @impl: for the backend
 */
struct brf_exchange {
	struct brf_attempt attempt;
	void (*done)(struct brf_exchange *x, const struct brf_reply *reply);
	void *impl;
};

struct brf_backend;

/**
 * struct brf_backend_vt - something that runs attempts: the gate of this
 * node, or a peer node that stands for its own gate.
 * @send: begin @x
 * @cancel: the sender has no more use for @x; @done still follows once, with
 *	BRF_NOT_RUN only when the gate confirmed that the attempt had not begun
 */
struct brf_backend_vt {
	void (*send)(struct brf_backend *backend, struct brf_exchange *x);
	void (*cancel)(struct brf_backend *backend, struct brf_exchange *x);
};

struct brf_backend {
	const struct brf_backend_vt *vt;
};

static inline void
brf_send(struct brf_backend *backend, struct brf_exchange *x)
{
	backend->vt->send(backend, x);
}

static inline void
brf_cancel(struct brf_backend *backend, struct brf_exchange *x)
{
	backend->vt->cancel(backend, x);
}

#endif
