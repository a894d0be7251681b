#ifndef BRF_MESH_GATE_H
#define BRF_MESH_GATE_H

#include <uv.h>

#include "base/metrics.h"
#include "base/random.h"
#include "base/timer.h"
#include "fleet/local.h"
#include "flow/hop.h"
#include "mesh/services.h"
#include "mesh/tables.h"

/**
 * DOC: The only way to this VM's target, for streams.
 *
 * Takes hops from this node and from links, lets as many run as the target has
 * slots for, and says how each ended from its own memory alone: a hop that was
 * refused was not run and never will be.  Since nothing else reaches the
 * target, what was acknowledged to it (that it drains, that it has left) binds
 * from that moment on.
 */

struct brf_mesh_gate;

/**
 * struct brf_mesh_gate_config - what brf_mesh_gate_new() needs; all of it
 * outlives the gate.
 * @tables: by which requests are told apart
 * @services: all services that there are, see policy/kinship.h
 * @target: address of this VM's target
 * @tell_target: append the target as it is announced, see struct brf_hop;
 *	NULL when nobody is told
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
	void (*tell_target)(void *arg, struct brf_buf *out);
	void *arg;
};

BRF_BEGIN_DECLS

struct brf_mesh_gate *brf_mesh_gate_new(
    const struct brf_mesh_gate_config *config);

/* The gate as links and calls see it. */
struct brf_hop_backend *brf_mesh_gate_backend(struct brf_mesh_gate *gate);

/**
 * brf_mesh_gate_notice() - the target as it says it is.
 * @is_new: another life than before
 */
void brf_mesh_gate_notice(
    struct brf_mesh_gate *gate, const struct brf_target_announcement *notice, bool is_new);

/* Most connections to the target. */
void brf_mesh_gate_connections(struct brf_mesh_gate *gate, uint32_t most);

/**
 * brf_mesh_gate_refuse() - refuse what waits and what comes as not run, until
 * a target says that it is ready; what runs goes on.
 */
void brf_mesh_gate_refuse(struct brf_mesh_gate *gate, enum brf_reason reason);

/**
 * brf_mesh_gate_ends_with() - count running requests that end at about the
 * time of one that has begun here.
 * @deadline: of that, clock time
 * @same, @near: see brf_kinship_began()
 */
void brf_mesh_gate_ends_with(const struct brf_mesh_gate *gate,
    uint64_t deadline, uint32_t *same, uint32_t *near);

/**
 * struct brf_mesh_parent - the request at the target that a call belongs to.
 * @serial: names it to brf_mesh_gate_mark()
 * @rank: of its root request
 * @repeat: it was sent to another target before
 * @sure: both end together; else it is a guess
 */
struct brf_mesh_parent {
	uint64_t serial;
	uint32_t rank;
	bool repeat;
	bool sure;
};

/**
 * brf_mesh_gate_parent() - which running request makes a call, see
 * policy/kinship.h.
 * @deadline: of the call, clock time
 *
 * Return: whether one was found.
 */
bool brf_mesh_gate_parent(struct brf_mesh_gate *gate, uint64_t deadline,
    struct brf_mesh_parent *parent);

/**
 * brf_mesh_gate_mark() - a call of a request at the target met pressure.
 * @parent: NULL when it isn't known
 * @failed: the call has failed
 */
void brf_mesh_gate_mark(struct brf_mesh_gate *gate,
    const struct brf_mesh_parent *parent, bool failed);

/* Log how the target's slots were used since the last call. */
void brf_mesh_gate_log(struct brf_mesh_gate *gate);

/* Hops that wait or run. */
size_t brf_mesh_gate_open(const struct brf_mesh_gate *gate);

void brf_mesh_gate_load(
    const struct brf_mesh_gate *gate, struct brf_gate_load *load);

/**
 * brf_mesh_gate_close() - close connections to the target; run the loop until
 * @closed is called, then brf_mesh_gate_free().  No hop may be open.
 */
void brf_mesh_gate_close(
    struct brf_mesh_gate *gate, void (*closed)(void *arg), void *arg);
void brf_mesh_gate_free(struct brf_mesh_gate *gate);

BRF_END_DECLS

#endif
