#include <sstream>

#include "link_fake.h"
#include "mesh/call.h"
#include "mesh/gate.h"
#include "store_fake.h"

namespace
{

/* Reads "REVISION ATTEMPTS PREFIX...", a table of repeatable routes to "s". */
struct brf_table *
read_table(const char *text, size_t len, struct brf_error *err)
{
	const struct brf_flow_limits limits = { 16384, 100000,
		30 * BRF_US_PER_S, 30 * BRF_US_PER_S };
	struct brf_table_service service = { "s", 100 };
	struct brf_workspace_weight share = { 0, 1 };
	std::istringstream in(std::string(text, len));
	uint64_t revision;
	uint32_t attempts;
	std::string prefix;

	in >> revision >> attempts;
	struct brf_table *t = brf_table_new(revision, &limits);
	brf_table_add_service(t, &service);
	while (in >> prefix) {
		struct brf_route r = { prefix.c_str(), "h", prefix.c_str(),
			60 * BRF_US_PER_S, BRF_US_PER_S, 0, attempts, true,
			&share, 1 };

		EXPECT_TRUE(brf_table_add_route(t, &r, err));
	}
	return (t);
}

void
ignore(void *arg)
{
	(void)arg;
}

void
ignore_target(void *arg, const struct brf_directory_target *t)
{
	(void)arg;
	(void)t;
}

/* A node whose only target is the one beside it. */
class mesh_call : public ::testing::Test
{
      protected:
	struct flow_bench bench;
	raw_listener target;
	raw_peer client;
	struct brf_random_seeded random;
	struct brf_mesh_tables tables;
	struct brf_mesh_services services;
	struct brf_directory_target entry = {};
	struct brf_mesh_gate *gate = nullptr;
	struct brf_mesh_calls calls = {};
	struct brf_flow_server *srv = nullptr;
	uint16_t port = 0;
	int closing = 2;
	raw_peer *first = nullptr; /* got the requests 1 and 2 */
	raw_peer *second = nullptr;

	void
	SetUp() override
	{
		brf_random_seeded_init(&random, 1);
		brf_mesh_tables_init(&tables, &bench.scheduler.clock,
		    read_table, ignore, nullptr);
		put_table("1 1 /a/ /b/");
		start_gate();
		add_target();
		start_entry();
		client.connect_to(port);
	}

	void
	put_table(const std::string &text)
	{
		struct brf_table_source source = {};

		source.kind = "store";
		source.relay = "";
		EXPECT_TRUE(brf_mesh_tables_offer(
		    &tables, text.data(), text.size(), &source));
	}

	void
	start_gate()
	{
		struct brf_mesh_gate_config config = { &bench.loop,
			&bench.scheduler.tasks, bench.scheduler.timers,
			bench.metrics, &random.random, &test_names, &tables,
			&services, loopback(target.port) };
		gate = brf_mesh_gate_new(&config);
		set_slots(20, true);
	}

	void
	set_slots(uint32_t slots, bool is_new)
	{
		struct brf_target_announcement notice = {};

		brf_copy_name(notice.id, sizeof(notice.id), "t-1");
		brf_copy_name(notice.service, sizeof(notice.service), "s");
		notice.slots = slots;
		brf_mesh_gate_update_target(gate, &notice, is_new);
	}

	/* Its address is that of the node, so that it is reached directly. */
	void
	add_target(struct brf_links *links = nullptr)
	{
		struct brf_mesh_services_config config = {};

		config.links = links;
		config.timers = bench.scheduler.timers;
		config.zone = config.region = "z";
		config.retry_budget_ratio = 1;
		config.retry_budget_window_us = 10 * BRF_US_PER_S;
		brf_mesh_services_init(&services, &config);
		services.own_target_seen = ignore_target;
		brf_copy_name(entry.entry.id, sizeof(entry.entry.id), "t-1");
		brf_copy_name(
		    entry.entry.service, sizeof(entry.entry.service), "s");
		entry.entry.slots = 20;
		entry.entry.state = BRF_TARGET_READY;
		services.watcher.changed(&services.watcher, &entry, true);
	}

	void
	start_entry()
	{
		struct brf_flow_server_config config = { &bench.loop,
			&bench.scheduler.tasks, bench.scheduler.timers,
			bench.metrics, &test_names, &tables.limits,
			&calls.handler, "entry" };
		struct sockaddr_in addr = loopback(0);

		calls.tasks = &bench.scheduler.tasks;
		calls.timers = bench.scheduler.timers;
		calls.random = &random.random;
		calls.metrics = bench.metrics;
		calls.tables = &tables;
		calls.services = &services;
		calls.gate = gate;
		calls.service = "s";
		brf_mesh_calls_init(&calls);
		srv = brf_flow_server_new(
		    &config, (struct sockaddr *)&addr, &port, nullptr);
		ASSERT_NE(srv, nullptr);
	}

	static void
	one_closed(void *arg)
	{
		static_cast<mesh_call *>(arg)->closing--;
	}

	void
	TearDown() override
	{
		brf_flow_server_close(srv, one_closed, this);
		brf_mesh_gate_close(gate, one_closed, this);
		EXPECT_TRUE(bench.until([&] { return (closing == 0); }));
		EXPECT_EQ(calls.open_count, 0u);
		services.watcher.removed(&services.watcher, &entry);
		brf_flow_server_free(srv);
		brf_mesh_gate_free(gate);
		brf_mesh_services_finish(&services);
		brf_mesh_tables_finish(&tables);
	}

	bool
	until(const std::function<bool()> &done)
	{
		return (bench.until([&] {
			target.serve();
			client.get();
			return (done());
		}));
	}

	static std::string
	get(const std::string &path, const std::string &id)
	{
		return ("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
			"\r\nX-Timeout: 50000\r\n\r\n");
	}

	/* The connection on which the target got the request @id. */
	raw_peer *
	arrived(const std::string &id)
	{
		raw_peer *p = nullptr;

		until([&] {
			p = target.with("X-Id: " + id + "\r\n");
			return (p != nullptr);
		});
		return (p);
	}

	static std::string
	head(const std::string &id, size_t length)
	{
		return ("HTTP/1.1 200 OK\r\nx-id: " + id +
			"\r\nx-seal: s\r\ncontent-length: " +
			std::to_string(length) + "\r\n\r\n");
	}

	/* Send two requests at once, and wait until both have arrived. */
	void
	send_two(const std::string &requests)
	{
		client.put(requests);
		first = arrived("1");
		second = arrived("2");
		ASSERT_NE(first, nullptr);
		ASSERT_NE(second, nullptr);
	}

	/* The second answer is sent last; wait for it. */
	void
	answer_second()
	{
		second->put(head("2", 6) + "second");
		until([&] {
			return (client.ended ||
				client.got.find("second") != std::string::npos);
		});
	}

	size_t
	answers(const std::string &status)
	{
		const std::string line = "HTTP/1.1 " + status;
		size_t n = 0, at = 0;

		for (; (at = client.got.find(line, at)) != std::string::npos;
		     at++)
			n++;
		return (n);
	}
};

TEST_F(mesh_call, a_route_may_be_dropped_while_its_requests_run)
{
	raw_peer *p;

	client.put(get("/a/1", "1"));
	p = arrived("1");
	ASSERT_NE(p, nullptr);
	put_table("2 1 /b/");
	p->put(head("1", 2) + "ok");
	until([&] { return (answers("200") == 1); });
	EXPECT_EQ(answers("200"), 1u);
}

/* Open requests were closed without an answer when the process exited. */
TEST_F(mesh_call, what_is_open_at_the_exit_is_answered)
{
	raw_peer *p;

	client.put(get("/a/1", "1"));
	p = arrived("1");
	ASSERT_NE(p, nullptr);
	brf_mesh_calls_give_up(&calls);
	until([&] { return (answers("502") == 1); });
	EXPECT_EQ(answers("502"), 1u);
	until([&] { return (p->ended); });
	EXPECT_TRUE(p->ended);
}

/* A held answer is the target's, and is not replaced. */
TEST_F(mesh_call, a_held_answer_is_passed_on_at_the_exit)
{
	send_two(get("/a/1", "1") + get("/a/2", "2"));
	first->put(head("1", 5) + "fi");
	until([&, n = 50]() mutable { return (n-- <= 0); });
	bench.pause(100); /* the gate no longer holds it */
	until([&, n = 50]() mutable { return (n-- <= 0); });
	brf_mesh_calls_give_up(&calls);
	first->put("rst");
	until([&] { return (answers("502") == 1); });
	EXPECT_NE(client.got.find("first"), std::string::npos);
	EXPECT_EQ(answers("502"), 1u);
}

/* Break the answer to request "1" after its head and some of its body. */
struct broken_answer {
	const char *what;
	size_t length;
	size_t sent;
	unsigned pause_ms;
};

class mesh_call_broken : public mesh_call,
			 public ::testing::WithParamInterface<broken_answer>
{
      protected:
	/* Two pipelined requests; the first answer breaks off. */
	void
	break_first_answer()
	{
		const struct broken_answer &b = GetParam();

		send_two(get("/a/1", "1") + get("/a/2", "2"));
		first->put(head("1", b.length) + std::string(b.sent, 'x'));
		bench.pause(b.pause_ms);
		until([&, n = 50]() mutable { return (n-- <= 0); });
		first->drop();
		until([&, n = 50]() mutable { return (n-- <= 0); });
		second->put(head("2", 6) + "second");
	}
};

TEST_P(mesh_call_broken, the_request_behind_it_is_answered)
{
	break_first_answer();
	until([&] {
		return (client.ended ||
			client.got.find("second") != std::string::npos);
	});
	EXPECT_EQ(answers("502"), 1u);
	EXPECT_EQ(answers("200"), 1u);
	EXPECT_LT(client.got.find(" 502 "), client.got.find("second"));
	EXPECT_FALSE(client.ended);
}

TEST_F(mesh_call, a_held_answer_incomplete_at_its_deadline_ends_only_itself)
{
	send_two("GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
		 "X-Timeout: 100\r\n\r\n" +
		 get("/a/2", "2"));
	first->put(head("1", 8) + "part");
	until([&] { return (answers("504") == 1); });
	EXPECT_EQ(answers("504"), 1u);
	until([&] { return (first->ended); });
	answer_second();
	EXPECT_EQ(answers("200"), 1u);
	EXPECT_FALSE(client.ended);
}

TEST_F(mesh_call, an_answer_that_is_late_and_broken_ends_only_itself)
{
	send_two("GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
		 "X-Timeout: 100\r\n\r\n" +
		 get("/a/2", "2"));
	first->put(head("1", 8) + "part");
	bench.pause(300);
	first->drop();
	until([&, n = 50]() mutable { return (n-- <= 0); });
	answer_second();
	EXPECT_NE(client.got.find("second"), std::string::npos);
	EXPECT_FALSE(client.ended);
}

/* A node whose only target is beside another node. */
class mesh_call_remote : public mesh_call
{
      protected:
	linked_node own, other;
	struct moved_clock clock;
	int links_closed = 0;

	mesh_call_remote()
	    : own(bench, "a", "s"), other(bench, "b", "s"), clock(bench)
	{
	}

	static void
	flush(void *arg)
	{
		auto *t = static_cast<mesh_call_remote *>(arg);

		brf_links_flush(t->own.links);
		brf_links_flush(t->other.links);
	}

	void
	SetUp() override
	{
		bench.scheduler.after_tasks = flush;
		bench.scheduler.arg = this;
		entry.entry.gate = other.addr;
		brf_random_seeded_init(&random, 1);
		brf_mesh_tables_init(&tables, &bench.scheduler.clock,
		    read_table, ignore, nullptr);
		put_table("1 1 /a/ /b/");
		start_gate();
		add_target(own.links);
		start_entry();
		client.connect_to(port);
	}

	void
	TearDown() override
	{
		mesh_call::TearDown();
		for (auto *links : { own.links, other.links })
			brf_links_close(
			    links,
			    [](void *arg) { ++*static_cast<int *>(arg); },
			    &links_closed);
		EXPECT_TRUE(bench.until([&] { return (links_closed == 2); }));
		bench.scheduler.after_tasks = nullptr;
		brf_links_free(own.links);
		brf_links_free(other.links);
	}

	/* A request whose answer begins, and is read as far as it came. */
	struct brf_hop *
	begin_answer(const std::string &timeout_ms)
	{
		struct brf_hop *hop;

		client.put("GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
			   "X-Timeout: " +
			   timeout_ms + "\r\n\r\n");
		until([&] { return (!other.gate.open.empty()); });
		if (other.gate.open.empty())
			return (nullptr);
		hop = other.gate.open.front();
		other.gate.answer(hop, 200, "");
		brf_pipe_write(&hop->answer_body, "part", 4);
		until([&] {
			return (client.got.find("part") != std::string::npos);
		});
		return (hop);
	}
};

/* The other node stops in the middle of the answer. */
TEST_F(mesh_call_remote, an_answer_that_another_gate_owes_ends_at_its_deadline)
{
	ASSERT_NE(begin_answer("1000"), nullptr);
	clock.move(BRF_US_PER_S * 9 / 10);
	until([&, n = 50]() mutable { return (n-- <= 0); });
	EXPECT_FALSE(client.ended);
	for (int i = 0; i < 12; i++)
		clock.move(50 * BRF_US_PER_MS);
	until([&] { return (client.ended); });
	EXPECT_TRUE(client.ended);
	EXPECT_TRUE(until([&] { return (other.gate.open.empty()); }));
}

/* The gate ends what its target owes, so that what still comes is ready. */
TEST_F(mesh_call_remote, an_answer_on_its_way_is_delivered_after_its_deadline)
{
	struct brf_hop *hop = begin_answer("1000");

	ASSERT_NE(hop, nullptr);
	clock.move(BRF_US_PER_S);
	for (int i = 0; i < 20; i++) {
		brf_pipe_write(&hop->answer_body, "more", 4);
		until([&, n = 20]() mutable { return (n-- <= 0); });
		clock.move(50 * BRF_US_PER_MS);
	}
	brf_pipe_end(&hop->answer_body);
	until([&] {
		return (client.ended ||
			client.got.find("0\r\n\r\n") != std::string::npos);
	});
	EXPECT_NE(client.got.find("0\r\n\r\n"), std::string::npos);
	EXPECT_FALSE(client.ended);
}

/* The target may work on what it has of a body that stops: 408 says that it
 * did not run. */
TEST_F(mesh_call, a_body_that_stops_is_no_proof_that_nothing_ran)
{
	struct moved_clock clock(bench);

	client.put("POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
		   "X-Timeout: 50000\r\nContent-Length: 9\r\n\r\nabc");
	ASSERT_NE(arrived("1"), nullptr);
	clock.move(31 * BRF_US_PER_S);
	until([&] { return (client.got.find("HTTP/1.1 ") == 0); });
	EXPECT_EQ(answers("504"), 1u);
}

/* A request that waits for a slot beside the node that it began at. */
TEST_F(mesh_call, a_waiting_request_keeps_its_caller_when_the_service_changes)
{
	char service[] = "before";
	raw_peer waiting;

	set_slots(1, true);
	calls.service = service;
	client.put(get("/a/1", "1"));
	first = arrived("1");
	ASSERT_NE(first, nullptr);
	waiting.connect_to(port);
	waiting.put(get("/a/2", "2"));
	until([&] { return (calls.open_count == 2); });
	for (int i = 0; i < 20; i++) {
		bench.turns(1);
		target.serve();
	}
	ASSERT_EQ(target.with("X-Id: 2\r\n"), nullptr) << "it waits";
	memcpy(service, "after!", sizeof(service));
	first->put(head("1", 1) + "x");
	second = arrived("2");
	ASSERT_NE(second, nullptr);
	EXPECT_EQ(second->got.find(service), std::string::npos) << second->got;
	second->put(head("2", 1) + "x");
	until([&] {
		waiting.get();
		return (calls.open_count == 0);
	});
}

/* Uploads whose targets' gate gives up at the deadline. */
class mesh_call_upload : public mesh_call
{
      protected:
	static const int tries = 6; /* twice what ejects a target */
	int count = 0;

	void
	upload(const std::string &length)
	{
		const std::string id = "id-" + std::to_string(++count);
		struct moved_clock clock(bench);
		raw_peer caller;

		caller.connect_to(port);
		caller.put("POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
			   "\r\nX-Timeout: 2000\r\nContent-Length: " + length +
			   "\r\n\r\nabc");
		ASSERT_NE(arrived(id), nullptr);
		clock.move(2 * BRF_US_PER_S);
		until([&] {
			caller.get();
			return (caller.got.find("HTTP/1.1 504") == 0);
		});
		EXPECT_EQ(caller.got.find("HTTP/1.1 504"), 0u);
	}

	size_t
	ejected()
	{
		return (brf_mesh_services_count_ejected(&services));
	}
};

/* One caller must not take a sound target from all others. */
TEST_F(mesh_call_upload, that_stalls_does_not_eject_its_target)
{
	while (count < tries)
		upload("9");
	EXPECT_EQ(ejected(), 0u);
}

TEST_F(mesh_call_upload, that_is_whole_and_has_no_answer_ejects_its_target)
{
	/* a slow test may be answered by the sender's own timer at times */
	while (count < tries * 3 && ejected() == 0)
		upload("3");
	EXPECT_EQ(ejected(), 1u);
}

TEST_F(mesh_call, a_long_answer_is_passed_on)
{
	std::string rest = head("1", 300000) + std::string(300000, 'x');

	send_two(get("/a/1", "1") + get("/a/2", "2"));
	second->put(head("2", 6) + "second");
	until([&] {
		rest = first->put(rest);
		return (client.got.find("second") != std::string::npos);
	});
	EXPECT_NE(client.got.find("second"), std::string::npos);
	EXPECT_GT(client.got.size(), 300000u);
}

/* Requests behind a long answer that broke off had run, and got no answer. */
TEST_F(mesh_call, a_long_answer_that_breaks_off_ends_only_itself)
{
	std::string rest = head("1", 300000) + std::string(250000, 'x');

	send_two(get("/a/1", "1") + get("/a/2", "2"));
	until([&] {
		rest = first->put(rest);
		return (rest.empty() && calls.retained >= 150000);
	});
	EXPECT_EQ(client.got, "");
	first->drop();
	until([&] { return (calls.retained == 0); });
	EXPECT_EQ(calls.retained, 0u);
	answer_second();
	EXPECT_EQ(answers("502"), 1u);
	EXPECT_EQ(answers("200"), 1u);
	EXPECT_FALSE(client.ended);
}

/* Sends part of an answer of 4,000,000 bytes. */
class mesh_call_long : public mesh_call
{
      protected:
	void
	check_passed_on(const char *timeout_ms, size_t sent)
	{
		std::string rest = head("1", 4000000) + std::string(sent, 'x');

		send_two("GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
			 "X-Timeout: " +
			 std::string(timeout_ms) + "\r\n\r\n" +
			 get("/a/2", "2"));
		until([&] {
			rest = first->put(rest);
			EXPECT_LE(calls.retained, 1u << 20);
			return (client.got.size() > sent);
		});
		EXPECT_GT(client.got.size(), sent);
		EXPECT_EQ(answers("200"), 1u);
		client.drop();
		until([&] { return (calls.open_count == 0); });
		EXPECT_EQ(calls.retained, 0u);
	}
};

TEST_F(mesh_call_long, an_answer_that_is_too_long_to_hold_is_passed_on)
{
	check_passed_on("50000", 3000000);
}

TEST_F(mesh_call_long, an_incomplete_answer_is_passed_on_at_its_deadline)
{
	check_passed_on("300", 200000);
}

TEST_F(mesh_call, a_long_chunked_answer_is_passed_on)
{
	std::string rest = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n"
			   "transfer-encoding: chunked\r\n\r\n";

	for (int i = 0; i < 3000; i++)
		rest += "7\r\nabcdefg\r\n";
	for (int i = 0; i < 60; i++)
		rest += "3e7\r\n" + std::string(999, 'y') + "\r\n";
	rest += "0\r\n\r\n";
	send_two(get("/a/1", "1") + get("/a/2", "2"));
	second->put(head("2", 6) + "second");
	until([&] {
		rest = first->put(rest);
		return (client.got.find("second") != std::string::npos);
	});
	EXPECT_NE(client.got.find("second"), std::string::npos);
}

TEST_F(mesh_call, a_caller_that_leaves_cancels_a_held_answer)
{
	send_two(get("/a/1", "1") + get("/a/2", "2"));
	first->put(head("1", 8) + "part");
	bench.pause(100);
	client.drop();
	until([&] { return (first->ended && second->ended); });
	EXPECT_TRUE(first->ended && second->ended);
}

TEST_F(mesh_call, answers_without_a_body_are_not_held)
{
	send_two("HEAD /a/1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n" +
		 get("/a/2", "2") + get("/a/3", "3"));
	ASSERT_NE(arrived("3"), nullptr);
	first->put(head("1", 800));
	until([&] { return (answers("200") == 1); });
	EXPECT_EQ(answers("200"), 1u);
	second->put("HTTP/1.1 304 X\r\nx-id: 2\r\nx-seal: s\r\n"
		    "content-length: 500\r\n\r\n");
	until([&] { return (answers("304") == 1); });
	EXPECT_EQ(answers("304"), 1u);
	EXPECT_FALSE(client.ended);
}

TEST_F(mesh_call, an_answer_that_nothing_follows_is_passed_on_at_once)
{
	raw_peer *first;

	client.put(get("/a/1", "1"));
	first = arrived("1");
	ASSERT_NE(first, nullptr);
	first->put(head("1", 8) + "part");
	until([&] { return (client.got.find("part") != std::string::npos); });
	EXPECT_NE(client.got.find("part"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(causes, mesh_call_broken,
    ::testing::Values(
	broken_answer{ "longer than a gate holds", 60000, 40000, 0 },
	broken_answer{ "slower than a gate waits", 1000, 400, 60 }));

/* Requests of service "s" under which targets have crashed. */
class mesh_call_crash : public mesh_call
{
      protected:
	struct fake_store store;
	struct brf_mesh_crashes *crashes = nullptr;

	void
	SetUp() override
	{
		struct brf_mesh_crashes_config config = { &store.store,
			bench.scheduler.timers, &random.random, bench.metrics,
			"n" };

		mesh_call::SetUp();
		crashes = brf_mesh_crashes_new(&config);
		calls.crashes = crashes;
	}

	void
	TearDown() override
	{
		mesh_call::TearDown();
		brf_mesh_crashes_free(crashes);
	}

	void
	crash(const char *method, const char *path, const std::string &body,
	    int times)
	{
		struct brf_body_hash hash = {};
		struct brf_request_key key;

		brf_body_hash_add(&hash, body.data(), body.size());
		key.head = brf_request_head_hash(method, "h", path);
		key.body = brf_body_hash_value(&hash);
		brf_body_hash_free(&hash);
		for (int i = 1; i <= times; i++)
			brf_crash_log_add(crashes->log, "s", &key, (uint64_t)i,
			    brf_now(&bench.scheduler.clock));
	}

	static std::string
	post(const std::string &id, size_t length)
	{
		return ("POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
			"\r\nContent-Length: " + std::to_string(length) +
			"\r\n\r\n");
	}
};

TEST_F(mesh_call_crash, a_request_that_crashed_three_targets_is_not_run)
{
	size_t at;

	crash("GET", "/a/1", "", 3);
	client.put(get("/a/1", "1") + get("/a/2", "2"));
	raw_peer *p = arrived("2");
	ASSERT_NE(p, nullptr);
	p->put(head("2", 0));
	until([&] { return (answers("200") == 1); });
	EXPECT_EQ(answers("503"), 1u);
	EXPECT_EQ(target.with("X-Id: 1\r\n"), nullptr);
	at = client.got.find("retry-after: ");
	ASSERT_NE(at, std::string::npos);
	EXPECT_GE(std::stoul(client.got.substr(at + 13)), 599u);
}

TEST_F(mesh_call_crash, bodies_tell_requests_apart)
{
	crash("POST", "/a/1", "deadly", 3);
	client.put(post("1", 6));
	bench.turns(50);
	EXPECT_EQ(target.with("X-Id: 1\r\n"), nullptr) << "not judged yet";
	client.put("deadly");
	until([&] { return (answers("503") == 1); });
	EXPECT_EQ(answers("503"), 1u);

	client.put(post("2", 6) + "lively");
	raw_peer *p = arrived("2");
	ASSERT_NE(p, nullptr);
	until([&] { return (p->got.find("lively") != std::string::npos); });
	p->put(head("2", 0));
	until([&] { return (answers("200") == 1); });
	EXPECT_EQ(answers("200"), 1u);
	EXPECT_EQ(target.with("X-Id: 1\r\n"), nullptr);
}

TEST_F(mesh_call_crash, a_request_that_crashed_two_spares_the_last_target)
{
	crash("GET", "/a/1", "", 2);
	client.put(get("/a/1", "1"));
	until([&] { return (answers("503") == 1); });
	EXPECT_EQ(answers("503"), 1u);

	client.got.clear();
	crash("GET", "/a/2", "", 1);
	client.put(get("/a/2", "2"));
	EXPECT_NE(arrived("2"), nullptr) << "one crash proves nothing";
}

/* Otherwise it could never be answered while there is one target. */
TEST_F(mesh_call_crash, the_last_target_is_spared_for_a_minute_only)
{
	struct brf_request_key key = {
		brf_request_head_hash("GET", "h", "/a/1"), 0
	};
	uint64_t at = brf_now(&bench.scheduler.clock) - 61 * BRF_US_PER_S;

	for (uint64_t i = 1; i <= 2; i++)
		brf_crash_log_add(crashes->log, "s", &key, i, at);
	client.put(get("/a/1", "1"));
	EXPECT_NE(arrived("1"), nullptr);
}

TEST_F(mesh_call_crash, an_answer_clears_a_request_for_all_nodes)
{
	crash("GET", "/a/1", "", 1);
	client.put(get("/a/1", "1"));
	raw_peer *p = arrived("1");
	ASSERT_NE(p, nullptr);
	crash("GET", "/a/1", "", 3);
	p->put(head("1", 0));
	until([&] { return (answers("200") == 1); });
	bench.turns(20);
	ASSERT_EQ(store.waiting.size(), 1u) << "a lease for the clearance";
	store.process_next_call(DELIVER);
	ASSERT_EQ(store.waiting.size(), 1u);
	EXPECT_EQ(store.waiting.front().key.find(BRF_CLEARANCE_PREFIX), 0u);

	client.put(get("/a/1", "2"));
	EXPECT_NE(arrived("2"), nullptr);
}

} // namespace
