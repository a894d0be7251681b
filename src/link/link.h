#ifndef BRF_LINK_H
#define BRF_LINK_H

#include <netinet/in.h>

#include <uv.h>

#include "base/metrics.h"
#include "base/timer.h"
#include "config/store.h"
#include "flow/hop.h"
#include "link/codec.h"

/**
 * DOC: Links carry hops to the gates of other nodes, as ONC RPC over TCP.
 *
 * A node opens one connection to each node to whose gate it sends hops; all
 * hops to that node share it.  A request whose body fits into one message is
 * one call, and so is the reply to it.  The rest of a longer body follows in
 * calls without a reply, in either direction.  Each body has a flow control
 * window of its own, so that a slow reader blocks only its own stream.
 *
 * When a connection is lost, hops of which no byte was handed to the kernel
 * end as BRF_HOP_REFUSED, the others as BRF_HOP_FAILED.  While hops are open,
 * a connection on which nothing was received for BRF_LINK_PING_US is pinged,
 * is reported as silent after BRF_LINK_SILENT_US, and is closed after
 * BRF_LINK_DEAD_US, then also when all hops have ended meanwhile.
 *
 * Each side sends the revision of its routing table when a connection opens
 * and whenever the table changes, and sends the text of the table on request.
 * A node that has not read the store yet requests the known targets from its
 * peers.  A node may also watch the store by way of a peer: it sends a watch,
 * and the peer replies when it has received a change.
 *
 * The process must ignore SIGPIPE.
 */

/* Time without a received message, while hops are open, before ... */
#define BRF_LINK_PING_US (250 * BRF_US_PER_MS)	 /* a ping is sent */
#define BRF_LINK_SILENT_US (500 * BRF_US_PER_MS) /* the link is silent */
#define BRF_LINK_DEAD_US (2 * BRF_US_PER_S)	 /* the connection is closed */

/**
 * enum brf_link_health - state of the connection to a node.
 * @BRF_LINK_IDLE: not connected; the next hop opens a connection
 * @BRF_LINK_UP: connected or connecting
 * @BRF_LINK_SILENT: connected, but hops were open and nothing was received for
 * BRF_LINK_SILENT_US
 * @BRF_LINK_DOWN: the last connection failed; until the backoff has passed,
 * hops are refused
 */
enum brf_link_health {
	BRF_LINK_IDLE,
	BRF_LINK_UP,
	BRF_LINK_SILENT,
	BRF_LINK_DOWN
};

struct brf_link;
struct brf_link_conn;
struct brf_links;
struct brf_link_table_handler;
struct brf_link_targets_handler;
struct brf_link_watch_handler;
struct brf_link_note_handler;

/**
 * struct brf_link_table_handler_vt - access of links to the routing table.
 * @revision: returns the revision of the table in force; 0 for none
 * @text: points the caller to the text of the table in force, which the handler
 * owns and the caller copies at once; returns false when there is no table
 * @got: called with a peer's table when its revision is newer than that
 * of the table in force; @text is valid during the call only
 */
struct brf_link_table_handler_vt {
	uint64_t (*revision)(struct brf_link_table_handler *news);
	bool (*text)(struct brf_link_table_handler *news, const char **text,
	    size_t *len);
	void (*got)(struct brf_link_table_handler *news, uint64_t revision,
	    const char *text, size_t len);
};

struct brf_link_table_handler {
	const struct brf_link_table_handler_vt *vt;
};

/**
 * struct brf_link_targets_handler_vt - exchange of known targets between
 * peers, for a node that has not read the store.
 * @wanted: whether this node needs targets from its peers
 * @write: appends the targets that this node knows to @out
 * @got: called with a peer's reply while targets are needed; @text may hold
 * any bytes and is valid during the call only
 */
struct brf_link_targets_handler_vt {
	bool (*wanted)(struct brf_link_targets_handler *hints);
	void (*write)(
	    struct brf_link_targets_handler *hints, struct brf_buf *out);
	void (*got)(struct brf_link_targets_handler *hints, const char *text,
	    size_t len);
};

struct brf_link_targets_handler {
	const struct brf_link_targets_handler_vt *vt;
};

/**
 * struct brf_link_watch - a watch sent to the node of a link; owned by the
 * caller.
 * @call: read during brf_link_watch_start()
 * @done: called once with the reply, which is valid during the call, or with
 * NULL when the connection was lost or the node does not know watches; not
 * after brf_link_watch_cancel()
 *
 * The other members are private to the links.
 */
struct brf_link_watch {
	struct brf_link_watch_call call;
	void (*done)(struct brf_link_watch *watch,
	    const struct brf_link_watch_reply *reply);
	struct brf_list link;
	uint32_t xid;
	bool sent;
};

/**
 * struct brf_link_watcher - a watch received from another node, without a reply
 * yet; owned by the links.
 * @link: for the handler
 * @prefix: of the keys that are watched
 * @epoch: see struct brf_link_watch_call, also for @after and @age_us
 * @asked_at: for the handler, zero at first
 */
struct brf_link_watcher {
	struct brf_list link;
	char prefix[BRF_LINK_PREFIX_MAX + 1];
	uint64_t epoch;
	uint64_t after;
	uint64_t age_us;
	uint64_t asked_at;
	struct brf_list conn_link;
	struct brf_link_conn *lc;
	uint32_t xid;
};

/**
 * struct brf_link_watch_handler_vt - serves watches of other nodes.
 * @start: called with each watch, to be replied to by brf_link_watcher_reply()
 * at any later time, also before this returns
 * @gone: @watcher is not replied to and is freed after the call
 */
struct brf_link_watch_handler_vt {
	void (*start)(struct brf_link_watch_handler *handler,
	    struct brf_link_watcher *watcher);
	void (*gone)(struct brf_link_watch_handler *handler,
	    struct brf_link_watcher *watcher);
};

struct brf_link_watch_handler {
	const struct brf_link_watch_handler_vt *vt;
};

/**
 * struct brf_link_note - a text sent to the node of a link; owned by the
 * caller.
 * @text: read until @done or brf_link_note_cancel()
 * @done: called once with the result; not after brf_link_note_cancel()
 *
 * The other members are private to the links.
 */
struct brf_link_note {
	struct brf_link_text text;
	void (*done)(
	    struct brf_link_note *note, enum brf_link_note_result result);
	struct brf_list link;
	uint32_t xid;
	bool sent;
};

/**
 * struct brf_link_note_handler_vt - receives notes of other nodes.
 * @got: called with each note, which may hold any bytes and is valid during the
 * call only; returns the reply
 */
struct brf_link_note_handler_vt {
	enum brf_link_note_result (*got)(struct brf_link_note_handler *handler,
	    const char *text, size_t len);
};

struct brf_link_note_handler {
	const struct brf_link_note_handler_vt *vt;
};

/**
 * struct brf_links_config - arguments of brf_links_new(); whatever they point
 * to must outlive the links.
 * @gate: runs the hops that other nodes send
 * @news: access to the routing table; NULL for none
 * @hints: exchange of targets; NULL for none
 * @watches: serves watches of other nodes; NULL for none
 * @notes: receives notes of other nodes; NULL for none
 * @node: name of this node, sent to its peers
 * @service: service of this VM's target, sent to peers; read again for each
 * brf_links_announce_service()
 */
struct brf_links_config {
	uv_loop_t *loop;
	struct brf_tasks *tasks;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_hop_backend *gate;
	struct brf_link_table_handler *news;
	struct brf_link_targets_handler *hints;
	struct brf_link_watch_handler *watches;
	struct brf_link_note_handler *notes;
	const char *node;
	const char *service;
};

BRF_BEGIN_DECLS

/**
 * brf_links_new() - create the links of a node, without any connection.
 * @config: copied
 *
 * Return: to be released by brf_links_close(), then brf_links_free().
 */
struct brf_links *brf_links_new(const struct brf_links_config *config);

/**
 * brf_links_listen() - accept connections of other nodes at @addr.
 * @addr: with port 0 the kernel chooses a port
 * @port: set to the port in use, in host byte order
 *
 * Return: false with BRF_E_BIND when the address can't be listened on.
 */
bool brf_links_listen(struct brf_links *links, const struct sockaddr *addr,
    uint16_t *port, struct brf_error *err);

/**
 * brf_links_get() - take a reference to the link to the node at @addr.
 *
 * Creates the link when there is none; a connection is opened by the first
 * hop.
 *
 * Return: owned by @links; each call is to be matched by brf_link_release().
 */
struct brf_link *brf_links_get(
    struct brf_links *links, const struct sockaddr_in *addr);

/* The back end whose hops go to the gate of the link's node. */
struct brf_hop_backend *brf_link_backend(struct brf_link *link);
enum brf_link_health brf_link_health(const struct brf_link *link);

/**
 * brf_link_release() - give back one reference of brf_links_get().
 *
 * After the last one no new hop may be sent.  Open hops run to their end; then
 * the connection is closed and the link is freed.  brf_links_get() before that
 * returns the same link.
 */
void brf_link_release(struct brf_link *link);

/**
 * brf_link_watch_start() - send @watch to the link's node; opens a connection
 * when there is none.
 *
 * Return: false when no connection is possible now; @watch is not started.
 */
bool brf_link_watch_start(struct brf_link *link, struct brf_link_watch *watch);

/* Forget @watch; does nothing when it is not started. */
void brf_link_watch_cancel(struct brf_link_watch *watch);

/* Reply to @watcher and free it. */
void brf_link_watcher_reply(
    struct brf_link_watcher *watcher, const struct brf_link_watch_reply *reply);

/**
 * brf_link_note_send() - send @note to the link's node; opens a connection when
 * there is none.
 *
 * Return: false when no connection is possible now; @note is not sent.
 */
bool brf_link_note_send(struct brf_link *link, struct brf_link_note *note);

/* Forget @note; does nothing when it is not sent. */
void brf_link_note_cancel(struct brf_link_note *note);

/* Send the revision of the table in force to all connected peers. */
void brf_links_announce_table(struct brf_links *links);

/* Request the known targets from all connected peers, if they are needed. */
void brf_links_request_targets(struct brf_links *links);

/* Send the service name of this VM's target to all nodes dialed from here. */
void brf_links_announce_service(struct brf_links *links);

/* Write all pending output; to be called after the tasks of a loop turn. */
void brf_links_flush(struct brf_links *links);

/* The number of hops received from other nodes that are still open. */
size_t brf_links_served(const struct brf_links *links);

/* Stop accepting connections; open ones stay. */
void brf_links_stop(struct brf_links *links);

/**
 * brf_links_close() - stop listening and close all connections.
 * @closed: called once with @arg when all handles are closed, possibly before
 * this function returns
 *
 * Run the loop until @closed is called, then call brf_links_free().
 */
void brf_links_close(
    struct brf_links *links, void (*closed)(void *arg), void *arg);
void brf_links_free(struct brf_links *links);

BRF_END_DECLS

#endif
