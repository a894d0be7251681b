#include <arpa/inet.h>

#include "base/log.h"
#include "target.h"

#define HEARTBEAT_US (2u * BRF_US_PER_S)
#define NODE_TIMEOUT_US (1u * BRF_US_PER_S)

static void
ask_node(struct target *t, const char *method, const char *path,
    const struct brf_buf *body, brf_fetch_done_cb done)
{
	struct sockaddr_in node = {
		.sin_family = AF_INET,
		.sin_port = htons(t->set.node_port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct brf_header type = { "content-type", "application/json" };
	struct brf_fetch_call call = {
		.addr = (const struct sockaddr *)&node,
		.method = method,
		.path = path,
		.headers = &type,
		.header_count = 1,
		.body = body != NULL ? body->data : NULL,
		.body_len = body != NULL ? body->len : 0,
		.timeout_us = NODE_TIMEOUT_US,
		.done = done,
		.arg = t,
	};

	brf_fetch_start(t->http, &call);
}

static void
log_answer(const char *event, const struct brf_error *err,
    const struct brf_fetch_answer *answer)
{
	if (err != NULL)
		brf_log(BRF_LOG_WARN, event, BRF_LE(err));
	else if (answer->status != 200)
		brf_log(BRF_LOG_WARN, event,
		    BRF_LU("status", (uint64_t)answer->status),
		    BRF_LS("body", answer->body));
}

static void
announced(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer)
{
	log_answer("announcement_refused", err, answer);
}

static void
announce(struct target *t)
{
	uint64_t age = brf_now(brf_timers_clock(t->timers)) - t->started_at;
	struct brf_buf body = { .len = 0 };

	brf_buf_puts(&body, "{\"service\":\"");
	brf_buf_put_json(&body, t->set.service, strlen(t->set.service));
	brf_buf_printf(&body,
	    "\",\"port\":%u,\"slots\":%u,\"connections\":%u,\"cold\":%s,"
	    "\"heartbeat_ms\":%llu}",
	    t->port, t->set.slots, t->set.connections,
	    age < t->set.cold_us ? "true" : "false",
	    HEARTBEAT_US / BRF_US_PER_MS);
	ask_node(t, "PUT", "/brf/v1/target", &body, announced);
	brf_buf_free(&body);
}

static void
beat(struct brf_timer *timer, void *arg)
{
	struct target *t = arg;

	if (t->phase != PHASE_SERVING)
		return;
	announce(t);
	brf_timer_start(t->timers, timer, HEARTBEAT_US);
}

void
announce_start(struct target *t)
{
	t->heartbeat = (struct brf_timer){ .fire = beat, .arg = t };
	if (t->set.node_port != 0)
		beat(&t->heartbeat, t);
}

static void
withdrawn(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer)
{
	log_answer("withdrawal_refused", err, answer);
	target_close(arg);
}

/* Work that the node let through before it drained may still come. */
static void
settled(struct brf_timer *timer, void *arg)
{
	struct target *t = arg;

	if (t->load.in_flight != 0 || t->load.waiting != 0)
		return;
	t->phase = PHASE_WITHDRAWING;
	if (t->set.node_port == 0)
		target_close(t);
	else
		ask_node(t, "DELETE", "/brf/v1/target", NULL, withdrawn);
}

static void
drained(void *arg, const struct brf_error *err,
    const struct brf_fetch_answer *answer)
{
	struct target *t = arg;

	log_answer("drain_refused", err, answer);
	t->phase = PHASE_DRAINING;
	t->settle = (struct brf_timer){ .fire = settled, .arg = t };
	target_check_idle(t);
}

void
announce_drain(struct target *t)
{
	brf_timer_stop(t->timers, &t->heartbeat);
	if (t->set.node_port != 0)
		ask_node(t, "POST", "/brf/v1/target/drain", NULL, drained);
	else
		drained(t, NULL, &(struct brf_fetch_answer){ .status = 200 });
}
