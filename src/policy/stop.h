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
 * node stops, a request is sent to a target only if it must have ended while
 * its caller can still be told: by its deadline, or by an earlier one that the
 * target gets in its place.  What is running shortly before the exit
 * nevertheless is answered then.
 */

/**
 * struct brf_stop - times since the signal, microseconds.
 * @refuse_us: from then on the target gets no new work
 * @min_us: the process does not exit before
 * @work_us: latest deadline of requests that begin late
 * @tell_us: callers whose requests are open then get an answer
 * @max_us: the process exits then, even when requests are open
 * @last_open_us: when a request was open last
 * @refusing: BRF_STOP_REFUSE was returned
 * @telling: BRF_STOP_TELL was returned
 */
struct brf_stop {
	uint64_t refuse_us;
	uint64_t min_us;
	uint64_t work_us;
	uint64_t tell_us;
	uint64_t max_us;
	uint64_t last_open_us;
	bool refusing;
	bool telling;
};

/**
 * enum brf_stop_step - what the caller must do.
 * @BRF_STOP_WAIT: nothing; check again later
 * @BRF_STOP_REFUSE: give the target no new work from now on; returned once
 * @BRF_STOP_TELL: answer the open requests; returned once
 * @BRF_STOP_END: close everything and exit
 */
enum brf_stop_step {
	BRF_STOP_WAIT,
	BRF_STOP_REFUSE,
	BRF_STOP_TELL,
	BRF_STOP_END
};

/**
 * struct brf_stop_request - a request that is to be sent to a target.
 * @until_end_us: time until requests have to have ended, microseconds
 * @until_deadline_us: longest time that the request may take, microseconds
 * @expected_us: time that requests of its route may well take, microseconds
 * @repeatable: it is idempotent, so that its caller may repeat one that was
 *	ended while it ran
 * @is_call_of_running: it is surely a nested call of a request that this VM's
 *	target runs, which fails without it
 */
struct brf_stop_request {
	uint64_t until_end_us;
	uint64_t until_deadline_us;
	uint64_t expected_us;
	bool repeatable;
	bool is_call_of_running;
};

/**
 * enum brf_stop_verdict - what to do with the request.
 * @BRF_STOP_BEGIN: send it
 * @BRF_STOP_LIMIT: send it with a deadline in @until_end_us
 * @BRF_STOP_KEEP: don't send it
 */
enum brf_stop_verdict {
	BRF_STOP_BEGIN,
	BRF_STOP_LIMIT,
	BRF_STOP_KEEP
};

BRF_BEGIN_DECLS

/**
 * brf_stop_judge() - whether a request may be sent to a target by a node that
 * stops, after the time in which callers learn of it.
 *
 * A call for a running request is worth more than an early refusal, if it may
 * well end in time.  One that is not idempotent is worth less, since ending it
 * would leave its caller without knowing whether it has run.
 */
enum brf_stop_verdict brf_stop_judge(const struct brf_stop_request *rq);

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
