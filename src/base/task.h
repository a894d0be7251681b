#ifndef BRF_TASK_H
#define BRF_TASK_H

#include "base/list.h"

/**
 * DOC: Work deferred to the end of the current iteration of the loop.
 *
 * A component that changes something another component waits for posts the
 * task of that component instead of calling it.  This avoids reentrancy, and
 * all changes of one iteration are handled in one run of the task.
 */

struct brf_task;

/**
 * struct brf_tasks - queue of the posted tasks of one loop, first in, first
 * out.
 */
struct brf_tasks {
	struct brf_list posted;
};

/**
 * struct brf_task - a task; embedded by the component that it belongs to.
 * @run: called once for any number of posts; may post the task again
 * @link: in the queue while posted
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

/* Queue @task unless it is queued already; a NULL @task is ignored. */
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
 * brf_tasks_run() - run all posted tasks, including those that are posted
 * meanwhile, until the queue is empty.
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
