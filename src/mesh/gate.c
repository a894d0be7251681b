#include <stdlib.h>

#include "base/log.h"
#include "flow/target.h"
#include "mesh/gate.h"
#include "mesh/trail.h"
#include "policy/lanes.h"
#include "policy/pace.h"

#define CONNECTIONS_PRESET 1024u /* until a routing table says otherwise */
#define WHOLE_BYTES 32768u /* of an answer that is held until it is whole */
#define WHOLE_US (50 * BRF_US_PER_MS) /* for how long at most */
/* After the deadline, for the target's own word on it. */
#define LATE_US (5 * BRF_US_PER_MS)

/**
 * struct visit - one hop at the gate.
 * @route: what is remembered of its route; NULL when it has none here
 * @timer: its deadline; while an answer is held, how long that may last
 * @came: clock time when it came
 * @serial: names it among the visits of this gate
 * @running: it has a slot
 * @held: its answer was held for long enough
 * @marked: it met pressure here, or a call that it made did elsewhere
 */
struct visit {
	struct brf_list link;
	struct brf_mesh_gate *gate;
	struct brf_hop *hop;
	struct brf_lane_ticket ticket;
	struct brf_flow_run run;
	struct brf_mesh_route *route;
	struct brf_task work;
	struct brf_timer timer;
	uint64_t came;
	uint64_t serial;
	bool running;
	bool held;
	bool marked;
};

/**
 * struct brf_mesh_gate_counts - since the last line in the log.
 * @ran_us: slot time of requests that ended
 * @marked: hops that met pressure
 */
struct brf_mesh_gate_counts {
	uint64_t since;
	uint64_t ran_us;
	uint64_t ended;
	uint64_t refused;
	uint64_t failed;
	uint64_t marked;
};

struct brf_mesh_gate {
	struct brf_hop_backend backend;
	struct brf_mesh_gate_config config;
	struct brf_flow_target *target;
	struct brf_lanes *lanes;
	struct brf_notice notice;
	struct brf_list open;
	size_t open_count;
	uint64_t serial;
	enum brf_reason refusing;
	struct brf_mesh_gate_counts counts;
	struct brf_pace_marker marker;
	struct brf_pace_owed owed;
	struct brf_metric *runs;
	struct brf_metric *refusals;
	struct brf_metric *failures;
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
brf_mesh_gate_load(const struct brf_mesh_gate *gate, struct brf_gate_load *load)
{
	load->running = clip(brf_lanes_running(gate->lanes));
	load->limit = clip(brf_lanes_limit(gate->lanes));
	load->waiting = clip(brf_lanes_waiting(gate->lanes));
	load->service_ms =
	    clip((double)brf_lanes_service_us(gate->lanes) / BRF_US_PER_MS);
}

/* One line on a visit; @ran_us is 0 when it had no slot. */
static void
log_visit(const struct visit *v, const char *event, enum brf_reason reason,
    uint64_t ran_us)
{
	const struct brf_hop_request *rq = &v->hop->request;
	const struct brf_lanes *lanes = v->gate->lanes;
	uint64_t t = now(v->gate);

	brf_log_request(BRF_LOG_INFO, event, BRF_LS("request", rq->id),
	    BRF_LS("target", rq->target), BRF_LS("caller", rq->caller),
	    BRF_LU("serial", v->serial), BRF_LU("rank", rq->rank),
	    BRF_LU("nested", rq->nested), BRF_LU("repeat", rq->repeat),
	    BRF_LS("reason", brf_reason_name(reason)),
	    BRF_LU("status", (uint64_t)v->run.answer.status),
	    BRF_LU("marked", v->marked),
	    BRF_LU(
		"waited_ms", (v->running ? v->ticket.waited_us : t - v->came) /
				 BRF_US_PER_MS),
	    BRF_LU("patience_ms", rq->max_wait_us / BRF_US_PER_MS),
	    BRF_LU("left_ms",
		rq->deadline > t ? (rq->deadline - t) / BRF_US_PER_MS : 0),
	    BRF_LU("ran_ms", ran_us / BRF_US_PER_MS),
	    BRF_LU("running", brf_lanes_running(lanes)),
	    BRF_LU("limit", brf_lanes_limit(lanes)),
	    BRF_LU("waiting", brf_lanes_waiting(lanes)),
	    BRF_LU("service_ms", brf_lanes_service_us(lanes) / BRF_US_PER_MS));
}

static uint64_t
ran_us(const struct visit *v)
{
	return (v->run.sent_at != 0 ? now(v->gate) - v->run.sent_at : 0);
}

/* Give up the slot. */
static void
leave_slot(struct visit *v, bool useful)
{
	struct brf_mesh_gate *gate = v->gate;
	uint64_t took = ran_us(v);

	if (!v->running)
		return;
	v->running = false;
	if (useful)
		brf_histogram_add(gate->ran, took);
	gate->counts.ran_us += took;
	gate->counts.ended++;
	brf_lanes_finish(&v->ticket, useful ? took : 0);
}

/* The visit goes; its hop stays its sender's. */
static void
visit_free(struct visit *v)
{
	struct brf_mesh_gate *gate = v->gate;

	brf_flow_run_cancel(&v->run);
	leave_slot(v, false);
	brf_flow_run_free(&v->run);
	brf_list_remove(&v->link);
	brf_task_cancel(&v->work);
	brf_timer_stop(gate->config.timers, &v->timer);
	gate->open_count--;
	v->hop->impl = NULL;
	free(v);
}

static void
report(struct visit *v, enum brf_hop_state state)
{
	struct brf_hop *hop = v->hop;

	hop->state = state;
	hop->marked = v->marked;
	hop->nested_route =
	    v->route != NULL && brf_kinship_is_inner(&v->route->kinship,
				    v->gate->config.services->bits);
	if (hop->marked)
		v->gate->counts.marked++;
	hop->has_load = true;
	brf_mesh_gate_load(v->gate, &hop->load);
	brf_task_post(v->gate->config.tasks, hop->owner);
}

/* A target that sheds with slots to spare is faulty, not pressed. */
static bool
is_pressure(const struct brf_mesh_gate *gate, enum brf_reason reason)
{
	if (reason == BRF_R_TARGET_SHED)
		return (brf_lanes_running(gate->lanes) + 1 >=
			brf_lanes_limit(gate->lanes));
	return (reason == BRF_R_OVERLOAD || reason == BRF_R_EXPIRED);
}

/* Who asks for a target of the past hears of the present one. */
static void
tell_instead(struct visit *v)
{
	struct brf_mesh_gate *gate = v->gate;

	if (gate->refusing == BRF_R_NONE && gate->config.tell_target != NULL &&
	    strcmp(v->hop->request.target, gate->notice.id) != 0)
		gate->config.tell_target(gate->config.arg, &v->hop->replacement);
}

static void
refuse(struct visit *v, enum brf_reason reason, bool arrived)
{
	struct brf_hop *hop = v->hop;

	v->marked = v->marked || is_pressure(v->gate, reason);
	log_visit(v, "hop_refused", reason, ran_us(v));
	leave_slot(v, false);
	v->gate->refusals->value++;
	v->gate->counts.refused++;
	hop->reason = reason;
	hop->arrived = arrived;
	if (reason == BRF_R_NO_TARGET)
		tell_instead(v);
	hop->retry_after_ms =
	    (uint32_t)(brf_lanes_backlog_us(v->gate->lanes) / BRF_US_PER_MS);
	report(v, BRF_HOP_REFUSED);
	visit_free(v);
}

static void
fail(struct visit *v, enum brf_reason reason)
{
	struct brf_hop *hop = v->hop;

	log_visit(v, "hop_failed", reason, ran_us(v));
	leave_slot(v, false);
	v->gate->failures->value++;
	v->gate->counts.failed++;
	hop->reason = reason;
	hop->arrived = true;
	report(v, BRF_HOP_FAILED);
	visit_free(v);
}

/* Whether the hop's sender can have the answer now. */
static bool
is_ready(const struct visit *v)
{
	const struct brf_pipe *answer_body = &v->hop->answer_body;

	return (answer_body->state == BRF_PIPE_ENDED ||
		brf_pipe_len(answer_body) >= WHOLE_BYTES || v->held);
}

static void
pass_on(struct visit *v)
{
	struct brf_hop *hop = v->hop;

	if (v->run.answer.status >= 500 ||
	    brf_trail_is_sampled(hop->request.id))
		log_visit(v, "hop_answered", BRF_R_NONE, ran_us(v));
	if (hop->answer_body.state == BRF_PIPE_ENDED)
		leave_slot(v, true);
	hop->answer = v->run.answer;
	memset(&v->run.answer, 0, sizeof(v->run.answer));
	hop->arrived = true;
	hop->answer_body.reader = hop->owner;
	v->marked = v->marked || brf_pace_pay(&v->gate->owed,
				     hop->answer.status >= 500, now(v->gate));
	report(v, BRF_HOP_ANSWERED);
}

/* What the target's own word makes of a hop; BRF_R_NONE passes it on. */
static enum brf_reason
judge(const struct visit *v)
{
	const struct brf_answer_head *a = &v->run.answer;

	if (a->not_run && a->status != 400)
		return (a->status == 421 ? BRF_R_NO_TARGET : BRF_R_TARGET_SHED);
	if (a->status == 421 && !a->sealed)
		return (BRF_R_NO_TARGET);
	if (a->status < 300 && (!a->sealed || a->encoded || a->id[0] == '\0'))
		return (BRF_R_BROKEN_ANSWER);
	return (BRF_R_NONE);
}

static void
hold_over(struct brf_timer *timer, void *arg)
{
	struct visit *v = arg;

	(void)timer;
	v->held = true;
	brf_task_post(v->gate->config.tasks, &v->work);
}

/*
 * A short answer is held until it is whole, so that a torn one can be told
 * from it and its request may be tried elsewhere.
 *
 * Return: whether the answer was passed on; else @v waits or is gone.
 */
static bool
take_answer(struct visit *v)
{
	struct brf_timers *timers = v->gate->config.timers;
	enum brf_reason why = judge(v);
	struct brf_pipe *answer_body = &v->hop->answer_body;

	if (why == BRF_R_BROKEN_ANSWER || answer_body->state == BRF_PIPE_BROKEN) {
		fail(v, BRF_R_BROKEN_ANSWER);
		return (false);
	}
	if (why != BRF_R_NONE) {
		refuse(v, why, true);
		return (false);
	}
	if (is_ready(v)) {
		brf_timer_stop(timers, &v->timer);
		pass_on(v);
		return (true);
	}
	if (v->timer.fire != hold_over) {
		v->timer.fire = hold_over;
		brf_timer_start(timers, &v->timer, WHOLE_US);
	}
	return (false);
}

static void
run_failed(struct visit *v)
{
	if (v->run.not_sent)
		refuse(v, BRF_R_TARGET_DOWN, false);
	else
		fail(
		    v, v->run.invalid_answer ? BRF_R_BROKEN_ANSWER : BRF_R_TARGET_LOST);
}

static void
work(struct brf_task *task)
{
	struct visit *v = brf_container_of(task, struct visit, work);

	if (v->run.state == BRF_FLOW_RUN_FAILED) {
		run_failed(v);
		return;
	}
	if (v->run.state != BRF_FLOW_RUN_ANSWERED)
		return;
	if (v->hop->state == BRF_HOP_OPEN && !take_answer(v))
		return;
	if (v->hop->answer_body.state != BRF_PIPE_OPEN) {
		leave_slot(v, v->hop->answer_body.state == BRF_PIPE_ENDED);
		visit_free(v);
	}
}

static void
put_number(struct brf_buf *b, const char *name, uint64_t value)
{
	brf_buf_printf(b, "%s: %llu\r\n", name, (unsigned long long)value);
}

static void
build_head(struct visit *v)
{
	const struct brf_hop_request *rq = &v->hop->request;
	const struct brf_field_names *names = v->gate->config.names;
	struct brf_buf *b = &v->run.head;
	uint64_t t = now(v->gate);
	uint64_t left = rq->deadline > t ? rq->deadline - t : 0;

	brf_buf_reserve(b, rq->fields_len + strlen(rq->path) + 512);
	brf_buf_printf(b, "%s %s HTTP/1.1\r\n", rq->method, rq->path);
	brf_field_put(b, "host", rq->host);
	brf_buf_add(b, rq->fields, rq->fields_len);
	put_number(b, names->timeout, left / BRF_US_PER_MS);
	brf_field_put(b, names->target, v->gate->notice.id);
	brf_field_put(b, names->caller, rq->caller);
	if (rq->body == BRF_BODY_LENGTH)
		put_number(b, "content-length", rq->length);
	else if (rq->body == BRF_BODY_CHUNKED)
		brf_field_put(b, "transfer-encoding", "chunked");
	brf_buf_add(b, "\r\n", 2);
}

static void
start(struct visit *v)
{
	struct brf_mesh_gate *gate = v->gate;
	struct brf_flow_run *run = &v->run;
	struct brf_hop *hop = v->hop;

	v->running = true;
	v->marked =
	    brf_pace_mark(&gate->marker, v->ticket.rank, v->ticket.waited_us);
	gate->runs->value++;
	brf_histogram_add(gate->waited, v->ticket.waited_us);
	build_head(v);
	run->owner = &v->work;
	run->body = hop->request_body;
	run->framing = hop->request.body;
	run->id = hop->request.id;
	run->to_head = strcmp(hop->request.method, "HEAD") == 0;
	run->avoid_stale = !hop->request.repeatable;
	run->out = &hop->answer_body;
	hop->answer_body.reader = &v->work;
	brf_flow_target_run(gate->target, run);
}

static void
ticket_granted(struct brf_lane_ticket *ticket)
{
	start(brf_container_of(ticket, struct visit, ticket));
}

static void
ticket_refused(struct brf_lane_ticket *ticket, enum brf_reason reason)
{
	refuse(brf_container_of(ticket, struct visit, ticket), reason, false);
}

static void
deadline_passed(struct brf_timer *timer, void *arg)
{
	struct visit *v = arg;

	(void)timer;
	if (v->running) {
		fail(v, BRF_R_TIMEOUT);
		return;
	}
	if (brf_lanes_withdraw(&v->ticket))
		refuse(v, BRF_R_EXPIRED, false);
}

static struct brf_mesh_route *
find_route(struct brf_mesh_gate *gate, const struct brf_hop_request *rq)
{
	struct brf_mesh_tables *tables = gate->config.tables;
	const struct brf_route *route;

	if (tables->current == NULL)
		return (NULL);
	route = brf_table_match(tables->current, rq->host, rq->path);
	return (route != NULL ? brf_mesh_tables_route(tables, route) : NULL);
}

static struct visit *
visit_new(struct brf_mesh_gate *gate, struct brf_hop *hop)
{
	const struct brf_hop_request *rq = &hop->request;
	struct visit *v = brf_calloc(1, sizeof(*v));

	v->gate = gate;
	v->hop = hop;
	v->came = now(gate);
	v->serial = ++gate->serial;
	v->route = find_route(gate, rq);
	if (v->route != NULL)
		brf_kinship_visit(&v->route->kinship,
		    brf_mesh_service_bit(gate->config.services, rq->caller));
	brf_task_init(&v->work, work);
	v->timer.fire = deadline_passed;
	v->timer.arg = v;
	v->ticket.rank = rq->rank;
	v->ticket.nested = rq->nested;
	v->ticket.deadline = rq->deadline;
	v->ticket.max_wait_us = rq->max_wait_us;
	v->ticket.grant = ticket_granted;
	v->ticket.refuse = ticket_refused;
	brf_list_append(&gate->open, &v->link);
	gate->open_count++;
	hop->impl = v;
	brf_pipe_init(&hop->answer_body, gate->config.tasks);
	return (v);
}

/* Why a hop can't be taken at all, or BRF_R_NONE. */
static enum brf_reason
objection(const struct brf_mesh_gate *gate, const struct brf_hop_request *rq)
{
	if (gate->refusing != BRF_R_NONE)
		return (gate->refusing);
	if (strcmp(rq->target, gate->notice.id) != 0)
		return (BRF_R_NO_TARGET);
	if (rq->deadline <= now(gate))
		return (BRF_R_EXPIRED);
	return (BRF_R_NONE);
}

static void
gate_send(struct brf_hop_backend *backend, struct brf_hop *hop)
{
	struct brf_mesh_gate *gate = gate_of(backend);
	enum brf_reason why = objection(gate, &hop->request);
	struct visit *v = visit_new(gate, hop);

	if (why != BRF_R_NONE) {
		refuse(v, why, false);
		return;
	}
	brf_timer_start(gate->config.timers, &v->timer,
	    hop->request.deadline - now(gate) + LATE_US);
	switch (brf_lanes_submit(gate->lanes, &v->ticket)) {
	case BRF_LANES_RUN:
		start(v);
		break;
	case BRF_LANES_WAIT:
		break;
	case BRF_LANES_REFUSE:
		refuse(v, BRF_R_OVERLOAD, false);
		break;
	}
}

static void
gate_cancel(struct brf_hop_backend *backend, struct brf_hop *hop)
{
	struct visit *v = hop->impl;

	(void)backend;
	if (v == NULL)
		return;
	if (hop->state == BRF_HOP_OPEN &&
	    (!hop->request.nested || brf_trail_is_sampled(hop->request.id)))
		log_visit(v, "hop_cancelled", BRF_R_CANCELLED, ran_us(v));
	brf_lanes_withdraw(&v->ticket);
	visit_free(v);
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
	gate->waited = brf_metrics_histogram(m, "brf_gate_wait_seconds",
	    "Time that a hop waited for a slot.", "");
	gate->ran = brf_metrics_histogram(
	    m, "brf_gate_run_seconds", "Time of a request at the target.", "");
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
		.max_connections = CONNECTIONS_PRESET,
	};

	gate->backend.vt = &gate_vt;
	gate->config = *config;
	gate->refusing = BRF_R_NO_TARGET;
	brf_list_init(&gate->open);
	gate->lanes = brf_lanes_new(config->timers);
	gate->target = brf_flow_target_new(
	    &target, (const struct sockaddr *)&config->target);
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
	gate->refusing = reason;
	if (reason != BRF_R_NONE)
		brf_lanes_drain(gate->lanes, reason);
}

void
brf_mesh_gate_notice(
    struct brf_mesh_gate *gate, const struct brf_notice *notice, bool is_new)
{
	if (is_new)
		brf_flow_target_close_idle(gate->target);
	gate->notice = *notice;
	brf_lanes_set_slots(gate->lanes, notice->slots);
	if (notice->state == BRF_TARGET_READY)
		brf_mesh_gate_refuse(gate, BRF_R_NONE);
	else
		brf_mesh_gate_refuse(gate, BRF_R_DRAINING);
}

void
brf_mesh_gate_connections(struct brf_mesh_gate *gate, uint32_t most)
{
	brf_flow_target_set_max_connections(gate->target, most);
}

static uint64_t
apart(const struct visit *v, uint64_t deadline)
{
	uint64_t theirs = v->hop->request.deadline;

	return (theirs > deadline ? theirs - deadline : deadline - theirs);
}

void
brf_mesh_gate_ends_with(const struct brf_mesh_gate *gate, uint64_t deadline,
    uint32_t *same, uint32_t *near)
{
	struct brf_list *l;
	struct visit *v;

	*same = 0;
	*near = 0;
	brf_list_foreach (l, &gate->open) {
		v = brf_list_entry(l, struct visit, link);
		if (!v->running)
			continue;
		if (apart(v, deadline) < BRF_KINSHIP_SAME_US)
			(*same)++;
		else if (apart(v, deadline) < BRF_KINSHIP_NEAR_US)
			(*near)++;
	}
}

/* Learn from a call which routes' requests make calls. */
static void
compare_all(const struct brf_mesh_gate *gate, uint64_t deadline)
{
	struct brf_list *l;
	struct visit *v;

	brf_list_foreach (l, &gate->open) {
		v = brf_list_entry(l, struct visit, link);
		if (v->running && v->route != NULL)
			brf_kinship_compare(
			    &v->route->kinship, apart(v, deadline));
	}
}

/* The one that ends together with @deadline, or else one of those that end
 * later, by how many calls requests like it make. */
static struct visit *
find_caller(const struct brf_mesh_gate *gate, uint64_t deadline)
{
	uint64_t nearest = BRF_KINSHIP_SAME_US;
	struct visit *v, *same = NULL, *later = NULL;
	double sum = 0, weight;
	struct brf_list *l;

	brf_list_foreach (l, &gate->open) {
		v = brf_list_entry(l, struct visit, link);
		if (!v->running || v->route == NULL)
			continue;
		weight = brf_kinship_weight(&v->route->kinship);
		if (apart(v, deadline) < nearest) {
			nearest = apart(v, deadline);
			same = v;
		}
		if (v->hop->request.deadline < deadline)
			continue;
		sum += weight;
		if (brf_random_unit(gate->config.random) * sum < weight)
			later = v;
	}
	return (same != NULL ? same : later);
}

bool
brf_mesh_gate_parent(struct brf_mesh_gate *gate, uint64_t deadline,
    struct brf_mesh_parent *parent)
{
	struct visit *v;

	compare_all(gate, deadline);
	v = find_caller(gate, deadline);
	if (v == NULL)
		return (false);
	parent->serial = v->serial;
	parent->rank = v->hop->request.rank;
	parent->repeat = v->hop->request.repeat;
	parent->sure = apart(v, deadline) < BRF_KINSHIP_SAME_US;
	return (true);
}

void
brf_mesh_gate_mark(struct brf_mesh_gate *gate,
    const struct brf_mesh_parent *parent, bool failed)
{
	struct brf_list *l;
	struct visit *v;

	if (failed && (parent == NULL || !parent->sure)) {
		brf_pace_owe(&gate->owed, now(gate));
		return;
	}
	if (parent == NULL)
		return;
	brf_list_foreach (l, &gate->open) {
		v = brf_list_entry(l, struct visit, link);
		if (v->serial == parent->serial)
			v->marked = true;
	}
}

void
brf_mesh_gate_log(struct brf_mesh_gate *gate)
{
	struct brf_mesh_gate_counts *c = &gate->counts;
	uint64_t t = now(gate);
	struct brf_gate_load load;

	if (c->ended + c->refused + c->failed != 0 && t > c->since) {
		brf_mesh_gate_load(gate, &load);
		brf_log(BRF_LOG_INFO, "gate_load",
		    BRF_LS("target", gate->notice.id),
		    BRF_LD("busy", (double)c->ran_us / (double)(t - c->since)),
		    BRF_LU("limit", load.limit),
		    BRF_LU("running", load.running),
		    BRF_LU("waiting", load.waiting),
		    BRF_LU("service_ms", load.service_ms),
		    BRF_LU("ended", c->ended), BRF_LU("refused", c->refused),
		    BRF_LU("failed", c->failed), BRF_LU("marked", c->marked));
	}
	memset(c, 0, sizeof(*c));
	c->since = t;
}

size_t
brf_mesh_gate_open(const struct brf_mesh_gate *gate)
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
	brf_lanes_free(gate->lanes);
	brf_flow_target_free(gate->target);
	free(gate);
}
