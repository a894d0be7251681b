#include "standin/brf-whatif/plot.h"

#define WIDTH 360.0 /* of a panel with its margins */
#define HEIGHT 300.0
#define LEFT 50.0
#define TOP 30.0
#define RIGHT 10.0
#define BOTTOM 40.0
#define TICKS 4

static double
x_of(const struct plot *p, size_t panel, double x)
{
	double first = p->x[0], last = p->x[p->points - 1];

	return ((double)panel * WIDTH + LEFT +
		(x - first) / (last - first) * (WIDTH - LEFT - RIGHT));
}

static double
y_of(const struct plot *p, double y)
{
	if (y > p->y_max)
		y = p->y_max;
	return (HEIGHT - BOTTOM - y / p->y_max * (HEIGHT - TOP - BOTTOM));
}

static void
text(FILE *out, double x, double y, const char *anchor, const char *s)
{
	fprintf(out,
	    "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y,
	    anchor, s);
}

static void
write_axes(FILE *out, const struct plot *p, size_t panel)
{
	char label[32];
	double left = x_of(p, panel, p->x[0]);
	double right = x_of(p, panel, p->x[p->points - 1]), y;
	size_t i;
	int tick;

	for (tick = 0; tick <= TICKS; tick++) {
		y = p->y_max * tick / TICKS;
		fprintf(out,
		    "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
		    "stroke=\"#ddd\"/>\n",
		    left, y_of(p, y), right, y_of(p, y));
		snprintf(label, sizeof(label), "%g", y);
		text(out, left - 4, y_of(p, y) + 4, "end", label);
	}
	for (i = 0; i < p->points; i += 2) {
		snprintf(label, sizeof(label), "%g", p->x[i]);
		text(out, x_of(p, panel, p->x[i]), HEIGHT - BOTTOM + 14,
		    "middle", label);
	}
	text(out, (left + right) / 2, TOP - 12, "middle", p->title);
	text(out, (left + right) / 2, HEIGHT - 8, "middle", p->x_label);
}

static void
write_curve(FILE *out, const struct plot *p, size_t panel, size_t curve)
{
	const struct plot_curve *c = &p->curves[curve];
	double row = TOP + 8 + 13 * (double)curve;
	double left = (double)panel * WIDTH + LEFT + 8;
	const char *dash = c->dashed ? " stroke-dasharray=\"5 3\"" : "";
	size_t i;

	fprintf(out, "<polyline fill=\"none\" stroke=\"%s\"%s points=\"",
	    c->colour, dash);
	for (i = 0; i < p->points; i++)
		fprintf(out, "%.1f,%.1f ", x_of(p, panel, p->x[i]),
		    y_of(p, c->y[i]));
	fprintf(out,
	    "\"/>\n<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
	    "stroke=\"%s\"%s/>\n",
	    left, row - 4, left + 20, row - 4, c->colour, dash);
	text(out, left + 24, row, "start", c->name);
}

void
plot_write_svg(FILE *out, const struct plot *plots, size_t count)
{
	size_t i, j;

	fprintf(out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
	    "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"11\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
	    WIDTH * (double)count, HEIGHT);
	for (i = 0; i < count; i++) {
		write_axes(out, &plots[i], i);
		for (j = 0; j < plots[i].count; j++)
			write_curve(out, &plots[i], i, j);
	}
	fprintf(out, "</svg>\n");
}
