#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "policy/admission.h"
#include "policy/ledger.h"
#include "policy/retry.h"
#include "policy/shed.h"

/**
 * DOC: What the overload decisions cost, nanoseconds a call.
 *
 * Each decision runs in a loop over a fixed, seeded sequence with a clock that
 * only moves in it, so that every run takes the same branches.  A loop runs
 * ROUNDS times and the fastest round is printed: what the machine does besides
 * only makes a round slower.
 */

#define CALLS 100000u
#define ROUNDS 7u
#define SLOTS 120u
#define QUEUE 256u
#define INTERVAL_US 400u /* between ends of attempts */
#define WORKSPACES 64u
#define NS_PER_US 1000.0

struct bench {
	struct brf_clock_manual clock;
	struct brf_timers *timers;
	struct brf_random_seeded random;
};

struct ring {
	struct brf_admission_ticket *tickets[2 * (SLOTS + QUEUE)];
	size_t first, count;
};

static struct ring running, unused;
static char names[WORKSPACES][16];

static void
ring_put(struct ring *r, struct brf_admission_ticket *t)
{
	r->tickets[(r->first + r->count++) % brf_nitems(r->tickets)] = t;
}

static struct brf_admission_ticket *
ring_take(struct ring *r)
{
	struct brf_admission_ticket *t = r->tickets[r->first];

	r->first = (r->first + 1) % brf_nitems(r->tickets);
	r->count--;
	return (t);
}

static void
on_grant(struct brf_admission_ticket *t)
{
	ring_put(&running, t);
}

static void
on_refuse(struct brf_admission_ticket *t, enum brf_reason reason)
{
	(void)reason;
	ring_put(&unused, t);
}

static void
submit_one(struct bench *b, struct brf_admission *a)
{
	struct brf_admission_ticket *t = ring_take(&unused);
	uint64_t draw = brf_random_next(&b->random.random);
	struct brf_id root = { .hi = draw, .lo = b->random.count };
	enum brf_reason reason;

	t->cls = draw % BRF_CLASSES;
	t->rank = brf_rank(t->cls, root);
	t->workspace = names[draw / BRF_CLASSES % WORKSPACES];
	t->deadline = b->clock.now + BRF_US_PER_S;
	switch (brf_admission_submit(a, t, &reason)) {
	case BRF_ADMISSION_RUN:
		on_grant(t);
		break;
	case BRF_ADMISSION_REFUSE:
		on_refuse(t, reason);
		break;
	case BRF_ADMISSION_WAIT:
		break;
	}
}

/* @load attempts come for each that ends. */
static void
admission_round(struct bench *b, struct brf_admission *a, unsigned load)
{
	struct brf_level level;
	struct brf_admission_ticket *t;
	unsigned i;

	for (i = 0; i < CALLS; i++) {
		submit_one(b, a);
		if (i % load != 0)
			continue;
		b->clock.now += INTERVAL_US;
		brf_timers_run(b->timers);
		t = ring_take(&running);
		brf_admission_finish(a, t, true);
		brf_admission_level(a, &level);
		ring_put(&unused, t);
	}
}

static void
retry_round(struct bench *b)
{
	struct brf_reply reply = { .outcome = BRF_NOT_RUN,
		.reason = BRF_R_OVERLOAD };
	struct brf_retry_case c = {
		.reply = &reply, .attempts = 1, .left_us = BRF_US_PER_S
	};
	struct brf_retry_budget budget;
	struct brf_allotment a = { .left = 0 };
	struct brf_shed shed = { .known = false };
	struct brf_level level = { .cut = 2048 };
	uint64_t delay;
	uint32_t share;
	unsigned i;

	brf_retry_budget_init(&budget, 1);
	for (i = 0; i < CALLS; i++) {
		b->clock.now++;
		a.left = BRF_RETRIES_MAX;
		brf_shed_update(&shed, &level, b->clock.now);
		brf_shed_check(&shed, i % BRF_RANK_END, b->clock.now);
		share = brf_allotment_split(&a);
		brf_allotment_return(&a, share, share);
		brf_retry_budget_success(&budget);
		brf_retry_decide(&c, &a, &budget, &b->random.random, &delay);
	}
}

static void
token_round(struct bench *b, struct brf_token_key *key, struct brf_ledger *l)
{
	struct brf_token_scope scope = { "lodgement", "acme" };
	struct brf_id node = { 1, 2 };
	struct brf_ledger_request request = { .timeout_us = 1 };
	struct brf_token token;
	struct brf_reply reply;
	char text[BRF_TOKEN_SIZE];
	unsigned i;

	brf_token_mint(
	    key, node, 9, &scope, b->clock.now, &b->random.random, text);
	for (i = 0; i < CALLS; i++) {
		b->clock.now += 100;
		if (brf_token_parse(key, text, &scope, &token) !=
		    BRF_TOKEN_VALID)
			abort();
		brf_token_check(&token, node, 9, b->clock.now);
		request.attempt = brf_id_new(&b->random.random);
		token.id = request.attempt;
		token.expires = b->clock.now + BRF_US_PER_S;
		request.token = &token;
		if (brf_ledger_begin(l, &request, &reply))
			brf_ledger_done(l, request.attempt, NULL);
	}
}

static double
seconds(void)
{
	return ((double)brf_now(brf_clock_system()) / BRF_US_PER_S);
}

static void
fill_rings(struct brf_admission_ticket *tickets, size_t n)
{
	size_t i;

	memset(&running, 0, sizeof(running));
	memset(&unused, 0, sizeof(unused));
	memset(tickets, 0, n * sizeof(*tickets));
	for (i = 0; i < n; i++) {
		tickets[i].grant = on_grant;
		tickets[i].refuse = on_refuse;
		ring_put(&unused, &tickets[i]);
	}
}

static double
time_admission(struct bench *b, unsigned load)
{
	struct brf_admission_config config = { .slots = SLOTS, .queue = QUEUE };
	static struct brf_admission_ticket tickets[2 * (SLOTS + QUEUE)];
	struct brf_admission *a = brf_admission_new(b->timers, &config);
	double took, best = 1e9;
	unsigned i;

	fill_rings(tickets, brf_nitems(tickets));
	for (i = 0; i < ROUNDS; i++) {
		took = seconds();
		admission_round(b, a, load);
		took = seconds() - took;
		best = took < best ? took : best;
	}
	brf_admission_free(a);
	return (best);
}

static double
time_retry(struct bench *b)
{
	double took, best = 1e9;
	unsigned i;

	for (i = 0; i < ROUNDS; i++) {
		took = seconds();
		retry_round(b);
		took = seconds() - took;
		best = took < best ? took : best;
	}
	return (best);
}

static double
time_token(struct bench *b)
{
	struct brf_ledger_config config = { .attempts = 1 << 19,
		.tokens = 1 << 16 };
	struct brf_token_key *key =
	    brf_token_key_new("0123456789abcdef", 16, NULL);
	struct brf_ledger *l = brf_ledger_new(&b->clock.clock, &config);
	double took, best = 1e9;
	unsigned i;

	for (i = 0; i < ROUNDS; i++) {
		took = seconds();
		token_round(b, key, l);
		took = seconds() - took;
		best = took < best ? took : best;
	}
	brf_ledger_free(l);
	brf_token_key_free(key);
	return (best);
}

static double
print(const char *name, double best)
{
	double ns = best / CALLS * BRF_US_PER_S * NS_PER_US;

	printf("%s=%.0f ns\n", name, ns);
	return (ns);
}

int
main(void)
{
	struct bench b;
	double ns;
	unsigned i;

	for (i = 0; i < WORKSPACES; i++)
		snprintf(names[i], sizeof(names[i]), "workspace-%u", i);
	brf_clock_manual_init(&b.clock, 1);
	b.timers = brf_timers_new(&b.clock.clock);
	brf_random_seeded_init(&b.random, 1);
	print("decision_admission_fitting", time_admission(&b, 1));
	ns = print("decision_admission_overload", time_admission(&b, 3));
	ns += print("decision_retry_and_shed", time_retry(&b));
	ns += print("decision_token_and_ledger", time_token(&b));
	printf("decision_all=%.2f us\n", ns / NS_PER_US);
	brf_timers_free(b.timers);
	return (0);
}
