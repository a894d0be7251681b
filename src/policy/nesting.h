#ifndef BRF_NESTING_H
#define BRF_NESTING_H

#include "base/random.h"

/**
 * DOC: Which requests are calls that running requests make, and whose.
 *
 * Load it answers: a target's own calls and the requests of callers on its VM
 * come to one listener, and calls bear no name of their parent.
 *
 * Callers sit on the VMs of all services, while a target's calls come from the
 * VMs of its own service alone.  So a gate remembers the services from which a
 * route's requests came, and tells with its answers whether some never send
 * any: such a route's requests are calls.
 *
 * A call ends no later than its parent.  When it ends together with a running
 * request, that is the parent; when its own time is shorter, the parent is one
 * of those that end later, of a route whose requests were seen to make calls.
 * A route of which far more requests end together with a running one than would
 * by chance is of calls, too, whoever sends it.
 */

/* Requests of a route, per service, before it is judged. */
#define BRF_NESTING_SAMPLES 8u

/* Two ends that are one; targets tell times in milliseconds. */
#define BRF_NESTING_SAME_US (2 * BRF_US_PER_MS)
#define BRF_NESTING_NEAR_US (10 * BRF_US_PER_MS)

/**
 * struct brf_nesting - of one route; a zeroed struct has seen nothing.
 * @callers: services that send its requests, as bits
 * @visits: its requests at this node's gate
 * @same: calls here that ended together with one of its requests
 * @near: calls that ended within BRF_NESTING_NEAR_US of one, but not together;
 *	so many are alike by chance
 * @inner: what gates say of its requests that begin here, fading; 1 for calls
 * @begun: of them, up to some
 * @alike: share of them that end together with a running request, fading
 * @chance: share that would do so by chance, fading
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
 * brf_nesting_add_arrival() - a request has come to this node's gate.
 * @caller: the service of the VM where it began, as a bit; 0 when unknown
 */
void brf_nesting_add_arrival(struct brf_nesting *k, uint64_t caller);

/**
 * brf_nesting_by_callers() - whether its requests are calls, as this gate has
 * seen them.
 * @services: all services that there are, as bits
 */
bool brf_nesting_by_callers(const struct brf_nesting *k, uint64_t services);

/* A gate has said whether they are. */
void brf_nesting_add_report(struct brf_nesting *k, bool nested);

/**
 * brf_nesting_add_start() - a request has begun here.
 * @same: running requests that end together with it
 * @near: that end within BRF_NESTING_NEAR_US of it, but not together
 */
void brf_nesting_add_start(struct brf_nesting *k, uint32_t same, uint32_t near);

/* Whether requests of the route that begin here are calls. */
bool brf_nesting_is_nested(const struct brf_nesting *k);

/* A call ends @apart_us from one of the route's running requests. */
void brf_nesting_add_call(struct brf_nesting *k, uint64_t apart_us);

/**
 * brf_nesting_calls_per_request() - calls that one of its requests makes, as far as they
 * were seen and were not alike by chance; a little where none were, since
 * calls with a shorter time of their own are alike with none.
 */
double brf_nesting_calls_per_request(const struct brf_nesting *k);

BRF_END_DECLS

#endif
