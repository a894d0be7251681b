#include "flow/scheduler.h"

static struct brf_scheduler *
scheduler_of(struct brf_clock *clock)
{
	return (brf_container_of(clock, struct brf_scheduler, clock));
}

/* libuv updates the loop's time when the loop wakes; while that is unchanged,
 * the cached clock time is still valid. */
static uint64_t
now(struct brf_clock *clock)
{
	struct brf_scheduler *turn = scheduler_of(clock);
	uint64_t loop_now = uv_now(turn->loop);

	if (turn->now == 0 || turn->read_at != loop_now) {
		turn->read_at = loop_now;
		turn->now = brf_now(brf_clock_system());
	}
	return (turn->now);
}

static const struct brf_clock_vt clock_vt = { .now = now };

static void
on_timer(uv_timer_t *timer)
{
	struct brf_scheduler *turn = timer->data;

	turn->armed = BRF_TIMER_NONE;
	brf_timers_run(turn->timers);
}

static void
arm_timer(struct brf_scheduler *turn)
{
	uint64_t at = brf_timers_next(turn->timers), t;
	uint64_t ms;

	if (at == turn->armed)
		return;
	turn->armed = at;
	if (at == BRF_TIMER_NONE) {
		uv_timer_stop(&turn->timer);
		return;
	}
	t = brf_now(&turn->clock);
	ms = at > t ? (at - t + BRF_US_PER_MS - 1) / BRF_US_PER_MS : 0;
	uv_timer_start(&turn->timer, on_timer, ms, 0);
}

void
brf_scheduler_run_tasks(struct brf_scheduler *turn)
{
	do {
		brf_tasks_run(&turn->tasks);
		if (turn->after_tasks != NULL)
			turn->after_tasks(turn->arg);
	} while (!brf_list_empty(&turn->tasks.posted));
	arm_timer(turn);
}

static void
on_prepare(uv_prepare_t *prepare)
{
	brf_scheduler_run_tasks(prepare->data);
}

void
brf_scheduler_init(struct brf_scheduler *turn, uv_loop_t *loop)
{
	memset(turn, 0, sizeof(*turn));
	turn->clock.vt = &clock_vt;
	turn->loop = loop;
	turn->armed = BRF_TIMER_NONE;
	turn->timers = brf_timers_new(&turn->clock);
	brf_tasks_init(&turn->tasks);
	uv_timer_init(loop, &turn->timer);
	uv_prepare_init(loop, &turn->prepare);
	turn->timer.data = turn;
	turn->prepare.data = turn;
	uv_prepare_start(&turn->prepare, on_prepare);
	uv_unref((uv_handle_t *)&turn->prepare);
}

void
brf_scheduler_close(struct brf_scheduler *turn)
{
	uv_close((uv_handle_t *)&turn->timer, NULL);
	uv_close((uv_handle_t *)&turn->prepare, NULL);
}

void
brf_scheduler_free(struct brf_scheduler *turn)
{
	brf_timers_free(turn->timers);
}
