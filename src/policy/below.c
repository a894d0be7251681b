#include "policy/below.h"

#define STEP_RANKS (BRF_RANK_END / BRF_BELOW_STEPS)

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
brf_below_init(struct brf_below *b, uint64_t now)
{
	memset(b, 0, sizeof(*b));
	b->started = now;
	b->rise = RISE_FIRST;
	b->cut = BRF_RANK_END;
}

static uint32_t
step_of(uint32_t rank)
{
	return (rank < BRF_RANK_END ? rank / STEP_RANKS : BRF_BELOW_STEPS - 1);
}

/* The cut that would have let through @share of what ran. */
static uint32_t
cut_for(const struct brf_below *b, double share)
{
	const uint32_t width = STEP_RANKS;
	double want = share * b->total;
	uint32_t step;

	for (step = 0; step < BRF_BELOW_STEPS; step++) {
		if (b->ran[step] > want)
			break;
		want -= b->ran[step];
	}
	if (step == BRF_BELOW_STEPS)
		return (BRF_RANK_END);
	want /= b->ran[step]; /* of this step, between 0 and 1 */
	return (step * width + (uint32_t)(want * width));
}

static void
lower(struct brf_below *b, double shed)
{
	uint32_t cut = cut_for(b, 1 - shed);

	/* Some work must pass, to show when there is room again. */
	if (cut < STEP_RANKS)
		cut = STEP_RANKS;
	if (cut < b->cut)
		b->cut = cut;
	b->rise = RISE_FIRST;
	b->clean = 0;
}

static void
raise_cut(struct brf_below *b)
{
	b->cut =
	    b->cut + b->rise < BRF_RANK_END ? b->cut + b->rise : BRF_RANK_END;
	if (++b->clean > CLEAN_PERIODS)
		b->rise *= RISE_GROWTH;
	if (b->rise > BRF_RANK_END)
		b->rise = BRF_RANK_END;
}

static void
end_period(struct brf_below *b, uint64_t now)
{
	double shed = b->total > 0 ? (double)b->shed / b->total : 0;

	if (shed > SHED_HIGH)
		lower(b, shed);
	else if (shed <= SHED_LOW)
		raise_cut(b);
	memset(b->ran, 0, sizeof(b->ran));
	b->total = 0;
	b->shed = 0;
	b->started = now;
}

static uint64_t
period_of(const struct brf_below *b)
{
	if (b->took_us < BRF_BELOW_PERIOD_MIN_US)
		return (BRF_BELOW_PERIOD_MIN_US);
	if (b->took_us > BRF_BELOW_PERIOD_MAX_US)
		return (BRF_BELOW_PERIOD_MAX_US);
	return ((uint64_t)b->took_us);
}

static void
turn(struct brf_below *b, uint64_t now)
{
	uint64_t length = now - b->started, period = period_of(b);

	if (length >= PERIODS_MAX * period ||
	    (length >= period && b->total >= SAMPLE_MIN))
		end_period(b, now);
}

void
brf_below_learn(struct brf_below *b, uint32_t rank, bool shed, uint64_t took_us,
    uint64_t now)
{
	turn(b, now);
	b->took_us += TOOK_GAIN * ((double)took_us - b->took_us);
	b->ran[step_of(rank)]++;
	b->total++;
	b->shed += shed;
}

uint32_t
brf_below_cut(struct brf_below *b, uint64_t now)
{
	turn(b, now);
	return (b->cut);
}
