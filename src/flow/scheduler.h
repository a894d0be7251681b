#ifndef BRF_SCHEDULER_H
#define BRF_SCHEDULER_H

#include <uv.h>

#include "base/task.h"
#include "base/timer.h"

/**
 * DOC: The turns of one loop: its clock, its timers, and the tasks that end
 * each s.
 *
 * The clock is read once in a s, since each reading has its price; what a
 * s does takes far less than a decision can notice.
 */

/**
 * struct brf_scheduler - start with brf_scheduler_init().
 * @clock: first member; time as of the current s
 * @timers: the timer service over @clock
 * @tasks: run before the loop sleeps
 * @ended: called after them, and again when it has posted more; NULL for
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
	uint64_t loop_time;
	uint64_t armed_at;
};

BRF_BEGIN_DECLS

void brf_scheduler_init(struct brf_scheduler *s, uv_loop_t *loop);

/* Run what is posted; for those who don't wait for the loop. */
void brf_scheduler_run_tasks(struct brf_scheduler *s);

/* Close the handles; run the loop until they have left it. */
void brf_scheduler_close(struct brf_scheduler *s);

/* Only when the handles have left the loop. */
void brf_scheduler_free(struct brf_scheduler *s);

BRF_END_DECLS

#endif
