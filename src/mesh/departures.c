#include <stdlib.h>
#include <xxhash.h>

#include "base/log.h"
#include "mesh/departures.h"

#define ASKED_MAX 4u	  /* nodes that are asked at once */
#define CANDIDATES_MAX 8u /* nodes that are asked in all */
#define KEPT_MAX 256u
#define KEEP_US BRF_DIRECTORY_KEEP_DEPARTED_US
/* Interval at which the node of a kept departure is told. */
#define TELL_US (500 * BRF_US_PER_MS)
/* Longest wait for the reply to a note. */
#define SILENT_US (2 * BRF_US_PER_S)

/**
 * struct delivery - a departure on its way to one node.
 * @link: to the node; NULL for none
 * @sent_at: clock time
 */
struct delivery {
	struct brf_list member;
	struct brf_mesh_departures *owner;
	struct brf_link *link;
	struct brf_link_note note;
	uint64_t sent_at;
	bool open;
};

/**
 * struct told - a departure that other nodes are asked to keep.
 * @text: as in brf_directory_export()
 * @candidates: gates of the nodes to ask, of which @next is the next one
 * @pending: deliveries without a reply
 */
struct told {
	struct brf_list member;
	struct brf_mesh_departures *owner;
	char id[BRF_ENTRY_ID_MAX + 1];
	struct brf_buf text;
	struct sockaddr_in candidates[CANDIDATES_MAX];
	size_t candidate_count;
	size_t next;
	size_t pending;
	struct delivery deliveries[CANDIDATES_MAX];
};

/**
 * struct kept - a departure that is kept for another node.
 * @until: clock time until which it is kept
 */
struct kept {
	struct brf_list member;
	struct brf_entry entry;
	struct brf_buf text;
	uint64_t until;
	struct delivery delivery;
};

struct brf_mesh_departures {
	struct brf_link_note_handler handler;
	struct brf_mesh_departures_config config;
	struct brf_links *links;
	const struct brf_directory *directory;
	struct brf_list told;
	struct brf_list kept;
	size_t kept_count;
	struct brf_timer timer;
	struct brf_metric *kept_gauge;
};

static uint64_t
now(const struct brf_mesh_departures *d)
{
	return (brf_now(brf_timers_clock(d->config.timers)));
}

static void
delivery_close(struct delivery *delivery)
{
	brf_link_note_cancel(&delivery->note);
	delivery->open = false;
	if (delivery->link != NULL)
		brf_link_release(delivery->link);
	delivery->link = NULL;
}

/* Return: false when the node can't be reached now. */
static bool
delivery_send(struct delivery *delivery, const struct sockaddr_in *gate,
    const struct brf_buf *text,
    void (*done)(struct brf_link_note *note, enum brf_link_note_result result))
{
	struct brf_mesh_departures *d = delivery->owner;

	if (delivery->link == NULL)
		delivery->link = brf_links_get(d->links, gate);
	memset(&delivery->note, 0, sizeof(delivery->note));
	delivery->note.text.data = text->data;
	delivery->note.text.len = text->len;
	delivery->note.done = done;
	delivery->sent_at = now(d);
	delivery->open = brf_link_note_send(delivery->link, &delivery->note);
	return (delivery->open);
}

static void
told_free(struct told *told)
{
	size_t i;

	for (i = 0; i < told->next; i++)
		delivery_close(&told->deliveries[i]);
	brf_list_remove(&told->member);
	brf_buf_free(&told->text);
	free(told);
}

static void told_done(
    struct brf_link_note *note, enum brf_link_note_result result);

/* Ask as many further nodes as there may be deliveries without a reply. */
static void
ask_more(struct told *told)
{
	struct delivery *delivery;

	while (
	    told->pending < ASKED_MAX && told->next < told->candidate_count) {
		delivery = &told->deliveries[told->next];
		delivery->owner = told->owner;
		if (delivery_send(delivery, &told->candidates[told->next++],
			&told->text, told_done))
			told->pending++;
	}
}

static struct told *
told_of(struct brf_mesh_departures *d, const struct delivery *delivery)
{
	struct told *told;
	struct brf_list *l;

	brf_list_foreach (l, &d->told) {
		told = brf_list_entry(l, struct told, member);
		if (delivery >= told->deliveries &&
		    delivery < told->deliveries + CANDIDATES_MAX)
			return (told);
	}
	return (NULL);
}

static void
told_done(struct brf_link_note *note, enum brf_link_note_result result)
{
	struct delivery *delivery =
	    brf_container_of(note, struct delivery, note);
	struct brf_mesh_departures *d = delivery->owner;
	struct told *told = told_of(d, delivery);
	char id[BRF_ENTRY_ID_MAX + 1];

	brf_copy_name(id, sizeof(id), told->id);
	delivery->open = false;
	told->pending--;
	if (result == BRF_LINK_NOTE_LOST || result == BRF_LINK_NOTE_REFUSED)
		ask_more(told);
	if (told->pending == 0)
		told_free(told);
	if (result == BRF_LINK_NOTE_KEPT || result == BRF_LINK_NOTE_RECORDED)
		d->config.kept(d->config.arg, id);
}

/**
 * struct candidates - the nodes that are asked first.
 * @nodes: ordered by @weights
 */
struct candidates {
	const struct brf_mesh_departures *d;
	const struct brf_entry *nodes[CANDIDATES_MAX];
	uint64_t weights[CANDIDATES_MAX];
	size_t count;
};

static bool
is_listed(const struct candidates *c, const char *node)
{
	size_t i;

	for (i = 0; i < c->count; i++) {
		if (strcmp(c->nodes[i]->node, node) == 0)
			return (true);
	}
	return (false);
}

/* Rendezvous hashing, so that each node asks others. */
static void
rank_node(void *arg, const struct brf_directory_target *t)
{
	struct candidates *c = arg;
	const char *self = c->d->config.node, *node = t->entry.node;
	uint64_t weight = XXH3_64bits_withSeed(
	    node, strlen(node), XXH3_64bits(self, strlen(self)));
	size_t i, last;

	if (strcmp(node, self) == 0 || is_listed(c, node))
		return;
	for (i = 0; i < c->count && c->weights[i] >= weight;)
		i++;
	if (i == CANDIDATES_MAX)
		return;
	last = c->count < CANDIDATES_MAX ? c->count++ : CANDIDATES_MAX - 1;
	for (; last > i; last--) {
		c->nodes[last] = c->nodes[last - 1];
		c->weights[last] = c->weights[last - 1];
	}
	c->nodes[i] = &t->entry;
	c->weights[i] = weight;
}

static void
choose_candidates(struct told *told)
{
	struct candidates c = { .d = told->owner };
	size_t i;

	brf_directory_visit(told->owner->directory, rank_node, &c);
	for (i = 0; i < c.count; i++)
		told->candidates[i] = c.nodes[i]->gate;
	told->candidate_count = c.count;
}

static struct told *
find_told(const struct brf_mesh_departures *d, const char *id)
{
	struct told *told;
	struct brf_list *l;

	brf_list_foreach (l, &d->told) {
		told = brf_list_entry(l, struct told, member);
		if (strcmp(told->id, id) == 0)
			return (told);
	}
	return (NULL);
}

void
brf_mesh_departures_tell(
    struct brf_mesh_departures *d, const struct brf_entry *entry)
{
	struct told *told = find_told(d, entry->id);

	if (d->directory == NULL)
		return;
	if (told != NULL)
		told_free(told);
	told = brf_calloc(1, sizeof(*told));
	told->owner = d;
	brf_copy_name(told->id, sizeof(told->id), entry->id);
	brf_directory_export_entry(entry, &told->text);
	brf_list_append(&d->told, &told->member);
	choose_candidates(told);
	ask_more(told);
	if (told->pending == 0)
		told_free(told);
}

static void
kept_free(struct kept *kept)
{
	struct brf_mesh_departures *d = kept->delivery.owner;

	delivery_close(&kept->delivery);
	brf_list_remove(&kept->member);
	brf_buf_free(&kept->text);
	free(kept);
	d->kept_gauge->value = (double)--d->kept_count;
}

static void
kept_told(struct brf_link_note *note, enum brf_link_note_result result)
{
	struct delivery *delivery =
	    brf_container_of(note, struct delivery, note);
	struct kept *kept = brf_container_of(delivery, struct kept, delivery);

	delivery->open = false;
	if (result != BRF_LINK_NOTE_RECORDED)
		return;
	brf_log(BRF_LOG_INFO, "departure_recorded",
	    BRF_LS("target", kept->entry.id), BRF_LS("node", kept->entry.node));
	kept_free(kept);
}

static void
tell_node(struct kept *kept)
{
	struct delivery *delivery = &kept->delivery;

	if (delivery->open &&
	    now(delivery->owner) < delivery->sent_at + SILENT_US)
		return;
	if (delivery->open)
		delivery_close(delivery);
	delivery_send(delivery, &kept->entry.gate, &kept->text, kept_told);
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	struct brf_mesh_departures *d = arg;
	struct brf_list *l, *next;
	struct kept *kept;

	brf_list_foreach_safe (l, next, &d->kept) {
		kept = brf_list_entry(l, struct kept, member);
		if (now(d) >= kept->until)
			kept_free(kept);
		else if (d->directory != NULL)
			tell_node(kept);
	}
	if (d->kept_count != 0)
		brf_timer_start(d->config.timers, timer, TELL_US);
}

static struct kept *
find_kept(const struct brf_mesh_departures *d, const struct brf_entry *entry)
{
	struct kept *kept;
	struct brf_list *l;

	brf_list_foreach (l, &d->kept) {
		kept = brf_list_entry(l, struct kept, member);
		if (strcmp(kept->entry.id, entry->id) == 0 &&
		    strcmp(kept->entry.node, entry->node) == 0)
			return (kept);
	}
	return (NULL);
}

static bool
keep(struct brf_mesh_departures *d, const struct brf_entry *entry)
{
	struct kept *kept = find_kept(d, entry);

	if (kept != NULL && entry->born <= kept->entry.born &&
	    !brf_entry_supersedes(entry, &kept->entry))
		return (true);
	if (kept == NULL && d->kept_count == KEPT_MAX)
		return (false);
	if (kept != NULL)
		kept_free(kept);
	kept = brf_calloc(1, sizeof(*kept));
	kept->delivery.owner = d;
	kept->entry = *entry;
	kept->until = now(d) + KEEP_US;
	brf_directory_export_entry(entry, &kept->text);
	brf_list_append(&d->kept, &kept->member);
	d->kept_gauge->value = (double)++d->kept_count;
	brf_log(BRF_LOG_INFO, "departure_kept", BRF_LS("target", entry->id),
	    BRF_LS("node", entry->node),
	    BRF_LS("state", brf_target_state_name(entry->announced)));
	if (!brf_timer_active(&d->timer))
		brf_timer_start(d->config.timers, &d->timer, TELL_US);
	return (true);
}

/* Read a line of brf_directory_export(). */
static bool
read_line(struct brf_entry *entry, const char *text, size_t len,
    struct brf_error *err)
{
	const char *space = memchr(text, ' ', len);
	char key[BRF_ENTRY_KEY_MAX];
	size_t key_len = space != NULL ? (size_t)(space - text) : len;

	if (space == NULL || key_len >= sizeof(key))
		return (brf_error_set(err, BRF_E_ANNOUNCE, 0, "no key"));
	memcpy(key, text, key_len);
	key[key_len] = '\0';
	len -= key_len + 1;
	if (len != 0 && space[len] == '\n')
		len--;
	return (brf_entry_read(entry, key, space + 1, len, err));
}

static enum brf_link_note_result
got(struct brf_link_note_handler *handler, const char *text, size_t len)
{
	struct brf_mesh_departures *d =
	    brf_container_of(handler, struct brf_mesh_departures, handler);
	struct brf_error err = { .code = BRF_OK };
	struct brf_entry entry = { .announced = BRF_TARGET_READY };

	if (!read_line(&entry, text, len, &err)) {
		brf_log(BRF_LOG_WARN, "departure_unreadable", BRF_LE(&err));
		return (BRF_LINK_NOTE_REFUSED);
	}
	if (entry.announced == BRF_TARGET_READY)
		return (BRF_LINK_NOTE_REFUSED);
	if (strcmp(entry.node, d->config.node) == 0)
		return (d->config.adopt(d->config.arg, &entry));
	return (keep(d, &entry) ? BRF_LINK_NOTE_KEPT : BRF_LINK_NOTE_REFUSED);
}

static const struct brf_link_note_handler_vt handler_vt = { .got = got };

struct brf_mesh_departures *
brf_mesh_departures_new(const struct brf_mesh_departures_config *config)
{
	struct brf_mesh_departures *d = brf_calloc(1, sizeof(*d));

	d->handler.vt = &handler_vt;
	d->config = *config;
	brf_list_init(&d->told);
	brf_list_init(&d->kept);
	d->timer = (struct brf_timer){ .fire = on_timer, .arg = d };
	d->kept_gauge = brf_metrics_gauge(config->metrics,
	    "brf_departures_kept",
	    "Departures kept for other nodes until the store has them.", "");
	return (d);
}

void
brf_mesh_departures_free(struct brf_mesh_departures *d)
{
	struct brf_list *l;

	if (d == NULL)
		return;
	brf_timer_stop(d->config.timers, &d->timer);
	while ((l = brf_list_pop(&d->told)) != NULL)
		told_free(brf_list_entry(l, struct told, member));
	while ((l = brf_list_pop(&d->kept)) != NULL)
		kept_free(brf_list_entry(l, struct kept, member));
	free(d);
}

struct brf_link_note_handler *
brf_mesh_departures_handler(struct brf_mesh_departures *d)
{
	return (&d->handler);
}

void
brf_mesh_departures_connect(struct brf_mesh_departures *d,
    struct brf_links *links, const struct brf_directory *directory)
{
	d->links = links;
	d->directory = directory;
}
