#include <errno.h>
#include <math.h>
#include <stdlib.h>

#include "base/tcp.h"
#include "mesh/settings.h"

#define FILE_MAX 65536u /* bytes of a settings file, with a final NUL */
#define SECONDS_MAX 3600.0

/**
 * struct setting - how one setting is parsed.
 * @default_text: value when it is not given; NULL when it is required
 * @help: what the value is, for --help and in error messages
 * @parse: parse @text into @field; false when it is invalid
 * @offset: of the field in struct brf_mesh_settings
 */
struct setting {
	const char *name;
	const char *default_text;
	const char *help;
	bool (*parse)(const char *text, void *field);
	size_t offset;
};

static bool
parse_name(const char *text, void *field)
{
	size_t len = strlen(text);

	if (len == 0 || len > BRF_NAME_MAX)
		return (false);
	brf_copy_name(field, BRF_NAME_MAX + 1, text);
	return (true);
}

static bool
parse_address(const char *text, void *field)
{
	return (brf_tcp_parse(text, field));
}

static bool
parse_number(const char *text, double max, double *out)
{
	char *end;

	*out = strtod(text, &end);
	return (*text != '\0' && *end == '\0' && isfinite(*out) && *out >= 0 &&
		*out <= max);
}

static bool
parse_seconds(const char *text, void *field)
{
	double seconds;

	if (!parse_number(text, SECONDS_MAX, &seconds))
		return (false);
	*(uint64_t *)field = (uint64_t)(seconds * BRF_US_PER_S);
	return (true);
}

static bool
parse_ratio(const char *text, void *field)
{
	return (parse_number(text, 1.0, field));
}

static bool
parse_level(const char *text, void *field)
{
	return (brf_log_parse_level(text, field));
}

#define FIELD(name) offsetof(struct brf_mesh_settings, name)

static const struct setting settings[] = {
	{ "BRF_NODE", NULL, "name of this node", parse_name, FIELD(node) },
	{ "BRF_ZONE", NULL, "availability zone of this VM", parse_name,
	    FIELD(zone) },
	{ "BRF_REGION", NULL, "region of the zone", parse_name, FIELD(region) },
	{ "BRF_SERVICE", NULL, "service of this VM's target", parse_name,
	    FIELD(service) },
	{ "BRF_CALLERS", NULL, "ADDRESS:PORT for callers on this VM",
	    parse_address, FIELD(callers) },
	{ "BRF_READY", NULL, "ADDRESS:PORT for readiness checks", parse_address,
	    FIELD(ready) },
	{ "BRF_ADMIN", NULL,
	    "ADDRESS:PORT for the target's announcements and for metrics",
	    parse_address, FIELD(admin) },
	{ "BRF_PEERS", NULL, "ADDRESS:PORT for other nodes", parse_address,
	    FIELD(peers) },
	{ "BRF_PEERS_ADVERTISED", "0.0.0.0:0",
	    "ADDRESS:PORT at which other nodes reach this one; port 0 for "
	    "that of BRF_PEERS",
	    parse_address, FIELD(advertised) },
	{ "BRF_TARGET", NULL, "ADDRESS:PORT of this VM's target", parse_address,
	    FIELD(target) },
	{ "BRF_STORE", NULL, "ADDRESS:PORT of the platform's store",
	    parse_address, FIELD(store) },
	{ "BRF_GRACE_S", "6",
	    "seconds from the signal to stop until the process is killed",
	    parse_seconds, FIELD(grace_us) },
	{ "BRF_DRAIN_S", "2",
	    "seconds until a leaving target gets no new work from any node",
	    parse_seconds, FIELD(drain_us) },
	{ "BRF_RETRY_RATIO", "0.2",
	    "retries per request that a service may get from all nodes, 0 to 1",
	    parse_ratio, FIELD(retry_ratio) },
	{ "BRF_RETRY_WINDOW_S", "10",
	    "seconds over which BRF_RETRY_RATIO holds", parse_seconds,
	    FIELD(retry_window_us) },
	{ "BRF_LOG_LEVEL", "info", "debug, info, warn or error", parse_level,
	    FIELD(log_level) },
};

#define SETTING_COUNT brf_nitems(settings)

static bool
set(struct brf_mesh_settings *s, const struct setting *setting,
    const char *text, struct brf_error *err)
{
	if (setting->parse(text, (char *)s + setting->offset))
		return (true);
	return (brf_error_set(err, BRF_E_SETTING_INVALID, 0,
	    "%s=\"%s\": invalid value, expected %s", setting->name, text,
	    setting->help));
}

static const struct setting *
find(const char *name)
{
	size_t i;

	for (i = 0; i < SETTING_COUNT; i++) {
		if (strcmp(settings[i].name, name) == 0)
			return (&settings[i]);
	}
	return (NULL);
}

/* Parse the NUL-terminated @line, which is modified. */
static bool
parse_line(struct brf_mesh_settings *s, char *line, bool given[SETTING_COUNT],
    struct brf_error *err)
{
	const struct setting *setting;
	char *equals;

	line += strspn(line, " \t");
	if (*line == '\0' || *line == '#')
		return (true);
	equals = strchr(line, '=');
	if (equals == NULL)
		return (brf_error_set(err, BRF_E_SETTING_INVALID, 0,
		    "line \"%s\": expected NAME=value", line));
	*equals = '\0';
	setting = find(line);
	if (setting == NULL) {
		brf_log(BRF_LOG_INFO, "setting_unknown", BRF_LS("name", line));
		return (true);
	}
	given[setting - settings] = true;
	return (set(s, setting, equals + 1, err));
}

static bool
parse_lines(struct brf_mesh_settings *s, char *text, bool given[SETTING_COUNT],
    struct brf_error *err)
{
	char *line, *rest = text;
	size_t len;

	while ((line = strsep(&rest, "\n")) != NULL) {
		len = strlen(line);
		if (len != 0 && line[len - 1] == '\r')
			line[len - 1] = '\0';
		if (!parse_line(s, line, given, err))
			return (false);
	}
	return (true);
}

bool
brf_mesh_settings_parse(struct brf_mesh_settings *s, const char *text,
    size_t len, struct brf_error *err)
{
	bool given[SETTING_COUNT] = { false }, ok;
	char *copy = brf_strdup(text, len);
	size_t i;

	memset(s, 0, sizeof(*s));
	ok = parse_lines(s, copy, given, err);
	free(copy);
	for (i = 0; ok && i < SETTING_COUNT; i++) {
		if (given[i])
			continue;
		if (settings[i].default_text == NULL)
			return (brf_error_set(err, BRF_E_SETTING_MISSING, 0,
			    "%s is required: %s", settings[i].name,
			    settings[i].help));
		ok = set(s, &settings[i], settings[i].default_text, err);
	}
	return (ok);
}

bool
brf_mesh_settings_load(
    struct brf_mesh_settings *s, const char *path, struct brf_error *err)
{
	char *text = brf_calloc(1, FILE_MAX);
	FILE *file = fopen(path, "re");
	size_t len;
	bool ok;

	if (file == NULL) {
		free(text);
		return (brf_error_set(err, BRF_E_SYSTEM, errno, "%s", path));
	}
	len = fread(text, 1, FILE_MAX - 1, file);
	ok = ferror(file) == 0;
	fclose(file);
	if (ok)
		ok = brf_mesh_settings_parse(s, text, len, err);
	else
		brf_error_set(err, BRF_E_SYSTEM, EIO, "%s", path);
	free(text);
	return (ok);
}

void
brf_mesh_settings_describe(struct brf_buf *out)
{
	size_t i;

	for (i = 0; i < SETTING_COUNT; i++) {
		brf_buf_printf(
		    out, "  %-20s %s", settings[i].name, settings[i].help);
		if (settings[i].default_text != NULL)
			brf_buf_printf(out, " (%s)", settings[i].default_text);
		brf_buf_putc(out, '\n');
	}
}
