#ifndef BRF_SPLIT_H
#define BRF_SPLIT_H

#include "base/random.h"

/**
 * DOC: Dividing a route's requests among services by weight.
 *
 * Load it answers: a few requests a second at each of many nodes, whose sum
 * has to keep the weights.  Smooth weighted round robin keeps each node within
 * one request of its share; a random start keeps the nodes from all giving
 * their first request to the heaviest part.
 */

#define BRF_SPLIT_MAX 16u /* parts of one route */

/**
 * struct brf_split - state of one route; a zeroed struct is ready.
 * @credit: what each part is owed, in units of weight
 * @weights: for which @credit was kept
 */
struct brf_split {
	int64_t credit[BRF_SPLIT_MAX];
	uint32_t weights[BRF_SPLIT_MAX];
	size_t count;
};

BRF_BEGIN_DECLS

/**
 * brf_split_next() - the part that the next request goes to.
 * @weights: @count of them, not all 0; other ones than before begin anew
 *
 * Return: index below @count.
 */
size_t brf_split_next(struct brf_split *s, const uint32_t *weights,
    size_t count, struct brf_random *random);

BRF_END_DECLS

#endif
