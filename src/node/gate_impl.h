#ifndef BRF_GATE_IMPL_H
#define BRF_GATE_IMPL_H

#include "base/idmap.h"
#include "node/gate.h"

/**
 * DOC: What the files of the gate share: gate.c makes it and follows target
 * and document, gate_attempt.c leads an attempt from its arrival to its reply,
 * gate_memory.c keeps what has to outlive an attempt.
 */

#define BRF_CLASS_LABEL 16

/**
 * struct brf_attached - a target as it announced itself once.
 * @refs: one of the gate while it is attached, one of each run
 */
struct brf_attached {
	struct brf_target *target;
	void (*release)(struct brf_target *target);
	unsigned refs;
};

/**
 * struct brf_gate_entry - one open attempt.
 * @id: in the gate's map of open attempts
 * @on: where it runs, while @running
 * @running: granted and given to the target
 * @recorded: not idempotent, and in the ledger
 * @cancelled: its sender has no use for it any more
 */
struct brf_gate_entry {
	struct brf_idmap_link id;
	struct brf_gate *gate;
	struct brf_exchange *x;
	struct brf_document *doc;
	const struct brf_route_rule *rule;
	struct brf_ticket ticket;
	struct brf_attached *on;
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
	char class_text[BRF_CLASS_LABEL];
};

struct class_metrics {
	struct brf_metric *outcomes[BRF_REASON_COUNT];
	struct brf_histogram *duration;
};

struct brf_gate {
	struct brf_backend backend;
	struct brf_gate_config config;
	struct brf_admission *admission;
	struct brf_attached *attached;
	struct brf_upstream upstream;
	struct brf_document *doc;
	struct brf_docs_watcher watcher;
	struct brf_idmap open;
	struct brf_ledger *ledger;
	struct brf_downstream below;
	bool draining;
	void (*abandon)(struct brf_list *call);
	struct class_metrics metrics[BRF_CLASSES];
	struct brf_metric *useful_seconds;
	struct brf_metric *wasted_seconds;
};

/* gate.c */
void brf_attached_unref(struct brf_attached *on);

/* gate_attempt.c */
extern const struct brf_backend_vt brf_gate_vt;

/* gate_memory.c */
struct brf_ledger *brf_gate_ledger_new(struct brf_timers *timers);

/**
 * brf_gate_remember() - remember a non-idempotent attempt before anything can
 * happen to it.
 *
 * Return: false when it may not go on, since it was here before, by its id or
 * its token, or its token is not good here; @reply says how it ends then.
 */
bool brf_gate_remember(struct brf_gate_entry *e, struct brf_reply *reply);

/**
 * brf_gate_record() - write down how it ended, before anybody is told; @reply
 * becomes unknown where not run can't be said.
 */
void brf_gate_record(struct brf_gate_entry *e, struct brf_reply *reply);

/* Whether a request asks for a token, and the answer to it. */
bool brf_gate_wants_token(const struct brf_message *m);
void brf_gate_mint(struct brf_gate *gate, struct brf_exchange *x);

#endif
