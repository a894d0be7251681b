#ifndef BRF_EXCHANGE_H
#define BRF_EXCHANGE_H

#include "base/message.h"
#include "base/outcome.h"
#include "base/random.h"
#include "bulrushford.h"

/**
 * struct brf_attempt - one attempt of a request, with the properties that are
 * sent along with it.
 * @root: id of the root request of the call tree
 * @id: id of this attempt; unique
 * @timeout_us: time left, microseconds; a duration rather than a point in time,
 *	since clocks differ between nodes
 * @depth: number of calls above this one; 0 for a root request
 * @cls: class as the sender knows it, 0 (most important) to BRF_CLASSES - 1;
 *	the class in the callee's document applies unless this one is less
 *	important
 * @retries: extra attempts that the call tree below may still make.  They are
 *	moved here from the sender, which can't use them meanwhile.
 * @resend: this is not the first attempt of its request
 * @service: service that is called
 * @workspace: authenticated name of the workspace; empty when there is none
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
 * struct brf_level - admission level of a gate, carried on each reply.
 * @cut: requests whose rank (see brf_rank()) is at or above this are shed;
 *	BRF_RANK_END admits all
 * @in_flight: attempts that run at the gate's target
 * @waiting: attempts that wait in the gate's queue
 * @limit: attempts that the gate currently lets run at once
 */
struct brf_level {
	uint32_t cut;
	uint32_t in_flight;
	uint32_t waiting;
	uint32_t limit;
};

/* Each class spans BRF_RANK_CLASS ranks; within a class the hash of the root
 * request's id determines the rank. */
#define BRF_RANK_CLASS 1024u
#define BRF_RANK_END (BRF_CLASSES * BRF_RANK_CLASS)

/**
 * struct brf_reply - how an attempt ended.
 * @outcome: what is proved about this attempt alone
 * @reason: reason of the outcome; BRF_R_NONE with BRF_ANSWERED
 * @retry_after_ms: time after which to ask this gate again; 0 when unknown
 * @retries: extra attempts of the sender that were not used and are returned
 * @has_level: @level is valid
 * @level: the gate's admission level
 * @useful_us: slot time of this attempt and of all calls below it, counting
 *	only those whose answer was of use to the request above, microseconds
 * @wasted_us: slot time of the others, microseconds
 * @answer: the complete answer with BRF_ANSWERED, else NULL.  A receiver that
 *	keeps it beyond the callback takes a reference.
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
 * struct brf_exchange - an open attempt; embedded by its sender.
 * @attempt: filled by the sender before brf_send()
 * @done: called exactly once, possibly before brf_send() returns.  From then on
 *	the backend does not use the exchange any more; the callback may free
 *it.
 * @impl: private to the backend
 */
struct brf_exchange {
	struct brf_attempt attempt;
	void (*done)(struct brf_exchange *x, const struct brf_reply *reply);
	void *impl;
};

struct brf_backend;

/**
 * struct brf_backend_vt - something that runs attempts: the gate of this node,
 * or the connection to a peer node, which passes them to its own gate.
 * @send: begin @x
 * @cancel: ask to end @x early.  @done is still called once, with BRF_NOT_RUN
 *	only if the gate confirmed that the attempt had not begun.
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
