#ifndef BRF_QUEUE_H
#define BRF_QUEUE_H

#include "policy/admission.h"

/**
 * DOC: Wait queue of one target.
 *
 * The more important class is served first, always.  Inside a class the
 * workspaces share by weight (start-time fair queueing, SIGCOMM 1996), each
 * with a flow of its own; a flow serves low ranks first, in
 * BRF_QUEUE_BUCKETS steps, and equal ones in order of arrival.  What is to be
 * shed is found the other way round: the least important class, in it the
 * flow furthest above its share, in it the highest rank, last come.
 *
 * State is bounded: BRF_QUEUE_FLOWS workspaces have a flow, the rest share
 * one.  Workspaces with a weight keep theirs.
 */

#define BRF_QUEUE_FLOWS 128u
#define BRF_QUEUE_PINNED 96u /* flows that weights may hold */
#define BRF_QUEUE_BUCKETS 16u
#define BRF_QUEUE_WEIGHT_MAX 1000000u

struct brf_queue;

BRF_BEGIN_DECLS

struct brf_queue *brf_queue_new(void);

/* Tickets that still wait are let go without a callback. */
void brf_queue_free(struct brf_queue *q);

/* Share of @workspace; 0 takes it back.  Over BRF_QUEUE_PINNED: ignored. */
void brf_queue_set_weight(
    struct brf_queue *q, const char *workspace, uint32_t weight);

uint32_t brf_queue_count(const struct brf_queue *q);

void brf_queue_push(struct brf_queue *q, struct brf_admission_ticket *t);
void brf_queue_remove(struct brf_queue *q, struct brf_admission_ticket *t);

/**
 * brf_queue_next() - the ticket to run next; stays in the queue.
 *
 * Return: NULL when nothing waits.
 */
struct brf_admission_ticket *brf_queue_next(struct brf_queue *q);

/**
 * brf_queue_take() - remove what brf_queue_next() gave, and charge its flow.
 */
void brf_queue_take(struct brf_queue *q, struct brf_admission_ticket *t);

/**
 * brf_queue_worst() - the ticket to shed first; stays in the queue.
 *
 * Return: NULL when nothing waits.
 */
struct brf_admission_ticket *brf_queue_worst(struct brf_queue *q);

/**
 * brf_queue_ahead() - tickets that will be served before @t, a waiting one, at
 * most, if no more come.
 */
uint32_t brf_queue_ahead(const struct brf_queue *q, const struct brf_admission_ticket *t);

/**
 * brf_queue_over_share() - whether the flow of @t, a waiting one, has more
 * waiting for its weight than another one that was lately in use.
 */
bool brf_queue_over_share(
    const struct brf_queue *q, const struct brf_admission_ticket *t);

/**
 * brf_queue_under_share() - whether the flow of @t, a waiting one, has less
 * than half as much waiting for its weight as the longest of its class.
 */
bool brf_queue_under_share(
    const struct brf_queue *q, const struct brf_admission_ticket *t);

/**
 * brf_queue_sample() - to be called at regular times: look again which flows
 * are in use, and how much waits in them.
 */
void brf_queue_sample(struct brf_queue *q);

/* All waiting tickets in order of arrival, linked by brf_admission_ticket.age. */
struct brf_list *brf_queue_by_age(struct brf_queue *q);

/* A class that documents do not know counts as the least important one. */
static inline uint32_t
brf_queue_class(const struct brf_admission_ticket *t)
{
	return (t->cls < BRF_CLASSES ? t->cls : BRF_CLASSES - 1);
}

BRF_END_DECLS

#endif
