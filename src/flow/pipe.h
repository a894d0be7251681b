#ifndef BRF_PIPE_H
#define BRF_PIPE_H

#include "base/buf.h"
#include "base/task.h"

/**
 * DOC: Bytes of a body on their way from one part of the process to another.
 *
 * The writer stops when the pipe is full, and the reader's progress posts the
 * writer's task again, so that a body of any length takes bounded memory.
 */

#define BRF_PIPE_HIGH_WATER 65536u /* bytes; a full pipe takes no more */
#define BRF_PIPE_LOW_WATER 32768u  /* bytes; below it the writer is woken */

/**
 * enum brf_pipe_state - what is known of the rest.
 * @BRF_PIPE_OPEN: more may come
 * @BRF_PIPE_ENDED: all of the body is in the pipe or was read
 * @BRF_PIPE_BROKEN: the rest will never come
 */
enum brf_pipe_state {
	BRF_PIPE_OPEN,
	BRF_PIPE_ENDED,
	BRF_PIPE_BROKEN
};

/**
 * struct brf_pipe - start with brf_pipe_init().
 * @reader: posted when there is more to read, or the state has changed
 * @writer: posted when there is room again
 * @buf: bytes; those before @pos are read
 * @written: bytes ever written
 * @choked: the writer was told that the pipe is full
 */
struct brf_pipe {
	struct brf_tasks *tasks;
	struct brf_task *reader;
	struct brf_task *writer;
	struct brf_buf buf;
	size_t pos;
	uint64_t written;
	enum brf_pipe_state state;
	bool writer_waiting;
};

BRF_BEGIN_DECLS

void brf_pipe_init(struct brf_pipe *p, struct brf_tasks *tasks);
void brf_pipe_free(struct brf_pipe *p);

/**
 * brf_pipe_write() - add bytes; a full pipe takes them as well, since they
 * are there already.
 */
void brf_pipe_write(struct brf_pipe *p, const void *data, size_t len);

/* No more follows.  Does nothing once the pipe is ended or broken. */
void brf_pipe_end(struct brf_pipe *p);
void brf_pipe_break(struct brf_pipe *p);

/**
 * brf_pipe_space() - bytes that the writer should add at most; when it is 0
 * the writer's task is posted later.
 */
size_t brf_pipe_space(struct brf_pipe *p);

/* Post the writer's task when the pipe is (nearly) empty again. */
static inline void
brf_pipe_wake_when_low(struct brf_pipe *p)
{
	p->writer_waiting = true;
}

static inline size_t
brf_pipe_len(const struct brf_pipe *p)
{
	return (p->buf.len - p->pos);
}

static inline const char *
brf_pipe_data(const struct brf_pipe *p)
{
	return (p->buf.data + p->pos);
}

/* Remove the first @n bytes. */
void brf_pipe_consume(struct brf_pipe *p, size_t n);

/* All bytes are read and none will come. */
static inline bool
brf_pipe_finished(const struct brf_pipe *p)
{
	return (p->state == BRF_PIPE_ENDED && brf_pipe_len(p) == 0);
}

BRF_END_DECLS

#endif
