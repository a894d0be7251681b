#include "base/log.h"
#include "mesh/relay_impl.h"

/* Return: NULL when the relay @name has not failed of late. */
static const struct brf_relay_avoided *
find_avoided(const struct brf_mesh_relay *r, const char *name)
{
	size_t i;

	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		if (strcmp(r->avoided[i].name, name) == 0)
			return (&r->avoided[i]);
	}
	return (NULL);
}

static bool
may_read(const struct brf_mesh_relay *r, const char *name)
{
	const struct brf_relay_avoided *a = find_avoided(r, name);

	return (a == NULL || brf_mesh_relay_now(r) >= a->until);
}

static bool
may_watch(const struct brf_mesh_relay *r, const char *name)
{
	const struct brf_relay_avoided *a = find_avoided(r, name);

	return (a == NULL || brf_mesh_relay_now(r) >= a->watch_until);
}

void
brf_relay_avoid(struct brf_mesh_relay *r, const char *name)
{
	struct brf_relay_avoided *a = &r->avoided[0]; /* the oldest one */
	size_t i;

	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		if (strcmp(r->avoided[i].name, name) == 0) {
			a = &r->avoided[i];
			break;
		}
		if (r->avoided[i].until < a->until)
			a = &r->avoided[i];
	}
	brf_copy_name(a->name, sizeof(a->name), name);
	a->until = brf_mesh_relay_now(r) + BRF_RELAY_AVOID_US;
	a->watch_until = brf_mesh_relay_now(r) + BRF_RELAY_RETRY_US;
}

/**
 * struct visit - the nodes of the zone, gathered from the directory.
 * @queries: to the relays that are asked now; may be NULL
 * @current_listed: the directory still has one of them
 */
struct visit {
	struct brf_mesh_relay *r;
	struct brf_relay_ranking ranking;
	const struct brf_query *queries;
	bool current_listed;
};

static bool
is_asked(const struct brf_query *queries, const char *node)
{
	size_t i;

	for (i = 0; queries != NULL && i < BRF_RELAYS_PER_ZONE; i++) {
		if (brf_query_is_open(&queries[i]) &&
		    strcmp(queries[i].relay, node) == 0)
			return (true);
	}
	return (false);
}

static void
rank_target(void *arg, const struct brf_directory_target *t)
{
	struct visit *v = arg;

	if (t->lapsed || t->entry.state != BRF_TARGET_READY ||
	    strcmp(t->entry.zone, v->r->config.zone) != 0)
		return;
	brf_relay_rank(&v->ranking, t->entry.node, &t->entry);
	if (is_asked(v->queries, t->entry.node))
		v->current_listed = true;
}

static bool
is_usable(void *arg, const void *data)
{
	const struct brf_entry *entry = data;

	return (may_read(arg, entry->node));
}

static bool
is_settled(struct brf_mesh_relay *r, const struct brf_relay_ranking *ranking)
{
	if (ranking->members != r->members) {
		r->members = ranking->members;
		r->members_since = brf_mesh_relay_now(r);
	}
	return (
	    brf_mesh_relay_now(r) >= r->members_since + BRF_RELAY_SETTLE_US);
}

enum brf_relay_choice
brf_relay_choose(struct brf_mesh_relay *r, const struct brf_query *queries,
    struct brf_relay_sources *sources)
{
	struct visit v = { .r = r, .queries = queries };
	const struct brf_relay_candidate *c;
	bool settled;
	size_t i;

	sources->count = 0;
	if (r->directory == NULL)
		return (BRF_RELAY_STORE);
	brf_directory_visit(r->directory, rank_target, &v);
	settled = is_settled(r, &v.ranking);
	if (v.current_listed && !settled)
		return (BRF_RELAY_SAME);
	if (brf_relay_is_relay(&v.ranking, r->config.node))
		return (BRF_RELAY_STORE);
	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		c = &v.ranking.best[i];
		if (c->name != NULL && may_watch(r, c->name))
			sources->entries[sources->count++] = c->data;
	}
	return (sources->count != 0 ? BRF_RELAY_RELAYS : BRF_RELAY_STORE);
}

const struct brf_entry *
brf_relay_choose_partner(struct brf_mesh_relay *r)
{
	struct visit v = { .r = r };
	size_t i;

	if (r->directory == NULL)
		return (NULL);
	brf_directory_visit(r->directory, rank_target, &v);
	if (!brf_relay_is_relay(&v.ranking, r->config.node))
		return (NULL);
	for (i = 0; i < BRF_RELAYS_PER_ZONE; i++) {
		if (v.ranking.best[i].name != NULL &&
		    strcmp(v.ranking.best[i].name, r->config.node) != 0)
			return (v.ranking.best[i].data);
	}
	return (NULL);
}

#define OTHER_ZONES_MAX 16u

/**
 * struct survey - the relays of all other zones.
 * @region: of this node; empty while unknown
 */
struct survey {
	struct brf_mesh_relay *r;
	char region[BRF_NAME_MAX + 1];
	struct {
		const struct brf_entry *member;
		struct brf_relay_ranking ranking;
	} zones[OTHER_ZONES_MAX];
	size_t count;
};

static void
survey_target(void *arg, const struct brf_directory_target *t)
{
	struct survey *s = arg;
	size_t i;

	if (t->lapsed || t->entry.state != BRF_TARGET_READY)
		return;
	if (strcmp(t->entry.zone, s->r->config.zone) == 0) {
		brf_copy_name(s->region, sizeof(s->region), t->entry.region);
		return;
	}
	for (i = 0; i < s->count; i++) {
		if (strcmp(s->zones[i].member->zone, t->entry.zone) == 0)
			break;
	}
	if (i == OTHER_ZONES_MAX)
		return;
	if (i == s->count)
		s->zones[s->count++].member = &t->entry;
	brf_relay_rank(&s->zones[i].ranking, t->entry.node, &t->entry);
}

/* Whether the zone @a is to be asked before @b: this region first, then the
 * names that follow this zone's, so that zones don't all ask the same one. */
static bool
precedes(const struct survey *s, const struct brf_entry *a,
    const struct brf_entry *b)
{
	bool a_near = strcmp(a->region, s->region) == 0;
	bool b_near = strcmp(b->region, s->region) == 0;
	bool a_next = strcmp(a->zone, s->r->config.zone) > 0;
	bool b_next = strcmp(b->zone, s->r->config.zone) > 0;

	if (a_near != b_near)
		return (a_near);
	if (a_next != b_next)
		return (a_next);
	return (strcmp(a->zone, b->zone) < 0);
}

/* Return: number of the zones that precede zone @i. */
static size_t
order_of(const struct survey *s, size_t i)
{
	size_t j, n = 0;

	for (j = 0; j < s->count; j++) {
		if (j != i &&
		    precedes(s, s->zones[j].member, s->zones[i].member))
			n++;
	}
	return (n);
}

const struct brf_entry *
brf_relay_choose_outside(struct brf_mesh_relay *r, unsigned turn)
{
	struct survey s = { .r = r };
	const struct brf_relay_candidate *best;
	size_t i, wanted, relay = turn % BRF_RELAYS_PER_ZONE;

	if (r->directory == NULL)
		return (NULL);
	brf_directory_visit(r->directory, survey_target, &s);
	if (s.count == 0)
		return (NULL);
	wanted = turn / BRF_RELAYS_PER_ZONE % s.count;
	for (i = 0; order_of(&s, i) != wanted;)
		i++;
	best = s.zones[i].ranking.best;
	return (best[relay].name != NULL ? best[relay].data : best[0].data);
}

const struct brf_entry *
brf_relay_choose_one(struct brf_mesh_relay *r)
{
	struct visit v = { .r = r };
	const struct brf_relay_candidate *c;
	size_t i;

	if (r->directory == NULL)
		return (NULL);
	brf_directory_visit(r->directory, rank_target, &v);
	for (i = 0; i < BRF_RELAYS_PER_ZONE && r->read_from[0] != '\0'; i++) {
		c = &v.ranking.best[i];
		if (c->name == NULL || strcmp(c->name, r->read_from) != 0)
			continue;
		r->read_from[0] = '\0';
		return (c->data); /* it has just replied */
	}
	return (brf_relay_pick(&v.ranking, r->config.node, is_usable, r));
}

static void
end_query(struct brf_query *q, enum brf_query_result result, const char *why)
{
	brf_timer_stop(q->owner->config.timers, &q->silence);
	brf_link_watch_cancel(&q->via);
	if (result == BRF_QUERY_FAILED) {
		brf_log(BRF_LOG_INFO, "relay_lost", BRF_LS("relay", q->relay),
		    BRF_LS("why", why));
		if (q->avoids)
			brf_relay_avoid(q->owner, q->relay);
	}
	q->done(q, result, NULL);
}

static void
on_silence(struct brf_timer *timer, void *arg)
{
	struct brf_query *q = arg;

	(void)timer;
	end_query(q, BRF_QUERY_FAILED, q->failure);
}

static void
on_reply(struct brf_link_watch *via, const struct brf_link_watch_reply *reply)
{
	struct brf_query *q = brf_container_of(via, struct brf_query, via);
	struct brf_mesh_relay *r = q->owner;
	uint64_t epoch = brf_store_epoch(&r->store);

	brf_timer_stop(r->config.timers, &q->silence);
	if (reply == NULL) {
		end_query(q, BRF_QUERY_FAILED, "connection lost");
	} else if (reply->epoch > epoch && epoch != 0) {
		brf_store_learn_epoch(&r->store, reply->epoch); /* ends @q */
	} else if (reply->epoch < epoch) {
		end_query(q, BRF_QUERY_FAILED, "earlier epoch");
	} else if (reply->status == BRF_LINK_WATCH_UNAVAILABLE) {
		end_query(q, BRF_QUERY_FAILED, "not watching the store");
	} else if (reply->status == BRF_LINK_WATCH_COMPACTED) {
		end_query(q, BRF_QUERY_COMPACTED, "");
	} else {
		brf_store_learn_epoch(&r->store, reply->epoch);
		q->done(q, BRF_QUERY_OK, reply);
	}
}

void
brf_query_init(struct brf_query *q, struct brf_mesh_relay *owner,
    void (*done)(struct brf_query *query, enum brf_query_result result,
	const struct brf_link_watch_reply *reply))
{
	memset(q, 0, sizeof(*q));
	q->owner = owner;
	q->done = done;
	q->avoids = true;
	q->via.done = on_reply;
	brf_list_init(&q->via.link);
	q->silence = (struct brf_timer){ .fire = on_silence, .arg = q };
}

bool
brf_query_open(struct brf_query *q, const struct brf_entry *entry)
{
	struct brf_link *link = brf_links_get(q->owner->links, &entry->gate);

	if (brf_link_health(link) == BRF_LINK_DOWN) {
		brf_relay_avoid(q->owner, entry->node);
		brf_link_release(link);
		return (false);
	}
	brf_query_close(q);
	brf_copy_name(q->relay, sizeof(q->relay), entry->node);
	q->link = link;
	return (true);
}

void
brf_query_ask(struct brf_query *q, const char *prefix, uint64_t after,
    uint64_t age_us, uint64_t silence_us)
{
	struct brf_mesh_relay *r = q->owner;

	q->via.call.prefix.data = prefix;
	q->via.call.prefix.len = strlen(prefix);
	q->via.call.epoch = brf_store_epoch(&r->store);
	q->via.call.after = after;
	q->via.call.age_us = age_us;
	q->failure = "silent";
	if (!brf_link_watch_start(q->link, &q->via)) {
		q->failure = "no connection";
		silence_us = 0;
	}
	brf_timer_start(r->config.timers, &q->silence, silence_us);
}

void
brf_query_close(struct brf_query *q)
{
	struct brf_link *link = q->link;

	brf_timer_stop(q->owner->config.timers, &q->silence);
	brf_link_watch_cancel(&q->via);
	q->link = NULL;
	q->relay[0] = '\0';
	if (link != NULL)
		brf_link_release(link);
}
