#ifndef BRF_KINSHIP_H
#define BRF_KINSHIP_H

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
#define BRF_KINSHIP_SAMPLES 8u

/* Two ends that are one; targets tell times in milliseconds. */
#define BRF_KINSHIP_SAME_US (2 * BRF_US_PER_MS)
#define BRF_KINSHIP_NEAR_US (10 * BRF_US_PER_MS)

/**
 * struct brf_kinship - of one route; a zeroed struct has seen nothing.
 * @callers: services that send its requests, as bits
 * @visits: its requests at this node's gate
 * @same: calls here that ended together with one of its requests
 * @near: calls that ended within BRF_KINSHIP_NEAR_US of one, but not together;
 *	so many are alike by chance
 * @inner: what gates say of its requests that begin here, fading; 1 for calls
 * @begun: of them, up to some
 * @alike: share of them that end together with a running request, fading
 * @chance: share that would do so by chance, fading
 */
struct brf_kinship {
	uint64_t callers;
	uint32_t visits;
	uint32_t same;
	uint32_t near;
	double inner;
	uint32_t begun;
	double alike;
	double chance;
};

BRF_BEGIN_DECLS

/**
 * brf_kinship_visit() - a request has come to this node's gate.
 * @caller: the service of the VM where it began, as a bit; 0 when unknown
 */
void brf_kinship_visit(struct brf_kinship *k, uint64_t caller);

/**
 * brf_kinship_is_inner() - whether its requests are calls, as this gate has
 * seen them.
 * @services: all services that there are, as bits
 */
bool brf_kinship_is_inner(const struct brf_kinship *k, uint64_t services);

/* A gate has said whether they are. */
void brf_kinship_told(struct brf_kinship *k, bool inner);

/**
 * brf_kinship_began() - a request has begun here.
 * @same: running requests that end together with it
 * @near: that end within BRF_KINSHIP_NEAR_US of it, but not together
 */
void brf_kinship_began(struct brf_kinship *k, uint32_t same, uint32_t near);

/* Whether requests of the route that begin here are calls. */
bool brf_kinship_is_call(const struct brf_kinship *k);

/* A call ends @apart_us from one of the route's running requests. */
void brf_kinship_compare(struct brf_kinship *k, uint64_t apart_us);

/**
 * brf_kinship_weight() - calls that one of its requests makes, as far as they
 * were seen and were not alike by chance; a little where none were, since
 * calls with a shorter time of their own are alike with none.
 */
double brf_kinship_weight(const struct brf_kinship *k);

BRF_END_DECLS

#endif
