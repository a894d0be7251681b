#include "base/log.h"
#include "mesh/gauges.h"
#include "mesh/node.h"

void
brf_mesh_gauges_init(struct brf_mesh_gauges *g, struct brf_metrics *m)
{
	static const char age[] = "brf_store_heard_age_seconds";
	static const char age_help[] = "Time since the store answered last; "
				       "-1 before the first answer.";
	static const char proof[] = "brf_store_proof_age_seconds";
	static const char proof_help[] =
	    "Time since all changes were known to be received; -1 while they "
	    "are not watched.";
	static const char targets[] = "brf_targets";
	static const char targets_help[] = "Targets known in the fleet.";
	static const char slots[] = "brf_gate_requests";
	static const char slots_help[] = "Requests at this VM's target.";
	static const char lines[] = "brf_log_lines_total";
	static const char lines_help[] = "Lines of the log, by their fate.";

	g->ready = brf_metrics_gauge(
	    m, "brf_ready", "1 when callers may send work here.", "");
	g->revision = brf_metrics_gauge(m, "brf_table_revision",
	    "Revision of the routing table in force; 0 before the first.", "");
	g->table_age = brf_metrics_gauge(m, "brf_table_age_seconds",
	    "Time since the routing table came in force.", "");
	g->store_age[0] =
	    brf_metrics_gauge(m, age, age_help, "about=\"table\"");
	g->store_age[1] =
	    brf_metrics_gauge(m, age, age_help, "about=\"targets\"");
	g->proof_age[0] =
	    brf_metrics_gauge(m, proof, proof_help, "about=\"table\"");
	g->proof_age[1] =
	    brf_metrics_gauge(m, proof, proof_help, "about=\"targets\"");
	g->targets =
	    brf_metrics_gauge(m, targets, targets_help, "state=\"listed\"");
	g->lapsed =
	    brf_metrics_gauge(m, targets, targets_help, "state=\"lapsed\"");
	g->ejected = brf_metrics_gauge(m, "brf_targets_ejected",
	    "Targets that get few requests after failures in a row.", "");
	g->paced = brf_metrics_gauge(m, "brf_paced_routes",
	    "Routes of which not all requests begin.", "");
	g->min_share = brf_metrics_gauge(m, "brf_pace_share_least",
	    "Least share of a route's requests that begin.", "");
	g->running = brf_metrics_gauge(m, slots, slots_help, "state=\"run\"");
	g->waiting = brf_metrics_gauge(m, slots, slots_help, "state=\"wait\"");
	g->limit = brf_metrics_gauge(
	    m, "brf_gate_limit", "Requests that may run there at once.", "");
	g->lines = brf_metrics_counter(m, lines, lines_help, "fate=\"kept\"");
	g->left_out =
	    brf_metrics_counter(m, lines, lines_help, "fate=\"left_out\"");
	g->dropped =
	    brf_metrics_counter(m, lines, lines_help, "fate=\"dropped\"");
}

static double
seconds(uint64_t us)
{
	return ((double)us / BRF_US_PER_S);
}

static double
age(const struct brf_store_mirror *f, uint64_t now)
{
	uint64_t answered_at = brf_store_mirror_last_answer_at(f);

	return (answered_at != 0 ? seconds(now - answered_at) : -1);
}

static double
proof_age(const struct brf_mesh_node *node, const char *prefix)
{
	uint64_t age_us = brf_mesh_relay_proof_age(node->relay, prefix);

	return (age_us != UINT64_MAX ? seconds(age_us) : -1);
}

static void
update_throttles(
    struct brf_mesh_gauges *g, const struct brf_mesh_tables *tables)
{
	const struct brf_mesh_route_state *r;
	struct brf_list *l;

	g->paced->value = 0;
	g->min_share->value = 1;
	brf_list_foreach (l, &tables->routes) {
		r = brf_list_entry(l, struct brf_mesh_route_state, link);
		if (r->throttle.admit_share < 1)
			g->paced->value++;
		if (r->throttle.admit_share < g->min_share->value)
			g->min_share->value = r->throttle.admit_share;
	}
}

static void
update_gate(struct brf_mesh_gauges *g, const struct brf_mesh_gate *gate)
{
	struct brf_gate_load load;

	brf_mesh_gate_get_load(gate, &load);
	g->running->value = load.running;
	g->waiting->value = load.waiting;
	g->limit->value = load.limit;
}

static void
update_log(struct brf_mesh_gauges *g)
{
	struct brf_log_counts counts;

	brf_log_counts(&counts);
	g->lines->value = (double)counts.lines;
	g->left_out->value = (double)counts.left_out;
	g->dropped->value = (double)counts.dropped;
}

/* Update the gauge of each known service. */
static void
update_retry_budgets(struct brf_mesh_node *node, uint64_t now)
{
	struct brf_mesh_service *service;
	struct brf_list *l;
	char labels[128];

	brf_list_foreach (l, &node->services.list) {
		service = brf_list_entry(l, struct brf_mesh_service, link);
		snprintf(
		    labels, sizeof(labels), "service=\"%s\"", service->name);
		brf_metrics_gauge(node->metrics, "brf_repeats_left",
		    "Repeats that this node may still send in the window.",
		    labels)
		    ->value =
		    brf_retry_window_left(&service->retry_budget, now);
	}
}

void
brf_mesh_gauges_update(struct brf_mesh_gauges *g, struct brf_mesh_node *node)
{
	const struct brf_mesh_tables *tables = &node->tables;
	uint64_t now = brf_now(brf_timers_clock(node->scheduler.timers));

	g->ready->value = brf_mesh_node_is_ready(node);
	g->revision->value = tables->current != NULL
				 ? (double)brf_table_revision(tables->current)
				 : 0;
	g->table_age->value =
	    tables->current != NULL ? seconds(now - tables->in_force_since) : 0;
	g->store_age[0]->value = age(node->table_follow, now);
	g->store_age[1]->value =
	    age(brf_directory_mirror(node->directory), now);
	g->proof_age[0]->value = proof_age(node, node->adapter->table_prefix);
	g->proof_age[1]->value = proof_age(node, BRF_ENTRY_PREFIX);
	brf_directory_count(
	    node->directory, &g->targets->value, &g->lapsed->value);
	g->ejected->value =
	    (double)brf_mesh_services_count_ejected(&node->services);
	update_throttles(g, tables);
	update_gate(g, node->gate);
	update_log(g);
	update_retry_budgets(node, now);
}
