#include "member/internal.h"

/**
 * DOC: Applies the updates of a received datagram to the table.
 *
 * An update is applied if it is newer, see brf_gossip_newer().  Two claims are
 * not applied as they are.  A member reported as failed that is not suspect
 * here becomes suspect first, so that it can refute.  An entry of a sync reply
 * that differs from this node's table on whether a member has failed causes a
 * ping to that member, which carries the claim that it has failed.
 */

/* Refutes a claim about this node that overrides its own version. */
static void
merge_self_claim(struct brf_members *ms, const struct brf_gossip_version *claim)
{
	const struct brf_gossip_version *own = &ms->table.self->version;

	if (!brf_gossip_newer(claim, own))
		return;
	ms->metrics.refutations->value++;
	brf_members_advertise_self(
	    ms, claim->incarnation, (enum brf_gossip_state)own->state, false);
}

/* A process that started at an address replaces the one that ran there. */
static void
resolve_address_conflict(struct brf_members *ms, struct brf_entry *e)
{
	const struct sockaddr_in *own = &ms->table.self->member.addr;
	struct brf_entry *other;

	if (own->sin_port == e->member.addr.sin_port &&
	    own->sin_addr.s_addr == e->member.addr.sin_addr.s_addr) {
		brf_members_declare(ms, e, BRF_GOSSIP_LEFT);
		return;
	}
	other = brf_table_find_address(&ms->table, &e->member.addr, e);
	if (other != NULL)
		brf_members_declare(ms, other, BRF_GOSSIP_FAILED);
}

static void
copy_fields(struct brf_member *to, const struct brf_member *from)
{
	memcpy(to->service, from->service, sizeof(to->service));
	to->slots = from->slots;
}

static void
set_deadline(struct brf_members *ms, struct brf_entry *e)
{
	uint64_t now = brf_members_now(ms), period = ms->config.period_us;

	if (e->version.state == BRF_GOSSIP_SUSPECT)
		e->until = now + BRF_SUSPICION_PERIODS * period;
	else if (e->version.state == BRF_GOSSIP_FAILED)
		e->until = now + BRF_FORGET_PERIODS * period;
	else if (e->version.state == BRF_GOSSIP_LEFT)
		e->until = now + BRF_FORGET_LEFT_PERIODS * period;
}

static void
apply(struct brf_members *ms, struct brf_entry *e,
    const struct brf_gossip_version *version,
    const struct brf_gossip_full *full, bool pass_on)
{
	struct brf_member before = e->member;
	bool was_gone = brf_entry_gone(e);

	if (full != NULL)
		copy_fields(&e->member, &full->member);
	e->member.last_update = brf_now(brf_timers_clock(ms->config.timers));
	brf_table_set_version(&ms->table, e, version);
	set_deadline(ms, e);
	ms->changed_at = brf_members_now(ms);
	if (pass_on)
		brf_updates_queue(ms, e, full != NULL);
	brf_members_notify(ms, &before, &e->member);
	if (was_gone && !brf_entry_gone(e)) {
		ms->reconnect_until =
		    brf_members_now(ms) +
		    BRF_RECONNECT_PERIODS * ms->config.period_us;
		resolve_address_conflict(ms, e);
	}
}

void
brf_members_declare(
    struct brf_members *ms, struct brf_entry *e, enum brf_gossip_state state)
{
	struct brf_gossip_version version = e->version;

	version.state = (uint8_t)state;
	if (!brf_gossip_newer(&version, &e->version))
		return;
	if (state == BRF_GOSSIP_SUSPECT)
		ms->metrics.suspicions->value++;
	if (state == BRF_GOSSIP_FAILED)
		ms->metrics.failures->value++;
	apply(ms, e, &version, NULL, true);
}

/* Frees an entry in a full table by removing the longest gone member.  Return:
 * false if the table stays full. */
static bool
evict_gone(struct brf_members *ms)
{
	struct brf_entry *e;
	struct brf_member before;

	if (ms->table.count < BRF_MEMBERS_MAX)
		return (true);
	if (brf_list_empty(&ms->table.gone))
		return (false);
	e = brf_list_entry(ms->table.gone.next, struct brf_entry, link);
	before = e->member;
	brf_table_remove(&ms->table, e);
	brf_members_notify(ms, &before, NULL);
	return (true);
}

static void
add_member(
    struct brf_members *ms, const struct brf_gossip_full *full, bool pass_on)
{
	struct brf_entry *e;

	if (full->version.state >= BRF_GOSSIP_FAILED || !evict_gone(ms))
		return;
	e = brf_table_add(&ms->table, &full->member, &full->version);
	e->member.last_update = brf_now(brf_timers_clock(ms->config.timers));
	set_deadline(ms, e);
	ms->changed_at = brf_members_now(ms);
	if (pass_on)
		brf_updates_queue(ms, e, true);
	brf_members_notify(ms, NULL, &e->member);
	resolve_address_conflict(ms, e);
}

/* Whether the tables differ on whether a member has failed. */
static bool
differs_on_failure(
    const struct brf_entry *e, const struct brf_gossip_version *version)
{
	bool failed = version->state == BRF_GOSSIP_FAILED;

	return (e->version.state != BRF_GOSSIP_LEFT &&
		version->state != BRF_GOSSIP_LEFT &&
		e->version.incarnation == version->incarnation &&
		brf_entry_gone(e) != failed);
}

static void
merge_update(struct brf_members *ms, uint64_t key,
    const struct brf_gossip_version *received,
    const struct brf_gossip_full *full)
{
	/* the updates are entries of a table, sent in answer to a sync */
	bool table = (ms->in.flags & BRF_GOSSIP_F_SYNC_REPLY) != 0;
	struct brf_entry *e = brf_table_find(&ms->table, key);
	struct brf_gossip_version version = *received;

	if (e == NULL) {
		/* members that a joining node learns from a sync reply are
		 * known to others already, so they are not gossiped */
		if (full != NULL)
			add_member(ms, full,
			    !table ||
				brf_members_now(ms) >= ms->catch_up_until);
		return;
	}
	if (full != NULL && full->member.node.hi != e->member.node.hi)
		return;
	if (table && differs_on_failure(e, &version)) {
		brf_verify_member(ms, e, true);
		return;
	}
	if (!brf_gossip_newer(&version, &e->version))
		return;
	if (full == NULL && version.state < BRF_GOSSIP_FAILED &&
	    version.fields != e->version.fields)
		return; /* the fields arrive with a later sync */
	if (full == NULL)
		version.fields = e->version.fields;
	if (version.state == BRF_GOSSIP_FAILED &&
	    e->version.state < BRF_GOSSIP_SUSPECT)
		version.state = BRF_GOSSIP_SUSPECT;
	apply(ms, e, &version, full, !table);
}

bool
brf_members_docs_known(
    const struct brf_members *ms, uint64_t digest, const struct brf_entry *but)
{
	const struct brf_roster *r = &ms->table.rosters[BRF_ROSTER_ALL];
	const struct brf_entry *self = ms->table.self;
	size_t i;

	if (but != self && self->member.docs_digest == digest)
		return (true);
	for (i = 0; i < r->count; i++) {
		if (r->list[i] != but &&
		    r->list[i]->member.docs_digest == digest)
			return (true);
	}
	return (false);
}

/* Applies a document digest.  All nodes adopt new documents at about the same
 * time, so only the first update with a new digest is gossiped. */
static void
merge_docs(struct brf_members *ms, struct brf_entry *e, uint32_t count,
    uint64_t digest, bool pass_on)
{
	struct brf_member before = e->member;

	if ((int32_t)(count - e->docs_count) <= 0)
		return;
	e->docs_count = count;
	if (e->member.docs_digest == digest)
		return;
	pass_on = pass_on && !brf_members_docs_known(ms, digest, e);
	e->member.docs_digest = digest;
	if (pass_on)
		brf_updates_queue_docs(ms, e);
	brf_members_notify(ms, &before, &e->member);
}

static const struct brf_gossip_full *
find_full(const struct brf_gossip *g, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < g->full_count; i++) {
		if (g->fulls[i].member.node.lo == key)
			return (&g->fulls[i]);
	}
	return (NULL);
}

/* Applies the header, which is an update of the sender. */
static void
merge_sender(struct brf_members *ms)
{
	struct brf_gossip *g = &ms->in;
	const struct brf_gossip_full *full = find_full(g, g->sender.lo);
	struct brf_entry *e;

	merge_update(ms, g->sender.lo, &g->version, full);
	e = brf_table_find(&ms->table, g->sender.lo);
	if (e == NULL)
		return;
	e->last_received = brf_members_now(ms);
	e->member.last_update = brf_now(brf_timers_clock(ms->config.timers));
}

static void
merge_docs_update(struct brf_members *ms, const struct brf_gossip_docs *d)
{
	struct brf_entry *e = brf_table_find(&ms->table, d->key);

	if (e != NULL && e != ms->table.self)
		merge_docs(ms, e, d->count, d->digest, true);
}

/* Applies the sender's digest in the header, which is not gossiped.  Called
 * after the list of updates on documents, as that may hold the same digest,
 * which is to be gossiped. */
static void
merge_sender_docs(struct brf_members *ms)
{
	struct brf_gossip *g = &ms->in;
	struct brf_entry *e = brf_table_find(&ms->table, g->sender.lo);

	if (e != NULL)
		merge_docs(ms, e, g->docs_count, g->docs_digest, false);
}

/* Whether updates of third nodes are applied.  A sender that is gone here is
 * believed only on itself and on this node: after a partition its view of the
 * members on this side is outdated.  An unknown sender is believed if it
 * answers a sync or this node knows no other member. */
static bool
is_sender_trusted(struct brf_members *ms)
{
	struct brf_entry *e = brf_table_find(&ms->table, ms->in.sender.lo);

	if (e == NULL)
		return ((ms->in.flags & BRF_GOSSIP_F_SYNC_REPLY) != 0 ||
			ms->table.rosters[BRF_ROSTER_ALL].count == 0);
	return (!brf_entry_gone(e));
}

void
brf_merge(struct brf_members *ms)
{
	struct brf_gossip *g = &ms->in;
	uint64_t own = ms->table.self->member.node.lo;
	uint32_t i;
	bool trusted;

	merge_sender(ms);
	trusted = is_sender_trusted(ms);
	for (i = 0; i < g->brief_count; i++) {
		if (g->briefs[i].key == own)
			merge_self_claim(ms, &g->briefs[i].version);
		else if (trusted)
			merge_update(
			    ms, g->briefs[i].key, &g->briefs[i].version, NULL);
	}
	for (i = 0; i < g->full_count; i++) {
		if (g->fulls[i].member.node.lo == own)
			merge_self_claim(ms, &g->fulls[i].version);
		else if (trusted)
			merge_update(ms, g->fulls[i].member.node.lo,
			    &g->fulls[i].version, &g->fulls[i]);
	}
	for (i = 0; trusted && i < g->docs_items; i++)
		merge_docs_update(ms, &g->docs[i]);
	merge_sender_docs(ms);
}
