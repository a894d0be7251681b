#ifndef BRF_CTL_BURN_H
#define BRF_CTL_BURN_H

#include <jansson.h>

#include "base/buf.h"

/**
 * DOC: Burn of service-level objectives over the fleet.
 *
 * Each node serves at /brf/v1/burn a list of objects, one for each service,
 * class and window: "service", "class", "objective" (share of requests to be
 * good), "within_ms", "window_s", and the requests it took as an entry in that
 * window: "total", "good", "refused", "unknown", "late", "failed".  Counts are
 * summed over the nodes.  The burn rate is the share of requests that were
 * not good over the share that may be so: at 1 the budget lasts exactly as
 * long as its period.
 */

BRF_BEGIN_DECLS

/**
 * brf_burn_add() - add one node's list to @sum, a list of the same form.
 */
void brf_burn_add(json_t *sum, const json_t *list);

/**
 * brf_burn_compute_rates() - add "burn" to each object of @sum.
 */
void brf_burn_compute_rates(json_t *sum);

/**
 * brf_burn_write_html() - write @sum as a page of HTML that needs nothing else.
 * @nodes: answered, of @known
 */
void brf_burn_write_html(
    const json_t *sum, size_t nodes, size_t known, struct brf_buf *out);

BRF_END_DECLS

#endif
