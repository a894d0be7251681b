#include <stdlib.h>

#include "base/log.h"
#include "mesh/call.h"
#include "mesh/gate.h"
#include "mesh/trace.h"
#include "policy/answer_watch.h"
#include "policy/retry_after.h"
#include "policy/stop.h"

#define REPLAY_MAX 65536u /* bytes of a body that are kept for another hop */
/* Most bytes of an incomplete answer that are held for the requests behind. */
/* Bytes of incomplete answers held beyond a full pipe: of one, and of all. */
#define RETAINED_MAX_BYTES (1u << 20)
#define RETAINED_TOTAL_MAX_BYTES (8u << 20)
#define HOPS_MAX BRF_TRACE_HOPS_MAX
#define TIMEOUT_DEFAULT_MS 60000u /* for requests without a timeout */

/* Time after the deadline in which a gate may still report. */
#define DEADLINE_GRACE_US (30 * BRF_US_PER_MS)
/* Bounds of a forwarded answer after that, see policy/answer_watch.h: time
 * without a byte of the gate, which itself ends what its target owes, and time
 * without a byte read. */
#define SILENT_MAX_US (150 * BRF_US_PER_MS)
#define UNREAD_MAX_US (60 * BRF_US_PER_S)
/*
 * Shares of the objective, or of a shorter timeout, that a root request and a
 * nested call may wait for a slot.
 */
#define MAX_WAIT_SHARE 0.3
#define MAX_WAIT_SHARE_NESTED 0.5
/* A request is given up after so many gates refused it for lack of capacity. */
#define FULL_GATES_MAX 2u
/* Retry-After of an isolated request while a service has one target left, and
 * how long after its last crash it is kept from that one. */
#define LAST_TARGET_RETRY_US (10 * BRF_US_PER_S)
#define LAST_TARGET_US (60 * BRF_US_PER_S)

/**
 * struct call - one request, from its arrival to its end.
 * @table: routing table in use for the request
 * @route_state: what this node has learned about the route
 * @hop: the latest hop
 * @work: posted when @hop or the body changes
 * @timer: fires DEADLINE_GRACE_US after @deadline; ends a held answer that is
 *	incomplete then.  From that time on, a forwarded one is checked each
 *	BRF_ANSWER_CHECK_US
 * @watch: of a forwarded answer, from its deadline on
 * @overdue: the forwarded answer was ended for its deadline
 * @peers: targets to which the request was sent; @hop_count of them
 * @caller: service of this VM as the request began
 * @retained: bytes of the answer held beyond a full pipe
 * @parent: request of this VM's target that makes the call, if @has_parent
 * @full_gates: gates that refused the request for lack of capacity
 * @targets_reached: targets that received the request
 * @arrived_at: clock time
 * @caller_deadline: clock time until which the caller waits
 * @deadline: @caller_deadline, limited by the route's timeout
 * @failure_reason: why an attempt that may have run has no answer; BRF_R_NONE
 *	as long as the request has certainly not run
 * @refusal_reason: why the last hop was refused
 * @reported: the report of the gate of @hop was applied
 * @key: identity of the request; @key.body is set by identify()
 * @body_hash: of the part of the body that was sent
 * @verdict: of the crashes that are known of the request
 * @not_before_us: time until the request may be tried; 0 if it may be now
 * @request_body: the request's body on its way to the hop
 * @replay: the part of the body sent so far, to be sent again by the next hop
 * @replay_overflow: the body is longer than REPLAY_MAX, and @replay was freed
 * @awaits_body: the request is judged when its body is known
 * @admitted: the throttle of the route admitted the request, and the end has
 *	not been reported to it
 * @hop_open: @hop has not ended, or its answer is held
 * @marked: the request has a congestion mark
 * @end: how the request ended, for the metrics
 * @end_reason: reason of that end
 * @duration_us: time from arrival to that end
 */
struct call {
	struct brf_list link;
	struct brf_mesh_calls *calls;
	struct brf_flow_request *rq;
	struct brf_table *table;
	const struct brf_route *route;
	struct brf_mesh_route_state *route_state;
	struct brf_mesh_service *service;
	struct brf_hop hop;
	struct brf_task work;
	struct brf_timer timer;
	struct brf_answer_watch watch;
	struct brf_mesh_peer *peers[HOPS_MAX];
	char caller[BRF_NAME_MAX + 1];
	size_t retained;
	struct brf_mesh_parent parent;
	uint32_t hop_count;
	uint32_t full_gates;
	uint32_t targets_reached;
	uint64_t arrived_at;
	uint64_t caller_deadline;
	uint64_t deadline;
	enum brf_reason failure_reason;
	enum brf_reason refusal_reason;
	bool reported;
	struct brf_request_key key;
	struct brf_body_hash body_hash;
	enum brf_crash_verdict verdict;
	uint64_t not_before_us;
	struct brf_pipe request_body;
	struct brf_buf replay;
	bool replay_overflow;
	bool awaits_body;
	bool admitted;
	bool hop_open;
	bool answered;
	bool overdue;
	bool nested;
	bool has_parent;
	bool marked;
	enum brf_request_end end;
	enum brf_reason end_reason;
	uint64_t duration_us;
	struct brf_trace trace;
};

static uint64_t
now(const struct brf_mesh_calls *calls)
{
	return (brf_now(brf_timers_clock(calls->timers)));
}

static uint32_t
rank(const struct call *call)
{
	return (call->has_parent ? call->parent.rank : call->route->rank);
}

static uint64_t
elapsed(const struct call *call)
{
	return (now(call->calls) - call->arrived_at);
}

static void
set_end(struct call *call, enum brf_request_end end, enum brf_reason end_reason)
{
	call->end = end;
	call->end_reason = end_reason;
	call->duration_us = elapsed(call);
}

/* End of a request that this node answers itself with @status. */
static enum brf_request_end
end_for_status(int status)
{
	if (status == 503)
		return (BRF_REQUEST_NOT_RUN);
	return (status < 500 ? BRF_REQUEST_REJECTED : BRF_REQUEST_UNKNOWN);
}

static void
count_request(struct call *call)
{
	struct brf_mesh_service *service = call->service;

	brf_request_metrics_add(service != NULL
				    ? &service->request_metrics
				    : &call->calls->unrouted_metrics,
	    call->calls->metrics, service != NULL ? service->name : "",
	    call->route != NULL ? rank(call) : 0, call->end, call->end_reason,
	    call->duration_us);
}

/*
 * Early refusals are alike, so that they are only logged in groups.  Other
 * failures are added to a group when the limit of single lines is reached.
 */
static void
write_log(struct call *call, const struct brf_trace_end *end)
{
	bool failed = call->end != BRF_REQUEST_DISCONNECTED &&
		      call->end != BRF_REQUEST_LATE &&
		      call->end != BRF_REQUEST_SERVED;

	if (end->reason != BRF_R_SHED_EARLY &&
	    brf_trace_write(&call->trace, end))
		return;
	if (failed)
		brf_failure_log_add(
		    &call->calls->failure_log, end, &call->trace);
}

static void
log_end(struct call *call, const char *event, int status,
    enum brf_reason reason, uint64_t retry_after_ms)
{
	struct brf_trace_end end = {
		.event = event,
		.id = call->rq->head.id,
		.connection = call->rq->connection,
		.route = call->route,
		.service = call->service != NULL ? call->service->name : "",
		.revision =
		    call->table != NULL ? brf_table_revision(call->table) : 0,
		.rank = call->route != NULL ? rank(call) : 0,
		.nested = call->nested,
		.parent = call->has_parent ? call->parent.serial : 0,
		.parent_sure = call->has_parent && call->parent.sure,
		.duration_us = elapsed(call),
		.allowed_us = call->deadline - call->arrived_at,
		.status = status,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	if (call->deadline == 0)
		end.allowed_us = 0;
	if (call->route_state != NULL)
		call->trace.admit_share =
		    call->route_state->throttle.admit_share;
	if (call->service != NULL)
		call->trace.repeats_left = brf_retry_window_left(
		    &call->service->retry_budget, now(call->calls));
	write_log(call, &end);
}

/* Record the gate that the hop goes to, as known to this node now. */
static void
begin_trace_hop(struct call *call, const struct brf_mesh_peer *peer)
{
	struct brf_trace_hop *th = &call->trace.hops[call->trace.count++];
	uint64_t t = now(call->calls);

	th->target = peer->id;
	th->locality = brf_locality_name(peer->balancer.locality);
	th->sent_after_us = t - call->arrived_at;
	th->known = peer->balancer.load;
	th->known_age_us = peer->balancer.load_at != 0
			       ? t - peer->balancer.load_at
			       : UINT64_MAX;
	th->estimate_us = brf_balancer_estimate_us(&peer->balancer, t);
	th->repeat = call->targets_reached > 0;
}

static void
end_trace_hop(struct call *call)
{
	struct brf_trace_hop *th = &call->trace.hops[call->trace.count - 1];
	const struct brf_hop *hop = &call->hop;

	th->duration_us = elapsed(call) - th->sent_after_us;
	th->state = hop->state;
	th->reason = hop->reason;
	th->arrived = hop->arrived;
	th->marked = hop->marked;
	th->has_reported = hop->has_load;
	th->reported = hop->load;
}

static void
forget_retained(struct call *call)
{
	call->calls->retained -= call->retained;
	call->retained = 0;
}

/* End the open hop, if any, without an answer. */
static void
release_hop(struct call *call, enum brf_balancer_feedback end)
{
	struct brf_mesh_peer *peer;

	if (!call->hop_open)
		return;
	call->hop_open = false;
	peer = call->peers[call->hop_count - 1];
	end_trace_hop(call);
	brf_mesh_peer_ended(peer, call->hop.request.born, end,
	    call->hop.has_load ? &call->hop.load : NULL, now(call->calls));
	brf_hop_release(&call->hop);
	forget_retained(call);
}

static void
call_free(struct call *call)
{
	size_t i;

	release_hop(call, BRF_FEEDBACK_NONE);
	count_request(call);
	brf_hop_release(&call->hop);
	forget_retained(call);
	for (i = 0; i < call->hop_count; i++)
		brf_mesh_peer_unref(call->peers[i]);
	brf_task_cancel(&call->work);
	brf_timer_stop(call->calls->timers, &call->timer);
	brf_mesh_route_state_unref(call->route_state);
	brf_table_unref(call->table);
	brf_pipe_free(&call->request_body);
	brf_buf_free(&call->replay);
	brf_body_hash_free(&call->body_hash);
	brf_list_remove(&call->link);
	call->calls->open_count--;
	free(call);
}

/*
 * Append a Retry-After field.  Its value has decimals, which RFC 9110 does not
 * define but callers honour.
 *
 * Return: the time to wait, milliseconds.
 */
static uint64_t
put_retry_after(struct call *call, struct brf_buf *fields)
{
	struct brf_mesh_calls *calls = call->calls;
	struct brf_retry_after when = { .not_before_us = call->not_before_us };
	uint64_t t = now(calls), ms;

	if (call->route != NULL)
		when.objective_us = call->route->objective_us;
	if (calls->exit_at > t)
		when.until_exit_us = calls->exit_at - t;
	if (call->service != NULL)
		when.until_permit_us =
		    brf_mesh_service_permit_wait_us(call->service, t);
	ms = brf_retry_after_us(&when, calls->random) / BRF_US_PER_MS;
	brf_buf_printf(fields, "retry-after: %llu.%03llu\r\n",
	    (unsigned long long)(ms / 1000), (unsigned long long)(ms % 1000));
	return (ms);
}

/*
 * Report how the request ended, and its congestion mark: a nested call's to the
 * gate, for the parent's answer; a root request's to the throttle of its
 * route.
 */
static void
report_congestion(struct call *call, bool failed)
{
	struct brf_mesh_calls *calls = call->calls;
	uint64_t t = now(calls);

	if (call->nested && call->marked)
		brf_mesh_gate_mark_parent(calls->gate,
		    call->has_parent ? &call->parent : NULL, failed);
	if (call->admitted)
		brf_throttle_request_ended(&call->route_state->throttle,
		    call->marked, t - call->arrived_at, t);
	call->admitted = false;
}

/* Answer the request from this node, with @status. */
static void
answer_locally(struct call *call, int status, enum brf_reason reason)
{
	struct brf_buf fields = { .data = NULL };
	uint64_t retry_after_ms = 0;

	release_hop(call, BRF_FEEDBACK_NONE);
	call->answered = true;
	call->awaits_body = false;
	report_congestion(call, true);
	brf_timer_stop(call->calls->timers, &call->timer);
	set_end(call, end_for_status(status), reason);
	if (status == 503)
		retry_after_ms = put_retry_after(call, &fields);
	log_end(call, "request_failed", status, reason, retry_after_ms);
	brf_flow_answer(
	    call->rq, status, fields.data, fields.len, BRF_BODY_NONE, 0, NULL);
	brf_buf_free(&fields);
}

/* Answer the request after its last hop has ended without an answer. */
static void
give_up(struct call *call)
{
	if (call->failure_reason == BRF_R_NONE)
		answer_locally(call, 503, call->refusal_reason);
	else
		answer_locally(call,
		    call->failure_reason == BRF_R_TIMEOUT ? 504 : 502,
		    call->failure_reason);
}

static void hop_answered(struct call *call);

static void
deadline_passed(struct brf_timer *timer, void *arg)
{
	struct call *call = arg;

	(void)timer;
	if (call->hop_open && call->hop.state == BRF_HOP_ANSWERED &&
	    (call->hop.answer_body.state == BRF_PIPE_ENDED ||
		(call->hop.answer_body.state == BRF_PIPE_OPEN &&
		    call->retained != 0))) {
		hop_answered(call);
		return;
	}
	if (call->hop_open)
		call->failure_reason = BRF_R_TIMEOUT;
	else
		call->refusal_reason = BRF_R_EXPIRED;
	release_hop(call, BRF_FEEDBACK_NONE);
	answer_locally(call, 504, BRF_R_TIMEOUT);
}

/*
 * Move received bytes of the body to the hop.  They are also kept for another
 * hop, up to REPLAY_MAX: a gate that refuses the request does so before it has
 * asked for more than this.
 */
static void
forward_body(struct call *call)
{
	struct brf_pipe *body = &call->rq->body;
	size_t len = brf_pipe_len(body),
	       room = brf_pipe_space(&call->request_body);

	if (len > room)
		len = room;
	if (len != 0 && !call->replay_overflow) {
		if (call->replay.len + len > REPLAY_MAX)
			call->replay_overflow = true;
		else
			brf_buf_add(&call->replay, brf_pipe_data(body), len);
	}
	if (call->replay_overflow)
		brf_buf_free(&call->replay);
	if (len != 0) {
		brf_body_hash_add(&call->body_hash, brf_pipe_data(body), len);
		brf_pipe_write(&call->request_body, brf_pipe_data(body), len);
		brf_pipe_consume(body, len);
	}
	if (brf_pipe_finished(body))
		brf_pipe_end(&call->request_body);
	else if (body->state == BRF_PIPE_BROKEN)
		brf_pipe_break(&call->request_body);
}

static void
begin_body(struct call *call)
{
	brf_pipe_free(&call->request_body);
	brf_pipe_init(&call->request_body, call->calls->tasks);
	call->request_body.writer = &call->work;
	call->rq->body.reader = &call->work;
	brf_pipe_write(
	    &call->request_body, call->replay.data, call->replay.len);
	forward_body(call);
	call->hop.request_body = &call->request_body;
}

/*
 * Longest time to wait for a slot.  A nested call that waits keeps its parent's
 * slot occupied, so that nested calls, too, are refused before the queue is
 * long.  Meanwhile the throttle admits fewer of the root requests that make
 * them.
 */
static uint64_t
slot_wait_limit_us(const struct call *call)
{
	const struct brf_route *route = call->route;
	uint64_t time = route->objective_us < route->timeout_us
			    ? route->objective_us
			    : route->timeout_us;

	return ((uint64_t)((double)time * (call->nested ? MAX_WAIT_SHARE_NESTED
							: MAX_WAIT_SHARE)));
}

static struct brf_balancer_request
balancer_request(const struct call *call)
{
	return ((struct brf_balancer_request){
	    .rank = rank(call),
	    .nested = call->nested,
	    .repeatable = call->route->repeatable,
	    .max_wait_us = slot_wait_limit_us(call),
	});
}

/*
 * Longest time to wait at the gate of @peer.  A request does not wait for a
 * permit of one target while another one could run it.
 */
static uint64_t
wait_limit_us(const struct call *call, const struct brf_mesh_peer *peer)
{
	struct brf_balancer_request request = balancer_request(call);
	uint64_t limit = request.max_wait_us, waited = elapsed(call);

	if (peer->balancer.rate_limit == 0)
		return (limit);
	if (brf_mesh_service_has_unlimited(call->service, &request, call->peers,
		call->hop_count, peer, now(call->calls)))
		return (0);
	return (waited < limit ? limit - waited : 0);
}

static void
send_hop(struct call *call, struct brf_mesh_peer *peer)
{
	struct brf_mesh_calls *calls = call->calls;
	struct brf_request_head *head = &call->rq->head;
	struct brf_hop *hop = &call->hop;

	memset(hop, 0, sizeof(*hop));
	hop->owner = &call->work;
	hop->request = (struct brf_hop_request){
		.id = head->id,
		.target = peer->id,
		.caller = call->caller,
		.method = head->method,
		.path = head->path.data,
		.host = head->host,
		.fields = head->fields.data != NULL ? head->fields.data : "",
		.fields_len = head->fields.len,
		.deadline = call->deadline,
		.max_wait_us = wait_limit_us(call, peer),
		.length = head->length,
		.body = head->body,
		.rank = rank(call),
		.repeatable = call->route->repeatable,
		.nested = call->nested,
		.repeat = call->targets_reached > 0 ||
			  (call->has_parent && call->parent.repeat),
		.born = peer->born,
		.rate_limit = peer->report.rate_limit,
	};
	call->reported = false;
	if (head->body != BRF_BODY_NONE)
		begin_body(call);
	call->peers[call->hop_count++] = peer;
	call->hop_open = true;
	begin_trace_hop(call, peer);
	brf_balancer_hop_sent(&peer->balancer, now(calls));
	brf_hop_send(peer->link != NULL ? brf_link_backend(peer->link)
					: brf_mesh_gate_backend(calls->gate),
	    hop);
}

/*
 * Set the key of the request.
 *
 * Return: false when its body is not known yet, so that it can't be told from
 * others.
 */
static bool
identify(struct call *call)
{
	const struct brf_pipe *body = &call->rq->body;
	struct brf_body_hash rest = { .state = NULL };

	if (call->rq->head.body == BRF_BODY_NONE)
		return (true);
	if (call->body_hash.len != 0) {
		call->key.body = brf_body_hash_value(&call->body_hash);
		return (brf_pipe_finished(body) ||
			call->body_hash.len == BRF_BODY_HASHED_MAX);
	}
	if (body->state == BRF_PIPE_OPEN &&
	    brf_pipe_len(body) < BRF_BODY_HASHED_MAX)
		return (false);
	brf_body_hash_add(&rest, brf_pipe_data(body), brf_pipe_len(body));
	call->key.body = brf_body_hash_value(&rest);
	brf_body_hash_free(&rest);
	return (true);
}

/* Whether the crashes known by now forbid to send the request once more. */
static bool
is_isolated(struct call *call)
{
	const struct brf_mesh_calls *calls = call->calls;
	const struct brf_crash_suspect *suspect;

	if (call->verdict >= BRF_CRASH_ISOLATED)
		return (true);
	if (calls->crashes == NULL || !identify(call))
		return (false);
	suspect =
	    brf_crash_log_find(calls->crashes->log, call->caller, &call->key);
	return (suspect != NULL && suspect->weight >= BRF_CRASH_ISOLATE);
}

/* The target crashed under the request. */
static void
note_crash(struct call *call, const struct brf_mesh_peer *peer)
{
	const struct brf_mesh_calls *calls = call->calls;

	if (calls->crashes != NULL && identify(call))
		brf_mesh_crashes_hop_lost(calls->crashes, call->caller,
		    &call->key, peer->id, peer->born);
}

/* A target has lived through the request. */
static void
note_answered(struct call *call)
{
	const struct brf_mesh_calls *calls = call->calls;

	if (calls->crashes != NULL && identify(call))
		brf_mesh_crashes_answered(
		    calls->crashes, call->caller, &call->key);
}

static void start_timer(struct call *call);

/* Whether this node, if it stops, may send the request to a target. */
static bool
may_send(struct call *call)
{
	const struct brf_mesh_calls *calls = call->calls;
	uint64_t t = now(calls);
	struct brf_stop_request rq = {
		.expected_us = brf_longest_get(&call->route_state->longest, t),
		.repeatable = call->route->repeatable,
		.is_call_of_running = call->has_parent && call->parent.sure,
	};
	enum brf_stop_verdict verdict;

	if (calls->exit_at == 0 || t < calls->refuse_long_from)
		return (true);
	if (rq.expected_us < call->route->objective_us)
		rq.expected_us = call->route->objective_us;
	if (calls->work_ends_at > t)
		rq.until_end_us = calls->work_ends_at - t;
	if (call->deadline > t)
		rq.until_deadline_us = call->deadline - t;
	verdict = brf_stop_judge(&rq);
	if (verdict == BRF_STOP_LIMIT) {
		brf_log_request(BRF_LOG_INFO, "stop_limits_request",
		    BRF_LS("request", call->rq->head.id),
		    BRF_LU("left_ms", rq.until_deadline_us / BRF_US_PER_MS),
		    BRF_LU("limit_ms", rq.until_end_us / BRF_US_PER_MS),
		    BRF_LU("expected_ms", rq.expected_us / BRF_US_PER_MS));
		call->deadline = calls->work_ends_at;
		start_timer(call);
	}
	return (verdict != BRF_STOP_KEEP);
}

/* Send the request to the next target, or give up. */
static void
try_next_target(struct call *call)
{
	struct brf_mesh_calls *calls = call->calls;
	struct brf_balancer_request request = balancer_request(call);
	struct brf_mesh_peer *peer = NULL;

	if (call->hop_count < HOPS_MAX && call->full_gates < FULL_GATES_MAX)
		peer = brf_mesh_service_choose(call->service, &request,
		    call->peers, call->hop_count, calls->random, now(calls));
	if (peer != NULL) {
		send_hop(call, peer);
		return;
	}
	if (call->hop_count == 0)
		call->refusal_reason = brf_mesh_service_permit_wait_us(
					   call->service, now(calls)) != 0
					   ? BRF_R_RATE_LIMIT
					   : BRF_R_NO_TARGET;
	/* no target is left: now the limits are the service's capacity */
	if (call->refusal_reason == BRF_R_RATE_LIMIT)
		call->marked = true;
	give_up(call);
}

static const enum brf_balancer_feedback refusal_feedback[BRF_REASON_COUNT] = {
	[BRF_R_NONE] = BRF_FEEDBACK_NONE,
	[BRF_R_OVERLOAD] = BRF_FEEDBACK_NO_CAPACITY,
	[BRF_R_WORKSPACE_SHARE] = BRF_FEEDBACK_NO_CAPACITY,
	[BRF_R_DEADLINE] = BRF_FEEDBACK_NONE,
	[BRF_R_EXPIRED] = BRF_FEEDBACK_NO_CAPACITY,
	[BRF_R_RATE_LIMIT] = BRF_FEEDBACK_RATE_LIMIT,
	[BRF_R_DRAINING] = BRF_FEEDBACK_DRAINING,
	[BRF_R_TARGET_SHED] = BRF_FEEDBACK_TARGET_FAILED,
	[BRF_R_NO_TARGET] = BRF_FEEDBACK_UNREACHABLE,
	[BRF_R_TARGET_DOWN] = BRF_FEEDBACK_UNREACHABLE,
	[BRF_R_NOT_SENT] = BRF_FEEDBACK_UNREACHABLE,
};

/* Record whether the gate takes requests of this route for nested calls. */
static void
learn_nesting(struct call *call)
{
	if (call->hop.has_load)
		brf_nesting_add_report(
		    &call->route_state->nesting, call->hop.nested_route);
}

/* Update the directory after the gate reported that it has no such target. */
static void
drop_stale_target(struct call *call, struct brf_mesh_peer *peer)
{
	const struct brf_buf *replacement = &call->hop.replacement;

	if (peer->target == NULL)
		return;
	if (replacement->len != 0)
		brf_directory_replace(
		    peer->target, replacement->data, replacement->len);
	else
		brf_directory_drop_lapsed(peer->target);
}

/* Send the request again, unless this process may exit meanwhile. */
static void
try_again(struct call *call)
{
	if (may_send(call)) {
		try_next_target(call);
		return;
	}
	call->refusal_reason = BRF_R_DRAINING;
	give_up(call);
}

/* The target did not run the request and never will. */
static void
hop_refused(struct call *call)
{
	struct brf_hop *hop = &call->hop;
	struct brf_mesh_peer *peer = call->peers[call->hop_count - 1];
	uint64_t t = now(call->calls);

	learn_nesting(call);
	call->refusal_reason = hop->reason;
	call->marked = call->marked || hop->marked;
	if (hop->arrived)
		call->targets_reached++;
	if (refusal_feedback[hop->reason] == BRF_FEEDBACK_NO_CAPACITY)
		call->full_gates++;
	if (call->refusal_reason == BRF_R_NO_TARGET)
		drop_stale_target(call, peer);
	release_hop(call, refusal_feedback[hop->reason]);
	if (call->targets_reached >= call->route->attempts ||
	    call->replay_overflow ||
	    (call->targets_reached > 0 &&
		!brf_retry_window_take(
		    &call->service->retry_budget, call->nested, t)))
		give_up(call);
	else
		try_again(call);
}

/* Whether the hop has passed on what there is of a body that is not complete,
 * so that its target could not answer in time. */
static bool
awaits_caller(const struct call *call)
{
	const struct brf_pipe *body = &call->request_body;

	return (call->hop.reason == BRF_R_TIMEOUT &&
		call->hop.request_body != NULL &&
		body->state == BRF_PIPE_OPEN && brf_pipe_len(body) == 0);
}

/* The target may have run the request. */
static void
hop_failed(struct call *call)
{
	uint64_t t = now(call->calls);

	if (call->hop.reason == BRF_R_TARGET_CRASHED)
		note_crash(call, call->peers[call->hop_count - 1]);
	learn_nesting(call);
	call->failure_reason = call->hop.reason;
	call->marked = call->marked || call->hop.marked;
	call->targets_reached++;
	release_hop(
	    call, awaits_caller(call) ? BRF_FEEDBACK_NONE : BRF_FEEDBACK_LOST);
	if (!call->route->repeatable ||
	    call->targets_reached >= call->route->attempts ||
	    call->replay_overflow || is_isolated(call) ||
	    !brf_retry_window_take(
		&call->service->retry_budget, call->nested, t))
		give_up(call);
	else
		try_again(call);
}

static void
log_answer(struct call *call)
{
	int status = call->hop.answer.status;

	set_end(call,
	    status >= 500 ? BRF_REQUEST_TARGET_FAILED
	    : elapsed(call) > call->route->objective_us ? BRF_REQUEST_LATE
							: BRF_REQUEST_SERVED,
	    BRF_R_NONE);
	if (call->end == BRF_REQUEST_TARGET_FAILED)
		log_end(call, "request_failed", status, BRF_R_NONE, 0);
	else if (call->end == BRF_REQUEST_LATE)
		log_end(call, "request_late", status, BRF_R_NONE, 0);
	else if (brf_trace_is_sampled(call->rq->head.id))
		log_end(call, "request_ended", status, BRF_R_NONE, 0);
}

/*
 * Apply the report of the hop's gate when it arrives: a held answer is handled
 * later, when newer reports may have come.
 */
static void
take_report(struct call *call)
{
	if (call->reported || call->hop.state == BRF_HOP_OPEN ||
	    !call->hop.has_load)
		return;
	call->reported = true;
	brf_mesh_peer_reported(call->peers[call->hop_count - 1],
	    &call->hop.report, now(call->calls));
}

static void
check_answer(struct brf_timer *timer, void *arg)
{
	struct call *call = arg;
	struct brf_pipe *body = &call->hop.answer_body;

	if (body->state != BRF_PIPE_OPEN)
		return;
	if (brf_answer_watch_check(&call->watch, now(call->calls),
		body->written, brf_pipe_read(body)) == BRF_ANSWER_GOES_ON) {
		brf_timer_start(
		    call->calls->timers, timer, BRF_ANSWER_CHECK_US);
		return;
	}
	call->overdue = true;
	brf_pipe_break(body);
}

static void
watch_answer(struct brf_timer *timer, void *arg)
{
	struct call *call = arg;
	const struct brf_pipe *body = &call->hop.answer_body;

	call->watch = (struct brf_answer_watch){ .max_wait_us = SILENT_MAX_US,
		.max_unread_us = UNREAD_MAX_US,
		.renewed = true };
	brf_answer_watch_start(
	    &call->watch, now(call->calls), body->written, brf_pipe_read(body));
	timer->fire = check_answer;
	brf_timer_start(call->calls->timers, timer, BRF_ANSWER_CHECK_US);
}

/* The answer goes to the caller; watch it from its deadline on. */
static void
keep_deadline(struct call *call)
{
	brf_timer_stop(call->calls->timers, &call->timer);
	if (call->hop.answer_body.state != BRF_PIPE_OPEN)
		return;
	call->timer.fire = watch_answer;
	start_timer(call);
}

static void
hop_answered(struct call *call)
{
	struct brf_answer_head *a = &call->hop.answer;
	struct brf_mesh_peer *peer = call->peers[call->hop_count - 1];
	uint64_t t = now(call->calls);

	take_report(call);
	call->hop_open = false;
	call->answered = true;
	keep_deadline(call);
	end_trace_hop(call);
	brf_mesh_peer_ended(peer, call->hop.request.born, BRF_FEEDBACK_ANSWERED,
	    call->hop.has_load ? &call->hop.load : NULL, t);
	learn_nesting(call);
	call->marked = call->marked || call->hop.marked;
	brf_longest_add(&call->route_state->longest,
	    t - call->arrived_at - call->trace.hops[0].sent_after_us, t);
	report_congestion(call, a->status >= 500);
	log_answer(call);
	brf_flow_answer(call->rq, a->status, a->fields.data, a->fields.len,
	    a->body, a->length, &call->hop.answer_body);
}

/* Return: whether more of the answer can be held than a full pipe. */
static bool
retain_answer(struct call *call)
{
	struct brf_mesh_calls *calls = call->calls;
	size_t more = brf_pipe_backlog(&call->hop.answer_body);

	if (call->retained + more > RETAINED_MAX_BYTES ||
	    calls->retained + more > RETAINED_TOTAL_MAX_BYTES)
		return (false);
	call->retained += more;
	calls->retained += more;
	brf_pipe_retain(&call->hop.answer_body);
	return (true);
}

/*
 * Hold an incomplete answer while requests behind it run, so that it can still
 * be replaced if it breaks off.
 */
static void
take_answer(struct call *call)
{
	struct brf_hop *hop = &call->hop;
	const struct brf_pipe *body = &hop->answer_body;

	if (body->state == BRF_PIPE_BROKEN) {
		hop->state = BRF_HOP_FAILED;
		if (hop->reason == BRF_R_NONE)
			hop->reason = BRF_R_BROKEN_ANSWER;
		hop_failed(call);
	} else if (body->state == BRF_PIPE_ENDED ||
		   !brf_flow_is_followed(call->rq) ||
		   (brf_pipe_backlog(body) >= BRF_PIPE_HIGH_WATER &&
		       !retain_answer(call)))
		hop_answered(call);
}

static void begin(struct call *call);

static void
work(struct brf_task *task)
{
	struct call *call = brf_container_of(task, struct call, work);

	if (call->awaits_body) {
		if (identify(call))
			begin(call);
		return;
	}
	if (call->hop.request_body != NULL)
		forward_body(call);
	if (!call->hop_open)
		return;
	take_report(call);
	switch (call->hop.state) {
	case BRF_HOP_OPEN:
		break;
	case BRF_HOP_ANSWERED:
		take_answer(call);
		break;
	case BRF_HOP_REFUSED:
		hop_refused(call);
		break;
	case BRF_HOP_FAILED:
		hop_failed(call);
		break;
	}
}

static void
set_deadline(struct call *call)
{
	const struct brf_request_head *head = &call->rq->head;
	uint64_t left =
	    (head->has_timeout ? head->timeout_ms : TIMEOUT_DEFAULT_MS) *
	    BRF_US_PER_MS;

	call->caller_deadline = call->arrived_at + left;
	if (left > call->route->timeout_us)
		left = call->route->timeout_us;
	call->deadline = call->arrived_at + left;
}

/* Decide whether the request is a nested call, and find its parent. */
static void
find_parent(struct call *call)
{
	uint32_t same, near;

	brf_mesh_gate_count_deadlines(
	    call->calls->gate, call->caller_deadline, &same, &near);
	brf_nesting_add_start(&call->route_state->nesting, same, near);
	call->nested = brf_nesting_is_nested(&call->route_state->nesting);
	call->has_parent =
	    call->nested && brf_mesh_gate_find_parent(call->calls->gate,
				call->caller_deadline, &call->parent);
}

static const char *
choose_service(struct call *call)
{
	const struct brf_route *route = call->route;
	uint32_t weights[BRF_SPLIT_MAX];
	size_t i, count = route->share_count;

	if (count > BRF_SPLIT_MAX)
		count = BRF_SPLIT_MAX;
	for (i = 0; i < count; i++)
		weights[i] = route->shares[i].weight;
	i = count == 1 ? 0
		       : brf_split_next(&call->route_state->split, weights,
			     count, call->calls->random);
	return (brf_table_service(call->table, route->shares[i].service)->name);
}

/* Return: false when there is no route; the request is then answered. */
static bool
find_route(struct call *call)
{
	struct brf_mesh_calls *calls = call->calls;
	struct brf_request_head *head = &call->rq->head;

	if (calls->tables->current == NULL) {
		answer_locally(call, 503, BRF_R_NO_TARGET);
		return (false);
	}
	call->table = brf_table_ref(calls->tables->current);
	call->route = brf_table_match(call->table, head->host, head->path.data);
	if (call->route == NULL) {
		answer_locally(call, 404, BRF_R_NO_SERVICE);
		return (false);
	}
	call->route_state =
	    brf_mesh_tables_route_state(calls->tables, call->route);
	return (true);
}

/*
 * Nested calls are always admitted: otherwise the work that their parent has
 * done would be lost.
 */
static bool
admit(struct call *call)
{
	if (call->nested)
		return (true);
	call->admitted = brf_throttle_admit(&call->route_state->throttle,
	    call->calls->random, call->arrived_at);
	return (call->admitted);
}

static void
start_timer(struct call *call)
{
	struct brf_mesh_calls *calls = call->calls;
	uint64_t at = call->deadline + DEADLINE_GRACE_US, t = now(calls);

	brf_timer_start(calls->timers, &call->timer, at > t ? at - t : 0);
}

/* Whether the request has to be judged by its body, which is not known yet. */
static bool
awaits_body(struct call *call)
{
	const struct brf_mesh_calls *calls = call->calls;
	const struct brf_request_head *head = &call->rq->head;

	if (calls->crashes == NULL)
		return (false);
	call->key.head =
	    brf_request_head_hash(head->method, head->host, head->path.data);
	if (!brf_crash_log_needs_body(
		calls->crashes->log, call->caller, call->key.head) ||
	    identify(call))
		return (false);
	call->awaits_body = true;
	call->rq->body.reader = &call->work;
	return (true);
}

/* Whether the isolated request is to be kept from the last target that is left
 * of its service. */
static bool
spares_last_target(const struct call *call)
{
	const struct brf_mesh_calls *calls = call->calls;
	const struct brf_crash_suspect *suspect =
	    brf_crash_log_find(calls->crashes->log, call->caller, &call->key);

	return (suspect->last_at + LAST_TARGET_US > now(calls) &&
		brf_mesh_service_sound_targets(call->service) < 2);
}

/* Whether the request is not to be run, because of the targets that crashed
 * under it. */
static bool
is_refused(struct call *call)
{
	struct brf_mesh_calls *calls = call->calls;

	if (calls->crashes == NULL || !identify(call))
		return (false);
	call->verdict = brf_crash_log_judge(calls->crashes->log, call->caller,
	    &call->key, now(calls), &call->not_before_us);
	if (call->verdict >= BRF_CRASH_ISOLATED && call->not_before_us == 0 &&
	    spares_last_target(call))
		call->not_before_us = LAST_TARGET_RETRY_US;
	return (call->not_before_us != 0);
}

static void
on_request(struct brf_flow_handler *handler, struct brf_flow_request *rq)
{
	struct brf_mesh_calls *calls =
	    brf_container_of(handler, struct brf_mesh_calls, handler);
	struct call *call = brf_calloc(1, sizeof(*call));

	calls->open_count++;
	brf_list_append(&calls->open, &call->link);
	call->calls = calls;
	call->rq = rq;
	rq->data = call;
	call->arrived_at = rq->arrived;
	brf_copy_name(call->caller, sizeof(call->caller), calls->service);
	brf_task_init(&call->work, work);
	call->timer.fire = deadline_passed;
	call->timer.arg = call;
	if (!find_route(call))
		return;
	set_deadline(call);
	find_parent(call);
	call->service =
	    brf_mesh_service_get(calls->services, choose_service(call));
	start_timer(call);
	if (awaits_body(call))
		return;
	begin(call);
}

/* Begin a request, whose body may have been waited for. */
static void
begin(struct call *call)
{
	call->awaits_body = false;
	if (!may_send(call)) {
		answer_locally(call, 503, BRF_R_DRAINING);
		return;
	}
	if (is_refused(call)) {
		answer_locally(call, 503, BRF_R_CRASH_SUSPECT);
		return;
	}
	if (!admit(call)) {
		answer_locally(call, 503, BRF_R_SHED_EARLY);
		return;
	}
	if (call->has_parent && call->parent.repeat)
		brf_retry_window_count_forced(
		    &call->service->retry_budget, call->arrived_at);
	else
		brf_retry_window_count_first(
		    &call->service->retry_budget, call->arrived_at);
	try_next_target(call);
}

/* Whether the request may run beside earlier ones of its connection. */
static bool
may_run_ahead(
    struct brf_flow_handler *handler, const struct brf_flow_request *rq)
{
	struct brf_mesh_calls *calls =
	    brf_container_of(handler, struct brf_mesh_calls, handler);
	const struct brf_route *route;

	if (calls->tables->current == NULL)
		return (true);
	route = brf_table_match(
	    calls->tables->current, rq->head.host, rq->head.path.data);
	return (route == NULL || route->repeatable);
}

static const enum brf_reason unanswered_reasons[BRF_FLOW_END_COUNT] = {
	[BRF_FLOW_BROKEN] = BRF_R_BROKEN_ANSWER,
	[BRF_FLOW_EARLIER_BROKEN] = BRF_R_EARLIER_BROKEN,
	[BRF_FLOW_BEHIND_CLOSE] = BRF_R_BEHIND_CLOSE,
	[BRF_FLOW_ABORTED] = BRF_R_ABORTED,
};

static enum brf_reason
unanswered_reason(const struct call *call, enum brf_flow_end end)
{
	if (end == BRF_FLOW_BROKEN && call->overdue)
		return (BRF_R_TIMEOUT);
	if (end == BRF_FLOW_BROKEN && call->hop.reason != BRF_R_NONE)
		return (call->hop.reason);
	return (unanswered_reasons[end]);
}

static bool
is_targets_answer(enum brf_request_end end)
{
	return (end == BRF_REQUEST_SERVED || end == BRF_REQUEST_LATE ||
		end == BRF_REQUEST_TARGET_FAILED);
}

static void
on_ended(struct brf_flow_handler *handler, struct brf_flow_request *rq,
    enum brf_flow_end end)
{
	struct call *call = rq->data;
	enum brf_reason reason;

	(void)handler;
	if (end == BRF_FLOW_SENT && is_targets_answer(call->end))
		note_answered(call);
	if (end == BRF_FLOW_DISCONNECTED) {
		release_hop(call, BRF_FEEDBACK_NONE);
		set_end(call, BRF_REQUEST_DISCONNECTED, BRF_R_CANCELLED);
		/* a nested call is cancelled whenever its parent is */
		if (!call->nested || brf_trace_is_sampled(rq->head.id))
			log_end(call, "request_left", 0, BRF_R_CANCELLED, 0);
	} else if (end == BRF_FLOW_REFUSED) {
		set_end(call, BRF_REQUEST_REJECTED, BRF_R_MALFORMED);
		log_end(call, "request_failed", 0, BRF_R_MALFORMED, 0);
	} else if (end != BRF_FLOW_SENT) {
		reason = unanswered_reason(call, end);
		release_hop(call, BRF_FEEDBACK_NONE);
		set_end(call, BRF_REQUEST_UNKNOWN, reason);
		log_end(call, "request_failed", 0, reason, 0);
	}
	call_free(call);
}

static void
on_refused(struct brf_flow_handler *handler, int status)
{
	(void)handler;
	brf_log(BRF_LOG_INFO, "request_malformed",
	    BRF_LU("status", (uint64_t)status));
}

static const struct brf_flow_handler_vt handler_vt = {
	.may_run_ahead = may_run_ahead,
	.request = on_request,
	.ended = on_ended,
	.refused = on_refused,
};

static void
end_before_exit(struct call *call)
{
	if (call->answered)
		return;
	if (call->hop_open && call->hop.state == BRF_HOP_ANSWERED &&
	    call->hop.answer_body.state != BRF_PIPE_BROKEN) {
		hop_answered(call);
		return;
	}
	call->refusal_reason = BRF_R_DRAINING;
	if (call->hop_open)
		call->failure_reason = BRF_R_ABORTED;
	give_up(call);
}

void
brf_mesh_calls_init(struct brf_mesh_calls *calls)
{
	calls->handler.vt = &handler_vt;
	brf_list_init(&calls->open);
	calls->open_count = 0;
}

void
brf_mesh_calls_give_up(struct brf_mesh_calls *calls)
{
	struct brf_list *l, waiting;

	/* An answer may end several requests of its connection. */
	brf_list_init(&waiting);
	brf_list_move(&waiting, &calls->open);
	while ((l = brf_list_pop(&waiting)) != NULL) {
		brf_list_append(&calls->open, l);
		end_before_exit(brf_list_entry(l, struct call, link));
	}
}
