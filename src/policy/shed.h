#ifndef BRF_SHED_H
#define BRF_SHED_H

#include "base/exchange.h"

/**
 * DOC: Early shedding at the sender.
 *
 * Each reply carries the admission level of the node that sent it (see struct
 * brf_level).  A sender keeps the last level of each node, and does not send
 * requests that the node would refuse (DAGOR, SoCC 2018).  The cutoff rank
 * rises linearly back to BRF_RANK_END over BRF_SHED_LEVEL_MAX_AGE_US, and one
 * in BRF_SHED_PROBE of the requests above it is sent as a probe, so that a
 * lost or stale level keeps work away for that long at most.
 */

#define BRF_SHED_LEVEL_MAX_AGE_US (500 * BRF_US_PER_MS)
#define BRF_SHED_PROBE 32u /* one in so many is sent as a probe */

/**
 * struct brf_shed - the last level of one node.
 * @cut: cutoff rank of the level
 * @shed_since_probe: requests shed since the last probe
 * @received_at: clock time at which the level was received, microseconds
 * @known: a level was received
 *
 * A zeroed struct knows no level and sheds nothing.
 */
struct brf_shed {
	uint32_t cut;
	uint32_t shed_since_probe;
	uint64_t received_at;
	bool known;
};

enum brf_shed_result {
	BRF_SHED_ADMIT,
	BRF_SHED_PROBE_ADMIT, /* above the cutoff, but sent as a probe */
	BRF_SHED_REFUSE
};

BRF_BEGIN_DECLS

/**
 * brf_shed_update() - take over @level, received with a reply.
 * @now: clock time, microseconds
 *
 * A level with an older @now than the known one is ignored; a cutoff above
 * BRF_RANK_END counts as BRF_RANK_END.
 */
void brf_shed_update(
    struct brf_shed *s, const struct brf_level *level, uint64_t now);

/**
 * brf_shed_cutoff() - the cutoff rank in force at @now.
 *
 * Return: ranks at or above it are shed; BRF_RANK_END sheds none.
 */
uint32_t brf_shed_cutoff(const struct brf_shed *s, uint64_t now);

/**
 * brf_shed_check() - whether to send a request of @rank.
 *
 * Counts the request, so call it once for each.
 */
enum brf_shed_result brf_shed_check(
    struct brf_shed *s, uint32_t rank, uint64_t now);

BRF_END_DECLS

#endif
