#include <stdlib.h>

#include "base/backoff.h"
#include "bulrushford.h"
#include "config/edit.h"
#include "config/envelope.h"

#define BACKOFF_FIRST_US 100000u
#define BACKOFF_MOST_US 2000000u
#define KEY_TEXT (sizeof(BRF_DOC_PREFIX) + BRF_NAME_MAX)

/**
 * struct brf_edit - one write on its way.
 * @doubt: a copy may have taken effect
 * @at: past revision to be read; 0 for now
 * @newest: the key as it is now, while the history is read
 */
struct brf_edit {
	struct brf_edit_config config;
	char service[BRF_NAME_MAX + 1];
	char id[BRF_NAME_MAX + 1];
	char key[KEY_TEXT];
	char *value;
	struct brf_store_call call;
	bool calling;
	bool doubt;
	uint64_t at;
	uint64_t newest;
	char *newest_value;
	size_t newest_len;
	struct brf_backoff backoff;
	struct brf_timer retry;
	struct brf_timer deadline;
	struct brf_error last;
	void (*done)(void *arg, const struct brf_edit_result *result);
	void *arg;
};

static void write_again(struct brf_timer *timer, void *arg);
static void read_back(struct brf_timer *timer, void *arg);

static void
free_edit(struct brf_edit *e)
{
	brf_timer_stop(e->config.timers, &e->retry);
	brf_timer_stop(e->config.timers, &e->deadline);
	if (e->calling)
		brf_store_cancel(e->config.store, &e->call);
	free(e->newest_value);
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
		.outcome = outcome, .err = e->last, .revision = revision
	};

	if (outcome == BRF_STORE_DONE)
		memset(&result.err, 0, sizeof(result.err));
	if (outcome == BRF_STORE_CONFLICT) {
		brf_error_set(&result.err, BRF_E_CONFLICT, 0,
		    "%s is at revision %llu, not %llu", e->service,
		    (unsigned long long)revision,
		    (unsigned long long)e->config.expected_revision);
		result.value = e->newest_value;
		result.len = e->newest_len;
	}
	e->done(e->arg, &result);
	free_edit(e);
}

static void
give_up(struct brf_timer *timer, void *arg)
{
	struct brf_edit *e = arg;

	if (!e->doubt && !e->calling) {
		finish(e, BRF_STORE_REFUSED, 0);
		return;
	}
	if (e->last.code == BRF_OK)
		brf_error_set(&e->last, BRF_E_TIMEOUT, 0, "no answer");
	finish(e, BRF_STORE_UNKNOWN, 0);
}

static void
later(struct brf_edit *e, void (*fire)(struct brf_timer *timer, void *arg))
{
	e->retry.fire = fire;
	brf_timer_start(e->config.timers, &e->retry,
	    brf_backoff_next(&e->backoff, e->config.random));
}

static bool
is_ours(const struct brf_edit *e, const struct brf_store_kv *kv)
{
	struct brf_envelope envelope;
	bool ours;

	if (!brf_envelope_open(
		NULL, e->service, kv->value, kv->len, &envelope, NULL))
		return (false);
	ours = strcmp(envelope.edit, e->id) == 0;
	brf_envelope_free(&envelope);
	return (ours);
}

static void
keep_newest(struct brf_edit *e, const struct brf_store_kv *kv)
{
	free(e->newest_value);
	e->newest = kv != NULL ? kv->revision : 0;
	e->newest_len = kv != NULL ? kv->len : 0;
	e->newest_value = kv != NULL ? brf_strdup(kv->value, kv->len) : NULL;
}

/* Another edit stands at @kv; ours may have stood there before. */
static void
look_before(struct brf_edit *e, const struct brf_store_kv *kv)
{
	e->at = kv->revision - 1;
	later(e, read_back);
}

/* The key as it is now, or was at e->at; NULL when it was absent. */
static void
judge(struct brf_edit *e, const struct brf_store_kv *kv)
{
	uint64_t revision = kv != NULL ? kv->revision : 0;

	if (kv != NULL && is_ours(e, kv)) {
		finish(e, BRF_STORE_DONE, revision);
		return;
	}
	if (e->at == 0)
		keep_newest(e, kv);
	if (revision > e->config.expected_revision) {
		look_before(e, kv);
	} else if (revision < e->config.expected_revision) {
		brf_error_set(&e->last, BRF_E_STORE_BEHIND, 0,
		    "%s is at revision %llu, was at %llu", e->service,
		    (unsigned long long)revision,
		    (unsigned long long)e->config.expected_revision);
		finish(e, BRF_STORE_UNKNOWN, 0);
	} else if (e->at != 0) {
		finish(e, BRF_STORE_CONFLICT, e->newest);
	} else {
		later(e, write_again);
	}
}

static void
read_done(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_edit *e = brf_container_of(call, struct brf_edit, call);

	e->calling = false;
	if (answer->outcome == BRF_STORE_DONE) {
		judge(e, answer->count != 0 ? &answer->kvs[0] : NULL);
		return;
	}
	e->last = answer->err;
	if (answer->err.code == BRF_E_STORE_COMPACTED)
		finish(e, BRF_STORE_UNKNOWN, 0);
	else
		later(e, read_back);
}

static void
read_back(struct brf_timer *timer, void *arg)
{
	struct brf_edit *e = arg;

	e->call.request = (struct brf_store_request){
		.op = BRF_STORE_GET, .key = e->key, .at_revision = e->at
	};
	e->call.done = read_done;
	e->calling = true;
	brf_store_start(e->config.store, &e->call);
}

static void
conflicted(struct brf_edit *e, const struct brf_store_response *answer)
{
	const struct brf_store_kv *kv =
	    answer->count != 0 ? &answer->kvs[0] : NULL;

	e->at = 0;
	if (e->doubt) {
		judge(e, kv);
		return;
	}
	keep_newest(e, kv);
	finish(e, BRF_STORE_CONFLICT, e->newest);
}

static void
refused(struct brf_edit *e)
{
	bool unsent =
	    e->last.code == BRF_E_CONNECT || e->last.code == BRF_E_LIMIT;

	if (e->doubt)
		later(e, read_back);
	else if (unsent)
		later(e, write_again);
	else
		finish(e, BRF_STORE_REFUSED, 0);
}

static void
write_done(struct brf_store_call *call, const struct brf_store_response *answer)
{
	struct brf_edit *e = brf_container_of(call, struct brf_edit, call);

	e->calling = false;
	if (answer->outcome != BRF_STORE_DONE)
		e->last = answer->err;
	switch (answer->outcome) {
	case BRF_STORE_DONE:
		finish(e, BRF_STORE_DONE, answer->revision);
		break;
	case BRF_STORE_CONFLICT:
		conflicted(e, answer);
		break;
	case BRF_STORE_REFUSED:
		refused(e);
		break;
	case BRF_STORE_UNKNOWN:
		e->doubt = true;
		later(e, read_back);
		break;
	}
}

static void
write_again(struct brf_timer *timer, void *arg)
{
	struct brf_edit *e = arg;

	e->call.request = (struct brf_store_request){ .op = BRF_STORE_PUT,
		.key = e->key,
		.value = e->value,
		.len = e->config.len,
		.compare = true,
		.expected_revision = e->config.expected_revision };
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
	e->backoff.first_us = BACKOFF_FIRST_US;
	e->backoff.most_us = BACKOFF_MOST_US;
	e->retry.arg = e;
	e->deadline = (struct brf_timer){ .fire = give_up, .arg = e };
	brf_timer_start(config->timers, &e->deadline, config->deadline_us);
	write_again(NULL, e);
	return (e);
}
