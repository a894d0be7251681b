#include <stdlib.h>

#include "policy/self_report.h"

#define NUMBER_MAX 32u /* bytes of a decimal number */

double
brf_rate_limit_clamp(double rate)
{
	if (rate < BRF_RATE_LIMIT_MIN)
		return (BRF_RATE_LIMIT_MIN);
	return (rate < BRF_RATE_LIMIT_MAX ? rate : BRF_RATE_LIMIT_MAX);
}

bool
brf_rate_limit_parse(const char *text, size_t len, double *rate)
{
	char number[NUMBER_MAX + 1];
	size_t i, digits = 0, points = 0;

	if (len > NUMBER_MAX)
		return (false);
	for (i = 0; i < len; i++) {
		if (text[i] == '.')
			points++;
		else if (text[i] >= '0' && text[i] <= '9')
			digits++;
		else
			return (false);
		number[i] = text[i];
	}
	number[len] = '\0';
	if (digits == 0 || points > 1)
		return (false);
	*rate = strtod(number, NULL);
	return (true);
}

static void
set_limit(struct brf_self_report *report, double rate, uint64_t now)
{
	report->rate_limit = brf_rate_limit_clamp(rate);
	report->stated_at = now;
	report->heard = true;
}

bool
brf_self_report_update(struct brf_self_report *report,
    const struct brf_self_statement *statement, uint64_t now)
{
	struct brf_self_report previous = *report;
	bool none =
	    statement->limit == BRF_LIMIT_ABSENT && statement->authentic;

	if (statement->limit == BRF_LIMIT_STATED)
		set_limit(report, statement->rate_limit, now);
	else if (none && statement->asked_at > report->stated_at)
		report->rate_limit = 0;
	report->leaving = report->leaving || statement->leaving;
	report->heard = report->heard || none || statement->leaving;
	return (report->rate_limit != previous.rate_limit ||
		report->leaving != previous.leaving);
}

bool
brf_self_report_adopt(
    struct brf_self_report *report, double rate_limit, uint64_t now)
{
	if (rate_limit == 0 || report->heard)
		return (false);
	set_limit(report, rate_limit, now);
	return (true);
}
