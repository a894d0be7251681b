#include <stdlib.h>

#include "config/document.h"
#include "config/name.h"
#include "config/schema.h"

#define SCHEMA_VERSION 1
#define NESTING_MAX 8 /* nested objects and lists */
#define ROUTES_MAX 256
#define WORKSPACES_MAX 1024
#define WEIGHT_MAX 1000
#define QUEUE_MAX 4096 /* attempts */
#define RETRY_RATIO_MAX 0.5
#define COLD_START_MAX_MS 600000

#define CLASS_DEFAULT 2
#define QUEUE_DEFAULT 128
#define RETRY_RATIO_DEFAULT 0.1
#define COLD_START_DEFAULT_MS 10000ull
#define WEIGHT_DEFAULT 1

#define GOOD_MIN 0.5
#define GOOD_MAX 0.99999

static const char *const problem_names[] = {
	[BRF_PROBLEM_SYNTAX] = "syntax",
	[BRF_PROBLEM_UNKNOWN_FIELD] = "unknown_field",
	[BRF_PROBLEM_MISSING] = "missing",
	[BRF_PROBLEM_TYPE] = "type",
	[BRF_PROBLEM_RANGE] = "range",
	[BRF_PROBLEM_DUPLICATE] = "duplicate",
	[BRF_PROBLEM_TOO_LARGE] = "too_large",
	[BRF_PROBLEM_SERVICE] = "service",
};

static const struct brf_route_rule default_safe_rule = {
	.method = "GET",
	.path = "/",
	.cls = CLASS_DEFAULT,
	.idempotent = true,
	.timeout_us = BRF_TIMEOUT_DEFAULT_MS * BRF_US_PER_MS,
};

static const struct brf_route_rule default_unsafe_rule = {
	.method = "*",
	.path = "/",
	.cls = CLASS_DEFAULT,
	.idempotent = false,
	.timeout_us = BRF_TIMEOUT_DEFAULT_MS * BRF_US_PER_MS,
};

static bool
is_safe_method(const char *method)
{
	return (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0);
}

/* Read "*", or capital letters up to the length of the member. */
static void
read_method(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	const char *s = json_string_value(value);
	char *method = (char *)out + field->offset;
	size_t len;

	if (s == NULL) {
		brf_reader_problem(r, BRF_PROBLEM_TYPE,
		    "write a method as a string, or \"*\" for any");
		return;
	}
	len = strspn(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ");
	if (strcmp(s, "*") == 0 ||
	    (len != 0 && s[len] == '\0' && (double)len <= field->max)) {
		brf_copy_name(method, (size_t)field->max + 1, s);
		return;
	}
	brf_reader_problem(r, BRF_PROBLEM_RANGE,
	    "write 1 to %.0f capital letters, or \"*\" for any", field->max);
}

/*
 * Whether every target interprets @path in the same way: it has no empty, dot
 * or encoded segments.  @len excludes the query.
 */
static bool
path_is_plain(const char *path, size_t len)
{
	size_t i;

	if (len == 0 || path[0] != '/')
		return (false);
	for (i = 0; i < len; i++) {
		if ((unsigned char)path[i] <= ' ' || path[i] == 0x7f)
			return (false);
		if (path[i] == '%' || path[i] == '\\' || path[i] == ';')
			return (false);
		if (path[i] != '/' || i + 1 == len)
			continue;
		if (path[i + 1] == '/' || path[i + 1] == '.')
			return (false);
	}
	return (true);
}

static void
read_path(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	const char *s = json_string_value(value);
	char **path = (char **)(void *)((char *)out + field->offset);
	size_t len = json_string_length(value);

	if (s == NULL) {
		brf_reader_problem(
		    r, BRF_PROBLEM_TYPE, "write a path as a string");
	} else if ((double)len > field->max || strcspn(s, "?#") != len ||
		   !path_is_plain(s, len)) {
		brf_reader_problem(r, BRF_PROBLEM_RANGE,
		    "write a path from \"/\", at most %.0f bytes, without "
		    "query, encoded, empty or dot segments",
		    field->max);
	} else {
		*path = brf_strdup(s, len);
	}
}

static void
read_mode(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	const char *s = json_string_value(value);
	bool *enforce = (bool *)((char *)out + field->offset);

	if (s != NULL && strcmp(s, "enforce") == 0)
		*enforce = true;
	else if (s != NULL && strcmp(s, "observe") == 0)
		*enforce = false;
	else
		brf_reader_problem(r,
		    s != NULL ? BRF_PROBLEM_RANGE : BRF_PROBLEM_TYPE,
		    "write \"enforce\" or \"observe\"");
}

static int
compare_weights(const void *a, const void *b)
{
	const struct brf_workspace_weight *x = a, *y = b;

	return (strcmp(x->workspace, y->workspace));
}

static void
read_weight(struct brf_reader *r, const char *name, const json_t *value,
    struct brf_workspace_weight *entry)
{
	static const struct brf_field weight = { .read = brf_read_u32,
		.offset = offsetof(struct brf_workspace_weight, weight),
		.min = 1,
		.max = WEIGHT_MAX };

	if (brf_name_valid(name, strlen(name)))
		brf_copy_name(entry->workspace, sizeof(entry->workspace), name);
	else
		brf_reader_problem(r, BRF_PROBLEM_RANGE,
		    "name a workspace by 1 to %u letters, digits, '.', '_' "
		    "or '-'",
		    BRF_NAME_MAX);
	weight.read(r, &weight, value, entry);
}

static void
read_workspaces(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	struct brf_document *d = out;
	const char *name;
	json_t *item;
	size_t parent_len;

	if (!json_is_object(value)) {
		brf_reader_problem(r, BRF_PROBLEM_TYPE,
		    "write an object of workspaces and their weights");
		return;
	}
	if ((double)json_object_size(value) > field->max) {
		brf_reader_problem(r, BRF_PROBLEM_TOO_LARGE,
		    "name at most %.0f workspaces", field->max);
		return;
	}
	d->weights = brf_calloc(json_object_size(value), sizeof(*d->weights));
	json_object_foreach ((json_t *)value, name, item) {
		parent_len = brf_reader_enter(r, name, 0);
		read_weight(r, name, item, &d->weights[d->weight_count++]);
		brf_reader_leave(r, parent_len);
	}
	qsort(
	    d->weights, d->weight_count, sizeof(*d->weights), compare_weights);
}

static void
read_version(struct brf_reader *r, const struct brf_field *field,
    const json_t *value, void *out)
{
	if (!json_is_integer(value))
		brf_reader_problem(
		    r, BRF_PROBLEM_TYPE, "write %d", SCHEMA_VERSION);
	else if (json_integer_value(value) != SCHEMA_VERSION)
		brf_reader_problem(r, BRF_PROBLEM_RANGE,
		    "write %d, the version that this program reads",
		    SCHEMA_VERSION);
}

#define RULE_AT(m) offsetof(struct brf_route_rule, m)

static const struct brf_field route_fields[] = {
	{ .name = "method",
	    .read = read_method,
	    .required = true,
	    .offset = RULE_AT(method),
	    .max = sizeof(((struct brf_route_rule *)0)->method) - 1 },
	{ .name = "path",
	    .read = read_path,
	    .required = true,
	    .offset = RULE_AT(path),
	    .max = BRF_PATH_MAX },
	{ .name = "class",
	    .read = brf_read_u32,
	    .required = true,
	    .offset = RULE_AT(cls),
	    .max = BRF_CLASSES - 1 },
	{ .name = "idempotent",
	    .read = brf_read_bool,
	    .offset = RULE_AT(idempotent) },
	{ .name = "timeout_ms",
	    .read = brf_read_ms,
	    .offset = RULE_AT(timeout_us),
	    .min = 1,
	    .max = BRF_TIMEOUT_MAX_MS },
};

static const struct brf_schema route_schema = { route_fields,
	brf_nitems(route_fields) };

#define OBJECTIVE_AT(m) offsetof(struct brf_objective, m)

static const struct brf_field objective_fields[] = {
	{ .name = "class",
	    .read = brf_read_u32,
	    .required = true,
	    .offset = OBJECTIVE_AT(cls),
	    .max = BRF_CLASSES - 1 },
	{ .name = "good",
	    .read = brf_read_ratio,
	    .required = true,
	    .offset = OBJECTIVE_AT(good),
	    .min = GOOD_MIN,
	    .max = GOOD_MAX },
	{ .name = "within_ms",
	    .read = brf_read_ms,
	    .required = true,
	    .offset = OBJECTIVE_AT(within_us),
	    .min = 1,
	    .max = BRF_TIMEOUT_MAX_MS },
};

static const struct brf_schema objective_schema = { objective_fields,
	brf_nitems(objective_fields) };

#define DOC_AT(m) offsetof(struct brf_document, m)

static const struct brf_field retry_fields[] = {
	{ .name = "ratio",
	    .read = brf_read_ratio,
	    .required = true,
	    .offset = DOC_AT(retry_ratio),
	    .max = RETRY_RATIO_MAX },
};

static const struct brf_schema retry_schema = { retry_fields,
	brf_nitems(retry_fields) };

static const struct brf_field queue_fields[] = {
	{ .name = "length",
	    .read = brf_read_u32,
	    .required = true,
	    .offset = DOC_AT(queue),
	    .max = QUEUE_MAX },
};

static const struct brf_schema queue_schema = { queue_fields,
	brf_nitems(queue_fields) };

static const struct brf_field document_fields[] = {
	{ .name = "schema", .read = read_version, .required = true },
	{ .name = "service",
	    .read = brf_read_name,
	    .required = true,
	    .offset = DOC_AT(service) },
	{ .name = "edit", .read = brf_read_name, .offset = DOC_AT(edit) },
	{ .name = "mode", .read = read_mode, .offset = DOC_AT(enforce) },
	{ .name = "routes",
	    .read = brf_read_list,
	    .offset = DOC_AT(rules),
	    .max = ROUTES_MAX,
	    .schema = &route_schema,
	    .item_size = sizeof(struct brf_route_rule),
	    .count_offset = DOC_AT(rule_count) },
	{ .name = "workspaces",
	    .read = read_workspaces,
	    .max = WORKSPACES_MAX },
	{ .name = "retries", .read = brf_read_object, .schema = &retry_schema },
	{ .name = "queue", .read = brf_read_object, .schema = &queue_schema },
	{ .name = "cold_start_ms",
	    .read = brf_read_ms,
	    .offset = DOC_AT(warmup_us),
	    .max = COLD_START_MAX_MS },
	{ .name = "shed_means_not_run",
	    .read = brf_read_bool,
	    .offset = DOC_AT(shed_is_not_run) },
	{ .name = "cross_region",
	    .read = brf_read_bool,
	    .offset = DOC_AT(cross_region) },
	{ .name = "objectives",
	    .read = brf_read_list,
	    .offset = DOC_AT(objectives),
	    .max = BRF_CLASSES,
	    .schema = &objective_schema,
	    .item_size = sizeof(struct brf_objective),
	    .count_offset = DOC_AT(objective_count) },
};

static const struct brf_schema document_schema = { document_fields,
	brf_nitems(document_fields) };

struct brf_document *
brf_document_default(const char *service)
{
	struct brf_document *d = brf_calloc(1, sizeof(*d));

	d->refs = 1;
	brf_copy_name(d->service, sizeof(d->service), service);
	d->enforce = true;
	d->cross_region = true;
	d->retry_ratio = RETRY_RATIO_DEFAULT;
	d->queue = QUEUE_DEFAULT;
	d->warmup_us = COLD_START_DEFAULT_MS * BRF_US_PER_MS;
	return (d);
}

struct brf_document *
brf_document_ref(struct brf_document *d)
{
	d->refs++;
	return (d);
}

void
brf_document_unref(struct brf_document *d)
{
	size_t i;

	if (d == NULL || --d->refs > 0)
		return;
	for (i = 0; i < d->rule_count; i++)
		free(d->rules[i].path);
	free(d->rules);
	free(d->weights);
	free(d->objectives);
	free(d);
}

void
brf_problems_free(struct brf_problems *problems)
{
	free(problems->list);
	memset(problems, 0, sizeof(*problems));
}

const char *
brf_problem_type_name(enum brf_problem_type type)
{
	if ((unsigned)type >= brf_nitems(problem_names))
		return ("invalid");
	return (problem_names[type]);
}

/* Whether objects and lists are nested at most NESTING_MAX deep.  Checked
 * before parsing, because the parser is recursive. */
static bool
nesting_is_bounded(const char *text, size_t len)
{
	bool in_string = false;
	size_t i, depth = 0;

	for (i = 0; i < len; i++) {
		if (in_string && text[i] == '\\')
			i++;
		else if (text[i] == '"')
			in_string = !in_string;
		else if (in_string)
			continue;
		else if (text[i] == '{' || text[i] == '[')
			depth++;
		else if ((text[i] == '}' || text[i] == ']') && depth > 0)
			depth--;
		if (depth > NESTING_MAX)
			return (false);
	}
	return (true);
}

static void
report_syntax_error(struct brf_reader *r, const json_error_t *e)
{
	enum brf_problem_type type = BRF_PROBLEM_SYNTAX;

	if (json_error_code(e) == json_error_duplicate_key)
		type = BRF_PROBLEM_DUPLICATE;
	if (json_error_code(e) == json_error_numeric_overflow)
		type = BRF_PROBLEM_RANGE;
	brf_buf_printf(&r->place, "line %d column %d", e->line, e->column);
	brf_reader_problem(r, type, "correct the JSON: %s", e->text);
	brf_reader_leave(r, 0);
}

/* A duplicate field is reported and the text is then parsed without this check,
 * so that the other fields are still validated. */
static json_t *
parse_json(struct brf_reader *r, const char *text, size_t len)
{
	json_error_t e;
	json_t *root;

	if (len > BRF_DOCUMENT_BYTES_MAX) {
		brf_reader_problem(r, BRF_PROBLEM_TOO_LARGE,
		    "write at most %u bytes", BRF_DOCUMENT_BYTES_MAX);
		return (NULL);
	}
	if (!nesting_is_bounded(text, len)) {
		brf_reader_problem(r, BRF_PROBLEM_TOO_LARGE,
		    "nest objects and lists at most %d deep", NESTING_MAX);
		return (NULL);
	}
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &e);
	if (root != NULL)
		return (root);
	report_syntax_error(r, &e);
	if (json_error_code(&e) == json_error_duplicate_key)
		root = json_loadb(text, len, 0, &e);
	return (root);
}

/* Fill in the timeout of rules without one, and derive idempotent from the
 * method where the document omits it. */
static void
apply_route_defaults(struct brf_document *d, const json_t *root)
{
	json_t *routes = json_object_get(root, "routes");
	struct brf_route_rule *rule;
	size_t i;

	for (i = 0; i < d->rule_count; i++) {
		rule = &d->rules[i];
		if (rule->timeout_us == 0)
			rule->timeout_us = default_safe_rule.timeout_us;
		if (json_object_get(json_array_get(routes, i), "idempotent") ==
		    NULL)
			rule->idempotent = is_safe_method(rule->method);
	}
}

static void
report_duplicate(struct brf_reader *r, const char *list, size_t index)
{
	size_t parent_len = brf_reader_enter(r, list, 0);

	brf_reader_enter(r, NULL, index);
	brf_reader_problem(r, BRF_PROBLEM_DUPLICATE,
	    "remove it, an earlier item has the same key");
	brf_reader_leave(r, parent_len);
}

static bool
same_route(const struct brf_route_rule *a, const struct brf_route_rule *b)
{
	if (a->path == NULL || b->path == NULL)
		return (false);
	return (
	    strcmp(a->method, b->method) == 0 && strcmp(a->path, b->path) == 0);
}

static void
check_duplicates(struct brf_reader *r, const struct brf_document *d)
{
	size_t i, j;

	for (i = 0; i < d->rule_count; i++) {
		for (j = 0; j < i; j++) {
			if (!same_route(&d->rules[i], &d->rules[j]))
				continue;
			report_duplicate(r, "routes", i);
			break;
		}
	}
	for (i = 0; i < d->objective_count; i++) {
		for (j = 0; j < i; j++) {
			if (d->objectives[i].cls != d->objectives[j].cls)
				continue;
			report_duplicate(r, "objectives", i);
			break;
		}
	}
}

static void
check_service(
    struct brf_reader *r, const struct brf_document *d, const char *service)
{
	size_t parent_len;

	if (service == NULL || d->service[0] == '\0' ||
	    strcmp(service, d->service) == 0)
		return;
	parent_len = brf_reader_enter(r, "service", 0);
	brf_reader_problem(r, BRF_PROBLEM_SERVICE,
	    "write \"%s\", the service that this document is for", service);
	brf_reader_leave(r, parent_len);
}

/* Sorts longer paths first, and a named method before "*". */
static int
compare_rules(const void *a, const void *b)
{
	const struct brf_route_rule *x = a, *y = b;
	size_t xl = strlen(x->path), yl = strlen(y->path);
	bool xa = x->method[0] == '*', ya = y->method[0] == '*';

	if (xl != yl)
		return (xl > yl ? -1 : 1);
	return ((int)xa - (int)ya);
}

struct brf_document *
brf_document_parse(const char *text, size_t len, const char *service,
    struct brf_problems *problems)
{
	struct brf_reader r = { .problems = problems };
	struct brf_document *d = brf_document_default("");
	json_t *root;

	memset(problems, 0, sizeof(*problems));
	root = parse_json(&r, text, len);
	if (root != NULL) {
		brf_read_fields(&r, &document_schema, root, d);
		check_service(&r, d, service);
		check_duplicates(&r, d);
		apply_route_defaults(d, root);
		json_decref(root);
	}
	brf_buf_free(&r.place);
	if (problems->count != 0) {
		brf_document_unref(d);
		return (NULL);
	}
	if (d->rule_count != 0)
		qsort(
		    d->rules, d->rule_count, sizeof(*d->rules), compare_rules);
	return (d);
}

/* A rule's path matches as a prefix of whole segments. */
static bool
rule_matches(const struct brf_route_rule *rule, const char *method,
    const char *path, size_t len)
{
	size_t n = strlen(rule->path);

	if (strcmp(rule->method, "*") != 0 && strcmp(rule->method, method) != 0)
		return (false);
	if (n > len || memcmp(rule->path, path, n) != 0)
		return (false);
	return (n == len || rule->path[n - 1] == '/' || path[n] == '/');
}

const struct brf_route_rule *
brf_document_rule(
    const struct brf_document *d, const char *method, const char *path)
{
	size_t i, len = strcspn(path, "?#");

	for (i = 0; i < d->rule_count && path_is_plain(path, len); i++) {
		if (rule_matches(&d->rules[i], method, path, len))
			return (&d->rules[i]);
	}
	return (
	    is_safe_method(method) ? &default_safe_rule : &default_unsafe_rule);
}

uint32_t
brf_document_weight(const struct brf_document *d, const char *workspace)
{
	struct brf_workspace_weight key = { .weight = 0 };
	const struct brf_workspace_weight *found;

	if (d->weight_count == 0)
		return (WEIGHT_DEFAULT);
	brf_copy_name(key.workspace, sizeof(key.workspace), workspace);
	found = bsearch(
	    &key, d->weights, d->weight_count, sizeof(key), compare_weights);
	return (found != NULL ? found->weight : WEIGHT_DEFAULT);
}
