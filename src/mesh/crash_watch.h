#ifndef BRF_MESH_CRASH_WATCH_H
#define BRF_MESH_CRASH_WATCH_H

#include "base/metrics.h"
#include "fleet/crash_record.h"
#include "fleet/local.h"
#include "flow/target.h"

/**
 * DOC: Tells the crash of this VM's target from closed connections, torn
 * answers and cut ones.
 *
 * A process that ends closes all its connections and its listening socket.  So
 * after a request has lost its connection, the target has crashed if no other
 * connection is left and a new one is refused; or, when its successor listens
 * already, if another incarnation is announced soon after.  A target that
 * announced or said that it leaves may end without having crashed.
 */

#define BRF_CRASH_SETTLE_US (5 * BRF_US_PER_MS) /* until the others close */
#define BRF_CRASH_PROBE_US (50 * BRF_US_PER_MS) /* timeout of the new one */
/* Time in which the successor of a target that crashed is announced. */
#define BRF_CRASH_ANNOUNCE_US (10 * BRF_US_PER_S)

/**
 * struct brf_crash - a crash of a target.
 * @target: its last announcement
 * @requests: @count requests that were under way, each once
 */
struct brf_crash {
	const struct brf_target_announcement *target;
	const struct brf_crash_request *requests;
	size_t count;
};

/**
 * struct brf_crash_watch_config - arguments of brf_crash_watch_new(), which
 * outlive it.
 * @addr: address of @target
 * @decided: called with @arg when the requests that were lost can be told
 *	whether their target has crashed
 * @crashed: called with @arg for each crash; may be NULL
 */
struct brf_crash_watch_config {
	uv_loop_t *loop;
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_flow_target *target;
	struct sockaddr_in addr;
	void (*decided)(void *arg, bool crashed);
	void (*crashed)(void *arg, const struct brf_crash *crash);
	void *arg;
};

struct brf_crash_watch;

BRF_BEGIN_DECLS

struct brf_crash_watch *brf_crash_watch_new(
    const struct brf_crash_watch_config *config);
void brf_crash_watch_free(struct brf_crash_watch *w);

/**
 * brf_crash_watch_lost() - a request has lost its connection to the target.
 * @target: last announcement of the target
 * @key: NULL when the request is known not to be the cause, or can't be told
 *	from others
 *
 * decided() is called after it.  Not to be called for a target that leaves.
 */
void brf_crash_watch_lost(struct brf_crash_watch *w,
    const struct brf_target_announcement *target, const char *caller,
    const struct brf_request_key *key);

/* Another incarnation of the target was announced. */
void brf_crash_watch_replaced(struct brf_crash_watch *w);

/* The target leaves, or this node stops to use it. */
void brf_crash_watch_leaving(struct brf_crash_watch *w);

BRF_END_DECLS

#endif
