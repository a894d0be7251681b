#ifndef BRF_WIRE_CLIENT_H
#define BRF_WIRE_CLIENT_H

#include "wire/peers.h"

/**
 * DOC: The calling side of the protocol: backends, the connections opened to
 * them, and open calls.
 */

#define BRF_XID_BUCKETS 256u /* of the hash table of calls by xid */

/**
 * struct brf_peer_backend - backend that forwards to another node.
 * @backend: first member
 * @node: id that the node must prove; zero accepts any
 * @conn: the connection, or NULL
 * @queue: calls not yet written to a connection
 * @refs: open calls, and other uses that keep the backend allocated
 * @closed_bytes: bytes sent and received on connections that have ended
 * @removed: to be freed with the last reference
 */
struct brf_peer_backend {
	struct brf_backend backend;
	struct brf_peers *peers;
	struct brf_list link;
	struct sockaddr_storage addr;
	struct brf_id node;
	struct brf_client_conn *conn;
	struct brf_list queue;
	size_t refs;
	uint64_t closed_bytes;
	bool removed;
};

enum brf_client_state {
	BRF_CLIENT_CONNECTING,
	BRF_CLIENT_HELLO,
	BRF_CLIENT_PROVE,
	BRF_CLIENT_READY
};

/**
 * struct brf_client_conn - connection opened by this node.
 * @timer: bounds connecting and the handshake, then closes an idle connection
 * @last_used: clock time at which the handshake or the last call ended,
 *	microseconds
 * @open: number of calls in @written
 * @written: calls written and not ended, hashed by xid
 * @cancels: number of BRF_PEER_CANCEL calls without a reply
 */
struct brf_client_conn {
	struct brf_conn conn;
	struct brf_peer_backend *peer;
	uv_connect_t connect;
	struct brf_timer timer;
	enum brf_client_state state;
	struct brf_handshake handshake;
	uint64_t last_used;
	uint32_t next_xid;
	uint32_t cancels;
	size_t open;
	struct brf_list written[BRF_XID_BUCKETS];
};

struct brf_peer_call;

/**
 * struct brf_peer_call_vt - operations of a kind of call.
 * @max_size: upper bound of the argument's encoded size, bytes
 * @encode: encode the argument; false when it exceeds a bound
 * @on_reply: handle a successful reply, whose result @xdr is positioned at;
 *	detaches and frees the call
 * @on_fail: the call ends without a usable reply; detaches and frees the call
 */
struct brf_peer_call_vt {
	uint32_t procedure;
	size_t (*max_size)(const struct brf_peer_call *call);
	bool (*encode)(const struct brf_peer_call *call, XDR *xdr);
	void (*on_reply)(struct brf_peer_call *call, XDR *xdr,
	    const struct brf_record *record);
	void (*on_fail)(struct brf_peer_call *call, enum brf_outcome outcome,
	    enum brf_reason reason);
};

enum brf_peer_call_state {
	BRF_PEER_CALL_QUEUED,
	BRF_PEER_CALL_WRITTEN,
	BRF_PEER_CALL_CANCELLED /* cancelled after it was written */
};

/**
 * struct brf_peer_call - one open call to another node.
 * @link: in the backend's queue or the connection's @written
 * @cc: connection on which it was written; NULL before that, and after the
 *	connection ended
 * @cancel_reason: reason of the cancellation
 * @offset: position of its first byte in the connection's output
 * @deadline: clock time, microseconds
 */
struct brf_peer_call {
	const struct brf_peer_call_vt *vt;
	struct brf_peer_backend *peer;
	struct brf_client_conn *cc;
	struct brf_list link;
	struct brf_timer timer;
	enum brf_peer_call_state state;
	enum brf_reason cancel_reason;
	uint32_t xid;
	uint64_t offset;
	uint64_t deadline;
};

/**
 * brf_peer_call_open() - queue @call, and connect if needed.
 * @call: zeroed, but for its vt; owned by the caller of this function until
 *	@on_reply or @on_fail, which may be called before this returns
 * @timeout_us: time until the call is cancelled, microseconds
 */
void brf_peer_call_open(struct brf_peer_call *call,
    struct brf_peer_backend *peer, uint64_t timeout_us);

/**
 * brf_peer_call_cancel() - fail a queued call; ask the other node to cancel one
 * that was written.
 */
void brf_peer_call_cancel(struct brf_peer_call *call);

/**
 * brf_peer_call_detach() - remove @call from its list and stop its timer.
 *
 * The caller still has to drop the call's reference to the backend with
 * brf_peer_backend_unref().
 */
void brf_peer_call_detach(struct brf_peer_call *call);

/* Drop a reference; the last one frees a backend that was removed. */
void brf_peer_backend_unref(struct brf_peer_backend *peer);

/* Open a connection to the backend's node; client_conn.c. */
void brf_client_connect(struct brf_peer_backend *peer);

/* Send BRF_PEER_CANCEL for a call that was written; client_conn.c. */
void brf_client_send_cancel(struct brf_client_conn *cc, struct brf_id attempt);

/* The id by which a call is cancelled; NULL unless it carries an attempt. */
const struct brf_id *brf_peer_call_attempt_id(const struct brf_peer_call *call);

#endif
