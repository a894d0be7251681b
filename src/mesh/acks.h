#ifndef BRF_MESH_ACKS_H
#define BRF_MESH_ACKS_H

#include "base/list.h"
#include "base/timer.h"
#include "fleet/entry.h"
#include "http/server.h"

/**
 * DOC: Announcements of leaving targets that are not acknowledged yet.
 *
 * Problem: a process that ends right after it has acknowledged that a target
 * leaves must not lose this.  The acknowledgement waits until the store has the
 * target's entry, or, while the store is out of reach, until other nodes keep
 * the departure.  A target that gets none goes on serving what it has, and
 * announces its departure again.
 */

/* Time until other nodes are asked, and the longest wait in all; targets take
 * an acknowledgement within 1 s. */
#define BRF_MESH_ACK_STORE_US (250 * BRF_US_PER_MS)
#define BRF_MESH_ACK_WAIT_US (700 * BRF_US_PER_MS)

/**
 * struct brf_mesh_acks - start with brf_mesh_acks_init().
 * @unrecorded: called with the id of a target whose departure the store does
 *	not have after BRF_MESH_ACK_STORE_US, to have other nodes keep it
 * @waiting: list of struct ack
 */
struct brf_mesh_acks {
	struct brf_timers *timers;
	void (*unrecorded)(void *arg, const char *id);
	void *arg;
	struct brf_list waiting;
};

BRF_BEGIN_DECLS

/* The caller fills @unrecorded and @arg. */
void brf_mesh_acks_init(struct brf_mesh_acks *acks, struct brf_timers *timers);

/* Acknowledge @http, an announcement of target @id, once it is recorded. */
void brf_mesh_acks_add(
    struct brf_mesh_acks *acks, struct brf_http_request *http, const char *id);

/* The store has the entry of target @id. */
void brf_mesh_acks_recorded(struct brf_mesh_acks *acks, const char *id);

/* Another node keeps the departure of target @id. */
void brf_mesh_acks_kept(struct brf_mesh_acks *acks, const char *id);

/* Forget @http, if it waits. */
void brf_mesh_acks_disconnected(
    struct brf_mesh_acks *acks, const struct brf_http_request *http);

/* Acknowledge an announcement at once. */
void brf_mesh_acknowledge(struct brf_http_request *http);

BRF_END_DECLS

#endif
