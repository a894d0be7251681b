#include <gtest/gtest.h>

#include "flow/scheduler.h"

namespace
{

struct poster {
	struct brf_scheduler scheduler;
	struct brf_task task;
	int after_tasks = 0;
	int ran = 0;

	static void
	run(struct brf_task *task)
	{
		brf_container_of(task, struct poster, task)->ran++;
	}

	static void
	on_tasks_run(void *arg)
	{
		auto *p = (struct poster *)arg;

		if (p->after_tasks++ == 0)
			brf_task_post(&p->scheduler.tasks, &p->task);
	}
};

} // namespace

/* The loop sleeps next: a task that after_tasks posts and that isn't run now
 * would wait until something else wakes the loop. */
TEST(scheduler, runs_tasks_posted_by_its_after_tasks_callback)
{
	struct poster p;
	uv_loop_t loop;

	uv_loop_init(&loop);
	brf_scheduler_init(&p.scheduler, &loop);
	brf_task_init(&p.task, poster::run);
	p.scheduler.after_tasks = poster::on_tasks_run;
	p.scheduler.arg = &p;
	brf_scheduler_run_tasks(&p.scheduler);
	EXPECT_EQ(p.ran, 1);
	EXPECT_EQ(p.after_tasks, 2);
	brf_scheduler_close(&p.scheduler);
	uv_run(&loop, UV_RUN_DEFAULT);
	EXPECT_EQ(uv_loop_close(&loop), 0);
	brf_scheduler_free(&p.scheduler);
}
