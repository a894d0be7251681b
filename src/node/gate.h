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
 * DOC: The only way to this node's own target.
 *
 * A gate is a backend: attempts come from this node's calls and from other
 * nodes.  It judges each by the document in force when it came, asks the
 * admission controller, runs it on the target, and says how it ended.  What
 * it says of an attempt rests on its own memory alone.
 */

struct brf_gate;

/**
 * struct brf_gate_config - what brf_gate_new() needs; all outlive the gate.
 * @token_key: under which request tokens are minted and checked
 * @self: named in the tokens that this gate mints
 * @incarnation: as well
 */
struct brf_gate_config {
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_docs *docs;
	struct brf_token_key *token_key;
	struct brf_id self;
	uint64_t incarnation;
};

/**
 * struct brf_upstream - what a target announced of itself.
 * @service: what it serves
 * @port: loopback port of its HTTP
 * @slots: requests it runs at once
 * @connections: connections it accepts
 * @cold: it has just started
 */
struct brf_upstream {
	char service[BRF_NAME_MAX + 1];
	uint16_t port;
	uint32_t slots;
	uint32_t connections;
	bool cold;
};

/**
 * struct brf_inbound - one attempt that runs on the target, as its outgoing
 * calls see it.
 * @root: root request
 * @depth: of the attempt
 * @cls: class it runs in
 * @workspace: proved name, empty when none
 * @deadline: clock time
 * @allotment: extra attempts that its outgoing calls share
 * @useful_us: slot time of its outgoing calls that were answered
 * @wasted_us: slot time of the others
 * @open_calls: number of them
 * @open_since: clock time since which there is one
 * @outside_us: time during which there was one, which says nothing of the
 *	target's own speed
 * @has_calls: it made outgoing calls
 * @shed_below: one of them was refused for want of capacity
 * @calls: outgoing calls that are open; see node/call.h
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

/* The backend through which attempts come; owned by the gate. */
struct brf_backend *brf_gate_backend(struct brf_gate *gate);

/**
 * brf_gate_attach() - a target has announced itself; it takes the place of
 * the one before, whose runs go on.
 * @target: runs requests
 * @release: called when the gate has no more use for @target
 */
void brf_gate_attach(struct brf_gate *gate, struct brf_target *target,
    const struct brf_upstream *upstream,
    void (*release)(struct brf_target *target));

/* The attached target announced other bounds. */
void brf_gate_update(
    struct brf_gate *gate, const struct brf_upstream *upstream);

/* The target is withdrawn: new attempts are refused. */
void brf_gate_detach(struct brf_gate *gate);

/**
 * brf_gate_refuse() - refuse new and waiting attempts as not run; those that
 * run go on.  Attaching a target or saying false ends it.
 */
void brf_gate_refuse(struct brf_gate *gate, bool refuse);

/* Attempts that wait or run. */
size_t brf_gate_open(const struct brf_gate *gate);

/* NULL when no attempt with this id runs on the target. */
struct brf_inbound *brf_gate_inbound(struct brf_gate *gate, struct brf_id id);

/* Called for each open outgoing call when its inbound attempt has ended. */
void brf_gate_on_abandon(
    struct brf_gate *gate, void (*abandon)(struct brf_list *call));

/* What the target and the services below it can serve now. */
void brf_gate_level(struct brf_gate *gate, struct brf_level *level);

BRF_END_DECLS

#endif
