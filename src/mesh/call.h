#ifndef BRF_MESH_CALL_H
#define BRF_MESH_CALL_H

#include "flow/server.h"
#include "mesh/crashes.h"
#include "mesh/failure_log.h"
#include "mesh/services.h"
#include "mesh/tables.h"

/**
 * DOC: Requests that enter the system at this node.
 *
 * Handles the requests of clients on this VM and the nested calls of its
 * target.  Each request is matched to a route and sent to a target, and to
 * another one if a target refuses it without running it.  A request that may
 * have run is sent again only if its route is repeatable and the retry budget
 * allows it.  The caller gets the target's answer unchanged, or one of this
 * node's own:
 *
 *	404		no route matches; the request was not run
 *	503		not run and never will be; has a Retry-After field
 *			(one that crashes its targets: when it may be tried)
 *	502, 504	the request may have run
 */

struct brf_mesh_gate;

/**
 * struct brf_mesh_calls - state shared by all calls.
 * @handler: passed to brf_flow_server_new(); receives the requests
 * @crashes: judges the requests; may be NULL
 * @service: name of the service of this VM's target; the text may change
 * @exit_at: clock time at which the process exits, microseconds; 0 unless it
 *	is stopping
 * @work_ends_at: clock time by which requests that begin late have to have
 *	ended
 * @refuse_long_from: clock time from which requests that might outlast the
 *	process are refused; earlier, clients may not have learned yet that
 *	this node is not ready
 * @retained: bytes of incomplete answers held beyond a full pipe
 * @open: calls that have not ended; @open_count of them
 * @unrouted_metrics: requests for which no service was found
 * @failure_log: failed requests that were not logged one by one
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
	struct brf_mesh_crashes *crashes;
	const char *service;
	uint64_t exit_at;
	uint64_t work_ends_at;
	uint64_t refuse_long_from;
	size_t retained;
	struct brf_list open;
	size_t open_count;
	struct brf_request_metrics unrouted_metrics;
	struct brf_failure_log failure_log;
};

BRF_BEGIN_DECLS

/**
 * brf_mesh_calls_init() - set @handler, @open and @open_count.
 *
 * The caller zeroes the struct and fills the pointers, which must stay valid
 * as long as a call is open.
 */
void brf_mesh_calls_init(struct brf_mesh_calls *calls);

/* Answer all requests that have no answer: the process is about to exit. */
void brf_mesh_calls_give_up(struct brf_mesh_calls *calls);

BRF_END_DECLS

#endif
