#include <stdlib.h>

#include "base/log.h"
#include "flow/probe.h"
#include "mesh/crash_watch.h"

#define LOGGED_MAX 40u /* requests named in one line */

/**
 * enum crash_state - what is known of the requests in the list.
 * @CRASH_NONE: there are none
 * @CRASH_SETTLING: other connections may be closing
 * @CRASH_PROBING: a new connection is being opened
 * @CRASH_UNCERTAIN: the target accepts connections; it may be a successor
 */
enum crash_state {
	CRASH_NONE,
	CRASH_SETTLING,
	CRASH_PROBING,
	CRASH_UNCERTAIN
};

/**
 * struct brf_crash_watch - see crash_watch.h.
 * @target: that lost its connections
 * @requests: under way then, @count of them, in memory for @capacity
 * @timer: ends the settling, and forgets what stays uncertain
 * @probe: open while CRASH_PROBING
 * @was_uncertain: some of @requests were lost before, as CRASH_UNCERTAIN
 * @crashed: a crash of @target was reported with @requests; what it lost is
 *	still coming to light
 */
struct brf_crash_watch {
	struct brf_crash_watch_config config;
	enum crash_state state;
	struct brf_target_announcement target;
	struct brf_crash_request *requests;
	size_t count;
	size_t capacity;
	struct brf_timer timer;
	struct brf_probe *probe;
	bool was_uncertain;
	bool crashed;
	struct brf_metric *crashes;
};

static void
stop(struct brf_crash_watch *w)
{
	w->state = CRASH_NONE;
	w->was_uncertain = false;
	if (w->probe != NULL)
		brf_probe_cancel(w->probe);
	w->probe = NULL;
	brf_timer_stop(w->config.timers, &w->timer);
}

static void
forget(struct brf_crash_watch *w)
{
	stop(w);
	w->count = 0;
	w->crashed = false;
}

static void
log_crash(const struct brf_crash_watch *w)
{
	struct brf_buf text = { .data = NULL };
	char key[BRF_REQUEST_KEY_TEXT];
	size_t i;

	for (i = 0; i < w->count && i < LOGGED_MAX; i++) {
		brf_request_key_write(&w->requests[i].key, key);
		brf_buf_printf(&text, "%s%s/%s", i != 0 ? " " : "",
		    w->requests[i].caller, key);
	}
	brf_log(BRF_LOG_WARN, "target_crashed", BRF_LS("target", w->target.id),
	    BRF_LS("service", w->target.service),
	    BRF_LU("born", w->target.born), BRF_LU("suspects", w->count),
	    BRF_LS("keys", text.len != 0 ? text.data : ""));
	brf_buf_free(&text);
}

static void
report(struct brf_crash_watch *w)
{
	struct brf_crash crash = {
		.target = &w->target,
		.requests = w->requests,
		.count = w->count,
	};

	log_crash(w);
	if (!w->crashed)
		w->crashes->value++;
	w->crashed = true;
	if (w->config.crashed != NULL)
		w->config.crashed(w->config.arg, &crash);
	stop(w);
}

static void
stay_uncertain(struct brf_crash_watch *w)
{
	w->state = CRASH_UNCERTAIN;
	brf_timer_start(w->config.timers, &w->timer, BRF_CRASH_ANNOUNCE_US);
	w->config.decided(w->config.arg, false);
}

static void
probed(void *arg, bool refused)
{
	struct brf_crash_watch *w = arg;

	w->probe = NULL;
	if (!refused) {
		stay_uncertain(w);
		return;
	}
	report(w);
	w->config.decided(w->config.arg, true);
}

static void
on_timer(struct brf_timer *timer, void *arg)
{
	struct brf_crash_watch *w = arg;

	(void)timer;
	if (w->state != CRASH_SETTLING) {
		forget(w);
		return;
	}
	if (!brf_flow_target_is_connected(w->config.target)) {
		w->state = CRASH_PROBING;
		w->probe = brf_probe_start(w->config.loop, w->config.timers,
		    (const struct sockaddr *)&w->config.addr,
		    BRF_CRASH_PROBE_US, probed, w);
	} else if (w->was_uncertain) {
		stay_uncertain(w);
	} else {
		forget(w);
		w->config.decided(w->config.arg, false);
	}
}

struct brf_crash_watch *
brf_crash_watch_new(const struct brf_crash_watch_config *config)
{
	struct brf_crash_watch *w = brf_calloc(1, sizeof(*w));

	w->config = *config;
	w->timer.fire = on_timer;
	w->timer.arg = w;
	w->crashes = brf_metrics_counter(config->metrics,
	    "brf_gate_target_crashes_total", "Crashes of this VM's target.",
	    "");
	return (w);
}

void
brf_crash_watch_free(struct brf_crash_watch *w)
{
	forget(w);
	free(w->requests);
	free(w);
}

static void
add_request(struct brf_crash_watch *w, const char *caller,
    const struct brf_request_key *key)
{
	struct brf_crash_request *r;
	size_t i;

	for (i = 0; i < w->count; i++) {
		r = &w->requests[i];
		if (brf_request_key_equal(&r->key, key) &&
		    strcmp(r->caller, caller) == 0)
			return;
	}
	if (w->count == w->capacity) {
		w->capacity = w->capacity != 0 ? 2 * w->capacity : 16;
		w->requests =
		    brf_realloc(w->requests, w->capacity * sizeof(*r));
	}
	r = &w->requests[w->count++];
	brf_copy_name(r->caller, sizeof(r->caller), caller);
	r->key = *key;
}

/* Whether @target is known to have crashed. */
static bool
is_known_crash(const struct brf_crash_watch *w,
    const struct brf_target_announcement *target)
{
	return (w->crashed && w->target.born == target->born &&
		strcmp(w->target.id, target->id) == 0);
}

void
brf_crash_watch_lost(struct brf_crash_watch *w,
    const struct brf_target_announcement *target, const char *caller,
    const struct brf_request_key *key)
{
	if (w->state == CRASH_NONE || w->state == CRASH_UNCERTAIN) {
		if (w->state == CRASH_NONE && !is_known_crash(w, target))
			forget(w);
		w->was_uncertain = w->state == CRASH_UNCERTAIN;
		w->target = *target;
		w->state = CRASH_SETTLING;
		brf_timer_start(
		    w->config.timers, &w->timer, BRF_CRASH_SETTLE_US);
	}
	if (key != NULL)
		add_request(w, caller, key);
}

void
brf_crash_watch_replaced(struct brf_crash_watch *w)
{
	enum crash_state state = w->state;

	if (state == CRASH_NONE)
		return;
	report(w);
	if (state != CRASH_UNCERTAIN)
		w->config.decided(w->config.arg, true);
}

void
brf_crash_watch_leaving(struct brf_crash_watch *w)
{
	enum crash_state state = w->state;

	forget(w);
	if (state == CRASH_SETTLING || state == CRASH_PROBING)
		w->config.decided(w->config.arg, false);
}
