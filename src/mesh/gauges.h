#ifndef BRF_MESH_GAUGES_H
#define BRF_MESH_GAUGES_H

#include "base/metrics.h"

/**
 * DOC: Metrics of a node's current state, updated whenever metrics are
 * requested.
 */

struct brf_mesh_node;

/**
 * struct brf_mesh_gauges - initialise with brf_mesh_gauges_init().
 * @ready: 1 when callers may send requests to this node, else 0
 * @revision: revision of the routing table in force; 0 before the first one
 * @table_age: seconds since that table came into force
 * @store_age: seconds since the store's last answer about routing tables [0]
 *	and about targets [1]; -1 before the first answer
 * @proof_age: seconds since all changes of routing tables [0] and targets [1]
 *	were known to be received; -1 while they are not watched
 * @targets: targets whose entries are in the store
 * @lapsed: targets whose entries have lapsed
 * @ejected: targets that are ejected
 * @paced: routes that admit less than all of their requests
 * @min_share: smallest share of its requests that any route admits
 * @running: requests that hold a slot of this VM's target
 * @waiting: requests that wait for a slot
 * @limit: number of slots
 * @lines: log lines written or held for writing
 * @left_out: log lines suppressed because their event came too often
 * @dropped: log lines lost because the reader of the log was too slow
 */
struct brf_mesh_gauges {
	struct brf_metric *ready;
	struct brf_metric *revision;
	struct brf_metric *table_age;
	struct brf_metric *store_age[2];
	struct brf_metric *proof_age[2];
	struct brf_metric *targets;
	struct brf_metric *lapsed;
	struct brf_metric *ejected;
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

/**
 * brf_mesh_gauges_init() - register the metrics in @m, which owns them and
 * must outlive @g.
 */
void brf_mesh_gauges_init(struct brf_mesh_gauges *g, struct brf_metrics *m);

/**
 * brf_mesh_gauges_update() - set all metrics to the current state of @node,
 * and the one of each service's retry budget.
 */
void brf_mesh_gauges_update(
    struct brf_mesh_gauges *g, struct brf_mesh_node *node);

BRF_END_DECLS

#endif
