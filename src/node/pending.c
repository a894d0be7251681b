#include <ctype.h>
#include <stdlib.h>

#include "node/pending.h"

#define MS_PER_S 1000u
#define EXTRA_MAX 6

/**
 * struct pending - an HTTP request that waits for its call.
 */
struct pending {
	struct brf_http_request *http;
	struct brf_call *call;
};

static void
add_header(
    struct brf_header *extra, size_t *n, const char *name, const char *value)
{
	extra[*n].name = name;
	extra[*n].value = value;
	(*n)++;
}

static struct brf_message *
refusal_message(
    enum brf_outcome outcome, enum brf_reason reason, uint32_t retry_after_ms)
{
	struct brf_message *m = brf_message_new();

	m->status = brf_reason_status(reason);
	brf_message_add_header(
	    m, "content-type", 12, "application/json", 16, NULL);
	brf_buf_printf(&m->body,
	    "{\"outcome\":\"%s\",\"reason\":\"%s\",\"retry_after_ms\":%u}\n",
	    brf_outcome_name(outcome), brf_reason_name(reason), retry_after_ms);
	return (m);
}

static void
answer(struct brf_http_request *http, const struct brf_call_result *result,
    const char *root)
{
	struct brf_header extra[EXTRA_MAX];
	char seconds[16], ms[16], attempts[16];
	struct brf_message *m = result->answer;
	size_t n = 0;

	snprintf(attempts, sizeof(attempts), "%u", result->attempts);
	add_header(extra, &n, BRF_H_OUTCOME, brf_outcome_name(result->outcome));
	add_header(extra, &n, BRF_H_REASON, brf_reason_name(result->reason));
	add_header(extra, &n, BRF_H_ATTEMPTS, attempts);
	if (root != NULL)
		add_header(extra, &n, BRF_H_ID, root);
	if (result->retry_after_ms != 0) {
		snprintf(ms, sizeof(ms), "%u", result->retry_after_ms);
		snprintf(seconds, sizeof(seconds), "%u",
		    (result->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		add_header(extra, &n, BRF_H_RETRY_AFTER_MS, ms);
		add_header(extra, &n, "retry-after", seconds);
	}
	if (result->outcome == BRF_ANSWERED) {
		brf_http_respond(http, m, extra, n);
		return;
	}
	m = refusal_message(
	    result->outcome, result->reason, result->retry_after_ms);
	brf_http_respond(http, m, extra, n);
	brf_message_unref(m);
}

static void
call_done(void *arg, const struct brf_call_result *result)
{
	struct pending *p = arg;
	char root[BRF_ID_TEXT];

	brf_id_format(result->root, root);
	answer(p->http, result, root);
	free(p);
}

/* Reads a decimal number; a value above @max becomes @max. */
static bool
read_number(const char *text, uint64_t max, uint64_t *out)
{
	*out = 0;
	if (*text == '\0')
		return (false);
	for (; *text != '\0'; text++) {
		if (!isdigit((unsigned char)*text))
			return (false);
		*out = *out * 10 + (uint64_t)(*text - '0');
		if (*out > max)
			*out = max;
	}
	return (true);
}

/* Reads timeout and class; false if a field is present and not a number. */
static bool
read_fields(const struct brf_message *m, struct brf_call_request *rq)
{
	const char *timeout = brf_message_header(m, BRF_H_TIMEOUT);
	const char *priority = brf_message_header(m, BRF_H_PRIORITY);
	uint64_t ms = BRF_TIMEOUT_DEFAULT_MS, cls = 0;

	if (timeout != NULL && !read_number(timeout, BRF_TIMEOUT_MAX_MS, &ms))
		return (false);
	if (priority != NULL && !read_number(priority, BRF_CLASSES - 1, &cls))
		return (false);
	rq->timeout_us = ms * BRF_US_PER_MS;
	rq->cls = (uint32_t)cls;
	return (true);
}

void
brf_pending_start(struct brf_call_context *ctx, struct brf_http_request *http,
    struct brf_call_request *rq)
{
	struct brf_message *m = brf_http_request_message(http);
	struct brf_call *call;
	struct pending *p;

	if (!read_fields(m, rq)) {
		brf_pending_refuse(http, BRF_R_MALFORMED);
		return;
	}
	brf_message_strip(m, "brf-");
	p = brf_calloc(1, sizeof(*p));
	p->http = http;
	brf_http_request_set_data(http, p);
	rq->request = m;
	rq->done = call_done;
	rq->arg = p;
	call = brf_call_start(ctx, rq);
	if (call != NULL)
		p->call = call;
}

void
brf_pending_disconnected(struct brf_http_request *http)
{
	struct pending *p = brf_http_request_data(http);

	if (p == NULL)
		return;
	brf_call_abandon(p->call);
	free(p);
}

void
brf_pending_refuse(struct brf_http_request *http, enum brf_reason reason)
{
	struct brf_call_result result = { .outcome = BRF_NOT_RUN,
		.reason = reason };

	answer(http, &result, NULL);
}

bool
brf_pending_parse_service(
    const struct brf_http_request *http, char out[BRF_NAME_MAX + 1])
{
	const char *host = brf_http_request_host(http);
	size_t i;

	for (i = 0; host[i] != '\0' && host[i] != '.'; i++) {
		if (i == BRF_NAME_MAX || (!isalnum((unsigned char)host[i]) &&
					     host[i] != '-' && host[i] != '_'))
			return (false);
		out[i] = (char)tolower((unsigned char)host[i]);
	}
	out[i] = '\0';
	return (i != 0);
}
