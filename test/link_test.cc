#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "config/store_codec.h"
#include "link/codec.h"
#include "link_fake.h"

namespace
{

std::string
text_of(const struct brf_link_text &t)
{
	return (std::string(t.data, t.len));
}

} // namespace

TEST_F(two_nodes, a_request_and_its_answer_arrive_whole)
{
	{
		struct outgoing_hop s(bench);
		struct brf_hop *hop;
		const struct brf_hop_request *rq;

		s.hop.request.repeatable = true;
		s.hop.request.nested = true;
		s.hop.request.body = BRF_BODY_LENGTH;
		s.hop.request.length = 5;
		s.hop.request_body = &s.request_body;
		brf_pipe_write(&s.request_body, "hello", 5);
		brf_pipe_end(&s.request_body);
		send(s);
		hop = arrived();
		ASSERT_NE(hop, nullptr);
		rq = &hop->request;
		EXPECT_STREQ(rq->id, "id-1");
		EXPECT_STREQ(rq->target, "t-1");
		/* taken from HELLO, not from the request */
		EXPECT_STREQ(rq->caller, "service-a");
		EXPECT_STREQ(rq->method, "POST");
		EXPECT_STREQ(rq->path, "/a/b?c");
		EXPECT_STREQ(rq->host, "h.example");
		EXPECT_EQ(
		    std::string(rq->fields, rq->fields_len), "x-a: 1\r\n");
		EXPECT_EQ(rq->max_wait_us, 250000u);
		EXPECT_EQ(rq->rank, 2u);
		EXPECT_EQ(rq->length, 5u);
		EXPECT_TRUE(rq->repeatable && rq->nested && !rq->repeat);
		ASSERT_NE(hop->request_body, nullptr);
		EXPECT_EQ(std::string(brf_pipe_data(hop->request_body),
			      brf_pipe_len(hop->request_body)),
		    "hello");
		EXPECT_EQ(hop->request_body->state, BRF_PIPE_ENDED);
		b.gate.answer(hop, 201, "x-b: 2\r\n");
		brf_pipe_write(&hop->answer_body, "world", 5);
		brf_pipe_end(&hop->answer_body);
		EXPECT_TRUE(bench.until([&] {
			return (s.hop.answer_body.state == BRF_PIPE_ENDED);
		}));
		EXPECT_TRUE(
		    bench.until([&] { return (s.received_body == "world"); }));
		EXPECT_EQ(s.hop.state, BRF_HOP_ANSWERED);
		EXPECT_EQ(s.hop.answer.status, 201);
		EXPECT_TRUE(s.hop.arrived);
		EXPECT_TRUE(bench.until([&] { return (b.gate.open.empty()); }));
	}
	close();
}

TEST_F(two_nodes, a_refusal_carries_the_gates_load)
{
	{
		struct outgoing_hop s(bench);

		send(s);
		b.gate.refuse(arrived(), BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until(
		    [&] { return (s.hop.state == BRF_HOP_REFUSED); }));
		EXPECT_EQ(s.hop.reason, BRF_R_OVERLOAD);
		EXPECT_FALSE(s.hop.arrived);
		ASSERT_TRUE(s.hop.has_load);
		EXPECT_EQ(s.hop.load.running, 3);
		EXPECT_EQ(s.hop.load.limit, 4);
		EXPECT_EQ(s.hop.load.waiting, 5);
		EXPECT_EQ(s.hop.load.service_ms, 6);
		EXPECT_EQ(s.hop.retry_after_ms, 77u);
	}
	close();
}

/*
 * The whole body is in the pipe before its hop is sent, so no later write to
 * the pipe triggers the sending of what follows the first part.
 */
TEST_F(two_nodes, a_body_longer_than_its_first_part_arrives_whole)
{
	for (size_t length : { 16385u, 32768u, 65535u, 65536u }) {
		struct outgoing_hop s(bench);
		const std::string body(length, 'x');
		struct brf_hop *hop;

		s.hop.request.body = BRF_BODY_LENGTH;
		s.hop.request.length = length;
		s.hop.request_body = &s.request_body;
		brf_pipe_write(&s.request_body, body.data(), body.size());
		brf_pipe_end(&s.request_body);
		send(s);
		hop = arrived();
		ASSERT_NE(hop, nullptr);
		EXPECT_TRUE(bench.until([&] {
			return (hop->request_body->state == BRF_PIPE_ENDED);
		}));
		EXPECT_EQ(brf_pipe_len(hop->request_body), length);
		b.gate.refuse(hop, BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until(
		    [&] { return (s.hop.state == BRF_HOP_REFUSED); }));
	}
	close();
}

/* It runs as a request of the service that it began at. */
TEST_F(two_nodes, a_waiting_hop_keeps_its_caller_when_the_service_changes)
{
	{
		struct outgoing_hop waiting(bench), later(bench);
		struct brf_hop *first;

		send(waiting);
		first = arrived();
		brf_copy_name(a.service, sizeof(a.service), "renamed");
		brf_links_announce_service(a.links);
		send(later);
		EXPECT_TRUE(
		    bench.until([&] { return (b.gate.open.size() == 2); }));
		EXPECT_STREQ(b.gate.open.back()->request.caller, "renamed");
		EXPECT_STREQ(first->request.caller, "service-a");
		b.gate.refuse(b.gate.open.back(), BRF_R_OVERLOAD);
		b.gate.refuse(first, BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until([&] {
			return (waiting.hop.state == BRF_HOP_REFUSED &&
				later.hop.state == BRF_HOP_REFUSED);
		}));
	}
	close();
}

TEST_F(two_nodes, a_changed_service_name_is_announced)
{
	{
		struct outgoing_hop first(bench), second(bench);

		send(first);
		b.gate.refuse(arrived(), BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until(
		    [&] { return (first.hop.state == BRF_HOP_REFUSED); }));
		EXPECT_TRUE(bench.until([&] { return (b.gate.open.empty()); }));
		brf_copy_name(a.service, sizeof(a.service), "renamed");
		brf_links_announce_service(a.links);
		send(second);
		EXPECT_STREQ(arrived()->request.caller, "renamed");
		b.gate.refuse(b.gate.open.back(), BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until(
		    [&] { return (second.hop.state == BRF_HOP_REFUSED); }));
	}
	close();
}

/* Sends 3 MiB in both directions at once; pipes must stay below 256 KiB. */
TEST_F(two_nodes, long_bodies_take_bounded_memory)
{
	const size_t most = 256 * 1024, length = 3 * 1024 * 1024;
	{
		struct outgoing_hop s(bench);
		size_t sent_up = 0, got_up = 0, sent_down = 0, held = 0;
		struct brf_hop *hop;

		s.hop.request.body = BRF_BODY_CHUNKED;
		s.hop.request_body = &s.request_body;
		send(s);
		hop = arrived();
		b.gate.answer(hop, 200, "");
		ASSERT_TRUE(bench.until([&] {
			std::string part(4096, 'x');

			while (sent_up < length &&
			       brf_pipe_space(&s.request_body) != 0) {
				brf_pipe_write(
				    &s.request_body, part.data(), part.size());
				sent_up += part.size();
			}
			if (sent_up == length)
				brf_pipe_end(&s.request_body);
			while (sent_down < length && !b.gate.open.empty() &&
			       brf_pipe_space(&hop->answer_body) != 0) {
				brf_pipe_write(&hop->answer_body, part.data(),
				    part.size());
				sent_down += part.size();
			}
			/* the end of the answer would also end the request */
			if (sent_down == length && got_up == length &&
			    !b.gate.open.empty())
				brf_pipe_end(&hop->answer_body);
			if (!b.gate.open.empty()) {
				held = std::max(
				    held, brf_pipe_len(hop->request_body));
				got_up += brf_pipe_len(hop->request_body);
				brf_pipe_consume(hop->request_body,
				    brf_pipe_len(hop->request_body));
			}
			held = std::max(held, brf_pipe_len(&s.hop.answer_body));
			return (s.hop.answer_body.state == BRF_PIPE_ENDED &&
				brf_pipe_len(&s.hop.answer_body) == 0);
		}));
		EXPECT_LE(held, most);
		EXPECT_EQ(got_up, length);
		EXPECT_EQ(s.received_body.size(), length);
	}
	close();
}

/* The window of an unread answer fills up; other streams must still pass. */
TEST_F(two_nodes, a_slow_reader_does_not_block_other_streams)
{
	{
		struct outgoing_hop slow(bench), quick(bench);
		struct brf_hop *hop;
		size_t written = 0;

		slow.reads = false;
		send(slow);
		hop = arrived();
		b.gate.answer(hop, 200, "");
		ASSERT_TRUE(bench.until(
		    [&] { return (slow.hop.state == BRF_HOP_ANSWERED); }));
		for (int i = 0; i < 2000; i++) {
			std::string part(4096, 'x');

			if (brf_pipe_space(&hop->answer_body) != 0) {
				brf_pipe_write(&hop->answer_body, part.data(),
				    part.size());
				written += part.size();
			}
			uv_run(&bench.loop, UV_RUN_NOWAIT);
		}
		EXPECT_LT(written, 512u * 1024);
		send(quick);
		b.gate.refuse(arrived(2), BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until(
		    [&] { return (quick.hop.state == BRF_HOP_REFUSED); }));
	}
	close();
}

TEST_F(two_nodes, an_answer_whose_start_is_retained_goes_on)
{
	const size_t length = 300000;
	{
		struct outgoing_hop s(bench);
		struct brf_hop *hop;
		size_t written = 0;

		s.reads = false;
		send(s);
		hop = arrived();
		b.gate.answer(hop, 200, "");
		EXPECT_TRUE(bench.until([&] {
			std::string part(1000, 'x');

			if (written < length &&
			    brf_pipe_space(&hop->answer_body) != 0) {
				brf_pipe_write(&hop->answer_body, part.data(),
				    part.size());
				written += part.size();
			}
			if (brf_pipe_backlog(&s.hop.answer_body) > 50000)
				brf_pipe_retain(&s.hop.answer_body);
			return (brf_pipe_len(&s.hop.answer_body) == length);
		}));
	}
	close();
}

TEST_F(two_nodes, a_cancelled_hop_is_cancelled_at_its_gate)
{
	{
		struct outgoing_hop s(bench);

		send(s);
		arrived();
		brf_hop_release(&s.hop);
		EXPECT_TRUE(bench.until([&] { return (b.gate.open.empty()); }));
		EXPECT_EQ(b.gate.cancelled, 1u);
		EXPECT_EQ(brf_links_served(b.links), 0u);
	}
	close();
}

TEST_F(two_nodes, an_aborted_answer_is_reported_as_broken)
{
	{
		struct outgoing_hop s(bench);
		struct brf_hop *hop;

		send(s);
		hop = arrived();
		b.gate.answer(hop, 200, "");
		brf_pipe_write(&hop->answer_body, "part", 4);
		ASSERT_TRUE(
		    bench.until([&] { return (s.received_body == "part"); }));
		brf_pipe_break(&hop->answer_body);
		EXPECT_TRUE(bench.until([&] {
			return (s.hop.answer_body.state == BRF_PIPE_BROKEN);
		}));
	}
	close();
}

/*
 * A hop that was sent may have run, so it must end as failed.  A hop that was
 * never sent has not run, so it must end as refused and may be retried.
 */
TEST_F(two_nodes, a_lost_connection_fails_sent_hops_and_refuses_later_ones)
{
	{
		struct outgoing_hop running(bench), later(bench);
		int closed = 0;

		send(running);
		arrived();
		brf_links_close(b.links, on_closed, &closed);
		ASSERT_TRUE(bench.until(
		    [&] { return (running.hop.state != BRF_HOP_OPEN); }));
		EXPECT_EQ(running.hop.state, BRF_HOP_FAILED);
		EXPECT_EQ(running.hop.reason, BRF_R_CONNECTION_LOST);
		EXPECT_EQ(brf_link_health(link_to_b()), BRF_LINK_DOWN);
		send(later);
		ASSERT_TRUE(bench.until(
		    [&] { return (later.hop.state != BRF_HOP_OPEN); }));
		EXPECT_EQ(later.hop.state, BRF_HOP_REFUSED);
		EXPECT_EQ(later.hop.reason, BRF_R_NOT_SENT);
		EXPECT_TRUE(bench.until([&] { return (closed == 1); }));
	}
	close();
}

/*
 * A released link must not be freed before the sender has released the last
 * hop, even if that has ended and the connection is closed.
 */
TEST_F(two_nodes, a_released_link_outlives_its_ended_hops)
{
	{
		struct outgoing_hop s(bench);
		struct brf_hop *hop;
		int closed = 0;

		send(s);
		hop = arrived();
		release_link_to_b();
		b.gate.answer(hop, 200, "");
		brf_pipe_end(&hop->answer_body);
		ASSERT_TRUE(bench.until([&] {
			return (s.hop.answer_body.state == BRF_PIPE_ENDED);
		}));
		brf_links_close(b.links, on_closed, &closed);
		ASSERT_TRUE(bench.until([&] { return (closed == 1); }));
		bench.turns(50);
		/* the connection is closed; the hop still refers to the link */
	}
	close();
}

TEST_F(two_nodes, a_released_link_can_be_taken_up_again)
{
	{
		struct outgoing_hop first(bench), second(bench);

		send(first);
		arrived();
		release_link_to_b();
		send(second); /* gets the same link again */
		arrived(2);
		b.gate.refuse(b.gate.open.front(), BRF_R_OVERLOAD);
		b.gate.refuse(b.gate.open.back(), BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until([&] {
			return (first.hop.state == BRF_HOP_REFUSED &&
				second.hop.state == BRF_HOP_REFUSED);
		}));
	}
	close();
}

TEST_F(two_nodes, a_newer_table_is_sent_in_both_directions)
{
	{
		struct outgoing_hop s(bench);
		struct brf_hop *hop;

		a.news.revision = 7;
		a.news.text = "seven";
		send(s);
		hop = arrived();
		EXPECT_TRUE(
		    bench.until([&] { return (b.news.received == 7); }));
		EXPECT_EQ(b.news.received_text, "seven");
		b.news.revision = 9;
		b.news.text = std::string(300000, 'n');
		brf_links_announce_table(b.links);
		EXPECT_TRUE(
		    bench.until([&] { return (a.news.received == 9); }));
		EXPECT_EQ(a.news.received_text.size(), 300000u);
		b.gate.refuse(hop, BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until(
		    [&] { return (s.hop.state == BRF_HOP_REFUSED); }));
	}
	close();
}

TEST_F(two_nodes, a_node_without_a_store_receives_targets_from_peers)
{
	{
		struct outgoing_hop s(bench);
		struct brf_hop *hop;

		a.hints.text = "those a knows";
		b.hints.needed = true;
		send(s);
		hop = arrived();
		EXPECT_TRUE(bench.until([&] { return (!b.hints.needed); }));
		EXPECT_EQ(b.hints.received, "those a knows");
		EXPECT_EQ(a.hints.received, "");
		a.hints.text = std::string(300000, 't');
		b.hints.needed = true;
		brf_links_request_targets(b.links);
		EXPECT_TRUE(bench.until([&] { return (!b.hints.needed); }));
		EXPECT_EQ(b.hints.received.size(), 300000u);
		b.hints.text = "those b knows";
		a.hints.needed = true;
		brf_links_request_targets(a.links);
		EXPECT_TRUE(bench.until([&] { return (!a.hints.needed); }));
		EXPECT_EQ(a.hints.received, "those b knows");
		b.gate.refuse(hop, BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until(
		    [&] { return (s.hop.state == BRF_HOP_REFUSED); }));
	}
	close();
}

/* The listener accepts connections and never sends a byte. */
TEST_F(two_nodes, a_silent_node_is_detected_and_its_connection_closed)
{
	{
		struct raw_listener mute;
		struct sockaddr_in addr = loopback(mute.port);
		struct outgoing_hop s(bench);
		struct brf_link *link = brf_links_get(a.links, &addr);

		brf_hop_send(brf_link_backend(link), &s.hop);
		EXPECT_TRUE(bench.until([&] {
			return (brf_link_health(link) == BRF_LINK_SILENT);
		}));
		EXPECT_EQ(s.hop.state, BRF_HOP_OPEN);
		EXPECT_TRUE(
		    bench.until([&] { return (s.hop.state != BRF_HOP_OPEN); }));
		EXPECT_EQ(s.hop.state, BRF_HOP_FAILED);
		EXPECT_EQ(brf_link_health(link), BRF_LINK_DOWN);
	}
	close();
}

/* A node that counts as silent is passed over, so that nothing would be sent
 * there that could end it. */
TEST_F(two_nodes, a_silent_connection_is_closed_without_a_hop_on_it)
{
	{
		struct raw_listener mute;
		struct sockaddr_in addr = loopback(mute.port);
		struct brf_link *link = brf_links_get(a.links, &addr);

		{
			struct outgoing_hop s(bench);

			brf_hop_send(brf_link_backend(link), &s.hop);
			EXPECT_TRUE(bench.until([&] {
				return (
				    brf_link_health(link) == BRF_LINK_SILENT);
			}));
		}
		EXPECT_TRUE(bench.until([&] {
			return (brf_link_health(link) != BRF_LINK_SILENT);
		}));
	}
	close();
}

namespace
{

/* Decodes one record up to the arguments or results of its call. */
struct one_record {
	struct brf_record_reader reader = {};
	struct brf_record record = {};
	struct brf_rpc_header header = {};
	struct brf_error err = {};
	XDR xdr;
	bool whole;

	explicit one_record(const struct brf_buf &out)
	{
		brf_record_feed(&reader, out.data, out.len);
		whole = brf_record_next(&reader, &record, &err) ==
			    BRF_RECORD_COMPLETE &&
			brf_rpc_read(&xdr, &record, &header, &err);
	}

	~one_record()
	{
		brf_record_reader_free(&reader);
	}
};

struct brf_link_text
as_text(const std::string &s)
{
	return ((struct brf_link_text){ s.data(), s.size() });
}

} // namespace

namespace
{

std::string
some_fields()
{
	std::string block;

	for (int i = *rc::gen::inRange(0, 5); i > 0; i--)
		block += "x: " +
			 *rc::gen::container<std::string>(
			     rc::gen::inRange<char>(' ', 127)) +
			 "\r\n";
	return (block);
}

} // namespace

RC_GTEST_PROP(link_codec, a_request_is_decoded_as_it_was_encoded, ())
{
	const std::string fields = some_fields();
	const auto part = *rc::gen::arbitrary<std::string>();
	const std::string id("id"), path("/a?b");
	struct brf_link_send send = {}, read = {};
	struct brf_buf out = {};

	send.timeout_us = *rc::gen::arbitrary<uint32_t>();
	send.max_wait_us = *rc::gen::arbitrary<uint32_t>();
	send.rank = *rc::gen::inRange<uint32_t>(0, 256);
	send.body = (enum brf_body_kind) * rc::gen::inRange((int)BRF_BODY_NONE,
					       (int)BRF_BODY_CHUNKED + 1);
	send.repeatable = *rc::gen::arbitrary<bool>();
	send.nested = *rc::gen::arbitrary<bool>();
	send.repeat = *rc::gen::arbitrary<bool>();
	send.end = *rc::gen::arbitrary<bool>();
	if (send.body == BRF_BODY_LENGTH && !send.end)
		send.length = *rc::gen::arbitrary<uint64_t>();
	else if (send.end)
		send.length = part.size();
	send.id = send.target = send.method = send.host = as_text(id);
	send.path = as_text(path);
	send.fields = as_text(fields);
	send.part = as_text(part);
	send.rate_limit = *rc::gen::element<double>(0, 0.2, 14.6, 1e6);
	if (send.rate_limit != 0)
		send.born = *rc::gen::arbitrary<uint64_t>();
	brf_link_send_put(&out, 17, &send);
	struct one_record r(out);

	RC_ASSERT(r.whole);
	RC_ASSERT(r.header.xid == 17u);
	RC_ASSERT(r.header.procedure == (uint32_t)BRF_LINK_SEND);
	RC_ASSERT(brf_link_send_get(&r.xdr, &r.record, &read, &r.err));
	RC_ASSERT(read.timeout_us == send.timeout_us);
	RC_ASSERT(read.max_wait_us == send.max_wait_us);
	RC_ASSERT(read.rank == send.rank);
	RC_ASSERT(read.body == send.body);
	RC_ASSERT(read.repeatable == send.repeatable);
	RC_ASSERT(read.nested == send.nested);
	RC_ASSERT(read.repeat == send.repeat);
	RC_ASSERT(read.end == send.end);
	RC_ASSERT(read.length == send.length);
	RC_ASSERT(text_of(read.id) == id);
	RC_ASSERT(text_of(read.path) == path);
	RC_ASSERT(text_of(read.fields) == fields);
	RC_ASSERT(text_of(read.part) == part);
	RC_ASSERT(std::abs(read.rate_limit - send.rate_limit) <= 1e-6);
	RC_ASSERT(read.born == send.born);
	brf_buf_free(&out);
}

RC_GTEST_PROP(link_codec, a_reply_is_decoded_as_it_was_encoded, ())
{
	const std::string fields = some_fields();
	const auto part = *rc::gen::arbitrary<std::string>();
	struct brf_link_reply reply = {}, read = {};
	struct brf_buf out = {};

	reply.state =
	    (enum brf_hop_state) *
	    rc::gen::inRange((int)BRF_HOP_ANSWERED, (int)BRF_HOP_FAILED + 1);
	reply.reason =
	    (enum brf_reason) * rc::gen::inRange(0, (int)BRF_REASON_COUNT);
	reply.arrived = *rc::gen::arbitrary<bool>();
	reply.marked = *rc::gen::arbitrary<bool>();
	reply.nested_route = *rc::gen::arbitrary<bool>();
	reply.retry_after_ms = *rc::gen::arbitrary<uint32_t>();
	reply.replacement = as_text(part);
	reply.load = { 1, 2, 3, 65535 };
	reply.report.self.heard = *rc::gen::arbitrary<bool>();
	reply.report.self.leaving = *rc::gen::arbitrary<bool>();
	reply.report.self.rate_limit =
	    *rc::gen::element<double>(0, 0.2, 14.6, 1e6);
	if (reply.report.self.leaving || reply.report.self.rate_limit != 0)
		reply.report.born = *rc::gen::arbitrary<uint64_t>();
	if (reply.report.self.rate_limit != 0)
		reply.report.permit_wait_us = *rc::gen::arbitrary<uint64_t>();
	reply.status = 200;
	reply.body = BRF_BODY_CHUNKED;
	reply.end = *rc::gen::arbitrary<bool>();
	reply.fields = as_text(fields);
	reply.part = as_text(part);
	brf_link_reply_put(&out, 17, &reply);
	struct one_record r(out);

	RC_ASSERT(r.whole);
	RC_ASSERT(!r.header.is_call);
	RC_ASSERT(brf_link_reply_get(&r.xdr, &r.record, &read, &r.err));
	RC_ASSERT(read.state == reply.state);
	RC_ASSERT(read.arrived == reply.arrived);
	RC_ASSERT(read.marked == reply.marked);
	RC_ASSERT(read.report.self.heard == reply.report.self.heard);
	RC_ASSERT(read.report.self.leaving == reply.report.self.leaving);
	RC_ASSERT(std::abs(read.report.self.rate_limit -
			   reply.report.self.rate_limit) <= 1e-6);
	RC_ASSERT(read.report.born == reply.report.born);
	RC_ASSERT(read.report.permit_wait_us == reply.report.permit_wait_us);
	RC_ASSERT(read.nested_route == reply.nested_route);
	RC_ASSERT(read.load.service_ms == 65535);
	if (reply.state == BRF_HOP_ANSWERED) {
		RC_ASSERT(read.status == 200u);
		RC_ASSERT(read.body == BRF_BODY_CHUNKED);
		RC_ASSERT(read.end == reply.end);
		RC_ASSERT(text_of(read.fields) == fields);
		RC_ASSERT(text_of(read.part) == part);
	} else {
		RC_ASSERT(read.reason == reply.reason);
		RC_ASSERT(read.retry_after_ms == reply.retry_after_ms);
		RC_ASSERT(text_of(read.replacement) ==
			  (reply.reason == BRF_R_NO_TARGET ? part : ""));
	}
	brf_buf_free(&out);
}

/* Decoded texts must lie within the record, whatever bytes a peer sends. */
RC_GTEST_PROP(link_codec, changed_bytes_are_decoded_or_rejected, ())
{
	struct brf_link_send send = {}, read = {};
	const std::string text = "text";
	struct brf_buf out = {};

	send.id = send.target = send.method = send.host = send.path =
	    send.fields = send.part = as_text(text);
	brf_link_send_put(&out, 17, &send);
	for (int i = *rc::gen::inRange(1, 4); i > 0; i--)
		out.data[*rc::gen::inRange<size_t>(4, out.len)] =
		    *rc::gen::arbitrary<char>();
	struct one_record r(out);

	if (r.whole && brf_link_send_get(&r.xdr, &r.record, &read, &r.err)) {
		RC_ASSERT(read.id.data >= r.record.data);
		RC_ASSERT(read.part.data + read.part.len <=
			  r.record.data + r.record.len);
	}
	brf_buf_free(&out);
}

RC_GTEST_PROP(link_codec, a_watch_reply_is_decoded_as_it_was_encoded, ())
{
	auto keys = *rc::gen::container<std::vector<std::string>>(
	    rc::gen::nonEmpty(rc::gen::string<std::string>()));
	std::vector<struct brf_store_kv> kvs;
	struct brf_record_reader reader = {};
	struct brf_link_watch_reply sent = {}, received;
	struct brf_rpc_header header;
	struct brf_record record;
	struct brf_buf out = {};
	struct brf_error err;
	XDR xdr;

	for (std::string &key : keys) {
		key.erase(std::remove(key.begin(), key.end(), '\0'), key.end());
		struct brf_store_kv kv = {};
		kv.key = &key[0];
		kv.value = &key[0];
		kv.len = key.size();
		kv.revision = *rc::gen::arbitrary<uint64_t>();
		kv.deleted = *rc::gen::arbitrary<bool>();
		kvs.push_back(kv);
	}
	sent.status = BRF_LINK_WATCH_OK;
	sent.epoch = *rc::gen::arbitrary<uint64_t>();
	sent.event = { *rc::gen::arbitrary<uint64_t>(), kvs.data(),
		kvs.size() };
	brf_link_watch_reply_put(&out, 7, &sent);
	brf_record_feed(&reader, out.data, out.len);
	RC_ASSERT(
	    brf_record_next(&reader, &record, &err) == BRF_RECORD_COMPLETE);
	RC_ASSERT(brf_rpc_read(&xdr, &record, &header, &err));
	RC_ASSERT(header.xid == 7);
	RC_ASSERT(brf_link_watch_reply_get(&xdr, &record, &received, &err));
	RC_ASSERT(received.epoch == sent.epoch);
	RC_ASSERT(received.event.revision == sent.event.revision);
	RC_ASSERT(received.event.count == kvs.size());
	for (size_t i = 0; i < kvs.size(); i++) {
		const struct brf_store_kv &kv = received.event.kvs[i];

		RC_ASSERT(std::string(kv.key) == kvs[i].key);
		RC_ASSERT(std::string(kv.value, kv.len) ==
			  std::string(kvs[i].value, kvs[i].len));
		RC_ASSERT(kv.revision == kvs[i].revision);
		RC_ASSERT(kv.deleted == kvs[i].deleted);
	}
	brf_store_event_free(&received.event);
	brf_buf_free(&out);
	brf_record_reader_free(&reader);
}

namespace
{

struct sent_note {
	struct brf_link_note note = {};
	bool ended = false;
	enum brf_link_note_result result = BRF_LINK_NOTE_LOST;

	static void
	done(struct brf_link_note *n, enum brf_link_note_result result)
	{
		auto *s = (struct sent_note *)(void *)n;

		s->ended = true;
		s->result = result;
	}
};

} // namespace

/* A node of an older version does not know notes, so that it keeps none. */
TEST_F(two_nodes, a_note_that_the_node_does_not_know_is_lost)
{
	struct sent_note s;

	s.note.text = { "note", 4 };
	s.note.done = sent_note::done;
	s.result = BRF_LINK_NOTE_KEPT;
	ASSERT_TRUE(brf_link_note_send(link_to_b(), &s.note));
	EXPECT_TRUE(bench.until([&] { return (s.ended); }));
	EXPECT_EQ(s.result, BRF_LINK_NOTE_LOST);
	close();
}

/* Results out of range, and cut short, are no acknowledgements. */
TEST(link_codec, a_result_of_a_note_is_one_of_the_known_ones)
{
	for (uint64_t value = 0; value < 6; value++) {
		enum brf_link_note_result result = BRF_LINK_NOTE_LOST;
		struct brf_buf out = {};

		brf_link_note_result_put(
		    &out, 7, (enum brf_link_note_result)value);
		struct one_record r(out);
		struct brf_rpc_header header;

		ASSERT_TRUE(r.whole);
		EXPECT_TRUE(brf_rpc_read(&r.xdr, &r.record, &header, &r.err));
		EXPECT_EQ(brf_link_note_result_get(
			      &r.xdr, &r.record, &result, &r.err),
		    value >= BRF_LINK_NOTE_REFUSED &&
			value <= BRF_LINK_NOTE_RECORDED);
		brf_buf_free(&out);
	}
}

/* A node of an older version does not know watches. */
TEST_F(two_nodes, a_watch_that_the_node_does_not_know_ends)
{
	struct ended_watch {
		struct brf_link_watch watch;
		bool ended = false;
		bool has_reply = false;

		static void
		done(struct brf_link_watch *w,
		    const struct brf_link_watch_reply *reply)
		{
			auto *e = (struct ended_watch *)(void *)w;

			e->ended = true;
			e->has_reply = reply != nullptr;
		}
	} w;

	w.watch = {};
	w.watch.call.prefix = { "p/", 2 };
	w.watch.done = ended_watch::done;
	ASSERT_TRUE(brf_link_watch_start(link_to_b(), &w.watch));
	EXPECT_TRUE(bench.until([&] { return (w.ended); }));
	EXPECT_FALSE(w.has_reply);
	close();
}

namespace
{

/* Messages of one hop that another node should not send. */
struct malformed_case {
	const char *name;
	std::function<void(struct brf_buf &out, uint32_t xid)> put;
};

size_t
count_of(const std::string &in, const std::string &what)
{
	size_t n = 0;

	for (size_t at = 0; (at = in.find(what, at)) != std::string::npos;
	     at += what.size())
		n++;
	return (n);
}

void
put_answer(struct brf_buf &out, uint32_t xid, bool end)
{
	struct brf_link_reply reply = {};
	const std::string none;

	reply.state = BRF_HOP_ANSWERED;
	reply.arrived = true;
	reply.load = { 1, 2, 3, 4 };
	reply.status = 200;
	reply.body = BRF_BODY_CHUNKED;
	reply.end = end;
	reply.fields = reply.part = as_text(none);
	brf_link_reply_put(&out, xid, &reply);
}

void
put_part(struct brf_buf &out, uint32_t xid, size_t len, bool end = false)
{
	const std::string part(len, 'x');
	struct brf_link_data data = {};

	data.stream = xid;
	data.part = as_text(part);
	data.end = end;
	brf_link_data_put(&out, &data);
}

void
put_too_much(struct brf_buf &out, uint32_t xid)
{
	for (int i = 0; i < 5; i++)
		put_part(out, xid, BRF_LINK_PART_MAX);
}

void
put_request(struct brf_buf &out, uint32_t xid)
{
	const std::string text = "t-1", none;
	struct brf_link_send send = {};

	send.timeout_us = send.max_wait_us = 60000000;
	send.body = BRF_BODY_CHUNKED;
	send.id = send.target = send.method = send.host = send.path =
	    as_text(text);
	send.fields = send.part = as_text(none);
	brf_link_send_put(&out, xid, &send);
}

/* Send @out on @p, and clear it. */
void
put_all(raw_peer &p, struct brf_buf &out)
{
	EXPECT_EQ(p.put(std::string(out.data, out.len)), "");
	brf_buf_free(&out);
}

const std::vector<struct malformed_case> malformed_replies = {
	{ "body exceeds its window",
	    [](struct brf_buf &out, uint32_t xid) {
		    put_answer(out, xid, false);
		    put_too_much(out, xid);
	    } },
	{ "second reply",
	    [](struct brf_buf &out, uint32_t xid) {
		    put_answer(out, xid, false);
		    put_answer(out, xid, false);
	    } },
	{ "body before its head",
	    [](struct brf_buf &out, uint32_t xid) { put_part(out, xid, 3); } },
	{ "reply without a result",
	    [](struct brf_buf &out, uint32_t xid) {
		    brf_rpc_write_status(&out, xid, BRF_RPC_SUCCESS);
	    } },
	{ "unknown procedure",
	    [](struct brf_buf &out, uint32_t xid) {
		    brf_link_empty_call_put(
			&out, xid, (enum brf_link_procedure)99);
	    } },
};

} // namespace

TEST_F(two_nodes, a_malformed_reply_ends_only_its_own_hop)
{
	for (const auto &c : malformed_replies) {
		struct raw_listener node;
		struct sockaddr_in addr = loopback(node.port);
		struct brf_link *link = brf_links_get(a.links, &addr);
		struct brf_buf out = {};

		{
			struct outgoing_hop bad(bench), good(bench);

			bad.reads = false;
			brf_hop_send(brf_link_backend(link), &bad.hop);
			brf_hop_send(brf_link_backend(link), &good.hop);
			ASSERT_TRUE(bench.until([&] {
				node.serve();
				return (node.peers.size() == 1 &&
					count_of(node.peers[0]->got,
					    "h.example") == 2);
			})) << c.name;
			c.put(out, 0);
			put_all(*node.peers[0], out);
			EXPECT_TRUE(bench.until([&] {
				return (bad.hop.state == BRF_HOP_FAILED ||
					bad.hop.answer_body.state ==
					    BRF_PIPE_BROKEN);
			})) << c.name;
			put_answer(out, 1, true);
			put_all(*node.peers[0], out);
			EXPECT_TRUE(bench.until([&] {
				return (good.hop.state != BRF_HOP_OPEN);
			})) << c.name;
			EXPECT_EQ(good.hop.state, BRF_HOP_ANSWERED) << c.name;
			EXPECT_EQ(good.hop.answer_body.state, BRF_PIPE_ENDED)
			    << c.name;
			EXPECT_EQ(brf_link_health(link), BRF_LINK_UP) << c.name;
		}
		brf_link_release(link);
	}
	close();
}

TEST_F(two_nodes, a_malformed_message_of_a_sender_ends_only_its_own_hop)
{
	const std::vector<struct malformed_case> cases = {
		{ "body exceeds its window", put_too_much },
		{ "body after its end",
		    [](struct brf_buf &out, uint32_t xid) {
			    put_part(out, xid, 3, true);
			    put_part(out, xid, 3);
		    } },
		{ "stream is open already", put_request },
		{ "part without arguments",
		    [](struct brf_buf &out, uint32_t xid) {
			    brf_link_empty_call_put(&out, xid, BRF_LINK_DATA);
		    } },
	};
	const std::string name = "c";
	struct brf_link_hello hello = {};

	hello.node = hello.service = as_text(name);
	for (const auto &c : cases) {
		struct brf_buf out = {};
		struct brf_hop *good;
		raw_peer p;

		p.connect_to(ntohs(b.addr.sin_port));
		brf_link_hello_put(&out, 0xffffffffu, false, &hello);
		put_request(out, 5);
		put_request(out, 6);
		put_all(p, out);
		good = arrived(2);
		ASSERT_EQ(b.gate.open.size(), 2u) << c.name;
		c.put(out, 5);
		put_all(p, out);
		EXPECT_TRUE(bench.until([&] {
			return (b.gate.open.size() < 2);
		})) << c.name;
		bench.turns(20);
		p.get();
		EXPECT_FALSE(p.ended) << c.name;
		ASSERT_EQ(b.gate.open.size(), 1u) << c.name;
		EXPECT_EQ(b.gate.open.front(), good) << c.name;
		p.got.clear();
		b.gate.refuse(good, BRF_R_OVERLOAD);
		EXPECT_TRUE(bench.until([&] {
			p.get();
			return (!p.got.empty());
		})) << c.name;
		p.drop();
		EXPECT_TRUE(bench.until([&] { return (b.gate.open.empty()); }));
	}
	close();
}

/* The request was not taken, so it may be sent to another target. */
TEST_F(two_nodes, a_request_that_cannot_be_read_is_answered_as_not_run)
{
	const std::string name = "c";
	struct brf_link_hello hello = {};
	struct brf_buf out = {};
	raw_peer p;

	hello.node = hello.service = as_text(name);
	p.connect_to(ntohs(b.addr.sin_port));
	brf_link_hello_put(&out, 0xffffffffu, false, &hello);
	put_request(out, 6);
	put_all(p, out);
	arrived(1);
	EXPECT_TRUE(bench.until([&] {
		p.get();
		return (!p.got.empty()); /* the reply to HELLO */
	}));
	p.got.clear();
	brf_link_empty_call_put(&out, 5, BRF_LINK_SEND);
	put_all(p, out);
	EXPECT_TRUE(bench.until([&] {
		p.get();
		return (!p.got.empty() || p.ended);
	}));
	EXPECT_FALSE(p.ended);
	EXPECT_EQ(b.gate.open.size(), 1u);
	brf_buf_add(&out, p.got.data(), p.got.size());
	{
		struct one_record r(out);

		EXPECT_TRUE(r.whole);
		EXPECT_EQ(r.header.xid, 5u);
		EXPECT_EQ(r.header.status, BRF_RPC_GARBAGE_ARGS);
	}
	brf_buf_free(&out);
	p.drop();
	EXPECT_TRUE(bench.until([&] { return (b.gate.open.empty()); }));
	close();
}

/* No hop is left that would start the timer of its connection. */
TEST_F(two_nodes, an_unused_link_is_closed_when_its_last_hop_was_never_sent)
{
	struct raw_listener node;
	struct sockaddr_in addr = loopback(node.port);
	struct brf_link *link = brf_links_get(a.links, &addr);

	{
		struct outgoing_hop s(bench);

		brf_hop_send(brf_link_backend(link), &s.hop);
		brf_link_release(link);
	}
	EXPECT_TRUE(bench.until([&] {
		node.serve();
		return (node.peers.size() == 1 && node.peers[0]->ended);
	}));
	close();
}

/* An ended hop keeps the link, whose connection was closed on purpose. */
TEST_F(two_nodes, a_link_closed_as_unused_is_not_down)
{
	{
		struct outgoing_hop first(bench), second(bench);
		struct brf_hop *hop;

		send(first);
		hop = arrived();
		b.gate.answer(hop, 200, "");
		brf_pipe_end(&hop->answer_body);
		ASSERT_TRUE(bench.until([&] {
			return (first.hop.answer_body.state == BRF_PIPE_ENDED);
		}));
		release_link_to_b();
		EXPECT_EQ(brf_link_health(link_to_b()), BRF_LINK_IDLE);
		send(second);
		EXPECT_NE(arrived(), nullptr);
		EXPECT_EQ(second.hop.state, BRF_HOP_OPEN);
	}
	release_link_to_b();
	close();
}

/*
 * The other node doesn't read, then sends what closes the connection.  Whatever
 * it can still read afterwards holds no request that was reported as not run.
 */
TEST_F(two_nodes, a_refused_hop_never_reached_the_other_node)
{
	const size_t count = 60;
	const std::string fields = "x: " + std::string(300000, 'y') + "\r\n";
	struct raw_listener node;
	struct sockaddr_in addr = loopback(node.port);
	struct brf_link *link = brf_links_get(a.links, &addr);
	std::list<struct outgoing_hop> hops;
	std::vector<std::string> ids;
	size_t refused = 0, failed = 0, i = 0;

	for (i = 0; i < count; i++)
		ids.push_back("id-" + std::to_string(1000 + i) + "-end");
	for (const auto &id : ids) {
		hops.emplace_back(bench);
		hops.back().hop.request.id = id.c_str();
		hops.back().hop.request.fields = fields.c_str();
		hops.back().hop.request.fields_len = fields.size();
		brf_hop_send(brf_link_backend(link), &hops.back().hop);
	}
	bench.turns(500);
	node.peers.push_back(new raw_peer());
	node.peers[0]->fd = accept4(node.fd, nullptr, nullptr, SOCK_NONBLOCK);
	node.peers[0]->put(std::string(64, '\xff'));
	EXPECT_TRUE(bench.until(
	    [&] { return (hops.back().hop.state != BRF_HOP_OPEN); }));
	EXPECT_TRUE(bench.until([&] {
		node.serve();
		return (node.peers[0]->ended);
	}));
	i = 0;
	for (auto &s : hops) {
		if (s.hop.state == BRF_HOP_REFUSED) {
			EXPECT_EQ(
			    node.peers[0]->got.find(ids[i]), std::string::npos)
			    << ids[i];
			refused++;
		} else {
			EXPECT_EQ(s.hop.state, BRF_HOP_FAILED);
			failed++;
		}
		i++;
	}
	EXPECT_NE(refused, 0u);
	EXPECT_NE(failed, 0u);
	hops.clear();
	brf_link_release(link);
	close();
}
