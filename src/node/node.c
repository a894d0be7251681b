#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>

#include "base/log.h"
#include "config/keys.h"
#include "config/store_client.h"
#include "member/udp.h"
#include "node/burn.h"
#include "node/node.h"

#define DRAIN_POLL_US (20 * BRF_US_PER_MS)
/* Of the limit of a graceful stop, for the answers to callers. */
#define ANSWER_US (200 * BRF_US_PER_MS)
#define PROBE_PERIOD_US BRF_US_PER_S
#define PEER_IDLE_US (60 * BRF_US_PER_S)
#define PEER_CONNECT_US (1 * BRF_US_PER_S)
#define STORE_TIMEOUT_US (2 * BRF_US_PER_S)
#define STORE_CALLS_PER_S 5.0
#define STORE_BURST 5.0

static uint64_t
now(const struct brf_node *node)
{
	return (brf_now(brf_timers_clock(node->timers)));
}

static void
tick(uv_timer_t *timer)
{
	struct brf_node *node = timer->data;

	brf_timers_run(node->timers);
	brf_node_arm_timer(node);
}

/* libuv timers have a resolution of a millisecond, so a timer may fire up to
 * one late; less under traffic, since the poll also returns for each packet. */
void
brf_node_arm_timer(struct brf_node *node)
{
	uint64_t at = brf_timers_next(node->timers), t = now(node);
	uint64_t ms;

	if (at == BRF_TIMER_NONE) {
		uv_timer_stop(&node->tick);
		return;
	}
	ms = at > t ? (at - t + BRF_US_PER_MS - 1) / BRF_US_PER_MS : 0;
	uv_update_time(&node->loop);
	uv_timer_start(&node->tick, tick, ms, 0);
}

static void
timers_changed(void *arg)
{
	brf_node_arm_timer(arg);
}

static void
signalled(uv_signal_t *signal, int number)
{
	(void)number;
	brf_node_drain(signal->data);
}

/* Settings come from flags and the environment, which do not change while the
 * process runs. */
static void
refuse_reload(uv_signal_t *signal, int number)
{
	(void)signal;
	brf_log(BRF_LOG_WARN, "reload_refused", BRF_LU("signal", number),
	    BRF_LS("why", "settings are read at the start only"));
}

static struct sockaddr_in
endpoint(struct in_addr address, uint16_t port)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
		.sin_addr = address,
		.sin_port = htons(port) };

	return (sin);
}

static void
create_loop(struct brf_node *node)
{
	uv_loop_init(&node->loop);
	uv_timer_init(&node->loop, &node->tick);
	uv_signal_init(&node->loop, &node->sigterm);
	uv_signal_init(&node->loop, &node->sigint);
	uv_signal_init(&node->loop, &node->sighup);
	node->tick.data = node;
	node->sigterm.data = node;
	node->sigint.data = node;
	uv_signal_start(&node->sigterm, signalled, SIGTERM);
	uv_signal_start(&node->sigint, signalled, SIGINT);
	uv_signal_start(&node->sighup, refuse_reload, SIGHUP);
	node->timers = brf_timers_new(brf_clock_system());
	brf_timers_on_change(node->timers, timers_changed, node);
	node->random = brf_random_system();
	node->metrics = brf_metrics_new();
	node->started = now(node);
}

static void
target_leaves(void *arg)
{
	brf_node_publish_state(arg);
}

static void
create_gate(struct brf_node *node, const struct brf_member *self)
{
	struct brf_gate_config config = { .timers = node->timers,
		.random = node->random,
		.metrics = node->metrics,
		.token_key = node->token_key,
		.self = self->node,
		.target_leaves = target_leaves,
		.arg = node };

	node->docs = brf_docs_new();
	node->anti_entropy = brf_anti_entropy_new(node->docs);
	config.docs = node->docs;
	node->gate = brf_gate_new(&config);
	brf_gate_on_abandon(node->gate, brf_call_abandon_link);
	node->http =
	    brf_http_loop_new(&node->loop, node->timers, node->metrics);
}

static bool
create_peers(
    struct brf_node *node, struct brf_member *self, struct brf_error *err)
{
	const struct brf_settings *set = &node->settings;
	struct sockaddr_in addr = endpoint(set->address, set->peer_port);
	struct brf_peers_config config = { .loop = &node->loop,
		.timers = node->timers,
		.random = node->random,
		.metrics = node->metrics,
		.gate = brf_gate_backend(node->gate),
		.documents = brf_anti_entropy_source(node->anti_entropy),
		.self = { .node = self->node },
		.key_len = set->fleet_key_len,
		.idle_us = PEER_IDLE_US,
		.connect_us = PEER_CONNECT_US };

	memcpy(config.key, set->fleet_key, set->fleet_key_len);
	node->peers = brf_peers_new(&config);
	return (brf_peers_listen(
	    node->peers, (struct sockaddr *)&addr, &self->rpc_port, err));
}

static bool
create_listeners(struct brf_node *node, struct brf_member *self,
    uint16_t *local_port, struct brf_error *err)
{
	const struct brf_settings *set = &node->settings;
	struct in_addr loopback = { .s_addr = htonl(INADDR_LOOPBACK) };
	struct sockaddr_in entry = endpoint(set->address, set->entry_port);
	struct sockaddr_in local = endpoint(loopback, set->local_port);
	struct sockaddr_in admin = endpoint(set->address, set->admin_port);

	brf_entry_init(node);
	brf_local_init(node);
	brf_admin_init(node);
	node->entry =
	    brf_http_server_new(node->http, "entry", (struct sockaddr *)&entry,
		&node->entry_handler, &self->entry_port, err);
	if (node->entry == NULL)
		return (false);
	node->local = brf_http_server_new(node->http, "local",
	    (struct sockaddr *)&local, &node->local_handler, local_port, err);
	if (node->local == NULL)
		return (false);
	node->admin =
	    brf_http_server_new(node->http, "admin", (struct sockaddr *)&admin,
		&node->admin_handler, &self->admin_port, err);
	return (node->admin != NULL);
}

static bool
create_members(
    struct brf_node *node, struct brf_member *self, struct brf_error *err)
{
	const struct brf_settings *set = &node->settings;
	struct sockaddr_in addr = endpoint(set->address, set->gossip_port);
	struct brf_members_config config = { .timers = node->timers,
		.random = node->random,
		.metrics = node->metrics,
		.seed_count = set->seed_count,
		.key_len = set->fleet_key_len,
		.period_us = PROBE_PERIOD_US };

	node->udp =
	    brf_udp_new(&node->loop, node->metrics, &addr, &self->addr, err);
	if (node->udp == NULL)
		return (false);
	config.datagrams = brf_udp_datagrams(node->udp);
	config.self = *self;
	memcpy(config.seeds, set->seeds, sizeof(config.seeds));
	memcpy(config.key, set->fleet_key, set->fleet_key_len);
	node->members = brf_members_new(&config);
	node->router = brf_router_new(
	    node->members, node->timers, node->random, node->metrics);
	brf_router_set_link_rate(node->router, set->link_bytes);
	return (brf_udp_start(node->udp, node->members, err));
}

static void
create_caller(struct brf_node *node)
{
	node->call_context = (struct brf_call_context){ .timers = node->timers,
		.random = node->random,
		.metrics = node->metrics,
		.docs = node->docs,
		.router = node->router,
		.peers = node->peers,
		.gate = node->gate,
		.token_key = node->token_key,
		.burn = brf_burn_new(brf_timers_clock(node->timers)),
		.self = brf_members_self(node->members)->node };
	brf_call_context_init(&node->call_context);
}

static bool
parse_keys(const char *text, struct brf_keyring **ring, struct brf_error *err)
{
	if (text[0] == '\0')
		return (true);
	*ring = brf_keyring_parse(text, strlen(text), err);
	return (*ring != NULL);
}

static bool
create_keys(struct brf_node *node, struct brf_error *err)
{
	const struct brf_settings *set = &node->settings;

	node->token_key =
	    brf_token_key_new(set->fleet_key, set->fleet_key_len, err);
	if (node->token_key == NULL)
		return (false);
	return (parse_keys(set->workspace_keys, &node->workspace_keys, err) &&
		parse_keys(set->operator_key, &node->operator_keys, err));
}

static void
documents_changed(struct brf_docs_watcher *w, const char *service)
{
	struct brf_node *node =
	    brf_container_of(w, struct brf_node, docs_watcher);

	brf_log(BRF_LOG_INFO, "document_in_force", BRF_LS("service", service),
	    BRF_LU("revision", brf_docs_get(node->docs, service)->revision));
	brf_node_publish_state(node);
}

/* Members of the zone are selected to follow the store by their states. */
static void
member_changed(struct brf_members_watcher *w, const struct brf_member *before,
    const struct brf_member *after)
{
	struct brf_node *node =
	    brf_container_of(w, struct brf_node, members_watcher);

	if (before == NULL || after == NULL || before->state != after->state)
		brf_sync_review(node->sync);
}

static bool
follows_store(void *arg)
{
	struct brf_node *node = arg;

	return (node->phase == BRF_PHASE_SERVING &&
		brf_is_store_follower(node->members));
}

/* Starts with a random address of the store, so that the nodes spread over its
 * servers. */
static void
create_store(struct brf_node *node)
{
	const struct brf_settings *set = &node->settings;
	struct brf_store_client_config client = { .http = node->http,
		.timers = node->timers,
		.metrics = node->metrics,
		.calls_per_s = STORE_CALLS_PER_S,
		.burst = STORE_BURST,
		.timeout_us = STORE_TIMEOUT_US };
	struct brf_sync_config config = { .timers = node->timers,
		.random = node->random,
		.metrics = node->metrics,
		.docs = node->docs,
		.keys = node->operator_keys,
		.should_follow = follows_store,
		.arg = node };
	size_t i, first;

	if (set->store_count == 0)
		return;
	first = (size_t)brf_random_below(node->random, set->store_count);
	for (i = 0; i < set->store_count; i++)
		memcpy(&client.addrs[i],
		    &set->stores[(first + i) % set->store_count],
		    sizeof(set->stores[0]));
	client.addr_count = set->store_count;
	node->store = brf_store_client_new(&client);
	config.store = node->store;
	node->sync = brf_sync_new(&config);
	brf_sync_start(node->sync);
	node->members_watcher.changed = member_changed;
	brf_members_watch(node->members, &node->members_watcher);
}

static void
create_documents(struct brf_node *node)
{
	struct brf_anti_entropy_config config = { .timers = node->timers,
		.random = node->random,
		.members = node->members,
		.peers = node->peers };

	node->docs_watcher.changed = documents_changed;
	brf_docs_watch(node->docs, &node->docs_watcher);
	brf_anti_entropy_start(node->anti_entropy, &config);
	create_store(node);
}

static void
stop_documents(struct brf_node *node)
{
	if (node->sync != NULL) {
		brf_members_unwatch(&node->members_watcher);
		brf_sync_free(node->sync);
		brf_store_client_free(node->store);
		node->sync = NULL;
		node->store = NULL;
	}
	brf_anti_entropy_stop(node->anti_entropy);
}

static bool
write_ports(const struct brf_node *node, const struct brf_member *self,
    uint16_t local_port, struct brf_error *err)
{
	const char *path = node->settings.ports_file;
	FILE *f;

	brf_log(BRF_LOG_INFO, "listening", BRF_LU("entry", self->entry_port),
	    BRF_LU("peer", self->rpc_port),
	    BRF_LU("gossip", ntohs(self->addr.sin_port)),
	    BRF_LU("local", local_port), BRF_LU("admin", self->admin_port));
	if (path[0] == '\0')
		return (true);
	f = fopen(path, "w");
	if (f == NULL)
		return (brf_error_set(err, BRF_E_SETTING_INVALID, 0,
		    "--ports-file (BRF_PORTS_FILE): can't open the file for "
		    "writing"));
	fprintf(f,
	    "{\"entry\":%u,\"peer\":%u,\"gossip\":%u,\"local\":%u,"
	    "\"admin\":%u}\n",
	    self->entry_port, self->rpc_port, ntohs(self->addr.sin_port),
	    local_port, self->admin_port);
	fclose(f);
	return (true);
}

static bool
create_parts(struct brf_node *node, struct brf_error *err)
{
	const struct brf_settings *set = &node->settings;
	struct brf_member self = { .node = brf_id_new(node->random),
		.state = BRF_MEMBER_STARTING };
	uint16_t local_port = 0;

	brf_copy_name(self.zone, sizeof(self.zone), set->zone);
	brf_copy_name(self.region, sizeof(self.region), set->region);
	if (!create_keys(node, err))
		return (false);
	create_gate(node, &self);
	if (!create_peers(node, &self, err) ||
	    !create_listeners(node, &self, &local_port, err) ||
	    !create_members(node, &self, err))
		return (false);
	create_caller(node);
	create_documents(node);
	brf_settings_wipe(&node->settings);
	brf_members_start(node->members);
	return (write_ports(node, &self, local_port, err));
}

struct brf_node *
brf_node_start(const struct brf_settings *settings, struct brf_error *err)
{
	struct brf_node *node = brf_calloc(1, sizeof(*node));

	node->settings = *settings;
	create_loop(node);
	if (create_parts(node, err))
		return (node);
	/* The caller exits; parts already created are not freed. */
	return (NULL);
}

void
brf_node_publish_state(struct brf_node *node)
{
	struct brf_member self = *brf_members_self(node->members);

	if (node->phase != BRF_PHASE_SERVING || node->target_draining ||
	    brf_gate_target_leaves(node->gate))
		self.state = BRF_MEMBER_DRAINING;
	else if (node->announced)
		self.state = BRF_MEMBER_READY;
	else
		self.state = BRF_MEMBER_STARTING;
	brf_copy_name(self.service, sizeof(self.service),
	    node->announced ? node->announcement.service : "");
	self.slots = node->announced ? node->announcement.slots : 0;
	self.docs_digest = brf_docs_digest(node->docs);
	brf_members_update_self(node->members, &self);
}

static void
part_closed(void *arg)
{
	struct brf_node *node = arg;

	if (--node->parts_closing == 0)
		uv_stop(&node->loop);
}

static void
close_all(struct brf_node *node)
{
	node->phase = BRF_PHASE_CLOSED;
	node->parts_closing = 5;
	stop_documents(node);
	brf_members_leave(node->members);
	brf_http_server_close(node->entry, part_closed, node);
	brf_http_server_close(node->local, part_closed, node);
	brf_http_server_close(node->admin, part_closed, node);
	brf_peers_close(node->peers, part_closed, node);
	brf_udp_close(node->udp, part_closed, node);
}

static size_t
open_requests(const struct brf_node *node)
{
	return (node->call_context.open_calls +
		brf_gate_open_attempts(node->gate) +
		brf_peers_open_calls(node->peers) +
		brf_http_server_unsent(node->entry) +
		brf_http_server_unsent(node->local));
}

static bool
drain_limit_passed(const struct brf_node *node)
{
	uint64_t limit = node->settings.drain_limit_us;

	return (limit != 0 && now(node) - node->phase_since >= limit);
}

/* Return: clock time by which calls that begin now have to have ended; 0 for no
 * limit. */
static uint64_t
work_end(const struct brf_node *node)
{
	uint64_t limit = node->settings.drain_limit_us;

	if (limit == 0)
		return (0);
	return (node->phase_since + limit -
		(limit < ANSWER_US ? limit : ANSWER_US));
}

/* Advances the graceful stop to its next phase. */
static void
poll_drain(struct brf_timer *timer, void *arg)
{
	struct brf_node *node = arg;

	(void)timer;
	brf_timer_start(node->timers, &node->drain_poll, DRAIN_POLL_US);
	if (node->phase == BRF_PHASE_DRAINING && open_requests(node) == 0) {
		node->phase = BRF_PHASE_LINGERING;
		node->phase_since = now(node);
	} else if (node->phase == BRF_PHASE_DRAINING &&
		   drain_limit_passed(node)) {
		node->unfinished = true;
		brf_log(BRF_LOG_WARN, "drain_limit_passed",
		    BRF_LU("left", open_requests(node)));
		close_all(node);
	} else if (node->phase == BRF_PHASE_LINGERING &&
		   open_requests(node) == 0 &&
		   now(node) - node->phase_since >= node->settings.linger_us) {
		brf_log(BRF_LOG_INFO, "drained");
		close_all(node);
	}
	if (node->phase == BRF_PHASE_CLOSED)
		brf_timer_stop(node->timers, &node->drain_poll);
}

void
brf_node_drain(struct brf_node *node)
{
	if (node->phase != BRF_PHASE_SERVING)
		return;
	brf_log(BRF_LOG_INFO, "draining", BRF_LU("left", open_requests(node)));
	node->phase = BRF_PHASE_DRAINING;
	node->phase_since = now(node);
	node->call_context.work_ends_at = work_end(node);
	brf_gate_set_draining(node->gate, true);
	brf_http_server_stop(node->entry);
	brf_node_publish_state(node);
	node->drain_poll.fire = poll_drain;
	node->drain_poll.arg = node;
	brf_timer_start(node->timers, &node->drain_poll, DRAIN_POLL_US);
}

int
brf_node_run(struct brf_node *node)
{
	brf_node_arm_timer(node);
	uv_run(&node->loop, UV_RUN_DEFAULT);
	return (node->unfinished ? BRF_EXIT_UNFINISHED : BRF_EXIT_OK);
}

void
brf_node_free(struct brf_node *node)
{
	brf_http_server_free(node->entry);
	brf_http_server_free(node->local);
	brf_http_server_free(node->admin);
	brf_peers_free(node->peers);
	brf_call_context_finish(&node->call_context);
	brf_burn_free(node->call_context.burn);
	brf_router_free(node->router);
	brf_members_free(node->members);
	brf_udp_free(node->udp);
	brf_gate_free(node->gate);
	brf_http_loop_free(node->http);
	uv_close((uv_handle_t *)&node->tick, NULL);
	uv_close((uv_handle_t *)&node->sigterm, NULL);
	uv_close((uv_handle_t *)&node->sigint, NULL);
	uv_close((uv_handle_t *)&node->sighup, NULL);
	uv_run(&node->loop, UV_RUN_DEFAULT);
	uv_loop_close(&node->loop);
	brf_docs_unwatch(&node->docs_watcher);
	brf_docs_free(node->docs);
	brf_anti_entropy_free(node->anti_entropy);
	brf_keyring_free(node->workspace_keys);
	brf_keyring_free(node->operator_keys);
	brf_token_key_free(node->token_key);
	brf_metrics_free(node->metrics);
	brf_timers_free(node->timers);
	free(node);
}
