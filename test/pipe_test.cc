#include <gtest/gtest.h>

#include <string>

#include "flow/pipe.h"

namespace
{

struct counted {
	struct brf_task task;
	int runs = 0;

	counted()
	{
		brf_task_init(&task, run);
	}

	static void
	run(struct brf_task *task)
	{
		brf_container_of(task, struct counted, task)->runs++;
	}
};

struct a_pipe : public testing::Test {
	struct brf_tasks tasks;
	struct counted reader, writer;
	struct brf_pipe p;

	a_pipe()
	{
		brf_tasks_init(&tasks);
		brf_pipe_init(&p, &tasks);
		p.reader = &reader.task;
		p.writer = &writer.task;
	}

	~a_pipe() override
	{
		brf_task_cancel(&reader.task);
		brf_task_cancel(&writer.task);
		brf_pipe_free(&p);
	}

	void
	write(size_t len)
	{
		std::string bytes(len, 'x');

		brf_pipe_write(&p, bytes.data(), len);
	}
};

} // namespace

/* A writer that was told the exact space and used it up doesn't ask again: it
 * must be woken, or the rest of the body is never written. */
TEST_F(a_pipe, wakes_a_writer_that_used_up_its_space)
{
	write(BRF_PIPE_HIGH_WATER - 163);
	EXPECT_EQ(brf_pipe_space(&p), 163u);
	write(163);
	brf_pipe_consume(&p, BRF_PIPE_HIGH_WATER - 1);
	brf_tasks_run(&tasks);
	EXPECT_EQ(writer.runs, 1);
	brf_pipe_consume(&p, 1);
	brf_tasks_run(&tasks);
	EXPECT_EQ(writer.runs, 1);
}

TEST_F(a_pipe, wakes_a_writer_that_found_no_space)
{
	write(2 * BRF_PIPE_HIGH_WATER);
	EXPECT_EQ(brf_pipe_space(&p), 0u);
	brf_pipe_consume(&p, BRF_PIPE_HIGH_WATER);
	brf_tasks_run(&tasks);
	EXPECT_EQ(writer.runs, 0);
	brf_pipe_consume(&p, BRF_PIPE_HIGH_WATER);
	brf_tasks_run(&tasks);
	EXPECT_EQ(writer.runs, 1);
}

TEST_F(a_pipe, does_not_wake_a_writer_that_had_space)
{
	write(10);
	EXPECT_GT(brf_pipe_space(&p), 0u);
	brf_pipe_consume(&p, 10);
	brf_tasks_run(&tasks);
	EXPECT_EQ(writer.runs, 0);
	EXPECT_EQ(reader.runs, 1);
}

TEST_F(a_pipe, posts_its_reader_once_at_the_end)
{
	brf_pipe_end(&p);
	brf_pipe_break(&p);
	brf_tasks_run(&tasks);
	EXPECT_EQ(reader.runs, 1);
	EXPECT_TRUE(brf_pipe_finished(&p));
}

TEST_F(a_pipe, wakes_a_writer_when_its_reader_retains_what_there_is)
{
	write(BRF_PIPE_HIGH_WATER);
	EXPECT_EQ(brf_pipe_space(&p), 0u);
	brf_pipe_retain(&p);
	brf_tasks_run(&tasks);
	EXPECT_EQ(writer.runs, 1);
	EXPECT_EQ(brf_pipe_space(&p), BRF_PIPE_HIGH_WATER);
	write(10);
	brf_pipe_consume(&p, BRF_PIPE_HIGH_WATER + 5);
	EXPECT_EQ(brf_pipe_backlog(&p), 5u);
	EXPECT_EQ(brf_pipe_len(&p), 5u);
}
