#ifndef BRF_TABLE_H
#define BRF_TABLE_H

#include "base/error.h"
#include "flow/server.h"

/**
 * DOC: Routing table: which service a request goes to, and under which rules.
 *
 * A table is in force as a whole, one revision at a time.  A request holds a
 * reference to the table by which it was routed.
 */

/**
 * struct brf_workspace_weight - one part of a route's traffic.
 * @service: index of the service in the table
 * @weight: weight of the part; its share of the traffic is this weight
 *	divided by the sum of the route's weights
 */
struct brf_workspace_weight {
	uint32_t service;
	uint32_t weight;
};

/**
 * struct brf_route - rules for the requests of one host under one prefix.
 * @name: name given by the operator
 * @host: host name, lower case, without port
 * @prefix: prefix of the path; begins and ends with a slash
 * @timeout_us: longest time until a request is answered, microseconds
 * @objective_us: latency objective: time within which an answer counts as
 *	good, microseconds
 * @rank: priority; 0 is the most important
 * @attempts: most targets that one request may reach
 * @repeatable: a request may run more than once
 * @shares: the parts of the traffic, @share_count of them, at least one
 */
struct brf_route {
	const char *name;
	const char *host;
	const char *prefix;
	uint64_t timeout_us;
	uint64_t objective_us;
	uint32_t rank;
	uint32_t attempts;
	bool repeatable;
	struct brf_workspace_weight *shares;
	size_t share_count;
};

/**
 * struct brf_table_service - a service that routes lead to.
 * @connections: most connections that each of its targets accepts, from all
 *	callers together
 */
struct brf_table_service {
	const char *name;
	uint32_t connections;
};

struct brf_table;

BRF_BEGIN_DECLS

/**
 * brf_table_new() - create a table without services and routes.
 * @limits: copied
 *
 * Return: with one reference, to be released with brf_table_unref().
 */
struct brf_table *brf_table_new(
    uint64_t revision, const struct brf_flow_limits *limits);
struct brf_table *brf_table_ref(struct brf_table *t);

/* Release a reference; the last one frees @t.  NULL is allowed. */
void brf_table_unref(struct brf_table *t);

/* Append a copy of @service. */
void brf_table_add_service(
    struct brf_table *t, const struct brf_table_service *service);

/**
 * brf_table_add_route() - append a copy of @route.  The services of its shares
 * must have been added before.  Of two routes with the same host and prefix
 * the first one is matched.
 *
 * Return: true, or false with BRF_E_DOCUMENT when the prefix does not begin
 * and end with a slash, a share's service does not exist, or all weights are 0.
 */
bool brf_table_add_route(
    struct brf_table *t, const struct brf_route *route, struct brf_error *err);

uint64_t brf_table_revision(const struct brf_table *t);
const struct brf_flow_limits *brf_table_limits(const struct brf_table *t);
size_t brf_table_route_count(const struct brf_table *t);
const struct brf_route *brf_table_route(const struct brf_table *t, size_t i);

/* Return: index of the service @name; UINT32_MAX when there is none. */
uint32_t brf_table_find_service(const struct brf_table *t, const char *name);
const struct brf_table_service *brf_table_service(
    const struct brf_table *t, uint32_t i);

/**
 * brf_table_match() - find the route for a request: the one for its host with
 * the longest prefix of @path.
 * @host: host of the request in any case, with or without port
 * @path: path of the request, with or without query
 *
 * Return: the route, valid as long as @t; NULL when there is none.
 */
const struct brf_route *brf_table_match(
    const struct brf_table *t, const char *host, const char *path);

BRF_END_DECLS

#endif
