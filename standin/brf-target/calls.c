#include <arpa/inet.h>
#include <stdlib.h>

#include "target.h"

/**
 * struct child - one outgoing call.
 * @service: called through the node; NULL for a direct call
 * @tries: attempts that are left
 */
struct child {
	struct work *work;
	struct brf_list link;
	struct brf_fetch *fetch;
	const char *service;
	uint32_t tries;
};

static void try_call(struct child *child);

static void
child_done(struct child *child, bool ok)
{
	struct work *w = child->work;
	struct target *t = w->target;

	if (!ok) {
		t->stats.calls_failed++;
		w->call_failed = true;
	}
	brf_list_remove(&child->link);
	free(child);
	if (brf_list_empty(&w->children))
		work_calls_done(w);
}

static void
fetched(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer)
{
	struct child *child = arg;
	bool ok = err == NULL && answer->status < 500;

	child->fetch = NULL;
	if (!ok && --child->tries > 0)
		try_call(child);
	else
		child_done(child, ok);
}

/* Ties the call to the request, and lets tests follow it down the chain. */
static size_t
copy_fields(const struct brf_message *m, struct brf_header *out)
{
	static const char *const names[] = { BRF_H_REQUEST, "x-request-tag" };
	size_t i, n = 0;

	for (i = 0; i < brf_nitems(names); i++) {
		out[n].name = names[i];
		out[n].value = brf_message_header(m, names[i]);
		if (out[n].value != NULL)
			n++;
	}
	return (n);
}

static void
try_call(struct child *child)
{
	struct target *t = child->work->target;
	struct brf_message *m = brf_http_request_message(child->work->request);
	struct sockaddr_in node = {
		.sin_family = AF_INET,
		.sin_port = htons(t->set.node_port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct brf_header fields[2];
	struct brf_fetch_call call = {
		.addr = (const struct sockaddr *)&node,
		.method = "GET",
		.path = m->path,
		.host = child->service,
		.headers = fields,
		.header_count = copy_fields(m, fields),
		.timeout_us = t->set.call_timeout_us,
		.done = fetched,
		.arg = child,
	};

	if (child->service == NULL)
		call.addr =
		    (const struct sockaddr *)&t->set.direct[brf_random_below(
			&t->random.random, t->set.direct_count)];
	t->stats.calls++;
	child->fetch = brf_fetch_start(t->http, &call);
}

static void
add_child(struct work *w, const char *service, uint32_t tries)
{
	struct child *child = brf_calloc(1, sizeof(*child));

	child->work = w;
	child->service = service;
	child->tries = tries;
	brf_list_append(&w->children, &child->link);
	try_call(child); /* ends later, never in it */
}

void
calls_start(struct work *w)
{
	const struct settings *set = &w->target->set;
	size_t i;

	for (i = 0; i < set->call_count; i++)
		add_child(w, set->calls[i], 1);
	if (set->direct_count != 0)
		add_child(w, NULL, set->tries);
	if (brf_list_empty(&w->children))
		work_calls_done(w);
}

void
calls_cancel(struct work *w)
{
	struct brf_list *l, *next;
	struct child *child;

	brf_list_foreach_safe (l, next, &w->children) {
		child = brf_list_entry(l, struct child, link);
		if (child->fetch != NULL)
			brf_fetch_cancel(child->fetch);
		free(child);
	}
	brf_list_init(&w->children);
}
