#ifndef BRF_LOAD_H
#define BRF_LOAD_H

#include <netinet/in.h>

#include <uv.h>

#include "base/buf.h"
#include "base/list.h"
#include "base/random.h"
#include "base/timer.h"
#include "bulrushford.h"
#include "http/parser.h"

/**
 * DOC: Open-loop HTTP load generator for tests and benches.
 *
 * Requests of each stream begin at times that do not depend on answers, and
 * latency counts from these times, so that a slow server is not spared
 * (coordinated omission).  It only talks to 127.0.0.0/8.
 */

#define LOAD_TARGETS_MAX 64
#define LOAD_STREAMS_MAX 64
#define LOAD_OPEN_MAX 262144u	/* requests open at once */
#define LOAD_RATE_MAX 50000.0	/* requests a second of one stream */
#define LOAD_SECONDS_MAX 3600.0 /* of one stream */
#define LOAD_REASONS_MAX 64
#define LOAD_REASON_NAME 32
#define LOAD_READ_SIZE 16384 /* bytes of a head at most, and read at once */

/**
 * struct load_stream_set - settings of one stream of requests.
 * @name: in the report
 * @service: value of the "host" field
 * @rate: requests a second
 * @fixed: equal gaps between requests; else exponential ones (Poisson)
 * @seconds: how long it lasts
 * @start_ms: when it begins
 * @timeout_ms: of each try
 * @token: workspace token; empty for none
 * @priority: brf-priority; LOAD_NO_PRIORITY for none
 * @tries: tries of one request in all
 * @polite: wait as Retry-After says before the next try
 */
struct load_stream_set {
	char name[64];
	char service[64];
	char method[16];
	char path[512];
	char token[512];
	uint32_t body_bytes;
	double rate;
	double seconds;
	uint32_t start_ms;
	uint32_t timeout_ms;
	uint32_t priority;
	uint32_t tries;
	bool fixed;
	bool polite;
};

#define LOAD_NO_PRIORITY UINT32_MAX

/**
 * struct load_set - all settings.
 * @report_ms: length of an interval of the series; 0 for none
 */
struct load_set {
	struct sockaddr_in to[LOAD_TARGETS_MAX];
	size_t to_count;
	struct load_stream_set streams[LOAD_STREAMS_MAX];
	size_t stream_count;
	uint32_t connections;
	uint32_t report_ms;
	uint64_t seed;
};

/* Read the command line and the file of --mix; ends the process on errors. */
void load_set_parse(struct load_set *set, int argc, char **argv);

/**
 * struct load_quantiles - durations in buckets less than 2 % apart.
 */
#define LOAD_STEPS ((size_t)64)
#define LOAD_BUCKETS (36 * LOAD_STEPS)

struct load_quantiles {
	uint64_t buckets[LOAD_BUCKETS];
	uint64_t count;
	uint64_t most;
};

void load_quantiles_add(struct load_quantiles *q, uint64_t us);

/* Upper bound of the bucket that holds @share of all, milliseconds. */
double load_quantiles_ms(const struct load_quantiles *q, double share);

/**
 * enum load_end - how one try ended, as the client saw it.
 */
enum load_end {
	LOAD_ANSWER, /* a whole answer of any status */
	LOAD_TIMEOUT,
	LOAD_NO_CONNECTION,
	LOAD_LOST,	/* the connection ended before an answer */
	LOAD_TORN,	/* an answer began and did not end, or is no HTTP */
	LOAD_UNFINISHED /* the generator stopped first */
};

/**
 * struct load_answer - what is kept of an answer's head.
 * @outcome: brf-outcome, empty for none; @reason alike
 * @retry_after_s: 0 for none
 * @attempts: brf-attempts
 */
struct load_answer {
	int status;
	char outcome[LOAD_REASON_NAME];
	char reason[LOAD_REASON_NAME];
	uint32_t retry_after_s;
	uint32_t attempts;
};

/**
 * struct load_count - counter with a name.
 */
struct load_count {
	char name[LOAD_REASON_NAME];
	uint64_t value;
};

struct load_counts {
	struct load_count items[LOAD_REASONS_MAX];
	size_t count;
};

/**
 * struct load_stream - a stream at work, and its results.
 * @text: a request as it goes out
 * @next: when the next one is due, clock time in microseconds
 * @offered: requests begun; @good those with a whole 2xx answer in time
 * @tries: sent over all requests
 * @attempts: sum of brf-attempts over all answers; @attempts_most the largest
 * @overflow: not begun, since LOAD_OPEN_MAX were open
 * @series_offered: per interval; @series_good alike
 */
struct load_stream {
	const struct load_stream_set *set;
	struct load *load;
	struct brf_random_seeded random;
	struct brf_buf text;
	double next;
	double end;
	uint64_t offered;
	uint64_t good;
	uint64_t tries;
	uint64_t attempts;
	uint64_t attempts_most;
	uint64_t overflow;
	struct load_counts outcomes;
	struct load_counts reasons;
	struct load_counts statuses;
	struct load_quantiles latency;
	uint64_t *series_offered;
	uint64_t *series_good;
};

struct load_conn;

/**
 * struct load_request - one caller's request over all its tries.
 * @link: in the queue for a connection, or among those that pause
 * @timer: timeout of a try, or pause between two
 * @intended: when it was due, clock time in microseconds
 */
struct load_request {
	struct load_stream *stream;
	struct brf_list link;
	struct brf_timer timer;
	struct load_conn *conn;
	uint64_t intended;
	uint32_t tries;
	bool pausing;
};

/**
 * struct load - the generator.
 * @idle: connections without a request, by target
 * @queue: requests without a connection
 * @pausing: requests between two tries
 * @next: when the next request is due, clock time in microseconds
 * @conn_count: connections open
 * @late: how late requests began
 * @queued: tries that had to wait for a connection
 */
struct load {
	const struct load_set *set;
	uv_loop_t loop;
	uv_poll_t wake;
	int wake_fd;
	struct brf_timers *timers;
	struct brf_timer deadline;
	uint64_t start;
	struct load_stream *streams;
	struct brf_list idle[LOAD_TARGETS_MAX];
	struct brf_list conns;
	struct brf_list queue;
	struct brf_list pausing;
	uint64_t next;
	size_t conn_count;
	size_t turn;
	size_t open;
	bool stopping;
	uint64_t queued;
	struct load_quantiles late;
	size_t intervals;
};

uint64_t load_now(void);

/* Send @r over an idle connection, a new one, or queue it. */
void load_conn_assign(struct load *load, struct load_request *r);

/* Give up a try: its connection is closed, or it leaves the queue. */
void load_conn_abandon(struct load *load, struct load_request *r);

void load_conn_close_all(struct load *load);

/* The try of @r has ended; @answer only with LOAD_ANSWER. */
void load_request_end(struct load_request *r, enum load_end end,
    const struct load_answer *answer);

void load_streams_init(struct load *load);
void load_streams_free(struct load *load);

/* Begin all requests that are due.  Return: when the next one is due. */
uint64_t load_streams_begin(struct load *load);

/* Write the results as one JSON object. */
void load_report(const struct load *load, FILE *out);

#endif
