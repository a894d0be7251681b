#ifndef BRF_TABLE_H
#define BRF_TABLE_H

#include "base/error.h"
#include "flow/server.h"

/**
 * DOC: Routing table: which service a request goes to, and by which rules.
 *
 * One revision of the whole is in force at a time.  A request holds a
 * reference to the one that it was judged by.
 */

/**
 * struct brf_workspace_weight - one part of a route's traffic.
 * @service: index among the table's services
 * @weight: share among the weights of the route
 */
struct brf_workspace_weight {
	uint32_t service;
	uint32_t weight;
};

/**
 * struct brf_route - rules for the requests of one host under one prefix.
 * @name: the operator's
 * @host: lower case, without port
 * @prefix: begins and ends with a slash
 * @timeout_us: longest time that a request is kept waiting, microseconds
 * @objective_us: within which an answer is of full use, microseconds
 * @rank: 0 is the most important
 * @attempts: targets that one request may be sent to
 * @repeatable: a request may run more than once
 * @shares: @share_count parts, at least one
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
 * @connections: that each of its targets accepts from all callers
 */
struct brf_table_service {
	const char *name;
	uint32_t connections;
};

struct brf_table;

BRF_BEGIN_DECLS

/**
 * brf_table_new() - an empty table with one reference.
 */
struct brf_table *brf_table_new(
    uint64_t revision, const struct brf_flow_limits *limits);
struct brf_table *brf_table_ref(struct brf_table *t);

/* NULL is allowed. */
void brf_table_unref(struct brf_table *t);

/* Copies what @service points to. */
void brf_table_add_service(
    struct brf_table *t, const struct brf_table_service *service);

/**
 * brf_table_add_route() - copies what @route points to; the services of its
 * shares were added before.
 *
 * Return: false with BRF_E_DOCUMENT for a prefix or share that can't be.
 */
bool brf_table_add_route(
    struct brf_table *t, const struct brf_route *route, struct brf_error *err);

uint64_t brf_table_revision(const struct brf_table *t);
const struct brf_flow_limits *brf_table_limits(const struct brf_table *t);
size_t brf_table_routes(const struct brf_table *t);
const struct brf_route *brf_table_route(const struct brf_table *t, size_t i);

/* UINT32_MAX when there is none of this name. */
uint32_t brf_table_find_service(const struct brf_table *t, const char *name);
const struct brf_table_service *brf_table_service(
    const struct brf_table *t, uint32_t i);

/**
 * brf_table_match() - the route with the longest prefix that begins @path.
 * @host: as a request has it, with or without port
 * @path: with or without query
 *
 * Return: NULL when there is none; valid while @t is.
 */
const struct brf_route *brf_table_match(
    const struct brf_table *t, const char *host, const char *path);

BRF_END_DECLS

#endif
