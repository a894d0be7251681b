#include "base/log.h"
#include "node/announce.h"
#include "node/node.h"
#include "node/pending.h"

#define HEARTBEATS_MISSED 3u

/**
 * DOC: What this VM's target says to its node, over loopback HTTP.
 *
 * Its announcements, and its own outgoing calls.  A path below /brf/ is the
 * node's; any other one is an outgoing call.
 */

static struct brf_node *
node_of(struct brf_http_handler *handler)
{
	return (brf_container_of(handler, struct brf_node, local_handler));
}

static void
respond_state(struct brf_node *node, struct brf_http_request *http)
{
	struct brf_buf text = { 0 };

	brf_buf_printf(&text,
	    "{\"announced\":%s,\"draining\":%s,\"service\":\"%s\"}\n",
	    node->announced ? "true" : "false",
	    node->target_draining ? "true" : "false", node->upstream.service);
	brf_respond_json(http, 200, &text);
}

static void
respond_error(
    struct brf_http_request *http, int status, const struct brf_error *err)
{
	struct brf_buf text = { 0 };

	brf_buf_printf(&text, "{\"error\":\"%s\",\"detail\":\"",
	    brf_error_name(err->code));
	brf_buf_put_json(&text, err->detail, strlen(err->detail));
	brf_buf_puts(&text, "\"}\n");
	brf_respond_json(http, status, &text);
}

static void
forget_target(struct brf_node *node, const char *why)
{
	brf_timer_stop(node->timers, &node->heartbeat);
	if (!node->announced)
		return;
	brf_log(BRF_LOG_INFO, "target_withdrawn",
	    BRF_LS("service", node->upstream.service), BRF_LS("why", why));
	node->announced = false;
	node->target = NULL;
	brf_gate_detach(node->gate);
	brf_node_publish(node);
}

static void
heartbeat_missed(struct brf_timer *timer, void *arg)
{
	(void)timer;
	forget_target(arg, "heartbeat_missed");
}

static bool
same_target(const struct brf_node *node, const struct brf_upstream *up)
{
	return (node->announced && node->upstream.port == up->port &&
		node->upstream.connections == up->connections &&
		strcmp(node->upstream.service, up->service) == 0);
}

/* A repeated announcement must not start the warm-up again. */
static void
accept_target(struct brf_node *node, const struct brf_upstream *up)
{
	bool same = same_target(node, up);
	bool changed =
	    !same || up->slots != node->upstream.slots || node->target_draining;

	if (!changed)
		return;
	node->upstream = *up;
	node->target_draining = false;
	if (same) {
		brf_gate_update(node->gate, up);
	} else {
		node->target =
		    brf_http_target_new(node->http, up->port, up->connections);
		brf_gate_attach(
		    node->gate, node->target, up, brf_http_target_free);
	}
	node->announced = true;
	brf_gate_refuse(node->gate, node->phase != BRF_PHASE_SERVING);
	brf_log(BRF_LOG_INFO, "target_announced",
	    BRF_LS("service", up->service), BRF_LU("port", up->port),
	    BRF_LU("slots", up->slots));
	brf_node_publish(node);
}

static void
announce(struct brf_node *node, struct brf_http_request *http)
{
	const struct brf_message *m = brf_http_request_message(http);
	struct brf_error err = { 0 };
	struct brf_upstream up;
	uint64_t heartbeat;

	if (!brf_announce_parse(m->body.data != NULL ? m->body.data : "",
		m->body.len, &up, &heartbeat, &err)) {
		respond_error(http, 400, &err);
		return;
	}
	accept_target(node, &up);
	if (heartbeat != 0)
		brf_timer_start(node->timers, &node->heartbeat,
		    heartbeat * HEARTBEATS_MISSED);
	else
		brf_timer_stop(node->timers, &node->heartbeat);
	respond_state(node, http);
}

static void
drain_target(struct brf_node *node, struct brf_http_request *http)
{
	if (node->announced && !node->target_draining) {
		node->target_draining = true;
		brf_gate_refuse(node->gate, true);
		brf_log(BRF_LOG_INFO, "target_draining",
		    BRF_LS("service", node->upstream.service));
		brf_node_publish(node);
	}
	respond_state(node, http);
}

static void
withdraw(struct brf_node *node, struct brf_http_request *http)
{
	forget_target(node, "asked");
	respond_state(node, http);
}

static void
show(struct brf_node *node, struct brf_http_request *http)
{
	respond_state(node, http);
}

static const struct {
	const char *method;
	const char *path;
	void (*run)(struct brf_node *node, struct brf_http_request *http);
} commands[] = {
	{ "PUT", "/brf/v1/target", announce },
	{ "GET", "/brf/v1/target", show },
	{ "POST", "/brf/v1/target/drain", drain_target },
	{ "DELETE", "/brf/v1/target", withdraw },
};

static void
run_command(struct brf_node *node, struct brf_http_request *http)
{
	const struct brf_message *m = brf_http_request_message(http);
	struct brf_error err = { 0 };
	size_t i;

	for (i = 0; i < brf_nitems(commands); i++) {
		if (strcmp(m->method, commands[i].method) == 0 &&
		    strcmp(m->path, commands[i].path) == 0) {
			commands[i].run(node, http);
			return;
		}
	}
	brf_error_set(&err, BRF_E_NOT_FOUND, 0, "%s %s", m->method, m->path);
	respond_error(http, 404, &err);
}

/* An outgoing call that names no attempt that runs here is not tied. */
static void
outgoing_call(struct brf_node *node, struct brf_http_request *http)
{
	const char *text =
	    brf_message_header(brf_http_request_message(http), BRF_H_REQUEST);
	char service[BRF_NAME_MAX + 1];
	struct brf_call_request rq = {
		.service = service, .workspace = "", .nested = true
	};
	struct brf_id id;

	if (!brf_pending_service(http, service)) {
		brf_pending_refuse(http, BRF_R_NO_SERVICE);
		return;
	}
	if (text != NULL && brf_id_parse(text, strlen(text), &id))
		rq.inbound = brf_gate_inbound(node->gate, id);
	if (rq.inbound != NULL) {
		rq.tied = true;
		rq.workspace = rq.inbound->workspace;
	}
	brf_pending_start(&node->caller, http, &rq);
}

static void
local_handle(struct brf_http_handler *handler, struct brf_http_request *http)
{
	struct brf_node *node = node_of(handler);
	const char *path = brf_http_request_message(http)->path;

	if (strncmp(path, "/brf/", 5) == 0)
		run_command(node, http);
	else
		outgoing_call(node, http);
}

static void
local_gone(struct brf_http_handler *handler, struct brf_http_request *http)
{
	(void)handler;
	brf_pending_gone(http);
}

static const struct brf_http_handler_vt local_vt = {
	.handle = local_handle,
	.disconnected = local_gone,
};

void
brf_local_init(struct brf_node *node)
{
	node->local_handler.vt = &local_vt;
	node->heartbeat.fire = heartbeat_missed;
	node->heartbeat.arg = node;
}
