#ifndef BRF_MESH_GAUGES_H
#define BRF_MESH_GAUGES_H

#include "base/metrics.h"

/**
 * DOC: What a node believes now, as gauges that are read out when they are
 * asked for.
 */

struct brf_mesh_node;

/**
 * struct brf_mesh_gauges - make them with brf_mesh_gauges_init().
 * @revision: of the routing table in force
 * @table_age: seconds since it came in force
 * @store_age: seconds since the store answered last, about tables and targets
 * @targets: known, and those of them whose entries have lapsed
 * @paced: routes of which not all requests begin, and the smallest share
 * @lines: of the log, and what became of the others
 */
struct brf_mesh_gauges {
	struct brf_metric *ready;
	struct brf_metric *revision;
	struct brf_metric *table_age;
	struct brf_metric *store_age[2];
	struct brf_metric *targets;
	struct brf_metric *lapsed;
	struct brf_metric *paced;
	struct brf_metric *min_share;
	struct brf_metric *running;
	struct brf_metric *waiting;
	struct brf_metric *limit;
	struct brf_metric *lines;
	struct brf_metric *left_out;
	struct brf_metric *dropped;
};

BRF_BEGIN_DECLS

void brf_mesh_gauges_init(struct brf_mesh_gauges *g, struct brf_metrics *m);

/* Set all to what @node believes now. */
void brf_mesh_gauges_update(
    struct brf_mesh_gauges *g, struct brf_mesh_node *node);

BRF_END_DECLS

#endif
