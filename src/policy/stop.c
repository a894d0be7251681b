#include "policy/stop.h"

/* Callers learn within two readiness checks, a second apart, that this node is
 * not ready; until then they send. */
#define MIN_US (2500 * BRF_US_PER_MS)
/* The target gets work until this; runs end while the last callers leave. */
#define REFUSE_US (2200 * BRF_US_PER_MS)
#define REFUSE_DIVISOR 2	       /* at the latest at half of the time */
#define QUIET_US (200 * BRF_US_PER_MS) /* without open requests before exit */
#define CLOSE_US (500 * BRF_US_PER_MS) /* of the grace period, for closing */
/* Before the exit: the latest deadline, and the answer to what is open. */
#define WORK_US (200 * BRF_US_PER_MS)
#define TELL_US (100 * BRF_US_PER_MS)

static uint64_t
before(uint64_t end_us, uint64_t us)
{
	return (end_us > us ? end_us - us : 0);
}

void
brf_stop_init(struct brf_stop *s, uint64_t grace_us)
{
	memset(s, 0, sizeof(*s));
	s->max_us = before(grace_us, CLOSE_US);
	s->work_us = before(s->max_us, WORK_US);
	s->tell_us = before(s->max_us, TELL_US);
	s->min_us = s->max_us < MIN_US ? s->max_us : MIN_US;
	s->refuse_us = s->max_us / REFUSE_DIVISOR;
	if (s->refuse_us > REFUSE_US)
		s->refuse_us = REFUSE_US;
}

enum brf_stop_verdict
brf_stop_judge(const struct brf_stop_request *rq)
{
	if (rq->until_deadline_us <= rq->until_end_us)
		return (BRF_STOP_BEGIN);
	if (rq->is_call_of_running && rq->repeatable &&
	    rq->expected_us <= rq->until_end_us)
		return (BRF_STOP_LIMIT);
	return (BRF_STOP_KEEP);
}

enum brf_stop_step
brf_stop_check(struct brf_stop *s, uint64_t since_us, size_t open)
{
	if (open != 0)
		s->last_open_us = since_us;
	if (!s->refusing && since_us >= s->refuse_us) {
		s->refusing = true;
		return (BRF_STOP_REFUSE);
	}
	if (since_us >= s->max_us ||
	    (s->refusing && since_us >= s->min_us &&
		since_us - s->last_open_us >= QUIET_US))
		return (BRF_STOP_END);
	if (!s->telling && since_us >= s->tell_us) {
		s->telling = true;
		return (BRF_STOP_TELL);
	}
	return (BRF_STOP_WAIT);
}
