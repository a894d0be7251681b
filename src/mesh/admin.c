#include "base/log.h"
#include "mesh/node.h"

/**
 * DOC: The listeners for the platform, the target and operators.
 */

static void
answer_json(struct brf_http_request *http, int status, const char *text)
{
	struct brf_buf body = { .data = NULL };

	brf_buf_puts(&body, text);
	brf_respond_json(http, status, &body);
}

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
	brf_mesh_gauges_read(&node->gauges, node);
	brf_respond_metrics(http, node->metrics);
}

static void
answer_question(struct brf_mesh_node *node, struct brf_http_request *http)
{
	const struct brf_message *m = brf_http_request_message(http);
	struct brf_error err = { .code = BRF_OK };
	struct brf_notice notice;

	switch (node->adapter->vt->read_question(m, &notice, &err)) {
	case BRF_MESH_READY:
		answer_ready(node, http);
		break;
	case BRF_MESH_NOTICE:
		brf_mesh_node_notice(node, &notice);
		answer_json(http, 200, "{}");
		break;
	case BRF_MESH_LEAVE:
		brf_mesh_node_leave(node, notice.id);
		answer_json(http, 200, "{}");
		break;
	case BRF_MESH_BAD:
		brf_log(BRF_LOG_WARN, "announcement_refused", BRF_LE(&err));
		brf_respond_status(http, 400);
		break;
	case BRF_MESH_OTHER:
		answer_metrics(node, http, m->path);
		break;
	}
}

static void
ready_handle(struct brf_http_handler *handler, struct brf_http_request *http)
{
	answer_question(
	    brf_container_of(handler, struct brf_mesh_node, ready_handler),
	    http);
}

static void
admin_handle(struct brf_http_handler *handler, struct brf_http_request *http)
{
	answer_question(
	    brf_container_of(handler, struct brf_mesh_node, admin_handler),
	    http);
}

static void
gone(struct brf_http_handler *handler, struct brf_http_request *http)
{
	(void)handler; /* everything is answered at once */
	(void)http;
}

static const struct brf_http_handler_vt ready_vt = {
	.handle = ready_handle,
	.disconnected = gone,
};

static const struct brf_http_handler_vt admin_vt = {
	.handle = admin_handle,
	.disconnected = gone,
};

void
brf_mesh_admin_init(struct brf_mesh_node *node)
{
	node->ready_handler.vt = &ready_vt;
	node->admin_handler.vt = &admin_vt;
}
