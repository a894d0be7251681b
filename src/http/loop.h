#ifndef BRF_HTTP_LOOP_H
#define BRF_HTTP_LOOP_H

#include <uv.h>

#include "base/list.h"
#include "base/metrics.h"
#include "base/timer.h"

/**
 * DOC: What the servers and clients of a process share; for src/http only.
 *
 * h2o calls back from the midst of its own work, where most of its functions
 * must not be called.  Whatever follows from such a callback is put off to
 * the next turn of the loop by a task.
 */

/**
 * struct brf_http_task - work for the next turn of the loop.
 * @run: called once; the task may be posted again from it
 * @link: in the loop's list while posted
 */
struct brf_http_task {
	void (*run)(struct brf_http_task *task);
	struct brf_list link;
};

struct brf_http_loop {
	uv_loop_t *loop;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	uv_idle_t idle;
	struct brf_list tasks;
	uv_poll_t watches; /* see watch.h */
	int watch_fd;
	struct brf_list pools; /* struct fetch_pool of fetch.c */
};

BRF_BEGIN_DECLS

void brf_http_task_init(
    struct brf_http_task *task, void (*run)(struct brf_http_task *task));
void brf_http_task_post(struct brf_http_loop *hl, struct brf_http_task *task);

/* Posting and cancelling twice are allowed. */
void brf_http_task_cancel(struct brf_http_task *task);

/**
 * brf_http_after_close() - call @fn when all handles that were closed before
 * have left the loop, so that the memory they lie in can be freed.
 */
void brf_http_after_close(
    struct brf_http_loop *hl, void (*fn)(void *arg), void *arg);

/* Frees the idle connections kept for brf_fetch_start(). */
void brf_fetch_pools_free(struct brf_http_loop *hl);

BRF_END_DECLS

#endif
