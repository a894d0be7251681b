#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/ledger.h"

namespace
{

const struct brf_id node = { 1, 2 };
const struct brf_token_scope scope = { "lodgement", "acme" };

struct minted {
	struct brf_token_key *key;
	struct brf_random_seeded random;

	minted()
	{
		key = brf_token_key_new("0123456789abcdef", 16, nullptr);
		brf_random_seeded_init(&random, 5);
	}
	~minted()
	{
		brf_token_key_free(key);
	}
	std::string
	mint(uint64_t now)
	{
		char text[BRF_TOKEN_SIZE];

		brf_token_mint(key, node, 9, &scope, now, &random.random, text);
		return (text);
	}
};

} // namespace

TEST(token, mint_and_parse_round_trip_in_http_safe_text)
{
	minted m;
	std::string text = m.mint(1000);
	struct brf_token t;

	ASSERT_EQ(text.size(), BRF_TOKEN_LEN);
	EXPECT_LT(text.size(), 192u);
	EXPECT_EQ(text.find_first_not_of("abcdefghijklmnopqrstuvwxyz.01234567"
					 "89"),
	    std::string::npos);
	ASSERT_EQ(
	    brf_token_parse(m.key, text.c_str(), &scope, &t), BRF_TOKEN_VALID);
	EXPECT_TRUE(brf_id_equal(t.node, node));
	EXPECT_EQ(t.incarnation, 9u);
	EXPECT_EQ(t.expires, 1000 + BRF_TOKEN_LIFETIME_US);
	EXPECT_NE(text, m.mint(1000));
	struct brf_error err = {};
	EXPECT_EQ(brf_token_key_new("short", 5, &err), nullptr);
	EXPECT_EQ(err.code, BRF_E_KEY);
}

TEST(token, any_change_of_the_text_is_detected)
{
	minted m;
	const std::string text = m.mint(1000);
	struct brf_token t;

	for (size_t i = 0; i < text.size(); i++) {
		for (char c : { '0', 'f', '\n', 'A' }) {
			std::string bad = text;
			if (bad[i] == c)
				continue;
			bad[i] = c;
			EXPECT_NE(
			    brf_token_parse(m.key, bad.c_str(), &scope, &t),
			    BRF_TOKEN_VALID)
			    << i;
		}
		EXPECT_EQ(brf_token_parse(
			      m.key, text.substr(0, i).c_str(), &scope, &t),
		    BRF_TOKEN_MALFORMED);
	}
	EXPECT_EQ(brf_token_parse(m.key, (text + "0").c_str(), &scope, &t),
	    BRF_TOKEN_MALFORMED);
	const struct brf_token_scope others[] = { { "lodgement", "" },
		{ "lodgementa", "cme" }, { "factors", "acme" } };
	for (auto &other : others)
		EXPECT_EQ(brf_token_parse(m.key, text.c_str(), &other, &t),
		    BRF_TOKEN_FORGED);
}

TEST(token, valid_only_for_the_named_incarnation_of_the_named_node)
{
	const uint64_t life = BRF_TOKEN_LIFETIME_US;
	struct {
		struct brf_id node;
		uint64_t incarnation, now;
		enum brf_token_verdict expected;
		enum brf_outcome outcome;
	} cases[] = {
		{ node, 9, 1000, BRF_TOKEN_VALID, BRF_UNKNOWN },
		{ node, 9, 999 + life, BRF_TOKEN_VALID, BRF_UNKNOWN },
		{ node, 9, 1000 + life, BRF_TOKEN_EXPIRED, BRF_UNKNOWN },
		{ node, 9, 999, BRF_TOKEN_EXPIRED, BRF_UNKNOWN },
		{ node, 10, 1000, BRF_TOKEN_RESTARTED, BRF_UNKNOWN },
		{ { 1, 3 }, 9, 1000, BRF_TOKEN_ELSEWHERE, BRF_UNKNOWN },
	};
	struct brf_token t = { node, 9, 1000 + life, { 3, 4 } };
	struct brf_reply reply;

	for (auto &c : cases) {
		EXPECT_EQ(brf_token_check(&t, c.node, c.incarnation, c.now),
		    c.expected);
		brf_token_refusal(c.expected, &reply);
		EXPECT_EQ(reply.outcome, c.outcome);
	}
	brf_token_refusal(BRF_TOKEN_MALFORMED, &reply);
	EXPECT_EQ(reply.outcome, BRF_NOT_RUN);
}

namespace
{

enum ledger_fault {
	FAULT_NONE,
	FAULT_FORGETS,	 /* the ledger is lost, the incarnation is kept */
	FAULT_SHORT,	 /* tokens are removed before they expire */
	FAULT_REFUSAL,	 /* a refusal is reported and not recorded */
	FAULT_DROPS_FULL /* a full ledger drops its entries */
};

/*
 * A model of callers and a network.  Requests are sent again with the same
 * token in new attempts, copies of an attempt arrive twice and late, and
 * cancels overtake their attempt.  The model tracks which attempt ran and what
 * was reported of it, and detects a violation without looking into the ledger.
 */
struct model {
	struct brf_clock_manual clock;
	struct brf_random_seeded random;
	struct brf_ledger *ledger;
	struct brf_ledger_config config = { 24, 12, 4096 };
	enum ledger_fault fault;
	std::vector<struct brf_token> tokens;
	std::vector<std::pair<struct brf_id, size_t>> sent; /* attempt, token */
	std::vector<size_t> running;	 /* indices in sent */
	std::map<size_t, unsigned> runs; /* by token */
	std::set<uint64_t> attempt_ran, attempt_not_run;
	std::set<size_t> token_not_run;
	const char *violation = nullptr;

	model(enum ledger_fault f, uint64_t seed) : fault(f)
	{
		brf_clock_manual_init(&clock, 1);
		brf_random_seeded_init(&random, seed);
		ledger = brf_ledger_new(&clock.clock, &config);
	}
	~model()
	{
		brf_ledger_free(ledger);
	}
	size_t
	below(size_t n)
	{
		return ((size_t)brf_random_below(&random.random, n));
	}
	void
	fail_if(bool bad, const char *what)
	{
		if (bad)
			violation = what;
	}
	void
	lose_ledger()
	{
		brf_ledger_free(ledger);
		ledger = brf_ledger_new(&clock.clock, &config);
		running.clear();
	}
	void
	check_reply(size_t i, const struct brf_reply *reply)
	{
		struct brf_id id = sent[i].first;
		size_t token = sent[i].second;

		if (reply->outcome != BRF_NOT_RUN)
			return;
		fail_if(attempt_ran.count(id.lo) != 0, "not_run, but ran");
		fail_if(runs[token] != 0, "not_run, but its token ran");
		attempt_not_run.insert(id.lo);
		token_not_run.insert(token);
	}
	void
	arrive(size_t i)
	{
		struct brf_token token = tokens[sent[i].second];
		struct brf_ledger_request request = { sent[i].first,
			BRF_US_PER_S, &token, 42 };
		struct brf_reply reply = {};
		struct brf_ledger_stats stats;

		if (brf_token_check(&token, node, 9, clock.now) !=
		    BRF_TOKEN_VALID)
			return;
		brf_ledger_stats(ledger, &stats);
		if (fault == FAULT_DROPS_FULL && stats.tokens == config.tokens)
			lose_ledger();
		if (fault == FAULT_SHORT)
			token.expires = clock.now + 1;
		if (!brf_ledger_begin(ledger, &request, &reply)) {
			check_reply(i, &reply);
			return;
		}
		running.push_back(i);
	}
	/* A cancel that overtakes its attempt, which may still arrive. */
	void
	cancel_early(struct brf_id id, size_t token)
	{
		struct brf_reply reply = {};

		reply.outcome = BRF_NOT_RUN;
		sent.emplace_back(id, token);
		if (brf_ledger_refuse(ledger, id, BRF_R_CANCELLED))
			check_reply(sent.size() - 1, &reply);
	}
	/* Admission refuses or runs the attempt, if it is not cancelled yet. */
	void
	admit_or_refuse(size_t k)
	{
		size_t i = running[k];
		struct brf_id id = sent[i].first;
		struct brf_reply reply = {};

		running.erase(running.begin() + (long)k);
		reply.outcome = BRF_NOT_RUN;
		if (below(2) == 0) {
			if (fault == FAULT_REFUSAL)
				lose_ledger();
			else if (!brf_ledger_refuse(ledger, id, BRF_R_OVERLOAD))
				return;
			check_reply(i, &reply);
			return;
		}
		fail_if(++runs[sent[i].second] > 1, "token ran twice");
		fail_if(attempt_not_run.count(id.lo) != 0, "ran after not_run");
		fail_if(token_not_run.count(sent[i].second) != 0,
		    "token ran after not_run");
		attempt_ran.insert(id.lo);
		brf_ledger_done(ledger, id, nullptr);
	}
	void
	step()
	{
		struct brf_id id = brf_id_new(&random.random);

		switch (below(8)) {
		case 0:
			tokens.push_back(
			    { node, 9, clock.now + BRF_TOKEN_LIFETIME_US,
				brf_id_new(&random.random) });
			break;
		case 1:
		case 2:
			if (tokens.empty())
				break;
			sent.emplace_back(id,
			    tokens.size() - 1 -
				below(tokens.size() < 6 ? tokens.size() : 6));
			arrive(sent.size() - 1);
			break;
		case 3: /* a duplicate or late copy */
			if (!sent.empty())
				arrive(below(sent.size()));
			break;
		case 4:
		case 5:
			if (!running.empty())
				admit_or_refuse(below(running.size()));
			break;
		case 6:
			if (below(40) == 0 && fault == FAULT_FORGETS)
				lose_ledger();
			if (!tokens.empty())
				cancel_early(id, below(tokens.size()));
			break;
		default:
			clock.now += below(40 * BRF_US_PER_S);
			break;
		}
	}
};

const char *
ledger_violation(enum ledger_fault fault, uint64_t seed)
{
	model w(fault, seed);

	for (int i = 0; i < 800 && w.violation == nullptr; i++)
		w.step();
	return (w.violation);
}

} // namespace

RC_GTEST_PROP(ledger, nothing_runs_twice_or_after_not_run, (uint64_t seed))
{
	const char *violation = ledger_violation(FAULT_NONE, seed);

	if (violation != nullptr)
		RC_FAIL(violation);
}

TEST(ledger, planted_faults_are_detected)
{
	for (auto fault :
	    { FAULT_FORGETS, FAULT_SHORT, FAULT_REFUSAL, FAULT_DROPS_FULL }) {
		uint64_t seed = 0;
		while (seed < 300 && ledger_violation(fault, seed) == nullptr)
			seed++;
		EXPECT_LT(seed, 300u) << "fault " << fault;
	}
}

/* Replies to a request that is sent again, see docs/at-most-once.md. */
TEST(ledger, table_of_cases)
{
	struct brf_clock_manual clock;
	struct brf_ledger_config config = { 2, 1, 100 };
	struct brf_token t = { node, 9, BRF_TOKEN_LIFETIME_US, { 3, 4 } };
	struct brf_token t2 = { node, 9, BRF_TOKEN_LIFETIME_US + 1, { 5, 6 } };
	struct brf_ledger_request first = { { 0, 1 }, BRF_US_PER_S, &t, 42 };
	struct brf_ledger_request again = { { 0, 2 }, BRF_US_PER_S, &t, 42 };
	struct brf_ledger_request other = { { 0, 3 }, BRF_US_PER_S, &t, 43 };
	struct brf_ledger_request more = { { 0, 4 }, BRF_US_PER_S, &t2, 42 };
	struct brf_message *answer = brf_message_new();
	struct brf_reply reply;

	brf_clock_manual_init(&clock, 1);
	struct brf_ledger *l = brf_ledger_new(&clock.clock, &config);
	ASSERT_TRUE(brf_ledger_begin(l, &first, &reply));
	EXPECT_FALSE(brf_ledger_begin(l, &again, &reply));
	EXPECT_EQ(reply.outcome, BRF_UNKNOWN) << "while running";
	EXPECT_EQ(reply.reason, BRF_R_DUPLICATE);
	EXPECT_FALSE(brf_ledger_begin(l, &other, &reply));
	EXPECT_EQ(reply.reason, BRF_R_TOKEN_INVALID) << "different request";
	EXPECT_FALSE(brf_ledger_begin(l, &more, &reply));
	EXPECT_EQ(reply.outcome, BRF_NOT_RUN) << "ledger full";
	EXPECT_EQ(reply.reason, BRF_R_OVERLOAD);
	brf_buf_puts(&answer->body, "done");
	brf_ledger_done(l, first.attempt, answer);
	EXPECT_FALSE(brf_ledger_refuse(l, first.attempt, BRF_R_CANCELLED));
	EXPECT_FALSE(brf_ledger_begin(l, &again, &reply));
	EXPECT_EQ(reply.outcome, BRF_ANSWERED) << "after it was answered";
	ASSERT_NE(reply.answer, nullptr);
	EXPECT_STREQ(reply.answer->body.data, "done");
	clock.now = BRF_TOKEN_LIFETIME_US;
	EXPECT_FALSE(brf_ledger_begin(l, &again, &reply));
	EXPECT_EQ(reply.outcome, BRF_UNKNOWN) << "expired";
	EXPECT_EQ(reply.reason, BRF_R_TOKEN_EXPIRED);
	EXPECT_FALSE(brf_ledger_begin(l, &more, &reply));
	EXPECT_EQ(reply.outcome, BRF_NOT_RUN) << "the refusal is final";
	t2.expires++;
	ASSERT_TRUE(brf_ledger_begin(l, &more, &reply))
	    << "expired entries were removed";
	EXPECT_TRUE(brf_ledger_refuse(l, more.attempt, BRF_R_WORKSPACE_SHARE));
	more.attempt.lo = 5;
	EXPECT_FALSE(brf_ledger_begin(l, &more, &reply));
	EXPECT_EQ(reply.outcome, BRF_NOT_RUN) << "after a refusal";
	EXPECT_EQ(reply.reason, BRF_R_WORKSPACE_SHARE);
	brf_message_unref(answer);
	brf_ledger_free(l);
}

TEST(ledger, cancel_that_overtakes_its_request_stays_in_force)
{
	struct brf_clock_manual clock;
	struct brf_ledger_config config = { 1, 1, 0 };
	struct brf_token token = { node, 9, BRF_TOKEN_LIFETIME_US, { 3, 4 } };
	struct brf_ledger_request request = { { 0, 1 }, UINT64_MAX, nullptr,
		0 };
	struct brf_reply reply;

	brf_clock_manual_init(&clock, 1);
	struct brf_ledger *l = brf_ledger_new(&clock.clock, &config);
	EXPECT_FALSE(brf_ledger_refuse(l, request.attempt, BRF_R_CANCELLED))
	    << "its token may have been used already";
	EXPECT_FALSE(brf_ledger_begin(l, &request, &reply));
	EXPECT_EQ(reply.outcome, BRF_NOT_RUN);
	EXPECT_EQ(reply.reason, BRF_R_CANCELLED);
	request.token = &token;
	for (request.attempt.lo = 1; request.attempt.lo < 3;
	     request.attempt.lo++) {
		EXPECT_FALSE(brf_ledger_begin(l, &request, &reply));
		EXPECT_EQ(reply.outcome, BRF_NOT_RUN) << "final for its token";
		EXPECT_EQ(reply.reason, BRF_R_CANCELLED);
	}
	request.token = nullptr;
	EXPECT_FALSE(brf_ledger_begin(l, &request, &reply));
	EXPECT_EQ(reply.outcome, BRF_UNKNOWN) << "no free entry";
	EXPECT_FALSE(brf_ledger_refuse(l, request.attempt, BRF_R_CANCELLED));
	brf_ledger_free(l);
}
