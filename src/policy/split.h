#ifndef BRF_SPLIT_H
#define BRF_SPLIT_H

#include "base/random.h"

/**
 * DOC: Split of a route's requests among services by weight.
 *
 * Problem: many nodes each send a few requests a second, and their sum has to
 * match the weights.
 *
 * Smooth weighted round robin keeps each node within one request of the exact
 * split.  Each node starts at a random point of the cycle, since otherwise all
 * nodes would send their first request to the service of the highest weight.
 */

/* Services that one route is split among, at most. */
#define BRF_SPLIT_MAX 16u

/**
 * struct brf_split - state of one route; a zeroed struct is ready.
 * @credit: current weight of each service in the round robin
 * @weights: weights that @credit belongs to
 * @count: services
 */
struct brf_split {
	int64_t credit[BRF_SPLIT_MAX];
	uint32_t weights[BRF_SPLIT_MAX];
	size_t count;
};

BRF_BEGIN_DECLS

/**
 * brf_split_next() - choose the service for the next request.
 * @weights: @count weights, not all 0; the round robin starts again when they
 *	differ from those of the last call
 * @count: services; those after the first BRF_SPLIT_MAX are ignored
 *
 * Return: index of the service, below @count.
 */
size_t brf_split_next(struct brf_split *s, const uint32_t *weights,
    size_t count, struct brf_random *random);

BRF_END_DECLS

#endif
