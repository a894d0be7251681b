#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/docs.h"
#include "node/gate.h"
#include "policy/token.h"

namespace
{

enum op {
	OP_SEND,
	OP_SEND_AGAIN, /* a copy of an attempt already sent */
	OP_ANSWER,
	OP_LOSE_CONNECTION,
	OP_NOT_STARTED,
	OP_BREAK_ANSWER,
	OP_CANCEL,
	OP_WAIT,
	OP_DRAIN,
	OP_RESUME,
	OP_COUNT
};

/**
 * struct fake_target - target whose runs the test ends.
 * @running: open runs
 * @starts: number of runs that were started, by request
 * @hides_start: planted fault: a started run is reported as not started
 */
struct fake_target {
	struct brf_target target;
	std::vector<struct brf_run *> running;
	std::map<struct brf_message *, int> starts;
	bool hides_start;
};

void
target_run(struct brf_target *t, struct brf_run *run)
{
	auto *f = reinterpret_cast<struct fake_target *>(t);

	f->running.push_back(run);
	f->starts[run->request]++;
}

void
finish(struct fake_target *f, size_t i, enum brf_run_end end,
    const std::map<std::string, std::string> &fields = {})
{
	struct brf_run *run = f->running[i];
	struct brf_message *answer = nullptr;

	f->running.erase(f->running.begin() + (long)i);
	if (end == BRF_RUN_NOT_STARTED && !f->hides_start)
		f->starts[run->request]--;
	if (end == BRF_RUN_ANSWERED) {
		answer = brf_message_new();
		answer->status = 200;
		for (const auto &[name, value] : fields)
			brf_message_add_header(answer, name.data(), name.size(),
			    value.data(), value.size(), nullptr);
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
 * struct sent - an attempt from the sender's side.
 * @ends: how often @x.done was called
 * @copy: a copy of an earlier attempt, under the same id
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
 * struct gate_harness - a gate between a sender and a fake target, with the
 * oracle that checks the replies.
 */
struct gate_harness {
	struct brf_clock_manual clock;
	struct brf_random_seeded random;
	struct brf_timers *timers;
	struct brf_metrics *metrics = brf_metrics_new();
	struct brf_docs *docs = brf_docs_new();
	struct brf_token_key *key;
	struct brf_gate *gate;
	struct fake_target target = {};
	std::vector<std::unique_ptr<struct sent>> sent;

	explicit gate_harness(bool hides_start)
	{
		struct brf_gate_config c = {};
		struct brf_announcement announcement = {};

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
		target.hides_start = hides_start;
		brf_copy_name(announcement.service,
		    sizeof(announcement.service), "factors");
		announcement.slots = 3;
		brf_gate_attach(
		    gate, &target.target, &announcement, release_nothing);
	}

	~gate_harness()
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
	advance(uint64_t us)
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
			{ OP_LOSE_CONNECTION, BRF_RUN_LOST },
			{ OP_NOT_STARTED, BRF_RUN_NOT_STARTED },
			{ OP_BREAK_ANSWER, BRF_RUN_BROKEN },
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
			advance(pick % (400 * BRF_US_PER_MS));
		else if (op == OP_DRAIN || op == OP_RESUME)
			brf_gate_set_draining(gate, op == OP_DRAIN);
		advance(0);
	}

	/* The oracle: the first rule that a reply breaks, or NULL. */
	const char *
	find_violation()
	{
		for (auto &s : sent) {
			struct brf_message *m = s->x.attempt.request;
			bool unsafe = strcmp(m->method, "POST") == 0;
			if (s->ends != 1)
				return ("not ended exactly once");
			if (s->reply.retries > s->x.attempt.retries)
				return (
				    "more extra attempts returned than sent");
			if (!s->copy && unsafe && target.starts[m] > 1)
				return ("ran twice");
			if (s->reply.outcome == BRF_NOT_RUN &&
			    target.starts[m] > 0 && unsafe)
				return ("not_run is false");
		}
		return (brf_gate_open_attempts(gate) != 0 ? "attempts left open"
							  : nullptr);
	}

	const char *
	run_ops(const std::vector<std::pair<uint8_t, uint32_t>> &ops)
	{
		for (auto &o : ops)
			apply((enum op)(o.first % OP_COUNT), o.second);
		brf_gate_set_draining(gate, true);
		advance(2 * BRF_US_PER_S);
		return (find_violation());
	}
};

} // namespace

RC_GTEST_PROP(gate, reported_outcomes_are_true,
    (const std::vector<std::pair<uint8_t, uint32_t>> &ops))
{
	struct gate_harness h(false);
	const char *violation = h.run_ops(ops);

	RC_LOG() << (violation != nullptr ? violation : "");
	RC_ASSERT(violation == nullptr);
}

TEST(gate, a_false_not_run_is_detected)
{
	struct gate_harness h(true);

	EXPECT_STREQ(h.run_ops({ { OP_SEND, 1 }, { OP_NOT_STARTED, 0 } }),
	    "not_run is false");
}

TEST(gate, refusal_reasons_before_the_target_is_asked)
{
	struct {
		void (*make_invalid)(struct brf_attempt *);
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
		struct gate_harness h(false);
		struct sent s = {};
		s.x.done = sent_done;
		s.x.attempt.timeout_us = BRF_US_PER_S;
		s.x.attempt.request = brf_message_new();
		strcpy(s.x.attempt.request->method, "GET");
		strcpy(s.x.attempt.service, "factors");
		c.make_invalid(&s.x.attempt);
		brf_send(brf_gate_backend(h.gate), &s.x);
		EXPECT_EQ(s.ends, 1);
		EXPECT_EQ(s.reply.outcome, BRF_NOT_RUN);
		EXPECT_EQ(s.reply.reason, c.want);
		EXPECT_TRUE(h.target.running.empty());
		brf_message_unref(s.x.attempt.request);
	}
}

/* A draining gate once replied BRF_NOT_RUN to a second attempt under a token
 * whose first attempt it had run: it refused before it asked the ledger. */
TEST(gate, a_refusal_does_not_hide_an_earlier_run_under_the_same_token)
{
	struct gate_harness h(false);
	char token[BRF_TOKEN_SIZE];
	struct brf_id self = {};
	struct brf_token_scope scope = { "factors", "" };

	brf_token_mint(
	    h.key, self, 0, &scope, h.clock.now, &h.random.random, token);
	for (int i = 0; i < 2; i++) {
		auto s = std::make_unique<struct sent>();
		s->x.done = sent_done;
		s->x.attempt.id = brf_id_new(&h.random.random);
		s->x.attempt.timeout_us = BRF_US_PER_S;
		s->x.attempt.request = brf_message_new();
		strcpy(s->x.attempt.request->method, "POST");
		strcpy(s->x.attempt.service, "factors");
		strcpy(s->x.attempt.token, token);
		h.sent.push_back(std::move(s));
		brf_send(brf_gate_backend(h.gate), &h.sent.back()->x);
		if (i == 0)
			finish(&h.target, 0, BRF_RUN_ANSWERED);
		brf_gate_set_draining(h.gate, true);
	}
	EXPECT_EQ(h.sent[0]->reply.outcome, BRF_ANSWERED);
	EXPECT_NE(h.sent[1]->reply.outcome, BRF_NOT_RUN);
	EXPECT_TRUE(h.target.running.empty());
}

/* One slot: the second attempt waits while the target is replaced. */
TEST(gate, a_waiting_attempt_is_not_run_by_the_target_of_another_service)
{
	struct gate_harness h(false);
	struct fake_target other = {};
	struct brf_announcement announcement = {};

	brf_copy_name(
	    announcement.service, sizeof(announcement.service), "factors");
	announcement.slots = 1;
	brf_gate_update(h.gate, &announcement);
	h.send_new(false);
	h.send_new(false);
	ASSERT_EQ(h.target.running.size(), 1u);
	ASSERT_EQ(h.sent[1]->ends, 0);
	other.target.vt = &target_vt;
	brf_copy_name(
	    announcement.service, sizeof(announcement.service), "sums");
	brf_gate_attach(h.gate, &other.target, &announcement, release_nothing);
	finish(&h.target, 0, BRF_RUN_ANSWERED);
	h.advance(10 * BRF_US_PER_MS);
	EXPECT_TRUE(other.running.empty());
	ASSERT_EQ(h.sent[1]->ends, 1);
	EXPECT_EQ(h.sent[1]->reply.outcome, BRF_NOT_RUN);
	EXPECT_EQ(h.sent[1]->reply.reason, BRF_R_NO_TARGET);
}

/* A target that is announced anew, at another port, keeps what waits. */
TEST(gate, a_waiting_attempt_runs_on_the_new_target_of_its_service)
{
	struct gate_harness h(false);
	struct fake_target other = {};
	struct brf_announcement announcement = {};

	brf_copy_name(
	    announcement.service, sizeof(announcement.service), "factors");
	announcement.slots = 1;
	brf_gate_update(h.gate, &announcement);
	h.send_new(false);
	h.send_new(false);
	other.target.vt = &target_vt;
	brf_gate_attach(h.gate, &other.target, &announcement, release_nothing);
	finish(&h.target, 0, BRF_RUN_ANSWERED);
	h.advance(0);
	ASSERT_EQ(other.running.size(), 1u);
	finish(&other, 0, BRF_RUN_ANSWERED);
	EXPECT_EQ(h.sent[1]->reply.outcome, BRF_ANSWERED);
}

/* What an attempt keeps of its document outlives the document. */
TEST(gate, a_document_that_changes_ends_no_open_attempt)
{
	const std::string head = "{\"schema\":1,\"service\":\"factors\",";
	const std::string first =
	    head + "\"workspaces\":{\"w\":3},\"routes\":[{"
		   "\"method\":\"*\",\"path\":\"/a\",\"class\":1}]}";
	const std::string second = head + "\"queue\":{\"length\":9}}";

	for (bool deleted : { false, true }) {
		struct gate_harness h(false);
		struct brf_announcement announcement = {};

		ASSERT_EQ(brf_docs_apply(
			      h.docs, "factors", 1, first.data(), first.size()),
		    BRF_DOCS_APPLIED);
		brf_copy_name(announcement.service,
		    sizeof(announcement.service), "factors");
		announcement.slots = 1;
		brf_gate_update(h.gate, &announcement);
		for (int i = 0; i < 3; i++)
			h.send_new(i % 2 == 0);
		ASSERT_EQ(h.target.running.size(), 1u);
		ASSERT_EQ(brf_docs_apply(h.docs, "factors", 2,
			      deleted ? nullptr : second.data(),
			      deleted ? 0 : second.size()),
		    BRF_DOCS_APPLIED);
		for (int i = 0; i < 3; i++) {
			ASSERT_EQ(h.target.running.size(), 1u);
			finish(&h.target, 0, BRF_RUN_ANSWERED);
			h.advance(0);
		}
		for (auto &s : h.sent)
			EXPECT_EQ(s->reply.outcome, BRF_ANSWERED);
		EXPECT_EQ(h.find_violation(), nullptr);
	}
}

TEST(gate, a_limit_that_the_target_states_is_kept_until_it_ends)
{
	struct gate_harness h(false);

	h.send_new(true);
	finish(&h.target, 0, BRF_RUN_ANSWERED, { { BRF_H_TARGET_LIMIT, "1" } });
	h.advance(1);
	h.send_new(true);
	h.advance(500 * BRF_US_PER_MS);
	EXPECT_TRUE(h.target.running.empty());
	EXPECT_EQ(h.sent[1]->reply.outcome, BRF_NOT_RUN);
	h.advance(500 * BRF_US_PER_MS);
	h.send_new(true);
	ASSERT_EQ(h.target.running.size(), 1u);
	finish(&h.target, 0, BRF_RUN_ANSWERED);
	for (int i = 0; i < 3; i++)
		h.send_new(true);
	EXPECT_EQ(h.target.running.size(), 3u);
	while (!h.target.running.empty())
		finish(&h.target, 0, BRF_RUN_ANSWERED);
}

TEST(gate, a_target_that_says_it_leaves_gets_nothing_until_it_is_replaced)
{
	struct gate_harness h(false);
	struct fake_target other = {};
	struct brf_announcement announcement = {};

	h.send_new(true);
	h.send_new(true);
	finish(
	    &h.target, 0, BRF_RUN_ANSWERED, { { BRF_H_TARGET_LEAVING, "1" } });
	EXPECT_TRUE(brf_gate_target_leaves(h.gate));
	finish(&h.target, 0, BRF_RUN_ANSWERED);
	brf_gate_set_draining(h.gate, false); /* it announces itself again */
	h.send_new(true);
	EXPECT_EQ(h.sent[2]->reply.reason, BRF_R_DRAINING);
	other.target.vt = &target_vt;
	brf_copy_name(
	    announcement.service, sizeof(announcement.service), "factors");
	announcement.slots = 1;
	brf_gate_attach(h.gate, &other.target, &announcement, release_nothing);
	EXPECT_FALSE(brf_gate_target_leaves(h.gate));
	h.send_new(true);
	EXPECT_EQ(other.running.size(), 1u);
	finish(&other, 0, BRF_RUN_ANSWERED);
}
