#include "base/log.h"
#include "mesh/failure_log.h"

#define LINES_PER_S_MAX 50u

static void
write_group(struct brf_failure_group *g)
{
	if (g->count == 0)
		return;
	g->ids[g->len] = '\0';
	brf_log_each(BRF_LOG_INFO, "requests_failed", LINES_PER_S_MAX,
	    BRF_LS("route", g->route), BRF_LS("service", g->service),
	    BRF_LS("target", g->target), BRF_LU("table", g->revision),
	    BRF_LU("rank", g->rank), BRF_LU("nested", g->nested),
	    BRF_LU("status", (uint64_t)g->status),
	    BRF_LS("reason", brf_reason_name(g->reason)),
	    BRF_LD("share", g->admit_share), BRF_LU("count", g->count),
	    BRF_LS("requests", g->ids));
	g->count = 0;
	g->len = 0;
}

void
brf_failure_log_flush(struct brf_failure_log *log)
{
	size_t i;

	for (i = 0; i < log->count; i++)
		write_group(&log->groups[i]);
	log->count = 0;
}

static const char *
last_target(const struct brf_trace *trace)
{
	return (trace->count != 0 ? trace->hops[trace->count - 1].target : "");
}

static bool
has_same_cause(const struct brf_failure_group *g,
    const struct brf_trace_end *end, const struct brf_trace *trace)
{
	return (
	    g->status == end->status && g->reason == end->reason &&
	    g->nested == end->nested && g->rank == end->rank &&
	    g->revision == end->revision &&
	    strcmp(g->route, end->route != NULL ? end->route->name : "") == 0 &&
	    strcmp(g->target, last_target(trace)) == 0);
}

static struct brf_failure_group *
find_or_add(struct brf_failure_log *log, const struct brf_trace_end *end,
    const struct brf_trace *trace)
{
	struct brf_failure_group *g;
	size_t i;

	for (i = 0; i < log->count; i++) {
		if (has_same_cause(&log->groups[i], end, trace))
			return (&log->groups[i]);
	}
	if (log->count == BRF_FAILURE_GROUPS_MAX)
		brf_failure_log_flush(log);
	g = &log->groups[log->count++];
	memset(g, 0, offsetof(struct brf_failure_group, ids));
	brf_copy_name(g->route, sizeof(g->route),
	    end->route != NULL ? end->route->name : "");
	brf_copy_name(g->service, sizeof(g->service), end->service);
	brf_copy_name(g->target, sizeof(g->target), last_target(trace));
	g->revision = end->revision;
	g->status = end->status;
	g->reason = end->reason;
	g->nested = end->nested;
	g->rank = end->rank;
	return (g);
}

void
brf_failure_log_add(struct brf_failure_log *log,
    const struct brf_trace_end *end, const struct brf_trace *trace)
{
	struct brf_failure_group *g = find_or_add(log, end, trace);
	size_t len = strlen(end->id);

	/* an id longer than a whole line is counted, but not listed */
	if (g->len + len + 2 > sizeof(g->ids))
		write_group(g);
	g->count++;
	g->admit_share = trace->admit_share;
	if (g->len + len + 2 > sizeof(g->ids))
		return;
	if (g->len != 0)
		g->ids[g->len++] = ' ';
	memcpy(g->ids + g->len, end->id, len);
	g->len += len;
}
