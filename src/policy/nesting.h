#ifndef BRF_NESTING_H
#define BRF_NESTING_H

#include "base/random.h"

/**
 * DOC: Detection of nested calls and of their parents.
 *
 * Problem: a target's nested calls and the root requests of callers on its VM
 * arrive at the same listener, and a call does not name its parent.
 *
 * Two kinds of evidence are kept for each route:
 *
 * - Callers.  Root requests come from VMs of all services, while nested calls
 *   come only from VMs of the services whose targets make them.  A gate
 *   remembers the services from which a route's requests came, and reports
 *   with its answers whether some services never send any: the requests of
 *   such a route are nested calls.
 * - Deadlines.  A nested call's deadline is not later than its parent's.  When
 *   it equals the deadline of a running request, that request is taken for the
 *   parent.  When the call has a shorter timeout of its own, the parent is one
 *   of the running requests with a later deadline, on a route whose requests
 *   were seen to make calls.  A route is also one of nested calls, whichever
 *   services send them, when far more of its requests share their deadline
 *   with a running request than would by chance.
 */

/* Requests of a route, per service, before its callers are evaluated. */
#define BRF_NESTING_SAMPLES 8u

/* Deadlines closer than this are the same: targets use whole milliseconds. */
#define BRF_NESTING_SAME_US (2 * BRF_US_PER_MS)
/* Deadlines closer than this tell how many are the same by chance. */
#define BRF_NESTING_NEAR_US (10 * BRF_US_PER_MS)

/**
 * struct brf_nesting - evidence about one route; start zeroed.
 * @callers: bit set of the services that sent its requests
 * @arrivals: its requests at this node's gate
 * @same: pairs of a call made here and one of the route's running requests
 *	with the same deadline
 * @near: such pairs whose deadlines are not the same, but less than
 *	BRF_NESTING_NEAR_US apart; they show how many are the same by chance
 * @nested: moving average of what gates report about its requests that start
 *	here; 1 means nested calls
 * @starts: requests that started here; stops at the length of the averages
 *	below
 * @same_share: moving average of the share of these whose deadline is also
 *	that of a running request
 * @chance_share: moving average of the share for which that would happen by
 *	chance
 */
struct brf_nesting {
	uint64_t callers;
	uint32_t arrivals;
	uint32_t same;
	uint32_t near;
	double nested;
	uint32_t starts;
	double same_share;
	double chance_share;
};

BRF_BEGIN_DECLS

/**
 * brf_nesting_add_arrival() - a request arrived at this node's gate.
 * @caller: bit of the service on whose VM it started; 0 when not known
 */
void brf_nesting_add_arrival(struct brf_nesting *n, uint64_t caller);

/**
 * brf_nesting_by_callers() - whether the route's requests are nested calls,
 * judged by the services that sent them to this gate.
 * @services: bit set of all services that have targets
 *
 * Return: false until enough requests have arrived.
 */
bool brf_nesting_by_callers(const struct brf_nesting *n, uint64_t services);

/**
 * brf_nesting_add_report() - a gate reported its result of
 * brf_nesting_by_callers().
 */
void brf_nesting_add_report(struct brf_nesting *n, bool nested);

/**
 * brf_nesting_add_start() - a request of the route started at this node.
 * @same: running requests with the same deadline
 * @near: running requests whose deadline is not the same, but less than
 *	BRF_NESTING_NEAR_US apart
 */
void brf_nesting_add_start(struct brf_nesting *n, uint32_t same, uint32_t near);

/* Whether requests of the route that start at this node are nested calls. */
bool brf_nesting_is_nested(const struct brf_nesting *n);

/**
 * brf_nesting_add_call() - a call started while a request of the route ran.
 * @apart_us: time between the two deadlines, microseconds
 */
void brf_nesting_add_call(struct brf_nesting *n, uint64_t apart_us);

/**
 * brf_nesting_calls_per_request() - estimate of the calls that one request of
 * the route makes.
 *
 * Counts calls with the same deadline as a request, less those expected by
 * chance.  Never 0: a call with a shorter timeout of its own has the same
 * deadline as no request, so that its route would otherwise be ruled out.
 */
double brf_nesting_calls_per_request(const struct brf_nesting *n);

BRF_END_DECLS

#endif
