#ifndef BRF_MEMBER_INTERNAL_H
#define BRF_MEMBER_INTERNAL_H

#include "member/table.h"

/**
 * DOC: Declarations shared by the files of this package only.
 *
 * All timeouts run on protocol time, in microseconds: it advances with the
 * ticks, by at most two tick lengths each.  So the time in which a process was
 * paused or its loop was late does not count as time in which other members
 * failed to answer, and the node does not suspect them (compare Lifeguard,
 * DSN-W 2018).
 */

#define BRF_TICKS_PER_PERIOD 10u
/* Ticks until a ping counts as not answered. */
#define BRF_ACK_TICKS 3u
/* Periods from suspect to failed. */
#define BRF_SUSPICION_PERIODS 5u
/* Worst local health; multiplies timeouts by at most this plus 1. */
#define BRF_HEALTH_WORST 3u
/* Most times that an update is sent. */
#define BRF_UPDATE_TRANSMITS_MAX 16u
/* Receivers of pending updates per tick. */
#define BRF_GOSSIP_FANOUT 3u
/* Most datagrams to one receiver per tick. */
#define BRF_GOSSIP_BURST 2u
/* Members asked for an indirect probe. */
#define BRF_RELAYS 3u
/* Indirect probes under way for other nodes. */
#define BRF_RELAYED_PINGS_MAX 64u
/* Every n-th probe goes to another zone. */
#define BRF_OTHER_ZONE_PROBE_EVERY 4u
/* Pings per tick to failed members while some of them come back. */
#define BRF_RECONNECT_PER_TICK 2u
/* Periods for which that rate is kept after a gone member came back. */
#define BRF_RECONNECT_PERIODS 5u
/* Pings out of turn per tick. */
#define BRF_VERIFY_PER_TICK 2u
/* Unanswered pings out of turn before a member is suspect. */
#define BRF_VERIFY_PINGS 3u
/* Members verified when another of their zone becomes suspect. */
#define BRF_VERIFY_ZONE 8u
/* Periods for which a failed member is kept in the table. */
#define BRF_FORGET_PERIODS 86400u
/* Periods for which a member that left is kept. */
#define BRF_FORGET_LEFT_PERIODS 600u
/* Periods between two syncs, and without changes before one. */
#define BRF_SYNC_PERIODS 2u
/* Periods after which a sync is sent even while the table changes. */
#define BRF_SYNC_LATEST_PERIODS 10u
/* Most datagrams in answer to one sync. */
#define BRF_SYNC_DATAGRAMS 8u
/* Syncs answered per tick. */
#define BRF_SYNC_SERVED_PER_TICK 4u
/* Periods between pings to seeds once joined. */
#define BRF_SEED_PERIODS 5u
/* Periods for which a new node syncs in each tick, if need be. */
#define BRF_CATCH_UP_PERIODS 30u

enum brf_probe_stage {
	BRF_PROBE_IDLE,
	BRF_PROBE_DIRECT,
	BRF_PROBE_INDIRECT
};

/**
 * struct brf_probe - the probe under way.
 * @stage: BRF_PROBE_IDLE when there is none
 * @key: key of the probed member
 * @number: number of its ping and ping requests
 * @began: protocol time of the ping
 * @until: protocol time at which the stage times out
 * @relays_asked: ping requests sent
 * @relays_started: relays that confirmed; when none did, this node is likely
 *	cut off itself
 */
struct brf_probe {
	enum brf_probe_stage stage;
	uint64_t key;
	uint32_t number;
	uint64_t began;
	uint64_t until;
	unsigned relays_asked;
	unsigned relays_started;
};

/**
 * struct brf_relayed_ping - a ping sent on behalf of another node.
 * @number: number of the ping; 0 when the slot is free
 * @origin_number: number of the ping request
 * @to: sender of the ping request
 */
struct brf_relayed_ping {
	uint32_t number;
	uint32_t origin_number;
	struct sockaddr_in to;
};

struct brf_member_metrics {
	struct brf_metric *known;
	struct brf_metric *suspects;
	struct brf_metric *lost;
	struct brf_metric *health;
	struct brf_metric *malformed;
	struct brf_metric *unauthenticated;
	struct brf_metric *suspicions;
	struct brf_metric *failures;
	struct brf_metric *refutations;
	struct brf_metric *syncs;
	struct brf_metric *pauses;
};

/**
 * struct brf_members - state of the protocol; times are protocol time.
 * @last_tick: clock time of the last tick
 * @protocol_us: protocol time at @last_tick
 * @health: local health after Lifeguard: 0 when timeouts are trusted, up to
 *	BRF_HEALTH_WORST
 * @last_received_any: time of the last datagram of any node
 * @probes: probes started
 * @relayed: ring of pings sent for other nodes
 * @updates: entries with an update to be sent, by times sent so far
 * @docs_updates: the same for updates on documents
 * @receiver_turn: datagrams of updates addressed, see pick_receiver()
 * @verify: entries to be pinged out of turn
 * @checks: entries pinged out of turn, the earliest first
 * @reconnect_until: time until which failed members are pinged more often
 * @seed_wait: interval between pings to the seeds, grows until one answers
 * @seed_turn: counts pings to seeds once joined
 * @changed_at: time of the last change of the table
 * @catch_up_until: time until which this node, newly started, syncs in each
 *	tick; 0 once its table agreed with another
 * @syncs_served: syncs answered in this tick
 * @in: datagram being processed
 * @out: datagram being built
 */
struct brf_members {
	struct brf_members_config config;
	struct brf_gossip_codec *codec;
	struct brf_table table;
	struct brf_list watchers;
	struct brf_member_metrics metrics;
	struct brf_timer tick;
	uint64_t tick_us;
	uint64_t last_tick;
	uint64_t protocol_us;
	bool leaving;
	unsigned health;
	uint64_t last_received_any;
	uint64_t next_probe;
	unsigned probes;
	struct brf_probe probe;
	struct brf_relayed_ping relayed[BRF_RELAYED_PINGS_MAX];
	size_t next_relayed;
	struct brf_list updates[BRF_UPDATE_TRANSMITS_MAX];
	struct brf_list docs_updates[BRF_UPDATE_TRANSMITS_MAX];
	unsigned receiver_turn;
	struct brf_list verify;
	struct brf_list checks;
	uint64_t reconnect_until;
	uint64_t next_reconnect;
	uint64_t next_seed;
	uint64_t seed_wait;
	size_t seed_turn;
	uint64_t changed_at;
	uint64_t next_sync;
	uint64_t last_sync;
	uint64_t catch_up_until;
	unsigned syncs_served;
	struct brf_gossip in;
	struct brf_gossip out;
};

/* Current protocol time, see DOC above. */
uint64_t brf_members_now(const struct brf_members *ms);

/* Start a message in @ms->out and fill its header; returns @ms->out. */
struct brf_gossip *brf_members_begin(
    struct brf_members *ms, enum brf_gossip_type type);

/* Encode and send @ms->out. */
void brf_members_send(struct brf_members *ms, const struct sockaddr_in *to);

/* Call the watchers; see struct brf_members_watcher. */
void brf_members_notify(struct brf_members *ms, const struct brf_member *before,
    const struct brf_member *after);

/**
 * brf_members_declare() - set the state of another member at its present
 * incarnation and gossip it; does nothing when its state is not lower.
 */
void brf_members_declare(
    struct brf_members *ms, struct brf_entry *e, enum brf_gossip_state state);

/**
 * brf_members_advertise_self() - raise this node's incarnation and gossip it.
 * @above: the new incarnation is higher than this one
 * @full: gossip all fields
 */
void brf_members_advertise_self(struct brf_members *ms, uint64_t above,
    enum brf_gossip_state state, bool full);

/* updates.c */
void brf_updates_init(struct brf_members *ms);

/* Queue the current version of @e to be sent; with all fields if @full. */
void brf_updates_queue(struct brf_members *ms, struct brf_entry *e, bool full);
/* Queue the document digest of @e to be sent. */
void brf_updates_queue_docs(struct brf_members *ms, struct brf_entry *e);
bool brf_updates_pending(const struct brf_members *ms);

/* Append pending updates to @ms->out as far as they fit. */
void brf_updates_piggyback(struct brf_members *ms);

/* Send pending updates to @receivers members. */
void brf_updates_gossip(struct brf_members *ms, unsigned receivers);

/* merge.c */

/* Apply the updates of @ms->in. */
void brf_merge(struct brf_members *ms);

/* Whether a member other than @but is known to have @digest. */
bool brf_members_docs_known(
    const struct brf_members *ms, uint64_t digest, const struct brf_entry *but);

/* probe.c */
void brf_probe_tick(struct brf_members *ms);

/* End the probe under way without a result. */
void brf_probe_abandon(struct brf_members *ms);

/**
 * brf_probe_ping() - send a ping with pending updates.
 * @claim: claim of the receiver's state that it may refute; NULL for none
 */
void brf_probe_ping(struct brf_members *ms, const struct sockaddr_in *to,
    const struct brf_gossip_brief *claim, uint32_t number);

/* Ping @target with a claim of its state; the ack is not awaited. */
void brf_probe_ping_claim(struct brf_members *ms,
    const struct brf_entry *target, enum brf_gossip_state claim);

/* Handlers of @ms->in by type. */
void brf_probe_handle_ping(
    struct brf_members *ms, const struct sockaddr_in *from);
void brf_probe_handle_ack(struct brf_members *ms);
void brf_probe_handle_ping_req(
    struct brf_members *ms, const struct sockaddr_in *from);
void brf_probe_handle_relay_started(struct brf_members *ms);

/* reconnect.c */
void brf_reconnect_tick(struct brf_members *ms);

/**
 * brf_verify_member() - queue @e to be pinged out of turn.
 * @claim: another node's table differs on whether @e has failed; the ping
 *	carries the claim that it has
 */
void brf_verify_member(struct brf_members *ms, struct brf_entry *e, bool claim);

/**
 * brf_verify_zone() - ping other members out of turn when @e became suspect.
 *
 * These are up to BRF_VERIFY_ZONE members from which nothing was received for
 * a period: of the zone of @e if it is another than this node's, and of all
 * zones while the local health is at its worst.
 */
void brf_verify_zone(struct brf_members *ms, const struct brf_entry *e);

/* sync.c */

/* Send a sync to the sender of @ms->in if the digests of the tables differ
 * and it is time for one. */
void brf_sync_check_digest(
    struct brf_members *ms, const struct sockaddr_in *from);

/* Send a sync to a random member while this node catches up after its start. */
void brf_sync_tick(struct brf_members *ms);

/* Answer the sync in @ms->in. */
void brf_sync_handle(struct brf_members *ms, const struct sockaddr_in *from);

#endif
