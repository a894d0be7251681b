#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.h"
#include "policy/downstream.h"

namespace
{

/**
 * struct subject - the implementation under test, or one with a fault.
 */
struct subject {
	virtual ~subject() = default;
	virtual void record(
	    uint32_t rank, bool shed, uint64_t duration_us, uint64_t now) = 0;
	virtual uint32_t cutoff(uint64_t now) = 0;
};

struct real_subject : subject {
	struct brf_downstream d;

	real_subject()
	{
		brf_downstream_init(&d, 0);
	}
	void
	record(uint32_t rank, bool shed, uint64_t duration_us,
	    uint64_t now) override
	{
		brf_downstream_record(&d, rank, shed, duration_us, now);
	}
	uint32_t
	cutoff(uint64_t now) override
	{
		return (brf_downstream_cutoff(&d, now));
	}
};

/* Planted faults: a cutoff that is never raised, one that is never lowered. */
struct stuck_subject : real_subject {
	uint32_t lowest = BRF_RANK_END;

	uint32_t
	cutoff(uint64_t now) override
	{
		uint32_t c = brf_downstream_cutoff(&d, now);

		lowest = c < lowest ? c : lowest;
		return (lowest);
	}
};

struct blind_subject : real_subject {
	uint32_t
	cutoff(uint64_t now) override
	{
		(void)now;
		return (BRF_RANK_END);
	}
};

struct outcome {
	double shed_late; /* share shed downstream once the cutoff is stable */
	double admitted;  /* share admitted during the overload */
	bool cleared;	  /* all admitted a second after the overload ended */
};

/*
 * For 5 s a downstream service admits only the lowest ranks, a share @capacity
 * of all; then it admits all of them for 1 s.
 */
struct outcome
drive(struct subject &c, double capacity, uint64_t seed)
{
	const uint64_t duration_us = 100 * BRF_US_PER_MS,
		       interval = 2 * BRF_US_PER_MS;
	const uint64_t settle = 2 * BRF_US_PER_S, ends = 5 * BRF_US_PER_S;
	struct brf_random_seeded r;
	struct outcome o = { 0, 0, false };
	uint32_t ran = 0, late = 0, shed = 0, offered = 0;
	uint64_t now;

	brf_random_seeded_init(&r, seed);
	for (now = 0; now < ends + BRF_US_PER_S; now += interval) {
		uint32_t rank =
		    (uint32_t)brf_random_below(&r.random, BRF_RANK_END);
		bool fits = now >= ends || rank < capacity * BRF_RANK_END;

		offered += now >= settle && now < ends;
		if (rank >= c.cutoff(now))
			continue;
		c.record(rank, !fits, duration_us, now);
		if (now < settle || now >= ends)
			continue;
		ran++;
		late++;
		shed += !fits;
	}
	o.shed_late = late > 0 ? (double)shed / late : 0;
	o.admitted = (double)ran / offered;
	o.cleared = c.cutoff(now) == BRF_RANK_END;
	return (o);
}

bool
holds(const struct outcome &o, double capacity)
{
	return (o.shed_late < 0.1 && o.admitted > 0.85 * capacity && o.cleared);
}

} // namespace

RC_GTEST_PROP(downstream, admits_what_fits_and_clears_within_a_second, ())
{
	double capacity = *rc::gen::inRange(20, 95) / 100.0;
	uint64_t seed = *rc::gen::arbitrary<uint64_t>();
	struct real_subject c;
	struct outcome o = drive(c, capacity, seed);

	RC_LOG() << "shed " << o.shed_late << " admitted " << o.admitted;
	RC_ASSERT(holds(o, capacity));
}

/* With few attempts periods are long, so that few of them fit in a second. */
TEST(downstream, clears_within_a_second_after_few_attempts)
{
	struct real_subject c;

	EXPECT_TRUE(holds(drive(c, 0.21, 117), 0.21));
}

TEST(downstream, planted_faults_are_detected)
{
	struct stuck_subject stuck;
	struct blind_subject blind;

	EXPECT_FALSE(holds(drive(stuck, 0.5, 1), 0.5));
	EXPECT_FALSE(holds(drive(blind, 0.5, 1), 0.5));
}

TEST(downstream, without_outgoing_calls_all_ranks_are_admitted)
{
	struct brf_downstream d;

	brf_downstream_init(&d, 0);
	EXPECT_EQ(brf_downstream_cutoff(&d, 100 * BRF_US_PER_S), BRF_RANK_END);
}
