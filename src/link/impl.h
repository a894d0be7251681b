#ifndef BRF_LINK_IMPL_H
#define BRF_LINK_IMPL_H

#include "link/codec.h"
#include "link/link.h"
#include "wire/conn.h"

/**
 * DOC: Declarations that the files of this directory share.
 *
 * links.c manages the links, conn.c handles the messages that either end of a
 * connection may send, dial.c sends hops, serve.c receives them, body.c
 * transfers bodies within their flow control windows, and watch.c carries
 * watches of the store.
 */

#define BRF_LINK_WINDOW 65536u	   /* bytes of a body not yet read, at most */
#define BRF_LINK_BUCKETS 64u	   /* hash buckets of streams, by xid */
#define BRF_LINK_BATCH_MAX 262144u /* bytes of messages in one write */

/**
 * struct brf_links - all links of a node and its connections.
 * @set: all connections, dialed and accepted
 * @links: list of struct brf_link
 * @served: number of open hops received from other nodes
 * @closed: called once all handles are closed; NULL after that
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
 * @link: the link it was dialed for; NULL when accepted or lost
 * @timer: on a dialed connection, the connect timeout, then the check for
 * silence while streams are open
 * @watchers: on an accepted connection, list of struct brf_link_watcher
 * @streams: hash table of the open streams, by xid
 * @open_streams: their number
 * @received_at: on a dialed connection, clock time of the last message from
 * the other end, or of the first send after a time without streams
 * @pinged_at: clock time of a ping without a reply; 0 for none
 * @silent: streams were open and nothing was received for BRF_LINK_SILENT_US
 * @logged_up: a first message was received and link_up was logged
 * @table_requested: BRF_LINK_TABLE was sent and has no reply yet
 * @targets_requested: BRF_LINK_TARGETS was sent and has no reply yet
 */
struct brf_link_conn {
	struct brf_conn conn;
	struct brf_link *link;
	uv_connect_t connect;
	struct brf_timer timer;
	struct brf_list watchers;
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
 * struct brf_link_out - a body that is sent to the other end.
 * @pipe: the source of the body; NULL for no body
 * @window: bytes that may still be sent
 * @done: the last part is written to the connection
 */
struct brf_link_out {
	struct brf_pipe *pipe;
	uint64_t window;
	bool done;
};

/**
 * struct brf_link_in - a body that is received from the other end.
 * @pipe: the destination of the body
 * @granted: bytes that the other end may send, counted from the start of the
 * body
 * @done: the last part was received
 */
struct brf_link_in {
	struct brf_pipe *pipe;
	uint64_t granted;
	bool done;
};

/**
 * struct brf_link_stream - one hop on one connection.
 * @link: in a bucket of @lc; in the queue of the struct brf_link until the
 * request is written
 * @lc: NULL until the request is written
 * @xid: of the BRF_LINK_SEND that opened the stream
 * @work: sends parts and window updates; posted by the pipes of both bodies
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
 * struct brf_link - the link to one node.
 * @name: address and port, for the log
 * @lc: the dialed connection; NULL for none
 * @queue: streams whose request is not written yet
 * @watches: list of struct brf_link_watch
 * @notes: list of struct brf_link_note
 * @hops: number of hops that were sent and not yet released by their senders
 * @down_until: clock time before which no connection is attempted
 * @failures: number of consecutive failed connections
 * @refs: references of brf_links_get(); without any, the link is freed after
 * its connection and its last hop
 */
struct brf_link {
	struct brf_hop_backend backend;
	struct brf_links *links;
	struct brf_list member;
	struct sockaddr_in addr;
	char name[INET_ADDRSTRLEN + 8];
	struct brf_link_conn *lc;
	struct brf_list queue;
	struct brf_list watches;
	uint32_t next_watch_xid;
	struct brf_list notes;
	uint32_t next_note_xid;
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

/*
 * If @link has no references and nothing to send: close a connection without
 * streams, and free the link once it has neither connection nor hops.
 */
void brf_link_end_if_unused(struct brf_link *link);

/* Call the callback of brf_links_close() once all handles are closed. */
void brf_links_check_closed(struct brf_links *links);

/* conn.c */
void brf_link_conn_init(struct brf_link_conn *lc, struct brf_links *links,
    const struct brf_conn_vt *vt);

/* Send BRF_LINK_HELLO, or with @reply the reply to the call of that @xid. */
void brf_link_conn_send_hello(
    struct brf_link_conn *lc, uint32_t xid, bool reply);

/**
 * brf_link_conn_handle_common() - handle a message that either end may send.
 * @handled: set to whether the message was one of these
 *
 * Return: false with @err set when the connection must be closed.
 */
bool brf_link_conn_handle_common(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, bool *handled, struct brf_error *err);

/* Request the other end's known targets, if this node needs them. */
void brf_link_conn_request_targets(struct brf_link_conn *lc);

/* Request the other end's table if its @revision is newer than ours. */
void brf_link_conn_check_revision(struct brf_link_conn *lc, uint64_t revision);

/* Return: NULL when no open stream has @xid. */
struct brf_link_stream *brf_link_find_stream(
    const struct brf_link_conn *lc, uint32_t xid);
void brf_link_add_stream(struct brf_link_conn *lc, struct brf_link_stream *s);

/* body.c */
/**
 * brf_link_peek_part() - the first part of a body, to be sent in the message
 * that carries the request or the head of the answer.
 * @end: set to whether the part is the whole body
 *
 * Return: bytes inside the pipe; call brf_link_consume_part() once they are
 * copied.
 */
struct brf_link_text brf_link_peek_part(struct brf_link_out *out, bool *end);

/* Remove @len sent bytes from the pipe and from the window. */
void brf_link_consume_part(struct brf_link_out *out, size_t len, bool end);

/* Send as much of the body as the pipe holds and the window allows. */
void brf_link_send_body(struct brf_link_stream *s);

/* Send a window update once the reader has consumed half a window. */
void brf_link_update_window(struct brf_link_stream *s);

/**
 * brf_link_receive_part() - write a received part of a body to its pipe.
 * @end: it is the last part
 * @broken: the other end aborted the body
 *
 * Return: false with BRF_E_RPC_ARGUMENT when the part exceeds the window or
 * follows the last one.
 */
bool brf_link_receive_part(struct brf_link_stream *s,
    const struct brf_link_text *part, bool end, bool broken,
    struct brf_error *err);

/* watch.c */
/* Send the watches of a connected link that were not sent yet. */
void brf_link_watches_send(struct brf_link *link);

/* End all watches of a link whose connection is lost. */
void brf_link_watches_lost(struct brf_link *link);

/**
 * brf_link_watch_handle_reply() - handle the reply to a watch.
 * @handled: set to whether the message was one
 *
 * Return: false with @err set when the connection must be closed.
 */
bool brf_link_watch_handle_reply(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, bool *handled, struct brf_error *err);

/* Handle a watch of another node. */
bool brf_link_watch_serve(struct brf_link_conn *lc, uint32_t xid, XDR *xdr,
    const struct brf_record *record, struct brf_error *err);

/* Free the watchers of an accepted connection that is lost. */
void brf_link_watchers_lost(struct brf_link_conn *lc);

/* note.c */
/* Send the notes of a connected link that were not sent yet. */
void brf_link_notes_send(struct brf_link *link);

/* End all notes of a link whose connection is lost. */
void brf_link_notes_lost(struct brf_link *link);

/**
 * brf_link_note_handle_reply() - handle the reply to a note.
 * @handled: set to whether the message was one
 *
 * Return: false with @err set when the connection must be closed.
 */
bool brf_link_note_handle_reply(struct brf_link_conn *lc,
    const struct brf_rpc_header *header, XDR *xdr,
    const struct brf_record *record, bool *handled, struct brf_error *err);

/* Handle a note of another node. */
bool brf_link_note_serve(struct brf_link_conn *lc, uint32_t xid, XDR *xdr,
    const struct brf_record *record, struct brf_error *err);

/* dial.c */
/* Open a connection if there is none. Return: false while backing off. */
bool brf_link_dial(struct brf_link *link);
extern const struct brf_hop_backend_vt brf_link_backend_vt;
extern const struct brf_conn_vt brf_link_dialed_vt;

/* serve.c */
/* Accept a pending connection of @listener. */
void brf_link_accept(struct brf_links *links, uv_stream_t *listener);

#endif
