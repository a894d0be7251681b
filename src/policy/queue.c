#include <float.h>
#include <stdlib.h>

#include <xxhash.h>

#include "policy/queue.h"

#define CHAINS 64u
#define BUCKET_RANKS (BRF_RANK_CLASS / BRF_QUEUE_BUCKETS)

/* A flow is over its share from twice the least backlog and this on. */
#define OVER_SHARE_SLACK 1.0

/**
 * struct lane - what waits of one workspace in one class.
 * @active: in the class's list while something waits
 * @occupied: bit i is set while buckets[i] holds something
 * @tag: virtual time at which the next ticket starts
 * @used: period of the queue's samples in which it was last used
 */
struct lane {
	struct brf_list active;
	struct brf_list buckets[BRF_QUEUE_BUCKETS];
	uint32_t occupied;
	uint32_t waiting;
	double tag;
	uint64_t used;
};

/**
 * struct brf_flow - one workspace, or all that have none of their own.
 * @chain: in the table by hash, while it has a name
 * @idle: in the queue's list while nothing waits and no weight holds it
 */
struct brf_flow {
	struct brf_list chain;
	struct brf_list idle;
	uint64_t hash;
	char workspace[BRF_NAME_MAX + 1];
	uint32_t weight;
	uint32_t waiting;
	bool pinned;
	struct lane lanes[BRF_CLASSES];
};

/**
 * struct rung - one class.
 * @least: least backlog by weight of a lane in use, at the last sample
 * @most: likewise, the most
 */
struct rung {
	struct brf_list active;
	uint32_t waiting;
	uint64_t weights;
	double time;
	double least;
	double most;
};

struct brf_queue {
	struct rung rungs[BRF_CLASSES];
	struct brf_list ages;
	struct brf_list chains[CHAINS];
	struct brf_list idle;
	uint32_t count;
	uint32_t pinned;
	uint64_t period;
	struct brf_flow flows[BRF_QUEUE_FLOWS];
	struct brf_flow rest;
};

static void
flow_init(struct brf_flow *f)
{
	size_t i, j;

	brf_list_init(&f->chain);
	brf_list_init(&f->idle);
	f->weight = 1;
	for (i = 0; i < BRF_CLASSES; i++) {
		brf_list_init(&f->lanes[i].active);
		for (j = 0; j < BRF_QUEUE_BUCKETS; j++)
			brf_list_init(&f->lanes[i].buckets[j]);
	}
}

struct brf_queue *
brf_queue_new(void)
{
	struct brf_queue *q = brf_calloc(1, sizeof(*q));
	size_t i;

	brf_list_init(&q->ages);
	brf_list_init(&q->idle);
	for (i = 0; i < BRF_CLASSES; i++)
		brf_list_init(&q->rungs[i].active);
	for (i = 0; i < CHAINS; i++)
		brf_list_init(&q->chains[i]);
	flow_init(&q->rest);
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
 * The flow that was idle for longest changes hands.  Its tags stay: otherwise
 * whoever takes a new name for each request would never have been served yet.
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
		f->lanes[i].used = 0;
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

/* Put @f in or out of the idle list, by its state. */
static void
settle_idle(struct brf_queue *q, struct brf_flow *f)
{
	bool idle = f->waiting == 0 && !f->pinned && f != &q->rest;

	brf_list_remove(&f->idle);
	if (idle)
		brf_list_append(&q->idle, &f->idle);
}

static void
change_weight(struct brf_queue *q, struct brf_flow *f, uint32_t weight)
{
	size_t i;

	for (i = 0; i < BRF_CLASSES; i++) {
		if (f->lanes[i].waiting == 0)
			continue;
		q->rungs[i].weights -= f->weight;
		q->rungs[i].weights += weight;
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
	settle_idle(q, f);
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

static struct lane *
lane_of(const struct brf_admission_ticket *t)
{
	return (&t->flow->lanes[brf_queue_class(t)]);
}

static void
lane_begin(struct rung *rung, struct brf_flow *f, struct lane *lane)
{
	if (lane->tag < rung->time)
		lane->tag = rung->time;
	brf_list_append(&rung->active, &lane->active);
	rung->weights += f->weight;
}

static void
lane_end(struct rung *rung, struct brf_flow *f, struct lane *lane)
{
	brf_list_remove(&lane->active);
	rung->weights -= f->weight;
}

void
brf_queue_push(struct brf_queue *q, struct brf_admission_ticket *t)
{
	struct rung *rung = &q->rungs[brf_queue_class(t)];
	struct brf_flow *f = flow_for(q, t->workspace);
	uint32_t bucket = bucket_of(t);
	struct lane *lane;

	t->flow = f != NULL ? f : &q->rest;
	lane = lane_of(t);
	if (lane->waiting++ == 0)
		lane_begin(rung, t->flow, lane);
	if (t->flow->waiting++ == 0)
		settle_idle(q, t->flow);
	lane->used = q->period;
	lane->occupied |= 1u << bucket;
	brf_list_append(&lane->buckets[bucket], &t->link);
	brf_list_append(&q->ages, &t->age);
	rung->waiting++;
	q->count++;
}

void
brf_queue_remove(struct brf_queue *q, struct brf_admission_ticket *t)
{
	struct rung *rung = &q->rungs[brf_queue_class(t)];
	struct brf_flow *f = t->flow;
	struct lane *lane = lane_of(t);
	uint32_t bucket = bucket_of(t);

	brf_list_remove(&t->link);
	brf_list_remove(&t->age);
	if (brf_list_empty(&lane->buckets[bucket]))
		lane->occupied &= ~(1u << bucket);
	if (--lane->waiting == 0)
		lane_end(rung, f, lane);
	if (--f->waiting == 0)
		settle_idle(q, f);
	rung->waiting--;
	q->count--;
	t->flow = NULL;
}

static struct brf_flow *
flow_of_lane(struct lane *lane, size_t cls)
{
	return (brf_container_of(lane - cls, struct brf_flow, lanes));
}

static struct lane *
earliest_lane(struct rung *rung)
{
	struct lane *lane, *best = NULL;
	struct brf_list *l;

	brf_list_foreach (l, &rung->active) {
		lane = brf_list_entry(l, struct lane, active);
		if (best == NULL || lane->tag < best->tag)
			best = lane;
	}
	return (best);
}

struct brf_admission_ticket *
brf_queue_next(struct brf_queue *q)
{
	struct lane *lane;
	size_t cls;
	int bucket;

	for (cls = 0; cls < BRF_CLASSES; cls++) {
		if (q->rungs[cls].waiting == 0)
			continue;
		lane = earliest_lane(&q->rungs[cls]);
		bucket = __builtin_ctz(lane->occupied);
		return (brf_list_entry(
		    lane->buckets[bucket].next, struct brf_admission_ticket, link));
	}
	return (NULL);
}

void
brf_queue_take(struct brf_queue *q, struct brf_admission_ticket *t)
{
	struct rung *rung = &q->rungs[brf_queue_class(t)];
	struct lane *lane = lane_of(t);

	rung->time = lane->tag;
	lane->tag += 1.0 / t->flow->weight;
	brf_queue_remove(q, t);
}

static double
backlog(const struct lane *lane, const struct brf_flow *f)
{
	return ((double)lane->waiting / f->weight);
}

static struct lane *
longest_lane(struct rung *rung, size_t cls)
{
	struct lane *lane, *best = NULL;
	double much, most = -1;
	struct brf_list *l;

	brf_list_foreach (l, &rung->active) {
		lane = brf_list_entry(l, struct lane, active);
		much = backlog(lane, flow_of_lane(lane, cls));
		if (much <= most)
			continue;
		most = much;
		best = lane;
	}
	return (best);
}

struct brf_admission_ticket *
brf_queue_worst(struct brf_queue *q)
{
	struct lane *lane;
	size_t cls;
	int bucket;

	for (cls = BRF_CLASSES; cls-- > 0;) {
		if (q->rungs[cls].waiting == 0)
			continue;
		lane = longest_lane(&q->rungs[cls], cls);
		bucket = 31 - __builtin_clz(lane->occupied);
		return (brf_list_entry(
		    lane->buckets[bucket].prev, struct brf_admission_ticket, link));
	}
	return (NULL);
}

uint32_t
brf_queue_ahead(const struct brf_queue *q, const struct brf_admission_ticket *t)
{
	uint32_t i, cls = brf_queue_class(t), more = 0;
	const struct rung *rung = &q->rungs[cls];
	uint64_t own;

	for (i = 0; i < cls; i++)
		more += q->rungs[i].waiting;
	own = (uint64_t)lane_of(t)->waiting * rung->weights / t->flow->weight;
	if (own > rung->waiting)
		own = rung->waiting;
	return (more + (own > 0 ? (uint32_t)own - 1 : 0));
}

bool
brf_queue_over_share(const struct brf_queue *q, const struct brf_admission_ticket *t)
{
	double least = q->rungs[brf_queue_class(t)].least;

	return (backlog(lane_of(t), t->flow) > 2 * least + OVER_SHARE_SLACK);
}

bool
brf_queue_under_share(const struct brf_queue *q, const struct brf_admission_ticket *t)
{
	double most = q->rungs[brf_queue_class(t)].most;

	return (2 * backlog(lane_of(t), t->flow) < most);
}

static void
sample_flow(struct brf_queue *q, struct brf_flow *f)
{
	struct rung *rung;
	struct lane *lane;
	double much;
	size_t cls;

	for (cls = 0; cls < BRF_CLASSES; cls++) {
		rung = &q->rungs[cls];
		lane = &f->lanes[cls];
		if (lane->used + 1 < q->period)
			continue;
		much = backlog(lane, f);
		if (much < rung->least)
			rung->least = much;
		if (much > rung->most)
			rung->most = much;
	}
}

void
brf_queue_sample(struct brf_queue *q)
{
	size_t i;

	for (i = 0; i < BRF_CLASSES; i++) {
		q->rungs[i].least = DBL_MAX / 4;
		q->rungs[i].most = 0;
	}
	for (i = 0; i < BRF_QUEUE_FLOWS; i++)
		sample_flow(q, &q->flows[i]);
	sample_flow(q, &q->rest);
	q->period++;
}

struct brf_list *
brf_queue_by_age(struct brf_queue *q)
{
	return (&q->ages);
}
