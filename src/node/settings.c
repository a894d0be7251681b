#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>

#include <argtable2.h>
#include <openssl/crypto.h>

#include "base/hex.h"
#include "bulrushford.h"
#include "node/settings.h"

#define PORT_MAX 65535ull
#define MS_MAX (24ull * 60 * 60 * 1000)
#define BYTES_MAX (1ull << 40)
#define FLEET_KEY_MIN 16u

struct setting;

typedef bool setting_parser(const struct setting *s, const char *text,
    void *field, struct brf_error *err);

/**
 * struct setting - one setting in the table below.
 * @flag: long option
 * @env: environment variable
 * @default_value: used if neither is given; NULL if one of them is required
 * @placeholder: name of the value in the help text
 * @parse: checks the value and stores it in the field
 * @offset: of the field in struct brf_settings
 */
struct setting {
	const char *flag;
	const char *env;
	const char *default_value;
	const char *placeholder;
	const char *help;
	setting_parser *parse;
	size_t offset;
};

static bool
invalid(const struct setting *s, const char *expected, struct brf_error *err)
{
	return (brf_error_set(err, BRF_E_SETTING_INVALID, 0,
	    "--%s (%s): must be %s", s->flag, s->env, expected));
}

static bool
parse_number(const char *text, uint64_t max, uint64_t *out)
{
	char *end;

	if (text[0] < '0' || text[0] > '9')
		return (false);
	errno = 0;
	*out = strtoull(text, &end, 10);
	return (errno == 0 && *end == '\0' && *out <= max);
}

static bool
parse_address(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	if (inet_pton(AF_INET, text, field) != 1)
		return (invalid(s, "an IPv4 address", err));
	return (true);
}

static bool
parse_port(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	uint64_t n;

	if (!parse_number(text, PORT_MAX, &n))
		return (invalid(s, "a port between 0 and 65535", err));
	*(uint16_t *)field = (uint16_t)n;
	return (true);
}

static bool
parse_name(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	size_t len = strlen(text);

	if (len == 0 || len > BRF_NAME_MAX ||
	    strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-_.") != len)
		return (invalid(s,
		    "1 to 63 characters of a-z, 0-9, '-', '_' and '.'", err));
	brf_copy_name(field, BRF_NAME_MAX + 1, text);
	return (true);
}

static bool
parse_path(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	size_t size = sizeof(((struct brf_settings *)0)->ports_file);

	if (strlen(text) >= size)
		return (invalid(s, "a path of at most 255 bytes", err));
	brf_copy_name(field, size, text);
	return (true);
}

static bool
parse_ms(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	uint64_t n;

	if (!parse_number(text, MS_MAX, &n))
		return (invalid(s, "milliseconds, at most one day", err));
	*(uint64_t *)field = n * BRF_US_PER_MS;
	return (true);
}

static bool
parse_bytes(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	if (!parse_number(text, BYTES_MAX, field))
		return (invalid(s, "a number of bytes, at most 2^40", err));
	return (true);
}

static bool
parse_bool(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	bool yes = strcmp(text, "yes") == 0;

	if (!yes && strcmp(text, "no") != 0)
		return (invalid(s, "yes or no", err));
	*(bool *)field = yes;
	return (true);
}

static bool
parse_level(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	if (!brf_log_parse_level(text, field))
		return (invalid(s, "debug, info, warn or error", err));
	return (true);
}

static bool
parse_endpoint(const char *text, size_t len, struct sockaddr_in *out)
{
	char copy[64], *colon;
	uint64_t port;

	if (len >= sizeof(copy))
		return (false);
	memcpy(copy, text, len);
	copy[len] = '\0';
	colon = strrchr(copy, ':');
	if (colon == NULL || !parse_number(colon + 1, PORT_MAX, &port) ||
	    port == 0)
		return (false);
	*colon = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return (inet_pton(AF_INET, copy, &out->sin_addr) == 1);
}

/* Parses comma-separated endpoints; an empty text is an empty list. */
static bool
parse_endpoints(const struct setting *s, const char *text,
    struct sockaddr_in *list, size_t max, size_t *count, struct brf_error *err)
{
	size_t len;

	for (*count = 0; *text != '\0'; text += len + (text[len] == ',')) {
		len = strcspn(text, ",");
		if (*count == max || !parse_endpoint(text, len, &list[*count]))
			return (invalid(s,
			    "a list of ADDRESS:PORT,... within its size limit",
			    err));
		(*count)++;
	}
	return (true);
}

static bool
parse_seeds(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	struct brf_settings *set =
	    brf_container_of(field, struct brf_settings, seeds);

	return (parse_endpoints(
	    s, text, set->seeds, BRF_SEEDS_MAX, &set->seed_count, err));
}

static bool
parse_stores(const struct setting *s, const char *text, void *field,
    struct brf_error *err)
{
	struct brf_settings *set =
	    brf_container_of(field, struct brf_settings, stores);

	return (parse_endpoints(
	    s, text, set->stores, BRF_STORES_MAX, &set->store_count, err));
}

#define FIELD(name) offsetof(struct brf_settings, name)

static const struct setting table[] = {
	{ "address", "BRF_ADDRESS", NULL, "IP",
	    "address of this VM, as other VMs reach it", parse_address,
	    FIELD(address) },
	{ "zone", "BRF_ZONE", NULL, "NAME", "availability zone of this VM",
	    parse_name, FIELD(zone) },
	{ "region", "BRF_REGION", NULL, "NAME", "region of the zone",
	    parse_name, FIELD(region) },
	{ "entry-port", "BRF_ENTRY_PORT", "8480", "PORT",
	    "HTTP for callers (8480)", parse_port, FIELD(entry_port) },
	{ "peer-port", "BRF_PEER_PORT", "8481", "PORT",
	    "calls from other nodes, TCP (8481)", parse_port,
	    FIELD(peer_port) },
	{ "gossip-port", "BRF_GOSSIP_PORT", "8481", "PORT",
	    "membership, UDP (8481)", parse_port, FIELD(gossip_port) },
	{ "local-port", "BRF_LOCAL_PORT", "8482", "PORT",
	    "HTTP for this VM's target, on loopback (8482)", parse_port,
	    FIELD(local_port) },
	{ "admin-port", "BRF_ADMIN_PORT", "8483", "PORT",
	    "HTTP for operators and metrics (8483)", parse_port,
	    FIELD(admin_port) },
	{ "seeds", "BRF_SEEDS", "", "LIST",
	    "gossip ADDRESS:PORT,... of some other nodes", parse_seeds,
	    FIELD(seeds) },
	{ "store", "BRF_STORE", "", "LIST",
	    "ADDRESS:PORT,... of the platform's store", parse_stores,
	    FIELD(stores) },
	{ "log-level", "BRF_LOG_LEVEL", "info", "LEVEL",
	    "lowest level that is logged (info)", parse_level,
	    FIELD(log_level) },
	{ "drain-limit-ms", "BRF_DRAIN_LIMIT_MS", "0", "MS",
	    "longest time a graceful stop may take; 0 for no limit (0)",
	    parse_ms, FIELD(drain_limit_us) },
	{ "linger-ms", "BRF_LINGER_MS", "3000", "MS",
	    "keep refusing work this long while other nodes learn that this "
	    "one stops (3000)",
	    parse_ms, FIELD(linger_us) },
	{ "link-bytes", "BRF_LINK_BYTES", "3750000", "N",
	    "bytes a second over the link between regions, for the whole "
	    "region; its nodes share them equally (3750000)",
	    parse_bytes, FIELD(link_bytes) },
	{ "workspace-required", "BRF_WORKSPACE_REQUIRED", "no", "YES|NO",
	    "refuse callers without a workspace token (no)", parse_bool,
	    FIELD(workspace_required) },
	{ "ports-file", "BRF_PORTS_FILE", "", "PATH",
	    "write the ports in use to this file as JSON", parse_path,
	    FIELD(ports_file) },
};

#define SETTINGS brf_nitems(table)

static bool
parse_key(const char *text, unsigned char *out, size_t size, size_t *len)
{
	size_t digits = strlen(text);

	*len = digits / 2;
	return (digits % 2 == 0 && *len >= FLEET_KEY_MIN && *len <= size &&
		brf_hex_read(text, out, *len));
}

/* Copies a secret out of the environment, then overwrites and unsets it. */
static void
take_secret(const char *env, char *out, size_t size)
{
	char *value = getenv(env);

	out[0] = '\0';
	if (value == NULL)
		return;
	brf_copy_name(out, size, value);
	OPENSSL_cleanse(value, strlen(value));
	unsetenv(env);
}

static bool
read_secrets(struct brf_settings *settings, struct brf_error *err)
{
	char text[2 * sizeof(settings->fleet_key) + 2];
	bool ok;

	take_secret("BRF_WORKSPACE_KEYS", settings->workspace_keys,
	    sizeof(settings->workspace_keys));
	take_secret("BRF_OPERATOR_KEY", settings->operator_key,
	    sizeof(settings->operator_key));
	take_secret("BRF_FLEET_KEY", text, sizeof(text));
	if (text[0] == '\0')
		return (brf_error_set(err, BRF_E_SETTING_MISSING, 0,
		    "BRF_FLEET_KEY: the environment must hold the key that "
		    "all nodes share"));
	ok = parse_key(text, settings->fleet_key, sizeof(settings->fleet_key),
	    &settings->fleet_key_len);
	OPENSSL_cleanse(text, sizeof(text));
	if (!ok)
		return (brf_error_set(err, BRF_E_SETTING_INVALID, 0,
		    "BRF_FLEET_KEY: must be 32 to 128 lower-case hex digits"));
	return (true);
}

static bool
apply(struct brf_settings *settings, const struct setting *s,
    const struct arg_str *arg, struct brf_error *err)
{
	const char *text = arg->count > 0 ? arg->sval[0] : getenv(s->env);

	if (text == NULL)
		text = s->default_value;
	if (text == NULL)
		return (brf_error_set(err, BRF_E_SETTING_MISSING, 0,
		    "--%s (%s)", s->flag, s->env));
	return (s->parse(s, text, (char *)settings + s->offset, err));
}

static void
print_help(void **args)
{
	printf("Usage: bulrushfordd");
	arg_print_syntax(stdout, args, "\n");
	printf("Overload control for the target of this VM.\n\n");
	arg_print_glossary(stdout, args, "  %-28s %s\n");
	printf("\nEach flag can also be set in the environment, as BRF_ and "
	       "its name in capitals.\n"
	       "Secrets are set only there: BRF_FLEET_KEY, "
	       "BRF_WORKSPACE_KEYS, BRF_OPERATOR_KEY.\n"
	       "Exit codes: 0 stopped with nothing left, 1 failed, 2 wrong "
	       "settings,\n5 stopped with requests in flight.\n");
}

static bool
parse_failed(struct arg_end *end, struct brf_error *err)
{
	const char *what = end->argval[0] != NULL ? end->argval[0] : "";

	return (brf_error_set(
	    err, BRF_E_SETTING_UNKNOWN, 0, "command line, at '%s'", what));
}

static bool
read_parsed(struct brf_settings *settings, void **args, struct brf_error *err)
{
	size_t i;

	for (i = 0; i < SETTINGS; i++) {
		if (!apply(settings, &table[i], args[i], err))
			return (false);
	}
	return (read_secrets(settings, err));
}

bool
brf_settings_read(struct brf_settings *settings, int argc, char **argv,
    bool *done, struct brf_error *err)
{
	void *args[SETTINGS + 4];
	struct arg_lit *help = arg_lit0(NULL, "help", "show this and exit");
	struct arg_lit *version =
	    arg_lit0(NULL, "version", "show the version and exit");
	struct arg_lit *check =
	    arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_end *end = arg_end(8);
	bool ok = true;
	size_t i;

	memset(settings, 0, sizeof(*settings));
	for (i = 0; i < SETTINGS; i++)
		args[i] = arg_str0(
		    NULL, table[i].flag, table[i].placeholder, table[i].help);
	args[SETTINGS] = check;
	args[SETTINGS + 1] = help;
	args[SETTINGS + 2] = version;
	args[SETTINGS + 3] = end;
	ok = arg_parse(argc, argv, args) == 0;
	*done = help->count > 0 || version->count > 0;
	if (help->count > 0)
		print_help(args);
	else if (version->count > 0)
		printf("bulrushfordd %s\n", BRF_VERSION);
	else if (!ok)
		parse_failed(end, err);
	else
		ok = read_parsed(settings, args, err);
	settings->check_only = check->count > 0;
	arg_freetable(args, brf_nitems(args));
	return (ok || *done);
}

void
brf_settings_wipe(struct brf_settings *settings)
{
	OPENSSL_cleanse(settings->fleet_key, sizeof(settings->fleet_key));
	OPENSSL_cleanse(
	    settings->workspace_keys, sizeof(settings->workspace_keys));
	OPENSSL_cleanse(settings->operator_key, sizeof(settings->operator_key));
}
