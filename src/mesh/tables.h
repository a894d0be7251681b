#ifndef BRF_MESH_TABLES_H
#define BRF_MESH_TABLES_H

#include "base/metrics.h"
#include "link/link.h"
#include "policy/kinship.h"
#include "policy/pace.h"
#include "policy/split.h"
#include "table/table.h"

/**
 * DOC: The routing table in force, and what is kept of each route from one
 * table to the next.
 *
 * Tables come from the store and from peers.  Only a higher revision takes the
 * place of the one in force, in one step.
 */

/**
 * struct brf_mesh_route - what a node remembers of a route, by its name.
 */
struct brf_mesh_route {
	struct brf_list link;
	char *name;
	struct brf_split split;
	struct brf_pace pace;
	struct brf_kinship kinship;
};

/**
 * brf_table_read_fn - make a table of the operator's text.
 *
 * Return: NULL with @err.
 */
typedef struct brf_table *(*brf_table_read_fn)(
    const char *text, size_t len, struct brf_error *err);

/**
 * struct brf_mesh_tables - start with brf_mesh_tables_init().
 * @news: tells links of the table, and gets those of peers
 * @read: decodes the operator's text
 * @changed: another table is in force
 * @current: NULL before the first one
 * @text: of it, for peers
 * @limits: of it; presets before
 * @since: clock time when it came in force
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
	uint64_t since;
	struct brf_list routes;
};

BRF_BEGIN_DECLS

void brf_mesh_tables_init(struct brf_mesh_tables *t, struct brf_clock *clock,
    brf_table_read_fn read, void (*changed)(void *arg), void *arg);
void brf_mesh_tables_finish(struct brf_mesh_tables *t);

/**
 * brf_mesh_tables_offer() - a table has come.
 * @source: for the log: "store" or "peer"
 *
 * Return: whether it is in force now.
 */
bool brf_mesh_tables_offer(struct brf_mesh_tables *t, const char *text,
    size_t len, const char *source);

/* Log the routes of which not all requests begin. */
void brf_mesh_tables_log(const struct brf_mesh_tables *t);

/* What is kept of @route; found or made. */
struct brf_mesh_route *brf_mesh_tables_route(
    struct brf_mesh_tables *t, const struct brf_route *route);

BRF_END_DECLS

#endif
