#include "base/json.h"

bool
brf_json_count(
    const json_t *object, const char *name, uint64_t most, uint64_t *out)
{
	const json_t *v = json_object_get(object, name);

	if (!json_is_integer(v) || json_integer_value(v) < 0 ||
	    (uint64_t)json_integer_value(v) > most)
		return (false);
	*out = (uint64_t)json_integer_value(v);
	return (true);
}

bool
brf_json_seconds(const json_t *object, const char *name, uint64_t *us)
{
	const json_t *v = json_object_get(object, name);

	if (!json_is_number(v) || json_number_value(v) < 0)
		return (false);
	*us = (uint64_t)(json_number_value(v) * (double)BRF_US_PER_S);
	return (true);
}
