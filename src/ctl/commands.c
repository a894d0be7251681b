#include "ctl/commands.h"

static const struct brf_ctl_command commands[] = {
	{ .name = "status",
	    .help = "state of one node, and the documents in force there",
	    .run = brf_ctl_status },
	{ .name = "members",
	    .help = "all nodes known to one node",
	    .run = brf_ctl_show_members },
	{ .name = "services",
	    .help = "services, their targets and documents",
	    .run = brf_ctl_services },
	{ .name = "explain",
	    .arguments = "SERVICE",
	    .help = "where one node would send requests, and why",
	    .min_args = 1,
	    .max_args = 1,
	    .run = brf_ctl_explain },
	{ .name = "burn",
	    .help = "burn rates of service-level objectives, all nodes",
	    .run = brf_ctl_burn },
	{ .name = "config check",
	    .arguments = "FILE",
	    .help = "check a document, without a node or a store",
	    .min_args = 1,
	    .max_args = 1,
	    .run = brf_ctl_config_check },
	{ .name = "config list",
	    .help = "all stored documents",
	    .run = brf_ctl_config_list },
	{ .name = "config get",
	    .arguments = "SERVICE",
	    .help = "the stored document",
	    .min_args = 1,
	    .max_args = 1,
	    .run = brf_ctl_config_get },
	{ .name = "config diff",
	    .arguments = "SERVICE FILE",
	    .help = "lines that differ from the stored document",
	    .min_args = 2,
	    .max_args = 2,
	    .run = brf_ctl_config_diff },
	{ .name = "config history",
	    .arguments = "SERVICE",
	    .help = "edits, as far back as the store keeps them",
	    .min_args = 1,
	    .max_args = 1,
	    .run = brf_ctl_config_history },
	{ .name = "config put",
	    .arguments = "SERVICE FILE",
	    .help = "store a document, replacing revision --expect",
	    .min_args = 2,
	    .max_args = 2,
	    .is_edit = true,
	    .run = brf_ctl_config_put },
	{ .name = "config delete",
	    .arguments = "SERVICE",
	    .help = "delete revision --expect; the defaults apply then",
	    .min_args = 1,
	    .max_args = 1,
	    .is_edit = true,
	    .run = brf_ctl_config_delete },
	{ .name = "trace",
	    .arguments = "ID LOG...",
	    .help = "steps of a request and why it failed, from nodes' logs",
	    .min_args = 2,
	    .max_args = BRF_CTL_LOGS_MAX + 1,
	    .run = brf_ctl_trace },
	{ .name = "failed",
	    .arguments = "LOG...",
	    .help = "requests that failed or were late, from nodes' logs",
	    .min_args = 1,
	    .max_args = BRF_CTL_LOGS_MAX,
	    .run = brf_ctl_failed },
	{ .name = "token",
	    .arguments = "WORKSPACE",
	    .help = "make a workspace token with BRF_WORKSPACE_KEYS",
	    .min_args = 1,
	    .max_args = 1,
	    .run = brf_ctl_token },
	{ .name = "key",
	    .arguments = "SERVICE",
	    .help = "derive the key of a service from BRF_OPERATOR_KEY",
	    .min_args = 1,
	    .max_args = 1,
	    .run = brf_ctl_key },
	{ .name = "mint",
	    .arguments = "ID",
	    .help = "make a random key for a key ring",
	    .min_args = 1,
	    .max_args = 1,
	    .run = brf_ctl_mint },
};

const struct brf_ctl_command *
brf_ctl_commands(size_t *count)
{
	*count = brf_nitems(commands);
	return (commands);
}

/* Return: the number of words in @name if @argv begins with them, or 0. */
static int
match_words(const char *name, const char **argv, int argc)
{
	size_t len;
	int i;

	for (i = 0; i < argc; i++) {
		len = strlen(argv[i]);
		if (strncmp(name, argv[i], len) != 0)
			return (0);
		if (name[len] == '\0')
			return (i + 1);
		if (name[len] != ' ')
			return (0);
		name += len + 1;
	}
	return (0);
}

const struct brf_ctl_command *
brf_ctl_find_command(const char **argv, int argc, int *words)
{
	size_t i;

	for (i = 0; i < brf_nitems(commands); i++) {
		*words = match_words(commands[i].name, argv, argc);
		if (*words != 0)
			return (&commands[i]);
	}
	return (NULL);
}
