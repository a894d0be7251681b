#ifndef BRF_STORE_H
#define BRF_STORE_H

#include "base/error.h"
#include "base/list.h"

/**
 * DOC: The platform's key-value store.
 *
 * A vtable, so that tests put a fake behind it.  Callers embed a call or a
 * watch in their own struct.  No call is sent twice by itself: whether that
 * is right depends on what it does, see config/edit.h.
 */

/**
 * enum brf_store_outcome - what is known of a call's effect.
 * @BRF_STORE_DONE: it took effect; of a read: here is the answer
 * @BRF_STORE_CONFLICT: the key was not at the expected revision
 * @BRF_STORE_REFUSED: it took no effect: never sent, or refused by the store
 * @BRF_STORE_UNKNOWN: it may or may not have taken effect, or still may
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
	BRF_STORE_LEASE_GRANT, /* a lease */
	BRF_STORE_LEASE_KEEPALIVE,	 /* a lease alive */
	BRF_STORE_LEASE_REVOKE /* a lease and its keys */
};

/**
 * struct brf_store_kv - a key and what is known of it.
 * @value: @len bytes; empty when deleted or not asked for
 * @revision: of the store, when the key was last changed
 * @lease: 0 for none
 * @deleted: in an event of a watch: the key is gone
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
 * struct brf_store_request - what a call asks for.
 * @key: of get and put
 * @prefix: get all keys that begin with @key
 * @newest: of them, only the one changed last, without its value
 * @at_revision: get as it was then; 0 for now
 * @value: to put, @len bytes
 * @compare: put only when the key is at revision @expect, 0 for absent;
 *	else the answer is BRF_STORE_CONFLICT with the key as it is
 * @lease: to attach, keep or revoke; 0 for none
 * @ttl_s: of a lease to grant, seconds
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
	uint64_t expected_revision;
	uint64_t lease;
	uint32_t ttl_s;
};

/**
 * struct brf_store_response - how a call ended.
 * @err: why, unless BRF_STORE_DONE
 * @revision: the store's own when it answered; of a put that is done, the
 *	key's new one; 0 when the store did not answer
 * @kvs: @count keys
 * @lease: granted
 * @ttl_s: time to live of a lease granted or kept; 0 when it has lapsed
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
 * struct brf_store_call - one call.
 * @request: read during brf_store_start() only
 * @done: called exactly once, never before brf_store_start() returns; the
 *	answer is valid during the call
 * @impl: for the store
 */
struct brf_store_call {
	struct brf_store_request request;
	void (*done)(
	    struct brf_store_call *call, const struct brf_store_response *answer);
	void *impl;
};

/**
 * struct brf_store_event - changes, in order of revision.
 * @revision: the store's own; @count is 0 when it only says that it lives
 */
struct brf_store_event {
	uint64_t revision;
	struct brf_store_kv *kvs;
	size_t count;
};

/**
 * struct brf_store_watch - changes of all keys with a prefix.
 * @prefix: read during brf_store_watch_start() only
 * @from: first revision wanted
 * @pause_us: where the store has to be polled, time from an answer with
 *	changes to the next poll; changes in between come together; @event may
 *	set it
 * @event: may stop the watch
 * @ended: called once, not after brf_store_watch_stop(); BRF_E_STORE_COMPACTED
 *	when @from is no longer kept
 * @impl: for the store
 */
struct brf_store_watch {
	const char *prefix;
	uint64_t start_revision;
	uint64_t poll_interval_us;
	void (*event)(
	    struct brf_store_watch *watch, const struct brf_store_event *event);
	void (*ended)(
	    struct brf_store_watch *watch, const struct brf_error *err);
	void *impl;
};

struct brf_store;

struct brf_store_vt {
	void (*start)(struct brf_store *store, struct brf_store_call *call);
	void (*cancel)(struct brf_store *store, struct brf_store_call *call);
	void (*watch_start)(
	    struct brf_store *store, struct brf_store_watch *watch);
	void (*watch_stop)(
	    struct brf_store *store, struct brf_store_watch *watch);
};

struct brf_store {
	const struct brf_store_vt *vt;
};

static inline void
brf_store_start(struct brf_store *store, struct brf_store_call *call)
{
	store->vt->start(store, call);
}

/* No callback follows; what was sent may still take effect. */
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

/* "done", "conflict", "refused" or "unknown". */
const char *brf_store_outcome_name(enum brf_store_outcome outcome);

BRF_END_DECLS

#endif
