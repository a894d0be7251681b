#include <stdlib.h>

#include "bulrushford.h"
#include "config/store_codec.h"
#include "ctl/commands.h"
#include "ctl/diff.h"
#include "ctl/stored.h"
#include "ctl/table.h"

#define HISTORY_MAX 1000u /* revisions printed */

/* Print @json as text, or unchanged with --json; takes ownership of it. */
static void
print_output(
    const struct brf_ctl *ctl, json_t *json, const char *const *columns)
{
	struct brf_buf out = { 0 };

	if (ctl->options.json) {
		brf_ctl_print_json(json);
		return;
	}
	brf_render_json(json, columns, &out);
	fputs(out.data, stdout);
	brf_buf_free(&out);
	json_decref(json);
}

int
brf_ctl_config_check(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_buf text = { 0 };
	bool ok;

	(void)count;
	if (!brf_ctl_read_file(args[0], BRF_DOCUMENT_BYTES_MAX, &text, &err)) {
		brf_buf_free(&text);
		return (brf_ctl_fail(ctl, &err));
	}
	ok = brf_ctl_check_document(ctl, &text, NULL, args[0]);
	brf_buf_free(&text);
	if (!ok)
		return (BRF_EXIT_FAILED);
	if (ctl->options.json)
		brf_ctl_print_json(
		    json_pack("{s:b, s:[]}", "valid", 1, "problems"));
	else
		printf("%s: valid\n", args[0]);
	return (BRF_EXIT_OK);
}

static json_t *
entry_to_json(
    const char *service, uint64_t revision, const struct brf_envelope *envelope)
{
	return (json_pack("{s:s, s:I, s:s, s:b, s:I}", "service", service,
	    "revision", (json_int_t)revision, "edit", envelope->edit, "deleted",
	    envelope->text == NULL, "bytes", (json_int_t)envelope->len));
}

static void
add_entry(json_t *list, const struct brf_store_kv *kv)
{
	struct brf_envelope envelope;
	const char *service = kv->key;

	if (strncmp(service, BRF_DOC_PREFIX, strlen(BRF_DOC_PREFIX)) == 0)
		service += strlen(BRF_DOC_PREFIX);
	brf_envelope_open(NULL, service, kv->value, kv->len, &envelope, NULL);
	json_array_append_new(
	    list, entry_to_json(service, kv->revision, &envelope));
	brf_envelope_free(&envelope);
}

int
brf_ctl_config_list(struct brf_ctl *ctl, const char **args, int count)
{
	const struct brf_store_request request = {
		.op = BRF_STORE_GET, .key = BRF_DOC_PREFIX, .prefix = true
	};
	struct brf_error err = { .code = BRF_OK };
	struct brf_store_response answer;
	json_t *list;
	size_t i;

	(void)args;
	(void)count;
	if (!brf_ctl_call_store(ctl, &request, &answer, &err))
		return (brf_ctl_fail(ctl, &err));
	list = json_array();
	for (i = 0; i < answer.count; i++)
		add_entry(list, &answer.kvs[i]);
	brf_store_response_free(&answer);
	print_output(ctl, list, NULL);
	return (BRF_EXIT_OK);
}

/* As brf_ctl_read_stored(), but fails if the service has no document. */
static bool
read_existing(struct brf_ctl *ctl, const char *service,
    struct brf_ctl_stored *stored, struct brf_error *err)
{
	memset(stored, 0, sizeof(*stored));
	if (!brf_ctl_check_service(service, err) ||
	    !brf_ctl_read_stored(ctl, service, 0, stored, err))
		return (false);
	if (stored->revision != 0 && stored->envelope.text != NULL)
		return (true);
	return (brf_error_set(err, BRF_E_NOT_FOUND, 0,
	    "%s has no document; the defaults apply", service));
}

int
brf_ctl_config_get(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_ctl_stored stored;
	const struct brf_envelope *e = &stored.envelope;
	int code = BRF_EXIT_OK;

	(void)count;
	if (!read_existing(ctl, args[0], &stored, &err)) {
		code = brf_ctl_fail(ctl, &err);
	} else if (ctl->options.json) {
		brf_ctl_print_json(json_pack("{s:s, s:I, s:s, s:s%}", "service",
		    args[0], "revision", (json_int_t)stored.revision, "edit",
		    e->edit, "document", e->text, e->len));
	} else {
		fwrite(e->text, 1, e->len, stdout);
		if (e->len != 0 && e->text[e->len - 1] != '\n')
			putchar('\n');
		fprintf(stderr, "revision %llu\n",
		    (unsigned long long)stored.revision);
	}
	brf_ctl_stored_free(&stored);
	return (code);
}

static void
print_diff(const struct brf_ctl *ctl, const struct brf_ctl_stored *stored,
    const struct brf_buf *text)
{
	struct brf_buf lines = { 0 };
	bool differs;

	differs = brf_diff(stored->envelope.text, stored->envelope.len,
	    text->data, text->len, &lines);
	if (ctl->options.json)
		brf_ctl_print_json(json_pack("{s:I, s:b, s:s%}", "revision",
		    (json_int_t)stored->revision, "differs", differs, "diff",
		    lines.data != NULL ? lines.data : "", lines.len));
	else if (differs)
		fwrite(lines.data, 1, lines.len, stdout);
	else
		printf("no difference to revision %llu\n",
		    (unsigned long long)stored->revision);
	brf_buf_free(&lines);
}

int
brf_ctl_config_diff(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_ctl_stored stored;
	struct brf_buf text = { 0 };
	int code = BRF_EXIT_OK;

	(void)count;
	if (read_existing(ctl, args[0], &stored, &err) &&
	    brf_ctl_read_file(args[1], BRF_DOCUMENT_BYTES_MAX, &text, &err))
		print_diff(ctl, &stored, &text);
	else
		code = brf_ctl_fail(ctl, &err);
	brf_buf_free(&text);
	brf_ctl_stored_free(&stored);
	return (code);
}

/* Read revisions from the latest backwards.  Return: false with @err, which is
 * BRF_E_STORE_COMPACTED where older revisions are no longer stored. */
static bool
collect_history(struct brf_ctl *ctl, const char *service, json_t *list,
    struct brf_error *err)
{
	struct brf_ctl_stored stored;
	uint64_t at = 0;
	bool ok;

	while (json_array_size(list) < HISTORY_MAX) {
		ok = brf_ctl_read_stored(ctl, service, at, &stored, err);
		at = stored.revision;
		if (at != 0)
			json_array_append_new(
			    list, entry_to_json(service, at, &stored.envelope));
		brf_ctl_stored_free(&stored);
		if (at == 0)
			return (ok);
		at--;
	}
	return (true);
}

int
brf_ctl_config_history(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_error err = { .code = BRF_OK };
	json_t *list;

	(void)count;
	if (!brf_ctl_check_service(args[0], &err))
		return (brf_ctl_fail(ctl, &err));
	list = json_array();
	if (!collect_history(ctl, args[0], list, &err) &&
	    err.code != BRF_E_STORE_COMPACTED) {
		json_decref(list);
		return (brf_ctl_fail(ctl, &err));
	}
	print_output(ctl, list, NULL);
	if (err.code == BRF_E_STORE_COMPACTED)
		fprintf(stderr, "older revisions are no longer in the store\n");
	return (BRF_EXIT_OK);
}
