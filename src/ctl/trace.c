#include <stdlib.h>

#include "bulrushford.h"
#include "ctl/commands.h"
#include "ctl/stored.h"
#include "ctl/timeline.h"

#define LOG_BYTES_MAX ((size_t)1 << 30) /* of one file */

/* Return: NULL after printing the error if a file could not be read. */
static struct brf_timeline *
read_logs(struct brf_ctl *ctl, const char **paths, int count)
{
	struct brf_timeline *t = brf_timeline_new();
	struct brf_error err = { .code = BRF_OK };
	struct brf_buf text = { 0 };
	int i;

	for (i = 0; i < count; i++) {
		brf_buf_clear(&text);
		if (!brf_ctl_read_file(paths[i], LOG_BYTES_MAX, &text, &err))
			break;
		brf_timeline_read(t, text.data, text.len);
	}
	brf_buf_free(&text);
	if (i == count)
		return (t);
	brf_ctl_fail(ctl, &err);
	brf_timeline_free(t);
	return (NULL);
}

int
brf_ctl_trace(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_timeline *t = read_logs(ctl, args + 1, count - 1);
	struct brf_buf out = { 0 };
	size_t steps;

	if (t == NULL)
		return (BRF_EXIT_FAILED);
	steps = brf_timeline_write(t, args[0], &out);
	brf_timeline_free(t);
	if (steps != 0)
		fputs(out.data, stdout);
	else
		fprintf(stderr, "no line names request %s\n", args[0]);
	brf_buf_free(&out);
	return (steps != 0 ? BRF_EXIT_OK : BRF_EXIT_FAILED);
}

int
brf_ctl_failed(struct brf_ctl *ctl, const char **args, int count)
{
	struct brf_timeline *t = read_logs(ctl, args, count);
	struct brf_buf out = { 0 };

	if (t == NULL)
		return (BRF_EXIT_FAILED);
	brf_timeline_failed(t, &out);
	brf_timeline_free(t);
	if (out.len != 0)
		fputs(out.data, stdout);
	brf_buf_free(&out);
	return (BRF_EXIT_OK);
}
