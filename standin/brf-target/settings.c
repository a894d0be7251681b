#include <stdlib.h>

#include <argtable2.h>

#include "target.h"

#define TIME_MAX_MS 3600000.0

/* The flags, as argtable2 wants them: one array, ended by @end. */
struct flags {
	struct arg_str *service;
	struct arg_int *port;
	struct arg_int *node_port;
	struct arg_int *slots;
	struct arg_int *connections;
	struct arg_dbl *service_ms;
	struct arg_str *distribution;
	struct arg_dbl *cold_ms;
	struct arg_lit *shed;
	struct arg_str *calls;
	struct arg_str *direct;
	struct arg_int *tries;
	struct arg_dbl *call_timeout_ms;
	struct arg_dbl *fail_ratio;
	struct arg_lit *lie;
	struct arg_dbl *lag_ms;
	struct arg_int *seed;
	struct arg_lit *help;
	struct arg_end *end;
};

static void
usage_error(const char *flag, const char *want)
{
	fprintf(stderr, "brf-target: --%s: must be %s\n", flag, want);
	exit(BRF_EXIT_USAGE);
}

static struct arg_int *
number(const char *flag, const char *help, int value)
{
	struct arg_int *arg = arg_int0(NULL, flag, "N", help);

	arg->ival[0] = value;
	return (arg);
}

static struct arg_dbl *
real(const char *flag, const char *unit, const char *help, double value)
{
	struct arg_dbl *arg = arg_dbl0(NULL, flag, unit, help);

	arg->dval[0] = value;
	return (arg);
}

static struct arg_str *
text(const char *flag, const char *unit, const char *help, const char *value)
{
	struct arg_str *arg = arg_str0(NULL, flag, unit, help);

	arg->sval[0] = value;
	return (arg);
}

static void
make_serving_flags(struct flags *f)
{
	f->service =
	    text("service", "NAME", "service that it serves", "service");
	f->port = number("port", "port; 0 lets the kernel choose", 0);
	f->node_port = number("node-port", "loopback port of its node", 0);
	f->slots = number("slots", "requests served at once", 16);
	f->connections = number("connections", "connections announced", 128);
	f->service_ms = real("service-ms", "MS", "mean service time", 5.0);
	f->distribution = text("distribution", "KIND",
	    "fixed or exponential service time", "fixed");
	f->cold_ms = real("cold-start-ms", "MS",
	    "time after the start in which service is slower", 0.0);
	f->shed = arg_lit0(NULL, "shed", "answer 503 while slots are busy");
}

static void
make_other_flags(struct flags *f)
{
	f->calls = arg_strn(NULL, "call", "SERVICE", 0, CALLS_MAX,
	    "call a service through the node");
	f->direct = arg_strn(NULL, "direct", "ADDRESS:PORT", 0, DIRECT_MAX,
	    "call one of these without a node");
	f->tries = number("tries", "attempts of a direct call", 1);
	f->call_timeout_ms = real("call-timeout-ms", "MS",
	    "timeout of each outgoing call", BRF_TIMEOUT_DEFAULT_MS);
	f->fail_ratio =
	    real("fail-ratio", "P", "part of the answers that are 500", 0.0);
	f->lie = arg_lit0(NULL, "lie", "always say that all is well");
	f->lag_ms = real("health-lag-ms", "MS",
	    "age of what the health and load endpoints say", 0.0);
	f->seed = number("seed", "seed of all random draws", 1);
	f->help = arg_lit0(NULL, "help", "show this text");
	f->end = arg_end(8);
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
microseconds(const struct arg_dbl *arg, const char *flag)
{
	if (!(arg->dval[0] >= 0.0 && arg->dval[0] <= TIME_MAX_MS))
		usage_error(flag, "0 to 3600000 milliseconds");
	return ((uint64_t)(arg->dval[0] * (double)BRF_US_PER_MS));
}

static void
read_address(struct sockaddr_in *out, const char *value)
{
	const char *colon = strrchr(value, ':');
	char host[64];
	size_t len = colon != NULL ? (size_t)(colon - value) : sizeof(host);

	if (len >= sizeof(host))
		usage_error("direct", "ADDRESS:PORT");
	memcpy(host, value, len);
	host[len] = '\0';
	if (uv_ip4_addr(host, (int)strtol(colon + 1, NULL, 10), out) != 0)
		usage_error("direct", "an IPv4 address and a port");
}

static void
read_serving(struct settings *set, const struct flags *f)
{
	const char *kind = f->distribution->sval[0];

	set->service = strdup(f->service->sval[0]);
	set->port = (uint16_t)bounded(f->port, "port", 0, UINT16_MAX);
	set->node_port =
	    (uint16_t)bounded(f->node_port, "node-port", 0, UINT16_MAX);
	set->slots = (uint32_t)bounded(f->slots, "slots", 1, 100000);
	set->connections =
	    (uint32_t)bounded(f->connections, "connections", 1, 1000000);
	set->service_us = microseconds(f->service_ms, "service-ms");
	set->exponential = strcmp(kind, "exponential") == 0;
	if (!set->exponential && strcmp(kind, "fixed") != 0)
		usage_error("distribution", "fixed or exponential");
	set->cold_us = microseconds(f->cold_ms, "cold-start-ms");
	set->shed = f->shed->count != 0;
}

static void
read_calls(struct settings *set, const struct flags *f)
{
	int i;

	for (i = 0; i < f->calls->count; i++)
		set->calls[i] = strdup(f->calls->sval[i]);
	set->call_count = (size_t)f->calls->count;
	if (set->call_count != 0 && set->node_port == 0)
		usage_error("call", "given together with --node-port");
	for (i = 0; i < f->direct->count; i++)
		read_address(&set->direct[i], f->direct->sval[i]);
	set->direct_count = (size_t)f->direct->count;
	set->tries = (uint32_t)bounded(f->tries, "tries", 1, 100);
	set->call_timeout_us =
	    microseconds(f->call_timeout_ms, "call-timeout-ms");
}

static void
read_faults(struct settings *set, const struct flags *f)
{
	set->fail_ratio = f->fail_ratio->dval[0];
	if (!(set->fail_ratio >= 0.0 && set->fail_ratio <= 1.0))
		usage_error("fail-ratio", "0 to 1");
	set->lie = f->lie->count != 0;
	set->lag_us = microseconds(f->lag_ms, "health-lag-ms");
	set->seed = (uint64_t)bounded(f->seed, "seed", 0, INT32_MAX);
}

void
settings_parse(struct settings *set, int argc, char **argv)
{
	struct flags f;
	void **table = (void **)&f;

	make_serving_flags(&f);
	make_other_flags(&f);
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, f.end, "brf-target");
		exit(BRF_EXIT_USAGE);
	}
	if (f.help->count != 0) {
		printf("usage: brf-target");
		arg_print_syntaxv(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		exit(BRF_EXIT_OK);
	}
	read_serving(set, &f);
	read_calls(set, &f);
	read_faults(set, &f);
	arg_freetable(table, sizeof(f) / sizeof(void *));
}

void
settings_free(struct settings *set)
{
	size_t i;

	free(set->service);
	for (i = 0; i < set->call_count; i++)
		free(set->calls[i]);
}
