#include "member/internal.h"

/**
 * DOC: News that wait to be passed on, by the times they were.
 *
 * News goes out log2(n) + 4 times, what was sent least often first, so that
 * each datagram stays bounded and new news is not held up by old.
 */

#define NEWS_EXTRA 4u

void
brf_news_init(struct brf_members *ms)
{
	size_t i;

	for (i = 0; i < BRF_NEWS_SENT_MAX; i++) {
		brf_list_init(&ms->news[i]);
		brf_list_init(&ms->docs_news[i]);
	}
}

static unsigned
send_limit(const struct brf_members *ms)
{
	size_t n = ms->table.rosters[BRF_ROSTER_ALL].count + 1;
	unsigned limit = NEWS_EXTRA;

	while (n > 1 && limit < BRF_NEWS_SENT_MAX) {
		n = (n + 1) / 2;
		limit++;
	}
	return (limit);
}

void
brf_news_add(struct brf_members *ms, struct brf_entry *e, bool full)
{
	e->news_full = full || (e->news_full && !brf_list_empty(&e->news));
	e->sent = 0;
	brf_list_remove(&e->news);
	brf_list_append(&ms->news[0], &e->news);
}

void
brf_news_add_docs(struct brf_members *ms, struct brf_entry *e)
{
	e->docs_sent = 0;
	brf_list_remove(&e->docs_news);
	brf_list_append(&ms->docs_news[0], &e->docs_news);
}

bool
brf_news_waiting(const struct brf_members *ms)
{
	size_t i;

	for (i = 0; i < BRF_NEWS_SENT_MAX; i++) {
		if (!brf_list_empty(&ms->news[i]) ||
		    !brf_list_empty(&ms->docs_news[i]))
			return (true);
	}
	return (false);
}

static bool
put_entry(struct brf_gossip *g, const struct brf_entry *e)
{
	struct brf_gossip_brief brief = { .key = e->member.node.lo,
		.version = e->version };

	if (e->news_full && !brf_entry_gone(e))
		return (brf_gossip_add_full(g, &e->member, &e->version));
	return (brf_gossip_add_brief(g, &brief));
}

static bool
put_docs(struct brf_gossip *g, const struct brf_entry *e)
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
	for (i = 0; i < BRF_NEWS_SENT_MAX; i++) {
		brf_list_foreach_safe (l, tmp, &ms->news[i]) {
			e = brf_list_entry(l, struct brf_entry, news);
			if (!put_entry(&ms->out, e))
				break;
			brf_list_remove(l);
			brf_list_append(&taken, l);
		}
	}
	brf_list_foreach_safe (l, tmp, &taken) {
		e = brf_list_entry(l, struct brf_entry, news);
		brf_list_remove(l);
		if (++e->sent < limit)
			brf_list_append(&ms->news[e->sent], l);
	}
}

static void
fill_docs(struct brf_members *ms, unsigned limit)
{
	struct brf_list *l, *tmp, taken;
	struct brf_entry *e;
	size_t i;

	brf_list_init(&taken);
	for (i = 0; i < BRF_NEWS_SENT_MAX; i++) {
		brf_list_foreach_safe (l, tmp, &ms->docs_news[i]) {
			e = brf_list_entry(l, struct brf_entry, docs_news);
			if (!put_docs(&ms->out, e))
				break;
			brf_list_remove(l);
			brf_list_append(&taken, l);
		}
	}
	brf_list_foreach_safe (l, tmp, &taken) {
		e = brf_list_entry(l, struct brf_entry, docs_news);
		brf_list_remove(l);
		if (++e->docs_sent < limit)
			brf_list_append(&ms->docs_news[e->docs_sent], l);
	}
}

void
brf_news_fill(struct brf_members *ms)
{
	unsigned limit = send_limit(ms);

	fill_members(ms, limit);
	fill_docs(ms, limit);
}

/* Half stays in the own zone: the link between regions is billed. */
static struct brf_entry *
receiver(struct brf_members *ms)
{
	struct brf_table *t = &ms->table;

	if (ms->news_turn++ % 2 == 0 &&
	    t->rosters[BRF_ROSTER_ZONE].count > BRF_NEWS_FANOUT)
		return (brf_roster_any(t, BRF_ROSTER_ZONE));
	return (brf_roster_any(t, BRF_ROSTER_ALL));
}

void
brf_news_spread(struct brf_members *ms, unsigned receivers)
{
	struct brf_entry *to;
	unsigned burst;

	while (receivers-- > 0 && brf_news_waiting(ms)) {
		to = receiver(ms);
		if (to == NULL)
			return;
		burst = BRF_NEWS_BURST;
		do {
			brf_members_begin(ms, BRF_GOSSIP_NEWS);
			brf_news_fill(ms);
			brf_members_send(ms, &to->member.addr);
		} while (--burst > 0 && !brf_list_empty(&ms->news[0]));
	}
}
