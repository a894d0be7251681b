#ifndef BRF_MESH_CALL_H
#define BRF_MESH_CALL_H

#include "flow/server.h"
#include "mesh/failure_log.h"
#include "mesh/services.h"
#include "mesh/tables.h"

/**
 * DOC: A request where it begins, over as many hops as it takes.
 *
 * Takes the requests of this VM's callers and of its target, finds their route
 * and a target, and goes on to another target when the first one did not run
 * it.  What may have run is sent again only when the route allows it, and
 * within a budget.  It ends with the target's answer as it is, or with one of
 * this node's own:
 *
 *	404		no route; not run
 *	503		not run, and never will be; says when to come back
 *	502, 504	it may have run
 */

struct brf_mesh_gate;

/**
 * struct brf_mesh_calls - what all calls share; the first member takes the
 * server's requests.
 * @service: of this VM's target; may change
 * @ends_at: clock time when the process ends; 0 when it does not stop
 * @picky_from: from when on a request that may last longer is refused; before,
 *	callers have not been told to stay away
 * @open: calls that have not ended
 * @unrouted: of requests that no route takes
 * @digest: of failures that have no line of their own
 */
struct brf_mesh_calls {
	struct brf_flow_handler handler;
	struct brf_tasks *tasks;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_mesh_tables *tables;
	struct brf_mesh_services *services;
	struct brf_mesh_gate *gate;
	const char *service;
	uint64_t exit_at;
	uint64_t refuse_long_from;
	size_t open_count;
	struct brf_request_metrics unrouted_metrics;
	struct brf_failure_log failure_log;
};

BRF_BEGIN_DECLS

/* All members but @handler and @open are filled before. */
void brf_mesh_calls_init(struct brf_mesh_calls *callers);

BRF_END_DECLS

#endif
