#ifndef BRF_CTL_BURN_H
#define BRF_CTL_BURN_H

#include <jansson.h>

#include "base/buf.h"

/**
 * DOC: Burn rates of service-level objectives over the fleet.
 *
 * Each node serves at /brf/v1/burn a list of objects, one for each service,
 * class and window.  Their members are "service", "class", "objective" (the
 * share of requests that must be good), "within_ms", "window_s", and counts of
 * the requests that entered the system at this node in that window: "total",
 * "good", "refused", "unknown", "late", "failed".  Counts are summed over the
 * nodes.
 *
 * The burn rate is the share of requests that were not good, divided by the
 * share that the objective allows.  At a burn rate of 1 the error budget lasts
 * exactly as long as its period.
 */

BRF_BEGIN_DECLS

/**
 * brf_burn_add() - add the list of one node to @sum, which has the same form.
 * @list: not changed
 */
void brf_burn_add(json_t *sum, const json_t *list);

/**
 * brf_burn_compute_rates() - add "burn" to each object of @sum.
 *
 * The rate is null where there were no requests, or where the objective allows
 * none to be bad.
 */
void brf_burn_compute_rates(json_t *sum);

/**
 * brf_burn_write_html() - write @sum as a self-contained HTML page.
 * @nodes: number of nodes that responded
 * @known: number of nodes asked
 */
void brf_burn_write_html(
    const json_t *sum, size_t nodes, size_t known, struct brf_buf *out);

BRF_END_DECLS

#endif
