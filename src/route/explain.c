#include "route/internal.h"

static const char *const locality_names[] = { "zone", "region", "other" };

/* The reason why a node gets no new requests; NULL when it does. */
static const char *
no_work_reason(const struct brf_route_node *node, uint64_t now)
{
	if (node->member.state != BRF_MEMBER_READY)
		return (brf_member_state_name(node->member.state));
	if (node->draining_until > now)
		return ("draining");
	if (node->outlier.ejected_until > now)
		return ("ejected");
	if (brf_outlier_is_excluded(node, now))
		return ("probation");
	if (!brf_level_admits(node, 0, now))
		return ("level");
	if (brf_level_load(node, now) >= brf_level_capacity(node, now))
		return ("full");
	return (NULL);
}

/* The lowest rank that the node's last admission level refuses. */
static uint32_t
lowest_rank_shed(const struct brf_route_node *node, uint64_t now)
{
	uint32_t low = 0, high = BRF_RANK_END, middle;

	while (low < high) {
		middle = low + (high - low) / 2;
		if (brf_level_admits(node, middle, now))
			low = middle + 1;
		else
			high = middle;
	}
	return (low);
}

static void
put_node(const struct brf_route_node *node, uint64_t now, struct brf_buf *out)
{
	const char *reason = no_work_reason(node, now);
	char id[BRF_ID_TEXT];
	uint64_t ejected_us = node->outlier.ejected_until > now
				  ? node->outlier.ejected_until - now
				  : 0;

	brf_id_format(node->member.node, id);
	brf_buf_printf(out, "{\"node\":\"%s\",\"zone\":\"", id);
	brf_buf_put_json(out, node->member.zone, strlen(node->member.zone));
	brf_buf_printf(out,
	    "\",\"ring\":\"%s\",\"state\":\"%s\",\"own\":%s,"
	    "\"in_flight\":%u,\"load\":%.1f,\"room\":%.0f,"
	    "\"latency_us\":%.0f,\"sheds_from_rank\":%u,"
	    "\"failures\":%u,\"ejected_us\":%llu,\"no_work\":",
	    locality_names[node->locality],
	    brf_member_state_name(node->member.state),
	    node->is_self ? "true" : "false", node->in_flight,
	    brf_level_load(node, now), brf_level_capacity(node, now),
	    node->latency_us, lowest_rank_shed(node, now),
	    node->outlier.failures, (unsigned long long)ejected_us);
	if (reason != NULL)
		brf_buf_printf(out, "\"%s\"}", reason);
	else
		brf_buf_puts(out, "null}");
}

void
brf_router_explain(
    const struct brf_router *r, const char *service, struct brf_buf *out)
{
	const struct brf_route_service *s = brf_index_find_service(r, service);
	uint64_t now = brf_now(r->clock);
	const struct brf_list *l;
	const char *comma = "";

	brf_buf_puts(out, "{\"service\":\"");
	brf_buf_put_json(out, service, strlen(service));
	brf_buf_printf(out,
	    "\",\"expected_us\":%llu,\"link_bytes_left\":%.0f,"
	    "\"candidates\":[",
	    (unsigned long long)brf_router_expected_us(r, service),
	    r->link.tokens);
	if (s != NULL) {
		brf_list_foreach (l, &s->nodes) {
			brf_buf_puts(out, comma);
			put_node(brf_list_entry(l, struct brf_route_node, link),
			    now, out);
			comma = ",";
		}
	}
	brf_buf_puts(out, "]}");
}
