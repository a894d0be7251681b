#ifndef BRF_CLIENT_H
#define BRF_CLIENT_H

#include "base/exchange.h"

/**
 * DOC: Running a request on this node's own target.
 *
 * The seam between the gate and HTTP: tests put a fake target behind it.
 */

/**
 * enum brf_run_end - how a run on the target ended.
 * @BRF_RUN_ANSWERED: a whole answer
 * @BRF_RUN_NOT_STARTED: no byte of the request left this node
 * @BRF_RUN_LOST: the connection ended after the request was sent
 * @BRF_RUN_BROKEN: an answer began and did not end as its framing says, or
 *	was no HTTP
 * @BRF_RUN_TOO_LARGE: the answer is over BRF_BODY_MAX or the header bounds
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
 * struct brf_run - one request running on the target; embedded by the gate.
 * @request: content; the gate holds a reference
 * @extra: fields added to the request's own (BRF_H_REQUEST and others)
 * @extra_count: number of fields in @extra
 * @done: called exactly once, possibly before brf_target_run() returns;
 *	@answer only with BRF_RUN_ANSWERED, valid during the call unless
 *	referenced
 * @impl: for the target
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

/* The target sees its connection closed, which is its word to stop. */
static inline void
brf_target_cancel(struct brf_target *target, struct brf_run *run)
{
	target->vt->cancel(target, run);
}

struct brf_http_loop;

BRF_BEGIN_DECLS

/**
 * brf_http_target_new() - the target at loopback @port, by HTTP/1.1.
 * @connections: most connections open at once; the announcement's limit
 *
 * Kept-alive connections are reused.  A request that meets a connection which
 * the target closed while idle is sent again on a new one only when no byte
 * of it could be sent; otherwise BRF_RUN_LOST.
 *
 * Return: to be given to brf_http_target_free() when no run is open.
 */
struct brf_target *brf_http_target_new(
    struct brf_http_loop *loop, uint16_t port, uint32_t connections);
void brf_http_target_free(struct brf_target *target);

BRF_END_DECLS

#endif
