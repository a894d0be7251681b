#ifndef BRF_BURN_H
#define BRF_BURN_H

#include <jansson.h>

#include "base/timer.h"
#include "config/docs.h"
#include "node/call.h"

/**
 * DOC: How this node's callers fared against the services' objectives.
 *
 * Counts the requests that came in at this node as an entry, by service,
 * class and what became of them, in steps of BRF_BURN_STEP_US over the
 * longest window.  State is bounded by BRF_BURN_SERIES_MAX; what comes beyond
 * is left out and counted.
 */

#define BRF_BURN_STEP_US (10 * BRF_US_PER_S)
#define BRF_BURN_SERIES_MAX 512u

/**
 * enum brf_burn_kind - what became of a request.
 */
enum brf_burn_kind {
	BRF_BURN_GOOD,	  /* answered in time, status below 500 */
	BRF_BURN_REFUSED, /* not run */
	BRF_BURN_UNKNOWN, /* may have run */
	BRF_BURN_LATE,	  /* answered, but later than promised */
	BRF_BURN_FAILED,  /* answered with a status of 500 or above */
	BRF_BURN_KINDS
};

struct brf_burn;

BRF_BEGIN_DECLS

struct brf_burn *brf_burn_new(struct brf_clock *clock);
void brf_burn_free(struct brf_burn *b);

/**
 * brf_burn_count() - a request of @doc's service has ended.
 * @duration_us: from request to outcome
 */
void brf_burn_count(struct brf_burn *b, const struct brf_document *doc,
    uint32_t cls, const struct brf_call_result *result, uint64_t duration_us);

/**
 * brf_burn_json() - one object for each objective and window, for the page
 * /brf/v1/burn; see ctl/burn.h for its fields.
 */
json_t *brf_burn_json(struct brf_burn *b, struct brf_docs *docs);

BRF_END_DECLS

#endif
