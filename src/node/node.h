#ifndef BRF_NODE_H
#define BRF_NODE_H

#include <uv.h>

#include "http/server.h"
#include "member/members.h"
#include "config/sync.h"
#include "node/call.h"
#include "node/settings.h"
#include "node/anti_entropy.h"

/**
 * DOC: Creates the parts of the daemon, connects them, and runs them on one
 * libuv loop.
 */

/**
 * enum brf_phase - phases of a node up to its graceful stop.
 * @BRF_PHASE_SERVING: accepts work
 * @BRF_PHASE_DRAINING: refuses new work, finishes open requests
 * @BRF_PHASE_LINGERING: no request is open; work from nodes that don't yet
 *	know of the stop is refused as not run, instead of meeting a closed
 *	port
 * @BRF_PHASE_CLOSED: all handles are being closed, then the loop ends
 */
enum brf_phase {
	BRF_PHASE_SERVING,
	BRF_PHASE_DRAINING,
	BRF_PHASE_LINGERING,
	BRF_PHASE_CLOSED
};

/**
 * struct brf_node - the parts of one daemon and its state.
 * @tick: fires at the next deadline of @timers
 * @announcement: of the target; valid while @announced
 * @target: runs requests on the target; owned by @gate
 * @heartbeat: fires when the target has missed its heartbeats
 * @drain_poll: polls for the end of a phase of the stop
 * @started: clock time
 * @phase_since: clock time at which the current phase of the stop began
 * @announced: a target is attached
 * @target_draining: the target asked for no new work
 * @unfinished: the drain limit passed with requests open
 * @parts_closing: parts whose handles are not yet closed
 *
 * Parts of the lower layers are created first and freed last.
 */
struct brf_node {
	struct brf_settings settings;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_docs *docs;
	struct brf_token_key *token_key;
	struct brf_gate *gate;
	struct brf_http_loop *http;
	struct brf_peers *peers;
	struct brf_udp *udp;
	struct brf_members *members;
	struct brf_router *router;
	struct brf_call_context call_context;
	struct brf_keyring *workspace_keys;
	struct brf_keyring *operator_keys;
	struct brf_anti_entropy *anti_entropy;
	struct brf_store *store;
	struct brf_sync *sync;
	struct brf_docs_watcher docs_watcher;
	struct brf_members_watcher members_watcher;
	struct brf_http_server *entry;
	struct brf_http_server *local;
	struct brf_http_server *admin;
	struct brf_http_handler entry_handler;
	struct brf_http_handler local_handler;
	struct brf_http_handler admin_handler;
	struct brf_announcement announcement;
	struct brf_target *target;
	struct brf_timer heartbeat;
	uint64_t heartbeat_us;
	struct brf_timer drain_poll;
	enum brf_phase phase;
	uint64_t started;
	uint64_t phase_since;
	bool announced;
	bool target_draining;
	bool unfinished;
	int parts_closing;
};

BRF_BEGIN_DECLS

/**
 * brf_node_start() - create all parts and start to listen.
 * @settings: copied
 *
 * Return: NULL with @err if a part can't start; the process must then exit,
 * since parts already created are not freed.
 */
struct brf_node *brf_node_start(
    const struct brf_settings *settings, struct brf_error *err);

/**
 * brf_node_run() - serve until a graceful stop, begun by SIGTERM, SIGINT or
 * brf_node_drain(), is complete.
 *
 * Return: BRF_EXIT_OK, or BRF_EXIT_UNFINISHED if the drain limit passed with
 * requests in flight.
 */
int brf_node_run(struct brf_node *node);
void brf_node_free(struct brf_node *node);

/* Begins a graceful stop; does nothing if one has begun. */
void brf_node_drain(struct brf_node *node);

/* Sets the loop's timer to the next deadline of the timer service. */
void brf_node_arm_timer(struct brf_node *node);

/* Gossips the state of this node and its target to the other members. */
void brf_node_publish_state(struct brf_node *node);

/* Initialize the handlers of the three HTTP listeners. */
void brf_entry_init(struct brf_node *node);
void brf_local_init(struct brf_node *node);
void brf_admin_init(struct brf_node *node);

BRF_END_DECLS

#endif
