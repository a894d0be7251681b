#include <errno.h>
#include <stdlib.h>

#include "config/name.h"
#include "config/store_codec.h"
#include "ctl/stored.h"

#define READ_CHUNK 65536u

bool
brf_ctl_check_service(const char *service, struct brf_error *err)
{
	if (brf_name_valid(service, strlen(service)))
		return (true);
	return (brf_error_set(err, BRF_E_SETTING_INVALID, 0,
	    "a service name has 1 to %u letters, digits, '.', '_' or '-'",
	    BRF_NAME_MAX));
}

bool
brf_ctl_read_stored(struct brf_ctl *ctl, const char *service, uint64_t at,
    struct brf_ctl_stored *out, struct brf_error *err)
{
	char key[sizeof(BRF_DOC_PREFIX) + BRF_NAME_MAX];
	const struct brf_store_request request = {
		.op = BRF_STORE_GET, .key = key, .at_revision = at
	};
	struct brf_store_response answer;
	bool ok = true;

	memset(out, 0, sizeof(*out));
	snprintf(key, sizeof(key), "%s%s", BRF_DOC_PREFIX, service);
	if (!brf_ctl_call_store(ctl, &request, &answer, err))
		return (false);
	out->store_revision = answer.revision;
	if (answer.count != 0) {
		out->revision = answer.kvs[0].revision;
		brf_buf_add(
		    &out->value, answer.kvs[0].value, answer.kvs[0].len);
		ok = brf_envelope_open(NULL, service, out->value.data,
		    out->value.len, &out->envelope, err);
	}
	brf_store_response_free(&answer);
	return (ok);
}

void
brf_ctl_stored_free(struct brf_ctl_stored *stored)
{
	brf_envelope_free(&stored->envelope);
	brf_buf_free(&stored->value);
}

static bool
read_stream(FILE *in, size_t max_len, struct brf_buf *out)
{
	size_t n;

	do {
		brf_buf_reserve(out, READ_CHUNK);
		n = fread(out->data + out->len, 1, READ_CHUNK, in);
		out->len += n;
	} while (n != 0 && out->len <= max_len);
	out->data[out->len] = '\0';
	return (ferror(in) == 0);
}

bool
brf_ctl_read_file(const char *path, size_t max_len, struct brf_buf *out,
    struct brf_error *err)
{
	bool is_stdin = strcmp(path, "-") == 0, ok;
	FILE *in = is_stdin ? stdin : fopen(path, "r");

	if (in == NULL)
		return (brf_error_set(err, BRF_E_SYSTEM, errno, "%s", path));
	ok = read_stream(in, max_len, out);
	if (!ok)
		brf_error_set(err, BRF_E_SYSTEM, errno, "%s", path);
	if (!is_stdin)
		fclose(in);
	return (ok);
}

static void
print_problem(const struct brf_problem *p, const char *path)
{
	const char *c;

	printf("%s: ", path);
	for (c = p->place; *c != '\0'; c++)
		putchar((unsigned char)*c < ' ' || *c == 0x7f ? '?' : *c);
	printf("%s%s: %s\n", *p->place != '\0' ? ": " : "",
	    brf_problem_type_name(p->type), p->remedy);
}

static json_t *
problems_json(const struct brf_problems *problems)
{
	json_t *list = json_array(), *item, *place;
	const struct brf_problem *p;
	size_t i;

	for (i = 0; i < problems->count; i++) {
		p = &problems->list[i];
		/* NULL if the place was cut inside a UTF-8 character */
		place = json_string(p->place);
		item = json_pack("{s:s, s:s}", "type",
		    brf_problem_type_name(p->type), "remedy", p->remedy);
		json_object_set_new(
		    item, "place", place != NULL ? place : json_null());
		json_array_append_new(list, item);
	}
	return (list);
}

bool
brf_ctl_check_document(const struct brf_ctl *ctl, const struct brf_buf *text,
    const char *service, const char *path)
{
	struct brf_problems problems;
	struct brf_document *d;
	size_t i;

	d = brf_document_parse(text->data != NULL ? text->data : "", text->len,
	    service, &problems);
	if (ctl->options.json && d == NULL)
		brf_ctl_print_json(json_pack("{s:b, s:o}", "valid", 0,
		    "problems", problems_json(&problems)));
	for (i = 0; i < problems.count && !ctl->options.json; i++)
		print_problem(&problems.list[i], path);
	brf_problems_free(&problems);
	brf_document_unref(d);
	return (d != NULL);
}
