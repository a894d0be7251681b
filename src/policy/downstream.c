#include "policy/downstream.h"

#define BUCKET_RANKS (BRF_RANK_END / BRF_DOWNSTREAM_BUCKETS)

/* Shares of attempts with a shed call: above SHED_HIGH the cutoff is lowered,
 * up to SHED_LOW it is raised. */
#define SHED_HIGH 0.02
#define SHED_LOW 0.01

/* Ranks added in the first period without shedding; the increase grows by the
 * factor after CLEAN_PERIODS of them in a row. */
#define INCREASE_INITIAL (BUCKET_RANKS / 4)
#define CLEAN_PERIODS 3u
#define INCREASE_GROWTH 3u

/* Attempts below which a share is not meaningful; a period with fewer goes on
 * for up to PERIODS_MAX times its length. */
#define SAMPLE_MIN 8u
#define PERIODS_MAX 4u

/* Weight of one attempt in the average duration. */
#define DURATION_WEIGHT 0.1

void
brf_downstream_init(struct brf_downstream *d, uint64_t now)
{
	memset(d, 0, sizeof(*d));
	d->period_start = now;
	d->increase = INCREASE_INITIAL;
	d->cutoff = BRF_RANK_END;
}

static uint32_t
bucket_of(uint32_t rank)
{
	return (rank < BRF_RANK_END ? rank / BUCKET_RANKS
				    : BRF_DOWNSTREAM_BUCKETS - 1);
}

/* Cutoff that would have admitted @share of the attempts of this period. */
static uint32_t
cutoff_for(const struct brf_downstream *d, double share)
{
	const uint32_t width = BUCKET_RANKS;
	double remaining = share * d->total;
	uint32_t bucket;

	for (bucket = 0; bucket < BRF_DOWNSTREAM_BUCKETS; bucket++) {
		if (d->attempts[bucket] > remaining)
			break;
		remaining -= d->attempts[bucket];
	}
	if (bucket == BRF_DOWNSTREAM_BUCKETS)
		return (BRF_RANK_END);
	remaining /= d->attempts[bucket]; /* share of this bucket */
	return (bucket * width + (uint32_t)(remaining * width));
}

static void
lower_cutoff(struct brf_downstream *d, double shed)
{
	uint32_t cutoff = cutoff_for(d, 1 - shed);

	/* A few attempts must pass, to show when there is capacity again. */
	if (cutoff < BUCKET_RANKS)
		cutoff = BUCKET_RANKS;
	if (cutoff < d->cutoff)
		d->cutoff = cutoff;
	d->increase = INCREASE_INITIAL;
	d->clean_periods = 0;
}

static void
raise_cutoff(struct brf_downstream *d)
{
	d->cutoff = d->cutoff + d->increase < BRF_RANK_END
			? d->cutoff + d->increase
			: BRF_RANK_END;
	if (++d->clean_periods > CLEAN_PERIODS)
		d->increase *= INCREASE_GROWTH;
	if (d->increase > BRF_RANK_END)
		d->increase = BRF_RANK_END;
}

static void
end_period(struct brf_downstream *d, uint64_t now)
{
	double shed = d->total > 0 ? (double)d->shed / d->total : 0;

	if (shed > SHED_HIGH)
		lower_cutoff(d, shed);
	else if (shed <= SHED_LOW)
		raise_cutoff(d);
	memset(d->attempts, 0, sizeof(d->attempts));
	d->total = 0;
	d->shed = 0;
	d->period_start = now;
}

static uint64_t
period_us(const struct brf_downstream *d)
{
	if (d->duration_us < BRF_DOWNSTREAM_PERIOD_MIN_US)
		return (BRF_DOWNSTREAM_PERIOD_MIN_US);
	if (d->duration_us > BRF_DOWNSTREAM_PERIOD_MAX_US)
		return (BRF_DOWNSTREAM_PERIOD_MAX_US);
	return ((uint64_t)d->duration_us);
}

static void
update_period(struct brf_downstream *d, uint64_t now)
{
	uint64_t length = now - d->period_start, period = period_us(d);

	if (length >= PERIODS_MAX * period ||
	    (length >= period && d->total >= SAMPLE_MIN))
		end_period(d, now);
}

void
brf_downstream_record(struct brf_downstream *d, uint32_t rank, bool shed,
    uint64_t duration_us, uint64_t now)
{
	update_period(d, now);
	d->duration_us +=
	    DURATION_WEIGHT * ((double)duration_us - d->duration_us);
	d->attempts[bucket_of(rank)]++;
	d->total++;
	d->shed += shed;
}

uint32_t
brf_downstream_cutoff(struct brf_downstream *d, uint64_t now)
{
	update_period(d, now);
	return (d->cutoff);
}
