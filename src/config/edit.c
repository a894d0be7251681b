#include <stdlib.h>

#include "base/backoff.h"
#include "bulrushford.h"
#include "config/edit.h"
#include "config/envelope.h"

#define BACKOFF_FIRST_US 100000u
#define BACKOFF_MOST_US 2000000u
#define KEY_SIZE (sizeof(BRF_DOC_PREFIX) + BRF_NAME_MAX)

/**
 * struct brf_edit - a write in progress.
 * @calling: @call is open
 * @may_be_stored: a previous attempt may have taken effect
 * @read_revision: store revision to read the key at; 0 for the current one
 * @current_revision: current revision of the key, while its history is read
 * @current_value: value at @current_revision; NULL if the key does not exist
 * @last_err: error of the last failed call
 */
struct brf_edit {
	struct brf_edit_config config;
	char service[BRF_NAME_MAX + 1];
	char id[BRF_NAME_MAX + 1];
	char key[KEY_SIZE];
	char *value;
	struct brf_store_call call;
	bool calling;
	bool may_be_stored;
	uint64_t read_revision;
	uint64_t current_revision;
	char *current_value;
	size_t current_len;
	struct brf_backoff backoff;
	struct brf_timer retry;
	struct brf_timer deadline;
	struct brf_error last_err;
	void (*done)(void *arg, const struct brf_edit_result *result);
	void *arg;
};

static void write_document(struct brf_timer *timer, void *arg);
static void read_back(struct brf_timer *timer, void *arg);

static void
free_edit(struct brf_edit *e)
{
	brf_timer_stop(e->config.timers, &e->retry);
	brf_timer_stop(e->config.timers, &e->deadline);
	if (e->calling)
		brf_store_cancel(e->config.store, &e->call);
	free(e->current_value);
	free(e->value);
	free(e);
}

void
brf_edit_cancel(struct brf_edit *edit)
{
	if (edit != NULL)
		free_edit(edit);
}

static void
finish(struct brf_edit *e, enum brf_store_outcome outcome, uint64_t revision)
{
	struct brf_edit_result result = {
		.outcome = outcome, .err = e->last_err, .revision = revision
	};

	if (outcome == BRF_STORE_DONE)
		memset(&result.err, 0, sizeof(result.err));
	if (outcome == BRF_STORE_CONFLICT) {
		brf_error_set(&result.err, BRF_E_CONFLICT, 0,
		    "%s is at revision %llu, not %llu", e->service,
		    (unsigned long long)revision,
		    (unsigned long long)e->config.expect);
		result.value = e->current_value;
		result.len = e->current_len;
	}
	e->done(e->arg, &result);
	free_edit(e);
}

static void
give_up(struct brf_timer *timer, void *arg)
{
	struct brf_edit *e = arg;

	if (!e->may_be_stored && !e->calling) {
		finish(e, BRF_STORE_REFUSED, 0);
		return;
	}
	if (e->last_err.code == BRF_OK)
		brf_error_set(&e->last_err, BRF_E_TIMEOUT, 0,
		    "no response from the store");
	finish(e, BRF_STORE_UNKNOWN, 0);
}

static void
retry_later(
    struct brf_edit *e, void (*fire)(struct brf_timer *timer, void *arg))
{
	e->retry.fire = fire;
	brf_timer_start(e->config.timers, &e->retry,
	    brf_backoff_next(&e->backoff, e->config.random));
}

static bool
is_own_edit(const struct brf_edit *e, const struct brf_store_kv *kv)
{
	struct brf_envelope envelope;
	bool own;

	if (!brf_envelope_open(
		NULL, e->service, kv->value, kv->len, &envelope, NULL))
		return (false);
	own = strcmp(envelope.edit, e->id) == 0;
	brf_envelope_free(&envelope);
	return (own);
}

static void
save_current(struct brf_edit *e, const struct brf_store_kv *kv)
{
	free(e->current_value);
	e->current_revision = kv != NULL ? kv->revision : 0;
	e->current_len = kv != NULL ? kv->len : 0;
	e->current_value = kv != NULL ? brf_strdup(kv->value, kv->len) : NULL;
}

/* The key holds another edit at @kv; read what it replaced, which may be this
 * edit. */
static void
read_predecessor(struct brf_edit *e, const struct brf_store_kv *kv)
{
	e->read_revision = kv->revision - 1;
	retry_later(e, read_back);
}

/* Decide by the key at e->read_revision how the edit ended; @kv is NULL when
 * the key did not exist. */
static void
resolve(struct brf_edit *e, const struct brf_store_kv *kv)
{
	uint64_t revision = kv != NULL ? kv->revision : 0;

	if (kv != NULL && is_own_edit(e, kv)) {
		finish(e, BRF_STORE_DONE, revision);
		return;
	}
	if (e->read_revision == 0)
		save_current(e, kv);
	if (revision > e->config.expect) {
		read_predecessor(e, kv);
	} else if (revision < e->config.expect) {
		brf_error_set(&e->last_err, BRF_E_STORE_BEHIND, 0,
		    "%s is at revision %llu, lower than the expected %llu",
		    e->service, (unsigned long long)revision,
		    (unsigned long long)e->config.expect);
		finish(e, BRF_STORE_UNKNOWN, 0);
	} else if (e->read_revision != 0) {
		finish(e, BRF_STORE_CONFLICT, e->current_revision);
	} else {
		retry_later(e, write_document);
	}
}

static void
read_done(
    struct brf_store_call *call, const struct brf_store_response *response)
{
	struct brf_edit *e = brf_container_of(call, struct brf_edit, call);

	e->calling = false;
	if (response->outcome == BRF_STORE_DONE) {
		resolve(e, response->count != 0 ? &response->kvs[0] : NULL);
		return;
	}
	e->last_err = response->err;
	if (response->err.code == BRF_E_STORE_COMPACTED)
		finish(e, BRF_STORE_UNKNOWN, 0);
	else
		retry_later(e, read_back);
}

static void
read_back(struct brf_timer *timer, void *arg)
{
	struct brf_edit *e = arg;

	e->call.request = (struct brf_store_request){ .op = BRF_STORE_GET,
		.key = e->key,
		.at_revision = e->read_revision };
	e->call.done = read_done;
	e->calling = true;
	brf_store_start(e->config.store, &e->call);
}

static void
handle_conflict(struct brf_edit *e, const struct brf_store_response *response)
{
	const struct brf_store_kv *kv =
	    response->count != 0 ? &response->kvs[0] : NULL;

	e->read_revision = 0;
	if (e->may_be_stored) {
		resolve(e, kv);
		return;
	}
	save_current(e, kv);
	finish(e, BRF_STORE_CONFLICT, e->current_revision);
}

static void
handle_refusal(struct brf_edit *e)
{
	bool not_sent = e->last_err.code == BRF_E_CONNECT ||
			e->last_err.code == BRF_E_LIMIT;

	if (e->may_be_stored)
		retry_later(e, read_back);
	else if (not_sent)
		retry_later(e, write_document);
	else
		finish(e, BRF_STORE_REFUSED, 0);
}

static void
write_done(
    struct brf_store_call *call, const struct brf_store_response *response)
{
	struct brf_edit *e = brf_container_of(call, struct brf_edit, call);

	e->calling = false;
	if (response->outcome != BRF_STORE_DONE)
		e->last_err = response->err;
	switch (response->outcome) {
	case BRF_STORE_DONE:
		finish(e, BRF_STORE_DONE, response->revision);
		break;
	case BRF_STORE_CONFLICT:
		handle_conflict(e, response);
		break;
	case BRF_STORE_REFUSED:
		handle_refusal(e);
		break;
	case BRF_STORE_UNKNOWN:
		e->may_be_stored = true;
		retry_later(e, read_back);
		break;
	}
}

static void
write_document(struct brf_timer *timer, void *arg)
{
	struct brf_edit *e = arg;

	e->call.request = (struct brf_store_request){ .op = BRF_STORE_PUT,
		.key = e->key,
		.value = e->value,
		.len = e->config.len,
		.compare = true,
		.expect = e->config.expect };
	e->call.done = write_done;
	e->calling = true;
	brf_store_start(e->config.store, &e->call);
}

struct brf_edit *
brf_edit_start(const struct brf_edit_config *config,
    void (*done)(void *arg, const struct brf_edit_result *result), void *arg)
{
	struct brf_edit *e = brf_calloc(1, sizeof(*e));

	e->config = *config;
	e->done = done;
	e->arg = arg;
	e->value = brf_strdup(config->value, config->len);
	brf_copy_name(e->service, sizeof(e->service), config->service);
	brf_copy_name(e->id, sizeof(e->id), config->id);
	snprintf(e->key, sizeof(e->key), "%s%s", BRF_DOC_PREFIX, e->service);
	e->backoff.initial_us = BACKOFF_FIRST_US;
	e->backoff.max_us = BACKOFF_MOST_US;
	e->retry.arg = e;
	e->deadline = (struct brf_timer){ .fire = give_up, .arg = e };
	brf_timer_start(config->timers, &e->deadline, config->deadline_us);
	write_document(NULL, e);
	return (e);
}
