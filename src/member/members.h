#ifndef BRF_MEMBERS_H
#define BRF_MEMBERS_H

#include <netinet/in.h>

#include "base/exchange.h"
#include "base/list.h"
#include "base/metrics.h"
#include "base/timer.h"

/**
 * DOC: Group membership by gossip, after SWIM (DSN 2002).
 *
 * Each node keeps a table of all nodes, detects failed ones by probes and
 * spreads changes by gossip.  The module is a state machine without I/O: it
 * takes datagrams and time as input and sends datagrams through a vtable.
 * member/udp.h connects it to a socket.
 */

enum brf_member_state {
	BRF_MEMBER_STARTING, /* its target has not announced itself yet */
	BRF_MEMBER_READY,    /* accepts work */
	BRF_MEMBER_DRAINING, /* finishes its work and accepts no more */
	BRF_MEMBER_SUSPECT,  /* did not answer probes; can refute */
	BRF_MEMBER_GONE	     /* left, or was declared failed */
};

/**
 * struct brf_member - what is known of one node.
 * @node: random id, a new one each time the process starts
 * @incarnation: orders the updates of this node; only the node itself raises
 *	it
 * @addr: IPv4 address and UDP port of gossip, network order
 * @rpc_port: TCP port of the protocol between nodes, host order
 * @entry_port: TCP port for HTTP requests of callers, host order
 * @admin_port: TCP port of the admin HTTP, host order
 * @zone: availability zone
 * @region: region of @zone
 * @service: service of its target; empty until the target announces itself
 * @slots: slots announced by the target
 * @state: announced by the node or declared by others
 * @docs_digest: digest of its documents' revisions, see config/docs.h; 0
 *	while unknown
 * @last_update: clock time of the last datagram received from it or the last
 *	update of it received from others
 */
struct brf_member {
	struct brf_id node;
	uint64_t incarnation;
	struct sockaddr_in addr;
	uint16_t rpc_port;
	uint16_t entry_port;
	uint16_t admin_port;
	char zone[BRF_NAME_MAX + 1];
	char region[BRF_NAME_MAX + 1];
	char service[BRF_NAME_MAX + 1];
	uint32_t slots;
	enum brf_member_state state;
	uint64_t docs_digest;
	uint64_t last_update;
};

struct brf_datagrams;

/**
 * struct brf_datagrams_vt - operations of struct brf_datagrams.
 * @send: send @len bytes at @data, not kept after the call; may drop them
 */
struct brf_datagrams_vt {
	void (*send)(struct brf_datagrams *d, const struct sockaddr_in *to,
	    const void *data, size_t len);
};

/**
 * struct brf_datagrams - sender of datagrams; tests substitute a fake network.
 */
struct brf_datagrams {
	const struct brf_datagrams_vt *vt;
};

/**
 * struct brf_members_watcher - observer of changes of the table.
 * @changed: called after each change of a member, this node included, from
 *	within the call or timer that caused it; @before is NULL for a new
 *	member, @after is NULL for one removed from the table; both are valid
 *	only during the call
 */
struct brf_members_watcher {
	void (*changed)(struct brf_members_watcher *w,
	    const struct brf_member *before, const struct brf_member *after);
	struct brf_list link;
};

#define BRF_SEEDS_MAX 16u
#define BRF_DATAGRAM_MAX 1200u /* bytes, below the usual path MTU */

/**
 * struct brf_members_config - configuration for brf_members_new().
 * @timers, @random, @metrics, @datagrams: not owned, outlive the members
 * @self: this node; state, service, slots and digest can be changed later by
 *	brf_members_update_self()
 * @seeds: gossip addresses of the nodes to join through
 * @seed_count: number of @seeds
 * @key: fleet key, authenticates datagrams by a MAC
 * @key_len: length of @key in bytes
 * @period_us: protocol period, the time between two probes, in microseconds
 */
struct brf_members_config {
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_datagrams *datagrams;
	struct brf_member self;
	struct sockaddr_in seeds[BRF_SEEDS_MAX];
	size_t seed_count;
	unsigned char key[64];
	size_t key_len;
	uint64_t period_us;
};

struct brf_members;

BRF_BEGIN_DECLS

/* Never NULL; @config is copied.  Freed by brf_members_free(). */
struct brf_members *brf_members_new(const struct brf_members_config *config);
void brf_members_free(struct brf_members *ms);

/* Start to probe members and to join through the seeds. */
void brf_members_start(struct brf_members *ms);

/**
 * brf_members_receive() - process a datagram; malformed or unauthenticated
 * ones are counted and dropped.
 * @from: sender's address
 * @len: length of @data in bytes
 */
void brf_members_receive(struct brf_members *ms, const struct sockaddr_in *from,
    const void *data, size_t len);

/**
 * brf_members_contact() - ping an address where a node may run, such as one
 * found in the store; does nothing when a member at @addr is known already or
 * this node is leaving.
 */
void brf_members_contact(
    struct brf_members *ms, const struct sockaddr_in *addr);

/* This node; valid until brf_members_free(). */
const struct brf_member *brf_members_self(const struct brf_members *ms);

/**
 * brf_members_update_self() - change this node's state, service, slots or
 * docs_digest; the other fields of @self are ignored.
 *
 * A change of state, service or slots raises the incarnation and is gossiped
 * at once.  BRF_MEMBER_GONE is the same as brf_members_leave().  A change of
 * the digest alone keeps the incarnation; it is gossiped only while no other
 * member is known to have the same digest, and is in the header of each
 * datagram in any case.
 */
void brf_members_update_self(
    struct brf_members *ms, const struct brf_member *self);

/* Announce that this node leaves; timers have to run for a while afterwards so
 * that the announcement spreads. */
void brf_members_leave(struct brf_members *ms);

/**
 * brf_members_each() - call @visit for each known member, this node included,
 * and gone members included, in no order, until @visit returns false.
 */
void brf_members_each(const struct brf_members *ms,
    bool (*visit)(const struct brf_member *member, void *arg), void *arg);

/* NULL when not known; valid until the member is removed from the table. */
const struct brf_member *brf_members_find(
    const struct brf_members *ms, struct brf_id node);

/* Number of members that are not gone, this node included. */
size_t brf_members_count(const struct brf_members *ms);

/* @w is not owned; unwatch it before it is freed. */
void brf_members_watch(struct brf_members *ms, struct brf_members_watcher *w);
void brf_members_unwatch(struct brf_members_watcher *w);

/* Name for output; "invalid" when @state is out of range. */
const char *brf_member_state_name(enum brf_member_state state);

BRF_END_DECLS

#endif
