#ifndef BRF_MESH_FAILURE_LOG_H
#define BRF_MESH_FAILURE_LOG_H

#include "mesh/trace.h"

/**
 * DOC: Failed requests beyond what is logged one by one.
 *
 * Load it answers: hundreds of failures a second, whose lines would cost more
 * than the requests.  Failures that are alike share a line, "requests_failed",
 * which names them all, so that each id still leads to its reason.
 */

#define BRF_FAILURE_GROUPS_MAX 32u
#define BRF_FAILURE_IDS_SIZE 2048u /* bytes of ids on one line */

/**
 * struct brf_failure_group - failures that are alike.
 * @target: of the last hop; "" for none
 * @ids: divided by spaces
 */
struct brf_failure_group {
	char route[64];
	char service[64];
	char target[64];
	uint64_t revision;
	int status;
	enum brf_reason reason;
	bool nested;
	uint32_t rank;
	double share;
	uint32_t count;
	size_t len;
	char ids[BRF_FAILURE_IDS_SIZE];
};

/**
 * struct brf_failure_log - a zeroed one is empty.
 */
struct brf_failure_log {
	struct brf_failure_group groups[BRF_FAILURE_GROUPS_MAX];
	size_t count;
};

BRF_BEGIN_DECLS

/* A request has failed; writes lines when there is no more room. */
void brf_failure_log_add(struct brf_failure_log *d, const struct brf_trace_end *end,
    const struct brf_trace *trail);

/* Write a line for each group. */
void brf_failure_log_flush(struct brf_failure_log *d);

BRF_END_DECLS

#endif
