#include <errno.h>
#include <string.h>

#include <argtable2.h>

#include "bulrushford.h"
#include "standin/brf-whatif/model.h"
#include "standin/brf-whatif/plot.h"

/**
 * DOC: brf-whatif compares the overload decisions with a baseline, in the
 * simulation of model.h, over a range of loads.
 *
 * Prints a table; --svg also draws the results.
 */

#define SECONDS_DEFAULT 30
#define SEED_DEFAULT 1
#define P99_AXIS_MS 2000 /* the deadline of requests */

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
		    (double)k->good / (double)k->offered,
		    (double)k->refused / (double)k->offered,
		    (double)(k->failed + k->late) / (double)k->offered,
		    k->p99_ms);
	}
	printf("\n");
}

static void
print_header(void)
{
	size_t i;

	printf("%-9s %5s %8s %7s", "", "load", "goodput", "wasted");
	for (i = 0; i < WHATIF_RANKS; i++)
		printf("  r%zu:good refus fail+ p99ms", i);
	printf("\n");
}

static void
add_points(struct plot *plots, size_t point, const struct whatif_config *c,
    const struct whatif_result *r)
{
	size_t variant = c->baseline ? 1 : 0;
	const struct whatif_class *k = &r->classes[0];
	double refused = 0, offered = 0;
	size_t i;

	for (i = 0; i < WHATIF_RANKS; i++) {
		refused += (double)r->classes[i].refused;
		offered += (double)r->classes[i].offered;
	}
	plots[0].curves[variant].y[point] = r->good_share;
	plots[0].curves[2 + variant].y[point] =
	    (double)k->good / (double)k->offered;
	plots[1].curves[variant].y[point] = refused / offered;
	plots[1].curves[2 + variant].y[point] = r->wasted;
	plots[2].curves[variant].y[point] = k->p99_ms;
	plots[2].curves[2 + variant].y[point] =
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
	p->x_label = "offered load, of what can be served";
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
	plot_write_svg(out, plots, count);
	return (fclose(out) == 0 ? BRF_EXIT_OK : BRF_EXIT_FAILED);
}

static int
run_all(const struct flags *f)
{
	struct plot plots[] = {
		{ .title = "goodput", .y_max = 1.2 },
		{ .title = "refused, and slot time wasted", .y_max = 1.2 },
		{ .title = "99 in 100 answered within, ms",
		    .y_max = P99_AXIS_MS },
	};
	struct whatif_config config = {
		.seconds = f->seconds->ival[0],
		.burst = f->burst->dval[0],
		.seed = (uint64_t)f->seed->ival[0],
	};
	struct whatif_result result;
	size_t i, variant;

	name_curves(&plots[0], "all, of what can be served",
	    "rank 0, of what is asked");
	name_curves(&plots[1], "refused", "wasted");
	name_curves(&plots[2], "rank 0", "rank 2");
	print_header();
	for (variant = 0; variant < 2; variant++) {
		for (i = 0; i < LOADS; i++) {
			config.load = loads[i];
			config.baseline = variant == 1;
			whatif_run(&config, &result);
			print_row(&config, &result);
			add_points(plots, i, &config, &result);
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
	f->seconds->ival[0] = SECONDS_DEFAULT;
	f->seed->ival[0] = SEED_DEFAULT;
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
		code = run_all(&flags);
	}
	arg_freetable(table, FLAG_COUNT);
	return (code);
}
