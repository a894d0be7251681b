#ifndef BRF_CALL_H
#define BRF_CALL_H

#include "base/metrics.h"
#include "config/docs.h"
#include "node/gate.h"
#include "policy/retry.h"
#include "route/router.h"
#include "wire/peer.h"

/**
 * DOC: Client side of a request, with its retries.
 *
 * A call picks a node and sends it an attempt.  When the attempt has ended,
 * the call decides whether to try another node.  A call ends with exactly one
 * outcome: BRF_NOT_RUN only if every attempt it sent is proved not to have run.
 */

/**
 * struct brf_call_context - state shared by all calls of one node.
 * @burn: counts ended root requests against the services' objectives
 * @self: id of this node; attempts to it go to @gate without a hop
 * @work_ends_at: clock time by which calls that begin while the node drains
 *	have to have ended; 0 for no limit
 * @open_calls: calls that have not ended
 * @useful_seconds: slot time, in the whole call tree, of root requests that
 *	succeeded
 * @wasted_seconds: slot time, in the whole call tree, of all other work
 * @budgets: retry budget and metrics of each callee service
 *
 * The owner fills the members up to @self before brf_call_context_init();
 * what they point to must outlive all calls.  brf_call_context_init() fills
 * the others.
 */
struct brf_call_context {
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_docs *docs;
	struct brf_router *router;
	struct brf_peers *peers;
	struct brf_gate *gate;
	struct brf_token_key *token_key;
	struct brf_burn *burn;
	struct brf_id self;
	uint64_t work_ends_at;
	size_t open_calls;
	struct brf_metric *useful_seconds;
	struct brf_metric *wasted_seconds;
	struct brf_list budgets;
};

/**
 * struct brf_call_result - how a call ended.
 * @reason: BRF_R_NONE with BRF_ANSWERED
 * @root: id of the root request
 * @attempts: attempts that were sent
 * @retry_after_ms: delay, with jitter, before the caller should send the
 *	request again; 0 with BRF_ANSWERED
 * @answer: NULL unless BRF_ANSWERED; valid during the callback, take a
 *	reference to keep it
 */
struct brf_call_result {
	enum brf_outcome outcome;
	enum brf_reason reason;
	struct brf_id root;
	uint32_t attempts;
	uint32_t retry_after_ms;
	struct brf_message *answer;
};

/**
 * struct brf_call_request - parameters of brf_call_start(), which copies them.
 * @service: callee
 * @workspace: proved name; empty for none
 * @cls: class that the caller asks for, 0 the most important; the callee's
 *	document and @inbound may lower the priority, not raise it
 * @timeout_us: time that the caller allows, microseconds; the callee's
 *	document and the deadline of @inbound may shorten it
 * @inbound: for a nested call, the attempt on this node's target that makes
 *	the call; NULL for a root request or if that attempt is not known
 * @attributed: the call is a root request, or nested with a known @inbound;
 *	any other call gets no extra attempts
 * @nested: the call comes from this node's target
 * @request: method, path, fields and body; the call takes a reference
 * @done: called exactly once with @arg, possibly before brf_call_start()
 *	returns; not called after brf_call_abandon()
 */
struct brf_call_request {
	const char *service;
	const char *workspace;
	uint32_t cls;
	uint64_t timeout_us;
	struct brf_inbound *inbound;
	bool attributed;
	bool nested;
	struct brf_message *request;
	void (*done)(void *arg, const struct brf_call_result *result);
	void *arg;
};

struct brf_call;

BRF_BEGIN_DECLS

/* Registers the metrics and empties the list of budgets. */
void brf_call_context_init(struct brf_call_context *ctx);

/* Frees the budgets; no call may be open. */
void brf_call_context_finish(struct brf_call_context *ctx);

/**
 * brf_call_start() - start a call, which frees itself when it has ended.
 *
 * Return: the call, valid until @done is called or the call is abandoned; NULL
 * if it has already ended and @done was called.
 */
struct brf_call *brf_call_start(
    struct brf_call_context *ctx, const struct brf_call_request *request);

/**
 * brf_call_abandon() - cancel a call whose caller no longer waits for it.
 *
 * @done is not called.  The call frees itself once its open attempt, if any,
 * has ended.
 */
void brf_call_abandon(struct brf_call *call);

/* brf_call_abandon() in the form that brf_gate_on_abandon() takes. */
void brf_call_abandon_link(struct brf_list *link);

BRF_END_DECLS

#endif
