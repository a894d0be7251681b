#ifndef BRF_MESH_TRACE_H
#define BRF_MESH_TRACE_H

#include "flow/hop.h"
#include "table/table.h"

/**
 * DOC: Request traces: the routing decisions of one request, for the log.
 *
 * A trace is recorded while the request is open, and logged if the request
 * failed or was late.  Of the others one in BRF_TRACE_SAMPLE_ONE_IN is logged.
 * The sample depends on the request's id alone, so that all nodes log the same
 * requests.
 */

#define BRF_TRACE_SAMPLE_ONE_IN 256u
#define BRF_TRACE_HOPS_MAX 6u /* hops of one request */

/**
 * struct brf_trace_hop - one hop of a request.
 * @target: id of the target; must stay valid until the trace is written
 * @locality: name of the distance to the target, see brf_locality_name()
 * @sent_after_us: time from the request's arrival to the start of the hop
 * @duration_us: time from the start of the hop to its end
 * @known: load of the gate as known to this node when the target was chosen
 * @known_age_us: age of @known; UINT64_MAX when no load was known
 * @estimate_us: estimated time until an answer, used to choose the target
 * @repeat: another target had received the request before
 * @state: BRF_HOP_OPEN when the hop was cancelled
 * @arrived: the target received the request
 * @marked: the hop has a congestion mark
 * @has_reported: @reported is filled
 * @reported: load that the gate reported when the hop ended
 */
struct brf_trace_hop {
	const char *target;
	const char *locality;
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
 * struct brf_trace - trace of one request; zeroed before use.
 * @count: used elements of @hops
 * @admit_share: share of the route's requests that the throttle admits, at
 *	the end
 * @repeats_left: retry budget of the service at the end, in repeats
 */
struct brf_trace {
	struct brf_trace_hop hops[BRF_TRACE_HOPS_MAX];
	size_t count;
	double admit_share;
	double repeats_left;
};

/**
 * struct brf_trace_end - how a request ended.
 * @event: string literal: "request_ended", "request_failed", "request_late" or
 *	"request_left" (the client disconnected)
 * @id: id of the request; "" for none
 * @connection: number of the client's connection
 * @route: NULL for none
 * @service: "" for none
 * @revision: of the routing table in use for the request; 0 for none
 * @rank: priority of the root request
 * @nested: the request is a nested call of this VM's target
 * @parent: serial of the parent at this VM's gate; 0 for none
 * @parent_sure: @parent is certain, see struct brf_mesh_parent
 * @duration_us: time since the request's arrival
 * @allowed_us: timeout of the request
 * @status: HTTP status sent to the caller; 0 for none
 * @retry_after_ms: sent with @status; 0 for none
 */
struct brf_trace_end {
	const char *event;
	const char *id;
	uint64_t connection;
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

/* Whether the request is in the sample, which is logged however it ends. */
bool brf_trace_is_sampled(const char *id);

/**
 * brf_trace_write() - log one line for the end of a request and one for each
 * of its hops.
 *
 * Return: false when nothing was written because the log's limit of such lines
 * in a second is reached.
 */
bool brf_trace_write(
    const struct brf_trace *trace, const struct brf_trace_end *end);

BRF_END_DECLS

#endif
