#ifndef BRF_LIST_H
#define BRF_LIST_H

#include "base/base.h"

/**
 * struct brf_list - link of a doubly linked intrusive list, and its head.
 *
 * A head points to itself when the list is empty; so does a link that is in
 * no list after brf_list_init() or brf_list_remove().
 */
struct brf_list {
	struct brf_list *next;
	struct brf_list *prev;
};

static inline void
brf_list_init(struct brf_list *l)
{
	l->next = l;
	l->prev = l;
}

static inline bool
brf_list_empty(const struct brf_list *l)
{
	return (l->next == l);
}

static inline void
brf_list_append(struct brf_list *head, struct brf_list *l)
{
	l->prev = head->prev;
	l->next = head;
	head->prev->next = l;
	head->prev = l;
}

static inline void
brf_list_prepend(struct brf_list *head, struct brf_list *l)
{
	brf_list_append(head->next, l);
}

/* Removing a link twice, or one that was only initialised, does nothing. */
static inline void
brf_list_remove(struct brf_list *l)
{
	l->prev->next = l->next;
	l->next->prev = l->prev;
	brf_list_init(l);
}

/* Remove the first link; NULL when there is none. */
static inline struct brf_list *
brf_list_pop(struct brf_list *head)
{
	struct brf_list *l = head->next;

	if (l == head)
		return (NULL);
	head->next = l->next;
	l->next->prev = head;
	brf_list_init(l);
	return (l);
}

/* Move all of @from, which may be empty, to the end of @to. */
static inline void
brf_list_move(struct brf_list *to, struct brf_list *from)
{
	if (brf_list_empty(from))
		return;
	from->next->prev = to->prev;
	to->prev->next = from->next;
	from->prev->next = to;
	to->prev = from->prev;
	brf_list_init(from);
}

#define brf_list_entry(l, type, member) brf_container_of(l, type, member)

#define brf_list_foreach(l, head) \
	for ((l) = (head)->next; (l) != (head); (l) = (l)->next)

/* The current link may be removed in the body. */
#define brf_list_foreach_safe(l, tmp, head)                        \
	for ((l) = (head)->next, (tmp) = (l)->next; (l) != (head); \
	     (l) = (tmp), (tmp) = (l)->next)

#endif
