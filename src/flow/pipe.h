#ifndef BRF_PIPE_H
#define BRF_PIPE_H

#include "base/buf.h"
#include "base/task.h"

/**
 * DOC: Buffer for a body between two parts of the process, with flow control.
 *
 * The writer stops when the pipe is full.  Once the reader has consumed enough,
 * the writer's task is posted again, so that a body of any length takes bounded
 * memory.
 */

#define BRF_PIPE_HIGH_WATER 65536u /* bytes; the pipe is full */
#define BRF_PIPE_LOW_WATER 32768u  /* bytes; below, the writer is woken */

/**
 * enum brf_pipe_state - whether more bytes will be written.
 * @BRF_PIPE_OPEN: more may follow
 * @BRF_PIPE_ENDED: the body was written completely
 * @BRF_PIPE_BROKEN: the body is truncated; nothing more follows
 */
enum brf_pipe_state {
	BRF_PIPE_OPEN,
	BRF_PIPE_ENDED,
	BRF_PIPE_BROKEN
};

/**
 * struct brf_pipe - start with brf_pipe_init().
 * @reader: posted after a write and when @state has changed; may be NULL
 * @writer: posted when the pipe has space again; may be NULL
 * @buf: bytes before @pos were consumed
 * @retained: bytes at the front that count as consumed for the writer
 * @written: total bytes written
 * @writer_waiting: post @writer when the pipe falls below BRF_PIPE_LOW_WATER
 */
struct brf_pipe {
	struct brf_tasks *tasks;
	struct brf_task *reader;
	struct brf_task *writer;
	struct brf_buf buf;
	size_t pos;
	size_t retained;
	uint64_t written;
	enum brf_pipe_state state;
	bool writer_waiting;
};

BRF_BEGIN_DECLS

void brf_pipe_init(struct brf_pipe *p, struct brf_tasks *tasks);
void brf_pipe_free(struct brf_pipe *p);

/**
 * brf_pipe_write() - append bytes.
 *
 * A full pipe takes them as well, since they are in memory already.  Does
 * nothing once the pipe is ended or broken.
 */
void brf_pipe_write(struct brf_pipe *p, const void *data, size_t len);

/* Set the final state.  Do nothing once the pipe is ended or broken. */
void brf_pipe_end(struct brf_pipe *p);
void brf_pipe_break(struct brf_pipe *p);

/**
 * brf_pipe_space() - number of bytes that the writer may add now.
 *
 * When it is 0, the writer's task is posted once there is space again.
 */
size_t brf_pipe_space(struct brf_pipe *p);

/* Have the writer's task posted at the next read below the low-water mark. */
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

/* Return: bytes that count towards the water marks. */
static inline size_t
brf_pipe_backlog(const struct brf_pipe *p)
{
	return (brf_pipe_len(p) - p->retained);
}

/**
 * brf_pipe_retain() - have the writer go on, though nothing is consumed.
 *
 * The bytes in the pipe stay there; the reader has to bound them.
 */
void brf_pipe_retain(struct brf_pipe *p);

/* Return: total bytes consumed. */
static inline uint64_t
brf_pipe_read(const struct brf_pipe *p)
{
	return (p->written - brf_pipe_len(p));
}

static inline const char *
brf_pipe_data(const struct brf_pipe *p)
{
	return (p->buf.data + p->pos);
}

/* Remove the first @n bytes. */
void brf_pipe_consume(struct brf_pipe *p, size_t n);

/* Whether the body has ended and all of it was consumed. */
static inline bool
brf_pipe_finished(const struct brf_pipe *p)
{
	return (p->state == BRF_PIPE_ENDED && brf_pipe_len(p) == 0);
}

BRF_END_DECLS

#endif
