#ifndef BRF_DOCUMENT_H
#define BRF_DOCUMENT_H

#include "base/buf.h"
#include "base/error.h"
#include "bulrushford.h"

/**
 * DOC: The document that configures overload control for one service.
 *
 * The document is JSON.  docs/document.md and the tables in document.c list
 * its fields with their units, defaults and bounds.
 */

#define BRF_DOCUMENT_BYTES_MAX 262144u /* length of the JSON text */

/**
 * struct brf_route_rule - properties of the requests that match a rule.
 * @method: HTTP method; "*" matches any
 * @path: prefix of the path in whole segments; the rule with the longest
 *	matching prefix applies
 * @cls: class; 0 is the most important
 * @idempotent: a request may be executed twice without harm
 * @timeout_us: maximum duration of a request, microseconds
 */
struct brf_route_rule {
	char method[16];
	char *path;
	uint32_t cls;
	bool idempotent;
	uint64_t timeout_us;
};

/**
 * struct brf_workspace_weight - weight of a workspace in the fair sharing
 * among workspaces of a class.
 */
struct brf_workspace_weight {
	char workspace[BRF_NAME_MAX + 1];
	uint32_t weight;
};

/**
 * struct brf_objective - service level objective of one class.
 * @cls: class the objective applies to
 * @good: fraction of requests that must be answered in time, between 0 and 1
 * @within_us: duration up to which an answer is in time, microseconds
 */
struct brf_objective {
	uint32_t cls;
	double good;
	uint64_t within_us;
};

/**
 * struct brf_document - a validated document; immutable, reference counted.
 * @edit: id of the edit; empty when the document has none
 * @revision: store revision of the edit; 0 for the built-in defaults
 * @enforce: false in mode "observe", in which decisions are only counted
 * @retry_ratio: retry budget: additional attempts per success, 0 to 0.5
 * @queue: maximum number of attempts waiting at one gate
 * @warmup_us: time over which the limit of a cold target rises, microseconds
 * @shed_is_not_run: a 503 from the target means that it did not start the
 *	request
 * @cross_region: requests may be routed to the other region
 * @rules: @rule_count rules, sorted so that the first match applies
 * @weights: @weight_count weights, sorted by workspace
 * @objectives: @objective_count objectives
 */
struct brf_document {
	unsigned refs;
	char service[BRF_NAME_MAX + 1];
	uint64_t revision;
	char edit[BRF_NAME_MAX + 1];
	bool enforce;
	bool shed_is_not_run;
	bool cross_region;
	double retry_ratio;
	uint32_t queue;
	uint64_t warmup_us;
	struct brf_route_rule *rules;
	size_t rule_count;
	struct brf_workspace_weight *weights;
	size_t weight_count;
	struct brf_objective *objectives;
	size_t objective_count;
};

/**
 * enum brf_problem_type - kind of a validation error.
 */
enum brf_problem_type {
	BRF_PROBLEM_SYNTAX,
	BRF_PROBLEM_UNKNOWN_FIELD,
	BRF_PROBLEM_MISSING,
	BRF_PROBLEM_TYPE,
	BRF_PROBLEM_RANGE,
	BRF_PROBLEM_DUPLICATE,
	BRF_PROBLEM_TOO_LARGE,
	BRF_PROBLEM_SERVICE
};

/**
 * struct brf_problem - one validation error.
 * @place: JSON pointer (RFC 6901), or line and column of a syntax error
 * @remedy: how to correct the document, one sentence
 */
struct brf_problem {
	enum brf_problem_type type;
	char place[128];
	char remedy[160];
};

struct brf_problems {
	struct brf_problem *list;
	size_t count;
};

BRF_BEGIN_DECLS

/**
 * brf_document_parse() - parse and validate a document.
 * @text: JSON, @len bytes
 * @service: service that the document must be for; NULL accepts any
 * @problems: filled with all validation errors; to be freed by
 *	brf_problems_free()
 *
 * Return: a document with one reference, or NULL if there are problems.
 */
struct brf_document *brf_document_parse(const char *text, size_t len,
    const char *service, struct brf_problems *problems);

/**
 * brf_document_default() - create the document that applies to @service when
 * none is known: class 2, only GET and HEAD idempotent, decisions enforced.
 *
 * Return: a document with one reference.
 */
struct brf_document *brf_document_default(const char *service);

/* Return: @d. */
struct brf_document *brf_document_ref(struct brf_document *d);
void brf_document_unref(struct brf_document *d);

void brf_problems_free(struct brf_problems *problems);
const char *brf_problem_type_name(enum brf_problem_type type);

/**
 * brf_document_rule() - find the rule for a request.
 * @path: path of the request, with or without a query
 *
 * Return: owned by @d or static; never NULL, since a built-in default rule
 * matches every request.
 */
const struct brf_route_rule *brf_document_rule(
    const struct brf_document *d, const char *method, const char *path);

/* Return: 1 for a workspace that the document does not name. */
uint32_t brf_document_weight(
    const struct brf_document *d, const char *workspace);

BRF_END_DECLS

#endif
