#include <stdlib.h>

#include <argtable2.h>
#include <jansson.h>

#include "load.h"

enum field_type {
	FIELD_TEXT,
	FIELD_NUMBER, /* double */
	FIELD_COUNT,  /* uint32_t */
	FIELD_SWITCH  /* bool */
};

#define BODY_MAX (4.0 * BRF_BODY_MAX)

/**
 * struct field - a setting of a stream, as a flag and in the file of --mix.
 * @size: bytes of the member; of FIELD_TEXT with its NUL
 */
static const struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	size_t size;
	double low;
	double high;
	const char *unit;
	const char *help;
} fields[] = {
#define AT(member)                                          \
	.offset = offsetof(struct load_stream_set, member), \
	.size = sizeof(((struct load_stream_set *)0)->member)
	{ "name", FIELD_TEXT, AT(name), .unit = "NAME",
	    .help = "name in the report; the service's by default" },
	{ "service", FIELD_TEXT, AT(service), .unit = "NAME",
	    .help = "service, sent as host" },
	{ "method", FIELD_TEXT, AT(method), .unit = "NAME",
	    .help = "GET by default" },
	{ "path", FIELD_TEXT, AT(path), .unit = "PATH",
	    .help = "/ by default" },
	{ "body-bytes", FIELD_COUNT, AT(body_bytes), 0, BODY_MAX, "N",
	    "length of the body" },
	{ "rate", FIELD_NUMBER, AT(rate), 0.01, LOAD_RATE_MAX, "N",
	    "requests a second" },
	{ "fixed", FIELD_SWITCH, AT(fixed),
	    .help = "equal gaps, not a Poisson process" },
	{ "seconds", FIELD_NUMBER, AT(seconds), 0.01, LOAD_SECONDS_MAX, "N",
	    "how long it lasts" },
	{ "start-ms", FIELD_COUNT, AT(start_ms), 0, LOAD_SECONDS_MAX * 1000,
	    "N", "when it begins" },
	{ "timeout-ms", FIELD_COUNT, AT(timeout_ms), 1, BRF_TIMEOUT_MAX_MS, "N",
	    "timeout of each try" },
	{ "workspace-token", FIELD_TEXT, AT(token), .unit = "TEXT",
	    .help = "sent as " BRF_H_WORKSPACE },
	{ "priority", FIELD_COUNT, AT(priority), 0, 255, "N",
	    "sent as " BRF_H_PRIORITY },
	{ "tries", FIELD_COUNT, AT(tries), 1, 1000, "N",
	    "tries of a request in all" },
	{ "polite", FIELD_SWITCH, AT(polite),
	    .help = "honour Retry-After between tries" },
#undef AT
};

#define FIELDS brf_nitems(fields)

_Noreturn static void
fail(const char *where, const char *what)
{
	fprintf(stderr, "brf-load: %s: %s\n", where, what);
	exit(BRF_EXIT_USAGE);
}

static void
set_text(struct load_stream_set *s, const struct field *f, const char *text)
{
	const char *c;

	if (strlen(text) >= f->size)
		fail(f->name, "too long");
	for (c = text; *c != '\0'; c++) {
		if ((unsigned char)*c <= ' ' || *c == 0x7f)
			fail(f->name, "holds a space or control character");
	}
	brf_copy_name((char *)s + f->offset, f->size, text);
}

static void
set_number(struct load_stream_set *s, const struct field *f, double number)
{
	void *member = (char *)s + f->offset;

	if (!(number >= f->low && number <= f->high))
		fail(f->name, "out of range");
	if (f->type == FIELD_NUMBER)
		*(double *)member = number;
	else
		*(uint32_t *)member = (uint32_t)number;
}

static void
set_switch(struct load_stream_set *s, const struct field *f, bool on)
{
	*(bool *)((char *)s + f->offset) = on;
}

static const struct field *
find_field(const char *name)
{
	size_t i;

	for (i = 0; i < FIELDS; i++) {
		if (strcmp(fields[i].name, name) == 0)
			return (&fields[i]);
	}
	fail(name, "unknown field");
}

static void
set_json(struct load_stream_set *s, const struct field *f, const json_t *value)
{
	if (f->type == FIELD_TEXT && json_is_string(value))
		set_text(s, f, json_string_value(value));
	else if (f->type == FIELD_SWITCH && json_is_boolean(value))
		set_switch(s, f, json_is_true(value));
	else if ((f->type == FIELD_NUMBER || f->type == FIELD_COUNT) &&
		 json_is_number(value))
		set_number(s, f, json_number_value(value));
	else
		fail(f->name, "wrong type");
}

/* The flags give what an item of the list leaves out. */
static void
read_mix(struct load_set *set, const char *path)
{
	struct load_stream_set flags = set->streams[0];
	json_error_t error;
	json_t *list = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
	json_t *item, *value;
	const char *name;
	size_t i;

	if (list == NULL)
		fail(path, error.text);
	if (!json_is_array(list) || json_array_size(list) == 0 ||
	    json_array_size(list) > LOAD_STREAMS_MAX)
		fail(path, "must be a list of 1 to 64 objects");
	json_array_foreach (list, i, item) {
		if (!json_is_object(item))
			fail(path, "must be a list of objects");
		set->streams[i] = flags;
		json_object_foreach (item, name, value)
			set_json(&set->streams[i], find_field(name), value);
	}
	set->stream_count = json_array_size(list);
	json_decref(list);
}

static void
read_target(struct sockaddr_in *addr, const char *text)
{
	const char *colon = strrchr(text, ':');
	char host[64], *end;
	long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		fail("to", "must be HOST:PORT");
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || port < 1 || port > UINT16_MAX ||
	    uv_ip4_addr(host, (int)port, addr) != 0)
		fail("to", "must be an IPv4 address and a port");
	if (ntohl(addr->sin_addr.s_addr) >> IN_CLASSA_NSHIFT != IN_LOOPBACKNET)
		fail("to", "must be in 127.0.0.0/8");
}

static void *
make_flag(const struct field *f)
{
	switch (f->type) {
	case FIELD_TEXT:
		return (arg_str0(NULL, f->name, f->unit, f->help));
	case FIELD_NUMBER:
		return (arg_dbl0(NULL, f->name, f->unit, f->help));
	case FIELD_COUNT:
		return (arg_int0(NULL, f->name, f->unit, f->help));
	case FIELD_SWITCH:
		break;
	}
	return (arg_lit0(NULL, f->name, f->help));
}

static void
read_flag(struct load_stream_set *s, const struct field *f, const void *flag)
{
	if (f->type == FIELD_TEXT && ((const struct arg_str *)flag)->count > 0)
		set_text(s, f, ((const struct arg_str *)flag)->sval[0]);
	if (f->type == FIELD_NUMBER &&
	    ((const struct arg_dbl *)flag)->count > 0)
		set_number(s, f, ((const struct arg_dbl *)flag)->dval[0]);
	if (f->type == FIELD_COUNT && ((const struct arg_int *)flag)->count > 0)
		set_number(s, f, ((const struct arg_int *)flag)->ival[0]);
	if (f->type == FIELD_SWITCH &&
	    ((const struct arg_lit *)flag)->count > 0)
		set_switch(s, f, true);
}

/* Whole process: so many requests at most. */
#define REQUESTS_MAX 50e6

static void
check_streams(struct load_set *set)
{
	struct load_stream_set *s;
	double requests = 0;
	size_t i;

	for (i = 0; i < set->stream_count; i++) {
		s = &set->streams[i];
		if (s->service[0] == '\0')
			fail("service", "must be given");
		if (s->name[0] == '\0')
			brf_copy_name(s->name, sizeof(s->name), s->service);
		requests += s->rate * s->seconds;
	}
	if (requests > REQUESTS_MAX)
		fail("rate", "more than 50 million requests in all");
}

static uint32_t
bounded(const struct arg_int *arg, const char *name, int low, int high)
{
	if (arg->ival[0] < low || arg->ival[0] > high)
		fail(name, "out of range");
	return ((uint32_t)arg->ival[0]);
}

static void
show_help(void **table)
{
	printf("usage: brf-load");
	arg_print_syntaxv(stdout, table, "\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	exit(BRF_EXIT_OK);
}

void
load_set_parse(struct load_set *set, int argc, char **argv)
{
	struct arg_str *to = arg_strn(NULL, "to", "HOST:PORT", 0,
	    LOAD_TARGETS_MAX, "where to, in turn; in 127.0.0.0/8");
	struct arg_str *mix = arg_str0(NULL, "mix", "FILE",
	    "JSON list of streams, with the names of the flags as fields");
	struct arg_int *connections = arg_int0(
	    NULL, "connections", "N", "connections at most; 256 by default");
	struct arg_int *report = arg_int0(NULL, "report-ms", "N",
	    "length of an interval of the series; 0 for none");
	struct arg_int *seed =
	    arg_int0(NULL, "seed", "N", "seed of the arrival times");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this text");
	struct arg_end *end = arg_end(8);
	void *table[FIELDS + 7];
	struct load_stream_set *s = &set->streams[0];
	size_t i;

	for (i = 0; i < FIELDS; i++)
		table[i] = make_flag(&fields[i]);
	table[i++] = to;
	table[i++] = mix;
	table[i++] = connections;
	table[i++] = report;
	table[i++] = seed;
	table[i++] = help;
	table[i] = end;
	connections->ival[0] = 256;
	report->ival[0] = 0;
	seed->ival[0] = 1;
	*s = (struct load_stream_set){ .method = "GET",
		.path = "/",
		.rate = 100,
		.seconds = 1,
		.timeout_ms = 1000,
		.tries = 1,
		.priority = LOAD_NO_PRIORITY };
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, "brf-load");
		exit(BRF_EXIT_USAGE);
	}
	if (help->count > 0)
		show_help(table);
	if (to->count == 0)
		fail("to", "must be given");
	for (i = 0; i < FIELDS; i++)
		read_flag(s, &fields[i], table[i]);
	set->to_count = (size_t)to->count;
	for (i = 0; i < set->to_count; i++)
		read_target(&set->to[i], to->sval[i]);
	set->stream_count = 1;
	if (mix->count > 0)
		read_mix(set, mix->sval[0]);
	set->connections = bounded(connections, "connections", 1, 20000);
	set->report_ms = bounded(report, "report-ms", 0, 60000);
	if (set->report_ms != 0 && set->report_ms < 10)
		fail("report-ms", "must be 0 or 10 and more");
	set->seed = bounded(seed, "seed", 0, INT32_MAX);
	check_streams(set);
	arg_freetable(table, brf_nitems(table));
}
