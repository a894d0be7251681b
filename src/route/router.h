#ifndef BRF_ROUTER_H
#define BRF_ROUTER_H

#include "base/exchange.h"
#include "base/metrics.h"
#include "member/members.h"

/**
 * DOC: Which gate an attempt goes to.
 *
 * Two random choices by requests in flight and latency (after Prequal, NSDI
 * 2024), own zone first, then own region, then the other region; the next
 * ring only under real shortage.  Admission levels seen on replies shed at
 * the source, and age out.
 */

/**
 * struct brf_route_request - what a choice is made for.
 * @service: callee
 * @cls: 0 is the most important
 * @rank: brf_rank() of the request
 * @bytes: size of the request, for the budget of the link between regions
 * @cross_region: the callee's document allows the other region
 * @only: the one node it may go to, whatever its load; zero for any
 * @tried: nodes already tried for this request; avoided while others exist
 * @tried_count: number of nodes in @tried
 */
struct brf_route_request {
	const char *service;
	uint32_t cls;
	uint32_t rank;
	size_t bytes;
	bool cross_region;
	struct brf_id pinned_node;
	const struct brf_id *tried;
	size_t tried_count;
};

struct brf_route_node;

/**
 * enum brf_route_result - what brf_router_pick() says.
 */
enum brf_route_result {
	BRF_ROUTE_CHOSEN,
	BRF_ROUTE_NO_TARGET,  /* no member serves it */
	BRF_ROUTE_SHED,	      /* all known levels refuse its rank */
	BRF_ROUTE_LINK_BUDGET /* only the other region, and no bytes left */
};

struct brf_router;

BRF_BEGIN_DECLS

/**
 * brf_router_new() - follows @members, which must outlive it.
 */
struct brf_router *brf_router_new(struct brf_members *members,
    struct brf_timers *timers, struct brf_random *random,
    struct brf_metrics *metrics);
void brf_router_free(struct brf_router *r);

/**
 * brf_router_set_link_rate() - budget of the link between regions.
 * @bytes_per_s: of the whole region; each of its members gets an equal share.
 *	30 Mbit/s when not set
 */
void brf_router_set_link_rate(struct brf_router *r, uint64_t bytes_per_s);

/* Count bytes that crossed the link for control. */
void brf_router_count_link_bytes(struct brf_router *r, size_t bytes);

/**
 * brf_router_explain() - append a JSON object with each node of @service:
 * where it is, its state, its load as seen from here, and in "no_work" why
 * nothing new is sent to it, or null.
 */
void brf_router_explain(
    const struct brf_router *r, const char *service, struct brf_buf *out);

/**
 * brf_router_pick() - choose a node.
 * @chosen: filled with BRF_ROUTE_CHOSEN; brf_router_done() must follow.
 *	It stays valid until then even when its member goes.
 */
enum brf_route_result brf_router_pick(struct brf_router *r,
    const struct brf_route_request *request, struct brf_route_node **chosen);

/**
 * brf_router_done() - an attempt at a chosen node has ended.
 * @took_us: time from pick to reply
 * @bytes: size of the answer
 */
void brf_router_done(struct brf_router *r, struct brf_route_node *node,
    const struct brf_reply *reply, uint64_t took_us, size_t bytes);

/* The member behind a choice. */
const struct brf_member *brf_route_node_member(
    const struct brf_route_node *node);

/* A pointer of the caller's own, such as the node's backend; NULL at first.
 * @release is called with it when the node is forgotten. */
void brf_route_node_set_data(
    struct brf_route_node *node, void *data, void (*release)(void *data));
void *brf_route_node_data(const struct brf_route_node *node);

/**
 * brf_router_expected_us() - usual duration of an answer of @service; 0 when
 * none was seen.
 */
uint64_t brf_router_expected_us(
    const struct brf_router *r, const char *service);

/**
 * brf_router_retry_after_ms() - when trying @service again makes sense.
 */
uint32_t brf_router_retry_after_ms(
    const struct brf_router *r, const char *service);

BRF_END_DECLS

#endif
