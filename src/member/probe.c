#include "member/internal.h"

/**
 * DOC: Failure detection by direct and indirect probes.
 *
 * Each period one member is pinged, by round robin over this node's zone, and
 * each BRF_OTHER_ZONE_PROBE_EVERY-th time over the other zones.  If the ack
 * does not arrive in time, up to BRF_RELAYS other members are asked to ping it.
 * If no ack arrives through them either, the member is suspect.  If not even
 * the relays confirm the request, this node is likely cut off itself; its local
 * health gets worse, and it suspects a member only after several such probes,
 * when the local health is at its worst.
 */

static uint32_t
random_number(struct brf_members *ms)
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
	bool claimed = target->version.state >= BRF_GOSSIP_SUSPECT;

	brf_probe_ping(
	    ms, &target->member.addr, claimed ? &claim : NULL, number);
}

void
brf_probe_ping_claim(struct brf_members *ms, const struct brf_entry *target,
    enum brf_gossip_state state)
{
	struct brf_gossip_brief claim = { .key = target->member.node.lo,
		.version = target->version };

	claim.version.state = (uint8_t)state;
	brf_probe_ping(ms, &target->member.addr, &claim, random_number(ms));
}

static void
begin_probe(struct brf_members *ms)
{
	struct brf_probe *p = &ms->probe;
	bool other_zone = ++ms->probes % BRF_OTHER_ZONE_PROBE_EVERY == 0;
	uint64_t now = brf_members_now(ms);
	struct brf_entry *e;

	ms->next_probe = now + ms->config.period_us;
	e = brf_roster_next(&ms->table,
	    other_zone ? BRF_ROSTER_OTHER_ZONES : BRF_ROSTER_OWN_ZONE);
	if (e == NULL)
		e = brf_roster_next(&ms->table, BRF_ROSTER_ALL);
	if (e == NULL)
		return;
	memset(p, 0, sizeof(*p));
	p->stage = BRF_PROBE_DIRECT;
	p->key = e->member.node.lo;
	p->number = random_number(ms);
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
	bool isolated = p->relays_asked != 0 && p->relays_started == 0;

	p->stage = BRF_PROBE_IDLE;
	if (isolated && ms->health < BRF_HEALTH_WORST) {
		ms->health++;
		return;
	}
	if (target->last_received >= p->began)
		return;
	if (isolated && ms->last_received_any >= p->began)
		return; /* connected again; the requests may have been lost */
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
	uint64_t extension =
	    ms->config.period_us * BRF_SUSPICION_PERIODS * ms->health;
	uint64_t now = brf_members_now(ms);
	struct brf_list *l, *tmp;
	struct brf_entry *e;

	brf_list_foreach_safe (l, tmp, &ms->table.suspects) {
		e = brf_list_entry(l, struct brf_entry, link);
		if (e->until + extension <= now)
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

/* Whether this node lacks the present version of the sender. */
static bool
lacks_sender_fields(
    const struct brf_members *ms, const struct brf_entry *sender)
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
	if (lacks_sender_fields(ms, e))
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
	r->number = random_number(ms);
	r->origin_number = ms->in.number;
	r->to = *from;
	brf_probe_ping(ms, &ms->in.target, NULL, r->number);
	g = brf_members_begin(ms, BRF_GOSSIP_RELAY_STARTED);
	g->number = r->origin_number;
	brf_members_send(ms, from);
}

static void
forward_ack(struct brf_members *ms)
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

/* The ack came from another node id, so a new process runs at the address of
 * the probed member. */
static void
declare_replaced(struct brf_members *ms)
{
	struct brf_entry *old = brf_table_find(&ms->table, ms->probe.key);

	if (old != NULL)
		brf_members_declare(ms, old, BRF_GOSSIP_LEFT);
}

void
brf_probe_handle_ack(struct brf_members *ms)
{
	struct brf_probe *p = &ms->probe;
	uint64_t acked_by = ms->in.type == BRF_GOSSIP_INDIRECT_ACK
				? ms->in.subject
				: ms->in.sender.lo;

	if (p->stage == BRF_PROBE_IDLE || p->number != ms->in.number) {
		if (ms->in.type == BRF_GOSSIP_ACK && ms->in.number != 0)
			forward_ack(ms);
		return;
	}
	p->stage = BRF_PROBE_IDLE;
	if (ms->health > 0)
		ms->health--;
	if (acked_by != p->key)
		declare_replaced(ms);
}
