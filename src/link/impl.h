#ifndef BRF_LINK_IMPL_H
#define BRF_LINK_IMPL_H

#include "link/codec.h"
#include "link/link.h"
#include "wire/conn.h"

/**
 * DOC: What the files of links share: links.c holds them, conn.c is what both
 * ends of a connection do, dial.c sends hops and serve.c takes them, body.c
 * moves bodies within their windows.
 */

#define BRF_LINK_WINDOW 65536u	   /* bytes of a body under way */
#define BRF_LINK_BUCKETS 64u	   /* of streams by xid */
#define BRF_LINK_BATCH_MAX 262144u /* bytes of messages in one write */

/**
 * struct brf_links - see link.h.
 * @set: all connections, first member
 * @links: all struct brf_link
 * @served: hops of other nodes that are open
 */
struct brf_links {
	struct brf_conn_set set;
	struct brf_links_config config;
	uv_tcp_t listener;
	struct brf_list links;
	size_t served;
	bool listening;
	bool listener_open;
	bool closing;
	void (*closed)(void *arg);
	void *closed_arg;
	struct brf_metric *hops_sent;
	struct brf_metric *hops_received;
	struct brf_metric *silences;
};

/**
 * struct brf_link_conn - one connection, dialed or accepted.
 * @link: of a dialed one; NULL once that is forgotten
 * @streams: open ones, by xid
 * @open: of them; on a dialed one, whose answers are due
 * @heard: clock time of the last bytes from the other end
 * @asked: clock time of a question for a sign of life; 0 for none
 * @timer: gives up connecting, then looks for silence
 * @fetching: BRF_LINK_TABLE is not answered yet
 * @asking: BRF_LINK_TARGETS is not answered yet
 */
struct brf_link_conn {
	struct brf_conn conn;
	struct brf_link *link;
	uv_connect_t connect;
	struct brf_timer timer;
	struct brf_list streams[BRF_LINK_BUCKETS];
	size_t open_streams;
	uint32_t next_xid;
	uint64_t received_at;
	uint64_t pinged_at;
	bool connected;
	bool silent;
	bool logged_up;
	bool table_requested;
	bool targets_requested;
};

/**
 * struct brf_link_out - a body on its way to the other end.
 * @pipe: read here; NULL for no body
 * @room: bytes that the other end still takes
 * @done: the last part is written
 */
struct brf_link_out {
	struct brf_pipe *pipe;
	uint64_t window;
	bool done;
};

/**
 * struct brf_link_in - a body on its way from the other end.
 * @pipe: written here
 * @granted: bytes that the other end was allowed in all
 * @done: the last part has come
 */
struct brf_link_in {
	struct brf_pipe *pipe;
	uint64_t granted;
	bool done;
};

/**
 * struct brf_link_stream - one hop on one connection.
 * @link: in @lc's buckets, or in a queue while it is not written
 * @work: posted by the pipes
 */
struct brf_link_stream {
	struct brf_list link;
	struct brf_link_conn *lc;
	uint32_t xid;
	struct brf_task work;
	struct brf_link_out out;
	struct brf_link_in in;
};

/**
 * struct brf_link - the way to one node.
 * @queue: streams of which nothing is written
 * @down_until: clock time before which no connection is tried
 * @failures: connections that failed in a row
 * @hops: that were sent and not released
 * @users: that have not forgotten it; without any it goes with its last hop
 */
struct brf_link {
	struct brf_hop_backend backend;
	struct brf_links *links;
	struct brf_list member;
	struct sockaddr_in addr;
	char name[INET_ADDRSTRLEN + 8]; /* address and port */
	struct brf_link_conn *lc;
	struct brf_list queue;
	size_t hops;
	uint64_t down_until;
	unsigned failures;
	size_t refs;
};

static inline struct brf_links *
brf_links_of(const struct brf_link_conn *lc)
{
	return (brf_container_of(lc->conn.set, struct brf_links, set));
}

static inline uint64_t
brf_links_now(const struct brf_links *links)
{
	return (brf_now(brf_timers_clock(links->config.timers)));
}

/* links.c */
void brf_link_free(struct brf_link *link);

/* Free a forgotten link that nothing refers to any more. */
void brf_link_free_if_unused(struct brf_link *link);
void brf_links_check_closed(struct brf_links *links);

/* conn.c */
void brf_link_conn_init(struct brf_link_conn *lc, struct brf_links *links,
    const struct brf_conn_vt *vt);

/* Say who this is; @reply answers the other end's word. */
void brf_link_conn_send_hello(
    struct brf_link_conn *lc, uint32_t xid, bool reply);

/**
 * brf_link_conn_handle_common() - a message that either end may send.
 * @known: whether it was one
 *
 * Return: false when the connection can't go on.
 */
bool brf_link_conn_handle_common(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, bool *handled, struct brf_error *err);

/* Ask for the targets that the other end knows, if they are wanted here. */
void brf_link_conn_request_targets(struct brf_link_conn *lc);

/* The other end's table is at @revision: ask for it when ours is older. */
void brf_link_conn_check_revision(struct brf_link_conn *lc, uint64_t revision);

struct brf_link_stream *brf_link_find_stream(
    const struct brf_link_conn *lc, uint32_t xid);
void brf_link_add_stream(struct brf_link_conn *lc, struct brf_link_stream *s);

/* body.c */
/**
 * brf_link_peek_part() - the beginning of a body, to go with the message that
 * opens its stream.
 * @end: filled: it is all of the body
 *
 * The text points into the pipe; brf_link_consume_part() follows when it is
 * written.
 */
struct brf_link_text brf_link_peek_part(struct brf_link_out *out, bool *end);
void brf_link_consume_part(struct brf_link_out *out, size_t len, bool end);

/* Write what the window allows. */
void brf_link_send_body(struct brf_link_stream *s);

/* Widen the window by what the reader has taken. */
void brf_link_update_window(struct brf_link_stream *s);

/**
 * brf_link_receive_part() - a part has come.
 *
 * Return: false with BRF_E_RPC_ARGUMENT when it is over the window.
 */
bool brf_link_receive_part(struct brf_link_stream *s,
    const struct brf_link_text *part, bool end, bool broken,
    struct brf_error *err);

/* dial.c */
extern const struct brf_hop_backend_vt brf_link_backend_vt;
extern const struct brf_conn_vt brf_link_dialed_vt;

/* serve.c */
void brf_link_accept(struct brf_links *links, uv_stream_t *listener);

#endif
