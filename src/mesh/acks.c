#include <stdlib.h>

#include "base/log.h"
#include "mesh/acks.h"
#include "mesh/departures.h"

/**
 * struct ack - one announcement.
 * @keepers: other nodes that keep the departure
 */
struct ack {
	struct brf_list link;
	struct brf_mesh_acks *acks;
	struct brf_http_request *http;
	struct brf_timer timer;
	size_t keepers;
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
log_unrecorded(const struct ack *ack)
{
	brf_log(BRF_LOG_WARN, "departure_unrecorded", BRF_LS("target", ack->id),
	    BRF_LU("keepers", ack->keepers),
	    BRF_LU("acknowledged", ack->keepers != 0));
}

static void
wait_ended(struct brf_timer *timer, void *arg)
{
	struct ack *ack = arg;
	struct brf_http_request *http = ack->http;

	(void)timer;
	log_unrecorded(ack);
	if (ack->keepers != 0) {
		ack_send(ack);
		return;
	}
	ack_free(ack);
	brf_respond_status(http, 503);
}

static void
store_is_late(struct brf_timer *timer, void *arg)
{
	struct ack *ack = arg;
	struct brf_mesh_acks *acks = ack->acks;
	char id[BRF_ENTRY_ID_MAX + 1];

	timer->fire = wait_ended;
	brf_timer_start(
	    acks->timers, timer, BRF_MESH_ACK_WAIT_US - BRF_MESH_ACK_STORE_US);
	brf_copy_name(id, sizeof(id), ack->id);
	acks->unrecorded(acks->arg, id);
}

void
brf_mesh_acks_add(
    struct brf_mesh_acks *acks, struct brf_http_request *http, const char *id)
{
	struct ack *ack = brf_calloc(1, sizeof(*ack));

	ack->acks = acks;
	ack->http = http;
	brf_copy_name(ack->id, sizeof(ack->id), id);
	ack->timer.fire = store_is_late;
	ack->timer.arg = ack;
	brf_list_append(&acks->waiting, &ack->link);
	brf_timer_start(acks->timers, &ack->timer, BRF_MESH_ACK_STORE_US);
}

void
brf_mesh_acks_kept(struct brf_mesh_acks *acks, const char *id)
{
	struct brf_list *l, *next;
	struct ack *ack;

	brf_list_foreach_safe (l, next, &acks->waiting) {
		ack = brf_list_entry(l, struct ack, link);
		if (strcmp(ack->id, id) != 0 ||
		    ++ack->keepers < BRF_MESH_KEEPERS)
			continue;
		log_unrecorded(ack);
		ack_send(ack);
	}
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
