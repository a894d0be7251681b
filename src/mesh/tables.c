#include <stdlib.h>

#include "base/log.h"
#include "mesh/tables.h"

/* Limits before the first table. */
static const struct brf_flow_limits default_limits = {
	.head_bytes = 16384,
	.body_bytes = 67108864,
	.head_timeout_us = 10 * BRF_US_PER_S,
	.idle_timeout_us = 30 * BRF_US_PER_S,
};

static struct brf_mesh_tables *
tables_of(struct brf_link_table_handler *news)
{
	return (brf_container_of(news, struct brf_mesh_tables, news));
}

static uint64_t
news_revision(struct brf_link_table_handler *news)
{
	const struct brf_mesh_tables *t = tables_of(news);

	return (t->current != NULL ? brf_table_revision(t->current) : 0);
}

static bool
news_text(struct brf_link_table_handler *news, const char **text, size_t *len)
{
	const struct brf_mesh_tables *t = tables_of(news);

	*text = t->text.data;
	*len = t->text.len;
	return (t->current != NULL);
}

static void
news_got(struct brf_link_table_handler *news, uint64_t revision,
    const char *text, size_t len)
{
	static const struct brf_table_source peer = { .kind = "peer",
		.relay = "" };

	(void)revision; /* also part of the text */
	brf_mesh_tables_offer(tables_of(news), text, len, &peer);
}

static const struct brf_link_table_handler_vt news_vt = {
	.revision = news_revision,
	.text = news_text,
	.got = news_got,
};

void
brf_mesh_tables_init(struct brf_mesh_tables *t, struct brf_clock *clock,
    brf_table_read_fn read, void (*changed)(void *arg), void *arg)
{
	memset(t, 0, sizeof(*t));
	t->news.vt = &news_vt;
	t->clock = clock;
	t->read = read;
	t->changed = changed;
	t->arg = arg;
	t->limits = default_limits;
	brf_list_init(&t->routes);
}

void
brf_mesh_route_state_unref(struct brf_mesh_route_state *r)
{
	if (r == NULL || --r->refs != 0)
		return;
	free(r->name);
	free(r);
}

static void
drop_route_state(struct brf_mesh_route_state *r)
{
	brf_list_remove(&r->link);
	brf_mesh_route_state_unref(r);
}

void
brf_mesh_tables_finish(struct brf_mesh_tables *t)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&t->routes)) != NULL)
		drop_route_state(
		    brf_list_entry(l, struct brf_mesh_route_state, link));
	brf_table_unref(t->current);
	brf_buf_free(&t->text);
}

/*
 * Drop the state of routes that the current table does not have.
 *
 * Return: the number of them that open requests still use.
 */
static size_t
remove_stale_routes(struct brf_mesh_tables *t)
{
	struct brf_list *l, *next;
	struct brf_mesh_route_state *r;
	size_t i, in_use = 0;

	brf_list_foreach_safe (l, next, &t->routes) {
		r = brf_list_entry(l, struct brf_mesh_route_state, link);
		for (i = 0; i < brf_table_route_count(t->current); i++) {
			if (strcmp(brf_table_route(t->current, i)->name,
				r->name) == 0)
				break;
		}
		if (i != brf_table_route_count(t->current))
			continue;
		in_use += r->refs > 1;
		drop_route_state(r);
	}
	return (in_use);
}

static void
put_in_force(struct brf_mesh_tables *t, struct brf_table *table,
    const char *text, size_t len, const struct brf_table_source *source)
{
	uint64_t before =
	    t->current != NULL ? brf_table_revision(t->current) : 0;
	size_t in_use;

	brf_table_unref(t->current);
	t->current = table;
	t->limits = *brf_table_limits(table);
	t->in_force_since = brf_now(t->clock);
	brf_buf_clear(&t->text);
	brf_buf_add(&t->text, text, len);
	in_use = remove_stale_routes(t);
	brf_log(BRF_LOG_INFO, "table_in_force",
	    BRF_LU("revision", brf_table_revision(table)),
	    BRF_LU("before", before), BRF_LS("source", source->kind),
	    BRF_LS("relay", source->relay), BRF_LU("epoch", source->epoch),
	    BRF_LU("silent_ms", source->silent_us / BRF_US_PER_MS),
	    BRF_LU("routes", brf_table_route_count(table)),
	    BRF_LU("dropped_in_use", in_use));
	t->changed(t->arg);
}

bool
brf_mesh_tables_offer(struct brf_mesh_tables *t, const char *text, size_t len,
    const struct brf_table_source *source)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_table *table = t->read(text, len, &err);

	if (table == NULL) {
		brf_log(BRF_LOG_WARN, "table_refused",
		    BRF_LS("source", source->kind), BRF_LE(&err));
		return (false);
	}
	if (t->current != NULL &&
	    brf_table_revision(table) <= brf_table_revision(t->current)) {
		brf_table_unref(table);
		return (false);
	}
	put_in_force(t, table, text, len, source);
	return (true);
}

void
brf_mesh_tables_log(const struct brf_mesh_tables *t)
{
	const struct brf_mesh_route_state *r;
	struct brf_list *l;

	brf_list_foreach (l, &t->routes) {
		r = brf_list_entry(l, struct brf_mesh_route_state, link);
		if (r->throttle.admit_share >= 1)
			continue;
		brf_log(BRF_LOG_INFO, "route_paced", BRF_LS("route", r->name),
		    BRF_LD("share", r->throttle.admit_share),
		    BRF_LD(
			"usual_ms", r->throttle.duration_us / BRF_US_PER_MS));
	}
}

struct brf_mesh_route_state *
brf_mesh_tables_route_state(
    struct brf_mesh_tables *t, const struct brf_route *route)
{
	struct brf_mesh_route_state *r;
	struct brf_list *l;

	brf_list_foreach (l, &t->routes) {
		r = brf_list_entry(l, struct brf_mesh_route_state, link);
		if (strcmp(r->name, route->name) == 0) {
			r->refs++;
			return (r);
		}
	}
	r = brf_calloc(1, sizeof(*r));
	r->refs = 2;
	brf_throttle_init(&r->throttle, brf_now(t->clock));
	r->name = brf_strdup(route->name, strlen(route->name));
	brf_list_append(&t->routes, &r->link);
	return (r);
}
