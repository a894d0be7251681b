#include <stdlib.h>

#include "flow/probe.h"

struct brf_probe {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct brf_timers *timers;
	struct brf_timer timer;
	bool refused;
	void (*done)(void *arg, bool refused);
	void *arg;
};

static void
on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void
brf_probe_cancel(struct brf_probe *probe)
{
	probe->done = NULL;
	brf_timer_stop(probe->timers, &probe->timer);
	uv_close((uv_handle_t *)&probe->tcp, on_closed);
}

static void
finish(struct brf_timer *timer, void *arg)
{
	struct brf_probe *probe = arg;
	void (*done)(void *arg, bool refused) = probe->done;

	(void)timer;
	brf_probe_cancel(probe);
	done(probe->arg, probe->refused);
}

static void
on_connect(uv_connect_t *request, int status)
{
	struct brf_probe *probe = request->data;

	if (probe->done == NULL)
		return;
	probe->refused = status == UV_ECONNREFUSED;
	finish(&probe->timer, probe);
}

struct brf_probe *
brf_probe_start(uv_loop_t *loop, struct brf_timers *timers,
    const struct sockaddr *addr, uint64_t timeout_us,
    void (*done)(void *arg, bool refused), void *arg)
{
	struct brf_probe *probe = brf_calloc(1, sizeof(*probe));
	int error;

	probe->timers = timers;
	probe->done = done;
	probe->arg = arg;
	probe->timer.fire = finish;
	probe->timer.arg = probe;
	probe->connect.data = probe;
	uv_tcp_init(loop, &probe->tcp);
	probe->tcp.data = probe;
	error = uv_tcp_connect(&probe->connect, &probe->tcp, addr, on_connect);
	probe->refused = error == UV_ECONNREFUSED;
	brf_timer_start(timers, &probe->timer, error == 0 ? timeout_us : 0);
	return (probe);
}
