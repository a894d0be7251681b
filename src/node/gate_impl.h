#ifndef BRF_GATE_IMPL_H
#define BRF_GATE_IMPL_H

#include "base/idmap.h"
#include "node/gate.h"
#include "policy/self_report.h"

/**
 * DOC: Internals of the gate.
 *
 * gate.c creates the gate and applies announcements and documents,
 * gate_attempt.c handles an attempt from its arrival to its reply, and
 * gate_ledger.c records attempts and mints request tokens.
 */

#define BRF_CLASS_LABEL_SIZE 16

/**
 * struct brf_gate_target - reference-counted target.
 * @release: called with @target when the last reference is dropped
 * @report: what the target says of itself
 * @refs: one held by the gate while the target is attached, one by each run
 */
struct brf_gate_target {
	struct brf_target *target;
	void (*release)(struct brf_target *target);
	struct brf_self_report report;
	unsigned refs;
};

/**
 * struct brf_gate_attempt - an attempt that waits or runs.
 * @id: entry in brf_gate.open_attempts
 * @doc: document in force when the attempt arrived
 * @runs_on: target that runs it, while @running
 * @deadline: timer that withdraws or cancels the attempt at its deadline
 * @run_started_at: clock time
 * @running: the request was given to the target
 * @in_ledger: the request is not idempotent, and the ledger holds the attempt
 * @cancelled: the sender cancelled it
 * @id_text: this and the other texts are fields of the request to the target
 */
struct brf_gate_attempt {
	struct brf_idmap_link id;
	struct brf_gate *gate;
	struct brf_exchange *x;
	struct brf_document *doc;
	const struct brf_route_rule *rule;
	struct brf_admission_ticket ticket;
	struct brf_gate_target *runs_on;
	struct brf_run run;
	struct brf_timer deadline;
	struct brf_inbound inbound;
	uint64_t run_started_at;
	bool running;
	bool in_ledger;
	bool cancelled;
	char id_text[BRF_ID_TEXT];
	char root_text[BRF_ID_TEXT];
	char timeout_text[24];
	char class_text[BRF_CLASS_LABEL_SIZE];
};

struct class_metrics {
	struct brf_metric *outcomes[BRF_REASON_COUNT];
	struct brf_histogram *duration;
};

/**
 * struct brf_gate - see node/gate.h.
 * @attached: current target; NULL while there is none
 * @announcement: last one of @attached
 * @doc: document in force for the announced service
 * @below: learns from outgoing calls which ranks the services called by the
 *	target can serve
 * @abandon: set by brf_gate_on_abandon()
 */
struct brf_gate {
	struct brf_backend backend;
	struct brf_gate_config config;
	struct brf_admission *admission;
	struct brf_gate_target *attached;
	struct brf_announcement announcement;
	struct brf_document *doc;
	struct brf_docs_watcher watcher;
	struct brf_idmap open_attempts;
	struct brf_ledger *ledger;
	struct brf_downstream below;
	bool draining;
	void (*abandon)(struct brf_list *call);
	struct class_metrics metrics[BRF_CLASSES];
	struct brf_metric *rate_limit;
	struct brf_metric *leaving;
	struct brf_metric *useful_seconds;
	struct brf_metric *wasted_seconds;
};

/* gate.c */
void brf_gate_target_unref(struct brf_gate_target *gt);

/* Apply what the target @gt says of itself in an answer to a request that was
 * sent at @asked_at, clock time. */
void brf_gate_learn(struct brf_gate *gate, struct brf_gate_target *gt,
    const struct brf_message *answer, uint64_t asked_at);

/* gate_attempt.c */
extern const struct brf_backend_vt brf_gate_vt;

/* gate_ledger.c */
struct brf_ledger *brf_gate_ledger_new(struct brf_timers *timers);

/**
 * brf_gate_ledger_begin() - record a non-idempotent attempt in the ledger
 * before it can run.
 * @reply: on false, filled with the reply to send
 *
 * Return: false if the attempt must not run: the ledger already holds its id or
 * its token, or the token is not valid at this gate.
 */
bool brf_gate_ledger_begin(
    struct brf_gate_attempt *ga, struct brf_reply *reply);

/**
 * brf_gate_ledger_end() - record the outcome of an attempt in the ledger before
 * the reply is sent.
 * @reply: BRF_NOT_RUN becomes BRF_UNKNOWN if the ledger can't prove it
 */
void brf_gate_ledger_end(struct brf_gate_attempt *ga, struct brf_reply *reply);

/* Whether @m asks for a request token. */
bool brf_gate_is_token_request(const struct brf_message *m);

/* Answers @x with a new request token of this gate. */
void brf_gate_mint_token(struct brf_gate *gate, struct brf_exchange *x);

#endif
