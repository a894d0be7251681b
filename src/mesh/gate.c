#include <stdlib.h>

#include "base/log.h"
#include "flow/target.h"
#include "mesh/gate.h"
#include "mesh/trace.h"
#include "policy/answer_watch.h"
#include "policy/slot_queues.h"
#include "policy/stop.h"
#include "policy/throttle.h"

#define CONNECTIONS_DEFAULT 1024u /* until a routing table sets it */
/* Bounds of an answer that is held until it is complete. */
#define HOLD_MAX_BYTES 32768u
#define HOLD_MAX_US (50 * BRF_US_PER_MS)
/* Time after the deadline in which the target may still answer. */
#define DEADLINE_GRACE_US (5 * BRF_US_PER_MS)
/* Bounds of a forwarded answer after its deadline, see policy/answer_watch.h:
 * time that the target may take for the rest, and time without a byte read. */
#define OWED_MAX_US (100 * BRF_US_PER_MS)
#define UNREAD_MAX_US (60 * BRF_US_PER_S)

/**
 * struct gate_hop - one hop at the gate, from its arrival to its end.
 * @hop: owned by its sender; its @impl points to this struct
 * @ticket: entry of the hop in the slot queues
 * @run: the request at the target
 * @route_state: what this node has learned about the route, a reference; NULL
 *	when no route of this node's table matches
 * @work: posted when @run or the answer's body changes
 * @timer: fires DEADLINE_GRACE_US after the deadline; while an answer is held,
 *	HOLD_MAX_US after its head; once it is forwarded, at the deadline and
 *	each BRF_ANSWER_CHECK_US after it
 * @watch: of a forwarded answer, from its deadline on
 * @arrived_at: clock time
 * @serial: identifies the hop at this gate
 * @incarnation: of the target that runs it
 * @permit_wait_us: promised to the sender, see brf_slot_queues_promise_us()
 * @lost: why the request has no answer, while it is not known whether the
 *	target has crashed; BRF_R_NONE otherwise
 * @learned: what the target says of itself in the answer was applied
 * @has_slot: the hop occupies a slot of the target
 * @hold_expired: the answer was held for HOLD_MAX_US
 * @marked: the hop has a congestion mark, from this gate or from a nested call
 */
struct gate_hop {
	struct brf_list link;
	struct brf_mesh_gate *gate;
	struct brf_hop *hop;
	struct brf_slot_ticket ticket;
	struct brf_flow_run run;
	struct brf_mesh_route_state *route_state;
	struct brf_task work;
	struct brf_timer timer;
	uint64_t arrived_at;
	uint64_t serial;
	struct brf_answer_watch watch;
	uint64_t incarnation;
	uint64_t permit_wait_us;
	enum brf_reason lost;
	bool learned;
	bool has_slot;
	bool hold_expired;
	bool marked;
};

/**
 * struct brf_mesh_gate_counts - counts since the last
 * brf_mesh_gate_log_load().
 * @since: clock time of that call
 * @ran_us: sum of the times that requests were at the target
 * @ended: requests that gave up their slot
 * @marked: hops that ended with a congestion mark
 */
struct brf_mesh_gate_counts {
	uint64_t since;
	uint64_t ran_us;
	uint64_t ended;
	uint64_t refused;
	uint64_t failed;
	uint64_t marked;
};

/**
 * struct brf_mesh_gate - see mesh/gate.h.
 * @notice: the target's last announcement
 * @hops: open hops; @open_count of them
 * @serial: serial number of the latest hop
 * @refusal_reason: why all hops are refused; BRF_R_NONE when they are not
 * @work_ends_at: see brf_mesh_gate_stop(); 0 unless the process stops
 * @incarnation: counts the incarnations of the target
 * @report: what the present incarnation says of itself
 * @marker: decides which hops get a congestion mark for their wait
 * @pending_marks: congestion marks of failed nested calls whose parent is not
 *	certain
 */
struct brf_mesh_gate {
	struct brf_hop_backend backend;
	struct brf_mesh_gate_config config;
	struct brf_flow_target *target;
	struct brf_crash_watch *crash_watch;
	struct brf_slot_queues *queues;
	struct brf_target_announcement notice;
	struct brf_list hops;
	size_t open_count;
	uint64_t serial;
	enum brf_reason refusal_reason;
	uint64_t work_ends_at;
	uint64_t incarnation;
	struct brf_self_report report;
	struct brf_mesh_gate_counts counts;
	struct brf_congestion_marker marker;
	struct brf_pending_marks pending_marks;
	struct brf_metric *runs;
	struct brf_metric *refusals;
	struct brf_metric *failures;
	struct brf_metric *limited_runs;
	struct brf_metric *rate_limit;
	struct brf_metric *leaving;
	struct brf_histogram *waited;
	struct brf_histogram *ran;
};

static struct brf_mesh_gate *
gate_of(struct brf_hop_backend *backend)
{
	return (brf_container_of(backend, struct brf_mesh_gate, backend));
}

static uint64_t
now(const struct brf_mesh_gate *gate)
{
	return (brf_now(brf_timers_clock(gate->config.timers)));
}

static uint16_t
clip(double value)
{
	return (value < UINT16_MAX ? (uint16_t)value : UINT16_MAX);
}

void
brf_mesh_gate_get_load(
    const struct brf_mesh_gate *gate, struct brf_gate_load *load)
{
	load->running = clip(brf_slot_queues_running(gate->queues));
	load->limit = clip(brf_slot_queues_limit(gate->queues));
	load->waiting = clip(brf_slot_queues_waiting(gate->queues));
	load->service_ms = clip(
	    (double)brf_slot_queues_service_us(gate->queues) / BRF_US_PER_MS);
}

/* Log a line about a hop; @ran_us is 0 when the target did not get it. */
static void
log_hop(const struct gate_hop *gh, const char *event, enum brf_reason reason,
    uint64_t ran_us)
{
	const struct brf_hop_request *rq = &gh->hop->request;
	const struct brf_slot_queues *queues = gh->gate->queues;
	uint64_t t = now(gh->gate);

	brf_log_request(BRF_LOG_INFO, event, BRF_LS("request", rq->id),
	    BRF_LS("target", rq->target), BRF_LS("caller", rq->caller),
	    BRF_LU("serial", gh->serial), BRF_LU("rank", rq->rank),
	    BRF_LU("nested", rq->nested), BRF_LU("repeat", rq->repeat),
	    BRF_LS("reason", brf_reason_name(reason)),
	    BRF_LU("status", (uint64_t)gh->run.answer.status),
	    BRF_LU("marked", gh->marked),
	    BRF_LU("waited_ms",
		(gh->has_slot ? gh->ticket.waited_us : t - gh->arrived_at) /
		    BRF_US_PER_MS),
	    BRF_LU("patience_ms", rq->max_wait_us / BRF_US_PER_MS),
	    BRF_LU("left_ms",
		rq->deadline > t ? (rq->deadline - t) / BRF_US_PER_MS : 0),
	    BRF_LU("ran_ms", ran_us / BRF_US_PER_MS),
	    BRF_LU("running", brf_slot_queues_running(queues)),
	    BRF_LU("limit", brf_slot_queues_limit(queues)),
	    BRF_LU("waiting", brf_slot_queues_waiting(queues)),
	    BRF_LU("service_ms",
		brf_slot_queues_service_us(queues) / BRF_US_PER_MS));
}

static uint64_t
ran_us(const struct gate_hop *gh)
{
	return (gh->run.sent_at != 0 ? now(gh->gate) - gh->run.sent_at : 0);
}

/*
 * Set @key to the identity of the request.
 *
 * Return: false when its body was not sent to the end, so that it can't be told
 * from others.
 */
static bool
identify(const struct gate_hop *gh, struct brf_request_key *key)
{
	const struct brf_hop_request *rq = &gh->hop->request;
	const struct brf_flow_run *run = &gh->run;

	key->head = brf_request_head_hash(rq->method, rq->host, rq->path);
	key->body = brf_body_hash_value(&run->body_hash);
	return (run->body == NULL || run->body_sent ||
		run->body_hash.len == BRF_BODY_HASHED_MAX);
}

static void
note_answered(const struct gate_hop *gh)
{
	struct brf_mesh_crashes *crashes = gh->gate->config.crashes;
	struct brf_request_key key;

	if (crashes != NULL && identify(gh, &key))
		brf_mesh_crashes_answered(
		    crashes, gh->hop->request.caller, &key);
}

/*
 * Give up the slot, if any.  If the answer is complete, as @useful says, its
 * duration is recorded as a service time of the target.
 */
static void
release_slot(struct gate_hop *gh, bool useful)
{
	struct brf_mesh_gate *gate = gh->gate;
	uint64_t duration = ran_us(gh);

	if (!gh->has_slot)
		return;
	gh->has_slot = false;
	if (useful) {
		brf_histogram_add(gate->ran, duration);
		note_answered(gh);
	}
	gate->counts.ran_us += duration;
	gate->counts.ended++;
	brf_slot_queues_finish(&gh->ticket, useful ? duration : 0);
}

/* Free the gate's part of a hop; struct brf_hop belongs to its sender. */
static void
gate_hop_free(struct gate_hop *gh)
{
	struct brf_mesh_gate *gate = gh->gate;

	brf_flow_run_cancel(&gh->run);
	release_slot(gh, false);
	brf_flow_run_free(&gh->run);
	brf_list_remove(&gh->link);
	brf_task_cancel(&gh->work);
	brf_timer_stop(gate->config.timers, &gh->timer);
	brf_mesh_route_state_unref(gh->route_state);
	gate->open_count--;
	gh->hop->impl = NULL;
	free(gh);
}

static void
report_state(struct gate_hop *gh, enum brf_hop_state state)
{
	struct brf_hop *hop = gh->hop;

	hop->state = state;
	hop->marked = gh->marked;
	hop->nested_route = gh->route_state != NULL &&
			    brf_nesting_by_callers(&gh->route_state->nesting,
				gh->gate->config.services->bits);
	if (hop->marked)
		gh->gate->counts.marked++;
	hop->has_load = true;
	brf_mesh_gate_get_load(gh->gate, &hop->load);
	hop->report.born = gh->gate->notice.born;
	hop->report.self = gh->gate->report;
	hop->report.permit_wait_us =
	    gh->permit_wait_us != 0
		? gh->permit_wait_us
		: brf_slot_queues_permit_wait_us(gh->gate->queues);
	brf_task_post(gh->gate->config.tasks, hop->owner);
}

/* A target that sheds load with free slots is faulty, not overloaded. */
static bool
is_congestion(const struct brf_mesh_gate *gate, enum brf_reason reason)
{
	if (reason == BRF_R_TARGET_SHED)
		return (brf_slot_queues_running(gate->queues) + 1 >=
			brf_slot_queues_limit(gate->queues));
	return (reason == BRF_R_OVERLOAD || reason == BRF_R_EXPIRED);
}

/* Report the present target to a sender that asked for another one. */
static void
report_replacement(struct gate_hop *gh)
{
	struct brf_mesh_gate *gate = gh->gate;

	if (gate->refusal_reason == BRF_R_NONE &&
	    gate->config.append_target_entry != NULL &&
	    strcmp(gh->hop->request.target, gate->notice.id) != 0)
		gate->config.append_target_entry(
		    gate->config.arg, &gh->hop->replacement);
}

static void
refuse(struct gate_hop *gh, enum brf_reason reason, bool arrived)
{
	struct brf_hop *hop = gh->hop;

	gh->marked = gh->marked || is_congestion(gh->gate, reason);
	log_hop(gh, "hop_refused", reason, ran_us(gh));
	release_slot(gh, false);
	gh->gate->refusals->value++;
	gh->gate->counts.refused++;
	hop->reason = reason;
	hop->arrived = arrived;
	if (reason == BRF_R_NO_TARGET)
		report_replacement(gh);
	if (reason == BRF_R_RATE_LIMIT)
		gh->permit_wait_us =
		    brf_slot_queues_promise_us(gh->gate->queues);
	hop->retry_after_ms =
	    (uint32_t)(brf_slot_queues_backlog_us(gh->gate->queues) /
		       BRF_US_PER_MS);
	report_state(gh, BRF_HOP_REFUSED);
	gate_hop_free(gh);
}

static void
fail(struct gate_hop *gh, enum brf_reason reason)
{
	struct brf_hop *hop = gh->hop;

	log_hop(gh, "hop_failed", reason, ran_us(gh));
	release_slot(gh, false);
	gh->gate->failures->value++;
	gh->gate->counts.failed++;
	hop->reason = reason;
	hop->arrived = true;
	report_state(gh, BRF_HOP_FAILED);
	gate_hop_free(gh);
}

/* End a hop whose answer is being forwarded; its reader sees it broken. */
static void
cut_answer(struct gate_hop *gh)
{
	log_hop(gh, "hop_failed", BRF_R_TIMEOUT, ran_us(gh));
	gh->gate->failures->value++;
	gh->gate->counts.failed++;
	gh->hop->reason = BRF_R_TIMEOUT;
	brf_pipe_break(&gh->hop->answer_body);
	gate_hop_free(gh);
}

static void
check_answer(struct brf_timer *timer, void *arg)
{
	struct gate_hop *gh = arg;
	const struct brf_pipe *body = &gh->hop->answer_body;

	if (brf_answer_watch_check(&gh->watch, now(gh->gate), body->written,
		brf_pipe_read(body)) != BRF_ANSWER_GOES_ON) {
		cut_answer(gh);
		return;
	}
	brf_timer_start(gh->gate->config.timers, timer, BRF_ANSWER_CHECK_US);
}

static void
watch_answer(struct brf_timer *timer, void *arg)
{
	struct gate_hop *gh = arg;
	const struct brf_pipe *body = &gh->hop->answer_body;

	gh->watch.max_wait_us = OWED_MAX_US;
	gh->watch.max_unread_us = UNREAD_MAX_US;
	brf_answer_watch_start(
	    &gh->watch, now(gh->gate), body->written, brf_pipe_read(body));
	timer->fire = check_answer;
	brf_timer_start(gh->gate->config.timers, timer, BRF_ANSWER_CHECK_US);
}

/* The answer goes to the hop's sender; watch it from its deadline on. */
static void
keep_deadline(struct gate_hop *gh)
{
	uint64_t t = now(gh->gate), deadline = gh->hop->request.deadline;

	gh->timer.fire = watch_answer;
	brf_timer_start(gh->gate->config.timers, &gh->timer,
	    deadline > t ? deadline - t : 0);
}

/* Whether the answer can be given to the hop's sender. */
static bool
can_forward(const struct gate_hop *gh)
{
	const struct brf_pipe *answer_body = &gh->hop->answer_body;

	return (answer_body->state == BRF_PIPE_ENDED ||
		brf_pipe_len(answer_body) >= HOLD_MAX_BYTES ||
		gh->hold_expired);
}

static void
forward_answer(struct gate_hop *gh)
{
	struct brf_hop *hop = gh->hop;

	if (gh->run.answer.status >= 500 ||
	    brf_trace_is_sampled(hop->request.id))
		log_hop(gh, "hop_answered", BRF_R_NONE, ran_us(gh));
	if (hop->answer_body.state == BRF_PIPE_ENDED)
		release_slot(gh, true);
	hop->answer = gh->run.answer;
	memset(&gh->run.answer, 0, sizeof(gh->run.answer));
	hop->arrived = true;
	hop->answer_body.reader = hop->owner;
	gh->marked =
	    gh->marked || brf_pending_marks_take(&gh->gate->pending_marks,
			      hop->answer.status >= 500, now(gh->gate));
	report_state(gh, BRF_HOP_ANSWERED);
}

/*
 * Whether the answer may be a copy of an earlier one: it names no request, and
 * its connection was used before.
 */
static bool
may_be_copy(const struct gate_hop *gh)
{
	return (gh->run.reused && gh->run.answer.id[0] == '\0' &&
		gh->hop->request.id[0] != '\0');
}

/*
 * Reason for which the target's answer is a refusal, or is broken; BRF_R_NONE
 * if it can be forwarded.
 */
static enum brf_reason
classify_answer(const struct gate_hop *gh)
{
	const struct brf_answer_head *a = &gh->run.answer;

	if (may_be_copy(gh))
		return (BRF_R_BROKEN_ANSWER);
	if (a->not_run && a->status != 400)
		return (a->status == 421 ? BRF_R_NO_TARGET : BRF_R_TARGET_SHED);
	if (a->status == 421 && !a->sealed)
		return (BRF_R_NO_TARGET);
	if (a->status < 300 && (!a->sealed || a->encoded || a->id[0] == '\0'))
		return (BRF_R_BROKEN_ANSWER);
	return (BRF_R_NONE);
}

static void
log_report(const struct brf_mesh_gate *gate, const char *source)
{
	const struct brf_self_report *report = &gate->report;

	brf_log(BRF_LOG_INFO, "target_report",
	    BRF_LS("target", gate->notice.id), BRF_LS("source", source),
	    BRF_LD("rate_limit", report->rate_limit),
	    BRF_LU("leaving", report->leaving));
}

static void
apply_report(struct brf_mesh_gate *gate)
{
	const struct brf_self_report *report = &gate->report;

	gate->rate_limit->value = report->rate_limit;
	gate->leaving->value = report->leaving;
	brf_slot_queues_set_rate(gate->queues, report->rate_limit);
}

/* The target has said that it leaves. */
static void
begin_leaving(struct brf_mesh_gate *gate)
{
	brf_mesh_gate_refuse(gate, BRF_R_DRAINING);
	if (gate->config.target_leaves != NULL)
		gate->config.target_leaves(gate->config.arg);
}

/* Another target may have the address of this one by now. */
static bool
is_by_target(const struct gate_hop *gh)
{
	return (gh->incarnation == gh->gate->incarnation &&
		gh->run.answer.status != 421);
}

/* Apply what the target says of itself in its answer. */
static void
learn(struct gate_hop *gh)
{
	struct brf_mesh_gate *gate = gh->gate;
	struct brf_self_statement statement = gh->run.answer.statement;
	bool was_leaving = gate->report.leaving;

	if (gh->learned || !is_by_target(gh))
		return;
	gh->learned = true;
	statement.authentic = gh->run.answer.sealed;
	statement.asked_at = gh->run.sent_at;
	if (!brf_self_report_update(&gate->report, &statement, now(gate)))
		return;
	log_report(gate, "answer");
	apply_report(gate);
	if (gate->report.leaving && !was_leaving)
		begin_leaving(gate);
}

static void
hold_timeout(struct brf_timer *timer, void *arg)
{
	struct gate_hop *gh = arg;

	(void)timer;
	gh->hold_expired = true;
	brf_task_post(gh->gate->config.tasks, &gh->work);
}

/* The request has lost its connection to the target, which may have crashed. */
static void
note_loss(struct gate_hop *gh)
{
	struct brf_mesh_gate *gate = gh->gate;
	const char *caller = gh->hop->request.caller;
	struct brf_request_key key;
	bool is_suspect = identify(gh, &key);

	if (is_suspect && gate->config.crashes != NULL)
		is_suspect = !brf_crash_log_is_harmless(
		    gate->config.crashes->log, caller, &key, now(gate));
	brf_crash_watch_lost(
	    gate->crash_watch, &gate->notice, caller, is_suspect ? &key : NULL);
}

/*
 * Whether the request lost its connection, perhaps by a crash: the target was
 * not replaced, and was not about to leave.
 */
static bool
may_have_crashed(const struct gate_hop *gh)
{
	return (gh->run.disconnected &&
		gh->incarnation == gh->gate->incarnation &&
		gh->gate->refusal_reason == BRF_R_NONE);
}

/* Fail a hop that lost its connection once it is known why. */
static void
fail_lost(struct gate_hop *gh, enum brf_reason reason)
{
	if (!may_have_crashed(gh)) {
		fail(gh, reason);
		return;
	}
	gh->lost = reason;
	brf_timer_stop(gh->gate->config.timers, &gh->timer);
	note_loss(gh);
}

/*
 * Handle the head of an answer.  A short answer is held until it is complete,
 * so that a truncated one is detected while its request may still be sent to
 * another target.
 *
 * Return: whether the answer was forwarded; otherwise it is held, or @gh was
 * freed.
 */
static bool
take_answer(struct gate_hop *gh)
{
	struct brf_timers *timers = gh->gate->config.timers;
	enum brf_reason reason = classify_answer(gh);
	struct brf_pipe *answer_body = &gh->hop->answer_body;

	if (answer_body->state == BRF_PIPE_BROKEN) {
		fail_lost(gh, BRF_R_BROKEN_ANSWER);
		return (false);
	}
	if (reason == BRF_R_BROKEN_ANSWER) {
		fail(gh, BRF_R_BROKEN_ANSWER);
		return (false);
	}
	if (reason != BRF_R_NONE) {
		refuse(gh, reason, true);
		return (false);
	}
	if (can_forward(gh)) {
		keep_deadline(gh);
		forward_answer(gh);
		return (true);
	}
	if (gh->timer.fire != hold_timeout) {
		gh->timer.fire = hold_timeout;
		brf_timer_start(timers, &gh->timer, HOLD_MAX_US);
	}
	return (false);
}

static void
run_failed(struct gate_hop *gh)
{
	if (gh->run.not_sent) {
		refuse(gh, BRF_R_TARGET_DOWN, false);
		return;
	}
	fail_lost(gh,
	    gh->run.invalid_answer ? BRF_R_BROKEN_ANSWER : BRF_R_TARGET_LOST);
}

static void
work(struct brf_task *task)
{
	struct gate_hop *gh = brf_container_of(task, struct gate_hop, work);

	if (gh->lost != BRF_R_NONE)
		return;
	if (gh->run.state == BRF_FLOW_RUN_FAILED) {
		run_failed(gh);
		return;
	}
	if (gh->run.state != BRF_FLOW_RUN_ANSWERED)
		return;
	learn(gh);
	if (gh->hop->state == BRF_HOP_OPEN && !take_answer(gh))
		return;
	if (gh->hop->answer_body.state == BRF_PIPE_BROKEN &&
	    may_have_crashed(gh))
		note_loss(gh);
	if (gh->hop->answer_body.state != BRF_PIPE_OPEN) {
		release_slot(gh, gh->hop->answer_body.state == BRF_PIPE_ENDED);
		gate_hop_free(gh);
	}
}

static void
put_uint_field(struct brf_buf *b, const char *name, uint64_t value)
{
	brf_buf_printf(b, "%s: %llu\r\n", name, (unsigned long long)value);
}

static void
build_head(struct gate_hop *gh)
{
	const struct brf_hop_request *rq = &gh->hop->request;
	const struct brf_field_names *names = gh->gate->config.names;
	struct brf_buf *b = &gh->run.head;
	uint64_t t = now(gh->gate);
	uint64_t left = rq->deadline > t ? rq->deadline - t : 0;

	brf_buf_reserve(b, rq->fields_len + strlen(rq->path) + 512);
	brf_buf_printf(b, "%s %s HTTP/1.1\r\n", rq->method, rq->path);
	brf_field_put(b, "host", rq->host);
	brf_buf_add(b, rq->fields, rq->fields_len);
	put_uint_field(b, names->timeout, left / BRF_US_PER_MS);
	brf_field_put(b, names->target, rq->target);
	brf_field_put(b, names->caller, rq->caller);
	if (rq->body == BRF_BODY_LENGTH)
		put_uint_field(b, "content-length", rq->length);
	else if (rq->body == BRF_BODY_CHUNKED)
		brf_field_put(b, "transfer-encoding", "chunked");
	brf_buf_add(b, "\r\n", 2);
}

static void
start_run(struct gate_hop *gh)
{
	struct brf_mesh_gate *gate = gh->gate;
	struct brf_flow_run *run = &gh->run;
	struct brf_hop *hop = gh->hop;

	gh->has_slot = true;
	/* a target that limits itself is not a sign of congestion */
	gh->marked = !gh->ticket.rate_limited &&
		     brf_congestion_mark(
			 &gate->marker, gh->ticket.rank, gh->ticket.waited_us);
	gh->incarnation = gate->incarnation;
	gate->runs->value++;
	if (gate->report.rate_limit != 0)
		gate->limited_runs->value++;
	brf_histogram_add(gate->waited, gh->ticket.waited_us);
	build_head(gh);
	run->owner = &gh->work;
	run->body = hop->request_body;
	run->framing = hop->request.body;
	run->id = hop->request.id;
	run->to_head = strcmp(hop->request.method, "HEAD") == 0;
	run->avoid_stale = !hop->request.repeatable;
	run->out = &hop->answer_body;
	hop->answer_body.reader = &gh->work;
	brf_flow_target_run(gate->target, run);
}

static void
ticket_granted(struct brf_slot_ticket *ticket)
{
	start_run(brf_container_of(ticket, struct gate_hop, ticket));
}

static void
ticket_refused(struct brf_slot_ticket *ticket, enum brf_reason reason)
{
	refuse(
	    brf_container_of(ticket, struct gate_hop, ticket), reason, false);
}

static void
deadline_passed(struct brf_timer *timer, void *arg)
{
	struct gate_hop *gh = arg;

	(void)timer;
	if (gh->has_slot) {
		fail(gh, BRF_R_TIMEOUT);
		return;
	}
	if (brf_slot_queues_withdraw(&gh->ticket))
		refuse(gh, BRF_R_EXPIRED, false);
}

static struct brf_mesh_route_state *
find_route(struct brf_mesh_gate *gate, const struct brf_hop_request *rq)
{
	struct brf_mesh_tables *tables = gate->config.tables;
	const struct brf_route *route;

	if (tables->current == NULL)
		return (NULL);
	route = brf_table_match(tables->current, rq->host, rq->path);
	return (
	    route != NULL ? brf_mesh_tables_route_state(tables, route) : NULL);
}

static struct gate_hop *
gate_hop_new(struct brf_mesh_gate *gate, struct brf_hop *hop)
{
	const struct brf_hop_request *rq = &hop->request;
	struct gate_hop *gh = brf_calloc(1, sizeof(*gh));

	gh->gate = gate;
	gh->hop = hop;
	gh->arrived_at = now(gate);
	gh->serial = ++gate->serial;
	gh->route_state = find_route(gate, rq);
	if (gh->route_state != NULL)
		brf_nesting_add_arrival(&gh->route_state->nesting,
		    brf_mesh_service_bit(gate->config.services, rq->caller));
	brf_task_init(&gh->work, work);
	gh->timer.fire = deadline_passed;
	gh->timer.arg = gh;
	gh->ticket.rank = rq->rank;
	gh->ticket.nested = rq->nested;
	gh->ticket.deadline = rq->deadline;
	gh->ticket.max_wait_us = rq->max_wait_us;
	gh->ticket.grant = ticket_granted;
	gh->ticket.refuse = ticket_refused;
	brf_list_append(&gate->hops, &gh->link);
	gate->open_count++;
	hop->impl = gh;
	brf_pipe_init(&hop->answer_body, gate->config.tasks);
	return (gh);
}

/* Whether a hop that can't be repeated might run when the process ends. */
static bool
may_be_cut(const struct brf_mesh_gate *gate, const struct brf_hop_request *rq)
{
	uint64_t at = now(gate);
	struct brf_stop_request request = {
		.until_end_us =
		    gate->work_ends_at > at ? gate->work_ends_at - at : 0,
		.until_deadline_us = rq->deadline > at ? rq->deadline - at : 0,
	};

	return (gate->work_ends_at != 0 && !rq->repeatable &&
		brf_stop_judge(&request) == BRF_STOP_KEEP);
}

/* Reason to refuse a new hop at once, or BRF_R_NONE. */
static enum brf_reason
refusal_for(const struct brf_mesh_gate *gate, const struct brf_hop_request *rq)
{
	if (gate->refusal_reason != BRF_R_NONE)
		return (gate->refusal_reason);
	if (strcmp(rq->target, gate->notice.id) != 0)
		return (BRF_R_NO_TARGET);
	if (rq->deadline <= now(gate))
		return (BRF_R_EXPIRED);
	if (may_be_cut(gate, rq))
		return (BRF_R_DEADLINE);
	return (BRF_R_NONE);
}

/* Take over a limit that was stated before this process began. */
static void
learn_from_sender(struct brf_mesh_gate *gate, const struct brf_hop_request *rq)
{
	if (rq->born != gate->notice.born ||
	    strcmp(rq->target, gate->notice.id) != 0 ||
	    !brf_self_report_adopt(&gate->report, rq->rate_limit, now(gate)))
		return;
	log_report(gate, "sender");
	apply_report(gate);
}

static void
gate_send(struct brf_hop_backend *backend, struct brf_hop *hop)
{
	struct brf_mesh_gate *gate = gate_of(backend);
	enum brf_reason reason = refusal_for(gate, &hop->request);
	struct gate_hop *gh = gate_hop_new(gate, hop);

	learn_from_sender(gate, &hop->request);
	if (reason != BRF_R_NONE) {
		refuse(gh, reason, false);
		return;
	}
	brf_timer_start(gate->config.timers, &gh->timer,
	    hop->request.deadline - now(gate) + DEADLINE_GRACE_US);
	switch (brf_slot_queues_submit(gate->queues, &gh->ticket)) {
	case BRF_SLOT_RUN:
		start_run(gh);
		break;
	case BRF_SLOT_WAIT:
		break;
	case BRF_SLOT_REFUSE:
		refuse(gh,
		    gh->ticket.rate_limited ? BRF_R_RATE_LIMIT : BRF_R_OVERLOAD,
		    false);
		break;
	}
}

static void
gate_cancel(struct brf_hop_backend *backend, struct brf_hop *hop)
{
	struct gate_hop *gh = hop->impl;

	(void)backend;
	if (gh == NULL)
		return;
	if (hop->state == BRF_HOP_OPEN &&
	    (!hop->request.nested || brf_trace_is_sampled(hop->request.id)))
		log_hop(gh, "hop_cancelled", BRF_R_CANCELLED, ran_us(gh));
	brf_slot_queues_withdraw(&gh->ticket);
	gate_hop_free(gh);
}

static void
crash_decided(void *arg, bool crashed)
{
	struct brf_mesh_gate *gate = arg;
	struct brf_list *l, *next;
	struct gate_hop *gh;

	brf_list_foreach_safe (l, next, &gate->hops) {
		gh = brf_list_entry(l, struct gate_hop, link);
		if (gh->lost != BRF_R_NONE)
			fail(gh, crashed ? BRF_R_TARGET_CRASHED : gh->lost);
	}
}

static void
target_crashed(void *arg, const struct brf_crash *crash)
{
	struct brf_mesh_gate *gate = arg;

	if (gate->config.crashes != NULL)
		brf_mesh_crashes_report(gate->config.crashes, crash);
}

static const struct brf_hop_backend_vt gate_vt = {
	.send = gate_send,
	.cancel = gate_cancel,
};

static void
make_metrics(struct brf_mesh_gate *gate)
{
	struct brf_metrics *m = gate->config.metrics;

	gate->runs = brf_metrics_counter(
	    m, "brf_gate_runs_total", "Requests sent to this VM's target.", "");
	gate->refusals = brf_metrics_counter(
	    m, "brf_gate_refusals_total", "Hops that were not run.", "");
	gate->failures = brf_metrics_counter(m, "brf_gate_failures_total",
	    "Hops that may have run and have no answer.", "");
	gate->limited_runs =
	    brf_metrics_counter(m, "brf_gate_limited_runs_total",
		"Requests sent to this VM's target under its rate limit.", "");
	gate->rate_limit = brf_metrics_gauge(m, "brf_gate_rate_limit",
	    "Requests a second that this VM's target takes; 0 for no limit.",
	    "");
	gate->leaving = brf_metrics_gauge(m, "brf_gate_target_leaving",
	    "1 when this VM's target says that it leaves.", "");
	gate->waited = brf_metrics_histogram(m, "brf_gate_wait_seconds",
	    "Time that a hop waited for a slot.", "");
	gate->ran = brf_metrics_histogram(
	    m, "brf_gate_run_seconds", "Time of a request at the target.", "");
}

static void
make_crash_watch(struct brf_mesh_gate *gate)
{
	struct brf_crash_watch_config config = {
		.loop = gate->config.loop,
		.timers = gate->config.timers,
		.metrics = gate->config.metrics,
		.target = gate->target,
		.addr = gate->config.target,
		.decided = crash_decided,
		.crashed = target_crashed,
		.arg = gate,
	};

	gate->crash_watch = brf_crash_watch_new(&config);
}

struct brf_mesh_gate *
brf_mesh_gate_new(const struct brf_mesh_gate_config *config)
{
	struct brf_mesh_gate *gate = brf_calloc(1, sizeof(*gate));
	struct brf_flow_target_config target = {
		.loop = config->loop,
		.tasks = config->tasks,
		.timers = config->timers,
		.metrics = config->metrics,
		.names = config->names,
		.max_connections = CONNECTIONS_DEFAULT,
	};

	gate->backend.vt = &gate_vt;
	gate->config = *config;
	gate->refusal_reason = BRF_R_NO_TARGET;
	brf_list_init(&gate->hops);
	gate->queues = brf_slot_queues_new(config->timers);
	gate->target = brf_flow_target_new(
	    &target, (const struct sockaddr *)&config->target);
	make_crash_watch(gate);
	make_metrics(gate);
	return (gate);
}

struct brf_hop_backend *
brf_mesh_gate_backend(struct brf_mesh_gate *gate)
{
	return (&gate->backend);
}

void
brf_mesh_gate_refuse(struct brf_mesh_gate *gate, enum brf_reason reason)
{
	gate->refusal_reason = reason;
	if (reason == BRF_R_NONE)
		return;
	brf_crash_watch_leaving(gate->crash_watch);
	brf_slot_queues_drain(gate->queues, reason);
}

void
brf_mesh_gate_stop(struct brf_mesh_gate *gate, uint64_t work_ends_at)
{
	gate->work_ends_at = work_ends_at;
}

/* A new incarnation states its own limit, and does not leave. */
static void
forget_incarnation(struct brf_mesh_gate *gate)
{
	brf_flow_target_close_idle(gate->target);
	gate->incarnation++;
	memset(&gate->report, 0, sizeof(gate->report));
	apply_report(gate);
}

/* Refuse waiting hops that name another target than the present one. */
static void
refuse_misdirected(struct brf_mesh_gate *gate)
{
	struct brf_list *l, *next;
	struct gate_hop *gh;

	brf_list_foreach_safe (l, next, &gate->hops) {
		gh = brf_list_entry(l, struct gate_hop, link);
		if (strcmp(gh->hop->request.target, gate->notice.id) != 0 &&
		    brf_slot_queues_withdraw(&gh->ticket))
			refuse(gh, BRF_R_NO_TARGET, false);
	}
}

void
brf_mesh_gate_update_target(struct brf_mesh_gate *gate,
    const struct brf_target_announcement *notice, bool is_new)
{
	if (is_new) {
		brf_crash_watch_replaced(gate->crash_watch);
		forget_incarnation(gate);
	}
	gate->notice = *notice;
	if (is_new)
		refuse_misdirected(gate);
	brf_slot_queues_set_slots(gate->queues, notice->slots);
	if (notice->state == BRF_TARGET_READY && !gate->report.leaving)
		brf_mesh_gate_refuse(gate, BRF_R_NONE);
	else
		brf_mesh_gate_refuse(gate, BRF_R_DRAINING);
}

bool
brf_mesh_gate_target_leaves(const struct brf_mesh_gate *gate)
{
	return (gate->report.leaving);
}

void
brf_mesh_gate_set_max_connections(struct brf_mesh_gate *gate, uint32_t most)
{
	brf_flow_target_set_max_connections(gate->target, most);
}

static uint64_t
deadline_distance(const struct gate_hop *gh, uint64_t deadline)
{
	uint64_t other = gh->hop->request.deadline;

	return (other > deadline ? other - deadline : deadline - other);
}

void
brf_mesh_gate_count_deadlines(const struct brf_mesh_gate *gate,
    uint64_t deadline, uint32_t *same, uint32_t *near)
{
	struct brf_list *l;
	struct gate_hop *gh;

	*same = 0;
	*near = 0;
	brf_list_foreach (l, &gate->hops) {
		gh = brf_list_entry(l, struct gate_hop, link);
		if (!gh->has_slot)
			continue;
		if (deadline_distance(gh, deadline) < BRF_NESTING_SAME_US)
			(*same)++;
		else if (deadline_distance(gh, deadline) < BRF_NESTING_NEAR_US)
			(*near)++;
	}
}

/*
 * Compare the deadline of a nested call with those of the running requests, to
 * learn which routes' requests make nested calls.
 */
static void
compare_deadlines(const struct brf_mesh_gate *gate, uint64_t deadline)
{
	struct brf_list *l;
	struct gate_hop *gh;

	brf_list_foreach (l, &gate->hops) {
		gh = brf_list_entry(l, struct gate_hop, link);
		if (gh->has_slot && gh->route_state != NULL)
			brf_nesting_add_call(&gh->route_state->nesting,
			    deadline_distance(gh, deadline));
	}
}

/*
 * Return the running request with the same deadline as the nested call.  If
 * there is none, choose at random among those with a later deadline, weighted
 * by how many nested calls requests of their route make.
 */
static struct gate_hop *
find_parent(const struct brf_mesh_gate *gate, uint64_t deadline)
{
	uint64_t nearest = BRF_NESTING_SAME_US;
	struct gate_hop *gh, *same = NULL, *later = NULL;
	double sum = 0, weight;
	struct brf_list *l;

	brf_list_foreach (l, &gate->hops) {
		gh = brf_list_entry(l, struct gate_hop, link);
		if (!gh->has_slot || gh->route_state == NULL)
			continue;
		weight =
		    brf_nesting_calls_per_request(&gh->route_state->nesting);
		if (deadline_distance(gh, deadline) < nearest) {
			nearest = deadline_distance(gh, deadline);
			same = gh;
		}
		if (gh->hop->request.deadline < deadline)
			continue;
		sum += weight;
		if (brf_random_unit(gate->config.random) * sum < weight)
			later = gh;
	}
	return (same != NULL ? same : later);
}

bool
brf_mesh_gate_find_parent(struct brf_mesh_gate *gate, uint64_t deadline,
    struct brf_mesh_parent *parent)
{
	struct gate_hop *gh;

	compare_deadlines(gate, deadline);
	gh = find_parent(gate, deadline);
	if (gh == NULL)
		return (false);
	parent->serial = gh->serial;
	parent->rank = gh->hop->request.rank;
	parent->repeat = gh->hop->request.repeat;
	parent->sure = deadline_distance(gh, deadline) < BRF_NESTING_SAME_US;
	return (true);
}

void
brf_mesh_gate_mark_parent(struct brf_mesh_gate *gate,
    const struct brf_mesh_parent *parent, bool failed)
{
	struct brf_list *l;
	struct gate_hop *gh;

	if (failed && (parent == NULL || !parent->sure)) {
		brf_pending_marks_add(&gate->pending_marks, now(gate));
		return;
	}
	if (parent == NULL)
		return;
	brf_list_foreach (l, &gate->hops) {
		gh = brf_list_entry(l, struct gate_hop, link);
		if (gh->serial == parent->serial)
			gh->marked = true;
	}
}

void
brf_mesh_gate_log_load(struct brf_mesh_gate *gate)
{
	struct brf_mesh_gate_counts *c = &gate->counts;
	uint64_t t = now(gate);
	struct brf_gate_load load;

	if (c->ended + c->refused + c->failed != 0 && t > c->since) {
		brf_mesh_gate_get_load(gate, &load);
		brf_log(BRF_LOG_INFO, "gate_load",
		    BRF_LS("target", gate->notice.id),
		    BRF_LD("busy", (double)c->ran_us / (double)(t - c->since)),
		    BRF_LU("limit", load.limit),
		    BRF_LU("running", load.running),
		    BRF_LU("waiting", load.waiting),
		    BRF_LU("service_ms", load.service_ms),
		    BRF_LD("rate_limit", gate->report.rate_limit),
		    BRF_LU("ended", c->ended), BRF_LU("refused", c->refused),
		    BRF_LU("failed", c->failed), BRF_LU("marked", c->marked));
	}
	memset(c, 0, sizeof(*c));
	c->since = t;
}

size_t
brf_mesh_gate_open_hops(const struct brf_mesh_gate *gate)
{
	return (gate->open_count);
}

void
brf_mesh_gate_close(
    struct brf_mesh_gate *gate, void (*closed)(void *arg), void *arg)
{
	brf_flow_target_close(gate->target, closed, arg);
}

void
brf_mesh_gate_free(struct brf_mesh_gate *gate)
{
	brf_crash_watch_free(gate->crash_watch);
	brf_slot_queues_free(gate->queues);
	brf_flow_target_free(gate->target);
	free(gate);
}
