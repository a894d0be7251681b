#ifndef BRF_GOSSIP_FAKE_H
#define BRF_GOSSIP_FAKE_H

#include <stdlib.h>

#include <arpa/inet.h>

#include "member/codec.h"

/**
 * DOC: Nodes in virtual time, connected by a simulated network with faults.
 *
 * The index of a node stands for its address; a node that is started again at
 * an index has a new id.  A paused node queues received datagrams as its
 * socket would; when it resumes, its timers run before the datagrams, as in
 * libuv.
 */

#define FAKE_GROUPS 8
#define FAKE_STEP_US 1000u
#define FAKE_INBOX 256	 /* datagrams queued by a paused node */
#define FAKE_HEADERS 28u /* bytes of IPv4 and UDP headers */

struct fake_net;

/**
 * struct fake_faults - faults of the network.
 * @loss: fraction of datagrams lost
 * @duplication: fraction of datagrams delivered twice
 * @delay_us: least one-way delay
 * @jitter_us: bound of a random delay on top; reorders datagrams
 * @cut: whether datagrams from the first group to the second are dropped
 */
struct fake_faults {
	double loss;
	double duplication;
	uint64_t delay_us;
	uint64_t jitter_us;
	bool cut[FAKE_GROUPS][FAKE_GROUPS];
};

struct fake_datagram {
	struct brf_timer timer;
	struct fake_net *net;
	struct brf_list link;
	size_t from;
	size_t to;
	size_t len;
	unsigned char data[BRF_DATAGRAM_MAX];
};

struct fake_node {
	struct brf_datagrams datagrams;
	struct fake_net *net;
	size_t index;
	int group;
	bool up;
	bool paused;
	struct brf_timers *timers;
	struct brf_members *members;
	struct brf_list inbox;
	size_t inbox_count;
	uint64_t sent_bytes;
	uint64_t sent_datagrams;
	uint64_t received_bytes;
};

/**
 * struct fake_net - a simulated network and its nodes.
 * @deliveries: timers of the datagrams in flight
 * @mutate: injects a fault into each decoded datagram sent; NULL for none
 */
struct fake_net {
	struct brf_clock_manual clock;
	struct brf_random_seeded random;
	struct brf_timers *deliveries;
	struct brf_list in_flight;
	struct brf_metrics *metrics;
	struct fake_faults faults;
	struct fake_node *nodes;
	size_t count;
	unsigned char key[16];
	uint64_t period_us;
	size_t seeds;
	int zones;
	struct brf_gossip_codec *codec;
	void (*mutate)(struct fake_net *net, struct brf_gossip *g);
};

static inline struct sockaddr_in
fake_address(size_t index)
{
	struct sockaddr_in in;

	memset(&in, 0, sizeof(in));
	in.sin_family = AF_INET;
	in.sin_port = htons(7000);
	in.sin_addr.s_addr = htonl((uint32_t)(0x0a000001 + index));
	return (in);
}

static inline size_t
fake_index(const struct sockaddr_in *in)
{
	return (ntohl(in->sin_addr.s_addr) - 0x0a000001);
}

static inline void
fake_datagram_free(struct fake_datagram *f)
{
	brf_list_remove(&f->link);
	free(f);
}

static inline void
fake_receive(struct fake_node *n, struct fake_datagram *f)
{
	struct sockaddr_in from = fake_address(f->from);

	n->received_bytes += f->len + FAKE_HEADERS;
	brf_members_receive(n->members, &from, f->data, f->len);
	fake_datagram_free(f);
}

static inline void
fake_arrive(struct brf_timer *timer, void *arg)
{
	struct fake_datagram *f = (struct fake_datagram *)arg;
	struct fake_node *n = &f->net->nodes[f->to];

	(void)timer;
	if (!n->up || (n->paused && n->inbox_count == FAKE_INBOX)) {
		fake_datagram_free(f);
	} else if (n->paused) {
		brf_list_remove(&f->link);
		brf_list_append(&n->inbox, &f->link);
		n->inbox_count++;
	} else {
		fake_receive(n, f);
	}
}

static inline void
fake_enqueue(struct fake_node *n, size_t to, const void *data, size_t len)
{
	struct fake_net *net = n->net;
	struct fake_datagram *f =
	    (struct fake_datagram *)brf_calloc(1, sizeof(*f));
	uint64_t delay = net->faults.delay_us;

	if (net->faults.jitter_us != 0)
		delay += brf_random_below(
		    &net->random.random, net->faults.jitter_us);
	f->net = net;
	f->from = n->index;
	f->to = to;
	f->len = len;
	memcpy(f->data, data, len);
	f->timer.fire = fake_arrive;
	f->timer.arg = f;
	brf_list_append(&net->in_flight, &f->link);
	brf_timer_start(net->deliveries, &f->timer, delay);
}

static inline size_t
fake_mutate(struct fake_net *net, const void *data, size_t len,
    unsigned char out[BRF_DATAGRAM_MAX])
{
	static struct brf_gossip g;

	memcpy(out, data, len);
	if (net->mutate == NULL ||
	    !brf_gossip_decode(net->codec, data, len, &g, NULL))
		return (len);
	net->mutate(net, &g);
	return (brf_gossip_encode(net->codec, &g, out));
}

static inline void
fake_send(struct brf_datagrams *d, const struct sockaddr_in *to,
    const void *data, size_t len)
{
	struct fake_node *n = brf_container_of(d, struct fake_node, datagrams);
	struct fake_net *net = n->net;
	struct brf_random *random = &net->random.random;
	unsigned char out[BRF_DATAGRAM_MAX];
	size_t index = fake_index(to);

	n->sent_bytes += len + FAKE_HEADERS;
	n->sent_datagrams++;
	if (index >= net->count ||
	    net->faults.cut[n->group][net->nodes[index].group] ||
	    brf_random_unit(random) < net->faults.loss)
		return;
	len = fake_mutate(net, data, len, out);
	fake_enqueue(n, index, out, len);
	if (brf_random_unit(random) < net->faults.duplication)
		fake_enqueue(n, index, out, len);
}

/* Assigns zones by round robin; the first half of the zones is one region. */
static inline void
fake_node_start(struct fake_net *net, size_t index)
{
	static const struct brf_datagrams_vt vt = { fake_send };
	struct fake_node *n = &net->nodes[index];
	struct brf_members_config c;
	int zone = (int)(index % (size_t)net->zones);
	size_t i;

	memset(&c, 0, sizeof(c));
	n->net = net;
	n->index = index;
	n->datagrams.vt = &vt;
	n->timers = brf_timers_new(&net->clock.clock);
	brf_list_init(&n->inbox);
	c.timers = n->timers;
	c.random = &net->random.random;
	c.metrics = net->metrics;
	c.datagrams = &n->datagrams;
	c.period_us = net->period_us;
	c.self.node = brf_id_new(c.random);
	c.self.addr = fake_address(index);
	c.self.rpc_port = 7001;
	c.self.slots = 120;
	c.self.state = BRF_MEMBER_READY;
	snprintf(c.self.zone, sizeof(c.self.zone), "zone-%c", 'a' + zone);
	snprintf(c.self.region, sizeof(c.self.region), "region-%d",
	    zone * 2 < net->zones);
	snprintf(
	    c.self.service, sizeof(c.self.service), "service-%zu", index % 69);
	for (i = 0; i < net->seeds; i++)
		c.seeds[c.seed_count++] = fake_address(i);
	memcpy(c.key, net->key, sizeof(net->key));
	c.key_len = sizeof(net->key);
	n->members = brf_members_new(&c);
	n->up = true;
	brf_members_start(n->members);
}

static inline void
fake_node_stop(struct fake_net *net, size_t index)
{
	struct fake_node *n = &net->nodes[index];
	struct brf_list *l, *tmp;

	if (!n->up)
		return;
	n->up = false;
	n->paused = false;
	brf_list_foreach_safe (l, tmp, &n->inbox)
		fake_datagram_free(
		    brf_list_entry(l, struct fake_datagram, link));
	n->inbox_count = 0;
	brf_members_free(n->members);
	brf_timers_free(n->timers);
}

static inline void
fake_node_resume(struct fake_net *net, size_t index)
{
	struct fake_node *n = &net->nodes[index];
	struct brf_list *l, *tmp;

	n->paused = false;
	brf_timers_run(n->timers);
	brf_list_foreach_safe (l, tmp, &n->inbox)
		fake_receive(n, brf_list_entry(l, struct fake_datagram, link));
	n->inbox_count = 0;
}

static inline void
fake_net_init(struct fake_net *net, size_t count, uint64_t seed)
{
	memset(net, 0, sizeof(*net));
	brf_clock_manual_init(&net->clock, BRF_US_PER_S);
	brf_random_seeded_init(&net->random, seed);
	net->deliveries = brf_timers_new(&net->clock.clock);
	brf_list_init(&net->in_flight);
	net->metrics = brf_metrics_new();
	net->nodes =
	    (struct fake_node *)brf_calloc(count, sizeof(struct fake_node));
	net->count = count;
	memcpy(net->key, "0123456789abcdef", sizeof(net->key));
	net->codec = brf_gossip_codec_new(net->key, sizeof(net->key));
	net->period_us = BRF_US_PER_S;
	net->seeds = count < 3 ? count : 3;
	net->zones = 4;
	net->faults.delay_us = 500;
}

static inline void
fake_net_free(struct fake_net *net)
{
	struct brf_list *l, *tmp;
	size_t i;

	for (i = 0; i < net->count; i++)
		fake_node_stop(net, i);
	brf_list_foreach_safe (l, tmp, &net->in_flight)
		fake_datagram_free(
		    brf_list_entry(l, struct fake_datagram, link));
	brf_timers_free(net->deliveries);
	brf_gossip_codec_free(net->codec);
	brf_metrics_free(net->metrics);
	free(net->nodes);
}

static inline void
fake_net_run(struct fake_net *net, uint64_t us)
{
	uint64_t until = net->clock.now + us;
	struct fake_node *n;
	size_t i;

	while (net->clock.now < until) {
		net->clock.now += FAKE_STEP_US;
		brf_timers_run(net->deliveries);
		for (i = 0; i < net->count; i++) {
			n = &net->nodes[i];
			if (n->up && !n->paused &&
			    brf_timers_next(n->timers) <= net->clock.now)
				brf_timers_run(n->timers);
		}
	}
}

/* State of the member @of as node @at sees it; gone when unknown. */
static inline enum brf_member_state
fake_state_at(const struct fake_net *net, size_t at, struct brf_id of)
{
	const struct brf_member *m =
	    brf_members_find(net->nodes[at].members, of);

	return (m != NULL ? m->state : BRF_MEMBER_GONE);
}

/* Number of running nodes that see @of in @state. */
static inline size_t
fake_count_seeing(
    const struct fake_net *net, struct brf_id of, enum brf_member_state state)
{
	size_t i, n = 0;

	for (i = 0; i < net->count; i++)
		n += net->nodes[i].up && fake_state_at(net, i, of) == state;
	return (n);
}

static inline size_t
fake_up_count(const struct fake_net *net)
{
	size_t i, n = 0;

	for (i = 0; i < net->count; i++)
		n += net->nodes[i].up;
	return (n);
}

/* Whether each running node sees exactly the running nodes, each in the state
 * that it has announced. */
static inline bool
fake_converged(const struct fake_net *net)
{
	const struct brf_member *self;
	size_t i, j, up = fake_up_count(net);

	for (i = 0; i < net->count; i++) {
		if (!net->nodes[i].up)
			continue;
		if (brf_members_count(net->nodes[i].members) != up)
			return (false);
		for (j = 0; j < net->count; j++) {
			if (!net->nodes[j].up)
				continue;
			self = brf_members_self(net->nodes[j].members);
			if (fake_state_at(net, i, self->node) != self->state)
				return (false);
		}
	}
	return (true);
}

/* Runs until @done is true.  Return: microseconds that took, or @limit plus one
 * step. */
static inline uint64_t
fake_run_until(struct fake_net *net, bool (*done)(const struct fake_net *net),
    uint64_t limit)
{
	uint64_t began = net->clock.now;

	while (!done(net)) {
		if (net->clock.now - began >= limit)
			return (limit + FAKE_STEP_US);
		fake_net_run(net, 50 * BRF_US_PER_MS);
	}
	return (net->clock.now - began);
}

#endif
