#ifndef BRF_CHUNKS_FAKE_H
#define BRF_CHUNKS_FAKE_H

#include <string>
#include <vector>

/* Chunked bodies whose framing RFC 9112, section 7.1, doesn't allow. */
static inline const std::vector<std::string> &
bad_chunks()
{
	using namespace std::string_literals;
	static const std::string body = "abcdefgh\r\n0\r\n\r\n";
	static const std::vector<std::string> bad = {
		"8x\r\n" + body,
		"8 1\r\n" + body,
		"8 \r\n" + body,
		"8\t\r\n" + body,
		"8\0\r\n"s + body,
		"8\x80\r\n" + body,
		"0x8\r\n" + body,
		"0,8\r\n" + body,
		"0-8\r\n" + body,
		"0\"8\r\n" + body,
		"0\r8\r\n" + body,
		"0\n8\r\n" + body,
		"8\n" + body,
		"8\r\r\n" + body,
		"8;a\n" + body,
		"8;a\rb\r\n" + body,
		"8;a\0b\r\n"s + body,
		"-8\r\n" + body,
		" 8\r\n" + body,
		"\r\n" + body,
		";a\r\n" + body,
		"11111111111111111\r\n" + body,
		"8\r\nabcdefgh\n0\r\n\r\n",
		"8\r\nabcdefgh\r\r\n0\r\n\r\n",
		"8\r\nabcdefghi\r\n0\r\n\r\n",
		"8\r\nabcdefgh0\r\n\r\n",
		"8\r\nabcdefgh\r\n0\r\n\n",
		"8\r\nabcdefgh\r\n0\r\n\r\r\n",
		"8\r\nabcdefgh\r\n0\n\r\n",
		"8\r\nabcdefgh\r\n0x0\r\n\r\n",
	};

	return (bad);
}

/* Framings of "abcdefgh" that it allows. */
static inline const std::vector<std::string> &
sound_chunks()
{
	using namespace std::string_literals;
	static const std::vector<std::string> sound = {
		"8\r\nabcdefgh\r\n0\r\n\r\n",
		"0008\r\nabcdefgh\r\n000\r\n\r\n",
		"8;a=b\r\nabcdefgh\r\n0;c\r\n\r\n",
		"8 \t; a = \"b;c\"\r\nabcdefgh\r\n0\r\n\r\n",
		"3\r\nabc\r\n5\r\ndefgh\r\n0\r\n\r\n",
		"8\r\nabcdefgh\r\n0\r\nx-other: v\r\ny: z\r\n\r\n",
		/* broken names go with the trailer */
		"8\r\nabcdefgh\r\n0\r\n x: v\r\n\0y: v\r\nz : v\r\n"
		"\ra: v\r\n\r\n"s,
	};

	return (sound);
}

#endif
