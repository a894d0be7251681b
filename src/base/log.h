#ifndef BRF_LOG_H
#define BRF_LOG_H

#include "base/error.h"
#include "base/random.h"

/**
 * DOC: Structured log: one JSON object a line.
 *
 * Each line has "time" (UTC, RFC 3339), "level", "event" and the fields
 * given.  An event that comes more often than BRF_LOG_BURST times in a second,
 * or BRF_LOG_REQUEST_BURST for one that tells of a single request, is left out
 * for the rest of it; the next line says how many were left out.
 *
 * A program with a loop holds lines and writes them together, as far as their
 * reader takes them at once: a reader that has stopped never stops the
 * program.  What does not fit is dropped, and the next line written says how
 * much.
 */

#define BRF_LOG_BURST 20u
#define BRF_LOG_REQUEST_BURST 10u
/* Bytes of lines that wait for their reader. */
#define BRF_LOG_HELD_MAX 65536u

enum brf_log_level {
	BRF_LOG_DEBUG,
	BRF_LOG_INFO,
	BRF_LOG_WARN,
	BRF_LOG_ERROR
};

enum brf_log_type {
	BRF_LOG_END,
	BRF_LOG_STRING,
	BRF_LOG_UNSIGNED,
	BRF_LOG_DOUBLE,
	BRF_LOG_ID,
	BRF_LOG_FAILURE
};

/**
 * struct brf_log_field - a typed field; made by the BRF_L macros below.
 */
struct brf_log_field {
	enum brf_log_type type;
	const char *name;
	union {
		const char *s;
		uint64_t u;
		double d;
		struct brf_id id;
		const struct brf_error *err;
	} v;
};

#define BRF_LS(n, x)                                            \
	{                                                       \
		.type = BRF_LOG_STRING, .name = (n), .v.s = (x) \
	}
#define BRF_LU(n, x)                                              \
	{                                                         \
		.type = BRF_LOG_UNSIGNED, .name = (n), .v.u = (x) \
	}
#define BRF_LD(n, x)                                            \
	{                                                       \
		.type = BRF_LOG_DOUBLE, .name = (n), .v.d = (x) \
	}
#define BRF_LI(n, x)                                         \
	{                                                    \
		.type = BRF_LOG_ID, .name = (n), .v.id = (x) \
	}
/* Adds "error" and "detail". */
#define BRF_LE(x)                                                      \
	{                                                              \
		.type = BRF_LOG_FAILURE, .name = "error", .v.err = (x) \
	}

/**
 * struct brf_log_counts - since the program began.
 * @lines: written or held
 * @bytes: of them
 * @left_out: for coming too often
 * @dropped: for want of a reader
 */
struct brf_log_counts {
	uint64_t lines;
	uint64_t bytes;
	uint64_t left_out;
	uint64_t dropped;
};

/**
 * brf_log() - write a line.
 * @level: enum brf_log_level
 * @event: string literal that names the event
 *
 * Example: brf_log(BRF_LOG_WARN, "peer_lost", BRF_LS("peer", name));
 */
#define brf_log(level, event, ...)          \
	brf_log_write((level), (event),     \
	    (const struct brf_log_field[]){ \
		__VA_ARGS__ __VA_OPT__(, ){ .type = BRF_LOG_END } })

/* The same with another bound on the event's lines in a second. */
#define brf_log_each(level, event, burst, ...)        \
	brf_log_write_each((level), (event), (burst), \
	    (const struct brf_log_field[]){           \
		__VA_ARGS__ __VA_OPT__(, ){ .type = BRF_LOG_END } })

/* A line on a single request. */
#define brf_log_request(level, event, ...) \
	brf_log_each((level), (event), BRF_LOG_REQUEST_BURST, __VA_ARGS__)

BRF_BEGIN_DECLS

/**
 * brf_log_open() - where lines go and which are left out.
 * @fd: open file descriptor, not closed by the logger
 * @least: lines below this level are left out
 * @node: written as "node" in each line; NULL for none
 */
void brf_log_open(int fd, enum brf_log_level least, const char *node);

/**
 * brf_log_parse_level() - "debug", "info", "warn" or "error".
 */
bool brf_log_parse_level(const char *name, enum brf_log_level *level);

void brf_log_write(enum brf_log_level level, const char *event,
    const struct brf_log_field *fields);

/* Return: whether the line was written or held. */
bool brf_log_write_each(enum brf_log_level level, const char *event,
    uint32_t burst, const struct brf_log_field *fields);

/* From now on hold lines until brf_log_flush(). */
void brf_log_hold(void);

/* Bytes that are held. */
size_t brf_log_held(void);

/* Write what is held, as far as the reader takes it without waiting. */
void brf_log_flush(void);

void brf_log_counts(struct brf_log_counts *counts);

BRF_END_DECLS

#endif
