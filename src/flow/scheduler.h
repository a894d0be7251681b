#ifndef BRF_SCHEDULER_H
#define BRF_SCHEDULER_H

#include <uv.h>

#include "base/task.h"
#include "base/timer.h"

/**
 * DOC: Clock, timers and deferred tasks of one event loop.
 *
 * The clock is read once per iteration, since each reading has a cost; an
 * iteration is far shorter than the times on which decisions depend.
 */

/**
 * struct brf_scheduler - initialize with brf_scheduler_init().
 * @clock: first member; time of the current iteration
 * @timers: the timer service over @clock
 * @tasks: run before the loop sleeps
 * @after_tasks: called after them, and again when it has posted more; NULL for
 *	nothing
 */
struct brf_scheduler {
	struct brf_clock clock;
	uv_loop_t *loop;
	struct brf_timers *timers;
	struct brf_tasks tasks;
	void (*after_tasks)(void *arg);
	void *arg;
	uv_timer_t timer;
	uv_prepare_t prepare;
	uint64_t now;
	uint64_t read_at;
	uint64_t armed;
};

BRF_BEGIN_DECLS

void brf_scheduler_init(struct brf_scheduler *s, uv_loop_t *loop);

/* Run the posted tasks now instead of at the end of the iteration. */
void brf_scheduler_run_tasks(struct brf_scheduler *s);

/* Close the handles; run the loop until they have left it. */
void brf_scheduler_close(struct brf_scheduler *s);

/* Only when the handles have left the loop. */
void brf_scheduler_free(struct brf_scheduler *s);

BRF_END_DECLS

#endif
