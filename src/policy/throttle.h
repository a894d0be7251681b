#ifndef BRF_THROTTLE_H
#define BRF_THROTTLE_H

#include "base/random.h"

/**
 * DOC: Refusing requests of a route where they begin.
 *
 * Load it answers: more requests than the services behind a route can finish.
 * A request that fails deep in its tree of calls has cost slots on the way, so
 * a node sends only about as many as lately came back whole, and refuses the
 * rest at once and for nothing (adaptive throttling, as in Site Reliability
 * Engineering, 2016, chapter 21).  A more important route asks for more than
 * came back, and so keeps its share longer.
 */

#define BRF_THROTTLE_HALF_US (BRF_US_PER_S) /* half-life of what was seen */

/**
 * struct brf_throttle - counts of one route; a zeroed struct is ready.
 * @asked: requests, refused ones included; fades
 * @served: of them, those that came back whole; fades
 */
struct brf_throttle {
	double asked;
	double served;
	uint64_t at;
};

BRF_BEGIN_DECLS

/**
 * brf_throttle_admit() - a request has come.
 * @margin: requests sent for one that came back, above 1
 *
 * Return: false when it is to be refused.
 */
bool brf_throttle_admit(struct brf_throttle *t, double margin,
    struct brf_random *random, uint64_t now);

/* A request that was admitted came back whole. */
void brf_throttle_served(struct brf_throttle *t, uint64_t now);

/* It ended for a reason that tells nothing of capacity. */
void brf_throttle_forget(struct brf_throttle *t, uint64_t now);

/* Share of requests that would be refused now. */
double brf_throttle_refusing(
    struct brf_throttle *t, double margin, uint64_t now);

BRF_END_DECLS

#endif
