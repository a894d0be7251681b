#include <algorithm>
#include <signal.h>

#include "chunks_fake.h"
#include "flow_fake.h"
#include "mesh/gate.h"

namespace
{

/* Sender of one hop. */
struct sender {
	struct brf_hop hop = {};
	struct brf_task task;
	int posts = 0;
	std::string fields;

	static void
	count(struct brf_task *task)
	{
		brf_container_of(task, struct sender, task)->posts++;
	}

	sender()
	{
		brf_task_init(&task, count);
	}

	~sender()
	{
		brf_hop_release(&hop);
		brf_task_cancel(&task);
	}

	std::string
	body() const
	{
		return (std::string(brf_pipe_len(&hop.answer_body) != 0
					? brf_pipe_data(&hop.answer_body)
					: "",
		    brf_pipe_len(&hop.answer_body)));
	}
};

class mesh_gate : public ::testing::Test
{
      protected:
	struct flow_bench bench;
	raw_listener target;
	struct brf_mesh_gate *gate = nullptr;
	struct brf_target_announcement notice = {};
	struct brf_random_seeded random;
	struct brf_mesh_tables tables;
	struct brf_mesh_services services = {};
	bool closed = false;

	void
	SetUp() override
	{
		struct brf_mesh_gate_config config = { &bench.loop,
			&bench.scheduler.tasks, bench.scheduler.timers,
			bench.metrics, &random.random, &test_names, &tables,
			&services, loopback(target.port) };

		brf_random_seeded_init(&random, 1);
		brf_mesh_tables_init(
		    &tables, &bench.scheduler.clock, nullptr, nullptr, nullptr);

		gate = brf_mesh_gate_new(&config);
		brf_copy_name(notice.id, sizeof(notice.id), "t-1");
		brf_copy_name(notice.service, sizeof(notice.service), "s");
		notice.slots = 3; /* the gate leaves one free */
		notice.sequence = 1;
		brf_mesh_gate_update_target(gate, &notice, true);
	}

	void
	TearDown() override
	{
		brf_mesh_gate_close(
		    gate, [](void *arg) { *static_cast<bool *>(arg) = true; },
		    &closed);
		EXPECT_TRUE(bench.until([&] { return (closed); }));
		EXPECT_EQ(brf_mesh_gate_open_hops(gate), 0u);
		brf_mesh_gate_free(gate);
		brf_mesh_tables_finish(&tables);
	}

	void
	send(struct sender &s, const char *id, bool repeatable = true,
	    uint64_t timeout_us = 60000000)
	{
		struct brf_hop_request *rq = &s.hop.request;

		s.hop.owner = &s.task;
		rq->id = id;
		rq->target = "t-1";
		rq->caller = "c";
		rq->method = "GET";
		rq->path = "/p";
		rq->host = "h";
		s.fields = std::string("x-id: ") + id + "\r\n";
		rq->fields = s.fields.c_str();
		rq->fields_len = s.fields.size();
		rq->deadline = brf_now(&bench.scheduler.clock) + timeout_us;
		rq->max_wait_us = UINT64_MAX;
		rq->repeatable = repeatable;
		brf_hop_send(brf_mesh_gate_backend(gate), &s.hop);
	}

	bool
	until(const std::function<bool()> &done)
	{
		return (bench.until([&] {
			target.serve();
			return (done());
		}));
	}

	/* Wait until a request has arrived at the target, and return its
	 * connection. */
	raw_peer *
	arrived(const std::string &id)
	{
		raw_peer *p = nullptr;

		until([&] {
			p = target.with("/p HTTP/1.1");
			return (p != nullptr && p->got.size() > 4 &&
				p->got.find("\r\n\r\n") != std::string::npos);
		});
		(void)id;
		return (p);
	}

	static std::string
	complete_answer(const std::string &id, const std::string &body)
	{
		return ("HTTP/1.1 200 OK\r\nx-id: " + id +
			"\r\nx-seal: s\r\ncontent-length: " +
			std::to_string(body.size()) + "\r\n\r\n" + body);
	}
};

TEST_F(mesh_gate, request_has_the_fields_that_the_target_needs)
{
	struct sender s;
	raw_peer *p;

	send(s, "7", true, 5000000);
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	EXPECT_NE(p->got.find("x-target: t-1\r\n"), std::string::npos);
	EXPECT_NE(p->got.find("x-caller: c\r\n"), std::string::npos);
	EXPECT_NE(p->got.find("host: h\r\n"), std::string::npos);
	EXPECT_NE(p->got.find("x-timeout: "), std::string::npos);
	p->put(complete_answer("7", "hello"));
	until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
	EXPECT_EQ(s.body(), "hello");
	EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_ENDED);
}

/*
 * An answer that names no request may be a copy of an earlier one on its
 * connection, so that it does not prove that a request was not run.
 */
TEST_F(mesh_gate, a_refusal_written_once_more_refuses_no_later_request)
{
	const std::string refusals[] = {
		"HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nx-instance: t-9\r\ncontent-length: "
		"0\r\n\r\n",
		"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n",
		"HTTP/1.1 429 X\r\ncontent-length: 0\r\n\r\n",
		"HTTP/1.1 408 X\r\ncontent-length: 0\r\n\r\n",
	};

	for (const auto &refusal : refusals) {
		struct sender a, b;
		raw_peer *p;

		send(a, "1");
		until([&] { return (target.requests() == 1); });
		p = target.with("x-id: 1\r\n");
		ASSERT_NE(p, nullptr);
		p->put(refusal);
		until([&] { return (a.hop.state != BRF_HOP_OPEN); });
		brf_hop_release(&a.hop);

		send(b, "2");
		until([&] { return (target.requests() == 2); });
		ASSERT_EQ(target.with("x-id: 2\r\n"), p) << "a kept connection";
		p->put(refusal);
		until([&] { return (b.hop.state != BRF_HOP_OPEN); });
		EXPECT_EQ(b.hop.state, BRF_HOP_FAILED) << refusal;
		EXPECT_EQ(b.hop.reason, BRF_R_BROKEN_ANSWER) << refusal;
		brf_hop_release(&b.hop);
		bench.turns(20);
		for (auto *peer : target.peers)
			delete peer;
		target.peers.clear();
		bench.turns(20);
	}
}

/* A head that is cut anywhere is no answer, however its body is framed. */
TEST_F(mesh_gate, a_head_that_ends_early_is_no_answer)
{
	const std::string heads[] = {
		"HTTP/1.1 200 OK\r\nx-id: 7\r\nx-seal: s\r\n"
		"content-length: 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nx-id: 7\r\nx-seal: s\r\n"
		"transfer-encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nx-id: 7\r\nx-seal: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nx-id: 7\r\nx-seal: s\r\n"
		"connection: close\r\n\r\n",
	};

	for (const auto &head : heads) {
		for (size_t len = 1; len < head.size(); len++) {
			struct sender s;
			raw_peer *p;

			send(s, "7");
			p = arrived("7");
			ASSERT_NE(p, nullptr);
			p->put(head.substr(0, len));
			p->drop();
			until([&] { return (s.hop.state != BRF_HOP_OPEN); });
			ASSERT_EQ(s.hop.state, BRF_HOP_FAILED)
			    << head.substr(0, len);
			brf_hop_release(&s.hop);
			for (auto *peer : target.peers)
				delete peer;
			target.peers.clear();
			bench.turns(4);
		}
	}
}

/* The process of the target ends: it listens no more, and all connections are
 * closed. */
TEST_F(mesh_gate, requests_at_a_target_that_crashes_are_told_so)
{
	struct sender a, b;

	send(a, "1");
	send(b, "2");
	until([&] { return (target.requests() == 2); });
	close(target.fd);
	target.fd = -1;
	for (auto *p : target.peers)
		p->drop();
	bench.until([&] {
		return (
		    a.hop.state != BRF_HOP_OPEN && b.hop.state != BRF_HOP_OPEN);
	});
	for (auto *s : { &a, &b }) {
		EXPECT_EQ(s->hop.state, BRF_HOP_FAILED);
		EXPECT_EQ(s->hop.reason, BRF_R_TARGET_CRASHED);
	}
}

TEST_F(mesh_gate, a_connection_closed_beside_another_is_no_crash)
{
	struct sender a, b;

	send(a, "1");
	send(b, "2");
	until([&] { return (target.requests() == 2); });
	target.with("x-id: 1")->drop();
	until([&] { return (a.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(a.hop.state, BRF_HOP_FAILED);
	EXPECT_EQ(a.hop.reason, BRF_R_TARGET_LOST);
	EXPECT_EQ(b.hop.state, BRF_HOP_OPEN);
}

TEST_F(mesh_gate, a_target_that_leaves_and_ends_has_not_crashed)
{
	struct sender a;

	send(a, "1");
	until([&] { return (target.requests() == 1); });
	notice.state = BRF_TARGET_DRAINING;
	notice.sequence++;
	brf_mesh_gate_update_target(gate, &notice, false);
	close(target.fd);
	target.fd = -1;
	for (auto *p : target.peers)
		p->drop();
	bench.until([&] { return (a.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(a.hop.reason, BRF_R_TARGET_LOST);
}

struct answer_case {
	const char *name;
	std::string bytes;
	enum {
		KEEP,
		CLOSE,
		RESET
	} after;
	enum brf_hop_state state;
	enum brf_reason reason;
	bool arrived;
};

const std::string ok = "HTTP/1.1 200 OK\r\nx-id: 7\r\nx-seal: s\r\n";

/* State and reason of a hop by what the target does with the request. */
TEST_F(mesh_gate, hops_end_as_the_target_behaves)
{
	const std::vector<struct answer_case> cases = {
		{ "complete", complete_answer("7", "abc"), answer_case::KEEP,
		    BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "complete, in chunks",
		    ok + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
			 "\r\n",
		    answer_case::KEEP, BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "complete, ended by closing the connection", ok + "\r\nabc",
		    answer_case::CLOSE, BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "connection reset after the last bytes", ok + "\r\nab",
		    answer_case::RESET, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "shorter than its content length",
		    ok + "content-length: 9\r\n\r\nabc", answer_case::CLOSE,
		    BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER, true },
		{ "cut off between chunks",
		    ok + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
		    answer_case::CLOSE, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "not HTTP", "garbage\r\n\r\n", answer_case::KEEP,
		    BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER, true },
		{ "connection closed without an answer", "", answer_case::CLOSE,
		    BRF_HOP_FAILED, BRF_R_TARGET_LOST, true },
		{ "connection reset without an answer", "", answer_case::RESET,
		    BRF_HOP_FAILED, BRF_R_TARGET_LOST, true },
		{ "success without a seal",
		    "HTTP/1.1 200 OK\r\nx-id: 7\r\ncontent-length: 0\r\n\r\n",
		    answer_case::KEEP, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "success in a content coding that was not requested",
		    ok + "content-encoding: gzip\r\ncontent-length: 1\r\n\r\n"
			 "x",
		    answer_case::KEEP, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "shed by the target",
		    "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n"
		    "\r\n",
		    answer_case::KEEP, BRF_HOP_REFUSED, BRF_R_TARGET_SHED,
		    true },
		{ "another target at the address",
		    "HTTP/1.1 421 X\r\nx-instance: t-9\r\ncontent-length: 0"
		    "\r\n\r\n",
		    answer_case::KEEP, BRF_HOP_REFUSED, BRF_R_NO_TARGET, true },
		{ "failure of the target",
		    "HTTP/1.1 500 X\r\nx-id: 7\r\nx-seal: s\r\n"
		    "content-length: 0\r\n\r\n",
		    answer_case::KEEP, BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "answer to another request, then the right one",
		    complete_answer("6", "late") + complete_answer("7", "own"),
		    answer_case::KEEP, BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "the right answer, then a second one",
		    complete_answer("7", "own") + complete_answer("7", "own"),
		    answer_case::KEEP, BRF_HOP_ANSWERED, BRF_R_NONE, true },
	};

	for (const auto &c : cases) {
		struct sender s;
		raw_peer *p;

		send(s, "7");
		p = arrived("7");
		ASSERT_NE(p, nullptr) << c.name;
		p->put(c.bytes);
		if (c.after == answer_case::RESET)
			reset_on_drop(*p);
		if (c.after != answer_case::KEEP)
			p->drop();
		until([&] { return (s.hop.state != BRF_HOP_OPEN); });
		EXPECT_EQ(s.hop.state, c.state) << c.name;
		EXPECT_EQ(s.hop.reason, c.reason) << c.name;
		EXPECT_EQ(s.hop.arrived, c.arrived) << c.name;
		if (c.state == BRF_HOP_ANSWERED &&
		    c.bytes.find("own") != std::string::npos) {
			EXPECT_EQ(s.body(), "own") << c.name;
		}
		brf_hop_release(&s.hop);
		bench.turns(20);
		for (auto *peer : target.peers)
			delete peer;
		target.peers.clear();
		bench.turns(20);
	}
}

TEST_F(mesh_gate, unreachable_target_is_reported_as_not_run)
{
	struct sender s;

	close(target.fd);
	target.fd = -1;
	send(s, "7");
	bench.until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(s.hop.state, BRF_HOP_REFUSED);
	EXPECT_EQ(s.hop.reason, BRF_R_TARGET_DOWN);
	EXPECT_FALSE(s.hop.arrived);
}

TEST_F(
    mesh_gate, draining_target_gets_no_new_requests_and_finishes_running_ones)
{
	struct sender running, late;
	raw_peer *p;

	send(running, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	notice.state = BRF_TARGET_DRAINING;
	brf_mesh_gate_update_target(gate, &notice, false);
	send(late, "8");
	until([&] { return (late.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(late.hop.state, BRF_HOP_REFUSED);
	EXPECT_EQ(late.hop.reason, BRF_R_DRAINING);
	p->put(complete_answer("7", "done"));
	until([&] { return (running.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(running.hop.state, BRF_HOP_ANSWERED);
}

/* Requests that can't be repeated were taken and cut at the exit, while their
 * sender, which stops too, could have sent them elsewhere. */
TEST_F(mesh_gate, a_stopping_gate_takes_nothing_unsafe_that_may_be_cut)
{
	const uint64_t left = 5 * BRF_US_PER_S;
	struct sender outlives, ends, repeatable;

	brf_mesh_gate_stop(gate, brf_now(&bench.scheduler.clock) + left);
	send(outlives, "1", false, 2 * left);
	EXPECT_EQ(outlives.hop.state, BRF_HOP_REFUSED);
	EXPECT_EQ(outlives.hop.reason, BRF_R_DEADLINE);
	send(ends, "2", false, left - BRF_US_PER_S);
	send(repeatable, "3", true, 2 * left);
	until([&] { return (target.requests() == 2); });
	EXPECT_EQ(target.requests(), 2u);
	EXPECT_EQ(ends.hop.state, BRF_HOP_OPEN);
	EXPECT_EQ(repeatable.hop.state, BRF_HOP_OPEN);
}

TEST_F(mesh_gate, hop_for_another_incarnation_is_refused)
{
	struct sender other;

	notice.sequence = 1;
	brf_copy_name(notice.id, sizeof(notice.id), "t-2");
	brf_mesh_gate_update_target(gate, &notice, true);
	send(other, "8");
	until([&] { return (other.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(other.hop.state, BRF_HOP_REFUSED);
	EXPECT_EQ(other.hop.reason, BRF_R_NO_TARGET);
}

TEST_F(mesh_gate, cancelling_closes_the_targets_connection)
{
	struct sender s;
	raw_peer *p;

	send(s, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	brf_hop_release(&s.hop);
	EXPECT_TRUE(until([&] { return (p->ended); }));
}

TEST_F(mesh_gate, running_requests_are_limited_by_slots)
{
	struct sender s[3];
	raw_peer *p;

	send(s[0], "1");
	send(s[1], "2");
	send(s[2], "3");
	until([&] { return (target.requests() == 2); });
	bench.turns(20);
	target.serve();
	EXPECT_EQ(target.requests(), 2u);
	p = target.with("x-id: 1\r\n");
	ASSERT_NE(p, nullptr);
	p->put(complete_answer("1", "a"));
	until([&] { return (target.requests() == 3); });
	EXPECT_EQ(target.requests(), 3u);
}

/* Hops that wait must not run at a target that takes over the address. */
TEST_F(mesh_gate, waiting_hops_end_with_the_target_that_they_name)
{
	struct sender s[3], next;
	raw_peer *p;

	send(s[0], "1");
	send(s[1], "2");
	send(s[2], "3", false); /* waits for a slot */
	until([&] { return (target.requests() == 2); });
	brf_copy_name(notice.id, sizeof(notice.id), "t-2");
	brf_copy_name(notice.service, sizeof(notice.service), "other");
	brf_mesh_gate_update_target(gate, &notice, true);
	p = target.with("x-id: 1\r\n");
	ASSERT_NE(p, nullptr);
	p->put(complete_answer("1", "a"));
	until([&] { return (s[2].hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(s[2].hop.state, BRF_HOP_REFUSED);
	EXPECT_EQ(s[2].hop.reason, BRF_R_NO_TARGET);
	EXPECT_FALSE(s[2].hop.arrived);
	until([&, n = 50]() mutable { return (n-- <= 0); });
	EXPECT_EQ(target.requests(), 2u);
}

TEST_F(mesh_gate, idle_connections_are_reused)
{
	for (int i = 0; i < 5; i++) {
		struct sender s;
		std::string id = std::to_string(i);
		size_t before = target.requests();

		send(s, id.c_str());
		until([&] { return (target.requests() == before + 1); });
		ASSERT_EQ(target.peers.size(), 1u);
		target.peers[0]->put(complete_answer(id, "x"));
		until([&] { return (s.hop.state != BRF_HOP_OPEN); });
		EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
		brf_hop_release(&s.hop);
	}
}

/* A connection whose reading was paused as its answer ended was not read again:
 * the next request on it ended with its deadline. */
TEST_F(mesh_gate, a_connection_is_read_after_an_answer_that_filled_its_input)
{
	const size_t head =
	    complete_answer("0", std::string(50000, 'x')).find("\r\n\r\n") + 4;

	for (size_t total : { 65535, 65536, 65537 }) {
		struct sender first, next;

		send(first, "0");
		until([&] { return (target.with("x-id: 0\r\n") != nullptr); });
		ASSERT_EQ(target.peers.size(), 1u);
		target.peers[0]->put(
		    complete_answer("0", std::string(total - head, 'x')));
		EXPECT_TRUE(until([&] {
			return (first.hop.answer_body.state == BRF_PIPE_ENDED);
		})) << total;
		EXPECT_EQ(first.body().size(), total - head);
		brf_hop_release(&first.hop);

		target.peers[0]->got.clear();
		send(next, "1");
		until([&] { return (target.with("x-id: 1\r\n") != nullptr); });
		ASSERT_EQ(target.peers.size(), 1u) << total;
		target.peers[0]->put(complete_answer("1", "y"));
		EXPECT_TRUE(until([&] {
			return (next.hop.state == BRF_HOP_ANSWERED);
		})) << total;
		EXPECT_EQ(next.body(), "y");
		brf_hop_release(&next.hop);
		target.peers[0]->got.clear();
	}
}

/* A request body is lost when the idle connection chosen first was reset. */
TEST_F(mesh_gate, a_body_outlives_a_reset_idle_connection)
{
	const struct {
		enum brf_body_kind framing;
		std::string body, sent;
	} cases[] = {
		{ BRF_BODY_CHUNKED, "return", "6\r\nreturn\r\n0\r\n\r\n" },
		{ BRF_BODY_CHUNKED, "", "0\r\n\r\n" },
		{ BRF_BODY_LENGTH, "return", "return" },
		{ BRF_BODY_LENGTH, std::string(30000, 'x'),
		    std::string(30000, 'x') },
	};

	for (const auto &c : cases) {
		struct sender first[2], s;
		struct brf_pipe body;
		std::string want;
		raw_peer *p;

		/* two idle connections, both of which are reset */
		send(first[0], "1");
		send(first[1], "2");
		until([&] { return (target.requests() == 2); });
		for (const char *id : { "1", "2" })
			target.with(std::string("x-id: ") + id + "\r\n")
			    ->put(complete_answer(id, ""));
		until([&] {
			return (first[0].hop.state != BRF_HOP_OPEN &&
				first[1].hop.state != BRF_HOP_OPEN);
		});
		brf_hop_release(&first[0].hop);
		brf_hop_release(&first[1].hop);
		for (auto *peer : target.peers) {
			reset_on_drop(*peer);
			delete peer;
		}
		target.peers.clear();

		brf_pipe_init(&body, &bench.scheduler.tasks);
		brf_pipe_write(&body, c.body.data(), c.body.size());
		brf_pipe_end(&body);
		s.hop.request_body = &body;
		s.hop.request.body = c.framing;
		s.hop.request.length = c.body.size();
		send(s, "3", false);
		until([&] {
			p = target.with("\r\n\r\n");
			return (p != nullptr &&
				p->got.size() >= p->got.find("\r\n\r\n") + 4 +
						     c.sent.size());
		});
		ASSERT_NE(p, nullptr);
		EXPECT_EQ(p->got.substr(p->got.find("\r\n\r\n") + 4), c.sent);
		EXPECT_TRUE(brf_pipe_finished(&body));
		p->put(complete_answer("3", "ok"));
		until([&] { return (s.hop.state != BRF_HOP_OPEN); });
		EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
		brf_hop_release(&s.hop);
		brf_pipe_free(&body);
		for (auto *peer : target.peers)
			delete peer;
		target.peers.clear();
		bench.turns(20);
	}
}

TEST_F(mesh_gate, unexpected_bytes_close_an_idle_connection)
{
	struct sender s, next;

	send(s, "7");
	arrived("7");
	target.peers[0]->put(complete_answer("7", "x"));
	until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	brf_hop_release(&s.hop);
	target.peers[0]->put(complete_answer("7", "again"));
	EXPECT_TRUE(until([&] { return (target.peers[0]->ended); }));
	send(next, "8");
	until([&] { return (target.requests() == 2); });
	ASSERT_EQ(target.peers.size(), 2u);
	target.peers[1]->put(complete_answer("8", "y"));
	until([&] { return (next.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(next.body(), "y");
}

/* What a target sends: @start, then @unit again and again. */
struct endless_case {
	const char *name;
	std::string start;
	std::string unit;
};

class mesh_gate_endless : public mesh_gate
{
      protected:
	uv_timer_t alive; /* libuv runs no iteration without active handles */

	void
	SetUp() override
	{
		mesh_gate::SetUp();
		uv_timer_init(&bench.loop, &alive);
		uv_timer_start(
		    &alive, [](uv_timer_t *) {}, 1, 1);
	}

	void
	TearDown() override
	{
		mesh_gate::TearDown();
		uv_close((uv_handle_t *)&alive, nullptr);
		bench.turns(4);
	}

	/* Send @bytes and then @unit again and again until @done. */
	bool
	flood(raw_peer *p, std::string bytes, const std::string &unit,
	    const std::function<bool()> &done)
	{
		return (until([&] {
			while (!unit.empty() && bytes.size() < 65536)
				bytes += unit;
			bytes = p->put(bytes);
			return (done());
		}));
	}

	static bool
	is_over(const struct sender &s)
	{
		return (s.hop.state == BRF_HOP_FAILED ||
			s.hop.answer_body.state != BRF_PIPE_OPEN);
	}

	/* The connection is closed and the slot is free. */
	void
	expect_given_back(raw_peer *p, const char *name)
	{
		struct brf_gate_load load;

		EXPECT_TRUE(until([&] { return (p->ended); })) << name;
		brf_mesh_gate_get_load(gate, &load);
		EXPECT_EQ(load.running, 0) << name;
		EXPECT_EQ(brf_mesh_gate_open_hops(gate), 0u) << name;
	}

	void
	forget_peers()
	{
		for (auto *peer : target.peers)
			delete peer;
		target.peers.clear();
		bench.turns(20);
	}

	/* Play @c; the request must end as broken before its deadline. */
	void
	expect_broken_at_once(const struct endless_case &c)
	{
		{
			struct sender s;
			raw_peer *p;

			send(s, "7");
			p = arrived("7");
			ASSERT_NE(p, nullptr) << c.name;
			EXPECT_TRUE(flood(p, c.start, c.unit, [&] {
				return (is_over(s));
			})) << c.name;
			if (s.hop.state == BRF_HOP_ANSWERED) {
				EXPECT_EQ(
				    s.hop.answer_body.state, BRF_PIPE_BROKEN)
				    << c.name;
			} else {
				EXPECT_EQ(s.hop.state, BRF_HOP_FAILED)
				    << c.name;
				EXPECT_EQ(s.hop.reason, BRF_R_BROKEN_ANSWER)
				    << c.name;
			}
			expect_given_back(p, c.name);
		}
		forget_peers();
	}
};

const size_t head_max = 65536; /* bytes of an answer's head */
const std::string chunked = ok + "transfer-encoding: chunked\r\n\r\n";

TEST_F(mesh_gate_endless, a_head_without_end_ends_the_request)
{
	const std::string field = ok + "x: ";
	const std::vector<struct endless_case> cases = {
		{ "status line", "HTTP/1.1 200 O", "K" },
		{ "one field", field, "y" },
		{ "many fields", ok, "x: y\r\n" },
		{ "no line", "", "H" },
	};

	for (const auto &c : cases)
		expect_broken_at_once(c);
}

TEST_F(mesh_gate_endless, a_head_that_fills_the_input_ends_the_request)
{
	const std::string field = ok + "x: ";

	expect_broken_at_once({ "incomplete, of the limit",
	    field + std::string(head_max - field.size(), 'y'), "" });
	expect_broken_at_once({ "complete, beyond the limit",
	    field + std::string(head_max - field.size(), 'y') +
		"\r\ncontent-length: 0\r\n\r\n",
	    "" });
}

TEST_F(mesh_gate_endless, a_head_of_the_limit_is_an_answer)
{
	const std::string field = ok + "content-length: 1\r\nx: ";
	const std::string head =
	    field + std::string(head_max - field.size() - 4, 'y') + "\r\n\r\n";
	struct sender s;
	raw_peer *p;

	send(s, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	flood(p, head + "z", "", [&] { return (s.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
	EXPECT_EQ(s.body(), "z");
}

TEST_F(mesh_gate_endless, answers_before_the_own_one_are_limited)
{
	const std::vector<struct endless_case> cases = {
		{ "interim answers", "", "HTTP/1.1 102 P\r\n\r\n" },
		{ "interim answers with a field", "",
		    "HTTP/1.1 103 E\r\nx-id: 7\r\n\r\n" },
		{ "answers to another request", "", complete_answer("6", "") },
		{ "both", "",
		    "HTTP/1.1 102 P\r\n\r\n" + complete_answer("6", "a") },
	};

	for (const auto &c : cases)
		expect_broken_at_once(c);
}

TEST_F(mesh_gate_endless, a_few_interim_answers_are_skipped)
{
	std::string interim;
	struct sender s;
	raw_peer *p;

	for (int i = 0; i < 20; i++)
		interim += "HTTP/1.1 102 P\r\n\r\n";
	send(s, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	p->put(interim + complete_answer("7", "own"));
	until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
	EXPECT_EQ(s.body(), "own");
}

/* Such a connection can't carry the request's own answer any more. */
TEST_F(mesh_gate_endless, another_answer_until_close_ends_the_request)
{
	expect_broken_at_once({ "without an end",
	    "HTTP/1.1 200 OK\r\nx-id: 6\r\nx-seal: s\r\n\r\n", "x" });
	expect_broken_at_once({ "only its head",
	    "HTTP/1.1 200 OK\r\nx-id: 6\r\nx-seal: s\r\n\r\n", "" });
}

TEST_F(mesh_gate_endless, chunk_metadata_without_end_ends_the_request)
{
	const std::vector<struct endless_case> cases = {
		{ "digits", chunked, "1" },
		{ "leading zeros", chunked, "0" },
		{ "extension", chunked + "3;", "e" },
		{ "extension of a later chunk", chunked + "3\r\nabc\r\n3;",
		    "e" },
		{ "extension of the last chunk", chunked + "0;", "e" },
		{ "trailer of one field",
		    chunked + "3\r\nabc\r\n0\r\nx: ", "y" },
		{ "trailer", chunked + "3\r\nabc\r\n0\r\n", "x: y\r\n" },
		{ "trailer of another answer",
		    "HTTP/1.1 200 OK\r\nx-id: 6\r\n"
		    "transfer-encoding: chunked\r\n\r\n0\r\n",
		    "x: y\r\n" },
	};

	for (const auto &c : cases)
		expect_broken_at_once(c);
}

TEST_F(mesh_gate_endless, badly_framed_chunks_end_the_request)
{
	for (const auto &chunks : bad_chunks())
		expect_broken_at_once({ chunks.c_str(), chunked + chunks, "" });
}

/* Five of six bytes are metadata, but each chunk has little of it. */
/* The body of a refusal is not read. */
TEST_F(mesh_gate_endless, a_refusal_whose_body_does_not_end_is_one)
{
	for (const char *framing : { "content-length: 99999999999",
		 "transfer-encoding: chunked", "connection: close" }) {
		{
			struct sender s;
			raw_peer *p;

			send(s, "7");
			p = arrived("7");
			ASSERT_NE(p, nullptr) << framing;
			EXPECT_TRUE(flood(p,
			    "HTTP/1.1 503 S\r\nx-id: 7\r\nx-not-run: 1\r\n" +
				std::string(framing) + "\r\n\r\n",
			    "4\r\nabcd\r\n",
			    [&] { return (s.hop.state != BRF_HOP_OPEN); }))
			    << framing;
			EXPECT_EQ(s.hop.state, BRF_HOP_REFUSED) << framing;
			expect_given_back(p, framing);
		}
		forget_peers();
	}
}

TEST_F(mesh_gate_endless, many_chunks_of_one_byte_are_an_answer)
{
	const size_t length = 200000;
	std::string bytes = chunked;
	struct sender s;
	size_t got = 0;
	raw_peer *p;

	for (size_t i = 0; i < length; i++)
		bytes += "1\r\nx\r\n";
	send(s, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	EXPECT_TRUE(flood(p, bytes + "0\r\n\r\n", "", [&] {
		if (s.hop.state == BRF_HOP_ANSWERED) {
			got += brf_pipe_len(&s.hop.answer_body);
			brf_pipe_consume(&s.hop.answer_body,
			    brf_pipe_len(&s.hop.answer_body));
		}
		return (is_over(s) && brf_pipe_len(&s.hop.answer_body) == 0);
	}));
	EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_ENDED);
	EXPECT_EQ(got, length);
}

/* A reset must be remembered while the reader still consumes earlier bytes. */
TEST_F(mesh_gate_endless, a_body_cut_by_a_reset_is_broken_for_a_slow_reader)
{
	const size_t length = BRF_PIPE_HIGH_WATER + 20000;
	struct sender s;
	size_t got = 0;
	raw_peer *p;

	send(s, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	p->put(ok + "\r\n" + std::string(length, 'x'));
	reset_on_drop(*p);
	p->drop();
	until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	ASSERT_EQ(s.hop.state, BRF_HOP_ANSWERED);
	bench.turns(50);
	until([&] {
		got += brf_pipe_len(&s.hop.answer_body);
		brf_pipe_consume(
		    &s.hop.answer_body, brf_pipe_len(&s.hop.answer_body));
		return (is_over(s));
	});
	EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_BROKEN);
}

/* A target that answers before it has read the whole request. */
class mesh_gate_upload : public mesh_gate_endless
{
      protected:
	struct brf_pipe upload;

	void
	SetUp() override
	{
		mesh_gate_endless::SetUp();
		signal(SIGPIPE, SIG_IGN);
		brf_pipe_init(&upload, &bench.scheduler.tasks);
	}

	void
	TearDown() override
	{
		mesh_gate_endless::TearDown();
		brf_pipe_free(&upload);
	}

	/* Send a request whose body is not complete; return its connection. */
	raw_peer *
	begin(struct sender &s, enum brf_body_kind framing)
	{
		brf_pipe_free(&upload);
		brf_pipe_init(&upload, &bench.scheduler.tasks);
		brf_pipe_write(&upload, "part", 4);
		s.hop.request_body = &upload;
		s.hop.request.body = framing;
		s.hop.request.length = 1 << 30;
		send(s, "7", false);
		return (arrived("7"));
	}

	/* Wait until the first @len bytes of the answer were received. */
	void
	until_received(const struct sender &s, size_t len)
	{
		until([&] { return (s.hop.answer_body.written >= len); });
		ASSERT_EQ(s.hop.answer_body.written, len);
	}

	void
	upload_more(size_t len)
	{
		std::string more(len, 'u');

		brf_pipe_write(&upload, more.data(), more.size());
	}
};

/*
 * A socket reports an error once.  When a write has met the reset, reading ends
 * like that of an answer which the target has completed.
 */
TEST_F(mesh_gate_upload, an_answer_cut_by_a_reset_that_a_write_meets_is_broken)
{
	const struct {
		const char *name;
		std::string head;
		enum brf_body_kind framing;
		size_t answer, more;
	} cases[] = {
		{ "long upload", ok + "\r\n", BRF_BODY_LENGTH, 100, 300000 },
		{ "short part", ok + "\r\n", BRF_BODY_LENGTH, 100, 1 },
		{ "no body yet", ok + "\r\n", BRF_BODY_LENGTH, 0, 1000 },
		{ "chunked upload", ok + "\r\n", BRF_BODY_CHUNKED, 5000, 1000 },
		{ "60 KB of answer", ok + "\r\n", BRF_BODY_LENGTH, 60000,
		    1000 },
		{ "HTTP/1.0", "HTTP/1.0 200 OK\r\nx-id: 7\r\nx-seal: s\r\n\r\n",
		    BRF_BODY_LENGTH, 100, 1000 },
		{ "500", "HTTP/1.1 500 X\r\nx-id: 7\r\nx-seal: s\r\n\r\n",
		    BRF_BODY_LENGTH, 100, 1000 },
		{ "length", ok + "content-length: 200\r\n\r\n", BRF_BODY_LENGTH,
		    100, 1000 },
		{ "in chunks", ok + "transfer-encoding: chunked\r\n\r\nc8\r\n",
		    BRF_BODY_LENGTH, 100, 1000 },
	};

	for (const auto &c : cases) {
		{
			struct sender s;
			raw_peer *p = begin(s, c.framing);

			ASSERT_NE(p, nullptr) << c.name;
			p->put(c.head + std::string(c.answer, 'x'));
			until([&] { return (s.hop.state != BRF_HOP_OPEN); });
			until_received(s, c.answer);
			reset_on_drop(*p);
			p->drop();
			upload_more(c.more);
			EXPECT_TRUE(until([&] { return (is_over(s)); }));
			EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_BROKEN)
			    << c.name;
		}
		forget_peers();
	}
}

/* The write waits for the kernel, and reading for the reader of the answer. */
TEST_F(mesh_gate_upload, a_reset_that_a_waiting_write_meets_is_remembered)
{
	const size_t answer = 300000;
	struct sender s;
	size_t got = 0;
	std::string bytes = ok + "\r\n" + std::string(answer, 'x');
	raw_peer *p = begin(s, BRF_BODY_LENGTH);

	ASSERT_NE(p, nullptr);
	for (int i = 0; i < 64; i++) {
		upload_more(BRF_PIPE_HIGH_WATER * 4);
		bench.turns(4);
	}
	ASSERT_NE(brf_pipe_len(&upload), 0u) << "the socket is full";
	bench.until([&] {
		bytes = p->put(bytes);
		return (bytes.empty());
	});
	bench.turns(50);
	ASSERT_EQ(s.hop.answer_body.state, BRF_PIPE_OPEN);
	reset_on_drop(*p);
	p->drop();
	bench.turns(50);
	bench.until([&] {
		got += brf_pipe_len(&s.hop.answer_body);
		brf_pipe_consume(
		    &s.hop.answer_body, brf_pipe_len(&s.hop.answer_body));
		return (is_over(s));
	});
	EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_BROKEN);
	EXPECT_LE(got, answer);
}

/* A reset behind the end of what the target sends takes nothing from it. */
TEST_F(mesh_gate_upload, an_answer_that_ends_before_the_reset_is_complete)
{
	for (bool write_first : { false, true }) {
		{
			struct sender s;
			raw_peer *p = begin(s, BRF_BODY_LENGTH);

			ASSERT_NE(p, nullptr);
			p->put(ok + "\r\n" + std::string(100, 'x'));
			until([&] { return (s.hop.state != BRF_HOP_OPEN); });
			until_received(s, 100);
			shutdown(p->fd, SHUT_WR);
			reset_on_drop(*p);
			p->drop();
			if (write_first)
				upload_more(1000);
			EXPECT_TRUE(until([&] { return (is_over(s)); }));
			EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_ENDED)
			    << write_first;
			EXPECT_EQ(s.body(), std::string(100, 'x'));
		}
		forget_peers();
	}
}

/* A request before it on the connection was answered as it should be. */
TEST_F(mesh_gate_upload, a_cut_answer_on_a_kept_connection_is_broken)
{
	struct sender first, s;
	raw_peer *p;

	send(first, "1");
	until([&] { return (target.requests() == 1); });
	p = target.peers[0];
	p->put(complete_answer("1", "abc"));
	until([&] { return (first.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(first.body(), "abc");
	brf_hop_release(&first.hop);

	p->got.clear();
	ASSERT_EQ(begin(s, BRF_BODY_LENGTH), p);
	p->put(ok + "\r\n" + std::string(100, 'x'));
	until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	until_received(s, 100);
	reset_on_drop(*p);
	p->drop();
	upload_more(1000);
	EXPECT_TRUE(until([&] { return (is_over(s)); }));
	EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_BROKEN);
}

const std::vector<struct endless_case> endless_bodies = {
	{ "until close", ok + "\r\n", "x" },
	{ "in chunks", chunked, "4\r\nabcd\r\n" },
	{ "in chunks of one byte", chunked, "1\r\nx\r\n" },
	{ "of a length", ok + "content-length: 99999999999999\r\n\r\n", "x" },
};

TEST_F(mesh_gate_endless, a_body_that_nobody_reads_ends_after_the_deadline)
{
	struct moved_clock clock(bench);

	for (const auto &c : endless_bodies) {
		{
			struct sender s;
			raw_peer *p;

			send(s, "7");
			p = arrived("7");
			ASSERT_NE(p, nullptr) << c.name;
			EXPECT_TRUE(flood(p, c.start, c.unit, [&] {
				return (s.hop.state == BRF_HOP_ANSWERED);
			})) << c.name;
			for (int i = 0; i < 10; i++)
				clock.move(30 * BRF_US_PER_S);
			EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_BROKEN)
			    << c.name;
			/* what was received may still be read */
			brf_pipe_consume(&s.hop.answer_body,
			    brf_pipe_len(&s.hop.answer_body));
			bench.turns(20);
			expect_given_back(p, c.name);
		}
		forget_peers();
	}
}

/* The target stops, or sends byte by byte, in the middle of its answer. */
TEST_F(mesh_gate_endless, an_answer_that_its_target_owes_ends_at_its_deadline)
{
	struct moved_clock clock(bench);

	for (bool sends : { false, true }) {
		for (const auto &c : endless_bodies) {
			{
				struct sender s;
				raw_peer *p;

				send(s, "7", true, BRF_US_PER_S);
				p = arrived("7");
				ASSERT_NE(p, nullptr) << c.name;
				p->put(c.start + c.unit);
				until([&] {
					return (
					    s.hop.state == BRF_HOP_ANSWERED);
				});
				ASSERT_EQ(s.hop.state, BRF_HOP_ANSWERED);
				clock.move(BRF_US_PER_S * 9 / 10);
				EXPECT_EQ(
				    s.hop.answer_body.state, BRF_PIPE_OPEN)
				    << c.name;
				for (int i = 0; i < 12; i++) {
					if (sends)
						p->put(c.unit);
					bench.turns(20);
					brf_pipe_consume(&s.hop.answer_body,
					    brf_pipe_len(&s.hop.answer_body));
					clock.move(50 * BRF_US_PER_MS);
				}
				EXPECT_EQ(
				    s.hop.answer_body.state, BRF_PIPE_BROKEN)
				    << c.name;
				EXPECT_EQ(s.hop.reason, BRF_R_TIMEOUT);
				expect_given_back(p, c.name);
			}
			forget_peers();
		}
	}
}

/* Neither side moves, though the target keeps the connection open. */
TEST_F(mesh_gate_endless, a_body_that_stops_ends_after_the_deadline)
{
	struct moved_clock clock(bench);
	struct sender s;
	raw_peer *p;

	send(s, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	p->put(ok + "content-length: 9\r\n\r\nabc");
	ASSERT_TRUE(until([&] { return (s.hop.state == BRF_HOP_ANSWERED); }));
	brf_pipe_consume(&s.hop.answer_body, 3);
	for (int i = 0; i < 10; i++)
		clock.move(30 * BRF_US_PER_S);
	EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_BROKEN);
	expect_given_back(p, "stopped");
}

TEST_F(mesh_gate_endless, a_complete_body_is_not_cut_from_a_slow_reader)
{
	const std::string body(300000, 'x');
	struct moved_clock clock(bench);
	struct sender s;
	std::string bytes;
	size_t got = 0, len;
	raw_peer *p;

	send(s, "7", true, 5000000);
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	bytes = p->put(complete_answer("7", body));
	ASSERT_TRUE(until([&] { return (s.hop.state == BRF_HOP_ANSWERED); }));
	for (int i = 0; i < 100 && !is_over(s); i++) {
		bytes = p->put(bytes);
		len = std::min(brf_pipe_len(&s.hop.answer_body), (size_t)8192);
		brf_pipe_consume(&s.hop.answer_body, len);
		got += len;
		clock.move(30 * BRF_US_PER_S);
	}
	EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_ENDED);
	EXPECT_EQ(got + brf_pipe_len(&s.hop.answer_body), body.size());
}

/* These bytes might still be followed by the answer. */
TEST_F(mesh_gate_endless, the_deadline_ends_what_might_become_an_answer)
{
	const std::vector<struct endless_case> cases = {
		{ "another answer of a length",
		    "HTTP/1.1 200 OK\r\nx-id: 6\r\n"
		    "content-length: 99999999999999\r\n\r\n",
		    "x" },
		{ "another answer in chunks",
		    "HTTP/1.1 200 OK\r\nx-id: 6\r\n"
		    "transfer-encoding: chunked\r\n\r\n",
		    "1\r\nx\r\n" },
		{ "a part of a head", "HTTP/1.1 200 O", "" },
	};

	for (const auto &c : cases) {
		{
			struct sender s;
			raw_peer *p;

			send(s, "7", true, 200000);
			p = arrived("7");
			ASSERT_NE(p, nullptr) << c.name;
			EXPECT_TRUE(flood(p, c.start, c.unit, [&] {
				return (is_over(s));
			})) << c.name;
			EXPECT_EQ(s.hop.state, BRF_HOP_FAILED) << c.name;
			EXPECT_EQ(s.hop.reason, BRF_R_TIMEOUT) << c.name;
			expect_given_back(p, c.name);
		}
		forget_peers();
	}
}

TEST_F(mesh_gate_endless, bytes_behind_an_answer_close_an_idle_connection)
{
	struct sender s;
	raw_peer *p;

	send(s, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	p->put(complete_answer("7", "own"));
	until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	flood(p, "", "x", [&] { return (p->ended); });
	EXPECT_EQ(s.body(), "own");
	expect_given_back(p, "bytes behind an answer");
}

/* Not even the first bytes that follow an answer may be taken for the next. */
TEST_F(mesh_gate_endless, an_answer_followed_by_bytes_stays_whole)
{
	struct sender s;
	raw_peer *p;

	send(s, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	flood(
	    p, complete_answer("7", "own"), "x", [&] { return (is_over(s)); });
	EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
	EXPECT_EQ(s.body(), "own");
	expect_given_back(p, "answer followed by bytes");
}

/* The target can't send once the buffers of both kernels are full. */
TEST_F(mesh_gate_endless, an_unread_body_takes_bounded_memory)
{
	for (const auto &c : endless_bodies) {
		{
			struct sender s;
			size_t held = 0, stuck = 0;
			std::string bytes = c.start;
			raw_peer *p;

			send(s, "7");
			p = arrived("7");
			ASSERT_NE(p, nullptr) << c.name;
			EXPECT_TRUE(until([&] {
				size_t len;

				while (bytes.size() < 65536)
					bytes += c.unit;
				len = bytes.size();
				bytes = p->put(bytes);
				stuck = bytes.size() == len ? stuck + 1 : 0;
				held = std::max(
				    held, brf_pipe_len(&s.hop.answer_body));
				return (stuck == 2000);
			})) << c.name;
			EXPECT_LE(held, 2 * BRF_PIPE_HIGH_WATER) << c.name;
			EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED) << c.name;
			brf_hop_release(&s.hop);
			expect_given_back(p, c.name);
		}
		forget_peers();
	}
}

/* A reader that takes all bytes at once doesn't keep the target's turn. */
TEST_F(mesh_gate_endless, a_turn_reads_a_bounded_part_of_a_body)
{
	const size_t length = 4 * 1024 * 1024;

	for (const auto &c : endless_bodies) {
		{
			struct sender s;
			uint64_t total = 0, most = 0;
			raw_peer *p;

			send(s, "7");
			p = arrived("7");
			ASSERT_NE(p, nullptr) << c.name;
			EXPECT_TRUE(flood(p, c.start, c.unit, [&] {
				uint64_t n = s.hop.answer_body.written - total;

				most = std::max(most, n);
				total += n;
				if (s.hop.state == BRF_HOP_ANSWERED)
					brf_pipe_consume(&s.hop.answer_body,
					    brf_pipe_len(&s.hop.answer_body));
				return (total > length);
			})) << c.name;
			EXPECT_LE(most, 4 * BRF_PIPE_HIGH_WATER) << c.name;
			brf_hop_release(&s.hop);
			expect_given_back(p, c.name);
		}
		forget_peers();
	}
}

/* What the target says of itself in its answers. */
class mesh_gate_report : public mesh_gate
{
      protected:
	void
	announce(const char *id, uint64_t born, bool is_new)
	{
		brf_copy_name(notice.id, sizeof(notice.id), id);
		notice.born = born;
		notice.slots = 50;
		brf_mesh_gate_update_target(gate, &notice, is_new);
	}

	void
	SetUp() override
	{
		mesh_gate::SetUp();
		announce("t-1", 5, true);
	}

	static std::string
	stating(const std::string &id, const std::string &fields)
	{
		return ("HTTP/1.1 200 OK\r\nx-id: " + id +
			"\r\nx-seal: s\r\ncontent-length: 0\r\n" + fields +
			"\r\n");
	}

	raw_peer *
	peer_of(const std::string &id)
	{
		raw_peer *p = nullptr;

		until([&] {
			p = target.with("x-id: " + id + "\r\n");
			return (p != nullptr);
		});
		return (p);
	}

	/* Send a request, answer it with @fields, and wait for the reply. */
	void
	exchange(
	    struct sender &s, const std::string &id, const std::string &fields)
	{
		raw_peer *p;

		send(s, id.c_str());
		p = peer_of(id);
		ASSERT_NE(p, nullptr);
		answer(s, p, id, fields);
	}

	void
	answer(struct sender &s, raw_peer *p, const std::string &id,
	    const std::string &fields)
	{
		p->put(stating(id, fields));
		until([&] { return (s.hop.state != BRF_HOP_OPEN); });
		EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED) << id;
	}
};

TEST_F(mesh_gate_report, a_stated_limit_is_reported_and_kept)
{
	struct sender first, second;

	exchange(first, "1", "x-limit: 0.5\r\n");
	EXPECT_EQ(first.hop.report.self.rate_limit, 0.5);
	EXPECT_EQ(first.hop.report.born, 5u);
	EXPECT_TRUE(first.hop.report.self.heard);
	second.hop.request.max_wait_us = 0;
	send(second, "2", true, 1000000);
	until([&] { return (second.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(second.hop.state, BRF_HOP_REFUSED);
	EXPECT_EQ(second.hop.reason, BRF_R_RATE_LIMIT);
	EXPECT_FALSE(second.hop.arrived);
	EXPECT_FALSE(second.hop.marked);
	EXPECT_GT(second.hop.report.permit_wait_us, 1000000u);
}

TEST_F(mesh_gate_report, a_late_answer_to_an_earlier_request_ends_no_limit)
{
	struct sender early, limited, later;
	raw_peer *p;

	send(early, "1");
	p = peer_of("1");
	ASSERT_NE(p, nullptr);
	exchange(limited, "2", "x-limit: 1000\r\n");
	answer(early, p, "1", "");
	EXPECT_EQ(early.hop.report.self.rate_limit, 1000);
	exchange(later, "3", "");
	EXPECT_EQ(later.hop.report.self.rate_limit, 0);
}

TEST_F(mesh_gate_report, a_new_incarnation_has_neither_limit_nor_leaves)
{
	struct sender s, old, fresh;
	raw_peer *p;

	send(old, "1");
	p = peer_of("1");
	ASSERT_NE(p, nullptr);
	exchange(s, "2", "x-limit: 0.5\r\nx-leaving: 1\r\n");
	EXPECT_TRUE(s.hop.report.self.leaving);
	announce("t-1", 6, true);
	EXPECT_FALSE(brf_mesh_gate_target_leaves(gate));
	answer(old, p, "1", "x-limit: 0.5\r\nx-leaving: 1\r\n");
	exchange(fresh, "3", "");
	EXPECT_FALSE(fresh.hop.report.self.leaving);
	EXPECT_EQ(fresh.hop.report.self.rate_limit, 0);
	EXPECT_EQ(fresh.hop.report.born, 6u);
}

TEST_F(mesh_gate_report, a_target_that_leaves_gets_nothing_more)
{
	struct sender s, next;

	exchange(s, "1", "x-leaving: 1\r\n");
	announce("t-1", 5, false); /* it still says that it is ready */
	send(next, "2");
	until([&] { return (next.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(next.hop.state, BRF_HOP_REFUSED);
	EXPECT_EQ(next.hop.reason, BRF_R_DRAINING);
	EXPECT_TRUE(next.hop.report.self.leaving);
}

TEST_F(mesh_gate_report, a_gate_without_a_word_takes_that_of_a_sender)
{
	struct sender foreign, knowing, next;

	foreign.hop.request.rate_limit = 0.5;
	foreign.hop.request.born = 4; /* an earlier incarnation */
	send(foreign, "1");
	ASSERT_NE(peer_of("1"), nullptr);
	knowing.hop.request.rate_limit = 0.5;
	knowing.hop.request.born = 5;
	send(knowing, "2", true, 1000000);
	until([&] { return (knowing.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(knowing.hop.reason, BRF_R_RATE_LIMIT);
	EXPECT_EQ(knowing.hop.report.self.rate_limit, 0.5);
}

TEST_F(mesh_gate_report, a_sender_that_has_not_heard_of_the_end_changes_nothing)
{
	struct sender s, stale;

	exchange(s, "1", "");
	stale.hop.request.rate_limit = 0.5;
	stale.hop.request.born = 5;
	exchange(stale, "2", "");
	EXPECT_EQ(stale.hop.report.self.rate_limit, 0);
	EXPECT_TRUE(stale.hop.report.self.heard);
}

} // namespace
