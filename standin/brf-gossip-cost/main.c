#include <time.h>

#include "gossip_fake.h"

/**
 * DOC: Cost of the membership protocol by size of the fleet, in virtual time.
 *
 * All nodes live in this process; datagrams cross a network of the delays and
 * losses below.  Prints "name=value unit" lines.
 */

#define ZONES 5
#define DELAY_US 1000u
#define JITTER_US 11000u
#define LOSS 0.005
#define SETTLE_US (30 * BRF_US_PER_S)
#define MEASURE_US (20 * BRF_US_PER_S)
#define SPREAD_LIMIT_US (20 * BRF_US_PER_S)
#define SPREAD_STEP_US (10 * BRF_US_PER_MS)
#define REPLACEMENTS 20u
#define NS_PER_S 1e9

struct spread {
	double half_s;
	double all_s;
};

static double
cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ((double)ts.tv_sec + (double)ts.tv_nsec / NS_PER_S);
}

static double
seconds(uint64_t us)
{
	return ((double)us / (double)BRF_US_PER_S);
}

static void
print(const char *name, size_t n, double value, const char *unit)
{
	printf("%s_n%zu=%.4g %s\n", name, n, value, unit);
	fflush(stdout);
}

static void
sum_traffic(const struct fake_net *net, double *bytes, double *received,
    double *datagrams)
{
	size_t i;

	*bytes = *received = *datagrams = 0;
	for (i = 0; i < net->count; i++) {
		*bytes += (double)net->nodes[i].sent_bytes;
		*received += (double)net->nodes[i].received_bytes;
		*datagrams += (double)net->nodes[i].sent_datagrams;
	}
}

static void
measure_steady(struct fake_net *net, const char *name, uint64_t us)
{
	double before[3], after[3], cpu = cpu_seconds();
	double node_seconds = seconds(us) * (double)net->count;
	char full[64];

	sum_traffic(net, &before[0], &before[1], &before[2]);
	fake_net_run(net, us);
	sum_traffic(net, &after[0], &after[1], &after[2]);
	snprintf(full, sizeof(full), "%s_sent_bytes", name);
	print(full, net->count, (after[0] - before[0]) / node_seconds, "B/s");
	snprintf(full, sizeof(full), "%s_received_bytes", name);
	print(full, net->count, (after[1] - before[1]) / node_seconds, "B/s");
	snprintf(full, sizeof(full), "%s_sent_datagrams", name);
	print(full, net->count, (after[2] - before[2]) / node_seconds, "1/s");
	snprintf(full, sizeof(full), "%s_cpu_share_of_core", name);
	print(full, net->count, (cpu_seconds() - cpu) / node_seconds * 100,
	    "percent");
}

/* Time until half, and until all, see @of in @state. */
static struct spread
measure_spread(
    struct fake_net *net, struct brf_id of, enum brf_member_state state)
{
	struct spread s = { .half_s = -1, .all_s = -1 };
	uint64_t began = net->clock.now;
	size_t seen;

	while (net->clock.now - began < SPREAD_LIMIT_US) {
		fake_net_run(net, SPREAD_STEP_US);
		seen = fake_count_seeing(net, of, state);
		if (s.half_s < 0 && seen * 2 >= fake_up_count(net))
			s.half_s = seconds(net->clock.now - began);
		if (seen == fake_up_count(net)) {
			s.all_s = seconds(net->clock.now - began);
			break;
		}
	}
	return (s);
}

static void
print_spread(const char *name, size_t n, struct spread s)
{
	char full[64];

	snprintf(full, sizeof(full), "%s_known_by_half", name);
	print(full, n, s.half_s, "s");
	snprintf(full, sizeof(full), "%s_known_by_all", name);
	print(full, n, s.all_s, "s");
}

static void
measure_changes(struct fake_net *net)
{
	size_t last = net->count - 1;
	struct brf_member self;
	struct brf_id id;

	self = *brf_members_self(net->nodes[last].members);
	self.state = BRF_MEMBER_DRAINING;
	brf_members_update_self(net->nodes[last].members, &self);
	print_spread("drain", net->count,
	    measure_spread(net, self.node, BRF_MEMBER_DRAINING));
	fake_net_run(net, 5 * BRF_US_PER_S);
	id = self.node;
	brf_members_leave(net->nodes[last].members);
	print_spread(
	    "leave", net->count, measure_spread(net, id, BRF_MEMBER_GONE));
	fake_node_stop(net, last);
	fake_net_run(net, 5 * BRF_US_PER_S);
	fake_node_start(net, last);
	id = brf_members_self(net->nodes[last].members)->node;
	print_spread(
	    "join", net->count, measure_spread(net, id, BRF_MEMBER_READY));
	print("join_table_whole", net->count,
	    seconds(fake_run_until(net, fake_converged, SPREAD_LIMIT_US)), "s");
	fake_net_run(net, 5 * BRF_US_PER_S);
	id = brf_members_self(net->nodes[last].members)->node;
	fake_node_stop(net, last);
	print_spread(
	    "crash", net->count, measure_spread(net, id, BRF_MEMBER_GONE));
}

/* A rolling replacement: one node a second leaves and begins anew. */
static void
measure_replacement(struct fake_net *net)
{
	double before[3], after[3];
	size_t turn, place;

	sum_traffic(net, &before[0], &before[1], &before[2]);
	for (turn = 0; turn < REPLACEMENTS; turn++) {
		place = turn * net->count / REPLACEMENTS;
		brf_members_leave(net->nodes[place].members);
		fake_net_run(net, BRF_US_PER_S / 2);
		fake_node_stop(net, place);
		fake_node_start(net, place);
		fake_net_run(net, BRF_US_PER_S / 2);
	}
	sum_traffic(net, &after[0], &after[1], &after[2]);
	print("replacement_each_second_sent_bytes", net->count,
	    (after[0] - before[0]) / REPLACEMENTS / (double)net->count, "B/s");
	print("replacement_whole_after", net->count,
	    seconds(fake_run_until(net, fake_converged, SPREAD_LIMIT_US)), "s");
}

static void
measure_partition(struct fake_net *net)
{
	int g;
	size_t i;

	for (i = 0; i < net->count; i++)
		net->nodes[i].group = i % ZONES == 0;
	for (g = 0; g < 2; g++)
		net->faults.cut[g][1 - g] = true;
	measure_steady(net, "partition", 30 * BRF_US_PER_S);
	memset(net->faults.cut, 0, sizeof(net->faults.cut));
	print("heal_known_by_all", net->count,
	    seconds(fake_run_until(net, fake_converged, SPREAD_LIMIT_US)), "s");
	measure_steady(net, "healed", 10 * BRF_US_PER_S);
}

/* Views that survivors have of the dead zone's members, not yet @least. */
static size_t
views_below(const struct fake_net *net, const struct brf_id *dead,
    enum brf_member_state least)
{
	size_t i, j, n = 0;

	for (i = 0; i < net->count; i++) {
		for (j = 0; net->nodes[i].up && j < net->count; j += ZONES)
			n += fake_state_at(net, i, dead[j]) < least;
	}
	return (n);
}

static void
print_views(struct fake_net *net, const struct brf_id *dead,
    enum brf_member_state least, const char *name, uint64_t began)
{
	uint64_t limit = net->clock.now + 2 * SPREAD_LIMIT_US;

	while (views_below(net, dead, least) != 0 && net->clock.now < limit)
		fake_net_run(net, 5 * SPREAD_STEP_US);
	print(name, net->count, seconds(net->clock.now - began), "s");
}

/* All nodes of a zone die at once. */
static void
measure_zone_loss(struct fake_net *net)
{
	struct brf_id *dead = brf_calloc(net->count, sizeof(*dead));
	uint64_t began = net->clock.now;
	size_t i;

	for (i = 0; i < net->count; i += ZONES) {
		dead[i] = brf_members_self(net->nodes[i].members)->node;
		fake_node_stop(net, i);
	}
	print_views(net, dead, BRF_MEMBER_SUSPECT, "zone_loss_no_work", began);
	print_views(net, dead, BRF_MEMBER_GONE, "zone_loss_gone", began);
	free(dead);
}

static void
measure(size_t n, uint64_t seed)
{
	struct fake_net net;
	size_t i;

	fake_net_init(&net, n, seed);
	net.zones = ZONES;
	net.faults.delay_us = DELAY_US;
	net.faults.jitter_us = JITTER_US;
	net.faults.loss = LOSS;
	for (i = 0; i < n; i++)
		fake_node_start(&net, i);
	print("start_all_at_once", n,
	    seconds(fake_run_until(&net, fake_converged, 3 * SETTLE_US)), "s");
	fake_net_run(&net, SETTLE_US);
	measure_steady(&net, "steady", MEASURE_US);
	measure_replacement(&net);
	fake_net_run(&net, SETTLE_US);
	measure_changes(&net);
	fake_net_run(&net, SETTLE_US);
	measure_partition(&net);
	fake_net_run(&net, SETTLE_US);
	measure_zone_loss(&net);
	fake_net_free(&net);
}

int
main(int argc, char **argv)
{
	static const size_t sizes[] = { 50, 200, 750 };
	uint64_t seed = argc > 2 ? strtoull(argv[2], NULL, 10) : 1;
	size_t i, only = argc > 1 ? strtoull(argv[1], NULL, 10) : 0;

	for (i = 0; i < brf_nitems(sizes); i++) {
		if (only == 0 || only == sizes[i])
			measure(sizes[i], seed);
	}
	return (0);
}
