#include "flow/pipe.h"

#define COMPACT_ABOVE 4096u /* consumed bytes that may stay in the buffer */

void
brf_pipe_init(struct brf_pipe *p, struct brf_tasks *tasks)
{
	memset(p, 0, sizeof(*p));
	p->tasks = tasks;
}

void
brf_pipe_free(struct brf_pipe *p)
{
	brf_buf_free(&p->buf);
	p->pos = 0;
	p->retained = 0;
	p->reader = NULL;
	p->writer = NULL;
}

void
brf_pipe_write(struct brf_pipe *p, const void *data, size_t len)
{
	if (len == 0 || p->state != BRF_PIPE_OPEN)
		return;
	brf_buf_add(&p->buf, data, len);
	p->written += len;
	/* a writer that has just filled the pipe may not ask for space */
	if (brf_pipe_backlog(p) >= BRF_PIPE_HIGH_WATER)
		p->writer_waiting = true;
	brf_task_post(p->tasks, p->reader);
}

static void
finish(struct brf_pipe *p, enum brf_pipe_state state)
{
	if (p->state != BRF_PIPE_OPEN)
		return;
	p->state = state;
	brf_task_post(p->tasks, p->reader);
}

void
brf_pipe_end(struct brf_pipe *p)
{
	finish(p, BRF_PIPE_ENDED);
}

void
brf_pipe_break(struct brf_pipe *p)
{
	finish(p, BRF_PIPE_BROKEN);
}

size_t
brf_pipe_space(struct brf_pipe *p)
{
	size_t backlog = brf_pipe_backlog(p);

	if (backlog < BRF_PIPE_HIGH_WATER)
		return (BRF_PIPE_HIGH_WATER - backlog);
	p->writer_waiting = true;
	return (0);
}

static void
wake_writer(struct brf_pipe *p)
{
	if (p->writer_waiting && brf_pipe_backlog(p) < BRF_PIPE_LOW_WATER) {
		p->writer_waiting = false;
		brf_task_post(p->tasks, p->writer);
	}
}

void
brf_pipe_retain(struct brf_pipe *p)
{
	p->retained = brf_pipe_len(p);
	wake_writer(p);
}

void
brf_pipe_consume(struct brf_pipe *p, size_t n)
{
	p->pos += n;
	p->retained -= n < p->retained ? n : p->retained;
	if (p->pos == p->buf.len) {
		brf_buf_free(&p->buf);
		p->pos = 0;
	} else if (p->pos > COMPACT_ABOVE && p->pos > p->buf.len / 2) {
		brf_buf_consume(&p->buf, p->pos);
		p->pos = 0;
	}
	wake_writer(p);
}
