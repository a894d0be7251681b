#include <errno.h>
#include <string.h>

#include <argtable2.h>

#include "bulrushford.h"
#include "standin/brf-whatif/model.h"
#include "standin/brf-whatif/plot.h"

/**
 * DOC: What the overload decisions make of a load, beside a baseline.
 *
 * Prints a table, and draws it with --svg.
 */

#define SECONDS_PRESET 30
#define SEED_PRESET 1
#define P99_AXIS_MS 2000 /* a caller's deadline */

static const double loads[] = { 0.5, 0.75, 0.9, 1, 1.1, 1.25, 1.5, 1.75, 2, 2.5,
	3, 4 };

#define LOADS brf_nitems(loads)

struct flags {
	struct arg_lit *help;
	struct arg_int *seconds;
	struct arg_int *seed;
	struct arg_dbl *burst;
	struct arg_file *svg;
	struct arg_end *end;
};

#define FLAG_COUNT (sizeof(struct flags) / sizeof(void *))

static void
print_row(const struct whatif_config *c, const struct whatif_result *r)
{
	const struct whatif_class *k;
	size_t i;

	printf("%-9s %5.2f %8.2f %7.2f", c->baseline ? "baseline" : "decided",
	    c->load, r->good_share, r->wasted);
	for (i = 0; i < WHATIF_RANKS; i++) {
		k = &r->classes[i];
		printf("  %5.2f %5.2f %5.2f %5.0f",
		    (double)k->good / (double)k->asked,
		    (double)k->refused / (double)k->asked,
		    (double)(k->failed + k->late) / (double)k->asked,
		    k->p99_ms);
	}
	printf("\n");
}

static void
print_heads(void)
{
	size_t i;

	printf("%-9s %5s %8s %7s", "", "load", "goodput", "wasted");
	for (i = 0; i < WHATIF_RANKS; i++)
		printf("  r%zu:good refus fail+ p99ms", i);
	printf("\n");
}

static void
note(struct plot *plots, size_t point, const struct whatif_config *c,
    const struct whatif_result *r)
{
	size_t side = c->baseline ? 1 : 0;
	const struct whatif_class *k = &r->classes[0];
	double refused = 0, asked = 0;
	size_t i;

	for (i = 0; i < WHATIF_RANKS; i++) {
		refused += (double)r->classes[i].refused;
		asked += (double)r->classes[i].asked;
	}
	plots[0].curves[side].y[point] = r->good_share;
	plots[0].curves[2 + side].y[point] = (double)k->good / (double)k->asked;
	plots[1].curves[side].y[point] = refused / asked;
	plots[1].curves[2 + side].y[point] = r->wasted;
	plots[2].curves[side].y[point] = k->p99_ms;
	plots[2].curves[2 + side].y[point] =
	    r->classes[WHATIF_RANKS - 1].p99_ms;
}

static void
name_curves(struct plot *p, const char *first, const char *second)
{
	static const char *const colours[] = { "#1b6ca8", "#1b6ca8", "#c0392b",
		"#c0392b" };
	const char *names[] = { first, "baseline", second, "baseline" };
	size_t i;

	p->count = brf_nitems(names);
	p->points = LOADS;
	p->x_name = "offered load, of what can be served";
	memcpy(p->x, loads, sizeof(loads));
	for (i = 0; i < p->count; i++) {
		p->curves[i].name = names[i];
		p->curves[i].colour = colours[i];
		p->curves[i].dashed = i % 2 == 1;
	}
}

static int
draw(const struct plot *plots, size_t count, const char *path)
{
	FILE *out = fopen(path, "w");

	if (out == NULL) {
		fprintf(stderr, "brf-whatif: %s: %s\n", path, strerror(errno));
		return (BRF_EXIT_FAILED);
	}
	plot_write(out, plots, count);
	return (fclose(out) == 0 ? BRF_EXIT_OK : BRF_EXIT_FAILED);
}

static int
play_all(const struct flags *f)
{
	struct plot plots[] = {
		{ .title = "goodput", .y_most = 1.2 },
		{ .title = "refused, and slot time wasted", .y_most = 1.2 },
		{ .title = "99 in 100 answered within, ms",
		    .y_most = P99_AXIS_MS },
	};
	struct whatif_config config = {
		.seconds = f->seconds->ival[0],
		.burst = f->burst->dval[0],
		.seed = (uint64_t)f->seed->ival[0],
	};
	struct whatif_result result;
	size_t i, side;

	name_curves(&plots[0], "all, of what can be served",
	    "rank 0, of what is asked");
	name_curves(&plots[1], "refused", "wasted");
	name_curves(&plots[2], "rank 0", "rank 2");
	print_heads();
	for (side = 0; side < 2; side++) {
		for (i = 0; i < LOADS; i++) {
			config.load = loads[i];
			config.baseline = side == 1;
			whatif_play(&config, &result);
			print_row(&config, &result);
			note(plots, i, &config, &result);
		}
	}
	if (f->svg->count == 0)
		return (BRF_EXIT_OK);
	return (draw(plots, brf_nitems(plots), f->svg->filename[0]));
}

static void
make_flags(struct flags *f)
{
	f->help = arg_lit0(NULL, "help", "show this");
	f->seconds = arg_int0(NULL, "seconds", "<n>", "of each load (30)");
	f->seed = arg_int0(NULL, "seed", "<n>", "of arrivals and times (1)");
	f->burst = arg_dbl0(
	    NULL, "burst", "<x>", "load in the middle third of the time");
	f->svg = arg_file0(NULL, "svg", "<file>", "draw it, too");
	f->end = arg_end(5);
	f->seconds->ival[0] = SECONDS_PRESET;
	f->seed->ival[0] = SEED_PRESET;
	f->burst->dval[0] = 0;
}

int
main(int argc, char **argv)
{
	struct flags flags;
	void **table = (void **)&flags;
	int errors, code = BRF_EXIT_OK;

	make_flags(&flags);
	if (arg_nullcheck(table) != 0)
		return (BRF_EXIT_FAILED);
	errors = arg_parse(argc, argv, table);
	if (flags.help->count > 0) {
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else if (errors > 0 || flags.seconds->ival[0] < 1 ||
		   flags.burst->dval[0] < 0) {
		arg_print_errors(stderr, flags.end, "brf-whatif");
		code = BRF_EXIT_USAGE;
	} else {
		code = play_all(&flags);
	}
	arg_freetable(table, FLAG_COUNT);
	return (code);
}
