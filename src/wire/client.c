#include <stdlib.h>

#include "wire/client.h"
#include "wire/codec.h"

/**
 * struct attempt_call - a call of BRF_PEER_CALL.
 * @x: the exchange that it carries
 */
struct attempt_call {
	struct brf_peer_call call;
	struct brf_exchange *x;
};

static uint64_t
now_of(const struct brf_peer_backend *peer)
{
	return (brf_now(brf_timers_clock(peer->peers->config.timers)));
}

void
brf_peer_backend_unref(struct brf_peer_backend *peer)
{
	struct brf_error err;

	peer->refs--;
	if (!peer->removed || peer->refs != 0)
		return;
	if (peer->conn != NULL) {
		/* The connection's end calls this function again. */
		brf_error_set(&err, BRF_E_CLOSED, 0, "backend removed");
		brf_conn_close(&peer->conn->conn, &err);
		return;
	}
	brf_list_remove(&peer->link);
	free(peer);
}

void
brf_peer_call_detach(struct brf_peer_call *call)
{
	struct brf_client_conn *cc = call->cc;

	brf_timer_stop(call->peer->peers->config.timers, &call->timer);
	brf_list_remove(&call->link);
	if (cc == NULL)
		return;
	cc->open--;
	cc->last_used = now_of(call->peer);
}

static uint64_t
time_left(const struct brf_peer_call *call)
{
	uint64_t now = now_of(call->peer);

	return (call->deadline > now ? call->deadline - now : 0);
}

static void
start_timer(struct brf_peer_call *call, uint64_t delay)
{
	brf_timer_start(call->peer->peers->config.timers, &call->timer, delay);
}

/* Request the cancellation, and wait at most @wait us for the call's reply. */
static void
cancel_written(
    struct brf_peer_call *call, enum brf_reason cancel_reason, uint64_t wait)
{
	const struct brf_id *attempt = brf_peer_call_attempt_id(call);

	call->state = BRF_PEER_CALL_CANCELLED;
	call->cancel_reason = cancel_reason;
	start_timer(call, wait);
	/* After the loss of its connection, the call is about to end. */
	if (attempt != NULL && call->cc != NULL)
		brf_client_send_cancel(call->cc, *attempt);
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	struct brf_peer_call *call = arg;

	(void)timer;
	if (call->state == BRF_PEER_CALL_QUEUED)
		call->vt->on_fail(call, BRF_NOT_RUN, BRF_R_EXPIRED);
	else if (call->state == BRF_PEER_CALL_CANCELLED)
		call->vt->on_fail(call, BRF_UNKNOWN, call->cancel_reason);
	else
		cancel_written(call, BRF_R_TIMEOUT, BRF_PEER_EXPIRED_WAIT_US);
}

void
brf_peer_call_open(struct brf_peer_call *call, struct brf_peer_backend *peer,
    uint64_t timeout_us)
{
	uint64_t now = now_of(peer);

	call->peer = peer;
	call->state = BRF_PEER_CALL_QUEUED;
	call->deadline =
	    timeout_us < UINT64_MAX - now ? now + timeout_us : UINT64_MAX;
	call->timer.fire = on_timer;
	call->timer.arg = call;
	brf_list_init(&call->link);
	brf_list_append(&peer->queue, &call->link);
	peer->refs++;
	peer->peers->calls_sent->value++;
	start_timer(call, timeout_us);
	if (peer->peers->closing) {
		call->vt->on_fail(call, BRF_NOT_RUN, BRF_R_NOT_SENT);
		return;
	}
	if (peer->conn == NULL)
		brf_client_connect(peer);
	brf_conn_schedule_write(&peer->conn->conn);
}

void
brf_peer_call_cancel(struct brf_peer_call *call)
{
	uint64_t wait;

	if (call->state == BRF_PEER_CALL_QUEUED) {
		call->vt->on_fail(call, BRF_NOT_RUN, BRF_R_CANCELLED);
		return;
	}
	if (call->state == BRF_PEER_CALL_CANCELLED)
		return;
	wait = time_left(call);
	if (wait > BRF_PEER_CANCEL_WAIT_US)
		wait = BRF_PEER_CANCEL_WAIT_US;
	if (wait < BRF_PEER_EXPIRED_WAIT_US)
		wait = BRF_PEER_EXPIRED_WAIT_US;
	cancel_written(call, BRF_R_CANCELLED, wait);
}

static struct attempt_call *
attempt_call(const struct brf_peer_call *call)
{
	return (brf_container_of(call, struct attempt_call, call));
}

static void
end_attempt(struct brf_peer_call *call, const struct brf_reply *reply)
{
	struct brf_peer_backend *peer = call->peer;
	struct brf_exchange *x = attempt_call(call)->x;

	brf_peer_call_detach(call);
	free(attempt_call(call));
	x->impl = NULL;
	x->done(x, reply);
	brf_peer_backend_unref(peer);
}

static size_t
attempt_max_size(const struct brf_peer_call *call)
{
	return (brf_attempt_max_size(&attempt_call(call)->x->attempt));
}

static bool
attempt_encode(const struct brf_peer_call *call, XDR *xdr)
{
	return (brf_attempt_encode(
	    xdr, &attempt_call(call)->x->attempt, time_left(call)));
}

/* An attempt that did not run has used no retries: return all of them. */
static void
attempt_on_fail(struct brf_peer_call *call, enum brf_outcome outcome,
    enum brf_reason reason)
{
	struct brf_reply reply = { .outcome = outcome, .reason = reason };

	if (outcome == BRF_NOT_RUN)
		reply.retries = attempt_call(call)->x->attempt.retries;
	end_attempt(call, &reply);
}

/*
 * The gate reports the cancellation of an expired attempt as BRF_R_CANCELLED,
 * because BRF_PEER_CANCEL has no reason.
 */
static void
set_timeout_reason(const struct brf_peer_call *call, struct brf_reply *reply)
{
	if (call->state != BRF_PEER_CALL_CANCELLED ||
	    call->cancel_reason != BRF_R_TIMEOUT ||
	    reply->reason != BRF_R_CANCELLED)
		return;
	reply->reason =
	    reply->outcome == BRF_NOT_RUN ? BRF_R_EXPIRED : BRF_R_TIMEOUT;
}

static void
attempt_on_reply(
    struct brf_peer_call *call, XDR *xdr, const struct brf_record *record)
{
	const struct brf_attempt *a = &attempt_call(call)->x->attempt;
	struct brf_message *answer;
	struct brf_reply reply;
	struct brf_error err;
	bool ok = brf_reply_decode(xdr, a->id, &reply, &err);

	if (ok && !brf_rpc_at_end(xdr, record)) {
		brf_message_unref(reply.answer);
		ok = brf_error_set(&err, BRF_E_RPC_ARGUMENT, 0,
		    "trailing bytes after the reply");
	}
	if (!ok) {
		brf_peers_report_fault(call->peer->peers, &err);
		attempt_on_fail(call, BRF_UNKNOWN, BRF_R_BROKEN_ANSWER);
		return;
	}
	if (reply.retries > a->retries)
		reply.retries = a->retries;
	set_timeout_reason(call, &reply);
	answer = reply.answer;
	end_attempt(call, &reply);
	brf_message_unref(answer);
}

static const struct brf_peer_call_vt attempt_vt = {
	.procedure = BRF_PEER_CALL,
	.max_size = attempt_max_size,
	.encode = attempt_encode,
	.on_reply = attempt_on_reply,
	.on_fail = attempt_on_fail,
};

const struct brf_id *
brf_peer_call_attempt_id(const struct brf_peer_call *call)
{
	if (call->vt != &attempt_vt)
		return (NULL);
	return (&attempt_call(call)->x->attempt.id);
}

static struct brf_peer_backend *
peer_backend(struct brf_backend *backend)
{
	return (brf_container_of(backend, struct brf_peer_backend, backend));
}

static void
send_attempt(struct brf_backend *backend, struct brf_exchange *x)
{
	struct attempt_call *ac = brf_calloc(1, sizeof(*ac));

	ac->call.vt = &attempt_vt;
	ac->x = x;
	x->impl = ac;
	brf_peer_call_open(
	    &ac->call, peer_backend(backend), x->attempt.timeout_us);
}

static void
cancel_attempt(struct brf_backend *backend, struct brf_exchange *x)
{
	struct attempt_call *ac = x->impl;

	(void)backend;
	if (ac != NULL)
		brf_peer_call_cancel(&ac->call);
}

static const struct brf_backend_vt backend_vt = {
	.send = send_attempt,
	.cancel = cancel_attempt,
};

static size_t
address_size(const struct sockaddr *addr)
{
	return (addr->sa_family == AF_INET6 ? sizeof(struct sockaddr_in6)
					    : sizeof(struct sockaddr_in));
}

static struct brf_peer_backend *
find_backend(
    struct brf_peers *peers, const struct sockaddr *addr, struct brf_id node)
{
	struct brf_peer_backend *peer;
	struct brf_list *l;

	brf_list_foreach (l, &peers->backends) {
		peer = brf_list_entry(l, struct brf_peer_backend, link);
		if (!peer->removed && brf_id_equal(peer->node, node) &&
		    memcmp(&peer->addr, addr, address_size(addr)) == 0)
			return (peer);
	}
	return (NULL);
}

struct brf_backend *
brf_peers_backend(
    struct brf_peers *peers, const struct sockaddr *addr, struct brf_id node)
{
	struct brf_peer_backend *peer = find_backend(peers, addr, node);

	if (peer != NULL)
		return (&peer->backend);
	peer = brf_calloc(1, sizeof(*peer));
	peer->backend.vt = &backend_vt;
	peer->peers = peers;
	peer->node = node;
	memcpy(&peer->addr, addr, address_size(addr));
	brf_list_init(&peer->queue);
	brf_list_append(&peers->backends, &peer->link);
	return (&peer->backend);
}

void
brf_peers_remove_backend(struct brf_peers *peers, struct brf_backend *backend)
{
	struct brf_peer_backend *peer = peer_backend(backend);

	(void)peers;
	peer->removed = true;
	peer->refs++;
	brf_peer_backend_unref(peer);
}

uint64_t
brf_peers_bytes(const struct brf_backend *backend)
{
	const struct brf_peer_backend *peer =
	    brf_container_of(backend, struct brf_peer_backend, backend);

	if (peer->conn == NULL)
		return (peer->closed_bytes);
	return (peer->closed_bytes + peer->conn->conn.accepted +
		peer->conn->conn.received);
}

void
brf_client_free_backends(struct brf_peers *peers)
{
	struct brf_list *l, *tmp;

	brf_list_foreach_safe (l, tmp, &peers->backends)
		free(brf_list_entry(l, struct brf_peer_backend, link));
}
