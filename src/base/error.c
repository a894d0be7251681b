#include <stdarg.h>

#include <uv.h>

#include "base/error.h"

static const char *const error_names[] = {
#define X(code, name) name,
	BRF_ERRORS(X)
#undef X
};

bool
brf_error_set(
    struct brf_error *err, enum brf_errc code, int sys, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL)
		return (false);
	err->code = code;
	err->sys = sys;
	va_start(ap, fmt);
	vsnprintf(err->detail, sizeof(err->detail), fmt, ap);
	va_end(ap);
	return (false);
}

const char *
brf_error_name(enum brf_errc code)
{
	if ((unsigned)code >= brf_nitems(error_names))
		return ("invalid");
	return (error_names[code]);
}

void
brf_error_format(const struct brf_error *err, char *out, size_t size)
{
	const char *cause = "";

	if (err->sys != 0)
		cause = uv_strerror(err->sys > 0 ? -err->sys : err->sys);
	snprintf(out, size, "%s: %s%s%s", brf_error_name(err->code),
	    err->detail, *cause != '\0' ? ": " : "", cause);
}
