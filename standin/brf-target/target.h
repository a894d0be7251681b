#ifndef STANDIN_TARGET_H
#define STANDIN_TARGET_H

#include <uv.h>

#include "base/list.h"
#include "base/random.h"
#include "base/timer.h"
#include "bulrushford.h"
#include "http/fetch.h"
#include "http/server.h"

/**
 * DOC: brf-target, a stand-in for a back end behind a node.
 *
 * Serves requests in a fixed number of slots, each for a drawn time, and may
 * call other services meanwhile.  Announces itself to its node, drains and
 * withdraws there.  Counts what it ran, so that tests can tell a request that
 * was not run from one that was.
 */

#define CALLS_MAX 8
#define DIRECT_MAX 32

/**
 * struct settings - the flags.
 * @node_port: 0 for no node
 * @service_us: mean service time, microseconds
 * @cold_us: service is slower for so long after the start, see cold_factor()
 * @shed: answer 503 while all slots are busy, instead of queueing
 * @calls: services called through the node, one call each per request
 * @direct: addresses called without a node, one call per request
 * @tries: attempts of a direct call, each at a random address
 * @fail_ratio: part of the requests that are answered 500
 * @lie: the health endpoint always says that all is well
 * @lag_us: age of what the health and load endpoints say, microseconds
 */
struct settings {
	char *service;
	uint16_t port;
	uint16_t node_port;
	uint32_t slots;
	uint32_t connections;
	uint64_t service_us;
	bool exponential;
	uint64_t cold_us;
	bool shed;
	char *calls[CALLS_MAX];
	size_t call_count;
	struct sockaddr_in direct[DIRECT_MAX];
	size_t direct_count;
	uint32_t tries;
	uint64_t call_timeout_us;
	double fail_ratio;
	bool lie;
	uint64_t lag_us;
	uint64_t seed;
};

/**
 * struct load - what the target says of itself.
 */
struct load {
	unsigned in_flight;
	unsigned waiting;
};

struct stats {
	uint64_t started;
	uint64_t finished;
	uint64_t cancelled;
	uint64_t shed;
	uint64_t failed;
	uint64_t calls;
	uint64_t calls_failed;
	unsigned max_in_flight;
};

enum phase {
	PHASE_SERVING,
	PHASE_DRAINING,
	PHASE_WITHDRAWING,
	PHASE_CLOSING
};

struct run_table;

struct target {
	struct brf_http_handler handler; /* first: cast from it */
	struct settings set;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_signal_t signals[2];
	struct brf_timers *timers;
	struct brf_metrics *metrics;
	struct brf_random_seeded random;
	struct brf_http_loop *http;
	struct brf_http_server *server;
	struct run_table *runs;
	struct brf_list waiting; /* struct work */
	struct load load;
	struct load shown; /* a copy, made each lag_us unless that is 0 */
	struct brf_timer lag;
	struct brf_timer heartbeat;
	struct brf_timer settle;
	struct stats stats;
	enum phase phase;
	uint64_t started_at;
	uint16_t port;
};

enum work_state {
	WORK_WAITING,
	WORK_SERVING,
	WORK_CALLING
};

/**
 * struct work - one request.
 * @timer: end of its service time
 * @children: its outgoing calls that are open
 */
struct work {
	struct target *target;
	struct brf_http_request *request;
	struct brf_list link;
	struct brf_timer timer;
	struct brf_list children;
	enum work_state state;
	bool call_failed;
};

/* settings.c: exits with BRF_EXIT_USAGE when a flag is wrong. */
void settings_parse(struct settings *set, int argc, char **argv);
void settings_free(struct settings *set);

/* work.c */
void work_handle(struct target *t, struct brf_http_request *request);
void work_gone(struct work *w);
void work_calls_done(struct work *w);

/* calls.c: work_calls_done() follows when all have ended. */
void calls_start(struct work *w);
void calls_cancel(struct work *w);

/* admin.c: whether the path was one of its own. */
bool admin_handle(struct target *t, struct brf_http_request *request);

/* announce.c */
void announce_start(struct target *t);
void announce_drain(struct target *t);

/* main.c: the drain may have come to its end. */
void target_check_idle(struct target *t);
void target_close(struct target *t);

/* runs.c: how often each tag was run. */
struct run_table *runs_new(void);
void runs_free(struct run_table *runs);
uint32_t *runs_count(struct run_table *runs, const char *tag);
void runs_each(struct run_table *runs,
    void (*fn)(void *arg, const char *tag, uint32_t count), void *arg);

/* admin.c */
void respond_text(struct brf_http_request *request, int status,
    const char *type, const char *text, size_t len);

#endif
