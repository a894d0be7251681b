#ifndef BRF_MEMBER_INTERNAL_H
#define BRF_MEMBER_INTERNAL_H

#include "member/table.h"

/**
 * DOC: Shared by the files of this package only.
 *
 * Time-outs run on the node's own time: it moves with the ticks, each by at
 * most two ticks' length.  A process that was paused, or whose loop was late,
 * has thus not waited for the others, and does not accuse them (compare
 * Lifeguard, DSN-W 2018).
 */

#define BRF_TICKS_PER_PERIOD 10u
#define BRF_ACK_TICKS 3u	     /* until a ping counts as not answered */
#define BRF_SUSPICION_PERIODS 5u     /* from suspicion to failed */
#define BRF_HEALTH_WORST 3u	     /* time-outs are at most this + 1 longer */
#define BRF_UPDATE_TRANSMITS_MAX 16u /* times that news is passed on, at most \
				      */
#define BRF_GOSSIP_FANOUT 3u	     /* receivers of news in a tick */
#define BRF_GOSSIP_BURST 2u	     /* datagrams to one of them, at most */
#define BRF_RELAYS 3u		     /* asked to probe in our place */
#define BRF_RELAYED_PINGS_MAX 64u    /* probes made for others at once */
#define BRF_OTHER_ZONE_PROBE_EVERY 4u /* one in so many leaves the own zone */
#define BRF_RECONNECT_PER_TICK 2u     /* pings to lost members while healing */
#define BRF_RECONNECT_PERIODS 5u      /* healing lasts from the last contact */
#define BRF_VERIFY_PER_TICK 2u	      /* pings out of turn */
#define BRF_VERIFY_PINGS 3u	      /* unheard, before a member is suspect */
#define BRF_VERIFY_ZONE 8u	  /* members of a zone where one is suspect */
#define BRF_FORGET_PERIODS 86400u /* a lost member is remembered for */
#define BRF_FORGET_LEFT_PERIODS 600u /* one that left */
#define BRF_SYNC_PERIODS 2u	    /* between two syncs, and of quiet before */
#define BRF_SYNC_LATEST_PERIODS 10u /* sync although it is not quiet */
#define BRF_SYNC_DATAGRAMS 8u	    /* answer to one sync */
#define BRF_SYNC_SERVED_PER_TICK 4u /* syncs answered */
#define BRF_SEED_PERIODS 5u	    /* between pings to a seed, once joined */
#define BRF_CATCH_UP_PERIODS 30u    /* a joiner syncs without a pause */

enum brf_probe_stage {
	BRF_PROBE_IDLE,
	BRF_PROBE_DIRECT,
	BRF_PROBE_INDIRECT
};

/**
 * struct brf_probe - the probe under way.
 * @relays_asked: nodes asked to ping in our place
 * @relays_started: those that said they do; with none, the fault is likely here
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
 * struct brf_relayed_ping - a ping made for another node.
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

struct brf_members {
	struct brf_members_config config;
	struct brf_gossip_codec *codec;
	struct brf_table table;
	struct brf_list watchers;
	struct brf_member_metrics metrics;
	struct brf_timer tick;
	uint64_t tick_us;
	uint64_t last_tick;   /* clock time */
	uint64_t protocol_us; /* own time at @last_tick */
	bool leaving;
	unsigned health;
	uint64_t
	    last_received_any; /* own time of the last datagram of any node */
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
	uint64_t seed_wait; /* grows while none answers */
	size_t seed_turn;
	uint64_t changed_at; /* own time of the last change of the table */
	uint64_t next_sync;
	uint64_t last_sync;
	uint64_t catch_up_until;
	unsigned syncs_served;
	struct brf_gossip in;
	struct brf_gossip out;
};

/* Own time; see DOC above. */
uint64_t brf_members_now(const struct brf_members *ms);

/* A message of this node, its header filled, in @ms->out. */
struct brf_gossip *brf_members_begin(
    struct brf_members *ms, enum brf_gossip_type type);

/* Send @ms->out. */
void brf_members_send(struct brf_members *ms, const struct sockaddr_in *to);

/* Tell the watchers. */
void brf_members_notify(struct brf_members *ms, const struct brf_member *before,
    const struct brf_member *after);

/**
 * brf_members_declare() - this node sets @state of another at its present
 * incarnation, and passes it on.
 */
void brf_members_declare(
    struct brf_members *ms, struct brf_entry *e, enum brf_gossip_state state);

/* Raise the own incarnation above @above, with @state, and pass it on. */
void brf_members_advertise_self(struct brf_members *ms, uint64_t above,
    enum brf_gossip_state state, bool full);

/* news.c */
void brf_updates_init(struct brf_members *ms);
void brf_updates_queue(struct brf_members *ms, struct brf_entry *e, bool full);
void brf_updates_queue_docs(struct brf_members *ms, struct brf_entry *e);
bool brf_updates_pending(const struct brf_members *ms);

/* Fill the rest of @ms->out with news that wait. */
void brf_updates_piggyback(struct brf_members *ms);

/* Pass waiting news on to @receivers members. */
void brf_updates_gossip(struct brf_members *ms, unsigned receivers);

/* merge.c */
void brf_merge(struct brf_members *ms);

/* Whether a member other than @but has told of @digest. */
bool brf_members_docs_known(
    const struct brf_members *ms, uint64_t digest, const struct brf_entry *but);

/* probe.c */
void brf_probe_tick(struct brf_members *ms);
void brf_probe_abandon(struct brf_members *ms);
void brf_probe_ping(struct brf_members *ms, const struct sockaddr_in *to,
    const struct brf_gossip_brief *claim, uint32_t number);
/* A ping that tells @target what is claimed of it, and wants no account of
 * the answer. */
void brf_probe_ping_claim(struct brf_members *ms,
    const struct brf_entry *target, enum brf_gossip_state claim);
void brf_probe_handle_ping(
    struct brf_members *ms, const struct sockaddr_in *from);
void brf_probe_handle_ack(struct brf_members *ms);
void brf_probe_handle_ping_req(
    struct brf_members *ms, const struct sockaddr_in *from);
void brf_probe_handle_relay_started(struct brf_members *ms);

/* heal.c */
void brf_reconnect_tick(struct brf_members *ms);
/* Ping @e out of turn; with @claim others hold it for failed. */
void brf_verify_member(struct brf_members *ms, struct brf_entry *e, bool claim);

/* @e, of another zone, is suspect; look after others there as well, or after
 * all when this node seems cut off. */
void brf_verify_zone(struct brf_members *ms, const struct brf_entry *e);

/* sync.c */
void brf_sync_check_digest(
    struct brf_members *ms, const struct sockaddr_in *from);
/* While catching up: ask on, whether or not somebody spoke. */
void brf_sync_tick(struct brf_members *ms);
void brf_sync_handle(struct brf_members *ms, const struct sockaddr_in *from);

#endif
