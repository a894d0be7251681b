#include "flow_fake.h"
#include "mesh/gate.h"

namespace
{

/* One hop as its sender holds it. */
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
	struct brf_notice notice = {};
	struct brf_random_seeded random;
	struct brf_mesh_tables tables;
	struct brf_mesh_services services = {};
	bool closed = false;

	void
	SetUp() override
	{
		struct brf_mesh_gate_config config = { &bench.loop,
			&bench.scheduler.tasks, bench.scheduler.timers, bench.metrics,
			&random.random, &test_names, &tables, &services,
			loopback(target.port) };

		brf_random_seeded_init(&random, 1);
		brf_mesh_tables_init(
		    &tables, &bench.scheduler.clock, nullptr, nullptr, nullptr);

		gate = brf_mesh_gate_new(&config);
		brf_copy_name(notice.id, sizeof(notice.id), "t-1");
		brf_copy_name(notice.service, sizeof(notice.service), "s");
		notice.slots = 3; /* two are used */
		notice.sequence = 1;
		brf_mesh_gate_notice(gate, &notice, true);
	}

	void
	TearDown() override
	{
		brf_mesh_gate_close(
		    gate, [](void *arg) { *static_cast<bool *>(arg) = true; },
		    &closed);
		EXPECT_TRUE(bench.until([&] { return (closed); }));
		EXPECT_EQ(brf_mesh_gate_open(gate), 0u);
		brf_mesh_gate_free(gate);
		brf_mesh_tables_finish(&tables);
	}

	void
	send(struct sender &s, const char *id, bool repeatable = true,
	    uint64_t left_us = 60000000)
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
		rq->deadline = brf_now(&bench.scheduler.clock) + left_us;
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

	/* Wait until the request @id is at the target. */
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
	whole(const std::string &id, const std::string &body)
	{
		return ("HTTP/1.1 200 OK\r\nx-id: " + id +
			"\r\nx-seal: s\r\ncontent-length: " +
			std::to_string(body.size()) + "\r\n\r\n" + body);
	}
};

TEST_F(mesh_gate, a_request_carries_what_the_target_needs)
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
	p->put(whole("7", "hello"));
	until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
	EXPECT_EQ(s.body(), "hello");
	EXPECT_EQ(s.hop.answer_body.state, BRF_PIPE_ENDED);
}

struct answer_case {
	const char *what;
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

/* What is said of a request by what its target did. */
TEST_F(mesh_gate, answers_in_a_table)
{
	const std::vector<struct answer_case> cases = {
		{ "whole", whole("7", "abc"), answer_case::KEEP,
		    BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "whole in chunks",
		    ok + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
			 "\r\n",
		    answer_case::KEEP, BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "ended by the connection", ok + "\r\nabc", answer_case::CLOSE,
		    BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "reset together with the last bytes", ok + "\r\nab",
		    answer_case::RESET, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "shorter than it says", ok + "content-length: 9\r\n\r\nabc",
		    answer_case::CLOSE, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "torn between chunks",
		    ok + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
		    answer_case::CLOSE, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "no HTTP", "garbage\r\n\r\n", answer_case::KEEP,
		    BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER, true },
		{ "closed without a word", "", answer_case::CLOSE,
		    BRF_HOP_FAILED, BRF_R_TARGET_LOST, true },
		{ "reset without a word", "", answer_case::RESET,
		    BRF_HOP_FAILED, BRF_R_TARGET_LOST, true },
		{ "success without a seal",
		    "HTTP/1.1 200 OK\r\nx-id: 7\r\ncontent-length: 0\r\n\r\n",
		    answer_case::KEEP, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "success in a coding nobody asked for",
		    ok + "content-encoding: gzip\r\ncontent-length: 1\r\n\r\n"
			 "x",
		    answer_case::KEEP, BRF_HOP_FAILED, BRF_R_BROKEN_ANSWER,
		    true },
		{ "shed by the target",
		    "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n"
		    "\r\n",
		    answer_case::KEEP, BRF_HOP_REFUSED, BRF_R_TARGET_SHED,
		    true },
		{ "another target has the address",
		    "HTTP/1.1 421 X\r\nx-instance: t-9\r\ncontent-length: 0"
		    "\r\n\r\n",
		    answer_case::KEEP, BRF_HOP_REFUSED, BRF_R_NO_TARGET, true },
		{ "failure of the target",
		    "HTTP/1.1 500 X\r\nx-id: 7\r\nx-seal: s\r\n"
		    "content-length: 0\r\n\r\n",
		    answer_case::KEEP, BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "an answer to another request, then its own",
		    whole("6", "late") + whole("7", "own"), answer_case::KEEP,
		    BRF_HOP_ANSWERED, BRF_R_NONE, true },
		{ "its own, then a second one",
		    whole("7", "own") + whole("7", "own"), answer_case::KEEP,
		    BRF_HOP_ANSWERED, BRF_R_NONE, true },
	};

	for (const auto &c : cases) {
		struct sender s;
		raw_peer *p;

		send(s, "7");
		p = arrived("7");
		ASSERT_NE(p, nullptr) << c.what;
		p->put(c.bytes);
		if (c.after == answer_case::RESET)
			reset_on_drop(*p);
		if (c.after != answer_case::KEEP)
			p->drop();
		until([&] { return (s.hop.state != BRF_HOP_OPEN); });
		EXPECT_EQ(s.hop.state, c.state) << c.what;
		EXPECT_EQ(s.hop.reason, c.reason) << c.what;
		EXPECT_EQ(s.hop.arrived, c.arrived) << c.what;
		if (c.state == BRF_HOP_ANSWERED &&
		    c.bytes.find("own") != std::string::npos) {
			EXPECT_EQ(s.body(), "own") << c.what;
		}
		brf_hop_release(&s.hop);
		bench.turns(20);
		for (auto *peer : target.peers)
			delete peer;
		target.peers.clear();
		bench.turns(20);
	}
}

TEST_F(mesh_gate, a_target_that_cannot_be_reached_has_not_run_it)
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

TEST_F(mesh_gate, a_draining_target_gets_nothing_new_and_ends_what_it_has)
{
	struct sender running, late;
	raw_peer *p;

	send(running, "7");
	p = arrived("7");
	ASSERT_NE(p, nullptr);
	notice.state = BRF_TARGET_DRAINING;
	brf_mesh_gate_notice(gate, &notice, false);
	send(late, "8");
	until([&] { return (late.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(late.hop.state, BRF_HOP_REFUSED);
	EXPECT_EQ(late.hop.reason, BRF_R_DRAINING);
	p->put(whole("7", "done"));
	until([&] { return (running.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(running.hop.state, BRF_HOP_ANSWERED);
}

TEST_F(mesh_gate, a_hop_for_another_life_is_refused)
{
	struct sender other;

	notice.sequence = 1;
	brf_copy_name(notice.id, sizeof(notice.id), "t-2");
	brf_mesh_gate_notice(gate, &notice, true);
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

TEST_F(mesh_gate, no_more_run_than_the_target_has_slots)
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
	p->put(whole("1", "a"));
	until([&] { return (target.requests() == 3); });
	EXPECT_EQ(target.requests(), 3u);
}

TEST_F(mesh_gate, kept_connections_are_used_again)
{
	for (int i = 0; i < 5; i++) {
		struct sender s;
		std::string id = std::to_string(i);
		size_t before = target.requests();

		send(s, id.c_str());
		until([&] { return (target.requests() == before + 1); });
		ASSERT_EQ(target.peers.size(), 1u);
		target.peers[0]->put(whole(id, "x"));
		until([&] { return (s.hop.state != BRF_HOP_OPEN); });
		EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
		brf_hop_release(&s.hop);
	}
}

TEST_F(mesh_gate, bytes_on_an_idle_connection_end_it)
{
	struct sender s, next;

	send(s, "7");
	arrived("7");
	target.peers[0]->put(whole("7", "x"));
	until([&] { return (s.hop.state != BRF_HOP_OPEN); });
	brf_hop_release(&s.hop);
	target.peers[0]->put(whole("7", "again"));
	EXPECT_TRUE(until([&] { return (target.peers[0]->ended); }));
	send(next, "8");
	until([&] { return (target.requests() == 2); });
	ASSERT_EQ(target.peers.size(), 2u);
	target.peers[1]->put(whole("8", "y"));
	until([&] { return (next.hop.state != BRF_HOP_OPEN); });
	EXPECT_EQ(next.body(), "y");
}

} // namespace
