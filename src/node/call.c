#include <stdlib.h>

#include "node/backend.h"
#include "node/burn.h"
#include "node/call.h"
#include "policy/ledger.h"
#include "policy/stop.h"
#include "policy/token.h"

#define TRIED_MAX (BRF_RETRIES_MAX + 1)

/**
 * struct service_budget - retry budget and metrics of one callee service.
 */
struct service_budget {
	struct brf_list link;
	char service[BRF_NAME_MAX + 1];
	struct brf_retry_budget budget;
	struct brf_metric *retries;
	struct brf_metric *ends[BRF_CLASSES][BRF_REASON_COUNT];
	struct brf_histogram *duration[BRF_CLASSES];
};

/**
 * struct brf_call - a request with its attempts so far.
 * @link: in brf_inbound.calls of the attempt that makes this call
 * @x: the current attempt; the backend uses it while @attempt_open
 * @node: where the router sent the current attempt
 * @timer: delay before the next attempt
 * @own_allotment: extra attempts of a call without an inbound attempt; calls
 *	with one share the allotment of that attempt
 * @bound_node: the one node named by the request token; zero for any
 * @tried: nodes that attempts were sent to, in order
 * @granted_retries: extra attempts passed on with the current attempt
 * @unknown_reason: why an attempt may have run; BRF_R_NONE if none may have
 * @not_run_reason: why the last attempt did not run, or why none was sent
 * @refused_by_gate: @not_run_reason comes from the gate of the callee
 * @starting: inside brf_call_start(), which frees the call if it has @ended
 */
struct brf_call {
	struct brf_list link;
	struct brf_call_context *ctx;
	struct brf_call_request request;
	struct brf_document *doc;
	const struct brf_route_rule *rule;
	struct service_budget *budget;
	struct brf_exchange x;
	struct brf_route_node *node;
	struct brf_backend *backend;
	struct brf_timer timer;
	struct brf_allotment own_allotment;
	struct brf_id root;
	struct brf_id bound_node;
	struct brf_id tried[TRIED_MAX];
	uint32_t attempts;
	uint32_t granted_retries;
	uint64_t started_at;
	uint64_t attempt_started_at;
	uint64_t deadline;
	uint64_t useful_us;
	uint64_t wasted_us;
	enum brf_reason unknown_reason;
	enum brf_reason not_run_reason;
	uint32_t retry_after_ms;
	bool attempt_open;
	bool abandoned;
	bool refused_by_gate;
	bool starting;
	bool ended;
};

static uint64_t
now(const struct brf_call_context *ctx)
{
	return (brf_now(brf_timers_clock(ctx->timers)));
}

void
brf_call_context_init(struct brf_call_context *ctx)
{
	ctx->open_calls = 0;
	ctx->useful_seconds = brf_metrics_counter(ctx->metrics,
	    "brf_root_slot_useful_seconds_total",
	    "Slot time, in the whole call tree, of requests that succeeded.",
	    "");
	ctx->wasted_seconds = brf_metrics_counter(ctx->metrics,
	    "brf_root_slot_wasted_seconds_total",
	    "Slot time, in the whole call tree, that came to nothing.", "");
	brf_list_init(&ctx->budgets);
}

void
brf_call_context_finish(struct brf_call_context *ctx)
{
	struct brf_list *l, *tmp;

	brf_list_foreach_safe (l, tmp, &ctx->budgets)
		free(brf_list_entry(l, struct service_budget, link));
	brf_list_init(&ctx->budgets);
}

static struct service_budget *
get_budget(struct brf_call_context *ctx, const struct brf_document *doc)
{
	struct service_budget *sb;
	struct brf_list *l;
	char labels[BRF_NAME_MAX + 16];

	brf_list_foreach (l, &ctx->budgets) {
		sb = brf_list_entry(l, struct service_budget, link);
		if (strcmp(sb->service, doc->service) == 0) {
			sb->budget.ratio = doc->retry_ratio;
			return (sb);
		}
	}
	sb = brf_calloc(1, sizeof(*sb));
	brf_copy_name(sb->service, sizeof(sb->service), doc->service);
	brf_retry_budget_init(&sb->budget, doc->retry_ratio);
	snprintf(labels, sizeof(labels), "service=\"%s\"", doc->service);
	sb->retries =
	    brf_metrics_counter(ctx->metrics, "brf_call_retries_total",
		"Attempts beyond a request's first.", labels);
	brf_list_append(&ctx->budgets, &sb->link);
	return (sb);
}

static void
count_result(struct brf_call *call, const struct brf_call_result *result)
{
	struct service_budget *sb = call->budget;
	uint32_t cls = call->x.attempt.cls;
	char labels[BRF_NAME_MAX + 128];

	if (sb->ends[cls][result->reason] == NULL) {
		snprintf(labels, sizeof(labels),
		    "service=\"%s\",class=\"%u\",outcome=\"%s\",reason=\"%s\"",
		    sb->service, cls, brf_outcome_name(result->outcome),
		    brf_reason_name(result->reason));
		sb->ends[cls][result->reason] = brf_metrics_counter(
		    call->ctx->metrics, "brf_call_ends_total",
		    "Requests of callers and of this node's target, by how "
		    "they ended.",
		    labels);
	}
	if (sb->duration[cls] == NULL) {
		snprintf(labels, sizeof(labels), "service=\"%s\",class=\"%u\"",
		    sb->service, cls);
		sb->duration[cls] = brf_metrics_histogram(call->ctx->metrics,
		    "brf_call_seconds", "Time from request to outcome.",
		    labels);
	}
	sb->ends[cls][result->reason]->value += 1;
	brf_histogram_add(sb->duration[cls], now(call->ctx) - call->started_at);
}

static struct brf_allotment *
allotment(struct brf_call *call)
{
	if (call->request.inbound != NULL)
		return (&call->request.inbound->allotment);
	return (&call->own_allotment);
}

static void
call_free(struct brf_call *call)
{
	if (call->starting) {
		call->ended = true;
		return;
	}
	call->ctx->open_calls--;
	brf_list_remove(&call->link);
	brf_timer_stop(call->ctx->timers, &call->timer);
	brf_message_unref(call->request.request);
	brf_document_unref(call->doc);
	free(call);
}

/* A random delay from @ms to twice @ms, so that refused callers don't all
 * return at the same time. */
static uint32_t
add_jitter(struct brf_call *call, uint32_t ms)
{
	uint32_t least = ms != 0 ? ms : 1;

	return (least + (uint32_t)brf_random_below(
			    call->ctx->random, (uint64_t)least + 1));
}

/*
 * Adds the slot time of the whole call tree to the metrics, as useful or wasted
 * by the result of the root request.  A nested call is not a root: an
 * attributed one has added its slot time to its inbound attempt, and another
 * one is counted only if it was abandoned.
 */
static void
account_slot_time(struct brf_call *call, const struct brf_call_result *result)
{
	struct brf_call_context *ctx = call->ctx;
	bool useful = result->outcome == BRF_ANSWERED && !call->abandoned &&
		      result->answer->status < 500;
	uint64_t wasted = call->wasted_us;

	if (call->request.inbound != NULL ||
	    (call->request.nested && !call->abandoned))
		return;
	if (!call->abandoned && !call->request.nested)
		brf_burn_count(ctx->burn, call->doc, call->x.attempt.cls,
		    result, now(ctx) - call->started_at);
	if (useful)
		ctx->useful_seconds->value +=
		    (double)call->useful_us / BRF_US_PER_S;
	else
		wasted += call->useful_us;
	ctx->wasted_seconds->value += (double)wasted / BRF_US_PER_S;
}

static bool
is_capacity_refusal(enum brf_reason reason)
{
	return (reason == BRF_R_OVERLOAD || reason == BRF_R_SHED_EARLY ||
		reason == BRF_R_SHED_BELOW || reason == BRF_R_EXPIRED ||
		reason == BRF_R_DEADLINE);
}

static void
inbound_call_ended(struct brf_call *call, const struct brf_call_result *result)
{
	struct brf_inbound *in = call->request.inbound;

	if (result->outcome == BRF_NOT_RUN &&
	    is_capacity_refusal(result->reason))
		in->shed_below = true;
	if (--in->open_calls == 0)
		in->outside_us += now(call->ctx) - in->open_since;
}

static void
finish(struct brf_call *call, enum brf_outcome outcome, enum brf_reason reason,
    struct brf_message *answer)
{
	struct brf_call_result result = { .outcome = outcome,
		.reason = reason,
		.root = call->root,
		.attempts = call->attempts,
		.answer = answer };
	struct brf_call_request *rq = &call->request;
	uint32_t hint =
	    brf_router_retry_after_ms(call->ctx->router, rq->service);

	if (outcome != BRF_ANSWERED) {
		if (call->retry_after_ms > hint)
			hint = call->retry_after_ms;
		result.retry_after_ms = add_jitter(call, hint);
	}
	count_result(call, &result);
	account_slot_time(call, &result);
	if (rq->inbound != NULL)
		inbound_call_ended(call, &result);
	brf_list_remove(&call->link);
	if (!call->abandoned)
		rq->done(rq->arg, &result);
	call_free(call);
}

/*
 * Whether the last refusal also proves that no earlier copy of the request has
 * run.  With a request token, only a refusal by the gate does: its ledger holds
 * the earlier copies, of which a node that did not reach the gate knows
 * nothing.
 */
static bool
refusal_covers_copies(const struct brf_call *call)
{
	return (brf_id_is_zero(call->bound_node) || call->refused_by_gate);
}

/* Ends the call without an answer; no further attempt follows. */
static void
finish_unanswered(struct brf_call *call)
{
	if (call->unknown_reason == BRF_R_NONE && !refusal_covers_copies(call))
		call->unknown_reason = call->not_run_reason;
	if (call->unknown_reason != BRF_R_NONE)
		finish(call, BRF_UNKNOWN, call->unknown_reason, NULL);
	else
		finish(call, BRF_NOT_RUN, call->not_run_reason, NULL);
}

static void
record_reply(struct brf_call *call, const struct brf_reply *reply)
{
	if (reply->outcome == BRF_UNKNOWN)
		call->unknown_reason = reply->reason;
	if (reply->outcome == BRF_NOT_RUN) {
		call->not_run_reason = reply->reason;
		call->refused_by_gate = reply->has_level;
	}
	if (reply->retry_after_ms > call->retry_after_ms)
		call->retry_after_ms = reply->retry_after_ms;
	if (call->request.inbound != NULL) {
		call->request.inbound->useful_us += reply->useful_us;
		call->request.inbound->wasted_us += reply->wasted_us;
	}
	call->useful_us += reply->useful_us;
	call->wasted_us += reply->wasted_us;
	brf_allotment_return(
	    allotment(call), call->granted_retries, reply->retries);
	brf_router_done(call->ctx->router, call->node, reply,
	    now(call->ctx) - call->attempt_started_at,
	    reply->answer != NULL ? reply->answer->body.len : 0);
}

static bool
is_token_request(const struct brf_call *call)
{
	return (strcmp(call->request.request->path, BRF_TOKEN_PATH) == 0);
}

static void
consider_retry(struct brf_call *call, const struct brf_reply *reply)
{
	struct brf_call_context *ctx = call->ctx;
	uint64_t t = now(ctx), delay = 0;
	struct brf_retry_case rc = { .reply = reply,
		.idempotent = call->rule->idempotent || is_token_request(call),
		.attempts = call->attempts,
		.left_us = call->deadline > t ? call->deadline - t : 0,
		.expected_us = brf_router_expected_us(
		    ctx->router, call->request.service) };
	enum brf_retry_verdict verdict;

	/* After a refusal by the gate, no copy runs under this token. */
	if (!brf_id_is_zero(call->bound_node) && call->refused_by_gate) {
		finish_unanswered(call);
		return;
	}
	verdict = brf_retry_decide(
	    &rc, allotment(call), &call->budget->budget, ctx->random, &delay);
	if (verdict != BRF_RETRY_YES) {
		finish_unanswered(call);
		return;
	}
	call->budget->retries->value += 1;
	brf_timer_start(ctx->timers, &call->timer, delay);
}

static void
attempt_done(struct brf_exchange *x, const struct brf_reply *reply)
{
	struct brf_call *call = brf_container_of(x, struct brf_call, x);

	call->attempt_open = false;
	record_reply(call, reply);
	if (reply->outcome == BRF_ANSWERED) {
		brf_retry_budget_success(&call->budget->budget);
		finish(call, BRF_ANSWERED, BRF_R_NONE, reply->answer);
	} else if (call->abandoned) {
		finish_unanswered(call);
	} else {
		consider_retry(call, reply);
	}
}

static void
keep_backend(void *data)
{
	(void)data; /* owned by brf_peers, which closes idle connections */
}

static struct brf_backend *
backend_of(struct brf_call_context *ctx, struct brf_route_node *node)
{
	const struct brf_member *m = brf_route_node_member(node);
	struct brf_backend *backend = brf_route_node_data(node);

	if (brf_id_equal(m->node, ctx->self))
		return (brf_gate_backend(ctx->gate));
	if (backend == NULL) {
		backend = brf_member_backend(ctx->peers, m);
		brf_route_node_set_data(node, backend, keep_backend);
	}
	return (backend);
}

static void
send_attempt(struct brf_call *call)
{
	struct brf_attempt *at = &call->x.attempt;
	uint64_t t = now(call->ctx);

	at->id = brf_id_new(call->ctx->random);
	at->timeout_us = call->deadline > t ? call->deadline - t : 0;
	at->resend = call->attempts > 0;
	call->granted_retries = brf_allotment_split(allotment(call));
	at->retries = call->granted_retries;
	if (call->attempts < TRIED_MAX)
		call->tried[call->attempts] =
		    brf_route_node_member(call->node)->node;
	call->attempts++;
	call->attempt_open = true;
	call->attempt_started_at = t;
	call->backend = backend_of(call->ctx, call->node);
	brf_send(call->backend, &call->x);
}

static const enum brf_reason route_reasons[] = {
	[BRF_ROUTE_NO_TARGET] = BRF_R_NO_TARGET,
	[BRF_ROUTE_SHED] = BRF_R_SHED_EARLY,
	[BRF_ROUTE_LINK_BUDGET] = BRF_R_LINK_BUDGET,
};

static void
next_attempt(struct brf_timer *timer, void *arg)
{
	struct brf_call *call = arg;
	struct brf_route_request rr = {
		.service = call->request.service,
		.cls = call->x.attempt.cls,
		.rank = brf_rank(call->x.attempt.cls, call->root),
		.bytes = call->request.request->body.len,
		.cross_region = call->doc->cross_region,
		.pinned_node = call->bound_node,
		.tried = call->tried,
		.tried_count =
		    call->attempts < TRIED_MAX ? call->attempts : TRIED_MAX,
	};
	enum brf_route_result result;

	(void)timer;
	if (now(call->ctx) >= call->deadline) {
		call->not_run_reason = BRF_R_DEADLINE;
		finish_unanswered(call);
		return;
	}
	result = brf_router_pick(call->ctx->router, &rr, &call->node);
	if (result == BRF_ROUTE_CHOSEN) {
		send_attempt(call);
		return;
	}
	call->not_run_reason = route_reasons[result];
	finish_unanswered(call);
}

static void
fill_attempt(struct brf_call *call)
{
	struct brf_call_request *rq = &call->request;
	struct brf_attempt *at = &call->x.attempt;
	struct brf_inbound *in = rq->inbound;
	uint32_t floor = in != NULL && in->cls > rq->cls ? in->cls : rq->cls;

	call->x.done = attempt_done;
	call->root = in != NULL ? in->root : brf_id_new(call->ctx->random);
	at->root = call->root;
	at->depth = in != NULL ? in->depth + 1 : 0;
	at->cls = call->rule->cls > floor ? call->rule->cls : floor;
	brf_copy_name(at->service, sizeof(at->service), rq->service);
	brf_copy_name(at->workspace, sizeof(at->workspace), rq->workspace);
	at->request = rq->request;
}

static uint64_t
call_timeout_us(const struct brf_call *call)
{
	const struct brf_call_request *rq = &call->request;
	uint64_t left = rq->timeout_us;

	if (left > call->rule->timeout_us)
		left = call->rule->timeout_us;
	if (rq->inbound == NULL)
		return (left);
	if (rq->inbound->deadline <= call->started_at)
		return (0);
	if (left > rq->inbound->deadline - call->started_at)
		left = rq->inbound->deadline - call->started_at;
	return (left);
}

/*
 * The idempotency key of a non-idempotent request must be a request token,
 * which names the one node that may run it.  Any other key names no gate that
 * could detect a second copy.
 *
 * Return: false if the key is refused; @reply then holds outcome and reason.
 */
static bool
bind_token(struct brf_call *call, struct brf_reply *reply)
{
	struct brf_attempt *at = &call->x.attempt;
	const char *key =
	    brf_message_header(call->request.request, BRF_H_IDEMPOTENCY_KEY);
	struct brf_token_scope scope = { .service = at->service,
		.workspace = at->workspace };
	enum brf_token_verdict verdict;
	struct brf_token token;

	if (key == NULL || call->rule->idempotent)
		return (true);
	verdict = brf_token_parse(call->ctx->token_key, key, &scope, &token);
	if (verdict != BRF_TOKEN_VALID) {
		brf_token_refusal(verdict, reply);
		return (false);
	}
	brf_copy_name(at->token, sizeof(at->token), key);
	call->bound_node = token.node;
	return (true);
}

static void
first_attempt(struct brf_call *call)
{
	struct brf_reply reply = { 0 };

	if (bind_token(call, &reply))
		next_attempt(&call->timer, call);
	else
		finish(call, reply.outcome, reply.reason, NULL);
}

static void
inbound_call_started(struct brf_call *call)
{
	struct brf_inbound *in = call->request.inbound;

	brf_list_append(&in->calls, &call->link);
	in->has_calls = true;
	if (in->open_calls++ == 0)
		in->open_since = call->started_at;
}

/* Whether the call may begin at this node, if it drains. */
static bool
may_begin(struct brf_call *call)
{
	const struct brf_call_context *ctx = call->ctx;
	struct brf_stop_request rq = {
		.until_deadline_us = call->deadline - call->started_at,
		.expected_us =
		    brf_router_expected_us(ctx->router, call->request.service),
		.repeatable = call->rule->idempotent,
		.is_call_of_running = call->request.inbound != NULL,
	};
	enum brf_stop_verdict verdict;

	if (ctx->work_ends_at == 0)
		return (true);
	if (ctx->work_ends_at > call->started_at)
		rq.until_end_us = ctx->work_ends_at - call->started_at;
	verdict = brf_stop_judge(&rq);
	if (verdict == BRF_STOP_LIMIT)
		call->deadline = ctx->work_ends_at;
	return (verdict != BRF_STOP_KEEP);
}

struct brf_call *
brf_call_start(
    struct brf_call_context *ctx, const struct brf_call_request *request)
{
	struct brf_call *call = brf_calloc(1, sizeof(*call));

	ctx->open_calls++;
	call->starting = true;
	call->ctx = ctx;
	call->request = *request;
	brf_message_ref(request->request);
	brf_list_init(&call->link);
	call->started_at = now(ctx);
	call->doc = brf_document_ref(brf_docs_get(ctx->docs, request->service));
	call->rule = brf_document_rule(
	    call->doc, request->request->method, request->request->path);
	call->budget = get_budget(ctx, call->doc);
	call->own_allotment.left = request->attributed ? BRF_RETRIES_MAX : 0;
	fill_attempt(call);
	call->request.service = call->x.attempt.service;
	call->request.workspace = call->x.attempt.workspace;
	call->deadline = call->started_at + call_timeout_us(call);
	if (request->inbound != NULL)
		inbound_call_started(call);
	call->timer.fire = next_attempt;
	call->timer.arg = call;
	if (may_begin(call))
		first_attempt(call);
	else
		finish(call, BRF_NOT_RUN, BRF_R_DRAINING, NULL);
	/* call_free() spares a call that is starting; the analyzer does not
	 * see that. */
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
	call->starting = false;
	if (!call->ended)
		return (call);
	call_free(call);
	return (NULL);
}

void
brf_call_abandon(struct brf_call *call)
{
	call->abandoned = true;
	brf_list_remove(&call->link);
	/* The inbound attempt may be freed before this call has ended. */
	call->request.inbound = NULL;
	call->own_allotment.left = 0;
	if (call->attempt_open) {
		brf_cancel(call->backend, &call->x);
		return;
	}
	call->not_run_reason = BRF_R_CANCELLED;
	finish_unanswered(call);
}

void
brf_call_abandon_link(struct brf_list *link)
{
	brf_call_abandon(brf_list_entry(link, struct brf_call, link));
}
