#ifndef BRF_MESH_TABLES_H
#define BRF_MESH_TABLES_H

#include "base/metrics.h"
#include "link/link.h"
#include "policy/longest.h"
#include "policy/nesting.h"
#include "policy/throttle.h"
#include "policy/split.h"
#include "table/table.h"

/**
 * DOC: The routing table in force, and the state of each route, which is kept
 * from one table to the next.
 *
 * Tables come from the store and from peers.  A table comes into force, all of
 * it at once, only if its revision is higher than that of the one in force.
 */

/**
 * struct brf_mesh_route_state - state of the route @name.
 * @link: in the list of struct brf_mesh_tables, as long as its route is in the
 *	table in force
 * @refs: one reference of that list and one of each open request and hop
 * @split: division of its requests among services
 * @throttle: share of its requests that is admitted where they begin
 * @nesting: whether its requests are nested calls
 * @longest: longest time from sending a request that began here to its answer
 */
struct brf_mesh_route_state {
	struct brf_list link;
	unsigned refs;
	char *name;
	struct brf_split split;
	struct brf_throttle throttle;
	struct brf_nesting nesting;
	struct brf_longest longest;
};

/**
 * struct brf_table_source - where a table came from, for the log.
 * @kind: "store", "relay" or "peer"
 * @relay: name of the relay; empty for none
 * @epoch: of the store, as this node knows it; 0 if unknown
 * @silent_us: time that the source had been silent before
 */
struct brf_table_source {
	const char *kind;
	const char *relay;
	uint64_t epoch;
	uint64_t silent_us;
};

/**
 * brf_table_read_fn - decode the operator's text of a routing table.
 *
 * Return: the table with one reference; NULL with @err when it is invalid.
 */
typedef struct brf_table *(*brf_table_read_fn)(
    const char *text, size_t len, struct brf_error *err);

/**
 * struct brf_mesh_tables - initialise with brf_mesh_tables_init().
 * @news: interface by which links send the table to peers and receive theirs
 * @read: decodes the operator's text of a table
 * @changed: called with @arg when another table has come into force
 * @current: the table in force; NULL before the first one
 * @text: the operator's text of @current, for peers
 * @limits: limits of @current; defaults before the first table
 * @in_force_since: clock time when @current came into force
 * @routes: list of struct brf_mesh_route_state
 */
struct brf_mesh_tables {
	struct brf_link_table_handler news;
	struct brf_clock *clock;
	brf_table_read_fn read;
	void (*changed)(void *arg);
	void *arg;
	struct brf_table *current;
	struct brf_buf text;
	struct brf_flow_limits limits;
	uint64_t in_force_since;
	struct brf_list routes;
};

BRF_BEGIN_DECLS

void brf_mesh_tables_init(struct brf_mesh_tables *t, struct brf_clock *clock,
    brf_table_read_fn read, void (*changed)(void *arg), void *arg);
void brf_mesh_tables_finish(struct brf_mesh_tables *t);

/**
 * brf_mesh_tables_offer() - put a received table in force if it is valid and
 * newer than the current one; an invalid one is logged.
 * @text: the operator's text, copied
 *
 * Return: whether the table is in force now.
 */
bool brf_mesh_tables_offer(struct brf_mesh_tables *t, const char *text,
    size_t len, const struct brf_table_source *source);

/* Log each route that admits less than all of its requests. */
void brf_mesh_tables_log(const struct brf_mesh_tables *t);

/**
 * brf_mesh_tables_route_state() - find the state of @route, or create it.
 *
 * Return: with a reference, to be released with brf_mesh_route_state_unref().
 * It stays valid when a table without a route of this name comes into force.
 */
struct brf_mesh_route_state *brf_mesh_tables_route_state(
    struct brf_mesh_tables *t, const struct brf_route *route);

/* Release a reference; the last one frees @r.  NULL is allowed. */
void brf_mesh_route_state_unref(struct brf_mesh_route_state *r);

BRF_END_DECLS

#endif
