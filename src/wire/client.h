#ifndef BRF_WIRE_CLIENT_H
#define BRF_WIRE_CLIENT_H

#include "wire/peers.h"

/**
 * DOC: The calling side: backends, their connections and open calls.
 */

#define BRF_XID_BUCKETS 256u

/**
 * struct brf_peer_backend - stands for one life of another node.
 * @backend: first member
 * @node: id it must prove; zero accepts any
 * @conn: the connection, or NULL
 * @queue: calls of which nothing is written
 * @refs: open calls, and other uses that keep the backend allocated
 * @closed_bytes: bytes of connections that are gone
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
 * @timer: gives up connecting, then closes the idle connection
 * @last_used: clock time of the last call's end
 * @written: calls written and not ended, by xid
 * @cancels: BRF_PEER_CANCEL not yet answered
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
 * struct brf_peer_call_vt - what the kinds of call do.
 * @size: bytes of the argument at most
 * @put: encode the argument
 * @got: a successful reply; @xdr stands at the result.  The call has ended.
 * @fail: the call has ended without a reply; frees it
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
	BRF_PEER_CALL_CANCELLED /* written, and cancelled after that */
};

/**
 * struct brf_peer_call - one open call to another node.
 * @link: in the backend's queue or the connection's @written
 * @cc: where it was written; NULL before, and once that is lost
 * @at: place of its first byte in the connection's stream
 * @deadline: clock time
 * @why: reason of the cancellation
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
 * brf_peer_call_open() - queue @call; fill @vt first.
 */
void brf_peer_call_open(struct brf_peer_call *call,
    struct brf_peer_backend *peer, uint64_t timeout_us);

/**
 * brf_peer_call_cancel() - withdraw it, or cancel it at the other end.
 */
void brf_peer_call_cancel(struct brf_peer_call *call);

/**
 * brf_peer_call_detach() - take it out of all lists; its timer is stopped.
 *
 * The backend stays until brf_peer_backend_unref().
 */
void brf_peer_call_detach(struct brf_peer_call *call);

/* Give up one use of the backend; frees it when it was the last. */
void brf_peer_backend_unref(struct brf_peer_backend *peer);

/* Open a connection; client_conn.c. */
void brf_client_connect(struct brf_peer_backend *peer);

/* Ask the other end to cancel a written call; client_conn.c. */
void brf_client_send_cancel(struct brf_client_conn *cc, struct brf_id attempt);

/* The attempt's id that a cancellation names; NULL for other calls. */
const struct brf_id *brf_peer_call_attempt_id(const struct brf_peer_call *call);

#endif
