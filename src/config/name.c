#include "bulrushford.h"
#include "config/name.h"

static bool
is_name_char(char c)
{
	if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'))
		return (true);
	if (c >= '0' && c <= '9')
		return (true);
	return (c == '.' || c == '_' || c == '-');
}

bool
brf_name_valid(const char *s, size_t len)
{
	size_t i;

	if (len == 0 || len > BRF_NAME_MAX)
		return (false);
	for (i = 0; i < len; i++) {
		if (!is_name_char(s[i]))
			return (false);
	}
	return (true);
}
