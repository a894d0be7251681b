#include "member/internal.h"

/**
 * DOC: Reconnects nodes after a partition, and joins through the seeds.
 *
 * Failed members are kept in the table and pinged, one each period; while gone
 * members come back, BRF_RECONNECT_PER_TICK each tick.  Each ping carries the
 * claim about the receiver, so that it can refute.  Seeds from the settings
 * are pinged without end, so that the sides of a partition meet again even if
 * all nodes of a side were replaced.
 */

void
brf_verify_member(struct brf_members *ms, struct brf_entry *e, bool claim)
{
	if (!brf_list_empty(&e->verify))
		return;
	e->verify_claim = claim;
	e->verify_incarnation = e->version.incarnation;
	e->verify_pings_left = BRF_VERIFY_PINGS;
	brf_list_append(&ms->verify, &e->verify);
}

void
brf_verify_zone(struct brf_members *ms, const struct brf_entry *e)
{
	const struct brf_member *self = &ms->table.self->member;
	bool cut_off = ms->health == BRF_HEALTH_WORST;
	uint64_t recent = brf_members_now(ms) - ms->config.period_us;
	const struct brf_roster *r = &ms->table.rosters[BRF_ROSTER_ALL];
	size_t i, first = brf_random_below(ms->config.random, r->count + 1);
	unsigned left = BRF_VERIFY_ZONE;
	struct brf_entry *other;

	if (strcmp(e->member.zone, self->zone) == 0 && !cut_off)
		return;
	for (i = 0; i < r->count && left > 0; i++) {
		other = r->list[(first + i) % r->count];
		if (other->version.state >= BRF_GOSSIP_SUSPECT ||
		    other->last_received >= recent ||
		    (strcmp(other->member.zone, e->member.zone) != 0 &&
			!cut_off))
			continue;
		brf_verify_member(ms, other, false);
		left--;
	}
}

/* Whether another process runs at the address of a failed member, which can
 * thus not come back. */
static bool
is_replaced(struct brf_members *ms, const struct brf_entry *e)
{
	const struct sockaddr_in *own = &ms->table.self->member.addr;

	return (
	    brf_table_find_address(&ms->table, &e->member.addr, e) != NULL ||
	    (own->sin_port == e->member.addr.sin_port &&
		own->sin_addr.s_addr == e->member.addr.sin_addr.s_addr));
}

static void
ping_failed(struct brf_members *ms)
{
	struct brf_entry *e = brf_roster_next(&ms->table, BRF_ROSTER_FAILED);

	if (e == NULL)
		return;
	if (is_replaced(ms, e))
		brf_members_declare(ms, e, BRF_GOSSIP_LEFT);
	else
		brf_probe_ping_claim(ms, e, BRF_GOSSIP_FAILED);
}

static void
reconnect_step(struct brf_members *ms)
{
	uint64_t now = brf_members_now(ms);
	unsigned i;

	if (now < ms->reconnect_until) {
		for (i = 0; i < BRF_RECONNECT_PER_TICK; i++)
			ping_failed(ms);
	} else if (ms->next_reconnect <= now) {
		ms->next_reconnect = now + ms->config.period_us;
		ping_failed(ms);
	}
}

static void
verify(struct brf_members *ms, struct brf_entry *e)
{
	brf_list_remove(&e->verify);
	if (e->verify_incarnation != e->version.incarnation)
		return; /* it has raised its incarnation since */
	if (e->verify_claim)
		brf_probe_ping_claim(ms, e, BRF_GOSSIP_FAILED);
	else
		brf_probe_ping_claim(
		    ms, e, (enum brf_gossip_state)e->version.state);
	if (e->version.state >= BRF_GOSSIP_SUSPECT)
		return;
	e->verify_at = brf_members_now(ms);
	e->verify_pings_left--;
	brf_list_append(&ms->checks, &e->verify);
}

static void
verify_step(struct brf_members *ms)
{
	unsigned i;

	for (i = 0; i < BRF_VERIFY_PER_TICK; i++) {
		if (brf_list_empty(&ms->verify))
			return;
		verify(ms,
		    brf_list_entry(ms->verify.next, struct brf_entry, verify));
	}
}

/* Looks for datagrams from the members pinged out of turn.  All wait equally
 * long, so the list is in the order of the timeouts. */
static void
check_step(struct brf_members *ms)
{
	uint64_t wait = BRF_ACK_TICKS * ms->tick_us * (1 + ms->health);
	uint64_t now = brf_members_now(ms);
	struct brf_entry *e;

	while (!brf_list_empty(&ms->checks)) {
		e = brf_list_entry(ms->checks.next, struct brf_entry, verify);
		if (e->verify_at + wait > now)
			return;
		brf_list_remove(&e->verify);
		if (e->last_received >= e->verify_at)
			continue;
		if (e->verify_pings_left != 0)
			brf_list_prepend(&ms->verify, &e->verify);
		else
			brf_members_declare(ms, e, BRF_GOSSIP_SUSPECT);
	}
}

/* Removes members from the table that have been gone for long. */
static void
forget_step(struct brf_members *ms)
{
	uint64_t now = brf_members_now(ms);
	struct brf_list *l, *tmp;
	struct brf_member before;
	struct brf_entry *e;

	brf_list_foreach_safe (l, tmp, &ms->table.gone) {
		e = brf_list_entry(l, struct brf_entry, link);
		if (e->until > now)
			continue;
		before = e->member;
		brf_table_remove(&ms->table, e);
		brf_members_notify(ms, &before, NULL);
	}
}

static void
ping_seed(struct brf_members *ms, const struct sockaddr_in *seed)
{
	const struct brf_entry *self = ms->table.self;
	struct brf_gossip *g;

	if (self->member.addr.sin_port == seed->sin_port &&
	    self->member.addr.sin_addr.s_addr == seed->sin_addr.s_addr)
		return;
	g = brf_members_begin(ms, BRF_GOSSIP_PING);
	brf_gossip_add_full(g, &self->member, &self->version);
	brf_members_send(ms, seed);
}

void
brf_members_contact(struct brf_members *ms, const struct sockaddr_in *addr)
{
	if (!ms->leaving &&
	    brf_table_find_address(&ms->table, addr, NULL) == NULL)
		ping_seed(ms, addr);
}

static void
seed_step(struct brf_members *ms)
{
	uint64_t now = brf_members_now(ms), period = ms->config.period_us;
	size_t i;

	if (ms->config.seed_count == 0 || now < ms->next_seed)
		return;
	if (ms->table.rosters[BRF_ROSTER_ALL].count != 0) {
		ms->next_seed = now + BRF_SEED_PERIODS * period;
		ms->seed_wait = 0;
		i = ms->seed_turn++ % ms->config.seed_count;
		brf_members_contact(ms, &ms->config.seeds[i]);
		return;
	}
	ms->seed_wait += 2 * ms->tick_us;
	if (ms->seed_wait > period)
		ms->seed_wait = period;
	ms->next_seed = now + ms->seed_wait / 2 +
			brf_random_below(ms->config.random, ms->seed_wait);
	for (i = 0; i < ms->config.seed_count; i++)
		ping_seed(ms, &ms->config.seeds[i]);
}

void
brf_reconnect_tick(struct brf_members *ms)
{
	reconnect_step(ms);
	verify_step(ms);
	check_step(ms);
	forget_step(ms);
	seed_step(ms);
}
