#ifndef BRF_MESH_NODE_H
#define BRF_MESH_NODE_H

#include <uv.h>

#include "flow/scheduler.h"
#include "http/server.h"
#include "mesh/acks.h"
#include "mesh/adapter.h"
#include "mesh/call.h"
#include "mesh/gate.h"
#include "mesh/gauges.h"
#include "mesh/departures.h"
#include "mesh/hints.h"
#include "mesh/relay.h"
#include "mesh/settings.h"
#include "policy/stop.h"
#include "fleet/register.h"
#include "fleet/sweeper.h"

/**
 * DOC: The components of bulrushford-node, all on one loop.
 */

/**
 * enum brf_mesh_phase - phases of a node.
 * @BRF_MESH_SERVING: accepts requests
 * @BRF_MESH_STOPPING: reports itself not ready and finishes open requests
 * @BRF_MESH_CLOSED: all components are closed or closing; the loop stops when
 *	the last of them has closed
 */
enum brf_mesh_phase {
	BRF_MESH_SERVING,
	BRF_MESH_STOPPING,
	BRF_MESH_CLOSED
};

/**
 * struct brf_mesh_node - state of one node; made by brf_mesh_node_start().
 * @path: path of the settings file
 * @settings_mtime: modification time of that file when it was last loaded,
 *	nanoseconds; 0 when it could not be read
 * @signals: handles for SIGTERM, SIGINT and SIGHUP
 * @crashes: crashed targets, and the requests that may have caused them
 * @gate: admission to this VM's target
 * @relay: watches of @store, possibly by way of another node
 * @directory: targets of the whole fleet
 * @sweeper: deletes the entries of departed ones
 * @registration: the entry of this VM's target in the store
 * @table_follow: watch of the routing table in the store
 * @local: last announcement of this VM's target
 * @unconfirmed: the first announcement to this process was not compared yet
 *	with what an earlier one has recorded; the gate refuses until then
 * @confirm: bounds how long that may take
 * @acks: announcements of a leaving target, until they are recorded
 * @entry: HTTP server for callers on this VM
 * @ready: HTTP server for readiness checks
 * @admin: HTTP server for the target's announcements and for metrics
 * @watch_settings: polls the settings file for changes
 * @stop_poll: advances @stop while the node is stopping
 * @log_load: writes load to the log and asks peers for targets
 * @flush_log: bounds how long log lines are held
 * @started: clock time when the node started
 * @stopping_since: clock time when it began to stop
 * @stop: steps of the graceful stop, timed from @stopping_since
 * @unfinished: requests were still open when the node closed
 * @pending_closes: components whose close callback has not been called yet
 */
struct brf_mesh_node {
	struct brf_mesh_settings settings;
	const struct brf_mesh_adapter *adapter;
	const char *path;
	uint64_t settings_mtime;
	uv_loop_t loop;
	struct brf_scheduler scheduler;
	uv_signal_t signals[3];
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_mesh_gauges gauges;
	struct brf_mesh_tables tables;
	struct brf_http_loop *http;
	struct brf_store *store;
	struct brf_mesh_relay *relay;
	struct brf_mesh_crashes *crashes;
	struct brf_mesh_gate *gate;
	struct brf_links *links;
	struct brf_mesh_hints hints;
	struct brf_mesh_departures *departures;
	struct brf_mesh_services services;
	struct brf_directory *directory;
	struct brf_sweeper *sweeper;
	struct brf_registration *registration;
	struct brf_store_mirror *table_follow;
	struct brf_local_target local;
	bool unconfirmed;
	struct brf_timer confirm;
	struct brf_mesh_acks acks;
	struct brf_mesh_calls callers;
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
	int pending_closes;
};

BRF_BEGIN_DECLS

/**
 * brf_mesh_node_start() - load the settings, create all components and listen.
 * @adapter: the platform; outlives the node
 * @path: path of the settings file; outlives the node
 *
 * After a failure to listen not everything is freed, so that the process has
 * to exit.
 *
 * Return: the node, to be freed with brf_mesh_node_free(); NULL with @err
 * when the settings are invalid or a listener can't be opened.
 */
struct brf_mesh_node *brf_mesh_node_start(
    const struct brf_mesh_adapter *adapter, const char *path,
    struct brf_error *err);

/**
 * brf_mesh_node_run() - run the loop until SIGTERM or SIGINT arrives and the
 * node has stopped.
 *
 * Return: BRF_EXIT_OK, or BRF_EXIT_UNFINISHED when open requests were cut off.
 */
int brf_mesh_node_run(struct brf_mesh_node *node);

/* Only after brf_mesh_node_run(). */
void brf_mesh_node_free(struct brf_mesh_node *node);

/**
 * brf_mesh_node_is_ready() - whether callers on this VM should send requests
 * to this node: it is not stopping, has a routing table, and has read all
 * targets from the store at least once.
 */
bool brf_mesh_node_is_ready(const struct brf_mesh_node *node);

/**
 * brf_mesh_node_announce() - handle an announcement of this VM's target.
 * @notice: copied; ignored when it is older than the last one
 *
 * The first one to this process takes effect once the target's entry is in the
 * store, so that it undoes nothing that an earlier process has recorded; after
 * a short time without the store, it takes effect all the same.
 */
void brf_mesh_node_announce(
    struct brf_mesh_node *node, const struct brf_target_announcement *notice);

/**
 * brf_mesh_node_withdraw() - handle the withdrawal of this VM's target: refuse
 * new work for it until a new incarnation is announced.
 * @id: of the target.  One that is not the current target is only remembered,
 *	so that announcements of it that arrive late are ignored.
 */
void brf_mesh_node_withdraw(struct brf_mesh_node *node, const char *id);

/* Set up the handlers of the ready and admin listeners; see admin.c. */
void brf_mesh_admin_init(struct brf_mesh_node *node);

BRF_END_DECLS

#endif
