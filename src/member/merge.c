#include "member/internal.h"

/**
 * DOC: Takes in the news of a datagram.
 *
 * News holds when it is newer by incarnation, and at one incarnation by
 * state.  Two cases are not believed at once: that a member which seems well
 * has failed makes it suspect, so that it can refute; and what a table says
 * of failures is verified by pings that carry the claim.
 */

static void
hear_of_self(struct brf_members *ms, const struct brf_gossip_version *claim)
{
	const struct brf_gossip_version *own = &ms->table.self->version;

	if (!brf_gossip_newer(claim, own))
		return;
	ms->metrics.refutations->value++;
	brf_members_advertise_self(
	    ms, claim->incarnation, (enum brf_gossip_state)own->state, false);
}

/* A life that began at an address ends the one before it there. */
static void
settle_address(struct brf_members *ms, struct brf_entry *e)
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
		settle_address(ms, e);
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

/* Forget the gone member that is longest known as such. */
static bool
make_room(struct brf_members *ms)
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
meet(struct brf_members *ms, const struct brf_gossip_full *full, bool pass_on)
{
	struct brf_entry *e;

	if (full->version.state >= BRF_GOSSIP_FAILED || !make_room(ms))
		return;
	e = brf_table_add(&ms->table, &full->member, &full->version);
	e->member.last_update = brf_now(brf_timers_clock(ms->config.timers));
	set_deadline(ms, e);
	ms->changed_at = brf_members_now(ms);
	if (pass_on)
		brf_updates_queue(ms, e, true);
	brf_members_notify(ms, NULL, &e->member);
	settle_address(ms, e);
}

/* Others' tables and ours differ on whether a member has failed. */
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
hear(struct brf_members *ms, uint64_t key,
    const struct brf_gossip_version *news, const struct brf_gossip_full *full)
{
	bool table = (ms->in.flags & BRF_GOSSIP_F_SYNC_REPLY) != 0;
	struct brf_entry *e = brf_table_find(&ms->table, key);
	struct brf_gossip_version version = *news;

	if (e == NULL) {
		/* what a table shows to a joiner is no news to others */
		if (full != NULL)
			meet(ms, full,
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
		return; /* a sync will bring the fields */
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

/* Documents change everywhere at once; only the first news of a digest is
 * passed on. */
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

/* The header speaks of the sender. */
static void
hear_of_sender(struct brf_members *ms)
{
	struct brf_gossip *g = &ms->in;
	const struct brf_gossip_full *full = find_full(g, g->sender.lo);
	struct brf_entry *e;

	hear(ms, g->sender.lo, &g->version, full);
	e = brf_table_find(&ms->table, g->sender.lo);
	if (e == NULL)
		return;
	e->last_received = brf_members_now(ms);
	e->member.last_update = brf_now(brf_timers_clock(ms->config.timers));
}

static void
hear_docs(struct brf_members *ms, const struct brf_gossip_docs *d)
{
	struct brf_entry *e = brf_table_find(&ms->table, d->key);

	if (e != NULL && e != ms->table.self)
		merge_docs(ms, e, d->count, d->digest, true);
}

/* After the items: one of them may be the same news, to be passed on. */
static void
hear_docs_of_sender(struct brf_members *ms)
{
	struct brf_gossip *g = &ms->in;
	struct brf_entry *e = brf_table_find(&ms->table, g->sender.lo);

	if (e != NULL)
		merge_docs(ms, e, g->docs_count, g->docs_digest, false);
}

/* Who seems gone is heard on itself and on us, and on nobody else: after a
 * partition its view of our side is old. */
static bool
believed(struct brf_members *ms)
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
	bool all;

	hear_of_sender(ms);
	all = believed(ms);
	for (i = 0; i < g->brief_count; i++) {
		if (g->briefs[i].key == own)
			hear_of_self(ms, &g->briefs[i].version);
		else if (all)
			hear(ms, g->briefs[i].key, &g->briefs[i].version, NULL);
	}
	for (i = 0; i < g->full_count; i++) {
		if (g->fulls[i].member.node.lo == own)
			hear_of_self(ms, &g->fulls[i].version);
		else if (all)
			hear(ms, g->fulls[i].member.node.lo,
			    &g->fulls[i].version, &g->fulls[i]);
	}
	for (i = 0; all && i < g->docs_items; i++)
		hear_docs(ms, &g->docs[i]);
	hear_docs_of_sender(ms);
}
