#include "member/internal.h"

/**
 * DOC: Anti-entropy: repairs what lost datagrams left out of the table.
 *
 * Each header carries a digest of the sender's table.  If it differs from that
 * of this node for some periods, this node sends a sync with the digests of
 * all parts of its table.  The receiver answers with its entries of the parts
 * that differ, in a bounded number of datagrams.  A node that has just started
 * syncs in each tick, with random members and senders of datagrams, until the
 * digests agree.
 */

static void
send_sync(struct brf_members *ms, const struct sockaddr_in *to)
{
	struct brf_gossip *g = brf_members_begin(ms, BRF_GOSSIP_SYNC);

	memcpy(g->parts, ms->table.parts, sizeof(g->parts));
	ms->metrics.syncs->value++;
	brf_members_send(ms, to);
}

void
brf_sync_tick(struct brf_members *ms)
{
	uint64_t now = brf_members_now(ms);
	const struct brf_entry *e;

	if (now >= ms->catch_up_until || now < ms->next_sync)
		return;
	e = brf_roster_random(&ms->table, BRF_ROSTER_ALL);
	if (e == NULL)
		return;
	ms->next_sync = now + ms->tick_us;
	send_sync(ms, &e->member.addr);
}

void
brf_sync_check_digest(struct brf_members *ms, const struct sockaddr_in *from)
{
	uint64_t now = brf_members_now(ms), period = ms->config.period_us;
	bool quiet = now >= ms->changed_at + BRF_SYNC_PERIODS * period;
	bool overdue = now >= ms->last_sync + BRF_SYNC_LATEST_PERIODS * period;

	if (ms->in.digest == brf_table_digest(&ms->table)) {
		if (now >= ms->changed_at + period)
			ms->catch_up_until = 0;
		return;
	}
	if (now < ms->catch_up_until)
		quiet = true;
	if (now < ms->next_sync || (!quiet && !overdue))
		return;
	ms->next_sync =
	    now + (now < ms->catch_up_until ? ms->tick_us
					    : BRF_SYNC_PERIODS * period);
	ms->last_sync = now;
	send_sync(ms, from);
}

static bool
append_entry(struct brf_gossip *g, const struct brf_entry *e)
{
	struct brf_gossip_brief brief = { .key = e->member.node.lo,
		.version = e->version };

	if (brf_entry_gone(e))
		return (brf_gossip_add_brief(g, &brief));
	return (brf_gossip_add_full(g, &e->member, &e->version));
}

static void
begin_reply(struct brf_members *ms)
{
	struct brf_gossip *g = brf_members_begin(ms, BRF_GOSSIP_UPDATES);

	g->flags |= BRF_GOSSIP_F_SYNC_REPLY;
}

/* Adds the entries of a chain to the reply.  Return: datagrams left; 0 ends
 * the reply. */
static unsigned
send_chain(struct brf_members *ms, const struct brf_entry *e,
    const struct sockaddr_in *to, unsigned left)
{
	for (; e != NULL; e = e->next) {
		if (append_entry(&ms->out, e))
			continue;
		brf_members_send(ms, to);
		if (--left == 0)
			return (0);
		begin_reply(ms);
		append_entry(&ms->out, e);
	}
	return (left);
}

/* Starts at a random part, so that repeated replies cover all parts even if
 * each is cut short. */
void
brf_sync_handle(struct brf_members *ms, const struct sockaddr_in *from)
{
	size_t first = brf_random_below(ms->config.random, BRF_GOSSIP_PARTS);
	unsigned left = BRF_SYNC_DATAGRAMS;
	size_t i, part, chain;

	if (ms->syncs_served++ >= BRF_SYNC_SERVED_PER_TICK)
		return;
	begin_reply(ms);
	for (i = 0; i < BRF_GOSSIP_PARTS; i++) {
		part = (first + i) % BRF_GOSSIP_PARTS;
		if (ms->in.parts[part] == ms->table.parts[part])
			continue;
		for (chain = part; chain < BRF_TABLE_CHAINS;
		     chain += BRF_GOSSIP_PARTS) {
			left =
			    send_chain(ms, ms->table.chains[chain], from, left);
			if (left == 0)
				return;
		}
	}
	if (ms->out.brief_count + ms->out.full_count != 0)
		brf_members_send(ms, from);
}
