#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>

#include "base/log.h"
#include "target.h"

#define SETTLE_US (200u * BRF_US_PER_MS) /* no work for so long: drained */

static void arm(void *arg);

static void
tick(uv_timer_t *timer)
{
	struct target *t = timer->data;

	brf_timers_run(t->timers);
	arm(t);
}

static void
arm(void *arg)
{
	struct target *t = arg;
	uint64_t now = brf_now(brf_timers_clock(t->timers));
	uint64_t at = brf_timers_next(t->timers);
	uint64_t wait_us = at > now ? at - now : 0;

	if (at == BRF_TIMER_NONE) {
		uv_timer_stop(&t->tick);
		return;
	}
	uv_update_time(&t->loop);
	uv_timer_start(
	    &t->tick, tick, (wait_us + BRF_US_PER_MS - 1) / BRF_US_PER_MS, 0);
}

static void
handle(struct brf_http_handler *handler, struct brf_http_request *request)
{
	struct target *t = brf_container_of(handler, struct target, handler);

	if (!admin_handle(t, request))
		work_handle(t, request);
}

static void
disconnected(struct brf_http_handler *handler, struct brf_http_request *request)
{
	struct work *w = brf_http_request_data(request);

	if (w != NULL)
		work_gone(w);
}

static const struct brf_http_handler_vt handler_vt = {
	.handle = handle,
	.disconnected = disconnected,
};

static void
show_lagging(struct brf_timer *timer, void *arg)
{
	struct target *t = arg;

	t->shown = t->load;
	brf_timer_start(t->timers, timer, t->set.lag_us);
}

void
target_check_idle(struct target *t)
{
	if (t->phase != PHASE_DRAINING)
		return;
	if (t->load.in_flight == 0 && t->load.waiting == 0)
		brf_timer_start(t->timers, &t->settle, SETTLE_US);
	else
		brf_timer_stop(t->timers, &t->settle);
}

static void
closed(void *arg)
{
	struct target *t = arg;

	brf_http_server_free(t->server);
	brf_http_loop_free(t->http);
	uv_close((uv_handle_t *)&t->tick, NULL);
	uv_close((uv_handle_t *)&t->signals[0], NULL);
	uv_close((uv_handle_t *)&t->signals[1], NULL);
}

void
target_close(struct target *t)
{
	t->phase = PHASE_CLOSING;
	brf_timer_stop(t->timers, &t->lag);
	brf_http_server_stop(t->server);
	brf_http_server_close(t->server, closed, t);
}

static void
signalled(uv_signal_t *signal, int number)
{
	struct target *t = signal->data;

	uv_signal_stop(signal);
	if (t->phase == PHASE_SERVING)
		announce_drain(t);
}

static void
make_loop(struct target *t)
{
	static const int numbers[] = { SIGTERM, SIGINT };
	size_t i;

	uv_loop_init(&t->loop);
	uv_timer_init(&t->loop, &t->tick);
	t->tick.data = t;
	t->timers = brf_timers_new(brf_clock_system());
	brf_timers_on_change(t->timers, arm, t);
	t->metrics = brf_metrics_new();
	t->http = brf_http_loop_new(&t->loop, t->timers, t->metrics);
	for (i = 0; i < brf_nitems(numbers); i++) {
		uv_signal_init(&t->loop, &t->signals[i]);
		t->signals[i].data = t;
		uv_signal_start(&t->signals[i], signalled, numbers[i]);
	}
}

static bool
listen_for_requests(struct target *t)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(t->set.port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct brf_error err = { .code = BRF_OK };

	t->handler.vt = &handler_vt;
	t->server = brf_http_server_new(t->http, "target",
	    (const struct sockaddr *)&addr, &t->handler, &t->port, &err);
	if (t->server == NULL)
		brf_log(BRF_LOG_ERROR, "listen_failed", BRF_LE(&err));
	return (t->server != NULL);
}

int
main(int argc, char **argv)
{
	struct target *t = brf_calloc(1, sizeof(*t));

	settings_parse(&t->set, argc, argv);
	brf_log_open(STDERR_FILENO, BRF_LOG_INFO, "target");
	brf_random_seeded_init(&t->random, t->set.seed);
	brf_list_init(&t->waiting);
	t->runs = runs_new();
	make_loop(t);
	if (!listen_for_requests(t))
		return (BRF_EXIT_FAILED);
	printf("{\"port\":%u}\n", t->port);
	fflush(stdout);
	t->started_at = brf_now(brf_timers_clock(t->timers));
	t->lag = (struct brf_timer){ .fire = show_lagging, .arg = t };
	if (t->set.lag_us != 0)
		show_lagging(&t->lag, t);
	announce_start(t);
	uv_run(&t->loop, UV_RUN_DEFAULT);
	uv_loop_close(&t->loop);
	runs_free(t->runs);
	settings_free(&t->set);
	brf_timers_free(t->timers);
	brf_metrics_free(t->metrics);
	free(t);
	return (BRF_EXIT_OK);
}
