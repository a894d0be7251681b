#ifndef BRF_MESH_RELAY_H
#define BRF_MESH_RELAY_H

#include "config/store.h"
#include "fleet/directory.h"
#include "link/link.h"

/**
 * DOC: Reads and watches of the store by way of a relay.
 *
 * A struct brf_store on top of the store's client.  Writes go to the store;
 * reads of a prefix go over a link to one of the zone's relays
 * (policy/relay.h), watches to all of them, and both to the store when this
 * node is a relay itself, knows none, or when no relay answers.  A node passes
 * on only what it receives from the store itself, so that relays can't depend
 * on each other; they do tell each other that there is a change, see
 * relay_witness.c.
 *
 * A change has to be known to each node within a bound of its
 * acknowledgement, whichever relays are lost.  Silence does not show that there
 * are no changes, so each node knows how old its proof is that it has all of
 * them.  A node that watches the store gets a proof with each response
 * (platform/kv_store.h), at least each BRF_REGISTRATION_PROBE_US; its replies
 * to other nodes carry the proof's age.  When the youngest proof is older than
 * BRF_RELAY_PROOF_MAX_US, by whatever fault, the watch ends and its owner reads
 * all keys from the store itself.  The bound is the sum of these parts:
 *
 *	320 ms	longest pause between two polls, in a series of changes,
 *		mesh/node.c
 *	1300 ms	age of a proof, BRF_RELAY_PROOF_MAX_US
 *	20 ms	to take in replies that have arrived, BRF_RELAY_GRACE_US
 *	50 ms	until the owner reads, fleet/follow.c
 *
 * and the read itself, with a connection of its own.  A slow store adds twice
 * its latency to the age, so that nodes do not add to its load.
 */

#define BRF_RELAY_PROOF_MAX_US (1300 * BRF_US_PER_MS)
#define BRF_RELAY_GRACE_US (20 * BRF_US_PER_MS)
#define BRF_RELAY_TICK_US (500 * BRF_US_PER_MS)
/* Longest wait of a watch of another node without a newer proof, and of one
 * that this node can't serve. */
#define BRF_RELAY_PROGRESS_US (1250 * BRF_US_PER_MS)
#define BRF_RELAY_UNAVAILABLE_US (500 * BRF_US_PER_MS)
/* A proof that is newer by this is told at once. */
#define BRF_RELAY_NEWER_US (250 * BRF_US_PER_MS)
/* Without a reply for this long a relay is avoided. */
#define BRF_RELAY_SILENT_US (2 * BRF_US_PER_S)
#define BRF_RELAY_READ_SILENT_US (400 * BRF_US_PER_MS)
/* A relay that failed is not asked for keys again before this, as they are
 * waited for, and for changes before the shorter time. */
#define BRF_RELAY_AVOID_US (10 * BRF_US_PER_S)
#define BRF_RELAY_RETRY_US (2 * BRF_US_PER_S)
/* The zone's nodes must not have changed for this long before another relay is
 * asked, so that all nodes have received the change and choose the same. */
#define BRF_RELAY_SETTLE_US (2500 * BRF_US_PER_MS)
/* Time from the start of a node to its first poll of the store, while no relay
 * is known.  Nodes that start together receive each other's entries in one
 * response; these tell the relays, by which all else is received. */
#define BRF_RELAY_TARGETS_DELAY_US (2 * BRF_US_PER_S)
#define BRF_RELAY_OTHERS_DELAY_US (2500 * BRF_US_PER_MS)

/**
 * struct brf_mesh_relay_config - what brf_mesh_relay_new() needs; all of it
 * outlives the relay.
 * @origin: client of the store
 * @node: name of this node
 * @zone: its availability zone
 * @watching: called with @arg when this node begins or ends to watch the store
 *	itself, for proofs; may be NULL
 */
struct brf_mesh_relay_config {
	struct brf_store *origin;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	const char *node;
	const char *zone;
	void (*watching)(void *arg, bool watching);
	void *arg;
};

struct brf_mesh_relay;

BRF_BEGIN_DECLS

struct brf_mesh_relay *brf_mesh_relay_new(
    const struct brf_mesh_relay_config *config);

/* All watches must have been stopped, and the links closed. */
void brf_mesh_relay_free(struct brf_mesh_relay *relay);

/* The store whose watches may go by way of a relay. */
struct brf_store *brf_mesh_relay_store(struct brf_mesh_relay *relay);

/**
 * brf_mesh_relay_source() - where the changes of keys with @prefix come from.
 *
 * Return: name of the relay that told the last ones; empty for the store.
 */
const char *brf_mesh_relay_source(
    const struct brf_mesh_relay *relay, const char *prefix);

/* Return: age of the proof that all changes of keys with @prefix are known,
 * microseconds; UINT64_MAX when they are not watched. */
uint64_t brf_mesh_relay_proof_age(
    const struct brf_mesh_relay *relay, const char *prefix);

/* Serves the watches of other nodes. */
struct brf_link_watch_handler *brf_mesh_relay_handler(
    struct brf_mesh_relay *relay);

/**
 * brf_mesh_relay_connect() - begin to use relays.
 * @links: of this node
 * @directory: tells the nodes of the zone; NULL to use none any more, which is
 *	to be called before the directory is freed
 */
void brf_mesh_relay_connect(struct brf_mesh_relay *relay,
    struct brf_links *links, const struct brf_directory *directory);

BRF_END_DECLS

#endif
