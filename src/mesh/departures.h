#ifndef BRF_MESH_DEPARTURES_H
#define BRF_MESH_DEPARTURES_H

#include "fleet/directory.h"
#include "link/link.h"

/**
 * DOC: Departures of targets that the store does not have yet.
 *
 * Problem: while the store is out of reach, what a target has announced of its
 * departure is known to one process alone.  The next process of its node would
 * believe a late announcement from before.
 *
 * The process tells some other nodes, which keep the departure in memory and
 * tell it to each process that they find at the node's address, until that one
 * has recorded it in the store.
 */

/* Other nodes that have to keep a departure, where there are as many. */
#define BRF_MESH_KEEPERS 2u

struct brf_mesh_departures;

/**
 * struct brf_mesh_departures_config - what brf_mesh_departures_new() needs; all
 * of it outlives the departures.
 * @node: name of this node
 * @kept: another node keeps the departure of target @id
 * @adopt: a departure of a target beside this node was told; returns
 *	BRF_LINK_NOTE_RECORDED once the store has it
 */
struct brf_mesh_departures_config {
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	const char *node;
	void (*kept)(void *arg, const char *id);
	enum brf_link_note_result (*adopt)(
	    void *arg, const struct brf_entry *entry);
	void *arg;
};

BRF_BEGIN_DECLS

struct brf_mesh_departures *brf_mesh_departures_new(
    const struct brf_mesh_departures_config *config);

/* Ends all notes; to be called before the links are closed. */
void brf_mesh_departures_free(struct brf_mesh_departures *d);

/* Receives the notes of other nodes. */
struct brf_link_note_handler *brf_mesh_departures_handler(
    struct brf_mesh_departures *d);

/* @directory: tells the other nodes; NULL to use none any more */
void brf_mesh_departures_connect(struct brf_mesh_departures *d,
    struct brf_links *links, const struct brf_directory *directory);

/* Ask other nodes to keep @entry, of a target that drains or has left. */
void brf_mesh_departures_tell(
    struct brf_mesh_departures *d, const struct brf_entry *entry);

BRF_END_DECLS

#endif
