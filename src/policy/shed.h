#ifndef BRF_SHED_H
#define BRF_SHED_H

#include "base/exchange.h"

/**
 * DOC: Early shedding at the sender.
 *
 * Each reply carries the admission level of the node that gave it (see struct
 * brf_level).  A sender keeps the last one of each node and spares itself the
 * trip with requests that the node would refuse (DAGOR, SoCC 2018).  The cut
 * rises linearly back to BRF_RANK_END over BRF_SHED_LEVEL_MAX_AGE_US, and one in
 * BRF_SHED_PROBE of the requests above it goes through all the same, so that a
 * level that is lost or stale keeps work away for that long at most.
 */

#define BRF_SHED_LEVEL_MAX_AGE_US (500 * BRF_US_PER_MS) /* life of a level */
#define BRF_SHED_PROBE 32u /* one in so many is let through */

/**
 * struct brf_shed - what is known of one node's level.
 *
 * A zeroed struct knows nothing and sheds nothing.
 */
struct brf_shed {
	uint32_t cut;
	uint32_t shed_since_probe; /* requests shed since the last one let through */
	uint64_t received_at; /* clock time of the level */
	bool known;
};

enum brf_shed_result {
	BRF_SHED_ADMIT,
	BRF_SHED_PROBE_ADMIT, /* above the cut, let through as a probe */
	BRF_SHED_REFUSE
};

BRF_BEGIN_DECLS

/**
 * brf_shed_update() - a reply brought @level.
 * @now: clock time, microseconds
 *
 * A level that came with an older @now than the one known is ignored; a cut
 * above BRF_RANK_END counts as BRF_RANK_END.
 */
void brf_shed_update(
    struct brf_shed *s, const struct brf_level *level, uint64_t now);

/**
 * brf_shed_cutoff() - the cut in force at @now.
 *
 * Return: ranks at or above it are shed; BRF_RANK_END sheds none.
 */
uint32_t brf_shed_cutoff(const struct brf_shed *s, uint64_t now);

/**
 * brf_shed_check() - whether a request of @rank goes out.
 */
enum brf_shed_result brf_shed_check(
    struct brf_shed *s, uint32_t rank, uint64_t now);

BRF_END_DECLS

#endif
