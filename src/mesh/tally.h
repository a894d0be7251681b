#ifndef BRF_MESH_TALLY_H
#define BRF_MESH_TALLY_H

#include "base/metrics.h"
#include "base/outcome.h"

/**
 * DOC: How requests that begin at this node end, as counters and latencies by
 * service and class.
 *
 * Labels are bounded: services are the operator's, ranks share the last class,
 * ends and reasons are listed here and in base/outcome.h.
 */

#define BRF_TALLY_CLASSES 4u

/**
 * enum brf_tally_end - what the caller got.
 * @BRF_TALLY_SERVED: the target's answer within the objective
 * @BRF_TALLY_LATE: the target's answer later
 * @BRF_TALLY_TARGET_FAILED: the target's own failure, passed on
 * @BRF_TALLY_NOT_RUN: a refusal of this node's own; nothing has run
 * @BRF_TALLY_UNKNOWN: a failure of this node's own; it may have run
 * @BRF_TALLY_REJECTED: no such route, or no proper request
 * @BRF_TALLY_LEFT: the caller left first
 */
enum brf_tally_end {
	BRF_TALLY_SERVED,
	BRF_TALLY_LATE,
	BRF_TALLY_TARGET_FAILED,
	BRF_TALLY_NOT_RUN,
	BRF_TALLY_UNKNOWN,
	BRF_TALLY_REJECTED,
	BRF_TALLY_LEFT,
	BRF_TALLY_ENDS
};

/**
 * struct brf_tally - of one service; a zeroed struct is ready.
 * @ends: NULL until such a request has ended
 */
struct brf_tally {
	struct brf_metric
	    *ends[BRF_TALLY_CLASSES][BRF_TALLY_ENDS][BRF_REASON_COUNT];
	struct brf_histogram *took[BRF_TALLY_CLASSES];
};

BRF_BEGIN_DECLS

/**
 * brf_tally_add() - a request has ended.
 * @service: "" where it had no route
 * @took_us: since it came; goes into the latencies unless the caller left
 */
void brf_tally_add(struct brf_tally *t, struct brf_metrics *metrics,
    const char *service, uint32_t rank, enum brf_tally_end end,
    enum brf_reason reason, uint64_t took_us);

BRF_END_DECLS

#endif
