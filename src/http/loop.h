#ifndef BRF_HTTP_LOOP_H
#define BRF_HTTP_LOOP_H

#include <uv.h>

#include "base/list.h"
#include "base/metrics.h"
#include "base/timer.h"

/**
 * DOC: State shared by the HTTP servers and clients of a process; for src/http
 * only.
 *
 * Most h2o functions must not be called from within h2o's callbacks.  Work that
 * results from such a callback is deferred to the next loop iteration by a
 * task.
 */

/**
 * struct brf_http_task - work deferred to the next loop iteration.
 * @run: called once per posting; may post the task again
 * @link: in brf_http_loop.tasks while posted
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
	uv_poll_t watches;     /* polls @watch_fd */
	int watch_fd;	       /* epoll set of watch.h */
	struct brf_list pools; /* struct fetch_pool of fetch.c */
};

BRF_BEGIN_DECLS

void brf_http_task_init(
    struct brf_http_task *task, void (*run)(struct brf_http_task *task));
void brf_http_task_post(struct brf_http_loop *hl, struct brf_http_task *task);

/* Posting a posted task and cancelling an idle one have no effect. */
void brf_http_task_cancel(struct brf_http_task *task);

/**
 * brf_http_after_close() - call @fn after the close callbacks of all handles
 * closed before, when the memory that holds them can be freed.
 */
void brf_http_after_close(
    struct brf_http_loop *hl, void (*fn)(void *arg), void *arg);

/* Frees the idle connections kept for brf_fetch_start(). */
void brf_fetch_pools_free(struct brf_http_loop *hl);

BRF_END_DECLS

#endif
