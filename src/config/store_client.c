#include <stdlib.h>

#include "base/list.h"
#include "config/store_client.h"
#include "config/store_codec.h"
#include "http/fetch.h"

#define LINE_MAX_CALLS 64u
#define ANSWER_MAX 67108864u /* bytes: all documents at their largest */
#define WATCH_LINE_MAX 4194304u
/* A watch may be silent for long; config/sync.h finds out if it is dead. */
#define WATCH_SILENCE_US 0u

/**
 * struct job - a call or a watch on its way.
 * @call: NULL for a watch
 * @watch: NULL for a call
 * @fetch: NULL while it waits in line
 * @line: what came of a watch and did not end yet
 * @refused: there were too many in line
 * @reading: the watch's callback is running
 * @stopped: the watch was stopped from its own callback
 */
struct job {
	struct brf_list link;
	struct client *client;
	struct brf_store_call *call;
	struct brf_store_watch *watch;
	struct brf_store_request kind;
	const char *path;
	struct brf_buf body;
	struct brf_fetch *fetch;
	struct brf_buf line;
	bool refused;
	bool reading;
	bool stopped;
};

struct client {
	struct brf_store store;
	struct brf_store_client_config config;
	struct brf_list waiting;
	struct brf_list refused;
	struct brf_list open;
	size_t waiting_count;
	size_t addr;
	double tokens;
	uint64_t filled;
	struct brf_timer pump;
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
	brf_buf_free(&job->line);
	free(job);
}

static void
end_call(struct job *job, struct brf_store_response *answer)
{
	struct brf_store_call *call = job->call;

	if (answer->outcome != BRF_STORE_DONE)
		job->client->failures->value++;
	free_job(job);
	call->impl = NULL;
	call->done(call, answer);
	brf_store_response_free(answer);
}

static void
take_next_address(struct client *c)
{
	c->addr = (c->addr + 1) % c->config.addr_count;
}

static void
call_done(
    void *arg, const struct brf_error *err, const struct brf_fetch_answer *got)
{
	struct brf_store_response answer = { .outcome = BRF_STORE_UNKNOWN };
	struct job *job = arg;

	if (err != NULL) {
		answer.err = *err;
		if (err->code == BRF_E_CONNECT)
			answer.outcome = BRF_STORE_REFUSED;
	} else {
		brf_store_decode(
		    &job->kind, got->status, got->body, got->body_len, &answer);
	}
	if (answer.outcome == BRF_STORE_UNKNOWN ||
	    answer.err.code == BRF_E_CONNECT)
		take_next_address(job->client);
	end_call(job, &answer);
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

/* Return: false when the job is gone. */
static bool
take_line(struct job *job, const char *line, size_t len)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_store_event event;

	if (!brf_store_watch_decode(line, len, &event, &err)) {
		brf_fetch_cancel(job->fetch);
		end_watch(job, &err);
		return (false);
	}
	job->reading = true;
	job->watch->event(job->watch, &event);
	job->reading = false;
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

	brf_buf_add(&job->line, data, len);
	while ((end = memchr(job->line.data, '\n', job->line.len)) != NULL) {
		n = (size_t)(end - job->line.data);
		if (!take_line(job, job->line.data, n))
			return;
		brf_buf_consume(&job->line, n + 1);
	}
	if (job->line.len <= WATCH_LINE_MAX)
		return;
	brf_error_set(
	    &err, BRF_E_TOO_LARGE, 0, "line of a watch, status %d", status);
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
		.body_max = ANSWER_MAX,
		.done = call_done,
		.arg = job,
	};

	if (job->watch != NULL) {
		call.timeout_us = WATCH_SILENCE_US;
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
fill_tokens(struct client *c)
{
	uint64_t now = brf_now(brf_timers_clock(c->config.timers));

	c->tokens += (double)(now - c->filled) * c->config.calls_per_s /
		     (double)BRF_US_PER_S;
	c->filled = now;
	if (c->tokens > c->config.burst)
		c->tokens = c->config.burst;
}

static void
refuse(struct job *job)
{
	struct brf_store_response answer = { .outcome = BRF_STORE_REFUSED };

	brf_error_set(&answer.err, BRF_E_LIMIT, 0,
	    "%u calls to the store wait already", LINE_MAX_CALLS);
	if (job->call != NULL)
		end_call(job, &answer);
	else
		end_watch(job, &answer.err);
}

/* All callbacks come from here or from HTTP, never from within start. */
static void
pump(struct brf_timer *timer, void *arg)
{
	struct client *c = arg;
	double lacking;

	if (!brf_list_empty(&c->refused)) {
		brf_timer_start(c->config.timers, timer, 0);
		refuse(brf_list_entry(c->refused.next, struct job, link));
		return;
	}
	fill_tokens(c);
	while (!brf_list_empty(&c->waiting) && c->tokens >= 1.0) {
		c->tokens -= 1.0;
		c->waiting_count--;
		send_job(brf_list_entry(c->waiting.next, struct job, link));
	}
	if (brf_list_empty(&c->waiting))
		return;
	lacking = (1.0 - c->tokens) / c->config.calls_per_s;
	brf_timer_start(c->config.timers, timer,
	    (uint64_t)(lacking * (double)BRF_US_PER_S) + 1);
}

static struct job *
add_job(struct client *c)
{
	struct job *job = brf_calloc(1, sizeof(*job));

	job->client = c;
	job->refused = c->waiting_count == LINE_MAX_CALLS;
	if (job->refused) {
		brf_list_append(&c->refused, &job->link);
	} else {
		brf_list_append(&c->waiting, &job->link);
		c->waiting_count++;
	}
	if (!brf_timer_active(&c->pump) || job->refused)
		brf_timer_start(c->config.timers, &c->pump, 0);
	return (job);
}

static void
drop_job(struct job *job)
{
	if (job->fetch != NULL)
		brf_fetch_cancel(job->fetch);
	else if (!job->refused)
		job->client->waiting_count--;
	brf_list_remove(&job->link);
	if (job->reading)
		job->stopped = true;
	else
		free_job(job);
}

static void
client_start(struct brf_store *store, struct brf_store_call *call)
{
	struct job *job = add_job(to_client(store));

	job->call = call;
	job->kind = call->request;
	job->path = brf_store_encode(&call->request, &job->body);
	call->impl = job;
}

static void
client_cancel(struct brf_store *store, struct brf_store_call *call)
{
	if (call->impl != NULL)
		drop_job(call->impl);
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
		drop_job(watch->impl);
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

	c->store.vt = &client_vt;
	c->config = *config;
	c->tokens = config->burst;
	c->filled = brf_now(brf_timers_clock(config->timers));
	c->pump = (struct brf_timer){ .fire = pump, .arg = c };
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
	brf_timer_stop(c->config.timers, &c->pump);
	brf_list_foreach_safe (l, tmp, &c->waiting)
		drop_job(brf_list_entry(l, struct job, link));
	brf_list_foreach_safe (l, tmp, &c->refused)
		drop_job(brf_list_entry(l, struct job, link));
	brf_list_foreach_safe (l, tmp, &c->open)
		drop_job(brf_list_entry(l, struct job, link));
	free(c);
}
