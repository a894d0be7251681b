#ifndef BRF_CLIENT_H
#define BRF_CLIENT_H

#include "base/exchange.h"

/**
 * DOC: Interface by which the gate runs requests on this node's own target.
 *
 * struct brf_target separates the gate from HTTP, so that tests can replace
 * the target by a fake.
 */

/**
 * enum brf_run_end - how a run on the target ended.
 * @BRF_RUN_ANSWERED: a complete answer arrived
 * @BRF_RUN_NOT_STARTED: no byte of the request was sent
 * @BRF_RUN_LOST: the connection ended after a byte of the request may have been
 *	sent, and before any byte of the answer
 * @BRF_RUN_BROKEN: an answer began but was incomplete by its framing, or was
 *	not HTTP
 * @BRF_RUN_TOO_LARGE: the answer exceeds BRF_BODY_MAX or the header limits
 * @BRF_RUN_CANCELLED: brf_target_cancel() closed the connection
 */
enum brf_run_end {
	BRF_RUN_ANSWERED,
	BRF_RUN_NOT_STARTED,
	BRF_RUN_LOST,
	BRF_RUN_BROKEN,
	BRF_RUN_TOO_LARGE,
	BRF_RUN_CANCELLED
};

/**
 * struct brf_run - one request running on the target; embedded in the
 * gate's own struct.
 * @request: method, path, fields and body; the gate holds a reference
 * @extra: fields added to the request's own (BRF_H_REQUEST and others)
 * @extra_count: number of fields in @extra
 * @done: called exactly once, possibly before brf_target_run() returns;
 *	@answer is NULL except with BRF_RUN_ANSWERED, and valid during the
 *	callback unless a reference is taken
 * @impl: private to the target
 */
struct brf_run {
	struct brf_message *request;
	struct brf_header extra[8];
	size_t extra_count;
	void (*done)(struct brf_run *run, enum brf_run_end end,
	    struct brf_message *answer);
	void *impl;
};

struct brf_target;

struct brf_target_vt {
	void (*run)(struct brf_target *target, struct brf_run *run);
	void (*cancel)(struct brf_target *target, struct brf_run *run);
};

struct brf_target {
	const struct brf_target_vt *vt;
};

static inline void
brf_target_run(struct brf_target *target, struct brf_run *run)
{
	target->vt->run(target, run);
}

/* Closes the connection; the target is expected to stop working on the run. */
static inline void
brf_target_cancel(struct brf_target *target, struct brf_run *run)
{
	target->vt->cancel(target, run);
}

struct brf_http_loop;

BRF_BEGIN_DECLS

/**
 * brf_http_target_new() - HTTP/1.1 client of the target at loopback @port.
 * @connections: maximum number of open connections, from the target's
 *	announcement; 0 counts as 1
 *
 * Kept-alive connections are reused.  If the target closed a connection while
 * it was idle, a request is sent again on a new one only when no byte of it
 * was sent; otherwise the run ends with BRF_RUN_LOST.
 *
 * Return: the target; free it by brf_http_target_free() when no run is open.
 */
struct brf_target *brf_http_target_new(
    struct brf_http_loop *loop, uint16_t port, uint32_t connections);
void brf_http_target_free(struct brf_target *target);

BRF_END_DECLS

#endif
