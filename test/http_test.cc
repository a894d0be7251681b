#include <gtest/gtest.h>
#include <malloc.h>

#include "bulrushford.h"
#include "chunks_fake.h"
#include "http_fake.h"

namespace
{

/* A handler that counts requests and answers, holds or aborts them. */
struct recorder {
	struct brf_http_handler handler;
	enum {
		ANSWER,
		HOLD,
		ABORT
	} mode;
	std::vector<struct brf_http_request *> held;
	std::string bodies;
	std::string fields;
	std::string hosts;
	int handled;
	int disconnected;
};

void
echo(struct brf_http_request *r)
{
	struct brf_message *m = brf_http_request_message(r);
	struct brf_message *answer = brf_message_new();
	struct brf_header extra = { "brf-outcome", "answered" };

	answer->status = 200;
	brf_message_add_header(answer, "brf-forged", 10, "x", 1, nullptr);
	brf_message_add_header(
	    answer, "x-path", 6, m->path, strlen(m->path), nullptr);
	brf_buf_add(&answer->body, m->body.data, m->body.len);
	brf_http_respond(r, answer, &extra, 1);
	brf_message_unref(answer);
}

void
record_handle(struct brf_http_handler *h, struct brf_http_request *r)
{
	auto *rec = reinterpret_cast<struct recorder *>(h);
	struct brf_message *m = brf_http_request_message(r);

	rec->handled++;
	rec->hosts += std::string(brf_http_request_host(r)) + ";";
	rec->bodies.append(m->body.data ? m->body.data : "", m->body.len);
	for (size_t i = 0; i < m->header_count; i++)
		rec->fields += std::string(m->headers[i].name) + "=" +
			       m->headers[i].value + ";";
	if (rec->mode == recorder::ANSWER)
		echo(r);
	else if (rec->mode == recorder::ABORT)
		brf_http_abort(r);
	else
		rec->held.push_back(r);
}

void
record_disconnected(struct brf_http_handler *h, struct brf_http_request *r)
{
	auto *rec = reinterpret_cast<struct recorder *>(h);

	rec->disconnected++;
	for (auto &held : rec->held) {
		if (held == r)
			held = nullptr;
	}
}

const struct brf_http_handler_vt record_vt = { record_handle,
	record_disconnected };

class server : public ::testing::Test
{
      protected:
	struct http_test_loop test_loop;
	struct recorder rec = {};
	struct brf_http_server *srv = nullptr;
	uint16_t port = 0;
	bool closed = false;

	void
	SetUp() override
	{
		struct sockaddr_in addr = loopback(0);

		rec.handler.vt = &record_vt;
		srv = brf_http_server_new(test_loop.hl, "test",
		    (struct sockaddr *)&addr, &rec.handler, &port, nullptr);
		ASSERT_NE(srv, nullptr);
	}

	static void
	set_closed(void *arg)
	{
		*static_cast<bool *>(arg) = true;
	}

	void
	TearDown() override
	{
		if (!closed)
			brf_http_server_close(srv, set_closed, &closed);
		EXPECT_TRUE(test_loop.run_loop_until([&] { return (closed); }));
		EXPECT_EQ(brf_http_server_connections(srv), 0u);
		brf_http_server_free(srv);
	}

	/*
	 * Send all of @bytes and run the loop until the peer received @want or
	 * the end of the connection.
	 */
	void
	exchange(struct raw_peer &p, std::string bytes, const std::string &want)
	{
		test_loop.run_loop_until([&] {
			if (!bytes.empty())
				bytes = p.put(bytes);
			p.get();
			return (
			    p.ended || p.got.find(want) != std::string::npos);
		});
	}
};

std::string
field_lines(int n, size_t len)
{
	std::string s;

	for (int i = 0; i < n; i++)
		s += "f" + std::to_string(i) + ": " + std::string(len, 'v') +
		     "\r\n";
	return (s);
}

std::string
chunks(size_t total)
{
	std::string s;

	for (size_t n = 0; n < total; n += 65536)
		s += "10000\r\n" + std::string(65536, 'c') + "\r\n";
	return (s + "0\r\n\r\n");
}

const std::string host = "host: a\r\n";
const std::string te = "transfer-encoding: chunked\r\n";

const struct request_case {
	const char *name;
	std::string bytes;
	const char *status;
	const char *reason; /* NULL when the request reaches the handler */
	const char *body;
} request_cases[] = {
	{ "plain", "GET /p?q=1 HTTP/1.1\r\n" + host + "\r\n", "200", nullptr,
	    "" },
	{ "absolute form", "GET http://A:80/p HTTP/1.1\r\n" + host + "\r\n",
	    "200", nullptr, "" },
	{ "absolute form without a path",
	    "GET HTTP://a HTTP/1.1\r\n" + host + "\r\n", "200", nullptr, "" },
	{ "absolute form of another scheme",
	    "GET ftp://a/ HTTP/1.1\r\n" + host + "\r\n", "400", "malformed",
	    nullptr },
	{ "http 1.0 without host", "GET / HTTP/1.0\r\n\r\n", "200", nullptr,
	    "" },
	{ "length",
	    "POST / HTTP/1.1\r\n" + host + "content-length: 5\r\n\r\nhello",
	    "200", nullptr, "hello" },
	{ "chunked",
	    "POST / HTTP/1.1\r\n" + host + te +
		"\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n",
	    "200", nullptr, "hello" },
	{ "body of the maximum size",
	    "POST / HTTP/1.1\r\n" + host + "content-length: 1048576\r\n\r\n" +
		std::string(1048576, 'x'),
	    "200", nullptr, nullptr },
	{ "no host", "GET / HTTP/1.1\r\n\r\n", "400", "malformed", nullptr },
	/* h2o itself answers bytes that are not HTTP, by a fixed text */
	{ "garbage", "\x16\x03\x01\x02\x01garbage garbage\r\n\r\n", "400", "",
	    nullptr },
	{ "folded field", "GET / HTTP/1.1\r\n" + host + "a: b\r\n c\r\n\r\n",
	    "400", "malformed", nullptr },
	{ "length is not a number",
	    "POST / HTTP/1.1\r\n" + host + "content-length: 5x\r\n\r\nhello",
	    "400", "malformed", nullptr },
	{ "negative length",
	    "POST / HTTP/1.1\r\n" + host + "content-length: -5\r\n\r\nhello",
	    "400", "malformed", nullptr },
	{ "broken chunk",
	    "POST / HTTP/1.1\r\n" + host + te + "\r\nzz\r\nhello\r\n", "400",
	    "malformed", nullptr },
	{ "unknown coding",
	    "POST / HTTP/1.1\r\n" + host +
		"transfer-encoding: gzip\r\n\r\nhello",
	    "400", "malformed", nullptr },
	{ "two lengths",
	    "POST / HTTP/1.1\r\n" + host +
		"content-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
	    "400", "malformed", nullptr },
	{ "two hosts", "GET / HTTP/1.1\r\n" + host + "host: b\r\n\r\n", "400",
	    "malformed", nullptr },
	{ "length and chunked",
	    "POST / HTTP/1.1\r\n" + host + te +
		"content-length: 5\r\n\r\n0\r\n\r\n",
	    "400", "malformed", nullptr },
	{ "path without slash", "GET p HTTP/1.1\r\n" + host + "\r\n", "400",
	    "malformed", nullptr },
	{ "path that is not ASCII",
	    "GET /\xff\xfe HTTP/1.1\r\n" + host + "\r\n", "400", "malformed",
	    nullptr },
	{ "long method",
	    std::string(20, 'A') + " / HTTP/1.1\r\n" + host + "\r\n", "400",
	    "malformed", nullptr },
	{ "length over the limit",
	    "POST / HTTP/1.1\r\n" + host + "content-length: 1048577\r\n\r\n",
	    "413", "too_large", nullptr },
	{ "chunks over the limit",
	    "POST / HTTP/1.1\r\n" + host + te + "\r\n" + chunks(1200000), "413",
	    "too_large", nullptr },
	{ "too many fields",
	    "GET / HTTP/1.1\r\n" + host + field_lines(65, 1) + "\r\n", "431",
	    "headers_too_large", nullptr },
	{ "fields too long",
	    "GET / HTTP/1.1\r\n" + host + field_lines(2, 9000) + "\r\n", "431",
	    "headers_too_large", nullptr },
	{ "path too long",
	    "GET /" + std::string(2048, 'p') + " HTTP/1.1\r\n" + host + "\r\n",
	    "414", "too_large", nullptr },
};

/* Another recipient may take what follows for the body. */
TEST_F(server, nothing_behind_a_chunked_body_is_a_request)
{
	for (const auto &list : { bad_chunks(), sound_chunks() }) {
		for (const auto &chunks : list) {
			struct raw_peer p;

			rec.fields.clear();
			p.connect_to(port);
			exchange(p,
			    "POST / HTTP/1.1\r\n" + host + te + "\r\n" +
				chunks + "GET /next HTTP/1.1\r\n" + host +
				"x-next: 1\r\n\r\n",
			    "\r\n\r\n");
			test_loop.run_iterations(20);
			EXPECT_EQ(rec.fields.find("x-next"), std::string::npos)
			    << chunks;
			EXPECT_EQ(
			    p.got.find("x-path: /next"), std::string::npos)
			    << chunks;
		}
	}
}

TEST_F(server, a_body_with_bad_chunks_is_refused)
{
	for (const auto &chunks : bad_chunks()) {
		struct raw_peer p;
		int handled = rec.handled;

		p.connect_to(port);
		exchange(p, "POST / HTTP/1.1\r\n" + host + te + "\r\n" + chunks,
		    "\r\n\r\n");
		EXPECT_EQ(p.got.substr(0, 13), "HTTP/1.1 400 ") << chunks;
		EXPECT_EQ(rec.handled, handled) << chunks;
	}
}

TEST_F(server, accepts_or_refuses_each_request_form)
{
	for (auto &c : request_cases) {
		struct raw_peer p;
		int handled = rec.handled;

		rec.bodies.clear();
		p.connect_to(port);
		exchange(p, c.bytes, "\r\n\r\n");
		EXPECT_EQ(
		    p.got.substr(0, 12), std::string("HTTP/1.1 ") + c.status)
		    << c.name << ": " << p.got.substr(0, 300);
		EXPECT_EQ(rec.handled - handled, c.reason == nullptr) << c.name;
		if (c.body != nullptr) {
			EXPECT_EQ(rec.bodies, c.body) << c.name;
		}
		if (c.reason == nullptr || *c.reason == '\0')
			continue;
		EXPECT_NE(
		    p.got.find("brf-outcome: not_run\r\n"), std::string::npos)
		    << c.name << p.got;
		EXPECT_NE(p.got.find(std::string("brf-reason: ") + c.reason),
		    std::string::npos)
		    << c.name << p.got;
	}
}

TEST_F(server, answers_carry_fields_and_length)
{
	struct raw_peer p;

	p.connect_to(port);
	exchange(p,
	    "POST /a/../b HTTP/1.1\r\n" + host +
		"content-length: 3\r\nconnection: X-Hop, keep-alive\r\n"
		"x-hop: 1\r\nTE: trailers\r\nX-End: 2\r\n\r\nabc",
	    "abc");
	EXPECT_NE(p.got.find("brf-outcome: answered\r\n"), std::string::npos);
	EXPECT_NE(p.got.find("x-path: /a/../b\r\n"), std::string::npos);
	EXPECT_NE(p.got.find("Content-Length: 3\r\n"), std::string::npos);
	EXPECT_EQ(p.got.find("brf-forged"), std::string::npos);
	EXPECT_EQ(rec.fields, "x-end=2;");
}

TEST_F(server, host_is_lower_case_without_port)
{
	const char *lines[] = { "GET / HTTP/1.1\r\nHost: FacTors:80",
		"GET / HTTP/1.1\r\nHost: [::1]:80",
		"GET / HTTP/1.1\r\nHost: [::1]",
		"GET http://Other:1/p HTTP/1.1\r\nHost: factors",
		"GET / HTTP/1.0" };

	for (auto *line : lines) {
		struct raw_peer p;

		p.connect_to(port);
		exchange(p, std::string(line) + "\r\n\r\n", "\r\n\r\n");
	}
	EXPECT_EQ(rec.hosts, "factors;[::1];[::1];other;;");
}

/*
 * RFC 9110, section 8.6: a content-length in an answer to HEAD would have to be
 * that of the answer to GET, which is not known.
 */
TEST_F(server, an_answer_to_head_has_no_body_and_no_length)
{
	struct raw_peer p;

	p.connect_to(port);
	exchange(p,
	    "HEAD / HTTP/1.1\r\n" + host + "\r\nGET /2 HTTP/1.1\r\n" + host +
		"\r\n",
	    "x-path: /2\r\n");
	std::string first = p.got.substr(0, p.got.find("\r\n\r\n"));
	EXPECT_EQ(first.find("ontent-"), std::string::npos) << first;
	EXPECT_EQ(first.find("ransfer-"), std::string::npos) << first;
	EXPECT_EQ(p.got.substr(first.size() + 4, 12), "HTTP/1.1 200") << p.got;
}

TEST_F(server, an_answer_of_204_has_neither_body_nor_length)
{
	struct brf_message *answer = brf_message_new();
	struct raw_peer p;

	rec.mode = recorder::HOLD;
	p.connect_to(port);
	p.put("GET / HTTP/1.1\r\n" + host + "\r\n");
	ASSERT_TRUE(
	    test_loop.run_loop_until([&] { return (rec.handled == 1); }));
	answer->status = 204;
	brf_buf_puts(&answer->body, "left out");
	brf_http_respond(rec.held[0], answer, nullptr, 0);
	brf_message_unref(answer);
	exchange(p, "", "\r\n\r\n");
	test_loop.run_iterations(5);
	p.get();
	EXPECT_EQ(p.got.substr(p.got.size() - 4), "\r\n\r\n") << p.got;
	EXPECT_EQ(p.got.find("ontent-"), std::string::npos) << p.got;
	EXPECT_EQ(p.got.find("ransfer-"), std::string::npos) << p.got;
}

TEST_F(server, pipelined_requests_are_answered_in_order)
{
	struct raw_peer p;

	p.connect_to(port);
	exchange(p,
	    "GET /1 HTTP/1.1\r\n" + host + "\r\nPOST /2 HTTP/1.1\r\n" + host +
		"content-length: 1\r\n\r\nbGET /3 HTTP/1.1\r\n" + host + "\r\n",
	    "x-path: /3\r\n");
	EXPECT_EQ(rec.handled, 3);
	EXPECT_LT(p.got.find("/1\r\n"), p.got.find("/2\r\n"));
	EXPECT_LT(p.got.find("/2\r\n"), p.got.find("/3\r\n"));
}

TEST_F(server, an_incomplete_body_never_reaches_the_handler)
{
	struct raw_peer p;

	p.connect_to(port);
	p.put("POST / HTTP/1.1\r\n" + host + "content-length: 9\r\n\r\nhalf");
	test_loop.run_iterations(20);
	p.drop();
	EXPECT_TRUE(test_loop.run_loop_until(
	    [&] { return (brf_http_server_connections(srv) == 0); }));
	EXPECT_EQ(rec.handled, 0);
}

TEST_F(server, no_prefix_of_a_request_reaches_the_handler)
{
	const std::string requests[] = {
		"GET /p HTTP/1.1\r\n" + host + "\r\n",
		"POST / HTTP/1.1\r\n" + host + "content-length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\n" + host + te + "\r\n3\r\nabc\r\n0\r\n\r\n",
	};

	for (auto &request : requests) {
		for (size_t n = 0; n < request.size(); n++) {
			struct raw_peer p;

			p.connect_to(port);
			p.put(request.substr(0, n));
			test_loop.run_iterations(3);
			p.drop();
		}
	}
	EXPECT_TRUE(test_loop.run_loop_until(
	    [&] { return (brf_http_server_connections(srv) == 0); }));
	EXPECT_EQ(rec.handled, 0);
}

TEST_F(server, a_request_sent_just_before_the_close_is_reported)
{
	rec.mode = recorder::HOLD;
	for (int i = 0; i < 20; i++) {
		struct raw_peer p;

		p.connect_to(port);
		p.put("GET / HTTP/1.1\r\n" + host + "\r\n");
		p.drop();
	}
	test_loop.run_iterations(20);
	EXPECT_TRUE(test_loop.run_loop_until(
	    [&] { return (brf_http_server_connections(srv) == 0); }));
	test_loop.run_iterations(5);
	EXPECT_EQ(rec.disconnected, rec.handled);
}

/* The handler may answer between the disconnect and the report of it. */
TEST_F(server, an_answer_to_a_disconnected_client_is_dropped)
{
	struct raw_peer p;

	rec.mode = recorder::HOLD;
	for (int iterations = 0; iterations < 4; iterations++) {
		rec.handled = rec.disconnected = 0;
		rec.held.clear();
		p.connect_to(port);
		p.put("GET / HTTP/1.1\r\n" + host + "\r\n");
		ASSERT_TRUE(test_loop.run_loop_until(
		    [&] { return (rec.handled == 1); }));
		p.drop();
		for (int i = 0; i < iterations; i++)
			uv_run(&test_loop.loop, UV_RUN_NOWAIT);
		if (rec.disconnected == 0)
			echo(rec.held[0]);
		EXPECT_TRUE(test_loop.run_loop_until(
		    [&] { return (brf_http_server_connections(srv) == 0); }));
		EXPECT_LE(rec.disconnected, 1);
	}
}

/* An HTTP/2 frame (RFC 9113). */
std::string
frame(int type, int flags, uint32_t stream, const std::string &payload)
{
	std::string f = { (char)(payload.size() >> 16),
		(char)(payload.size() >> 8), (char)payload.size(), (char)type,
		(char)flags, 0, 0, 0, (char)stream };

	return (f + payload);
}

const std::string h2_preface =
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "");
/* GET / of host "a", on stream 1 */
const std::string h2_get = frame(1, 5, 1,
    "\x82\x86\x84\x41\x01"
    "a");
const std::string h2_cancel = frame(3, 0, 1, std::string("\0\0\0\x08", 4));

/* List the frames in @bytes as "type/flags/stream ". */
std::string
frames(const std::string &bytes)
{
	std::string s;
	size_t at = 0, len;

	while (at + 9 <= bytes.size()) {
		auto *b = (const unsigned char *)bytes.data() + at;
		len = (size_t)b[0] << 16 | (size_t)b[1] << 8 | b[2];
		s += std::to_string(b[3]) + "/" + std::to_string(b[4]) + "/" +
		     std::to_string(b[8]) + " ";
		at += 9 + len;
	}
	return (s);
}

TEST_F(server, http2_is_answered)
{
	struct raw_peer p;

	p.connect_to(port);
	p.put(h2_preface + h2_get);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (frames(p.got).find("0/1/1") != std::string::npos);
	})) << frames(p.got);
	EXPECT_EQ(rec.handled, 1);
}

TEST_F(server, http2_requests_are_checked_by_the_same_rules)
{
	const std::string literal_path("\x04", 1);
	std::string many;

	for (int i = 0; i < 65; i++)
		many += std::string("\0\1f\1v", 5);
	const struct {
		const char *name;
		std::string block;
		char status; /* indexed field of HPACK's static table */
	} cases[] = {
		{ "path without slash",
		    "\x82\x86\x41\x01"
		    "a" +
			literal_path + "\x01p",
		    '\x8c' },
		{ "line break in the path",
		    "\x82\x86\x41\x01"
		    "a" +
			literal_path + "\x04/\r\nx",
		    '\x8c' },
		{ "too many fields",
		    "\x82\x86\x84\x41\x01"
		    "a" +
			many,
		    '\0' },
	};

	for (auto &c : cases) {
		struct raw_peer p;

		p.connect_to(port);
		p.put(h2_preface + frame(1, 5, 1, c.block));
		EXPECT_TRUE(test_loop.run_loop_until([&] {
			p.get();
			return (frames(p.got).find("/1 ") != std::string::npos);
		})) << c.name;
		EXPECT_EQ(rec.handled, 0) << c.name;
		if (c.status != '\0') {
			EXPECT_NE(p.got.find(c.status), std::string::npos)
			    << c.name << frames(p.got);
		}
	}
}

const struct disconnect_case {
	const char *name;
	std::string request;
	std::string sent_before;
	enum {
		CLOSE,
		HALF_CLOSE,
		RESET,
		KEEP_OPEN
	} how;
} disconnect_cases[] = {
	{ "http 1", "GET / HTTP/1.1\r\n" + host + "\r\n", "",
	    disconnect_case::CLOSE },
	{ "http 1 with a body",
	    "POST / HTTP/1.1\r\n" + host + "content-length: 2\r\n\r\nab", "",
	    disconnect_case::CLOSE },
	{ "http 1 after pipelining", "GET / HTTP/1.1\r\n" + host + "\r\n",
	    "GET /2 HTTP/1.1\r\n" + host + "\r\n", disconnect_case::CLOSE },
	{ "http 1 half closed", "GET / HTTP/1.1\r\n" + host + "\r\n", "",
	    disconnect_case::HALF_CLOSE },
	{ "http 1 reset", "GET / HTTP/1.1\r\n" + host + "\r\n", "",
	    disconnect_case::RESET },
	{ "http 2 connection", h2_preface + h2_get, "",
	    disconnect_case::CLOSE },
	{ "http 2 connection reset", h2_preface + h2_get, "",
	    disconnect_case::RESET },
	{ "http 2 stream", h2_preface + h2_get, h2_cancel,
	    disconnect_case::KEEP_OPEN },
};

TEST_F(server, a_disconnect_during_a_request_is_reported)
{
	struct linger none = { 1, 0 };

	rec.mode = recorder::HOLD;
	for (auto &c : disconnect_cases) {
		struct raw_peer p;

		rec.handled = rec.disconnected = 0;
		p.connect_to(port);
		p.put(c.request);
		ASSERT_TRUE(test_loop.run_loop_until([&] {
			return (rec.handled == 1);
		})) << c.name;
		test_loop.run_iterations(20);
		EXPECT_EQ(rec.disconnected, 0) << c.name;
		p.put(c.sent_before);
		if (c.how == disconnect_case::HALF_CLOSE)
			shutdown(p.fd, SHUT_WR);
		if (c.how == disconnect_case::RESET)
			setsockopt(
			    p.fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
		if (c.how == disconnect_case::CLOSE ||
		    c.how == disconnect_case::RESET)
			p.drop();
		EXPECT_TRUE(test_loop.run_loop_until([&] {
			return (rec.disconnected == 1);
		})) << c.name;
		p.drop();
		EXPECT_TRUE(test_loop.run_loop_until([&] {
			return (brf_http_server_connections(srv) == 0);
		})) << c.name;
		EXPECT_EQ(rec.handled, 1) << c.name;
		EXPECT_EQ(rec.disconnected, 1) << c.name;
	}
}

TEST_F(server, abort_closes_http1_without_an_answer)
{
	struct raw_peer p;

	rec.mode = recorder::ABORT;
	p.connect_to(port);
	exchange(p, "GET / HTTP/1.1\r\n" + host + "\r\n", "never");
	EXPECT_TRUE(p.ended);
	EXPECT_EQ(p.got, "");
}

TEST_F(server, abort_resets_http2_stream)
{
	struct raw_peer p;

	rec.mode = recorder::ABORT;
	p.connect_to(port);
	p.put(h2_preface + h2_get);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (frames(p.got).find("3/0/1") != std::string::npos);
	})) << frames(p.got);
	EXPECT_EQ(frames(p.got).find("1/5/1"), std::string::npos);
	EXPECT_EQ(frames(p.got).find("0/1/1"), std::string::npos);
}

TEST_F(server, stop_finishes_requests_and_closes_idle_connections)
{
	struct raw_peer idle, busy, late;

	rec.mode = recorder::HOLD;
	idle.connect_to(port);
	busy.connect_to(port);
	busy.put("GET / HTTP/1.1\r\n" + host + "\r\n");
	ASSERT_TRUE(test_loop.run_loop_until([&] {
		return (
		    rec.handled == 1 && brf_http_server_connections(srv) == 2);
	}));
	brf_http_server_stop(srv);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		idle.get();
		return (idle.ended);
	}));
	test_loop.run_iterations(20);
	EXPECT_EQ(rec.disconnected, 0);
	echo(rec.held[0]);
	exchange(busy, "", "never");
	EXPECT_NE(busy.got.find("Connection: close\r\n"), std::string::npos);
	EXPECT_TRUE(busy.ended);
	EXPECT_EQ(brf_http_server_connections(srv), 0u);
	struct sockaddr_in addr = loopback(port);
	late.fd = socket(AF_INET, SOCK_STREAM, 0);
	EXPECT_NE(connect(late.fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
}

TEST_F(server, stop_finishes_http2_streams_and_closes)
{
	struct raw_peer p;

	rec.mode = recorder::HOLD;
	p.connect_to(port);
	p.put(h2_preface + h2_get);
	ASSERT_TRUE(
	    test_loop.run_loop_until([&] { return (rec.handled == 1); }));
	brf_http_server_stop(srv);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (frames(p.got).find("7/0/0") != std::string::npos);
	})) << frames(p.got);
	echo(rec.held[0]);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (p.ended);
	}));
	EXPECT_NE(frames(p.got).find("0/1/1"), std::string::npos)
	    << frames(p.got);
}

const std::string get_1 = "GET /1 HTTP/1.1\r\n" + host;
const std::string get_2 = "GET /2 HTTP/1.1\r\n" + host + "\r\n";

const struct announced_close {
	const char *name;
	std::string first;
	bool stop;
} announced_closes[] = {
	{ "the client asked for it", get_1 + "connection: close\r\n\r\n",
	    false },
	{ "http 1.0", "GET /1 HTTP/1.0\r\n\r\n", false },
	{ "the request is refused", get_1 + host + "\r\n", false },
	/* last: the server takes no connection after it */
	{ "the server stops", get_1 + "\r\n", true },
};

TEST_F(server, no_request_is_handled_behind_an_announced_close)
{
	rec.mode = recorder::HOLD;
	for (int same_segment = 0; same_segment < 2; same_segment++) {
		for (auto &c : announced_closes) {
			struct raw_peer p;

			if (c.stop && same_segment == 0)
				continue;
			rec.handled = rec.disconnected = 0;
			rec.held.clear();
			p.connect_to(port);
			p.put(same_segment ? c.first + get_2 : c.first);
			test_loop.run_iterations(40);
			if (!same_segment)
				p.put(get_2);
			if (c.stop)
				brf_http_server_stop(srv);
			if (!rec.held.empty())
				echo(rec.held[0]);
			exchange(p, "", "never");
			EXPECT_TRUE(p.ended) << c.name;
			EXPECT_EQ(p.got.find("/2"), std::string::npos)
			    << c.name;
			EXPECT_LE(rec.handled, 1) << c.name;
			EXPECT_EQ(rec.disconnected, 0) << c.name;
		}
	}
}

/* GET / of host "a" on @stream. */
std::string
h2_get_on(uint32_t stream)
{
	return (frame(1, 5, stream,
	    "\x82\x86\x84\x41\x01"
	    "a"));
}

TEST_F(server, no_http2_stream_is_handled_behind_the_last_goaway)
{
	struct raw_peer p;

	rec.mode = recorder::HOLD;
	p.connect_to(port);
	p.put(h2_preface + h2_get_on(1));
	ASSERT_TRUE(
	    test_loop.run_loop_until([&] { return (rec.handled == 1); }));
	brf_http_server_stop(srv);
	ASSERT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (frames(p.got).find("7/0/0") != std::string::npos);
	}));
	/* the first one names no last stream */
	p.put(h2_get_on(3));
	EXPECT_TRUE(
	    test_loop.run_loop_until([&] { return (rec.handled == 2); }));
	ASSERT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (frames(p.got).find("7/0/0") !=
			frames(p.got).rfind("7/0/0"));
	})) << frames(p.got);
	p.put(h2_get_on(5));
	test_loop.run_iterations(50);
	EXPECT_EQ(rec.handled, 2);
	echo(rec.held[0]);
	echo(rec.held[1]);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (p.ended);
	}));
	EXPECT_NE(frames(p.got).find("0/1/1 "), std::string::npos);
	EXPECT_NE(frames(p.got).find("0/1/3 "), std::string::npos);
	EXPECT_EQ(rec.disconnected, 0);
}

TEST_F(server, a_broken_http2_stream_leaves_the_others_open)
{
	const std::string bad_path = "\x82\x86\x41\x01"
				     "a\x04\x01p";
	struct raw_peer p;

	rec.mode = recorder::HOLD;
	p.connect_to(port);
	p.put(h2_preface + h2_get_on(1) + frame(1, 5, 3, bad_path) +
	      h2_get_on(5) + frame(3, 0, 5, std::string("\0\0\0\x08", 4)) +
	      h2_get_on(7));
	ASSERT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (rec.handled == 3 && rec.disconnected == 1);
	})) << rec.handled
	    << " " << rec.disconnected << frames(p.got);
	brf_http_abort(rec.held[0]);
	echo(rec.held[2]);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		p.get();
		return (frames(p.got).find("0/1/7 ") != std::string::npos);
	})) << frames(p.got);
	EXPECT_FALSE(p.ended);
}

/* Bytes behind the last request must not make the kernel drop its answer. */
TEST_F(server, a_last_answer_arrives_whole_whatever_follows_its_request)
{
	for (int body_size : { 100, 1000000 }) {
		struct raw_peer p;
		std::string body((size_t)body_size, 'b');
		int small = 65536;

		p.connect_to(port);
		setsockopt(p.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
		p.put("POST /1 HTTP/1.1\r\n" + host +
		      "connection: close\r\ncontent-length: " +
		      std::to_string(body_size) + "\r\n\r\n");
		ASSERT_TRUE(test_loop.run_loop_until([&] {
			body = p.put(body);
			return (body.empty());
		}));
		test_loop.run_iterations(40);
		p.put(get_2);
		test_loop.run_iterations(40);
		p.put(get_2);
		test_loop.run_iterations(40);
		exchange(p, "", "never");
		ASSERT_NE(p.got.find("\r\n\r\n"), std::string::npos);
		EXPECT_EQ(p.got.size() - p.got.find("\r\n\r\n") - 4,
		    (size_t)body_size);
		EXPECT_EQ(rec.handled, 1);
		rec.handled = 0;
	}
}

TEST_F(server, answers_are_unsent_until_their_client_has_them)
{
	const std::string post = "POST / HTTP/1.1\r\n" + host +
				 "content-length: 1000000\r\n\r\n" +
				 std::string(1000000, 'b');
	std::string bytes;
	struct raw_peer p;

	for (int i = 0; i < 8; i++)
		bytes += post;
	p.connect_to(port);
	test_loop.run_loop_until([&] {
		bytes = p.put(bytes);
		return (brf_http_server_unsent(srv) == 1);
	});
	brf_http_server_stop(srv);
	test_loop.run_iterations(100);
	EXPECT_EQ(brf_http_server_unsent(srv), 1u);
	test_loop.run_loop_until([&] {
		bytes = p.put(bytes);
		p.get();
		return (p.ended);
	});
	EXPECT_NE(p.got.find("Connection: close"), std::string::npos);
	p.drop();
	EXPECT_TRUE(test_loop.run_loop_until(
	    [&] { return (brf_http_server_unsent(srv) == 0); }));
}

TEST_F(server, close_reports_each_request_as_disconnected)
{
	struct raw_peer one, two;

	rec.mode = recorder::HOLD;
	one.connect_to(port);
	two.connect_to(port);
	one.put("GET / HTTP/1.1\r\n" + host + "\r\n");
	two.put(h2_preface + h2_get);
	ASSERT_TRUE(
	    test_loop.run_loop_until([&] { return (rec.handled == 2); }));
	brf_http_server_close(srv, set_closed, &closed);
	EXPECT_TRUE(test_loop.run_loop_until([&] { return (closed); }));
	EXPECT_EQ(rec.disconnected, 2);
}

/* A target that accepts connections and answers with raw bytes. */
struct raw_target {
	int listener;
	uint16_t port;
	struct raw_peer peer;

	raw_target()
	{
		struct sockaddr_in addr = loopback(0);
		socklen_t len = sizeof(addr);

		listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		EXPECT_EQ(bind(listener, (struct sockaddr *)&addr, len), 0);
		listen(listener, 16);
		getsockname(listener, (struct sockaddr *)&addr, &len);
		port = ntohs(addr.sin_port);
	}

	bool
	accepts()
	{
		int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);

		if (fd == -1)
			return (false);
		peer.drop();
		peer.fd = fd;
		peer.ended = false;
		peer.got.clear();
		return (true);
	}

	~raw_target()
	{
		close(listener);
	}
};

struct run_recorder {
	struct brf_run run;
	int ends;
	enum brf_run_end end;
	int status;
	std::string body;
};

void
run_done(struct brf_run *run, enum brf_run_end end, struct brf_message *answer)
{
	auto *r = reinterpret_cast<struct run_recorder *>(run);

	r->ends++;
	r->end = end;
	if (answer != nullptr) {
		r->status = answer->status;
		r->body.assign(answer->body.data ? answer->body.data : "",
		    answer->body.len);
	}
}

class target : public ::testing::Test
{
      protected:
	struct http_test_loop test_loop;
	struct brf_message *request = brf_message_new();

	void
	SetUp() override
	{
		strcpy(request->method, "POST");
		brf_message_set_path(request, "/r", 2, nullptr);
		brf_message_add_header(request, "x-end", 5, "1", 1, nullptr);
		brf_buf_puts(&request->body, "ask");
	}

	void
	TearDown() override
	{
		brf_message_unref(request);
	}

	void
	prepare(struct run_recorder &r)
	{
		r = {};
		r.run.request = request;
		r.run.extra[0] = { BRF_H_REQUEST, "77" };
		r.run.extra_count = 1;
		r.run.done = run_done;
	}

	/* Run the loop until the target received the whole request. */
	bool
	receives_request(struct raw_target &t)
	{
		return (test_loop.run_loop_until([&] {
			t.accepts();
			t.peer.get();
			return (t.peer.got.find("\r\n\r\nask") !=
				std::string::npos);
		}));
	}
};

const std::string ok = "HTTP/1.1 200 OK\r\n";

const struct answer_case {
	const char *name;
	std::string bytes;
	bool close;
	enum brf_run_end end;
	const char *body;
} answer_cases[] = {
	{ "length", ok + "content-length: 5\r\n\r\nhello", false,
	    BRF_RUN_ANSWERED, "hello" },
	{ "empty body", ok + "content-length: 0\r\n\r\n", false,
	    BRF_RUN_ANSWERED, "" },
	{ "204", "HTTP/1.1 204 No Content\r\n\r\n", false, BRF_RUN_ANSWERED,
	    "" },
	{ "chunked", ok + te + "\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", false,
	    BRF_RUN_ANSWERED, "hello" },
	{ "interim answer first",
	    "HTTP/1.1 100 Continue\r\n\r\n" + ok +
		"content-length: 2\r\n\r\nab",
	    false, BRF_RUN_ANSWERED, "ab" },
	{ "1.0 with a length", "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nab",
	    true, BRF_RUN_ANSWERED, "ab" },
	{ "same length twice",
	    ok + "content-length: 2\r\ncontent-length: 2\r\n\r\nab", false,
	    BRF_RUN_ANSWERED, "ab" },
	{ "body of the maximum size",
	    ok + "content-length: 1048576\r\n\r\n" + std::string(1048576, 'x'),
	    false, BRF_RUN_ANSWERED, nullptr },
	{ "body shorter than its length", ok + "content-length: 5\r\n\r\nhell",
	    true, BRF_RUN_BROKEN, nullptr },
	{ "incomplete chunk", ok + te + "\r\n5\r\nhel", true, BRF_RUN_BROKEN,
	    nullptr },
	{ "no last chunk", ok + te + "\r\n5\r\nhello\r\n", true, BRF_RUN_BROKEN,
	    nullptr },
	{ "bad chunk", ok + te + "\r\nxy\r\nhello\r\n", false, BRF_RUN_BROKEN,
	    nullptr },
	{ "incomplete head", "HTTP/1.1 200 OK\r\ncontent-le", true,
	    BRF_RUN_BROKEN, nullptr },
	{ "garbage", "\x01\x02garbage\r\n\r\n", false, BRF_RUN_BROKEN,
	    nullptr },
	{ "no length, ended by close", ok + "\r\nhello", true, BRF_RUN_BROKEN,
	    nullptr },
	{ "length and chunked",
	    ok + "content-length: 5\r\n" + te + "\r\n0\r\n\r\n", false,
	    BRF_RUN_BROKEN, nullptr },
	{ "two lengths",
	    ok + "content-length: 5\r\ncontent-length: 6\r\n\r\nhello!", false,
	    BRF_RUN_BROKEN, nullptr },
	{ "length is not a number", ok + "content-length: 5x\r\n\r\nhello",
	    false, BRF_RUN_BROKEN, nullptr },
	{ "switches protocols", "HTTP/1.1 101 Switching\r\n\r\n", true,
	    BRF_RUN_BROKEN, nullptr },
	{ "closes before answering", "", true, BRF_RUN_LOST, nullptr },
	{ "length over the limit", ok + "content-length: 1048577\r\n\r\n",
	    false, BRF_RUN_TOO_LARGE, nullptr },
	{ "chunks over the limit", ok + te + "\r\n" + chunks(1200000), false,
	    BRF_RUN_TOO_LARGE, nullptr },
	{ "too many fields",
	    ok + field_lines(65, 1) + "content-length: 0\r\n\r\n", false,
	    BRF_RUN_TOO_LARGE, nullptr },
	{ "fields too long",
	    ok + field_lines(2, 9000) + "content-length: 0\r\n\r\n", false,
	    BRF_RUN_TOO_LARGE, nullptr },
};

TEST_F(target, each_answer_form_ends_the_run_as_expected)
{
	for (auto &c : answer_cases) {
		struct raw_target t;
		struct run_recorder r;
		std::string bytes = c.bytes;
		struct brf_target *tg =
		    brf_http_target_new(test_loop.hl, t.port, 2);

		prepare(r);
		brf_target_run(tg, &r.run);
		ASSERT_TRUE(receives_request(t)) << c.name;
		EXPECT_NE(
		    t.peer.got.find("brf-request: 77\r\n"), std::string::npos);
		EXPECT_EQ(t.peer.got.substr(0, 17), "POST /r HTTP/1.1\r")
		    << t.peer.got;
		test_loop.run_loop_until([&] {
			if (!bytes.empty())
				bytes = t.peer.put(bytes);
			else if (c.close)
				t.peer.drop();
			return (r.ends != 0);
		});
		EXPECT_EQ(r.ends, 1) << c.name;
		EXPECT_EQ(r.end, c.end) << c.name;
		if (c.body != nullptr) {
			EXPECT_EQ(r.body, c.body) << c.name;
		}
		test_loop.run_iterations(5);
		EXPECT_EQ(r.ends, 1) << c.name;
		brf_http_target_free(tg);
	}
}

/* An answer must end its run as broken. */
class broken_target : public target
{
      protected:
	void
	expect_broken(const std::string &bytes)
	{
		struct raw_target t;
		struct run_recorder r;
		struct brf_target *tg =
		    brf_http_target_new(test_loop.hl, t.port, 2);

		prepare(r);
		brf_target_run(tg, &r.run);
		ASSERT_TRUE(receives_request(t)) << bytes;
		t.peer.put(bytes);
		EXPECT_TRUE(
		    test_loop.run_loop_until([&] { return (r.ends != 0); }));
		EXPECT_EQ(r.end, BRF_RUN_BROKEN) << bytes;
		brf_http_target_free(tg);
	}
};

TEST_F(broken_target, an_invalid_status)
{
	for (const char *status : { "000", "001", "010", "099", "600", "999",
		 "2000", "0200", "-20", "+20", "20", "2x0", "" })
		expect_broken(std::string("HTTP/1.1 ") + status +
			      " OK\r\ncontent-length: 2\r\n\r\nab");
}

TEST_F(broken_target, a_field_whose_name_holds_a_blank_or_control_byte)
{
	const std::string fields[][2] = {
		{ "x-other: v", "content-length: 2\r\n\r\nab" },
		{ "content-length: 2", "\r\nab" },
		{ "transfer-encoding: chunked", "\r\n2\r\nab\r\n0\r\n\r\n" },
	};
	const std::string whole = ok + "content-length: 2\r\n\r\nab";

	for (char bad :
	    { ' ', '\t', '\0', '\x01', '\x1f', '\x7f', '\x80', '\r' }) {
		for (const auto &f : fields) {
			for (size_t at :
			    { (size_t)0, (size_t)3, f[0].find(':') }) {
				std::string line = f[0];

				line.insert(at, 1, bad);
				expect_broken(ok + line + "\r\n" + f[1]);
				expect_broken("HTTP/1.1 103 Early\r\n" + line +
					      "\r\n\r\n" + whole);
			}
		}
	}
}

TEST_F(broken_target, chunks_with_invalid_framing)
{
	for (const auto &chunks : bad_chunks())
		expect_broken(ok + te + "\r\n" + chunks);
}

TEST_F(target, no_prefix_of_an_answer_is_complete)
{
	const std::string answers[] = {
		ok + "content-length: 5\r\n\r\nhello",
		ok + te + "\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
	};
	struct raw_target t;
	struct brf_target *tg = brf_http_target_new(test_loop.hl, t.port, 2);

	for (auto &answer : answers) {
		for (size_t n = 0; n <= answer.size(); n++) {
			struct run_recorder r;

			prepare(r);
			brf_target_run(tg, &r.run);
			ASSERT_TRUE(receives_request(t));
			t.peer.put(answer.substr(0, n / 2));
			test_loop.run_iterations(2);
			t.peer.put(answer.substr(n / 2, n - n / 2));
			t.peer.drop();
			EXPECT_TRUE(test_loop.run_loop_until(
			    [&] { return (r.ends == 1); }));
			EXPECT_EQ(r.end == BRF_RUN_ANSWERED, n == answer.size())
			    << n;
		}
	}
	brf_http_target_free(tg);
}

TEST_F(target, a_body_larger_than_the_socket_buffer_arrives_whole)
{
	struct raw_target t;
	struct run_recorder r;
	struct brf_target *tg = brf_http_target_new(test_loop.hl, t.port, 1);
	std::string body;

	for (int i = 0; body.size() < BRF_BODY_MAX; i++)
		body += std::to_string(i) + ",";
	body.resize(BRF_BODY_MAX);
	brf_buf_clear(&request->body);
	brf_buf_add(&request->body, body.data(), body.size());
	prepare(r);
	brf_target_run(tg, &r.run);
	ASSERT_TRUE(test_loop.run_loop_until([&] { return (t.accepts()); }));
	test_loop.run_iterations(20); /* fills the socket buffer */
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		t.peer.get();
		return (t.peer.got.size() > body.size() &&
			t.peer.got.compare(t.peer.got.size() - body.size(),
			    body.size(), body) == 0);
	}));
	t.peer.put(ok + "content-length: 0\r\n\r\n");
	EXPECT_TRUE(test_loop.run_loop_until([&] { return (r.ends == 1); }));
	EXPECT_EQ(r.end, BRF_RUN_ANSWERED);
	brf_http_target_free(tg);
}

TEST_F(target, an_early_answer_closes_the_connection)
{
	struct raw_target t;
	struct run_recorder r;
	struct brf_target *tg = brf_http_target_new(test_loop.hl, t.port, 1);
	std::string body(BRF_BODY_MAX, 'x');
	int small = 4096;

	setsockopt(t.listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	brf_buf_clear(&request->body);
	for (int i = 0; i < 8; i++) /* more than the send buffer holds */
		brf_buf_add(&request->body, body.data(), body.size());
	prepare(r);
	brf_target_run(tg, &r.run);
	ASSERT_TRUE(test_loop.run_loop_until([&] { return (t.accepts()); }));
	test_loop.run_iterations(20);
	t.peer.put("HTTP/1.1 413 No\r\ncontent-length: 0\r\n\r\n");
	EXPECT_TRUE(test_loop.run_loop_until([&] { return (r.ends == 1); }));
	EXPECT_EQ(r.status, 413);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		t.peer.get();
		return (t.peer.ended);
	}));
	EXPECT_LT(t.peer.got.size(), request->body.len);
	brf_http_target_free(tg);
}

TEST_F(target, cancel_closes_the_connection)
{
	struct raw_target t;
	struct run_recorder r;
	struct brf_target *tg = brf_http_target_new(test_loop.hl, t.port, 2);

	prepare(r);
	brf_target_run(tg, &r.run);
	ASSERT_TRUE(receives_request(t));
	brf_target_cancel(tg, &r.run);
	EXPECT_EQ(r.ends, 1);
	EXPECT_EQ(r.end, BRF_RUN_CANCELLED);
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		t.peer.get();
		return (t.peer.ended);
	}));
	brf_target_cancel(tg, &r.run);
	EXPECT_EQ(r.ends, 1);
	brf_http_target_free(tg);
}

/* A run whose end drops the last reference to its target. */
struct last_run {
	struct run_recorder recorder;
	struct brf_target *target;
};

void
free_target(struct brf_run *run, enum brf_run_end end, struct brf_message *m)
{
	auto *last = reinterpret_cast<struct last_run *>(run);

	run_done(run, end, m);
	brf_http_target_free(last->target);
}

TEST_F(target, the_end_of_its_last_run_may_free_it)
{
	const std::string answers[] = { ok + "content-length: 0\r\n\r\n",
		"no answer\r\n\r\n", "" };

	for (auto &answer : answers) {
		struct raw_target t;
		struct last_run r;

		prepare(r.recorder);
		r.recorder.run.done = free_target;
		r.target = brf_http_target_new(test_loop.hl, t.port, 1);
		brf_target_run(r.target, &r.recorder.run);
		ASSERT_TRUE(receives_request(t));
		if (answer.empty())
			brf_target_cancel(r.target, &r.recorder.run);
		else
			t.peer.put(answer);
		EXPECT_TRUE(test_loop.run_loop_until(
		    [&] { return (r.recorder.ends == 1); }));
		test_loop.run_iterations(5);
		EXPECT_EQ(r.recorder.ends, 1);
	}
}

TEST_F(target, a_refused_connection_means_not_started)
{
	struct run_recorder r;
	uint16_t port;

	{
		struct raw_target t;
		port = t.port;
	}
	struct brf_target *tg = brf_http_target_new(test_loop.hl, port, 2);
	prepare(r);
	brf_target_run(tg, &r.run);
	EXPECT_TRUE(test_loop.run_loop_until([&] { return (r.ends == 1); }));
	EXPECT_EQ(r.end, BRF_RUN_NOT_STARTED);
	brf_http_target_free(tg);
}

TEST_F(target, connections_are_reused_and_limited)
{
	struct raw_target t;
	struct run_recorder a, b, c;
	struct brf_target *tg = brf_http_target_new(test_loop.hl, t.port, 1);
	const std::string answer = ok + "content-length: 2\r\n\r\nab";

	prepare(a);
	prepare(b);
	prepare(c);
	brf_target_run(tg, &a.run);
	brf_target_run(tg, &b.run);
	brf_target_run(tg, &c.run);
	brf_target_cancel(tg, &c.run);
	EXPECT_EQ(c.end, BRF_RUN_NOT_STARTED);
	EXPECT_EQ(c.ends, 1);
	ASSERT_TRUE(receives_request(t));
	test_loop.run_iterations(20);
	EXPECT_FALSE(t.accepts());
	t.peer.got.clear();
	t.peer.put(answer);
	ASSERT_TRUE(
	    receives_request(t)); /* the second run, on the same connection */
	EXPECT_EQ(a.ends, 1);
	t.peer.put(answer);
	EXPECT_TRUE(test_loop.run_loop_until([&] { return (b.ends == 1); }));
	EXPECT_EQ(b.end, BRF_RUN_ANSWERED);
	brf_http_target_free(tg);
}

TEST_F(target, a_connection_closed_while_idle_is_not_reused)
{
	for (const char *unexpected : { "", "stray bytes" }) {
		struct raw_target t;
		struct run_recorder a, b;
		struct brf_target *tg =
		    brf_http_target_new(test_loop.hl, t.port, 1);

		prepare(a);
		prepare(b);
		brf_target_run(tg, &a.run);
		ASSERT_TRUE(receives_request(t));
		t.peer.put(ok + "content-length: 2\r\n\r\nab");
		ASSERT_TRUE(
		    test_loop.run_loop_until([&] { return (a.ends == 1); }));
		test_loop.run_iterations(5);
		if (*unexpected != '\0')
			t.peer.put(unexpected);
		else
			t.peer.drop();
		brf_target_run(tg, &b.run);
		ASSERT_TRUE(
		    test_loop.run_loop_until([&] { return (t.accepts()); }));
		ASSERT_TRUE(receives_request(t));
		t.peer.put(ok + "content-length: 2\r\n\r\ncd");
		EXPECT_TRUE(
		    test_loop.run_loop_until([&] { return (b.ends == 1); }));
		EXPECT_EQ(b.end, BRF_RUN_ANSWERED);
		EXPECT_EQ(b.body, "cd");
		brf_http_target_free(tg);
	}
}

/* Bytes without end: after @head, @part again and again. */
const struct endless_answer {
	const char *name;
	std::string head;
	std::string part;
	enum brf_run_end end;
} endless_answers[] = {
	{ "status line", "HTTP/1.1 200 ", "x", BRF_RUN_TOO_LARGE },
	{ "one field", ok + "a: ", "x", BRF_RUN_TOO_LARGE },
	{ "fields", ok, "a: b\r\n", BRF_RUN_TOO_LARGE },
	{ "long fields", ok, "a: " + std::string(4096, 'b') + "\r\n",
	    BRF_RUN_TOO_LARGE },
	{ "interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n",
	    BRF_RUN_TOO_LARGE },
	{ "chunks", ok + te + "\r\n", "4\r\nabcd\r\n", BRF_RUN_TOO_LARGE },
	{ "chunk extension", ok + te + "\r\n4;", "x", BRF_RUN_BROKEN },
	{ "trailers", ok + te + "\r\n0\r\n", "a: b\r\n", BRF_RUN_BROKEN },
};

/* Bytes in use; 0 where the allocator doesn't tell. */
size_t
heap_bytes()
{
	struct mallinfo2 m = mallinfo2();

	return (m.uordblks + m.hblkhd);
}

TEST_F(target, endless_bytes_end_in_time_and_bounded_memory)
{
	const size_t total = (size_t)16 << 20, most = (size_t)4 << 20;

	for (auto &c : endless_answers) {
		struct raw_target t;
		struct run_recorder r;
		struct brf_target *tg =
		    brf_http_target_new(test_loop.hl, t.port, 1);
		std::string block, rest;
		size_t sent = 0, before;

		while (block.size() < 65536)
			block += c.part;
		prepare(r);
		brf_target_run(tg, &r.run);
		ASSERT_TRUE(receives_request(t)) << c.name;
		rest = c.head;
		before = heap_bytes();
		test_loop.run_loop_until([&] {
			sent += rest.size();
			rest = t.peer.put(rest);
			sent -= rest.size();
			if (rest.empty())
				rest = block;
			EXPECT_LT(heap_bytes(), before + most) << c.name;
			return (r.ends != 0 || sent > total);
		});
		brf_target_cancel(tg, &r.run); /* as the gate in time */
		EXPECT_EQ(r.ends, 1) << c.name;
		EXPECT_EQ(r.end, c.end) << c.name << " after " << sent;
		EXPECT_TRUE(test_loop.run_loop_until([&] {
			t.peer.get();
			return (t.peer.ended);
		})) << c.name;
		brf_http_target_free(tg);
	}
}

struct fetch_recorder {
	int ends;
	enum brf_errc code;
	int status;
	std::string body;
	struct brf_fetch *cancel_in_chunk;
};

void
fetch_done(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer)
{
	auto *r = static_cast<struct fetch_recorder *>(arg);

	r->ends++;
	r->code = err != nullptr ? err->code : BRF_OK;
	r->status = answer->status;
	if (answer->body != nullptr)
		r->body.assign(answer->body, answer->body_len);
}

void
fetch_chunk(void *arg, int status, const char *data, size_t len)
{
	auto *r = static_cast<struct fetch_recorder *>(arg);

	r->status = status;
	r->body.append(data, len);
	if (r->cancel_in_chunk != nullptr)
		brf_fetch_cancel(r->cancel_in_chunk);
}

struct brf_fetch *
start_fetch(struct http_test_loop &test_loop, struct fetch_recorder *r,
    uint16_t port, bool stream, uint64_t timeout_us)
{
	struct sockaddr_in addr = loopback(port);
	struct brf_fetch_call call = {};

	*r = {};
	call.addr = (struct sockaddr *)&addr;
	call.method = "POST";
	call.path = "/v3/kv/range";
	call.body = "ask";
	call.body_len = 3;
	call.timeout_us = timeout_us;
	call.chunk = stream ? fetch_chunk : nullptr;
	call.done = fetch_done;
	call.arg = r;
	return (brf_fetch_start(test_loop.hl, &call));
}

TEST_F(target, fetch_reports_each_kind_of_end)
{
	const struct {
		const char *name;
		std::string bytes;
		bool close;
		bool stream;
		uint64_t timeout_us;
		enum brf_errc code;
		const char *body;
	} cases[] = {
		{ "complete body", ok + "content-length: 2\r\n\r\nab", false,
		    false, 0, BRF_OK, "ab" },
		{ "stream", ok + te + "\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
		    false, true, 0, BRF_OK, "abcd" },
		{ "incomplete stream", ok + te + "\r\n2\r\nab\r\n", true, true,
		    0, BRF_E_HTTP, "ab" },
		{ "silent", "", false, false, 1000, BRF_E_TIMEOUT, "" },
		{ "stream stops", ok + te + "\r\n2\r\nab\r\n", false, true,
		    50000, BRF_E_TIMEOUT, "ab" },
		{ "lost", "", true, false, 0, BRF_E_CLOSED, "" },
	};

	for (auto &c : cases) {
		struct raw_target t;
		struct fetch_recorder r;

		start_fetch(test_loop, &r, t.port, c.stream, 0);
		ASSERT_TRUE(receives_request(t)) << c.name;
		if (c.timeout_us != 0) {
			t.peer.put(ok + "content-length: 0\r\n\r\n");
			test_loop.run_loop_until([&] { return (r.ends == 1); });
			start_fetch(
			    test_loop, &r, t.port, c.stream, c.timeout_us);
			t.peer.got.clear();
			receives_request(t);
		}
		t.peer.put(c.bytes);
		if (c.close)
			t.peer.drop();
		EXPECT_TRUE(test_loop.run_loop_until([&] {
			return (r.ends != 0);
		})) << c.name;
		EXPECT_EQ(r.code, c.code) << c.name;
		EXPECT_EQ(r.body, c.body) << c.name;
	}
}

TEST_F(target, fetch_reports_an_immediate_failure_after_it_returned)
{
	struct fetch_recorder r;
	uint16_t port;

	{
		struct raw_target t;
		port = t.port;
	}
	start_fetch(test_loop, &r, port, false, 0);
	EXPECT_EQ(r.ends, 0);
	EXPECT_TRUE(test_loop.run_loop_until([&] { return (r.ends == 1); }));
	EXPECT_EQ(r.code, BRF_E_CONNECT);
	EXPECT_EQ(r.status, 0);
}

TEST_F(target, fetch_refuses_what_it_cannot_send)
{
	struct raw_target t;
	struct sockaddr_in addr = loopback(t.port);
	struct brf_header injected = { "a", "b\r\nc: d" };
	struct fetch_recorder r = {};
	struct brf_fetch_call call = {};

	call.addr = (struct sockaddr *)&addr;
	call.method = "GET";
	call.path = "/";
	call.headers = &injected;
	call.header_count = 1;
	call.done = fetch_done;
	call.arg = &r;
	brf_fetch_start(test_loop.hl, &call);
	EXPECT_TRUE(test_loop.run_loop_until([&] { return (r.ends == 1); }));
	EXPECT_EQ(r.code, BRF_E_HEADERS);
	EXPECT_FALSE(t.accepts());
}

/* Of a store, whose answers are kept whole. */
TEST_F(target, endless_bytes_end_a_fetch_in_bounded_memory)
{
	const size_t total = (size_t)16 << 20, most = (size_t)4 << 20;

	for (auto &c : endless_answers) {
		struct raw_target t;
		struct fetch_recorder r;
		std::string block, rest = c.head;
		size_t sent = 0, before;

		while (block.size() < 65536)
			block += c.part;
		start_fetch(test_loop, &r, t.port, false, 0);
		ASSERT_TRUE(receives_request(t)) << c.name;
		before = heap_bytes();
		test_loop.run_loop_until([&] {
			sent += rest.size();
			rest = t.peer.put(rest);
			sent -= rest.size();
			if (rest.empty())
				rest = block;
			EXPECT_LT(heap_bytes(), before + most) << c.name;
			return (r.ends != 0 || sent > total);
		});
		EXPECT_EQ(r.ends, 1) << c.name;
		EXPECT_EQ(r.code,
		    c.end == BRF_RUN_TOO_LARGE ? BRF_E_TOO_LARGE : BRF_E_HTTP)
		    << c.name;
	}
}

/* Neither counts as progress of a streamed body. */
TEST_F(target, endless_bytes_do_not_keep_a_fetch_open)
{
	for (const char *name : { "interim answers", "trailers" }) {
		for (bool stream : { false, true }) {
			struct raw_target t;
			struct fetch_recorder r;
			std::string rest;

			start_fetch(
			    test_loop, &r, t.port, stream, 50 * BRF_US_PER_MS);
			ASSERT_TRUE(receives_request(t));
			const struct endless_answer *c = endless_answers;
			while (strcmp(c->name, name) != 0)
				c++;
			rest = c->head;
			/* so slowly that the bounds of bytes are not reached */
			test_loop.run_loop_until([&] {
				if (rest.empty())
					rest = c->part;
				rest = t.peer.put(rest);
				usleep(5000);
				return (r.ends != 0);
			});
			EXPECT_EQ(r.ends, 1) << name;
			EXPECT_EQ(r.code, BRF_E_TIMEOUT) << name;
		}
	}
}

TEST_F(target, fetch_cancelled_in_its_chunk_callback_reports_no_end)
{
	struct raw_target t;
	struct fetch_recorder r;

	struct brf_fetch *f = start_fetch(test_loop, &r, t.port, true, 0);
	r.cancel_in_chunk = f;
	ASSERT_TRUE(receives_request(t));
	t.peer.put(ok + te + "\r\n2\r\nab\r\n");
	EXPECT_TRUE(test_loop.run_loop_until([&] {
		t.peer.get();
		return (t.peer.ended);
	}));
	EXPECT_EQ(r.ends, 0);
	EXPECT_EQ(r.body, "ab");
}

} // namespace
