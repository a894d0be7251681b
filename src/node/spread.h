#ifndef BRF_SPREAD_H
#define BRF_SPREAD_H

#include "base/random.h"
#include "config/docs.h"
#include "member/members.h"
#include "wire/peer.h"

/**
 * DOC: Documents from node to node.
 *
 * Few nodes follow the store (see brf_spread_is_follower()).  All tell the
 * digest of their documents with their gossip, and a node that hears of
 * another digest asks that member for what is newer, after a short random
 * time so that many don't ask one.  A node without the store, or one that
 * starts while the store is down, gets everything this way.
 */

struct brf_spread;

/**
 * struct brf_spread_config - what brf_spread_start() needs.
 * @peers: asks other nodes
 */
struct brf_spread_config {
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_members *members;
	struct brf_peers *peers;
};

BRF_BEGIN_DECLS

/* Followers of the store in each zone. */
#define BRF_FOLLOWERS 2u

struct brf_spread *brf_spread_new(struct brf_docs *docs);
void brf_spread_free(struct brf_spread *s);

/* What answers other nodes; owned by @s. */
struct brf_document_source *brf_spread_source(struct brf_spread *s);

/* Begin to compare digests and to ask. */
void brf_spread_start(
    struct brf_spread *s, const struct brf_spread_config *config);
void brf_spread_stop(struct brf_spread *s);

/**
 * brf_spread_is_follower() - whether this node is among the BRF_FOLLOWERS of
 * its zone with the highest hash (rendezvous hashing, Thaler and Ravishankar,
 * 1998) of those that take part in the membership.
 */
bool brf_spread_is_follower(const struct brf_members *members);

BRF_END_DECLS

#endif
