#include <stdlib.h>

#include <argtable2.h>

#include "target.h"

static void
usage_error(const char *flag, const char *want)
{
	fprintf(stderr, "brf-target: --%s: must be %s\n", flag, want);
	exit(BRF_EXIT_USAGE);
}

static long
bounded(const struct arg_int *arg, const char *flag, long low, long high)
{
	char want[64];

	if (arg->ival[0] < low || arg->ival[0] > high) {
		snprintf(want, sizeof(want), "%ld to %ld", low, high);
		usage_error(flag, want);
	}
	return (arg->ival[0]);
}

static uint64_t
milliseconds(const struct arg_dbl *arg, const char *flag)
{
	if (!(arg->dval[0] >= 0.0 && arg->dval[0] <= 3600000.0))
		usage_error(flag, "0 to 3600000 milliseconds");
	return ((uint64_t)(arg->dval[0] * (double)BRF_US_PER_MS));
}

static void
parse_direct(struct settings *set, const struct arg_str *direct)
{
	char host[64];
	const char *colon;
	int i;

	for (i = 0; i < direct->count; i++) {
		colon = strrchr(direct->sval[i], ':');
		if (colon == NULL ||
		    (size_t)(colon - direct->sval[i]) >= sizeof(host))
			usage_error("direct", "ADDRESS:PORT");
		memcpy(
		    host, direct->sval[i], (size_t)(colon - direct->sval[i]));
		host[colon - direct->sval[i]] = '\0';
		if (uv_ip4_addr(host, (int)strtol(colon + 1, NULL, 10),
			&set->direct[i]) != 0)
			usage_error("direct", "an IPv4 address and a port");
	}
	set->direct_count = (size_t)direct->count;
}

void
settings_parse(struct settings *set, int argc, char **argv)
{
	struct arg_str *service =
	    arg_str0(NULL, "service", "NAME", "service that it is a target of");
	struct arg_int *port =
	    arg_int0(NULL, "port", "N", "port; 0 lets the kernel choose");
	struct arg_int *node =
	    arg_int0(NULL, "node-port", "N", "loopback port of its node");
	struct arg_int *slots =
	    arg_int0(NULL, "slots", "N", "requests served at once");
	struct arg_int *connections =
	    arg_int0(NULL, "connections", "N", "connections announced");
	struct arg_dbl *service_ms =
	    arg_dbl0(NULL, "service-ms", "MS", "mean service time");
	struct arg_str *distribution = arg_str0(
	    NULL, "distribution", "KIND", "fixed or exponential service time");
	struct arg_dbl *cold = arg_dbl0(NULL, "cold-start-ms", "MS",
	    "time after the start in which service is slower");
	struct arg_lit *shed =
	    arg_lit0(NULL, "shed", "answer 503 while all slots are busy");
	struct arg_str *calls = arg_strn(NULL, "call", "SERVICE", 0, CALLS_MAX,
	    "call a service through the node");
	struct arg_str *direct = arg_strn(NULL, "direct", "ADDRESS:PORT", 0,
	    DIRECT_MAX, "call one of these without a node");
	struct arg_int *tries =
	    arg_int0(NULL, "tries", "N", "attempts of a direct call");
	struct arg_dbl *call_timeout = arg_dbl0(
	    NULL, "call-timeout-ms", "MS", "timeout of each outgoing call");
	struct arg_dbl *fail = arg_dbl0(
	    NULL, "fail-ratio", "P", "part of the answers that are 500");
	struct arg_lit *lie =
	    arg_lit0(NULL, "lie", "always say that all is well");
	struct arg_dbl *lag = arg_dbl0(NULL, "health-lag-ms", "MS",
	    "age of what the health and load endpoints say");
	struct arg_int *seed =
	    arg_int0(NULL, "seed", "N", "seed of all random draws");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this text");
	struct arg_end *end = arg_end(8);
	void *table[] = { service, port, node, slots, connections, service_ms,
		distribution, cold, shed, calls, direct, tries, call_timeout,
		fail, lie, lag, seed, help, end };

	port->ival[0] = 0;
	node->ival[0] = 0;
	slots->ival[0] = 16;
	connections->ival[0] = 128;
	service_ms->dval[0] = 5.0;
	distribution->sval[0] = "fixed";
	cold->dval[0] = 0.0;
	tries->ival[0] = 1;
	call_timeout->dval[0] = BRF_TIMEOUT_DEFAULT_MS;
	fail->dval[0] = 0.0;
	lag->dval[0] = 0.0;
	seed->ival[0] = 1;
	service->sval[0] = "service";
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, "brf-target");
		exit(BRF_EXIT_USAGE);
	}
	if (help->count != 0) {
		printf("usage: brf-target");
		arg_print_syntaxv(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		exit(BRF_EXIT_OK);
	}
	set->service = strdup(service->sval[0]);
	set->port = (uint16_t)bounded(port, "port", 0, UINT16_MAX);
	set->node_port = (uint16_t)bounded(node, "node-port", 0, UINT16_MAX);
	set->slots = (uint32_t)bounded(slots, "slots", 1, 100000);
	set->connections =
	    (uint32_t)bounded(connections, "connections", 1, 1000000);
	set->service_us = milliseconds(service_ms, "service-ms");
	set->exponential = strcmp(distribution->sval[0], "exponential") == 0;
	if (!set->exponential && strcmp(distribution->sval[0], "fixed") != 0)
		usage_error("distribution", "fixed or exponential");
	set->cold_us = milliseconds(cold, "cold-start-ms");
	set->shed = shed->count != 0;
	for (set->call_count = 0; set->call_count < (size_t)calls->count;
	     set->call_count++)
		set->calls[set->call_count] =
		    strdup(calls->sval[set->call_count]);
	parse_direct(set, direct);
	set->tries = (uint32_t)bounded(tries, "tries", 1, 100);
	set->call_timeout_us = milliseconds(call_timeout, "call-timeout-ms");
	set->fail_ratio = fail->dval[0];
	if (!(set->fail_ratio >= 0.0 && set->fail_ratio <= 1.0))
		usage_error("fail-ratio", "0 to 1");
	set->lie = lie->count != 0;
	set->lag_us = milliseconds(lag, "health-lag-ms");
	set->seed = (uint64_t)bounded(seed, "seed", 0, INT32_MAX);
	arg_freetable(table, brf_nitems(table));
	if (set->call_count != 0 && set->node_port == 0)
		usage_error("call", "given together with --node-port");
}
