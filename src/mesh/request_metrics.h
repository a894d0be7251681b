#ifndef BRF_MESH_REQUEST_METRICS_H
#define BRF_MESH_REQUEST_METRICS_H

#include "base/metrics.h"
#include "base/outcome.h"

/**
 * DOC: Metrics of the requests that enter at this node: counters by how the
 * requests ended, and latencies, by service and class.
 *
 * The number of label values is bounded: the operator configures the services,
 * higher ranks share the last class, and ends and reasons are the enums here
 * and in base/outcome.h.
 */

#define BRF_REQUEST_CLASSES 4u

/**
 * enum brf_request_end - how a request ended for its caller.
 * @BRF_REQUEST_SERVED: the target answered within the route's objective
 * @BRF_REQUEST_LATE: the target answered after the objective
 * @BRF_REQUEST_TARGET_FAILED: the target answered with a 5xx status
 * @BRF_REQUEST_NOT_RUN: this node answered 503; the request was not run
 * @BRF_REQUEST_UNKNOWN: this node answered another 5xx status, or the answer
 *	was cut off; the request may have run
 * @BRF_REQUEST_REJECTED: no route matches, or the request breaks the protocol
 *	or a limit
 * @BRF_REQUEST_DISCONNECTED: the client disconnected before the answer was
 *	sent
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
 * struct brf_request_metrics - metrics of one service; zeroed before use.
 * @counters: NULL until a request has ended that way
 * @latency: NULL until a request of the class was answered
 */
struct brf_request_metrics {
	struct brf_metric *counters[BRF_REQUEST_CLASSES][BRF_REQUEST_END_COUNT]
				   [BRF_REASON_COUNT];
	struct brf_histogram *latency[BRF_REQUEST_CLASSES];
};

BRF_BEGIN_DECLS

/**
 * brf_request_metrics_add() - count a request that has ended.
 * @m: metrics of the request's service
 * @metrics: registry in which the metrics are created
 * @service: label of the metrics; "" for a request without one
 * @rank: of the root request
 * @duration_us: time from arrival to the start of the answer; not added to the
 *	latency if the client disconnected
 */
void brf_request_metrics_add(struct brf_request_metrics *m,
    struct brf_metrics *metrics, const char *service, uint32_t rank,
    enum brf_request_end end, enum brf_reason reason, uint64_t duration_us);

BRF_END_DECLS

#endif
