#include <stdlib.h>

#include "base/idmap.h"
#include "base/log.h"
#include "node/gate.h"

#define CLASS_LABEL 16
#define LEDGER_ATTEMPTS 131072u
#define LEDGER_TOKENS 65536u
#define LEDGER_ANSWER_BYTES (16u * 1024 * 1024)

/**
 * struct attached - a target as it announced itself once.
 * @refs: one of the gate while it is attached, one of each run
 */
struct attached {
	struct brf_target *target;
	void (*release)(struct brf_target *target);
	unsigned refs;
};

/**
 * struct entry - one open attempt.
 * @id: in the gate's map of open attempts
 * @on: where it runs, while @running
 * @running: granted and given to the target
 * @recorded: not idempotent, and in the ledger
 * @cancelled: its sender has no use for it any more
 */
struct entry {
	struct brf_idmap_link id;
	struct brf_gate *gate;
	struct brf_exchange *x;
	struct brf_document *doc;
	const struct brf_route_rule *rule;
	struct brf_ticket ticket;
	struct attached *on;
	struct brf_run run;
	struct brf_timer deadline;
	struct brf_inbound inbound;
	uint64_t began;
	bool running;
	bool recorded;
	bool cancelled;
	char id_text[BRF_ID_TEXT];
	char root_text[BRF_ID_TEXT];
	char timeout_text[24];
	char class_text[CLASS_LABEL];
};

struct class_metrics {
	struct brf_metric *outcomes[BRF_REASON_COUNT];
	struct brf_histogram *duration;
};

struct brf_gate {
	struct brf_backend backend;
	struct brf_gate_config config;
	struct brf_admission *admission;
	struct attached *attached;
	struct brf_upstream upstream;
	struct brf_document *doc;
	struct brf_docs_watcher watcher;
	struct brf_idmap open;
	struct brf_ledger *ledger;
	struct brf_below below;
	bool draining;
	void (*abandon)(struct brf_list *call);
	struct class_metrics metrics[BRF_CLASSES];
	struct brf_metric *useful_seconds;
	struct brf_metric *wasted_seconds;
};

static void
attached_unref(struct attached *on)
{
	if (--on->refs > 0)
		return;
	on->release(on->target);
	free(on);
}

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
abandon_calls(struct entry *e)
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
entry_free(struct entry *e)
{
	brf_timer_stop(e->gate->config.timers, &e->deadline);
	brf_idmap_remove(&e->gate->open, &e->id);
	brf_document_unref(e->doc);
	free(e);
}

/* Write down how a non-idempotent attempt ended, before anybody is told. */
static void
record(struct entry *e, struct brf_reply *reply)
{
	struct brf_ledger *ledger = e->gate->ledger;

	if (!e->recorded)
		return;
	if (reply->outcome != BRF_NOT_RUN)
		brf_ledger_done(ledger, e->id.id, reply->answer);
	else if (!brf_ledger_refuse(ledger, e->id.id, reply->reason))
		reply->outcome = BRF_UNKNOWN;
}

/* Give the reply to the sender and forget the attempt. */
static void
conclude(struct entry *e, struct brf_reply *reply)
{
	struct brf_gate *gate = e->gate;
	struct brf_exchange *x = e->x;

	abandon_calls(e);
	record(e, reply);
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
account(struct entry *e, struct brf_reply *reply, uint64_t took)
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
run_ended(struct entry *e, struct brf_reply *reply)
{
	struct brf_gate *gate = e->gate;
	uint64_t took = now(gate) - e->began;
	bool in_time = reply->outcome == BRF_ANSWERED && !e->cancelled;

	e->running = false;
	attached_unref(e->on);
	brf_histogram_add(gate->metrics[e->ticket.cls].duration, took);
	account(e, reply, took);
	if (e->inbound.has_calls)
		brf_below_learn(&gate->below, e->ticket.rank,
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
	struct entry *e = brf_container_of(run, struct entry, run);
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
start_run(struct entry *e)
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
	start_run(brf_container_of(ticket, struct entry, ticket));
}

static void
ticket_refused(struct brf_ticket *ticket, enum brf_reason reason)
{
	struct entry *e = brf_container_of(ticket, struct entry, ticket);
	struct brf_reply reply = { .outcome = BRF_NOT_RUN, .reason = reason };

	conclude(e, &reply);
}

static void
withdraw(struct entry *e, enum brf_reason reason)
{
	struct brf_reply reply = { .outcome = BRF_NOT_RUN, .reason = reason };

	if (brf_admission_withdraw(e->gate->admission, &e->ticket))
		conclude(e, &reply);
}

static void
deadline_passed(struct brf_timer *timer, void *arg)
{
	struct entry *e = arg;

	(void)timer;
	if (e->running)
		brf_target_cancel(e->on->target, &e->run);
	else
		withdraw(e, BRF_R_EXPIRED);
}

static uint64_t
attempt_deadline(const struct brf_gate *gate, const struct entry *e)
{
	uint64_t left = e->x->attempt.timeout_us;

	if (left > e->rule->timeout_us)
		left = e->rule->timeout_us;
	return (now(gate) + left);
}

static struct entry *
entry_new(struct brf_gate *gate, struct brf_exchange *x)
{
	const struct brf_attempt *at = &x->attempt;
	struct entry *e = brf_calloc(1, sizeof(*e));
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

/* Return: false when the token does not let the attempt go on. */
static bool
check_token(struct brf_gate *gate, const struct brf_attempt *at,
    struct brf_token *token, struct brf_reply *reply)
{
	struct brf_token_scope scope = { .service = at->service,
		.workspace = at->workspace };
	enum brf_token_verdict verdict;

	verdict =
	    brf_token_parse(gate->config.token_key, at->token, &scope, token);
	if (verdict == BRF_TOKEN_VALID)
		verdict = brf_token_check(token, gate->config.self,
		    gate->config.incarnation, now(gate));
	if (verdict == BRF_TOKEN_VALID)
		return (true);
	brf_token_refusal(verdict, reply);
	return (false);
}

/*
 * Remember a non-idempotent attempt before anything can happen to it.  One
 * that was here before, by its id or its token, ends with what is known.
 */
static bool
begin_record(struct entry *e, struct brf_reply *reply)
{
	const struct brf_attempt *at = &e->x->attempt;
	struct brf_ledger_request request = { .attempt = at->id,
		.timeout_us = at->timeout_us };
	struct brf_token token;

	if (e->rule->idempotent)
		return (true);
	if (at->token[0] != '\0') {
		if (!check_token(e->gate, at, &token, reply))
			return (false);
		request.token = &token;
		request.checksum = brf_message_checksum(at->request);
	}
	e->recorded = brf_ledger_begin(e->gate->ledger, &request, reply);
	return (e->recorded);
}

/* Why an attempt can't be admitted at all, or BRF_R_NONE. */
static enum brf_reason
objection(struct brf_gate *gate, const struct entry *e, uint64_t start)
{
	const struct brf_attempt *at = &e->x->attempt;

	if (gate->draining)
		return (BRF_R_DRAINING);
	if (gate->attached == NULL ||
	    strcmp(at->service, gate->upstream.service) != 0)
		return (BRF_R_NO_TARGET);
	if (at->depth > BRF_DEPTH_MAX)
		return (BRF_R_DEPTH);
	if (at->cls >= BRF_CLASSES || at->timeout_us == 0)
		return (BRF_R_MALFORMED);
	if (e->doc->enforce &&
	    e->ticket.rank >= brf_below_cut(&gate->below, start))
		return (BRF_R_SHED_BELOW);
	return (BRF_R_NONE);
}

/*
 * What is remembered comes first: a refusal for any other reason must not be
 * said of a request of which an earlier copy may have run.
 */
static void
submit(struct entry *e)
{
	struct brf_reply reply = { .outcome = BRF_NOT_RUN };
	uint64_t start = now(e->gate);

	if (!begin_record(e, &reply)) {
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

/* A gate mints for itself alone, since it alone can judge the token. */
static void
mint_token(struct brf_gate *gate, struct brf_exchange *x)
{
	struct brf_token_scope scope = { .service = x->attempt.service,
		.workspace = x->attempt.workspace };
	struct brf_reply reply = { .outcome = BRF_ANSWERED,
		.retries = x->attempt.retries };
	char text[BRF_TOKEN_SIZE];

	brf_token_mint(gate->config.token_key, gate->config.self,
	    gate->config.incarnation, &scope, now(gate), gate->config.random,
	    text);
	reply.answer = brf_message_new();
	reply.answer->status = 201;
	brf_message_add_header(
	    reply.answer, "content-type", 12, "text/plain", 10, NULL);
	brf_buf_puts(&reply.answer->body, text);
	x->done(x, &reply);
	brf_message_unref(reply.answer);
}

static bool
wants_token(const struct brf_message *m)
{
	return (strcmp(m->path, BRF_TOKEN_PATH) == 0 &&
		strcmp(m->method, "POST") == 0);
}

static void
gate_send(struct brf_backend *backend, struct brf_exchange *x)
{
	struct brf_gate *gate = gate_of(backend);
	const struct brf_attempt *at = &x->attempt;

	if (brf_idmap_find(&gate->open, at->id) != NULL)
		refuse_copy(gate, x);
	else if (wants_token(at->request) && !gate->draining &&
		 gate->attached != NULL &&
		 strcmp(at->service, gate->upstream.service) == 0)
		mint_token(gate, x);
	else
		submit(entry_new(gate, x));
}

static void
gate_cancel(struct brf_backend *backend, struct brf_exchange *x)
{
	struct entry *e = x->impl;

	(void)backend;
	e->cancelled = true;
	if (!e->running) {
		withdraw(e, BRF_R_CANCELLED);
		return;
	}
	abandon_calls(e);
	brf_target_cancel(e->on->target, &e->run);
}

static const struct brf_backend_vt gate_vt = {
	.send = gate_send,
	.cancel = gate_cancel,
};

static void
set_weights(struct brf_gate *gate, const struct brf_document *doc, bool set)
{
	size_t i;

	for (i = 0; i < doc->share_count; i++)
		brf_admission_set_weight(gate->admission,
		    doc->shares[i].workspace, set ? doc->shares[i].weight : 0);
}

static void
configure(struct brf_gate *gate)
{
	struct brf_document *doc = brf_document_ref(
	    brf_docs_get(gate->config.docs, gate->upstream.service));
	struct brf_admission_config config = {
		.slots = gate->upstream.slots,
		.queue = doc->queue,
		.warmup_us = gate->upstream.cold ? doc->warmup_us : 0,
		.observe = !doc->enforce,
	};

	brf_admission_configure(gate->admission, &config);
	if (gate->doc != NULL)
		set_weights(gate, gate->doc, false);
	set_weights(gate, doc, true);
	brf_document_unref(gate->doc);
	gate->doc = doc;
}

static void
document_changed(struct brf_docs_watcher *w, const char *service)
{
	struct brf_gate *gate = brf_container_of(w, struct brf_gate, watcher);

	if (gate->attached != NULL &&
	    strcmp(service, gate->upstream.service) == 0)
		configure(gate);
}

static void
make_metrics(struct brf_gate *gate)
{
	char labels[CLASS_LABEL + 8];
	uint32_t cls;

	for (cls = 0; cls < BRF_CLASSES; cls++) {
		snprintf(labels, sizeof(labels), "class=\"%u\"", cls);
		gate->metrics[cls].duration = brf_metrics_histogram(
		    gate->config.metrics, "brf_gate_run_seconds",
		    "Time that attempts ran on this node's target.", labels);
	}
	gate->useful_seconds = brf_metrics_counter(gate->config.metrics,
	    "brf_gate_slot_useful_seconds_total",
	    "Slot time of attempts whose answer was used.", "");
	gate->wasted_seconds = brf_metrics_counter(gate->config.metrics,
	    "brf_gate_slot_wasted_seconds_total",
	    "Slot time of attempts that came to nothing.", "");
}

struct brf_gate *
brf_gate_new(const struct brf_gate_config *config)
{
	struct brf_gate *gate = brf_calloc(1, sizeof(*gate));
	struct brf_admission_config none = { .slots = 1 };
	struct brf_ledger_config ledger = { .attempts = LEDGER_ATTEMPTS,
		.tokens = LEDGER_TOKENS,
		.answer_bytes = LEDGER_ANSWER_BYTES };

	gate->backend.vt = &gate_vt;
	gate->config = *config;
	gate->admission = brf_admission_new(config->timers, &none);
	brf_idmap_init(&gate->open);
	brf_below_init(&gate->below, now(gate));
	gate->ledger =
	    brf_ledger_new(brf_timers_clock(config->timers), &ledger);
	make_metrics(gate);
	gate->watcher.changed = document_changed;
	brf_docs_watch(config->docs, &gate->watcher);
	return (gate);
}

static void
detach(struct brf_gate *gate)
{
	if (gate->attached != NULL)
		attached_unref(gate->attached);
	gate->attached = NULL;
}

void
brf_gate_free(struct brf_gate *gate)
{
	if (gate == NULL)
		return;
	brf_docs_unwatch(&gate->watcher);
	detach(gate);
	brf_admission_free(gate->admission);
	brf_document_unref(gate->doc);
	brf_idmap_free(&gate->open);
	brf_ledger_free(gate->ledger);
	free(gate);
}

struct brf_backend *
brf_gate_backend(struct brf_gate *gate)
{
	return (&gate->backend);
}

void
brf_gate_attach(struct brf_gate *gate, struct brf_target *target,
    const struct brf_upstream *upstream,
    void (*release)(struct brf_target *target))
{
	struct attached *on = brf_calloc(1, sizeof(*on));

	on->target = target;
	on->release = release;
	on->refs = 1;
	detach(gate);
	gate->attached = on;
	brf_admission_drain(
	    gate->admission, gate->draining ? BRF_R_DRAINING : BRF_R_NONE);
	brf_gate_update(gate, upstream);
}

void
brf_gate_update(struct brf_gate *gate, const struct brf_upstream *upstream)
{
	gate->upstream = *upstream;
	configure(gate);
}

void
brf_gate_detach(struct brf_gate *gate)
{
	brf_admission_drain(gate->admission, BRF_R_NO_TARGET);
	detach(gate);
}

void
brf_gate_refuse(struct brf_gate *gate, bool refuse)
{
	gate->draining = refuse;
	brf_admission_drain(
	    gate->admission, refuse ? BRF_R_DRAINING : BRF_R_NONE);
}

size_t
brf_gate_open(const struct brf_gate *gate)
{
	return (gate->open.count);
}

struct brf_inbound *
brf_gate_inbound(struct brf_gate *gate, struct brf_id id)
{
	struct brf_idmap_link *link = brf_idmap_find(&gate->open, id);
	struct entry *e;

	if (link == NULL)
		return (NULL);
	e = brf_container_of(link, struct entry, id);
	return (e->running ? &e->inbound : NULL);
}

void
brf_gate_on_abandon(
    struct brf_gate *gate, void (*abandon)(struct brf_list *call))
{
	gate->abandon = abandon;
}

void
brf_gate_level(struct brf_gate *gate, struct brf_level *level)
{
	uint32_t cut = brf_below_cut(&gate->below, now(gate));

	brf_admission_level(gate->admission, level);
	if (gate->doc != NULL && gate->doc->enforce && cut < level->cut)
		level->cut = cut;
}
