#include <stdlib.h>

#include "base/log.h"
#include "member/internal.h"

static const char *const state_names[] = { "starting", "ready", "draining",
	"suspect", "gone" };

static const enum brf_gossip_state gossip_states[] = {
	[BRF_MEMBER_STARTING] = BRF_GOSSIP_STARTING,
	[BRF_MEMBER_READY] = BRF_GOSSIP_READY,
	[BRF_MEMBER_DRAINING] = BRF_GOSSIP_DRAINING,
	[BRF_MEMBER_SUSPECT] = BRF_GOSSIP_READY,
	[BRF_MEMBER_GONE] = BRF_GOSSIP_LEFT,
};

const char *
brf_member_state_name(enum brf_member_state state)
{
	if ((unsigned)state >= brf_nitems(state_names))
		return ("invalid");
	return (state_names[state]);
}

uint64_t
brf_members_now(const struct brf_members *ms)
{
	uint64_t elapsed =
	    brf_now(brf_timers_clock(ms->config.timers)) - ms->last_tick;

	return (
	    ms->protocol_us + (elapsed < ms->tick_us ? elapsed : ms->tick_us));
}

struct brf_gossip *
brf_members_begin(struct brf_members *ms, enum brf_gossip_type type)
{
	const struct brf_entry *self = ms->table.self;
	struct brf_gossip *g = &ms->out;

	brf_gossip_begin(g, type);
	g->sender = self->member.node;
	g->version = self->version;
	g->docs_count = self->docs_count;
	g->docs_digest = self->member.docs_digest;
	g->digest = brf_table_digest(&ms->table);
	return (g);
}

void
brf_members_send(struct brf_members *ms, const struct sockaddr_in *to)
{
	unsigned char data[BRF_DATAGRAM_MAX];
	size_t len = brf_gossip_encode(ms->codec, &ms->out, data);
	struct brf_datagrams *d = ms->config.datagrams;

	if (len != 0)
		d->vt->send(d, to, data, len);
}

static void
update_gauges(struct brf_members *ms)
{
	const struct brf_table *t = &ms->table;
	const struct brf_list *l;
	double suspects = 0;

	brf_list_foreach (l, &t->suspects)
		suspects++;
	ms->metrics.known->value = (double)brf_members_count(ms);
	ms->metrics.suspects->value = suspects;
	ms->metrics.lost->value = (double)t->rosters[BRF_ROSTER_FAILED].count;
	ms->metrics.health->value = ms->health;
}

void
brf_members_notify(struct brf_members *ms, const struct brf_member *before,
    const struct brf_member *after)
{
	struct brf_members_watcher *w;
	struct brf_list *l, *tmp;

	brf_list_foreach_safe (l, tmp, &ms->watchers) {
		w = brf_list_entry(l, struct brf_members_watcher, link);
		w->changed(w, before, after);
	}
}

void
brf_members_advertise_self(struct brf_members *ms, uint64_t above,
    enum brf_gossip_state state, bool full)
{
	struct brf_entry *self = ms->table.self;
	struct brf_gossip_version version = self->version;
	struct brf_member before = self->member;

	if (above > version.incarnation)
		version.incarnation = above;
	version.incarnation++;
	version.state = (uint8_t)state;
	brf_table_set_version(&ms->table, self, &version);
	ms->changed_at = brf_members_now(ms);
	brf_updates_queue(ms, self, full);
	brf_members_notify(ms, &before, &self->member);
	brf_updates_gossip(ms, BRF_GOSSIP_FANOUT);
}

/* Advances protocol time.  After a tick that is late by more than three tick
 * lengths this node's timeouts can't be trusted: the probe under way is
 * abandoned and the local health gets worse. */
static void
advance_time(struct brf_members *ms)
{
	uint64_t now = brf_now(brf_timers_clock(ms->config.timers));
	uint64_t elapsed = now - ms->last_tick;

	if (elapsed > 4 * ms->tick_us) {
		brf_probe_abandon(ms);
		ms->metrics.pauses->value++;
		if (ms->health < BRF_HEALTH_WORST)
			ms->health++;
	}
	ms->protocol_us +=
	    elapsed < 2 * ms->tick_us ? elapsed : 2 * ms->tick_us;
	ms->last_tick = now;
}

static void
on_tick(struct brf_timer *timer, void *arg)
{
	struct brf_members *ms = arg;

	brf_timer_start(ms->config.timers, timer, ms->tick_us);
	advance_time(ms);
	ms->syncs_served = 0;
	if (!ms->leaving) {
		brf_probe_tick(ms);
		brf_reconnect_tick(ms);
		brf_sync_tick(ms);
	}
	brf_updates_gossip(ms, BRF_GOSSIP_FANOUT);
	update_gauges(ms);
}

static void
init_metrics(struct brf_members *ms)
{
	struct brf_member_metrics *m = &ms->metrics;
	struct brf_metrics *to = ms->config.metrics;

	m->known = brf_metrics_gauge(
	    to, "brf_members", "Members that are not gone.", "");
	m->suspects = brf_metrics_gauge(to, "brf_members_suspect",
	    "Members that did not answer probes.", "");
	m->lost = brf_metrics_gauge(to, "brf_members_lost",
	    "Members declared failed and still pinged.", "");
	m->health = brf_metrics_gauge(to, "brf_member_local_health",
	    "0: time-outs are trusted; higher: lengthened.", "");
	m->malformed = brf_metrics_counter(to, "brf_datagrams_refused_total",
	    "Datagrams dropped.", "error=\"datagram_invalid\"");
	m->unauthenticated =
	    brf_metrics_counter(to, "brf_datagrams_refused_total",
		"Datagrams dropped.", "error=\"authentication_failed\"");
	m->suspicions = brf_metrics_counter(to, "brf_member_suspicions_total",
	    "Suspicions that this node raised.", "");
	m->failures = brf_metrics_counter(to, "brf_member_failures_total",
	    "Members that this node declared failed.", "");
	m->refutations = brf_metrics_counter(to, "brf_member_refutations_total",
	    "Claims on this node refuted.", "");
	m->syncs = brf_metrics_counter(
	    to, "brf_member_syncs_total", "Table differences asked for.", "");
	m->pauses = brf_metrics_counter(to, "brf_member_pauses_total",
	    "Times that this node's loop was late.", "");
}

struct brf_members *
brf_members_new(const struct brf_members_config *config)
{
	struct brf_members *ms = brf_calloc(1, sizeof(*ms));
	struct brf_gossip_version version = {
		.incarnation = config->self.incarnation,
		.state = (uint8_t)gossip_states[config->self.state],
	};

	ms->config = *config;
	ms->tick_us = config->period_us / BRF_TICKS_PER_PERIOD;
	ms->codec = brf_gossip_codec_new(config->key, config->key_len);
	ms->last_tick = brf_now(brf_timers_clock(config->timers));
	brf_table_init(&ms->table, config->random);
	brf_list_init(&ms->watchers);
	brf_list_init(&ms->verify);
	brf_list_init(&ms->checks);
	brf_updates_init(ms);
	init_metrics(ms);
	brf_table_add(&ms->table, &config->self, &version);
	ms->table.self->docs_count = 1;
	ms->tick.fire = on_tick;
	ms->tick.arg = ms;
	return (ms);
}

void
brf_members_free(struct brf_members *ms)
{
	if (ms == NULL)
		return;
	brf_timer_stop(ms->config.timers, &ms->tick);
	brf_table_clear(&ms->table);
	brf_gossip_codec_free(ms->codec);
	free(ms);
}

void
brf_members_start(struct brf_members *ms)
{
	uint64_t now = brf_members_now(ms);
	struct brf_random *random = ms->config.random;

	ms->next_probe = now + brf_random_below(random, ms->config.period_us);
	ms->next_reconnect =
	    now + brf_random_below(random, ms->config.period_us);
	ms->catch_up_until = now + BRF_CATCH_UP_PERIODS * ms->config.period_us;
	brf_updates_queue(ms, ms->table.self, true);
	brf_timer_start(ms->config.timers, &ms->tick,
	    brf_random_below(random, ms->tick_us + 1));
}

/* Sends this node's full update to a node that lacks it. */
static void
send_full_update(struct brf_members *ms, const struct sockaddr_in *to)
{
	const struct brf_entry *self = ms->table.self;
	struct brf_gossip *g = brf_members_begin(ms, BRF_GOSSIP_UPDATES);

	brf_gossip_add_full(g, &self->member, &self->version);
	brf_members_send(ms, to);
}

static void
dispatch(struct brf_members *ms, const struct sockaddr_in *from)
{
	switch (ms->in.type) {
	case BRF_GOSSIP_PING:
		brf_probe_handle_ping(ms, from);
		break;
	case BRF_GOSSIP_ACK:
	case BRF_GOSSIP_INDIRECT_ACK:
		brf_probe_handle_ack(ms);
		break;
	case BRF_GOSSIP_PING_REQ:
		brf_probe_handle_ping_req(ms, from);
		break;
	case BRF_GOSSIP_RELAY_STARTED:
		brf_probe_handle_relay_started(ms);
		break;
	case BRF_GOSSIP_SYNC:
		brf_sync_handle(ms, from);
		break;
	default:
		break;
	}
}

void
brf_members_receive(struct brf_members *ms, const struct sockaddr_in *from,
    const void *data, size_t len)
{
	struct brf_error err = { 0 };
	struct brf_gossip *g = &ms->in;
	struct brf_entry *sender;

	if (!brf_gossip_decode(ms->codec, data, len, g, &err)) {
		if (err.code == BRF_E_AUTH)
			ms->metrics.unauthenticated->value++;
		else
			ms->metrics.malformed->value++;
		return;
	}
	if (g->sender.lo == ms->table.self->member.node.lo)
		return;
	ms->last_received_any = brf_members_now(ms);
	brf_merge(ms);
	dispatch(ms, from);
	if ((g->flags & BRF_GOSSIP_F_WANT_FULL) != 0)
		send_full_update(ms, from);
	sender = brf_table_find(&ms->table, g->sender.lo);
	if ((sender == NULL || !brf_entry_gone(sender)) && !ms->leaving)
		brf_sync_check_digest(ms, from);
}

const struct brf_member *
brf_members_self(const struct brf_members *ms)
{
	return (&ms->table.self->member);
}

static void
update_docs(struct brf_members *ms, uint64_t digest)
{
	struct brf_entry *self = ms->table.self;
	struct brf_member before = self->member;

	if (self->member.docs_digest == digest)
		return;
	self->member.docs_digest = digest;
	self->docs_count++;
	if (!brf_members_docs_known(ms, digest, self))
		brf_updates_queue_docs(ms, self);
	brf_members_notify(ms, &before, &self->member);
	brf_updates_gossip(ms, BRF_GOSSIP_FANOUT);
}

void
brf_members_update_self(struct brf_members *ms, const struct brf_member *to)
{
	struct brf_entry *self = ms->table.self;
	enum brf_gossip_state state = gossip_states[to->state];
	bool full = strcmp(self->member.service, to->service) != 0 ||
		    self->member.slots != to->slots;

	update_docs(ms, to->docs_digest);
	if (ms->leaving)
		return;
	if (state == BRF_GOSSIP_LEFT) {
		brf_members_leave(ms);
		return;
	}
	if (!full && state == (enum brf_gossip_state)self->version.state)
		return;
	if (full) {
		brf_copy_name(self->member.service,
		    sizeof(self->member.service), to->service);
		self->member.slots = to->slots;
		self->version.fields++;
	}
	brf_members_advertise_self(ms, 0, state, full);
}

void
brf_members_leave(struct brf_members *ms)
{
	if (ms->leaving)
		return;
	ms->leaving = true;
	brf_members_advertise_self(ms, 0, BRF_GOSSIP_LEFT, false);
	brf_updates_gossip(ms, BRF_GOSSIP_FANOUT);
}

void
brf_members_each(const struct brf_members *ms,
    bool (*visit)(const struct brf_member *member, void *arg), void *arg)
{
	const struct brf_entry *e;
	size_t i;

	for (i = 0; i < BRF_TABLE_CHAINS; i++) {
		for (e = ms->table.chains[i]; e != NULL; e = e->next) {
			if (!visit(&e->member, arg))
				return;
		}
	}
}

const struct brf_member *
brf_members_find(const struct brf_members *ms, struct brf_id node)
{
	const struct brf_entry *e = brf_table_find(&ms->table, node.lo);

	if (e == NULL || e->member.node.hi != node.hi)
		return (NULL);
	return (&e->member);
}

size_t
brf_members_count(const struct brf_members *ms)
{
	return (ms->table.rosters[BRF_ROSTER_ALL].count +
		!brf_entry_gone(ms->table.self));
}

void
brf_members_watch(struct brf_members *ms, struct brf_members_watcher *w)
{
	brf_list_append(&ms->watchers, &w->link);
}

void
brf_members_unwatch(struct brf_members_watcher *w)
{
	brf_list_remove(&w->link);
}
