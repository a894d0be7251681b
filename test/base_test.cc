#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "base/buf.h"
#include "base/message.h"
#include "base/metrics.h"
#include "base/outcome.h"
#include "bulrushford.h"
#include "base/random.h"
#include "base/timer.h"

namespace
{

struct fired {
	std::vector<int> order;
};

struct numbered {
	struct brf_timer timer;
	struct fired *log;
	int number;
};

void
note(struct brf_timer *timer, void *arg)
{
	auto *n = static_cast<struct numbered *>(arg);

	(void)timer;
	n->log->order.push_back(n->number);
}

} // namespace

RC_GTEST_PROP(
    timer, fires_in_order_of_time, (const std::vector<uint16_t> &delays))
{
	struct brf_clock_manual clock;
	struct fired log;
	std::vector<struct numbered> timers(delays.size());

	brf_clock_manual_init(&clock, 1000);
	struct brf_timers *ts = brf_timers_new(&clock.clock);
	for (size_t i = 0; i < delays.size(); i++) {
		timers[i] = { {}, &log, (int)i };
		timers[i].timer.fire = note;
		timers[i].timer.arg = &timers[i];
		brf_timer_start(ts, &timers[i].timer, delays[i]);
	}
	/* every third is stopped, every third but one moved */
	for (size_t i = 0; i < delays.size(); i += 3)
		brf_timer_stop(ts, &timers[i].timer);
	clock.now += 70000;
	brf_timers_run(ts);
	RC_ASSERT(log.order.size() == delays.size() - (delays.size() + 2) / 3);
	for (size_t i = 1; i < log.order.size(); i++)
		RC_ASSERT(delays[(size_t)log.order[i - 1]] <=
			  delays[(size_t)log.order[i]]);
	RC_ASSERT(brf_timers_next(ts) == BRF_TIMER_NONE);
	brf_timers_free(ts);
}

TEST(message, bounds_and_field_rules)
{
	struct {
		const char *name;
		const char *value;
		enum brf_errc want;
	} cases[] = {
		{ "Accept", "text/plain", BRF_OK },
		{ "", "x", BRF_E_HEADERS },
		{ "bad name", "x", BRF_E_HEADERS },
		{ "x", "a\r\nb: c", BRF_E_HEADERS },
	};

	for (auto &c : cases) {
		struct brf_message *m = brf_message_new();
		struct brf_error err = {};
		bool ok = brf_message_add_header(
		    m, c.name, strlen(c.name), c.value, strlen(c.value), &err);
		EXPECT_EQ(ok, c.want == BRF_OK) << c.name;
		EXPECT_EQ(err.code, c.want) << c.name;
		brf_message_unref(m);
	}
	struct brf_message *m = brf_message_new();
	struct brf_error err = {};
	size_t added = 0;
	while (brf_message_add_header(m, "n", 1, "v", 1, &err))
		added++;
	EXPECT_EQ(added, BRF_HEADERS_MAX);
	EXPECT_EQ(err.code, BRF_E_TOO_LARGE);
	brf_message_unref(m);
}

TEST(message, names_are_lower_case_and_found)
{
	struct brf_message *m = brf_message_new();

	ASSERT_TRUE(brf_message_add_header(m, "X-Thing", 7, "v", 1, nullptr));
	EXPECT_STREQ(brf_message_header(m, "x-thing"), "v");
	EXPECT_EQ(brf_message_header(m, "other"), nullptr);
	brf_message_unref(m);
}

TEST(message, checksum_sees_each_part)
{
	struct brf_message *m = brf_message_new();
	uint64_t sums[5];

	sums[0] = brf_message_checksum(m);
	m->status = 200;
	sums[1] = brf_message_checksum(m);
	ASSERT_TRUE(brf_message_set_path(m, "/a", 2, nullptr));
	sums[2] = brf_message_checksum(m);
	ASSERT_TRUE(brf_message_add_header(m, "a", 1, "b", 1, nullptr));
	sums[3] = brf_message_checksum(m);
	brf_buf_puts(&m->body, "x");
	sums[4] = brf_message_checksum(m);
	for (int i = 0; i < 5; i++) {
		for (int j = 0; j < i; j++)
			EXPECT_NE(sums[i], sums[j]);
	}
	brf_message_unref(m);
}

RC_GTEST_PROP(id, format_and_parse_agree, (uint64_t hi, uint64_t lo))
{
	struct brf_id id = { hi, lo }, back = {};
	char text[BRF_ID_TEXT];

	brf_id_format(id, text);
	RC_ASSERT(brf_id_parse(text, strlen(text), &back));
	RC_ASSERT(brf_id_equal(id, back));
	RC_ASSERT(!brf_id_parse(text, strlen(text) - 1, &back));
}

TEST(metrics, text_format)
{
	struct brf_metrics *m = brf_metrics_new();
	struct brf_buf out = {};

	brf_metrics_counter(m, "brf_x_total", "X.", "a=\"1\"")->value += 2;
	brf_metrics_counter(m, "brf_x_total", "X.", "a=\"2\"")->value += 1;
	EXPECT_EQ(
	    brf_metrics_counter(m, "brf_x_total", "X.", "a=\"1\"")->value, 2);
	brf_metrics_write(m, &out);
	EXPECT_STREQ(out.data,
	    "# HELP brf_x_total X.\n# TYPE brf_x_total counter\n"
	    "brf_x_total{a=\"1\"} 2\nbrf_x_total{a=\"2\"} 1\n");
	brf_buf_free(&out);
	brf_metrics_free(m);
}

RC_GTEST_PROP(metrics, quantile_bounds_the_values, ())
{
	struct brf_histogram h = {};
	auto values =
	    *rc::gen::nonEmpty(rc::gen::container<std::vector<uint32_t>>(
		rc::gen::inRange<uint32_t>(1, 50000000)));
	uint32_t most = 0;

	for (uint32_t v : values) {
		brf_histogram_add(&h, v);
		most = v > most ? v : most;
	}
	RC_ASSERT(brf_histogram_quantile(&h, 1.0) >= most);
	RC_ASSERT(brf_histogram_quantile(&h, 1.0) <= most * 1.42 + 25);
}

TEST(outcome, every_reason_has_a_name_and_status)
{
	for (int r = 0; r < BRF_REASON_COUNT; r++) {
		auto reason = (enum brf_reason)r;
		EXPECT_STRNE(brf_reason_name(reason), "invalid");
		EXPECT_GE(brf_reason_status(reason), 200);
	}
	EXPECT_STREQ(brf_reason_name(BRF_REASON_COUNT), "invalid");
}

/* A spare message once kept its body, and lost it to one who put another
 * buffer in its place; the fuzzer of replies saw the leak. */
TEST(message, a_new_message_is_empty_whatever_it_was)
{
	for (int i = 0; i < 3; i++) {
		struct brf_message *m = brf_message_new();

		EXPECT_EQ(m->body.data, nullptr);
		EXPECT_EQ(m->body.cap, 0u);
		EXPECT_EQ(m->header_count, 0u);
		EXPECT_EQ(m->status, 0);
		for (char c : m->method)
			EXPECT_EQ(c, 0); /* callers copy without a NUL */
		EXPECT_STREQ(m->path, "");
		m->status = 200;
		strcpy(m->method, "DELETE");
		ASSERT_TRUE(brf_message_set_path(m, "/x", 2, nullptr));
		ASSERT_TRUE(brf_message_add_header(m, "a", 1, "b", 1, nullptr));
		brf_buf_puts(&m->body, "text");
		brf_message_unref(m);
	}
}
