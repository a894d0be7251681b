#include <stdlib.h>

#include "bulrushford.h"
#include "config/edit.h"
#include "ctl/commands.h"
#include "ctl/diff.h"
#include "ctl/stored.h"

#define POLL_US 250000u /* between two looks at all nodes, with --wait */

/**
 * struct writing - one edit from the command line.
 * @text: of the document, or NULL data for a deletion
 * @deletes: the document is removed
 * @result: how it ended; its value is copied to @newer
 */
struct writing {
	struct brf_ctl *ctl;
	const char *service;
	char id[BRF_ID_TEXT];
	struct brf_buf text;
	bool deletes;
	struct brf_keyring *ring;
	struct brf_buf value;
	bool done;
	struct brf_edit_result result;
	struct brf_buf newer;
};

static bool
read_ring(struct writing *w, struct brf_error *err)
{
	struct brf_buf secret = { 0 };

	if (!brf_secret_read(
		"BRF_SERVICE_KEY", w->ctl->options.key_fd, &secret, err))
		return (false);
	w->ring = brf_keyring_parse(secret.data, secret.len, err);
	brf_secret_free(&secret);
	return (w->ring != NULL);
}

/* A key that can't prove what stands there is another service's, most likely,
 * and no node would take what it seals. */
static bool
check_ring(struct writing *w, const struct brf_ctl_stored *stored,
    struct brf_error *err)
{
	struct brf_envelope envelope;
	bool ok;

	if (stored->revision == 0 || w->ctl->options.replace_unproved)
		return (true);
	ok = brf_envelope_open(w->ring, w->service, stored->value.data,
	    stored->value.len, &envelope, err);
	brf_envelope_free(&envelope);
	if (ok)
		return (true);
	return (brf_error_set(err, BRF_E_AUTH, 0,
	    "BRF_SERVICE_KEY does not prove the stored document of %s; "
	    "--replace-unproved goes on",
	    w->service));
}

/* Revision in force at the node; 0 for none. */
static uint64_t
revision_at(const json_t *status, const char *service)
{
	const json_t *list = json_object_get(status, "documents"), *d;
	const char *name;
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		d = json_array_get(list, i);
		name = json_string_value(json_object_get(d, "service"));
		if (name != NULL && strcmp(name, service) == 0)
			return ((uint64_t)json_integer_value(
			    json_object_get(d, "revision")));
	}
	return (0);
}

/* Nodes would not take a revision that is lower than what they have. */
static bool
check_not_behind(struct writing *w, const struct brf_ctl_stored *stored,
    struct brf_error *err)
{
	uint64_t in_force;
	json_t *status;

	if (!w->ctl->options.node_given)
		return (true);
	status = brf_ctl_get(w->ctl, "/brf/v1/status", err);
	if (status == NULL)
		return (!w->ctl->options.wait);
	in_force = revision_at(status, w->service);
	json_decref(status);
	if (in_force <= stored->store_revision)
		return (true);
	return (brf_error_set(err, BRF_E_STORE_BEHIND, 0,
	    "revision %llu is in force, the store is at %llu; raise its "
	    "revision first",
	    (unsigned long long)in_force,
	    (unsigned long long)stored->store_revision));
}

static bool
check_before(struct writing *w, struct brf_error *err)
{
	struct brf_ctl_stored stored;
	bool ok;

	ok = brf_ctl_read_stored(w->ctl, w->service, 0, &stored, err);
	/* what is no document of ours is judged by check_ring() */
	if (!ok && err->code == BRF_E_JSON && stored.revision != 0)
		ok = true;
	ok = ok && check_ring(w, &stored, err) &&
	     check_not_behind(w, &stored, err);
	brf_ctl_stored_free(&stored);
	return (ok);
}

static void
ended(void *arg, const struct brf_edit_result *result)
{
	struct writing *w = arg;

	w->done = true;
	w->result = *result;
	if (result->value != NULL)
		brf_buf_add(&w->newer, result->value, result->len);
}

static bool
write_edit(struct writing *w, struct brf_error *err)
{
	struct brf_edit_config config = {
		.store = w->ctl->store,
		.timers = w->ctl->timers,
		.random = w->ctl->random,
		.service = w->service,
		.expect = (uint64_t)w->ctl->options.expect,
		.id = w->id,
		.deadline_us = w->ctl->options.timeout_us,
	};

	if (!brf_envelope_seal(w->ring, w->service, w->id,
		w->deletes ? NULL : w->text.data, w->text.len, &w->value, err))
		return (false);
	config.value = w->value.data;
	config.len = w->value.len;
	brf_edit_start(&config, ended, w);
	brf_ctl_run_until(w->ctl, &w->done);
	return (true);
}

/* What the other editor wrote, against what was to be written. */
static void
diff_to_newer(struct writing *w, struct brf_buf *lines)
{
	struct brf_envelope newer;

	if (!brf_envelope_open(
		NULL, w->service, w->newer.data, w->newer.len, &newer, NULL))
		return;
	brf_diff(newer.text != NULL ? newer.text : "", newer.len,
	    w->text.data != NULL ? w->text.data : "", w->text.len, lines);
	brf_envelope_free(&newer);
}

static int
show_conflict(struct writing *w)
{
	struct brf_buf lines = { 0 };
	unsigned long long revision = w->result.revision;

	if (w->newer.len != 0)
		diff_to_newer(w, &lines);
	if (w->ctl->options.json) {
		brf_ctl_print_json(json_pack("{s:s, s:I, s:s%}", "outcome",
		    "conflict", "revision", (json_int_t)revision, "diff",
		    lines.data != NULL ? lines.data : "", lines.len));
	} else {
		printf("%s is at revision %llu, not %lld; nothing was "
		       "written\n",
		    w->service, revision, (long long)w->ctl->options.expect);
		if (lines.len != 0)
			printf("--- revision %llu\n+++ yours\n%s", revision,
			    lines.data);
	}
	brf_buf_free(&lines);
	return (BRF_EXIT_CONFLICT);
}

static int
show_failure(struct writing *w)
{
	struct brf_error err;

	if (w->result.outcome != BRF_STORE_UNKNOWN)
		return (brf_ctl_fail(w->ctl, &w->result.err));
	brf_error_set(&err, BRF_E_WRITE_UNKNOWN, 0,
	    "%s: edit %s of %s may be stored; look for it in the history",
	    brf_error_name(w->result.err.code), w->id, w->service);
	return (brf_ctl_fail(w->ctl, &err));
}

/**
 * struct spread - how far a revision has come.
 */
struct spread {
	size_t nodes;
	size_t have;
	json_t *lacking;
};

static bool
look(struct writing *w, struct spread *spread, struct brf_error *err)
{
	struct brf_ctl_page *pages;
	size_t i;

	pages = brf_ctl_members(w->ctl, &spread->nodes, err);
	if (pages == NULL)
		return (false);
	brf_ctl_get_each(w->ctl, "/brf/v1/status", pages, spread->nodes);
	spread->have = 0;
	json_array_clear(spread->lacking);
	for (i = 0; i < spread->nodes; i++) {
		if (pages[i].json != NULL &&
		    revision_at(pages[i].json, w->service) >=
			w->result.revision)
			spread->have++;
		else
			json_array_append_new(
			    spread->lacking, json_string(pages[i].name));
	}
	brf_ctl_pages_free(pages, spread->nodes);
	return (true);
}

static void
set_flag(struct brf_timer *timer, void *arg)
{
	(void)timer;
	*(bool *)arg = true;
}

static void
pause_for(struct brf_ctl *ctl, uint64_t us)
{
	bool over = false;
	struct brf_timer timer = { .fire = set_flag, .arg = &over };

	brf_timer_start(ctl->timers, &timer, us);
	brf_ctl_run_until(ctl, &over);
}

/* Return: false when the time is over before all nodes have the revision. */
static bool
wait_for_nodes(struct writing *w, struct spread *spread, struct brf_error *err)
{
	bool over = false, ok;
	struct brf_timer limit = { .fire = set_flag, .arg = &over };

	brf_timer_start(w->ctl->timers, &limit, w->ctl->options.timeout_us);
	for (;;) {
		ok = look(w, spread, err);
		if (over || (ok && spread->have == spread->nodes))
			break;
		pause_for(w->ctl, POLL_US);
	}
	brf_timer_stop(w->ctl->timers, &limit);
	if (!ok)
		return (false);
	if (spread->have == spread->nodes)
		return (true);
	return (brf_error_set(err, BRF_E_TIMEOUT, 0,
	    "in force at %zu of %zu nodes", spread->have, spread->nodes));
}

static void
show_done(struct writing *w, const struct spread *spread)
{
	unsigned long long revision = w->result.revision;
	json_t *out, *name;
	size_t i;

	if (w->ctl->options.json) {
		out = json_pack("{s:s, s:s, s:I, s:s}", "outcome", "done",
		    "service", w->service, "revision", (json_int_t)revision,
		    "edit", w->id);
		if (w->ctl->options.wait)
			json_object_set_new(out, "nodes",
			    json_pack("{s:I, s:I, s:O}", "known",
				(json_int_t)spread->nodes, "have",
				(json_int_t)spread->have, "lacking",
				spread->lacking));
		brf_ctl_print_json(out);
		return;
	}
	printf("%s is at revision %llu\n", w->service, revision);
	if (w->ctl->options.wait)
		printf("in force at %zu of %zu nodes\n", spread->have,
		    spread->nodes);
	json_array_foreach (spread->lacking, i, name)
		printf("not at %s\n", json_string_value(name));
}

static int
finish(struct writing *w)
{
	struct spread spread = { .lacking = json_array() };
	struct brf_error err = { .code = BRF_OK };
	int code = BRF_EXIT_OK;

	if (w->ctl->options.wait && !wait_for_nodes(w, &spread, &err)) {
		show_done(w, &spread);
		brf_ctl_fail(w->ctl, &err);
		code = BRF_EXIT_FAILED;
	} else {
		show_done(w, &spread);
	}
	json_decref(spread.lacking);
	return (code);
}

static int
edit(struct writing *w)
{
	struct brf_error err = { .code = BRF_OK };

	if (w->ctl->options.expect < 0) {
		brf_error_set(&err, BRF_E_SETTING_MISSING, 0,
		    "--expect: the revision you edited, or 0 for a new "
		    "document");
		return (brf_ctl_fail(w->ctl, &err));
	}
	brf_id_format(brf_id_new(w->ctl->random), w->id);
	if (!brf_ctl_check_service(w->service, &err) || !read_ring(w, &err) ||
	    !check_before(w, &err) || !write_edit(w, &err))
		return (brf_ctl_fail(w->ctl, &err));
	if (w->result.outcome == BRF_STORE_DONE)
		return (finish(w));
	if (w->result.outcome == BRF_STORE_CONFLICT)
		return (show_conflict(w));
	return (show_failure(w));
}

static void
free_writing(struct writing *w)
{
	brf_keyring_free(w->ring);
	brf_buf_free(&w->text);
	brf_buf_free(&w->value);
	brf_buf_free(&w->newer);
}

int
brf_ctl_config_put(struct brf_ctl *ctl, const char **args, int count)
{
	struct writing w = { .ctl = ctl, .service = args[0] };
	struct brf_error err = { .code = BRF_OK };
	int code;

	(void)count;
	if (!brf_ctl_check_service(args[0], &err) ||
	    !brf_ctl_read_file(args[1], BRF_DOCUMENT_BYTES_MAX, &w.text, &err))
		code = brf_ctl_fail(ctl, &err);
	else if (!brf_ctl_check_text(ctl, &w.text, args[0], args[1]))
		code = BRF_EXIT_FAILED;
	else
		code = edit(&w);
	free_writing(&w);
	return (code);
}

int
brf_ctl_config_delete(struct brf_ctl *ctl, const char **args, int count)
{
	struct writing w = { .ctl = ctl, .service = args[0], .deletes = true };
	int code;

	(void)count;
	code = edit(&w);
	free_writing(&w);
	return (code);
}
