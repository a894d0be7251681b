#ifndef BRF_MESH_ADAPTER_H
#define BRF_MESH_ADAPTER_H

#include "base/message.h"
#include "base/metrics.h"
#include "fleet/local.h"
#include "mesh/tables.h"

/**
 * DOC: What a platform brings: its names, its formats, and its store.
 *
 * An adapter translates and decides nothing.
 */

/**
 * enum brf_mesh_request_kind - what a call to the node's own listeners is.
 * @BRF_MESH_REQUEST_READY: does this node take work?
 * @BRF_MESH_REQUEST_ANNOUNCE: a target tells of itself
 * @BRF_MESH_REQUEST_WITHDRAW: a target says that it goes
 * @BRF_MESH_REQUEST_MALFORMED: it tries to be one of these, and can't be read
 * @BRF_MESH_REQUEST_OTHER: none of them
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
 * struct brf_mesh_adapter_vt - the translations.
 * @read_request: decode a call; @notice is filled with
 *BRF_MESH_REQUEST_ANNOUNCE, of it only the id with BRF_MESH_REQUEST_WITHDRAW,
 *@err with BRF_MESH_REQUEST_MALFORMED
 * @read_table: see brf_table_read_fn
 * @store_new: the store at @addr
 * @store_free: it, when its calls are done
 */
struct brf_mesh_adapter_vt {
	enum brf_mesh_request_kind (*read_request)(const struct brf_message *m,
	    struct brf_notice *notice, struct brf_error *err);
	brf_table_read_fn read_table;
	struct brf_store *(*store_new)(struct brf_http_loop *http,
	    struct brf_timers *timers, struct brf_metrics *metrics,
	    const struct sockaddr_in *addr);
	void (*store_free)(struct brf_store *store);
};

/**
 * struct brf_mesh_adapter - one platform.
 * @names: fields of requests and answers
 * @table_prefix: of the store's keys under which the table lies
 * @table_key: its key
 */
struct brf_mesh_adapter {
	const struct brf_mesh_adapter_vt *vt;
	const struct brf_field_names *names;
	const char *table_prefix;
	const char *table_key;
};

#endif
