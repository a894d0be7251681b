#include <stdlib.h>
#include <sys/resource.h>

#include <argtable2.h>

#include "base/log.h"
#include "wire/peer.h"

/**
 * DOC: Cost of a call between nodes.
 *
 * Both ends in one process and one loop over loopback, with a gate that
 * answers at once.  Prints one JSON object; processor time is that of both
 * ends together, and latency counts while as many calls are open as asked for.
 */

#define FIELDS 8
#define CALLS_MAX 10000000
#define FOREVER_US (600 * BRF_US_PER_S)

struct bench;

/**
 * struct open_call - one of the calls that are open at any time.
 */
struct open_call {
	struct brf_exchange x;
	struct bench *bench;
	uint64_t since;
};

/**
 * struct bench - the gate, and what is counted.
 * @gate: first member
 * @left: calls to begin; @ended those answered
 */
struct bench {
	struct brf_backend gate;
	uv_loop_t loop;
	struct brf_backend *peer;
	struct brf_message *answer;
	size_t left;
	size_t open;
	size_t ended;
	struct brf_histogram latency;
};

static void
gate_send(struct brf_backend *gate, struct brf_exchange *x)
{
	struct bench *b = brf_container_of(gate, struct bench, gate);
	const struct brf_reply reply = {
		.outcome = BRF_ANSWERED,
		.has_level = true,
		.answer = b->answer,
	};

	x->done(x, &reply);
}

static void
gate_cancel(struct brf_backend *gate, struct brf_exchange *x)
{
	(void)gate;
	(void)x;
}

static const struct brf_backend_vt gate_vt = {
	.send = gate_send,
	.cancel = gate_cancel,
};

static uint64_t
now(void)
{
	return (brf_now(brf_clock_system()));
}

static void
begin(struct open_call *c)
{
	c->bench->left--;
	c->bench->open++;
	c->since = now();
	c->x.attempt.id = brf_id_new(brf_random_system());
	brf_send(c->bench->peer, &c->x);
}

static void
on_done(struct brf_exchange *x, const struct brf_reply *reply)
{
	struct open_call *c = brf_container_of(x, struct open_call, x);
	struct bench *b = c->bench;

	b->open--;
	if (reply->outcome == BRF_ANSWERED)
		b->ended++;
	brf_histogram_add(&b->latency, now() - c->since);
	if (b->left > 0)
		begin(c);
	else if (b->open == 0)
		uv_stop(&b->loop);
}

static struct brf_message *
make_message(size_t body)
{
	struct brf_message *m = brf_message_new();
	char name[] = "x-field-0";
	size_t i;

	for (i = 0; i < FIELDS; i++) {
		name[sizeof(name) - 2] = (char)('0' + i);
		brf_message_add_header(
		    m, name, strlen(name), "some value of it", 16, NULL);
	}
	brf_buf_reserve(&m->body, body);
	memset(m->body.data, 'x', body);
	m->body.len = body;
	return (m);
}

static void
open_calls(struct bench *b, struct open_call *calls, size_t n, size_t body)
{
	struct brf_message *request = make_message(body);
	size_t i;

	brf_copy_name(request->method, sizeof(request->method), "POST");
	brf_message_set_path(request, "/a/path?of=it", 13, NULL);
	for (i = 0; i < n; i++) {
		calls[i].bench = b;
		calls[i].x.done = on_done;
		calls[i].x.attempt.timeout_us = BRF_TIMEOUT_MAX_MS * 1000ull;
		calls[i].x.attempt.request = brf_message_ref(request);
		brf_copy_name(calls[i].x.attempt.service,
		    sizeof(calls[i].x.attempt.service), "factors");
		begin(&calls[i]);
	}
	brf_message_unref(request);
}

static void
on_closed(void *arg)
{
	(void)arg;
}

static struct brf_peers *
make_peers(
    struct bench *b, struct brf_timers *timers, struct brf_metrics *metrics)
{
	struct brf_peers_config config = {
		.loop = &b->loop,
		.timers = timers,
		.random = brf_random_system(),
		.metrics = metrics,
		.gate = &b->gate,
		.self = { .node = { .hi = 1, .lo = 1 }, .incarnation = 1 },
		.key = "key",
		.key_len = 3,
		.idle_us = FOREVER_US,
		.connect_us = FOREVER_US,
	};
	struct brf_peers *peers = brf_peers_new(&config);
	struct sockaddr_in addr;
	struct brf_error err;
	uint16_t port;

	uv_ip4_addr("127.0.0.1", 0, &addr);
	if (!brf_peers_listen(peers, (struct sockaddr *)&addr, &port, &err)) {
		brf_log(BRF_LOG_ERROR, "bench_failed", BRF_LE(&err));
		exit(BRF_EXIT_FAILED);
	}
	addr.sin_port = htons(port);
	b->peer = brf_peers_backend(
	    peers, (struct sockaddr *)&addr, config.self.node);
	return (peers);
}

static double
seconds(struct timeval t)
{
	return ((double)t.tv_sec + (double)t.tv_usec / (double)BRF_US_PER_S);
}

static void
report(const struct bench *b, size_t n, const struct rusage *before,
    uint64_t since)
{
	double wall = (double)(now() - since) / (double)BRF_US_PER_S;
	double count = (double)b->latency.count;
	struct rusage after;

	getrusage(RUSAGE_SELF, &after);
	printf("{\"open\":%zu,\"calls\":%.0f,\"answered\":%zu,"
	       "\"calls_per_second\":%.0f,\"user_us_per_call\":%.2f,"
	       "\"system_us_per_call\":%.2f,\"p50_us\":%.0f,\"p99_us\":%.0f}\n",
	    n, count, b->ended, count / wall,
	    (seconds(after.ru_utime) - seconds(before->ru_utime)) * 1e6 / count,
	    (seconds(after.ru_stime) - seconds(before->ru_stime)) * 1e6 / count,
	    brf_histogram_quantile(&b->latency, 0.5),
	    brf_histogram_quantile(&b->latency, 0.99));
}

static bool
run(size_t n, size_t count, size_t body)
{
	struct bench b = { .gate.vt = &gate_vt, .left = count };
	struct open_call *calls = brf_calloc(n, sizeof(*calls));
	struct brf_timers *timers = brf_timers_new(brf_clock_system());
	struct brf_metrics *metrics = brf_metrics_new();
	struct brf_peers *peers;
	struct rusage before;
	uint64_t since = now();
	size_t i;

	uv_loop_init(&b.loop);
	b.answer = make_message(body);
	b.answer->status = 200;
	peers = make_peers(&b, timers, metrics);
	getrusage(RUSAGE_SELF, &before);
	open_calls(&b, calls, n, body);
	uv_run(&b.loop, UV_RUN_DEFAULT);
	report(&b, n, &before, since);
	brf_peers_close(peers, on_closed, NULL);
	uv_run(&b.loop, UV_RUN_DEFAULT);
	brf_peers_free(peers);
	uv_loop_close(&b.loop);
	for (i = 0; i < n; i++)
		brf_message_unref(calls[i].x.attempt.request);
	brf_message_unref(b.answer);
	brf_timers_free(timers);
	brf_metrics_free(metrics);
	free(calls);
	return (b.ended == count);
}

static void
fail(const char *flag)
{
	fprintf(stderr, "brf-peer-bench: --%s: out of range\n", flag);
	exit(BRF_EXIT_USAGE);
}

int
main(int argc, char **argv)
{
	struct arg_int *open =
	    arg_int0(NULL, "open", "N", "calls open at once");
	struct arg_int *calls = arg_int0(NULL, "calls", "N", "calls in all");
	struct arg_int *body =
	    arg_int0(NULL, "body-bytes", "N", "of request and answer each");
	struct arg_end *end = arg_end(4);
	void *table[] = { open, calls, body, end };
	bool ok;

	open->ival[0] = 16;
	calls->ival[0] = 100000;
	body->ival[0] = 1024;
	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, "brf-peer-bench");
		return (BRF_EXIT_USAGE);
	}
	if (calls->ival[0] < 1 || calls->ival[0] > CALLS_MAX)
		fail("calls");
	if (open->ival[0] < 1 || open->ival[0] > calls->ival[0])
		fail("open");
	if (body->ival[0] < 0 || body->ival[0] > (int)BRF_BODY_MAX)
		fail("body-bytes");
	ok = run((size_t)open->ival[0], (size_t)calls->ival[0],
	    (size_t)body->ival[0]);
	arg_freetable(table, brf_nitems(table));
	return (ok ? BRF_EXIT_OK : BRF_EXIT_FAILED);
}
