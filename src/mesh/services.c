#include <stdlib.h>

#include "base/log.h"
#include "mesh/services.h"

#define SERVICE_BITS 64u

static bool
same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return (a->sin_port == b->sin_port &&
		a->sin_addr.s_addr == b->sin_addr.s_addr);
}

static enum brf_locality
locality_of(const struct brf_mesh_services *s, const struct brf_entry *e)
{
	if (same_address(&e->gate, &s->config.self))
		return (BRF_LOCALITY_SELF);
	if (strcmp(e->zone, s->config.zone) == 0)
		return (BRF_LOCALITY_ZONE);
	if (strcmp(e->region, s->config.region) == 0)
		return (BRF_LOCALITY_REGION);
	return (BRF_LOCALITY_FAR);
}

static struct brf_mesh_service *
find(const struct brf_mesh_services *s, const char *name)
{
	struct brf_mesh_service *service;
	struct brf_list *l;

	brf_list_foreach (l, &s->list) {
		service = brf_list_entry(l, struct brf_mesh_service, link);
		if (strcmp(service->name, name) == 0)
			return (service);
	}
	return (NULL);
}

uint64_t
brf_mesh_service_bit(const struct brf_mesh_services *s, const char *name)
{
	const struct brf_mesh_service *service = find(s, name);

	return (service != NULL ? service->bit : 0);
}

struct brf_mesh_service *
brf_mesh_service_get(struct brf_mesh_services *s, const char *name)
{
	struct brf_mesh_service *service = find(s, name);

	if (service != NULL)
		return (service);
	service = brf_calloc(1, sizeof(*service));
	service->bit = 1ull << s->count++ % SERVICE_BITS;
	brf_copy_name(service->name, sizeof(service->name), name);
	brf_retry_window_init(&service->retry_budget,
	    s->config.retry_budget_ratio, s->config.retry_budget_window_us);
	brf_list_append(&s->list, &service->link);
	return (service);
}

void
brf_mesh_peer_unref(struct brf_mesh_peer *peer)
{
	if (--peer->refs == 0)
		free(peer);
}

static void
remove_from_service(struct brf_mesh_peer *peer)
{
	struct brf_mesh_service *service = peer->service;
	size_t i;

	for (i = 0; i < service->count; i++) {
		if (service->peers[i] != peer)
			continue;
		service->peers[i] = service->peers[--service->count];
		return;
	}
}

static void
update_bits(struct brf_mesh_services *s)
{
	struct brf_mesh_service *service;
	struct brf_list *l;

	s->bits = 0;
	brf_list_foreach (l, &s->list) {
		service = brf_list_entry(l, struct brf_mesh_service, link);
		if (service->count != 0)
			s->bits |= service->bit;
	}
}

static void
add_to_service(struct brf_mesh_peer *peer, struct brf_mesh_service *service)
{
	peer->service = service;
	if (service->count < BRF_BALANCER_TARGETS_MAX)
		service->peers[service->count++] = peer;
}

/* Replace the link of @peer by one to @addr; by none when @addr is NULL. */
static void
set_link(struct brf_mesh_peer *peer, const struct sockaddr_in *addr)
{
	struct brf_link *previous = peer->link;

	peer->link = addr != NULL
			 ? brf_links_get(peer->services->config.links, addr)
			 : NULL;
	if (previous != NULL)
		brf_link_release(previous);
}

static uint64_t
now_of(const struct brf_mesh_services *s)
{
	return (brf_now(brf_timers_clock(s->config.timers)));
}

static void
set_report(struct brf_mesh_peer *peer, const struct brf_target_report *report,
    uint64_t now)
{
	bool changed =
	    peer->report.leaving != report->self.leaving ||
	    (peer->report.rate_limit == 0) != (report->self.rate_limit == 0);

	peer->report = report->self;
	brf_balancer_report(&peer->balancer, report, now);
	if (changed)
		brf_log(BRF_LOG_INFO, "target_report",
		    BRF_LS("target", peer->id), BRF_LS("source", "gate"),
		    BRF_LD("rate_limit", report->self.rate_limit),
		    BRF_LU("leaving", report->self.leaving));
}

/* Entries may come out of order, so that an incarnation may return. */
static void
remember_report(const struct brf_mesh_peer *peer)
{
	brf_report_memory_put(&peer->services->reports, peer->id, peer->born,
	    &peer->report, now_of(peer->services));
}

static void
log_readmitted(const struct brf_mesh_peer *peer, const char *why)
{
	brf_log(BRF_LOG_INFO, "target_readmitted", BRF_LS("target", peer->id),
	    BRF_LS("why", why));
}

/* Begin with what is remembered of this incarnation. */
static void
begin_incarnation(struct brf_mesh_peer *peer, uint64_t born)
{
	struct brf_mesh_services *s = peer->services;
	struct brf_target_report report = { .born = born };
	uint64_t t = now_of(s);

	peer->born = born;
	peer->balancer.leaving = false;
	memset(&peer->report, 0, sizeof(peer->report));
	brf_report_memory_take(&s->reports, peer->id, born, &report.self, t);
	set_report(peer, &report, t);
}

/* An entry tells of another incarnation, or that the target's node is there. */
static void
update_ejection(
    struct brf_mesh_peer *peer, const struct brf_directory_target *t)
{
	bool was_ejected = brf_balancer_is_ejected(&peer->balancer);
	bool is_other = peer->born != t->entry.born;

	if (is_other)
		brf_balancer_new_incarnation(&peer->balancer);
	else if (!t->lapsed)
		brf_balancer_announced(&peer->balancer);
	if (was_ejected && !brf_balancer_is_ejected(&peer->balancer))
		log_readmitted(peer, is_other ? "incarnation" : "entry");
}

static void
update_peer(struct brf_mesh_peer *peer, const struct brf_directory_target *t)
{
	struct brf_mesh_services *s = peer->services;
	const struct brf_entry *e = &t->entry;
	struct brf_mesh_service *service = brf_mesh_service_get(s, e->service);

	peer->balancer.slots = e->slots;
	peer->balancer.locality = locality_of(s, e);
	set_link(peer,
	    peer->balancer.locality != BRF_LOCALITY_SELF ? &e->gate : NULL);
	peer->balancer.warmup_end = t->received_at + e->warmup_us;
	peer->balancer.draining = e->state != BRF_TARGET_READY;
	peer->balancer.drain_backoff_until = 0;
	update_ejection(peer, t);
	if (peer->born != e->born) {
		remember_report(peer);
		begin_incarnation(peer, e->born);
	}
	if (peer->service != service) {
		remove_from_service(peer);
		add_to_service(peer, service);
	}
}

static void
add_peer(struct brf_mesh_services *s, struct brf_directory_target *t)
{
	const struct brf_entry *e = &t->entry;
	struct brf_mesh_peer *peer = brf_calloc(1, sizeof(*peer));

	peer->refs = 1;
	peer->services = s;
	peer->target = t;
	t->data = peer;
	brf_copy_name(peer->id, sizeof(peer->id), e->id);
	brf_balancer_target_init(&peer->balancer, locality_of(s, e), e->slots);
	begin_incarnation(peer, e->born);
	add_to_service(peer, brf_mesh_service_get(s, e->service));
}

static void
on_changed(struct brf_directory_watcher *w, struct brf_directory_target *t,
    bool is_new)
{
	struct brf_mesh_services *s =
	    brf_container_of(w, struct brf_mesh_services, watcher);
	struct brf_mesh_peer *peer;

	if (is_new)
		add_peer(s, t);
	peer = t->data;
	update_peer(peer, t);
	update_bits(s);
	if (peer->balancer.locality == BRF_LOCALITY_SELF)
		s->own_target_seen(s->arg, t);
}

static void
on_gone(struct brf_directory_watcher *w, struct brf_directory_target *t)
{
	struct brf_mesh_services *s =
	    brf_container_of(w, struct brf_mesh_services, watcher);
	struct brf_mesh_peer *peer = t->data;

	peer->target = NULL;
	remember_report(peer);
	remove_from_service(peer);
	update_bits(s);
	set_link(peer, NULL);
	brf_mesh_peer_unref(peer);
}

void
brf_mesh_services_init(
    struct brf_mesh_services *s, const struct brf_mesh_services_config *config)
{
	memset(s, 0, sizeof(*s));
	s->watcher.changed = on_changed;
	s->watcher.removed = on_gone;
	s->config = *config;
	brf_list_init(&s->list);
	brf_report_memory_init(&s->reports);
}

void
brf_mesh_services_finish(struct brf_mesh_services *s)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&s->list)) != NULL)
		free(brf_list_entry(l, struct brf_mesh_service, link));
	brf_report_memory_finish(&s->reports);
}

static bool
contains(struct brf_mesh_peer *const *list, size_t count,
    const struct brf_mesh_peer *peer)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (list[i] == peer)
			return (true);
	}
	return (false);
}

/* Copy the health of the link to the target, by which it is chosen. */
static void
update_health(struct brf_mesh_peer *peer)
{
	enum brf_link_health health;

	if (peer->link == NULL)
		return;
	health = brf_link_health(peer->link);
	peer->balancer.silent = health == BRF_LINK_SILENT;
	peer->balancer.down = health == BRF_LINK_DOWN;
}

/**
 * struct candidates - the targets of a service, as the balancer takes them.
 */
struct candidates {
	struct brf_balancer_target *targets[BRF_BALANCER_TARGETS_MAX];
	bool was_tried[BRF_BALANCER_TARGETS_MAX];
};

static void
list_candidates(const struct brf_mesh_service *service,
    struct brf_mesh_peer *const *tried, size_t tried_count,
    struct candidates *c)
{
	struct brf_mesh_peer *peer;
	size_t i;

	for (i = 0; i < service->count; i++) {
		peer = service->peers[i];
		update_health(peer);
		c->targets[i] = &peer->balancer;
		c->was_tried[i] = contains(tried, tried_count, peer);
	}
}

bool
brf_mesh_service_has_unlimited(struct brf_mesh_service *service,
    struct brf_balancer_request *request, struct brf_mesh_peer *const *tried,
    size_t tried_count, const struct brf_mesh_peer *peer, uint64_t now)
{
	struct candidates c;
	size_t except;

	list_candidates(service, tried, tried_count, &c);
	request->tried = c.was_tried;
	for (except = 0; except < service->count; except++) {
		if (service->peers[except] == peer)
			break;
	}
	return (brf_balancer_has_unlimited(
	    c.targets, service->count, request, except, now));
}

size_t
brf_mesh_services_count_ejected(const struct brf_mesh_services *s)
{
	const struct brf_mesh_service *service;
	struct brf_list *l;
	size_t i, count = 0;

	brf_list_foreach (l, &s->list) {
		service = brf_list_entry(l, struct brf_mesh_service, link);
		for (i = 0; i < service->count; i++)
			count += brf_balancer_is_ejected(
			    &service->peers[i]->balancer);
	}
	return (count);
}

size_t
brf_mesh_service_sound_targets(const struct brf_mesh_service *service)
{
	const struct brf_balancer_target *t;
	size_t i, count = 0;

	for (i = 0; i < service->count; i++) {
		update_health(service->peers[i]);
		t = &service->peers[i]->balancer;
		count += !t->draining && !t->leaving && !t->silent &&
			 !t->down && t->ejected_until == 0;
	}
	return (count);
}

uint64_t
brf_mesh_service_permit_wait_us(
    const struct brf_mesh_service *service, uint64_t now)
{
	const struct brf_balancer_target *t;
	uint64_t soonest = UINT64_MAX, wait;
	size_t i;

	for (i = 0; i < service->count; i++) {
		t = &service->peers[i]->balancer;
		if (t->draining || t->leaving)
			continue;
		if (t->rate_limit == 0)
			return (0);
		wait = t->permit_at > now ? t->permit_at - now : 0;
		if (wait < soonest)
			soonest = wait;
	}
	return (soonest != UINT64_MAX ? soonest : 0);
}

struct brf_mesh_peer *
brf_mesh_service_choose(struct brf_mesh_service *service,
    struct brf_balancer_request *request, struct brf_mesh_peer *const *tried,
    size_t tried_count, struct brf_random *random, uint64_t now)
{
	struct candidates c;
	size_t chosen;

	list_candidates(service, tried, tried_count, &c);
	request->tried = c.was_tried;
	chosen = brf_balancer_choose(
	    c.targets, service->count, request, random, now);
	if (chosen == BRF_BALANCER_NONE)
		return (NULL);
	service->peers[chosen]->refs++;
	return (service->peers[chosen]);
}

void
brf_mesh_peer_ended(struct brf_mesh_peer *peer, uint64_t born,
    enum brf_balancer_feedback end, const struct brf_gate_load *load,
    uint64_t now)
{
	uint64_t previous_until = peer->balancer.ejected_until;

	if (born != peer->born) {
		end = BRF_FEEDBACK_NONE;
		load = NULL;
	}
	brf_balancer_hop_ended(&peer->balancer, end, load, now);
	/* hops that were open at the ejection may prolong it; log it once */
	if (peer->balancer.ejected_until > now && previous_until <= now)
		brf_log(BRF_LOG_INFO, "target_ejected",
		    BRF_LS("target", peer->id),
		    BRF_LU(
			"lost_in_a_row", peer->balancer.consecutive_failures),
		    BRF_LU("unanswered", peer->balancer.unanswered),
		    BRF_LD("good", peer->balancer.success_rate),
		    BRF_LU("for_ms",
			(peer->balancer.ejected_until - now) / BRF_US_PER_MS));
	else if (previous_until != 0 && peer->balancer.ejected_until == 0)
		log_readmitted(peer, "response");
}

/*
 * The peer that the directory has for the target of @peer, which it may have
 * dropped and read again during a hop; NULL for none.
 */
static struct brf_mesh_peer *
current_peer(struct brf_mesh_peer *peer)
{
	const struct brf_mesh_service *service = peer->service;
	size_t i;

	if (peer->target != NULL)
		return (peer);
	for (i = 0; i < service->count; i++) {
		if (strcmp(service->peers[i]->id, peer->id) == 0)
			return (service->peers[i]);
	}
	return (NULL);
}

void
brf_mesh_peer_reported(struct brf_mesh_peer *peer,
    const struct brf_target_report *report, uint64_t now)
{
	struct brf_mesh_peer *current = current_peer(peer);
	struct brf_target_report own = *report;
	bool names_incarnation =
	    report->self.rate_limit != 0 || report->self.leaving;

	if (!report->self.heard)
		return;
	if (current != NULL &&
	    (!names_incarnation || report->born == current->born)) {
		own.self.leaving = own.self.leaving || current->report.leaving;
		set_report(current, &own, now);
	} else if (names_incarnation)
		brf_report_memory_put(&peer->services->reports, peer->id,
		    report->born, &report->self, now);
}
