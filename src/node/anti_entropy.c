#include <stdlib.h>

#include <xxhash.h>

#include "base/log.h"
#include "node/backend.h"
#include "node/anti_entropy.h"

#define REQUEST_DELAY_MAX_US (200 * BRF_US_PER_MS) /* random from 0 to this */
#define ROUND_PERIOD_US BRF_US_PER_S

/**
 * struct brf_anti_entropy - state of the replication.
 * @source: answers the requests of other nodes
 * @request_timer: delay before the next request
 * @round_timer: period after which all digests are compared
 * @peer: member that the next request goes to
 * @request_open: a request has not been answered
 */
struct brf_anti_entropy {
	struct brf_document_source source;
	struct brf_docs *docs;
	struct brf_anti_entropy_config config;
	struct brf_members_watcher watcher;
	struct brf_timer request_timer;
	struct brf_timer round_timer;
	struct brf_id peer;
	bool request_open;
	bool started;
};

/**
 * struct document_query - a request of another node that is being answered.
 * @known: revisions that the other node has
 * @full: @emit has returned false
 */
struct document_query {
	const struct brf_known_revision *known;
	size_t count;
	bool (*emit)(const struct brf_document_update *news, void *arg);
	void *arg;
	bool full;
};

static uint64_t
known_revision(const struct document_query *query, const char *service)
{
	size_t i;

	for (i = 0; i < query->count; i++) {
		if (strcmp(query->known[i].service, service) == 0)
			return (query->known[i].revision);
	}
	return (0);
}

static void
emit_if_newer(const char *service, uint64_t revision, const char *text,
    size_t len, void *arg)
{
	struct document_query *query = arg;
	struct brf_document_update news = { .service = service,
		.revision = revision,
		.text = text,
		.len = len };

	if (!query->full && revision > known_revision(query, service))
		query->full = !query->emit(&news, query->arg);
}

static void
newer(struct brf_document_source *source,
    const struct brf_known_revision *known, size_t count,
    bool (*emit)(const struct brf_document_update *news, void *arg), void *arg)
{
	struct brf_anti_entropy *ae =
	    brf_container_of(source, struct brf_anti_entropy, source);
	struct document_query query = {
		.known = known, .count = count, .emit = emit, .arg = arg
	};

	brf_docs_each(ae->docs, emit_if_newer, &query);
}

static const struct brf_document_source_vt source_vt = { .newer = newer };

/**
 * struct known_revisions - revisions of this node's documents.
 */
struct known_revisions {
	struct brf_known_revision known[BRF_KNOWN_REVISIONS_MAX];
	size_t count;
};

static void
add_known(const char *service, uint64_t revision, const char *text, size_t len,
    void *arg)
{
	struct known_revisions *revs = arg;

	(void)text;
	(void)len;
	if (revs->count == BRF_KNOWN_REVISIONS_MAX)
		return;
	revs->known[revs->count].service = service;
	revs->known[revs->count].revision = revision;
	revs->count++;
}

static void
fetch_done(void *arg, const struct brf_document_update *news, size_t count,
    const struct brf_error *err)
{
	struct brf_anti_entropy *ae = arg;
	size_t i;

	ae->request_open = false;
	if (err != NULL)
		brf_log(BRF_LOG_DEBUG, "documents_not_fetched", BRF_LE(err));
	for (i = 0; i < count; i++)
		brf_docs_apply(ae->docs, news[i].service, news[i].revision,
		    news[i].text, news[i].len);
}

static void
request_documents(struct brf_timer *timer, void *arg)
{
	struct brf_anti_entropy *ae = arg;
	const struct brf_member *m =
	    brf_members_find(ae->config.members, ae->peer);
	struct known_revisions *revs;

	(void)timer;
	if (m == NULL || ae->request_open || m->state == BRF_MEMBER_GONE)
		return;
	revs = brf_calloc(1, sizeof(*revs));
	brf_docs_each(ae->docs, add_known, revs);
	ae->request_open = true;
	brf_peers_fetch_documents(ae->config.peers,
	    brf_member_backend(ae->config.peers, m), revs->known, revs->count,
	    fetch_done, ae);
	free(revs);
}

static bool
has_other_digest(const struct brf_anti_entropy *ae, const struct brf_member *m)
{
	const struct brf_member *self = brf_members_self(ae->config.members);

	return (!brf_id_equal(m->node, self->node) &&
		m->state != BRF_MEMBER_GONE && m->docs_digest != 0 &&
		m->docs_digest != brf_docs_digest(ae->docs));
}

static void
schedule_request(struct brf_anti_entropy *ae, struct brf_id node)
{
	if (ae->request_open || brf_timer_active(&ae->request_timer))
		return;
	ae->peer = node;
	brf_timer_start(ae->config.timers, &ae->request_timer,
	    brf_random_below(ae->config.random, REQUEST_DELAY_MAX_US));
}

static void
member_changed(struct brf_members_watcher *w, const struct brf_member *before,
    const struct brf_member *after)
{
	struct brf_anti_entropy *ae =
	    brf_container_of(w, struct brf_anti_entropy, watcher);

	if (after == NULL || !has_other_digest(ae, after))
		return;
	if (before == NULL || before->docs_digest != after->docs_digest)
		schedule_request(ae, after->node);
}

/**
 * struct peer_choice - uniform random choice of a member with a different
 * digest (reservoir sampling).
 * @candidates: members with a different digest so far
 * @node: the one chosen of them
 */
struct peer_choice {
	struct brf_anti_entropy *ae;
	uint64_t candidates;
	struct brf_id node;
};

static bool
consider_peer(const struct brf_member *m, void *arg)
{
	struct peer_choice *choice = arg;

	if (has_other_digest(choice->ae, m) &&
	    brf_random_below(choice->ae->config.random, ++choice->candidates) ==
		0)
		choice->node = m->node;
	return (true);
}

/* Periodic repair: catches digests that arrived while a request was open, and
 * requests that failed. */
static void
next_round(struct brf_timer *timer, void *arg)
{
	struct brf_anti_entropy *ae = arg;
	struct peer_choice choice = { .ae = ae };

	(void)timer;
	brf_timer_start(ae->config.timers, &ae->round_timer, ROUND_PERIOD_US);
	brf_members_each(ae->config.members, consider_peer, &choice);
	if (choice.candidates != 0)
		schedule_request(ae, choice.node);
}

struct brf_anti_entropy *
brf_anti_entropy_new(struct brf_docs *docs)
{
	struct brf_anti_entropy *ae = brf_calloc(1, sizeof(*ae));

	ae->source.vt = &source_vt;
	ae->docs = docs;
	return (ae);
}

void
brf_anti_entropy_free(struct brf_anti_entropy *ae)
{
	free(ae);
}

struct brf_document_source *
brf_anti_entropy_source(struct brf_anti_entropy *ae)
{
	return (&ae->source);
}

void
brf_anti_entropy_start(
    struct brf_anti_entropy *ae, const struct brf_anti_entropy_config *config)
{
	ae->config = *config;
	ae->started = true;
	ae->request_timer.fire = request_documents;
	ae->request_timer.arg = ae;
	ae->round_timer.fire = next_round;
	ae->round_timer.arg = ae;
	ae->watcher.changed = member_changed;
	brf_members_watch(config->members, &ae->watcher);
	brf_timer_start(config->timers, &ae->round_timer, ROUND_PERIOD_US);
}

void
brf_anti_entropy_stop(struct brf_anti_entropy *ae)
{
	if (!ae->started)
		return;
	ae->started = false;
	brf_members_unwatch(&ae->watcher);
	brf_timer_stop(ae->config.timers, &ae->request_timer);
	brf_timer_stop(ae->config.timers, &ae->round_timer);
}

/**
 * struct ranking - number of members of the zone with a higher hash than
 * this node.
 */
struct ranking {
	const struct brf_member *self;
	uint64_t hash;
	size_t higher;
};

static uint64_t
follower_hash(const struct brf_member *m)
{
	return (XXH3_64bits(&m->node, sizeof(m->node)));
}

static bool
count_higher_hash(const struct brf_member *m, void *arg)
{
	struct ranking *r = arg;
	bool takes_part =
	    m->state == BRF_MEMBER_READY || m->state == BRF_MEMBER_STARTING;

	if (takes_part && strcmp(m->zone, r->self->zone) == 0 &&
	    follower_hash(m) > r->hash)
		r->higher++;
	return (r->higher < BRF_STORE_FOLLOWERS_PER_ZONE);
}

bool
brf_is_store_follower(const struct brf_members *members)
{
	struct ranking r = { .self = brf_members_self(members) };

	r.hash = follower_hash(r.self);
	brf_members_each(members, count_higher_hash, &r);
	return (r.higher < BRF_STORE_FOLLOWERS_PER_ZONE);
}
