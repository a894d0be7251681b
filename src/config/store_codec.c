#include <errno.h>
#include <stdlib.h>

#include <jansson.h>

#include "base/base64.h"
#include "config/store_codec.h"

#define STATUS_OK 200
#define STATUS_SERVER_ERROR 500
#define GRPC_OUT_OF_RANGE 11 /* the requested revision was compacted */

static const char *const outcome_names[] = { "done", "conflict", "refused",
	"unknown" };

const char *
brf_store_outcome_name(enum brf_store_outcome outcome)
{
	if ((unsigned)outcome >= brf_nitems(outcome_names))
		return ("invalid");
	return (outcome_names[outcome]);
}

static json_t *
base64(const char *data, size_t len)
{
	char *text = brf_base64_encode(data, len);
	json_t *value = json_string(text);

	free(text);
	return (value);
}

static json_t *
integer(uint64_t value)
{
	return (json_sprintf("%llu", (unsigned long long)value));
}

/* Return: the exclusive end of the range of all keys that begin with @key,
 * which is @key with its last byte incremented.  Keys are ASCII, so there is no
 * carry.
 */
static json_t *
prefix_end(const char *key)
{
	size_t len = strlen(key);
	char *end = brf_strdup(key, len);
	json_t *value;

	if (len != 0)
		end[len - 1]++;
	value = base64(end, len);
	free(end);
	return (value);
}

static json_t *
encode_get(const struct brf_store_request *r)
{
	json_t *body = json_object();

	json_object_set_new(body, "key", base64(r->key, strlen(r->key)));
	if (r->prefix)
		json_object_set_new(body, "range_end", prefix_end(r->key));
	if (r->at_revision != 0)
		json_object_set_new(body, "revision", integer(r->at_revision));
	if (r->latest_only) {
		json_object_set_new(body, "limit", integer(1));
		json_object_set_new(body, "sort_order", json_string("DESCEND"));
		json_object_set_new(body, "sort_target", json_string("MOD"));
		json_object_set_new(body, "keys_only", json_true());
	}
	return (body);
}

static json_t *
encode_put(const struct brf_store_request *r)
{
	json_t *body = json_object();

	json_object_set_new(body, "key", base64(r->key, strlen(r->key)));
	json_object_set_new(body, "value", base64(r->value, r->len));
	if (r->lease != 0)
		json_object_set_new(body, "lease", integer(r->lease));
	return (body);
}

static json_t *
encode_txn(const struct brf_store_request *r)
{
	const struct brf_store_request key = { .key = r->key };
	bool deletes = r->op == BRF_STORE_DELETE;

	return (json_pack("{s:[{s:o, s:s, s:s, s:o}], s:[{s:o}], s:[{s:o}]}",
	    "compare", "key", base64(r->key, strlen(r->key)), "target", "MOD",
	    "result", "EQUAL", "mod_revision", integer(r->expect), "success",
	    deletes ? "request_delete_range" : "request_put",
	    deletes ? encode_get(&key) : encode_put(r), "failure",
	    "request_range", encode_get(&key)));
}

const char *
brf_store_encode(const struct brf_store_request *r, struct brf_buf *body)
{
	const char *path = "/v3/kv/range";
	json_t *root = NULL;
	char *text;

	switch (r->op) {
	case BRF_STORE_GET:
		root = encode_get(r);
		break;
	case BRF_STORE_PUT:
		path = r->compare ? "/v3/kv/txn" : "/v3/kv/put";
		root = r->compare ? encode_txn(r) : encode_put(r);
		break;
	case BRF_STORE_DELETE:
		path = "/v3/kv/txn";
		root = encode_txn(r);
		break;
	case BRF_STORE_LEASE_GRANT:
		path = "/v3/lease/grant";
		root = json_pack("{s:o}", "TTL", integer(r->ttl_s));
		break;
	case BRF_STORE_LEASE_KEEPALIVE:
		path = "/v3/lease/keepalive";
		root = json_pack("{s:o}", "ID", integer(r->lease));
		break;
	case BRF_STORE_LEASE_REVOKE:
		path = "/v3/lease/revoke";
		root = json_pack("{s:o}", "ID", integer(r->lease));
		break;
	}
	text = json_dumps(root, JSON_COMPACT);
	brf_buf_puts(body, text != NULL ? text : "{}");
	free(text);
	json_decref(root);
	return (path);
}

/* A missing field reads as 0, since the API omits default values. */
static bool
read_integer(const json_t *object, const char *name, uint64_t *out)
{
	const json_t *value = json_object_get(object, name);
	const char *s = json_string_value(value);
	char *end;

	*out = 0;
	if (value == NULL)
		return (true);
	if (json_is_integer(value) && json_integer_value(value) >= 0) {
		*out = (uint64_t)json_integer_value(value);
		return (true);
	}
	if (s == NULL || *s < '0' || *s > '9')
		return (false);
	errno = 0;
	*out = strtoull(s, &end, 10);
	return (errno == 0 && *end == '\0');
}

/* Return: bytes to be freed by the caller, or NULL when the field is not
 * base64. */
static char *
read_base64(const json_t *object, const char *name, size_t *len)
{
	const json_t *value = json_object_get(object, name);
	const char *text = value != NULL ? json_string_value(value) : "";

	return (text != NULL ? brf_base64_decode(text, len) : NULL);
}

static bool
read_kv(const json_t *json, struct brf_store_kv *kv)
{
	size_t key_len = 0;

	kv->key = read_base64(json, "key", &key_len);
	kv->value = read_base64(json, "value", &kv->len);
	return (kv->key != NULL && kv->value != NULL &&
		read_integer(json, "mod_revision", &kv->revision) &&
		read_integer(json, "lease", &kv->lease));
}

static void
free_kvs(struct brf_store_kv *kvs, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		free(kvs[i].key);
		free(kvs[i].value);
	}
	free(kvs);
}

void
brf_store_response_free(struct brf_store_response *response)
{
	free_kvs(response->kvs, response->count);
	memset(response, 0, sizeof(*response));
}

void
brf_store_event_free(struct brf_store_event *event)
{
	free_kvs(event->kvs, event->count);
	memset(event, 0, sizeof(*event));
}

static bool
read_header(const json_t *root, uint64_t *revision)
{
	const json_t *header = json_object_get(root, "header");

	return (json_is_object(header) &&
		read_integer(header, "revision", revision));
}

static bool
read_kvs(const json_t *root, struct brf_store_response *out)
{
	const json_t *list = json_object_get(root, "kvs");
	size_t i, n = json_array_size(list);

	if (list != NULL && !json_is_array(list))
		return (false);
	out->kvs = brf_calloc(n, sizeof(*out->kvs));
	out->count = n;
	for (i = 0; i < n; i++) {
		if (!read_kv(json_array_get(list, i), &out->kvs[i]))
			return (false);
	}
	return (true);
}

static bool
read_txn(const json_t *root, struct brf_store_response *out)
{
	const json_t *response =
	    json_array_get(json_object_get(root, "responses"), 0);
	const json_t *succeeded = json_object_get(root, "succeeded");

	if (json_is_true(succeeded))
		return (true);
	if (succeeded != NULL && !json_is_false(succeeded))
		return (false);
	out->outcome = BRF_STORE_CONFLICT;
	brf_error_set(&out->err, BRF_E_CONFLICT, 0,
	    "the key is not at the expected revision");
	response = json_object_get(response, "response_range");
	return (response != NULL && read_kvs(response, out));
}

static bool
read_lease(const json_t *root, struct brf_store_response *out)
{
	uint64_t ttl;

	if (!read_integer(root, "ID", &out->lease) ||
	    !read_integer(root, "TTL", &ttl) || ttl > UINT32_MAX)
		return (false);
	out->ttl_s = (uint32_t)ttl;
	return (true);
}

static bool
read_success(const struct brf_store_request *r, const json_t *root,
    struct brf_store_response *out)
{
	if (r->op == BRF_STORE_LEASE_KEEPALIVE)
		root = json_object_get(root, "result");
	if (!read_header(root, &out->revision))
		return (false);
	switch (r->op) {
	case BRF_STORE_GET:
		return (read_kvs(root, out));
	case BRF_STORE_PUT:
		return (!r->compare || read_txn(root, out));
	case BRF_STORE_DELETE:
		return (read_txn(root, out));
	case BRF_STORE_LEASE_GRANT:
		return (read_lease(root, out) && out->lease != 0);
	case BRF_STORE_LEASE_KEEPALIVE:
		return (read_lease(root, out));
	case BRF_STORE_LEASE_REVOKE:
		break;
	}
	return (true);
}

static void
read_failure(int status, const json_t *root, struct brf_store_response *out)
{
	const char *text = json_string_value(json_object_get(root, "error"));
	uint64_t code;

	out->outcome = status >= STATUS_SERVER_ERROR ? BRF_STORE_UNKNOWN
						     : BRF_STORE_REFUSED;
	brf_error_set(&out->err, BRF_E_STORE, 0, "status %d: %s", status,
	    text != NULL ? text : "no reason given");
	if (read_integer(root, "code", &code) && code == GRPC_OUT_OF_RANGE)
		out->err.code = BRF_E_STORE_COMPACTED;
}

void
brf_store_decode(const struct brf_store_request *request, int status,
    const char *body, size_t len, struct brf_store_response *out)
{
	json_error_t e;
	json_t *root = json_loadb(body, len, 0, &e);

	memset(out, 0, sizeof(*out));
	if (status != STATUS_OK) {
		read_failure(status, root, out);
	} else if (!read_success(request, root, out)) {
		brf_store_response_free(out);
		out->outcome = BRF_STORE_UNKNOWN;
		brf_error_set(&out->err, BRF_E_STORE_PROTOCOL, 0,
		    "malformed response of %zu bytes", len);
	}
	json_decref(root);
}

void
brf_store_watch_encode(
    const struct brf_store_watch *watch, struct brf_buf *body)
{
	json_t *root = json_pack("{s:{s:o, s:o, s:o, s:b}}", "create_request",
	    "key", base64(watch->prefix, strlen(watch->prefix)), "range_end",
	    prefix_end(watch->prefix), "start_revision", integer(watch->from),
	    "progress_notify", 1);
	char *text = json_dumps(root, JSON_COMPACT);

	brf_buf_puts(body, text != NULL ? text : "{}");
	free(text);
	json_decref(root);
}

static bool
read_events(const json_t *list, struct brf_store_event *out)
{
	size_t i, n = json_array_size(list);
	const json_t *item;
	const char *type;

	if (list != NULL && !json_is_array(list))
		return (false);
	out->kvs = brf_calloc(n, sizeof(*out->kvs));
	out->count = n;
	for (i = 0; i < n; i++) {
		item = json_array_get(list, i);
		if (!read_kv(json_object_get(item, "kv"), &out->kvs[i]))
			return (false);
		type = json_string_value(json_object_get(item, "type"));
		out->kvs[i].deleted =
		    type != NULL && strcmp(type, "DELETE") == 0;
	}
	return (true);
}

static bool
read_watch(
    const json_t *root, struct brf_store_event *out, struct brf_error *err)
{
	const json_t *result = json_object_get(root, "result");
	uint64_t compacted;

	if (json_object_get(root, "error") != NULL)
		return (brf_error_set(
		    err, BRF_E_STORE, 0, "the store ended the watch"));
	if (!read_header(result, &out->revision) ||
	    !read_integer(result, "compact_revision", &compacted) ||
	    !read_events(json_object_get(result, "events"), out))
		return (brf_error_set(
		    err, BRF_E_STORE_PROTOCOL, 0, "malformed watch line"));
	if (compacted != 0)
		return (brf_error_set(err, BRF_E_STORE_COMPACTED, 0,
		    "compacted up to revision %llu",
		    (unsigned long long)compacted));
	if (json_is_true(json_object_get(result, "canceled")))
		return (brf_error_set(
		    err, BRF_E_STORE, 0, "the store ended the watch"));
	return (true);
}

bool
brf_store_watch_decode(const char *line, size_t len,
    struct brf_store_event *out, struct brf_error *err)
{
	json_error_t e;
	json_t *root = json_loadb(line, len, 0, &e);
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = read_watch(root, out, err);
	if (!ok)
		brf_store_event_free(out);
	json_decref(root);
	return (ok);
}
