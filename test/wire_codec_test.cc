#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <arpa/inet.h>

#include <string>
#include <vector>

#include "wire/codec.h"
#include "wire/handshake.h"
#include "wire/rpc.h"

namespace
{

std::string
record_mark(uint32_t word)
{
	uint32_t be = htonl(word);

	return (std::string((const char *)&be, sizeof(be)));
}

const uint32_t last_fragment = 0x80000000u;

struct brf_message *
make_message(const std::string &method, const std::string &path, int status,
    const std::string &body)
{
	struct brf_message *m = brf_message_new();

	brf_copy_name(m->method, sizeof(m->method), method.c_str());
	EXPECT_TRUE(brf_message_set_path(m, path.data(), path.size(), nullptr));
	m->status = status;
	brf_buf_add(&m->body, body.data(), body.size());
	return (m);
}

struct brf_attempt
valid_attempt()
{
	struct brf_attempt a = {};

	a.root = { 1, 2 };
	a.id = { 3, 4 };
	a.timeout_us = 5000;
	brf_copy_name(a.service, sizeof(a.service), "factors");
	a.request = make_message("POST", "/a?b", 0, "body");
	EXPECT_TRUE(
	    brf_message_add_header(a.request, "accept", 6, "x", 1, nullptr));
	return (a);
}

std::string
encode_attempt(const struct brf_attempt &a)
{
	std::string out(brf_attempt_max_size(&a), '\0');
	XDR xdr;

	xdrmem_create(&xdr, &out[0], (u_int)out.size(), XDR_ENCODE);
	EXPECT_TRUE(brf_attempt_encode(&xdr, &a, a.timeout_us));
	out.resize(xdr_getpos(&xdr));
	return (out);
}

bool
decode_attempt(std::string in, struct brf_attempt *a, struct brf_error *err)
{
	XDR xdr;

	xdrmem_create(&xdr, &in[0], (u_int)in.size(), XDR_DECODE);
	return (brf_attempt_decode(&xdr, a, err));
}

std::string
encode_reply(const struct brf_reply &r)
{
	std::string out(brf_reply_max_size(&r), '\0');
	XDR xdr;

	xdrmem_create(&xdr, &out[0], (u_int)out.size(), XDR_ENCODE);
	EXPECT_TRUE(brf_reply_encode(&xdr, { 3, 4 }, &r));
	out.resize(xdr_getpos(&xdr));
	return (out);
}

bool
decode_reply(std::string in, struct brf_id id, struct brf_reply *r,
    struct brf_error *err)
{
	XDR xdr;

	xdrmem_create(&xdr, &in[0], (u_int)in.size(), XDR_DECODE);
	return (brf_reply_decode(&xdr, id, r, err));
}

} // namespace

RC_GTEST_PROP(record, records_do_not_depend_on_how_the_stream_is_split, ())
{
	auto bodies = *rc::gen::container<std::vector<std::string>>(
	    rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
	std::string stream;
	struct brf_record_reader r = {};
	struct brf_record rec;
	std::vector<std::string> got;

	for (const auto &b : bodies) {
		size_t pos = 0;
		while (b.size() - pos > 1 && *rc::gen::arbitrary<bool>()) {
			size_t n = *rc::gen::inRange<size_t>(1, b.size() - pos);
			stream += record_mark((uint32_t)n) + b.substr(pos, n);
			pos += n;
		}
		stream +=
		    record_mark((uint32_t)(b.size() - pos) | last_fragment) +
		    b.substr(pos);
	}
	for (size_t pos = 0; pos < stream.size();) {
		size_t n =
		    *rc::gen::inRange<size_t>(1, stream.size() - pos + 1);
		brf_record_feed(&r, stream.data() + pos, n);
		pos += n;
		while (
		    brf_record_next(&r, &rec, nullptr) == BRF_RECORD_COMPLETE)
			got.emplace_back(rec.data, rec.len);
	}
	RC_ASSERT(got == bodies);
	RC_ASSERT(brf_record_finish(&r, nullptr));
	brf_record_reader_free(&r);
}

TEST(record, invalid_framing_has_an_error_code)
{
	std::string many;

	for (int i = 0; i < 5000; i++)
		many += record_mark(1) + "x";
	struct {
		const char *name;
		std::string bytes;
		enum brf_record_result want;
		enum brf_errc code;
	} cases[] = {
		{ "truncated mark", std::string("\x80\0", 2),
		    BRF_RECORD_INCOMPLETE, BRF_E_RPC_RECORD },
		{ "truncated fragment", record_mark(last_fragment | 8) + "abc",
		    BRF_RECORD_INCOMPLETE, BRF_E_RPC_RECORD },
		{ "end between fragments", record_mark(3) + "abc",
		    BRF_RECORD_INCOMPLETE, BRF_E_RPC_RECORD },
		{ "largest length", record_mark(0xffffffffu),
		    BRF_RECORD_INVALID, BRF_E_TOO_LARGE },
		{ "fragment one byte too long",
		    record_mark(last_fragment | (BRF_RECORD_MAX + 1)),
		    BRF_RECORD_INVALID, BRF_E_TOO_LARGE },
		{ "fragments too long in sum",
		    record_mark(BRF_RECORD_MAX) +
			std::string(BRF_RECORD_MAX, 'x') +
			record_mark(last_fragment | 1),
		    BRF_RECORD_INVALID, BRF_E_TOO_LARGE },
		{ "empty fragment", record_mark(0), BRF_RECORD_INVALID,
		    BRF_E_RPC_RECORD },
		{ "too many fragments", many, BRF_RECORD_INVALID,
		    BRF_E_RPC_RECORD },
	};

	for (auto &c : cases) {
		struct brf_record_reader r = {};
		struct brf_record rec;
		struct brf_error err = {};
		brf_record_feed(&r, c.bytes.data(), c.bytes.size());
		EXPECT_EQ(brf_record_next(&r, &rec, &err), c.want) << c.name;
		if (c.want == BRF_RECORD_INCOMPLETE) {
			EXPECT_FALSE(brf_record_finish(&r, &err)) << c.name;
		}
		EXPECT_EQ(err.code, c.code) << c.name;
		brf_record_reader_free(&r);
	}
}

RC_GTEST_PROP(codec, attempt_round_trip, ())
{
	auto text =
	    rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~'));
	struct brf_attempt a = {}, b = {};

	a.root = { *rc::gen::arbitrary<uint64_t>(),
		*rc::gen::arbitrary<uint64_t>() };
	a.id = { *rc::gen::arbitrary<uint64_t>(),
		*rc::gen::arbitrary<uint64_t>() };
	a.timeout_us = *rc::gen::inRange<uint64_t>(0, 300000001);
	a.depth = *rc::gen::inRange<uint32_t>(0, BRF_DEPTH_MAX + 1);
	a.cls = *rc::gen::inRange<uint32_t>(0, BRF_CLASSES);
	a.retries = *rc::gen::inRange<uint32_t>(0, BRF_RETRIES_MAX + 1);
	a.resend = *rc::gen::arbitrary<bool>();
	brf_copy_name(a.service, sizeof(a.service), (*text).c_str());
	brf_copy_name(a.workspace, sizeof(a.workspace), (*text).c_str());
	brf_copy_name(a.token, sizeof(a.token), (*text).c_str());
	a.request = make_message("GET", "/" + *text, 0,
	    *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
	for (const auto &v :
	    *rc::gen::container<std::vector<std::string>>(text))
		brf_message_add_header(
		    a.request, "n", 1, v.data(), v.size(), nullptr);
	std::string bytes = encode_attempt(a);
	RC_ASSERT(decode_attempt(bytes, &b, nullptr));
	RC_ASSERT(encode_attempt(b) == bytes);
	RC_ASSERT(brf_id_equal(a.id, b.id) && brf_id_equal(a.root, b.root));
	RC_ASSERT(a.timeout_us == b.timeout_us && a.depth == b.depth);
	RC_ASSERT(a.cls == b.cls && a.retries == b.retries);
	RC_ASSERT(a.resend == b.resend);
	RC_ASSERT(std::string(a.token) == b.token);
	RC_ASSERT(
	    brf_message_checksum(a.request) == brf_message_checksum(b.request));
	/* a truncated encoding is rejected */
	size_t cut = *rc::gen::inRange<size_t>(0, bytes.size());
	struct brf_attempt c;
	struct brf_error err = {};
	RC_ASSERT(!decode_attempt(bytes.substr(0, cut), &c, &err));
	RC_ASSERT(err.code == BRF_E_RPC_ARGUMENT);
	brf_message_unref(a.request);
	brf_message_unref(b.request);
}

TEST(codec, invalid_attempts_are_rejected)
{
	struct {
		const char *name;
		void (*corrupt)(struct brf_attempt *a);
		enum brf_errc code;
	} cases[] = {
		{ "class", [](struct brf_attempt *a) { a->cls = BRF_CLASSES; },
		    BRF_E_RPC_ARGUMENT },
		{ "retries",
		    [](struct brf_attempt *a) {
			    a->retries = BRF_RETRIES_MAX + 1;
		    },
		    BRF_E_RPC_ARGUMENT },
		{ "depth",
		    [](struct brf_attempt *a) { a->depth = BRF_DEPTH_MAX + 1; },
		    BRF_E_RPC_ARGUMENT },
		{ "status",
		    [](struct brf_attempt *a) { a->request->status = 1; },
		    BRF_E_RPC_ARGUMENT },
		{ "no method",
		    [](struct brf_attempt *a) { a->request->method[0] = 0; },
		    BRF_E_RPC_ARGUMENT },
		{ "method",
		    [](struct brf_attempt *a) { a->request->method[1] = '\r'; },
		    BRF_E_RPC_ARGUMENT },
		{ "path",
		    [](struct brf_attempt *a) { a->request->path[1] = ' '; },
		    BRF_E_RPC_ARGUMENT },
		{ "field name",
		    [](struct brf_attempt *a) {
			    ((char *)a->request->headers[0].name)[0] = ':';
		    },
		    BRF_E_HEADERS },
		{ "field value",
		    [](struct brf_attempt *a) {
			    ((char *)a->request->headers[0].value)[0] = '\n';
		    },
		    BRF_E_HEADERS },
	};

	for (auto &c : cases) {
		struct brf_attempt a = valid_attempt(), b;
		struct brf_error err = {};
		c.corrupt(&a);
		EXPECT_FALSE(decode_attempt(encode_attempt(a), &b, &err))
		    << c.name;
		EXPECT_EQ(err.code, c.code) << c.name;
		brf_message_unref(a.request);
	}
}

/* Replaces the first byte of a text in the encoding: by a NUL, which must not
 * be accepted inside a text, or by a valid byte, which breaks the checksum. */
TEST(codec, nul_in_text_and_changed_content_are_rejected)
{
	struct brf_attempt a = valid_attempt(), b;
	std::string bytes = encode_attempt(a);
	struct {
		const char *at;
		char with;
		enum brf_errc code;
	} cases[] = {
		{ "factors", '\0', BRF_E_RPC_ARGUMENT },
		{ "POST", '\0', BRF_E_RPC_ARGUMENT },
		{ "/a?b", '\0', BRF_E_RPC_ARGUMENT },
		{ "accept", '\0', BRF_E_HEADERS },
		{ "accept", 'b', BRF_E_CHECKSUM },
		{ "/a?b", 'b', BRF_E_CHECKSUM },
		{ "body", 'x', BRF_E_CHECKSUM },
	};

	for (auto &c : cases) {
		std::string corrupted = bytes;
		struct brf_error err = {};
		corrupted[corrupted.find(c.at)] = c.with;
		EXPECT_FALSE(decode_attempt(corrupted, &b, &err)) << c.at;
		EXPECT_EQ(err.code, c.code) << c.at;
	}
	brf_message_unref(a.request);
}

RC_GTEST_PROP(codec, reply_round_trip, ())
{
	struct brf_reply r = {}, s = {};
	struct brf_error err = {};

	r.outcome = (enum brf_outcome) * rc::gen::inRange(0, 3);
	r.reason = r.outcome == BRF_ANSWERED
		       ? BRF_R_NONE
		       : (enum brf_reason) *
			     rc::gen::inRange(1, (int)BRF_REASON_COUNT);
	r.retries = *rc::gen::inRange<uint32_t>(0, BRF_RETRIES_MAX + 1);
	r.retry_after_ms = *rc::gen::arbitrary<uint32_t>();
	r.wasted_us = *rc::gen::arbitrary<uint64_t>();
	r.has_level = *rc::gen::arbitrary<bool>();
	if (r.has_level)
		r.level.cut = *rc::gen::inRange<uint32_t>(0, BRF_RANK_END + 1);
	if (r.outcome == BRF_ANSWERED)
		r.answer = make_message("", "", *rc::gen::inRange(100, 600),
		    *rc::gen::container<std::string>(
			rc::gen::arbitrary<char>()));
	std::string bytes = encode_reply(r);
	RC_ASSERT(decode_reply(bytes, { 3, 4 }, &s, nullptr));
	RC_ASSERT(encode_reply(s) == bytes);
	RC_ASSERT(r.outcome == s.outcome && r.reason == s.reason);
	RC_ASSERT(r.has_level == s.has_level && r.level.cut == s.level.cut);
	brf_message_unref(s.answer);
	RC_ASSERT(!decode_reply(bytes, { 3, 5 }, &s, &err));
	RC_ASSERT(err.code == BRF_E_RPC_UNMATCHED);
	brf_message_unref(r.answer);
}

TEST(codec, invalid_replies_are_rejected)
{
	struct {
		const char *name;
		void (*corrupt)(struct brf_reply *r);
	} cases[] = {
		{ "outcome",
		    [](struct brf_reply *r) { r->outcome = (brf_outcome)3; } },
		{ "reason",
		    [](struct brf_reply *r) {
			    r->reason = (brf_reason)BRF_REASON_COUNT;
		    } },
		{ "not run, with an answer",
		    [](struct brf_reply *r) {
			    r->outcome = BRF_NOT_RUN;
			    r->reason = BRF_R_OVERLOAD;
		    } },
		{ "answered without an answer",
		    [](struct brf_reply *r) { r->answer = nullptr; } },
		{ "answered with a reason",
		    [](struct brf_reply *r) { r->reason = BRF_R_OVERLOAD; } },
		{ "status",
		    [](struct brf_reply *r) { r->answer->status = 99; } },
		{ "level",
		    [](struct brf_reply *r) {
			    r->has_level = true;
			    r->level.cut = BRF_RANK_END + 1;
		    } },
		{ "retries",
		    [](struct brf_reply *r) {
			    r->retries = BRF_RETRIES_MAX + 1;
		    } },
	};

	for (auto &c : cases) {
		struct brf_message *m = make_message("", "", 200, "ok");
		struct brf_reply r = {}, s;
		struct brf_error err = {};
		r.answer = m;
		c.corrupt(&r);
		EXPECT_FALSE(decode_reply(encode_reply(r), { 3, 4 }, &s, &err))
		    << c.name;
		EXPECT_EQ(err.code, BRF_E_RPC_ARGUMENT) << c.name;
		brf_message_unref(m);
	}
}

TEST(handshake, mac_covers_side_key_and_every_field)
{
	const unsigned char key[] = "fleet";
	struct brf_handshake h = {};
	unsigned char mac[BRF_XDR_MAC];

	brf_handshake_mac(&h, BRF_HANDSHAKE_CALLER, key, 5, mac);
	EXPECT_TRUE(brf_handshake_check(&h, BRF_HANDSHAKE_CALLER, key, 5, mac));
	EXPECT_FALSE(
	    brf_handshake_check(&h, BRF_HANDSHAKE_CALLEE, key, 5, mac));
	EXPECT_FALSE(
	    brf_handshake_check(&h, BRF_HANDSHAKE_CALLER, key, 4, mac));
	for (size_t i = 0; i < sizeof(h); i++) {
		struct brf_handshake other = h;
		((unsigned char *)&other)[i] ^= 1;
		EXPECT_FALSE(brf_handshake_check(
		    &other, BRF_HANDSHAKE_CALLER, key, 5, mac))
		    << i;
	}
}
