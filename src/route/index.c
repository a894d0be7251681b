#include <stdlib.h>

#include <xxhash.h>

#include "route/internal.h"

static struct brf_route_service **
service_bucket(const struct brf_router *r, const char *name)
{
	uint64_t hash = XXH3_64bits(name, strlen(name));

	return ((struct brf_route_service **)&r
		    ->services[hash % BRF_SERVICE_CHAINS]);
}

struct brf_route_service *
brf_index_find_service(const struct brf_router *r, const char *name)
{
	struct brf_route_service *s = *service_bucket(r, name);

	while (s != NULL && strcmp(s->name, name) != 0)
		s = s->next;
	return (s);
}

static struct brf_route_service *
get_or_add_service(struct brf_router *r, const char *name)
{
	struct brf_route_service **bucket = service_bucket(r, name);
	struct brf_route_service *s = brf_index_find_service(r, name);

	if (s != NULL)
		return (s);
	s = brf_calloc(1, sizeof(*s));
	brf_copy_name(s->name, sizeof(s->name), name);
	brf_list_init(&s->nodes);
	s->next = *bucket;
	*bucket = s;
	return (s);
}

static void
remove_service_if_empty(struct brf_router *r, struct brf_route_service *s)
{
	struct brf_route_service **at = service_bucket(r, s->name);
	size_t locality;

	if (!brf_list_empty(&s->nodes))
		return;
	while (*at != s)
		at = &(*at)->next;
	*at = s->next;
	for (locality = 0; locality < BRF_ROUTE_LOCALITY_COUNT; locality++) {
		free(s->ready[locality].list);
		free(s->suspect[locality].list);
	}
	free(s);
}

static void
list_add(
    struct brf_route_list *l, struct brf_route_node *node, size_t *position)
{
	if (l->count == l->cap) {
		l->cap = l->cap != 0 ? l->cap * 2 : 4;
		l->list = brf_realloc(
		    l->list, l->cap * sizeof(struct brf_route_node *));
	}
	l->list[l->count++] = node;
	*position = l->count;
}

/*
 * Removes the node at *@position and moves the last one to its position.
 * @offset is the offset of the position member in struct brf_route_node.
 */
static void
list_remove(struct brf_route_list *l, size_t *position, size_t offset)
{
	struct brf_route_node *last;

	if (*position == 0)
		return;
	last = l->list[--l->count];
	l->list[*position - 1] = last;
	*(size_t *)(void *)((char *)last + offset) = *position;
	*position = 0;
}

static void
remove_from_lists(struct brf_route_node *node)
{
	struct brf_route_service *s = node->service;

	list_remove(&s->ready[node->locality], &node->ready_position,
	    offsetof(struct brf_route_node, ready_position));
	list_remove(&s->suspect[node->locality], &node->suspect_position,
	    offsetof(struct brf_route_node, suspect_position));
}

static void
add_to_lists(struct brf_route_node *node)
{
	struct brf_route_service *s = node->service;

	if (node->member.state == BRF_MEMBER_READY)
		list_add(
		    &s->ready[node->locality], node, &node->ready_position);
	else if (node->member.state == BRF_MEMBER_SUSPECT)
		list_add(
		    &s->suspect[node->locality], node, &node->suspect_position);
}

static enum brf_route_locality
locality_of(const struct brf_router *r, const struct brf_member *m)
{
	const struct brf_member *self = brf_members_self(r->members);

	if (strcmp(m->region, self->region) != 0)
		return (BRF_ROUTE_LOCALITY_OTHER_REGION);
	if (strcmp(m->zone, self->zone) != 0)
		return (BRF_ROUTE_LOCALITY_REGION);
	return (BRF_ROUTE_LOCALITY_ZONE);
}

static struct brf_route_node **
node_bucket(struct brf_router *r, struct brf_id id)
{
	return (&r->nodes[id.lo % BRF_ROUTE_CHAINS]);
}

static struct brf_route_node *
find_node(struct brf_router *r, struct brf_id id)
{
	struct brf_route_node *node = *node_bucket(r, id);

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
	struct brf_route_node **at = node_bucket(r, id);
	struct brf_route_node *node = find_node(r, id);
	struct brf_route_service *s;

	if (node == NULL)
		return;
	while (*at != node)
		at = &(*at)->next;
	*at = node->next;
	s = node->service;
	remove_from_lists(node);
	brf_list_remove(&node->link);
	node->service = NULL;
	node->indexed = false;
	remove_service_if_empty(r, s);
	brf_index_release(node);
}

static struct brf_route_node *
add_node(struct brf_router *r, const struct brf_member *member)
{
	struct brf_route_node **bucket = node_bucket(r, member->node);
	struct brf_route_node *node = brf_calloc(1, sizeof(*node));

	node->member = *member;
	node->indexed = true;
	node->locality = locality_of(r, member);
	node->is_self =
	    brf_id_equal(member->node, brf_members_self(r->members)->node);
	node->service = get_or_add_service(r, member->service);
	brf_list_append(&node->service->nodes, &node->link);
	node->next = *bucket;
	*bucket = node;
	add_to_lists(node);
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
	remove_from_lists(node);
	node->member = *member;
	add_to_lists(node);
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
