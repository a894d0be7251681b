#include <stdlib.h>

#include "base/json.h"
#include "base/log.h"
#include "mesh/crashes.h"

#define KNOWN_MAX 128u	     /* records told to other nodes */
#define EXPORTED_MAX 262144u /* bytes of them */
#define KNOWN_US (BRF_CRASH_RECORD_TTL_S * BRF_US_PER_S)

/**
 * struct known_record - a record as the store has it.
 * @since: clock time of its arrival
 */
struct known_record {
	struct brf_list link;
	char key[BRF_CRASH_KEY_MAX];
	struct brf_buf text;
	uint64_t since;
};

static struct brf_mesh_crashes *
crashes_of(struct brf_directory_records *records)
{
	return (brf_container_of(records, struct brf_mesh_crashes, records));
}

static uint64_t
now(const struct brf_mesh_crashes *c)
{
	return (brf_now(brf_timers_clock(c->config.timers)));
}

static uint64_t
time_of_day_s(void)
{
	uv_timeval64_t tv;

	return (uv_gettimeofday(&tv) == 0 && tv.tv_sec > 0 ? (uint64_t)tv.tv_sec
							   : 0);
}

/* Age of a record, whose node's time of day may differ from this node's. */
static uint64_t
age_us(const struct brf_crash_record *r)
{
	uint64_t t = time_of_day_s();
	uint64_t age_s = t > r->at ? t - r->at : 0;

	if (age_s > BRF_CRASH_RECORD_TTL_S)
		age_s = BRF_CRASH_RECORD_TTL_S;
	return (age_s * BRF_US_PER_S);
}

/**
 * struct origin - where a crash was heard of.
 * @target: that crashed
 * @node: that tells it
 */
struct origin {
	const char *target;
	const char *node;
	uint64_t incarnation;
	uint64_t age_us;
};

static void
log_step(const char *event, const char *caller,
    const struct brf_crash_suspect *s, const struct origin *origin)
{
	char key[BRF_REQUEST_KEY_TEXT];

	brf_request_key_write(&s->key, key);
	brf_log(BRF_LOG_WARN, event, BRF_LS("caller", caller),
	    BRF_LS("key", key), BRF_LU("crashes", s->count),
	    BRF_LS("target", origin->target), BRF_LS("source", origin->node),
	    BRF_LU("age_ms", origin->age_us / BRF_US_PER_MS));
}

static void
add_crash(struct brf_mesh_crashes *c, const char *caller,
    const struct brf_request_key *key, const struct origin *origin)
{
	uint64_t t = now(c);
	const struct brf_crash_suspect *s =
	    brf_crash_log_add(c->log, caller, key, origin->incarnation,
		t > origin->age_us ? t - origin->age_us : 0);

	if (s == NULL)
		return;
	if (s->weight == BRF_CRASH_ISOLATE) {
		c->isolated->value++;
		log_step("request_isolated", caller, s, origin);
	} else if (s->weight == BRF_CRASH_REFUSE) {
		c->refused->value++;
		log_step("request_refused", caller, s, origin);
	}
}

static void
add_record(
    struct brf_mesh_crashes *c, const struct brf_crash_record *r, uint64_t age)
{
	struct origin origin = {
		.target = r->target,
		.node = r->node,
		.incarnation = brf_crash_incarnation(r->target, r->born),
		.age_us = age,
	};
	size_t i;

	brf_crash_log_expire(c->log, now(c));
	for (i = 0; i < r->count; i++)
		add_crash(
		    c, r->requests[i].caller, &r->requests[i].key, &origin);
}

void
brf_mesh_crashes_report(
    struct brf_mesh_crashes *c, const struct brf_crash *crash)
{
	struct brf_crash_record r = {
		.born = crash->target->born,
		.at = time_of_day_s(),
		.requests = (struct brf_crash_request *)crash->requests,
		.count = crash->count,
	};
	struct brf_buf text = { .data = NULL };
	char key[BRF_CRASH_KEY_MAX];

	if (r.count == 0)
		return;
	brf_copy_name(r.target, sizeof(r.target), crash->target->id);
	brf_copy_name(r.service, sizeof(r.service), crash->target->service);
	brf_copy_name(r.node, sizeof(r.node), c->config.node);
	add_record(c, &r, 0);
	brf_crash_record_key(&r, key);
	brf_crash_record_write(&r, &text);
	brf_crash_writer_put(c->writer, key, &text);
	brf_buf_free(&text);
}

void
brf_mesh_crashes_hop_lost(struct brf_mesh_crashes *c, const char *caller,
    const struct brf_request_key *key, const char *target, uint64_t born)
{
	struct origin origin = {
		.target = target,
		.node = c->config.node,
		.incarnation = brf_crash_incarnation(target, born),
	};

	if (!brf_crash_log_is_harmless(c->log, caller, key, now(c)))
		add_crash(c, caller, key, &origin);
}

/* Write that the crashes known of @s don't count against it. */
static void
clear(struct brf_mesh_crashes *c, const char *caller,
    const struct brf_crash_suspect *s, const char *why)
{
	struct brf_clearance clearance = { .count = s->total };
	struct brf_buf text = { .data = NULL };
	char key[BRF_CRASH_KEY_MAX];
	size_t i;

	brf_copy_name(
	    clearance.request.caller, sizeof(clearance.request.caller), caller);
	clearance.request.key = s->key;
	brf_copy_name(clearance.node, sizeof(clearance.node), c->config.node);
	brf_copy_name(clearance.why, sizeof(clearance.why), why);
	for (i = 0; i < s->total; i++)
		clearance.incarnations[i] = s->crashes[i].incarnation;
	c->cleared->value++;
	log_step("request_cleared", caller, s,
	    &(struct origin){ .target = "", .node = c->config.node });
	for (i = 0; i < clearance.count; i++)
		brf_crash_log_clear(c->log, caller, &clearance.request.key,
		    clearance.incarnations[i], now(c));
	brf_clearance_key(&clearance, key);
	brf_clearance_write(&clearance, &text);
	brf_crash_writer_put(c->writer, key, &text);
	brf_buf_free(&text);
}

void
brf_mesh_crashes_answered(struct brf_mesh_crashes *c, const char *caller,
    const struct brf_request_key *key)
{
	if (brf_crash_log_answered(c->log, caller, key, now(c)))
		clear(c, caller, brf_crash_log_find(c->log, caller, key),
		    "answered");
}

bool
brf_mesh_crashes_lift(struct brf_mesh_crashes *c, const char *caller,
    const struct brf_request_key *key)
{
	const struct brf_crash_suspect *s =
	    brf_crash_log_find(c->log, caller, key);

	if (s == NULL || s->count == 0)
		return (false);
	clear(c, caller, s, "operator");
	return (true);
}

/* @k is in no list any more. */
static void
known_record_free(struct brf_mesh_crashes *c, struct known_record *k)
{
	brf_buf_free(&k->text);
	free(k);
	c->known_count--;
}

static struct known_record *
find_known(const struct brf_mesh_crashes *c, const char *key)
{
	struct known_record *k;
	struct brf_list *l;

	brf_list_foreach (l, &c->known) {
		k = brf_list_entry(l, struct known_record, link);
		if (strcmp(k->key, key) == 0)
			return (k);
	}
	return (NULL);
}

static void
expire_known(struct brf_mesh_crashes *c)
{
	struct known_record *k;
	struct brf_list *l;

	while ((l = brf_list_pop(&c->known)) != NULL) {
		k = brf_list_entry(l, struct known_record, link);
		if (c->known_count <= KNOWN_MAX &&
		    k->since + KNOWN_US >= now(c)) {
			brf_list_prepend(&c->known, l);
			return;
		}
		known_record_free(c, k);
	}
}

static void
remember(struct brf_mesh_crashes *c, const struct brf_store_kv *kv)
{
	struct known_record *k = find_known(c, kv->key);

	if (k == NULL) {
		k = brf_calloc(1, sizeof(*k));
		brf_copy_name(k->key, sizeof(k->key), kv->key);
		c->known_count++;
	} else
		brf_list_remove(&k->link);
	brf_list_append(&c->known, &k->link);
	brf_buf_clear(&k->text);
	brf_buf_add(&k->text, kv->value, kv->len);
	k->since = now(c);
	expire_known(c);
}

static bool
read_crash(struct brf_mesh_crashes *c, const struct brf_store_kv *kv,
    struct brf_error *err)
{
	struct brf_crash_record r;

	if (!brf_crash_record_read(&r, kv->value, kv->len, err))
		return (false);
	brf_log(BRF_LOG_INFO, "crash_known", BRF_LS("target", r.target),
	    BRF_LS("service", r.service), BRF_LS("source", r.node),
	    BRF_LU("suspects", r.count),
	    BRF_LU("age_ms", age_us(&r) / BRF_US_PER_MS),
	    BRF_LU("revision", kv->revision));
	add_record(c, &r, age_us(&r));
	brf_crash_record_free(&r);
	return (true);
}

static bool
read_clearance(struct brf_mesh_crashes *c, const struct brf_store_kv *kv,
    struct brf_error *err)
{
	struct brf_clearance clearance;
	char key[BRF_REQUEST_KEY_TEXT];
	size_t i;

	if (!brf_clearance_read(&clearance, kv->value, kv->len, err))
		return (false);
	brf_request_key_write(&clearance.request.key, key);
	brf_log(BRF_LOG_INFO, "clearance_known",
	    BRF_LS("caller", clearance.request.caller), BRF_LS("key", key),
	    BRF_LS("source", clearance.node), BRF_LS("why", clearance.why),
	    BRF_LU("crashes", clearance.count));
	for (i = 0; i < clearance.count; i++)
		brf_crash_log_clear(c->log, clearance.request.caller,
		    &clearance.request.key, clearance.incarnations[i], now(c));
	return (true);
}

static bool
has_prefix(const char *key, const char *prefix)
{
	return (strncmp(key, prefix, strlen(prefix)) == 0);
}

static void
record_set(struct brf_directory_records *records, const struct brf_store_kv *kv)
{
	struct brf_mesh_crashes *c = crashes_of(records);
	struct brf_error err = { .code = BRF_OK };
	bool ok;

	if (strlen(kv->key) >= BRF_CRASH_KEY_MAX)
		ok = brf_error_set(
		    &err, BRF_E_ANNOUNCE, 0, "key of a record is too long");
	else if (has_prefix(kv->key, BRF_CRASH_PREFIX))
		ok = read_crash(c, kv, &err);
	else if (has_prefix(kv->key, BRF_CLEARANCE_PREFIX))
		ok = read_clearance(c, kv, &err);
	else
		ok = brf_error_set(
		    &err, BRF_E_ANNOUNCE, 0, "unknown kind of record");
	if (ok)
		remember(c, kv);
	else
		brf_log(BRF_LOG_WARN, "entry_unreadable", BRF_LE(&err),
		    BRF_LU("revision", kv->revision));
}

/* What is known stays known; the store may have lost the record early. */
static void
record_deleted(struct brf_directory_records *records, const char *key)
{
	brf_crash_writer_deleted(crashes_of(records)->writer, key);
}

static void
append_records(struct brf_directory_records *records, struct brf_buf *out)
{
	const struct known_record *k;
	size_t limit = out->len + EXPORTED_MAX;
	struct brf_list *l;

	brf_list_foreach (l, &crashes_of(records)->known) {
		k = brf_list_entry(l, struct known_record, link);
		if (out->len + k->text.len > limit)
			return;
		brf_buf_puts(out, k->key);
		brf_buf_puts(out, " ");
		brf_buf_add(out, k->text.data, k->text.len);
		brf_buf_puts(out, "\n");
	}
}

static const struct brf_directory_records_vt records_vt = {
	.set = record_set,
	.deleted = record_deleted,
	.append = append_records,
};

static void
make_metrics(struct brf_mesh_crashes *c)
{
	struct brf_metrics *m = c->config.metrics;

	c->isolated = brf_metrics_counter(m, "brf_requests_isolated_total",
	    "Requests under which a second target crashed.", "");
	c->refused = brf_metrics_counter(m, "brf_requests_refused_total",
	    "Requests under which a third target crashed.", "");
	c->cleared = brf_metrics_counter(m, "brf_requests_cleared_total",
	    "Suspected requests that this node cleared.", "");
}

struct brf_mesh_crashes *
brf_mesh_crashes_new(const struct brf_mesh_crashes_config *config)
{
	struct brf_mesh_crashes *c = brf_calloc(1, sizeof(*c));

	c->records.vt = &records_vt;
	c->config = *config;
	c->log = brf_crash_log_new(
	    brf_random_below(config->random, BRF_CRASH_TRIAL_US));
	c->writer =
	    brf_crash_writer_new(config->store, config->timers, config->random);
	brf_list_init(&c->known);
	make_metrics(c);
	return (c);
}

void
brf_mesh_crashes_free(struct brf_mesh_crashes *c)
{
	struct brf_list *l;

	while ((l = brf_list_pop(&c->known)) != NULL)
		known_record_free(
		    c, brf_list_entry(l, struct known_record, link));
	brf_crash_writer_free(c->writer);
	brf_crash_log_free(c->log);
	free(c);
}

static void
list_suspect(void *arg, const char *caller, const struct brf_crash_suspect *s)
{
	char key[BRF_REQUEST_KEY_TEXT];

	if (s->count < BRF_CRASH_ISOLATE)
		return;
	brf_request_key_write(&s->key, key);
	json_array_append_new(
	    arg, json_pack("{s:s, s:s, s:i, s:b}", "caller", caller, "key", key,
		     "crashes", (int)s->count, "refused",
		     s->weight >= BRF_CRASH_REFUSE));
}

void
brf_mesh_crashes_list(const struct brf_mesh_crashes *c, struct brf_buf *out)
{
	json_t *list = json_array();
	char *text;

	brf_crash_log_visit(c->log, list_suspect, list);
	text = json_dumps(list, JSON_COMPACT);
	brf_buf_puts(out, text != NULL ? text : "[]");
	free(text);
	json_decref(list);
}
