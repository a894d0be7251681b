#include <sys/resource.h>

#include <jansson.h>

#include "load.h"

static json_t *
counts_json(const struct load_counts *counts)
{
	json_t *o = json_object();
	size_t i;

	for (i = 0; i < counts->count; i++)
		json_object_set_new(o, counts->items[i].name,
		    json_integer((json_int_t)counts->items[i].value));
	return (o);
}

static json_t *
quantiles_json(const struct load_quantiles *q)
{
	return (json_pack("{s:f,s:f,s:f,s:f,s:f}", "p50",
	    load_quantiles_ms(q, 0.5), "p90", load_quantiles_ms(q, 0.9), "p99",
	    load_quantiles_ms(q, 0.99), "p999", load_quantiles_ms(q, 0.999),
	    "max", (double)q->most / (double)BRF_US_PER_MS));
}

static json_t *
series_json(const uint64_t *series, size_t n)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; series != NULL && i < n; i++)
		json_array_append_new(
		    list, json_integer((json_int_t)series[i]));
	return (list);
}

static json_t *
stream_json(const struct load *load, const struct load_stream *s)
{
	json_t *o = json_object();

	json_object_set_new(o, "name", json_string(s->set->name));
	json_object_set_new(o, "offered", json_integer((json_int_t)s->offered));
	json_object_set_new(o, "good", json_integer((json_int_t)s->good));
	json_object_set_new(o, "tries", json_integer((json_int_t)s->tries));
	json_object_set_new(
	    o, "attempts", json_integer((json_int_t)s->attempts));
	json_object_set_new(
	    o, "attempts_max", json_integer((json_int_t)s->attempts_most));
	json_object_set_new(
	    o, "overflow", json_integer((json_int_t)s->overflow));
	json_object_set_new(o, "outcomes", counts_json(&s->outcomes));
	json_object_set_new(o, "reasons", counts_json(&s->reasons));
	json_object_set_new(o, "statuses", counts_json(&s->statuses));
	json_object_set_new(o, "latency_ms", quantiles_json(&s->latency));
	if (load->intervals != 0) {
		json_object_set_new(o, "series_offered",
		    series_json(s->series_offered, load->intervals));
		json_object_set_new(o, "series_good",
		    series_json(s->series_good, load->intervals));
	}
	return (o);
}

static double
cpu_seconds(void)
{
	struct rusage r;

	getrusage(RUSAGE_SELF, &r);
	return ((double)(r.ru_utime.tv_sec + r.ru_stime.tv_sec) +
		(double)(r.ru_utime.tv_usec + r.ru_stime.tv_usec) /
		    (double)BRF_US_PER_S);
}

void
load_report(const struct load *load, FILE *out)
{
	double wall = (double)(load_now() - load->start) / (double)BRF_US_PER_S;
	json_t *streams = json_array();
	json_t *o = json_object();
	size_t i;

	for (i = 0; i < load->set->stream_count; i++)
		json_array_append_new(
		    streams, stream_json(load, &load->streams[i]));
	json_object_set_new(o, "streams", streams);
	json_object_set_new(o, "lateness_ms", quantiles_json(&load->late));
	json_object_set_new(
	    o, "queued_for_connection", json_integer((json_int_t)load->queued));
	json_object_set_new(o, "report_ms", json_integer(load->set->report_ms));
	json_object_set_new(o, "wall_seconds", json_real(wall));
	json_object_set_new(o, "cpu_seconds", json_real(cpu_seconds()));
	json_dumpf(o, out, JSON_COMPACT | JSON_REAL_PRECISION(6));
	fputc('\n', out);
	json_decref(o);
}
