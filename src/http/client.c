#include <stdlib.h>

#include <arpa/inet.h>

#include "bulrushford.h"
#include "http/call.h"
#include "http/client.h"

#define IDLE_US (8u * BRF_US_PER_S) /* idle connections are closed then */

/**
 * struct http_target - the target at a loopback port.
 * @limit: maximum number of concurrent calls, each on its own connection
 * @open: calls in progress
 * @waiting: runs beyond @limit, in order of arrival; the gate seldom admits so
 *	many, and the caller enforces their deadlines
 * @start: starts waiting runs after others ended
 */
struct http_target {
	struct brf_target target;
	struct brf_http_loop *hl;
	struct brf_http_pool *pool;
	uint32_t limit;
	uint32_t open;
	struct brf_list waiting;
	struct brf_http_task start;
};

struct http_run {
	struct brf_http_call call;
	struct http_target *target;
	struct brf_run *run;
	struct brf_list link;
	bool waiting;
};

static void
finish(struct http_run *hr, enum brf_run_end end, struct brf_message *answer)
{
	struct http_target *t = hr->target;
	struct brf_run *run = hr->run;

	run->impl = NULL;
	free(hr);
	if (!brf_list_empty(&t->waiting))
		brf_http_task_post(t->hl, &t->start);
	run->done(run, end, answer); /* may free the target */
}

static void
call_done(struct brf_http_call *call, enum brf_run_end end)
{
	struct http_run *hr = brf_container_of(call, struct http_run, call);

	hr->target->open--;
	finish(hr, end, end == BRF_RUN_ANSWERED ? call->answer : NULL);
}

static void
start_run(struct http_run *hr)
{
	struct http_target *t = hr->target;
	struct brf_run *run = hr->run;

	hr->waiting = false;
	t->open++;
	hr->call.done = call_done;
	hr->call.body_max = BRF_BODY_MAX;
	brf_http_call_start(
	    &hr->call, t->pool, run->request, run->extra, run->extra_count);
}

static void
start_waiting_runs(struct brf_http_task *task)
{
	struct http_target *t =
	    brf_container_of(task, struct http_target, start);
	struct http_run *hr;

	while (t->open < t->limit && !brf_list_empty(&t->waiting)) {
		hr = brf_list_entry(t->waiting.next, struct http_run, link);
		brf_list_remove(&hr->link);
		start_run(hr);
	}
}

static void
target_run(struct brf_target *target, struct brf_run *run)
{
	struct http_target *t =
	    brf_container_of(target, struct http_target, target);
	struct http_run *hr = brf_calloc(1, sizeof(*hr));

	hr->target = t;
	hr->run = run;
	run->impl = hr;
	brf_list_init(&hr->link);
	if (t->open < t->limit && brf_list_empty(&t->waiting)) {
		start_run(hr);
		return;
	}
	hr->waiting = true;
	brf_list_append(&t->waiting, &hr->link);
}

static void
target_cancel(struct brf_target *target, struct brf_run *run)
{
	struct http_run *hr = run->impl;

	if (hr == NULL)
		return;
	if (!hr->waiting) {
		brf_http_call_cancel(&hr->call);
		return;
	}
	brf_list_remove(&hr->link);
	finish(hr, BRF_RUN_NOT_STARTED, NULL);
}

static const struct brf_target_vt http_target_vt = {
	.run = target_run,
	.cancel = target_cancel,
};

struct brf_target *
brf_http_target_new(
    struct brf_http_loop *hl, uint16_t port, uint32_t connections)
{
	struct http_target *t = brf_calloc(1, sizeof(*t));
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	t->target.vt = &http_target_vt;
	t->hl = hl;
	t->limit = connections != 0 ? connections : 1;
	t->pool =
	    brf_http_pool_new(hl, (const struct sockaddr *)&addr, IDLE_US);
	brf_list_init(&t->waiting);
	brf_http_task_init(&t->start, start_waiting_runs);
	return (&t->target);
}

void
brf_http_target_free(struct brf_target *target)
{
	struct http_target *t;

	if (target == NULL)
		return;
	t = brf_container_of(target, struct http_target, target);
	brf_http_task_cancel(&t->start);
	brf_http_pool_free(t->pool);
	free(t);
}
