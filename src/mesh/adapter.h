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
 * enum brf_mesh_question - what a call to the node's own listeners is.
 * @BRF_MESH_READY: does this node take work?
 * @BRF_MESH_NOTICE: a target tells of itself
 * @BRF_MESH_LEAVE: a target says that it goes
 * @BRF_MESH_BAD: it tries to be one of these, and can't be read
 * @BRF_MESH_OTHER: none of them
 */
enum brf_mesh_question {
	BRF_MESH_READY,
	BRF_MESH_NOTICE,
	BRF_MESH_LEAVE,
	BRF_MESH_BAD,
	BRF_MESH_OTHER
};

struct brf_http_loop;
struct brf_mesh_adapter;

/**
 * struct brf_mesh_adapter_vt - the translations.
 * @read_question: decode a call; @notice is filled with BRF_MESH_NOTICE, of
 *	it only the id with BRF_MESH_LEAVE, @err with BRF_MESH_BAD
 * @read_table: see brf_table_read_fn
 * @store_new: the store at @addr
 * @store_free: it, when its calls are done
 */
struct brf_mesh_adapter_vt {
	enum brf_mesh_question (*read_question)(const struct brf_message *m,
	    struct brf_target_announcement *notice, struct brf_error *err);
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
