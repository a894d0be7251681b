#include <signal.h>
#include <unistd.h>

#include "base/log.h"
#include "bulrushford.h"
#include "node/node.h"

static int
fail(const struct brf_error *err, int code)
{
	char text[BRF_ERROR_DETAIL * 2];

	brf_error_format(err, text, sizeof(text));
	fprintf(stderr, "bulrushfordd: %s\n", text);
	return (code);
}

int
main(int argc, char **argv)
{
	struct brf_settings settings;
	struct brf_error err = { 0 };
	struct brf_node *node;
	bool done = false;
	int code;

	if (!brf_settings_read(&settings, argc, argv, &done, &err))
		return (fail(&err, BRF_EXIT_USAGE));
	if (done)
		return (BRF_EXIT_OK);
	if (settings.check_only) {
		printf("settings are valid\n");
		return (BRF_EXIT_OK);
	}
	signal(SIGPIPE, SIG_IGN);
	brf_log_open(STDERR_FILENO, settings.log_level, settings.zone);
	node = brf_node_start(&settings, &err);
	brf_settings_wipe(&settings);
	if (node == NULL)
		return (fail(&err, BRF_EXIT_FAILED));
	code = brf_node_run(node);
	brf_node_free(node);
	return (code);
}
