#ifndef BRF_MESH_ADAPTER_H
#define BRF_MESH_ADAPTER_H

#include "base/message.h"
#include "base/metrics.h"
#include "fleet/local.h"
#include "mesh/tables.h"

/**
 * DOC: Interface between a node and its platform: header names, document
 * formats and the store.
 *
 * An adapter only translates; every decision is made in the node.
 */

/**
 * enum brf_mesh_request_kind - kind of an HTTP request to the ready or admin
 * listener.
 * @BRF_MESH_REQUEST_READY: readiness check of this node
 * @BRF_MESH_REQUEST_ANNOUNCE: announcement of this VM's target
 * @BRF_MESH_REQUEST_WITHDRAW: withdrawal of this VM's target
 * @BRF_MESH_REQUEST_MALFORMED: an announcement or withdrawal with an invalid
 *	path or body
 * @BRF_MESH_REQUEST_OTHER: any other request
 */
enum brf_mesh_request_kind {
	BRF_MESH_REQUEST_READY,
	BRF_MESH_REQUEST_ANNOUNCE,
	BRF_MESH_REQUEST_WITHDRAW,
	BRF_MESH_REQUEST_MALFORMED,
	BRF_MESH_REQUEST_OTHER
};

struct brf_http_loop;
struct brf_mesh_adapter;

/**
 * struct brf_mesh_adapter_vt - functions of an adapter.
 * @read_request: decode a request to the ready or admin listener and return
 *	its kind.  Fills all of @notice for BRF_MESH_REQUEST_ANNOUNCE, only its
 *	id for BRF_MESH_REQUEST_WITHDRAW, and @err for
 *	BRF_MESH_REQUEST_MALFORMED.
 * @read_table: decode a routing table, see brf_table_read_fn
 * @store_new: create a client of the store at @addr; the other arguments
 *	outlive it
 * @store_free: free a client made by @store_new; called after everything that
 *	uses the store has been freed
 */
struct brf_mesh_adapter_vt {
	enum brf_mesh_request_kind (*read_request)(const struct brf_message *m,
	    struct brf_target_announcement *notice, struct brf_error *err);
	brf_table_read_fn read_table;
	struct brf_store *(*store_new)(struct brf_http_loop *http,
	    struct brf_timers *timers, struct brf_metrics *metrics,
	    const struct sockaddr_in *addr);
	void (*store_free)(struct brf_store *store);
};

/**
 * struct brf_mesh_adapter - one platform.
 * @names: names of header fields in requests and answers
 * @table_prefix: key prefix that is watched in the store for the routing table
 * @table_key: key of the routing table in the store
 */
struct brf_mesh_adapter {
	const struct brf_mesh_adapter_vt *vt;
	const struct brf_field_names *names;
	const char *table_prefix;
	const char *table_key;
};

#endif
