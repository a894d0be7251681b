#include <inttypes.h>
#include <stdlib.h>

#include <xxhash.h>

#include "base/json.h"
#include "fleet/crash_record.h"

void
brf_crash_record_key(
    const struct brf_crash_record *r, char out[BRF_CRASH_KEY_MAX])
{
	snprintf(out, BRF_CRASH_KEY_MAX, BRF_CRASH_PREFIX "%s.%" PRIu64,
	    r->target, r->born);
}

/* Dump @root to @out and free it. */
static void
write_json(json_t *root, struct brf_buf *out)
{
	char *text = json_dumps(root, JSON_COMPACT);

	brf_buf_puts(out, text != NULL ? text : "{}");
	free(text);
	json_decref(root);
}

static void
add_request(json_t *requests, const struct brf_crash_request *r)
{
	json_t *keys = json_object_get(requests, r->caller);
	char text[BRF_REQUEST_KEY_TEXT];

	if (keys == NULL) {
		keys = json_array();
		if (json_object_set_new(requests, r->caller, keys) != 0)
			return; /* the name is not UTF-8 */
	}
	brf_request_key_write(&r->key, text);
	json_array_append_new(keys, json_string(text));
}

void
brf_crash_record_write(const struct brf_crash_record *r, struct brf_buf *out)
{
	json_t *requests = json_object();
	size_t i;

	for (i = 0; i < r->count && i < BRF_CRASH_RECORD_REQUESTS_MAX; i++)
		add_request(requests, &r->requests[i]);
	write_json(
	    json_pack("{s:s, s:I, s:s, s:s, s:I, s:o}", "target", r->target,
		"born", (json_int_t)r->born, "service", r->service, "node",
		r->node, "at", (json_int_t)r->at, "requests", requests),
	    out);
}

static bool
read_name(const json_t *root, const char *name, char *out, size_t size)
{
	const char *s = json_string_value(json_object_get(root, name));

	if (s == NULL || strlen(s) >= size)
		return (false);
	brf_copy_name(out, size, s);
	return (true);
}

static bool
read_key(const json_t *value, struct brf_request_key *key)
{
	const char *text = json_string_value(value);

	return (text != NULL && brf_request_key_read(key, text));
}

/* Return: false when a caller's keys are malformed, or too many. */
static bool
read_caller(struct brf_crash_record *r, const char *caller, const json_t *keys)
{
	struct brf_crash_request *request;
	const json_t *value;
	size_t i;

	if (strlen(caller) > BRF_NAME_MAX || !json_is_array(keys))
		return (false);
	json_array_foreach (keys, i, value) {
		if (r->count == BRF_CRASH_RECORD_REQUESTS_MAX)
			return (false);
		request = &r->requests[r->count];
		if (!read_key(value, &request->key))
			return (false);
		brf_copy_name(request->caller, sizeof(request->caller), caller);
		r->count++;
	}
	return (true);
}

static bool
read_requests(struct brf_crash_record *r, json_t *requests)
{
	const char *caller;
	json_t *keys;

	if (!json_is_object(requests))
		return (false);
	r->requests =
	    brf_calloc(BRF_CRASH_RECORD_REQUESTS_MAX, sizeof(*r->requests));
	json_object_foreach (requests, caller, keys) {
		if (!read_caller(r, caller, keys))
			return (false);
	}
	return (true);
}

static json_t *
load(const char *text, size_t len, struct brf_error *err)
{
	json_error_t je;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);

	if (root == NULL)
		brf_error_set(err, BRF_E_JSON, 0, "record: %s", je.text);
	return (root);
}

bool
brf_crash_record_read(struct brf_crash_record *r, const char *text, size_t len,
    struct brf_error *err)
{
	json_t *root = load(text, len, err);
	bool ok;

	memset(r, 0, sizeof(*r));
	if (root == NULL)
		return (false);
	ok = read_name(root, "target", r->target, sizeof(r->target)) &&
	     brf_entry_id_is_valid(r->target) &&
	     read_name(root, "service", r->service, sizeof(r->service)) &&
	     read_name(root, "node", r->node, sizeof(r->node)) &&
	     brf_json_count(root, "born", INT64_MAX, &r->born) &&
	     brf_json_count(root, "at", INT64_MAX / BRF_US_PER_S, &r->at) &&
	     read_requests(r, json_object_get(root, "requests"));
	json_decref(root);
	if (ok)
		return (true);
	brf_crash_record_free(r);
	return (brf_error_set(err, BRF_E_ANNOUNCE, 0,
	    "record of a crash: missing or invalid field"));
}

void
brf_crash_record_free(struct brf_crash_record *r)
{
	free(r->requests);
	r->requests = NULL;
	r->count = 0;
}

void
brf_clearance_key(const struct brf_clearance *c, char out[BRF_CRASH_KEY_MAX])
{
	const char *caller = c->request.caller;
	char key[BRF_REQUEST_KEY_TEXT];

	brf_request_key_write(&c->request.key, key);
	snprintf(out, BRF_CRASH_KEY_MAX,
	    BRF_CLEARANCE_PREFIX "%016" PRIx64 "%s",
	    (uint64_t)XXH3_64bits(caller, strlen(caller)), key);
}

void
brf_clearance_write(const struct brf_clearance *c, struct brf_buf *out)
{
	json_t *incarnations = json_array();
	char key[BRF_REQUEST_KEY_TEXT], text[17];
	size_t i;

	for (i = 0; i < c->count; i++) {
		snprintf(text, sizeof(text), "%016" PRIx64, c->incarnations[i]);
		json_array_append_new(incarnations, json_string(text));
	}
	brf_request_key_write(&c->request.key, key);
	write_json(json_pack("{s:s, s:s, s:s, s:s, s:o}", "caller",
		       c->request.caller, "key", key, "node", c->node, "why",
		       c->why, "incarnations", incarnations),
	    out);
}

static bool
read_incarnations(struct brf_clearance *c, const json_t *list)
{
	const json_t *value;
	const char *text;
	char *end;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > BRF_CLEARANCE_MAX)
		return (false);
	json_array_foreach (list, i, value) {
		text = json_string_value(value);
		if (text == NULL || strlen(text) != 16)
			return (false);
		c->incarnations[c->count++] = strtoull(text, &end, 16);
		if (*end != '\0')
			return (false);
	}
	return (true);
}

bool
brf_clearance_read(struct brf_clearance *c, const char *text, size_t len,
    struct brf_error *err)
{
	json_t *root = load(text, len, err);
	bool ok;

	memset(c, 0, sizeof(*c));
	if (root == NULL)
		return (false);
	ok = read_name(root, "caller", c->request.caller,
		 sizeof(c->request.caller)) &&
	     read_key(json_object_get(root, "key"), &c->request.key) &&
	     read_name(root, "node", c->node, sizeof(c->node)) &&
	     read_name(root, "why", c->why, sizeof(c->why)) &&
	     read_incarnations(c, json_object_get(root, "incarnations"));
	json_decref(root);
	if (!ok)
		brf_error_set(err, BRF_E_ANNOUNCE, 0,
		    "clearance: missing or invalid field");
	return (ok);
}
