#ifndef BRF_MESH_SERVICES_H
#define BRF_MESH_SERVICES_H

#include "fleet/directory.h"
#include "link/link.h"
#include "mesh/report_memory.h"
#include "mesh/request_metrics.h"
#include "policy/balancer.h"
#include "policy/retry_window.h"

/**
 * DOC: The services that a node sends requests to: their targets with load and
 * health, and a retry budget for each service.
 */

/**
 * struct brf_mesh_peer - a target and the link to its node.
 * @refs: one reference of the directory and one of each hop to the target
 * @balancer: load and health, by which targets are chosen
 * @link: link to the target's node; NULL for this VM's own target, and after
 *	the directory has dropped the target
 * @id: name of the target in hops
 * @born: incarnation of the target, see struct brf_entry
 * @report: what it has said of itself
 * @target: the directory's target; NULL once the directory has dropped it
 * @service: service of the target
 * @services: the set that @service belongs to
 */
struct brf_mesh_peer {
	unsigned refs;
	struct brf_balancer_target balancer;
	struct brf_link *link;
	char id[BRF_ENTRY_ID_MAX + 1];
	uint64_t born;
	struct brf_self_report report;
	struct brf_directory_target *target;
	struct brf_mesh_service *service;
	struct brf_mesh_services *services;
};

/**
 * struct brf_mesh_service - one service.
 * @link: in the list of struct brf_mesh_services
 * @bit: bit of the service in sets of services.  The first 64 services have
 *	one each; any further service shares one of them.
 * @peers: its targets, @count of them; targets beyond BRF_BALANCER_TARGETS_MAX
 *	are left out
 * @retry_budget: limits how many requests to it this node sends again
 * @request_metrics: outcomes of the requests for it that began at this node
 */
struct brf_mesh_service {
	struct brf_list link;
	char name[BRF_NAME_MAX + 1];
	uint64_t bit;
	struct brf_mesh_peer *peers[BRF_BALANCER_TARGETS_MAX];
	size_t count;
	struct brf_retry_window retry_budget;
	struct brf_request_metrics request_metrics;
};

/**
 * struct brf_mesh_services_config - what brf_mesh_services_init() needs; all
 * of it outlives the services.
 * @self: address that this node advertises for hops; a target with this
 *	address is this VM's own
 * @zone: availability zone of this VM
 * @region: region of the zone
 * @retry_budget_ratio: retries per first request, see struct brf_retry_window
 * @retry_budget_window_us: window over which the ratio holds, microseconds
 */
struct brf_mesh_services_config {
	struct brf_timers *timers;
	struct brf_links *links;
	struct sockaddr_in self;
	const char *zone;
	const char *region;
	double retry_budget_ratio;
	uint64_t retry_budget_window_us;
};

/**
 * struct brf_mesh_services - all services that this node has heard of.
 * @watcher: to be passed to the directory, whose changes it follows
 * @list: the services; none is removed before brf_mesh_services_finish()
 * @bits: bits of the services that have targets, see policy/nesting.h
 * @count: number of services in @list
 * @reports: statements of targets that are not, or no longer, among the peers
 * @own_target_seen: called with @arg when the directory has read the entry of
 *	this VM's target from the store
 */
struct brf_mesh_services {
	struct brf_directory_watcher watcher;
	struct brf_mesh_services_config config;
	struct brf_list list;
	uint64_t bits;
	uint32_t count;
	struct brf_report_memory reports;
	void (*own_target_seen)(
	    void *arg, const struct brf_directory_target *t);
	void *arg;
};

BRF_BEGIN_DECLS

void brf_mesh_services_init(
    struct brf_mesh_services *s, const struct brf_mesh_services_config *config);

/**
 * brf_mesh_services_finish() - free all services.  The directory must have
 * been freed, and every reference to a peer released.
 */
void brf_mesh_services_finish(struct brf_mesh_services *s);

/**
 * brf_mesh_service_get() - find the service @name, or create it.
 *
 * Return: owned by @s.
 */
struct brf_mesh_service *brf_mesh_service_get(
    struct brf_mesh_services *s, const char *name);

/* Return: the bit of the service @name; 0 when it is unknown. */
uint64_t brf_mesh_service_bit(
    const struct brf_mesh_services *s, const char *name);

/**
 * brf_mesh_service_choose() - choose the target that a request goes to next.
 * @request: properties of the request; its @tried is overwritten
 * @tried: targets that the request was sent to before, @tried_count of them;
 *	the pointers are only compared
 * @now: clock time
 *
 * Return: the target with a reference, to be released with
 * brf_mesh_peer_unref(); NULL when no target may get the request.
 */
struct brf_mesh_peer *brf_mesh_service_choose(struct brf_mesh_service *service,
    struct brf_balancer_request *request, struct brf_mesh_peer *const *tried,
    size_t tried_count, struct brf_random *random, uint64_t now);

/**
 * brf_mesh_peer_ended() - record how a hop to @peer ended, and log when that
 * ejects or readmits the target; see brf_balancer_hop_ended().
 * @born: incarnation that the hop was sent to.  What an earlier one did says
 *	nothing of this one.
 * @load: load that the gate reported; NULL when it reported none
 * @now: clock time
 */
void brf_mesh_peer_ended(struct brf_mesh_peer *peer, uint64_t born,
    enum brf_balancer_feedback end, const struct brf_gate_load *load,
    uint64_t now);

/**
 * brf_mesh_peer_reported() - apply what the gate of @peer reported, as soon as
 * it has arrived; see brf_balancer_report().
 */
void brf_mesh_peer_reported(struct brf_mesh_peer *peer,
    const struct brf_target_report *report, uint64_t now);

/**
 * brf_mesh_service_has_unlimited() - whether a target without a rate limit,
 * other than @peer, could take the request as well; with the arguments of
 * brf_mesh_service_choose().
 */
bool brf_mesh_service_has_unlimited(struct brf_mesh_service *service,
    struct brf_balancer_request *request, struct brf_mesh_peer *const *tried,
    size_t tried_count, const struct brf_mesh_peer *peer, uint64_t now);

/* Return: number of targets that are ejected. */
size_t brf_mesh_services_count_ejected(const struct brf_mesh_services *s);

/* Return: number of targets that are in reach and don't leave. */
size_t brf_mesh_service_sound_targets(const struct brf_mesh_service *service);

/**
 * brf_mesh_service_permit_wait_us() - time until the rate limit of a target
 * admits another request of this node.
 *
 * Return: microseconds; 0 when a target that takes work has no limit, or none
 * takes any.
 */
uint64_t brf_mesh_service_permit_wait_us(
    const struct brf_mesh_service *service, uint64_t now);

/* Release one reference; the last one frees @peer. */
void brf_mesh_peer_unref(struct brf_mesh_peer *peer);

BRF_END_DECLS

#endif
