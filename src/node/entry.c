#include "config/keys.h"
#include "node/node.h"
#include "node/pending.h"

/**
 * DOC: HTTP listener for callers.
 */

static struct brf_node *
node_of(struct brf_http_handler *handler)
{
	return (brf_container_of(handler, struct brf_node, entry_handler));
}

/* Reads the workspace token; false if it is wrong, or missing but required. */
static bool
find_workspace(const struct brf_node *node, const struct brf_http_request *http,
    char out[BRF_NAME_MAX + 1])
{
	const char *token =
	    brf_message_header(brf_http_request_message(http), BRF_H_WORKSPACE);

	out[0] = '\0';
	if (token == NULL)
		return (!node->settings.workspace_required);
	if (node->workspace_keys == NULL)
		return (false);
	return (
	    brf_workspace_token_check(node->workspace_keys, token, out, NULL));
}

static void
entry_handle(struct brf_http_handler *handler, struct brf_http_request *http)
{
	struct brf_node *node = node_of(handler);
	char service[BRF_NAME_MAX + 1], workspace[BRF_NAME_MAX + 1];
	struct brf_call_request rq = {
		.service = service, .workspace = workspace, .attributed = true
	};

	if (!brf_pending_parse_service(http, service))
		brf_pending_refuse(http, BRF_R_NO_SERVICE);
	else if (!find_workspace(node, http, workspace))
		brf_pending_refuse(http, BRF_R_UNAUTHENTICATED);
	else
		brf_pending_start(&node->call_context, http, &rq);
}

static void
entry_disconnected(
    struct brf_http_handler *handler, struct brf_http_request *http)
{
	(void)handler;
	brf_pending_disconnected(http);
}

static const struct brf_http_handler_vt entry_vt = {
	.handle = entry_handle,
	.disconnected = entry_disconnected,
};

void
brf_entry_init(struct brf_node *node)
{
	node->entry_handler.vt = &entry_vt;
}
