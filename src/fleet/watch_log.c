#include <stdlib.h>

#include "base/buf.h"
#include "fleet/watch_log.h"

struct change {
	struct brf_list link;
	struct brf_store_kv kv;
};

static struct change *
change_of(struct brf_list *l)
{
	return (brf_list_entry(l, struct change, link));
}

static void
change_free(struct change *c)
{
	brf_list_remove(&c->link);
	free(c->kv.key);
	free(c->kv.value);
	free(c);
}

static void
append(struct brf_list *list, const struct brf_store_kv *kv)
{
	struct change *c = brf_calloc(1, sizeof(*c));

	c->kv = *kv;
	c->kv.key = brf_strdup(kv->key, strlen(kv->key));
	c->kv.value = brf_strdup(kv->len != 0 ? kv->value : "", kv->len);
	brf_list_append(list, &c->link);
}

void
brf_watch_log_init(struct brf_watch_log *log, uint64_t revision)
{
	memset(log, 0, sizeof(*log));
	brf_list_init(&log->keys);
	brf_list_init(&log->changes);
	log->first = revision;
	log->revision = revision;
}

static void
free_all(struct brf_list *list)
{
	struct brf_list *l;

	while ((l = brf_list_pop(list)) != NULL)
		change_free(change_of(l));
}

void
brf_watch_log_finish(struct brf_watch_log *log)
{
	free_all(&log->keys);
	free_all(&log->changes);
	log->count = 0;
	log->bytes = 0;
}

void
brf_watch_log_read(
    struct brf_watch_log *log, const struct brf_store_response *read)
{
	size_t i;

	brf_watch_log_finish(log);
	brf_watch_log_init(log, read->revision);
	for (i = 0; i < read->count; i++)
		append(&log->keys, &read->kvs[i]);
	log->has_keys = true;
}

static size_t
size_of(const struct brf_store_kv *kv)
{
	return (strlen(kv->key) + kv->len);
}

static void
update_key(struct brf_watch_log *log, const struct brf_store_kv *kv)
{
	struct brf_list *l, *next;

	brf_list_foreach_safe (l, next, &log->keys) {
		if (strcmp(change_of(l)->kv.key, kv->key) != 0)
			continue;
		/* a watch may repeat what the read has returned */
		if (change_of(l)->kv.revision > kv->revision)
			return;
		change_free(change_of(l));
		break;
	}
	if (!kv->deleted)
		append(&log->keys, kv);
}

static void
drop_oldest(struct brf_watch_log *log)
{
	struct change *c = change_of(brf_list_pop(&log->changes));

	log->count--;
	log->bytes -= size_of(&c->kv);
	log->first = c->kv.revision;
	change_free(c);
}

void
brf_watch_log_add(
    struct brf_watch_log *log, const struct brf_store_event *event)
{
	size_t i;

	for (i = 0; i < event->count; i++) {
		append(&log->changes, &event->kvs[i]);
		log->count++;
		log->bytes += size_of(&event->kvs[i]);
		if (log->has_keys)
			update_key(log, &event->kvs[i]);
	}
	while (log->count > BRF_WATCH_LOG_CHANGES_MAX ||
	       log->bytes > BRF_WATCH_LOG_BYTES_MAX)
		drop_oldest(log);
	if (event->revision > log->revision)
		log->revision = event->revision;
}

static void
copy_list(
    const struct brf_list *list, uint64_t after, struct brf_store_event *event)
{
	struct brf_list *l;
	size_t n = 0;

	brf_list_foreach (l, list)
		n++;
	event->kvs = brf_calloc(n + 1, sizeof(*event->kvs));
	brf_list_foreach (l, list) {
		if (change_of(l)->kv.revision > after)
			event->kvs[event->count++] = change_of(l)->kv;
	}
}

bool
brf_watch_log_since(const struct brf_watch_log *log, uint64_t after,
    struct brf_store_event *event)
{
	memset(event, 0, sizeof(*event));
	if (after == 0 ? !log->has_keys : after < log->first)
		return (false);
	event->revision = log->revision;
	copy_list(after == 0 ? &log->keys : &log->changes, after, event);
	return (true);
}

bool
brf_watch_log_has_news(const struct brf_watch_log *log, uint64_t after)
{
	if (after < log->first)
		return (true);
	return (log->count != 0 &&
		change_of(log->changes.prev)->kv.revision > after);
}
