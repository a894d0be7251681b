#ifndef BRF_ANTI_ENTROPY_H
#define BRF_ANTI_ENTROPY_H

#include "base/random.h"
#include "config/docs.h"
#include "member/members.h"
#include "wire/peer.h"

/**
 * DOC: Replicates documents between nodes by anti-entropy.
 *
 * Few nodes follow the store, see brf_is_store_follower().  All nodes include
 * the digest of their documents in their gossip, and a node that receives
 * another digest asks that member for what is newer, after a short random
 * delay so that not all ask the same one.  A node without a store, or one that
 * starts while the store is down, gets everything this way.
 */

struct brf_anti_entropy;

/**
 * struct brf_anti_entropy_config - copied by brf_anti_entropy_start(); what it
 * points to must outlive brf_anti_entropy_stop().
 * @members: source of the other nodes' digests
 * @peers: used to request documents
 */
struct brf_anti_entropy_config {
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_members *members;
	struct brf_peers *peers;
};

BRF_BEGIN_DECLS

/* Followers of the store in each zone. */
#define BRF_STORE_FOLLOWERS_PER_ZONE 2u

/* Serves @docs, which must outlive it, and applies newer documents to them. */
struct brf_anti_entropy *brf_anti_entropy_new(struct brf_docs *docs);
void brf_anti_entropy_free(struct brf_anti_entropy *ae);

/* Answers the document requests of other nodes; owned by @ae. */
struct brf_document_source *brf_anti_entropy_source(
    struct brf_anti_entropy *ae);

/* Begin to compare digests and to ask. */
void brf_anti_entropy_start(
    struct brf_anti_entropy *ae, const struct brf_anti_entropy_config *config);
void brf_anti_entropy_stop(struct brf_anti_entropy *ae);

/**
 * brf_is_store_follower() - whether this node follows the store.
 *
 * A node follows the store if it is among the BRF_STORE_FOLLOWERS_PER_ZONE of
 * its zone with the highest hash (rendezvous hashing, Thaler and Ravishankar,
 * 1998) of those that take part in the membership.
 */
bool brf_is_store_follower(const struct brf_members *members);

BRF_END_DECLS

#endif
