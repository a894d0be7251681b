#include <stdlib.h>

#include <xxhash.h>

#include "route/internal.h"

static struct brf_route_service **
service_chain(const struct brf_router *r, const char *name)
{
	uint64_t hash = XXH3_64bits(name, strlen(name));

	return ((struct brf_route_service **)&r
		    ->services[hash % BRF_SERVICE_CHAINS]);
}

struct brf_route_service *
brf_index_find_service(const struct brf_router *r, const char *name)
{
	struct brf_route_service *s = *service_chain(r, name);

	while (s != NULL && strcmp(s->name, name) != 0)
		s = s->next;
	return (s);
}

static struct brf_route_service *
need_service(struct brf_router *r, const char *name)
{
	struct brf_route_service **chain = service_chain(r, name);
	struct brf_route_service *s = brf_index_find_service(r, name);

	if (s != NULL)
		return (s);
	s = brf_calloc(1, sizeof(*s));
	brf_copy_name(s->name, sizeof(s->name), name);
	brf_list_init(&s->nodes);
	s->next = *chain;
	*chain = s;
	return (s);
}

static void
drop_service(struct brf_router *r, struct brf_route_service *s)
{
	struct brf_route_service **at = service_chain(r, s->name);
	size_t ring;

	if (!brf_list_empty(&s->nodes))
		return;
	while (*at != s)
		at = &(*at)->next;
	*at = s->next;
	for (ring = 0; ring < BRF_ROUTE_LOCALITY_COUNT; ring++) {
		free(s->ready[ring].list);
		free(s->suspect[ring].list);
	}
	free(s);
}

static void
list_put(struct brf_route_list *l, struct brf_route_node *node, size_t *place)
{
	if (l->count == l->cap) {
		l->cap = l->cap != 0 ? l->cap * 2 : 4;
		l->list = brf_realloc(
		    l->list, l->cap * sizeof(struct brf_route_node *));
	}
	l->list[l->count++] = node;
	*place = l->count;
}

/* @offset is that of the place in a node, as its list keeps it. */
static void
list_cut(struct brf_route_list *l, size_t *place, size_t offset)
{
	struct brf_route_node *last;

	if (*place == 0)
		return;
	last = l->list[--l->count];
	l->list[*place - 1] = last;
	*(size_t *)(void *)((char *)last + offset) = *place;
	*place = 0;
}

static void
leave_rings(struct brf_route_node *node)
{
	struct brf_route_service *s = node->service;

	list_cut(&s->ready[node->locality], &node->ready_position,
	    offsetof(struct brf_route_node, ready_position));
	list_cut(&s->suspect[node->locality], &node->suspect_position,
	    offsetof(struct brf_route_node, suspect_position));
}

static void
enter_rings(struct brf_route_node *node)
{
	struct brf_route_service *s = node->service;

	if (node->member.state == BRF_MEMBER_READY)
		list_put(
		    &s->ready[node->locality], node, &node->ready_position);
	else if (node->member.state == BRF_MEMBER_SUSPECT)
		list_put(
		    &s->suspect[node->locality], node, &node->suspect_position);
}

static enum brf_route_locality
ring_of(const struct brf_router *r, const struct brf_member *m)
{
	const struct brf_member *self = brf_members_self(r->members);

	if (strcmp(m->region, self->region) != 0)
		return (BRF_ROUTE_LOCALITY_OTHER_REGION);
	if (strcmp(m->zone, self->zone) != 0)
		return (BRF_ROUTE_LOCALITY_REGION);
	return (BRF_ROUTE_LOCALITY_ZONE);
}

static struct brf_route_node **
node_chain(struct brf_router *r, struct brf_id id)
{
	return (&r->nodes[id.lo % BRF_ROUTE_CHAINS]);
}

static struct brf_route_node *
find_node(struct brf_router *r, struct brf_id id)
{
	struct brf_route_node *node = *node_chain(r, id);

	while (node != NULL && !brf_id_equal(node->member.node, id))
		node = node->next;
	return (node);
}

void
brf_index_release(struct brf_route_node *node)
{
	if (node->indexed || node->in_flight != 0)
		return;
	if (node->release != NULL)
		node->release(node->data);
	free(node);
}

void
brf_index_remove(struct brf_router *r, struct brf_id id)
{
	struct brf_route_node **at = node_chain(r, id);
	struct brf_route_node *node = find_node(r, id);
	struct brf_route_service *s;

	if (node == NULL)
		return;
	while (*at != node)
		at = &(*at)->next;
	*at = node->next;
	s = node->service;
	leave_rings(node);
	brf_list_remove(&node->link);
	node->service = NULL;
	node->indexed = false;
	drop_service(r, s);
	brf_index_release(node);
}

static struct brf_route_node *
add_node(struct brf_router *r, const struct brf_member *member)
{
	struct brf_route_node **chain = node_chain(r, member->node);
	struct brf_route_node *node = brf_calloc(1, sizeof(*node));

	node->member = *member;
	node->indexed = true;
	node->locality = ring_of(r, member);
	node->is_self =
	    brf_id_equal(member->node, brf_members_self(r->members)->node);
	node->service = need_service(r, member->service);
	brf_list_append(&node->service->nodes, &node->link);
	node->next = *chain;
	*chain = node;
	enter_rings(node);
	return (node);
}

void
brf_index_update(struct brf_router *r, const struct brf_member *member)
{
	struct brf_route_node *node = find_node(r, member->node);

	if (node != NULL && strcmp(node->member.service, member->service) != 0)
		brf_index_remove(r, member->node);
	if (member->service[0] == '\0')
		return;
	node = find_node(r, member->node);
	if (node == NULL) {
		add_node(r, member);
		return;
	}
	leave_rings(node);
	node->member = *member;
	enter_rings(node);
}

void
brf_index_clear(struct brf_router *r)
{
	size_t i;

	for (i = 0; i < BRF_ROUTE_CHAINS; i++) {
		while (r->nodes[i] != NULL)
			brf_index_remove(r, r->nodes[i]->member.node);
	}
}
