#ifndef BRF_SELF_REPORT_H
#define BRF_SELF_REPORT_H

#include "base/base.h"

/**
 * DOC: What a target says of itself in its answers.
 *
 * A target in need states a rate limit: the requests a second that it takes
 * from all nodes together.  The limit holds for as long as its answers repeat
 * it.  A target that leaves says so, which holds for the rest of that
 * incarnation.
 *
 * Answers may arrive in another order than they were written.  An answer
 * without a limit ends one only if its request was sent after the limit was
 * stated.  It must also be certain to be the target's own, and a limit that
 * can't be read neither starts nor ends one.
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
 * @asked_at: clock time when its request was sent, microseconds
 */
struct brf_self_statement {
	enum brf_limit_field limit;
	double rate_limit;
	bool leaving;
	bool authentic;
	uint64_t asked_at;
};

/**
 * struct brf_self_report - what is known of one incarnation of a target.
 * @rate_limit: requests a second, at least BRF_RATE_LIMIT_MIN; 0 for no limit
 * @stated_at: clock time when @rate_limit was stated last, microseconds
 * @leaving: it takes no new work
 * @heard: there was a statement, even that of no limit
 */
struct brf_self_report {
	double rate_limit;
	uint64_t stated_at;
	bool leaving;
	bool heard;
};

BRF_BEGIN_DECLS

/**
 * brf_self_report_update() - apply the statements of an answer that arrived at
 * @now.
 *
 * Return: whether the limit or @leaving has changed.
 */
bool brf_self_report_update(struct brf_self_report *report,
    const struct brf_self_statement *statement, uint64_t now);

/**
 * brf_self_report_adopt() - take over the limit that a sender has heard of the
 * same incarnation, when no statement was heard here.
 * @rate_limit: requests a second; 0 for none
 *
 * Return: whether the limit has changed.
 */
bool brf_self_report_adopt(
    struct brf_self_report *report, double rate_limit, uint64_t now);

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
