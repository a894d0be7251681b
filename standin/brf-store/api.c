#include <stdlib.h>

#include <openssl/evp.h>

#include "standin/brf-store/api.h"

#define STATUS_OK 200
#define STATUS_BAD 400
#define STATUS_NOT_FOUND 404
#define GRPC_INVALID 3
#define GRPC_NOT_FOUND 5
#define GRPC_OUT_OF_RANGE 11
#define MS_PER_S 1000u
#define VALUE_MAX 1048576u /* bytes */

static json_t *
integer(uint64_t value)
{
	return (json_sprintf("%llu", (unsigned long long)value));
}

static json_t *
base64(const struct brf_buf *b)
{
	unsigned char *text = brf_calloc(4 * (b->len / 3 + 1) + 1, 1);
	json_t *value;

	EVP_EncodeBlock(text, (const unsigned char *)b->data, (int)b->len);
	value = json_string((const char *)text);
	free(text);
	return (value);
}

/* A missing field is empty. */
static bool
read_bytes(const json_t *body, const char *name, struct brf_buf *out)
{
	const char *text = json_string_value(json_object_get(body, name));
	size_t n = text != NULL ? strlen(text) : 0;
	int got;

	if (json_object_get(body, name) != NULL && text == NULL)
		return (false);
	if (n % 4 != 0 || n / 4 * 3 > VALUE_MAX + 2)
		return (false);
	brf_buf_reserve(out, n / 4 * 3);
	got = EVP_DecodeBlock((unsigned char *)out->data,
	    (const unsigned char *)(text != NULL ? text : ""), (int)n);
	if (got < 0)
		return (false);
	out->len = (size_t)got;
	if (n != 0 && text[n - 1] == '=')
		out->len--;
	if (n != 0 && text[n - 2] == '=')
		out->len--;
	out->data[out->len] = '\0';
	return (true);
}

bool
api_read_integer(const json_t *body, const char *name, uint64_t *out)
{
	const json_t *value = json_object_get(body, name);
	const char *text = json_string_value(value);
	char *end;

	*out = 0;
	if (json_is_integer(value))
		*out = (uint64_t)json_integer_value(value);
	if (value == NULL || json_is_integer(value))
		return (true);
	if (text == NULL || *text == '\0')
		return (false);
	*out = strtoull(text, &end, 10);
	return (*end == '\0');
}

bool
api_read_range(const json_t *body, struct kv_range *range)
{
	memset(range, 0, sizeof(*range));
	if (read_bytes(body, "key", &range->key) && range->key.len != 0 &&
	    read_bytes(body, "range_end", &range->end))
		return (true);
	api_free_range(range);
	return (false);
}

void
api_free_range(struct kv_range *range)
{
	brf_buf_free(&range->key);
	brf_buf_free(&range->end);
}

void
api_init(struct api *api)
{
	memset(api, 0, sizeof(*api));
	kv_init(&api->kv);
	brf_list_init(&api->leases);
	api->next_lease = 7587854321000000000ull;
}

json_t *
api_header(const struct api *api)
{
	return (json_pack("{s:s, s:s, s:o, s:s}", "cluster_id",
	    "14841639068965178418", "member_id", "10276657743932975437",
	    "revision", integer(api->kv.revision), "raft_term", "2"));
}

static struct api_answer
ok(json_t *body)
{
	return ((struct api_answer){ STATUS_OK, body });
}

static struct api_answer
fail(int status, int code, const char *text)
{
	return ((struct api_answer){
	    status, json_pack("{s:s, s:i, s:s}", "error", text, "code", code,
			"message", text) });
}

static struct api_answer
invalid(void)
{
	return (
	    fail(STATUS_BAD, GRPC_INVALID, "etcdserver: request is invalid"));
}

static json_t *
write_kv(const struct kv_change *c, bool keys_only)
{
	json_t *kv = json_object();

	json_object_set_new(kv, "key", base64(&c->key));
	json_object_set_new(kv, "mod_revision", integer(c->revision));
	if (c->deleted)
		return (kv);
	json_object_set_new(kv, "create_revision", integer(c->created));
	json_object_set_new(kv, "version", integer(c->version));
	if (!keys_only && c->value.len != 0)
		json_object_set_new(kv, "value", base64(&c->value));
	if (c->lease != 0)
		json_object_set_new(kv, "lease", integer(c->lease));
	return (kv);
}

json_t *
api_event(const struct kv_change *c)
{
	json_t *event = json_pack("{s:o}", "kv", write_kv(c, false));

	if (c->deleted)
		json_object_set_new(event, "type", json_string("DELETE"));
	return (event);
}

/* Changes lie in order of revision, so the last one is the newest. */
static json_t *
collect(const struct kv *kv, const struct kv_range *range, uint64_t revision,
    const json_t *body)
{
	bool keys_only = json_is_true(json_object_get(body, "keys_only"));
	const char *order =
	    json_string_value(json_object_get(body, "sort_order"));
	bool newest = order != NULL && strcmp(order, "DESCEND") == 0;
	json_t *kvs = json_array();
	struct brf_list *l;
	struct kv_change *c;

	brf_list_foreach (l, &kv->changes) {
		c = brf_list_entry(l, struct kv_change, link);
		if (!kv_in_range(range, &c->key) ||
		    !kv_is_current(kv, c, revision))
			continue;
		if (newest)
			json_array_insert_new(kvs, 0, write_kv(c, keys_only));
		else
			json_array_append_new(kvs, write_kv(c, keys_only));
	}
	return (kvs);
}

static struct api_answer
range(struct api *api, const json_t *body)
{
	uint64_t revision, limit, count;
	struct kv_range keys;
	json_t *kvs, *answer;

	if (!api_read_integer(body, "revision", &revision) ||
	    !api_read_integer(body, "limit", &limit) ||
	    !api_read_range(body, &keys))
		return (invalid());
	if (revision == 0)
		revision = api->kv.revision;
	if (revision < api->kv.compacted || revision > api->kv.revision) {
		api_free_range(&keys);
		return (fail(STATUS_BAD, GRPC_OUT_OF_RANGE,
		    revision > api->kv.revision
			? "etcdserver: mvcc: required revision is a future "
			  "revision"
			: "etcdserver: mvcc: required revision has been "
			  "compacted"));
	}
	kvs = collect(&api->kv, &keys, revision, body);
	api_free_range(&keys);
	count = json_array_size(kvs);
	while (limit != 0 && json_array_size(kvs) > limit)
		json_array_remove(kvs, json_array_size(kvs) - 1);
	answer = json_pack("{s:o}", "header", api_header(api));
	if (count == 0) {
		json_decref(kvs);
		return (ok(answer));
	}
	json_object_set_new(answer, "kvs", kvs);
	json_object_set_new(answer, "count", integer(count));
	return (ok(answer));
}

static struct api_lease *
find_lease(struct api *api, uint64_t id)
{
	struct brf_list *l;
	struct api_lease *lease;

	brf_list_foreach (l, &api->leases) {
		lease = brf_list_entry(l, struct api_lease, link);
		if (lease->id == id)
			return (lease);
	}
	return (NULL);
}

static struct api_answer
put(struct api *api, const json_t *body)
{
	struct brf_buf key = { 0 }, value = { 0 };
	uint64_t lease;
	bool good;

	good = api_read_integer(body, "lease", &lease) &&
	       read_bytes(body, "key", &key) && key.len != 0 &&
	       read_bytes(body, "value", &value);
	if (good && lease != 0)
		good = find_lease(api, lease) != NULL;
	if (good)
		kv_put(&api->kv, &key, &value, lease);
	brf_buf_free(&key);
	brf_buf_free(&value);
	if (!good)
		return (invalid());
	return (ok(json_pack("{s:o}", "header", api_header(api))));
}

/* Compares of mod_revision for equality, which are all that is used. */
static bool
holds(struct api *api, const json_t *compare, bool *good)
{
	const char *target =
	    json_string_value(json_object_get(compare, "target"));
	struct brf_buf key = { 0 };
	struct kv_change *c;
	uint64_t want = 0;

	*good = target != NULL && strcmp(target, "MOD") == 0 &&
		read_bytes(compare, "key", &key) &&
		api_read_integer(compare, "mod_revision", &want);
	c = kv_get(&api->kv, &key, api->kv.revision);
	brf_buf_free(&key);
	return ((c != NULL ? c->revision : 0) == want);
}

static bool
run_op(struct api *api, const json_t *op, json_t *responses)
{
	const json_t *body = json_object_get(op, "request_put");
	struct api_answer answer;
	const char *name = "response_put";

	if (body != NULL) {
		answer = put(api, body);
	} else {
		name = "response_range";
		answer = range(api, json_object_get(op, "request_range"));
	}
	if (answer.status != STATUS_OK) {
		json_decref(answer.body);
		return (false);
	}
	json_array_append_new(responses, json_pack("{s:o}", name, answer.body));
	return (true);
}

static struct api_answer
txn(struct api *api, const json_t *body)
{
	const json_t *compares = json_object_get(body, "compare");
	json_t *responses, *answer;
	const json_t *ops;
	bool succeeded = true, good = true;
	size_t i;

	for (i = 0; i < json_array_size(compares) && good; i++)
		succeeded =
		    holds(api, json_array_get(compares, i), &good) && succeeded;
	if (!good)
		return (invalid());
	responses = json_array();
	ops = json_object_get(body, succeeded ? "success" : "failure");
	for (i = 0; i < json_array_size(ops); i++) {
		if (run_op(api, json_array_get(ops, i), responses))
			continue;
		json_decref(responses);
		return (invalid());
	}
	answer = json_pack(
	    "{s:o, s:o}", "header", api_header(api), "responses", responses);
	if (succeeded)
		json_object_set_new(answer, "succeeded", json_true());
	return (ok(answer));
}

static struct api_answer
grant(struct api *api, const json_t *body)
{
	struct api_lease *lease;
	uint64_t ttl;

	if (!api_read_integer(body, "TTL", &ttl) || ttl == 0)
		return (invalid());
	lease = brf_calloc(1, sizeof(*lease));
	lease->id = api->next_lease++;
	lease->ttl_s = ttl;
	lease->until = api->now + ttl * MS_PER_S;
	brf_list_append(&api->leases, &lease->link);
	return (ok(json_pack("{s:o, s:o, s:o}", "header", api_header(api), "ID",
	    integer(lease->id), "TTL", integer(ttl))));
}

static struct api_answer
keep_alive(struct api *api, const json_t *body)
{
	struct api_lease *lease;
	json_t *result;
	uint64_t id;

	if (!api_read_integer(body, "ID", &id))
		return (invalid());
	lease = find_lease(api, id);
	result = json_pack(
	    "{s:o, s:o}", "header", api_header(api), "ID", integer(id));
	if (lease != NULL) {
		lease->until = api->now + lease->ttl_s * MS_PER_S;
		json_object_set_new(result, "TTL", integer(lease->ttl_s));
	}
	return (ok(json_pack("{s:o}", "result", result)));
}

static void
end_lease(struct api *api, struct api_lease *lease)
{
	kv_drop_lease(&api->kv, lease->id);
	brf_list_remove(&lease->link);
	free(lease);
}

static struct api_answer
revoke(struct api *api, const json_t *body)
{
	struct api_lease *lease;
	uint64_t id;

	if (!api_read_integer(body, "ID", &id))
		return (invalid());
	lease = find_lease(api, id);
	if (lease == NULL)
		return (fail(STATUS_NOT_FOUND, GRPC_NOT_FOUND,
		    "etcdserver: requested lease not found"));
	end_lease(api, lease);
	return (ok(json_pack("{s:o}", "header", api_header(api))));
}

void
api_lapse(struct api *api)
{
	struct brf_list *l, *tmp;
	struct api_lease *lease;

	brf_list_foreach_safe (l, tmp, &api->leases) {
		lease = brf_list_entry(l, struct api_lease, link);
		if (lease->until <= api->now)
			end_lease(api, lease);
	}
}

static const struct {
	const char *path;
	struct api_answer (*run)(struct api *api, const json_t *body);
	bool is_write;
} methods[] = {
	{ "/v3/kv/range", range, false },
	{ "/v3/kv/put", put, true },
	{ "/v3/kv/txn", txn, true },
	{ "/v3/lease/grant", grant, true },
	{ "/v3/lease/keepalive", keep_alive, true },
	{ "/v3/lease/revoke", revoke, true },
};

struct api_answer
api_call(struct api *api, const char *path, const json_t *body, bool *is_write)
{
	size_t i;

	for (i = 0; i < brf_nitems(methods); i++) {
		if (strcmp(methods[i].path, path) != 0)
			continue;
		*is_write = methods[i].is_write;
		if (!json_is_object(body))
			return (invalid());
		return (methods[i].run(api, body));
	}
	*is_write = false;
	return (fail(STATUS_NOT_FOUND, GRPC_NOT_FOUND, "Not Found"));
}
