#ifndef BRF_STORE_CLIENT_H
#define BRF_STORE_CLIENT_H

#include <sys/socket.h>

#include "base/metrics.h"
#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"

/**
 * DOC: HTTP client of the key-value store.
 *
 * A token bucket limits the rate of calls.  Calls above the rate are queued;
 * when the queue is full, they end with BRF_STORE_REFUSED and BRF_E_LIMIT.
 * Opening a watch counts as a call.
 */

#define BRF_STORE_ADDRS_MAX 4u

struct brf_http_loop;

/**
 * struct brf_store_client_config - arguments of brf_store_client_new().
 * @http: must outlive the client, as must @timers and @metrics
 * @addrs: @addr_count addresses of the store, at least one; after a failed
 *	call the client switches to the next one
 * @calls_per_s: refill rate of the token bucket
 * @burst: size of the token bucket, calls
 * @timeout_us: timeout of one call, microseconds, without its time in the queue
 */
struct brf_store_client_config {
	struct brf_http_loop *http;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct sockaddr_storage addrs[BRF_STORE_ADDRS_MAX];
	size_t addr_count;
	double calls_per_s;
	double burst;
	uint64_t timeout_us;
};

BRF_BEGIN_DECLS

/* Return: owned by the caller, freed by brf_store_client_free(). */
struct brf_store *brf_store_client_new(
    const struct brf_store_client_config *config);

/* Cancels all calls and watches; their callbacks are not called. */
void brf_store_client_free(struct brf_store *store);

BRF_END_DECLS

#endif
