#ifndef BRF_MESH_GATE_H
#define BRF_MESH_GATE_H

#include <uv.h>

#include "base/metrics.h"
#include "base/random.h"
#include "base/timer.h"
#include "fleet/local.h"
#include "flow/hop.h"
#include "mesh/crashes.h"
#include "mesh/services.h"
#include "mesh/tables.h"

/**
 * DOC: Admission point in front of this VM's target.
 *
 * Every request to the target passes through its gate, as a hop from this node
 * or from a link.  The gate runs at most as many at once as the target has
 * slots for, queues or refuses the others, and reports how each hop ended.  A
 * refused hop was not run and never will be.  The gate knows this from its own
 * state alone.  Since the target can't be reached otherwise, an acknowledged
 * drain or departure of the target takes effect at once.
 */

struct brf_mesh_gate;

/**
 * struct brf_mesh_gate_config - parameters of brf_mesh_gate_new(); what they
 * point to must outlive the gate.
 * @names: header field names of the platform
 * @tables: routing tables, for the route of each request
 * @services: all known services, see policy/nesting.h
 * @target: address of this VM's target
 * @append_target_entry: appends the directory entry of the present target to
 *	@out, for the member @instead of struct brf_hop; called with @arg when a
 *	hop asks for another target; may be NULL
 * @target_leaves: called with @arg when the target says in an answer that it
 *	leaves; may be NULL
 * @crashes: is told what crashed the target and what did not; may be NULL
 */
struct brf_mesh_gate_config {
	uv_loop_t *loop;
	struct brf_tasks *tasks;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_random *random;
	const struct brf_field_names *names;
	struct brf_mesh_tables *tables;
	const struct brf_mesh_services *services;
	struct sockaddr_in target;
	void (*append_target_entry)(void *arg, struct brf_buf *out);
	void (*target_leaves)(void *arg);
	void *arg;
	struct brf_mesh_crashes *crashes;
};

BRF_BEGIN_DECLS

/**
 * brf_mesh_gate_new() - create a gate, which refuses all hops with
 * BRF_R_NO_TARGET until brf_mesh_gate_update_target().
 *
 * Return: the gate, to be freed by brf_mesh_gate_free().
 */
struct brf_mesh_gate *brf_mesh_gate_new(
    const struct brf_mesh_gate_config *config);

/* Interface through which hops are sent; owned by the gate. */
struct brf_hop_backend *brf_mesh_gate_backend(struct brf_mesh_gate *gate);

/**
 * brf_mesh_gate_update_target() - apply an announcement of the target: its id,
 * slots, and whether it is ready or draining.
 * @is_new: another incarnation of the target; idle connections to the previous
 *	one are closed
 */
void brf_mesh_gate_update_target(struct brf_mesh_gate *gate,
    const struct brf_target_announcement *notice, bool is_new);

/* Whether the present incarnation of the target said that it leaves. */
bool brf_mesh_gate_target_leaves(const struct brf_mesh_gate *gate);

/* Set the maximum number of connections to the target. */
void brf_mesh_gate_set_max_connections(
    struct brf_mesh_gate *gate, uint32_t max);

/**
 * brf_mesh_gate_refuse() - refuse waiting and new hops with @reason, until
 * brf_mesh_gate_update_target() with a ready target that stays.  Running hops
 * continue.
 */
void brf_mesh_gate_refuse(struct brf_mesh_gate *gate, enum brf_reason reason);

/**
 * brf_mesh_gate_stop() - the process stops: refuse new hops that
 * brf_stop_judge() would keep, since they might be cut, until all are refused.
 * @work_ends_at: clock time by which requests have to have ended
 */
void brf_mesh_gate_stop(struct brf_mesh_gate *gate, uint64_t work_ends_at);

/**
 * brf_mesh_gate_count_deadlines() - count running requests whose deadline is
 * close to that of a request that was received from a caller here.
 * @deadline: of that request, clock time in microseconds
 * @same: set to the number less than BRF_NESTING_SAME_US apart
 * @near: set to the number of others less than BRF_NESTING_NEAR_US apart
 */
void brf_mesh_gate_count_deadlines(const struct brf_mesh_gate *gate,
    uint64_t deadline, uint32_t *same, uint32_t *near);

/**
 * struct brf_mesh_parent - the request at the target that makes a nested call.
 * @serial: identifies the parent to brf_mesh_gate_mark_parent()
 * @rank: of the root request
 * @repeat: the parent was sent to another target before
 * @sure: parent and call have the same deadline; otherwise the parent is a
 *	guess
 */
struct brf_mesh_parent {
	uint64_t serial;
	uint32_t rank;
	bool repeat;
	bool sure;
};

/**
 * brf_mesh_gate_find_parent() - find the running request that makes a nested
 * call, see policy/nesting.h.
 * @deadline: of the nested call, clock time in microseconds
 * @parent: filled when a parent is found
 *
 * Return: whether a parent was found.
 */
bool brf_mesh_gate_find_parent(struct brf_mesh_gate *gate, uint64_t deadline,
    struct brf_mesh_parent *parent);

/**
 * brf_mesh_gate_mark_parent() - pass the congestion mark of a nested call on to
 * its parent, see policy/throttle.h.
 * @parent: NULL when unknown
 * @failed: the nested call failed; without a sure parent its mark then goes to
 *	a request that ends soon, see brf_pending_marks_add()
 */
void brf_mesh_gate_mark_parent(struct brf_mesh_gate *gate,
    const struct brf_mesh_parent *parent, bool failed);

/* Log the gate's load and what it did since the previous call. */
void brf_mesh_gate_log_load(struct brf_mesh_gate *gate);

/* Number of hops that wait or run. */
size_t brf_mesh_gate_open_hops(const struct brf_mesh_gate *gate);

/* Fill @load with the present state; values are clipped to UINT16_MAX. */
void brf_mesh_gate_get_load(
    const struct brf_mesh_gate *gate, struct brf_gate_load *load);

/**
 * brf_mesh_gate_close() - close the connections to the target.
 * @closed: called with @arg when all are closed; run the loop until then, and
 *	call brf_mesh_gate_free() after
 *
 * No hop may be open.
 */
void brf_mesh_gate_close(
    struct brf_mesh_gate *gate, void (*closed)(void *arg), void *arg);
void brf_mesh_gate_free(struct brf_mesh_gate *gate);

BRF_END_DECLS

#endif
