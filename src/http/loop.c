#include <signal.h>
#include <stdlib.h>

#include <h2o.h>

#include "http/loop.h"
#include "http/server.h"
#include "http/watch.h"

/**
 * struct after_close - a callback that runs after earlier closes.
 *
 * libuv doesn't document in which order it completes the closes of one loop
 * iteration, so the callback waits for a second close in the next iteration.
 */
struct after_close {
	uv_idle_t first;
	uv_idle_t second;
	void (*fn)(void *arg);
	void *arg;
};

static void
run_tasks(uv_idle_t *idle)
{
	struct brf_http_loop *hl = idle->data;
	struct brf_list batch;
	struct brf_http_task *task;

	/* tasks posted by these run in the next iteration */
	brf_list_init(&batch);
	brf_list_move(&batch, &hl->tasks);
	while (!brf_list_empty(&batch)) {
		task = brf_list_entry(batch.next, struct brf_http_task, link);
		brf_list_remove(&task->link);
		task->run(task);
	}
	if (brf_list_empty(&hl->tasks))
		uv_idle_stop(idle);
}

struct brf_http_loop *
brf_http_loop_new(
    uv_loop_t *loop, struct brf_timers *timers, struct brf_metrics *metrics)
{
	struct brf_http_loop *hl = brf_calloc(1, sizeof(*hl));

	hl->loop = loop;
	hl->timers = timers;
	hl->metrics = metrics;
	brf_list_init(&hl->tasks);
	brf_list_init(&hl->pools);
	uv_idle_init(loop, &hl->idle);
	hl->idle.data = hl;
	brf_http_watches_init(hl);
	/* libuv writes by write(2), which raises SIGPIPE on a closed peer */
	signal(SIGPIPE, SIG_IGN);
	/* keep h2o from moving large buffers to files: there is no disk */
	h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
	return (hl);
}

void
brf_http_loop_free(struct brf_http_loop *hl)
{
	if (hl == NULL)
		return;
	brf_fetch_pools_free(hl);
	brf_http_watches_close(hl);
	uv_close((uv_handle_t *)&hl->idle, NULL);
	brf_http_after_close(hl, free, hl);
}

void
brf_http_task_init(
    struct brf_http_task *task, void (*run)(struct brf_http_task *task))
{
	task->run = run;
	brf_list_init(&task->link);
}

void
brf_http_task_post(struct brf_http_loop *hl, struct brf_http_task *task)
{
	if (!brf_list_empty(&task->link))
		return;
	brf_list_append(&hl->tasks, &task->link);
	uv_idle_start(&hl->idle, run_tasks);
}

void
brf_http_task_cancel(struct brf_http_task *task)
{
	brf_list_remove(&task->link);
}

static void
second_closed(uv_handle_t *handle)
{
	struct after_close *after = handle->data;

	after->fn(after->arg);
	free(after);
}

static void
first_closed(uv_handle_t *handle)
{
	struct after_close *after = handle->data;

	uv_close((uv_handle_t *)&after->second, second_closed);
}

void
brf_http_after_close(struct brf_http_loop *hl, void (*fn)(void *arg), void *arg)
{
	struct after_close *after = brf_calloc(1, sizeof(*after));

	after->fn = fn;
	after->arg = arg;
	uv_idle_init(hl->loop, &after->first);
	uv_idle_init(hl->loop, &after->second);
	after->first.data = after;
	after->second.data = after;
	uv_close((uv_handle_t *)&after->first, first_closed);
}
