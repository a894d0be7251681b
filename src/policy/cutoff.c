#include "policy/cutoff.h"

#define STEP_RANKS (BRF_RANK_END / BRF_CUTOFF_STEPS)

/* Rise of the cutoff in a period without refusals. */
#define RISE (2 * STEP_RANKS)
/* A cutoff is void so many periods after the last period began. */
#define STALE_PERIODS 3u

static uint32_t
step_of(uint32_t rank)
{
	return (rank < BRF_RANK_END ? rank / STEP_RANKS : BRF_CUTOFF_STEPS - 1);
}

void
brf_cutoff_arrival(struct brf_cutoff *c, uint32_t rank)
{
	c->arrivals[step_of(rank)]++;
	c->arrived++;
}

void
brf_cutoff_served(struct brf_cutoff *c)
{
	c->served++;
}

void
brf_cutoff_shed(struct brf_cutoff *c, uint32_t rank)
{
	c->shed[step_of(rank)]++;
}

/* The count may be 0 already: the attempt may have arrived in a past period. */
void
brf_cutoff_uncount(struct brf_cutoff *c, uint32_t rank)
{
	uint32_t step = step_of(rank);

	if (c->arrivals[step] > 0)
		c->arrivals[step]--;
}

void
brf_cutoff_lift(struct brf_cutoff *c)
{
	c->spare_slot = true;
	c->active = false;
}

/*
 * First rank of the lowest step in which at least half was refused.  The
 * lowest step of all is never cut: some work must run to show how fast the
 * target is.
 */
static uint32_t
lowest_shed(const struct brf_cutoff *c)
{
	uint32_t step;

	for (step = 1; step < BRF_CUTOFF_STEPS; step++) {
		if (c->shed[step] > 0 && 2 * c->shed[step] >= c->arrivals[step])
			break;
	}
	return (step * STEP_RANKS);
}

static void
move_cutoff(struct brf_cutoff *c)
{
	uint32_t raised = c->active ? c->cutoff + RISE : BRF_RANK_END;
	uint32_t fits = lowest_shed(c);

	c->cutoff = fits < raised ? fits : raised;
	c->active = !c->spare_slot && c->cutoff < BRF_RANK_END;
}

bool
brf_cutoff_advance(struct brf_cutoff *c, uint64_t now)
{
	uint32_t served = c->served > 0 ? c->served : 1;

	if (now < c->started + BRF_CUTOFF_PERIOD_US)
		return (false);
	move_cutoff(c);
	c->ratio = (double)c->arrived / served;
	if (c->ratio < 1)
		c->ratio = 1;
	memset(c->arrivals, 0, sizeof(c->arrivals));
	c->arrived = 0;
	c->served = 0;
	memset(c->shed, 0, sizeof(c->shed));
	c->spare_slot = false;
	c->started = now;
	return (true);
}

uint32_t
brf_cutoff_get(const struct brf_cutoff *c, uint64_t now)
{
	if (!c->active ||
	    now > c->started + STALE_PERIODS * BRF_CUTOFF_PERIOD_US)
		return (BRF_RANK_END);
	return (c->cutoff);
}
