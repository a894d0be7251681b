#include "mesh/hints.h"

static struct brf_directory *
directory_of(struct brf_link_targets_handler *hints)
{
	return (
	    brf_container_of(hints, struct brf_mesh_hints, hints)->directory);
}

/* Whether to ask peers: not all targets were read from the store yet. */
static bool
wanted(struct brf_link_targets_handler *hints)
{
	const struct brf_directory *d = directory_of(hints);

	return (d != NULL && !brf_directory_synced(d));
}

static void
write_known(struct brf_link_targets_handler *hints, struct brf_buf *out)
{
	const struct brf_directory *d = directory_of(hints);

	if (d != NULL)
		brf_directory_export(d, out);
}

static void
got(struct brf_link_targets_handler *hints, const char *text, size_t len)
{
	brf_directory_import(directory_of(hints), text, len);
}

static const struct brf_link_targets_handler_vt hints_vt = {
	.wanted = wanted,
	.write = write_known,
	.got = got,
};

void
brf_mesh_hints_init(struct brf_mesh_hints *h)
{
	h->hints.vt = &hints_vt;
	h->directory = NULL;
}
