#ifndef BRF_POLICY_RELAY_H
#define BRF_POLICY_RELAY_H

#include "base/base.h"

/**
 * DOC: Which nodes of an availability zone watch the store for the others.
 *
 * Answers the load on the store: were each node to watch it, a change would
 * cost as many calls as there are nodes.  The nodes of a zone choose the same
 * relays without talking to each other, by rendezvous hashing: each node's
 * weight is the hash of its name, and the nodes of highest weight are the
 * relays.  When a node joins or leaves, the choice changes only if it is, or
 * becomes, a relay.  Nodes with different views may choose differently for a
 * while; a node that is asked and does not watch the store says so.
 */

#define BRF_RELAYS_PER_ZONE 2u

/**
 * struct brf_relay_candidate - a node that may be a relay.
 * @name: of the node; NULL for no candidate
 * @weight: hash of @name
 * @data: of the caller
 */
struct brf_relay_candidate {
	const char *name;
	uint64_t weight;
	const void *data;
};

/**
 * struct brf_relay_ranking - the candidates of highest weight; zeroed at first.
 * @best: in descending order
 * @members: hash of the set of all candidates, to notice that it has changed
 */
struct brf_relay_ranking {
	struct brf_relay_candidate best[BRF_RELAYS_PER_ZONE];
	uint64_t members;
};

BRF_BEGIN_DECLS

/**
 * brf_relay_rank() - add a candidate; one that was added before is ignored.
 * @name: of the node; must stay valid while @ranking is used
 * @data: returned by brf_relay_pick()
 */
void brf_relay_rank(
    struct brf_relay_ranking *ranking, const char *name, const void *data);

/* Whether the node @self is one of the relays. */
bool brf_relay_is_relay(
    const struct brf_relay_ranking *ranking, const char *self);

/**
 * brf_relay_pick() - choose the relay of the node @self, so that the nodes are
 * spread evenly.
 * @usable: whether the relay with this data can be asked now
 *
 * Return: the candidate's data; NULL when the node has to watch the store
 * itself: it is a relay, or no relay is usable.
 */
const void *brf_relay_pick(const struct brf_relay_ranking *ranking,
    const char *self, bool (*usable)(void *arg, const void *data), void *arg);

BRF_END_DECLS

#endif
