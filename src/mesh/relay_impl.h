#ifndef BRF_MESH_RELAY_IMPL_H
#define BRF_MESH_RELAY_IMPL_H

#include "fleet/watch_log.h"
#include "mesh/relay.h"
#include "policy/relay.h"

/**
 * DOC: Declarations that the files of relays share.
 *
 * relay_query.c chooses a relay and asks it, relay_read.c reads keys, relay.c
 * keeps the watches of this node, relay_witness.c checks those on the store,
 * and relay_serve.c replies to other nodes.
 */

/**
 * enum brf_query_result - how a query ended.
 * @BRF_QUERY_OK: with an event
 * @BRF_QUERY_COMPACTED: the relay does not have what was asked for
 * @BRF_QUERY_FAILED: the relay is lost, or does not watch the store; it is
 *	avoided for a while
 */
enum brf_query_result {
	BRF_QUERY_OK,
	BRF_QUERY_COMPACTED,
	BRF_QUERY_FAILED
};

/**
 * struct brf_query - asks a relay; initialise with brf_query_init().
 * @via: the watch sent to the relay
 * @link: to the relay; NULL while none is chosen
 * @relay: name of the relay; empty while none is chosen
 * @silence: ends a query without a reply
 * @failure: why @silence ends it
 * @avoids: a relay that fails is avoided
 * @data: of the query's owner
 * @done: called at the end of each query; @reply is NULL unless the result is
 *	BRF_QUERY_OK
 */
struct brf_query {
	struct brf_mesh_relay *owner;
	struct brf_link_watch via;
	struct brf_link *link;
	char relay[BRF_NAME_MAX + 1];
	struct brf_timer silence;
	const char *failure;
	bool avoids;
	void *data;
	void (*done)(struct brf_query *query, enum brf_query_result result,
	    const struct brf_link_watch_reply *reply);
};

#define BRF_RELAY_WITNESSES 2u

/**
 * struct brf_witness - a node that is asked whether this one has all changes.
 * @after: revision after which it is asked for changes
 * @proved_at: clock time up to which it had all changes; 0 before it replies
 * @turn: counts the nodes that failed; chooses the next one
 * @retry_at: clock time from which another one may be asked
 */
struct brf_witness {
	struct brf_query query;
	uint64_t after;
	uint64_t proved_at;
	unsigned turn;
	uint64_t retry_at;
};

/**
 * struct brf_feed - an open watch of this node.
 * @outer: the watch of the feed's owner
 * @inner: on the store, while @direct
 * @queries: one to each relay; while @direct, to those that may take over
 * @witnesses: the zone's other relay, and one of another zone, while @polling
 * @recheck: sends the poll again when it has missed @known_elsewhere
 * @known_elsewhere: newest revision that a witness has told
 * @confirmed_until: clock time until which the witnesses' last proofs count
 * @source: name of the relay that told the last changes; empty for the store
 * @first_poll: delays the first poll of the store
 * @expiry: fires when the proof may have become too old
 * @log: what was received directly from the store
 * @revision: up to which changes were delivered
 * @proved_at: clock time up to which all changes are known to be delivered
 * @asked_at: clock time at which another node last asked for its changes; 0
 *	for never
 * @direct: the source is the store
 * @polling: @inner is started
 * @relayed: a relay has replied, so that changes may be missing in @log
 * @expiring: the proof was too old when @expiry fired last
 * @in_event: the owner's event callback is running
 * @stopped: the callback stopped the watch, which is freed after it
 */
struct brf_feed {
	struct brf_list member;
	struct brf_mesh_relay *owner;
	struct brf_store_watch *outer;
	struct brf_store_watch inner;
	struct brf_query queries[BRF_RELAYS_PER_ZONE];
	struct brf_witness witnesses[BRF_RELAY_WITNESSES];
	struct brf_timer recheck;
	uint64_t known_elsewhere;
	uint64_t confirmed_until;
	char source[BRF_NAME_MAX + 1];
	struct brf_timer first_poll;
	struct brf_timer expiry;
	struct brf_watch_log log;
	uint64_t revision;
	uint64_t proved_at;
	uint64_t asked_at;
	bool direct;
	bool polling;
	bool relayed;
	bool expiring;
	bool in_event;
	bool stopped;
};

/**
 * struct brf_relay_avoided - a relay that failed.
 * @until: clock time until which no keys are read from it
 * @watch_until: clock time until which it is not asked for changes
 */
struct brf_relay_avoided {
	char name[BRF_NAME_MAX + 1];
	uint64_t until;
	uint64_t watch_until;
};

/**
 * struct brf_mesh_relay - see relay.h.
 * @store: the store whose reads and watches may go to a relay
 * @feeds: list of struct brf_feed
 * @reads: list of open reads
 * @read_logs: list of what was read and is not watched yet
 * @watchers: list of struct brf_link_watcher without a reply
 * @tick: reviews @feeds and @watchers every BRF_RELAY_TICK_US
 * @polling: a feed polls the store
 * @read_from: name of the relay to read keys from next; empty for any
 * @members: hash of the set of the zone's nodes
 * @members_since: clock time since which it is the same
 * @started_at: clock time when this node was started
 * @expired: proofs that became too old
 */
struct brf_mesh_relay {
	struct brf_store store;
	struct brf_link_watch_handler handler;
	struct brf_store_observer observer;
	struct brf_mesh_relay_config config;
	struct brf_links *links;
	const struct brf_directory *directory;
	struct brf_list feeds;
	struct brf_list reads;
	struct brf_list read_logs;
	struct brf_list watchers;
	struct brf_timer tick;
	struct brf_relay_avoided avoided[BRF_RELAYS_PER_ZONE];
	bool polling;
	char read_from[BRF_NAME_MAX + 1];
	uint64_t members;
	uint64_t members_since;
	uint64_t started_at;
	struct brf_metric *direct;
	struct brf_metric *relayed;
	struct brf_metric *served;
	struct brf_metric *expired;
};

/**
 * enum brf_relay_choice - where to get changes from next.
 * @BRF_RELAY_SAME: from where they come now
 * @BRF_RELAY_STORE: from the store itself
 * @BRF_RELAY_RELAYS: from the relays that are named
 */
enum brf_relay_choice {
	BRF_RELAY_SAME,
	BRF_RELAY_STORE,
	BRF_RELAY_RELAYS
};

/**
 * struct brf_relay_sources - relays that can be asked.
 * @entries: the first @count are set; valid until the directory changes
 */
struct brf_relay_sources {
	const struct brf_entry *entries[BRF_RELAYS_PER_ZONE];
	size_t count;
};

static inline uint64_t
brf_mesh_relay_now(const struct brf_mesh_relay *r)
{
	return (brf_now(brf_timers_clock(r->config.timers)));
}

/* Return: clock time of the proof in a reply; 0 when it is older than the
 * clock, as clocks of nodes begin at different times. */
static inline uint64_t
brf_relay_proved_at(
    const struct brf_mesh_relay *r, const struct brf_link_watch_reply *reply)
{
	uint64_t now = brf_mesh_relay_now(r);

	return (reply->age_us < now ? now - reply->age_us : 0);
}

/* relay_query.c */
void brf_query_init(struct brf_query *query, struct brf_mesh_relay *owner,
    void (*done)(struct brf_query *query, enum brf_query_result result,
	const struct brf_link_watch_reply *reply));

/**
 * brf_relay_choose() - choose the sources of changes.
 * @queries: BRF_RELAYS_PER_ZONE of them, to the relays that are asked now
 * @sources: set when BRF_RELAY_RELAYS is returned
 */
enum brf_relay_choice brf_relay_choose(struct brf_mesh_relay *r,
    const struct brf_query *queries, struct brf_relay_sources *sources);

/* Return: the relay to read keys from; NULL for the store itself. */
const struct brf_entry *brf_relay_choose_one(struct brf_mesh_relay *r);

/* Return: the zone's other relay; NULL when this node is no relay. */
const struct brf_entry *brf_relay_choose_partner(struct brf_mesh_relay *r);

/**
 * brf_relay_choose_outside() - choose a relay of another zone.
 * @turn: each value stands for another relay; those of this region come first
 *
 * Return: NULL when no other zone is known.
 */
const struct brf_entry *brf_relay_choose_outside(
    struct brf_mesh_relay *r, unsigned turn);

/* Don't ask the relay @name for changes for BRF_RELAY_RETRY_US, nor for keys
 * for BRF_RELAY_AVOID_US. */
void brf_relay_avoid(struct brf_mesh_relay *r, const char *name);

/* Connect to the node of @entry. Return: false when it can't be reached now. */
bool brf_query_open(struct brf_query *query, const struct brf_entry *entry);

static inline bool
brf_query_is_open(const struct brf_query *query)
{
	return (query->link != NULL);
}

/**
 * brf_query_ask() - ask the relay for the changes after @after.
 * @prefix: outlives the query
 * @age_us: of this node's proof
 * @silence_us: longest wait for the reply
 */
void brf_query_ask(struct brf_query *query, const char *prefix, uint64_t after,
    uint64_t age_us, uint64_t silence_us);

/* Forget the relay and an open query. */
void brf_query_close(struct brf_query *query);

/* relay_read.c */
/* Return: false when the call is no read of a prefix. */
bool brf_relay_read_start(
    struct brf_mesh_relay *r, struct brf_store_call *call);
bool brf_relay_read_cancel(
    struct brf_mesh_relay *r, struct brf_store_call *call);

/* End all reads, as the store was restored. */
void brf_relay_reads_restored(struct brf_mesh_relay *r);

/**
 * brf_relay_take_read() - take what was read last.
 * @log: set to it when it was read directly from the store and is of
 *	@revision; empty otherwise
 *
 * Return: clock time up to which all changes are known; 0 when nothing was
 * read.
 */
uint64_t brf_relay_take_read(struct brf_mesh_relay *r, const char *prefix,
    uint64_t revision, struct brf_watch_log *log);
void brf_relay_reads_free(struct brf_mesh_relay *r);

/* relay_witness.c */
void brf_relay_witness_init(struct brf_feed *f);

/* The first poll of @f is sent. */
void brf_relay_witness_begin(struct brf_feed *f);

/* Ask the witnesses that are due; called at each BRF_RELAY_TICK_US. */
void brf_relay_ask_witnesses(struct brf_feed *f);
void brf_relay_witness_stop(struct brf_feed *f);

/* Send the poll again, on a new connection. */
void brf_relay_repoll(struct brf_feed *f, const char *why);

/* Return: longest wait of the feed's next poll; 0 for that of the store. */
uint64_t brf_relay_poll_wait(const struct brf_feed *f);

/* relay_serve.c */
extern const struct brf_link_watch_handler_vt brf_relay_handler_vt;

/* Reply to watchers that have waited long enough, or that can be told news. */
void brf_relay_serve(struct brf_mesh_relay *r);

/* Tell the watchers of @f its new proof. */
void brf_relay_serve_proof(struct brf_mesh_relay *r, const struct brf_feed *f);

/* relay.c */
static inline uint64_t
brf_feed_age(const struct brf_feed *f)
{
	return (brf_mesh_relay_now(f->owner) - f->proved_at);
}

/* Return: NULL when this node does not watch @prefix. */
struct brf_feed *brf_relay_find_feed(
    const struct brf_mesh_relay *r, const char *prefix);

#endif
