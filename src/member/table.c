#include <stdlib.h>

#include <xxhash.h>

#include "member/table.h"

static const enum brf_member_state member_states[] = {
	[BRF_GOSSIP_STARTING] = BRF_MEMBER_STARTING,
	[BRF_GOSSIP_READY] = BRF_MEMBER_READY,
	[BRF_GOSSIP_DRAINING] = BRF_MEMBER_DRAINING,
	[BRF_GOSSIP_SUSPECT] = BRF_MEMBER_SUSPECT,
	[BRF_GOSSIP_FAILED] = BRF_MEMBER_GONE,
	[BRF_GOSSIP_LEFT] = BRF_MEMBER_GONE,
};

void
brf_table_init(struct brf_table *t, struct brf_random *random)
{
	memset(t, 0, sizeof(*t));
	t->random = random;
	brf_list_init(&t->suspects);
	brf_list_init(&t->gone);
}

void
brf_table_clear(struct brf_table *t)
{
	struct brf_entry *e, *next;
	size_t i;

	for (i = 0; i < BRF_TABLE_CHAINS; i++) {
		for (e = t->chains[i]; e != NULL; e = next) {
			next = e->next;
			free(e);
		}
	}
	for (i = 0; i < BRF_ROSTER_COUNT; i++)
		free(t->rosters[i].list);
}

static struct brf_entry **
chain_of(struct brf_table *t, uint64_t key)
{
	return (&t->chains[key % BRF_TABLE_CHAINS]);
}

struct brf_entry *
brf_table_find(const struct brf_table *t, uint64_t key)
{
	struct brf_entry *e = *chain_of((struct brf_table *)t, key);

	while (e != NULL && e->member.node.lo != key)
		e = e->next;
	return (e);
}

struct brf_entry *
brf_table_find_address(const struct brf_table *t,
    const struct sockaddr_in *addr, const struct brf_entry *but)
{
	const struct brf_roster *r = &t->rosters[BRF_ROSTER_ALL];
	struct brf_entry *e;
	size_t i;

	for (i = 0; i < r->count; i++) {
		e = r->list[i];
		if (e != but && e->member.addr.sin_port == addr->sin_port &&
		    e->member.addr.sin_addr.s_addr == addr->sin_addr.s_addr)
			return (e);
	}
	return (NULL);
}

static void
roster_put(struct brf_roster *r, size_t i, struct brf_entry *e, size_t id)
{
	r->list[i] = e;
	e->position[id] = i + 1;
}

/* Inserts at a random position, which spreads the probes of many new members
 * over a round. */
static void
roster_add(struct brf_table *t, size_t id, struct brf_entry *e)
{
	struct brf_roster *r = &t->rosters[id];
	size_t i;

	if (e->position[id] != 0)
		return;
	if (r->count == r->cap) {
		r->cap = r->cap != 0 ? r->cap * 2 : 16;
		r->list =
		    brf_realloc(r->list, r->cap * sizeof(struct brf_entry *));
	}
	i = brf_random_below(t->random, r->count + 1);
	if (i != r->count)
		roster_put(r, r->count, r->list[i], id);
	roster_put(r, i, e, id);
	r->count++;
}

static void
roster_remove(struct brf_table *t, size_t id, struct brf_entry *e)
{
	struct brf_roster *r = &t->rosters[id];
	size_t i = e->position[id];

	if (i == 0)
		return;
	e->position[id] = 0;
	r->count--;
	if (i - 1 != r->count)
		roster_put(r, i - 1, r->list[r->count], id);
}

static void
shuffle(struct brf_roster *r, struct brf_random *random, size_t id)
{
	struct brf_entry *e;
	size_t i, j;

	for (i = r->count; i > 1; i--) {
		j = brf_random_below(random, i);
		e = r->list[i - 1];
		roster_put(r, i - 1, r->list[j], id);
		roster_put(r, j, e, id);
	}
}

struct brf_entry *
brf_roster_next(struct brf_table *t, enum brf_roster_id id)
{
	struct brf_roster *r = &t->rosters[id];

	if (r->count == 0)
		return (NULL);
	if (r->next >= r->count) {
		shuffle(r, t->random, id);
		r->next = 0;
	}
	return (r->list[r->next++]);
}

struct brf_entry *
brf_roster_random(const struct brf_table *t, enum brf_roster_id id)
{
	const struct brf_roster *r = &t->rosters[id];

	if (r->count == 0)
		return (NULL);
	return (r->list[brf_random_below(t->random, r->count)]);
}

/* The digest of a part is the XOR of its entries' digests. */
static uint32_t
entry_digest(const struct brf_entry *e)
{
	uint64_t words[2] = { e->member.node.lo, e->version.incarnation };

	if (brf_entry_gone(e))
		return (0);
	return ((uint32_t)XXH3_64bits(words, sizeof(words)));
}

uint64_t
brf_table_digest(const struct brf_table *t)
{
	return (XXH3_64bits(t->parts, sizeof(t->parts)));
}

static void
update_lists(struct brf_table *t, struct brf_entry *e)
{
	const struct brf_member *self = &t->self->member;
	bool same_zone = strcmp(e->member.zone, self->zone) == 0;
	size_t zone_roster =
	    same_zone ? BRF_ROSTER_OWN_ZONE : BRF_ROSTER_OTHER_ZONES;
	bool gone = brf_entry_gone(e);

	brf_list_remove(&e->link);
	if (e == t->self)
		return;
	if (gone)
		brf_list_append(&t->gone, &e->link);
	if (e->version.state == BRF_GOSSIP_SUSPECT)
		brf_list_append(&t->suspects, &e->link);
	if (gone) {
		roster_remove(t, BRF_ROSTER_ALL, e);
		roster_remove(t, zone_roster, e);
	} else {
		roster_add(t, BRF_ROSTER_ALL, e);
		roster_add(t, zone_roster, e);
	}
	if (e->version.state == BRF_GOSSIP_FAILED)
		roster_add(t, BRF_ROSTER_FAILED, e);
	else
		roster_remove(t, BRF_ROSTER_FAILED, e);
}

void
brf_table_set_version(struct brf_table *t, struct brf_entry *e,
    const struct brf_gossip_version *version)
{
	uint32_t *part = &t->parts[brf_table_part(e->member.node.lo)];

	*part ^= entry_digest(e);
	e->version = *version;
	*part ^= entry_digest(e);
	e->member.incarnation = version->incarnation;
	e->member.state = member_states[version->state];
	update_lists(t, e);
}

struct brf_entry *
brf_table_add(struct brf_table *t, const struct brf_member *member,
    const struct brf_gossip_version *version)
{
	static const struct brf_gossip_version none = { .state =
							    BRF_GOSSIP_LEFT };
	struct brf_entry *e, **chain = chain_of(t, member->node.lo);

	if (t->count == BRF_MEMBERS_MAX)
		return (NULL);
	e = brf_calloc(1, sizeof(*e));
	e->member = *member;
	e->version = none;
	brf_list_init(&e->link);
	brf_list_init(&e->updates);
	brf_list_init(&e->docs_updates);
	brf_list_init(&e->verify);
	e->next = *chain;
	*chain = e;
	t->count++;
	if (t->self == NULL)
		t->self = e;
	brf_table_set_version(t, e, version);
	return (e);
}

void
brf_table_remove(struct brf_table *t, struct brf_entry *e)
{
	struct brf_entry **at = chain_of(t, e->member.node.lo);
	size_t id;

	while (*at != e)
		at = &(*at)->next;
	*at = e->next;
	t->count--;
	t->parts[brf_table_part(e->member.node.lo)] ^= entry_digest(e);
	for (id = 0; id < BRF_ROSTER_COUNT; id++)
		roster_remove(t, id, e);
	brf_list_remove(&e->link);
	brf_list_remove(&e->updates);
	brf_list_remove(&e->docs_updates);
	brf_list_remove(&e->verify);
	if (t->self == e)
		t->self = NULL;
	free(e);
}
