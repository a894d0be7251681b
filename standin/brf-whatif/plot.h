#ifndef BRF_WHATIF_PLOT_H
#define BRF_WHATIF_PLOT_H

#include <stdio.h>

#include "base/base.h"

/**
 * DOC: Draws curves as an SVG image.
 */

#define PLOT_POINTS 16u
#define PLOT_CURVES 8u

/**
 * struct plot_curve - one curve.
 * @colour: an SVG colour
 * @dashed: drawn as a dashed line
 * @y: values at the @x of the plot
 */
struct plot_curve {
	const char *name;
	const char *colour;
	bool dashed;
	double y[PLOT_POINTS];
};

/**
 * struct plot - one panel.
 * @x_label: label of the horizontal axis
 * @y_max: end of the vertical axis, which begins at 0; larger values are drawn
 *	there
 * @x: ascending; @points of them, at least two
 * @count: used elements of @curves
 */
struct plot {
	const char *title;
	const char *x_label;
	double y_max;
	double x[PLOT_POINTS];
	size_t points;
	struct plot_curve curves[PLOT_CURVES];
	size_t count;
};

BRF_BEGIN_DECLS

/* Write an SVG document of @count panels side by side to @out. */
void plot_write_svg(FILE *out, const struct plot *plots, size_t count);

BRF_END_DECLS

#endif
