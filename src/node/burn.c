#include <stdlib.h>

#include "node/burn.h"

#define STEPS 360u /* one hour */

static const uint32_t windows_s[] = { 300, 1800, 3600 };

/**
 * struct series - ring of the counts of one service and class.
 * @held_step: number of the step that each element of @counts holds
 */
struct series {
	struct brf_list link;
	char service[BRF_NAME_MAX + 1];
	uint32_t cls;
	uint64_t held_step[STEPS];
	uint32_t counts[STEPS][BRF_BURN_KINDS];
};

struct brf_burn {
	struct brf_clock *clock;
	struct brf_list series;
	size_t count;
};

struct brf_burn *
brf_burn_new(struct brf_clock *clock)
{
	struct brf_burn *b = brf_calloc(1, sizeof(*b));

	b->clock = clock;
	brf_list_init(&b->series);
	return (b);
}

void
brf_burn_free(struct brf_burn *b)
{
	struct brf_list *l, *tmp;

	brf_list_foreach_safe (l, tmp, &b->series)
		free(brf_list_entry(l, struct series, link));
	free(b);
}

static struct series *
find_series(const struct brf_burn *b, const char *service, uint32_t cls)
{
	struct series *s;
	struct brf_list *l;

	brf_list_foreach (l, &b->series) {
		s = brf_list_entry(l, struct series, link);
		if (s->cls == cls && strcmp(s->service, service) == 0)
			return (s);
	}
	return (NULL);
}

static struct series *
get_series(struct brf_burn *b, const char *service, uint32_t cls)
{
	struct series *s = find_series(b, service, cls);

	if (s != NULL || b->count == BRF_BURN_SERIES_MAX)
		return (s);
	s = brf_calloc(1, sizeof(*s));
	brf_copy_name(s->service, sizeof(s->service), service);
	s->cls = cls;
	brf_list_append(&b->series, &s->link);
	b->count++;
	return (s);
}

/* Steps are numbered from 1, so that 0 marks an unused element. */
static uint64_t
current_step(const struct brf_burn *b)
{
	return (brf_now(b->clock) / BRF_BURN_STEP_US + 1);
}

static const struct brf_objective *
find_objective(const struct brf_document *doc, uint32_t cls)
{
	size_t i;

	for (i = 0; i < doc->objective_count; i++) {
		if (doc->objectives[i].cls == cls)
			return (&doc->objectives[i]);
	}
	return (NULL);
}

static enum brf_burn_kind
kind_of(const struct brf_objective *objective,
    const struct brf_call_result *result, uint64_t duration_us)
{
	if (result->outcome == BRF_NOT_RUN)
		return (BRF_BURN_REFUSED);
	if (result->outcome == BRF_UNKNOWN)
		return (BRF_BURN_UNKNOWN);
	if (result->answer->status >= 500)
		return (BRF_BURN_FAILED);
	return (
	    duration_us > objective->within_us ? BRF_BURN_LATE : BRF_BURN_GOOD);
}

void
brf_burn_count(struct brf_burn *b, const struct brf_document *doc, uint32_t cls,
    const struct brf_call_result *result, uint64_t duration_us)
{
	const struct brf_objective *objective = find_objective(doc, cls);
	uint64_t step = current_step(b);
	struct series *s;
	size_t index = step % STEPS;

	if (objective == NULL)
		return;
	s = get_series(b, doc->service, cls);
	if (s == NULL)
		return;
	if (s->held_step[index] != step) {
		memset(s->counts[index], 0, sizeof(s->counts[index]));
		s->held_step[index] = step;
	}
	s->counts[index][kind_of(objective, result, duration_us)]++;
}

static void
sum_window(const struct series *s, uint64_t step, uint32_t window_s,
    uint64_t sum[BRF_BURN_KINDS])
{
	uint64_t steps = window_s * BRF_US_PER_S / BRF_BURN_STEP_US;
	size_t i, kind;

	for (i = 0; i < STEPS; i++) {
		if (s->held_step[i] == 0 || s->held_step[i] + steps <= step)
			continue;
		for (kind = 0; kind < BRF_BURN_KINDS; kind++)
			sum[kind] += s->counts[i][kind];
	}
}

static json_t *
window_json(const struct series *s, const struct brf_objective *objective,
    uint64_t step, uint32_t window_s)
{
	static const char *const names[BRF_BURN_KINDS] = { "good", "refused",
		"unknown", "late", "failed" };
	uint64_t sum[BRF_BURN_KINDS] = { 0 }, total = 0;
	json_t *o = json_pack("{s:s, s:i, s:f, s:f, s:i}", "service",
	    s->service, "class", (int)s->cls, "objective", objective->good,
	    "within_ms", (double)objective->within_us / BRF_US_PER_MS,
	    "window_s", (int)window_s);
	size_t kind;

	sum_window(s, step, window_s, sum);
	for (kind = 0; kind < BRF_BURN_KINDS; kind++) {
		total += sum[kind];
		json_object_set_new(
		    o, names[kind], json_integer((json_int_t)sum[kind]));
	}
	json_object_set_new(o, "total", json_integer((json_int_t)total));
	return (o);
}

json_t *
brf_burn_json(struct brf_burn *b, struct brf_docs *docs)
{
	const struct brf_objective *objective;
	json_t *list = json_array();
	struct series *s;
	struct brf_list *l;
	size_t i;

	brf_list_foreach (l, &b->series) {
		s = brf_list_entry(l, struct series, link);
		objective =
		    find_objective(brf_docs_get(docs, s->service), s->cls);
		for (i = 0; objective != NULL && i < brf_nitems(windows_s); i++)
			json_array_append_new(
			    list, window_json(s, objective, current_step(b),
				      windows_s[i]));
	}
	return (list);
}
