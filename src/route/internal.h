#ifndef BRF_ROUTE_INTERNAL_H
#define BRF_ROUTE_INTERNAL_H

#include "base/list.h"
#include "policy/shed.h"
#include "route/link_budget.h"
#include "route/router.h"

/**
 * enum brf_route_locality - how far a node is.
 */
enum brf_route_locality {
	BRF_ROUTE_LOCALITY_ZONE,	 /* own zone */
	BRF_ROUTE_LOCALITY_REGION,	 /* own region, another zone */
	BRF_ROUTE_LOCALITY_OTHER_REGION, /* another region */
	BRF_ROUTE_LOCALITY_COUNT
};

/**
 * struct brf_outlier - what this node has itself seen of another.
 * @failures: consecutive ones, the last at clock time @failed_at
 * @ejections: consecutive ones; each is longer than the last
 * @until: clock time at which it may be tried again; 0 when not ejected
 * @probation: after that time one attempt at once, until one is useful
 */
struct brf_outlier {
	uint32_t failures;
	uint64_t failed_at;
	uint32_t ejections;
	uint64_t ejected_until;
	bool probation;
};

/**
 * struct brf_route_node - one node that serves something.
 * @ring: where it stands from here
 * @ready_place: one more than its index among its ring's ready nodes, or 0
 * @suspect_place: the same among suspect ones
 * @indexed: still known; it is freed once it is not and @in_flight is 0
 * @in_flight: attempts from here
 * @latency_us: moving average of useful answers; 0 for none
 * @latency_at: clock time of the last of them
 * @shed: from which rank it sheds
 * @level: last admission level, of clock time @level_at (0: none)
 * @level_in_flight: @in_flight at that time
 * @refusing_until: it said that it drains; news of that may be under way
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

struct brf_route_list {
	struct brf_route_node **list;
	size_t count;
	size_t cap;
};

/**
 * struct brf_route_service - the nodes of one service.
 * @expected_us: moving average of useful answers; 0 for none
 * @retry_after_ms: last word of a gate that refused, at @retry_after_at
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

#define BRF_ROUTE_CHAINS 1024u
#define BRF_SERVICE_CHAINS 256u

struct brf_route_metrics {
	struct brf_metric *picks[BRF_ROUTE_LOCALITY_COUNT];
	struct brf_metric *shed;
	struct brf_metric *no_target;
	struct brf_metric *link_budget;
	struct brf_metric *ejections;
};

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
struct brf_route_service *brf_index_find_service(
    const struct brf_router *r, const char *name);

/* Follow a change of the membership. */
void brf_index_update(struct brf_router *r, const struct brf_member *member);
void brf_index_remove(struct brf_router *r, struct brf_id id);
void brf_index_clear(struct brf_router *r);

/* Free @node when it is not indexed and nothing is in flight. */
void brf_index_release(struct brf_route_node *node);

/* outlier.c */
bool brf_outlier_is_excluded(const struct brf_route_node *node, uint64_t now);
void brf_outlier_update(struct brf_router *r, struct brf_route_node *node,
    const struct brf_reply *reply, uint64_t took_us);
bool brf_reply_is_useful(const struct brf_reply *reply);

/* level.c */
void brf_level_update(
    struct brf_route_node *node, const struct brf_reply *reply, uint64_t now);

/* Whether its last level, as far as it still counts, admits @rank. */
bool brf_level_admits(
    const struct brf_route_node *node, uint32_t rank, uint64_t now);

/* Attempts at the node, those of others as of its last level. */
double brf_level_load(const struct brf_route_node *node, uint64_t now);

/* Attempts that it runs at once. */
double brf_level_capacity(const struct brf_route_node *node, uint64_t now);

/* choose.c */

/**
 * struct brf_choice - a choice under way.
 * @refused: a level refused the rank at some node
 */
struct brf_choice {
	struct brf_router *router;
	const struct brf_route_request *request;
	struct brf_route_service *service;
	uint64_t now;
	bool refused;
};

enum brf_node_filter {
	BRF_FILTER_SPARE_CAPACITY, /* ready, untried, with room left */
	BRF_FILTER_UNTRIED,	   /* ready and untried */
	BRF_FILTER_READY,	   /* ready, tried or ejected */
	BRF_FILTER_SUSPECT	   /* suspect */
};

/* The better of two random nodes of a ring that fit; NULL for none. */
struct brf_route_node *brf_choose(struct brf_choice *c,
    enum brf_route_locality ring, enum brf_node_filter kind);

#endif
