#include "member/internal.h"

/**
 * DOC: Queues of pending updates, by the number of times they were sent.
 *
 * Each update is sent log2(n) + 4 times for n members.  Those sent least often
 * go first, so that datagrams stay bounded and old updates don't delay new
 * ones.
 */

#define EXTRA_TRANSMITS 4u

void
brf_updates_init(struct brf_members *ms)
{
	size_t i;

	for (i = 0; i < BRF_UPDATE_TRANSMITS_MAX; i++) {
		brf_list_init(&ms->updates[i]);
		brf_list_init(&ms->docs_updates[i]);
	}
}

static unsigned
transmit_limit(const struct brf_members *ms)
{
	size_t n = ms->table.rosters[BRF_ROSTER_ALL].count + 1;
	unsigned limit = EXTRA_TRANSMITS;

	while (n > 1 && limit < BRF_UPDATE_TRANSMITS_MAX) {
		n = (n + 1) / 2;
		limit++;
	}
	return (limit);
}

void
brf_updates_queue(struct brf_members *ms, struct brf_entry *e, bool full)
{
	e->update_full =
	    full || (e->update_full && !brf_list_empty(&e->updates));
	e->transmits = 0;
	brf_list_remove(&e->updates);
	brf_list_append(&ms->updates[0], &e->updates);
}

void
brf_updates_queue_docs(struct brf_members *ms, struct brf_entry *e)
{
	e->docs_transmits = 0;
	brf_list_remove(&e->docs_updates);
	brf_list_append(&ms->docs_updates[0], &e->docs_updates);
}

bool
brf_updates_pending(const struct brf_members *ms)
{
	size_t i;

	for (i = 0; i < BRF_UPDATE_TRANSMITS_MAX; i++) {
		if (!brf_list_empty(&ms->updates[i]) ||
		    !brf_list_empty(&ms->docs_updates[i]))
			return (true);
	}
	return (false);
}

static bool
append_update(struct brf_gossip *g, const struct brf_entry *e)
{
	struct brf_gossip_brief brief = { .key = e->member.node.lo,
		.version = e->version };

	if (e->update_full && !brf_entry_gone(e))
		return (brf_gossip_add_full(g, &e->member, &e->version));
	return (brf_gossip_add_brief(g, &brief));
}

static bool
append_docs(struct brf_gossip *g, const struct brf_entry *e)
{
	struct brf_gossip_docs docs = { .key = e->member.node.lo,
		.count = e->docs_count,
		.digest = e->member.docs_digest };

	return (brf_gossip_add_docs(g, &docs));
}

static void
fill_members(struct brf_members *ms, unsigned limit)
{
	struct brf_list *l, *tmp, taken;
	struct brf_entry *e;
	size_t i;

	brf_list_init(&taken);
	for (i = 0; i < BRF_UPDATE_TRANSMITS_MAX; i++) {
		brf_list_foreach_safe (l, tmp, &ms->updates[i]) {
			e = brf_list_entry(l, struct brf_entry, updates);
			if (!append_update(&ms->out, e))
				break;
			brf_list_remove(l);
			brf_list_append(&taken, l);
		}
	}
	brf_list_foreach_safe (l, tmp, &taken) {
		e = brf_list_entry(l, struct brf_entry, updates);
		brf_list_remove(l);
		if (++e->transmits < limit)
			brf_list_append(&ms->updates[e->transmits], l);
	}
}

static void
fill_docs(struct brf_members *ms, unsigned limit)
{
	struct brf_list *l, *tmp, taken;
	struct brf_entry *e;
	size_t i;

	brf_list_init(&taken);
	for (i = 0; i < BRF_UPDATE_TRANSMITS_MAX; i++) {
		brf_list_foreach_safe (l, tmp, &ms->docs_updates[i]) {
			e = brf_list_entry(l, struct brf_entry, docs_updates);
			if (!append_docs(&ms->out, e))
				break;
			brf_list_remove(l);
			brf_list_append(&taken, l);
		}
	}
	brf_list_foreach_safe (l, tmp, &taken) {
		e = brf_list_entry(l, struct brf_entry, docs_updates);
		brf_list_remove(l);
		if (++e->docs_transmits < limit)
			brf_list_append(
			    &ms->docs_updates[e->docs_transmits], l);
	}
}

void
brf_updates_piggyback(struct brf_members *ms)
{
	unsigned limit = transmit_limit(ms);

	fill_members(ms, limit);
	fill_docs(ms, limit);
}

/* Every other receiver is in this node's zone, as traffic between regions is
 * billed. */
static struct brf_entry *
pick_receiver(struct brf_members *ms)
{
	struct brf_table *t = &ms->table;

	if (ms->receiver_turn++ % 2 == 0 &&
	    t->rosters[BRF_ROSTER_OWN_ZONE].count > BRF_GOSSIP_FANOUT)
		return (brf_roster_random(t, BRF_ROSTER_OWN_ZONE));
	return (brf_roster_random(t, BRF_ROSTER_ALL));
}

void
brf_updates_gossip(struct brf_members *ms, unsigned receivers)
{
	struct brf_entry *to;
	unsigned burst;

	while (receivers-- > 0 && brf_updates_pending(ms)) {
		to = pick_receiver(ms);
		if (to == NULL)
			return;
		burst = BRF_GOSSIP_BURST;
		do {
			brf_members_begin(ms, BRF_GOSSIP_UPDATES);
			brf_updates_piggyback(ms);
			brf_members_send(ms, &to->member.addr);
		} while (--burst > 0 && !brf_list_empty(&ms->updates[0]));
	}
}
