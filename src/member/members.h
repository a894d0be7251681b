#ifndef BRF_MEMBERS_H
#define BRF_MEMBERS_H

#include <netinet/in.h>

#include "base/exchange.h"
#include "base/list.h"
#include "base/metrics.h"
#include "base/timer.h"

/**
 * DOC: Which nodes there are (after SWIM, DSN 2002).
 *
 * A pure state machine: datagrams and time come in, datagrams go out through
 * a vtable.  member/udp.h joins it to a socket.
 */

enum brf_member_state {
	BRF_MEMBER_STARTING, /* its target has not announced itself */
	BRF_MEMBER_READY,    /* takes work */
	BRF_MEMBER_DRAINING, /* finishes what it has */
	BRF_MEMBER_SUSPECT,  /* did not answer probes; may refute */
	BRF_MEMBER_GONE	     /* left, or was declared failed */
};

/**
 * struct brf_member - what is known of one node.
 * @node: random id of one life of the process; another life has another id
 * @incarnation: orders the news of one life; raised by the node itself alone
 * @addr: IPv4 address and port of gossip, network order
 * @rpc_port: TCP port of the inner protocol, host order
 * @entry_port: TCP port of the callers' HTTP, host order
 * @admin_port: TCP port of the admin HTTP, host order
 * @zone: availability zone
 * @region: region of @zone
 * @service: what its target serves; empty before the announcement
 * @slots: announced slots
 * @state: as told by the node or concluded by others
 * @docs_digest: digest of its documents' revisions, see config/docs.h; 0
 *	while not known
 * @last_update: clock time when news of it last came, direct or through others
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

struct brf_datagrams_vt {
	void (*send)(struct brf_datagrams *d, const struct sockaddr_in *to,
	    const void *data, size_t len);
};

/**
 * struct brf_datagrams - where datagrams go; the seam for tests.
 */
struct brf_datagrams {
	const struct brf_datagrams_vt *vt;
};

/**
 * struct brf_members_watcher - is told of each change of the table.
 * @changed: @before is NULL for a new member, @after for one that was
 *	forgotten
 */
struct brf_members_watcher {
	void (*changed)(struct brf_members_watcher *w,
	    const struct brf_member *before, const struct brf_member *after);
	struct brf_list link;
};

#define BRF_SEEDS_MAX 16u
#define BRF_DATAGRAM_MAX 1200u /* bytes, below the usual path MTU */

/**
 * struct brf_members_config - what brf_members_new() needs.
 * @self: this node; state, service and slots may be set later
 * @seeds: gossip addresses from the settings
 * @key: fleet key; datagrams carry a MAC under it
 * @period_us: time between two probes
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

struct brf_members *brf_members_new(const struct brf_members_config *config);
void brf_members_free(struct brf_members *ms);

/* Begin to probe and to join through the seeds. */
void brf_members_start(struct brf_members *ms);

/**
 * brf_members_receive() - a datagram came; malformed or unauthenticated ones
 * are counted and dropped.
 */
void brf_members_receive(struct brf_members *ms, const struct sockaddr_in *from,
    const void *data, size_t len);

/**
 * brf_members_contact() - ping an address that may have a member, such as an
 * entry of the store; nothing is done when a member there is known.
 */
void brf_members_contact(
    struct brf_members *ms, const struct sockaddr_in *addr);

const struct brf_member *brf_members_self(const struct brf_members *ms);

/**
 * brf_members_update_self() - new state, service, slots or digest; spread at
 * once under a higher incarnation.  Identity and addresses are not changed.
 * A new digest alone leaves the incarnation; it is spread by the first members
 * that have it, others tell it to whom they talk.
 */
void brf_members_update_self(
    struct brf_members *ms, const struct brf_member *self);

/* Spread that this node leaves; call some time before the process ends. */
void brf_members_leave(struct brf_members *ms);

/**
 * brf_members_each() - call @visit for each known member, this node included,
 * in no order, until it returns false.
 */
void brf_members_each(const struct brf_members *ms,
    bool (*visit)(const struct brf_member *member, void *arg), void *arg);

/* NULL when not known. */
const struct brf_member *brf_members_find(
    const struct brf_members *ms, struct brf_id node);

/* Members that are not gone, this node included. */
size_t brf_members_count(const struct brf_members *ms);

void brf_members_watch(struct brf_members *ms, struct brf_members_watcher *w);
void brf_members_unwatch(struct brf_members_watcher *w);

const char *brf_member_state_name(enum brf_member_state state);

BRF_END_DECLS

#endif
