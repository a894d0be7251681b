#include "policy/shed.h"

void
brf_shed_update(struct brf_shed *s, const struct brf_level *level, uint64_t now)
{
	if (s->known && now < s->received_at)
		return;
	s->cut = level->cut < BRF_RANK_END ? level->cut : BRF_RANK_END;
	s->received_at = now;
	s->known = true;
}

uint32_t
brf_shed_cutoff(const struct brf_shed *s, uint64_t now)
{
	uint64_t age;

	if (!s->known)
		return (BRF_RANK_END);
	age = now > s->received_at ? now - s->received_at : 0;
	if (age >= BRF_SHED_LEVEL_MAX_AGE_US)
		return (BRF_RANK_END);
	return (s->cut + (uint32_t)((BRF_RANK_END - s->cut) * age /
				    BRF_SHED_LEVEL_MAX_AGE_US));
}

enum brf_shed_result
brf_shed_check(struct brf_shed *s, uint32_t rank, uint64_t now)
{
	if (rank < brf_shed_cutoff(s, now))
		return (BRF_SHED_ADMIT);
	if (++s->shed_since_probe < BRF_SHED_PROBE)
		return (BRF_SHED_REFUSE);
	s->shed_since_probe = 0;
	return (BRF_SHED_PROBE_ADMIT);
}
