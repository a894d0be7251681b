#include <stdlib.h>

#include <xxhash.h>

#include "base/log.h"
#include "node/backend.h"
#include "node/spread.h"

#define DELAY_MAX_US (200 * BRF_US_PER_MS)
#define ROUND_US BRF_US_PER_S

struct brf_spread {
	struct brf_document_source source;
	struct brf_docs *docs;
	struct brf_spread_config config;
	struct brf_members_watcher watcher;
	struct brf_timer ask;
	struct brf_timer round;
	struct brf_id from;
	bool asking;
	bool started;
};

/**
 * struct offer - a question being answered.
 */
struct offer {
	const struct brf_known_revision *known;
	size_t count;
	bool (*emit)(const struct brf_document_update *news, void *arg);
	void *arg;
	bool full;
};

static uint64_t
known_revision(const struct offer *o, const char *service)
{
	size_t i;

	for (i = 0; i < o->count; i++) {
		if (strcmp(o->known[i].service, service) == 0)
			return (o->known[i].revision);
	}
	return (0);
}

static void
offer_one(const char *service, uint64_t revision, const char *text, size_t len,
    void *arg)
{
	struct offer *o = arg;
	struct brf_document_update news = { .service = service,
		.revision = revision,
		.text = text,
		.len = len };

	if (!o->full && revision > known_revision(o, service))
		o->full = !o->emit(&news, o->arg);
}

static void
newer(struct brf_document_source *source,
    const struct brf_known_revision *known, size_t count,
    bool (*emit)(const struct brf_document_update *news, void *arg), void *arg)
{
	struct brf_spread *s =
	    brf_container_of(source, struct brf_spread, source);
	struct offer o = {
		.known = known, .count = count, .emit = emit, .arg = arg
	};

	brf_docs_each(s->docs, offer_one, &o);
}

static const struct brf_document_source_vt source_vt = { .newer = newer };

/**
 * struct question - what this node has.
 */
struct question {
	struct brf_known_revision known[BRF_KNOWN_REVISIONS_MAX];
	size_t count;
};

static void
add_known(const char *service, uint64_t revision, const char *text, size_t len,
    void *arg)
{
	struct question *q = arg;

	(void)text;
	(void)len;
	if (q->count == BRF_KNOWN_REVISIONS_MAX)
		return;
	q->known[q->count].service = service;
	q->known[q->count].revision = revision;
	q->count++;
}

static void
answered(void *arg, const struct brf_document_update *news, size_t count,
    const struct brf_error *err)
{
	struct brf_spread *s = arg;
	size_t i;

	s->asking = false;
	if (err != NULL)
		brf_log(BRF_LOG_DEBUG, "documents_not_fetched", BRF_LE(err));
	for (i = 0; i < count; i++)
		brf_docs_apply(s->docs, news[i].service, news[i].revision,
		    news[i].text, news[i].len);
}

static void
ask_now(struct brf_timer *timer, void *arg)
{
	struct brf_spread *s = arg;
	const struct brf_member *m =
	    brf_members_find(s->config.members, s->from);
	struct question *q;

	(void)timer;
	if (m == NULL || s->asking || m->state == BRF_MEMBER_GONE)
		return;
	q = brf_calloc(1, sizeof(*q));
	brf_docs_each(s->docs, add_known, q);
	s->asking = true;
	brf_peers_fetch_documents(s->config.peers,
	    brf_member_backend(s->config.peers, m), q->known, q->count,
	    answered, s);
	free(q);
}

static bool
differs(const struct brf_spread *s, const struct brf_member *m)
{
	const struct brf_member *self = brf_members_self(s->config.members);

	return (!brf_id_equal(m->node, self->node) &&
		m->state != BRF_MEMBER_GONE && m->docs_digest != 0 &&
		m->docs_digest != brf_docs_digest(s->docs));
}

static void
ask_soon(struct brf_spread *s, struct brf_id node)
{
	if (s->asking || brf_timer_active(&s->ask))
		return;
	s->from = node;
	brf_timer_start(s->config.timers, &s->ask,
	    brf_random_below(s->config.random, DELAY_MAX_US));
}

static void
member_changed(struct brf_members_watcher *w, const struct brf_member *before,
    const struct brf_member *after)
{
	struct brf_spread *s = brf_container_of(w, struct brf_spread, watcher);

	if (after == NULL || !differs(s, after))
		return;
	if (before == NULL || before->docs_digest != after->docs_digest)
		ask_soon(s, after->node);
}

/**
 * struct draw - one member with another digest, drawn evenly.
 */
struct draw {
	struct brf_spread *s;
	uint64_t seen;
	struct brf_id node;
};

static bool
draw_one(const struct brf_member *m, void *arg)
{
	struct draw *d = arg;

	if (differs(d->s, m) &&
	    brf_random_below(d->s->config.random, ++d->seen) == 0)
		d->node = m->node;
	return (true);
}

/* What was missed when the news came is made good here. */
static void
next_round(struct brf_timer *timer, void *arg)
{
	struct brf_spread *s = arg;
	struct draw d = { .s = s };

	(void)timer;
	brf_timer_start(s->config.timers, &s->round, ROUND_US);
	brf_members_each(s->config.members, draw_one, &d);
	if (d.seen != 0)
		ask_soon(s, d.node);
}

struct brf_spread *
brf_spread_new(struct brf_docs *docs)
{
	struct brf_spread *s = brf_calloc(1, sizeof(*s));

	s->source.vt = &source_vt;
	s->docs = docs;
	return (s);
}

void
brf_spread_free(struct brf_spread *s)
{
	free(s);
}

struct brf_document_source *
brf_spread_source(struct brf_spread *s)
{
	return (&s->source);
}

void
brf_spread_start(struct brf_spread *s, const struct brf_spread_config *config)
{
	s->config = *config;
	s->started = true;
	s->ask.fire = ask_now;
	s->ask.arg = s;
	s->round.fire = next_round;
	s->round.arg = s;
	s->watcher.changed = member_changed;
	brf_members_watch(config->members, &s->watcher);
	brf_timer_start(config->timers, &s->round, ROUND_US);
}

void
brf_spread_stop(struct brf_spread *s)
{
	if (!s->started)
		return;
	s->started = false;
	brf_members_unwatch(&s->watcher);
	brf_timer_stop(s->config.timers, &s->ask);
	brf_timer_stop(s->config.timers, &s->round);
}

/**
 * struct ranking - how many of the zone come before this node.
 */
struct ranking {
	const struct brf_member *self;
	uint64_t hash;
	size_t before;
};

static uint64_t
follower_hash(const struct brf_member *m)
{
	return (XXH3_64bits(&m->node, sizeof(m->node)));
}

static bool
rank_one(const struct brf_member *m, void *arg)
{
	struct ranking *r = arg;
	bool takes_part =
	    m->state == BRF_MEMBER_READY || m->state == BRF_MEMBER_STARTING;

	if (takes_part && strcmp(m->zone, r->self->zone) == 0 &&
	    follower_hash(m) > r->hash)
		r->before++;
	return (r->before < BRF_FOLLOWERS);
}

bool
brf_spread_is_follower(const struct brf_members *members)
{
	struct ranking r = { .self = brf_members_self(members) };

	r.hash = follower_hash(r.self);
	brf_members_each(members, rank_one, &r);
	return (r.before < BRF_FOLLOWERS);
}
