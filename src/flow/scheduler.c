#include "flow/scheduler.h"

static struct brf_scheduler *
scheduler_of(struct brf_clock *clock)
{
	return (brf_container_of(clock, struct brf_scheduler, clock));
}

/* libuv notes the time when the loop wakes; until it has moved, this reading
 * is as good as a new one. */
static uint64_t
now(struct brf_clock *clock)
{
	struct brf_scheduler *s = scheduler_of(clock);
	uint64_t loop_now = uv_now(s->loop);

	if (s->now == 0 || s->loop_time != loop_now) {
		s->loop_time = loop_now;
		s->now = brf_now(brf_clock_system());
	}
	return (s->now);
}

static const struct brf_clock_vt clock_vt = { .now = now };

static void
on_timer(uv_timer_t *timer)
{
	struct brf_scheduler *s = timer->data;

	s->armed_at = BRF_TIMER_NONE;
	brf_timers_run(s->timers);
}

static void
arm_timer(struct brf_scheduler *s)
{
	uint64_t at = brf_timers_next(s->timers), t;
	uint64_t ms;

	if (at == s->armed_at)
		return;
	s->armed_at = at;
	if (at == BRF_TIMER_NONE) {
		uv_timer_stop(&s->timer);
		return;
	}
	t = brf_now(&s->clock);
	ms = at > t ? (at - t + BRF_US_PER_MS - 1) / BRF_US_PER_MS : 0;
	uv_timer_start(&s->timer, on_timer, ms, 0);
}

void
brf_scheduler_run_tasks(struct brf_scheduler *s)
{
	do {
		brf_tasks_run(&s->tasks);
		if (s->after_tasks != NULL)
			s->after_tasks(s->arg);
	} while (!brf_list_empty(&s->tasks.posted));
	arm_timer(s);
}

static void
on_prepare(uv_prepare_t *prepare)
{
	brf_scheduler_run_tasks(prepare->data);
}

void
brf_scheduler_init(struct brf_scheduler *s, uv_loop_t *loop)
{
	memset(s, 0, sizeof(*s));
	s->clock.vt = &clock_vt;
	s->loop = loop;
	s->armed_at = BRF_TIMER_NONE;
	s->timers = brf_timers_new(&s->clock);
	brf_tasks_init(&s->tasks);
	uv_timer_init(loop, &s->timer);
	uv_prepare_init(loop, &s->prepare);
	s->timer.data = s;
	s->prepare.data = s;
	uv_prepare_start(&s->prepare, on_prepare);
	uv_unref((uv_handle_t *)&s->prepare);
}

void
brf_scheduler_close(struct brf_scheduler *s)
{
	uv_close((uv_handle_t *)&s->timer, NULL);
	uv_close((uv_handle_t *)&s->prepare, NULL);
}

void
brf_scheduler_free(struct brf_scheduler *s)
{
	brf_timers_free(s->timers);
}
