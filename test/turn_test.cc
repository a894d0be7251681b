#include <gtest/gtest.h>

#include "flow/turn.h"

namespace
{

struct poster {
	struct brf_turn turn;
	struct brf_task task;
	int ended = 0;
	int ran = 0;

	static void
	run(struct brf_task *task)
	{
		brf_container_of(task, struct poster, task)->ran++;
	}

	static void
	end(void *arg)
	{
		auto *p = (struct poster *)arg;

		if (p->ended++ == 0)
			brf_task_post(&p->turn.tasks, &p->task);
	}
};

} // namespace

/* The loop sleeps afterwards, and nothing may be left for its next wake. */
TEST(turn, what_its_end_posts_is_run_in_it)
{
	struct poster p;
	uv_loop_t loop;

	uv_loop_init(&loop);
	brf_turn_init(&p.turn, &loop);
	brf_task_init(&p.task, poster::run);
	p.turn.ended = poster::end;
	p.turn.arg = &p;
	brf_turn_end(&p.turn);
	EXPECT_EQ(p.ran, 1);
	EXPECT_EQ(p.ended, 2);
	brf_turn_close(&p.turn);
	uv_run(&loop, UV_RUN_DEFAULT);
	EXPECT_EQ(uv_loop_close(&loop), 0);
	brf_turn_free(&p.turn);
}
