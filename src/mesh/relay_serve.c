#include <stdlib.h>

#include "mesh/relay_impl.h"

static void
reply(struct brf_mesh_relay *r, struct brf_link_watcher *w,
    enum brf_link_watch_status status, const struct brf_store_event *event)
{
	struct brf_link_watch_reply reply = { .status = status,
		.epoch = brf_store_epoch(&r->store) };

	if (event != NULL)
		reply.event = *event;
	r->served->value++;
	brf_link_watcher_reply(w, &reply);
}

static void
reply_changes(struct brf_mesh_relay *r, const struct brf_feed *f,
    struct brf_link_watcher *w)
{
	struct brf_store_event event;

	if (!brf_watch_log_since(&f->log, w->after, &event)) {
		reply(r, w, BRF_LINK_WATCH_COMPACTED, NULL);
		return;
	}
	reply(r, w, BRF_LINK_WATCH_OK, &event);
	free(event.kvs);
}

/* The feed whose changes may be passed on to @w; NULL for none. */
static const struct brf_feed *
feed_for(const struct brf_mesh_relay *r, const struct brf_link_watcher *w)
{
	const struct brf_feed *f = brf_relay_find_feed(r, w->prefix);

	if (f == NULL || !f->direct || w->epoch != brf_store_epoch(&r->store) ||
	    brf_mesh_relay_now(r) >
		r->store.state->answered_at + BRF_RELAY_STORE_SILENT_US)
		return (NULL);
	return (f);
}

void
brf_relay_serve(struct brf_mesh_relay *r)
{
	struct brf_link_watcher *w;
	struct brf_list *l, *next;
	const struct brf_feed *f;
	bool has_waited;

	brf_list_foreach_safe (l, next, &r->watchers) {
		w = brf_list_entry(l, struct brf_link_watcher, link);
		f = feed_for(r, w);
		has_waited =
		    brf_mesh_relay_now(r) >= w->data + BRF_RELAY_PROGRESS_US;
		if (f != NULL &&
		    (has_waited || brf_watch_log_has_news(&f->log, w->after)))
			reply_changes(r, f, w);
		else if (has_waited)
			reply(r, w, BRF_LINK_WATCH_UNAVAILABLE, NULL);
	}
}

static void
watcher_start(
    struct brf_link_watch_handler *handler, struct brf_link_watcher *w)
{
	struct brf_mesh_relay *r =
	    brf_container_of(handler, struct brf_mesh_relay, handler);
	struct brf_feed *f;

	brf_store_learn_epoch(&r->store, w->epoch);
	f = brf_relay_find_feed(r, w->prefix);
	if (f != NULL)
		f->asked_at = brf_mesh_relay_now(r);
	w->data = brf_mesh_relay_now(r);
	brf_list_append(&r->watchers, &w->link);
	brf_relay_serve(r);
}

static void
watcher_gone(struct brf_link_watch_handler *handler, struct brf_link_watcher *w)
{
	(void)handler;
	brf_list_remove(&w->link);
}

const struct brf_link_watch_handler_vt brf_relay_handler_vt = {
	.start = watcher_start,
	.gone = watcher_gone,
};
