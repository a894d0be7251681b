#include "policy/downstream.h"

#define STEP_RANKS (BRF_RANK_END / BRF_DOWNSTREAM_BUCKETS)

/* Shares of attempts shed below: more lowers the cut, less lets it rise. */
#define SHED_HIGH 0.02
#define SHED_LOW 0.01
#define RISE_FIRST (STEP_RANKS / 4)
/* Clean periods before steps grow. */
#define CLEAN_PERIODS 3u
#define RISE_GROWTH 3u
/* Fewer attempts than this say nothing about a share. */
#define SAMPLE_MIN 8u
/* A period without a sample is ended after this many. */
#define PERIODS_MAX 4u
#define TOOK_GAIN 0.1

void
brf_downstream_init(struct brf_downstream *b, uint64_t now)
{
	memset(b, 0, sizeof(*b));
	b->period_start = now;
	b->increase = RISE_FIRST;
	b->cutoff = BRF_RANK_END;
}

static uint32_t
step_of(uint32_t rank)
{
	return (rank < BRF_RANK_END ? rank / STEP_RANKS
				    : BRF_DOWNSTREAM_BUCKETS - 1);
}

/* The cut that would have let through @share of what ran. */
static uint32_t
cut_for(const struct brf_downstream *b, double share)
{
	const uint32_t width = STEP_RANKS;
	double want = share * b->total;
	uint32_t step;

	for (step = 0; step < BRF_DOWNSTREAM_BUCKETS; step++) {
		if (b->attempts[step] > want)
			break;
		want -= b->attempts[step];
	}
	if (step == BRF_DOWNSTREAM_BUCKETS)
		return (BRF_RANK_END);
	want /= b->attempts[step]; /* of this step, between 0 and 1 */
	return (step * width + (uint32_t)(want * width));
}

static void
lower(struct brf_downstream *b, double shed)
{
	uint32_t cutoff = cut_for(b, 1 - shed);

	/* Some work must pass, to show when there is room again. */
	if (cutoff < STEP_RANKS)
		cutoff = STEP_RANKS;
	if (cutoff < b->cutoff)
		b->cutoff = cutoff;
	b->increase = RISE_FIRST;
	b->clean_periods = 0;
}

static void
raise_cut(struct brf_downstream *b)
{
	b->cutoff = b->cutoff + b->increase < BRF_RANK_END
			? b->cutoff + b->increase
			: BRF_RANK_END;
	if (++b->clean_periods > CLEAN_PERIODS)
		b->increase *= RISE_GROWTH;
	if (b->increase > BRF_RANK_END)
		b->increase = BRF_RANK_END;
}

static void
end_period(struct brf_downstream *b, uint64_t now)
{
	double shed = b->total > 0 ? (double)b->shed / b->total : 0;

	if (shed > SHED_HIGH)
		lower(b, shed);
	else if (shed <= SHED_LOW)
		raise_cut(b);
	memset(b->attempts, 0, sizeof(b->attempts));
	b->total = 0;
	b->shed = 0;
	b->period_start = now;
}

static uint64_t
period_of(const struct brf_downstream *b)
{
	if (b->duration_us < BRF_DOWNSTREAM_PERIOD_MIN_US)
		return (BRF_DOWNSTREAM_PERIOD_MIN_US);
	if (b->duration_us > BRF_DOWNSTREAM_PERIOD_MAX_US)
		return (BRF_DOWNSTREAM_PERIOD_MAX_US);
	return ((uint64_t)b->duration_us);
}

static void
turn(struct brf_downstream *b, uint64_t now)
{
	uint64_t length = now - b->period_start, period = period_of(b);

	if (length >= PERIODS_MAX * period ||
	    (length >= period && b->total >= SAMPLE_MIN))
		end_period(b, now);
}

void
brf_downstream_record(struct brf_downstream *b, uint32_t rank, bool shed,
    uint64_t duration_us, uint64_t now)
{
	turn(b, now);
	b->duration_us += TOOK_GAIN * ((double)duration_us - b->duration_us);
	b->attempts[step_of(rank)]++;
	b->total++;
	b->shed += shed;
}

uint32_t
brf_downstream_cutoff(struct brf_downstream *b, uint64_t now)
{
	turn(b, now);
	return (b->cutoff);
}
