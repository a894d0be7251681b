#ifndef BRF_RATE_LIMIT_H
#define BRF_RATE_LIMIT_H

#include "base/base.h"

/**
 * DOC: Rate limit of a target, kept by the gate in front of it.
 *
 * Problem: a target states how many requests a second it takes from all nodes
 * together.  The gate alone sees them all, but it forgets when its process
 * ends, while the target and the senders go on.
 *
 * A token bucket of a quarter of a second.  It begins empty, so that what the
 * gate of before has admitted and what this one admits stay within one bucket
 * together.  Senders that are refused are told times that lie one permit
 * apart, so that they don't all come back for the same one.
 */

/**
 * struct brf_rate_limit - a zeroed struct has no limit.
 * @rate: permits a second; 0 for no limit
 * @permits: permits at hand, with fractions
 * @updated_at: clock time of @permits, microseconds
 * @promised_until: clock time up to which permits were promised to senders
 */
struct brf_rate_limit {
	double rate;
	double permits;
	uint64_t updated_at;
	uint64_t promised_until;
};

BRF_BEGIN_DECLS

/* Set the rate, requests a second; 0 ends the limit. */
void brf_rate_limit_set(struct brf_rate_limit *l, double rate, uint64_t now);

/* Take a permit.  Return: false when there is none. */
bool brf_rate_limit_take(struct brf_rate_limit *l, uint64_t now);

/* Give back a permit that was taken and not used. */
void brf_rate_limit_give_back(struct brf_rate_limit *l);

/**
 * brf_rate_limit_wait_us() - time until a number of permits are at hand.
 *
 * Return: microseconds; 0 without a limit.
 */
uint64_t brf_rate_limit_wait_us(
    const struct brf_rate_limit *l, double permits, uint64_t now);

/**
 * brf_rate_limit_promise_us() - time until a refused sender may find a permit,
 * behind the senders that were refused before.
 * @waiting: requests that wait for permits at the gate
 *
 * Return: microseconds, not much above the time of the next free permit, so
 * that each sender learns within seconds when the limit has ended; 0 without
 * a limit.
 */
uint64_t brf_rate_limit_promise_us(
    struct brf_rate_limit *l, uint32_t waiting, uint64_t now);

BRF_END_DECLS

#endif
