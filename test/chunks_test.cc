#include <gtest/gtest.h>

#include "chunks_fake.h"
#include "http/chunks.h"

namespace
{

struct decoded {
	enum brf_chunks_result result = BRF_CHUNKS_INCOMPLETE;
	std::string body, rest;
};

/* Decode @bytes, of which @step more are received at a time. */
struct decoded
decode(const std::string &bytes, size_t step)
{
	struct brf_chunks chunks;
	struct brf_buf input = {};
	struct decoded d;
	size_t at = 0, len, used;

	brf_chunks_init(&chunks);
	while (d.result == BRF_CHUNKS_INCOMPLETE && at < bytes.size()) {
		std::string part = bytes.substr(at, step);

		at += part.size();
		brf_buf_add(&input, part.data(), part.size());
		d.result =
		    brf_chunks_decode(&chunks, &input, input.len, &len, &used);
		if (d.result == BRF_CHUNKS_INVALID)
			break;
		d.body.append(input.data, len);
		brf_buf_consume(&input, used);
	}
	if (d.result == BRF_CHUNKS_COMPLETE)
		d.rest = std::string(input.data, input.len) + bytes.substr(at);
	brf_buf_free(&input);
	return (d);
}

TEST(chunks, sound_framings_are_decoded_in_any_pieces)
{
	for (const auto &text : sound_chunks()) {
		for (size_t step = 1; step <= text.size() + 4; step++) {
			struct decoded d = decode(text + "next", step);

			EXPECT_EQ(d.result, BRF_CHUNKS_COMPLETE) << text;
			EXPECT_EQ(d.body, "abcdefgh") << text;
			EXPECT_EQ(d.rest, "next") << text;
		}
	}
}

TEST(chunks, bad_framings_are_invalid_in_any_pieces)
{
	const std::string next = "GET /next HTTP/1.1\r\nhost: h\r\n\r\n";

	for (const auto &chunks : bad_chunks()) {
		std::string text = chunks + next;

		for (size_t step = 1; step <= text.size(); step++)
			EXPECT_EQ(decode(text, step).result, BRF_CHUNKS_INVALID)
			    << text << " in pieces of " << step;
	}
}

TEST(chunks, no_prefix_is_complete)
{
	for (const auto &text : sound_chunks()) {
		for (size_t len = 0; len < text.size(); len++)
			EXPECT_EQ(decode(text.substr(0, len), 3).result,
			    BRF_CHUNKS_INCOMPLETE)
			    << text.substr(0, len);
	}
}

} // namespace
