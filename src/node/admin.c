#include <arpa/inet.h>

#include <jansson.h>

#include "node/burn.h"
#include "node/node.h"
#include "node/pending.h"

/**
 * DOC: Read-only HTTP listener for operators and their tools: status, members,
 * services, routing decisions, burn of objectives, and metrics.
 */

static struct brf_node *
node_of(struct brf_http_handler *handler)
{
	return (brf_container_of(handler, struct brf_node, admin_handler));
}

static uint64_t
now(const struct brf_node *node)
{
	return (brf_now(brf_timers_clock(node->timers)));
}

static json_t *
id_json(struct brf_id id)
{
	char text[BRF_ID_TEXT];

	brf_id_format(id, text);
	return (json_string(text));
}

/* Answers with @value and drops the reference to it. */
static void
respond(struct brf_http_request *http, json_t *value)
{
	struct brf_buf text = { 0 };
	char *dump = json_dumps(value, JSON_COMPACT);

	brf_buf_puts(&text, dump != NULL ? dump : "null");
	brf_buf_putc(&text, '\n');
	free(dump);
	json_decref(value);
	brf_respond_json(http, 200, &text);
}

static void
add_document(const char *service, uint64_t revision, const char *text,
    size_t len, void *arg)
{
	json_array_append_new(
	    arg, json_pack("{s:s, s:I, s:b}", "service", service, "revision",
		     (json_int_t)revision, "deleted", text == NULL));
	(void)len;
}

static const char *const phase_names[] = { "serving", "draining", "lingering",
	"closed" };

static json_t *
store_json(const struct brf_node *node)
{
	struct brf_sync_status st;

	if (node->sync == NULL)
		return (json_null());
	brf_sync_status(node->sync, &st);
	return (json_pack("{s:s, s:I, s:f, s:i, s:I}", "state",
	    brf_sync_state_name(st.state), "revision", (json_int_t)st.revision,
	    "heard_s",
	    st.last_response_us != 0
		? (double)(now(node) - st.last_response_us) / BRF_US_PER_S
		: -1.0,
	    "behind", (int)st.behind, "refused", (json_int_t)st.refused));
}

static void
status(struct brf_node *node, struct brf_http_request *http)
{
	const struct brf_member *self = brf_members_self(node->members);
	json_t *docs = json_array();
	struct brf_level level;
	json_t *o;

	brf_docs_each(node->docs, add_document, docs);
	brf_gate_level(node->gate, &level);
	o = json_pack("{s:o, s:s, s:s, s:s, s:s, s:s, s:s, s:f, s:I}", "node",
	    id_json(self->node), "version", BRF_VERSION, "zone", self->zone,
	    "region", self->region, "phase", phase_names[node->phase], "state",
	    brf_member_state_name(self->state), "service", self->service,
	    "uptime_s", (double)(now(node) - node->started) / BRF_US_PER_S,
	    "members", (json_int_t)brf_members_count(node->members));
	json_object_set_new(o, "documents", docs);
	json_object_set_new(o, "store", store_json(node));
	json_object_set_new(o, "calls_open",
	    json_integer((json_int_t)node->call_context.open_calls));
	json_object_set_new(o, "attempts_open",
	    json_integer((json_int_t)brf_gate_open_attempts(node->gate)));
	json_object_set_new(o, "level",
	    json_pack("{s:i, s:i, s:i, s:i}", "cut", (int)level.cut,
		"in_flight", (int)level.in_flight, "waiting",
		(int)level.waiting, "limit", (int)level.limit));
	respond(http, o);
}

struct listing {
	struct brf_node *node;
	json_t *out;
};

static const char *
why_no_work(const struct brf_member *m)
{
	static const char *const why[] = {
		[BRF_MEMBER_STARTING] = "its target has not announced itself",
		[BRF_MEMBER_READY] = "",
		[BRF_MEMBER_DRAINING] = "it drains",
		[BRF_MEMBER_SUSPECT] = "it does not answer probes",
		[BRF_MEMBER_GONE] = "it left or failed",
	};

	return (why[m->state]);
}

/* Time since the last report about @m, microseconds; 0 for this node itself,
 * which receives no reports about itself. */
static uint64_t
last_report_age(const struct brf_node *node, const struct brf_member *m)
{
	uint64_t t = now(node);

	if (brf_id_equal(m->node, node->call_context.self) ||
	    t < m->last_update)
		return (0);
	return (t - m->last_update);
}

static bool
add_member(const struct brf_member *m, void *arg)
{
	struct listing *l = arg;
	char address[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &m->addr.sin_addr, address, sizeof(address));
	json_array_append_new(l->out,
	    json_pack("{s:o, s:I, s:s, s:i, s:i, s:i, s:i, s:s, s:s, s:s, "
		      "s:i, s:s, s:I, s:s}",
		"node", id_json(m->node), "incarnation",
		(json_int_t)m->incarnation, "address", address, "gossip_port",
		ntohs(m->addr.sin_port), "peer_port", m->rpc_port, "entry_port",
		m->entry_port, "admin_port", m->admin_port, "zone", m->zone,
		"region", m->region, "service", m->service, "slots",
		(int)m->slots, "state", brf_member_state_name(m->state),
		"heard_ms",
		(json_int_t)(last_report_age(l->node, m) / BRF_US_PER_MS),
		"why", why_no_work(m)));
	return (true);
}

static void
members(struct brf_node *node, struct brf_http_request *http)
{
	struct listing l = { .node = node, .out = json_array() };

	brf_members_each(node->members, add_member, &l);
	respond(http, l.out);
}

static void
add_to_count(json_t *object, const char *name, json_int_t by)
{
	json_t *v = json_object_get(object, name);

	json_object_set_new(
	    object, name, json_integer(json_integer_value(v) + by));
}

static bool
add_to_service(const struct brf_member *m, void *arg)
{
	struct listing *l = arg;
	struct brf_document *doc;
	json_t *o;

	if (m->service[0] == '\0' || m->state == BRF_MEMBER_GONE)
		return (true);
	o = json_object_get(l->out, m->service);
	if (o == NULL) {
		doc = brf_docs_get(l->node->docs, m->service);
		o = json_pack("{s:s, s:i, s:i, s:i, s:I}", "service",
		    m->service, "targets", 0, "ready", 0, "slots", 0,
		    "revision", (json_int_t)doc->revision);
		json_object_set_new(l->out, m->service, o);
	}
	add_to_count(o, "targets", 1);
	if (m->state == BRF_MEMBER_READY) {
		add_to_count(o, "ready", 1);
		add_to_count(o, "slots", m->slots);
	}
	return (true);
}

static void
services(struct brf_node *node, struct brf_http_request *http)
{
	struct listing l = { .node = node, .out = json_object() };
	json_t *list = json_array(), *o;
	const char *name;

	brf_members_each(node->members, add_to_service, &l);
	json_object_foreach (l.out, name, o)
		json_array_append(list, o);
	json_decref(l.out);
	respond(http, list);
}

static void
explain(struct brf_node *node, struct brf_http_request *http)
{
	const char *path = brf_http_request_message(http)->path;
	const char *service = strstr(path, "?service=");
	struct brf_buf text = { 0 };

	if (service == NULL) {
		brf_buf_puts(&text, "{\"error\":\"not_found\",\"detail\":"
				    "\"?service=NAME is missing\"}\n");
		brf_respond_json(http, 400, &text);
		return;
	}
	brf_router_explain(node->router, service + strlen("?service="), &text);
	brf_respond_json(http, 200, &text);
}

static void
metrics(struct brf_node *node, struct brf_http_request *http)
{
	brf_respond_metrics(http, node->metrics);
}

static void
burn(struct brf_node *node, struct brf_http_request *http)
{
	respond(http, brf_burn_json(node->call_context.burn, node->docs));
}

static const struct {
	const char *path;
	void (*run)(struct brf_node *node, struct brf_http_request *http);
} pages[] = {
	{ "/brf/v1/status", status },
	{ "/brf/v1/members", members },
	{ "/brf/v1/services", services },
	{ "/brf/v1/explain", explain },
	{ "/brf/v1/burn", burn },
	{ "/metrics", metrics },
};

static bool
path_is(const char *path, const char *page)
{
	size_t len = strlen(page);

	return (strncmp(path, page, len) == 0 &&
		(path[len] == '\0' || path[len] == '?'));
}

static void
admin_handle(struct brf_http_handler *handler, struct brf_http_request *http)
{
	const struct brf_message *m = brf_http_request_message(http);
	struct brf_buf text = { 0 };
	size_t i;

	for (i = 0; i < brf_nitems(pages); i++) {
		if (strcmp(m->method, "GET") == 0 &&
		    path_is(m->path, pages[i].path)) {
			pages[i].run(node_of(handler), http);
			return;
		}
	}
	brf_buf_printf(
	    &text, "{\"error\":\"%s\"}\n", brf_error_name(BRF_E_NOT_FOUND));
	brf_respond_json(http, 404, &text);
}

static void
admin_disconnected(
    struct brf_http_handler *handler, struct brf_http_request *http)
{
	(void)handler; /* never called: admin_handle() answers at once */
	(void)http;
}

static const struct brf_http_handler_vt admin_vt = {
	.handle = admin_handle,
	.disconnected = admin_disconnected,
};

void
brf_admin_init(struct brf_node *node)
{
	node->admin_handler.vt = &admin_vt;
}
