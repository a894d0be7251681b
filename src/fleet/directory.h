#ifndef BRF_DIRECTORY_H
#define BRF_DIRECTORY_H

#include "base/list.h"
#include "base/timer.h"
#include "fleet/entry.h"
#include "fleet/follow.h"

/**
 * DOC: All targets of the fleet, as the store tells of them.
 *
 * An entry that is gone without a word of leaving has lapsed with its lease:
 * its node may be dead, or may just not reach the store.  It is kept for
 * BRF_DIRECTORY_KEEP_LAPSED_US, marked as lapsed, so that a store which loses
 * leases takes no target away; who sends work there finds out which of the two
 * it is. A node that starts while the store is away hears of targets from its
 * peers.
 */

#define BRF_DIRECTORY_KEEP_LAPSED_US (20 * BRF_US_PER_S)

/**
 * struct brf_directory_target - a target.
 * @entry: the newest word on it
 * @lapsed: its entry is gone from the store
 * @seen: clock time of the entry's arrival
 * @data: the watcher's
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
 * struct brf_directory_watcher - hears of changes.
 * @changed: @t is new or has another entry
 * @gone: @t is freed when this returns
 */
struct brf_directory_watcher {
	void (*changed)(struct brf_directory_watcher *w,
	    struct brf_directory_target *t, bool is_new);
	void (*removed)(
	    struct brf_directory_watcher *w, struct brf_directory_target *t);
};

struct brf_directory;

BRF_BEGIN_DECLS

/**
 * brf_directory_new() - follow the store; all arguments outlive it.
 */
struct brf_directory *brf_directory_new(struct brf_store *store,
    struct brf_timers *timers, struct brf_random *random,
    struct brf_directory_watcher *watcher);
void brf_directory_free(struct brf_directory *d);

/* Whether all targets that the store has were read at least once. */
/* What the store's word on targets comes by. */
const struct brf_store_mirror *brf_directory_mirror(
    const struct brf_directory *d);

/* Targets in the store, and those that have lapsed there. */
void brf_directory_count(
    const struct brf_directory *d, double *listed, double *lapsed);

bool brf_directory_synced(const struct brf_directory *d);

/**
 * brf_directory_export() - append what is known, a line for each target: key,
 * a space, the entry's text.
 */
void brf_directory_export(const struct brf_directory *d, struct brf_buf *out);

/**
 * brf_directory_import() - what another node's brf_directory_export() wrote;
 * any bytes.
 *
 * Targets that are not known yet are taken up as lapsed ones: they go when
 * their node does not know them, or the store does not confirm them in time.
 */
void brf_directory_import(
    struct brf_directory *d, const char *text, size_t len);

/**
 * brf_directory_drop_lapsed() - the target is not there any more, as its own
 * node says; drop it if its entry has lapsed.
 */
void brf_directory_drop_lapsed(struct brf_directory_target *t);

/**
 * brf_directory_replace() - the target's own node has another one by now.
 * @text: that one, see brf_directory_import()
 *
 * The store tells of it too, later; until then requests would be lost on the
 * old entry.
 */
void brf_directory_replace(
    struct brf_directory_target *t, const char *text, size_t len);

/* Append one target as brf_directory_export() does. */
void brf_directory_export_entry(
    const struct brf_entry *entry, struct brf_buf *out);

BRF_END_DECLS

#endif
