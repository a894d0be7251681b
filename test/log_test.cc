#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <string>

#include <jansson.h>

#include "base/log.h"

namespace
{

/* What @write puts into the log, as text. */
template <typename F>
std::string
logged(F write_lines)
{
	char buf[65536];
	int fds[2];
	ssize_t n;

	EXPECT_EQ(pipe(fds), 0);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	brf_log_open(fds[1], BRF_LOG_INFO, "n1");
	write_lines();
	brf_log_open(STDERR_FILENO, BRF_LOG_INFO, nullptr);
	n = read(fds[0], buf, sizeof(buf));
	close(fds[0]);
	close(fds[1]);
	return (std::string(buf, n > 0 ? (size_t)n : 0));
}

} // namespace

TEST(log, a_line_is_json_whatever_its_fields_hold)
{
	const struct brf_log_field fields[] = {
		{ BRF_LOG_STRING, "text",
		    { .s = "quote \" slash \\ \n \x01 \xff" } },
		{ BRF_LOG_UNSIGNED, "count", { .u = 7 } },
		{ BRF_LOG_END, nullptr, { .u = 0 } },
	};
	std::string text =
	    logged([&] { brf_log_write(BRF_LOG_WARN, "an_event", fields); });
	json_t *o = json_loads(text.c_str(), 0, nullptr);

	ASSERT_NE(o, nullptr) << text;
	EXPECT_STREQ(json_string_value(json_object_get(o, "level")), "warn");
	EXPECT_STREQ(
	    json_string_value(json_object_get(o, "event")), "an_event");
	EXPECT_STREQ(json_string_value(json_object_get(o, "node")), "n1");
	EXPECT_EQ(json_integer_value(json_object_get(o, "count")), 7);
	json_decref(o);
}

TEST(log, repeated_lines_and_lower_levels_are_left_out)
{
	const struct brf_log_field none[] = { { BRF_LOG_END, nullptr,
	    { .u = 0 } } };
	std::string text = logged([&] {
		brf_log_write(BRF_LOG_DEBUG, "hidden", none);
		for (int i = 0; i < 1000; i++)
			brf_log_write(BRF_LOG_INFO, "often", none);
	});
	size_t lines = 0;

	for (char c : text)
		lines += c == '\n';
	EXPECT_EQ(text.find("hidden"), std::string::npos);
	EXPECT_GE(lines, BRF_LOG_BURST);
	/* it may run over the end of a second, or of a few on a busy machine */
	EXPECT_LT(lines, 1000u);
}

TEST(log, a_reader_that_has_stopped_stops_nobody)
{
	const struct brf_log_field none[] = { { BRF_LOG_END, nullptr,
	    { .u = 0 } } };
	struct brf_log_counts before, after;
	std::string text;
	char buf[65536];
	int fds[2];
	ssize_t n;

	brf_log_counts(&before);
	ASSERT_EQ(pipe(fds), 0);
	brf_log_open(fds[1], BRF_LOG_INFO, "n1");
	brf_log_hold();
	/* more than the pipe and the logger hold */
	for (int i = 0; i < 10000; i++) {
		brf_log_write_each(BRF_LOG_INFO, "often", UINT32_MAX, none);
		if (i % 10 == 0)
			brf_log_flush();
	}
	EXPECT_GE(brf_log_held(), BRF_LOG_HELD_MAX);
	EXPECT_LT(brf_log_held(), BRF_LOG_HELD_MAX + 1024);
	brf_log_counts(&after);
	EXPECT_GT(after.dropped, before.dropped);
	EXPECT_EQ(after.dropped - before.dropped + after.lines - before.lines,
	    10000u);
	/* the reader is back */
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	for (int round = 0; round < 100; round++) {
		while ((n = read(fds[0], buf, sizeof(buf))) > 0)
			text.append(buf, (size_t)n);
		if (round == 50)
			brf_log_write(BRF_LOG_INFO, "back", none);
		brf_log_flush();
	}
	brf_log_open(STDERR_FILENO, BRF_LOG_INFO, nullptr);
	close(fds[0]);
	close(fds[1]);
	EXPECT_NE(text.find("\"dropped\":" +
			    std::to_string(after.dropped - before.dropped)),
	    std::string::npos);
	EXPECT_EQ(text.back(), '\n');
}
