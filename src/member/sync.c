#include "member/internal.h"

/**
 * DOC: Anti-entropy: what lost datagrams left out is found by digests.
 *
 * Each header has a digest of the sender's table.  Where it differs from the
 * own for long, the node sends the digests of all parts of its table; the
 * other answers with its entries of the parts that differ, in a bounded
 * number of datagrams.  A joiner does so again and again, with whomever it
 * hears, until the digests agree.
 */

static void
ask(struct brf_members *ms, const struct sockaddr_in *to)
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
	ask(ms, &e->member.addr);
}

void
brf_sync_check_digest(struct brf_members *ms, const struct sockaddr_in *from)
{
	uint64_t now = brf_members_now(ms), period = ms->config.period_us;
	bool quiet = now >= ms->changed_at + BRF_SYNC_PERIODS * period;
	bool late = now >= ms->last_sync + BRF_SYNC_LATEST_PERIODS * period;

	if (ms->in.digest == brf_table_digest(&ms->table)) {
		if (now >= ms->changed_at + period)
			ms->catch_up_until = 0;
		return;
	}
	if (now < ms->catch_up_until)
		quiet = true;
	if (now < ms->next_sync || (!quiet && !late))
		return;
	ms->next_sync =
	    now + (now < ms->catch_up_until ? ms->tick_us
					    : BRF_SYNC_PERIODS * period);
	ms->last_sync = now;
	ask(ms, from);
}

static bool
put(struct brf_gossip *g, const struct brf_entry *e)
{
	struct brf_gossip_brief brief = { .key = e->member.node.lo,
		.version = e->version };

	if (brf_entry_gone(e))
		return (brf_gossip_add_brief(g, &brief));
	return (brf_gossip_add_full(g, &e->member, &e->version));
}

static void
begin_answer(struct brf_members *ms)
{
	struct brf_gossip *g = brf_members_begin(ms, BRF_GOSSIP_UPDATES);

	g->flags |= BRF_GOSSIP_F_SYNC_REPLY;
}

/* Return: datagrams still allowed; 0 when the answer has to end. */
static unsigned
put_chain(struct brf_members *ms, const struct brf_entry *e,
    const struct sockaddr_in *to, unsigned left)
{
	for (; e != NULL; e = e->next) {
		if (put(&ms->out, e))
			continue;
		brf_members_send(ms, to);
		if (--left == 0)
			return (0);
		begin_answer(ms);
		put(&ms->out, e);
	}
	return (left);
}

/* Begins at any part, so that repeated answers cover all. */
void
brf_sync_handle(struct brf_members *ms, const struct sockaddr_in *from)
{
	size_t first = brf_random_below(ms->config.random, BRF_GOSSIP_PARTS);
	unsigned left = BRF_SYNC_DATAGRAMS;
	size_t i, part, chain;

	if (ms->syncs_served++ >= BRF_SYNC_SERVED_PER_TICK)
		return;
	begin_answer(ms);
	for (i = 0; i < BRF_GOSSIP_PARTS; i++) {
		part = (first + i) % BRF_GOSSIP_PARTS;
		if (ms->in.parts[part] == ms->table.parts[part])
			continue;
		for (chain = part; chain < BRF_TABLE_CHAINS;
		     chain += BRF_GOSSIP_PARTS) {
			left =
			    put_chain(ms, ms->table.chains[chain], from, left);
			if (left == 0)
				return;
		}
	}
	if (ms->out.brief_count + ms->out.full_count != 0)
		brf_members_send(ms, from);
}
