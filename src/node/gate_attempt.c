#include <stdlib.h>

#include "node/gate_impl.h"

static struct brf_gate *
gate_of(struct brf_backend *backend)
{
	return (brf_container_of(backend, struct brf_gate, backend));
}

static uint64_t
now(const struct brf_gate *gate)
{
	return (brf_now(brf_timers_clock(gate->config.timers)));
}

static void
count(struct brf_gate *gate, uint32_t cls, const struct brf_reply *reply)
{
	struct brf_metric **slot = &gate->metrics[cls].outcomes[reply->reason];
	char labels[160];

	if (*slot == NULL) {
		snprintf(labels, sizeof(labels),
		    "class=\"%u\",outcome=\"%s\",reason=\"%s\"", cls,
		    brf_outcome_name(reply->outcome),
		    brf_reason_name(reply->reason));
		*slot = brf_metrics_counter(gate->config.metrics,
		    "brf_gate_attempts_total",
		    "Attempts at this node's target, by how they ended.",
		    labels);
	}
	(*slot)->value += 1;
}

/*
 * A copy of an attempt that is open: whatever becomes of that one, it is not
 * for the copy to say, and its extra attempts are with the first.
 */
static void
refuse_copy(struct brf_gate *gate, struct brf_exchange *x)
{
	struct brf_reply reply = { .outcome = BRF_UNKNOWN,
		.reason = BRF_R_DUPLICATE };
	uint32_t cls =
	    x->attempt.cls < BRF_CLASSES ? x->attempt.cls : BRF_CLASSES - 1;

	count(gate, cls, &reply);
	x->done(x, &reply);
}

static void
abandon_calls(struct brf_gate_entry *e)
{
	struct brf_list *l;

	while (!brf_list_empty(&e->inbound.calls)) {
		l = e->inbound.calls.next;
		brf_list_remove(l);
		if (e->gate->abandon != NULL)
			e->gate->abandon(l);
	}
}

static void
entry_free(struct brf_gate_entry *e)
{
	brf_timer_stop(e->gate->config.timers, &e->deadline);
	brf_idmap_remove(&e->gate->open, &e->id);
	brf_document_unref(e->doc);
	free(e);
}

/* Give the reply to the sender and forget the attempt. */
static void
conclude(struct brf_gate_entry *e, struct brf_reply *reply)
{
	struct brf_gate *gate = e->gate;
	struct brf_exchange *x = e->x;

	abandon_calls(e);
	brf_gate_record(e, reply);
	reply->retries = e->inbound.allotment.left;
	reply->useful_us += e->inbound.useful_us;
	reply->wasted_us += e->inbound.wasted_us;
	reply->has_level = true;
	brf_gate_level(gate, &reply->level);
	if (reply->outcome == BRF_NOT_RUN)
		reply->retry_after_ms =
		    brf_admission_retry_after_ms(gate->admission);
	count(gate, e->ticket.cls, reply);
	entry_free(e);
	x->done(x, reply);
}

/*
 * Slot time by what came of it.  What an attempt and the calls below it did
 * is wasted when its own answer is a failure (a status of 500 or above), is
 * not whole, or nobody waits for it any more.
 */
static void
account(struct brf_gate_entry *e, struct brf_reply *reply, uint64_t took)
{
	struct brf_gate *gate = e->gate;
	bool useful = reply->outcome == BRF_ANSWERED && !e->cancelled &&
		      reply->answer->status < 500;

	if (reply->outcome == BRF_NOT_RUN)
		return;
	if (useful) {
		gate->useful_seconds->value += (double)took / BRF_US_PER_S;
		reply->useful_us += took;
		return;
	}
	gate->wasted_seconds->value += (double)took / BRF_US_PER_S;
	reply->wasted_us += took + e->inbound.useful_us;
	e->inbound.useful_us = 0;
}

static void
run_ended(struct brf_gate_entry *e, struct brf_reply *reply)
{
	struct brf_gate *gate = e->gate;
	uint64_t took = now(gate) - e->began;
	bool in_time = reply->outcome == BRF_ANSWERED && !e->cancelled;

	e->running = false;
	brf_attached_unref(e->on);
	brf_histogram_add(gate->metrics[e->ticket.cls].duration, took);
	account(e, reply, took);
	if (e->inbound.has_calls)
		brf_downstream_record(&gate->below, e->ticket.rank,
		    e->inbound.shed_below, took, now(gate));
	e->ticket.outside_us = e->inbound.outside_us;
	brf_admission_finish(gate->admission, &e->ticket, in_time);
	conclude(e, reply);
}

/* What the end of a run proves, where there is no whole answer. */
static const struct {
	enum brf_outcome outcome;
	enum brf_reason reason;
} run_ends[] = {
	[BRF_RUN_ANSWERED] = { BRF_ANSWERED, BRF_R_NONE },
	[BRF_RUN_NOT_STARTED] = { BRF_NOT_RUN, BRF_R_TARGET_DOWN },
	[BRF_RUN_LOST] = { BRF_UNKNOWN, BRF_R_TARGET_LOST },
	[BRF_RUN_BROKEN] = { BRF_UNKNOWN, BRF_R_BROKEN_ANSWER },
	[BRF_RUN_TOO_LARGE] = { BRF_UNKNOWN, BRF_R_ANSWER_TOO_LARGE },
	[BRF_RUN_CANCELLED] = { BRF_UNKNOWN, BRF_R_CANCELLED },
};

static void
run_done(struct brf_run *run, enum brf_run_end end, struct brf_message *answer)
{
	struct brf_gate_entry *e =
	    brf_container_of(run, struct brf_gate_entry, run);
	struct brf_reply reply = { .outcome = run_ends[end].outcome,
		.reason = run_ends[end].reason,
		.answer = answer };

	if (end == BRF_RUN_CANCELLED && !e->cancelled)
		reply.reason = BRF_R_TIMEOUT;
	if (end == BRF_RUN_ANSWERED && answer->status == 503 &&
	    e->doc->shed_is_not_run) {
		reply.outcome = BRF_NOT_RUN;
		reply.reason = BRF_R_TARGET_SHED;
		reply.answer = NULL;
	}
	run_ended(e, &reply);
}

static void
add_field(struct brf_run *run, const char *name, const char *value)
{
	run->extra[run->extra_count].name = name;
	run->extra[run->extra_count].value = value;
	run->extra_count++;
}

static void
start_run(struct brf_gate_entry *e)
{
	struct brf_gate *gate = e->gate;
	struct brf_run *run = &e->run;
	uint64_t left;

	e->running = true;
	e->on = gate->attached;
	e->on->refs++;
	e->began = now(gate);
	left =
	    e->inbound.deadline > e->began ? e->inbound.deadline - e->began : 0;
	brf_id_format(e->id.id, e->id_text);
	brf_id_format(e->inbound.root, e->root_text);
	snprintf(e->timeout_text, sizeof(e->timeout_text), "%llu",
	    (unsigned long long)(left / BRF_US_PER_MS));
	snprintf(e->class_text, sizeof(e->class_text), "%u", e->inbound.cls);
	run->request = e->x->attempt.request;
	run->done = run_done;
	add_field(run, BRF_H_REQUEST, e->id_text);
	add_field(run, BRF_H_ID, e->root_text);
	add_field(run, BRF_H_TIMEOUT, e->timeout_text);
	add_field(run, BRF_H_PRIORITY, e->class_text);
	if (e->x->attempt.workspace[0] != '\0')
		add_field(run, BRF_H_WORKSPACE, e->x->attempt.workspace);
	brf_target_run(e->on->target, run);
}

static void
ticket_granted(struct brf_ticket *ticket)
{
	start_run(brf_container_of(ticket, struct brf_gate_entry, ticket));
}

static void
ticket_refused(struct brf_ticket *ticket, enum brf_reason reason)
{
	struct brf_gate_entry *e =
	    brf_container_of(ticket, struct brf_gate_entry, ticket);
	struct brf_reply reply = { .outcome = BRF_NOT_RUN, .reason = reason };

	conclude(e, &reply);
}

static void
withdraw(struct brf_gate_entry *e, enum brf_reason reason)
{
	struct brf_reply reply = { .outcome = BRF_NOT_RUN, .reason = reason };

	if (brf_admission_withdraw(e->gate->admission, &e->ticket))
		conclude(e, &reply);
}

static void
deadline_passed(struct brf_timer *timer, void *arg)
{
	struct brf_gate_entry *e = arg;

	(void)timer;
	if (e->running)
		brf_target_cancel(e->on->target, &e->run);
	else
		withdraw(e, BRF_R_EXPIRED);
}

static uint64_t
attempt_deadline(const struct brf_gate *gate, const struct brf_gate_entry *e)
{
	uint64_t left = e->x->attempt.timeout_us;

	if (left > e->rule->timeout_us)
		left = e->rule->timeout_us;
	return (now(gate) + left);
}

static struct brf_gate_entry *
entry_new(struct brf_gate *gate, struct brf_exchange *x)
{
	const struct brf_attempt *at = &x->attempt;
	struct brf_gate_entry *e = brf_calloc(1, sizeof(*e));
	uint32_t cls;

	e->gate = gate;
	e->x = x;
	e->doc = brf_document_ref(brf_docs_get(gate->config.docs, at->service));
	e->rule =
	    brf_document_rule(e->doc, at->request->method, at->request->path);
	cls = at->cls > e->rule->cls ? at->cls : e->rule->cls;
	if (cls >= BRF_CLASSES)
		cls = BRF_CLASSES - 1;
	e->inbound.root = at->root;
	e->inbound.depth = at->depth;
	e->inbound.cls = cls;
	e->inbound.workspace = at->workspace;
	e->inbound.deadline = attempt_deadline(gate, e);
	brf_allotment_init(&e->inbound.allotment, at->retries);
	brf_list_init(&e->inbound.calls);
	e->ticket.cls = cls;
	e->ticket.rank = brf_rank(cls, at->root);
	e->ticket.workspace = at->workspace;
	e->ticket.deadline = e->inbound.deadline;
	e->ticket.grant = ticket_granted;
	e->ticket.refuse = ticket_refused;
	e->deadline.fire = deadline_passed;
	e->deadline.arg = e;
	brf_idmap_add(&gate->open, &e->id, at->id);
	x->impl = e;
	return (e);
}

static bool
serves(const struct brf_gate *gate, const char *service)
{
	return (gate->attached != NULL &&
		strcmp(service, gate->upstream.service) == 0);
}

/* Why an attempt can't be admitted at all, or BRF_R_NONE. */
static enum brf_reason
objection(struct brf_gate *gate, const struct brf_gate_entry *e, uint64_t start)
{
	const struct brf_attempt *at = &e->x->attempt;

	if (gate->draining)
		return (BRF_R_DRAINING);
	if (!serves(gate, at->service))
		return (BRF_R_NO_TARGET);
	if (at->depth > BRF_DEPTH_MAX)
		return (BRF_R_DEPTH);
	if (at->cls >= BRF_CLASSES || at->timeout_us == 0)
		return (BRF_R_MALFORMED);
	if (e->doc->enforce &&
	    e->ticket.rank >= brf_downstream_cutoff(&gate->below, start))
		return (BRF_R_SHED_BELOW);
	return (BRF_R_NONE);
}

/*
 * What is remembered comes first: a refusal for any other reason must not be
 * said of a request of which an earlier copy may have run.
 */
static void
submit(struct brf_gate_entry *e)
{
	struct brf_reply reply = { .outcome = BRF_NOT_RUN };
	uint64_t start = now(e->gate);

	if (!brf_gate_remember(e, &reply)) {
		conclude(e, &reply);
		return;
	}
	reply.reason = objection(e->gate, e, start);
	if (reply.reason != BRF_R_NONE) {
		conclude(e, &reply);
		return;
	}
	if (e->inbound.deadline > start)
		brf_timer_start(e->gate->config.timers, &e->deadline,
		    e->inbound.deadline - start);
	switch (brf_admission_submit(
	    e->gate->admission, &e->ticket, &reply.reason)) {
	case BRF_ADMISSION_RUN:
		start_run(e);
		break;
	case BRF_ADMISSION_WAIT:
		break;
	case BRF_ADMISSION_REFUSE:
		conclude(e, &reply);
		break;
	}
}

static void
gate_send(struct brf_backend *backend, struct brf_exchange *x)
{
	struct brf_gate *gate = gate_of(backend);
	const struct brf_attempt *at = &x->attempt;

	if (brf_idmap_find(&gate->open, at->id) != NULL)
		refuse_copy(gate, x);
	else if (brf_gate_wants_token(at->request) && !gate->draining &&
		 serves(gate, at->service))
		brf_gate_mint(gate, x);
	else
		submit(entry_new(gate, x));
}

static void
gate_cancel(struct brf_backend *backend, struct brf_exchange *x)
{
	struct brf_gate_entry *e = x->impl;

	(void)backend;
	e->cancelled = true;
	if (!e->running) {
		withdraw(e, BRF_R_CANCELLED);
		return;
	}
	abandon_calls(e);
	brf_target_cancel(e->on->target, &e->run);
}

const struct brf_backend_vt brf_gate_vt = {
	.send = gate_send,
	.cancel = gate_cancel,
};
