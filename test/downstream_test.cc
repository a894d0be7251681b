#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"
#include "policy/downstream.h"

namespace
{

/**
 * struct cutter - what is driven: the real thing, or a broken one.
 */
struct cutter {
	virtual ~cutter() = default;
	virtual void learn(
	    uint32_t rank, bool shed, uint64_t took, uint64_t now) = 0;
	virtual uint32_t cut(uint64_t now) = 0;
};

struct real_cutter : cutter {
	struct brf_downstream d;

	real_cutter()
	{
		brf_downstream_init(&d, 0);
	}
	void
	learn(uint32_t rank, bool shed, uint64_t took, uint64_t now) override
	{
		brf_downstream_record(&d, rank, shed, took, now);
	}
	uint32_t
	cut(uint64_t now) override
	{
		return (brf_downstream_cutoff(&d, now));
	}
};

/* Planted faults: one that keeps load off for ever, one that never does. */
struct stuck_cutter : real_cutter {
	uint32_t least = BRF_RANK_END;

	uint32_t
	cut(uint64_t now) override
	{
		uint32_t c = brf_downstream_cutoff(&d, now);

		least = c < least ? c : least;
		return (least);
	}
};

struct blind_cutter : real_cutter {
	uint32_t
	cut(uint64_t now) override
	{
		(void)now;
		return (BRF_RANK_END);
	}
};

struct outcome {
	double shed_late; /* share shed below, once the cut has settled */
	double admitted;  /* share let through under pressure */
	bool cleared;	  /* all pass a second after pressure has ended */
};

/* A service below that serves the lower ranks up to @capacity for 5 s. */
struct outcome
drive(struct cutter &c, double capacity, uint64_t seed)
{
	const uint64_t took = 100 * BRF_US_PER_MS, gap = 2 * BRF_US_PER_MS;
	const uint64_t settle = 2 * BRF_US_PER_S, ends = 5 * BRF_US_PER_S;
	struct brf_random_seeded r;
	struct outcome o = { 0, 0, false };
	uint32_t ran = 0, late = 0, shed = 0, seen = 0;
	uint64_t now;

	brf_random_seeded_init(&r, seed);
	for (now = 0; now < ends + BRF_US_PER_S; now += gap) {
		uint32_t rank =
		    (uint32_t)brf_random_below(&r.random, BRF_RANK_END);
		bool fits = now >= ends || rank < capacity * BRF_RANK_END;

		seen += now >= settle && now < ends;
		if (rank >= c.cut(now))
			continue;
		c.learn(rank, !fits, took, now);
		if (now < settle || now >= ends)
			continue;
		ran++;
		late++;
		shed += !fits;
	}
	o.shed_late = late > 0 ? (double)shed / late : 0;
	o.admitted = (double)ran / seen;
	o.cleared = c.cut(now) == BRF_RANK_END;
	return (o);
}

bool
holds(const struct outcome &o, double capacity)
{
	return (o.shed_late < 0.1 && o.admitted > 0.85 * capacity && o.cleared);
}

} // namespace

RC_GTEST_PROP(below, lets_through_what_fits_and_clears_within_a_second, ())
{
	double capacity = *rc::gen::inRange(20, 95) / 100.0;
	uint64_t seed = *rc::gen::arbitrary<uint64_t>();
	struct real_cutter c;
	struct outcome o = drive(c, capacity, seed);

	RC_LOG() << "shed " << o.shed_late << " admitted " << o.admitted;
	RC_ASSERT(holds(o, capacity));
}

/* Few attempts make long periods, so that few of them fit in a second. */
TEST(below, clears_within_a_second_after_few_attempts)
{
	struct real_cutter c;

	EXPECT_TRUE(holds(drive(c, 0.21, 117), 0.21));
}

TEST(below, planted_faults_are_seen)
{
	struct stuck_cutter stuck;
	struct blind_cutter blind;

	EXPECT_FALSE(holds(drive(stuck, 0.5, 1), 0.5));
	EXPECT_FALSE(holds(drive(blind, 0.5, 1), 0.5));
}

TEST(below, without_calls_below_nothing_is_cut)
{
	struct brf_downstream d;

	brf_downstream_init(&d, 0);
	EXPECT_EQ(brf_downstream_cutoff(&d, 100 * BRF_US_PER_S), BRF_RANK_END);
}
