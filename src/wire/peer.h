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
 * A struct brf_peers holds both sides: it listens for other nodes' calls and
 * hands them to a backend (the gate), and it gives a backend for each node
 * that this one calls.  Connections are opened on demand, used by many calls
 * at once, and closed after brf_peers_config.idle_us without one.
 *
 * The process must ignore SIGPIPE.
 *
 * What ends an open attempt when a connection is lost: BRF_NOT_RUN with
 * BRF_R_NOT_SENT while no byte of the call was given to the kernel, BRF_UNKNOWN
 * with BRF_R_CONNECTION_LOST after that.
 *
 * An attempt whose time is up is cancelled at the other gate.  When no word
 * comes within BRF_PEER_EXPIRED_WAIT_US it ends with BRF_UNKNOWN and BRF_R_TIMEOUT.
 * One that was not written yet, or that the gate cancelled before it began,
 * ends with BRF_NOT_RUN and BRF_R_EXPIRED.
 *
 * A reply that says that the callee did not take the call ends it with
 * BRF_NOT_RUN (BRF_R_MALFORMED when it could not be decoded there, else
 * BRF_R_NOT_SENT); a reply that can't be decoded here, with BRF_UNKNOWN and
 * BRF_R_BROKEN_ANSWER.
 */

#define BRF_PEER_EXPIRED_WAIT_US (50 * BRF_US_PER_MS)
#define BRF_PEER_CANCEL_WAIT_US                                \
	(1000 * BRF_US_PER_MS) /* wait after brf_cancel() \
				*/
#define BRF_PEER_DOCUMENTS_TIMEOUT_US (5 * BRF_US_PER_S)

#define BRF_FLEET_KEY_MAX 64u

/**
 * struct brf_peer_identity - what a node proves of itself to others.
 * @node: random id made when the process starts
 * @incarnation: see member/members.h
 */
struct brf_peer_identity {
	struct brf_id node;
	uint64_t incarnation;
};

/**
 * struct brf_document_update - a document as it goes from node to node.
 * @text: JSON of @len bytes; NULL with @len 0 for a deletion
 */
struct brf_document_update {
	const char *service;
	uint64_t revision;
	const char *text;
	size_t len;
};

/**
 * struct brf_known_revision - what a node has of one service.
 */
struct brf_known_revision {
	const char *service;
	uint64_t revision;
};

struct brf_document_source;

/**
 * struct brf_document_source_vt - where BRF_PEER_DOCUMENTS gets its answer.
 * @newer: call @emit for each document that is newer than what @known says
 *	or not in it, until it returns false: the answer is full, and the rest
 *	goes with the next one
 */
struct brf_document_source_vt {
	void (*newer)(struct brf_document_source *source,
	    const struct brf_known_revision *known, size_t count,
	    bool (*emit)(const struct brf_document_update *news, void *arg),
	    void *arg);
};

struct brf_document_source {
	const struct brf_document_source_vt *vt;
};

/**
 * brf_documents_fn - end of brf_peers_fetch_documents().
 * @news: @count documents, valid during the call; empty when none is newer
 * @err: NULL, or why there is no answer
 */
typedef void (*brf_documents_fn)(void *arg,
    const struct brf_document_update *news, size_t count,
    const struct brf_error *err);

/* Most revisions in a question and documents in an answer. */
#define BRF_KNOWN_REVISIONS_MAX 1024u
#define BRF_DOCUMENT_UPDATES_MAX 64u

/**
 * struct brf_peers_config - what brf_peers_new() needs.
 * @loop: the process's loop
 * @timers: the timer service
 * @random: for nonces
 * @metrics: where counters go
 * @gate: runs the attempts that other nodes send
 * @documents: answers BRF_PEER_DOCUMENTS; may be NULL
 * @self: identity told to others
 * @key: fleet key, @key_len bytes, at most BRF_FLEET_KEY_MAX
 * @idle_us: close a connection after this long without a call
 * @connect_us: give up connecting, handshake included, after this long
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

struct brf_peers *brf_peers_new(const struct brf_peers_config *config);

/**
 * brf_peers_listen() - accept other nodes' calls.
 * @addr: address and port; port 0 lets the kernel choose
 * @port: filled with the port in use
 */
bool brf_peers_listen(struct brf_peers *peers, const struct sockaddr *addr,
    uint16_t *port, struct brf_error *err);

/**
 * brf_peers_backend() - the backend that stands for the node at @addr.
 * @node: id the node has proved or gossiped; the handshake refuses another
 * life at the same address.  Zero accepts any.
 *
 * Return: owned by @peers.  It stays valid while an exchange is open on it and
 * until brf_peers_remove_backend().
 */
struct brf_backend *brf_peers_backend(
    struct brf_peers *peers, const struct sockaddr *addr, struct brf_id node);

/**
 * brf_peers_remove_backend() - the member is gone; the backend is freed with its last
 * exchange.
 */
void brf_peers_remove_backend(struct brf_peers *peers, struct brf_backend *backend);

/**
 * brf_peers_fetch_documents() - ask the node behind @backend for documents.
 * @known: what this node has, @count items of at most BRF_KNOWN_REVISIONS_MAX; only
 *	used during the call
 * @done: called exactly once, possibly before this returns
 *
 * The answer holds what fits into one record; ask again when it holds any.
 */
void brf_peers_fetch_documents(struct brf_peers *peers,
    struct brf_backend *backend, const struct brf_known_revision *known,
    size_t count, brf_documents_fn done, void *arg);

/**
 * brf_peers_bytes() - bytes sent and received by a backend's connection,
 * for the budget of the link between regions.
 */
uint64_t brf_peers_bytes(const struct brf_backend *backend);

/**
 * brf_peers_open_calls() - calls received and not yet answered.
 */
size_t brf_peers_open_calls(const struct brf_peers *peers);

/**
 * brf_peers_stop() - stop listening; connections stay for open calls.
 */
void brf_peers_stop(struct brf_peers *peers);

/**
 * brf_peers_close() - close everything; run the loop until @closed is called,
 * then brf_peers_free().
 */
void brf_peers_close(
    struct brf_peers *peers, void (*closed)(void *arg), void *arg);
void brf_peers_free(struct brf_peers *peers);

BRF_END_DECLS

#endif
