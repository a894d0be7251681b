#include <jansson.h>

#include "node/announce.h"

#define SLOTS_MAX 100000
#define CONNECTIONS_MAX 1000000
#define HEARTBEAT_MAX_MS 60000

static bool
bad_field(struct brf_error *err, const char *name, const char *expected)
{
	return (brf_error_set(
	    err, BRF_E_ANNOUNCE, 0, "\"%s\" must be %s", name, expected));
}

static bool
get_number(const json_t *object, const char *name, json_int_t min,
    json_int_t max, json_int_t *out, struct brf_error *err)
{
	const json_t *v = json_object_get(object, name);

	if (!json_is_integer(v) || json_integer_value(v) < min ||
	    json_integer_value(v) > max)
		return (brf_error_set(err, BRF_E_ANNOUNCE, 0,
		    "\"%s\" must be a number from %lld to %lld", name,
		    (long long)min, (long long)max));
	*out = json_integer_value(v);
	return (true);
}

static bool
get_service(
    const json_t *object, char out[BRF_NAME_MAX + 1], struct brf_error *err)
{
	const char *s = json_string_value(json_object_get(object, "service"));
	size_t len = s != NULL ? strlen(s) : 0;

	if (len == 0 || len > BRF_NAME_MAX ||
	    strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-_") != len)
		return (bad_field(
		    err, "service", "1 to 63 of a-z, 0-9, '-' and '_'"));
	brf_copy_name(out, BRF_NAME_MAX + 1, s);
	return (true);
}

static bool
get_optional(const json_t *object, struct brf_announcement *announcement,
    uint64_t *heartbeat_us, struct brf_error *err)
{
	const json_t *cold = json_object_get(object, "cold");
	json_int_t ms = 0;

	if (cold != NULL && !json_is_boolean(cold))
		return (bad_field(err, "cold", "true or false"));
	if (json_object_get(object, "heartbeat_ms") != NULL &&
	    !get_number(object, "heartbeat_ms", 0, HEARTBEAT_MAX_MS, &ms, err))
		return (false);
	announcement->cold = json_is_true(cold);
	*heartbeat_us = (uint64_t)ms * BRF_US_PER_MS;
	return (true);
}

static bool
read_object(const json_t *object, struct brf_announcement *announcement,
    uint64_t *heartbeat_us, struct brf_error *err)
{
	json_int_t port = 0, slots = 0, connections = 0;

	if (!get_service(object, announcement->service, err) ||
	    !get_number(object, "port", 1, UINT16_MAX, &port, err) ||
	    !get_number(object, "slots", 1, SLOTS_MAX, &slots, err) ||
	    !get_number(
		object, "connections", 1, CONNECTIONS_MAX, &connections, err))
		return (false);
	announcement->port = (uint16_t)port;
	announcement->slots = (uint32_t)slots;
	announcement->connections = (uint32_t)connections;
	return (get_optional(object, announcement, heartbeat_us, err));
}

bool
brf_announce_parse(const char *text, size_t len,
    struct brf_announcement *announcement, uint64_t *heartbeat_us,
    struct brf_error *err)
{
	json_error_t je;
	json_t *object = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);
	bool ok;

	memset(announcement, 0, sizeof(*announcement));
	if (object == NULL)
		return (brf_error_set(err, BRF_E_ANNOUNCE, 0,
		    "not JSON, at line %d column %d", je.line, je.column));
	ok = read_object(object, announcement, heartbeat_us, err);
	json_decref(object);
	return (ok);
}
