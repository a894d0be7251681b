#ifndef BRF_TASK_H
#define BRF_TASK_H

#include "base/list.h"

/**
 * DOC: Work put off to the end of the current turn of the loop.
 *
 * A part that changes something another part waits for posts that part's task
 * in place of calling it, so that no part is entered from the midst of
 * another's work, and so that what comes in one turn is handled at once.
 */

struct brf_task;

/**
 * struct brf_tasks - the posted tasks of one loop, in order.
 */
struct brf_tasks {
	struct brf_list posted;
};

/**
 * struct brf_task - one part's work; embedded by it.
 * @run: called once for any number of posts; may post the task again
 * @link: in the list while posted
 */
struct brf_task {
	void (*run)(struct brf_task *task);
	struct brf_list link;
};

static inline void
brf_tasks_init(struct brf_tasks *ts)
{
	brf_list_init(&ts->posted);
}

static inline void
brf_task_init(struct brf_task *task, void (*run)(struct brf_task *task))
{
	task->run = run;
	brf_list_init(&task->link);
}

/* NULL is allowed, for a part that nobody waits for. */
static inline void
brf_task_post(struct brf_tasks *ts, struct brf_task *task)
{
	if (task != NULL && brf_list_empty(&task->link))
		brf_list_append(&ts->posted, &task->link);
}

static inline void
brf_task_cancel(struct brf_task *task)
{
	brf_list_remove(&task->link);
}

/**
 * brf_tasks_run() - run what is posted, and what that posts, until nothing is.
 */
static inline void
brf_tasks_run(struct brf_tasks *ts)
{
	struct brf_task *task;

	while (!brf_list_empty(&ts->posted)) {
		task = brf_list_entry(ts->posted.next, struct brf_task, link);
		brf_list_remove(&task->link);
		task->run(task);
	}
}

#endif
