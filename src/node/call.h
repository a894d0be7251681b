#ifndef BRF_CALL_H
#define BRF_CALL_H

#include "base/metrics.h"
#include "config/docs.h"
#include "node/gate.h"
#include "policy/retry.h"
#include "route/router.h"
#include "wire/peer.h"

/**
 * DOC: One request from its caller's side, over as many attempts as it takes.
 *
 * A call picks a node, sends an attempt, and decides when that has ended
 * whether to try another node.  It ends in exactly one outcome: BRF_NOT_RUN
 * only when that is proved of every attempt it sent.
 */

/**
 * struct brf_call_context - what the calls of one node share; all outlive them.
 * @self: id of this node; its own gate is reached without a hop
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
	size_t open_calls;
	struct brf_metric *useful_seconds;
	struct brf_metric *wasted_seconds;
	struct brf_list budgets;
};

/**
 * struct brf_call_result - how a call ended.
 * @root: id of the root request
 * @attempts: attempts that were sent
 * @retry_after_ms: when to ask again, with jitter; 0 with BRF_ANSWERED
 * @answer: with BRF_ANSWERED; valid during the callback unless referenced
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
 * struct brf_call_request - what brf_call_start() needs; copied.
 * @inbound: the attempt whose target makes this call; NULL for a caller's own
 *	request
 * @nested: a target's own call, whether it could be attributed or not
 * @attributed: the call belongs to a known request; else it gets no extra
 *attempts
 * @request: content; the call takes a reference
 * @done: called exactly once unless the call is abandoned, possibly from
 *	within brf_call_start()
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

void brf_call_context_init(struct brf_call_context *ctx);
void brf_call_context_finish(struct brf_call_context *ctx);

/**
 * brf_call_start() - begin; the call frees itself when it has ended.
 *
 * Return: NULL when it has ended already.
 */
struct brf_call *brf_call_start(
    struct brf_call_context *ctx, const struct brf_call_request *request);

/**
 * brf_call_abandon() - its caller has gone: cancel what is open.  @done is
 * not called any more.
 */
void brf_call_abandon(struct brf_call *call);

/* For brf_gate_on_abandon(). */
void brf_call_abandon_link(struct brf_list *link);

BRF_END_DECLS

#endif
