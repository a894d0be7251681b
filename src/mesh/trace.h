#ifndef BRF_MESH_TRACE_H
#define BRF_MESH_TRACE_H

#include "flow/hop.h"
#include "table/table.h"

/**
 * DOC: What was decided of one request, for the log.
 *
 * The steps of a request are kept while it is open.  They are written when it
 * has failed, when it was late, and of one request in BRF_TRACE_SAMPLE_ONE_IN; the
 * sample goes by the request's id, so that all nodes write the same ones.
 */

#define BRF_TRACE_SAMPLE_ONE_IN 256u
#define BRF_TRACE_HOPS_MAX 6u /* gates that one request is offered to */

/**
 * struct brf_trace_hop - one gate that a request was offered to.
 * @target: valid until the trail is written
 * @ring: name of its distance
 * @at_us: time since the request came
 * @took_us: time until it ended
 * @known: the gate's load as it was known before
 * @known_age_us: age of that; UINT64_MAX for none
 * @estimate_us: time until an answer that it was chosen for
 * @repeat: a target had seen the request before
 * @state: BRF_HOP_OPEN when the request gave it up
 * @told: load that the gate told at the end, with @has_told
 */
struct brf_trace_hop {
	const char *target;
	const char *ring;
	uint64_t sent_after_us;
	uint64_t duration_us;
	struct brf_gate_load known;
	uint64_t known_age_us;
	double estimate_us;
	bool repeat;
	enum brf_hop_state state;
	enum brf_reason reason;
	bool arrived;
	bool marked;
	bool has_reported;
	struct brf_gate_load reported;
};

/**
 * struct brf_trace - zeroed at first.
 * @share: of its route's requests that began when it came
 * @budget: repeats that were left when it ended
 */
struct brf_trace {
	struct brf_trace_hop hops[BRF_TRACE_HOPS_MAX];
	size_t count;
	double share;
	double repeats_left;
};

/**
 * struct brf_trace_end - how a request ended.
 * @event: literal; "request_ended", "request_failed", "request_late" or
 *	"request_left"
 * @route: NULL for none
 * @service: "" for none
 * @revision: of the routing table that it was judged by; 0 for none
 * @parent: serial of the request that made it at this VM's gate, 0 for none;
 *	a guess without @parent_sure
 * @status: sent to the caller
 * @retry_after_ms: sent with it; 0 for none
 */
struct brf_trace_end {
	const char *event;
	const char *id;
	const struct brf_route *route;
	const char *service;
	uint64_t revision;
	uint32_t rank;
	bool nested;
	uint64_t parent;
	bool parent_sure;
	uint64_t duration_us;
	uint64_t allowed_us;
	int status;
	enum brf_reason reason;
	uint64_t retry_after_ms;
};

BRF_BEGIN_DECLS

/* Whether all steps of the request are written, however it ends. */
bool brf_trace_is_sampled(const char *id);

/**
 * brf_trace_write() - write the line of a request's end, then its hops.
 *
 * Return: false when nothing was written, to bound the log.
 */
bool brf_trace_write(
    const struct brf_trace *trail, const struct brf_trace_end *end);

BRF_END_DECLS

#endif
