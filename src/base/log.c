#include <limits.h>
#include <poll.h>
#include <time.h>
#include <unistd.h>

#include "base/buf.h"
#include "base/clock.h"
#include "base/log.h"

#define LOG_EVENTS 128

/**
 * struct event_rate - how often an event came in the current second.
 */
struct event_rate {
	const char *event;
	uint64_t second;
	uint32_t count;
	uint32_t left_out;
};

static struct {
	int fd;
	enum brf_log_level least;
	char node[64];
	struct brf_buf line;
	struct event_rate rates[LOG_EVENTS];
	struct brf_log_counts counts;
	struct brf_buf held;
	uint64_t untold; /* dropped, and not yet said so */
	bool holding;
} logger = { .fd = STDERR_FILENO, .least = BRF_LOG_INFO };

static const char *const level_names[] = { "debug", "info", "warn", "error" };

void
brf_log_open(int fd, enum brf_log_level least, const char *node)
{
	logger.fd = fd;
	logger.least = least;
	logger.holding = false;
	brf_buf_clear(&logger.held);
	brf_copy_name(
	    logger.node, sizeof(logger.node), node != NULL ? node : "");
}

bool
brf_log_parse_level(const char *name, enum brf_log_level *level)
{
	size_t i;

	for (i = 0; i < brf_nitems(level_names); i++) {
		if (strcmp(name, level_names[i]) != 0)
			continue;
		*level = (enum brf_log_level)i;
		return (true);
	}
	return (false);
}

/* Events are literals, so their addresses tell them apart well enough. */
static struct event_rate *
find_rate(const char *event)
{
	size_t i, at = ((uintptr_t)event >> 3) % LOG_EVENTS;
	struct event_rate *rate;

	for (i = 0; i < LOG_EVENTS; i++) {
		rate = &logger.rates[(at + i) % LOG_EVENTS];
		if (rate->event == event || rate->event == NULL)
			break;
	}
	rate->event = event;
	return (rate);
}

/* Return: whether the line may be written; @left_out since the last one. */
static bool
pass_rate(const char *event, uint32_t burst, uint32_t *left_out)
{
	struct event_rate *rate = find_rate(event);
	uint64_t second = brf_now(brf_clock_system()) / BRF_US_PER_S;

	*left_out = 0;
	if (rate->second != second) {
		rate->second = second;
		rate->count = 0;
		*left_out = rate->left_out;
		rate->left_out = 0;
	}
	if (rate->count++ < burst)
		return (true);
	rate->left_out++;
	logger.counts.left_out++;
	return (false);
}

static void
put_time(struct brf_buf *b)
{
	struct timespec ts;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	brf_buf_printf(b, "{\"time\":\"%04d-%02d-%02dT%02d:%02d:%02d.%03ldZ\"",
	    tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour, tm.tm_min,
	    tm.tm_sec, ts.tv_nsec / 1000000);
}

static void
put_string(struct brf_buf *b, const char *name, const char *value)
{
	brf_buf_printf(b, ",\"%s\":\"", name);
	brf_buf_put_json(b, value, strlen(value));
	brf_buf_putc(b, '"');
}

static void
put_field(struct brf_buf *b, const struct brf_log_field *f)
{
	char text[BRF_ERROR_DETAIL * 2];

	switch (f->type) {
	case BRF_LOG_STRING:
		put_string(b, f->name, f->v.s != NULL ? f->v.s : "");
		break;
	case BRF_LOG_UNSIGNED:
		brf_buf_printf(
		    b, ",\"%s\":%llu", f->name, (unsigned long long)f->v.u);
		break;
	case BRF_LOG_DOUBLE:
		brf_buf_printf(b, ",\"%s\":%.6g", f->name, f->v.d);
		break;
	case BRF_LOG_ID:
		brf_id_format(f->v.id, text);
		put_string(b, f->name, text);
		break;
	case BRF_LOG_FAILURE:
		put_string(b, "error", brf_error_name(f->v.err->code));
		brf_error_format(f->v.err, text, sizeof(text));
		put_string(b, "detail", text);
		break;
	case BRF_LOG_END:
		break;
	}
}

/* Whether writing PIPE_BUF bytes will not wait. */
static bool
takes_more(void)
{
	struct pollfd p = { .fd = logger.fd, .events = POLLOUT };

	return (poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0);
}

void
brf_log_flush(void)
{
	struct brf_buf *held = &logger.held;
	size_t done = 0, part;
	ssize_t n;

	while (done < held->len && takes_more()) {
		part = held->len - done;
		if (part > PIPE_BUF)
			part = PIPE_BUF;
		n = write(logger.fd, held->data + done, part);
		if (n <= 0)
			break; /* nobody is left to tell */
		done += (size_t)n;
	}
	brf_buf_consume(held, done);
}

size_t
brf_log_held(void)
{
	return (logger.held.len);
}

void
brf_log_hold(void)
{
	logger.holding = true;
}

void
brf_log_counts(struct brf_log_counts *counts)
{
	*counts = logger.counts;
}

static void
put_line(const struct brf_buf *line)
{
	logger.counts.lines++;
	logger.counts.bytes += line->len;
	if (logger.holding)
		brf_buf_add(&logger.held, line->data, line->len);
	else if (write(logger.fd, line->data, line->len) < 0)
		return; /* nobody is left to tell */
}

/* Return: false when the reader is too far behind. */
static bool
has_room(void)
{
	if (logger.held.len < BRF_LOG_HELD_MAX)
		return (true);
	brf_log_flush();
	if (logger.held.len < BRF_LOG_HELD_MAX)
		return (true);
	logger.counts.dropped++;
	logger.untold++;
	return (false);
}

bool
brf_log_write_each(enum brf_log_level level, const char *event, uint32_t burst,
    const struct brf_log_field *fields)
{
	struct brf_buf *b = &logger.line;
	uint32_t left_out;

	if (level < logger.least || !pass_rate(event, burst, &left_out) ||
	    !has_room())
		return (false);
	brf_buf_clear(b);
	put_time(b);
	put_string(b, "level", level_names[level]);
	if (logger.node[0] != '\0')
		put_string(b, "node", logger.node);
	put_string(b, "event", event);
	for (; fields->type != BRF_LOG_END; fields++)
		put_field(b, fields);
	if (left_out != 0)
		brf_buf_printf(b, ",\"left_out\":%u", left_out);
	if (logger.untold != 0)
		brf_buf_printf(
		    b, ",\"dropped\":%llu", (unsigned long long)logger.untold);
	logger.untold = 0;
	brf_buf_puts(b, "}\n");
	put_line(b);
	return (true);
}

void
brf_log_write(enum brf_log_level level, const char *event,
    const struct brf_log_field *fields)
{
	brf_log_write_each(level, event, BRF_LOG_BURST, fields);
}
