#ifndef BRF_STORE_CLIENT_H
#define BRF_STORE_CLIENT_H

#include <sys/socket.h>

#include "base/metrics.h"
#include "base/random.h"
#include "base/timer.h"
#include "config/store.h"

/**
 * DOC: The store over HTTP.
 *
 * Calls beyond the rate wait in line; when the line is full they are refused
 * with BRF_E_LIMIT.  A watch counts as a call when it is opened.
 */

#define BRF_STORE_ADDRS_MAX 4u

struct brf_http_loop;

/**
 * struct brf_store_client_config - what brf_store_client_new() needs.
 * @addrs: @addr_count addresses of the store, at least one; the next one is
 *	taken after a call that failed
 * @calls_per_s: cap
 * @burst: calls that may go at once after a pause
 * @timeout_us: bound of one call, its time in line left out
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

struct brf_store *brf_store_client_new(
    const struct brf_store_client_config *config);

/* Open calls and watches end without a callback. */
void brf_store_client_free(struct brf_store *store);

BRF_END_DECLS

#endif
