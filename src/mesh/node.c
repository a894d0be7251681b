#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "base/log.h"
#include "mesh/node.h"

/* Interval at which the settings file is checked for changes. */
#define SETTINGS_POLL_US (500 * BRF_US_PER_MS)
/* Interval of load lines in the log, and of requests to peers for targets. */
#define LOAD_LOG_INTERVAL_US BRF_US_PER_S
#define LOG_FLUSH_US (100 * BRF_US_PER_MS) /* longest time lines are held */
#define LOG_FLUSH_BYTES 4096u /* held bytes that are written at once */
/* Pause after a new routing table before the store is read again, so that
 * tables in quick succession are taken as one; doubled while tables change. */
#define TABLE_PAUSE_INITIAL_US (40 * BRF_US_PER_MS)
#define TABLE_PAUSE_MAX_US (320 * BRF_US_PER_MS)
/* Longest wait for the store before the first announcement is believed. */
#define CONFIRM_MAX_US (500 * BRF_US_PER_MS)
/* Interval at which a stopping node checks for open requests. */
#define STOP_POLL_US (50 * BRF_US_PER_MS)
/* Levels of calling services that a request passes.  Retries of the callers
 * cause further retries at the services they call, so the retry ratio is
 * divided among the levels. */
#define RETRY_LEVELS 4.0

static uint64_t
now(const struct brf_mesh_node *node)
{
	return (brf_now(brf_timers_clock(node->scheduler.timers)));
}

static void
turn_ended(void *arg)
{
	struct brf_mesh_node *node = arg;

	brf_links_flush(node->links);
	if (brf_log_held() >= LOG_FLUSH_BYTES)
		brf_log_flush();
	else if (brf_log_held() != 0 && !brf_timer_active(&node->flush_log))
		brf_timer_start(
		    node->scheduler.timers, &node->flush_log, LOG_FLUSH_US);
}

static void
flush_log(struct brf_timer *timer, void *arg)
{
	(void)timer;
	(void)arg;
	brf_log_flush();
}

static void
table_changed(void *arg)
{
	struct brf_mesh_node *node = arg;
	const struct brf_table *t = node->tables.current;
	uint32_t i = brf_table_find_service(t, node->settings.service);

	if (i != UINT32_MAX)
		brf_mesh_gate_set_max_connections(
		    node->gate, brf_table_service(t, i)->connections);
	brf_links_announce_table(node->links);
}

static void
table_set(void *arg, const struct brf_store_kv *kv)
{
	struct brf_mesh_node *node = arg;
	struct brf_table_source source = { .kind = "store" };

	if (strcmp(kv->key, node->adapter->table_key) != 0)
		return;
	source.relay =
	    brf_mesh_relay_source(node->relay, node->adapter->table_prefix);
	if (source.relay[0] != '\0')
		source.kind = "relay";
	source.epoch = brf_store_epoch(node->store);
	source.silent_us = brf_store_mirror_silent_us(node->table_follow);
	brf_mesh_tables_offer(&node->tables, kv->value, kv->len, &source);
}

/* The table in force stays in force. */
static void
table_deleted(void *arg, const char *key, uint64_t revision)
{
	(void)arg;
	brf_log(BRF_LOG_WARN, "table_missing", BRF_LS("key", key),
	    BRF_LU("revision", revision));
}

static void
table_synced(void *arg)
{
	(void)arg;
}

static void
follow_table(struct brf_mesh_node *node)
{
	struct brf_store_mirror_config config = { .store = brf_mesh_relay_store(
						      node->relay),
		.timers = node->scheduler.timers,
		.random = node->random,
		.prefix = node->adapter->table_prefix,
		.pause_min_us = TABLE_PAUSE_INITIAL_US,
		.pause_max_us = TABLE_PAUSE_MAX_US,
		.set = table_set,
		.deleted = table_deleted,
		.synced = table_synced,
		.arg = node };

	node->table_follow = brf_store_mirror_new(&config);
}

static void
fill_entry(struct brf_mesh_node *node, struct brf_entry *e)
{
	const struct brf_target_announcement *n = &node->local.current;
	const struct brf_mesh_settings *s = &node->settings;

	memset(e, 0, sizeof(*e));
	brf_copy_name(e->id, sizeof(e->id), n->id);
	brf_copy_name(e->service, sizeof(e->service), n->service);
	brf_copy_name(e->zone, sizeof(e->zone), s->zone);
	brf_copy_name(e->region, sizeof(e->region), s->region);
	brf_copy_name(e->version, sizeof(e->version), n->version);
	brf_copy_name(e->node, sizeof(e->node), s->node);
	e->gate = s->advertised;
	e->slots = n->slots;
	e->born = n->born;
	e->warmup_us = n->warmup_us;
	e->state = n->state;
	e->announced = n->state;
	if ((node->stop.refusing || brf_mesh_gate_target_leaves(node->gate)) &&
	    e->state == BRF_TARGET_READY)
		e->state = BRF_TARGET_DRAINING;
}

/* Append the entry of this VM's target if it is ready; called for a hop that
 * asks the gate for another target. */
static void
append_target_entry(void *arg, struct brf_buf *out)
{
	struct brf_mesh_node *node = arg;
	struct brf_entry entry;

	if (!node->local.known)
		return;
	fill_entry(node, &entry);
	if (entry.state == BRF_TARGET_READY)
		brf_directory_export_entry(&entry, out);
}

static void
publish(struct brf_mesh_node *node)
{
	struct brf_entry entry;

	if (!node->local.known)
		return;
	fill_entry(node, &entry);
	brf_registration_set(node->registration, &entry);
}

static void
target_leaves(void *arg)
{
	publish(arg);
}

static void
log_announcement(const struct brf_target_announcement *n, const char *event)
{
	brf_log(BRF_LOG_INFO, event, BRF_LS("target", n->id),
	    BRF_LS("service", n->service),
	    BRF_LS("state", brf_target_state_name(n->state)),
	    BRF_LU("sequence", n->sequence), BRF_LU("born", n->born),
	    BRF_LU("slots", n->slots),
	    BRF_LU("warmup_ms", n->warmup_us / BRF_US_PER_MS));
}

/* The target beside this node may get requests. */
static void
open_gate(struct brf_mesh_node *node, bool is_new)
{
	if (!node->stop.refusing)
		brf_mesh_gate_update_target(
		    node->gate, &node->local.current, is_new);
}

static void
confirm(struct brf_mesh_node *node)
{
	if (!node->unconfirmed)
		return;
	node->unconfirmed = false;
	brf_timer_stop(node->scheduler.timers, &node->confirm);
	open_gate(node, true);
}

static void
confirm_timed_out(struct brf_timer *timer, void *arg)
{
	struct brf_mesh_node *node = arg;

	(void)timer;
	brf_log(BRF_LOG_WARN, "target_unconfirmed",
	    BRF_LS("target", node->local.current.id),
	    BRF_LU("waited_ms", CONFIRM_MAX_US / BRF_US_PER_MS));
	confirm(node);
}

static void
entry_written(void *arg, const char *id)
{
	struct brf_mesh_node *node = arg;

	brf_mesh_acks_recorded(&node->acks, id);
	if (node->local.known && strcmp(id, node->local.current.id) == 0)
		confirm(node);
}

/* An earlier process of this node has recorded that the target leaves. */
static void
entry_superseded(void *arg, const struct brf_entry *found)
{
	struct brf_mesh_node *node = arg;
	struct brf_incarnation incarnation = { .born = found->born };

	brf_copy_name(incarnation.id, sizeof(incarnation.id), found->id);
	if (!brf_local_target_adopt(
		&node->local, &incarnation, found->announced))
		return;
	log_announcement(&node->local.current, "announcement_superseded");
	brf_mesh_gate_refuse(node->gate, BRF_R_DRAINING);
	publish(node);
}

static void
departure_unrecorded(void *arg, const char *id)
{
	struct brf_mesh_node *node = arg;
	const struct brf_entry *e =
	    brf_registration_entry(node->registration, id);

	if (e != NULL)
		brf_mesh_departures_tell(node->departures, e);
}

static void
departure_kept(void *arg, const char *id)
{
	struct brf_mesh_node *node = arg;

	brf_mesh_acks_kept(&node->acks, id);
}

/* Whether the store has @e or what is later. */
static bool
is_recorded(const struct brf_mesh_node *node, const struct brf_entry *e)
{
	const struct brf_entry *own =
	    brf_registration_entry(node->registration, e->id);

	if (own == NULL || own->born < e->born)
		return (false);
	if (own->born > e->born)
		return (true);
	return (own->announced >= e->announced &&
		!brf_registration_is_pending(node->registration, e->id));
}

/* Another node has kept what an earlier process of this node was told. */
static enum brf_link_note_result
departure_told(void *arg, const struct brf_entry *e)
{
	struct brf_mesh_node *node = arg;

	if (is_recorded(node, e))
		return (BRF_LINK_NOTE_RECORDED);
	entry_superseded(node, e);
	if (brf_registration_entry(node->registration, e->id) == NULL)
		brf_registration_set(node->registration, e);
	return (BRF_LINK_NOTE_KEPT);
}

void
brf_mesh_node_announce(
    struct brf_mesh_node *node, const struct brf_target_announcement *notice)
{
	struct brf_target_announcement previous = node->local.current;
	bool is_first = !node->local.known;
	enum brf_announce_result result =
	    brf_local_target_announce(&node->local, notice,
		brf_now(brf_timers_clock(node->scheduler.timers)));

	if (result == BRF_ANNOUNCE_STALE) {
		log_announcement(notice, "announcement_stale");
		return;
	}
	if (result == BRF_ANNOUNCE_UPDATED && previous.state == notice->state &&
	    previous.slots == notice->slots)
		return;
	log_announcement(&node->local.current, "target_announced");
	if (is_first) {
		node->unconfirmed = true;
		brf_timer_start(
		    node->scheduler.timers, &node->confirm, CONFIRM_MAX_US);
	}
	if (!node->unconfirmed)
		open_gate(node, result == BRF_ANNOUNCE_REPLACED);
	publish(node);
}

static uint64_t
unix_ms(void)
{
	uv_timeval64_t tv;

	if (uv_gettimeofday(&tv) != 0)
		return (0);
	return ((uint64_t)tv.tv_sec * 1000 + (uint64_t)tv.tv_usec / 1000);
}

/* Record that a target of which this process knows nothing has left. */
static void
publish_departure(
    struct brf_mesh_node *node, const struct brf_incarnation *incarnation)
{
	const struct brf_mesh_settings *s = &node->settings;
	struct brf_entry e = { .gate = s->advertised,
		.slots = 1,
		.born = incarnation->born,
		.state = BRF_TARGET_LEFT,
		.announced = BRF_TARGET_LEFT };

	brf_copy_name(e.id, sizeof(e.id), incarnation->id);
	brf_copy_name(e.service, sizeof(e.service), s->service);
	brf_copy_name(e.zone, sizeof(e.zone), s->zone);
	brf_copy_name(e.region, sizeof(e.region), s->region);
	brf_copy_name(e.node, sizeof(e.node), s->node);
	brf_registration_set(node->registration, &e);
}

void
brf_mesh_node_withdraw(struct brf_mesh_node *node, const char *id)
{
	const struct brf_incarnation *left =
	    brf_local_target_leave(&node->local, id, unix_ms());

	if (!node->local.known || strcmp(id, node->local.current.id) != 0) {
		publish_departure(node, left);
		return;
	}
	log_announcement(&node->local.current, "target_leaves");
	brf_mesh_gate_refuse(node->gate, BRF_R_DRAINING);
	publish(node);
}

bool
brf_mesh_node_is_ready(const struct brf_mesh_node *node)
{
	return (node->phase == BRF_MESH_SERVING &&
		node->tables.current != NULL &&
		brf_directory_synced(node->directory));
}

/* Return: nanoseconds; 0 when the file can't be read. */
static uint64_t
file_mtime(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return (0);
	return ((uint64_t)st.st_mtim.tv_sec * 1000000000u +
		(uint64_t)st.st_mtim.tv_nsec);
}

static void
reload(struct brf_mesh_node *node, const char *why)
{
	struct brf_mesh_settings loaded;
	struct brf_error err = { .code = BRF_OK };
	bool renamed;

	node->settings_mtime = file_mtime(node->path);
	if (!brf_mesh_settings_load(&loaded, node->path, &err)) {
		brf_log(BRF_LOG_WARN, "reload_failed", BRF_LS("why", why),
		    BRF_LE(&err));
		return;
	}
	renamed = strcmp(loaded.service, node->settings.service) != 0;
	/* addresses and all other settings only change with a restart */
	brf_copy_name(node->settings.service, sizeof(node->settings.service),
	    loaded.service);
	node->settings.grace_us = loaded.grace_us;
	node->settings.drain_us = loaded.drain_us;
	if (renamed)
		brf_links_announce_service(node->links);
	brf_log(BRF_LOG_INFO, "reloaded", BRF_LS("why", why),
	    BRF_LS("service", loaded.service));
}

static void
poll_settings(struct brf_timer *timer, void *arg)
{
	struct brf_mesh_node *node = arg;

	brf_timer_start(node->scheduler.timers, timer, SETTINGS_POLL_US);
	if (file_mtime(node->path) != node->settings_mtime)
		reload(node, "file changed");
}

static void
log_load(struct brf_timer *timer, void *arg)
{
	struct brf_mesh_node *node = arg;

	brf_timer_start(node->scheduler.timers, timer, LOAD_LOG_INTERVAL_US);
	brf_mesh_gate_log_load(node->gate);
	brf_mesh_tables_log(&node->tables);
	brf_failure_log_flush(&node->callers.failure_log);
	brf_links_request_targets(node->links);
}

static void
component_closed(void *arg)
{
	struct brf_mesh_node *node = arg;

	if (--node->pending_closes == 0)
		uv_stop(&node->loop);
}

static void
close_all(struct brf_mesh_node *node)
{
	node->phase = BRF_MESH_CLOSED;
	node->pending_closes = 5;
	brf_failure_log_flush(&node->callers.failure_log);
	brf_timer_stop(node->scheduler.timers, &node->stop_poll);
	brf_timer_stop(node->scheduler.timers, &node->confirm);
	brf_timer_stop(node->scheduler.timers, &node->watch_settings);
	brf_timer_stop(node->scheduler.timers, &node->log_load);
	brf_timer_stop(node->scheduler.timers, &node->flush_log);
	brf_mesh_departures_free(node->departures);
	node->departures = NULL;
	brf_flow_server_close(node->entry, component_closed, node);
	brf_http_server_close(node->ready, component_closed, node);
	brf_http_server_close(node->admin, component_closed, node);
	brf_links_close(node->links, component_closed, node);
	brf_mesh_gate_close(node->gate, component_closed, node);
}

static size_t
open_requests(const struct brf_mesh_node *node)
{
	return (node->callers.open_count + brf_flow_unsent(node->entry) +
		brf_mesh_gate_open_hops(node->gate) +
		brf_links_served(node->links));
}

static void
poll_stop(struct brf_timer *timer, void *arg)
{
	struct brf_mesh_node *node = arg;
	uint64_t elapsed_us = now(node) - node->stopping_since;
	size_t open_count = open_requests(node);

	node->unfinished = open_count != 0;
	switch (brf_stop_check(&node->stop, elapsed_us, open_count)) {
	case BRF_STOP_WAIT:
		break;
	case BRF_STOP_REFUSE:
		brf_log(
		    BRF_LOG_INFO, "target_refused", BRF_LU("left", open_count));
		brf_mesh_gate_refuse(node->gate, BRF_R_DRAINING);
		publish(node);
		break;
	case BRF_STOP_TELL:
		brf_mesh_calls_give_up(&node->callers);
		break;
	case BRF_STOP_END:
		brf_log(BRF_LOG_INFO, "stopped", BRF_LU("left", open_count),
		    BRF_LU("after_ms", elapsed_us / BRF_US_PER_MS));
		brf_registration_end(node->registration);
		close_all(node);
		return;
	}
	brf_timer_start(node->scheduler.timers, timer, STOP_POLL_US);
}

static void
stop(struct brf_mesh_node *node)
{
	if (node->phase != BRF_MESH_SERVING)
		return;
	brf_log(BRF_LOG_INFO, "stopping", BRF_LU("left", open_requests(node)));
	node->phase = BRF_MESH_STOPPING;
	node->stopping_since = now(node);
	brf_stop_init(&node->stop, node->settings.grace_us);
	node->callers.exit_at = node->stopping_since + node->stop.max_us;
	node->callers.work_ends_at = node->stopping_since + node->stop.work_us;
	node->callers.refuse_long_from =
	    node->stopping_since + node->stop.min_us;
	brf_mesh_gate_stop(node->gate, node->callers.work_ends_at);
	brf_flow_drain(node->entry);
	brf_timer_start(node->scheduler.timers, &node->stop_poll, STOP_POLL_US);
}

static void
on_signal(uv_signal_t *signal, int number)
{
	struct brf_mesh_node *node = signal->data;

	if (number == SIGHUP)
		reload(node, "signal");
	else
		stop(node);
}

static void
make_loop(struct brf_mesh_node *node)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
	size_t i;

	uv_loop_init(&node->loop);
	brf_scheduler_init(&node->scheduler, &node->loop);
	node->scheduler.after_tasks = turn_ended;
	node->scheduler.arg = node;
	for (i = 0; i < brf_nitems(numbers); i++) {
		uv_signal_init(&node->loop, &node->signals[i]);
		node->signals[i].data = node;
		uv_signal_start(&node->signals[i], on_signal, numbers[i]);
	}
	node->random = brf_random_system();
	node->metrics = brf_metrics_new();
	brf_mesh_gauges_init(&node->gauges, node->metrics);
	node->started = now(node);
	node->watch_settings.fire = poll_settings;
	node->watch_settings.arg = node;
	node->confirm.fire = confirm_timed_out;
	node->confirm.arg = node;
	brf_mesh_acks_init(&node->acks, node->scheduler.timers);
	node->acks.unrecorded = departure_unrecorded;
	node->acks.arg = node;
	node->stop_poll.fire = poll_stop;
	node->stop_poll.arg = node;
	node->flush_log.fire = flush_log;
	node->log_load.fire = log_load;
	node->log_load.arg = node;
}

/* Renewals of the lease confirm what is received from the store itself. */
static void
watching_store(void *arg, bool watching)
{
	struct brf_mesh_node *node = arg;

	brf_registration_probe(node->registration, watching);
}

static void
make_store(struct brf_mesh_node *node)
{
	struct brf_mesh_relay_config relay = {
		.timers = node->scheduler.timers,
		.metrics = node->metrics,
		.node = node->settings.node,
		.zone = node->settings.zone,
		.watching = watching_store,
		.arg = node,
	};

	node->http = brf_http_loop_new(
	    &node->loop, node->scheduler.timers, node->metrics);
	node->store = node->adapter->vt->store_new(node->http,
	    node->scheduler.timers, node->metrics, &node->settings.store);
	relay.origin = node->store;
	node->relay = brf_mesh_relay_new(&relay);
}

static void
make_crashes(struct brf_mesh_node *node)
{
	struct brf_mesh_crashes_config config = {
		.store = node->store,
		.timers = node->scheduler.timers,
		.random = node->random,
		.metrics = node->metrics,
		.node = node->settings.node,
	};

	node->crashes = brf_mesh_crashes_new(&config);
}

static void
make_departures(struct brf_mesh_node *node)
{
	struct brf_mesh_departures_config config = {
		.timers = node->scheduler.timers,
		.metrics = node->metrics,
		.node = node->settings.node,
		.kept = departure_kept,
		.adopt = departure_told,
		.arg = node,
	};

	node->departures = brf_mesh_departures_new(&config);
}

static void
make_gate(struct brf_mesh_node *node)
{
	struct brf_mesh_gate_config gate = { .loop = &node->loop,
		.tasks = &node->scheduler.tasks,
		.timers = node->scheduler.timers,
		.metrics = node->metrics,
		.random = node->random,
		.names = node->adapter->names,
		.tables = &node->tables,
		.services = &node->services,
		.target = node->settings.target,
		.append_target_entry = append_target_entry,
		.target_leaves = target_leaves,
		.arg = node,
		.crashes = node->crashes };
	struct brf_links_config links = { .loop = &node->loop,
		.tasks = &node->scheduler.tasks,
		.timers = node->scheduler.timers,
		.metrics = node->metrics,
		.news = &node->tables.news,
		.hints = &node->hints.hints,
		.watches = brf_mesh_relay_handler(node->relay),
		.notes = brf_mesh_departures_handler(node->departures),
		.node = node->settings.node,
		.service = node->settings.service };

	brf_mesh_hints_init(&node->hints);
	brf_mesh_tables_init(&node->tables, &node->scheduler.clock,
	    node->adapter->vt->read_table, table_changed, node);
	node->gate = brf_mesh_gate_new(&gate);
	links.gate = brf_mesh_gate_backend(node->gate);
	node->links = brf_links_new(&links);
}

static void
own_target_seen(void *arg, const struct brf_directory_target *t)
{
	struct brf_mesh_node *node = arg;

	brf_registration_entry_seen(
	    node->registration, t->entry.id, t->revision, t->lapsed);
}

static void
make_fleet(struct brf_mesh_node *node)
{
	const struct brf_mesh_settings *s = &node->settings;
	struct brf_mesh_services_config config = {
		.timers = node->scheduler.timers,
		.links = node->links,
		.zone = s->zone,
		.region = s->region,
		.retry_budget_ratio = s->retry_ratio / RETRY_LEVELS,
		.retry_budget_window_us = s->retry_window_us,
	};
	struct brf_registration_listener listener = {
		.written = entry_written,
		.superseded = entry_superseded,
		.arg = node,
	};

	brf_mesh_services_init(&node->services, &config);
	node->services.own_target_seen = own_target_seen;
	node->services.arg = node;
	node->registration = brf_registration_new(
	    node->store, node->scheduler.timers, node->random);
	brf_registration_listen(node->registration, &listener);
	node->directory = brf_directory_new(brf_mesh_relay_store(node->relay),
	    node->scheduler.timers, node->random, &node->services.watcher);
	brf_directory_receive_records(node->directory, &node->crashes->records);
	node->sweeper =
	    brf_sweeper_new(node->store, node->scheduler.timers, node->random);
	brf_directory_sweep(node->directory, node->sweeper);
	node->hints.directory = node->directory;
	brf_mesh_relay_connect(node->relay, node->links, node->directory);
	brf_mesh_departures_connect(
	    node->departures, node->links, node->directory);
	follow_table(node);
}

static void
make_callers(struct brf_mesh_node *node)
{
	struct brf_mesh_calls *c = &node->callers;

	c->tasks = &node->scheduler.tasks;
	c->timers = node->scheduler.timers;
	c->random = node->random;
	c->metrics = node->metrics;
	c->tables = &node->tables;
	c->services = &node->services;
	c->gate = node->gate;
	c->crashes = node->crashes;
	c->service = node->settings.service;
	brf_mesh_calls_init(c);
}

static bool
listen_all(struct brf_mesh_node *node, struct brf_error *err)
{
	struct brf_mesh_settings *s = &node->settings;
	struct brf_flow_server_config config = { .loop = &node->loop,
		.tasks = &node->scheduler.tasks,
		.timers = node->scheduler.timers,
		.metrics = node->metrics,
		.names = node->adapter->names,
		.limits = &node->tables.limits,
		.handler = &node->callers.handler,
		.name = "entry" };
	uint16_t port;

	if (!brf_links_listen(
		node->links, (const struct sockaddr *)&s->peers, &port, err))
		return (false);
	s->peers.sin_port = htons(port);
	if (s->advertised.sin_port == 0)
		s->advertised = s->peers;
	node->services.config.self = s->advertised;
	node->entry = brf_flow_server_new(
	    &config, (const struct sockaddr *)&s->callers, &port, err);
	if (node->entry == NULL)
		return (false);
	s->callers.sin_port = htons(port);
	brf_mesh_admin_init(node);
	node->ready = brf_http_server_new(node->http, "ready",
	    (const struct sockaddr *)&s->ready, &node->ready_handler, &port,
	    err);
	if (node->ready == NULL)
		return (false);
	s->ready.sin_port = htons(port);
	node->admin = brf_http_server_new(node->http, "admin",
	    (const struct sockaddr *)&s->admin, &node->admin_handler, &port,
	    err);
	s->admin.sin_port = htons(port);
	return (node->admin != NULL);
}

struct brf_mesh_node *
brf_mesh_node_start(const struct brf_mesh_adapter *adapter, const char *path,
    struct brf_error *err)
{
	struct brf_mesh_node *node = brf_calloc(1, sizeof(*node));

	node->adapter = adapter;
	node->path = path;
	node->settings_mtime = file_mtime(path);
	if (!brf_mesh_settings_load(&node->settings, path, err)) {
		free(node);
		return (NULL);
	}
	brf_log_open(
	    STDOUT_FILENO, node->settings.log_level, node->settings.node);
	brf_log_hold();
	make_loop(node);
	make_store(node);
	make_crashes(node);
	make_departures(node);
	make_gate(node);
	make_fleet(node);
	make_callers(node);
	if (!listen_all(node, err))
		return (NULL); /* not freed, since the process exits */
	brf_timer_start(
	    node->scheduler.timers, &node->watch_settings, SETTINGS_POLL_US);
	brf_timer_start(
	    node->scheduler.timers, &node->log_load, LOAD_LOG_INTERVAL_US);
	brf_log(BRF_LOG_INFO, "started", BRF_LS("version", BRF_VERSION),
	    BRF_LS("zone", node->settings.zone),
	    BRF_LS("service", node->settings.service),
	    BRF_LU("callers_port", ntohs(node->settings.callers.sin_port)),
	    BRF_LU("ready_port", ntohs(node->settings.ready.sin_port)),
	    BRF_LU("admin_port", ntohs(node->settings.admin.sin_port)),
	    BRF_LU("peers_port", ntohs(node->settings.peers.sin_port)));
	return (node);
}

int
brf_mesh_node_run(struct brf_mesh_node *node)
{
	uv_run(&node->loop, UV_RUN_DEFAULT);
	return (node->unfinished ? BRF_EXIT_UNFINISHED : BRF_EXIT_OK);
}

static void
close_handles(struct brf_mesh_node *node)
{
	size_t i;

	brf_http_loop_free(node->http);
	for (i = 0; i < brf_nitems(node->signals); i++)
		uv_close((uv_handle_t *)&node->signals[i], NULL);
	brf_scheduler_close(&node->scheduler);
	uv_run(&node->loop, UV_RUN_DEFAULT);
	uv_loop_close(&node->loop);
}

void
brf_mesh_node_free(struct brf_mesh_node *node)
{
	brf_flow_server_free(node->entry);
	brf_http_server_free(node->ready);
	brf_http_server_free(node->admin);
	brf_store_mirror_free(node->table_follow);
	node->hints.directory = NULL;
	brf_mesh_relay_connect(node->relay, node->links, NULL);
	brf_directory_free(node->directory);
	brf_sweeper_free(node->sweeper);
	brf_registration_free(node->registration);
	brf_mesh_services_finish(&node->services);
	brf_mesh_relay_free(node->relay);
	brf_links_free(node->links);
	brf_mesh_gate_free(node->gate);
	brf_mesh_crashes_free(node->crashes);
	node->adapter->vt->store_free(node->store);
	close_handles(node);
	brf_mesh_tables_finish(&node->tables);
	brf_metrics_free(node->metrics);
	brf_scheduler_free(&node->scheduler);
	brf_log(BRF_LOG_INFO, "ended", BRF_LU("unfinished", node->unfinished));
	brf_log_flush();
	free(node);
}
