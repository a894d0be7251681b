#ifndef BRF_ROUTE_INTERNAL_H
#define BRF_ROUTE_INTERNAL_H

#include "base/list.h"
#include "policy/shed.h"
#include "route/link.h"
#include "route/router.h"

/**
 * enum brf_route_locality - location of a node relative to this one.
 */
enum brf_route_locality {
	BRF_ROUTE_LOCALITY_ZONE,	 /* own zone */
	BRF_ROUTE_LOCALITY_REGION,	 /* own region, another zone */
	BRF_ROUTE_LOCALITY_OTHER_REGION, /* another region */
	BRF_ROUTE_LOCALITY_COUNT
};

/**
 * struct brf_outlier - outlier detection of one node, from this node's own
 * attempts.
 * @failures: consecutive failed attempts, the last at clock time @failed_at
 * @ejections: consecutive ejections; the duration doubles with each, up to a
 *	maximum
 * @ejected_until: clock time at which the last ejection ends; 0 for none
 * @probation: after @ejected_until at most one attempt runs at a time, until
 *	one brings a useful answer
 */
struct brf_outlier {
	uint32_t failures;
	uint64_t failed_at;
	uint32_t ejections;
	uint64_t ejected_until;
	bool probation;
};

/**
 * struct brf_route_node - a node whose target serves a service.
 * @service: NULL once the node is no longer indexed
 * @next: next in its hash bucket
 * @link: in @nodes of the service
 * @ready_position: its index among the ready nodes of its locality, plus one;
 *	0 when not among them
 * @suspect_position: the same among the suspect nodes
 * @indexed: still a member; a node that is not is freed when @in_flight is 0
 * @is_self: this node itself
 * @in_flight: open attempts sent by this node
 * @latency_us: exponentially weighted moving average of the duration of
 *	useful answers, microseconds; 0 for none
 * @latency_at: clock time of the last of them
 * @shed: rank from which the gate sheds
 * @level: last admission level received, at clock time @level_at (0: none)
 * @level_in_flight: @in_flight at that time
 * @draining_until: clock time before which it gets no requests, as it replied
 *	that it drains; covers the time until gossip reports the same
 * @data: the caller's, see brf_route_node_set_data()
 */
struct brf_route_node {
	struct brf_member member;
	struct brf_route_service *service;
	struct brf_route_node *next;
	struct brf_list link;
	enum brf_route_locality locality;
	size_t ready_position;
	size_t suspect_position;
	bool indexed;
	bool is_self;
	uint32_t in_flight;
	double latency_us;
	uint64_t latency_at;
	struct brf_shed shed;
	struct brf_level level;
	uint64_t level_at;
	uint32_t level_in_flight;
	uint64_t draining_until;
	struct brf_outlier outlier;
	void *data;
	void (*release)(void *data);
};

/* Nodes of one locality, in no order. */
struct brf_route_list {
	struct brf_route_node **list;
	size_t count;
	size_t cap;
};

/**
 * struct brf_route_service - the nodes of one service.
 * @next: next in its hash bucket
 * @nodes: all of them, in any state
 * @ready: nodes in state BRF_MEMBER_READY, by locality
 * @suspect: nodes in state BRF_MEMBER_SUSPECT, by locality
 * @expected_us: exponentially weighted moving average of the duration of
 *	useful answers, microseconds; 0 for none
 * @retry_after_ms: last value from a gate that refused, at clock time
 *	@retry_after_at
 */
struct brf_route_service {
	char name[BRF_NAME_MAX + 1];
	struct brf_route_service *next;
	struct brf_list nodes;
	struct brf_route_list ready[BRF_ROUTE_LOCALITY_COUNT];
	struct brf_route_list suspect[BRF_ROUTE_LOCALITY_COUNT];
	double expected_us;
	uint32_t retry_after_ms;
	uint64_t retry_after_at;
};

/* Sizes of the hash tables. */
#define BRF_ROUTE_CHAINS 1024u
#define BRF_SERVICE_CHAINS 256u

struct brf_route_metrics {
	struct brf_metric *picks[BRF_ROUTE_LOCALITY_COUNT];
	struct brf_metric *shed;
	struct brf_metric *no_target;
	struct brf_metric *link_budget;
	struct brf_metric *ejections;
};

/**
 * struct brf_router - see router.h.
 * @link: this node's share of the budget of the link between regions
 * @link_bytes_per_s: budget of the whole region
 * @region_members: members of this region, this node included
 */
struct brf_router {
	struct brf_members *members;
	struct brf_clock *clock;
	struct brf_random *random;
	struct brf_members_watcher watcher;
	struct brf_route_node *nodes[BRF_ROUTE_CHAINS];
	struct brf_route_service *services[BRF_SERVICE_CHAINS];
	struct brf_link_budget link;
	uint64_t link_bytes_per_s;
	size_t region_members;
	struct brf_route_metrics metrics;
};

/* index.c */

/* NULL when no member serves @name. */
struct brf_route_service *brf_index_find_service(
    const struct brf_router *r, const char *name);

/* Add @member or apply its new state. */
void brf_index_update(struct brf_router *r, const struct brf_member *member);

/* Remove a node; one with attempts in flight is freed when they have ended. */
void brf_index_remove(struct brf_router *r, struct brf_id id);
void brf_index_clear(struct brf_router *r);

/* Free @node unless it is indexed or has attempts in flight. */
void brf_index_release(struct brf_route_node *node);

/* outlier.c */

/* Whether @node is ejected, or on probation with an attempt in flight. */
bool brf_outlier_is_excluded(const struct brf_route_node *node, uint64_t now);

/**
 * brf_outlier_update() - count a reply and eject @node if that is due.
 * @duration_us: of the attempt, microseconds
 */
void brf_outlier_update(struct brf_router *r, struct brf_route_node *node,
    const struct brf_reply *reply, uint64_t duration_us);

/* Whether @reply is an answer with a status below 500. */
bool brf_reply_is_useful(const struct brf_reply *reply);

/* level.c */

/* Store the admission level of @reply, if it has one. */
void brf_level_update(
    struct brf_route_node *node, const struct brf_reply *reply, uint64_t now);

/* Whether the last admission level, weakened by its age, admits @rank. */
bool brf_level_admits(
    const struct brf_route_node *node, uint32_t rank, uint64_t now);

/* Attempts at the node's gate: those of this node, and those of other senders
 * according to the last admission level. */
double brf_level_load(const struct brf_route_node *node, uint64_t now);

/* Attempts that the node can run at once. */
double brf_level_capacity(const struct brf_route_node *node, uint64_t now);

/* choose.c */

/**
 * struct brf_choice - state of one call of brf_router_pick().
 * @refused: the admission level of some node refused the rank
 */
struct brf_choice {
	struct brf_router *router;
	const struct brf_route_request *request;
	struct brf_route_service *service;
	uint64_t now;
	bool refused;
};

/**
 * enum brf_node_filter - which nodes are candidates.
 * @BRF_FILTER_SPARE_CAPACITY: as BRF_FILTER_UNTRIED, with free capacity
 * @BRF_FILTER_UNTRIED: ready, not ejected, not yet tried for the request
 * @BRF_FILTER_READY: ready, also when tried or ejected
 * @BRF_FILTER_SUSPECT: suspect
 */
enum brf_node_filter {
	BRF_FILTER_SPARE_CAPACITY,
	BRF_FILTER_UNTRIED,
	BRF_FILTER_READY,
	BRF_FILTER_SUSPECT
};

/* The better of two random candidates of a locality; NULL for none. */
struct brf_route_node *brf_choose(struct brf_choice *c,
    enum brf_route_locality locality, enum brf_node_filter filter);

#endif
