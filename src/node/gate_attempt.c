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
count_reply(struct brf_gate *gate, uint32_t cls, const struct brf_reply *reply)
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
 * Replies BRF_UNKNOWN to a copy of an open attempt: the outcome goes to the
 * sender of the first copy only, and so do the unused extra attempts.
 */
static void
refuse_copy(struct brf_gate *gate, struct brf_exchange *x)
{
	struct brf_reply reply = { .outcome = BRF_UNKNOWN,
		.reason = BRF_R_DUPLICATE };
	uint32_t cls =
	    x->attempt.cls < BRF_CLASSES ? x->attempt.cls : BRF_CLASSES - 1;

	count_reply(gate, cls, &reply);
	x->done(x, &reply);
}

static void
abandon_calls(struct brf_gate_attempt *ga)
{
	struct brf_list *l;

	while (!brf_list_empty(&ga->inbound.calls)) {
		l = ga->inbound.calls.next;
		brf_list_remove(l);
		if (ga->gate->abandon != NULL)
			ga->gate->abandon(l);
	}
}

static void
attempt_free(struct brf_gate_attempt *ga)
{
	brf_timer_stop(ga->gate->config.timers, &ga->deadline);
	brf_idmap_remove(&ga->gate->open_attempts, &ga->id);
	brf_document_unref(ga->doc);
	free(ga);
}

/* Sends the reply and frees the attempt. */
static void
end_attempt(struct brf_gate_attempt *ga, struct brf_reply *reply)
{
	struct brf_gate *gate = ga->gate;
	struct brf_exchange *x = ga->x;

	abandon_calls(ga);
	brf_gate_ledger_end(ga, reply);
	reply->retries = ga->inbound.allotment.left;
	reply->useful_us += ga->inbound.useful_us;
	reply->wasted_us += ga->inbound.wasted_us;
	reply->has_level = true;
	brf_gate_level(gate, &reply->level);
	if (reply->outcome == BRF_NOT_RUN)
		reply->retry_after_ms =
		    brf_admission_retry_after_ms(gate->admission);
	count_reply(gate, ga->ticket.cls, reply);
	attempt_free(ga);
	x->done(x, reply);
}

/*
 * Counts the slot time of a run as useful or wasted.  The time of an attempt
 * and of the calls below it is wasted if its answer is a failure (a status of
 * 500 or above), is incomplete, or was cancelled by the sender.
 */
static void
account_slot_time(
    struct brf_gate_attempt *ga, struct brf_reply *reply, uint64_t duration_us)
{
	struct brf_gate *gate = ga->gate;
	bool useful = reply->outcome == BRF_ANSWERED && !ga->cancelled &&
		      reply->answer->status < 500;

	if (reply->outcome == BRF_NOT_RUN)
		return;
	if (useful) {
		gate->useful_seconds->value +=
		    (double)duration_us / BRF_US_PER_S;
		reply->useful_us += duration_us;
		return;
	}
	gate->wasted_seconds->value += (double)duration_us / BRF_US_PER_S;
	reply->wasted_us += duration_us + ga->inbound.useful_us;
	ga->inbound.useful_us = 0;
}

static void
run_ended(struct brf_gate_attempt *ga, struct brf_reply *reply)
{
	struct brf_gate *gate = ga->gate;
	uint64_t duration_us = now(gate) - ga->run_started_at;
	bool useful = reply->outcome == BRF_ANSWERED && !ga->cancelled;

	ga->running = false;
	brf_gate_target_unref(ga->runs_on);
	brf_histogram_add(gate->metrics[ga->ticket.cls].duration, duration_us);
	account_slot_time(ga, reply, duration_us);
	if (ga->inbound.has_calls)
		brf_downstream_record(&gate->below, ga->ticket.rank,
		    ga->inbound.shed_below, duration_us, now(gate));
	ga->ticket.outside_us = ga->inbound.outside_us;
	brf_admission_finish(gate->admission, &ga->ticket, useful);
	end_attempt(ga, reply);
}

/* What each end of a run proves of the attempt. */
static const struct {
	enum brf_outcome outcome;
	enum brf_reason reason;
} run_end_replies[] = {
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
	struct brf_gate_attempt *ga =
	    brf_container_of(run, struct brf_gate_attempt, run);
	struct brf_reply reply = { .outcome = run_end_replies[end].outcome,
		.reason = run_end_replies[end].reason,
		.answer = answer };

	if (end == BRF_RUN_ANSWERED)
		brf_gate_learn(
		    ga->gate, ga->runs_on, answer, ga->run_started_at);
	if (end == BRF_RUN_CANCELLED && !ga->cancelled)
		reply.reason = BRF_R_TIMEOUT;
	if (end == BRF_RUN_ANSWERED && answer->status == 503 &&
	    ga->doc->shed_is_not_run) {
		reply.outcome = BRF_NOT_RUN;
		reply.reason = BRF_R_TARGET_SHED;
		reply.answer = NULL;
	}
	run_ended(ga, &reply);
}

static void
add_field(struct brf_run *run, const char *name, const char *value)
{
	run->extra[run->extra_count].name = name;
	run->extra[run->extra_count].value = value;
	run->extra_count++;
}

static void
start_run(struct brf_gate_attempt *ga)
{
	struct brf_gate *gate = ga->gate;
	struct brf_run *run = &ga->run;
	uint64_t left;

	ga->running = true;
	ga->runs_on = gate->attached;
	ga->runs_on->refs++;
	ga->run_started_at = now(gate);
	left = ga->inbound.deadline > ga->run_started_at
		   ? ga->inbound.deadline - ga->run_started_at
		   : 0;
	brf_id_format(ga->id.id, ga->id_text);
	brf_id_format(ga->inbound.root, ga->root_text);
	snprintf(ga->timeout_text, sizeof(ga->timeout_text), "%llu",
	    (unsigned long long)(left / BRF_US_PER_MS));
	snprintf(ga->class_text, sizeof(ga->class_text), "%u", ga->inbound.cls);
	run->request = ga->x->attempt.request;
	run->done = run_done;
	add_field(run, BRF_H_REQUEST, ga->id_text);
	add_field(run, BRF_H_ID, ga->root_text);
	add_field(run, BRF_H_TIMEOUT, ga->timeout_text);
	add_field(run, BRF_H_PRIORITY, ga->class_text);
	if (ga->x->attempt.workspace[0] != '\0')
		add_field(run, BRF_H_WORKSPACE, ga->x->attempt.workspace);
	brf_target_run(ga->runs_on->target, run);
}

static void
ticket_granted(struct brf_admission_ticket *ticket)
{
	start_run(brf_container_of(ticket, struct brf_gate_attempt, ticket));
}

static void
ticket_refused(struct brf_admission_ticket *ticket, enum brf_reason reason)
{
	struct brf_gate_attempt *ga =
	    brf_container_of(ticket, struct brf_gate_attempt, ticket);
	struct brf_reply reply = { .outcome = BRF_NOT_RUN, .reason = reason };

	end_attempt(ga, &reply);
}

static void
withdraw_ticket(struct brf_gate_attempt *ga, enum brf_reason reason)
{
	struct brf_reply reply = { .outcome = BRF_NOT_RUN, .reason = reason };

	if (brf_admission_withdraw(ga->gate->admission, &ga->ticket))
		end_attempt(ga, &reply);
}

static void
deadline_passed(struct brf_timer *timer, void *arg)
{
	struct brf_gate_attempt *ga = arg;

	(void)timer;
	if (ga->running)
		brf_target_cancel(ga->runs_on->target, &ga->run);
	else
		withdraw_ticket(ga, BRF_R_EXPIRED);
}

static uint64_t
attempt_deadline(const struct brf_gate *gate, const struct brf_gate_attempt *ga)
{
	uint64_t left = ga->x->attempt.timeout_us;

	if (left > ga->rule->timeout_us)
		left = ga->rule->timeout_us;
	return (now(gate) + left);
}

static struct brf_gate_attempt *
attempt_new(struct brf_gate *gate, struct brf_exchange *x)
{
	const struct brf_attempt *at = &x->attempt;
	struct brf_gate_attempt *ga = brf_calloc(1, sizeof(*ga));
	uint32_t cls;

	ga->gate = gate;
	ga->x = x;
	ga->doc =
	    brf_document_ref(brf_docs_get(gate->config.docs, at->service));
	ga->rule =
	    brf_document_rule(ga->doc, at->request->method, at->request->path);
	cls = at->cls > ga->rule->cls ? at->cls : ga->rule->cls;
	if (cls >= BRF_CLASSES)
		cls = BRF_CLASSES - 1;
	ga->inbound.root = at->root;
	ga->inbound.depth = at->depth;
	ga->inbound.cls = cls;
	ga->inbound.workspace = at->workspace;
	ga->inbound.deadline = attempt_deadline(gate, ga);
	brf_allotment_init(&ga->inbound.allotment, at->retries);
	brf_list_init(&ga->inbound.calls);
	ga->ticket.cls = cls;
	ga->ticket.rank = brf_rank(cls, at->root);
	ga->ticket.workspace = at->workspace;
	ga->ticket.deadline = ga->inbound.deadline;
	ga->ticket.grant = ticket_granted;
	ga->ticket.refuse = ticket_refused;
	ga->deadline.fire = deadline_passed;
	ga->deadline.arg = ga;
	brf_idmap_add(&gate->open_attempts, &ga->id, at->id);
	x->impl = ga;
	return (ga);
}

static bool
serves(const struct brf_gate *gate, const char *service)
{
	return (gate->attached != NULL &&
		strcmp(service, gate->announcement.service) == 0);
}

/* Why an attempt is refused without asking the admission controller, or
 * BRF_R_NONE. */
static enum brf_reason
refusal_reason(
    struct brf_gate *gate, const struct brf_gate_attempt *ga, uint64_t start)
{
	const struct brf_attempt *at = &ga->x->attempt;

	if (gate->draining || brf_gate_target_leaves(gate))
		return (BRF_R_DRAINING);
	if (!serves(gate, at->service))
		return (BRF_R_NO_TARGET);
	if (at->depth > BRF_DEPTH_MAX)
		return (BRF_R_TOO_DEEP);
	if (at->cls >= BRF_CLASSES || at->timeout_us == 0)
		return (BRF_R_MALFORMED);
	if (ga->doc->enforce &&
	    ga->ticket.rank >= brf_downstream_cutoff(&gate->below, start))
		return (BRF_R_SHED_BELOW);
	return (BRF_R_NONE);
}

/*
 * The ledger is asked first: a request of which an earlier copy may have run
 * must not be refused as not run for any other reason.
 */
static void
submit(struct brf_gate_attempt *ga)
{
	struct brf_reply reply = { .outcome = BRF_NOT_RUN };
	uint64_t start = now(ga->gate);

	if (!brf_gate_ledger_begin(ga, &reply)) {
		end_attempt(ga, &reply);
		return;
	}
	reply.reason = refusal_reason(ga->gate, ga, start);
	if (reply.reason != BRF_R_NONE) {
		end_attempt(ga, &reply);
		return;
	}
	if (ga->inbound.deadline > start)
		brf_timer_start(ga->gate->config.timers, &ga->deadline,
		    ga->inbound.deadline - start);
	switch (brf_admission_submit(
	    ga->gate->admission, &ga->ticket, &reply.reason)) {
	case BRF_ADMISSION_RUN:
		start_run(ga);
		break;
	case BRF_ADMISSION_WAIT:
		break;
	case BRF_ADMISSION_REFUSE:
		end_attempt(ga, &reply);
		break;
	}
}

static void
gate_send(struct brf_backend *backend, struct brf_exchange *x)
{
	struct brf_gate *gate = gate_of(backend);
	const struct brf_attempt *at = &x->attempt;

	if (brf_idmap_find(&gate->open_attempts, at->id) != NULL)
		refuse_copy(gate, x);
	else if (brf_gate_is_token_request(at->request) && !gate->draining &&
		 serves(gate, at->service))
		brf_gate_mint_token(gate, x);
	else
		submit(attempt_new(gate, x));
}

static void
gate_cancel(struct brf_backend *backend, struct brf_exchange *x)
{
	struct brf_gate_attempt *ga = x->impl;

	(void)backend;
	ga->cancelled = true;
	if (!ga->running) {
		withdraw_ticket(ga, BRF_R_CANCELLED);
		return;
	}
	abandon_calls(ga);
	brf_target_cancel(ga->runs_on->target, &ga->run);
}

const struct brf_backend_vt brf_gate_vt = {
	.send = gate_send,
	.cancel = gate_cancel,
};
