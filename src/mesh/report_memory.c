#include <stdlib.h>

#include "mesh/report_memory.h"

/**
 * struct remembered - a statement of one incarnation of a target.
 * @since: clock time at which it was put
 */
struct remembered {
	struct brf_list link;
	char id[BRF_ENTRY_ID_MAX + 1];
	uint64_t born;
	uint64_t since;
	struct brf_self_report report;
};

static struct remembered *
remembered_of(struct brf_list *l)
{
	return (brf_list_entry(l, struct remembered, link));
}

void
brf_report_memory_init(struct brf_report_memory *m)
{
	brf_list_init(&m->list);
	m->count = 0;
}

void
brf_report_memory_finish(struct brf_report_memory *m)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&m->list)) != NULL)
		free(remembered_of(l));
	m->count = 0;
}

static bool
is_kept(
    const struct brf_report_memory *m, const struct remembered *r, uint64_t now)
{
	return (m->count <= BRF_REPORT_MEMORY_MAX &&
		r->since + BRF_REPORT_MEMORY_US >= now);
}

static void
expire(struct brf_report_memory *m, uint64_t now)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&m->list)) != NULL) {
		if (is_kept(m, remembered_of(l), now)) {
			brf_list_prepend(&m->list, l);
			return;
		}
		free(remembered_of(l));
		m->count--;
	}
}

static struct remembered *
find(const struct brf_report_memory *m, const char *id, uint64_t born)
{
	struct brf_list *l;
	struct remembered *r;

	brf_list_foreach (l, &m->list) {
		r = remembered_of(l);
		if (r->born == born && strcmp(r->id, id) == 0)
			return (r);
	}
	return (NULL);
}

static void
forget(struct brf_report_memory *m, struct remembered *r)
{
	brf_list_remove(&r->link);
	m->count--;
	free(r);
}

bool
brf_report_memory_take(struct brf_report_memory *m, const char *id,
    uint64_t born, struct brf_self_report *report, uint64_t now)
{
	struct remembered *r = find(m, id, born);
	bool kept = r != NULL && is_kept(m, r, now);

	if (kept)
		*report = r->report;
	if (r != NULL)
		forget(m, r);
	return (kept);
}

void
brf_report_memory_put(struct brf_report_memory *m, const char *id,
    uint64_t born, const struct brf_self_report *report, uint64_t now)
{
	struct remembered *r = find(m, id, born);
	bool leaving = report->leaving || (r != NULL && r->report.leaving);

	if (report->rate_limit == 0 && !leaving) {
		if (r != NULL)
			forget(m, r);
		return;
	}
	if (r == NULL) {
		r = brf_calloc(1, sizeof(*r));
		brf_copy_name(r->id, sizeof(r->id), id);
		r->born = born;
		m->count++;
	} else
		brf_list_remove(&r->link);
	r->since = now;
	r->report = *report;
	r->report.leaving = leaving;
	brf_list_append(&m->list, &r->link);
	expire(m, now);
}
