#include <xxhash.h>

#include "base/log.h"
#include "mesh/trace.h"

static const char *const outcome_names[] = {
	[BRF_HOP_OPEN] = "given_up",
	[BRF_HOP_ANSWERED] = "answered",
	[BRF_HOP_REFUSED] = "refused",
	[BRF_HOP_FAILED] = "failed",
};

bool
brf_trace_is_sampled(const char *id)
{
	return (id[0] != '\0' &&
		XXH3_64bits(id, strlen(id)) % BRF_TRACE_SAMPLE_ONE_IN == 0);
}

static uint64_t
to_ms(uint64_t us)
{
	return (us / BRF_US_PER_MS);
}

static void
write_hop(const struct brf_trace_end *end, const struct brf_trace_hop *hop)
{
	bool known = hop->known_age_us != UINT64_MAX;

	brf_log_request(BRF_LOG_INFO, "request_sent",
	    BRF_LS("request", end->id), BRF_LS("target", hop->target),
	    BRF_LS("ring", hop->locality),
	    BRF_LU("at_ms", to_ms(hop->sent_after_us)),
	    BRF_LU("repeat", hop->repeat),
	    BRF_LD("estimate_ms", hop->estimate_us / BRF_US_PER_MS),
	    BRF_LU("known", known),
	    BRF_LU("known_age_ms", known ? to_ms(hop->known_age_us) : 0),
	    BRF_LU("known_running", hop->known.running),
	    BRF_LU("known_waiting", hop->known.waiting),
	    BRF_LS("outcome", outcome_names[hop->state]),
	    BRF_LS("reason", brf_reason_name(hop->reason)),
	    BRF_LU("arrived", hop->arrived), BRF_LU("marked", hop->marked),
	    BRF_LU("took_ms", to_ms(hop->duration_us)),
	    BRF_LU("told", hop->has_reported),
	    BRF_LU("running", hop->reported.running),
	    BRF_LU("limit", hop->reported.limit),
	    BRF_LU("waiting", hop->reported.waiting),
	    BRF_LU("service_ms", hop->reported.service_ms));
}

bool
brf_trace_write(const struct brf_trace *trace, const struct brf_trace_end *end)
{
	const struct brf_route *r = end->route;
	size_t i;

	if (!brf_log_request(BRF_LOG_INFO, end->event,
		BRF_LS("request", end->id),
		BRF_LU("connection", end->connection),
		BRF_LS("route", r != NULL ? r->name : ""),
		BRF_LS("service", end->service), BRF_LU("table", end->revision),
		BRF_LU("rank", end->rank), BRF_LU("nested", end->nested),
		BRF_LU("parent", end->parent),
		BRF_LU("parent_sure", end->parent_sure),
		BRF_LU("allowed_ms", to_ms(end->allowed_us)),
		BRF_LU("objective_ms", r != NULL ? to_ms(r->objective_us) : 0),
		BRF_LD("share", trace->admit_share),
		BRF_LD("repeats_left", trace->repeats_left),
		BRF_LU("hops", trace->count),
		BRF_LU("status", (uint64_t)end->status),
		BRF_LS("reason", brf_reason_name(end->reason)),
		BRF_LU("retry_after_ms", end->retry_after_ms),
		BRF_LU("took_ms", to_ms(end->duration_us))))
		return (false);
	for (i = 0; i < trace->count; i++)
		write_hop(end, &trace->hops[i]);
	return (true);
}
