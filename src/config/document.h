#ifndef BRF_DOCUMENT_H
#define BRF_DOCUMENT_H

#include "base/buf.h"
#include "base/error.h"
#include "bulrushford.h"

/**
 * DOC: One service's document: how its traffic is treated under stress.
 *
 * JSON; each field with its unit, default and bound is on the page
 * docs/document.md and in the table of document.c.
 */

#define BRF_DOCUMENT_BYTES_MAX 262144u /* bytes of one text */

/**
 * struct brf_route_rule - requests of one kind.
 * @method: "*" for any
 * @path: prefix of the path, of whole segments; the longest that fits decides
 * @cls: 0 is the most important
 * @idempotent: running it twice does no harm
 * @timeout_us: most time it may take, microseconds
 */
struct brf_route_rule {
	char method[16];
	char *path;
	uint32_t cls;
	bool idempotent;
	uint64_t timeout_us;
};

/**
 * struct brf_workspace_weight - weight of a workspace inside a class.
 */
struct brf_workspace_weight {
	char workspace[BRF_NAME_MAX + 1];
	uint32_t weight;
};

/**
 * struct brf_objective - what the service promises for one class.
 * @cls: whose requests
 * @good: share of requests to be answered in time, between 0 and 1
 * @within_us: what in time means, microseconds
 */
struct brf_objective {
	uint32_t cls;
	double good;
	uint64_t within_us;
};

/**
 * struct brf_document - a checked document; immutable, shared by reference.
 * @revision: the store's revision of the edit; 0 for the built-in defaults
 * @enforce: false in mode "observe": decisions are counted, not enforced
 * @retry_ratio: extra attempts per success, 0 to 0.5
 * @queue: most attempts that wait at one gate
 * @warmup_us: time over which a cold target's limit rises
 * @shed_is_not_run: the target's own 503 says that it did not begin
 * @cross_region: requests may go to the other region
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
 * enum brf_problem_type - what is wrong with a field.
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
 * struct brf_problem - one broken rule.
 * @place: as a JSON pointer (RFC 6901), or line and column for syntax
 * @remedy: what to write instead, one sentence
 */
struct brf_problem {
	enum brf_problem_type type;
	char location[128];
	char remedy[160];
};

struct brf_problems {
	struct brf_problem *list;
	size_t count;
};

BRF_BEGIN_DECLS

/**
 * brf_document_parse() - check @text and read it.
 * @service: the service it must speak of; NULL accepts any
 * @problems: filled with all problems; give it to brf_problems_free()
 *
 * Return: a document with one reference, or NULL when there is a problem.
 */
struct brf_document *brf_document_parse(const char *text, size_t len,
    const char *service, struct brf_problems *problems);

/**
 * brf_document_default() - what holds for @service while no document is known:
 * class 2, GET and HEAD idempotent and nothing else, enforced.
 */
struct brf_document *brf_document_default(const char *service);

struct brf_document *brf_document_ref(struct brf_document *d);
void brf_document_unref(struct brf_document *d);

void brf_problems_free(struct brf_problems *problems);
const char *brf_problem_type_name(enum brf_problem_type type);

/**
 * brf_document_rule() - the rule for a request; never NULL, since a built-in
 * last rule fits everything.
 */
const struct brf_route_rule *brf_document_rule(
    const struct brf_document *d, const char *method, const char *path);

/* 1 for a workspace that the document does not name. */
uint32_t brf_document_weight(
    const struct brf_document *d, const char *workspace);

BRF_END_DECLS

#endif
