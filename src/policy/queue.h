#ifndef BRF_QUEUE_H
#define BRF_QUEUE_H

#include "policy/admission.h"

/**
 * DOC: Wait queue of one target.
 *
 * A more important class is always served first.  Inside a class the
 * workspaces share by weight (start-time fair queueing, SIGCOMM 1996), each
 * with a flow of its own; a flow serves low ranks first, in
 * BRF_QUEUE_BUCKETS steps, and equal ones in order of arrival.  The ticket to
 * shed first is found in the reverse order: in the least important class, the
 * flow furthest above its share, in it the highest rank, in that the latest
 * arrival.
 *
 * Memory is bounded: BRF_QUEUE_FLOWS workspaces have a flow of their own, the
 * others share one.  A workspace whose weight was set keeps its flow; any other
 * flow is reassigned once it is idle.
 */

#define BRF_QUEUE_FLOWS 128u
#define BRF_QUEUE_PINNED 96u /* workspaces with a weight at most */
#define BRF_QUEUE_BUCKETS 16u
#define BRF_QUEUE_WEIGHT_MAX 1000000u

struct brf_queue;

BRF_BEGIN_DECLS

struct brf_queue *brf_queue_new(void);

/* Tickets that still wait get no callback; they remain their owners'. */
void brf_queue_free(struct brf_queue *q);

/**
 * brf_queue_set_weight() - set the weight of a workspace; 1 unless set.
 * @weight: at most BRF_QUEUE_WEIGHT_MAX; 0 resets it
 *
 * Ignored when BRF_QUEUE_PINNED workspaces have a weight already, or when no
 * flow is idle for a new workspace.
 */
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
 * brf_queue_take() - remove the ticket that brf_queue_next() returned, and
 * charge its flow for it.
 */
void brf_queue_take(struct brf_queue *q, struct brf_admission_ticket *t);

/**
 * brf_queue_worst() - the ticket to shed first; stays in the queue.
 *
 * Return: NULL when nothing waits.
 */
struct brf_admission_ticket *brf_queue_worst(struct brf_queue *q);

/**
 * brf_queue_ahead() - upper bound of the tickets that are served before @t,
 * which waits, provided that no more arrive.
 */
uint32_t brf_queue_ahead(
    const struct brf_queue *q, const struct brf_admission_ticket *t);

/**
 * brf_queue_over_share() - whether the flow of @t, which waits, is over its
 * share: more than twice as many tickets wait for its weight as in the shortest
 * flow of the class that was recently in use.
 */
bool brf_queue_over_share(
    const struct brf_queue *q, const struct brf_admission_ticket *t);

/**
 * brf_queue_under_share() - whether in the flow of @t, which waits, less than
 * half as many tickets wait for its weight as in the longest flow of the class.
 */
bool brf_queue_under_share(
    const struct brf_queue *q, const struct brf_admission_ticket *t);

/**
 * brf_queue_sample() - end a period: update which flows are in use, and the
 * backlogs that brf_queue_over_share() and brf_queue_under_share() compare
 * with.  To be called at regular intervals.
 */
void brf_queue_sample(struct brf_queue *q);

/* All waiting tickets in order of arrival, linked by their member age. */
struct brf_list *brf_queue_by_age(struct brf_queue *q);

/* Class of @t; one that no document defines counts as the least important. */
static inline uint32_t
brf_queue_class(const struct brf_admission_ticket *t)
{
	return (t->cls < BRF_CLASSES ? t->cls : BRF_CLASSES - 1);
}

BRF_END_DECLS

#endif
