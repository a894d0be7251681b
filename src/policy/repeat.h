#ifndef BRF_REPEAT_H
#define BRF_REPEAT_H

#include "base/base.h"

/**
 * DOC: How many requests a node may send a second time.
 *
 * Load it answers: a service that fails part of its requests while many nodes
 * send to it.  What all nodes together send again in any span of time has to
 * stay under a share of what was asked, whatever the nodes know of each other.
 * So each node spends only a share of the requests that it sent for the first
 * time itself within the last window, and nothing that would have to be
 * divided among the nodes: the sum then keeps the bound that each one keeps.
 */

#define BRF_REPEAT_STEPS 20u /* parts of a window */

/**
 * struct brf_repeat_budget - for one service; start with
 * brf_repeat_budget_init().
 * @ratio: repeats per first request
 * @step_us: length of a part of the window
 * @step: number of the current part
 * @firsts: requests sent for the first time, by part; a ring
 * @repeats: likewise
 */
struct brf_repeat_budget {
	double ratio;
	uint64_t step_us;
	uint64_t step;
	uint32_t firsts[BRF_REPEAT_STEPS];
	uint32_t repeats[BRF_REPEAT_STEPS];
};

BRF_BEGIN_DECLS

void brf_repeat_budget_init(
    struct brf_repeat_budget *b, double ratio, uint64_t window_us);

/* A request goes out for the first time. */
void brf_repeat_first(struct brf_repeat_budget *b, uint64_t now);

/* A request goes out that a repeated one needs: it can't be refused, and
 * leaves less for others. */
void brf_repeat_forced(struct brf_repeat_budget *b, uint64_t now);

/**
 * brf_repeat_take() - a request would go out again.
 * @nested: a running request needs it; a part of the budget is kept for those
 *	that begin, since a tree of many calls is not saved by repeating one
 *
 * Return: whether it may; it is counted then.
 */
bool brf_repeat_take(struct brf_repeat_budget *b, bool nested, uint64_t now);

/* Repeats that brf_repeat_take() would still grant. */
double brf_repeat_left(struct brf_repeat_budget *b, uint64_t now);

BRF_END_DECLS

#endif
