#include "base/outcome.h"

static const char *const outcome_names[] = { "answered", "not_run", "unknown" };

static const struct {
	const char *name;
	int status;
} reasons[] = {
#define X(code, text, http) { .name = (text), .status = (http) },
	BRF_REASONS(X)
#undef X
};

const char *
brf_outcome_name(enum brf_outcome outcome)
{
	if ((unsigned)outcome >= brf_nitems(outcome_names))
		return ("invalid");
	return (outcome_names[outcome]);
}

const char *
brf_reason_name(enum brf_reason reason)
{
	if ((unsigned)reason >= brf_nitems(reasons))
		return ("invalid");
	return (reasons[reason].name);
}

int
brf_reason_status(enum brf_reason reason)
{
	if ((unsigned)reason >= brf_nitems(reasons))
		return (500);
	return (reasons[reason].status);
}
