#include <float.h>
#include <stdlib.h>

#include <xxhash.h>

#include "policy/queue.h"

#define CHAINS 64u
#define BUCKET_RANKS (BRF_RANK_CLASS / BRF_QUEUE_BUCKETS)

/* A flow is over its share above twice the smallest backlog plus this. */
#define OVER_SHARE_SLACK 1.0

/**
 * struct flowq - waiting tickets of one flow in one class.
 * @active: in the class's list while tickets wait
 * @buckets: tickets by bucket_of(), each bucket in order of arrival
 * @occupied: bit i is set while buckets[i] is not empty
 * @waiting: number of waiting tickets
 * @start_tag: virtual time at which the next ticket starts
 * @last_used: period in which a ticket was added last
 */
struct flowq {
	struct brf_list active;
	struct brf_list buckets[BRF_QUEUE_BUCKETS];
	uint32_t occupied;
	uint32_t waiting;
	double start_tag;
	uint64_t last_used;
};

/**
 * struct brf_flow - one workspace, or all that have no flow of their own.
 * @chain: in the hash table while it belongs to a workspace
 * @idle: in the queue's list while nothing waits and it has no set weight
 * @hash: of @workspace
 * @waiting: waiting tickets over all classes
 * @pinned: has a weight that was set, and so is not reassigned
 */
struct brf_flow {
	struct brf_list chain;
	struct brf_list idle;
	uint64_t hash;
	char workspace[BRF_NAME_MAX + 1];
	uint32_t weight;
	uint32_t waiting;
	bool pinned;
	struct flowq queues[BRF_CLASSES];
};

/**
 * struct classq - one class.
 * @active: flow queues in which tickets wait
 * @waiting: waiting tickets
 * @total_weight: sum of the weights of the flows in @active
 * @virtual_time: start tag of the ticket taken last
 * @min_backlog: smallest backlog() of the flow queues in use at the last
 *	sample
 * @max_backlog: likewise, the largest
 */
struct classq {
	struct brf_list active;
	uint32_t waiting;
	uint64_t total_weight;
	double virtual_time;
	double min_backlog;
	double max_backlog;
};

/**
 * struct brf_queue - see queue.h.
 * @by_age: all waiting tickets in order of arrival
 * @chains: hash table of the flows that belong to a workspace
 * @idle: flows that may be reassigned, the one idle for longest first
 * @count: waiting tickets
 * @pinned: flows with a weight that was set
 * @period: number of the current period; brf_queue_sample() ends it
 * @shared: flow of the workspaces that have none of their own
 */
struct brf_queue {
	struct classq classes[BRF_CLASSES];
	struct brf_list by_age;
	struct brf_list chains[CHAINS];
	struct brf_list idle;
	uint32_t count;
	uint32_t pinned;
	uint64_t period;
	struct brf_flow flows[BRF_QUEUE_FLOWS];
	struct brf_flow shared;
};

static void
flow_init(struct brf_flow *f)
{
	size_t i, j;

	brf_list_init(&f->chain);
	brf_list_init(&f->idle);
	f->weight = 1;
	for (i = 0; i < BRF_CLASSES; i++) {
		brf_list_init(&f->queues[i].active);
		for (j = 0; j < BRF_QUEUE_BUCKETS; j++)
			brf_list_init(&f->queues[i].buckets[j]);
	}
}

struct brf_queue *
brf_queue_new(void)
{
	struct brf_queue *q = brf_calloc(1, sizeof(*q));
	size_t i;

	brf_list_init(&q->by_age);
	brf_list_init(&q->idle);
	for (i = 0; i < BRF_CLASSES; i++)
		brf_list_init(&q->classes[i].active);
	for (i = 0; i < CHAINS; i++)
		brf_list_init(&q->chains[i]);
	flow_init(&q->shared);
	for (i = 0; i < BRF_QUEUE_FLOWS; i++) {
		flow_init(&q->flows[i]);
		brf_list_append(&q->idle, &q->flows[i].idle);
	}
	q->period = 2;
	brf_queue_sample(q);
	return (q);
}

void
brf_queue_free(struct brf_queue *q)
{
	free(q);
}

static struct brf_flow *
find_flow(struct brf_queue *q, const char *workspace, uint64_t hash)
{
	struct brf_list *l, *head = &q->chains[hash % CHAINS];
	struct brf_flow *f;

	brf_list_foreach (l, head) {
		f = brf_list_entry(l, struct brf_flow, chain);
		if (f->hash == hash && strcmp(f->workspace, workspace) == 0)
			return (f);
	}
	return (NULL);
}

/*
 * Reassign the flow that was idle for longest.  It keeps its start tags:
 * otherwise a client that uses a new workspace name for each request would
 * always count as not served yet.
 */
static struct brf_flow *
claim_flow(struct brf_queue *q, const char *workspace, uint64_t hash)
{
	struct brf_flow *f;
	size_t i;

	if (brf_list_empty(&q->idle))
		return (NULL);
	f = brf_list_entry(q->idle.next, struct brf_flow, idle);
	brf_list_remove(&f->chain);
	brf_copy_name(f->workspace, sizeof(f->workspace), workspace);
	f->hash = hash;
	f->weight = 1;
	for (i = 0; i < BRF_CLASSES; i++)
		f->queues[i].last_used = 0;
	brf_list_append(&q->chains[hash % CHAINS], &f->chain);
	return (f);
}

static struct brf_flow *
flow_for(struct brf_queue *q, const char *workspace)
{
	const char *name = workspace != NULL ? workspace : "";
	uint64_t hash = XXH3_64bits(name, strlen(name));
	struct brf_flow *f = find_flow(q, name, hash);

	return (f != NULL ? f : claim_flow(q, name, hash));
}

/* Add @f to the idle list or remove it, by its state. */
static void
update_idle(struct brf_queue *q, struct brf_flow *f)
{
	bool idle = f->waiting == 0 && !f->pinned && f != &q->shared;

	brf_list_remove(&f->idle);
	if (idle)
		brf_list_append(&q->idle, &f->idle);
}

static void
change_weight(struct brf_queue *q, struct brf_flow *f, uint32_t weight)
{
	size_t i;

	for (i = 0; i < BRF_CLASSES; i++) {
		if (f->queues[i].waiting == 0)
			continue;
		q->classes[i].total_weight -= f->weight;
		q->classes[i].total_weight += weight;
	}
	f->weight = weight;
}

void
brf_queue_set_weight(
    struct brf_queue *q, const char *workspace, uint32_t weight)
{
	struct brf_flow *f = flow_for(q, workspace);
	bool pin = weight != 0;

	if (f == NULL || (pin && !f->pinned && q->pinned >= BRF_QUEUE_PINNED))
		return;
	if (weight > BRF_QUEUE_WEIGHT_MAX)
		weight = BRF_QUEUE_WEIGHT_MAX;
	change_weight(q, f, pin ? weight : 1);
	if (pin && !f->pinned)
		q->pinned++;
	if (!pin && f->pinned)
		q->pinned--;
	f->pinned = pin;
	update_idle(q, f);
}

uint32_t
brf_queue_count(const struct brf_queue *q)
{
	return (q->count);
}

static uint32_t
bucket_of(const struct brf_admission_ticket *t)
{
	return (t->rank % BRF_RANK_CLASS / BUCKET_RANKS);
}

static struct flowq *
flowq_of(const struct brf_admission_ticket *t)
{
	return (&t->flow->queues[brf_queue_class(t)]);
}

static void
activate_flowq(struct classq *classq, struct brf_flow *f, struct flowq *flowq)
{
	if (flowq->start_tag < classq->virtual_time)
		flowq->start_tag = classq->virtual_time;
	brf_list_append(&classq->active, &flowq->active);
	classq->total_weight += f->weight;
}

static void
deactivate_flowq(struct classq *classq, struct brf_flow *f, struct flowq *flowq)
{
	brf_list_remove(&flowq->active);
	classq->total_weight -= f->weight;
}

void
brf_queue_push(struct brf_queue *q, struct brf_admission_ticket *t)
{
	struct classq *classq = &q->classes[brf_queue_class(t)];
	struct brf_flow *f = flow_for(q, t->workspace);
	uint32_t bucket = bucket_of(t);
	struct flowq *flowq;

	t->flow = f != NULL ? f : &q->shared;
	flowq = flowq_of(t);
	if (flowq->waiting++ == 0)
		activate_flowq(classq, t->flow, flowq);
	if (t->flow->waiting++ == 0)
		update_idle(q, t->flow);
	flowq->last_used = q->period;
	flowq->occupied |= 1u << bucket;
	brf_list_append(&flowq->buckets[bucket], &t->link);
	brf_list_append(&q->by_age, &t->age);
	classq->waiting++;
	q->count++;
}

void
brf_queue_remove(struct brf_queue *q, struct brf_admission_ticket *t)
{
	struct classq *classq = &q->classes[brf_queue_class(t)];
	struct brf_flow *f = t->flow;
	struct flowq *flowq = flowq_of(t);
	uint32_t bucket = bucket_of(t);

	brf_list_remove(&t->link);
	brf_list_remove(&t->age);
	if (brf_list_empty(&flowq->buckets[bucket]))
		flowq->occupied &= ~(1u << bucket);
	if (--flowq->waiting == 0)
		deactivate_flowq(classq, f, flowq);
	if (--f->waiting == 0)
		update_idle(q, f);
	classq->waiting--;
	q->count--;
	t->flow = NULL;
}

static struct brf_flow *
flow_of_flowq(struct flowq *flowq, size_t cls)
{
	return (brf_container_of(flowq - cls, struct brf_flow, queues));
}

static struct flowq *
earliest_flowq(struct classq *classq)
{
	struct flowq *flowq, *best = NULL;
	struct brf_list *l;

	brf_list_foreach (l, &classq->active) {
		flowq = brf_list_entry(l, struct flowq, active);
		if (best == NULL || flowq->start_tag < best->start_tag)
			best = flowq;
	}
	return (best);
}

struct brf_admission_ticket *
brf_queue_next(struct brf_queue *q)
{
	struct flowq *flowq;
	size_t cls;
	int bucket;

	for (cls = 0; cls < BRF_CLASSES; cls++) {
		if (q->classes[cls].waiting == 0)
			continue;
		flowq = earliest_flowq(&q->classes[cls]);
		bucket = __builtin_ctz(flowq->occupied);
		return (brf_list_entry(flowq->buckets[bucket].next,
		    struct brf_admission_ticket, link));
	}
	return (NULL);
}

void
brf_queue_take(struct brf_queue *q, struct brf_admission_ticket *t)
{
	struct classq *classq = &q->classes[brf_queue_class(t)];
	struct flowq *flowq = flowq_of(t);

	classq->virtual_time = flowq->start_tag;
	flowq->start_tag += 1.0 / t->flow->weight;
	brf_queue_remove(q, t);
}

/* Waiting tickets in proportion to the weight. */
static double
backlog(const struct flowq *flowq, const struct brf_flow *f)
{
	return ((double)flowq->waiting / f->weight);
}

static struct flowq *
longest_flowq(struct classq *classq, size_t cls)
{
	struct flowq *flowq, *best = NULL;
	double length, max_backlog = -1;
	struct brf_list *l;

	brf_list_foreach (l, &classq->active) {
		flowq = brf_list_entry(l, struct flowq, active);
		length = backlog(flowq, flow_of_flowq(flowq, cls));
		if (length <= max_backlog)
			continue;
		max_backlog = length;
		best = flowq;
	}
	return (best);
}

struct brf_admission_ticket *
brf_queue_worst(struct brf_queue *q)
{
	struct flowq *flowq;
	size_t cls;
	int bucket;

	for (cls = BRF_CLASSES; cls-- > 0;) {
		if (q->classes[cls].waiting == 0)
			continue;
		flowq = longest_flowq(&q->classes[cls], cls);
		bucket = 31 - __builtin_clz(flowq->occupied);
		return (brf_list_entry(flowq->buckets[bucket].prev,
		    struct brf_admission_ticket, link));
	}
	return (NULL);
}

uint32_t
brf_queue_ahead(const struct brf_queue *q, const struct brf_admission_ticket *t)
{
	uint32_t i, cls = brf_queue_class(t), ahead = 0;
	const struct classq *classq = &q->classes[cls];
	uint64_t own;

	for (i = 0; i < cls; i++)
		ahead += q->classes[i].waiting;
	own = (uint64_t)flowq_of(t)->waiting * classq->total_weight /
	      t->flow->weight;
	if (own > classq->waiting)
		own = classq->waiting;
	return (ahead + (own > 0 ? (uint32_t)own - 1 : 0));
}

bool
brf_queue_over_share(
    const struct brf_queue *q, const struct brf_admission_ticket *t)
{
	double min_backlog = q->classes[brf_queue_class(t)].min_backlog;

	return (
	    backlog(flowq_of(t), t->flow) > 2 * min_backlog + OVER_SHARE_SLACK);
}

bool
brf_queue_under_share(
    const struct brf_queue *q, const struct brf_admission_ticket *t)
{
	double max_backlog = q->classes[brf_queue_class(t)].max_backlog;

	return (2 * backlog(flowq_of(t), t->flow) < max_backlog);
}

static void
sample_flow(struct brf_queue *q, struct brf_flow *f)
{
	struct classq *classq;
	struct flowq *flowq;
	double length;
	size_t cls;

	for (cls = 0; cls < BRF_CLASSES; cls++) {
		classq = &q->classes[cls];
		flowq = &f->queues[cls];
		if (flowq->last_used + 1 < q->period)
			continue;
		length = backlog(flowq, f);
		if (length < classq->min_backlog)
			classq->min_backlog = length;
		if (length > classq->max_backlog)
			classq->max_backlog = length;
	}
}

void
brf_queue_sample(struct brf_queue *q)
{
	size_t i;

	for (i = 0; i < BRF_CLASSES; i++) {
		q->classes[i].min_backlog = DBL_MAX / 4;
		q->classes[i].max_backlog = 0;
	}
	for (i = 0; i < BRF_QUEUE_FLOWS; i++)
		sample_flow(q, &q->flows[i]);
	sample_flow(q, &q->shared);
	q->period++;
}

struct brf_list *
brf_queue_by_age(struct brf_queue *q)
{
	return (&q->by_age);
}
