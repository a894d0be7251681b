#include <gtest/gtest.h>

#include "http/loop.h"
#include "http/server.h"

namespace
{

struct counting_task {
	struct brf_http_task task;
	int runs;
};

void
count_run(struct brf_http_task *task)
{
	brf_container_of(task, struct counting_task, task)->runs++;
}

/* A loop that runs nothing but tasks. */
struct http_tasks : public testing::Test {
	uv_loop_t loop;
	struct brf_timers *timers = brf_timers_new(brf_clock_system());
	struct brf_metrics *metrics = brf_metrics_new();
	struct brf_http_loop *hl;

	http_tasks()
	{
		uv_loop_init(&loop);
		hl = brf_http_loop_new(&loop, timers, metrics);
	}

	~http_tasks() override
	{
		brf_http_loop_free(hl);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
		brf_metrics_free(metrics);
		brf_timers_free(timers);
	}
};

} // namespace

/*
 * The simulated target crashed when its only posted task was cancelled in the
 * same loop iteration.
 */
TEST_F(http_tasks, the_last_task_can_be_cancelled_before_it_runs)
{
	struct counting_task a = {}, b = {};

	brf_http_task_init(&a.task, count_run);
	brf_http_task_init(&b.task, count_run);
	brf_http_task_post(hl, &a.task);
	brf_http_task_cancel(&a.task);
	uv_run(&loop, UV_RUN_NOWAIT);
	brf_http_task_post(hl, &b.task);
	uv_run(&loop, UV_RUN_NOWAIT);
	EXPECT_EQ(a.runs, 0);
	EXPECT_EQ(b.runs, 1);
}
