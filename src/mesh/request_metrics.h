#ifndef BRF_MESH_REQUEST_METRICS_H
#define BRF_MESH_REQUEST_METRICS_H

#include "base/metrics.h"
#include "base/outcome.h"

/**
 * DOC: How requests that begin at this node end, as counters and latencies by
 * service and class.
 *
 * Labels are bounded: services are the operator's, ranks share the last class,
 * ends and reasons are listed here and in base/outcome.h.
 */

#define BRF_REQUEST_CLASSES 4u

/**
 * enum brf_request_end - what the caller got.
 * @BRF_REQUEST_SERVED: the target's answer within the objective
 * @BRF_REQUEST_LATE: the target's answer later
 * @BRF_REQUEST_TARGET_FAILED: the target's own failure, passed on
 * @BRF_REQUEST_NOT_RUN: a refusal of this node's own; nothing has run
 * @BRF_REQUEST_UNKNOWN: a failure of this node's own; it may have run
 * @BRF_REQUEST_REJECTED: no such route, or no proper request
 * @BRF_REQUEST_DISCONNECTED: the caller left first
 */
enum brf_request_end {
	BRF_REQUEST_SERVED,
	BRF_REQUEST_LATE,
	BRF_REQUEST_TARGET_FAILED,
	BRF_REQUEST_NOT_RUN,
	BRF_REQUEST_UNKNOWN,
	BRF_REQUEST_REJECTED,
	BRF_REQUEST_DISCONNECTED,
	BRF_REQUEST_END_COUNT
};

/**
 * struct brf_request_metrics - of one service; a zeroed struct is ready.
 * @ends: NULL until such a request has ended
 */
struct brf_request_metrics {
	struct brf_metric
	    *counters[BRF_REQUEST_CLASSES][BRF_REQUEST_END_COUNT][BRF_REASON_COUNT];
	struct brf_histogram *latency[BRF_REQUEST_CLASSES];
};

BRF_BEGIN_DECLS

/**
 * brf_request_metrics_add() - a request has ended.
 * @service: "" where it had no route
 * @took_us: since it came; goes into the latencies unless the caller left
 */
void brf_request_metrics_add(struct brf_request_metrics *t, struct brf_metrics *metrics,
    const char *service, uint32_t rank, enum brf_request_end end,
    enum brf_reason reason, uint64_t took_us);

BRF_END_DECLS

#endif
