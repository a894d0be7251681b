#ifndef BRF_STOP_H
#define BRF_STOP_H

#include "base/base.h"

/**
 * DOC: Timing of a graceful shutdown, from the signal to the process exit.
 *
 * Problem: callers send to this node until they have learned that it is not
 * ready, the slots of the target beside it can be reached through no other
 * node, and the platform kills the process when its grace period is over.
 *
 * Callers are told at once that the node is not ready.  The target still gets
 * work for a while, because the service goes without its slots from the moment
 * it gets none until the node is back.  Then the gate refuses new work, and
 * what is running is finished.
 *
 * Some callers go on to send.  Once all have had the time to learn that the
 * node stops, a request begins only if it must have ended before the process
 * exits, since one that is running then is cut off.
 */

/**
 * struct brf_stop - times since the signal, microseconds.
 * @refuse_us: from then on the target gets no new work
 * @min_us: the process does not exit before
 * @max_us: the process exits then, even when requests are open
 * @last_open_us: when a request was open last
 * @refusing: BRF_STOP_REFUSE was returned
 */
struct brf_stop {
	uint64_t refuse_us;
	uint64_t min_us;
	uint64_t max_us;
	uint64_t last_open_us;
	bool refusing;
};

/**
 * enum brf_stop_step - what the caller must do.
 * @BRF_STOP_WAIT: nothing; check again later
 * @BRF_STOP_REFUSE: give the target no new work from now on; returned once
 * @BRF_STOP_END: close everything and exit
 */
enum brf_stop_step {
	BRF_STOP_WAIT,
	BRF_STOP_REFUSE,
	BRF_STOP_END
};

/**
 * struct brf_stop_request - a request that comes to a node that stops.
 * @until_exit_us: time until the process exits, microseconds
 * @until_deadline_us: longest time that the request may take, microseconds
 * @objective_us: latency objective of its route, microseconds
 * @is_call_of_running: it is surely a nested call of a request that this VM's
 *	target runs, which fails without it
 */
struct brf_stop_request {
	uint64_t until_exit_us;
	uint64_t until_deadline_us;
	uint64_t objective_us;
	bool is_call_of_running;
};

BRF_BEGIN_DECLS

/**
 * brf_stop_may_begin() - whether a request may begin at a node that stops,
 * after the time in which callers learn of it.
 *
 * A call for a running request is taken as long as it can meet its objective.
 */
bool brf_stop_may_begin(const struct brf_stop_request *rq);

/* @grace_us: time from the signal until the process is killed, microseconds */
void brf_stop_init(struct brf_stop *s, uint64_t grace_us);

/**
 * brf_stop_check() - the step that is due; called at short intervals.
 * @since_us: time since the signal, microseconds
 * @open: number of open requests in the process
 */
enum brf_stop_step brf_stop_check(
    struct brf_stop *s, uint64_t since_us, size_t open);

BRF_END_DECLS

#endif
