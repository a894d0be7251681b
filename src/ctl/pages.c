#include "bulrushford.h"
#include "ctl/commands.h"
#include "ctl/stored.h"
#include "ctl/table.h"

/* Print a page of the node as text, or unchanged with --json. */
static int
print_page(struct brf_ctl *ctl, const char *path, const char *const *columns)
{
	struct brf_error err = { .code = BRF_OK };
	struct brf_buf out = { 0 };
	json_t *json = brf_ctl_get(ctl, path, &err);

	if (json == NULL)
		return (brf_ctl_fail(ctl, &err));
	if (ctl->options.json) {
		brf_ctl_print_json(json);
		return (BRF_EXIT_OK);
	}
	brf_render_json(json, columns, &out);
	fputs(out.data, stdout);
	brf_buf_free(&out);
	json_decref(json);
	return (BRF_EXIT_OK);
}

int
brf_ctl_status(struct brf_ctl *ctl, const char **args, int count)
{
	(void)args;
	(void)count;
	return (print_page(ctl, "/brf/v1/status", NULL));
}

int
brf_ctl_show_members(struct brf_ctl *ctl, const char **args, int count)
{
	static const char *const columns[] = { "node", "zone", "region",
		"service", "state", "slots", "address", "entry_port",
		"admin_port", "heard_ms", "why", NULL };

	(void)args;
	(void)count;
	return (print_page(ctl, "/brf/v1/members", columns));
}

int
brf_ctl_services(struct brf_ctl *ctl, const char **args, int count)
{
	(void)args;
	(void)count;
	return (print_page(ctl, "/brf/v1/services", NULL));
}

int
brf_ctl_explain(struct brf_ctl *ctl, const char **args, int count)
{
	char path[BRF_NAME_MAX + sizeof("/brf/v1/explain?service=")];
	struct brf_error err = { .code = BRF_OK };

	(void)count;
	if (!brf_ctl_check_service(args[0], &err))
		return (brf_ctl_fail(ctl, &err));
	snprintf(path, sizeof(path), "/brf/v1/explain?service=%s", args[0]);
	return (print_page(ctl, path, NULL));
}
