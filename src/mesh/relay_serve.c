#include <stdlib.h>

#include "mesh/relay_impl.h"

static void
reply(struct brf_mesh_relay *r, struct brf_link_watcher *w,
    struct brf_link_watch_reply *reply)
{
	reply->epoch = brf_store_epoch(&r->store);
	r->served->value++;
	brf_link_watcher_reply(w, reply);
}

static void
reply_changes(struct brf_mesh_relay *r, const struct brf_feed *f,
    struct brf_link_watcher *w)
{
	struct brf_link_watch_reply changes = { .age_us = brf_feed_age(f) };

	changes.status = brf_watch_log_since(&f->log, w->after, &changes.event)
			     ? BRF_LINK_WATCH_OK
			     : BRF_LINK_WATCH_COMPACTED;
	reply(r, w, &changes);
	free(changes.event.kvs);
}

static void
reply_unavailable(struct brf_mesh_relay *r, struct brf_link_watcher *w)
{
	struct brf_link_watch_reply none = { .status =
						 BRF_LINK_WATCH_UNAVAILABLE };

	reply(r, w, &none);
}

static bool
is_of_epoch(const struct brf_mesh_relay *r, const struct brf_link_watcher *w)
{
	return (w->epoch == brf_store_epoch(&r->store));
}

/* The feed whose changes may be passed on to @w; NULL for none. */
static const struct brf_feed *
feed_for(const struct brf_mesh_relay *r, const struct brf_link_watcher *w)
{
	const struct brf_feed *f = brf_relay_find_feed(r, w->prefix);

	if (f == NULL || !f->direct || !is_of_epoch(r, w))
		return (NULL);
	return (f);
}

/* Whether the proof of @f is newer than the one that @w has, which asks now. */
static bool
has_newer_proof(const struct brf_feed *f, const struct brf_link_watcher *w)
{
	return (w->age_us > brf_feed_age(f) + BRF_RELAY_NEWER_US);
}

void
brf_relay_serve(struct brf_mesh_relay *r)
{
	struct brf_link_watcher *w;
	struct brf_list *l, *next;
	const struct brf_feed *f;
	uint64_t waited;

	brf_list_foreach_safe (l, next, &r->watchers) {
		w = brf_list_entry(l, struct brf_link_watcher, link);
		f = feed_for(r, w);
		waited = brf_mesh_relay_now(r) - w->asked_at;
		if (f == NULL &&
		    (waited >= BRF_RELAY_UNAVAILABLE_US || !is_of_epoch(r, w)))
			reply_unavailable(r, w);
		else if (f != NULL &&
			 (waited >= BRF_RELAY_PROGRESS_US ||
			     brf_watch_log_has_news(&f->log, w->after)))
			reply_changes(r, f, w);
	}
}

void
brf_relay_serve_proof(struct brf_mesh_relay *r, const struct brf_feed *f)
{
	struct brf_link_watcher *w;
	struct brf_list *l, *next;

	brf_list_foreach_safe (l, next, &r->watchers) {
		w = brf_list_entry(l, struct brf_link_watcher, link);
		if (f->direct && feed_for(r, w) == f)
			reply_changes(r, f, w);
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
	if (f != NULL) {
		f->asked_at = brf_mesh_relay_now(r);
		if (brf_timer_active(&f->first_poll))
			brf_timer_start(r->config.timers, &f->first_poll, 0);
	}
	w->asked_at = brf_mesh_relay_now(r);
	brf_list_append(&r->watchers, &w->link);
	if (f != NULL && feed_for(r, w) == f && has_newer_proof(f, w))
		reply_changes(r, f, w);
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
