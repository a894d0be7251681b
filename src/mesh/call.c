#include <stdlib.h>

#include "base/log.h"
#include "mesh/call.h"
#include "mesh/gate.h"
#include "mesh/trail.h"
#include "policy/retry_after.h"

#define REPLAY_MAX 65536u /* bytes of a body that are kept for another hop */
#define HOPS_MAX BRF_TRAIL_HOPS
#define TIMEOUT_PRESET_MS 60000u /* where a caller doesn't say how long */

/* After the deadline, for a gate's word. */
#define LATE_US (30 * BRF_US_PER_MS)
/* Part of its time that a request may wait for a slot, or a call. */
#define PATIENCE_SHARE 0.3
#define PATIENCE_NESTED 0.5
/* Gates without room that a request is offered to. */
#define FULL_MAX 2u

/**
 * struct call - one request.
 * @table: that it is judged by
 * @kept: what is remembered of its route
 * @peers: where it was, @hops of them
 * @request_body: the request's body on its way to the present hop
 * @replay: what of the body has gone there so far, for the next one
 * @spent: it is more than what is kept
 * @parent: the request that makes it, with @has_parent
 * @full: gates that had no room for it
 * @arrivals: targets that have seen it
 * @deadline_asked: clock time until which its caller waits
 * @deadline: until which the route lets it, too
 * @doubt: why it may have run; BRF_R_NONE when it has not
 * @refusal: why the last hop was not run
 * @open: a hop is under way
 * @end: how it ended, with @why and after @took
 */
struct call {
	struct brf_mesh_callers *callers;
	struct brf_flow_request *rq;
	struct brf_table *table;
	const struct brf_route *route;
	struct brf_mesh_route *kept;
	struct brf_mesh_service *service;
	struct brf_hop hop;
	struct brf_task work;
	struct brf_timer timer;
	struct brf_mesh_peer *peers[HOPS_MAX];
	struct brf_mesh_parent parent;
	uint32_t hops;
	uint32_t full;
	uint32_t arrivals;
	uint64_t began;
	uint64_t deadline_asked;
	uint64_t deadline;
	enum brf_reason doubt;
	enum brf_reason refusal;
	uint32_t retry_after_ms;
	struct brf_pipe request_body;
	struct brf_buf replay;
	bool spent;
	bool admitted;
	bool open;
	bool answered;
	bool nested;
	bool has_parent;
	bool marked;
	enum brf_tally_end end;
	enum brf_reason why;
	uint64_t took;
	struct brf_trail trail;
};

static uint64_t
now(const struct brf_mesh_callers *callers)
{
	return (brf_now(brf_timers_clock(callers->timers)));
}

static uint32_t
rank(const struct call *call)
{
	return (call->has_parent ? call->parent.rank : call->route->rank);
}

static uint64_t
elapsed(const struct call *call)
{
	return (now(call->callers) - call->began);
}

static void
set_end(struct call *call, enum brf_tally_end end, enum brf_reason why)
{
	call->end = end;
	call->why = why;
	call->took = elapsed(call);
}

/* What a status of this node's own tells the caller. */
static enum brf_tally_end
own_end(int status)
{
	if (status == 503)
		return (BRF_TALLY_NOT_RUN);
	return (status < 500 ? BRF_TALLY_REJECTED : BRF_TALLY_UNKNOWN);
}

static void
count_end(struct call *call)
{
	struct brf_mesh_service *service = call->service;

	brf_tally_add(
	    service != NULL ? &service->tally : &call->callers->unrouted,
	    call->callers->metrics, service != NULL ? service->name : "",
	    call->route != NULL ? rank(call) : 0, call->end, call->why,
	    call->took);
}

/* Early refusals differ by nothing that a line of their own would tell. */
static void
write_end(struct call *call, const struct brf_trail_end *end)
{
	bool failed = call->end != BRF_TALLY_LEFT &&
		      call->end != BRF_TALLY_LATE &&
		      call->end != BRF_TALLY_SERVED;

	if (end->reason != BRF_R_SHED_EARLY &&
	    brf_trail_write(&call->trail, end))
		return;
	if (failed)
		brf_digest_add(&call->callers->digest, end, &call->trail);
}

static void
log_end(struct call *call, const char *event, int status,
    enum brf_reason reason, uint64_t retry_after_ms)
{
	struct brf_trail_end end = {
		.event = event,
		.id = call->rq->head.id,
		.route = call->route,
		.service = call->service != NULL ? call->service->name : "",
		.revision =
		    call->table != NULL ? brf_table_revision(call->table) : 0,
		.rank = call->route != NULL ? rank(call) : 0,
		.nested = call->nested,
		.parent = call->has_parent ? call->parent.serial : 0,
		.parent_sure = call->has_parent && call->parent.sure,
		.took_us = elapsed(call),
		.allowed_us = call->deadline - call->began,
		.status = status,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	if (call->deadline == 0)
		end.allowed_us = 0;
	if (call->kept != NULL)
		call->trail.share = call->kept->pace.share;
	if (call->service != NULL)
		call->trail.budget = brf_repeat_left(
		    &call->service->repeats, now(call->callers));
	write_end(call, &end);
}

/* The gate that the request is offered to, as it is known now. */
static void
begin_trail_hop(struct call *call, const struct brf_mesh_peer *peer)
{
	struct brf_trail_hop *th = &call->trail.hops[call->trail.count++];
	uint64_t t = now(call->callers);

	th->target = peer->id;
	th->ring = brf_place_ring_name(peer->place.ring);
	th->at_us = t - call->began;
	th->known = peer->place.load;
	th->known_age_us =
	    peer->place.load_at != 0 ? t - peer->place.load_at : UINT64_MAX;
	th->estimate_us = brf_place_estimate(&peer->place, t);
	th->repeat = call->arrivals > 0;
}

static void
end_trail_hop(struct call *call)
{
	struct brf_trail_hop *th = &call->trail.hops[call->trail.count - 1];
	const struct brf_hop *hop = &call->hop;

	th->took_us = elapsed(call) - th->at_us;
	th->state = hop->state;
	th->reason = hop->reason;
	th->arrived = hop->arrived;
	th->marked = hop->marked;
	th->has_told = hop->has_load;
	th->told = hop->load;
}

/* End the hop that is under way, if any, without an answer. */
static void
release_hop(struct call *call, enum brf_place_end end)
{
	struct brf_mesh_peer *peer;

	if (!call->open)
		return;
	call->open = false;
	peer = call->peers[call->hops - 1];
	end_trail_hop(call);
	brf_mesh_peer_ended(peer, end,
	    call->hop.has_load ? &call->hop.load : NULL, now(call->callers));
	brf_hop_release(&call->hop);
}

static void
call_free(struct call *call)
{
	size_t i;

	release_hop(call, BRF_PLACE_NEUTRAL);
	count_end(call);
	brf_hop_release(&call->hop);
	for (i = 0; i < call->hops; i++)
		brf_mesh_peer_unref(call->peers[i]);
	brf_task_cancel(&call->work);
	brf_timer_stop(call->callers->timers, &call->timer);
	brf_table_unref(call->table);
	brf_pipe_free(&call->request_body);
	brf_buf_free(&call->replay);
	call->callers->open--;
	free(call);
}

/* Seconds with fractions, as callers honour them.  Return: the time, ms. */
static uint64_t
put_retry_after(struct call *call, struct brf_buf *fields)
{
	struct brf_mesh_callers *callers = call->callers;
	struct brf_retry_after when = { .objective_us = 0 };
	uint64_t t = now(callers), ms;

	if (call->route != NULL)
		when.objective_us = call->route->objective_us;
	if (callers->ends_at > t)
		when.away_us = callers->ends_at - t;
	ms = brf_retry_after_us(&when, callers->random) / BRF_US_PER_MS;
	brf_buf_printf(fields, "retry-after: %llu.%03llu\r\n",
	    (unsigned long long)(ms / 1000), (unsigned long long)(ms % 1000));
	return (ms);
}

/* Pass on what is known of pressure to where it can be met. */
static void
settle_pace(struct call *call, bool failed)
{
	struct brf_mesh_callers *callers = call->callers;
	uint64_t t = now(callers);

	if (call->nested && call->marked)
		brf_mesh_gate_mark(callers->gate,
		    call->has_parent ? &call->parent : NULL, failed);
	if (call->admitted)
		brf_pace_ended(
		    &call->kept->pace, call->marked, t - call->began, t);
	call->admitted = false;
}

/* End with an answer of this node's own. */
static void
answer_own(struct call *call, int status, enum brf_reason reason)
{
	struct brf_buf fields = { .data = NULL };
	uint64_t retry_after_ms = 0;

	release_hop(call, BRF_PLACE_NEUTRAL);
	call->answered = true;
	settle_pace(call, true);
	brf_timer_stop(call->callers->timers, &call->timer);
	set_end(call, own_end(status), reason);
	if (status == 503)
		retry_after_ms = put_retry_after(call, &fields);
	log_end(call, "request_failed", status, reason, retry_after_ms);
	brf_flow_answer(
	    call->rq, status, fields.data, fields.len, BRF_BODY_NONE, 0, NULL);
	brf_buf_free(&fields);
}

/* No target has answered and none will be asked any more. */
static void
give_up(struct call *call)
{
	if (call->doubt == BRF_R_NONE)
		answer_own(call, 503, call->refusal);
	else
		answer_own(call, call->doubt == BRF_R_TIMEOUT ? 504 : 502,
		    call->doubt);
}

static void
deadline_passed(struct brf_timer *timer, void *arg)
{
	struct call *call = arg;

	(void)timer;
	if (call->open)
		call->doubt = BRF_R_TIMEOUT;
	else
		call->refusal = BRF_R_EXPIRED;
	release_hop(call, BRF_PLACE_NEUTRAL);
	answer_own(call, 504, BRF_R_TIMEOUT);
}

/*
 * Pass on what has come of the body.  It is kept as long as a gate may still
 * refuse the request, which it does before it has asked for more than this.
 */
static void
move_body(struct call *call)
{
	struct brf_pipe *body = &call->rq->body;
	size_t len = brf_pipe_len(body), room = brf_pipe_space(&call->request_body);

	if (len > room)
		len = room;
	if (len != 0 && !call->spent) {
		if (call->replay.len + len > REPLAY_MAX)
			call->spent = true;
		else
			brf_buf_add(&call->replay, brf_pipe_data(body), len);
	}
	if (call->spent)
		brf_buf_free(&call->replay);
	if (len != 0) {
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
	brf_pipe_init(&call->request_body, call->callers->tasks);
	call->request_body.writer = &call->work;
	call->rq->body.reader = &call->work;
	brf_pipe_write(&call->request_body, call->replay.data, call->replay.len);
	move_body(call);
	call->hop.request_body = &call->request_body;
}

/* What waits below holds slots above, so that calls, too, are refused before
 * a queue is long; the requests that make them are paced meanwhile. */
static uint64_t
patience(const struct call *call)
{
	const struct brf_route *route = call->route;
	uint64_t time = route->objective_us < route->timeout_us
			    ? route->objective_us
			    : route->timeout_us;

	return ((uint64_t)((double)time *
			   (call->nested ? PATIENCE_NESTED : PATIENCE_SHARE)));
}

static void
send_hop(struct call *call, struct brf_mesh_peer *peer)
{
	struct brf_mesh_callers *callers = call->callers;
	struct brf_request_head *head = &call->rq->head;
	struct brf_hop *hop = &call->hop;

	memset(hop, 0, sizeof(*hop));
	hop->owner = &call->work;
	hop->request = (struct brf_hop_request){
		.id = head->id,
		.target = peer->id,
		.caller = callers->service,
		.method = head->method,
		.path = head->path.data,
		.host = head->host,
		.fields = head->fields.data != NULL ? head->fields.data : "",
		.fields_len = head->fields.len,
		.deadline = call->deadline,
		.max_wait_us = patience(call),
		.length = head->length,
		.body = head->body,
		.rank = rank(call),
		.repeatable = call->route->repeatable,
		.nested = call->nested,
		.repeat = call->arrivals > 0 ||
			  (call->has_parent && call->parent.repeat),
	};
	if (head->body != BRF_BODY_NONE)
		begin_body(call);
	call->peers[call->hops++] = peer;
	call->open = true;
	begin_trail_hop(call, peer);
	brf_place_sent(&peer->place, now(callers));
	brf_hop_send(peer->link != NULL ? brf_link_backend(peer->link)
					: brf_mesh_gate_backend(callers->gate),
	    hop);
}

/* Offer the request to the next target. */
static void
go_on(struct call *call)
{
	struct brf_mesh_callers *callers = call->callers;
	struct brf_place_request request = {
		.rank = rank(call),
		.nested = call->nested,
		.repeatable = call->route->repeatable,
	};
	struct brf_mesh_peer *peer = NULL;

	if (call->hops < HOPS_MAX && call->full < FULL_MAX)
		peer = brf_mesh_service_choose(call->service, &request,
		    call->peers, call->hops, callers->random, now(callers));
	if (peer != NULL) {
		send_hop(call, peer);
		return;
	}
	if (call->hops == 0)
		call->refusal = BRF_R_NO_TARGET;
	give_up(call);
}

static const enum brf_place_end refusal_ends[BRF_REASON_COUNT] = {
	[BRF_R_NONE] = BRF_PLACE_NEUTRAL,
	[BRF_R_OVERLOAD] = BRF_PLACE_FULL,
	[BRF_R_SHARE] = BRF_PLACE_FULL,
	[BRF_R_DEADLINE] = BRF_PLACE_FULL,
	[BRF_R_EXPIRED] = BRF_PLACE_FULL,
	[BRF_R_DRAINING] = BRF_PLACE_LEAVING,
	[BRF_R_TARGET_SHED] = BRF_PLACE_SHED,
	[BRF_R_NO_TARGET] = BRF_PLACE_LOST,
	[BRF_R_TARGET_DOWN] = BRF_PLACE_LOST,
	[BRF_R_NOT_SENT] = BRF_PLACE_LOST,
};

/* The gate has told whether requests like this one are calls. */
static void
learn_kinship(struct call *call)
{
	if (call->hop.has_load)
		brf_kinship_told(&call->kept->kinship, call->hop.nested_route);
}

/* The gate does not have the target that it was asked for. */
static void
forget_target(struct call *call, struct brf_mesh_peer *peer)
{
	const struct brf_buf *replacement = &call->hop.replacement;

	if (peer->target == NULL)
		return;
	if (replacement->len != 0)
		brf_directory_replace(
		    peer->target, replacement->data, replacement->len);
	else
		brf_directory_disprove(peer->target);
}

/* The request was not run there. */
static void
hop_refused(struct call *call)
{
	struct brf_hop *hop = &call->hop;
	struct brf_mesh_peer *peer = call->peers[call->hops - 1];
	uint64_t t = now(call->callers);

	learn_kinship(call);
	call->refusal = hop->reason;
	call->marked = call->marked || hop->marked;
	if (hop->arrived)
		call->arrivals++;
	if (refusal_ends[hop->reason] == BRF_PLACE_FULL)
		call->full++;
	if (call->refusal == BRF_R_NO_TARGET)
		forget_target(call, peer);
	release_hop(call, refusal_ends[hop->reason]);
	if (call->arrivals >= call->route->attempts || call->spent ||
	    (call->arrivals > 0 &&
		!brf_repeat_take(&call->service->repeats, call->nested, t)))
		give_up(call);
	else
		go_on(call);
}

/* It may have run there. */
static void
hop_failed(struct call *call)
{
	uint64_t t = now(call->callers);

	learn_kinship(call);
	call->doubt = call->hop.reason;
	call->marked = call->marked || call->hop.marked;
	call->arrivals++;
	release_hop(call, BRF_PLACE_LOST);
	if (!call->route->repeatable ||
	    call->arrivals >= call->route->attempts || call->spent ||
	    !brf_repeat_take(&call->service->repeats, call->nested, t))
		give_up(call);
	else
		go_on(call);
}

static void
log_answer(struct call *call)
{
	int status = call->hop.answer.status;

	set_end(call,
	    status >= 500 ? BRF_TALLY_TARGET_FAILED
	    : elapsed(call) > call->route->objective_us ? BRF_TALLY_LATE
							: BRF_TALLY_SERVED,
	    BRF_R_NONE);
	if (call->end == BRF_TALLY_TARGET_FAILED)
		log_end(call, "request_failed", status, BRF_R_NONE, 0);
	else if (call->end == BRF_TALLY_LATE)
		log_end(call, "request_late", status, BRF_R_NONE, 0);
	else if (brf_trail_is_sampled(call->rq->head.id))
		log_end(call, "request_ended", status, BRF_R_NONE, 0);
}

static void
hop_answered(struct call *call)
{
	struct brf_answer_head *a = &call->hop.answer;
	struct brf_mesh_peer *peer = call->peers[call->hops - 1];
	uint64_t t = now(call->callers);

	call->open = false;
	call->answered = true;
	brf_timer_stop(call->callers->timers, &call->timer);
	end_trail_hop(call);
	brf_mesh_peer_ended(peer, BRF_PLACE_GOOD,
	    call->hop.has_load ? &call->hop.load : NULL, t);
	learn_kinship(call);
	call->marked = call->marked || call->hop.marked;
	settle_pace(call, a->status >= 500);
	log_answer(call);
	brf_flow_answer(call->rq, a->status, a->fields.data, a->fields.len,
	    a->body, a->length, &call->hop.answer_body);
}

static void
work(struct brf_task *task)
{
	struct call *call = brf_container_of(task, struct call, work);

	if (call->hop.request_body != NULL)
		move_body(call);
	if (!call->open)
		return;
	switch (call->hop.state) {
	case BRF_HOP_OPEN:
		break;
	case BRF_HOP_ANSWERED:
		hop_answered(call);
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
	    (head->has_timeout ? head->timeout_ms : TIMEOUT_PRESET_MS) *
	    BRF_US_PER_MS;

	call->deadline_asked = call->began + left;
	if (left > call->route->timeout_us)
		left = call->route->timeout_us;
	call->deadline = call->began + left;
}

/* Whether a running request makes this one, and which. */
static void
find_parent(struct call *call)
{
	uint32_t same, near;

	brf_mesh_gate_ends_with(
	    call->callers->gate, call->deadline_asked, &same, &near);
	brf_kinship_began(&call->kept->kinship, same, near);
	call->nested = brf_kinship_is_call(&call->kept->kinship);
	call->has_parent =
	    call->nested && brf_mesh_gate_parent(call->callers->gate,
				call->deadline_asked, &call->parent);
}

static const char *
pick_service(struct call *call)
{
	const struct brf_route *route = call->route;
	uint32_t weights[BRF_SPLIT_MAX];
	size_t i, count = route->share_count;

	if (count > BRF_SPLIT_MAX)
		count = BRF_SPLIT_MAX;
	for (i = 0; i < count; i++)
		weights[i] = route->shares[i].weight;
	i = count == 1 ? 0
		       : brf_split_next(&call->kept->split, weights, count,
			     call->callers->random);
	return (brf_table_service(call->table, route->shares[i].service)->name);
}

/* Find out where the request goes; false when it has been answered. */
static bool
find_route(struct call *call)
{
	struct brf_mesh_callers *callers = call->callers;
	struct brf_request_head *head = &call->rq->head;

	if (callers->tables->current == NULL) {
		answer_own(call, 503, BRF_R_NO_TARGET);
		return (false);
	}
	call->table = brf_table_ref(callers->tables->current);
	call->route = brf_table_match(call->table, head->host, head->path.data);
	if (call->route == NULL) {
		answer_own(call, 404, BRF_R_NO_SERVICE);
		return (false);
	}
	call->kept = brf_mesh_tables_route(callers->tables, call->route);
	return (true);
}

/* A running request's calls are let through: its work would be lost. */
static bool
admit(struct call *call)
{
	if (call->nested)
		return (true);
	call->admitted = brf_pace_admit(
	    &call->kept->pace, call->callers->random, call->began);
	return (call->admitted);
}

/* Whether it could be cut when this process ends. */
static bool
outlives_process(const struct call *call)
{
	const struct brf_mesh_callers *callers = call->callers;

	return (callers->ends_at != 0 && !call->nested &&
		call->began >= callers->picky_from &&
		call->deadline > callers->ends_at);
}

static void
on_request(struct brf_flow_handler *handler, struct brf_flow_request *rq)
{
	struct brf_mesh_callers *callers =
	    brf_container_of(handler, struct brf_mesh_callers, handler);
	struct call *call = brf_calloc(1, sizeof(*call));

	callers->open++;
	call->callers = callers;
	call->rq = rq;
	rq->data = call;
	call->began = rq->arrived;
	brf_task_init(&call->work, work);
	call->timer.fire = deadline_passed;
	call->timer.arg = call;
	if (!find_route(call))
		return;
	set_deadline(call);
	find_parent(call);
	call->service =
	    brf_mesh_service_get(callers->services, pick_service(call));
	if (outlives_process(call)) {
		answer_own(call, 503, BRF_R_DRAINING);
		return;
	}
	if (!admit(call)) {
		answer_own(call, 503, BRF_R_SHED_EARLY);
		return;
	}
	if (call->has_parent && call->parent.repeat)
		brf_repeat_forced(&call->service->repeats, call->began);
	else
		brf_repeat_first(&call->service->repeats, call->began);
	brf_timer_start(callers->timers, &call->timer,
	    call->deadline + LATE_US > now(callers)
		? call->deadline + LATE_US - now(callers)
		: 0);
	go_on(call);
}

static bool
may_run_ahead(
    struct brf_flow_handler *handler, const struct brf_flow_request *rq)
{
	struct brf_mesh_callers *callers =
	    brf_container_of(handler, struct brf_mesh_callers, handler);
	const struct brf_route *route;

	if (callers->tables->current == NULL)
		return (true);
	route = brf_table_match(
	    callers->tables->current, rq->head.host, rq->head.path.data);
	return (route == NULL || route->repeatable);
}

static void
on_ended(struct brf_flow_handler *handler, struct brf_flow_request *rq,
    enum brf_flow_end end)
{
	struct call *call = rq->data;

	(void)handler;
	if (end == BRF_FLOW_DISCONNECTED) {
		release_hop(call, BRF_PLACE_NEUTRAL);
		set_end(call, BRF_TALLY_LEFT, BRF_R_CANCELLED);
		/* a call is left when the request that makes it is */
		if (!call->nested || brf_trail_is_sampled(rq->head.id))
			log_end(call, "request_left", 0, BRF_R_CANCELLED, 0);
	} else if (end == BRF_FLOW_ABORTED) {
		set_end(call, BRF_TALLY_UNKNOWN, BRF_R_BROKEN_ANSWER);
		log_end(call, "request_failed", 0, BRF_R_BROKEN_ANSWER, 0);
	} else if (end == BRF_FLOW_REFUSED) {
		set_end(call, BRF_TALLY_REJECTED, BRF_R_MALFORMED);
		log_end(call, "request_failed", 0, BRF_R_MALFORMED, 0);
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

void
brf_mesh_callers_init(struct brf_mesh_callers *callers)
{
	callers->handler.vt = &handler_vt;
	callers->open = 0;
}
