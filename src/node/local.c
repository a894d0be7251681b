#include "base/log.h"
#include "node/announce.h"
#include "node/node.h"
#include "node/pending.h"

#define HEARTBEATS_MISSED 3u /* periods after which a target is withdrawn */

/**
 * DOC: HTTP listener on loopback for this VM's target.
 *
 * The target announces itself and sends its outgoing calls here.  A request for
 * a path below /brf/ is a command to the node; any other one is an outgoing
 * call.
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
	    node->target_draining ? "true" : "false",
	    node->announcement.service);
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
detach_target(struct brf_node *node, const char *why)
{
	brf_timer_stop(node->timers, &node->heartbeat);
	if (!node->announced)
		return;
	brf_log(BRF_LOG_INFO, "target_withdrawn",
	    BRF_LS("service", node->announcement.service), BRF_LS("why", why));
	node->announced = false;
	node->target = NULL;
	brf_gate_detach(node->gate);
	brf_node_publish_state(node);
}

static void
heartbeat_missed(struct brf_timer *timer, void *arg)
{
	(void)timer;
	detach_target(arg, "heartbeat_missed");
}

static bool
same_target(const struct brf_node *node, const struct brf_announcement *ann)
{
	return (node->announced && node->announcement.port == ann->port &&
		node->announcement.connections == ann->connections &&
		strcmp(node->announcement.service, ann->service) == 0);
}

/* An announcement without a change is ignored, since a repeated one must not
 * restart the warm-up. */
static void
accept_target(struct brf_node *node, const struct brf_announcement *ann)
{
	bool same = same_target(node, ann);
	bool changed = !same || ann->slots != node->announcement.slots ||
		       node->target_draining;

	if (!changed)
		return;
	node->announcement = *ann;
	node->target_draining = false;
	if (same) {
		brf_gate_update(node->gate, ann);
	} else {
		node->target = brf_http_target_new(
		    node->http, ann->port, ann->connections);
		brf_gate_attach(
		    node->gate, node->target, ann, brf_http_target_free);
	}
	node->announced = true;
	brf_gate_set_draining(node->gate, node->phase != BRF_PHASE_SERVING);
	brf_log(BRF_LOG_INFO, "target_announced",
	    BRF_LS("service", ann->service), BRF_LU("port", ann->port),
	    BRF_LU("slots", ann->slots));
	brf_node_publish_state(node);
}

static void
announce_target(struct brf_node *node, struct brf_http_request *http)
{
	const struct brf_message *m = brf_http_request_message(http);
	struct brf_error err = { 0 };
	struct brf_announcement ann;
	uint64_t heartbeat;

	if (!brf_announce_parse(m->body.data != NULL ? m->body.data : "",
		m->body.len, &ann, &heartbeat, &err)) {
		respond_error(http, 400, &err);
		return;
	}
	accept_target(node, &ann);
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
		brf_gate_set_draining(node->gate, true);
		brf_log(BRF_LOG_INFO, "target_draining",
		    BRF_LS("service", node->announcement.service));
		brf_node_publish_state(node);
	}
	respond_state(node, http);
}

static void
withdraw_target(struct brf_node *node, struct brf_http_request *http)
{
	detach_target(node, "asked");
	respond_state(node, http);
}

static void
show_target(struct brf_node *node, struct brf_http_request *http)
{
	respond_state(node, http);
}

static const struct {
	const char *method;
	const char *path;
	void (*run)(struct brf_node *node, struct brf_http_request *http);
} commands[] = {
	{ "PUT", "/brf/v1/target", announce_target },
	{ "GET", "/brf/v1/target", show_target },
	{ "POST", "/brf/v1/target/drain", drain_target },
	{ "DELETE", "/brf/v1/target", withdraw_target },
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

/* Attributes the call to the running attempt whose id is in its BRF_H_REQUEST
 * field; it stays unattributed if there is none. */
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

	if (!brf_pending_parse_service(http, service)) {
		brf_pending_refuse(http, BRF_R_NO_SERVICE);
		return;
	}
	if (text != NULL && brf_id_parse(text, strlen(text), &id))
		rq.inbound = brf_gate_inbound(node->gate, id);
	if (rq.inbound != NULL) {
		rq.attributed = true;
		rq.workspace = rq.inbound->workspace;
	}
	brf_pending_start(&node->call_context, http, &rq);
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
local_disconnected(
    struct brf_http_handler *handler, struct brf_http_request *http)
{
	(void)handler;
	brf_pending_disconnected(http);
}

static const struct brf_http_handler_vt local_vt = {
	.handle = local_handle,
	.disconnected = local_disconnected,
};

void
brf_local_init(struct brf_node *node)
{
	node->local_handler.vt = &local_vt;
	node->heartbeat.fire = heartbeat_missed;
	node->heartbeat.arg = node;
}
