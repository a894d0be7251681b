#ifndef BRF_TURN_H
#define BRF_TURN_H

#include <uv.h>

#include "base/task.h"
#include "base/timer.h"

/**
 * DOC: The turns of one loop: its clock, its timers, and the tasks that end
 * each turn.
 *
 * The clock is read once in a turn, since each reading has its price; what a
 * turn does takes far less than a decision can notice.
 */

/**
 * struct brf_turn - start with brf_turn_init().
 * @clock: first member; time as of the current turn
 * @timers: the timer service over @clock
 * @tasks: run before the loop sleeps
 * @ended: called after them, and again when it has posted more; NULL for
 *	nothing
 */
struct brf_turn {
	struct brf_clock clock;
	uv_loop_t *loop;
	struct brf_timers *timers;
	struct brf_tasks tasks;
	void (*ended)(void *arg);
	void *arg;
	uv_timer_t timer;
	uv_prepare_t prepare;
	uint64_t now;
	uint64_t read_at;
	uint64_t armed;
};

BRF_BEGIN_DECLS

void brf_turn_init(struct brf_turn *turn, uv_loop_t *loop);

/* Run what is posted; for those who don't wait for the loop. */
void brf_turn_end(struct brf_turn *turn);

/* Close the handles; run the loop until they have left it. */
void brf_turn_close(struct brf_turn *turn);

/* Only when the handles have left the loop. */
void brf_turn_free(struct brf_turn *turn);

BRF_END_DECLS

#endif
