#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <vector>

#include "node/gate.h"
#include "policy/token.h"

namespace
{

enum op {
	OP_SEND,
	OP_SEND_AGAIN, /* a copy of an attempt that was sent before */
	OP_ANSWER,
	OP_LOSE,
	OP_NOT_STARTED,
	OP_BREAK,
	OP_CANCEL,
	OP_WAIT,
	OP_DRAIN,
	OP_RESUME,
	OP_COUNT
};

/**
 * struct fake_target - runs what it is given until it is told how that ends.
 * @liar: planted fault: says of a run it began that it had not
 */
struct fake_target {
	struct brf_target target;
	std::vector<struct brf_run *> running;
	std::map<struct brf_message *, int> begun;
	bool liar;
};

void
target_run(struct brf_target *t, struct brf_run *run)
{
	auto *f = reinterpret_cast<struct fake_target *>(t);

	f->running.push_back(run);
	f->begun[run->request]++;
}

void
finish(struct fake_target *f, size_t i, enum brf_run_end end)
{
	struct brf_run *run = f->running[i];
	struct brf_message *answer = nullptr;

	f->running.erase(f->running.begin() + (long)i);
	if (end == BRF_RUN_NOT_STARTED && !f->liar)
		f->begun[run->request]--;
	if (end == BRF_RUN_ANSWERED) {
		answer = brf_message_new();
		answer->status = 200;
	}
	run->done(run, end, answer);
	brf_message_unref(answer);
}

void
target_cancel(struct brf_target *t, struct brf_run *run)
{
	auto *f = reinterpret_cast<struct fake_target *>(t);

	for (size_t i = 0; i < f->running.size(); i++) {
		if (f->running[i] == run) {
			finish(f, i, BRF_RUN_CANCELLED);
			return;
		}
	}
}

const struct brf_target_vt target_vt = { target_run, target_cancel };

void
release_nothing(struct brf_target *t)
{
	(void)t;
}

/**
 * struct sent - an attempt as its sender sees it.
 */
struct sent {
	struct brf_exchange x;
	int ends;
	bool copy;
	struct brf_reply reply;
};

void
sent_done(struct brf_exchange *x, const struct brf_reply *reply)
{
	auto *s = brf_container_of(x, struct sent, x);

	s->ends++;
	s->reply = *reply;
}

/**
 * struct bench - a gate between a sender and a fake target, and the oracle.
 */
struct bench {
	struct brf_clock_manual clock;
	struct brf_random_seeded random;
	struct brf_timers *timers;
	struct brf_metrics *metrics = brf_metrics_new();
	struct brf_docs *docs = brf_docs_new();
	struct brf_token_key *key;
	struct brf_gate *gate;
	struct fake_target target = {};
	std::vector<std::unique_ptr<struct sent>> sent;

	explicit bench(bool liar)
	{
		struct brf_gate_config c = {};
		struct brf_upstream up = {};

		brf_clock_manual_init(&clock, BRF_US_PER_S);
		brf_random_seeded_init(&random, 7);
		timers = brf_timers_new(&clock.clock);
		key = brf_token_key_new("0123456789abcdef", 16, nullptr);
		c.timers = timers;
		c.random = &random.random;
		c.metrics = metrics;
		c.docs = docs;
		c.token_key = key;
		gate = brf_gate_new(&c);
		target.target.vt = &target_vt;
		target.liar = liar;
		brf_copy_name(up.service, sizeof(up.service), "factors");
		up.slots = 3;
		brf_gate_attach(gate, &target.target, &up, release_nothing);
	}

	~bench()
	{
		brf_gate_free(gate);
		brf_token_key_free(key);
		brf_docs_free(docs);
		brf_metrics_free(metrics);
		brf_timers_free(timers);
		for (auto &s : sent)
			brf_message_unref(s->x.attempt.request);
	}

	void
	send(struct brf_id id, struct brf_message *m, bool copy)
	{
		auto s = std::make_unique<struct sent>();

		s->copy = copy;
		s->x.done = sent_done;
		s->x.attempt.id = id;
		s->x.attempt.root = id;
		s->x.attempt.timeout_us = BRF_US_PER_S;
		s->x.attempt.retries = 1;
		s->x.attempt.request = m;
		brf_copy_name(s->x.attempt.service,
		    sizeof(s->x.attempt.service), "factors");
		sent.push_back(std::move(s));
		brf_send(brf_gate_backend(gate), &sent.back()->x);
	}

	void
	send_new(bool idempotent)
	{
		struct brf_message *m = brf_message_new();

		snprintf(m->method, sizeof(m->method), "%s",
		    idempotent ? "GET" : "POST");
		send(brf_id_new(&random.random), m, false);
	}

	void
	turn(uint64_t us)
	{
		clock.now += us;
		for (int i = 0; i < 20; i++)
			brf_timers_run(timers);
	}

	void
	apply(enum op op, uint32_t pick)
	{
		size_t n = target.running.size(), all = sent.size();
		static const std::map<enum op, enum brf_run_end> ends = {
			{ OP_ANSWER, BRF_RUN_ANSWERED },
			{ OP_LOSE, BRF_RUN_LOST },
			{ OP_NOT_STARTED, BRF_RUN_NOT_STARTED },
			{ OP_BREAK, BRF_RUN_BROKEN },
		};

		if (op == OP_SEND)
			send_new(pick % 2 == 0);
		else if (op == OP_SEND_AGAIN && all > 0)
			send(sent[pick % all]->x.attempt.id,
			    brf_message_ref(
				sent[pick % all]->x.attempt.request),
			    true);
		else if (ends.count(op) != 0 && n > 0)
			finish(&target, pick % n, ends.at(op));
		else if (op == OP_CANCEL && all > 0 &&
			 sent[pick % all]->ends == 0)
			brf_cancel(
			    brf_gate_backend(gate), &sent[pick % all]->x);
		else if (op == OP_WAIT)
			turn(pick % (400 * BRF_US_PER_MS));
		else if (op == OP_DRAIN || op == OP_RESUME)
			brf_gate_refuse(gate, op == OP_DRAIN);
		turn(0);
	}

	/* What is wrong with what the senders were told, or NULL. */
	const char *
	violation()
	{
		for (auto &s : sent) {
			struct brf_message *m = s->x.attempt.request;
			bool unsafe = strcmp(m->method, "POST") == 0;
			if (s->ends != 1)
				return ("not ended exactly once");
			if (s->reply.retries > s->x.attempt.retries)
				return ("extra attempts made up");
			if (!s->copy && unsafe && target.begun[m] > 1)
				return ("ran twice");
			if (s->reply.outcome == BRF_NOT_RUN &&
			    target.begun[m] > 0 && unsafe)
				return ("not_run is false");
		}
		return (brf_gate_open(gate) != 0 ? "left open" : nullptr);
	}

	const char *
	drive(const std::vector<std::pair<uint8_t, uint32_t>> &ops)
	{
		for (auto &o : ops)
			apply((enum op)(o.first % OP_COUNT), o.second);
		brf_gate_refuse(gate, true);
		turn(2 * BRF_US_PER_S);
		return (violation());
	}
};

} // namespace

RC_GTEST_PROP(gate, what_it_says_of_attempts_is_true,
    (const std::vector<std::pair<uint8_t, uint32_t>> &ops))
{
	struct bench b(false);
	const char *wrong = b.drive(ops);

	RC_LOG() << (wrong != nullptr ? wrong : "");
	RC_ASSERT(wrong == nullptr);
}

TEST(gate, a_target_that_lies_is_seen_by_the_oracle)
{
	struct bench b(true);

	EXPECT_STREQ(b.drive({ { OP_SEND, 1 }, { OP_NOT_STARTED, 0 } }),
	    "not_run is false");
}

/* Each refusal before the target was asked, by what brings it about. */
TEST(gate, refusals_in_a_table)
{
	struct {
		void (*spoil)(struct brf_attempt *);
		enum brf_reason want;
	} cases[] = {
		{ [](struct brf_attempt *a) {
			 brf_copy_name(a->service, sizeof(a->service), "x");
		 },
		    BRF_R_NO_TARGET },
		{ [](struct brf_attempt *a) { a->depth = BRF_DEPTH_MAX + 1; },
		    BRF_R_TOO_DEEP },
		{ [](struct brf_attempt *a) { a->cls = BRF_CLASSES; },
		    BRF_R_MALFORMED },
		{ [](struct brf_attempt *a) { a->timeout_us = 0; },
		    BRF_R_MALFORMED },
		{ [](struct brf_attempt *a) {
			 strcpy(a->request->method, "POST");
			 strcpy(a->token, "t1.nonsense");
		 },
		    BRF_R_TOKEN_INVALID },
	};

	for (auto &c : cases) {
		struct bench b(false);
		struct sent s = {};
		s.x.done = sent_done;
		s.x.attempt.timeout_us = BRF_US_PER_S;
		s.x.attempt.request = brf_message_new();
		strcpy(s.x.attempt.request->method, "GET");
		strcpy(s.x.attempt.service, "factors");
		c.spoil(&s.x.attempt);
		brf_send(brf_gate_backend(b.gate), &s.x);
		EXPECT_EQ(s.ends, 1);
		EXPECT_EQ(s.reply.outcome, BRF_NOT_RUN);
		EXPECT_EQ(s.reply.reason, c.want);
		EXPECT_TRUE(b.target.running.empty());
		brf_message_unref(s.x.attempt.request);
	}
}

/* A drained gate once refused a request as not run that it had run before. */
TEST(gate, a_refusal_does_not_hide_an_earlier_run_under_the_same_token)
{
	struct bench b(false);
	char token[BRF_TOKEN_SIZE];
	struct brf_id self = {};
	struct brf_token_scope scope = { "factors", "" };

	brf_token_mint(
	    b.key, self, 0, &scope, b.clock.now, &b.random.random, token);
	for (int i = 0; i < 2; i++) {
		auto s = std::make_unique<struct sent>();
		s->x.done = sent_done;
		s->x.attempt.id = brf_id_new(&b.random.random);
		s->x.attempt.timeout_us = BRF_US_PER_S;
		s->x.attempt.request = brf_message_new();
		strcpy(s->x.attempt.request->method, "POST");
		strcpy(s->x.attempt.service, "factors");
		strcpy(s->x.attempt.token, token);
		b.sent.push_back(std::move(s));
		brf_send(brf_gate_backend(b.gate), &b.sent.back()->x);
		if (i == 0)
			finish(&b.target, 0, BRF_RUN_ANSWERED);
		brf_gate_refuse(b.gate, true);
	}
	EXPECT_EQ(b.sent[0]->reply.outcome, BRF_ANSWERED);
	EXPECT_NE(b.sent[1]->reply.outcome, BRF_NOT_RUN);
	EXPECT_TRUE(b.target.running.empty());
}
