#ifndef BRF_MESH_CRASHES_H
#define BRF_MESH_CRASHES_H

#include "fleet/crash_writer.h"
#include "fleet/directory.h"
#include "mesh/crash_watch.h"
#include "policy/crash_log.h"

/**
 * DOC: What this node knows of crashed targets and of the requests that may
 * have caused them, from its own gate, its own hops and the store.
 *
 * Each crash is seen by one gate, but its request comes again at any node.  So
 * the gate writes a record to the store, and all nodes receive it with the
 * targets' entries.  From the third crash to the last node the time is the sum
 * of these parts:
 *
 *	55 ms	the crash is noticed, mesh/crash_watch.h
 *	100 ms	a lease and a write, with connections to the store
 *	1000 ms	longest pause between two polls once a crash is known,
 *		fleet/directory.c
 *	1450 ms	until the last node has it, whichever relays are lost,
 *		mesh/relay.h without its pause
 *
 * Before the first crash is known the pause may be 2000 ms.  A node that starts
 * reads the records before it is ready.
 */

/**
 * struct brf_mesh_crashes_config - arguments of brf_mesh_crashes_new(), which
 * outlive it.
 * @store: for writes
 * @node: name of this node
 */
struct brf_mesh_crashes_config {
	struct brf_store *store;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	const char *node;
};

/**
 * struct brf_mesh_crashes - made by brf_mesh_crashes_new().
 * @records: receives the records of other nodes; for the directory
 * @log: judges requests
 * @known: records as they were received, to be told to other nodes
 * @known_count: of them
 */
struct brf_mesh_crashes {
	struct brf_directory_records records;
	struct brf_mesh_crashes_config config;
	struct brf_crash_log *log;
	struct brf_crash_writer *writer;
	struct brf_list known;
	size_t known_count;
	struct brf_metric *isolated;
	struct brf_metric *refused;
	struct brf_metric *cleared;
};

BRF_BEGIN_DECLS

struct brf_mesh_crashes *brf_mesh_crashes_new(
    const struct brf_mesh_crashes_config *config);
void brf_mesh_crashes_free(struct brf_mesh_crashes *c);

/* The target beside this node has crashed. */
void brf_mesh_crashes_report(
    struct brf_mesh_crashes *c, const struct brf_crash *crash);

/* A hop of this node was lost, as its target crashed. */
void brf_mesh_crashes_hop_lost(struct brf_mesh_crashes *c, const char *caller,
    const struct brf_request_key *key, const char *target, uint64_t born);

/* A target has lived through a request. */
void brf_mesh_crashes_answered(struct brf_mesh_crashes *c, const char *caller,
    const struct brf_request_key *key);

/**
 * brf_mesh_crashes_lift() - clear a request for an operator.
 *
 * Return: false when it is not suspected.
 */
bool brf_mesh_crashes_lift(struct brf_mesh_crashes *c, const char *caller,
    const struct brf_request_key *key);

/* Append the suspects with two crashes or more as a JSON array. */
void brf_mesh_crashes_list(
    const struct brf_mesh_crashes *c, struct brf_buf *out);

BRF_END_DECLS

#endif
