#include <stdlib.h>

#include "bulrushford.h"
#include "config/edit.h"
#include "ctl/commands.h"
#include "ctl/diff.h"
#include "ctl/stored.h"

#define POLL_INTERVAL_US 250000u /* between polls of all nodes, with --wait */

/**
 * struct edit_command - an edit requested on the command line.
 * @id: of the edit, by which it is found in the history
 * @text: the document; no data for a deletion
 * @deletes: delete the document
 * @keyring: the service's key, which seals and authenticates documents
 * @value: the sealed document, as stored
 * @done: set when the edit has ended
 * @result: outcome of the edit; its value is copied to @newer
 * @newer: after a conflict, the document that another edit stored
 */
struct edit_command {
	struct brf_ctl *ctl;
	const char *service;
	char id[BRF_ID_TEXT];
	struct brf_buf text;
	bool deletes;
	struct brf_keyring *keyring;
	struct brf_buf value;
	bool done;
	struct brf_edit_result result;
	struct brf_buf newer;
};

static bool
read_service_key(struct edit_command *cmd, struct brf_error *err)
{
	struct brf_buf secret = { 0 };

	if (!brf_secret_read(
		"BRF_SERVICE_KEY", cmd->ctl->options.key_fd, &secret, err))
		return (false);
	cmd->keyring = brf_keyring_parse(secret.data, secret.len, err);
	brf_secret_free(&secret);
	return (cmd->keyring != NULL);
}

/* Refuse a key that does not authenticate the stored document.  It is most
 * likely the key of another service, and nodes would reject what it seals. */
static bool
check_authentic(struct edit_command *cmd, const struct brf_ctl_stored *stored,
    struct brf_error *err)
{
	struct brf_envelope envelope;
	bool ok;

	if (stored->revision == 0 || cmd->ctl->options.replace_unproved)
		return (true);
	ok = brf_envelope_open(cmd->keyring, cmd->service, stored->value.data,
	    stored->value.len, &envelope, err);
	brf_envelope_free(&envelope);
	if (ok)
		return (true);
	return (brf_error_set(err, BRF_E_AUTH, 0,
	    "BRF_SERVICE_KEY does not authenticate the stored document of %s; "
	    "use --replace-unproved to replace it",
	    cmd->service));
}

/* Revision of the document in force at a node, 0 for none, from @status, the
 * page /brf/v1/status. */
static uint64_t
get_revision_in_force(const json_t *status, const char *service)
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

/* Refuse an edit if the store is behind the node: nodes reject a revision that
 * is lower than the one in force.  Without --wait, an edit goes ahead if the
 * node does not respond. */
static bool
check_store_revision(struct edit_command *cmd,
    const struct brf_ctl_stored *stored, struct brf_error *err)
{
	uint64_t in_force;
	json_t *status;

	if (!cmd->ctl->options.node_given)
		return (true);
	status = brf_ctl_get(cmd->ctl, "/brf/v1/status", err);
	if (status == NULL)
		return (!cmd->ctl->options.wait);
	in_force = get_revision_in_force(status, cmd->service);
	json_decref(status);
	if (in_force <= stored->store_revision)
		return (true);
	return (brf_error_set(err, BRF_E_STORE_BEHIND, 0,
	    "revision %llu is in force, but the store is at %llu; raise the "
	    "store's revision first",
	    (unsigned long long)in_force,
	    (unsigned long long)stored->store_revision));
}

static bool
check_preconditions(struct edit_command *cmd, struct brf_error *err)
{
	struct brf_ctl_stored stored;
	bool ok;

	ok = brf_ctl_read_stored(cmd->ctl, cmd->service, 0, &stored, err);
	/* check_authentic() handles values that are not documents */
	if (!ok && err->code == BRF_E_JSON && stored.revision != 0)
		ok = true;
	ok = ok && check_authentic(cmd, &stored, err) &&
	     check_store_revision(cmd, &stored, err);
	brf_ctl_stored_free(&stored);
	return (ok);
}

static void
edit_done(void *arg, const struct brf_edit_result *result)
{
	struct edit_command *cmd = arg;

	cmd->done = true;
	cmd->result = *result;
	if (result->value != NULL)
		brf_buf_add(&cmd->newer, result->value, result->len);
}

static bool
run_edit(struct edit_command *cmd, struct brf_error *err)
{
	struct brf_edit_config config = {
		.store = cmd->ctl->store,
		.timers = cmd->ctl->timers,
		.random = cmd->ctl->random,
		.service = cmd->service,
		.expect = (uint64_t)cmd->ctl->options.expect,
		.id = cmd->id,
		.deadline_us = cmd->ctl->options.timeout_us,
	};

	if (!brf_envelope_seal(cmd->keyring, cmd->service, cmd->id,
		cmd->deletes ? NULL : cmd->text.data, cmd->text.len,
		&cmd->value, err))
		return (false);
	config.value = cmd->value.data;
	config.len = cmd->value.len;
	brf_edit_start(&config, edit_done, cmd);
	brf_ctl_run_until(cmd->ctl, &cmd->done);
	return (true);
}

/* Compare the document that another edit stored with the one to be stored. */
static void
diff_against_newer(struct edit_command *cmd, struct brf_buf *lines)
{
	struct brf_envelope newer;

	if (!brf_envelope_open(NULL, cmd->service, cmd->newer.data,
		cmd->newer.len, &newer, NULL))
		return;
	brf_diff(newer.text != NULL ? newer.text : "", newer.len,
	    cmd->text.data != NULL ? cmd->text.data : "", cmd->text.len, lines);
	brf_envelope_free(&newer);
}

static int
print_conflict(struct edit_command *cmd)
{
	struct brf_buf lines = { 0 };
	unsigned long long revision = cmd->result.revision;

	if (cmd->newer.len != 0)
		diff_against_newer(cmd, &lines);
	if (cmd->ctl->options.json) {
		brf_ctl_print_json(json_pack("{s:s, s:I, s:s%}", "outcome",
		    "conflict", "revision", (json_int_t)revision, "diff",
		    lines.data != NULL ? lines.data : "", lines.len));
	} else {
		printf("%s is at revision %llu, not %lld; nothing was "
		       "written\n",
		    cmd->service, revision,
		    (long long)cmd->ctl->options.expect);
		if (lines.len != 0)
			printf("--- revision %llu\n+++ yours\n%s", revision,
			    lines.data);
	}
	brf_buf_free(&lines);
	return (BRF_EXIT_CONFLICT);
}

static int
report_failure(struct edit_command *cmd)
{
	struct brf_error err;

	if (cmd->result.outcome != BRF_STORE_UNKNOWN)
		return (brf_ctl_fail(cmd->ctl, &cmd->result.err));
	brf_error_set(&err, BRF_E_WRITE_UNKNOWN, 0,
	    "%s: edit %s of %s may have been stored; look for it in config "
	    "history",
	    brf_error_name(cmd->result.err.code), cmd->id, cmd->service);
	return (brf_ctl_fail(cmd->ctl, &err));
}

/**
 * struct rollout - how many nodes have a revision in force.
 * @nodes: number of members
 * @up_to_date: nodes with this revision or a later one
 * @lacking: names of the other nodes, strings
 */
struct rollout {
	size_t nodes;
	size_t up_to_date;
	json_t *lacking;
};

static bool
poll_nodes(
    struct edit_command *cmd, struct rollout *rollout, struct brf_error *err)
{
	struct brf_ctl_node_page *pages;
	size_t i;

	pages = brf_ctl_fetch_members(cmd->ctl, &rollout->nodes, err);
	if (pages == NULL)
		return (false);
	brf_ctl_get_all(cmd->ctl, "/brf/v1/status", pages, rollout->nodes);
	rollout->up_to_date = 0;
	json_array_clear(rollout->lacking);
	for (i = 0; i < rollout->nodes; i++) {
		if (pages[i].json != NULL &&
		    get_revision_in_force(pages[i].json, cmd->service) >=
			cmd->result.revision)
			rollout->up_to_date++;
		else
			json_array_append_new(
			    rollout->lacking, json_string(pages[i].name));
	}
	brf_ctl_node_pages_free(pages, rollout->nodes);
	return (true);
}

static void
set_flag(struct brf_timer *timer, void *arg)
{
	(void)timer;
	*(bool *)arg = true;
}

static void
sleep_for(struct brf_ctl *ctl, uint64_t us)
{
	bool expired = false;
	struct brf_timer timer = { .fire = set_flag, .arg = &expired };

	brf_timer_start(ctl->timers, &timer, us);
	brf_ctl_run_until(ctl, &expired);
}

/* Poll until all nodes have the revision in force.  Return: false with @err if
 * the time limit passes first, or if the members are unknown by then. */
static bool
wait_for_nodes(
    struct edit_command *cmd, struct rollout *rollout, struct brf_error *err)
{
	bool expired = false, ok;
	struct brf_timer limit = { .fire = set_flag, .arg = &expired };

	brf_timer_start(cmd->ctl->timers, &limit, cmd->ctl->options.timeout_us);
	for (;;) {
		ok = poll_nodes(cmd, rollout, err);
		if (expired || (ok && rollout->up_to_date == rollout->nodes))
			break;
		sleep_for(cmd->ctl, POLL_INTERVAL_US);
	}
	brf_timer_stop(cmd->ctl->timers, &limit);
	if (!ok)
		return (false);
	if (rollout->up_to_date == rollout->nodes)
		return (true);
	return (
	    brf_error_set(err, BRF_E_TIMEOUT, 0, "in force at %zu of %zu nodes",
		rollout->up_to_date, rollout->nodes));
}

static void
print_result(struct edit_command *cmd, const struct rollout *rollout)
{
	unsigned long long revision = cmd->result.revision;
	json_t *out, *name;
	size_t i;

	if (cmd->ctl->options.json) {
		out = json_pack("{s:s, s:s, s:I, s:s}", "outcome", "done",
		    "service", cmd->service, "revision", (json_int_t)revision,
		    "edit", cmd->id);
		if (cmd->ctl->options.wait)
			json_object_set_new(out, "nodes",
			    json_pack("{s:I, s:I, s:O}", "known",
				(json_int_t)rollout->nodes, "have",
				(json_int_t)rollout->up_to_date, "lacking",
				rollout->lacking));
		brf_ctl_print_json(out);
		return;
	}
	printf("%s is at revision %llu\n", cmd->service, revision);
	if (cmd->ctl->options.wait)
		printf("in force at %zu of %zu nodes\n", rollout->up_to_date,
		    rollout->nodes);
	json_array_foreach (rollout->lacking, i, name)
		printf("not at %s\n", json_string_value(name));
}

static int
finish(struct edit_command *cmd)
{
	struct rollout rollout = { .lacking = json_array() };
	struct brf_error err = { .code = BRF_OK };
	int code = BRF_EXIT_OK;

	if (cmd->ctl->options.wait && !wait_for_nodes(cmd, &rollout, &err)) {
		print_result(cmd, &rollout);
		brf_ctl_fail(cmd->ctl, &err);
		code = BRF_EXIT_FAILED;
	} else {
		print_result(cmd, &rollout);
	}
	json_decref(rollout.lacking);
	return (code);
}

static int
edit(struct edit_command *cmd)
{
	struct brf_error err = { .code = BRF_OK };

	if (cmd->ctl->options.expect < 0) {
		brf_error_set(&err, BRF_E_SETTING_MISSING, 0,
		    "--expect: the revision you edited, or 0 for a new "
		    "document");
		return (brf_ctl_fail(cmd->ctl, &err));
	}
	brf_id_format(brf_id_new(cmd->ctl->random), cmd->id);
	if (!brf_ctl_check_service(cmd->service, &err) ||
	    !read_service_key(cmd, &err) || !check_preconditions(cmd, &err) ||
	    !run_edit(cmd, &err))
		return (brf_ctl_fail(cmd->ctl, &err));
	if (cmd->result.outcome == BRF_STORE_DONE)
		return (finish(cmd));
	if (cmd->result.outcome == BRF_STORE_CONFLICT)
		return (print_conflict(cmd));
	return (report_failure(cmd));
}

static void
free_edit_command(struct edit_command *cmd)
{
	brf_keyring_free(cmd->keyring);
	brf_buf_free(&cmd->text);
	brf_buf_free(&cmd->value);
	brf_buf_free(&cmd->newer);
}

int
brf_ctl_config_put(struct brf_ctl *ctl, const char **args, int count)
{
	struct edit_command cmd = { .ctl = ctl, .service = args[0] };
	struct brf_error err = { .code = BRF_OK };
	int code;

	(void)count;
	if (!brf_ctl_check_service(args[0], &err) ||
	    !brf_ctl_read_file(
		args[1], BRF_DOCUMENT_BYTES_MAX, &cmd.text, &err))
		code = brf_ctl_fail(ctl, &err);
	else if (!brf_ctl_check_document(ctl, &cmd.text, args[0], args[1]))
		code = BRF_EXIT_FAILED;
	else
		code = edit(&cmd);
	free_edit_command(&cmd);
	return (code);
}

int
brf_ctl_config_delete(struct brf_ctl *ctl, const char **args, int count)
{
	struct edit_command cmd = {
		.ctl = ctl, .service = args[0], .deletes = true
	};
	int code;

	(void)count;
	code = edit(&cmd);
	free_edit_command(&cmd);
	return (code);
}
