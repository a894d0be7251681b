#ifndef BRF_IDMAP_H
#define BRF_IDMAP_H

#include "base/list.h"
#include "base/random.h"

/**
 * struct brf_idmap_link - embedded in what a struct brf_idmap holds.
 */
struct brf_idmap_link {
	struct brf_list link;
	struct brf_id id;
};

/**
 * struct brf_idmap - intrusive hash table by id.
 *
 * Ids are random, so that their bits serve as the hash; the table grows with
 * what it holds and never shrinks.
 */
struct brf_idmap {
	struct brf_list *buckets;
	size_t size;
	size_t count;
};

BRF_BEGIN_DECLS

void brf_idmap_init(struct brf_idmap *map);

/* Frees the table, not what it holds. */
void brf_idmap_free(struct brf_idmap *map);

/* The id must not be in the map yet. */
void brf_idmap_add(
    struct brf_idmap *map, struct brf_idmap_link *entry, struct brf_id id);

/* Does nothing when @entry was removed before. */
void brf_idmap_remove(struct brf_idmap *map, struct brf_idmap_link *entry);

/* NULL when there is none. */
struct brf_idmap_link *brf_idmap_find(
    const struct brf_idmap *map, struct brf_id id);

BRF_END_DECLS

#endif
