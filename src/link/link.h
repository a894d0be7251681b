#ifndef BRF_LINK_H
#define BRF_LINK_H

#include <netinet/in.h>

#include <uv.h>

#include "base/metrics.h"
#include "base/timer.h"
#include "flow/hop.h"

/**
 * DOC: Hops to the gates of other nodes, over ONC RPC on TCP.
 *
 * A node dials each node to whose gate it sends; many hops share the one
 * connection.  A small request and a small answer are one call and one reply.
 * What is longer follows in calls without a reply, in both directions, within
 * a window for each body, so that a slow reader holds up nobody else.
 *
 * When a connection is lost, hops of which no byte was given to the kernel end
 * as BRF_HOP_REFUSED, the others as BRF_HOP_FAILED.  A connection on which
 * answers are due and nothing comes is asked for a sign of life, counts as
 * silent when none comes, and is closed when it stays so.
 *
 * Each side tells the revision of its routing table when a connection opens
 * and when it changes, and gives the table's text to those who ask.  A node
 * that has not read the store yet asks its peers for the targets they know.
 *
 * The process must ignore SIGPIPE.
 */

#define BRF_LINK_PING_US (250 * BRF_US_PER_MS) /* silence before a question */
#define BRF_LINK_SILENT_US \
	(500 * BRF_US_PER_MS)		    /* before it counts as silent */
#define BRF_LINK_DEAD_US (2 * BRF_US_PER_S) /* before it is closed */

/**
 * enum brf_link_health - what is known of the way to a node.
 * @BRF_LINK_IDLE: no connection, and nothing against one
 * @BRF_LINK_UP: connected, or about to be
 * @BRF_LINK_SILENT: answers are due and nothing has come for a while
 * @BRF_LINK_DOWN: the last connection failed a moment ago
 */
enum brf_link_health {
	BRF_LINK_IDLE,
	BRF_LINK_UP,
	BRF_LINK_SILENT,
	BRF_LINK_DOWN
};

struct brf_link;
struct brf_links;
struct brf_link_table_handler;
struct brf_link_targets_handler;

/**
 * struct brf_link_table_handler_vt - the routing table, as links pass it on.
 * @revision: of the table in force; 0 for none
 * @text: its text; false when there is none
 * @got: a peer has sent its table
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
 * struct brf_link_targets_handler_vt - targets, as peers tell of them when the
 * store does not.
 * @wanted: whether this node has to ask
 * @write: append what this node knows
 * @got: a peer has answered; any bytes
 */
struct brf_link_targets_handler_vt {
	bool (*wanted)(struct brf_link_targets_handler *hints);
	void (*write)(
	    struct brf_link_targets_handler *hints, struct brf_buf *out);
	void (*got)(struct brf_link_targets_handler *hints,
	    const char *text, size_t len);
};

struct brf_link_targets_handler {
	const struct brf_link_targets_handler_vt *vt;
};

/**
 * struct brf_links_config - what brf_links_new() needs; all of it outlives
 * the links.
 * @gate: runs the hops that other nodes send
 * @node: name of this node, told to others
 * @service: of this VM's target, told to others
 */
struct brf_links_config {
	uv_loop_t *loop;
	struct brf_tasks *tasks;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_hop_backend *gate;
	struct brf_link_table_handler *news;
	struct brf_link_targets_handler *hints;
	const char *node;
	const char *service;
};

BRF_BEGIN_DECLS

struct brf_links *brf_links_new(const struct brf_links_config *config);

/**
 * brf_links_listen() - accept other nodes; port 0 lets the kernel choose.
 */
bool brf_links_listen(struct brf_links *links, const struct sockaddr *addr,
    uint16_t *port, struct brf_error *err);

/**
 * brf_links_get() - the link to the node at @addr; made when there is none.
 *
 * Return: owned by @links; brf_link_release() it as often as it was got.
 */
struct brf_link *brf_links_get(
    struct brf_links *links, const struct sockaddr_in *addr);

/* The gate behind a link. */
struct brf_hop_backend *brf_link_backend(struct brf_link *link);
enum brf_link_health brf_link_health(const struct brf_link *link);

/**
 * brf_link_release() - one user less.
 *
 * Without users nothing new goes there.  Hops that are open go on to their
 * end; then the connection is closed and the link freed.  brf_links_get()
 * before that takes it up again.
 */
void brf_link_release(struct brf_link *link);

/* The table has changed: tell all peers. */
void brf_links_announce_table(struct brf_links *links);

/* Ask all peers for targets, if they are wanted. */
void brf_links_request_targets(struct brf_links *links);

/* This VM's target has another service: tell all peers. */
void brf_links_announce_service(struct brf_links *links);

/* Write what waits; to be called when the tasks have run. */
void brf_links_flush(struct brf_links *links);

/* Hops of other nodes that are open here. */
size_t brf_links_served(const struct brf_links *links);

/* Accept no further connections. */
void brf_links_stop(struct brf_links *links);

/**
 * brf_links_close() - close everything; run the loop until @closed is called,
 * then brf_links_free().
 */
void brf_links_close(
    struct brf_links *links, void (*closed)(void *arg), void *arg);
void brf_links_free(struct brf_links *links);

BRF_END_DECLS

#endif
