#ifndef BRF_WATCH_LOG_H
#define BRF_WATCH_LOG_H

#include "config/store.h"

/**
 * DOC: What a watch of the store has received: all keys with a prefix, and the
 * latest changes, to be passed on to nodes that do not watch the store
 * themselves.
 */

#define BRF_WATCH_LOG_BYTES_MAX 1048576u /* of the changes' keys and values */
#define BRF_WATCH_LOG_CHANGES_MAX 4096u

/**
 * struct brf_watch_log - initialise with brf_watch_log_init().
 * @keys: list of the current keys
 * @has_keys: @keys is complete
 * @changes: list of changes, oldest first, @count of them with @bytes of keys
 *	and values
 * @first: changes of later revisions are complete
 * @revision: of the store, up to which the log is complete
 */
struct brf_watch_log {
	struct brf_list keys;
	bool has_keys;
	struct brf_list changes;
	size_t count;
	size_t bytes;
	uint64_t first;
	uint64_t revision;
};

BRF_BEGIN_DECLS

/* Begin an empty log at @revision, without keys. */
void brf_watch_log_init(struct brf_watch_log *log, uint64_t revision);
void brf_watch_log_finish(struct brf_watch_log *log);

/* Begin anew with a full read of the keys. */
void brf_watch_log_read(
    struct brf_watch_log *log, const struct brf_store_response *read);

/* Append the changes of an event; the oldest are dropped beyond the bounds. */
void brf_watch_log_add(
    struct brf_watch_log *log, const struct brf_store_event *event);

/**
 * brf_watch_log_since() - the changes after the revision @after, or all current
 * keys when it is 0.
 * @event: filled; its texts belong to the log, the array is to be freed by the
 *	caller
 *
 * Return: false when the log does not have all of them.
 */
bool brf_watch_log_since(const struct brf_watch_log *log, uint64_t after,
    struct brf_store_event *event);

/* Whether a watcher that has all changes up to @after can be told more. */
bool brf_watch_log_has_news(const struct brf_watch_log *log, uint64_t after);

BRF_END_DECLS

#endif
