#include <stdlib.h>

#include "standin/brf-store/kv.h"

void
kv_init(struct kv *kv)
{
	memset(kv, 0, sizeof(*kv));
	brf_list_init(&kv->changes);
	kv->revision = 1;
}

static int
compare(const struct brf_buf *a, const struct brf_buf *b)
{
	size_t n = a->len < b->len ? a->len : b->len;
	int order = n != 0 ? memcmp(a->data, b->data, n) : 0;

	if (order != 0 || a->len == b->len)
		return (order);
	return (a->len < b->len ? -1 : 1);
}

bool
kv_in_range(const struct kv_range *range, const struct brf_buf *key)
{
	if (range->end.len == 0)
		return (compare(&range->key, key) == 0);
	return (
	    compare(&range->key, key) <= 0 && compare(key, &range->end) < 0);
}

/* The last change of @key up to @revision, deletions included. */
static struct kv_change *
last_change(const struct kv *kv, const struct brf_buf *key, uint64_t revision)
{
	struct brf_list *l;
	struct kv_change *c;

	for (l = kv->changes.prev; l != &kv->changes; l = l->prev) {
		c = brf_list_entry(l, struct kv_change, link);
		if (c->revision <= revision && compare(&c->key, key) == 0)
			return (c);
	}
	return (NULL);
}

struct kv_change *
kv_get(const struct kv *kv, const struct brf_buf *key, uint64_t revision)
{
	struct kv_change *c = last_change(kv, key, revision);

	return (c != NULL && !c->deleted ? c : NULL);
}

bool
kv_is_current(const struct kv *kv, const struct kv_change *c, uint64_t revision)
{
	return (kv_get(kv, &c->key, revision) == c);
}

static struct kv_change *
add_change(struct kv *kv, const struct brf_buf *key)
{
	struct kv_change *c = brf_calloc(1, sizeof(*c));

	brf_buf_add(&c->key, key->data, key->len);
	c->revision = kv->revision;
	brf_list_append(&kv->changes, &c->link);
	return (c);
}

struct kv_change *
kv_put(struct kv *kv, const struct brf_buf *key, const struct brf_buf *value,
    uint64_t lease)
{
	struct kv_change *before = kv_get(kv, key, kv->revision);
	struct kv_change *c;

	kv->revision++;
	c = add_change(kv, key);
	brf_buf_add(&c->value, value->data, value->len);
	c->created = before != NULL ? before->created : kv->revision;
	c->version = before != NULL ? before->version + 1 : 1;
	c->lease = lease;
	return (c);
}

void
kv_drop_lease(struct kv *kv, uint64_t lease)
{
	uint64_t before = kv->revision;
	struct brf_list *l;
	struct kv_change *c;

	brf_list_foreach (l, &kv->changes) {
		c = brf_list_entry(l, struct kv_change, link);
		if (c->lease != lease || c->revision > before ||
		    !kv_is_current(kv, c, before))
			continue;
		if (kv->revision == before)
			kv->revision++;
		add_change(kv, &c->key)->deleted = true;
	}
}

static void
free_change(struct kv_change *c)
{
	brf_list_remove(&c->link);
	brf_buf_free(&c->key);
	brf_buf_free(&c->value);
	free(c);
}

void
kv_compact(struct kv *kv, uint64_t revision)
{
	struct brf_list *l, *tmp;
	struct kv_change *c;

	if (revision > kv->revision)
		revision = kv->revision;
	brf_list_foreach_safe (l, tmp, &kv->changes) {
		c = brf_list_entry(l, struct kv_change, link);
		if (c->revision <= revision && !kv_is_current(kv, c, revision))
			free_change(c);
	}
	if (revision > kv->compacted)
		kv->compacted = revision;
}

void
kv_rollback(struct kv *kv, uint64_t revision)
{
	struct brf_list *l, *tmp;
	struct kv_change *c;

	brf_list_foreach_safe (l, tmp, &kv->changes) {
		c = brf_list_entry(l, struct kv_change, link);
		if (c->revision > revision)
			free_change(c);
	}
	if (revision < kv->revision)
		kv->revision = revision;
	if (kv->compacted > revision)
		kv->compacted = revision;
}
