#ifndef BRF_RETRY_WINDOW_H
#define BRF_RETRY_WINDOW_H

#include "base/base.h"

/**
 * DOC: Retry budget over a sliding window.
 *
 * Problem: a service fails part of its requests while many nodes send to it.
 * The retries of all nodes together have to stay below a share of the first
 * attempts in any span of time, whatever the nodes know of each other.
 *
 * Each node limits its retries to a share of the first attempts that it made
 * itself within the last window.  No quota has to be divided among nodes: when
 * each of them keeps the bound, their sum does.
 */

/* Buckets that a window is counted in. */
#define BRF_RETRY_WINDOW_BUCKETS 20u

/**
 * struct brf_retry_window - retry budget for one service; set up by
 * brf_retry_window_init().
 * @ratio: retries allowed per first attempt
 * @bucket_us: length of a bucket
 * @bucket: number of the current bucket, counted from clock time 0
 * @first_attempts: by bucket; a ring buffer
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

/**
 * brf_retry_window_init() - start with an empty window.
 * @ratio: retries allowed per first attempt
 * @window_us: length of the window
 */
void brf_retry_window_init(
    struct brf_retry_window *w, double ratio, uint64_t window_us);

/* Count the first attempt of a request. */
void brf_retry_window_count_first(struct brf_retry_window *w, uint64_t now);

/*
 * Count the first attempt of a call whose parent request is a retry.  It is
 * not refused, but uses up budget like a retry.
 */
void brf_retry_window_count_forced(struct brf_retry_window *w, uint64_t now);

/**
 * brf_retry_window_take() - ask for a retry, and count it when allowed.
 * @nested: it is a call made by a running request; half of the budget is
 *	reserved for root requests, since retrying one call does not save a
 *	tree of many
 *
 * Return: whether the request may be sent again.
 */
bool brf_retry_window_take(
    struct brf_retry_window *w, bool nested, uint64_t now);

/* Return: retries left in the window for root requests; may be negative. */
double brf_retry_window_left(struct brf_retry_window *w, uint64_t now);

BRF_END_DECLS

#endif
