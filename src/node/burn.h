#ifndef BRF_BURN_H
#define BRF_BURN_H

#include <jansson.h>

#include "base/timer.h"
#include "config/docs.h"
#include "node/call.h"

/**
 * DOC: Input of the burn rates of the services' objectives.
 *
 * Counts the root requests that entered at this node by service, class and
 * result, in steps of BRF_BURN_STEP_US, for as long as the longest window.
 * Memory is bounded by BRF_BURN_SERIES_MAX; requests of further services and
 * classes are not counted.
 */

#define BRF_BURN_STEP_US (10 * BRF_US_PER_S)
#define BRF_BURN_SERIES_MAX 512u /* pairs of service and class */

/**
 * enum brf_burn_kind - result of a request with regard to its objective.
 */
enum brf_burn_kind {
	BRF_BURN_GOOD,	  /* answered in time, status below 500 */
	BRF_BURN_REFUSED, /* BRF_NOT_RUN */
	BRF_BURN_UNKNOWN, /* BRF_UNKNOWN: may have run */
	BRF_BURN_LATE,	  /* answered after the objective's time */
	BRF_BURN_FAILED,  /* answered with a status of 500 or above */
	BRF_BURN_KINDS
};

struct brf_burn;

BRF_BEGIN_DECLS

/* @clock must outlive the counts. */
struct brf_burn *brf_burn_new(struct brf_clock *clock);
void brf_burn_free(struct brf_burn *b);

/**
 * brf_burn_count() - count a request to the service of @doc.
 * @result: how the request ended
 * @duration_us: time from request to result
 *
 * Does nothing if the service has no objective for @cls.
 */
void brf_burn_count(struct brf_burn *b, const struct brf_document *doc,
    uint32_t cls, const struct brf_call_result *result, uint64_t duration_us);

/**
 * brf_burn_json() - the contents of /brf/v1/burn: an array with one object for
 * each objective and window; see ctl/burn.h for the fields.
 * @docs: source of the objectives
 *
 * Return: owned by the caller.
 */
json_t *brf_burn_json(struct brf_burn *b, struct brf_docs *docs);

BRF_END_DECLS

#endif
