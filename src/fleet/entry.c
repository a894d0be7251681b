#include <stdlib.h>

#include <arpa/inet.h>
#include "base/json.h"
#include "base/tcp.h"
#include "fleet/entry.h"

static const char *const state_names[] = {
	[BRF_TARGET_READY] = "ready",
	[BRF_TARGET_DRAINING] = "draining",
	[BRF_TARGET_LEFT] = "left",
};

const char *
brf_target_state_name(enum brf_target_state state)
{
	return (state_names[state]);
}

bool
brf_entry_supersedes(const struct brf_entry *e, const struct brf_entry *other)
{
	return (e->born >= other->born && e->announced > other->announced);
}

bool
brf_entry_id_is_valid(const char *id)
{
	size_t i;

	for (i = 0; id[i] != '\0'; i++) {
		if (id[i] <= ' ' || id[i] > '~' || id[i] == '/' ||
		    i == BRF_ENTRY_ID_MAX)
			return (false);
	}
	return (i != 0);
}

void
brf_entry_key(const char *id, char out[BRF_ENTRY_KEY_MAX])
{
	snprintf(out, BRF_ENTRY_KEY_MAX, "%s%s", BRF_ENTRY_PREFIX, id);
}

void
brf_entry_write(const struct brf_entry *e, struct brf_buf *out)
{
	char address[INET_ADDRSTRLEN] = "", gate[INET_ADDRSTRLEN + 8];
	json_t *root;
	char *text;

	inet_ntop(AF_INET, &e->gate.sin_addr, address, sizeof(address));
	snprintf(gate, sizeof(gate), "%s:%u", address, ntohs(e->gate.sin_port));
	root = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:I, s:I, s:s}",
	    "service", e->service, "zone", e->zone, "region", e->region,
	    "version", e->version, "node", e->node, "gate", gate, "slots",
	    (int)e->slots, "born", (json_int_t)e->born, "warmup_us",
	    (json_int_t)e->warmup_us, "state", state_names[e->state]);
	if (e->announced != BRF_TARGET_READY)
		json_object_set_new(
		    root, "announced", json_string(state_names[e->announced]));
	if (e->epoch != 0)
		json_object_set_new(
		    root, "epoch", json_integer((json_int_t)e->epoch));
	text = json_dumps(root, JSON_COMPACT);
	brf_buf_puts(out, text != NULL ? text : "{}");
	free(text);
	json_decref(root);
}

static bool
read_name(const json_t *root, const char *name, char out[BRF_NAME_MAX + 1])
{
	const char *s = json_string_value(json_object_get(root, name));

	if (s == NULL || strlen(s) > BRF_NAME_MAX)
		return (false);
	brf_copy_name(out, BRF_NAME_MAX + 1, s);
	return (true);
}

static bool
read_state(const json_t *root, const char *name, enum brf_target_state *state)
{
	const char *s = json_string_value(json_object_get(root, name));
	size_t i;

	for (i = 0; s != NULL && i < brf_nitems(state_names); i++) {
		if (strcmp(s, state_names[i]) != 0)
			continue;
		*state = (enum brf_target_state)i;
		return (true);
	}
	return (false);
}

static bool
read_gate(const json_t *root, struct sockaddr_in *gate)
{
	const char *s = json_string_value(json_object_get(root, "gate"));

	return (s != NULL && brf_tcp_parse(s, gate) && gate->sin_port != 0);
}

static bool
read_object(struct brf_entry *e, const json_t *root)
{
	uint64_t slots;

	if (json_object_get(root, "epoch") != NULL &&
	    !brf_json_count(root, "epoch", INT64_MAX, &e->epoch))
		return (false);
	if (!read_name(root, "service", e->service) ||
	    !read_name(root, "zone", e->zone) ||
	    !read_name(root, "region", e->region) ||
	    !read_name(root, "version", e->version) ||
	    !read_name(root, "node", e->node) || !read_gate(root, &e->gate) ||
	    !brf_json_count(root, "slots", BRF_ENTRY_SLOTS_MAX, &slots) ||
	    !brf_json_count(root, "born", INT64_MAX, &e->born) ||
	    !brf_json_count(root, "warmup_us", INT64_MAX, &e->warmup_us) ||
	    !read_state(root, "state", &e->state))
		return (false);
	if (e->state == BRF_TARGET_LEFT)
		e->announced = BRF_TARGET_LEFT;
	else if (json_object_get(root, "announced") != NULL &&
		 !read_state(root, "announced", &e->announced))
		return (false);
	if (e->state < e->announced)
		e->state = e->announced;
	e->slots = (uint32_t)slots;
	return (slots != 0 && e->service[0] != '\0');
}

bool
brf_entry_read(struct brf_entry *e, const char *key, const char *text,
    size_t len, struct brf_error *err)
{
	size_t prefix = strlen(BRF_ENTRY_PREFIX);
	const char *id = key + prefix;
	json_error_t je;
	json_t *root;
	bool ok;

	memset(e, 0, sizeof(*e));
	if (strncmp(key, BRF_ENTRY_PREFIX, prefix) != 0 ||
	    !brf_entry_id_is_valid(id))
		return (brf_error_set(
		    err, BRF_E_ANNOUNCE, 0, "invalid target key \"%s\"", key));
	brf_copy_name(e->id, sizeof(e->id), id);
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);
	if (root == NULL)
		return (brf_error_set(err, BRF_E_JSON, 0,
		    "entry of target \"%s\": %s", id, je.text));
	ok = read_object(e, root);
	json_decref(root);
	if (!ok)
		brf_error_set(err, BRF_E_ANNOUNCE, 0,
		    "entry of target \"%s\": missing or invalid field", id);
	return (ok);
}
