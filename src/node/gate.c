#include <stdlib.h>

#include "base/log.h"
#include "node/gate_impl.h"

static uint64_t
now(const struct brf_gate *gate)
{
	return (brf_now(brf_timers_clock(gate->config.timers)));
}

void
brf_gate_target_unref(struct brf_gate_target *gt)
{
	if (--gt->refs > 0)
		return;
	gt->release(gt->target);
	free(gt);
}

static void
set_weights(struct brf_gate *gate, const struct brf_document *doc, bool set)
{
	size_t i;

	for (i = 0; i < doc->weight_count; i++)
		brf_admission_set_weight(gate->admission,
		    doc->weights[i].workspace,
		    set ? doc->weights[i].weight : 0);
}

static void
configure(struct brf_gate *gate)
{
	struct brf_document *doc = brf_document_ref(
	    brf_docs_get(gate->config.docs, gate->announcement.service));
	struct brf_admission_config config = {
		.slots = gate->announcement.slots,
		.queue = doc->queue,
		.warmup_us = gate->announcement.cold ? doc->warmup_us : 0,
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
	    strcmp(service, gate->announcement.service) == 0)
		configure(gate);
}

static void
make_metrics(struct brf_gate *gate)
{
	char labels[BRF_CLASS_LABEL_SIZE + 8];
	uint32_t cls;

	for (cls = 0; cls < BRF_CLASSES; cls++) {
		snprintf(labels, sizeof(labels), "class=\"%u\"", cls);
		gate->metrics[cls].duration = brf_metrics_histogram(
		    gate->config.metrics, "brf_gate_run_seconds",
		    "Time that attempts ran on this node's target.", labels);
	}
	gate->rate_limit = brf_metrics_gauge(gate->config.metrics,
	    "brf_gate_rate_limit",
	    "Requests a second that this VM's target takes; 0 for no limit.",
	    "");
	gate->leaving =
	    brf_metrics_gauge(gate->config.metrics, "brf_gate_target_leaving",
		"1 when this VM's target says that it leaves.", "");
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

	gate->backend.vt = &brf_gate_vt;
	gate->config = *config;
	gate->admission = brf_admission_new(config->timers, &none);
	brf_idmap_init(&gate->open_attempts);
	brf_downstream_init(&gate->below, now(gate));
	gate->ledger = brf_gate_ledger_new(config->timers);
	make_metrics(gate);
	gate->watcher.changed = document_changed;
	brf_docs_watch(config->docs, &gate->watcher);
	return (gate);
}

/* Admit attempts, unless the node or its target leaves. */
static void
update_draining(struct brf_gate *gate)
{
	bool refuse = gate->draining || brf_gate_target_leaves(gate);

	brf_admission_drain(
	    gate->admission, refuse ? BRF_R_DRAINING : BRF_R_NONE);
}

/* Apply the report of the attached target. */
static void
apply_report(struct brf_gate *gate)
{
	static const struct brf_self_report none;
	const struct brf_self_report *report =
	    gate->attached != NULL ? &gate->attached->report : &none;

	gate->rate_limit->value = report->rate_limit;
	gate->leaving->value = report->leaving;
	brf_admission_set_rate(gate->admission, report->rate_limit);
}

static void
read_statement(struct brf_self_statement *s, const struct brf_message *answer)
{
	const char *limit = brf_message_header(answer, BRF_H_TARGET_LIMIT);
	const char *leaving = brf_message_header(answer, BRF_H_TARGET_LEAVING);

	if (limit == NULL)
		s->limit = BRF_LIMIT_ABSENT;
	else if (brf_rate_limit_parse(limit, strlen(limit), &s->rate_limit))
		s->limit = BRF_LIMIT_STATED;
	else
		s->limit = BRF_LIMIT_MALFORMED;
	s->leaving = leaving != NULL && strcmp(leaving, "1") == 0;
}

void
brf_gate_learn(struct brf_gate *gate, struct brf_gate_target *gt,
    const struct brf_message *answer, uint64_t asked_at)
{
	struct brf_self_statement statement = { .authentic = true,
		.asked_at = asked_at };
	bool left = gt->report.leaving;

	read_statement(&statement, answer);
	if (gt != gate->attached ||
	    !brf_self_report_update(&gt->report, &statement, now(gate)))
		return;
	apply_report(gate);
	brf_log(BRF_LOG_INFO, "target_report",
	    BRF_LS("service", gate->announcement.service),
	    BRF_LD("rate_limit", gt->report.rate_limit),
	    BRF_LU("leaving", gt->report.leaving));
	if (left || !gt->report.leaving)
		return;
	update_draining(gate);
	if (gate->config.target_leaves != NULL)
		gate->config.target_leaves(gate->config.arg);
}

bool
brf_gate_target_leaves(const struct brf_gate *gate)
{
	return (gate->attached != NULL && gate->attached->report.leaving);
}

static void
detach(struct brf_gate *gate)
{
	if (gate->attached != NULL)
		brf_gate_target_unref(gate->attached);
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
	brf_idmap_free(&gate->open_attempts);
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
    const struct brf_announcement *announcement,
    void (*release)(struct brf_target *target))
{
	struct brf_gate_target *gt = brf_calloc(1, sizeof(*gt));

	gt->target = target;
	gt->release = release;
	gt->refs = 1;
	if (gate->attached != NULL &&
	    strcmp(gate->announcement.service, announcement->service) != 0)
		brf_gate_detach(gate);
	detach(gate);
	gate->attached = gt;
	apply_report(gate);
	update_draining(gate);
	brf_gate_update(gate, announcement);
}

void
brf_gate_update(
    struct brf_gate *gate, const struct brf_announcement *announcement)
{
	gate->announcement = *announcement;
	configure(gate);
}

void
brf_gate_detach(struct brf_gate *gate)
{
	brf_admission_drain(gate->admission, BRF_R_NO_TARGET);
	detach(gate);
	apply_report(gate);
}

void
brf_gate_set_draining(struct brf_gate *gate, bool refuse)
{
	gate->draining = refuse;
	update_draining(gate);
}

size_t
brf_gate_open_attempts(const struct brf_gate *gate)
{
	return (gate->open_attempts.count);
}

struct brf_inbound *
brf_gate_inbound(struct brf_gate *gate, struct brf_id id)
{
	struct brf_idmap_link *link = brf_idmap_find(&gate->open_attempts, id);
	struct brf_gate_attempt *ga;

	if (link == NULL)
		return (NULL);
	ga = brf_container_of(link, struct brf_gate_attempt, id);
	return (ga->running ? &ga->inbound : NULL);
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
	uint32_t cut = brf_downstream_cutoff(&gate->below, now(gate));

	brf_admission_level(gate->admission, level);
	if (gate->doc != NULL && gate->doc->enforce && cut < level->cut)
		level->cut = cut;
}
