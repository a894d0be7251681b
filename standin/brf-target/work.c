#include <math.h>
#include <stdlib.h>

#include "target.h"

#define COLD_SLOWDOWN 9.0 /* service just after the start takes 1 + this */

static uint64_t
now(const struct target *t)
{
	return (brf_now(brf_timers_clock(t->timers)));
}

/* Falls from 1 + COLD_SLOWDOWN to 1 in the time of the cold start. */
static double
cold_factor(const struct target *t)
{
	uint64_t age = now(t) - t->started_at;

	if (age >= t->set.cold_us)
		return (1.0);
	return (1.0 + COLD_SLOWDOWN * (double)(t->set.cold_us - age) /
			  (double)t->set.cold_us);
}

static uint64_t
draw_service_us(struct target *t)
{
	double us = (double)t->set.service_us * cold_factor(t);

	if (t->set.exponential)
		us *= -log(1.0 - brf_random_unit(&t->random.random));
	return ((uint64_t)us);
}

/* The tag by which tests ask how often a request was run. */
static const char *
request_tag(const struct brf_message *m)
{
	const char *tag = brf_message_header(m, "x-request-tag");

	if (tag == NULL)
		tag = brf_message_header(m, BRF_H_IDEMPOTENCY_KEY);
	if (tag == NULL)
		tag = brf_message_header(m, BRF_H_REQUEST);
	return (tag);
}

static size_t
answer_bytes(const struct brf_message *m)
{
	const char *at = strstr(m->path, "?bytes=");
	unsigned long n;

	if (at == NULL)
		return (0);
	n = strtoul(at + strlen("?bytes="), NULL, 10);
	return (n < BRF_BODY_MAX ? n : BRF_BODY_MAX);
}

static void
add_body(struct brf_message *answer, const struct brf_message *asked)
{
	size_t i, n = answer_bytes(asked);

	if (n == 0 && asked->body.len != 0)
		brf_buf_add(&answer->body, asked->body.data, asked->body.len);
	brf_buf_reserve(&answer->body, n);
	for (i = 0; i < n; i++)
		brf_buf_putc(&answer->body, (char)('a' + i % 26));
}

static void
answer(struct target *t, struct brf_http_request *request, int status)
{
	struct brf_message *m = brf_message_new();
	char port[8];
	struct brf_header extra = { .name = "x-target", .value = port };

	snprintf(port, sizeof(port), "%u", t->port);
	m->status = status;
	if (status == 200)
		add_body(m, brf_http_request_message(request));
	brf_http_respond(request, m, &extra, 1);
	brf_message_unref(m);
}

static void
leave_slot(struct target *t)
{
	t->load.in_flight--;
}

static void start_waiting(struct target *t);

static void
finish(struct work *w, int status)
{
	struct target *t = w->target;

	leave_slot(t);
	t->stats.finished++;
	answer(t, w->request, status);
	free(w);
	start_waiting(t);
	target_check_idle(t);
}

void
work_calls_done(struct work *w)
{
	finish(w, w->call_failed ? 502 : 200);
}

static void
service_over(struct brf_timer *timer, void *arg)
{
	struct work *w = arg;
	struct target *t = w->target;

	if (brf_random_unit(&t->random.random) < t->set.fail_ratio) {
		t->stats.failed++;
		finish(w, 500);
		return;
	}
	w->state = WORK_CALLING;
	calls_start(w);
}

static void
start(struct work *w)
{
	struct target *t = w->target;
	const char *tag = request_tag(brf_http_request_message(w->request));

	t->load.in_flight++;
	if (t->load.in_flight > t->stats.max_in_flight)
		t->stats.max_in_flight = t->load.in_flight;
	t->stats.started++;
	if (tag != NULL)
		++*runs_count(t->runs, tag);
	w->state = WORK_SERVING;
	brf_timer_start(t->timers, &w->timer, draw_service_us(t));
}

static void
start_waiting(struct target *t)
{
	struct work *w;

	while (
	    t->load.in_flight < t->set.slots && !brf_list_empty(&t->waiting)) {
		w = brf_list_entry(t->waiting.next, struct work, link);
		brf_list_remove(&w->link);
		t->load.waiting--;
		start(w);
	}
}

void
work_handle(struct target *t, struct brf_http_request *request)
{
	struct work *w;

	if (t->set.shed && t->load.in_flight >= t->set.slots) {
		t->stats.shed++;
		answer(t, request, 503);
		return;
	}
	w = brf_calloc(1, sizeof(*w));
	w->target = t;
	w->request = request;
	w->timer = (struct brf_timer){ .fire = service_over, .arg = w };
	brf_list_init(&w->link);
	brf_list_init(&w->children);
	brf_http_request_set_data(request, w);
	if (t->load.in_flight < t->set.slots) {
		start(w);
		return;
	}
	brf_list_append(&t->waiting, &w->link);
	t->load.waiting++;
}

/* The caller closed its connection: free the slot, drop the calls. */
void
work_gone(struct work *w)
{
	struct target *t = w->target;

	t->stats.cancelled++;
	if (w->state == WORK_WAITING) {
		brf_list_remove(&w->link);
		t->load.waiting--;
	} else {
		brf_timer_stop(t->timers, &w->timer);
		calls_cancel(w);
		leave_slot(t);
	}
	free(w);
	start_waiting(t);
	target_check_idle(t);
}
