#include "base/log.h"
#include "mesh/node.h"

/**
 * DOC: The ready and admin listeners: readiness checks by the platform,
 * announcements of the target, and metrics and crashes for operators.
 */

#define CRASHES_PATH "/crashes"

static void
answer_ready(struct brf_mesh_node *node, struct brf_http_request *http)
{
	brf_respond_status(http, brf_mesh_node_is_ready(node) ? 200 : 503);
}

static void
answer_metrics(
    struct brf_mesh_node *node, struct brf_http_request *http, const char *path)
{
	if (strcmp(path, "/metrics") != 0) {
		brf_respond_status(http, 404);
		return;
	}
	brf_mesh_gauges_update(&node->gauges, node);
	brf_respond_metrics(http, node->metrics);
}

/* GET CRASHES_PATH lists the suspects; DELETE of one, by caller and key, lifts
 * it. */
static void
answer_crashes(struct brf_mesh_node *node, struct brf_http_request *http,
    const struct brf_message *m)
{
	struct brf_buf body = { .data = NULL };
	char caller[BRF_NAME_MAX + 1] = "";
	const char *name = m->path + strlen(CRASHES_PATH), *slash;
	struct brf_request_key key;

	if (strcmp(m->method, "GET") == 0 && name[0] == '\0') {
		brf_mesh_crashes_list(node->crashes, &body);
		brf_respond_json(http, 200, &body);
		return;
	}
	slash = name[0] == '/' ? strchr(name + 1, '/') : NULL;
	if (strcmp(m->method, "DELETE") != 0 || slash == NULL ||
	    (size_t)(slash - name) > sizeof(caller) ||
	    !brf_request_key_read(&key, slash + 1)) {
		brf_respond_status(http, 400);
		return;
	}
	memcpy(caller, name + 1, (size_t)(slash - name) - 1);
	brf_respond_status(http,
	    brf_mesh_crashes_lift(node->crashes, caller, &key) ? 204 : 404);
}

static void
answer_other(struct brf_mesh_node *node, struct brf_http_request *http,
    const struct brf_message *m)
{
	if (strncmp(m->path, CRASHES_PATH, strlen(CRASHES_PATH)) == 0)
		answer_crashes(node, http, m);
	else
		answer_metrics(node, http, m->path);
}

static void
acknowledge(struct brf_mesh_node *node, struct brf_http_request *http,
    const struct brf_target_announcement *notice)
{
	if (!brf_local_target_heeds(&node->local, notice))
		brf_respond_status(http, 503);
	else if (notice->state != BRF_TARGET_READY &&
		 brf_registration_is_pending(node->registration, notice->id))
		brf_mesh_acks_add(&node->acks, http, notice->id);
	else
		brf_mesh_acknowledge(http);
}

static void
answer_request(struct brf_mesh_node *node, struct brf_http_request *http)
{
	const struct brf_message *m = brf_http_request_message(http);
	struct brf_error err = { .code = BRF_OK };
	struct brf_target_announcement notice;

	switch (node->adapter->vt->read_request(m, &notice, &err)) {
	case BRF_MESH_REQUEST_READY:
		answer_ready(node, http);
		break;
	case BRF_MESH_REQUEST_ANNOUNCE:
		brf_mesh_node_announce(node, &notice);
		acknowledge(node, http, &notice);
		break;
	case BRF_MESH_REQUEST_WITHDRAW:
		brf_mesh_node_withdraw(node, notice.id);
		notice.state = BRF_TARGET_LEFT;
		acknowledge(node, http, &notice);
		break;
	case BRF_MESH_REQUEST_MALFORMED:
		brf_log(BRF_LOG_WARN, "announcement_refused", BRF_LE(&err));
		brf_respond_status(http, 400);
		break;
	case BRF_MESH_REQUEST_OTHER:
		answer_other(node, http, m);
		break;
	}
}

static void
ready_handle(struct brf_http_handler *handler, struct brf_http_request *http)
{
	answer_request(
	    brf_container_of(handler, struct brf_mesh_node, ready_handler),
	    http);
}

static void
admin_handle(struct brf_http_handler *handler, struct brf_http_request *http)
{
	answer_request(
	    brf_container_of(handler, struct brf_mesh_node, admin_handler),
	    http);
}

static void
ready_disconnected(
    struct brf_http_handler *handler, struct brf_http_request *http)
{
	struct brf_mesh_node *node =
	    brf_container_of(handler, struct brf_mesh_node, ready_handler);

	brf_mesh_acks_disconnected(&node->acks, http);
}

static void
admin_disconnected(
    struct brf_http_handler *handler, struct brf_http_request *http)
{
	struct brf_mesh_node *node =
	    brf_container_of(handler, struct brf_mesh_node, admin_handler);

	brf_mesh_acks_disconnected(&node->acks, http);
}

static const struct brf_http_handler_vt ready_vt = {
	.handle = ready_handle,
	.disconnected = ready_disconnected,
};

static const struct brf_http_handler_vt admin_vt = {
	.handle = admin_handle,
	.disconnected = admin_disconnected,
};

void
brf_mesh_admin_init(struct brf_mesh_node *node)
{
	node->ready_handler.vt = &ready_vt;
	node->admin_handler.vt = &admin_vt;
}
