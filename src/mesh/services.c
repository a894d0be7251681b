#include <stdlib.h>

#include "base/log.h"
#include "mesh/services.h"

#define BITS 64u

static bool
same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return (a->sin_port == b->sin_port &&
		a->sin_addr.s_addr == b->sin_addr.s_addr);
}

static enum brf_place_ring
ring_of(const struct brf_mesh_services *s, const struct brf_entry *e)
{
	if (same_address(&e->gate, &s->config.self))
		return (BRF_PLACE_SELF);
	if (strcmp(e->zone, s->config.zone) == 0)
		return (BRF_PLACE_ZONE);
	if (strcmp(e->region, s->config.region) == 0)
		return (BRF_PLACE_REGION);
	return (BRF_PLACE_FAR);
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
	service->bit = 1ull << s->count++ % BITS;
	brf_copy_name(service->name, sizeof(service->name), name);
	brf_repeat_budget_init(&service->repeats, s->config.repeat_ratio,
	    s->config.repeat_window_us);
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
leave_service(struct brf_mesh_peer *peer)
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
note_bits(struct brf_mesh_services *s)
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
enter_service(struct brf_mesh_peer *peer, struct brf_mesh_service *service)
{
	peer->service = service;
	if (service->count < BRF_PLACE_MAX)
		service->peers[service->count++] = peer;
}

/* Reach @peer's target at @addr from now on; NULL for not at all. */
static void
set_link(struct brf_mesh_peer *peer, const struct sockaddr_in *addr)
{
	struct brf_link *before = peer->link;

	peer->link =
	    addr != NULL ? brf_links_get(peer->all->config.links, addr) : NULL;
	if (before != NULL)
		brf_link_release(before);
}

static void
update(struct brf_mesh_peer *peer, const struct brf_directory_target *t)
{
	struct brf_mesh_services *s = peer->all;
	const struct brf_entry *e = &t->entry;
	struct brf_mesh_service *service = brf_mesh_service_get(s, e->service);

	peer->place.slots = e->slots;
	peer->place.ring = ring_of(s, e);
	set_link(peer, peer->place.ring != BRF_PLACE_SELF ? &e->gate : NULL);
	peer->place.warm_at = t->seen + e->warmup_us;
	peer->place.draining = e->state != BRF_TARGET_READY;
	peer->place.leaving_until = 0;
	if (peer->service != service) {
		leave_service(peer);
		enter_service(peer, service);
	}
}

static void
add(struct brf_mesh_services *s, struct brf_directory_target *t)
{
	const struct brf_entry *e = &t->entry;
	struct brf_mesh_peer *peer = brf_calloc(1, sizeof(*peer));

	peer->refs = 1;
	peer->all = s;
	peer->target = t;
	t->data = peer;
	brf_copy_name(peer->id, sizeof(peer->id), e->id);
	brf_place_target_init(&peer->place, ring_of(s, e), e->slots);
	enter_service(peer, brf_mesh_service_get(s, e->service));
}

static void
on_changed(struct brf_directory_watcher *w, struct brf_directory_target *t,
    bool is_new)
{
	struct brf_mesh_services *s =
	    brf_container_of(w, struct brf_mesh_services, watcher);
	struct brf_mesh_peer *peer;

	if (is_new)
		add(s, t);
	peer = t->data;
	update(peer, t);
	note_bits(s);
	if (t->lapsed && peer->place.ring == BRF_PLACE_SELF)
		s->lapsed_here(s->arg, peer->id);
}

static void
on_gone(struct brf_directory_watcher *w, struct brf_directory_target *t)
{
	struct brf_mesh_services *s =
	    brf_container_of(w, struct brf_mesh_services, watcher);
	struct brf_mesh_peer *peer = t->data;

	peer->target = NULL;
	leave_service(peer);
	note_bits(s);
	set_link(peer, NULL);
	brf_mesh_peer_unref(peer);
}

void
brf_mesh_services_init(
    struct brf_mesh_services *s, const struct brf_mesh_services_config *config)
{
	memset(s, 0, sizeof(*s));
	s->watcher.changed = on_changed;
	s->watcher.gone = on_gone;
	s->config = *config;
	brf_list_init(&s->list);
}

void
brf_mesh_services_finish(struct brf_mesh_services *s)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&s->list)) != NULL)
		free(brf_list_entry(l, struct brf_mesh_service, link));
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

/* What the link knows of the way to a target. */
static void
note_health(struct brf_mesh_peer *peer)
{
	enum brf_link_health health;

	if (peer->link == NULL)
		return;
	health = brf_link_health(peer->link);
	peer->place.silent = health == BRF_LINK_SILENT;
	peer->place.down = health == BRF_LINK_DOWN;
}

struct brf_mesh_peer *
brf_mesh_service_choose(struct brf_mesh_service *service,
    struct brf_place_request *request, struct brf_mesh_peer *const *tried,
    size_t tried_count, struct brf_random *random, uint64_t now)
{
	struct brf_place_target *places[BRF_PLACE_MAX];
	bool was_tried[BRF_PLACE_MAX];
	struct brf_mesh_peer *peer;
	size_t i, n;

	for (i = 0; i < service->count; i++) {
		peer = service->peers[i];
		note_health(peer);
		places[i] = &peer->place;
		was_tried[i] = contains(tried, tried_count, peer);
	}
	request->tried = was_tried;
	n = brf_place_choose(places, service->count, request, random, now);
	if (n == BRF_PLACE_NONE)
		return (NULL);
	service->peers[n]->refs++;
	return (service->peers[n]);
}

void
brf_mesh_peer_ended(struct brf_mesh_peer *peer, enum brf_place_end end,
    const struct brf_gate_load *load, uint64_t now)
{
	uint64_t until = peer->place.ejected_until;
	bool was_out = until != 0;

	brf_place_ended(&peer->place, end, load, now);
	/* hops that were open when it was ejected say nothing new */
	if (peer->place.ejected_until > now && until <= now)
		brf_log(BRF_LOG_INFO, "target_ejected",
		    BRF_LS("target", peer->id),
		    BRF_LU("lost_in_a_row", peer->place.streak),
		    BRF_LD("good", peer->place.good),
		    BRF_LU("for_ms",
			(peer->place.ejected_until - now) / BRF_US_PER_MS));
	else if (was_out && peer->place.ejected_until == 0)
		brf_log(BRF_LOG_INFO, "target_readmitted",
		    BRF_LS("target", peer->id));
}
