#ifndef BRF_ROUTER_H
#define BRF_ROUTER_H

#include "base/exchange.h"
#include "base/metrics.h"
#include "member/members.h"

/**
 * DOC: Chooses the node, and so the gate, for each attempt.
 *
 * Takes the better of two random candidates by requests in flight and latency
 * (after Prequal, NSDI 2024).  Localities are tried in order: own zone, own
 * region, other region.  A more distant one is used only when the nearer ones
 * have no free capacity or no usable node.  Admission levels received on
 * replies let the sender shed requests that the gate would refuse; they expire
 * with age.
 */

/**
 * struct brf_route_request - the request for which a node is chosen.
 * @service: callee
 * @cls: class; 0 is the most important
 * @rank: brf_rank() of the request
 * @bytes: size of the request; charged to the budget of the link between
 *	regions
 * @cross_region: the callee's document allows targets in the other region
 * @pinned_node: the only node that the request may be sent to, whatever its
 *	load; zero for any
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
 * enum brf_route_result - result of brf_router_pick().
 * @BRF_ROUTE_CHOSEN: a node was chosen
 * @BRF_ROUTE_NO_TARGET: no member can take a request for the service
 * @BRF_ROUTE_SHED: none was found, and the admission level of some node refuses
 *	the rank
 * @BRF_ROUTE_LINK_BUDGET: none was found in this region, and the budget of the
 *	link between regions has no bytes left for the class
 */
enum brf_route_result {
	BRF_ROUTE_CHOSEN,
	BRF_ROUTE_NO_TARGET,
	BRF_ROUTE_SHED,
	BRF_ROUTE_LINK_BUDGET
};

struct brf_router;

BRF_BEGIN_DECLS

/**
 * brf_router_new() - create a router over the nodes in @members.
 *
 * All arguments must outlive the router.
 */
struct brf_router *brf_router_new(struct brf_members *members,
    struct brf_timers *timers, struct brf_random *random,
    struct brf_metrics *metrics);
void brf_router_free(struct brf_router *r);

/**
 * brf_router_set_link_rate() - set the rate of the link between regions.
 * @bytes_per_s: budget of the whole region, split equally among its members;
 *	30 Mbit/s by default
 */
void brf_router_set_link_rate(struct brf_router *r, uint64_t bytes_per_s);

/* Charge @bytes that crossed the link, such as control traffic, to its budget.
 */
void brf_router_count_link_bytes(struct brf_router *r, size_t bytes);

/**
 * brf_router_explain() - append a JSON object that lists the nodes of a
 * service.
 *
 * Each node has its locality, its state, its load as known to this node, and
 * under "no_work" the reason why it gets no new requests, or null.
 */
void brf_router_explain(
    const struct brf_router *r, const char *service, struct brf_buf *out);

/**
 * brf_router_pick() - choose a node for an attempt.
 * @chosen: set with BRF_ROUTE_CHOSEN only.  The caller must pass it to
 *	brf_router_done() once; until then it stays valid, even when its member
 *	has gone.
 */
enum brf_route_result brf_router_pick(struct brf_router *r,
    const struct brf_route_request *request, struct brf_route_node **chosen);

/**
 * brf_router_done() - report the end of an attempt at a chosen node.
 * @duration_us: time from pick to reply, microseconds
 * @bytes: size of the answer
 */
void brf_router_done(struct brf_router *r, struct brf_route_node *node,
    const struct brf_reply *reply, uint64_t duration_us, size_t bytes);

/* Membership record of a chosen node; valid as long as @node. */
const struct brf_member *brf_route_node_member(
    const struct brf_route_node *node);

/**
 * brf_route_node_set_data() - attach caller data to a node, such as its
 * backend.
 * @data: NULL until set
 * @release: called with @data before the node is freed
 */
void brf_route_node_set_data(
    struct brf_route_node *node, void *data, void (*release)(void *data));
void *brf_route_node_data(const struct brf_route_node *node);

/**
 * brf_router_expected_us() - expected duration of an attempt at @service.
 *
 * Return: exponentially weighted moving average over useful answers,
 * microseconds; 0 before the first.
 */
uint64_t brf_router_expected_us(
    const struct brf_router *r, const char *service);

/**
 * brf_router_retry_after_ms() - time to wait before trying @service again.
 *
 * Return: milliseconds; a fixed delay when the service has no ready node,
 * otherwise the last value from a gate that refused while that is recent, and
 * a lower bound when there is none.
 */
uint32_t brf_router_retry_after_ms(
    const struct brf_router *r, const char *service);

BRF_END_DECLS

#endif
