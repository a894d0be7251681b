#ifndef BRF_GATE_H
#define BRF_GATE_H

#include "base/metrics.h"
#include "config/docs.h"
#include "http/client.h"
#include "policy/admission.h"
#include "policy/downstream.h"
#include "policy/ledger.h"
#include "policy/retry.h"

/**
 * DOC: Admission point in front of this node's target.
 *
 * All work for the target passes through its gate.  A gate is a backend, which
 * takes attempts from this node's calls and from other nodes.  It applies the
 * document in force when an attempt arrives, asks the admission controller,
 * runs the attempt on the target and replies with the outcome.  An outcome
 * depends only on what this gate itself has recorded of the attempt.
 */

struct brf_gate;

/**
 * struct brf_gate_config - parameters of brf_gate_new(), which copies them;
 * what they point to must outlive the gate.
 * @token_key: key under which request tokens are minted and checked
 * @self: id of this node; part of each token that this gate mints
 * @incarnation: of this node; part of each token as well
 * @target_leaves: called with @arg when the target says in an answer that it
 *	leaves; may be NULL
 */
struct brf_gate_config {
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_docs *docs;
	struct brf_token_key *token_key;
	struct brf_id self;
	uint64_t incarnation;
	void (*target_leaves)(void *arg);
	void *arg;
};

/**
 * struct brf_announcement - contents of a target's announcement.
 * @service: service that the target runs
 * @port: loopback port of its HTTP server
 * @slots: requests that it can run at the same time
 * @connections: connections that it accepts
 * @cold: it has just started and needs the warm-up of its document
 */
struct brf_announcement {
	char service[BRF_NAME_MAX + 1];
	uint16_t port;
	uint32_t slots;
	uint32_t connections;
	bool cold;
};

/**
 * struct brf_inbound - an attempt that runs on the target, as the outgoing
 * calls of the target need it.
 * @root: id of the root request
 * @depth: calls between the root request and this attempt
 * @cls: class that the attempt runs in
 * @workspace: proved name; empty for none
 * @deadline: clock time, microseconds
 * @allotment: extra attempts shared by all outgoing calls
 * @calls: open outgoing calls, linked by brf_call.link
 * @open_calls: number of open outgoing calls
 * @open_since: clock time at which @open_calls last rose from 0
 * @outside_us: total time with at least one open outgoing call; not counted
 *	as the target's own service time
 * @has_calls: there was at least one outgoing call
 * @shed_below: an outgoing call was refused for lack of capacity
 * @useful_us: slot time spent in the call trees of the outgoing calls whose
 *	answers were used
 * @wasted_us: slot time spent there on other work
 */
struct brf_inbound {
	struct brf_id root;
	uint32_t depth;
	uint32_t cls;
	const char *workspace;
	uint64_t deadline;
	struct brf_allotment allotment;
	struct brf_list calls;
	uint32_t open_calls;
	uint64_t open_since;
	uint64_t outside_us;
	bool has_calls;
	bool shed_below;
	uint64_t useful_us;
	uint64_t wasted_us;
};

BRF_BEGIN_DECLS

struct brf_gate *brf_gate_new(const struct brf_gate_config *config);
void brf_gate_free(struct brf_gate *gate);

/* The backend that accepts attempts for the gate; owned by the gate. */
struct brf_backend *brf_gate_backend(struct brf_gate *gate);

/**
 * brf_gate_attach() - run new attempts on @target, which has announced itself.
 * @release: called once when the gate no longer uses @target
 *
 * Attempts that run on the previous target continue there.  Those that wait for
 * a target of another service are refused with BRF_R_NO_TARGET.
 */
void brf_gate_attach(struct brf_gate *gate, struct brf_target *target,
    const struct brf_announcement *announcement,
    void (*release)(struct brf_target *target));

/* Applies a new announcement of the attached target. */
void brf_gate_update(
    struct brf_gate *gate, const struct brf_announcement *announcement);

/* Removes the target: new and waiting attempts are refused with
 * BRF_R_NO_TARGET, running ones continue. */
void brf_gate_detach(struct brf_gate *gate);

/**
 * brf_gate_set_draining() - refuse new and waiting attempts with BRF_NOT_RUN
 * and BRF_R_DRAINING; running ones continue.
 * @refuse: false admits attempts again
 */
void brf_gate_set_draining(struct brf_gate *gate, bool refuse);

/* Whether the attached target said that it leaves; that holds until another
 * one is attached. */
bool brf_gate_target_leaves(const struct brf_gate *gate);

/* Number of attempts that wait or run. */
size_t brf_gate_open_attempts(const struct brf_gate *gate);

/* The running attempt with this id, valid until it ends; NULL if there is
 * none. */
struct brf_inbound *brf_gate_inbound(struct brf_gate *gate, struct brf_id id);

/**
 * brf_gate_on_abandon() - set the callback that cancels outgoing calls.
 * @abandon: called for each open outgoing call of an attempt that has ended or
 *	was cancelled; the call is no longer in brf_inbound.calls
 */
void brf_gate_on_abandon(
    struct brf_gate *gate, void (*abandon)(struct brf_list *call));

/* Fills @level with what the target, and the services it calls, can serve
 * now. */
void brf_gate_level(struct brf_gate *gate, struct brf_level *level);

BRF_END_DECLS

#endif
