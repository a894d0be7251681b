#include <math.h>
#include <stdlib.h>

#include "load.h"

#define STATUS_GOOD_FIRST 200
#define STATUS_GOOD_LAST 299
#define STATUS_TOO_MANY 429
#define STATUS_SERVER_FIRST 500

static const char *const end_names[] = {
	[LOAD_ANSWER] = "no_reason",
	[LOAD_TIMEOUT] = "client_timeout",
	[LOAD_NO_CONNECTION] = "client_no_connection",
	[LOAD_LOST] = "client_connection_lost",
	[LOAD_TORN] = "client_torn_answer",
	[LOAD_UNFINISHED] = "client_unfinished",
};

uint64_t
load_now(void)
{
	return (brf_now(brf_clock_system()));
}

static void
count(struct load_counts *counts, const char *name)
{
	struct load_count *item;
	size_t i;

	for (i = 0; i < counts->count; i++) {
		item = &counts->items[i];
		if (strcmp(item->name, name) == 0) {
			item->value++;
			return;
		}
	}
	if (counts->count == LOAD_REASONS_MAX)
		return;
	item = &counts->items[counts->count++];
	brf_copy_name(item->name, sizeof(item->name), name);
	item->value = 1;
}

static void
count_interval(const struct load *load, uint64_t *series, uint64_t at)
{
	size_t i;

	if (series == NULL)
		return;
	i = (at - load->start) / (load->set->report_ms * BRF_US_PER_MS);
	series[i < load->intervals ? i : load->intervals - 1]++;
}

static bool
is_good(enum load_end end, const struct load_answer *answer)
{
	return (end == LOAD_ANSWER && answer->status >= STATUS_GOOD_FIRST &&
		answer->status <= STATUS_GOOD_LAST);
}

static bool
is_worth_a_try(enum load_end end, const struct load_answer *answer)
{
	return (end != LOAD_ANSWER || answer->status == STATUS_TOO_MANY ||
		answer->status >= STATUS_SERVER_FIRST);
}

static void
finish(
    struct load_request *r, enum load_end end, const struct load_answer *answer)
{
	struct load_stream *s = r->stream;
	uint64_t now = load_now();
	const char *reason = end_names[end];
	char status[8] = "none";

	if (end == LOAD_ANSWER) {
		snprintf(status, sizeof(status), "%d", answer->status);
		if (answer->reason[0] != '\0')
			reason = answer->reason;
	}
	count(&s->statuses, status);
	count(&s->reasons, reason);
	count(&s->outcomes, end == LOAD_ANSWER && answer->outcome[0] != '\0'
				? answer->outcome
				: "none");
	if (is_good(end, answer)) {
		s->good++;
		load_quantiles_add(&s->latency, now - r->intended);
		count_interval(s->load, s->series_good, now);
	}
	s->load->open--;
	free(r);
}

static void
begin_try(struct load_request *r)
{
	struct load_stream *s = r->stream;

	r->pausing = false;
	brf_list_remove(&r->link);
	r->tries++;
	s->tries++;
	brf_timer_start(
	    s->load->timers, &r->timer, s->set->timeout_ms * BRF_US_PER_MS);
	load_conn_assign(s->load, r);
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	struct load_request *r = arg;

	(void)timer;
	if (r->pausing) {
		begin_try(r);
		return;
	}
	load_conn_abandon(r->stream->load, r);
	load_request_end(r, LOAD_TIMEOUT, NULL);
}

void
load_request_end(
    struct load_request *r, enum load_end end, const struct load_answer *answer)
{
	struct load_stream *s = r->stream;
	uint64_t pause = 0;

	brf_timer_stop(s->load->timers, &r->timer);
	if (end == LOAD_ANSWER) {
		s->attempts += answer->attempts;
		if (answer->attempts > s->attempts_most)
			s->attempts_most = answer->attempts;
		pause = answer->retry_after_s * BRF_US_PER_S;
	}
	if (s->load->stopping || end == LOAD_UNFINISHED ||
	    r->tries >= s->set->tries || !is_worth_a_try(end, answer)) {
		finish(r, end, answer);
		return;
	}
	/* Not from here: what ended the try may still be at work. */
	r->pausing = true;
	brf_list_append(&s->load->pausing, &r->link);
	brf_timer_start(s->load->timers, &r->timer, s->set->polite ? pause : 0);
}

static void
begin_request(struct load_stream *s, uint64_t now)
{
	struct load_request *r;
	uint64_t intended = (uint64_t)s->next;

	s->offered++;
	count_interval(s->load, s->series_offered, intended);
	load_quantiles_add(&s->load->late, now - intended);
	if (s->load->open >= LOAD_OPEN_MAX) {
		s->overflow++;
		return;
	}
	s->load->open++;
	r = brf_calloc(1, sizeof(*r));
	r->stream = s;
	r->intended = intended;
	r->timer.fire = on_timer;
	r->timer.arg = r;
	brf_list_init(&r->link);
	begin_try(r);
}

static double
gap(struct load_stream *s)
{
	double mean = (double)BRF_US_PER_S / s->set->rate;

	if (s->set->fixed)
		return (mean);
	return (-mean * log1p(-brf_random_unit(&s->random.random)));
}

static void
begin_due(struct load_stream *s)
{
	uint64_t now = load_now();

	while (s->next <= (double)now && s->next < s->end) {
		begin_request(s, now);
		s->next += gap(s);
	}
}

uint64_t
load_streams_begin(struct load *load)
{
	uint64_t next = UINT64_MAX;
	struct load_stream *s;
	size_t i;

	for (i = 0; i < load->set->stream_count; i++) {
		s = &load->streams[i];
		begin_due(s);
		if (s->next < s->end && (uint64_t)s->next < next)
			next = (uint64_t)s->next;
	}
	return (next);
}

static void
make_text(struct load_stream *s)
{
	const struct load_stream_set *set = s->set;
	struct brf_buf *b = &s->text;
	uint32_t i;

	brf_buf_printf(b,
	    "%s %s HTTP/1.1\r\nhost: %s\r\n" BRF_H_TIMEOUT ": %u\r\n",
	    set->method, set->path, set->service, set->timeout_ms);
	if (set->token[0] != '\0')
		brf_buf_printf(b, BRF_H_WORKSPACE ": %s\r\n", set->token);
	if (set->priority != LOAD_NO_PRIORITY)
		brf_buf_printf(b, BRF_H_PRIORITY ": %u\r\n", set->priority);
	if (set->body_bytes != 0 || strcmp(set->method, "GET") != 0)
		brf_buf_printf(b, "content-length: %u\r\n", set->body_bytes);
	brf_buf_puts(b, "\r\n");
	for (i = 0; i < set->body_bytes; i++)
		brf_buf_putc(b, 'x');
}

static void
init_stream(struct load *load, size_t i)
{
	struct load_stream *s = &load->streams[i];

	s->set = &load->set->streams[i];
	s->load = load;
	brf_random_seeded_init(&s->random, load->set->seed * 1000003 + i);
	s->next = (double)load->start +
		  (double)s->set->start_ms * (double)BRF_US_PER_MS;
	s->end = s->next + s->set->seconds * (double)BRF_US_PER_S;
	s->next += gap(s);
	make_text(s);
	if (load->intervals == 0)
		return;
	s->series_offered = brf_calloc(load->intervals, sizeof(uint64_t));
	s->series_good = brf_calloc(load->intervals, sizeof(uint64_t));
}

void
load_streams_init(struct load *load)
{
	size_t i;

	load->streams =
	    brf_calloc(load->set->stream_count, sizeof(*load->streams));
	for (i = 0; i < load->set->stream_count; i++)
		init_stream(load, i);
}

void
load_streams_free(struct load *load)
{
	size_t i;

	for (i = 0; i < load->set->stream_count; i++) {
		brf_buf_free(&load->streams[i].text);
		free(load->streams[i].series_offered);
		free(load->streams[i].series_good);
	}
	free(load->streams);
}
