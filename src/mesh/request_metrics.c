#include "mesh/request_metrics.h"

#define LABELS_MAX 256

static const char *const end_names[BRF_REQUEST_END_COUNT] = {
	[BRF_REQUEST_SERVED] = "served",
	[BRF_REQUEST_LATE] = "late",
	[BRF_REQUEST_TARGET_FAILED] = "target_failed",
	[BRF_REQUEST_NOT_RUN] = "not_run",
	[BRF_REQUEST_UNKNOWN] = "unknown",
	[BRF_REQUEST_REJECTED] = "rejected",
	[BRF_REQUEST_DISCONNECTED] = "left",
};

static struct brf_metric *
make_counter(struct brf_metrics *metrics, const char *service, uint32_t class,
    enum brf_request_end end, enum brf_reason reason)
{
	char labels[LABELS_MAX];

	snprintf(labels, sizeof(labels),
	    "service=\"%s\",class=\"%u\",end=\"%s\",reason=\"%s\"", service,
	    class, end_names[end], brf_reason_name(reason));
	return (brf_metrics_counter(metrics, "brf_requests_total",
	    "Requests that began at this node, by how they ended.", labels));
}

static struct brf_histogram *
make_histogram(struct brf_metrics *metrics, const char *service, uint32_t class)
{
	char labels[LABELS_MAX];

	snprintf(labels, sizeof(labels), "service=\"%s\",class=\"%u\"", service,
	    class);
	return (brf_metrics_histogram(metrics, "brf_request_seconds",
	    "Time from a request's arrival to its answer's head.", labels));
}

void
brf_request_metrics_add(struct brf_request_metrics *m,
    struct brf_metrics *metrics, const char *service, uint32_t rank,
    enum brf_request_end end, enum brf_reason reason, uint64_t duration_us)
{
	uint32_t class =
	    rank < BRF_REQUEST_CLASSES ? rank : BRF_REQUEST_CLASSES - 1;
	struct brf_metric **counter = &m->counters[class][end][reason];

	if (*counter == NULL)
		*counter = make_counter(metrics, service, class, end, reason);
	(*counter)->value++;
	if (end == BRF_REQUEST_DISCONNECTED)
		return;
	if (m->latency[class] == NULL)
		m->latency[class] = make_histogram(metrics, service, class);
	brf_histogram_add(m->latency[class], duration_us);
}
