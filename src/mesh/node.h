#ifndef BRF_MESH_NODE_H
#define BRF_MESH_NODE_H

#include <uv.h>

#include "flow/scheduler.h"
#include "http/server.h"
#include "mesh/adapter.h"
#include "mesh/call.h"
#include "mesh/gate.h"
#include "mesh/gauges.h"
#include "mesh/hints.h"
#include "mesh/settings.h"
#include "policy/stop.h"
#include "fleet/register.h"

/**
 * DOC: The parts of bulrushford-node joined on one loop.
 */

/**
 * enum brf_mesh_phase - life of a node.
 * @BRF_MESH_SERVING: takes work
 * @BRF_MESH_STOPPING: says that it is not ready, and finishes what it has
 * @BRF_MESH_CLOSED: the loop may end
 */
enum brf_mesh_phase {
	BRF_MESH_SERVING,
	BRF_MESH_STOPPING,
	BRF_MESH_CLOSED
};

/**
 * struct brf_mesh_node - what the parts of one daemon share.
 * @path: of the settings file
 * @changed_at: modification time of that file, nanoseconds
 * @stop: what is due, from @stopping_since on
 */
struct brf_mesh_node {
	struct brf_mesh_settings settings;
	const struct brf_mesh_adapter *adapter;
	const char *path;
	uint64_t changed_at;
	uv_loop_t loop;
	struct brf_scheduler scheduler;
	uv_signal_t signals[3];
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_mesh_gauges gauges;
	struct brf_mesh_tables tables;
	struct brf_http_loop *http;
	struct brf_store *store;
	struct brf_mesh_gate *gate;
	struct brf_links *links;
	struct brf_mesh_hints hints;
	struct brf_mesh_services services;
	struct brf_directory *directory;
	struct brf_register *registration;
	struct brf_follow *table_follow;
	struct brf_local local;
	struct brf_mesh_callers callers;
	struct brf_flow_server *entry;
	struct brf_http_server *ready;
	struct brf_http_server *admin;
	struct brf_http_handler ready_handler;
	struct brf_http_handler admin_handler;
	struct brf_timer watch_settings;
	struct brf_timer stop_poll;
	struct brf_timer log_load;
	struct brf_timer flush_log;
	enum brf_mesh_phase phase;
	uint64_t started;
	uint64_t stopping_since;
	struct brf_stop stop;
	bool unfinished;
	int closing;
};

BRF_BEGIN_DECLS

/**
 * brf_mesh_node_start() - make all parts and listen.
 * @path: of the settings file; it and @adapter outlive the node
 *
 * Return: NULL with @err when a part can't start.
 */
struct brf_mesh_node *brf_mesh_node_start(
    const struct brf_mesh_adapter *adapter, const char *path,
    struct brf_error *err);

/**
 * brf_mesh_node_run() - serve until a signal asks to stop and all is finished.
 *
 * Return: BRF_EXIT_OK, or BRF_EXIT_UNFINISHED when requests were cut.
 */
int brf_mesh_node_run(struct brf_mesh_node *node);
void brf_mesh_node_free(struct brf_mesh_node *node);

/* Whether callers on this VM should send work here. */
bool brf_mesh_node_is_ready(const struct brf_mesh_node *node);

/* A target tells of itself, or says that it goes. */
void brf_mesh_node_notice(
    struct brf_mesh_node *node, const struct brf_notice *notice);
void brf_mesh_node_leave(struct brf_mesh_node *node, const char *id);

/* Handlers of the listeners that are not for callers; admin.c. */
void brf_mesh_admin_init(struct brf_mesh_node *node);

BRF_END_DECLS

#endif
