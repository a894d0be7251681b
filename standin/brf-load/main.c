#include <sys/timerfd.h>

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "load.h"

#define WAKE_LEAST_US 20u   /* microseconds between two wake-ups */
#define WAKE_MOST_US 10000u /* with nothing to begin */
#define AFTER_MS 2000u	    /* milliseconds beyond all timeouts */
#define INTERVALS_MAX 100000u

/* The loop's own timers count whole milliseconds, too coarse for arrivals. */
static void
arm(struct load *load)
{
	uint64_t now = load_now(), next = load->next, wait;
	struct itimerspec spec = { .it_value.tv_sec = 0 };

	if (brf_timers_next(load->timers) < next)
		next = brf_timers_next(load->timers);
	wait = next > now + WAKE_LEAST_US ? next - now : WAKE_LEAST_US;
	if (load->next == UINT64_MAX && wait > WAKE_MOST_US)
		wait = WAKE_MOST_US;
	spec.it_value.tv_sec = (time_t)(wait / BRF_US_PER_S);
	spec.it_value.tv_nsec = (long)(wait % BRF_US_PER_S) * 1000;
	timerfd_settime(load->wake_fd, 0, &spec, NULL);
}

static void
stop(struct load *load)
{
	if (load->stopping)
		return;
	load->stopping = true;
	load_conn_close_all(load);
	brf_timer_stop(load->timers, &load->deadline);
	uv_close((uv_handle_t *)&load->wake, NULL);
}

static void
on_wake(uv_poll_t *wake, int status, int events)
{
	struct load *load = wake->data;
	uint64_t expirations;

	(void)status;
	(void)events;
	if (read(load->wake_fd, &expirations, sizeof(expirations)) < 0)
		return;
	brf_timers_run(load->timers);
	load->next = load_streams_begin(load);
	if (load->next == UINT64_MAX && load->open == 0)
		stop(load);
	if (!load->stopping)
		arm(load);
}

static void
on_earlier(void *arg)
{
	arm(arg);
}

static void
on_deadline(struct brf_timer *timer, void *arg)
{
	(void)timer;
	stop(arg);
}

/* When the last try of the last request must have ended, but for the pauses
 * that Retry-After asks for. */
static uint64_t
longest_ms(const struct load_set *set)
{
	const struct load_stream_set *s;
	uint64_t most = 0, ms;
	size_t i;

	for (i = 0; i < set->stream_count; i++) {
		s = &set->streams[i];
		ms = s->start_ms + (uint64_t)(s->seconds * 1000.0) +
		     (uint64_t)s->timeout_ms * s->tries;
		if (ms > most)
			most = ms;
	}
	return (most + AFTER_MS);
}

static void
init(struct load *load, const struct load_set *set)
{
	uint64_t most = longest_ms(set);
	size_t i;

	load->set = set;
	uv_loop_init(&load->loop);
	load->timers = brf_timers_new(brf_clock_system());
	for (i = 0; i < LOAD_TARGETS_MAX; i++)
		brf_list_init(&load->idle[i]);
	brf_list_init(&load->conns);
	brf_list_init(&load->queue);
	brf_list_init(&load->pausing);
	if (set->report_ms != 0)
		load->intervals = most / set->report_ms + 1;
	if (load->intervals > INTERVALS_MAX)
		load->intervals = INTERVALS_MAX;
	load->start = load_now();
	load_streams_init(load);
	load->deadline.fire = on_deadline;
	load->deadline.arg = load;
	brf_timer_start(load->timers, &load->deadline, most * BRF_US_PER_MS);
	load->wake_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
	uv_poll_init(&load->loop, &load->wake, load->wake_fd);
	load->wake.data = load;
	uv_poll_start(&load->wake, UV_READABLE, on_wake);
	load->next = load->start;
	brf_timers_on_change(load->timers, on_earlier, load);
	arm(load);
}

int
main(int argc, char **argv)
{
	static struct load_set set;
	static struct load load;

	load_set_parse(&set, argc, argv);
	signal(SIGPIPE, SIG_IGN);
	init(&load, &set);
	uv_run(&load.loop, UV_RUN_DEFAULT);
	uv_loop_close(&load.loop);
	load_report(&load, stdout);
	load_streams_free(&load);
	brf_timers_free(load.timers);
	close(load.wake_fd);
	return (BRF_EXIT_OK);
}
