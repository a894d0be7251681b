#include <math.h>
#include <stdlib.h>

#include "base/list.h"
#include "base/metrics.h"

enum kind {
	KIND_COUNTER,
	KIND_GAUGE,
	KIND_HISTOGRAM
};

struct series {
	struct brf_list link;
	char *labels;
	struct brf_metric metric;
	struct brf_histogram *histogram;
};

/**
 * struct family - all series of one name.
 */
struct family {
	struct brf_list link;
	char *name;
	char *help;
	enum kind kind;
	struct brf_list series;
};

struct brf_metrics {
	struct brf_list families;
};

static const char *const kind_names[] = { "counter", "gauge", "histogram" };

struct brf_metrics *
brf_metrics_new(void)
{
	struct brf_metrics *m = brf_calloc(1, sizeof(*m));

	brf_list_init(&m->families);
	return (m);
}

static void
family_free(struct family *f)
{
	struct brf_list *l, *tmp;
	struct series *s;

	brf_list_foreach_safe (l, tmp, &f->series) {
		s = brf_list_entry(l, struct series, link);
		free(s->labels);
		free(s->histogram);
		free(s);
	}
	free(f->name);
	free(f->help);
	free(f);
}

void
brf_metrics_free(struct brf_metrics *m)
{
	struct brf_list *l, *tmp;

	if (m == NULL)
		return;
	brf_list_foreach_safe (l, tmp, &m->families)
		family_free(brf_list_entry(l, struct family, link));
	free(m);
}

static struct family *
find_family(
    struct brf_metrics *m, const char *name, const char *help, enum kind kind)
{
	struct brf_list *l;
	struct family *f;

	brf_list_foreach (l, &m->families) {
		f = brf_list_entry(l, struct family, link);
		if (strcmp(f->name, name) == 0)
			return (f);
	}
	f = brf_calloc(1, sizeof(*f));
	f->name = brf_strdup(name, strlen(name));
	f->help = brf_strdup(help, strlen(help));
	f->kind = kind;
	brf_list_init(&f->series);
	brf_list_append(&m->families, &f->link);
	return (f);
}

static struct series *
find_series(struct brf_metrics *m, const char *name, const char *help,
    const char *labels, enum kind kind)
{
	struct family *f = find_family(m, name, help, kind);
	struct brf_list *l;
	struct series *s;

	brf_list_foreach (l, &f->series) {
		s = brf_list_entry(l, struct series, link);
		if (strcmp(s->labels, labels) == 0)
			return (s);
	}
	s = brf_calloc(1, sizeof(*s));
	s->labels = brf_strdup(labels, strlen(labels));
	if (kind == KIND_HISTOGRAM)
		s->histogram = brf_calloc(1, sizeof(*s->histogram));
	brf_list_append(&f->series, &s->link);
	return (s);
}

struct brf_metric *
brf_metrics_counter(struct brf_metrics *m, const char *name, const char *help,
    const char *labels)
{
	return (&find_series(m, name, help, labels, KIND_COUNTER)->metric);
}

struct brf_metric *
brf_metrics_gauge(struct brf_metrics *m, const char *name, const char *help,
    const char *labels)
{
	return (&find_series(m, name, help, labels, KIND_GAUGE)->metric);
}

struct brf_histogram *
brf_metrics_histogram(struct brf_metrics *m, const char *name, const char *help,
    const char *labels)
{
	return (find_series(m, name, help, labels, KIND_HISTOGRAM)->histogram);
}

static double
bucket_bound(int i)
{
	return (BRF_HISTOGRAM_FIRST_US * exp2(i / 2.0));
}

void
brf_histogram_add(struct brf_histogram *h, uint64_t us)
{
	int i = 0;

	if ((double)us > BRF_HISTOGRAM_FIRST_US)
		i = (int)ceil(2.0 * log2((double)us / BRF_HISTOGRAM_FIRST_US));
	if (i > BRF_HISTOGRAM_BUCKETS)
		i = BRF_HISTOGRAM_BUCKETS;
	h->buckets[i]++;
	h->count++;
	h->sum += (double)us;
}

double
brf_histogram_quantile(const struct brf_histogram *h, double q)
{
	uint64_t seen = 0;
	int i;

	if (h->count == 0)
		return (0);
	for (i = 0; i < BRF_HISTOGRAM_BUCKETS; i++) {
		seen += h->buckets[i];
		if ((double)seen >= q * (double)h->count)
			break;
	}
	return (bucket_bound(i));
}

static void
write_histogram(
    const struct family *f, const struct series *s, struct brf_buf *out)
{
	const struct brf_histogram *h = s->histogram;
	const char *comma = s->labels[0] != '\0' ? "," : "";
	uint64_t seen = 0;
	int i;

	for (i = 0; i < BRF_HISTOGRAM_BUCKETS; i++) {
		seen += h->buckets[i];
		brf_buf_printf(out, "%s_bucket{%s%sle=\"%.6g\"} %llu\n",
		    f->name, s->labels, comma, bucket_bound(i) / 1e6,
		    (unsigned long long)seen);
	}
	brf_buf_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", f->name,
	    s->labels, comma, (unsigned long long)h->count);
	brf_buf_printf(
	    out, "%s_sum{%s} %.9g\n", f->name, s->labels, h->sum / 1e6);
	brf_buf_printf(out, "%s_count{%s} %llu\n", f->name, s->labels,
	    (unsigned long long)h->count);
}

static void
write_family(const struct family *f, struct brf_buf *out)
{
	struct brf_list *l;
	struct series *s;

	brf_buf_printf(out, "# HELP %s %s\n# TYPE %s %s\n", f->name, f->help,
	    f->name, kind_names[f->kind]);
	brf_list_foreach (l, &f->series) {
		s = brf_list_entry(l, struct series, link);
		if (f->kind == KIND_HISTOGRAM)
			write_histogram(f, s, out);
		else if (s->labels[0] != '\0')
			brf_buf_printf(out, "%s{%s} %.15g\n", f->name,
			    s->labels, s->metric.value);
		else
			brf_buf_printf(
			    out, "%s %.15g\n", f->name, s->metric.value);
	}
}

void
brf_metrics_write(const struct brf_metrics *m, struct brf_buf *out)
{
	struct brf_list *l;

	brf_list_foreach (l, &m->families)
		write_family(brf_list_entry(l, struct family, link), out);
}
