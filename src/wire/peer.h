#ifndef BRF_PEER_H
#define BRF_PEER_H

#include <sys/socket.h>

#include <uv.h>

#include "base/exchange.h"
#include "base/metrics.h"
#include "base/timer.h"

/**
 * DOC: Calls between nodes.
 *
 * A struct brf_peers has both sides: it accepts calls of other nodes and passes
 * them to a backend (the gate), and it provides a backend for each node that
 * this one calls.  Connections are opened on demand, carry many calls at once,
 * and are closed after brf_peers_config.idle_us without a call.
 *
 * The process must ignore SIGPIPE.
 *
 * When a connection is lost, an open attempt ends with BRF_NOT_RUN and
 * BRF_R_NOT_SENT if the kernel has accepted no byte of the call, otherwise with
 * BRF_UNKNOWN and BRF_R_CONNECTION_LOST.
 *
 * An attempt whose timeout expires before it is written ends with BRF_NOT_RUN
 * and BRF_R_EXPIRED.  One that was written is cancelled at the other gate.  If
 * the gate replies that it cancelled the attempt before it ran, the outcome is
 * BRF_NOT_RUN with BRF_R_EXPIRED.  If the attempt was running, or there is no
 * reply within BRF_PEER_EXPIRED_WAIT_US, it is BRF_UNKNOWN with BRF_R_TIMEOUT.
 *
 * An RPC status by which the callee rejects the call ends it with BRF_NOT_RUN,
 * and BRF_R_MALFORMED if the callee could not decode it, else BRF_R_NOT_SENT.
 * SYSTEM_ERR and a reply that can't be decoded here end it with BRF_UNKNOWN and
 * BRF_R_BROKEN_ANSWER.
 */

/* Wait for the reply to a call that was cancelled when its timeout expired. */
#define BRF_PEER_EXPIRED_WAIT_US (50 * BRF_US_PER_MS)

/*
 * The same after brf_cancel().  The remaining time of the attempt bounds it
 * too, but it is never below BRF_PEER_EXPIRED_WAIT_US.
 */
#define BRF_PEER_CANCEL_WAIT_US (1000 * BRF_US_PER_MS)
#define BRF_PEER_DOCUMENTS_TIMEOUT_US (5 * BRF_US_PER_S)

#define BRF_FLEET_KEY_MAX 64u /* bytes */

/**
 * struct brf_peer_identity - identity that a node proves to others.
 * @node: random id, generated when the process starts
 * @incarnation: see member/members.h
 */
struct brf_peer_identity {
	struct brf_id node;
	uint64_t incarnation;
};

/**
 * struct brf_document_update - a document's revision as sent between nodes.
 * @text: JSON of @len bytes; NULL with @len 0 for a deletion
 */
struct brf_document_update {
	const char *service;
	uint64_t revision;
	const char *text;
	size_t len;
};

/**
 * struct brf_known_revision - revision of a service's document that a node has.
 */
struct brf_known_revision {
	const char *service;
	uint64_t revision;
};

struct brf_document_source;

/**
 * struct brf_document_source_vt - source of the results of BRF_PEER_DOCUMENTS.
 * @newer: call @emit for each document that is newer than its revision in
 *	@known or missing there.  Stop when @emit returns false: the reply is
 *	full, and the next request gets the rest.  @emit copies the update.
 */
struct brf_document_source_vt {
	void (*newer)(struct brf_document_source *source,
	    const struct brf_known_revision *known, size_t count,
	    bool (*emit)(const struct brf_document_update *update, void *arg),
	    void *arg);
};

struct brf_document_source {
	const struct brf_document_source_vt *vt;
};

/**
 * brf_documents_fn - callback of brf_peers_fetch_documents().
 * @updates: @count documents, valid during the callback; none when the other
 *	node has nothing newer
 * @err: NULL, or why the request failed: BRF_E_TIMEOUT, BRF_E_CLOSED or
 *	BRF_E_RPC_ARGUMENT
 */
typedef void (*brf_documents_fn)(void *arg,
    const struct brf_document_update *updates, size_t count,
    const struct brf_error *err);

/* Bounds of the revisions in a request and of the documents in a reply. */
#define BRF_KNOWN_REVISIONS_MAX 1024u
#define BRF_DOCUMENT_UPDATES_MAX 64u

/**
 * struct brf_peers_config - parameters of brf_peers_new().
 * @loop: the process's loop
 * @timers: the timer service
 * @random: source of nonces
 * @metrics: registry for the counters
 * @gate: backend that runs the attempts received from other nodes
 * @documents: source for BRF_PEER_DOCUMENTS; NULL returns no documents
 * @self: identity sent to other nodes
 * @key: fleet key, @key_len bytes, at most BRF_FLEET_KEY_MAX
 * @idle_us: idle time after which a connection is closed, microseconds
 * @connect_us: timeout of connecting and of the handshake together,
 *	microseconds
 */
struct brf_peers_config {
	uv_loop_t *loop;
	struct brf_timers *timers;
	struct brf_random *random;
	struct brf_metrics *metrics;
	struct brf_backend *gate;
	struct brf_document_source *documents;
	struct brf_peer_identity self;
	unsigned char key[BRF_FLEET_KEY_MAX];
	size_t key_len;
	uint64_t idle_us;
	uint64_t connect_us;
};

struct brf_peers;

BRF_BEGIN_DECLS

/**
 * brf_peers_new() - start to serve calls between nodes.
 * @config: copied; the objects it points to must stay until brf_peers_free()
 *
 * Return: owned by the caller; to be ended with brf_peers_close() and then
 * brf_peers_free().
 */
struct brf_peers *brf_peers_new(const struct brf_peers_config *config);

/**
 * brf_peers_listen() - accept other nodes' calls.
 * @addr: address and port; port 0 lets the kernel choose
 * @port: filled with the port in use, host order
 *
 * Return: false with BRF_E_BIND.
 */
bool brf_peers_listen(struct brf_peers *peers, const struct sockaddr *addr,
    uint16_t *port, struct brf_error *err);

/**
 * brf_peers_backend() - the backend for the node at @addr.
 * @node: id that the node has proved or gossiped; the handshake fails when a
 *	process with another id has the address.  Zero accepts any id.
 *
 * Return: an existing backend or a new one, owned by @peers.  It stays valid
 * until brf_peers_remove_backend(), and after that while an exchange is open.
 */
struct brf_backend *brf_peers_backend(
    struct brf_peers *peers, const struct sockaddr *addr, struct brf_id node);

/**
 * brf_peers_remove_backend() - release the backend of a node that has left; it
 * is freed after its last exchange.
 */
void brf_peers_remove_backend(
    struct brf_peers *peers, struct brf_backend *backend);

/**
 * brf_peers_fetch_documents() - request newer documents from @backend's node.
 * @known: revisions that this node has, copied
 * @count: number of @known; those above BRF_KNOWN_REVISIONS_MAX are not sent
 * @done: called exactly once, possibly before this returns
 *
 * A reply holds as many documents as fit into one record.  Repeat the request
 * until a reply is empty.
 */
void brf_peers_fetch_documents(struct brf_peers *peers,
    struct brf_backend *backend, const struct brf_known_revision *known,
    size_t count, brf_documents_fn done, void *arg);

/**
 * brf_peers_bytes() - bytes sent and received on a backend's connections, for
 * the budget of the link between regions.
 */
uint64_t brf_peers_bytes(const struct brf_backend *backend);

/**
 * brf_peers_open_calls() - calls received and not yet answered.
 */
size_t brf_peers_open_calls(const struct brf_peers *peers);

/**
 * brf_peers_stop() - stop listening; open connections stay.
 */
void brf_peers_stop(struct brf_peers *peers);

/**
 * brf_peers_close() - close the listener and all connections.
 * @closed: called when nothing is open any more; brf_peers_free() is allowed
 *	from then on
 *
 * Calls to other nodes end before this returns.  Received calls are cancelled
 * at the gate; @closed waits until the gate has ended them.
 */
void brf_peers_close(
    struct brf_peers *peers, void (*closed)(void *arg), void *arg);
void brf_peers_free(struct brf_peers *peers);

BRF_END_DECLS

#endif
