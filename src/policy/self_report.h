#ifndef BRF_SELF_REPORT_H
#define BRF_SELF_REPORT_H

#include "base/base.h"

/**
 * DOC: What a target says of itself in its answers.
 *
 * A target in need states a rate limit: the requests a second that it takes
 * from all nodes together.  The limit holds for as long as its answers repeat
 * it.  A target that leaves says so, which holds for the rest of that
 * incarnation, since an answer written before may arrive later.
 *
 * An answer that is not known to be the target's own may start a limit but
 * does not end one, and neither does a limit that can't be read.
 */

/* A lower limit counts as this one, whose answers tell when it ends. */
#define BRF_RATE_LIMIT_MIN 0.2 /* requests a second */
#define BRF_RATE_LIMIT_MAX 1e9 /* requests a second */

/**
 * enum brf_limit_field - the rate limit in one answer.
 */
enum brf_limit_field {
	BRF_LIMIT_ABSENT,
	BRF_LIMIT_STATED,
	BRF_LIMIT_MALFORMED
};

/**
 * struct brf_self_statement - the statements of one answer.
 * @rate_limit: requests a second, with BRF_LIMIT_STATED
 * @authentic: the answer is certainly the target's own
 */
struct brf_self_statement {
	enum brf_limit_field limit;
	double rate_limit;
	bool leaving;
	bool authentic;
};

/**
 * struct brf_self_report - what is known of one incarnation of a target.
 * @rate_limit: requests a second, at least BRF_RATE_LIMIT_MIN; 0 for no limit
 * @leaving: it takes no new work
 */
struct brf_self_report {
	double rate_limit;
	bool leaving;
};

BRF_BEGIN_DECLS

/**
 * brf_self_report_update() - apply the statements of an answer.
 *
 * Return: whether @report has changed.
 */
bool brf_self_report_update(
    struct brf_self_report *report, const struct brf_self_statement *statement);

/* Return: @rate within BRF_RATE_LIMIT_MIN and BRF_RATE_LIMIT_MAX. */
double brf_rate_limit_clamp(double rate);

/**
 * brf_rate_limit_parse() - parse a decimal number of requests a second.
 *
 * Return: false unless @text is digits with at most one decimal point.
 */
bool brf_rate_limit_parse(const char *text, size_t len, double *rate);

BRF_END_DECLS

#endif
