#include <stdlib.h>

#include "node/backend.h"
#include "node/burn.h"
#include "node/call.h"
#include "policy/ledger.h"
#include "policy/token.h"

#define TRIED_MAX (BRF_RETRIES_MAX + 1)

/**
 * struct service_budget - adaptive retry budget and counters of one callee.
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
 * struct brf_call - see node/call.h.
 * @link: among the outgoing calls of its inbound attempt
 * @x: the attempt that is open, if @sent
 * @given: extra attempts that went down with it
 * @own: extra attempts of a caller's request; an inbound attempt's are shared
 * @doubt: why an earlier attempt may have run; BRF_R_NONE when none may
 * @refusal: why the last attempt did not run
 * @refused_by_gate: its gate said so
 * @bound: the one node that may run it, by its request token; zero for any
 * @starting: brf_call_start() still runs, and will free a call that is @over
 */
struct brf_call {
	struct brf_list link;
	struct brf_caller *caller;
	struct brf_call_request request;
	struct brf_document *doc;
	const struct brf_route_rule *rule;
	struct service_budget *budget;
	struct brf_exchange x;
	struct brf_route_node *node;
	struct brf_backend *backend;
	struct brf_timer timer;
	struct brf_allotment own;
	struct brf_id root;
	struct brf_id bound;
	struct brf_id tried[TRIED_MAX];
	uint32_t attempts;
	uint32_t given;
	uint64_t began;
	uint64_t sent_at;
	uint64_t deadline;
	uint64_t useful_us;
	uint64_t wasted_us;
	enum brf_reason doubt;
	enum brf_reason refusal;
	uint32_t retry_after_ms;
	bool sent;
	bool abandoned;
	bool refused_by_gate;
	bool starting;
	bool over;
};

static uint64_t
now(const struct brf_caller *caller)
{
	return (brf_now(brf_timers_clock(caller->timers)));
}

void
brf_caller_init(struct brf_caller *caller)
{
	caller->open = 0;
	caller->useful_seconds = brf_metrics_counter(caller->metrics,
	    "brf_root_slot_useful_seconds_total",
	    "Slot time, in the whole call tree, of requests that succeeded.",
	    "");
	caller->wasted_seconds = brf_metrics_counter(caller->metrics,
	    "brf_root_slot_wasted_seconds_total",
	    "Slot time, in the whole call tree, that came to nothing.", "");
	brf_list_init(&caller->budgets);
}

void
brf_caller_finish(struct brf_caller *caller)
{
	struct brf_list *l, *tmp;

	brf_list_foreach_safe (l, tmp, &caller->budgets)
		free(brf_list_entry(l, struct service_budget, link));
	brf_list_init(&caller->budgets);
}

static struct service_budget *
find_budget(struct brf_caller *caller, const struct brf_document *doc)
{
	struct service_budget *sb;
	struct brf_list *l;
	char labels[BRF_NAME_MAX + 16];

	brf_list_foreach (l, &caller->budgets) {
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
	    brf_metrics_counter(caller->metrics, "brf_call_retries_total",
		"Attempts beyond a request's first.", labels);
	brf_list_append(&caller->budgets, &sb->link);
	return (sb);
}

static void
count_end(struct brf_call *call, const struct brf_call_end *end)
{
	struct service_budget *sb = call->budget;
	uint32_t cls = call->x.attempt.cls;
	char labels[BRF_NAME_MAX + 128];

	if (sb->ends[cls][end->reason] == NULL) {
		snprintf(labels, sizeof(labels),
		    "service=\"%s\",class=\"%u\",outcome=\"%s\",reason=\"%s\"",
		    sb->service, cls, brf_outcome_name(end->outcome),
		    brf_reason_name(end->reason));
		sb->ends[cls][end->reason] = brf_metrics_counter(
		    call->caller->metrics, "brf_call_ends_total",
		    "Requests of callers and of this node's target, by how "
		    "they ended.",
		    labels);
	}
	if (sb->duration[cls] == NULL) {
		snprintf(labels, sizeof(labels), "service=\"%s\",class=\"%u\"",
		    sb->service, cls);
		sb->duration[cls] = brf_metrics_histogram(call->caller->metrics,
		    "brf_call_seconds", "Time from request to outcome.",
		    labels);
	}
	sb->ends[cls][end->reason]->value += 1;
	brf_histogram_add(sb->duration[cls], now(call->caller) - call->began);
}

static struct brf_allotment *
allotment(struct brf_call *call)
{
	if (call->request.inbound != NULL)
		return (&call->request.inbound->allotment);
	return (&call->own);
}

static void
call_free(struct brf_call *call)
{
	if (call->starting) {
		call->over = true;
		return;
	}
	call->caller->open--;
	brf_list_remove(&call->link);
	brf_timer_stop(call->caller->timers, &call->timer);
	brf_message_unref(call->request.request);
	brf_document_unref(call->doc);
	free(call);
}

/* Between the value and twice it, so that refused callers don't return
 * together. */
static uint32_t
with_jitter(struct brf_call *call, uint32_t ms)
{
	uint32_t least = ms != 0 ? ms : 1;

	return (least + (uint32_t)brf_random_below(
			    call->caller->random, (uint64_t)least + 1));
}

/* Slot time of a whole call tree, told apart by what its root came to. */
static void
account(struct brf_call *call, const struct brf_call_end *end)
{
	struct brf_caller *caller = call->caller;
	bool useful = end->outcome == BRF_ANSWERED && !call->abandoned &&
		      end->answer->status < 500;
	uint64_t wasted = call->wasted_us;

	if (call->request.inbound != NULL ||
	    (call->request.nested && !call->abandoned))
		return;
	if (!call->abandoned && !call->request.nested)
		brf_burn_count(caller->burn, call->doc, call->x.attempt.cls,
		    end, now(caller) - call->began);
	if (useful)
		caller->useful_seconds->value +=
		    (double)call->useful_us / BRF_US_PER_S;
	else
		wasted += call->useful_us;
	caller->wasted_seconds->value += (double)wasted / BRF_US_PER_S;
}

static bool
is_shed(enum brf_reason reason)
{
	return (reason == BRF_R_OVERLOAD || reason == BRF_R_SHED_EARLY ||
		reason == BRF_R_SHED_BELOW || reason == BRF_R_EXPIRED ||
		reason == BRF_R_DEADLINE);
}

static void
leave_inbound(struct brf_call *call, const struct brf_call_end *end)
{
	struct brf_inbound *in = call->request.inbound;

	if (end->outcome == BRF_NOT_RUN && is_shed(end->reason))
		in->shed_below = true;
	if (--in->open_calls == 0)
		in->outside_us += now(call->caller) - in->open_since;
}

static void
finish(struct brf_call *call, enum brf_outcome outcome, enum brf_reason reason,
    struct brf_message *answer)
{
	struct brf_call_end end = { .outcome = outcome,
		.reason = reason,
		.root = call->root,
		.attempts = call->attempts,
		.answer = answer };
	struct brf_call_request *rq = &call->request;
	uint32_t hint =
	    brf_router_retry_after_ms(call->caller->router, rq->service);

	if (outcome != BRF_ANSWERED) {
		if (call->retry_after_ms > hint)
			hint = call->retry_after_ms;
		end.retry_after_ms = with_jitter(call, hint);
	}
	count_end(call, &end);
	account(call, &end);
	if (rq->inbound != NULL)
		leave_inbound(call, &end);
	brf_list_remove(&call->link);
	if (!call->abandoned)
		rq->done(rq->arg, &end);
	call_free(call);
}

/*
 * Whether the last word of refusal speaks for earlier copies as well: a gate
 * remembers them, a node that did not reach the gate doesn't know.
 */
static bool
refusal_is_final(const struct brf_call *call)
{
	return (brf_id_is_zero(call->bound) || call->refused_by_gate);
}

/* There will be no further attempt, and none was answered. */
static void
give_up(struct brf_call *call)
{
	if (call->doubt == BRF_R_NONE && !refusal_is_final(call))
		call->doubt = call->refusal;
	if (call->doubt != BRF_R_NONE)
		finish(call, BRF_UNKNOWN, call->doubt, NULL);
	else
		finish(call, BRF_NOT_RUN, call->refusal, NULL);
}

static void
learn_reply(struct brf_call *call, const struct brf_reply *reply)
{
	if (reply->outcome == BRF_UNKNOWN)
		call->doubt = reply->reason;
	if (reply->outcome == BRF_NOT_RUN) {
		call->refusal = reply->reason;
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
	brf_allotment_return(allotment(call), call->given, reply->retries);
	brf_router_done(call->caller->router, call->node, reply,
	    now(call->caller) - call->sent_at,
	    reply->answer != NULL ? reply->answer->body.len : 0);
}

static bool
wants_token(const struct brf_call *call)
{
	return (strcmp(call->request.request->path, BRF_TOKEN_PATH) == 0);
}

static void
consider_retry(struct brf_call *call, const struct brf_reply *reply)
{
	struct brf_caller *caller = call->caller;
	uint64_t t = now(caller), delay = 0;
	struct brf_retry_case rc = { .reply = reply,
		.idempotent = call->rule->idempotent || wants_token(call),
		.attempts = call->attempts,
		.left_us = call->deadline > t ? call->deadline - t : 0,
		.expected_us = brf_router_expected_us(
		    caller->router, call->request.service) };
	enum brf_retry_verdict verdict;

	/* A gate's refusal is final for a token. */
	if (!brf_id_is_zero(call->bound) && call->refused_by_gate) {
		give_up(call);
		return;
	}
	verdict = brf_retry_decide(&rc, allotment(call), &call->budget->budget,
	    caller->random, &delay);
	if (verdict != BRF_RETRY_YES) {
		give_up(call);
		return;
	}
	call->budget->retries->value += 1;
	brf_timer_start(caller->timers, &call->timer, delay);
}

static void
attempt_done(struct brf_exchange *x, const struct brf_reply *reply)
{
	struct brf_call *call = brf_container_of(x, struct brf_call, x);

	call->sent = false;
	learn_reply(call, reply);
	if (reply->outcome == BRF_ANSWERED) {
		brf_retry_budget_success(&call->budget->budget);
		finish(call, BRF_ANSWERED, BRF_R_NONE, reply->answer);
	} else if (call->abandoned) {
		give_up(call);
	} else {
		consider_retry(call, reply);
	}
}

static void
release_backend(void *data)
{
	(void)data; /* the peers drop idle connections on their own */
}

static struct brf_backend *
backend_of(struct brf_caller *caller, struct brf_route_node *node)
{
	const struct brf_member *m = brf_route_node_member(node);
	struct brf_backend *backend = brf_route_node_data(node);

	if (brf_id_equal(m->node, caller->self))
		return (brf_gate_backend(caller->gate));
	if (backend == NULL) {
		backend = brf_member_backend(caller->peers, m);
		brf_route_node_set_data(node, backend, release_backend);
	}
	return (backend);
}

static void
send_attempt(struct brf_call *call)
{
	struct brf_attempt *at = &call->x.attempt;
	uint64_t t = now(call->caller);

	at->id = brf_id_new(call->caller->random);
	at->timeout_us = call->deadline > t ? call->deadline - t : 0;
	at->resend = call->attempts > 0;
	call->given = brf_allotment_split(allotment(call));
	at->retries = call->given;
	if (call->attempts < TRIED_MAX)
		call->tried[call->attempts] =
		    brf_route_node_member(call->node)->node;
	call->attempts++;
	call->sent = true;
	call->sent_at = t;
	call->backend = backend_of(call->caller, call->node);
	brf_send(call->backend, &call->x);
}

static const enum brf_reason route_reasons[] = {
	[BRF_ROUTE_NO_TARGET] = BRF_R_NO_TARGET,
	[BRF_ROUTE_SHED] = BRF_R_SHED_EARLY,
	[BRF_ROUTE_LINK_BUDGET] = BRF_R_LINK_BUDGET,
};

static void
try_next(struct brf_timer *timer, void *arg)
{
	struct brf_call *call = arg;
	struct brf_route_request rr = {
		.service = call->request.service,
		.cls = call->x.attempt.cls,
		.rank = brf_rank(call->x.attempt.cls, call->root),
		.bytes = call->request.request->body.len,
		.cross_region = call->doc->cross_region,
		.only = call->bound,
		.tried = call->tried,
		.tried_count =
		    call->attempts < TRIED_MAX ? call->attempts : TRIED_MAX,
	};
	enum brf_route_result result;

	(void)timer;
	if (now(call->caller) >= call->deadline) {
		call->refusal = BRF_R_DEADLINE;
		give_up(call);
		return;
	}
	result = brf_router_pick(call->caller->router, &rr, &call->node);
	if (result == BRF_ROUTE_CHOSEN) {
		send_attempt(call);
		return;
	}
	call->refusal = route_reasons[result];
	give_up(call);
}

static void
fill_attempt(struct brf_call *call)
{
	struct brf_call_request *rq = &call->request;
	struct brf_attempt *at = &call->x.attempt;
	struct brf_inbound *in = rq->inbound;
	uint32_t floor = in != NULL && in->cls > rq->cls ? in->cls : rq->cls;

	call->x.done = attempt_done;
	call->root = in != NULL ? in->root : brf_id_new(call->caller->random);
	at->root = call->root;
	at->depth = in != NULL ? in->depth + 1 : 0;
	at->cls = call->rule->cls > floor ? call->rule->cls : floor;
	brf_copy_name(at->service, sizeof(at->service), rq->service);
	brf_copy_name(at->workspace, sizeof(at->workspace), rq->workspace);
	at->request = rq->request;
}

static uint64_t
time_allowed(const struct brf_call *call)
{
	const struct brf_call_request *rq = &call->request;
	uint64_t left = rq->timeout_us;

	if (left > call->rule->timeout_us)
		left = call->rule->timeout_us;
	if (rq->inbound == NULL)
		return (left);
	if (rq->inbound->deadline <= call->began)
		return (0);
	if (left > rq->inbound->deadline - call->began)
		left = rq->inbound->deadline - call->began;
	return (left);
}

/*
 * A key on a request that must not run twice has to be a token: any other
 * one names no gate that could remember it.
 *
 * Return: false when the token was refused, as @reply says.
 */
static bool
bind_token(struct brf_call *call, struct brf_reply *reply)
{
	struct brf_attempt *at = &call->x.attempt;
	const char *key = brf_message_header(call->request.request, BRF_H_IDEMPOTENCY_KEY);
	struct brf_token_scope scope = { .service = at->service,
		.workspace = at->workspace };
	enum brf_token_verdict verdict;
	struct brf_token token;

	if (key == NULL || call->rule->idempotent)
		return (true);
	verdict = brf_token_parse(call->caller->token_key, key, &scope, &token);
	if (verdict != BRF_TOKEN_VALID) {
		brf_token_refusal(verdict, reply);
		return (false);
	}
	brf_copy_name(at->token, sizeof(at->token), key);
	call->bound = token.node;
	return (true);
}

static void
first_attempt(struct brf_call *call)
{
	struct brf_reply reply = { 0 };

	if (bind_token(call, &reply))
		try_next(&call->timer, call);
	else
		finish(call, reply.outcome, reply.reason, NULL);
}

static void
enter_inbound(struct brf_call *call)
{
	struct brf_inbound *in = call->request.inbound;

	brf_list_append(&in->calls, &call->link);
	in->has_calls = true;
	if (in->open_calls++ == 0)
		in->open_since = call->began;
}

struct brf_call *
brf_call_start(
    struct brf_caller *caller, const struct brf_call_request *request)
{
	struct brf_call *call = brf_calloc(1, sizeof(*call));

	caller->open++;
	call->starting = true;
	call->caller = caller;
	call->request = *request;
	brf_message_ref(request->request);
	brf_list_init(&call->link);
	call->began = now(caller);
	call->doc =
	    brf_document_ref(brf_docs_get(caller->docs, request->service));
	call->rule = brf_document_rule(
	    call->doc, request->request->method, request->request->path);
	call->budget = find_budget(caller, call->doc);
	call->own.left = request->tied ? BRF_RETRIES_MAX : 0;
	fill_attempt(call);
	call->request.service = call->x.attempt.service;
	call->request.workspace = call->x.attempt.workspace;
	call->deadline = call->began + time_allowed(call);
	if (request->inbound != NULL)
		enter_inbound(call);
	call->timer.fire = try_next;
	call->timer.arg = call;
	first_attempt(call);
	/* Not freed while starting, which the analyzer can't see. */
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
	call->starting = false;
	if (!call->over)
		return (call);
	call_free(call);
	return (NULL);
}

void
brf_call_abandon(struct brf_call *call)
{
	call->abandoned = true;
	brf_list_remove(&call->link);
	/* The inbound attempt may end before the cancelled one below it. */
	call->request.inbound = NULL;
	call->own.left = 0;
	if (call->sent) {
		brf_cancel(call->backend, &call->x);
		return;
	}
	call->refusal = BRF_R_CANCELLED;
	give_up(call);
}

void
brf_call_abandon_link(struct brf_list *link)
{
	brf_call_abandon(brf_list_entry(link, struct brf_call, link));
}
