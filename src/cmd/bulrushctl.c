#include <signal.h>
#include <stdlib.h>

#include <argtable2.h>

#include "bulrushford.h"
#include "ctl/ctl.h"

#define WORDS_MAX 6
#define NODE_DEFAULT "127.0.0.1:8483"
#define TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 3600000
#define ERRORS_MAX 8

/**
 * struct flags - the command line as parsed by argtable; its members are the
 * table passed to arg_parse().
 */
struct flags {
	struct arg_str *node;
	struct arg_str *store;
	struct arg_lit *json;
	struct arg_str *expect;
	struct arg_lit *wait;
	struct arg_lit *replace;
	struct arg_int *timeout;
	struct arg_int *key_fd;
	struct arg_str *html;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *words;
	struct arg_end *end;
};

#define FLAG_COUNT (sizeof(struct flags) / sizeof(void *))

static void
define_flags(struct flags *f)
{
	f->node = arg_str0(NULL, "node", "HOST:PORT",
	    "admin address of a node (BRF_NODE; " NODE_DEFAULT ")");
	f->store = arg_str0(
	    NULL, "store", "HOST:PORT", "address of the store (BRF_STORE)");
	f->json = arg_lit0(NULL, "json", "print JSON");
	f->expect = arg_str0(NULL, "expect", "N",
	    "revision to replace; 0 if there is no document");
	f->wait = arg_lit0(
	    NULL, "wait", "wait until the edit is in force at all nodes");
	f->replace = arg_lit0(NULL, "replace-unproved",
	    "replace a document that the key does not authenticate");
	f->timeout = arg_int0(NULL, "timeout-ms", "N",
	    "time limit of an edit and of --wait (default 10000)");
	f->key_fd = arg_int0(
	    NULL, "key-fd", "FD", "read the secret from this file descriptor");
	f->html =
	    arg_str0(NULL, "html", "FILE", "burn: also write an HTML page");
	f->help = arg_lit0(NULL, "help", "print this help");
	f->version = arg_lit0(NULL, "version", "print the version");
	f->words = arg_strn(
	    NULL, NULL, "COMMAND", 0, WORDS_MAX, "one of the commands below");
	f->end = arg_end(ERRORS_MAX);
}

static void
print_help(struct flags *f)
{
	const struct brf_ctl_command *c;
	char usage[64];
	size_t i, n;

	printf("usage: bulrushctl [flags] COMMAND [arguments]\n\n");
	arg_print_glossary(stdout, (void **)f, "  %-22s %s\n");
	printf("\ncommands:\n");
	c = brf_ctl_commands(&n);
	for (i = 0; i < n; i++) {
		snprintf(usage, sizeof(usage), "%s %s", c[i].name,
		    c[i].arguments != NULL ? c[i].arguments : "");
		printf("  %-26s %s\n", usage, c[i].help);
	}
	printf("\nexit codes: 0 done, 1 failed, 2 usage error, 3 no response "
	       "from node or store,\n4 a newer revision exists\n");
}

static const char *
flag_or_env(const struct arg_str *flag, const char *env)
{
	return (flag->count > 0 ? flag->sval[0] : getenv(env));
}

/* Return: whether all numbers are valid. */
static bool
parse_numbers(const struct flags *f, struct brf_ctl_options *o)
{
	int timeout =
	    f->timeout->count > 0 ? f->timeout->ival[0] : TIMEOUT_DEFAULT_MS;
	char *end;

	o->expect = -1;
	if (f->expect->count > 0) {
		o->expect = strtoll(f->expect->sval[0], &end, 10);
		if (end == f->expect->sval[0] || *end != '\0' || o->expect < 0)
			return (false);
	}
	o->key_fd = f->key_fd->count > 0 ? f->key_fd->ival[0] : -1;
	o->timeout_us = (uint64_t)timeout * BRF_US_PER_MS;
	return (timeout > 0 && timeout <= TIMEOUT_MAX_MS &&
		(f->key_fd->count == 0 || o->key_fd >= 0));
}

static bool
set_options(const struct flags *f, struct brf_ctl_options *o)
{
	memset(o, 0, sizeof(*o));
	o->node = flag_or_env(f->node, "BRF_NODE");
	o->node_given = o->node != NULL;
	if (!o->node_given)
		o->node = NODE_DEFAULT;
	o->store = flag_or_env(f->store, "BRF_STORE");
	o->json = f->json->count > 0;
	o->wait = f->wait->count > 0;
	o->replace_unproved = f->replace->count > 0;
	o->html = f->html->count > 0 ? f->html->sval[0] : NULL;
	return (parse_numbers(f, o));
}

static int
usage_error(const char *problem, const char *word)
{
	fprintf(stderr, "bulrushctl: %s%s; try --help\n", problem, word);
	return (BRF_EXIT_USAGE);
}

static int
run(const struct flags *f)
{
	const char **words = f->words->sval;
	const struct brf_ctl_command *c;
	struct brf_ctl_options options;
	struct brf_ctl *ctl;
	int name_words, count, code;

	if (f->words->count == 0)
		return (usage_error("no command is given", ""));
	c = brf_ctl_find_command(words, f->words->count, &name_words);
	if (c == NULL)
		return (usage_error("unknown command ", words[0]));
	count = f->words->count - name_words;
	if (count < c->min_args || count > c->max_args)
		return (usage_error("wrong number of arguments for ", c->name));
	if (!set_options(f, &options))
		return (usage_error(
		    "--expect, --timeout-ms or --key-fd is out of range", ""));
	if (!c->is_edit &&
	    (options.expect >= 0 || options.wait || options.replace_unproved))
		return (
		    usage_error("--expect, --wait and --replace-unproved can't "
				"be used with ",
			c->name));
	ctl = brf_ctl_new(&options);
	code = c->run(ctl, words + name_words, count);
	brf_ctl_free(ctl);
	return (code);
}

int
main(int argc, char **argv)
{
	struct flags flags;
	void **table = (void **)&flags;
	int errors, code = BRF_EXIT_OK;

	signal(SIGPIPE, SIG_IGN);
	define_flags(&flags);
	if (arg_nullcheck(table) != 0)
		abort();
	errors = arg_parse(argc, argv, table);
	if (flags.help->count > 0) {
		print_help(&flags);
	} else if (flags.version->count > 0) {
		printf("bulrushctl %s\n", BRF_VERSION);
	} else if (errors > 0) {
		arg_print_errors(stderr, flags.end, "bulrushctl");
		code = BRF_EXIT_USAGE;
	} else {
		code = run(&flags);
	}
	arg_freetable(table, FLAG_COUNT);
	if (fflush(stdout) != 0 && code == BRF_EXIT_OK)
		code = BRF_EXIT_FAILED;
	return (code);
}
