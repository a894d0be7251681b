#ifndef BRF_RETRY_WINDOW_H
#define BRF_RETRY_WINDOW_H

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

#define BRF_RETRY_WINDOW_BUCKETS 20u /* parts of a window */

/**
 * struct brf_retry_window - for one service; start with
 * brf_retry_window_init().
 * @ratio: repeats per first request
 * @bucket_us: length of a part of the window
 * @bucket: number of the current part
 * @first_attempts: requests sent for the first time, by part; a ring
 * @retries: likewise
 */
struct brf_retry_window {
	double ratio;
	uint64_t bucket_us;
	uint64_t bucket;
	uint32_t first_attempts[BRF_RETRY_WINDOW_BUCKETS];
	uint32_t retries[BRF_RETRY_WINDOW_BUCKETS];
};

BRF_BEGIN_DECLS

void brf_retry_window_init(
    struct brf_retry_window *b, double ratio, uint64_t window_us);

/* A request goes out for the first time. */
void brf_retry_window_count_first(struct brf_retry_window *b, uint64_t now);

/* A request goes out that a repeated one needs: it can't be refused, and
 * leaves less for others. */
void brf_retry_window_count_forced(struct brf_retry_window *b, uint64_t now);

/**
 * brf_retry_window_take() - a request would go out again.
 * @nested: a running request needs it; a part of the budget is kept for those
 *	that begin, since a tree of many calls is not saved by repeating one
 *
 * Return: whether it may; it is counted then.
 */
bool brf_retry_window_take(
    struct brf_retry_window *b, bool nested, uint64_t now);

/* Repeats that brf_retry_window_take() would still grant. */
double brf_retry_window_left(struct brf_retry_window *b, uint64_t now);

BRF_END_DECLS

#endif
