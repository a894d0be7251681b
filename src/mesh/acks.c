#include <stdlib.h>

#include "base/log.h"
#include "mesh/acks.h"

struct ack {
	struct brf_list link;
	struct brf_mesh_acks *acks;
	struct brf_http_request *http;
	struct brf_timer timer;
	char id[BRF_ENTRY_ID_MAX + 1];
};

void
brf_mesh_acks_init(struct brf_mesh_acks *acks, struct brf_timers *timers)
{
	acks->timers = timers;
	brf_list_init(&acks->waiting);
}

void
brf_mesh_acknowledge(struct brf_http_request *http)
{
	struct brf_buf body = { .data = NULL };

	brf_buf_puts(&body, "{}");
	brf_respond_json(http, 200, &body);
}

static void
ack_free(struct ack *ack)
{
	brf_list_remove(&ack->link);
	brf_timer_stop(ack->acks->timers, &ack->timer);
	free(ack);
}

static void
ack_send(struct ack *ack)
{
	struct brf_http_request *http = ack->http;

	ack_free(ack);
	brf_mesh_acknowledge(http);
}

static void
wait_ended(struct brf_timer *timer, void *arg)
{
	struct ack *ack = arg;

	(void)timer;
	brf_log(BRF_LOG_WARN, "departure_unrecorded", BRF_LS("target", ack->id),
	    BRF_LU("waited_ms", BRF_MESH_ACK_WAIT_US / BRF_US_PER_MS));
	ack_send(ack);
}

void
brf_mesh_acks_add(
    struct brf_mesh_acks *acks, struct brf_http_request *http, const char *id)
{
	struct ack *ack = brf_calloc(1, sizeof(*ack));

	ack->acks = acks;
	ack->http = http;
	brf_copy_name(ack->id, sizeof(ack->id), id);
	ack->timer.fire = wait_ended;
	ack->timer.arg = ack;
	brf_list_append(&acks->waiting, &ack->link);
	brf_timer_start(acks->timers, &ack->timer, BRF_MESH_ACK_WAIT_US);
}

void
brf_mesh_acks_recorded(struct brf_mesh_acks *acks, const char *id)
{
	struct brf_list *l, *next;
	struct ack *ack;

	brf_list_foreach_safe (l, next, &acks->waiting) {
		ack = brf_list_entry(l, struct ack, link);
		if (strcmp(ack->id, id) == 0)
			ack_send(ack);
	}
}

void
brf_mesh_acks_disconnected(
    struct brf_mesh_acks *acks, const struct brf_http_request *http)
{
	struct brf_list *l, *next;
	struct ack *ack;

	brf_list_foreach_safe (l, next, &acks->waiting) {
		ack = brf_list_entry(l, struct ack, link);
		if (ack->http == http)
			ack_free(ack);
	}
}
