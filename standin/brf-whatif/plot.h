#ifndef BRF_WHATIF_PLOT_H
#define BRF_WHATIF_PLOT_H

#include <stdio.h>

#include "base/base.h"

/**
 * DOC: Curves as an SVG picture.
 */

#define PLOT_POINTS 16u
#define PLOT_CURVES 8u

/**
 * struct plot_curve - one curve.
 * @dashed: drawn so
 */
struct plot_curve {
	const char *name;
	const char *colour;
	bool dashed;
	double y[PLOT_POINTS];
};

/**
 * struct plot - one panel.
 * @y_most: end of the vertical axis, which begins at 0
 */
struct plot {
	const char *title;
	const char *x_name;
	double y_most;
	double x[PLOT_POINTS];
	size_t points;
	struct plot_curve curves[PLOT_CURVES];
	size_t count;
};

BRF_BEGIN_DECLS

/* Write @count panels side by side. */
void plot_write(FILE *out, const struct plot *plots, size_t count);

BRF_END_DECLS

#endif
