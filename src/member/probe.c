#include "member/internal.h"

/**
 * DOC: Probes: one a period, by turns over the own zone, each few over the
 * others.
 *
 * No ack in time: other nodes are asked to ping it.  No word from the member
 * through them either: it is suspect.  When not even those nodes are heard,
 * the fault is likely on this side, and it takes several such probes before
 * the node accuses another.
 */

static uint32_t
new_number(struct brf_members *ms)
{
	return ((uint32_t)brf_random_next(ms->config.random) | 1);
}

void
brf_probe_ping(struct brf_members *ms, const struct sockaddr_in *to,
    const struct brf_gossip_brief *claim, uint32_t number)
{
	struct brf_gossip *g = brf_members_begin(ms, BRF_GOSSIP_PING);

	g->number = number;
	if (claim != NULL)
		brf_gossip_add_brief(g, claim);
	brf_updates_piggyback(ms);
	brf_members_send(ms, to);
}

static void
ping_member(
    struct brf_members *ms, const struct brf_entry *target, uint32_t number)
{
	struct brf_gossip_brief claim = { .key = target->member.node.lo,
		.version = target->version };
	bool told = target->version.state >= BRF_GOSSIP_SUSPECT;

	brf_probe_ping(ms, &target->member.addr, told ? &claim : NULL, number);
}

void
brf_probe_ping_claim(struct brf_members *ms, const struct brf_entry *target,
    enum brf_gossip_state state)
{
	struct brf_gossip_brief claim = { .key = target->member.node.lo,
		.version = target->version };

	claim.version.state = (uint8_t)state;
	brf_probe_ping(ms, &target->member.addr, &claim, new_number(ms));
}

static void
begin_probe(struct brf_members *ms)
{
	struct brf_probe *p = &ms->probe;
	bool far = ++ms->probes % BRF_OTHER_ZONE_PROBE_EVERY == 0;
	uint64_t now = brf_members_now(ms);
	struct brf_entry *e;

	ms->next_probe = now + ms->config.period_us;
	e = brf_roster_next(
	    &ms->table, far ? BRF_ROSTER_OTHER_ZONES : BRF_ROSTER_OWN_ZONE);
	if (e == NULL)
		e = brf_roster_next(&ms->table, BRF_ROSTER_ALL);
	if (e == NULL)
		return;
	memset(p, 0, sizeof(*p));
	p->stage = BRF_PROBE_DIRECT;
	p->key = e->member.node.lo;
	p->number = new_number(ms);
	p->began = now;
	p->until = now + BRF_ACK_TICKS * ms->tick_us * (1 + ms->health);
	ping_member(ms, e, p->number);
}

static void
ask_relays(struct brf_members *ms, const struct brf_entry *target)
{
	struct brf_probe *p = &ms->probe;
	struct brf_entry *relay;
	struct brf_gossip *g;
	unsigned i;

	p->stage = BRF_PROBE_INDIRECT;
	p->until = p->began + ms->config.period_us * (1 + ms->health);
	for (i = 0; i < BRF_RELAYS; i++) {
		relay = brf_roster_random(&ms->table, BRF_ROSTER_ALL);
		if (relay == NULL || relay == target)
			continue;
		g = brf_members_begin(ms, BRF_GOSSIP_PING_REQ);
		g->number = p->number;
		g->target = target->member.addr;
		brf_updates_piggyback(ms);
		brf_members_send(ms, &relay->member.addr);
		p->relays_asked++;
	}
}

static void
end_probe(struct brf_members *ms, struct brf_entry *target)
{
	struct brf_probe *p = &ms->probe;
	bool alone = p->relays_asked != 0 && p->relays_started == 0;

	p->stage = BRF_PROBE_IDLE;
	if (alone && ms->health < BRF_HEALTH_WORST) {
		ms->health++;
		return;
	}
	if (target->last_received >= p->began)
		return;
	if (alone && ms->last_received_any >= p->began)
		return; /* no longer cut off; what was asked may be lost */
	brf_members_declare(ms, target, BRF_GOSSIP_SUSPECT);
	brf_verify_zone(ms, target);
}

void
brf_probe_abandon(struct brf_members *ms)
{
	ms->probe.stage = BRF_PROBE_IDLE;
}

static void
end_suspicions(struct brf_members *ms)
{
	uint64_t more =
	    ms->config.period_us * BRF_SUSPICION_PERIODS * ms->health;
	uint64_t now = brf_members_now(ms);
	struct brf_list *l, *tmp;
	struct brf_entry *e;

	brf_list_foreach_safe (l, tmp, &ms->table.suspects) {
		e = brf_list_entry(l, struct brf_entry, link);
		if (e->until + more <= now)
			brf_members_declare(ms, e, BRF_GOSSIP_FAILED);
	}
}

void
brf_probe_tick(struct brf_members *ms)
{
	struct brf_probe *p = &ms->probe;
	uint64_t now = brf_members_now(ms);
	struct brf_entry *target = NULL;

	end_suspicions(ms);
	if (p->stage != BRF_PROBE_IDLE) {
		target = brf_table_find(&ms->table, p->key);
		if (target == NULL || brf_entry_gone(target))
			p->stage = BRF_PROBE_IDLE;
		else if (p->until <= now && p->stage == BRF_PROBE_DIRECT)
			ask_relays(ms, target);
		else if (p->until <= now)
			end_probe(ms, target);
	}
	if (p->stage == BRF_PROBE_IDLE && ms->next_probe <= now)
		begin_probe(ms);
}

/* Return: whether the receiver lacks fields of the sender. */
static bool
is_stranger(const struct brf_members *ms, const struct brf_entry *sender)
{
	return (sender == NULL ||
		brf_gossip_newer(&ms->in.version, &sender->version));
}

void
brf_probe_handle_ping(struct brf_members *ms, const struct sockaddr_in *from)
{
	struct brf_entry *e = brf_table_find(&ms->table, ms->in.sender.lo);
	struct brf_gossip *g = brf_members_begin(ms, BRF_GOSSIP_ACK);
	struct brf_gossip_brief claim;

	g->number = ms->in.number;
	if (is_stranger(ms, e))
		g->flags |= BRF_GOSSIP_F_WANT_FULL;
	if (e != NULL && e->version.state >= BRF_GOSSIP_SUSPECT) {
		claim.key = e->member.node.lo;
		claim.version = e->version;
		brf_gossip_add_brief(g, &claim);
	}
	brf_updates_piggyback(ms);
	brf_members_send(ms, from);
}

void
brf_probe_handle_ping_req(
    struct brf_members *ms, const struct sockaddr_in *from)
{
	struct brf_relayed_ping *r = &ms->relayed[ms->next_relayed];
	struct brf_gossip *g;

	ms->next_relayed = (ms->next_relayed + 1) % BRF_RELAYED_PINGS_MAX;
	r->number = new_number(ms);
	r->origin_number = ms->in.number;
	r->to = *from;
	brf_probe_ping(ms, &ms->in.target, NULL, r->number);
	g = brf_members_begin(ms, BRF_GOSSIP_RELAY_STARTED);
	g->number = r->origin_number;
	brf_members_send(ms, from);
}

static void
pass_ack_on(struct brf_members *ms)
{
	struct brf_relayed_ping *r;
	struct brf_gossip *g;
	size_t i;

	for (i = 0; i < BRF_RELAYED_PINGS_MAX; i++) {
		r = &ms->relayed[i];
		if (r->number != ms->in.number)
			continue;
		r->number = 0;
		g = brf_members_begin(ms, BRF_GOSSIP_INDIRECT_ACK);
		g->number = r->origin_number;
		g->subject = ms->in.sender.lo;
		brf_updates_piggyback(ms);
		brf_members_send(ms, &r->to);
		return;
	}
}

void
brf_probe_handle_relay_started(struct brf_members *ms)
{
	if (ms->in.number == ms->probe.number)
		ms->probe.relays_started++;
}

/* The address has answered, but with another life: the old one is gone. */
static void
end_old_life(struct brf_members *ms)
{
	struct brf_entry *old = brf_table_find(&ms->table, ms->probe.key);

	if (old != NULL)
		brf_members_declare(ms, old, BRF_GOSSIP_LEFT);
}

void
brf_probe_handle_ack(struct brf_members *ms)
{
	struct brf_probe *p = &ms->probe;
	uint64_t who = ms->in.type == BRF_GOSSIP_INDIRECT_ACK
			   ? ms->in.subject
			   : ms->in.sender.lo;

	if (p->stage == BRF_PROBE_IDLE || p->number != ms->in.number) {
		if (ms->in.type == BRF_GOSSIP_ACK && ms->in.number != 0)
			pass_ack_on(ms);
		return;
	}
	p->stage = BRF_PROBE_IDLE;
	if (ms->health > 0)
		ms->health--;
	if (who != p->key)
		end_old_life(ms);
}
