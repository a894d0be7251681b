#include <netinet/in.h>
#include <stdlib.h>

#include "bulrushford.h"
#include "http/call.h"
#include "http/fetch.h"
#include "http/fields.h"

#define IDLE_US (2u * BRF_US_PER_S) /* idle connections are closed then */

struct fetch_pool {
	struct brf_list link; /* in brf_http_loop.pools */
	struct sockaddr_storage addr;
	struct brf_http_pool *connections;
};

/**
 * struct brf_fetch - one call.
 * @task: calls @done for a call that ended before brf_fetch_start() returned
 * @peer: address for error messages; owned by the pool
 * @starting: brf_fetch_start() has not returned
 * @cancelled: brf_fetch_cancel() was called; @done must not be called
 */
struct brf_fetch {
	struct brf_http_call call;
	struct brf_http_loop *hl;
	struct brf_timer timer;
	struct brf_http_task task;
	uint64_t timeout_us;
	enum brf_errc code;
	brf_fetch_chunk_cb chunk;
	brf_fetch_done_cb done;
	void *arg;
	const char *peer;
	bool starting;
	bool cancelled;
};

static const enum brf_errc end_errors[] = {
	[BRF_RUN_ANSWERED] = BRF_OK,
	[BRF_RUN_NOT_STARTED] = BRF_E_CONNECT,
	[BRF_RUN_LOST] = BRF_E_CLOSED,
	[BRF_RUN_BROKEN] = BRF_E_HTTP,
	[BRF_RUN_TOO_LARGE] = BRF_E_TOO_LARGE,
	[BRF_RUN_CANCELLED] = BRF_E_TIMEOUT,
};

static bool
same_address(const struct sockaddr *a, const struct sockaddr *b)
{
	const struct sockaddr_in6 *a6 = (const void *)a, *b6 = (const void *)b;
	const struct sockaddr_in *a4 = (const void *)a, *b4 = (const void *)b;

	if (a->sa_family != b->sa_family)
		return (false);
	if (a->sa_family == AF_INET6)
		return (a6->sin6_port == b6->sin6_port &&
			memcmp(&a6->sin6_addr, &b6->sin6_addr,
			    sizeof(a6->sin6_addr)) == 0);
	return (a4->sin_port == b4->sin_port &&
		a4->sin_addr.s_addr == b4->sin_addr.s_addr);
}

static struct brf_http_pool *
find_pool(struct brf_http_loop *hl, const struct sockaddr *addr)
{
	struct fetch_pool *pool;
	struct brf_list *l;

	brf_list_foreach (l, &hl->pools) {
		pool = brf_list_entry(l, struct fetch_pool, link);
		if (same_address((struct sockaddr *)&pool->addr, addr))
			return (pool->connections);
	}
	pool = brf_calloc(1, sizeof(*pool));
	memcpy(&pool->addr, addr,
	    addr->sa_family == AF_INET6 ? sizeof(struct sockaddr_in6)
					: sizeof(struct sockaddr_in));
	pool->connections = brf_http_pool_new(hl, addr, IDLE_US);
	brf_list_append(&hl->pools, &pool->link);
	return (pool->connections);
}

void
brf_fetch_pools_free(struct brf_http_loop *hl)
{
	struct fetch_pool *pool;
	struct brf_list *l, *next;

	brf_list_foreach_safe (l, next, &hl->pools) {
		pool = brf_list_entry(l, struct fetch_pool, link);
		brf_list_remove(l);
		brf_http_pool_free(pool->connections);
		free(pool);
	}
}

static void
report(struct brf_fetch *f, const struct brf_message *m)
{
	struct brf_fetch_answer answer = {
		.status = m->status,
		.message = m->status != 0 ? m : NULL,
		.opened_at = f->call.opened_at,
	};
	struct brf_error err = { .code = BRF_OK };

	if (f->code != BRF_OK) {
		brf_error_set(&err, f->code, 0, "HTTP call to %s", f->peer);
	} else if (f->chunk == NULL) {
		answer.body = m->body.len != 0 ? m->body.data : "";
		answer.body_len = m->body.len;
	}
	f->done(f->arg, err.code != BRF_OK ? &err : NULL, &answer);
}

static void
report_task(struct brf_http_task *task)
{
	struct brf_fetch *f = brf_container_of(task, struct brf_fetch, task);
	const struct brf_message none = { .status = 0 };

	report(f, &none);
	free(f);
}

static void
call_done(struct brf_http_call *call, enum brf_run_end end)
{
	struct brf_fetch *f = brf_container_of(call, struct brf_fetch, call);

	brf_timer_stop(f->hl->timers, &f->timer);
	f->code = end_errors[end];
	if (f->starting) { /* connecting failed immediately */
		brf_http_task_post(f->hl, &f->task);
		return;
	}
	if (!f->cancelled)
		report(f, call->answer);
	free(f);
}

static void
call_chunk(struct brf_http_call *call, const char *data, size_t len)
{
	struct brf_fetch *f = brf_container_of(call, struct brf_fetch, call);

	if (f->timeout_us != 0)
		brf_timer_start(f->hl->timers, &f->timer, f->timeout_us);
	f->chunk(f->arg, call->answer->status, data, len);
}

static void
on_timeout(struct brf_timer *timer, void *arg)
{
	struct brf_fetch *f = arg;

	brf_http_call_cancel(&f->call);
}

/* Return: false when a field or the path is invalid or too long. */
static bool
build_request(struct brf_message *m, const struct brf_fetch_call *call)
{
	const struct brf_header *h;
	size_t i;

	if (!brf_http_path_is_valid(call->path, strlen(call->path)) ||
	    !brf_message_set_path(m, call->path, strlen(call->path), NULL))
		return (false);
	brf_copy_name(m->method, sizeof(m->method), call->method);
	for (i = 0; i < call->header_count; i++) {
		h = &call->headers[i];
		if (!brf_message_add_header(m, h->name, strlen(h->name),
			h->value, strlen(h->value), NULL))
			return (false);
	}
	if (call->body_len != 0)
		brf_buf_add(&m->body, call->body, call->body_len);
	return (true);
}

struct brf_fetch *
brf_fetch_start(struct brf_http_loop *hl, const struct brf_fetch_call *call)
{
	struct brf_fetch *f = brf_calloc(1, sizeof(*f));
	struct brf_http_pool *pool = find_pool(hl, call->addr);
	struct brf_message *request = brf_message_new();

	f->hl = hl;
	f->chunk = call->chunk;
	f->done = call->done;
	f->arg = call->arg;
	f->timeout_us = call->timeout_us;
	f->timer = (struct brf_timer){ .fire = on_timeout, .arg = f };
	brf_http_task_init(&f->task, report_task);
	f->call.done = call_done;
	f->call.host = call->host;
	f->call.fresh = call->fresh;
	f->call.chunk = call->chunk != NULL ? call_chunk : NULL;
	f->call.body_max = call->body_max != 0 ? call->body_max : BRF_BODY_MAX;
	f->peer = brf_http_pool_authority(pool);
	if (build_request(request, call)) {
		f->starting = true;
		if (f->timeout_us != 0)
			brf_timer_start(hl->timers, &f->timer, f->timeout_us);
		brf_http_call_start(&f->call, pool, request, NULL, 0);
		f->starting = false;
	} else {
		f->code = BRF_E_HEADERS;
		brf_http_task_post(hl, &f->task);
	}
	brf_message_unref(request);
	return (f);
}

void
brf_fetch_cancel(struct brf_fetch *f)
{
	f->cancelled = true;
	if (!brf_list_empty(&f->task.link)) {
		brf_http_task_cancel(&f->task);
		free(f);
		return;
	}
	brf_http_call_cancel(&f->call);
}

uint64_t
brf_fetch_opened_at(const struct brf_fetch *f)
{
	return (f->call.opened_at);
}
