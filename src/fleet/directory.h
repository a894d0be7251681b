#ifndef BRF_DIRECTORY_H
#define BRF_DIRECTORY_H

#include "base/list.h"
#include "base/timer.h"
#include "fleet/entry.h"
#include "fleet/follow.h"

/**
 * DOC: All targets of the fleet, from their entries in the store.
 *
 * An entry that is deleted before its target has left has lapsed with its
 * lease: the node may have failed, or it may only be unable to reach the
 * store.  The target is kept for BRF_DIRECTORY_KEEP_LAPSED_US, marked as
 * lapsed, so that a store that loses leases removes no target.  Nodes that
 * send requests there find out whether the target still exists.  A node that
 * starts while the store is unreachable receives the targets from its peers.
 *
 * A store that was restored from an older copy lists targets that have left
 * since, and old entries of others, until their nodes write them again.  Such
 * an entry, of an earlier epoch, counts as lapsed; it adds no target that is
 * known to have left, and takes no known target back to an earlier state.
 */

#define BRF_DIRECTORY_KEEP_LAPSED_US (20 * BRF_US_PER_S)
/* How long, and for how many targets, the directory remembers that they have
 * left; a copy of the store is only some seconds old. */
#define BRF_DIRECTORY_KEEP_DEPARTED_US (120 * BRF_US_PER_S)
#define BRF_DIRECTORY_DEPARTED_MAX 1024u

/**
 * struct brf_directory_target - a target; owned by the directory.
 * @entry: newest entry received
 * @revision: of the store, at which the entry was written or deleted; 0 when
 *	received from a peer
 * @received_at: clock time of the entry's arrival
 * @lapsed: the store does not have the entry, or has not confirmed it yet in
 *	the current epoch
 * @lapse_timer: removes the target when @lapsed for too long
 * @data: for the watcher
 */
struct brf_directory_target {
	struct brf_list link;
	struct brf_entry entry;
	uint64_t revision;
	uint64_t received_at;
	bool lapsed;
	struct brf_timer lapse_timer;
	struct brf_directory *directory;
	void *data;
};

/**
 * struct brf_directory_watcher - callbacks for changes of the directory.
 * @changed: @t is new, has another entry, or has lapsed
 * @removed: @t was removed; it is freed when the callback returns
 */
struct brf_directory_watcher {
	void (*changed)(struct brf_directory_watcher *w,
	    struct brf_directory_target *t, bool is_new);
	void (*removed)(
	    struct brf_directory_watcher *w, struct brf_directory_target *t);
};

struct brf_directory_records;
struct brf_sweeper;

/**
 * struct brf_directory_records_vt - functions of a receiver of records; see
 * struct brf_directory_records.
 * @set: a record is new or has changed
 * @deleted: the store no longer has the record
 * @append: append the known records, each as a line of brf_directory_export()
 */
struct brf_directory_records_vt {
	void (*set)(struct brf_directory_records *records,
	    const struct brf_store_kv *kv);
	void (*deleted)(struct brf_directory_records *records, const char *key);
	void (*append)(
	    struct brf_directory_records *records, struct brf_buf *out);
};

/**
 * struct brf_directory_records - receives what the store has beside the
 * targets' entries, under keys that continue with a name and a slash.
 */
struct brf_directory_records {
	const struct brf_directory_records_vt *vt;
};

struct brf_directory;

BRF_BEGIN_DECLS

/**
 * brf_directory_new() - start to mirror the targets in the store.
 *
 * All arguments must outlive the directory.
 */
struct brf_directory *brf_directory_new(struct brf_store *store,
    struct brf_timers *timers, struct brf_random *random,
    struct brf_directory_watcher *watcher);

/* Pass records on to @records, which outlives the directory. */
void brf_directory_receive_records(
    struct brf_directory *d, struct brf_directory_records *records);

/* Tell @sweeper, which outlives the directory, of entries of targets that drain
 * or have left. */
void brf_directory_sweep(struct brf_directory *d, struct brf_sweeper *sweeper);

/* Calls removed() for each target that is left. */
void brf_directory_free(struct brf_directory *d);

/* The mirror of the targets' entries; owned by the directory. */
const struct brf_store_mirror *brf_directory_mirror(
    const struct brf_directory *d);

/* Call @visit with @arg for each target. */
void brf_directory_visit(const struct brf_directory *d,
    void (*visit)(void *arg, const struct brf_directory_target *t), void *arg);

/* Count the targets that the store has, and those that have lapsed. */
void brf_directory_count(
    const struct brf_directory *d, double *listed, double *lapsed);

/* Whether all targets in the store were read at least once. */
bool brf_directory_synced(const struct brf_directory *d);

/**
 * brf_directory_export() - append all known targets as text.
 *
 * Each target is one line: the key of its entry, a space, the entry as JSON.
 * Records follow in the same way.
 */
void brf_directory_export(const struct brf_directory *d, struct brf_buf *out);

/**
 * brf_directory_import() - add the targets that another node exported.
 * @text: output of its brf_directory_export(), @len bytes; not trusted
 *
 * Targets that are not known yet are added as lapsed: they are removed when
 * their own node does not have them, or when the store does not confirm them
 * within BRF_DIRECTORY_KEEP_LAPSED_US.  Invalid lines are skipped.
 */
void brf_directory_import(
    struct brf_directory *d, const char *text, size_t len);

/**
 * brf_directory_drop_lapsed() - remove a target that its own node reported as
 * unknown, if its entry has lapsed; this frees @t.
 */
void brf_directory_drop_lapsed(struct brf_directory_target *t);

/**
 * brf_directory_replace() - replace a target by the one that its own node has
 * now; this frees @t.
 * @text: the new target, as in brf_directory_import()
 *
 * The store reports the new target as well, but later; until then requests to
 * the old one would fail.
 */
void brf_directory_replace(
    struct brf_directory_target *t, const char *text, size_t len);

/* Append one target in the format of brf_directory_export(). */
void brf_directory_export_entry(
    const struct brf_entry *entry, struct brf_buf *out);

BRF_END_DECLS

#endif
