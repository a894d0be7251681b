#ifndef BRF_MESH_FAILURE_LOG_H
#define BRF_MESH_FAILURE_LOG_H

#include "mesh/trace.h"

/**
 * DOC: Log lines for groups of failed requests.
 *
 * At hundreds of failures a second, a log line for each one would cost more
 * than the request.  Failures with the same cause share a "requests_failed"
 * line that lists their ids, so that the reason can be found by id.
 */

#define BRF_FAILURE_GROUPS_MAX 32u
#define BRF_FAILURE_IDS_SIZE 2048u /* bytes of ids in one line */

/**
 * struct brf_failure_group - failures that differ only in their ids and times.
 * @target: id of the last hop's target; "" for none
 * @revision: of the routing table
 * @admit_share: share of the route's requests that the throttle admits, at the
 *	last failure
 * @count: failures, including those whose id did not fit
 * @len: used bytes of @ids
 * @ids: request ids separated by spaces
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
	double admit_share;
	uint32_t count;
	size_t len;
	char ids[BRF_FAILURE_IDS_SIZE];
};

/**
 * struct brf_failure_log - failures not written yet; empty when zeroed.
 * @count: used elements of @groups
 */
struct brf_failure_log {
	struct brf_failure_group groups[BRF_FAILURE_GROUPS_MAX];
	size_t count;
};

BRF_BEGIN_DECLS

/**
 * brf_failure_log_add() - add a failed request; the arguments are copied.
 *
 * Writes a group whose ids are full, or all groups when a new one does not fit.
 */
void brf_failure_log_add(struct brf_failure_log *log,
    const struct brf_trace_end *end, const struct brf_trace *trace);

/* Write a line for each group, and empty the log. */
void brf_failure_log_flush(struct brf_failure_log *log);

BRF_END_DECLS

#endif
