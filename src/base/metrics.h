#ifndef BRF_METRICS_H
#define BRF_METRICS_H

#include "base/buf.h"

/**
 * DOC: Counters, gauges and histograms, served as Prometheus text.
 *
 * A metric is found or made once by name and labels; its owner keeps the
 * pointer and updates it without a look-up.  Labels are written as in the
 * text format, without the braces: service="factors",class="0".  Their number
 * must be bounded by whoever makes them.
 */

/**
 * struct brf_metric - a counter or gauge; update @value directly.
 */
struct brf_metric {
	double value;
};

/* Bucket i counts values up to 2^(i/2) * BRF_HISTOGRAM_FIRST_US. */
#define BRF_HISTOGRAM_BUCKETS 48
#define BRF_HISTOGRAM_FIRST_US 25.0

/**
 * struct brf_histogram - distribution of durations, microseconds.
 */
struct brf_histogram {
	uint64_t buckets[BRF_HISTOGRAM_BUCKETS + 1];
	uint64_t count;
	double sum;
};

struct brf_metrics;

BRF_BEGIN_DECLS

struct brf_metrics *brf_metrics_new(void);
void brf_metrics_free(struct brf_metrics *m);

/**
 * brf_metrics_counter() - find or make a counter; owned by @m.
 */
struct brf_metric *brf_metrics_counter(struct brf_metrics *m, const char *name,
    const char *help, const char *labels);
struct brf_metric *brf_metrics_gauge(struct brf_metrics *m, const char *name,
    const char *help, const char *labels);
struct brf_histogram *brf_metrics_histogram(struct brf_metrics *m,
    const char *name, const char *help, const char *labels);

void brf_histogram_add(struct brf_histogram *h, uint64_t us);

/**
 * brf_histogram_quantile() - upper bound of the bucket that holds @q.
 * @q: between 0 and 1
 *
 * Return: microseconds; 0 when the histogram is empty.
 */
double brf_histogram_quantile(const struct brf_histogram *h, double q);

/**
 * brf_metrics_write() - all metrics in the Prometheus text format 0.0.4;
 * durations in seconds.
 */
void brf_metrics_write(const struct brf_metrics *m, struct brf_buf *out);

BRF_END_DECLS

#endif
