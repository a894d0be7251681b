#ifndef BRF_CONN_H
#define BRF_CONN_H

#include <uv.h>

#include "base/list.h"
#include "base/metrics.h"
#include "wire/rpc.h"

/**
 * DOC: One TCP connection between nodes.
 *
 * Feeds received bytes to the record reader, and combines the messages sent in
 * one iteration of the loop into one write.  At most one uv_write() is pending.
 * Until it completes, @fill is not called, so that calls stay in their sender's
 * queue, where they can still be cancelled without reaching the other node.
 */

struct brf_conn;

/**
 * struct brf_conn_set - state shared by connections; first member of their
 * owner.
 * @conns: connections whose socket is not closed yet
 * @dirty: connections scheduled for a write
 * @connections: gauge of the length of @conns
 * @fault: called to count and log a failure that the other node caused
 */
struct brf_conn_set {
	uv_loop_t *loop;
	struct brf_list conns;
	struct brf_list dirty;
	struct brf_metric *connections;
	void (*fault)(struct brf_conn_set *set, const struct brf_error *err);
};

/**
 * struct brf_conn_vt - callbacks of the calling and the accepting side.
 * @message: handle a complete record; false closes the connection with @err
 * @fill: append queued messages to @out; called before each write
 * @lost: called once, by brf_conn_close(); nothing is read or sent afterwards
 * @release: the socket is closed; the memory of @conn may be freed
 */
struct brf_conn_vt {
	bool (*message)(struct brf_conn *conn, const struct brf_record *record,
	    struct brf_error *err);
	void (*fill)(struct brf_conn *conn);
	void (*lost)(struct brf_conn *conn, const struct brf_error *err);
	void (*release)(struct brf_conn *conn);
};

/**
 * struct brf_conn - first member of both kinds of connection.
 * @out: messages for the next write
 * @writing: messages of the pending uv_write(), the part that the kernel has
 *	accepted included
 * @submitted: bytes passed to the kernel or to uv_write() so far
 * @accepted: bytes that the kernel has accepted, or more when a write failed;
 *	up to date when @lost is called
 * @received: bytes read
 * @write_pending: a uv_write() of @writing has not completed
 * @paused: reading is stopped, because the other node does not read and too
 *	many bytes wait to be written to it
 */
struct brf_conn {
	const struct brf_conn_vt *vt;
	struct brf_conn_set *set;
	uv_tcp_t tcp;
	uv_write_t write;
	struct brf_record_reader reader;
	struct brf_buf out;
	struct brf_buf writing;
	struct brf_list link;
	struct brf_list dirty;
	uint64_t submitted;
	uint64_t accepted;
	uint64_t received;
	bool write_pending;
	bool paused;
	bool closing;
};

/**
 * brf_conn_init() - open a socket and add @conn to @set.
 * @conn: zeroed, but for its reader's max_len; must be ended by
 *	brf_conn_close()
 */
void brf_conn_init(struct brf_conn *conn, const struct brf_conn_vt *vt,
    struct brf_conn_set *set);

/**
 * brf_conn_start() - set the socket's options and start to read; to be called
 * when the socket is connected.
 */
void brf_conn_start(struct brf_conn *conn);

/**
 * brf_conn_schedule_write() - mark @conn for the next brf_conn_set_flush().
 */
void brf_conn_schedule_write(struct brf_conn *conn);

/**
 * brf_conn_close() - end the connection; no effect when it has ended already.
 * @err: the cause; reported to the set's @fault unless it is BRF_E_CLOSED
 *
 * Tries once, without blocking, to write @out, unless a write is pending.
 * Calls @lost before it returns and @release when the socket is closed.
 */
void brf_conn_close(struct brf_conn *conn, const struct brf_error *err);

/**
 * brf_conn_set_init() - make an empty set; the caller sets @connections.
 */
void brf_conn_set_init(struct brf_conn_set *set, uv_loop_t *loop,
    void (*fault)(struct brf_conn_set *set, const struct brf_error *err));

/**
 * brf_conn_set_flush() - write on all scheduled connections; to be called
 * before the loop sleeps.
 */
void brf_conn_set_flush(struct brf_conn_set *set);

#endif
