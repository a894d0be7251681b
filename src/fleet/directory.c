#include <stdlib.h>

#include "base/log.h"
#include "fleet/crash_record.h"
#include "fleet/directory.h"
#include "fleet/sweeper.h"

/*
 * Pause after a change, so that many nodes that start or stop at once are
 * read together.  Until the change is read, a target that has left refuses
 * requests itself.
 */
#define PAUSE_MIN_US (250 * BRF_US_PER_MS)
#define PAUSE_MAX_US (2 * BRF_US_PER_S)
/* While crashes are known, further ones have to be known soon. */
#define PAUSE_MAX_CRASHES_US BRF_US_PER_S
#define CRASHES_US (BRF_CRASH_RECORD_TTL_S * BRF_US_PER_S)

/**
 * struct departed - a target that was removed.
 * @born: of its last known entry
 * @since: clock time of the removal
 * @left: it has announced that it leaves; otherwise it may come back
 */
struct departed {
	struct brf_list link;
	char id[BRF_ENTRY_ID_MAX + 1];
	uint64_t born;
	uint64_t since;
	bool left;
};

/**
 * struct brf_directory - see directory.h.
 * @records: receives records; NULL for nobody
 * @sweeper: deletes the entries of departed targets; NULL for nobody
 * @record_at: clock time at which the last record arrived; 0 for none
 * @targets: list of struct brf_directory_target, @count of them
 * @departed: list of struct departed, oldest first, @departed_count of them
 */
struct brf_directory {
	struct brf_store *store;
	struct brf_timers *timers;
	struct brf_directory_watcher *watcher;
	struct brf_directory_records *records;
	struct brf_sweeper *sweeper;
	uint64_t record_at;
	struct brf_store_mirror *follow;
	struct brf_list targets;
	size_t count;
	struct brf_list departed;
	size_t departed_count;
};

static uint64_t
now(const struct brf_directory *d)
{
	return (brf_now(brf_timers_clock(d->timers)));
}

static struct brf_directory_target *
find_target(const struct brf_directory *d, const char *id)
{
	struct brf_directory_target *t;
	struct brf_list *l;

	brf_list_foreach (l, &d->targets) {
		t = brf_list_entry(l, struct brf_directory_target, link);
		if (strcmp(t->entry.id, id) == 0)
			return (t);
	}
	return (NULL);
}

static void
forget_departed(struct brf_directory *d, struct departed *gone)
{
	brf_list_remove(&gone->link);
	d->departed_count--;
	free(gone);
}

static void
expire_departed(struct brf_directory *d)
{
	struct departed *gone;
	struct brf_list *l, *next;

	brf_list_foreach_safe (l, next, &d->departed) {
		gone = brf_list_entry(l, struct departed, link);
		if (d->departed_count <= BRF_DIRECTORY_DEPARTED_MAX &&
		    gone->since + BRF_DIRECTORY_KEEP_DEPARTED_US >= now(d))
			return;
		forget_departed(d, gone);
	}
}

static void
remember_departed(struct brf_directory *d, const struct brf_entry *entry)
{
	struct departed *gone = brf_calloc(1, sizeof(*gone));

	brf_copy_name(gone->id, sizeof(gone->id), entry->id);
	gone->born = entry->born;
	gone->left = entry->announced == BRF_TARGET_LEFT;
	gone->since = now(d);
	brf_list_append(&d->departed, &gone->link);
	d->departed_count++;
	expire_departed(d);
}

/* Whether this incarnation of the target was removed before. */
static bool
has_departed(const struct brf_directory *d, const struct brf_entry *entry)
{
	const struct departed *gone;
	struct brf_list *l;

	brf_list_foreach (l, &d->departed) {
		gone = brf_list_entry(l, struct departed, link);
		if (strcmp(gone->id, entry->id) == 0 &&
		    gone->born >= entry->born)
			return (true);
	}
	return (false);
}

/* Whether this incarnation of the target has announced that it leaves. */
static bool
has_left(const struct brf_directory *d, const struct brf_entry *entry)
{
	const struct departed *gone;
	struct brf_list *l;

	brf_list_foreach (l, &d->departed) {
		gone = brf_list_entry(l, struct departed, link);
		if (gone->left && strcmp(gone->id, entry->id) == 0 &&
		    gone->born >= entry->born)
			return (true);
	}
	return (false);
}

static void
set_count(struct brf_directory *d, size_t count)
{
	d->count = count;
	if (d->sweeper != NULL)
		brf_sweeper_set_fleet(d->sweeper, count);
}

static void
remove_target(struct brf_directory_target *t, const char *reason)
{
	struct brf_directory *d = t->directory;

	brf_log(BRF_LOG_INFO, "target_gone", BRF_LS("target", t->entry.id),
	    BRF_LS("service", t->entry.service), BRF_LS("why", reason),
	    BRF_LU("revision", t->revision));
	remember_departed(d, &t->entry);
	brf_list_remove(&t->link);
	brf_timer_stop(d->timers, &t->lapse_timer);
	set_count(d, d->count - 1);
	d->watcher->removed(d->watcher, t);
	free(t);
}

static void
on_lapse_timer(struct brf_timer *timer, void *arg)
{
	(void)timer;
	remove_target(arg, "lapsed");
}

/* The target of @entry has left; @t is NULL when it is not known. */
static void
take_departure(struct brf_directory *d, struct brf_directory_target *t,
    const struct brf_entry *entry)
{
	if (t == NULL && !has_left(d, entry))
		remember_departed(d, entry);
	if (t == NULL)
		return;
	t->entry = *entry;
	remove_target(t, "left");
}

static struct brf_directory_target *
add_target(struct brf_directory *d)
{
	struct brf_directory_target *t = brf_calloc(1, sizeof(*t));

	t->directory = d;
	t->lapse_timer.fire = on_lapse_timer;
	t->lapse_timer.arg = t;
	brf_list_append(&d->targets, &t->link);
	set_count(d, d->count + 1);
	return (t);
}

static void
log_change(const struct brf_directory_target *t)
{
	brf_log(BRF_LOG_INFO, "target_known", BRF_LS("target", t->entry.id),
	    BRF_LS("service", t->entry.service),
	    BRF_LS("state", brf_target_state_name(t->entry.state)),
	    BRF_LS("zone", t->entry.zone), BRF_LS("peer", t->entry.node),
	    BRF_LU("slots", t->entry.slots), BRF_LU("revision", t->revision));
}

static void
set_lapsed(struct brf_directory_target *t)
{
	t->lapsed = true;
	brf_timer_start(t->directory->timers, &t->lapse_timer,
	    BRF_DIRECTORY_KEEP_LAPSED_US);
}

/* Whether the entry was written before the store was restored, so that it may
 * be older than what is known.  A node that does not write epochs is believed.
 */
static bool
is_of_earlier_epoch(
    const struct brf_directory *d, const struct brf_entry *entry)
{
	return (entry->epoch != 0 && entry->epoch < brf_store_epoch(d->store));
}

static void
log_stays_gone(const struct brf_entry *entry, uint64_t revision)
{
	brf_log(BRF_LOG_INFO, "target_stays_gone", BRF_LS("target", entry->id),
	    BRF_LU("epoch", entry->epoch), BRF_LU("revision", revision));
}

/* Whether @entry, of an earlier epoch, is newer than that of its target. */
static bool
is_newer(const struct brf_entry *entry, const struct brf_entry *known)
{
	if (entry->born != known->born)
		return (entry->born > known->born);
	return (entry->state > known->state);
}

/* Take over an entry that its node has not written again since the store was
 * restored. */
static void
set_unconfirmed(
    struct brf_directory *d, const struct brf_entry *entry, uint64_t revision)
{
	struct brf_directory_target *t = find_target(d, entry->id);
	bool is_new = t == NULL;

	if (is_new &&
	    (entry->state == BRF_TARGET_LEFT || has_departed(d, entry))) {
		log_stays_gone(entry, revision);
		return;
	}
	if (is_new)
		t = add_target(d);
	if (is_new || is_newer(entry, &t->entry)) {
		t->entry = *entry;
		t->received_at = now(d);
	}
	if (t->entry.state == BRF_TARGET_LEFT) {
		remove_target(t, "left");
		return;
	}
	t->revision = revision;
	if (!t->lapsed)
		set_lapsed(t);
	log_change(t);
	d->watcher->changed(d->watcher, t, is_new);
}

/* Whether @key is that of a record beside the targets' entries. */
static bool
is_record(const struct brf_directory *d, const char *key)
{
	size_t prefix = strlen(BRF_ENTRY_PREFIX);

	return (d->records != NULL &&
		strncmp(key, BRF_ENTRY_PREFIX, prefix) == 0 &&
		strchr(key + prefix, '/') != NULL);
}

static void
take_record(struct brf_directory *d, const struct brf_store_kv *kv)
{
	d->record_at = now(d);
	brf_store_mirror_bound_pause(d->follow, PAUSE_MAX_CRASHES_US);
	d->records->vt->set(d->records, kv);
}

static void
forget_records(struct brf_directory *d)
{
	if (d->record_at == 0 || d->record_at + CRASHES_US > now(d))
		return;
	d->record_at = 0;
	brf_store_mirror_bound_pause(d->follow, PAUSE_MAX_US);
}

static void
tell_sweeper(struct brf_directory *d, const struct brf_store_kv *kv,
    const struct brf_entry *entry)
{
	if (d->sweeper == NULL)
		return;
	if (entry->announced == BRF_TARGET_READY)
		brf_sweeper_forget(d->sweeper, kv->key);
	else
		brf_sweeper_add(d->sweeper, kv->key, kv->revision);
}

static void
on_set(void *arg, const struct brf_store_kv *kv)
{
	struct brf_directory *d = arg;
	struct brf_directory_target *t;
	struct brf_entry entry;
	struct brf_error err;
	bool is_new;

	if (is_record(d, kv->key)) {
		take_record(d, kv);
		return;
	}
	forget_records(d);
	if (!brf_entry_read(&entry, kv->key, kv->value, kv->len, &err)) {
		brf_log(BRF_LOG_WARN, "entry_unreadable", BRF_LE(&err),
		    BRF_LU("revision", kv->revision));
		return;
	}
	tell_sweeper(d, kv, &entry);
	if (is_of_earlier_epoch(d, &entry)) {
		set_unconfirmed(d, &entry, kv->revision);
		return;
	}
	t = find_target(d, entry.id);
	is_new = t == NULL;
	if (entry.state == BRF_TARGET_LEFT) {
		take_departure(d, t, &entry);
		return;
	}
	if (has_left(d, &entry)) {
		log_stays_gone(&entry, kv->revision);
		return;
	}
	if (is_new)
		t = add_target(d);
	else if (brf_entry_supersedes(&t->entry, &entry))
		entry.announced = entry.state = t->entry.announced;
	t->entry = entry;
	t->revision = kv->revision;
	t->received_at = now(d);
	t->lapsed = false;
	brf_timer_stop(d->timers, &t->lapse_timer);
	log_change(t);
	d->watcher->changed(d->watcher, t, is_new);
}

static void
on_deleted(void *arg, const char *key, uint64_t revision)
{
	struct brf_directory *d = arg;
	size_t prefix = strlen(BRF_ENTRY_PREFIX);
	struct brf_directory_target *t = find_target(d, key + prefix);

	if (is_record(d, key))
		d->records->vt->deleted(d->records, key);
	if (d->sweeper != NULL)
		brf_sweeper_forget(d->sweeper, key);
	if (t == NULL)
		return;
	if (!t->lapsed)
		set_lapsed(t);
	t->revision = revision;
	brf_log(BRF_LOG_INFO, "target_lapsed", BRF_LS("target", t->entry.id),
	    BRF_LS("service", t->entry.service), BRF_LU("revision", revision));
	d->watcher->changed(d->watcher, t, false);
}

static void
on_synced(void *arg)
{
	const struct brf_directory *d = arg;

	brf_log(BRF_LOG_INFO, "directory_read", BRF_LU("targets", d->count));
}

struct brf_directory *
brf_directory_new(struct brf_store *store, struct brf_timers *timers,
    struct brf_random *random, struct brf_directory_watcher *watcher)
{
	struct brf_directory *d = brf_calloc(1, sizeof(*d));
	struct brf_store_mirror_config config = { .store = store,
		.timers = timers,
		.random = random,
		.prefix = BRF_ENTRY_PREFIX,
		.pause_min_us = PAUSE_MIN_US,
		.pause_max_us = PAUSE_MAX_US,
		.set = on_set,
		.deleted = on_deleted,
		.synced = on_synced,
		.arg = d };

	d->store = store;
	d->timers = timers;
	d->watcher = watcher;
	brf_list_init(&d->targets);
	brf_list_init(&d->departed);
	d->follow = brf_store_mirror_new(&config);
	return (d);
}

void
brf_directory_free(struct brf_directory *d)
{
	struct brf_list *l;

	if (d == NULL)
		return;
	brf_store_mirror_free(d->follow);
	while ((l = brf_list_pop(&d->targets)) != NULL)
		remove_target(
		    brf_list_entry(l, struct brf_directory_target, link),
		    "stopping");
	while ((l = brf_list_pop(&d->departed)) != NULL)
		forget_departed(d, brf_list_entry(l, struct departed, link));
	free(d);
}

void
brf_directory_receive_records(
    struct brf_directory *d, struct brf_directory_records *records)
{
	d->records = records;
}

void
brf_directory_sweep(struct brf_directory *d, struct brf_sweeper *sweeper)
{
	d->sweeper = sweeper;
}

bool
brf_directory_synced(const struct brf_directory *d)
{
	return (brf_store_mirror_synced(d->follow));
}

const struct brf_store_mirror *
brf_directory_mirror(const struct brf_directory *d)
{
	return (d->follow);
}

void
brf_directory_visit(const struct brf_directory *d,
    void (*visit)(void *arg, const struct brf_directory_target *t), void *arg)
{
	struct brf_list *l;

	brf_list_foreach (l, &d->targets)
		visit(
		    arg, brf_list_entry(l, struct brf_directory_target, link));
}

void
brf_directory_count(
    const struct brf_directory *d, double *listed, double *lapsed)
{
	const struct brf_directory_target *t;
	struct brf_list *l;

	*listed = 0;
	*lapsed = 0;
	brf_list_foreach (l, &d->targets) {
		t = brf_list_entry(l, struct brf_directory_target, link);
		if (t->lapsed)
			(*lapsed)++;
		else
			(*listed)++;
	}
}

void
brf_directory_export_entry(const struct brf_entry *entry, struct brf_buf *out)
{
	char key[BRF_ENTRY_KEY_MAX];

	brf_entry_key(entry->id, key);
	brf_buf_puts(out, key);
	brf_buf_puts(out, " ");
	brf_entry_write(entry, out);
	brf_buf_puts(out, "\n");
}

void
brf_directory_export(const struct brf_directory *d, struct brf_buf *out)
{
	struct brf_list *l;

	brf_list_foreach (l, &d->targets)
		brf_directory_export_entry(
		    &brf_list_entry(l, struct brf_directory_target, link)
			 ->entry,
		    out);
	if (d->records != NULL)
		d->records->vt->append(d->records, out);
}

/* @len is that of the line, which has the key and a space before @text. */
static void
import_record(struct brf_directory *d, char *key, const char *text, size_t len)
{
	struct brf_store_kv kv = { .key = key };

	kv.len = len - strlen(key) - 1;
	kv.value = brf_strdup(text, kv.len);
	d->records->vt->set(d->records, &kv);
	free(kv.value);
}

static void
import_line(struct brf_directory *d, const char *line, size_t len)
{
	const char *space = memchr(line, ' ', len);
	char key[BRF_ENTRY_KEY_MAX];
	struct brf_directory_target *t;
	struct brf_entry entry;
	struct brf_error err;

	if (space == NULL || (size_t)(space - line) >= sizeof(key))
		return;
	memcpy(key, line, (size_t)(space - line));
	key[space - line] = '\0';
	if (is_record(d, key)) {
		import_record(d, key, space + 1, len);
		return;
	}
	if (!brf_entry_read(&entry, key, space + 1,
		len - (size_t)(space + 1 - line), &err)) {
		brf_log(BRF_LOG_WARN, "entry_unreadable", BRF_LE(&err));
		return;
	}
	if (entry.state == BRF_TARGET_LEFT ||
	    find_target(d, entry.id) != NULL || has_departed(d, &entry))
		return;
	t = add_target(d);
	t->entry = entry;
	t->received_at = now(d);
	set_lapsed(t);
	log_change(t);
	d->watcher->changed(d->watcher, t, true);
}

void
brf_directory_import(struct brf_directory *d, const char *text, size_t len)
{
	const char *end = text + len, *line_end;
	size_t before = d->count;

	for (; text < end; text = line_end + 1) {
		line_end = memchr(text, '\n', (size_t)(end - text));
		if (line_end == NULL)
			break;
		import_line(d, text, (size_t)(line_end - text));
	}
	brf_log(BRF_LOG_INFO, "targets_told", BRF_LU("targets", d->count),
	    BRF_LU("before", before));
}

void
brf_directory_drop_lapsed(struct brf_directory_target *t)
{
	if (t->lapsed)
		remove_target(t, "its node does not know it");
}

void
brf_directory_replace(
    struct brf_directory_target *t, const char *text, size_t len)
{
	struct brf_directory *d = t->directory;

	/* add the new one first: it usually needs the same link */
	brf_directory_import(d, text, len);
	remove_target(t, "its node has another");
}
