#ifndef ADMISSION_FAKE_H
#define ADMISSION_FAKE_H

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "policy/admission.h"
#include "policy/shed.h"

/*
 * A simulated target and its callers around the real admission controller, in
 * virtual time: the clock advances to the next of the timers.
 */

struct source {
	std::string workspace;
	uint32_t cls;
	double rate;	      /* requests per second */
	uint64_t timeout_us;  /* from submission */
	uint32_t tries;	      /* submissions of a refused request */
	uint64_t offered = 0; /* requests in the measured time */
	uint64_t good = 0;    /* of these, answered in time */
};

struct target_model {
	uint32_t servers;  /* attempts that it can run at once */
	double service_us; /* mean service time */
	bool exponential;  /* distribution; else within 10 % of the mean */
	double (*factor)(uint64_t now); /* of the service time; null for 1 */
};

struct simulation;

struct job {
	struct brf_admission_ticket ticket;
	struct brf_timer timer;
	struct simulation *sim;
	size_t source;
	uint32_t tries;
	bool counted;
	struct brf_id root;
};

struct simulation {
	struct brf_clock_manual clock;
	struct brf_timers *timers;
	struct brf_admission *admission;
	struct brf_random_seeded random;
	struct target_model target;
	std::vector<struct source> sources;
	std::vector<std::unique_ptr<struct brf_timer>> arrivals;
	std::deque<struct job *> queued; /* granted, wait for a server */
	uint32_t busy = 0;		 /* servers */
	uint64_t measured_from = 0, measured_to = UINT64_MAX;
	std::vector<uint64_t> good_by_100ms;
	struct brf_shed shed = {};
	bool early_shedding = false; /* at the callers */
	uint64_t shed_early = 0;
	uint32_t most_running = 0;

	simulation(const struct brf_admission_config &config,
	    const struct target_model &model, uint64_t seed);
	~simulation();
	simulation(const simulation &) = delete;
	void add(const struct source &s);
	void run(uint64_t until);
	double goodput(uint64_t from, uint64_t to) const; /* per second */
	double capacity() const;
};

#define S BRF_US_PER_S
#define MS BRF_US_PER_MS

static inline double
exponential(struct brf_random *r, double mean)
{
	return (-mean * std::log(1.0 - brf_random_unit(r)));
}

static inline struct simulation *
simulation_of(struct brf_admission_ticket *t)
{
	return (brf_container_of(t, struct job, ticket)->sim);
}

static void job_begin(struct job *j);
static void job_submit(struct brf_timer *timer, void *arg);

static inline void
job_delete(struct job *j)
{
	brf_timer_stop(j->sim->timers, &j->timer);
	delete j;
}

static void
job_end(struct brf_timer *timer, void *arg)
{
	auto *j = static_cast<struct job *>(arg);
	struct simulation *sim = j->sim;
	uint64_t now = sim->clock.now;
	bool good = now <= j->ticket.deadline;

	(void)timer;
	sim->busy--;
	if (!sim->queued.empty()) {
		struct job *n = sim->queued.front();
		sim->queued.pop_front();
		job_begin(n);
	}
	if (good) {
		if (j->counted)
			sim->sources[j->source].good++;
		sim->good_by_100ms.resize(now / (100 * MS) + 1);
		sim->good_by_100ms[now / (100 * MS)]++;
	}
	brf_admission_finish(sim->admission, &j->ticket, good);
	job_delete(j);
}

static void
job_begin(struct job *j)
{
	struct simulation *sim = j->sim;
	double mean = sim->target.service_us, took = mean;
	double left = j->ticket.deadline > sim->clock.now
			  ? (double)(j->ticket.deadline - sim->clock.now)
			  : 0;

	if (sim->target.factor != nullptr)
		mean *= sim->target.factor(sim->clock.now);
	took = sim->target.exponential
		   ? exponential(&sim->random.random, mean)
		   : mean * (0.9 + 0.2 * brf_random_unit(&sim->random.random));
	/* the target stops at the deadline, one microsecond late */
	if (j->ticket.deadline != UINT64_MAX && took > left)
		took = left;
	sim->busy++;
	j->timer.fire = job_end;
	brf_timer_start(sim->timers, &j->timer, (uint64_t)took + 1);
}

static void
job_grant(struct brf_admission_ticket *t)
{
	struct simulation *sim = simulation_of(t);
	struct job *j = brf_container_of(t, struct job, ticket);
	struct brf_level level;

	brf_admission_level(sim->admission, &level);
	if (level.in_flight > sim->most_running)
		sim->most_running = level.in_flight;
	if (sim->busy < sim->target.servers)
		job_begin(j);
	else
		sim->queued.push_back(j);
}

static void
job_refused(struct brf_admission_ticket *t, enum brf_reason reason)
{
	struct simulation *sim = simulation_of(t);
	struct job *j = brf_container_of(t, struct job, ticket);
	uint64_t wait = brf_admission_retry_after_ms(sim->admission) * MS;
	struct brf_level level;

	(void)reason;
	brf_admission_level(sim->admission, &level);
	brf_shed_update(&sim->shed, &level, sim->clock.now);
	if (++j->tries >= sim->sources[j->source].tries) {
		job_delete(j);
		return;
	}
	wait = wait / 2 + brf_random_below(&sim->random.random, wait);
	j->timer.fire = job_submit;
	brf_timer_start(sim->timers, &j->timer, wait);
}

static void
job_submit(struct brf_timer *timer, void *arg)
{
	auto *j = static_cast<struct job *>(arg);
	struct simulation *sim = j->sim;
	struct source &src = sim->sources[j->source];
	enum brf_reason reason = BRF_R_NONE;

	(void)timer;
	j->ticket.cls = src.cls;
	j->ticket.rank = brf_rank(src.cls, j->root);
	j->ticket.workspace = src.workspace.c_str();
	j->ticket.deadline = src.timeout_us == UINT64_MAX
				 ? UINT64_MAX
				 : sim->clock.now + src.timeout_us;
	j->ticket.grant = job_grant;
	j->ticket.refuse = job_refused;
	if (sim->early_shedding && brf_shed_check(&sim->shed, j->ticket.rank,
				       sim->clock.now) == BRF_SHED_REFUSE) {
		sim->shed_early++;
		job_refused(&j->ticket, BRF_R_SHED_EARLY);
		return;
	}
	switch (brf_admission_submit(sim->admission, &j->ticket, &reason)) {
	case BRF_ADMISSION_RUN:
		job_grant(&j->ticket);
		break;
	case BRF_ADMISSION_REFUSE:
		job_refused(&j->ticket, reason);
		break;
	case BRF_ADMISSION_WAIT:
		break;
	}
}

struct arrival {
	struct brf_timer timer;
	struct simulation *sim;
	size_t source;
};

static void
arrive(struct brf_timer *timer, void *arg)
{
	auto *sim = static_cast<struct simulation *>(arg);
	size_t i = 0;
	struct job *j = new job();

	while (sim->arrivals[i].get() != timer)
		i++;
	struct source &src = sim->sources[i];
	j->sim = sim;
	j->source = i;
	j->root = brf_id_new(&sim->random.random);
	j->timer.arg = j;
	j->counted = sim->clock.now >= sim->measured_from &&
		     sim->clock.now < sim->measured_to;
	if (j->counted)
		src.offered++;
	brf_timer_start(sim->timers, timer,
	    (uint64_t)exponential(&sim->random.random, S / src.rate) + 1);
	job_submit(nullptr, j);
}

inline simulation::simulation(const struct brf_admission_config &config,
    const struct target_model &model, uint64_t seed)
{
	brf_clock_manual_init(&clock, 1000);
	timers = brf_timers_new(&clock.clock);
	admission = brf_admission_new(timers, &config);
	brf_random_seeded_init(&random, seed);
	target = model;
}

/* Stop the arrivals and let the open jobs end. */
inline simulation::~simulation()
{
	for (auto &a : arrivals)
		brf_timer_stop(timers, a.get());
	for (auto &s : sources)
		s.tries = 0;
	run(UINT64_MAX - 1);
	brf_admission_free(admission);
	brf_timers_free(timers);
}

inline void
simulation::add(const struct source &s)
{
	sources.push_back(s);
	arrivals.push_back(std::make_unique<struct brf_timer>());
	arrivals.back()->fire = arrive;
	arrivals.back()->arg = this;
	brf_timer_start(timers, arrivals.back().get(),
	    (uint64_t)exponential(&random.random, S / s.rate) + 1);
}

inline void
simulation::run(uint64_t until)
{
	while (brf_timers_next(timers) <= until) {
		if (brf_timers_next(timers) > clock.now)
			clock.now = brf_timers_next(timers);
		brf_timers_run(timers);
	}
	if (until < UINT64_MAX - 1)
		clock.now = until;
}

inline double
simulation::goodput(uint64_t from, uint64_t to) const
{
	uint64_t sum = 0;

	for (uint64_t i = from / (100 * MS); i < to / (100 * MS); i++)
		sum += i < good_by_100ms.size() ? good_by_100ms[i] : 0;
	return ((double)sum * S / (double)(to - from));
}

inline double
simulation::capacity() const
{
	return (target.servers * (double)S / target.service_us);
}

#endif
