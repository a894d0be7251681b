#ifndef BRF_STORE_H
#define BRF_STORE_H

#include "base/error.h"
#include "base/list.h"

/**
 * DOC: Interface of the platform's key-value store.
 *
 * The interface is a vtable, so that tests can supply a fake store.  Callers
 * embed a brf_store_call or brf_store_watch in their own struct.  The store
 * never retries a call: only the caller knows whether a second execution is
 * safe, see config/edit.h.
 *
 * A store may come back from an older copy of its data: what was written since
 * is lost, all leases are gone, and revisions and lease ids are given out
 * again.  Each such restore begins a new epoch.  Revisions and leases may only
 * be compared or used within the epoch in which they were received; the rule
 * for each part of the process is:
 *
 * - the client of the store ends all watches with BRF_E_STORE_RESTORED, ignores
 *   what is still received from an earlier epoch, and refuses calls that carry
 *   a revision or lease of one;
 * - a mirror of keys (fleet/follow.h) forgets all revisions, keeps the keys,
 *   and reads everything again;
 * - a registration (fleet/register.h) drops its lease and its revisions, and
 *   writes its entries again under a new lease;
 * - the directory (fleet/directory.h) trusts only entries written in the
 *   current epoch: an entry of an earlier one adds no target that is known to
 *   have left, and does not replace a newer entry;
 * - routing tables are ordered by the operator's revision inside their text,
 *   so the table in force stays until a newer one arrives.
 */

/**
 * enum brf_store_outcome - what is known about the effect of a call.
 * @BRF_STORE_DONE: the write took effect, or the read returned its result
 * @BRF_STORE_CONFLICT: the key was not at the expected revision
 * @BRF_STORE_REFUSED: the call had no effect: it was never sent, or the store
 *	rejected it
 * @BRF_STORE_UNKNOWN: the call may have taken effect, or may do so later
 */
enum brf_store_outcome {
	BRF_STORE_DONE,
	BRF_STORE_CONFLICT,
	BRF_STORE_REFUSED,
	BRF_STORE_UNKNOWN
};

enum brf_store_op {
	BRF_STORE_GET,
	BRF_STORE_PUT,
	BRF_STORE_DELETE, /* always with @compare */
	BRF_STORE_LEASE_GRANT,
	BRF_STORE_LEASE_KEEPALIVE,
	BRF_STORE_LEASE_REVOKE /* deletes the keys attached to the lease */
};

/**
 * struct brf_store_kv - a key with its value and metadata.
 * @value: @len bytes; empty when the key is deleted or the request asked for
 *	keys only
 * @revision: store revision of the last change of the key
 * @lease: id of the lease attached to the key; 0 for none
 * @deleted: set in a watch event that reports the deletion of the key
 */
struct brf_store_kv {
	char *key;
	char *value;
	size_t len;
	uint64_t revision;
	uint64_t lease;
	bool deleted;
};

/**
 * struct brf_store_request - operation and arguments of a call.
 * @key: key to get, put or delete
 * @prefix: get all keys that begin with @key
 * @latest_only: with @prefix, get only the key changed last, without its value
 * @at_revision: get the key as of this store revision; 0 for the current one
 * @value: value to put, @len bytes
 * @compare: put or delete only if the key is at @expect; otherwise the
 *	outcome is BRF_STORE_CONFLICT and the response holds the current key
 * @expect: required current revision of the key; 0 if it must not exist
 * @lease: id of the lease to attach, keep alive or revoke; 0 for none
 * @epoch: epoch of @expect and @lease; the call is refused with
 *	BRF_E_STORE_RESTORED once a later one is known; 0 for any
 * @ttl_s: time to live of a lease to grant, seconds
 */
struct brf_store_request {
	enum brf_store_op op;
	const char *key;
	bool prefix;
	bool latest_only;
	uint64_t at_revision;
	const char *value;
	size_t len;
	bool compare;
	uint64_t expect;
	uint64_t lease;
	uint64_t epoch;
	uint32_t ttl_s;
};

/**
 * struct brf_store_response - result of a call.
 * @err: the error, unless @outcome is BRF_STORE_DONE
 * @revision: current revision of the store; after a successful put, the new
 *	revision of the key; 0 when the store did not respond
 * @kvs: @count keys
 * @lease: id of the granted lease
 * @ttl_s: time to live of the lease granted or kept alive, seconds; 0 when
 *	the lease has expired
 */
struct brf_store_response {
	enum brf_store_outcome outcome;
	struct brf_error err;
	uint64_t revision;
	struct brf_store_kv *kvs;
	size_t count;
	uint64_t lease;
	uint32_t ttl_s;
};

/**
 * struct brf_store_call - one call, owned by the caller.
 * @request: read during brf_store_start() only
 * @done: called exactly once, never before brf_store_start() returns, unless
 *	the call is cancelled; @response is valid only during the callback
 * @impl: private to the store implementation
 */
struct brf_store_call {
	struct brf_store_request request;
	void (*done)(struct brf_store_call *call,
	    const struct brf_store_response *response);
	void *impl;
};

/**
 * struct brf_store_event - changes reported to a watch, ordered by revision.
 * @revision: current revision of the store
 * @kvs: @count changed keys; none in a progress notification, which only
 *	shows that the watch is alive
 */
struct brf_store_event {
	uint64_t revision;
	struct brf_store_kv *kvs;
	size_t count;
};

/**
 * struct brf_store_watch - subscription to changes of all keys with a prefix,
 * owned by the caller.
 * @prefix: read during brf_store_watch_start() only
 * @from: first revision to report
 * @pause_us: for a store that must be polled, the time from a response
 *	with changes to the next poll, microseconds; changes made in between
 *	arrive in one event; @event may set it
 * @wait_us: for such a store, longest time that a poll waits, microseconds; 0
 *	for the store's own; @event may set it
 * @event: called for each event; may stop the watch
 * @confirmed: called with the clock time up to which all changes are known to
 *	have been reported, but for those made in a pause; may be NULL, and may
 *	not stop the watch
 * @ended: called once when the store or the connection ends the watch, not
 *	after brf_store_watch_stop(); @err is BRF_E_STORE_COMPACTED when the
 *	store no longer keeps @from, and BRF_E_STORE_RESTORED when a new epoch
 *	has begun
 * @impl: private to the store implementation
 */
struct brf_store_watch {
	const char *prefix;
	uint64_t from;
	uint64_t pause_us;
	uint64_t wait_us;
	void (*event)(
	    struct brf_store_watch *watch, const struct brf_store_event *event);
	void (*confirmed)(struct brf_store_watch *watch, uint64_t at);
	void (*ended)(
	    struct brf_store_watch *watch, const struct brf_error *err);
	void *impl;
};

struct brf_store;

/**
 * struct brf_store_vt - functions of a store implementation; see the wrappers
 * below.
 */
struct brf_store_vt {
	void (*start)(struct brf_store *store, struct brf_store_call *call);
	void (*cancel)(struct brf_store *store, struct brf_store_call *call);
	void (*watch_start)(
	    struct brf_store *store, struct brf_store_watch *watch);
	void (*watch_stop)(
	    struct brf_store *store, struct brf_store_watch *watch);
};

/**
 * struct brf_store_observer - is told when the store was restored.
 * @restored: called after the store's epoch has risen; may start and cancel
 *	calls and watches, but not add or remove observers
 */
struct brf_store_observer {
	struct brf_list link;
	void (*restored)(struct brf_store_observer *observer);
};

/**
 * struct brf_store_state - what is known of the store itself; shared by all
 * implementations that lead to the same store.
 * @observers: list of struct brf_store_observer
 * @epoch: latest epoch that is known; 0 when the store reports none
 * @latency_us: duration of the last call that was answered, watches left out;
 *	0 before the first
 */
struct brf_store_state {
	struct brf_list observers;
	uint64_t epoch;
	uint64_t latency_us;
};

/* Base of a store implementation. */
struct brf_store {
	const struct brf_store_vt *vt;
	struct brf_store_state *state;
};

static inline void
brf_store_init(struct brf_store *store, const struct brf_store_vt *vt,
    struct brf_store_state *state)
{
	store->vt = vt;
	store->state = state;
	brf_list_init(&state->observers);
}

static inline uint64_t
brf_store_epoch(const struct brf_store *store)
{
	return (store->state->epoch);
}

static inline void
brf_store_observe(struct brf_store *store, struct brf_store_observer *observer)
{
	brf_list_append(&store->state->observers, &observer->link);
}

static inline void
brf_store_unobserve(struct brf_store_observer *observer)
{
	brf_list_remove(&observer->link);
}

static inline void
brf_store_start(struct brf_store *store, struct brf_store_call *call)
{
	store->vt->start(store, call);
}

/* @call->done is not called any more; a write already sent may still take
 * effect. */
static inline void
brf_store_cancel(struct brf_store *store, struct brf_store_call *call)
{
	store->vt->cancel(store, call);
}

static inline void
brf_store_watch_start(struct brf_store *store, struct brf_store_watch *watch)
{
	store->vt->watch_start(store, watch);
}

static inline void
brf_store_watch_stop(struct brf_store *store, struct brf_store_watch *watch)
{
	store->vt->watch_stop(store, watch);
}

BRF_BEGIN_DECLS

/* Return: "done", "conflict", "refused" or "unknown". */
const char *brf_store_outcome_name(enum brf_store_outcome outcome);

/**
 * brf_store_learn_epoch() - record an epoch that the store or a peer reports.
 *
 * Calls the observers when it is later than a known one.  The first epoch that
 * is learned is no restore.
 */
void brf_store_learn_epoch(struct brf_store *store, uint64_t epoch);

BRF_END_DECLS

#endif
