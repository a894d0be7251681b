#ifndef BRF_MESH_DIGEST_H
#define BRF_MESH_DIGEST_H

#include "mesh/trace.h"

/**
 * DOC: Failed requests beyond what is logged one by one.
 *
 * Load it answers: hundreds of failures a second, whose lines would cost more
 * than the requests.  Failures that are alike share a line, "requests_failed",
 * which names them all, so that each id still leads to its reason.
 */

#define BRF_DIGEST_GROUPS 32u
#define BRF_DIGEST_IDS 2048u /* bytes of ids on one line */

/**
 * struct brf_digest_group - failures that are alike.
 * @target: of the last hop; "" for none
 * @ids: divided by spaces
 */
struct brf_digest_group {
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
	char ids[BRF_DIGEST_IDS];
};

/**
 * struct brf_digest - a zeroed one is empty.
 */
struct brf_digest {
	struct brf_digest_group groups[BRF_DIGEST_GROUPS];
	size_t count;
};

BRF_BEGIN_DECLS

/* A request has failed; writes lines when there is no more room. */
void brf_digest_add(struct brf_digest *d, const struct brf_trace_end *end,
    const struct brf_trace *trail);

/* Write a line for each group. */
void brf_digest_flush(struct brf_digest *d);

BRF_END_DECLS

#endif
