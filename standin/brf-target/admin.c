#include <stdlib.h>

#include <jansson.h>

#include "target.h"

void
respond_text(struct brf_http_request *request, int status, const char *type,
    const char *text, size_t len)
{
	struct brf_message *m = brf_message_new();

	m->status = status;
	brf_message_add_header(m, "content-type", 12, type, strlen(type), NULL);
	brf_buf_add(&m->body, text, len);
	brf_http_respond(request, m, NULL, 0);
	brf_message_unref(m);
}

static void
respond_buf(struct brf_http_request *request, int status, struct brf_buf *b)
{
	respond_text(request, status, "application/json", b->data, b->len);
	brf_buf_free(b);
}

static const struct load *
shown(const struct target *t)
{
	return (t->set.lag_us != 0 ? &t->shown : &t->load);
}

static void
health(struct target *t, struct brf_http_request *request)
{
	bool well = t->set.lie || shown(t)->waiting <= t->set.slots;
	const char *text = well ? "{\"healthy\":true}" : "{\"healthy\":false}";

	respond_text(
	    request, well ? 200 : 503, "application/json", text, strlen(text));
}

static void
show_load(struct target *t, struct brf_http_request *request)
{
	struct brf_buf b = { .len = 0 };

	brf_buf_printf(&b, "{\"in_flight\":%u,\"waiting\":%u,\"slots\":%u}",
	    t->set.lie ? 0 : shown(t)->in_flight,
	    t->set.lie ? 0 : shown(t)->waiting, t->set.slots);
	respond_buf(request, 200, &b);
}

#define KEYS_BYTES_MAX (BRF_BODY_MAX / 2) /* of the tags that are listed */

struct run_list {
	struct brf_buf text;
	uint64_t left_out;
};

static void
put_run(void *arg, const char *tag, uint32_t count)
{
	struct run_list *list = arg;
	struct brf_buf *b = &list->text;

	if (b->len > KEYS_BYTES_MAX) {
		list->left_out++;
		return;
	}
	if (b->len != 0)
		brf_buf_putc(b, ',');
	brf_buf_putc(b, '"');
	brf_buf_put_json(b, tag, strlen(tag));
	brf_buf_printf(b, "\":%u", count);
}

static void
put_stats(const struct target *t, struct brf_buf *b)
{
	const struct stats *s = &t->stats;
	const struct {
		const char *name;
		uint64_t value;
	} numbers[] = { { "started", s->started }, { "finished", s->finished },
		{ "cancelled", s->cancelled }, { "shed", s->shed },
		{ "failed", s->failed }, { "calls", s->calls },
		{ "calls_failed", s->calls_failed },
		{ "in_flight", t->load.in_flight },
		{ "waiting", t->load.waiting },
		{ "max_in_flight", s->max_in_flight } };
	size_t i;

	for (i = 0; i < brf_nitems(numbers); i++)
		brf_buf_printf(b, "\"%s\":%llu,", numbers[i].name,
		    (unsigned long long)numbers[i].value);
}

static void
show_stats(struct target *t, struct brf_http_request *request)
{
	struct run_list list = { .left_out = 0 };
	struct brf_buf b = { .len = 0 };

	runs_each(t->runs, put_run, &list);
	brf_buf_putc(&b, '{');
	put_stats(t, &b);
	brf_buf_puts(&b, "\"runs_by_key\":{");
	if (list.text.len != 0)
		brf_buf_add(&b, list.text.data, list.text.len);
	brf_buf_printf(
	    &b, "},\"keys_left_out\":%llu}", (unsigned long long)list.left_out);
	brf_buf_free(&list.text);
	respond_buf(request, 200, &b);
}

static void
show_ran(struct target *t, struct brf_http_request *request)
{
	const char *path = brf_http_request_message(request)->path;
	const char *tag = strstr(path, "?tag=");
	struct brf_buf b = { .len = 0 };

	if (tag == NULL) {
		brf_buf_puts(&b, "{\"error\":\"tag missing\"}");
		respond_buf(request, 400, &b);
		return;
	}
	brf_buf_printf(
	    &b, "{\"count\":%u}", *runs_count(t->runs, tag + strlen("?tag=")));
	respond_buf(request, 200, &b);
}

static bool
apply_number(json_t *o, const char *name, double low, double high, double *out)
{
	json_t *v = json_object_get(o, name);

	if (v == NULL)
		return (true);
	if (!json_is_number(v) || json_number_value(v) < low ||
	    json_number_value(v) > high)
		return (false);
	*out = json_number_value(v);
	return (true);
}

static bool
apply_flag(json_t *o, const char *name, bool *out)
{
	json_t *v = json_object_get(o, name);

	if (v == NULL)
		return (true);
	if (!json_is_boolean(v))
		return (false);
	*out = json_is_true(v);
	return (true);
}

static bool
apply(struct settings *set, json_t *o)
{
	struct settings next = *set;
	double service_ms = (double)set->service_us / (double)BRF_US_PER_MS;
	double slots = set->slots;

	if (!json_is_object(o) ||
	    !apply_number(o, "service_ms", 0.0, 3600000.0, &service_ms) ||
	    !apply_number(o, "fail_ratio", 0.0, 1.0, &next.fail_ratio) ||
	    !apply_number(o, "slots", 1.0, 100000.0, &slots) ||
	    !apply_flag(o, "shed", &next.shed) ||
	    !apply_flag(o, "lie", &next.lie))
		return (false);
	next.service_us = (uint64_t)(service_ms * (double)BRF_US_PER_MS);
	next.slots = (uint32_t)slots;
	*set = next;
	return (true);
}

static void
control(struct target *t, struct brf_http_request *request)
{
	const struct brf_buf *body = &brf_http_request_message(request)->body;
	json_t *o =
	    body->len != 0 ? json_loadb(body->data, body->len, 0, NULL) : NULL;
	bool ok = apply(&t->set, o);
	const char *text = ok ? "{\"ok\":true}" : "{\"error\":\"invalid\"}";

	json_decref(o);
	respond_text(
	    request, ok ? 200 : 400, "application/json", text, strlen(text));
}

static const struct {
	const char *method;
	const char *path;
	void (*run)(struct target *t, struct brf_http_request *request);
} pages[] = {
	{ "GET", "/healthz", health },
	{ "GET", "/loadz", show_load },
	{ "GET", "/statz", show_stats },
	{ "GET", "/ran", show_ran },
	{ "POST", "/control", control },
};

bool
admin_handle(struct target *t, struct brf_http_request *request)
{
	const struct brf_message *m = brf_http_request_message(request);
	size_t i, len = strcspn(m->path, "?");

	for (i = 0; i < brf_nitems(pages); i++) {
		if (strlen(pages[i].path) == len &&
		    strncmp(m->path, pages[i].path, len) == 0 &&
		    strcmp(m->method, pages[i].method) == 0) {
			pages[i].run(t, request);
			return (true);
		}
	}
	return (false);
}
