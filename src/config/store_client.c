#include <stdlib.h>

#include "base/list.h"
#include "config/store_client.h"
#include "config/store_codec.h"
#include "http/fetch.h"

#define QUEUE_MAX_CALLS 64u
#define RESPONSE_MAX 67108864u	/* bytes: all documents at their largest */
#define WATCH_LINE_MAX 4194304u /* bytes */
/* No timeout, since a watch may be idle for long.  config/sync.h detects a dead
 * one. */
#define WATCH_TIMEOUT_US 0u

/**
 * struct job - a queued or open call or watch.
 * @call: NULL for a watch
 * @watch: NULL for a call
 * @sent_request: copy of the call's request, for decoding; its pointers are
 *	stale
 * @fetch: NULL while the job is queued
 * @partial_line: bytes received of a watch's current line
 * @refused: the queue was full
 * @in_callback: the watch's event callback is running
 * @stopped: the watch was stopped from its own event callback
 */
struct job {
	struct brf_list link;
	struct client *client;
	struct brf_store_call *call;
	struct brf_store_watch *watch;
	struct brf_store_request sent_request;
	const char *path;
	struct brf_buf body;
	struct brf_fetch *fetch;
	struct brf_buf partial_line;
	bool refused;
	bool in_callback;
	bool stopped;
};

/**
 * struct client - state of the HTTP client.
 * @waiting: queued jobs
 * @refused: jobs that found the queue full and await their callback
 * @open: jobs that were sent
 * @addr: index of the current address
 * @tokens: calls that may be sent now
 * @refilled_at: time of the last refill of @tokens, microseconds
 * @dispatch: sends queued jobs as tokens become available
 */
struct client {
	struct brf_store store;
	struct brf_store_state state;
	struct brf_store_client_config config;
	struct brf_list waiting;
	struct brf_list refused;
	struct brf_list open;
	size_t waiting_count;
	size_t addr;
	double tokens;
	uint64_t refilled_at;
	struct brf_timer dispatch;
	struct brf_metric *calls;
	struct brf_metric *failures;
};

static struct client *
to_client(struct brf_store *store)
{
	return (brf_container_of(store, struct client, store));
}

static void
free_job(struct job *job)
{
	brf_list_remove(&job->link);
	brf_buf_free(&job->body);
	brf_buf_free(&job->partial_line);
	free(job);
}

static void
end_call(struct job *job, struct brf_store_response *response)
{
	struct brf_store_call *call = job->call;

	if (response->outcome != BRF_STORE_DONE)
		job->client->failures->value++;
	free_job(job);
	call->impl = NULL;
	call->done(call, response);
	brf_store_response_free(response);
}

static void
use_next_address(struct client *c)
{
	c->addr = (c->addr + 1) % c->config.addr_count;
}

static void
call_done(
    void *arg, const struct brf_error *err, const struct brf_fetch_answer *got)
{
	struct brf_store_response response = { .outcome = BRF_STORE_UNKNOWN };
	struct job *job = arg;

	if (err != NULL) {
		response.err = *err;
		if (err->code == BRF_E_CONNECT)
			response.outcome = BRF_STORE_REFUSED;
	} else {
		brf_store_decode(&job->sent_request, got->status, got->body,
		    got->body_len, &response);
	}
	if (response.outcome == BRF_STORE_UNKNOWN ||
	    response.err.code == BRF_E_CONNECT)
		use_next_address(job->client);
	end_call(job, &response);
}

static void
end_watch(struct job *job, const struct brf_error *err)
{
	struct brf_store_watch *watch = job->watch;

	job->client->failures->value++;
	free_job(job);
	watch->impl = NULL;
	watch->ended(watch, err);
}

static void
watch_done(
    void *arg, const struct brf_error *err, const struct brf_fetch_answer *got)
{
	struct brf_error closed = { .code = BRF_OK };

	brf_error_set(
	    &closed, BRF_E_STORE, 0, "the watch ended, status %d", got->status);
	end_watch(arg, err != NULL ? err : &closed);
}

/* Return: false when the job has been freed. */
static bool
handle_line(struct job *job, const char *line, size_t len)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_store_event event;

	if (!brf_store_watch_decode(line, len, &event, &err)) {
		brf_fetch_cancel(job->fetch);
		end_watch(job, &err);
		return (false);
	}
	job->in_callback = true;
	job->watch->event(job->watch, &event);
	job->in_callback = false;
	brf_store_event_free(&event);
	if (!job->stopped)
		return (true);
	free_job(job);
	return (false);
}

static void
watch_chunk(void *arg, int status, const char *data, size_t len)
{
	struct job *job = arg;
	struct brf_error err = { .code = BRF_OK };
	char *end;
	size_t n;

	brf_buf_add(&job->partial_line, data, len);
	while ((end = memchr(job->partial_line.data, '\n',
		    job->partial_line.len)) != NULL) {
		n = (size_t)(end - job->partial_line.data);
		if (!handle_line(job, job->partial_line.data, n))
			return;
		brf_buf_consume(&job->partial_line, n + 1);
	}
	if (job->partial_line.len <= WATCH_LINE_MAX)
		return;
	brf_error_set(&err, BRF_E_TOO_LARGE, 0,
	    "line of a watch stream, status %d", status);
	brf_fetch_cancel(job->fetch);
	end_watch(job, &err);
}

static void
send_job(struct job *job)
{
	static const struct brf_header type = { "content-type",
		"application/json" };
	struct client *c = job->client;
	struct brf_fetch_call call = {
		.addr = (struct sockaddr *)&c->config.addrs[c->addr],
		.method = "POST",
		.path = job->path,
		.headers = &type,
		.header_count = 1,
		.body = job->body.data,
		.body_len = job->body.len,
		.timeout_us = c->config.timeout_us,
		.body_max = RESPONSE_MAX,
		.done = call_done,
		.arg = job,
	};

	if (job->watch != NULL) {
		call.timeout_us = WATCH_TIMEOUT_US;
		call.chunk = watch_chunk;
		call.done = watch_done;
	}
	brf_list_remove(&job->link);
	brf_list_append(&c->open, &job->link);
	c->calls->value++;
	job->fetch = brf_fetch_start(c->config.http, &call);
	brf_buf_free(&job->body);
}

static void
refill_tokens(struct client *c)
{
	uint64_t now = brf_now(brf_timers_clock(c->config.timers));

	c->tokens += (double)(now - c->refilled_at) * c->config.calls_per_s /
		     (double)BRF_US_PER_S;
	c->refilled_at = now;
	if (c->tokens > c->config.burst)
		c->tokens = c->config.burst;
}

static void
end_refused(struct job *job)
{
	struct brf_store_response response = { .outcome = BRF_STORE_REFUSED };

	brf_error_set(&response.err, BRF_E_LIMIT, 0,
	    "the queue of %u calls to the store is full", QUEUE_MAX_CALLS);
	if (job->call != NULL)
		end_call(job, &response);
	else
		end_watch(job, &response.err);
}

/* Callbacks are called from here or from HTTP completions, never from within
 * brf_store_start(). */
static void
dispatch(struct brf_timer *timer, void *arg)
{
	struct client *c = arg;
	double missing_tokens;

	if (!brf_list_empty(&c->refused)) {
		brf_timer_start(c->config.timers, timer, 0);
		end_refused(brf_list_entry(c->refused.next, struct job, link));
		return;
	}
	refill_tokens(c);
	while (!brf_list_empty(&c->waiting) && c->tokens >= 1.0) {
		c->tokens -= 1.0;
		c->waiting_count--;
		send_job(brf_list_entry(c->waiting.next, struct job, link));
	}
	if (brf_list_empty(&c->waiting))
		return;
	missing_tokens = (1.0 - c->tokens) / c->config.calls_per_s;
	brf_timer_start(c->config.timers, timer,
	    (uint64_t)(missing_tokens * (double)BRF_US_PER_S) + 1);
}

static struct job *
add_job(struct client *c)
{
	struct job *job = brf_calloc(1, sizeof(*job));

	job->client = c;
	job->refused = c->waiting_count == QUEUE_MAX_CALLS;
	if (job->refused) {
		brf_list_append(&c->refused, &job->link);
	} else {
		brf_list_append(&c->waiting, &job->link);
		c->waiting_count++;
	}
	if (!brf_timer_active(&c->dispatch) || job->refused)
		brf_timer_start(c->config.timers, &c->dispatch, 0);
	return (job);
}

static void
cancel_job(struct job *job)
{
	if (job->fetch != NULL)
		brf_fetch_cancel(job->fetch);
	else if (!job->refused)
		job->client->waiting_count--;
	brf_list_remove(&job->link);
	if (job->in_callback)
		job->stopped = true;
	else
		free_job(job);
}

static void
client_start(struct brf_store *store, struct brf_store_call *call)
{
	struct job *job = add_job(to_client(store));

	job->call = call;
	job->sent_request = call->request;
	job->path = brf_store_encode(&call->request, &job->body);
	call->impl = job;
}

static void
client_cancel(struct brf_store *store, struct brf_store_call *call)
{
	if (call->impl != NULL)
		cancel_job(call->impl);
	call->impl = NULL;
}

static void
client_watch_start(struct brf_store *store, struct brf_store_watch *watch)
{
	struct job *job = add_job(to_client(store));

	job->watch = watch;
	job->path = BRF_STORE_WATCH_PATH;
	brf_store_watch_encode(watch, &job->body);
	watch->impl = job;
}

static void
client_watch_stop(struct brf_store *store, struct brf_store_watch *watch)
{
	if (watch->impl != NULL)
		cancel_job(watch->impl);
	watch->impl = NULL;
}

static const struct brf_store_vt client_vt = {
	.start = client_start,
	.cancel = client_cancel,
	.watch_start = client_watch_start,
	.watch_stop = client_watch_stop,
};

struct brf_store *
brf_store_client_new(const struct brf_store_client_config *config)
{
	struct client *c = brf_calloc(1, sizeof(*c));

	brf_store_init(&c->store, &client_vt, &c->state);
	c->config = *config;
	c->tokens = config->burst;
	c->refilled_at = brf_now(brf_timers_clock(config->timers));
	c->dispatch = (struct brf_timer){ .fire = dispatch, .arg = c };
	brf_list_init(&c->waiting);
	brf_list_init(&c->refused);
	brf_list_init(&c->open);
	c->calls = brf_metrics_counter(config->metrics, "brf_store_calls_total",
	    "Calls sent to the store.", "");
	c->failures =
	    brf_metrics_counter(config->metrics, "brf_store_failures_total",
		"Calls to the store that did not end as wanted.", "");
	return (&c->store);
}

void
brf_store_client_free(struct brf_store *store)
{
	struct client *c;
	struct brf_list *l, *tmp;

	if (store == NULL)
		return;
	c = to_client(store);
	brf_timer_stop(c->config.timers, &c->dispatch);
	brf_list_foreach_safe (l, tmp, &c->waiting)
		cancel_job(brf_list_entry(l, struct job, link));
	brf_list_foreach_safe (l, tmp, &c->refused)
		cancel_job(brf_list_entry(l, struct job, link));
	brf_list_foreach_safe (l, tmp, &c->open)
		cancel_job(brf_list_entry(l, struct job, link));
	free(c);
}
