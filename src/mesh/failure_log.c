#include "base/log.h"
#include "mesh/failure_log.h"

#define LINES_MAX 50u /* in a second */

static void
write_group(struct brf_failure_group *g)
{
	if (g->count == 0)
		return;
	g->ids[g->len] = '\0';
	brf_log_each(BRF_LOG_INFO, "requests_failed", LINES_MAX,
	    BRF_LS("route", g->route), BRF_LS("service", g->service),
	    BRF_LS("target", g->target), BRF_LU("table", g->revision),
	    BRF_LU("rank", g->rank), BRF_LU("nested", g->nested),
	    BRF_LU("status", (uint64_t)g->status),
	    BRF_LS("reason", brf_reason_name(g->reason)),
	    BRF_LD("share", g->share), BRF_LU("count", g->count),
	    BRF_LS("requests", g->ids));
	g->count = 0;
	g->len = 0;
}

void
brf_failure_log_flush(struct brf_failure_log *d)
{
	size_t i;

	for (i = 0; i < d->count; i++)
		write_group(&d->groups[i]);
	d->count = 0;
}

static const char *
last_target(const struct brf_trace *trail)
{
	return (trail->count != 0 ? trail->hops[trail->count - 1].target : "");
}

static bool
is_like(const struct brf_failure_group *g, const struct brf_trace_end *end,
    const struct brf_trace *trail)
{
	return (
	    g->status == end->status && g->reason == end->reason &&
	    g->nested == end->nested && g->rank == end->rank &&
	    g->revision == end->revision &&
	    strcmp(g->route, end->route != NULL ? end->route->name : "") == 0 &&
	    strcmp(g->target, last_target(trail)) == 0);
}

static struct brf_failure_group *
find(struct brf_failure_log *d, const struct brf_trace_end *end,
    const struct brf_trace *trail)
{
	struct brf_failure_group *g;
	size_t i;

	for (i = 0; i < d->count; i++) {
		if (is_like(&d->groups[i], end, trail))
			return (&d->groups[i]);
	}
	if (d->count == BRF_FAILURE_GROUPS_MAX)
		brf_failure_log_flush(d);
	g = &d->groups[d->count++];
	memset(g, 0, offsetof(struct brf_failure_group, ids));
	brf_copy_name(g->route, sizeof(g->route),
	    end->route != NULL ? end->route->name : "");
	brf_copy_name(g->service, sizeof(g->service), end->service);
	brf_copy_name(g->target, sizeof(g->target), last_target(trail));
	g->revision = end->revision;
	g->status = end->status;
	g->reason = end->reason;
	g->nested = end->nested;
	g->rank = end->rank;
	return (g);
}

void
brf_failure_log_add(struct brf_failure_log *d, const struct brf_trace_end *end,
    const struct brf_trace *trail)
{
	struct brf_failure_group *g = find(d, end, trail);
	size_t len = strlen(end->id);

	/* an id that no line has room for is counted only */
	if (g->len + len + 2 > sizeof(g->ids))
		write_group(g);
	g->count++;
	g->share = trail->share;
	if (g->len + len + 2 > sizeof(g->ids))
		return;
	if (g->len != 0)
		g->ids[g->len++] = ' ';
	memcpy(g->ids + g->len, end->id, len);
	g->len += len;
}
