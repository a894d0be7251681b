#ifndef BRF_MESH_SERVICES_H
#define BRF_MESH_SERVICES_H

#include "fleet/directory.h"
#include "link/link.h"
#include "mesh/tally.h"
#include "policy/balancer.h"
#include "policy/retry_window.h"

/**
 * DOC: What a node knows of the services that it sends to: their targets, how
 * these stand, and how many requests may be sent a second time.
 */

/**
 * struct brf_mesh_peer - a target and the way to it.
 * @refs: one of the directory, one of each hop
 * @place: how it stands
 * @link: NULL for this VM's own target
 * @id: names it in hops
 * @target: NULL once the directory has dropped it
 */
struct brf_mesh_peer {
	unsigned refs;
	struct brf_balancer_target place;
	struct brf_link *link;
	char id[BRF_ENTRY_ID_MAX + 1];
	struct brf_directory_target *target;
	struct brf_mesh_service *service;
	struct brf_mesh_services *all;
};

/**
 * struct brf_mesh_service - one service.
 * @bit: its own among up to 64 services; further ones share them
 * @peers: its targets, @count of them
 * @tally: of requests for it that began here
 */
struct brf_mesh_service {
	struct brf_list link;
	char name[BRF_NAME_MAX + 1];
	uint64_t bit;
	struct brf_mesh_peer *peers[BRF_BALANCER_TARGETS_MAX];
	size_t count;
	struct brf_retry_window repeats;
	struct brf_tally tally;
};

/**
 * struct brf_mesh_services_config - what brf_mesh_services_init() needs; all
 * of it outlives the services.
 * @self: where this node takes hops; told apart from others by it
 * @repeat_ratio: see struct brf_retry_window
 */
struct brf_mesh_services_config {
	struct brf_timers *timers;
	struct brf_links *links;
	struct sockaddr_in self;
	const char *zone;
	const char *region;
	double repeat_ratio;
	uint64_t repeat_window_us;
};

/**
 * struct brf_mesh_services - all services; hears of changes as a watcher of
 * the directory.
 * @bits: of the services that have targets, see policy/kinship.h
 * @count: services that were ever known
 * @lapsed_here: the entry of this VM's target has lapsed
 */
struct brf_mesh_services {
	struct brf_directory_watcher watcher;
	struct brf_mesh_services_config config;
	struct brf_list list;
	uint64_t bits;
	uint32_t count;
	void (*lapsed_here)(void *arg, const char *id);
	void *arg;
};

BRF_BEGIN_DECLS

void brf_mesh_services_init(
    struct brf_mesh_services *s, const struct brf_mesh_services_config *config);

/* The directory must be gone, and no peer referenced. */
void brf_mesh_services_finish(struct brf_mesh_services *s);

/* Found or made. */
struct brf_mesh_service *brf_mesh_service_get(
    struct brf_mesh_services *s, const char *name);

/* The bit of a service; 0 for one that was never known. */
uint64_t brf_mesh_service_bit(
    const struct brf_mesh_services *s, const char *name);

/**
 * brf_mesh_service_choose() - the target that a request goes to next.
 * @tried: targets that it has been at, @tried_count of them; they are only
 *	compared
 *
 * Return: with a reference; NULL when none may get it.
 */
struct brf_mesh_peer *brf_mesh_service_choose(struct brf_mesh_service *service,
    struct brf_balancer_request *request, struct brf_mesh_peer *const *tried,
    size_t tried_count, struct brf_random *random, uint64_t now);

/* A hop to @peer has ended, see brf_balancer_hop_ended(). */
void brf_mesh_peer_ended(struct brf_mesh_peer *peer, enum brf_balancer_feedback end,
    const struct brf_gate_load *load, uint64_t now);

void brf_mesh_peer_unref(struct brf_mesh_peer *peer);

BRF_END_DECLS

#endif
