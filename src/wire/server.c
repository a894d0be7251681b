#include <stdlib.h>

#include "base/log.h"
#include "wire/codec.h"
#include "wire/documents.h"
#include "wire/peers.h"

#define ID_BUCKETS 256u

/* Limits that apply until the caller has proved the key. */
#define UNAUTHENTICATED_MAX 256u	 /* connections */
#define UNAUTHENTICATED_RECORD_MAX 1024u /* bytes of a record */

#define CHALLENGE_SIZE 256u /* bytes; upper bound of an encoded challenge */

enum server_state {
	SERVER_NEW,
	SERVER_CHALLENGED,
	SERVER_AUTHENTICATED
};

/**
 * struct server_conn - connection accepted by this node.
 * @timer: bounds the handshake
 * @open: number of calls not yet answered; the struct stays allocated for them
 *	after the socket is closed
 * @released: the socket is closed
 * @calls: these calls, hashed by attempt id
 */
struct server_conn {
	struct brf_conn conn;
	struct brf_timer timer;
	enum server_state state;
	struct brf_handshake handshake;
	size_t open;
	bool released;
	struct brf_list calls[ID_BUCKETS];
};

/**
 * struct inbound_call - a received call that the gate has not ended.
 */
struct inbound_call {
	struct brf_exchange x;
	struct brf_list link;
	struct server_conn *sc;
	uint32_t xid;
};

static struct server_conn *
server_conn(struct brf_conn *conn)
{
	return (brf_container_of(conn, struct server_conn, conn));
}

static void
free_when_unused(struct server_conn *sc)
{
	struct brf_peers *peers = brf_peers_of(&sc->conn);

	if (!sc->released || sc->open != 0)
		return;
	free(sc);
	brf_peers_check_closed(peers);
}

static void
answer_status(struct server_conn *sc, uint32_t xid, enum brf_rpc_status status)
{
	brf_rpc_write_status(&sc->conn.out, xid, status);
	brf_conn_schedule_write(&sc->conn);
}

/* Rejects one call.  The framing is intact, so the connection stays open. */
static bool
reject(struct server_conn *sc, uint32_t xid, enum brf_rpc_status status,
    const struct brf_error *err)
{
	brf_peers_report_fault(brf_peers_of(&sc->conn), err);
	answer_status(sc, xid, status);
	return (true);
}

/*
 * Denies a call and closes the connection.  A caller without the key gets no
 * details of the error.
 */
static bool
deny(struct server_conn *sc, uint32_t xid, enum brf_errc code, const char *what,
    struct brf_error *err)
{
	brf_rpc_write_status(&sc->conn.out, xid, BRF_RPC_AUTH_ERROR);
	return (brf_error_set(err, code, 0, "%s", what));
}

static bool
serve_null(struct server_conn *sc, XDR *xdr, const struct brf_record *record,
    uint32_t xid, struct brf_error *err)
{
	(void)xdr;
	(void)record;
	(void)err;
	answer_status(sc, xid, BRF_RPC_SUCCESS);
	return (true);
}

static void
send_challenge(struct server_conn *sc, uint32_t xid)
{
	const struct brf_peers_config *config =
	    &brf_peers_of(&sc->conn)->config;
	struct brf_handshake *h = &sc->handshake;
	brf_xdr_challenge challenge;
	struct brf_rpc_writer w;

	h->callee = config->self;
	brf_handshake_nonce(config->random, h->callee_nonce);
	challenge.node = brf_id_to_xdr(config->self.node);
	challenge.incarnation = config->self.incarnation;
	memcpy(challenge.nonce, h->callee_nonce, BRF_XDR_NONCE);
	brf_handshake_mac(h, BRF_HANDSHAKE_CALLEE, config->key, config->key_len,
	    (unsigned char *)challenge.mac);
	brf_rpc_begin_reply(
	    &w, &sc->conn.out, CHALLENGE_SIZE, xid, BRF_RPC_SUCCESS);
	brf_rpc_end(&w, xdr_brf_xdr_challenge(&w.xdr, &challenge));
	brf_conn_schedule_write(&sc->conn);
}

static bool
serve_hello(struct server_conn *sc, XDR *xdr, const struct brf_record *record,
    uint32_t xid, struct brf_error *err)
{
	brf_xdr_hello hello;

	if (sc->state != SERVER_NEW)
		return (deny(sc, xid, BRF_E_AUTH, "repeated hello", err));
	if (!xdr_brf_xdr_hello(xdr, &hello) || !brf_rpc_at_end(xdr, record)) {
		brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "hello");
		return (reject(sc, xid, BRF_RPC_GARBAGE_ARGS, err));
	}
	sc->handshake.caller.node = brf_id_from_xdr(&hello.node);
	sc->handshake.caller.incarnation = hello.incarnation;
	memcpy(sc->handshake.caller_nonce, hello.nonce, BRF_XDR_NONCE);
	sc->state = SERVER_CHALLENGED;
	send_challenge(sc, xid);
	return (true);
}

static bool
serve_prove(struct server_conn *sc, XDR *xdr, const struct brf_record *record,
    uint32_t xid, struct brf_error *err)
{
	const struct brf_peers_config *config =
	    &brf_peers_of(&sc->conn)->config;
	brf_xdr_proof proof;

	if (sc->state != SERVER_CHALLENGED)
		return (deny(
		    sc, xid, BRF_E_AUTH, "proof without a challenge", err));
	if (!xdr_brf_xdr_proof(xdr, &proof) || !brf_rpc_at_end(xdr, record))
		return (deny(sc, xid, BRF_E_AUTH, "malformed proof", err));
	if (!brf_handshake_check(&sc->handshake, BRF_HANDSHAKE_CALLER,
		config->key, config->key_len, proof.mac))
		return (deny(sc, xid, BRF_E_AUTH,
		    "MAC of the caller does not match", err));
	sc->state = SERVER_AUTHENTICATED;
	sc->conn.reader.max_len = 0;
	brf_peers_of(&sc->conn)->unauthenticated--;
	brf_timer_stop(config->timers, &sc->timer);
	answer_status(sc, xid, BRF_RPC_SUCCESS);
	return (true);
}

static void
write_reply(struct server_conn *sc, uint32_t xid, struct brf_id id,
    const struct brf_reply *reply)
{
	const struct brf_reply too_large = {
		.outcome = BRF_UNKNOWN,
		.reason = BRF_R_ANSWER_TOO_LARGE,
	};
	struct brf_rpc_writer w;

	brf_rpc_begin_reply(
	    &w, &sc->conn.out, brf_reply_max_size(reply), xid, BRF_RPC_SUCCESS);
	if (brf_rpc_end(&w, brf_reply_encode(&w.xdr, id, reply)))
		return;
	brf_rpc_begin_reply(&w, &sc->conn.out, brf_reply_max_size(&too_large),
	    xid, BRF_RPC_SUCCESS);
	brf_rpc_end(&w, brf_reply_encode(&w.xdr, id, &too_large));
}

static void
on_done(struct brf_exchange *x, const struct brf_reply *reply)
{
	struct inbound_call *in = brf_container_of(x, struct inbound_call, x);
	struct server_conn *sc = in->sc;

	if (!sc->conn.closing) {
		write_reply(sc, in->xid, x->attempt.id, reply);
		brf_conn_schedule_write(&sc->conn);
	}
	brf_list_remove(&in->link);
	brf_message_unref(x->attempt.request);
	free(in);
	sc->open--;
	brf_peers_of(&sc->conn)->open_calls--;
	free_when_unused(sc);
}

static struct brf_list *
id_bucket(struct server_conn *sc, struct brf_id id)
{
	return (&sc->calls[id.lo % ID_BUCKETS]);
}

static bool
serve_call(struct server_conn *sc, XDR *xdr, const struct brf_record *record,
    uint32_t xid, struct brf_error *err)
{
	struct brf_peers *peers = brf_peers_of(&sc->conn);
	struct inbound_call *in = brf_calloc(1, sizeof(*in));
	bool ok = brf_attempt_decode(xdr, &in->x.attempt, err);

	if (ok && !brf_rpc_at_end(xdr, record)) {
		brf_message_unref(in->x.attempt.request);
		ok = brf_error_set(err, BRF_E_RPC_ARGUMENT, 0,
		    "trailing bytes after the attempt");
	}
	if (!ok) {
		free(in);
		return (reject(sc, xid, BRF_RPC_GARBAGE_ARGS, err));
	}
	in->x.done = on_done;
	in->sc = sc;
	in->xid = xid;
	brf_list_init(&in->link);
	brf_list_append(id_bucket(sc, in->x.attempt.id), &in->link);
	sc->open++;
	peers->open_calls++;
	peers->calls_received->value++;
	brf_send(peers->config.gate, &in->x);
	return (true);
}

static struct inbound_call *
find_inbound(struct server_conn *sc, struct brf_id id)
{
	struct brf_list *l, *bucket = id_bucket(sc, id);
	struct inbound_call *in;

	brf_list_foreach (l, bucket) {
		in = brf_list_entry(l, struct inbound_call, link);
		if (brf_id_equal(in->x.attempt.id, id))
			return (in);
	}
	return (NULL);
}

/* The call may have been answered already, so an unknown id is not an error. */
static bool
serve_cancel(struct server_conn *sc, XDR *xdr, const struct brf_record *record,
    uint32_t xid, struct brf_error *err)
{
	struct inbound_call *in;
	brf_xdr_id id;

	if (!xdr_brf_xdr_id(xdr, &id) || !brf_rpc_at_end(xdr, record)) {
		brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "id");
		return (reject(sc, xid, BRF_RPC_GARBAGE_ARGS, err));
	}
	answer_status(sc, xid, BRF_RPC_SUCCESS);
	in = find_inbound(sc, brf_id_from_xdr(&id));
	if (in != NULL)
		brf_cancel(brf_peers_of(&sc->conn)->config.gate, &in->x);
	return (true);
}

static bool
serve_documents(struct server_conn *sc, XDR *xdr,
    const struct brf_record *record, uint32_t xid, struct brf_error *err)
{
	struct brf_conn *conn = &sc->conn;

	if (!brf_documents_serve(brf_peers_of(conn)->config.documents, xdr,
		record, xid, &conn->out, err))
		return (reject(sc, xid, BRF_RPC_GARBAGE_ARGS, err));
	brf_conn_schedule_write(conn);
	return (true);
}

static const struct {
	bool (*serve)(struct server_conn *sc, XDR *xdr,
	    const struct brf_record *record, uint32_t xid,
	    struct brf_error *err);
	bool before_auth;
} procedures[] = {
	[BRF_PEER_NULL] = { .serve = serve_null, .before_auth = true },
	[BRF_PEER_HELLO] = { .serve = serve_hello, .before_auth = true },
	[BRF_PEER_PROVE] = { .serve = serve_prove, .before_auth = true },
	[BRF_PEER_CALL] = { .serve = serve_call },
	[BRF_PEER_CANCEL] = { .serve = serve_cancel },
	[BRF_PEER_DOCUMENTS] = { .serve = serve_documents },
};

static enum brf_rpc_status
check_header(const struct brf_rpc_header *h, struct brf_error *err)
{
	if (h->rpc_version != RPC_MSG_VERSION) {
		brf_error_set(err, BRF_E_RPC_VERSION, 0, "RPC version %u",
		    h->rpc_version);
		return (BRF_RPC_VERSION_MISMATCH);
	}
	if (h->program != BRF_PEER_PROGRAM) {
		brf_error_set(
		    err, BRF_E_RPC_VERSION, 0, "program %u", h->program);
		return (BRF_RPC_PROG_UNAVAIL);
	}
	if (h->version != BRF_PEER_VERSION) {
		brf_error_set(err, BRF_E_RPC_VERSION, 0, "program version %u",
		    h->version);
		return (BRF_RPC_PROG_MISMATCH);
	}
	if (h->procedure >= brf_nitems(procedures)) {
		brf_error_set(
		    err, BRF_E_RPC_PROCEDURE, 0, "procedure %u", h->procedure);
		return (BRF_RPC_PROC_UNAVAIL);
	}
	return (BRF_RPC_SUCCESS);
}

static bool
on_message(struct brf_conn *conn, const struct brf_record *record,
    struct brf_error *err)
{
	struct server_conn *sc = server_conn(conn);
	struct brf_rpc_header header;
	enum brf_rpc_status status;
	XDR xdr;

	if (!brf_rpc_read(&xdr, record, &header, err))
		return (false);
	if (!header.is_call) {
		brf_error_set(err, BRF_E_RPC_UNMATCHED, 0,
		    "reply received on the accepting side, xid %u", header.xid);
		brf_peers_report_fault(brf_peers_of(conn), err);
		return (true);
	}
	status = check_header(&header, err);
	if (status != BRF_RPC_SUCCESS)
		return (reject(sc, header.xid, status, err));
	if (sc->state != SERVER_AUTHENTICATED &&
	    !procedures[header.procedure].before_auth)
		return (deny(sc, header.xid, BRF_E_RPC_DENIED,
		    "call before authentication", err));
	return (procedures[header.procedure].serve(
	    sc, &xdr, record, header.xid, err));
}

static void
on_fill(struct brf_conn *conn)
{
	(void)conn;
}

/*
 * Cancels the calls of a caller that has disconnected.  The gate's callbacks
 * may end other calls of the list, so each call leaves @calls before its
 * cancellation.  Those that the gate ends later must not stay in the local
 * list.
 */
static void
cancel_all(struct server_conn *sc, struct brf_list *calls)
{
	struct brf_list cancelled;
	struct inbound_call *in;

	brf_list_init(&cancelled);
	while (!brf_list_empty(calls)) {
		in = brf_list_entry(calls->next, struct inbound_call, link);
		brf_list_remove(&in->link);
		brf_list_append(&cancelled, &in->link);
		brf_cancel(brf_peers_of(&sc->conn)->config.gate, &in->x);
	}
	while (!brf_list_empty(&cancelled)) {
		in = brf_list_entry(cancelled.next, struct inbound_call, link);
		brf_list_remove(&in->link);
	}
}

static void
on_lost(struct brf_conn *conn, const struct brf_error *err)
{
	struct server_conn *sc = server_conn(conn);
	size_t i;

	(void)err;
	brf_timer_stop(brf_peers_of(conn)->config.timers, &sc->timer);
	if (sc->state != SERVER_AUTHENTICATED)
		brf_peers_of(conn)->unauthenticated--;
	for (i = 0; i < ID_BUCKETS; i++)
		cancel_all(sc, &sc->calls[i]);
}

static void
on_release(struct brf_conn *conn)
{
	struct server_conn *sc = server_conn(conn);

	sc->released = true;
	free_when_unused(sc);
}

static const struct brf_conn_vt server_conn_vt = {
	.message = on_message,
	.fill = on_fill,
	.lost = on_lost,
	.release = on_release,
};

static void
on_timer(struct brf_timer *timer, void *arg)
{
	struct server_conn *sc = arg;
	struct brf_error err;

	(void)timer;
	brf_error_set(&err, BRF_E_AUTH, 0, "handshake timeout");
	brf_conn_close(&sc->conn, &err);
}

void
brf_server_accept(struct brf_peers *peers, uv_stream_t *listener)
{
	struct server_conn *sc = brf_calloc(1, sizeof(*sc));
	struct brf_error err;
	int rc;
	size_t i;

	for (i = 0; i < ID_BUCKETS; i++)
		brf_list_init(&sc->calls[i]);
	sc->timer.fire = on_timer;
	sc->timer.arg = sc;
	sc->conn.reader.max_len = UNAUTHENTICATED_RECORD_MAX;
	brf_conn_init(&sc->conn, &server_conn_vt, &peers->set);
	peers->unauthenticated++;
	rc = uv_accept(listener, (uv_stream_t *)&sc->conn.tcp);
	if (rc < 0) {
		brf_error_set(&err, BRF_E_SYSTEM, rc, "accept");
		brf_conn_close(&sc->conn, &err);
		return;
	}
	if (peers->unauthenticated > UNAUTHENTICATED_MAX) {
		brf_error_set(&err, BRF_E_LIMIT, 0,
		    "more than %u unauthenticated connections",
		    UNAUTHENTICATED_MAX);
		brf_conn_close(&sc->conn, &err);
		return;
	}
	brf_timer_start(
	    peers->config.timers, &sc->timer, peers->config.connect_us);
	brf_conn_start(&sc->conn);
}
