#ifndef BRF_CONN_H
#define BRF_CONN_H

#include <uv.h>

#include "base/list.h"
#include "base/metrics.h"
#include "wire/rpc.h"

/**
 * DOC: One TCP connection between nodes.
 *
 * Joins the record reader to a socket, and gathers what is sent in one turn of
 * the loop into one write.  At most one write waits for the kernel; until it
 * is through, further calls stay with their sender and can still be withdrawn.
 */

struct brf_conn;

/**
 * struct brf_conn_set - what connections share; first member of their owner.
 * @conns: all whose socket is not closed yet
 * @dirty: those that have something to send
 * @connections: number of @conns
 * @fault: a failure that the other end caused, to be counted and logged
 */
struct brf_conn_set {
	uv_loop_t *loop;
	struct brf_list conns;
	struct brf_list dirty;
	struct brf_metric *connections;
	void (*fault)(struct brf_conn_set *set, const struct brf_error *err);
};

/**
 * struct brf_conn_vt - what the two kinds of connection do.
 * @message: a whole message came; false closes the connection with @err
 * @fill: add to @out what waits to be sent; called before each write
 * @lost: the connection ends; called once.  It is sent and read no more.
 * @release: the socket is closed, memory may be freed
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
 * @writing: messages of which the kernel took only a part yet
 * @flushed: bytes of all writes that are through
 * @accepted: bytes that the kernel took, or more when a write failed; up to
 *	date when @lost is called
 * @received: bytes read
 * @busy: @writing is under way
 * @paused: not read, since the other end does not read either
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
 * brf_conn_init() - give @conn a socket; brf_conn_close() is needed from here.
 */
void brf_conn_init(struct brf_conn *conn, const struct brf_conn_vt *vt,
    struct brf_conn_set *set);

/**
 * brf_conn_start() - connected: set options and read.
 */
void brf_conn_start(struct brf_conn *conn);

/**
 * brf_conn_schedule_write() - something waits to be sent; it goes out before
 * the loop sleeps.
 */
void brf_conn_schedule_write(struct brf_conn *conn);

/**
 * brf_conn_close() - end the connection; what is in @out gets one last chance.
 * @err: why; not of a type that counts as fault when BRF_E_CLOSED
 */
void brf_conn_close(struct brf_conn *conn, const struct brf_error *err);

/**
 * brf_conn_set_init() - an empty set; @connections is to be filled.
 */
void brf_conn_set_init(struct brf_conn_set *set, uv_loop_t *loop,
    void (*fault)(struct brf_conn_set *set, const struct brf_error *err));

/**
 * brf_conn_set_flush() - write what waits on all connections; to be called
 * before the loop sleeps.
 */
void brf_conn_set_flush(struct brf_conn_set *set);

#endif
