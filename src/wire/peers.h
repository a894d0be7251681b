#ifndef BRF_PEERS_H
#define BRF_PEERS_H

#include "wire/conn.h"
#include "wire/handshake.h"
#include "wire/peer.h"

/**
 * DOC: Declarations shared by the implementation of peer.h.
 */

/**
 * struct brf_peers - see peer.h.
 * @set: all connections, first member
 * @backends: all struct brf_peer_backend, forgotten ones included
 * @unauthenticated: accepted connections whose caller has not proved the key
 * @open_calls: calls received and not yet answered
 * @handles: open libuv handles besides the connections' sockets
 */
struct brf_peers {
	struct brf_conn_set set;
	struct brf_peers_config config;
	uv_tcp_t listener;
	uv_prepare_t prepare;
	struct brf_list backends;
	size_t unauthenticated;
	size_t open_calls;
	size_t handles;
	bool listening;
	bool closing;
	void (*closed)(void *arg);
	void *closed_arg;
	struct brf_metric *calls_sent;
	struct brf_metric *calls_received;
};

static inline struct brf_peers *
brf_peers_of(const struct brf_conn *conn)
{
	return (brf_container_of(conn->set, struct brf_peers, set));
}

/**
 * brf_peers_report_fault() - count and log a failure that the other end caused.
 */
void brf_peers_report_fault(
    struct brf_peers *peers, const struct brf_error *err);

/* Call the closed callback once nothing is open any more. */
void brf_peers_check_closed(struct brf_peers *peers);

/* Accept a connection from @listener; server.c. */
void brf_server_accept(struct brf_peers *peers, uv_stream_t *listener);

/* Free all backends; client.c. */
void brf_client_free_backends(struct brf_peers *peers);

#endif
