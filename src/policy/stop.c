#include "policy/stop.h"

/* Callers learn within two readiness checks, a second apart, that this node is
 * not ready; until then they send. */
#define MIN_US (2500 * BRF_US_PER_MS)
/* The target gets work until this; runs end while the last callers leave. */
#define REFUSE_US (2200 * BRF_US_PER_MS)
#define REFUSE_DIVISOR 2	       /* at the latest at half of the time */
#define QUIET_US (200 * BRF_US_PER_MS) /* without open requests before exit */
#define CLOSE_US (500 * BRF_US_PER_MS) /* of the grace period, for closing */

void
brf_stop_init(struct brf_stop *s, uint64_t grace_us)
{
	memset(s, 0, sizeof(*s));
	s->max_us = grace_us > CLOSE_US ? grace_us - CLOSE_US : 0;
	s->min_us = s->max_us < MIN_US ? s->max_us : MIN_US;
	s->refuse_us = s->max_us / REFUSE_DIVISOR;
	if (s->refuse_us > REFUSE_US)
		s->refuse_us = REFUSE_US;
}

bool
brf_stop_may_begin(const struct brf_stop_request *rq)
{
	if (rq->until_deadline_us <= rq->until_exit_us)
		return (true);
	return (
	    rq->is_call_of_running && rq->objective_us <= rq->until_exit_us);
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
	return (BRF_STOP_WAIT);
}
