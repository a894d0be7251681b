#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "gate_fake.h"
#include "wire/client.h"
#include "wire/codec.h"
#include "wire/handshake.h"
#include "wire/peer.h"
#include "wire/rpc.h"

namespace
{

const char fleet_key[] = "fleet key";
const struct brf_id callee_id = { 7, 7 };
const struct brf_id caller_id = { 8, 8 };

/* A node whose gate is controlled by the test. */
struct node {
	struct brf_metrics *metrics = brf_metrics_new();
	struct brf_random_seeded random;
	struct gate_fake gate;
	struct brf_peers *peers;
	uint16_t port = 0;

	node(uv_loop_t *loop, struct brf_timers *timers, struct brf_id id,
	    struct brf_document_source *documents)
	{
		struct brf_peers_config c = {};
		struct sockaddr_in addr;

		brf_random_seeded_init(&random, id.lo);
		c.loop = loop;
		c.timers = timers;
		c.random = &random.random;
		c.metrics = metrics;
		c.gate = &gate.backend;
		c.documents = documents;
		c.self = { id, 1 };
		c.key_len = sizeof(fleet_key);
		memcpy(c.key, fleet_key, sizeof(fleet_key));
		c.idle_us = 60 * BRF_US_PER_S;
		c.connect_us = BRF_US_PER_S;
		peers = brf_peers_new(&c);
		uv_ip4_addr("127.0.0.1", 0, &addr);
		EXPECT_TRUE(brf_peers_listen(
		    peers, (struct sockaddr *)&addr, &port, nullptr));
	}

	double
	errors(enum brf_errc code)
	{
		std::string label =
		    std::string("error=\"") + brf_error_name(code) + "\"";
		return (brf_metrics_counter(
		    metrics, "brf_peer_errors_total", "", label.c_str())
			    ->value);
	}

	double
	connections()
	{
		return (
		    brf_metrics_gauge(metrics, "brf_peer_connections", "", "")
			->value);
	}
};

/* An exchange that records how it ended. */
struct test_call {
	struct brf_exchange x = {};
	int ends = 0;
	struct brf_reply reply = {};
	std::string body;

	test_call(uint64_t id, const std::string &text, uint64_t timeout_us)
	{
		x.attempt.id = { 99, id };
		x.attempt.timeout_us = timeout_us;
		x.attempt.retries = 2;
		x.attempt.request = brf_message_new();
		brf_copy_name(x.attempt.request->method, 16, "GET");
		brf_message_set_path(x.attempt.request, "/", 1, nullptr);
		brf_buf_add(&x.attempt.request->body, text.data(), text.size());
		x.done = [](struct brf_exchange *ended,
			     const struct brf_reply *r) {
			struct test_call *s = (struct test_call *)ended;
			s->ends++;
			s->reply = *r;
			if (r->answer != nullptr)
				s->body.assign(r->answer->body.data != nullptr
						   ? r->answer->body.data
						   : "",
				    r->answer->body.len);
		};
	}
	test_call(const test_call &) = delete;
	~test_call()
	{
		brf_message_unref(x.attempt.request);
	}
};

/* A socket outside the loop, which can violate the protocol. */
struct raw_socket {
	int fd = -1;
	bool eof = false;
	size_t bytes_sent = 0;
	struct brf_record_reader reader = {};
	std::string record;

	~raw_socket()
	{
		brf_record_reader_free(&reader);
		if (fd >= 0)
			close(fd);
	}

	void
	send(const std::string &bytes)
	{
		bytes_sent += bytes.size();
		EXPECT_EQ(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
		    (ssize_t)bytes.size());
	}

	/* Whether a complete record has arrived; it is in @record. */
	bool
	poll()
	{
		struct brf_record rec;
		char bytes[4096];
		ssize_t n;

		while ((n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
			brf_record_feed(&reader, bytes, (size_t)n);
		eof = eof || n == 0 || (n < 0 && errno == ECONNRESET);
		if (brf_record_next(&reader, &rec, nullptr) !=
		    BRF_RECORD_COMPLETE)
			return (false);
		record.assign(rec.data, rec.len);
		return (true);
	}
};

typedef std::function<bool(XDR *)> put_fn;

std::string
call_bytes(uint32_t xid, uint32_t procedure, put_fn put)
{
	struct brf_buf out = {};
	struct brf_rpc_writer w;

	brf_rpc_begin_call(&w, &out, 8192, xid, procedure);
	EXPECT_TRUE(brf_rpc_end(&w, put(&w.xdr)));
	std::string bytes(out.data, out.len);
	brf_buf_free(&out);
	return (bytes);
}

std::string
reply_bytes(uint32_t xid, enum brf_rpc_status status, put_fn put)
{
	struct brf_buf out = {};
	struct brf_rpc_writer w;

	brf_rpc_begin_reply(&w, &out, 8192, xid, status);
	EXPECT_TRUE(brf_rpc_end(&w, put(&w.xdr)));
	std::string bytes(out.data, out.len);
	brf_buf_free(&out);
	return (bytes);
}

const put_fn no_arguments = [](XDR *) { return (true); };

class wire : public ::testing::Test
{
      protected:
	uv_loop_t loop;
	struct brf_clock_manual clock;
	struct brf_timers *timers;
	std::unique_ptr<node> caller, callee;
	struct brf_backend *backend;
	struct brf_document_source *documents = nullptr;

	void
	SetUp() override
	{
		signal(SIGPIPE, SIG_IGN);
		static int quiet = open("/dev/null", O_WRONLY);

		brf_log_open(quiet, BRF_LOG_ERROR, nullptr);
		uv_loop_init(&loop);
		brf_clock_manual_init(&clock, 1000000);
		timers = brf_timers_new(&clock.clock);
		caller.reset(new node(&loop, timers, caller_id, nullptr));
		callee.reset(new node(&loop, timers, callee_id, documents));
		backend = backend_at(callee->port, callee_id);
	}

	void
	TearDown() override
	{
		int closed = 0;
		auto on_closed = [](void *arg) { ++*(int *)arg; };

		for (node *n : { caller.get(), callee.get() }) {
			brf_peers_close(n->peers, on_closed, &closed);
			n->gate.ignore_cancels = false;
			while (!n->gate.open.empty())
				n->gate.refuse(n->gate.open[0], BRF_R_DRAINING);
		}
		EXPECT_TRUE(run([&] { return (closed == 2); }));
		for (node *n : { caller.get(), callee.get() }) {
			brf_peers_free(n->peers);
			brf_metrics_free(n->metrics);
		}
		EXPECT_EQ(brf_timers_next(timers), BRF_TIMER_NONE);
		brf_timers_free(timers);
		EXPECT_EQ(uv_loop_close(&loop), 0);
	}

	/* Run the loop until @until holds; false after 20000 iterations. */
	bool
	run(const std::function<bool()> &until)
	{
		for (int i = 0; i < 20000; i++) {
			uv_run(&loop, UV_RUN_NOWAIT);
			brf_timers_run(timers);
			if (until())
				return (true);
			usleep(100);
		}
		return (false);
	}

	void
	advance(uint64_t us)
	{
		clock.now += us;
		brf_timers_run(timers);
	}

	struct brf_backend *
	backend_at(uint16_t port, struct brf_id id)
	{
		struct sockaddr_in addr;

		uv_ip4_addr("127.0.0.1", port, &addr);
		return (brf_peers_backend(
		    caller->peers, (struct sockaddr *)&addr, id));
	}

	/* Send @s and wait until the callee's gate has received it. */
	void
	send_to_gate(struct test_call *s)
	{
		size_t before = callee->gate.open.size();

		brf_send(backend, &s->x);
		ASSERT_TRUE(
		    run([&] { return (callee->gate.open.size() > before); }));
	}

	void
	connect_socket(struct raw_socket *r)
	{
		struct sockaddr_in addr;

		uv_ip4_addr("127.0.0.1", callee->port, &addr);
		r->fd = socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(
		    connect(r->fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	}

	/* The caller's part of the handshake; @corrupt falsifies its MAC. */
	void
	authenticate(struct raw_socket *r, bool corrupt)
	{
		struct brf_handshake h = {};
		struct brf_rpc_header header;
		brf_xdr_hello hello = {};
		brf_xdr_challenge c;
		brf_xdr_proof proof;
		XDR xdr;

		h.caller = { { 5, 5 }, 1 };
		hello.node = { 5, 5 };
		hello.incarnation = 1;
		r->send(call_bytes(1, BRF_PEER_HELLO,
		    [&](XDR *x) { return (xdr_brf_xdr_hello(x, &hello)); }));
		ASSERT_TRUE(run([&] { return (r->poll()); }));
		struct brf_record rec = { &r->record[0], r->record.size() };
		ASSERT_TRUE(brf_rpc_read(&xdr, &rec, &header, nullptr));
		ASSERT_TRUE(xdr_brf_xdr_challenge(&xdr, &c));
		h.callee = { { c.node.hi, c.node.lo }, c.incarnation };
		memcpy(h.callee_nonce, c.nonce, sizeof(c.nonce));
		EXPECT_TRUE(brf_handshake_check(&h, BRF_HANDSHAKE_CALLEE,
		    (const unsigned char *)fleet_key, sizeof(fleet_key),
		    c.mac));
		brf_handshake_mac(&h, BRF_HANDSHAKE_CALLER,
		    (const unsigned char *)fleet_key, sizeof(fleet_key),
		    (unsigned char *)proof.mac);
		proof.mac[31] ^= corrupt ? 1 : 0;
		r->send(call_bytes(2, BRF_PEER_PROVE,
		    [&](XDR *x) { return (xdr_brf_xdr_proof(x, &proof)); }));
		ASSERT_TRUE(run([&] { return (r->poll()); }));
	}
};

TEST_F(wire, large_answers_out_of_order_reach_their_callers)
{
	std::vector<std::unique_ptr<test_call>> all;
	size_t n = 12;

	for (size_t i = 0; i < n; i++) {
		all.emplace_back(new test_call(i,
		    std::string(BRF_BODY_MAX - i, (char)('a' + i)),
		    60 * BRF_US_PER_S));
		brf_send(backend, &all[i]->x);
	}
	ASSERT_TRUE(run([&] { return (callee->gate.open.size() == n); }));
	EXPECT_EQ(brf_peers_open_calls(callee->peers), n);
	for (size_t i = n; i-- > 0;) {
		struct brf_message *q = callee->gate.open[i]->attempt.request;
		callee->gate.answer(callee->gate.open[i],
		    std::string(q->body.data, q->body.len));
	}
	ASSERT_TRUE(run([&] {
		for (auto &s : all)
			if (s->ends == 0)
				return (false);
		return (true);
	}));
	for (size_t i = 0; i < n; i++) {
		EXPECT_EQ(all[i]->ends, 1);
		EXPECT_EQ(all[i]->reply.outcome, BRF_ANSWERED);
		EXPECT_TRUE(all[i]->body ==
			    std::string(BRF_BODY_MAX - i, (char)('a' + i)))
		    << i;
	}
	EXPECT_EQ(caller->connections(), 1);
	/* the callee had paused reading and has resumed */
	struct test_call next(n, "more", 60 * BRF_US_PER_S);
	ASSERT_NO_FATAL_FAILURE(send_to_gate(&next));
	callee->gate.answer(callee->gate.open[0], "more");
	EXPECT_TRUE(run([&] { return (next.ends == 1); }));
	EXPECT_GT(brf_peers_bytes(backend), 2 * n * (BRF_BODY_MAX - n));
}

TEST_F(wire, attempt_is_sent_whole_with_its_remaining_time)
{
	struct test_call s(1, "x", BRF_US_PER_S);

	brf_copy_name(s.x.attempt.workspace, 64, "ws");
	brf_copy_name(s.x.attempt.token, 192, "tok");
	s.x.attempt.resend = true;
	s.x.attempt.root = { 3, 4 };
	brf_send(backend, &s.x);
	advance(400000);
	ASSERT_TRUE(run([&] { return (!callee->gate.open.empty()); }));
	struct brf_attempt &a = callee->gate.open[0]->attempt;
	EXPECT_EQ(a.timeout_us, 600000);
	EXPECT_STREQ(a.workspace, "ws");
	EXPECT_STREQ(a.token, "tok");
	EXPECT_TRUE(a.resend);
	EXPECT_EQ(a.retries, 2);
	EXPECT_TRUE(brf_id_equal(a.root, { 3, 4 }));
	struct brf_reply reply = {};
	reply.outcome = BRF_NOT_RUN;
	reply.reason = BRF_R_OVERLOAD;
	reply.retries = 3; /* more than the attempt had */
	reply.retry_after_ms = 70;
	callee->gate.end(callee->gate.open[0], reply);
	ASSERT_TRUE(run([&] { return (s.ends == 1); }));
	EXPECT_EQ(s.reply.reason, BRF_R_OVERLOAD);
	EXPECT_EQ(s.reply.retry_after_ms, 70);
	EXPECT_EQ(s.reply.retries, 2);
}

TEST_F(wire, cancelled_in_the_queue_is_not_run)
{
	struct test_call s(1, "x", BRF_US_PER_S), other(2, "y", BRF_US_PER_S);

	callee->gate.echo = true;
	brf_send(backend, &s.x);
	brf_send(backend, &other.x);
	brf_cancel(backend, &s.x);
	EXPECT_EQ(s.ends, 1);
	EXPECT_EQ(s.reply.outcome, BRF_NOT_RUN);
	EXPECT_EQ(s.reply.reason, BRF_R_CANCELLED);
	EXPECT_EQ(s.reply.retries, 2);
	ASSERT_TRUE(run([&] { return (other.ends == 1); }));
	EXPECT_EQ(callee->gate.seen.size(), 1);
}

TEST_F(wire, cancelled_after_the_write_ends_as_the_gate_reports)
{
	for (auto outcome : { BRF_NOT_RUN, BRF_UNKNOWN }) {
		struct test_call s(1, "x", 60 * BRF_US_PER_S);

		callee->gate.cancel_outcome = outcome;
		send_to_gate(&s);
		brf_cancel(backend, &s.x);
		brf_cancel(backend, &s.x);
		EXPECT_EQ(s.ends, 0);
		ASSERT_TRUE(run([&] { return (s.ends == 1); }));
		EXPECT_EQ(s.reply.outcome, outcome);
		EXPECT_EQ(s.reply.reason, BRF_R_CANCELLED);
	}
	EXPECT_EQ(callee->gate.cancelled, 2);
}

TEST_F(wire, cancelled_without_a_reply_is_unknown)
{
	struct test_call s(1, "x", 60 * BRF_US_PER_S);

	callee->gate.ignore_cancels = true;
	send_to_gate(&s);
	brf_cancel(backend, &s.x);
	ASSERT_TRUE(run([&] { return (callee->gate.cancelled == 1); }));
	advance(BRF_PEER_CANCEL_WAIT_US - 1);
	EXPECT_EQ(s.ends, 0);
	advance(1);
	ASSERT_EQ(s.ends, 1);
	EXPECT_EQ(s.reply.outcome, BRF_UNKNOWN);
	EXPECT_EQ(s.reply.reason, BRF_R_CANCELLED);
}

TEST_F(wire, expired_after_the_write_is_cancelled_at_the_gate)
{
	struct test_call s(1, "x", BRF_US_PER_S),
	    confirmed(2, "y", BRF_US_PER_S);

	send_to_gate(&confirmed);
	advance(BRF_US_PER_S);
	EXPECT_EQ(confirmed.ends, 0);
	ASSERT_TRUE(run([&] { return (confirmed.ends == 1); }));
	EXPECT_EQ(confirmed.reply.outcome, BRF_NOT_RUN);
	EXPECT_EQ(confirmed.reply.reason, BRF_R_EXPIRED);

	callee->gate.ignore_cancels = true;
	send_to_gate(&s);
	advance(BRF_US_PER_S);
	ASSERT_TRUE(run([&] { return (callee->gate.cancelled == 2); }));
	EXPECT_EQ(s.ends, 0);
	advance(BRF_PEER_EXPIRED_WAIT_US);
	ASSERT_EQ(s.ends, 1);
	EXPECT_EQ(s.reply.outcome, BRF_UNKNOWN);
	EXPECT_EQ(s.reply.reason, BRF_R_TIMEOUT);

	/* the late answer is discarded, and the connection stays open */
	callee->gate.answer(callee->gate.open[0], "late");
	ASSERT_TRUE(
	    run([&] { return (caller->errors(BRF_E_RPC_UNMATCHED) == 1); }));
	struct test_call next(3, "z", BRF_US_PER_S);
	callee->gate.echo = true;
	brf_send(backend, &next.x);
	ASSERT_TRUE(run([&] { return (next.ends == 1); }));
	EXPECT_EQ(next.body, "z");
	EXPECT_EQ(caller->connections(), 1);
	EXPECT_EQ(s.ends, 1);
}

TEST_F(wire, expired_in_the_queue_is_not_run)
{
	struct test_call s(1, "x", 1000);

	brf_send(backend, &s.x);
	advance(1000);
	ASSERT_EQ(s.ends, 1);
	EXPECT_EQ(s.reply.outcome, BRF_NOT_RUN);
	EXPECT_EQ(s.reply.reason, BRF_R_EXPIRED);
}

TEST_F(wire, callee_cancels_the_calls_of_a_lost_connection)
{
	struct test_call s(1, "x", 60 * BRF_US_PER_S);

	send_to_gate(&s);
	callee->gate.ignore_cancels = true;
	brf_peers_close(
	    caller->peers, [](void *) {}, nullptr);
	EXPECT_EQ(s.ends, 1);
	EXPECT_EQ(s.reply.outcome, BRF_UNKNOWN);
	EXPECT_EQ(s.reply.reason, BRF_R_CONNECTION_LOST);
	ASSERT_TRUE(run([&] { return (callee->gate.cancelled == 1); }));
	EXPECT_EQ(brf_peers_open_calls(callee->peers), 1);
	callee->gate.answer(callee->gate.open[0], "too late");
	EXPECT_EQ(brf_peers_open_calls(callee->peers), 0);
	ASSERT_TRUE(run([&] { return (caller->connections() == 0); }));
	/* TearDown() closes each node, so give it one that is not closed */
	brf_peers_free(caller->peers);
	brf_metrics_free(caller->metrics);
	caller.reset(new node(&loop, timers, caller_id, nullptr));
}

TEST_F(wire, idle_connection_is_closed_and_reopened)
{
	callee->gate.echo = true;
	for (int i = 0; i < 2; i++) {
		struct test_call s(1, "x", BRF_US_PER_S);
		brf_send(backend, &s.x);
		ASSERT_TRUE(run([&] { return (s.ends == 1); }));
		EXPECT_EQ(s.reply.outcome, BRF_ANSWERED);
		advance(59 * BRF_US_PER_S);
		EXPECT_EQ(caller->connections(), 1);
		advance(1 * BRF_US_PER_S);
		ASSERT_TRUE(run([&] {
			return (caller->connections() == 0 &&
				callee->connections() == 0);
		}));
	}
}

TEST_F(wire, removed_backend_stays_until_its_calls_end)
{
	struct test_call s(1, "x", BRF_US_PER_S);

	send_to_gate(&s);
	brf_peers_remove_backend(caller->peers, backend);
	EXPECT_EQ(s.ends, 0);
	callee->gate.answer(callee->gate.open[0], "ok");
	ASSERT_TRUE(run([&] { return (s.ends == 1); }));
	EXPECT_EQ(s.reply.outcome, BRF_ANSWERED);
	ASSERT_TRUE(run([&] { return (caller->connections() == 0); }));
}

/* What a callee does with input that violates the protocol. */
enum expected_end {
	ANSWERED_AND_OPEN,
	OPEN,
	CLOSED,
	ANSWERED_AND_CLOSED
};

struct invalid_input {
	const char *name;
	bool authenticated;
	std::string bytes;
	enum expected_end end;
	enum brf_rpc_status status;
	enum brf_errc code;
};

/* Replace the 32-bit word at index @i of a record's content. */
std::string
with_word(std::string bytes, size_t i, uint32_t word)
{
	uint32_t be = htonl(word);

	memcpy(&bytes[4 + 4 * i], &be, 4);
	return (bytes);
}

std::vector<invalid_input>
invalid_inputs()
{
	std::string null = call_bytes(9, BRF_PEER_NULL, no_arguments);
	std::string cut_call = call_bytes(9, BRF_PEER_CALL,
	    [](XDR *x) { return (xdr_setpos(x, xdr_getpos(x) + 8)); });
	std::string spare = call_bytes(9, BRF_PEER_CANCEL,
	    [](XDR *x) { return (xdr_setpos(x, xdr_getpos(x) + 20)); });

	return {
		{ "unknown procedure", true, call_bytes(9, 77, no_arguments),
		    ANSWERED_AND_OPEN, BRF_RPC_PROC_UNAVAIL,
		    BRF_E_RPC_PROCEDURE },
		{ "RPC version", true, with_word(null, 2, 3), ANSWERED_AND_OPEN,
		    BRF_RPC_VERSION_MISMATCH, BRF_E_RPC_VERSION },
		{ "program", true, with_word(null, 3, 3), ANSWERED_AND_OPEN,
		    BRF_RPC_PROG_UNAVAIL, BRF_E_RPC_VERSION },
		{ "program version", true, with_word(null, 4, 3),
		    ANSWERED_AND_OPEN, BRF_RPC_PROG_MISMATCH,
		    BRF_E_RPC_VERSION },
		{ "truncated argument", true, cut_call, ANSWERED_AND_OPEN,
		    BRF_RPC_GARBAGE_ARGS, BRF_E_RPC_ARGUMENT },
		{ "trailing bytes after the argument", true, spare,
		    ANSWERED_AND_OPEN, BRF_RPC_GARBAGE_ARGS,
		    BRF_E_RPC_ARGUMENT },
		{ "too many revisions", true,
		    call_bytes(9, BRF_PEER_DOCUMENTS,
			[](XDR *x) {
				u_int wild = 0xffffffffu;
				return (xdr_u_int(x, &wild));
			}),
		    ANSWERED_AND_OPEN, BRF_RPC_GARBAGE_ARGS,
		    BRF_E_RPC_ARGUMENT },
		{ "revision without a service", true,
		    call_bytes(9, BRF_PEER_DOCUMENTS,
			[](XDR *x) {
				brf_xdr_revision r = {};
				brf_xdr_revisions v = { { 1, &r } };
				return (xdr_brf_xdr_revisions(x, &v));
			}),
		    ANSWERED_AND_OPEN, BRF_RPC_GARBAGE_ARGS,
		    BRF_E_RPC_ARGUMENT },
		{ "reply without a call", true,
		    reply_bytes(9, BRF_RPC_SUCCESS, no_arguments), OPEN,
		    BRF_RPC_SUCCESS, BRF_E_RPC_UNMATCHED },
		{ "invalid header", true, std::string("\x80\0\0\4abcd", 8),
		    CLOSED, BRF_RPC_SUCCESS, BRF_E_RPC_HEADER },
		{ "credentials too long", true, with_word(null, 7, 401), CLOSED,
		    BRF_RPC_SUCCESS, BRF_E_RPC_HEADER },
		{ "record too long", true, std::string("\xff\xff\xff\xff", 4),
		    CLOSED, BRF_RPC_SUCCESS, BRF_E_TOO_LARGE },
		{ "empty fragment", true, std::string("\0\0\0\0", 4), CLOSED,
		    BRF_RPC_SUCCESS, BRF_E_RPC_RECORD },
		{ "long record before authentication", false,
		    std::string("\x80\x01\0\0", 4), CLOSED, BRF_RPC_SUCCESS,
		    BRF_E_TOO_LARGE },
		{ "call before authentication", false, cut_call,
		    ANSWERED_AND_CLOSED, BRF_RPC_AUTH_ERROR, BRF_E_RPC_DENIED },
		{ "proof before hello", false,
		    call_bytes(9, BRF_PEER_PROVE, no_arguments),
		    ANSWERED_AND_CLOSED, BRF_RPC_AUTH_ERROR, BRF_E_AUTH },
	};
}

TEST_F(wire, invalid_input_is_counted_and_affects_no_other_call)
{
	struct test_call other(1, "kept", 600 * BRF_US_PER_S);

	send_to_gate(&other);
	for (auto &c : invalid_inputs()) {
		SCOPED_TRACE(c.name);
		struct brf_rpc_header h = {};
		struct raw_socket r;
		XDR xdr;
		double before = callee->errors(c.code);
		connect_socket(&r);
		if (c.authenticated)
			authenticate(&r, false);
		r.send(c.bytes);
		ASSERT_TRUE(
		    run([&] { return (callee->errors(c.code) > before); }));
		EXPECT_EQ(callee->errors(c.code), before + 1);
		if (c.end == ANSWERED_AND_OPEN ||
		    c.end == ANSWERED_AND_CLOSED) {
			ASSERT_TRUE(run([&] { return (r.poll()); }));
			struct brf_record rec = { &r.record[0],
				r.record.size() };
			ASSERT_TRUE(brf_rpc_read(&xdr, &rec, &h, nullptr));
			EXPECT_EQ(h.xid, 9);
			EXPECT_EQ(h.status, c.status);
		}
		if (c.end == CLOSED || c.end == ANSWERED_AND_CLOSED) {
			EXPECT_TRUE(run([&] { return (r.poll(), r.eof); }));
			continue;
		}
		r.send(call_bytes(10, BRF_PEER_NULL, no_arguments));
		EXPECT_TRUE(run([&] { return (r.poll()); }));
	}
	callee->gate.answer(callee->gate.open[0], "kept");
	ASSERT_TRUE(run([&] { return (other.ends == 1); }));
	EXPECT_EQ(other.body, "kept");
}

/* Input that is answered, or ignored, between two calls of one connection. */
TEST_F(wire, a_malformed_call_ends_no_other_call_of_its_connection)
{
	struct test_call first(1, "", BRF_US_PER_S), last(2, "", BRF_US_PER_S);
	struct brf_rpc_header h = {};
	struct raw_socket r;
	std::set<uint32_t> answered;
	size_t replies = 0, want = 2;
	XDR xdr;
	auto put = [](struct test_call &c) {
		return ([&c](XDR *x) {
			return (
			    brf_attempt_encode(x, &c.x.attempt, BRF_US_PER_S));
		});
	};

	connect_socket(&r);
	authenticate(&r, false);
	r.send(call_bytes(101, BRF_PEER_CALL, put(first)));
	for (auto &c : invalid_inputs()) {
		if (c.end != ANSWERED_AND_OPEN && c.end != OPEN)
			continue;
		r.send(c.bytes);
		want += c.end == ANSWERED_AND_OPEN;
	}
	r.send(call_bytes(102, BRF_PEER_CALL, put(last)));
	ASSERT_TRUE(run([&] { return (callee->gate.open.size() == 2); }));
	EXPECT_EQ(callee->gate.cancelled, 0);
	callee->gate.answer(callee->gate.open[1], "");
	callee->gate.answer(callee->gate.open[0], "");
	ASSERT_TRUE(run([&] {
		while (r.poll()) {
			struct brf_record rec = { &r.record[0],
				r.record.size() };
			EXPECT_TRUE(brf_rpc_read(&xdr, &rec, &h, nullptr));
			replies++;
			if (h.status == BRF_RPC_SUCCESS)
				answered.insert(h.xid);
		}
		return (replies == want);
	}));
	EXPECT_EQ(answered, (std::set<uint32_t>{ 101, 102 }));
}

TEST_F(wire, wrong_proof_is_denied)
{
	struct brf_rpc_header h;
	struct raw_socket r;
	XDR xdr;

	connect_socket(&r);
	authenticate(&r, true);
	struct brf_record rec = { &r.record[0], r.record.size() };
	ASSERT_TRUE(brf_rpc_read(&xdr, &rec, &h, nullptr));
	EXPECT_EQ(h.status, BRF_RPC_AUTH_ERROR);
	EXPECT_TRUE(run([&] { return (r.poll(), r.eof); }));
	EXPECT_EQ(callee->errors(BRF_E_AUTH), 1);
}

TEST_F(wire, connection_without_a_proof_times_out)
{
	struct raw_socket r;

	connect_socket(&r);
	ASSERT_TRUE(run([&] { return (callee->connections() == 1); }));
	advance(BRF_US_PER_S);
	EXPECT_TRUE(run([&] { return (r.poll(), r.eof); }));
	EXPECT_EQ(callee->errors(BRF_E_AUTH), 1);
}

/* How a callee played by the test deviates from the protocol. */
enum deviation {
	REFUSES_CONNECTION,
	CLOSES_AFTER_ACCEPT,
	CLOSES_AFTER_HELLO,
	WRONG_PROOF,
	OTHER_NODE_ID,
	CLOSES_AFTER_CHALLENGE,
	DENIES_PROOF,
	CLOSES_AFTER_CALL,
	STATUS_WITHOUT_RESULT,
	INVALID_REPLY
};

struct faulty_callee {
	const char *name;
	enum deviation deviation;
	enum brf_rpc_status status;
	void (*corrupt)(std::string *reply);
	enum brf_outcome outcome;
	enum brf_reason reason;
	enum brf_errc code;
};

const faulty_callee faulty_callees[] = {
	{ "refuses connection", REFUSES_CONNECTION, BRF_RPC_SUCCESS, nullptr,
	    BRF_NOT_RUN, BRF_R_NOT_SENT, BRF_E_CONNECT },
	{ "closes after accept", CLOSES_AFTER_ACCEPT, BRF_RPC_SUCCESS, nullptr,
	    BRF_NOT_RUN, BRF_R_NOT_SENT, BRF_OK },
	{ "closes after hello", CLOSES_AFTER_HELLO, BRF_RPC_SUCCESS, nullptr,
	    BRF_NOT_RUN, BRF_R_NOT_SENT, BRF_OK },
	{ "wrong proof", WRONG_PROOF, BRF_RPC_SUCCESS, nullptr, BRF_NOT_RUN,
	    BRF_R_NOT_SENT, BRF_E_AUTH },
	{ "another node id", OTHER_NODE_ID, BRF_RPC_SUCCESS, nullptr,
	    BRF_NOT_RUN, BRF_R_NOT_SENT, BRF_E_AUTH },
	{ "closes after challenge", CLOSES_AFTER_CHALLENGE, BRF_RPC_SUCCESS,
	    nullptr, BRF_NOT_RUN, BRF_R_NOT_SENT, BRF_OK },
	{ "denies proof", DENIES_PROOF, BRF_RPC_SUCCESS, nullptr, BRF_NOT_RUN,
	    BRF_R_NOT_SENT, BRF_E_RPC_DENIED },
	{ "closes after call", CLOSES_AFTER_CALL, BRF_RPC_SUCCESS, nullptr,
	    BRF_UNKNOWN, BRF_R_CONNECTION_LOST, BRF_OK },
	{ "denies call", STATUS_WITHOUT_RESULT, BRF_RPC_AUTH_ERROR, nullptr,
	    BRF_NOT_RUN, BRF_R_NOT_SENT, BRF_E_RPC_DENIED },
	{ "unknown procedure", STATUS_WITHOUT_RESULT, BRF_RPC_PROC_UNAVAIL,
	    nullptr, BRF_NOT_RUN, BRF_R_NOT_SENT, BRF_E_RPC_DENIED },
	{ "garbage arguments", STATUS_WITHOUT_RESULT, BRF_RPC_GARBAGE_ARGS,
	    nullptr, BRF_NOT_RUN, BRF_R_MALFORMED, BRF_E_RPC_DENIED },
	{ "system error", STATUS_WITHOUT_RESULT, BRF_RPC_SYSTEM_ERR, nullptr,
	    BRF_UNKNOWN, BRF_R_BROKEN_ANSWER, BRF_E_RPC_DENIED },
	{ "no result", STATUS_WITHOUT_RESULT, BRF_RPC_SUCCESS, nullptr,
	    BRF_UNKNOWN, BRF_R_BROKEN_ANSWER, BRF_E_RPC_ARGUMENT },
	{ "truncated reply", INVALID_REPLY, BRF_RPC_SUCCESS,
	    [](std::string *r) { r->resize(r->size() - 1); }, BRF_UNKNOWN,
	    BRF_R_CONNECTION_LOST, BRF_E_RPC_RECORD },
	{ "changed body", INVALID_REPLY, BRF_RPC_SUCCESS,
	    [](std::string *r) { (*r)[r->find("answer")] = 'b'; }, BRF_UNKNOWN,
	    BRF_R_BROKEN_ANSWER, BRF_E_CHECKSUM },
	{ "another attempt's reply", INVALID_REPLY, BRF_RPC_SUCCESS,
	    [](std::string *r) { *r = with_word(*r, 9, 4711); }, BRF_UNKNOWN,
	    BRF_R_BROKEN_ANSWER, BRF_E_RPC_UNMATCHED },
	{ "another xid", INVALID_REPLY, BRF_RPC_SUCCESS,
	    [](std::string *r) { *r = with_word(*r, 0, 4711); }, BRF_UNKNOWN,
	    BRF_R_CONNECTION_LOST, BRF_E_RPC_UNMATCHED },
};

std::string
good_reply(uint32_t xid, struct brf_id id)
{
	struct brf_reply reply = {};

	reply.answer = brf_message_new();
	reply.answer->status = 200;
	brf_buf_puts(&reply.answer->body, "answer");
	std::string bytes = reply_bytes(xid, BRF_RPC_SUCCESS,
	    [&](XDR *x) { return (brf_reply_encode(x, id, &reply)); });
	brf_message_unref(reply.answer);
	return (bytes);
}

std::string
challenge_reply(uint32_t xid, brf_xdr_hello *hello, enum deviation deviation)
{
	struct brf_handshake h = {};
	brf_xdr_challenge c = {};

	h.caller = { { hello->node.hi, hello->node.lo }, hello->incarnation };
	memcpy(h.caller_nonce, hello->nonce, sizeof(h.caller_nonce));
	h.callee.node = callee_id;
	h.callee.node.lo += deviation == OTHER_NODE_ID ? 1 : 0;
	c.node = { h.callee.node.hi, h.callee.node.lo };
	brf_handshake_mac(&h, BRF_HANDSHAKE_CALLEE,
	    (const unsigned char *)fleet_key, sizeof(fleet_key),
	    (unsigned char *)c.mac);
	c.mac[0] ^= deviation == WRONG_PROOF ? 1 : 0;
	return (reply_bytes(xid, BRF_RPC_SUCCESS,
	    [&](XDR *x) { return (xdr_brf_xdr_challenge(x, &c)); }));
}

/* Handle one message as @c prescribes; false: close the connection. */
bool
follow_script(struct raw_socket *r, const struct faulty_callee &c)
{
	struct brf_record rec = { &r->record[0], r->record.size() };
	struct brf_rpc_header h;
	brf_xdr_hello hello;
	std::string bytes;
	XDR xdr;

	EXPECT_TRUE(brf_rpc_read(&xdr, &rec, &h, nullptr));
	if (h.procedure == BRF_PEER_HELLO) {
		if (c.deviation == CLOSES_AFTER_HELLO)
			return (false);
		EXPECT_TRUE(xdr_brf_xdr_hello(&xdr, &hello));
		r->send(challenge_reply(h.xid, &hello, c.deviation));
		return (c.deviation != CLOSES_AFTER_CHALLENGE);
	}
	if (h.procedure == BRF_PEER_PROVE) {
		r->send(reply_bytes(h.xid,
		    c.deviation == DENIES_PROOF ? BRF_RPC_AUTH_ERROR
						: BRF_RPC_SUCCESS,
		    no_arguments));
		return (true);
	}
	if (c.deviation == STATUS_WITHOUT_RESULT)
		r->send(reply_bytes(h.xid, c.status, no_arguments));
	if (c.deviation == INVALID_REPLY) {
		bytes = good_reply(h.xid, { 99, 1 });
		c.corrupt(&bytes);
		r->send(bytes);
	}
	return (false);
}

TEST_F(wire, faulty_callee_gives_the_outcome_that_is_certain)
{
	for (const auto &c : faulty_callees) {
		SCOPED_TRACE(c.name);
		struct sockaddr_in addr;
		socklen_t len = sizeof(addr);
		struct test_call s(1, "x", 600 * BRF_US_PER_S);
		double before = caller->errors(c.code);
		struct raw_socket r;
		uv_ip4_addr("127.0.0.1", 0, &addr);
		int lfd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		ASSERT_EQ(bind(lfd, (struct sockaddr *)&addr, len), 0);
		if (c.deviation != REFUSES_CONNECTION) {
			ASSERT_EQ(listen(lfd, 1), 0);
		}
		getsockname(lfd, (struct sockaddr *)&addr, &len);
		brf_send(backend_at(ntohs(addr.sin_port), callee_id), &s.x);
		bool keep_open = true;
		EXPECT_TRUE(run([&] {
			if (r.fd < 0)
				r.fd = accept(lfd, nullptr, nullptr);
			if (r.fd >= 0 && c.deviation == CLOSES_AFTER_ACCEPT)
				keep_open = false;
			if (r.fd >= 0 && keep_open && r.poll())
				keep_open = follow_script(&r, c);
			if (r.fd >= 0 && !keep_open)
				shutdown(r.fd, SHUT_RDWR);
			return (s.ends != 0);
		}));
		close(lfd);
		EXPECT_EQ(s.ends, 1);
		EXPECT_EQ(s.reply.outcome, c.outcome);
		EXPECT_EQ(s.reply.reason, c.reason);
		EXPECT_EQ(s.reply.answer, nullptr);
		if (c.code != BRF_OK) {
			EXPECT_EQ(caller->errors(c.code), before + 1);
		}
	}
}

/* The callee stops reading.  The kernel accepts some of the calls, the last of
 * them possibly in part; the others have certainly not been sent. */
TEST_F(wire, only_calls_that_the_kernel_accepted_are_unknown)
{
	const struct faulty_callee script = { "stops reading",
		CLOSES_AFTER_CALL, BRF_RPC_SUCCESS, nullptr, BRF_UNKNOWN,
		BRF_R_NONE, BRF_OK };
	std::vector<std::unique_ptr<test_call>> all;
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	size_t unknown = 0, not_sent = 0, size;
	struct raw_socket r;

	uv_ip4_addr("127.0.0.1", 0, &addr);
	int lfd = socket(AF_INET, SOCK_STREAM, 0);
	ASSERT_EQ(bind(lfd, (struct sockaddr *)&addr, len), 0);
	ASSERT_EQ(listen(lfd, 1), 0);
	getsockname(lfd, (struct sockaddr *)&addr, &len);
	struct brf_backend *stuck = backend_at(ntohs(addr.sin_port), callee_id);
	for (size_t i = 0; i < 10000; i++) {
		all.emplace_back(new test_call(
		    i, std::string(1000, 'x'), 600 * BRF_US_PER_S));
		brf_send(stuck, &all[i]->x);
	}
	for (bool keep_open = true; keep_open;) {
		uv_run(&loop, UV_RUN_NOWAIT);
		if (r.fd < 0)
			r.fd = accept(lfd, nullptr, nullptr);
		if (r.poll())
			keep_open = follow_script(&r, script);
	}
	size = r.record.size() + BRF_RECORD_MARK_SIZE;
	uint64_t before = 0, now = 1;
	for (int unchanged = 0; unchanged < 50;
	     unchanged = before == now ? unchanged + 1 : 0) {
		uv_run(&loop, UV_RUN_NOWAIT);
		before = now;
		now = brf_peers_bytes(stuck);
	}
	close(r.fd);
	r.fd = -1;
	close(lfd);
	ASSERT_TRUE(run([&] { return (all.back()->ends == 1); }));
	for (auto &s : all) {
		EXPECT_EQ(s->ends, 1);
		unknown += s->reply.reason == BRF_R_CONNECTION_LOST;
		not_sent += s->reply.reason == BRF_R_NOT_SENT;
	}
	EXPECT_EQ(unknown + not_sent, all.size());
	EXPECT_GT(not_sent, 0);
	uint64_t calls =
	    brf_peers_bytes(stuck) - r.bytes_sent -
	    call_bytes(1, BRF_PEER_HELLO,
		[](XDR *x) { return (xdr_setpos(x, xdr_getpos(x) + 40)); })
		.size() -
	    call_bytes(2, BRF_PEER_PROVE, [](XDR *x) {
		    return (xdr_setpos(x, xdr_getpos(x) + 32));
	    }).size();
	EXPECT_EQ(unknown, (calls + size - 1) / size);
}

/* The records of the gate are the oracle: an attempt that it began does not end
 * as BRF_NOT_RUN, one that ends as BRF_ANSWERED was answered by it, and each
 * exchange ends exactly once. */
RC_GTEST_FIXTURE_PROP(wire, outcomes_match_the_gate_under_any_schedule, ())
{
	typedef std::pair<int, uint8_t> step;
	auto steps = *rc::gen::resize(
	    200, rc::gen::container<std::vector<step>>(rc::gen::pair(
		     rc::gen::inRange(0, 16), rc::gen::arbitrary<uint8_t>())));
	std::vector<std::unique_ptr<test_call>> all;
	struct gate_fake &gate = callee->gate;
	std::set<uint64_t> answered;
	std::set<int> seen;

	auto run_loop = [&](int times) {
		while (times-- > 0) {
			uv_run(&loop, UV_RUN_NOWAIT);
			brf_timers_run(timers);
		}
	};
	for (const auto &s : steps) {
		struct brf_exchange *at_gate =
		    gate.open.empty() ? nullptr
				      : gate.open[s.second % gate.open.size()];
		struct test_call *open =
		    all.empty() ? nullptr : all[s.second % all.size()].get();
		struct brf_client_conn *cc =
		    ((struct brf_peer_backend *)backend)->conn;
		uv_os_fd_t fd;
		if (s.first <= 2) {
			all.emplace_back(new test_call(all.size(),
			    std::to_string(all.size()),
			    s.second * BRF_US_PER_MS));
			brf_send(backend, &all.back()->x);
		} else if (s.first == 3 && open != nullptr && open->ends == 0) {
			brf_cancel(backend, &open->x);
		} else if (s.first == 4 && at_gate != nullptr) {
			gate.started.insert(at_gate->attempt.id.lo);
		} else if (s.first == 5 && at_gate != nullptr) {
			uint64_t id = at_gate->attempt.id.lo;
			gate.started.insert(id);
			answered.insert(id);
			gate.answer(at_gate, std::to_string(id));
		} else if (s.first == 6 && at_gate != nullptr &&
			   !gate.started.count(at_gate->attempt.id.lo)) {
			gate.refuse(at_gate, BRF_R_OVERLOAD);
		} else if (s.first == 7 && s.second < 64 && cc != nullptr &&
			   uv_fileno((uv_handle_t *)&cc->conn.tcp, &fd) == 0) {
			shutdown(fd, s.second % 3);
		} else if (s.first == 8) {
			advance(s.second % 64 * BRF_US_PER_MS);
		} else if (s.first >= 9) {
			run_loop(s.second % 8);
		}
	}
	run_loop(20);
	for (int i = 0; i < 5; i++) {
		advance(BRF_US_PER_S);
		run_loop(20);
	}
	for (auto &s : all) {
		uint64_t id = s->x.attempt.id.lo;
		RC_ASSERT(s->ends == 1);
		if (s->reply.outcome == BRF_NOT_RUN)
			RC_ASSERT(!gate.started.count(id));
		if (s->reply.outcome == BRF_ANSWERED)
			RC_ASSERT(answered.count(id) &&
				  s->body == std::to_string(id));
		seen.insert(s->reply.outcome);
	}
	RC_CLASSIFY(seen.count(BRF_ANSWERED) > 0, "answered");
	RC_CLASSIFY(seen.count(BRF_UNKNOWN) > 0, "unknown");
}

/* The callee's documents, which together exceed the bound of a record. */
struct fake_documents {
	struct brf_document_source source;
	size_t known = 0;
	std::string text = std::string(BRF_BODY_MAX, 'd');

	fake_documents();
};

void
fake_newer(struct brf_document_source *source,
    const struct brf_known_revision *known, size_t count,
    bool (*emit)(const struct brf_document_update *updates, void *arg),
    void *arg)
{
	auto *d = reinterpret_cast<struct fake_documents *>(source);
	struct brf_document_update updates[] = {
		{ "gone", 5, nullptr, 0 },
		{ "large", 6, d->text.data(), d->text.size() },
		{ "more", 7, "{}", 2 },
	};

	d->known = count;
	for (auto &n : updates) {
		if (count == 1 && strcmp(known[0].service, n.service) == 0 &&
		    known[0].revision >= n.revision)
			continue;
		if (!emit(&n, arg))
			break;
	}
}

const struct brf_document_source_vt fake_documents_vt = { fake_newer };

fake_documents::fake_documents() : source{ &fake_documents_vt }
{
}

class wire_documents : public wire
{
      protected:
	struct fake_documents store;

	void
	SetUp() override
	{
		documents = &store.source;
		wire::SetUp();
	}
};

struct fetch_result {
	int ends = 0;
	enum brf_errc code = BRF_OK;
	std::vector<std::string> names;
	size_t bytes = 0;
};

void
on_documents(void *arg, const struct brf_document_update *updates, size_t count,
    const struct brf_error *err)
{
	auto *f = static_cast<struct fetch_result *>(arg);

	f->ends++;
	f->code = err != nullptr ? err->code : BRF_OK;
	for (size_t i = 0; i < count; i++) {
		f->names.emplace_back(updates[i].service);
		f->bytes += updates[i].len;
	}
}

TEST_F(wire_documents, fetch_returns_what_fits_and_the_rest_next_time)
{
	struct brf_known_revision known = { "gone", 5 };
	struct fetch_result first, second;

	brf_peers_fetch_documents(
	    caller->peers, backend, nullptr, 0, on_documents, &first);
	ASSERT_TRUE(run([&] { return (first.ends == 1); }));
	EXPECT_EQ(first.names, std::vector<std::string>{ "gone" });
	brf_peers_fetch_documents(
	    caller->peers, backend, &known, 1, on_documents, &second);
	ASSERT_TRUE(run([&] { return (second.ends == 1); }));
	EXPECT_EQ(store.known, 1);
	EXPECT_EQ(second.names, std::vector<std::string>{ "large" });
	EXPECT_EQ(second.bytes, BRF_BODY_MAX);
}

TEST_F(wire, failed_fetch_has_an_error_code)
{
	struct test_call connects(1, "x", 600 * BRF_US_PER_S);
	struct fetch_result late, lost;

	send_to_gate(&connects);
	brf_peers_fetch_documents(
	    caller->peers, backend, nullptr, 0, on_documents, &late);
	advance(BRF_PEER_DOCUMENTS_TIMEOUT_US);
	EXPECT_EQ(late.ends, 1);
	EXPECT_EQ(late.code, BRF_E_TIMEOUT);
	brf_peers_fetch_documents(caller->peers, backend_at(1, callee_id),
	    nullptr, 0, on_documents, &lost);
	advance(BRF_US_PER_S);
	EXPECT_EQ(lost.ends, 1);
	EXPECT_EQ(lost.code, BRF_E_CLOSED);
	callee->gate.answer(callee->gate.open[0], "");
	EXPECT_TRUE(run([&] { return (connects.ends == 1); }));
}

} // namespace
