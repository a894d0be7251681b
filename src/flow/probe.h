#ifndef BRF_FLOW_PROBE_H
#define BRF_FLOW_PROBE_H

#include <uv.h>

#include "base/timer.h"

/**
 * DOC: Asks the kernel whether a process listens at an address, by a
 * connection on which nothing is sent.
 */

struct brf_probe;

BRF_BEGIN_DECLS

/**
 * brf_probe_start() - open a connection to the IPv4 address @addr.
 * @timeout_us: longest time to wait for it
 * @done: called once with @arg when this function has returned, unless the
 *	probe is cancelled; @refused tells that nobody listens.  Then the probe
 *	is freed.
 */
struct brf_probe *brf_probe_start(uv_loop_t *loop, struct brf_timers *timers,
    const struct sockaddr *addr, uint64_t timeout_us,
    void (*done)(void *arg, bool refused), void *arg);

/* Free a probe that is not done; the loop has to run once more. */
void brf_probe_cancel(struct brf_probe *probe);

BRF_END_DECLS

#endif
