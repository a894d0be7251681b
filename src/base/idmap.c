#include <stdlib.h>

#include "base/idmap.h"

#define IDMAP_FIRST 64

static struct brf_list *
make_buckets(size_t size)
{
	struct brf_list *buckets = brf_calloc(size, sizeof(*buckets));
	size_t i;

	for (i = 0; i < size; i++)
		brf_list_init(&buckets[i]);
	return (buckets);
}

static struct brf_list *
bucket_of(const struct brf_idmap *map, struct brf_id id)
{
	return (&map->buckets[id.lo & (map->size - 1)]);
}

void
brf_idmap_init(struct brf_idmap *map)
{
	map->size = IDMAP_FIRST;
	map->count = 0;
	map->buckets = make_buckets(map->size);
}

void
brf_idmap_free(struct brf_idmap *map)
{
	free(map->buckets);
	map->buckets = NULL;
}

static void
grow(struct brf_idmap *map)
{
	struct brf_list *old = map->buckets;
	size_t i, old_size = map->size;
	struct brf_list *l, *tmp;

	map->size *= 2;
	map->buckets = make_buckets(map->size);
	for (i = 0; i < old_size; i++) {
		brf_list_foreach_safe (l, tmp, &old[i]) {
			struct brf_idmap_link *entry =
			    brf_list_entry(l, struct brf_idmap_link, link);

			brf_list_remove(l);
			brf_list_append(bucket_of(map, entry->id), l);
		}
	}
	free(old);
}

void
brf_idmap_add(
    struct brf_idmap *map, struct brf_idmap_link *entry, struct brf_id id)
{
	if (map->count >= map->size)
		grow(map);
	entry->id = id;
	brf_list_append(bucket_of(map, id), &entry->link);
	map->count++;
}

void
brf_idmap_remove(struct brf_idmap *map, struct brf_idmap_link *entry)
{
	if (entry->link.next == NULL || brf_list_empty(&entry->link))
		return;
	brf_list_remove(&entry->link);
	map->count--;
}

struct brf_idmap_link *
brf_idmap_find(const struct brf_idmap *map, struct brf_id id)
{
	struct brf_list *l, *head = bucket_of(map, id);
	struct brf_idmap_link *entry;

	brf_list_foreach (l, head) {
		entry = brf_list_entry(l, struct brf_idmap_link, link);
		if (brf_id_equal(entry->id, id))
			return (entry);
	}
	return (NULL);
}
