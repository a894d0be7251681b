#include <stdlib.h>

#include "base/log.h"
#include "wire/client.h"
#include "wire/codec.h"

#define XID_HELLO 0xfffffffeu
#define XID_PROVE 0xffffffffu
#define XID_CANCEL 0x80000000u /* set in the xids of cancellations */
#define XID_CALL_MASK 0x7fffffffu
#define BATCH_SIZE ((size_t)128 * 1024) /* bytes that end a batch of calls */
#define HANDSHAKE_SIZE 256u /* bytes; upper bound of an encoded argument */

static struct brf_client_conn *
client_conn(struct brf_conn *conn)
{
	return (brf_container_of(conn, struct brf_client_conn, conn));
}

static uint64_t
now_of(const struct brf_client_conn *cc)
{
	return (
	    brf_now(brf_timers_clock(brf_peers_of(&cc->conn)->config.timers)));
}

static void
send_hello(struct brf_client_conn *cc)
{
	const struct brf_peers_config *config =
	    &brf_peers_of(&cc->conn)->config;
	struct brf_rpc_writer w;
	brf_xdr_hello hello;

	cc->handshake.caller = config->self;
	brf_handshake_nonce(config->random, cc->handshake.caller_nonce);
	hello.node = brf_id_to_xdr(config->self.node);
	hello.incarnation = config->self.incarnation;
	memcpy(hello.nonce, cc->handshake.caller_nonce, BRF_XDR_NONCE);
	brf_rpc_begin_call(
	    &w, &cc->conn.out, HANDSHAKE_SIZE, XID_HELLO, BRF_PEER_HELLO);
	brf_rpc_end(&w, xdr_brf_xdr_hello(&w.xdr, &hello));
	cc->state = BRF_CLIENT_HELLO;
	brf_conn_schedule_write(&cc->conn);
}

static void
send_proof(struct brf_client_conn *cc)
{
	const struct brf_peers_config *config =
	    &brf_peers_of(&cc->conn)->config;
	struct brf_rpc_writer w;
	brf_xdr_proof proof;

	brf_handshake_mac(&cc->handshake, BRF_HANDSHAKE_CALLER, config->key,
	    config->key_len, (unsigned char *)proof.mac);
	brf_rpc_begin_call(
	    &w, &cc->conn.out, HANDSHAKE_SIZE, XID_PROVE, BRF_PEER_PROVE);
	brf_rpc_end(&w, xdr_brf_xdr_proof(&w.xdr, &proof));
	cc->state = BRF_CLIENT_PROVE;
	brf_conn_schedule_write(&cc->conn);
}

static bool
check_challenge(struct brf_client_conn *cc, const brf_xdr_challenge *challenge,
    struct brf_error *err)
{
	const struct brf_peers_config *config =
	    &brf_peers_of(&cc->conn)->config;
	struct brf_handshake *h = &cc->handshake;

	h->callee.node = brf_id_from_xdr(&challenge->node);
	h->callee.incarnation = challenge->incarnation;
	memcpy(h->callee_nonce, challenge->nonce, BRF_XDR_NONCE);
	if (!brf_handshake_check(h, BRF_HANDSHAKE_CALLEE, config->key,
		config->key_len, challenge->mac))
		return (brf_error_set(
		    err, BRF_E_AUTH, 0, "MAC of the callee does not match"));
	if (!brf_id_is_zero(cc->peer->node) &&
	    !brf_id_equal(cc->peer->node, h->callee.node))
		return (brf_error_set(
		    err, BRF_E_AUTH, 0, "another node id than expected"));
	return (true);
}

static void
restart_idle(struct brf_client_conn *cc)
{
	brf_timer_start(brf_peers_of(&cc->conn)->config.timers, &cc->timer,
	    brf_peers_of(&cc->conn)->config.idle_us);
}

static bool
continue_handshake(struct brf_client_conn *cc, XDR *xdr,
    const struct brf_rpc_header *header, struct brf_error *err)
{
	bool hello = cc->state == BRF_CLIENT_HELLO;
	brf_xdr_challenge challenge;

	if (header->xid != (hello ? XID_HELLO : XID_PROVE))
		return (brf_error_set(err, BRF_E_RPC_UNMATCHED, 0,
		    "unexpected xid during the handshake"));
	if (header->status != BRF_RPC_SUCCESS)
		return (brf_error_set(err, BRF_E_RPC_DENIED, 0,
		    "handshake denied with status %d", header->status));
	if (!hello) {
		cc->state = BRF_CLIENT_READY;
		cc->last_used = now_of(cc);
		restart_idle(cc);
		brf_conn_schedule_write(&cc->conn);
		return (true);
	}
	if (!xdr_brf_xdr_challenge(xdr, &challenge))
		return (brf_error_set(err, BRF_E_RPC_ARGUMENT, 0, "challenge"));
	if (!check_challenge(cc, &challenge, err))
		return (false);
	send_proof(cc);
	return (true);
}

static struct brf_peer_call *
find_call(struct brf_client_conn *cc, uint32_t xid)
{
	struct brf_list *l, *bucket = &cc->written[xid % BRF_XID_BUCKETS];
	struct brf_peer_call *call;

	brf_list_foreach (l, bucket) {
		call = brf_list_entry(l, struct brf_peer_call, link);
		if (call->xid == xid)
			return (call);
	}
	return (NULL);
}

static void
report_unmatched(struct brf_client_conn *cc, uint32_t xid)
{
	struct brf_error err;

	brf_error_set(
	    &err, BRF_E_RPC_UNMATCHED, 0, "no open call with xid %u", xid);
	brf_peers_report_fault(brf_peers_of(&cc->conn), &err);
}

/* The callee rejected the call with an RPC status. */
static void
fail_rejected(struct brf_peer_call *call, enum brf_rpc_status status)
{
	struct brf_peers *peers = call->peer->peers;
	struct brf_error err;

	brf_error_set(
	    &err, BRF_E_RPC_DENIED, 0, "call rejected with status %d", status);
	brf_peers_report_fault(peers, &err);
	if (status == BRF_RPC_SYSTEM_ERR)
		call->vt->on_fail(call, BRF_UNKNOWN, BRF_R_BROKEN_ANSWER);
	else if (status == BRF_RPC_GARBAGE_ARGS)
		call->vt->on_fail(call, BRF_NOT_RUN, BRF_R_MALFORMED);
	else
		call->vt->on_fail(call, BRF_NOT_RUN, BRF_R_NOT_SENT);
}

static void
dispatch_reply(struct brf_client_conn *cc, XDR *xdr,
    const struct brf_record *record, const struct brf_rpc_header *header)
{
	struct brf_peer_call *call;

	if ((header->xid & XID_CANCEL) && cc->cancels > 0) {
		cc->cancels--;
		return;
	}
	call = find_call(cc, header->xid);
	if (call == NULL)
		report_unmatched(cc, header->xid);
	else if (header->status != BRF_RPC_SUCCESS)
		fail_rejected(call, header->status);
	else
		call->vt->on_reply(call, xdr, record);
}

static bool
on_message(struct brf_conn *conn, const struct brf_record *record,
    struct brf_error *err)
{
	struct brf_client_conn *cc = client_conn(conn);
	struct brf_rpc_header header;
	XDR xdr;

	if (!brf_rpc_read(&xdr, record, &header, err))
		return (false);
	if (header.is_call) {
		brf_error_set(err, BRF_E_RPC_PROCEDURE, 0,
		    "call received on the calling side");
		brf_peers_report_fault(brf_peers_of(conn), err);
		brf_rpc_write_status(
		    &conn->out, header.xid, BRF_RPC_PROG_UNAVAIL);
		brf_conn_schedule_write(conn);
		return (true);
	}
	if (cc->state != BRF_CLIENT_READY)
		return (continue_handshake(cc, &xdr, &header, err));
	dispatch_reply(cc, &xdr, record, &header);
	return (true);
}

static void
write_call(struct brf_client_conn *cc, struct brf_peer_call *call)
{
	struct brf_buf *out = &cc->conn.out;
	struct brf_rpc_writer w;

	call->xid = cc->next_xid;
	call->offset = cc->conn.submitted + out->len;
	brf_rpc_begin_call(
	    &w, out, call->vt->max_size(call), call->xid, call->vt->procedure);
	if (!brf_rpc_end(&w, call->vt->encode(call, &w.xdr))) {
		call->vt->on_fail(call, BRF_NOT_RUN, BRF_R_TOO_LARGE);
		return;
	}
	cc->next_xid = (cc->next_xid + 1) & XID_CALL_MASK;
	cc->open++;
	call->state = BRF_PEER_CALL_WRITTEN;
	call->cc = cc;
	brf_list_remove(&call->link);
	brf_list_append(&cc->written[call->xid % BRF_XID_BUCKETS], &call->link);
}

static void
fill(struct brf_conn *conn)
{
	struct brf_client_conn *cc = client_conn(conn);
	struct brf_list *queue = &cc->peer->queue;

	if (cc->state != BRF_CLIENT_READY)
		return;
	while (!conn->closing && conn->out.len < BATCH_SIZE &&
	       !brf_list_empty(queue))
		write_call(cc,
		    brf_list_entry(queue->next, struct brf_peer_call, link));
}

void
brf_client_send_cancel(struct brf_client_conn *cc, struct brf_id attempt)
{
	brf_xdr_id id = brf_id_to_xdr(attempt);
	struct brf_rpc_writer w;

	brf_rpc_begin_call(&w, &cc->conn.out, sizeof(id),
	    cc->next_xid | XID_CANCEL, BRF_PEER_CANCEL);
	brf_rpc_end(&w, xdr_brf_xdr_id(&w.xdr, &id));
	cc->cancels++;
	brf_conn_schedule_write(&cc->conn);
}

static void
detach_calls(struct brf_list *to, struct brf_list *from)
{
	struct brf_peer_call *call;

	while (!brf_list_empty(from)) {
		call = brf_list_entry(from->next, struct brf_peer_call, link);
		call->cc = NULL;
		brf_list_remove(&call->link);
		brf_list_append(to, &call->link);
	}
}

/*
 * Calls of which the kernel accepted a byte may have run.  Each callback may
 * end, cancel or open other calls.
 */
static void
fail_all(struct brf_list *calls, uint64_t accepted)
{
	struct brf_peer_call *call;

	while (!brf_list_empty(calls)) {
		call = brf_list_entry(calls->next, struct brf_peer_call, link);
		if (call->state == BRF_PEER_CALL_QUEUED ||
		    call->offset >= accepted)
			call->vt->on_fail(call, BRF_NOT_RUN, BRF_R_NOT_SENT);
		else
			call->vt->on_fail(
			    call, BRF_UNKNOWN, BRF_R_CONNECTION_LOST);
	}
}

static void
on_lost(struct brf_conn *conn, const struct brf_error *err)
{
	struct brf_client_conn *cc = client_conn(conn);
	struct brf_peer_backend *peer = cc->peer;
	struct brf_list calls;
	size_t i;

	brf_log(BRF_LOG_DEBUG, "peer_connection_ended",
	    BRF_LI("peer", peer->node), BRF_LE(err));
	brf_timer_stop(brf_peers_of(conn)->config.timers, &cc->timer);
	peer->conn = NULL;
	peer->closed_bytes += conn->accepted + conn->received;
	peer->refs++;
	brf_list_init(&calls);
	for (i = 0; i < BRF_XID_BUCKETS; i++)
		detach_calls(&calls, &cc->written[i]);
	detach_calls(&calls, &peer->queue);
	fail_all(&calls, conn->accepted);
	cc->peer = NULL;
	brf_peer_backend_unref(peer);
}

static void
on_release(struct brf_conn *conn)
{
	struct brf_peers *peers = brf_peers_of(conn);

	free(client_conn(conn));
	brf_peers_check_closed(peers);
}

static const struct brf_conn_vt client_conn_vt = {
	.message = on_message,
	.fill = fill,
	.lost = on_lost,
	.release = on_release,
};

static void
close_idle(struct brf_client_conn *cc)
{
	uint64_t idle_us = brf_peers_of(&cc->conn)->config.idle_us;
	uint64_t since = now_of(cc) - cc->last_used;
	struct brf_error err;

	if (cc->open == 0 && brf_list_empty(&cc->peer->queue) &&
	    since >= idle_us) {
		brf_error_set(&err, BRF_E_CLOSED, 0, "idle");
		brf_conn_close(&cc->conn, &err);
		return;
	}
	brf_timer_start(brf_peers_of(&cc->conn)->config.timers, &cc->timer,
	    since < idle_us ? idle_us - since : idle_us);
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	struct brf_client_conn *cc = arg;
	struct brf_error err;

	(void)timer;
	if (cc->state == BRF_CLIENT_READY) {
		close_idle(cc);
		return;
	}
	brf_error_set(
	    &err, BRF_E_CONNECT, 0, "timeout of connect or handshake");
	brf_conn_close(&cc->conn, &err);
}

static void
fail_connect(struct brf_client_conn *cc, int status)
{
	struct brf_error err;

	brf_error_set(&err, BRF_E_CONNECT, status, "connect");
	brf_conn_close(&cc->conn, &err);
}

static void
on_connect(uv_connect_t *req, int status)
{
	struct brf_client_conn *cc = req->data;

	if (cc->conn.closing)
		return;
	if (status < 0) {
		fail_connect(cc, status);
		return;
	}
	brf_conn_start(&cc->conn);
	send_hello(cc);
}

void
brf_client_connect(struct brf_peer_backend *peer)
{
	struct brf_client_conn *cc = brf_calloc(1, sizeof(*cc));
	uint64_t delay = peer->peers->config.connect_us;
	size_t i;

	for (i = 0; i < BRF_XID_BUCKETS; i++)
		brf_list_init(&cc->written[i]);
	cc->peer = peer;
	cc->timer.fire = on_timer;
	cc->timer.arg = cc;
	cc->connect.data = cc;
	brf_conn_init(&cc->conn, &client_conn_vt, &peer->peers->set);
	peer->conn = cc;
	/* Fail from the timer, so that brf_send() returns first. */
	if (uv_tcp_connect(&cc->connect, &cc->conn.tcp,
		(const struct sockaddr *)&peer->addr, on_connect) < 0)
		delay = 0;
	brf_timer_start(peer->peers->config.timers, &cc->timer, delay);
}
