#ifndef STANDIN_KV_H
#define STANDIN_KV_H

#include "base/buf.h"
#include "base/list.h"

/**
 * DOC: Keys with all their past values, in memory.
 */

/**
 * struct kv_change - one change of one key.
 * @revision: of the store, from 2 on, as the first of etcd is 1
 * @created: revision that made the key
 * @version: changes of the key since then; 0 when deleted
 */
struct kv_change {
	struct brf_list link;
	struct brf_buf key;
	struct brf_buf value;
	uint64_t revision;
	uint64_t created;
	uint64_t version;
	uint64_t lease;
	bool deleted;
};

struct kv {
	struct brf_list changes; /* in order of revision */
	uint64_t revision;
	uint64_t compacted;
};

/**
 * struct kv_range - keys from @key, to @end, which is left out.
 * @end: empty for @key alone
 */
struct kv_range {
	struct brf_buf key;
	struct brf_buf end;
};

void kv_init(struct kv *kv);

bool kv_in_range(const struct kv_range *range, const struct brf_buf *key);

/* The key as it was at @revision; NULL when it was absent. */
struct kv_change *kv_get(
    const struct kv *kv, const struct brf_buf *key, uint64_t revision);

/* Whether @c is its key's last change up to @revision, and no deletion. */
bool kv_is_current(
    const struct kv *kv, const struct kv_change *c, uint64_t revision);

struct kv_change *kv_put(struct kv *kv, const struct brf_buf *key,
    const struct brf_buf *value, uint64_t lease);

/* Delete the keys of @lease. */
void kv_drop_lease(struct kv *kv, uint64_t lease);

/* Forget what was replaced up to @revision. */
void kv_compact(struct kv *kv, uint64_t revision);

/* Go back to @revision, as a restored backup does. */
void kv_rollback(struct kv *kv, uint64_t revision);

#endif
