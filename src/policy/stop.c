#include "policy/stop.h"

/* Callers are told within two questions, a second apart, that this node is
 * not ready; until then they send. */
#define LEAST_US (2500 * BRF_US_PER_MS)
#define SERVE_US (2200 * BRF_US_PER_MS) /* runs end while callers leave */
#define SERVE_SHARE 2			/* at most this part of the time */
#define QUIET_US (200 * BRF_US_PER_MS)	/* with nothing open */
#define SLACK_US (500 * BRF_US_PER_MS)	/* of the grace, for closing */

void
brf_stop_init(struct brf_stop *s, uint64_t grace_us)
{
	memset(s, 0, sizeof(*s));
	s->max_us = grace_us > SLACK_US ? grace_us - SLACK_US : 0;
	s->min_us = s->max_us < LEAST_US ? s->max_us : LEAST_US;
	s->refuse_us = s->max_us / SERVE_SHARE;
	if (s->refuse_us > SERVE_US)
		s->refuse_us = SERVE_US;
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
	if (since_us >= s->max_us || (s->refusing && since_us >= s->min_us &&
					  since_us - s->last_open_us >= QUIET_US))
		return (BRF_STOP_END);
	return (BRF_STOP_WAIT);
}
