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
 * DOC: The parts of the daemon joined on one loop.
 */

/**
 * enum brf_phase - life of a node.
 * @BRF_PHASE_SERVING: takes work
 * @BRF_PHASE_DRAINING: refuses new work, finishes what it has
 * @BRF_PHASE_LINGERING: nothing is left; late work is still refused truly
 * @BRF_PHASE_CLOSED: the loop may end
 */
enum brf_phase {
	BRF_PHASE_SERVING,
	BRF_PHASE_DRAINING,
	BRF_PHASE_LINGERING,
	BRF_PHASE_CLOSED
};

/**
 * struct brf_node - what the parts of one daemon share.
 *
 * Members that begin with a lower layer are made first and freed last.
 */
struct brf_node {
	struct brf_settings settings;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
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
 * brf_node_start() - make all parts and listen.
 *
 * Return: NULL with @err when a part can't start.
 */
struct brf_node *brf_node_start(
    const struct brf_settings *settings, struct brf_error *err);

/**
 * brf_node_run() - serve until a signal asks to stop and all is finished.
 *
 * Return: BRF_EXIT_OK, or BRF_EXIT_UNFINISHED when the drain limit passed
 * with requests in flight.
 */
int brf_node_run(struct brf_node *node);
void brf_node_free(struct brf_node *node);

/* Begin a graceful stop; again does nothing. */
void brf_node_drain(struct brf_node *node);

/* Set the loop's timer to the next one of the timer service. */
void brf_node_arm_timer(struct brf_node *node);

/* Tell the members about the state of this node's target. */
void brf_node_publish_state(struct brf_node *node);

/* Handlers of the three listeners. */
void brf_entry_init(struct brf_node *node);
void brf_local_init(struct brf_node *node);
void brf_admin_init(struct brf_node *node);

BRF_END_DECLS

#endif
